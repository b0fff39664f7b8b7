package headworks

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"slateridge/internal/datum"
	"slateridge/internal/scheme"
	"slateridge/internal/weir"
)

func fail(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(body)
}

func why(s string) any { return map[string]string{"error": s} }

const notAcknowledged = "not acknowledged by every member in time; it may or may not come into force"

// unavailable asks the caller to come back in a second.
func unavailable(w http.ResponseWriter, s string) {
	w.Header().Set("Retry-After", "1")
	fail(w, http.StatusServiceUnavailable, why(s))
}

// operatorAPI answers the operator; any control machine takes any call.
func (d *Daemon) operatorAPI() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/api/rpc" {
			fail(w, http.StatusNotFound, why("no such path; calls go to /api/rpc?call=NAME"))
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
			fail(w, http.StatusNotFound, why(fmt.Sprintf("call %q is not known", name)))
			return
		}
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			fail(w, http.StatusMethodNotAllowed, why("calls are made with POST"))
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
	_, port, _ := net.SplitHostPort(d.set.ListenAddresses.ControlPlane) // alike on all machines
	w.Header().Set("Location", "http://"+net.JoinHostPort(to, port)+r.URL.RequestURI())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusTemporaryRedirect)
	d.book.Count("sent_on", 1)
}

func (d *Daemon) replace(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, datum.ConfigMax))
	if err != nil {
		var big *http.MaxBytesError
		if errors.As(err, &big) {
			fail(w, http.StatusRequestEntityTooLarge, why(fmt.Sprintf("a configuration has at most %d bytes", datum.ConfigMax)))
			return
		}
		fail(w, http.StatusBadRequest, why("the body did not come whole: "+err.Error()))
		return
	}
	s, err := scheme.Read(raw)
	if err != nil {
		d.book.Note("config_refused", err.Error())
		fail(w, http.StatusBadRequest, err)
		return
	}
	if in := d.inForce.Load(); in == nil || in.Version < s.Version {
		if c := d.coming.Load(); c == nil || c.version < s.Version {
			d.coming.Store(&coming{s.Version, weir.Quotas(s)})
			d.pen.Publish()
		}
		ch := make(chan struct{})
		d.waitMu.Lock()
		d.waits[ch] = s.Version
		d.waitMu.Unlock()
		if in := d.inForce.Load(); in == nil || in.Version < s.Version {
			d.step(func() []any { return d.chain.Submit(d.now(), scheme.Doc{Version: s.Version, Raw: raw}) })
			t := time.NewTimer(datum.SubmitWait)
			defer t.Stop()
			select {
			case <-ch:
			case <-t.C:
				d.waitMu.Lock()
				delete(d.waits, ch)
				d.waitMu.Unlock()
				unavailable(w, notAcknowledged)
				return
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"configVersion\":\"r%d\",\"inForce\":\"r%d\"}\n", s.Version, d.inForce.Load().Version)
}

func (d *Daemon) describe(w http.ResponseWriter, _ *http.Request) {
	ch := make(chan *scheme.Doc, 1)
	d.waitMu.Lock()
	d.readID++
	id := d.readID
	d.reads[id] = ch
	d.waitMu.Unlock()
	defer func() {
		d.waitMu.Lock()
		delete(d.reads, id)
		d.waitMu.Unlock()
	}()
	t := time.NewTimer(datum.SubmitWait)
	defer t.Stop()
	d.step(func() []any { return d.chain.Read(d.now(), id) })
	select {
	case doc := <-ch:
		if doc == nil || doc.Raw == nil {
			fail(w, http.StatusNotFound, why("no configuration has been sent yet"))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(doc.Raw)
	case <-t.C:
		unavailable(w, "the chain's tail did not confirm in time")
	}
}

// evacuate takes the order to send nothing more to a zone's upstreams, or to
// take the zone back. It is acknowledged once the state that holds it is
// committed; a repeat is a new order with the same effect.
func (d *Daemon) evacuate(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("of")
	if zone == "" {
		fail(w, http.StatusBadRequest, why("of=ZONE is missing"))
		return
	}
	if _, ok := d.set.Zones[zone]; !ok && zone != d.set.Zone {
		fail(w, http.StatusBadRequest, why(fmt.Sprintf("zone %q is not known", zone)))
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
	t := time.NewTimer(datum.SubmitWait)
	defer t.Stop()
	select {
	case <-ch:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{"zone": zone, "evacuated": on})
	case <-t.C:
		unavailable(w, notAcknowledged)
	}
}
