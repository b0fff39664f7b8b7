package controlplane

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"slateridge/internal/constants"
)

// directoryAPI answers clients that ask where to connect.
func (d *Daemon) directoryAPI() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/api/lookup" {
			fail(w, http.StatusNotFound, errorBody("no such path; ask /api/lookup?name=HOST&region=REGION&zone=ZONE"))
			return
		}
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			fail(w, http.StatusMethodNotAllowed, errorBody("lookups are made with GET"))
			return
		}
		q, err := url.ParseQuery(r.URL.RawQuery) // garbled parts are a fault, not left out
		if err != nil {
			fail(w, http.StatusBadRequest, errorBody("the query cannot be read: "+err.Error()))
			return
		}
		if q.Get("name") == "" {
			fail(w, http.StatusBadRequest, errorBody("name is missing"))
			return
		}
		as, ok := d.proxyDirectory.Lookup(d.now(), q.Get("zone"), q.Get("region"))
		if !ok {
			unavailable(w, "no proxy is known here yet")
			return
		}
		b, _ := json.Marshal(map[string]any{"addresses": as, "ttl": d.ttl()})
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		w.Write(b)
	})
}

// ttl is how long an answer may be used, as the wire writes it.
func (d *Daemon) ttl() string {
	t := constants.LookupTTL
	if m := d.settings.Bounds.TTLMax.D(); m > 0 && m < t {
		t = m
	}
	return strconv.FormatInt(int64(t/time.Millisecond), 10) + "ms"
}
