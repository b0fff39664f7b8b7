package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"slateridge/internal/config"
)

// If maxAttempts of a route is lowered while a request is in flight, the request is sent to no
// more upstreams than the newest configuration allows.
func TestLoweredMaxAttemptsAppliesToRequestsInFlight(t *testing.T) {
	lowered, err := config.Parse([]byte(strings.NewReplacer(`"maxAttempts":2`, `"maxAttempts":1`, `"maxAttempts":3`, `"maxAttempts":1`).
		Replace(fmt.Sprintf(testConfig, 2))))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ method, path, status, more string }{
		"failed, idempotent":       {"GET", "/safe/", "500 Oops", ""},
		"rejected, non-idempotent": {"POST", "/once/", "503 Full", "X-Slateridge-Not-Executed: 1\r\n"},
		"rejected, stream":         {"POST", "/flow/", "503 Full", "X-Slateridge-Not-Executed: 1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var s *Proxy
			answer := func(_ int, _ *http.Request) (string, bool) {
				s.config.Store(lowered)
				return formatResponse(c.status, "id-1", c.more, ""), false
			}
			a, b := newRawUpstream(t, answer), newRawUpstream(t, answer)
			s = newProxy(t, a.instance("i-1"), b.instance("i-2"))
			for range 400 {
				s.retryBudget.RecordRequest(s.now(), "svc")
			}
			w := sendRequest(s, c.method, c.path, "")
			if n := a.count() + b.count(); n != 1 {
				t.Errorf("got %d after %d arrivals, want 1 arrival", w.Code, n)
			}
		})
	}
}

// A hedged attempt works on a copy of the exchange made before its goroutine starts, so counting
// the first response meanwhile is no data race. The race detector reports a violation.
func TestHedgeConcurrentWithResponse(t *testing.T) {
	answer := func(n int, r *http.Request) (string, bool) {
		time.Sleep(time.Millisecond + time.Duration(n%40)*25*time.Microsecond)
		return okResponse(r, "x"), false
	}
	a, b := newRawUpstream(t, answer), newRawUpstream(t, answer)
	s := newProxy(t, a.instance("i-1"), b.instance("i-2"))
	for range 4000 {
		s.retryBudget.RecordRequest(s.now(), "svc")
	}
	for range 400 {
		s.pool.mu.Lock()
		s.pool.latencies["svc"] = &serviceLatency{responses: *uniformLatency(500 * time.Microsecond)} // so that hedges start at about the time responses arrive
		s.pool.mu.Unlock()
		if w := sendRequest(s, "GET", "/safe/", ""); w.Code != http.StatusOK {
			t.Fatalf("got %d", w.Code)
		}
	}
	if s.hedges.Load() == 0 {
		t.Error("no hedges")
	}
}
