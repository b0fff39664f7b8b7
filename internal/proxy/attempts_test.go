package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"slateridge/internal/config"
)

// A request whose route's maxAttempts is lowered while it is under way goes to no more
// upstreams than the newest configuration allows.
func TestLoweredMaxAttemptsBindsRequestsUnderWay(t *testing.T) {
	lowered, err := config.Read([]byte(strings.NewReplacer(`"maxAttempts":2`, `"maxAttempts":1`, `"maxAttempts":3`, `"maxAttempts":1`).
		Replace(fmt.Sprintf(testConfig, 2))))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ method, path, status, more string }{
		"fails, may repeat":     {"GET", "/safe/", "500 Oops", ""},
		"turned away, may not":  {"POST", "/once/", "503 Full", "X-Slateridge-Not-Executed: 1\r\n"},
		"turned away, a stream": {"POST", "/flow/", "503 Full", "X-Slateridge-Not-Executed: 1\r\n"},
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
			w := get(s, c.method, c.path, "")
			if n := a.count() + b.count(); n != 1 {
				t.Errorf("got %d after %d arrivals, want one", w.Code, n)
			}
		})
	}
}

// A hedge carries the request as it was when the hedge was decided, also when its
// goroutine begins only after the first answer has been counted. Shows with -race.
func TestHedgeBesideAnAnswer(t *testing.T) {
	answer := func(n int, r *http.Request) (string, bool) {
		time.Sleep(time.Millisecond + time.Duration(n%40)*25*time.Microsecond)
		return ok(r, "x"), false
	}
	a, b := newRawUpstream(t, answer), newRawUpstream(t, answer)
	s := newProxy(t, a.instance("i-1"), b.instance("i-2"))
	for range 4000 {
		s.retryBudget.RecordRequest(s.now(), "svc")
	}
	for range 400 {
		s.pool.mu.Lock()
		s.pool.times["svc"] = &serviceTimes{answers: *evenAnswers(500 * time.Microsecond)} // so that hedges come about when answers do
		s.pool.mu.Unlock()
		if w := get(s, "GET", "/safe/", ""); w.Code != http.StatusOK {
			t.Fatalf("got %d", w.Code)
		}
	}
	if s.hedges.Load() == 0 {
		t.Error("no hedges")
	}
}
