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

	"slateridge/internal/admission"
	"slateridge/internal/config"
	"slateridge/internal/constants"
)

func fail(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(body)
}

func errorBody(s string) any { return map[string]string{"error": s} }

const notAcknowledged = "not acknowledged by every member in time; it may or may not come into force"

// unavailable asks the caller to come back in a second.
func unavailable(w http.ResponseWriter, s string) {
	w.Header().Set("Retry-After", "1")
	fail(w, http.StatusServiceUnavailable, errorBody(s))
}

// operatorAPI answers the operator; any control machine takes any call.
func (d *Daemon) operatorAPI() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/api/rpc" {
			fail(w, http.StatusNotFound, errorBody("no such path; calls go to /api/rpc?call=NAME"))
			return
		}
		var call func(http.ResponseWriter, *http.Request)
		name := r.URL.Query().Get("call")
		switch name {
		case "configuration.replace":
			call = d.replace
		case "configuration.describe":
			call = d.describe
		case "evacuations.start", "evacuations.stop":
			call = d.evacuate
		default:
			fail(w, http.StatusNotFound, errorBody(fmt.Sprintf("call %q is not known", name)))
			return
		}
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			fail(w, http.StatusMethodNotAllowed, errorBody("calls are made with POST"))
			return
		}
		if d.relay {
			d.sendOn(w, r)
			return
		}
		call(w, r)
	})
}

// sendOn names a caller the control machine that this relay heard last. The
// configuration does not pass through here: the link of such a machine is narrow
// and carries requests.
func (d *Daemon) sendOn(w http.ResponseWriter, r *http.Request) {
	d.chainMu.Lock()
	to, ok := d.chain.Ahead()
	d.chainMu.Unlock()
	if !ok {
		unavailable(w, "no control machine with a say is known here now")
		return
	}
	_, port, _ := net.SplitHostPort(d.settings.ListenAddresses.ControlPlane) // alike on all machines
	w.Header().Set("Location", "http://"+net.JoinHostPort(to, port)+r.URL.RequestURI())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusTemporaryRedirect)
	d.events.Count("sent_on", 1)
}

func (d *Daemon) replace(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, constants.ConfigMax))
	if err != nil {
		var big *http.MaxBytesError
		if errors.As(err, &big) {
			fail(w, http.StatusRequestEntityTooLarge, errorBody(fmt.Sprintf("a configuration has at most %d bytes", constants.ConfigMax)))
			return
		}
		fail(w, http.StatusBadRequest, errorBody("the body did not come whole: "+err.Error()))
		return
	}
	s, err := config.Read(raw)
	if err != nil {
		d.events.Record("config_refused", err.Error())
		fail(w, http.StatusBadRequest, err)
		return
	}
	if !settled(d.inForce.Load(), s.Version) {
		if c := d.pendingLimits.Load(); (c == nil || c.version < s.Version) && versionOf(d.inForce.Load()) < s.Version {
			d.pendingLimits.Store(&pendingLimits{s.Version, admission.Quotas(s)})
			d.publisher.Publish()
		}
		ch := make(chan struct{})
		d.waitMu.Lock()
		d.waiters[ch] = s.Version
		d.waitMu.Unlock()
		defer func() {
			d.waitMu.Lock()
			delete(d.waiters, ch)
			d.waitMu.Unlock()
		}()
		if !settled(d.inForce.Load(), s.Version) {
			d.step(func() []any { return d.chain.Submit(d.now(), config.Doc{Version: s.Version, Raw: raw}) })
			if !d.await(r.Context(), ch) {
				unavailable(w, notAcknowledged)
				return
			}
		}
	}
	// What was committed under a number stays so: no contact is needed to say it.
	in := d.inForce.Load()
	switch sum, known := in.Ledger.Find(s.Version); {
	case !known:
		d.events.Count("order_forgotten", 1)
		unavailable(w, fmt.Sprintf("r%d lies below r%d, and what was taken up to there is not remembered", s.Version, in.Ledger.Floor+1))
	case sum != config.SumOf(raw):
		d.events.Record("number_taken", fmt.Sprintf("r%d has been taken with another content", s.Version))
		d.numberTaken(w, s.Version)
	default:
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, "{\"configVersion\":\"r%d\",\"inForce\":\"r%d\"}\n", s.Version, in.Version)
	}
}

// numberTaken answers an order whose number stands for another content.
func (d *Daemon) numberTaken(w http.ResponseWriter, version uint64) {
	fail(w, http.StatusConflict, errorBody(fmt.Sprintf("r%d has been taken with another content: send this one under a higher number", version)))
}

// await waits for what an order or a read depends on; false when it did not come in the
// time that callers wait, or when this machine is out of contact with a majority and so
// cannot bring it about: others may. A caller that has gone is not waited for.
func (d *Daemon) await(ctx context.Context, ch <-chan struct{}) bool {
	t := time.NewTimer(constants.SubmitWait)
	defer t.Stop()
	look := time.NewTicker(constants.ContactWait)
	defer look.Stop()
	for {
		select {
		case <-ch:
			return true
		case <-t.C:
			return false
		case <-ctx.Done():
			return false
		case <-look.C:
			if !d.current() {
				return false
			}
		}
	}
}

func (d *Daemon) describe(w http.ResponseWriter, r *http.Request) {
	got := &reader{done: make(chan struct{})}
	d.waitMu.Lock()
	d.readID++
	id := d.readID
	d.reads[id] = got
	d.waitMu.Unlock()
	defer func() {
		d.waitMu.Lock()
		delete(d.reads, id)
		d.waitMu.Unlock()
	}()
	d.step(func() []any { return d.chain.Read(d.now(), id) })
	switch {
	case !d.await(r.Context(), got.done):
		unavailable(w, "the chain's tail did not confirm in time")
	case got.doc == nil || got.doc.Raw == nil:
		fail(w, http.StatusNotFound, errorBody("no configuration has been sent yet"))
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Write(got.doc.Raw)
	}
}

// reader is a read under way; doc is set before done is closed.
type reader struct {
	done chan struct{}
	doc  *config.Doc
}

// evacuate takes the order to send nothing more to a zone's upstreams, or to
// take the zone back. It is acknowledged once the state that holds it is
// committed; a repeat is a new order with the same effect.
func (d *Daemon) evacuate(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("of")
	if zone == "" {
		fail(w, http.StatusBadRequest, errorBody("of=ZONE is missing"))
		return
	}
	if _, ok := d.settings.Zones[zone]; !ok && zone != d.settings.Zone {
		fail(w, http.StatusBadRequest, errorBody(fmt.Sprintf("zone %q is not known", zone)))
		return
	}
	// Orders have no numbers: one read late, by a process that stood still or over a path
	// that was cut, must not undo what was ordered since. Its caller has gone by then.
	time.Sleep(constants.CallerCheck)
	if d.stalled() || r.Context().Err() != nil {
		d.events.Count("order_too_late", 1)
		unavailable(w, "this machine stood still: the order may be an old one")
		return
	}
	id, ch := rand.Uint64(), make(chan struct{})
	d.waitMu.Lock()
	d.orders[id] = ch
	d.waitMu.Unlock()
	defer func() {
		d.waitMu.Lock()
		delete(d.orders, id)
		d.waitMu.Unlock()
	}()
	on := r.URL.Query().Get("call") == "evacuations.start"
	d.step(func() []any { return d.chain.Evacuate(d.now(), id, zone, on) })
	if !d.await(r.Context(), ch) {
		d.step(func() []any { return d.chain.Abandon(d.now(), id) })
		unavailable(w, notAcknowledged)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"zone": zone, "evacuated": on})
}
