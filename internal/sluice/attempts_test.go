package sluice

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"slateridge/internal/scheme"
)

// A request whose route's maxAttempts is lowered while it is under way goes to no more
// upstreams than the newest configuration allows.
func TestLoweredMaxAttemptsBindsRequestsUnderWay(t *testing.T) {
	lowered, err := scheme.Read([]byte(strings.NewReplacer(`"maxAttempts":2`, `"maxAttempts":1`, `"maxAttempts":3`, `"maxAttempts":1`).
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
			var s *Sluice
			answer := func(_ int, r *http.Request) (string, bool) {
				s.scheme.Store(lowered)
				return answerOf(c.status, "id-1", c.more, ""), false
			}
			a, b := newRaw(t, answer), newRaw(t, answer)
			s = newSluice(t, a.instance("i-1"), b.instance("i-2"))
			for range 400 {
				s.allow.Request(s.now(), "svc")
			}
			w := get(s, c.method, c.path, "")
			if n := a.count() + b.count(); n != 1 {
				t.Errorf("got %d after %d arrivals, want one", w.Code, n)
			}
		})
	}
}
