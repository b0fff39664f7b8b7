package controlplane

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"slateridge/internal/constants"
)

// directoryAPI returns the handler of lookups by clients that want to connect to a proxy.
func (d *Daemon) directoryAPI() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/api/lookup" {
			writeError(w, http.StatusNotFound, errorBody("no such path; ask /api/lookup?name=HOST&region=REGION&zone=ZONE"))
			return
		}
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			writeError(w, http.StatusMethodNotAllowed, errorBody("lookups are made with GET"))
			return
		}
		query, err := url.ParseQuery(r.URL.RawQuery) // unlike URL.Query, reports malformed pairs instead of dropping them
		if err != nil {
			writeError(w, http.StatusBadRequest, errorBody("the query cannot be read: "+err.Error()))
			return
		}
		if query.Get("name") == "" {
			writeError(w, http.StatusBadRequest, errorBody("name is missing"))
			return
		}
		addresses, ok := d.proxyDirectory.Lookup(d.now(), query.Get("zone"), query.Get("region"))
		if !ok {
			writeUnavailable(w, "no proxy is known here yet")
			return
		}
		body, _ := json.Marshal(map[string]any{"addresses": addresses, "ttl": d.ttl()})
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
	})
}

// ttl returns how long clients may cache a lookup response, formatted for the response.
func (d *Daemon) ttl() string {
	ttl := constants.LookupTTL
	if limit := d.settings.Bounds.TTLMax.D(); limit > 0 && limit < ttl {
		ttl = limit
	}
	return strconv.FormatInt(int64(ttl/time.Millisecond), 10) + "ms"
}
