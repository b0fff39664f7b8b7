package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/controlplane/chain"
)

func writeError(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(body)
}

func errorBody(message string) any { return map[string]string{"error": message} }

const notAcknowledgedMessage = "not acknowledged by every member in time; it may or may not come into force"

// writeUnavailable responds with status 503 and asks the caller to retry after a second.
func writeUnavailable(w http.ResponseWriter, message string) {
	w.Header().Set("Retry-After", "1")
	writeError(w, http.StatusServiceUnavailable, errorBody(message))
}

// operatorAPI returns the handler of the operators' API. Every control machine accepts every
// call; a relay redirects it.
func (d *Daemon) operatorAPI() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/api/rpc" {
			writeError(w, http.StatusNotFound, errorBody("no such path; calls go to /api/rpc?call=NAME"))
			return
		}
		var call func(http.ResponseWriter, *http.Request)
		name := r.URL.Query().Get("call")
		switch name {
		case "configuration.replace":
			call = d.replaceConfig
		case "configuration.describe":
			call = d.describeConfig
		case "evacuations.start", "evacuations.stop":
			call = d.handleEvacuation
		default:
			writeError(w, http.StatusNotFound, errorBody(fmt.Sprintf("call %q is not known", name)))
			return
		}
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			writeError(w, http.StatusMethodNotAllowed, errorBody("calls are made with POST"))
			return
		}
		if d.replica.relay {
			d.redirect(w, r)
			return
		}
		call(w, r)
	})
}

// redirect sends the caller to the voter that this relay heard from last. A relay does not
// forward configurations because its link has little bandwidth and carries requests.
func (d *Daemon) redirect(w http.ResponseWriter, r *http.Request) {
	target, ok := d.replica.redirectTarget()
	if !ok {
		writeUnavailable(w, "no control machine with a say is known here now")
		return
	}
	_, port, _ := net.SplitHostPort(d.settings.ListenAddresses.ControlPlane) // the port is the same on all machines
	w.Header().Set("Location", "http://"+net.JoinHostPort(target, port)+r.URL.RequestURI())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusTemporaryRedirect)
	d.events.Count("sent_on", 1)
}

func (d *Daemon) replaceConfig(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, constants.MaxConfigBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			writeError(w, http.StatusRequestEntityTooLarge, errorBody(fmt.Sprintf("a configuration has at most %d bytes", constants.MaxConfigBytes)))
			return
		}
		writeError(w, http.StatusBadRequest, errorBody("the body did not come whole: "+err.Error()))
		return
	}
	cfg, err := config.Parse(raw)
	if err != nil {
		d.events.Record("config_refused", err.Error())
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if !chain.Settled(d.activeState.Load(), cfg.Version) {
		d.activeState.addPending(cfg)
		done, stop := d.pendingCalls.awaitVersion(cfg.Version)
		defer stop()
		if !chain.Settled(d.activeState.Load(), cfg.Version) {
			d.replica.step(func() []chain.Effect {
				return d.replica.chain.Submit(d.now(), config.Doc{Version: cfg.Version, Raw: raw})
			})
			if !d.await(r.Context(), done) {
				writeUnavailable(w, notAcknowledgedMessage)
				return
			}
		}
	}
	// A committed version never changes, so the response needs no contact with a majority.
	current := d.activeState.Load()
	switch sum, known := current.Ledger.Find(cfg.Version); {
	case !known:
		d.events.Count("order_forgotten", 1)
		writeUnavailable(w, fmt.Sprintf("r%d lies below r%d, and what was taken up to there is not remembered", cfg.Version, current.Ledger.Floor+1))
	case sum != config.Checksum(raw):
		d.events.Record("number_taken", fmt.Sprintf("r%d is already committed with different content", cfg.Version))
		d.writeVersionConflict(w, cfg.Version)
	default:
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, "{\"configVersion\":\"r%d\",\"inForce\":\"r%d\"}\n", cfg.Version, current.Version)
	}
}

// writeVersionConflict responds to a configuration whose version is already committed with
// different content.
func (d *Daemon) writeVersionConflict(w http.ResponseWriter, version uint64) {
	writeError(w, http.StatusConflict, errorBody(fmt.Sprintf("r%d has been taken with another content: send this one under a higher number", version)))
}

// await waits until done is closed. It returns false after constants.SubmitTimeout, when the
// caller has disconnected, or when this machine has lost contact with a majority: it cannot
// complete the call then, while another machine may be able to.
func (d *Daemon) await(ctx context.Context, done <-chan struct{}) bool {
	timeout := time.NewTimer(constants.SubmitTimeout)
	defer timeout.Stop()
	contactCheck := time.NewTicker(constants.ContactCheckInterval)
	defer contactCheck.Stop()
	for {
		select {
		case <-done:
			return true
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		case <-contactCheck.C:
			if !d.replica.hasMajorityContact() {
				return false
			}
		}
	}
}

func (d *Daemon) describeConfig(w http.ResponseWriter, r *http.Request) {
	id, result, stop := d.pendingCalls.startRead()
	defer stop()
	d.replica.step(func() []chain.Effect { return d.replica.chain.Read(d.now(), id) })
	switch {
	case !d.await(r.Context(), result.done):
		writeUnavailable(w, "the chain's tail did not confirm in time")
	case result.doc == nil || result.doc.Raw == nil:
		writeError(w, http.StatusNotFound, errorBody("no configuration has been sent yet"))
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Write(result.doc.Raw)
	}
}

// handleEvacuation stops or resumes traffic to a zone's upstreams. It responds with success
// once a state with the order is committed. A repeated call is a new order with the same
// effect.
func (d *Daemon) handleEvacuation(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("of")
	if zone == "" {
		writeError(w, http.StatusBadRequest, errorBody("of=ZONE is missing"))
		return
	}
	if _, ok := d.settings.Zones[zone]; !ok && zone != d.settings.Zone {
		writeError(w, http.StatusBadRequest, errorBody(fmt.Sprintf("zone %q is not known", zone)))
		return
	}
	// Evacuation orders have no version numbers. An order that is read late, after a stall
	// of this process or a network partition, must not undo newer orders. Its caller has
	// disconnected by then, so a short wait detects it.
	time.Sleep(constants.CallerCheckDelay)
	if d.replica.recentlyStalled() || r.Context().Err() != nil {
		d.events.Count("order_too_late", 1)
		writeUnavailable(w, "this machine stood still: the order may be an old one")
		return
	}
	id := rand.Uint64()
	done, stop := d.pendingCalls.awaitEvacuation(id)
	defer stop()
	evacuated := r.URL.Query().Get("call") == "evacuations.start"
	d.replica.step(func() []chain.Effect { return d.replica.chain.Evacuate(d.now(), id, zone, evacuated) })
	if !d.await(r.Context(), done) {
		d.replica.step(func() []chain.Effect { return d.replica.chain.Abandon(d.now(), id) })
		writeUnavailable(w, notAcknowledgedMessage)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"zone": zone, "evacuated": evacuated})
}
