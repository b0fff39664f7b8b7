package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"slateridge/internal/discovery"
)

// A proxy that knows no configuration yet has no verdict on any request.
func TestNoVerdictWithoutAConfiguration(t *testing.T) {
	s := newProxy(t)
	s.config.Store(nil)
	for _, path := range []string{"/safe/", "/once/", "/none/"} {
		if w := get(s, "POST", path, "x", headerAPIKey, "bad"); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: %d %v", path, w.Code, w.Header())
		}
	}
}

// Readiness fails from the first moment of leaving.
func TestReadinessFailsWithLeaving(t *testing.T) {
	d, _ := newTestDaemon(t)
	d.ready.Store(true)
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		w := httptest.NewRecorder()
		d.readiness(w, httptest.NewRequest("GET", "/api/readiness", nil))
		if w.Code != want {
			t.Errorf("leaving %v: %d", d.leaving.Load(), w.Code)
		}
		d.leaving.Store(true)
	}
}

// Each try is handed the time that is left, and the client is answered at the timeout.
func TestTimeHandedOnIsWhatIsLeft(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		budget string
		held   time.Duration
	}{"the client's time": {"1400", 1400 * time.Millisecond}, "the route's": {"9000", 2 * time.Second}} {
		began := time.Now()
		u := newRawUpstream(t, func(n int, r *http.Request) (string, bool) {
			if n == 1 {
				time.Sleep(800 * time.Millisecond)
				return "", true
			}
			time.Sleep(3 * time.Second)
			return ok(r, "x"), false
		})
		s := newProxy(t, u.instance("i-1"), u.instance("i-2"))
		for range 400 {
			s.retryBudget.RecordRequest(s.now(), "svc")
		}
		w := get(s, "GET", "/safe/x", "", headerBudget, c.budget)
		if took := time.Since(began); w.Code != http.StatusGatewayTimeout || took < c.held || took > c.held+machineSlack {
			t.Errorf("%s: %d after %v", name, w.Code, took)
		}
		u.mu.Lock()
		for n, head := range u.heads {
			left, err := strconv.Atoi(head.Get(headerBudget))
			passed := time.Duration(n) * 200 * time.Millisecond // the second offer goes out then at the earliest
			if err != nil || time.Duration(left)*time.Millisecond > c.held-passed {
				t.Errorf("%s: try %d is handed %q", name, n+1, head.Get(headerBudget))
			}
		}
		if len(u.heads) < 2 {
			t.Errorf("%s: no second try", name)
		}
		u.mu.Unlock()
	}
}

// An upstream that answers before it has read a long body gets the whole body and then
// the next request, nothing else.
func TestEarlyAnswerIsFollowedByTheWholeBody(t *testing.T) {
	const length = 600000
	bodies := make(chan error, 4)
	listener := listenEach(t, func(c net.Conn) {
		for br := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			io.WriteString(c, ok(r, "early"))
			time.Sleep(100 * time.Millisecond)
			b, err := io.ReadAll(r.Body)
			if err == nil && string(b) != strings.Repeat("x", length) {
				err = fmt.Errorf("%d bytes that differ", len(b))
			}
			bodies <- err
		}
	})
	s := newProxy(t, discovery.Instance{ID: "i-1", Service: "svc", Address: listener.Addr().String(), Zone: "z", Slots: 2})
	for range 2 {
		if w := get(s, "POST", "/once/x", strings.Repeat("x", length)); w.Code != http.StatusOK || w.Body.String() != "early" {
			t.Errorf("%d %q", w.Code, w.Body)
		}
		if err := <-bodies; err != nil {
			t.Error(err)
		}
	}
}

// A failure without a length that ends with its connection is passed on; one that is reset
// on its way is not taken for whole.
func TestResetFailureIsNotWhole(t *testing.T) {
	for _, reset := range []bool{false, true} {
		up, _ := source(t, func(c net.Conn, _ *http.Request) {
			io.WriteString(c, "HTTP/1.1 500 Ill\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\n\r\nthe cause")
			time.Sleep(30 * time.Millisecond)
			if reset {
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		})
		w := get(newProxy(t, up), "POST", "/once/x", "x")
		if whole := w.Code == 500 && w.Body.String() == "the cause"; whole == reset || reset && w.Code != http.StatusBadGateway {
			t.Errorf("reset %v: %d %q", reset, w.Code, w.Body)
		}
	}
}

// A request on a kept connection that went on to an upstream is answered on it, whatever
// became of it there, and the connection serves the next.
func TestKeptConnectionIsAnswered(t *testing.T) {
	u := newRawUpstream(t, func(n int, r *http.Request) (string, bool) {
		return []string{"", "HTTP/1.1 200 OK\r\nContent-Le", ok(r, "x")}[n%3], n%3 < 2
	})
	_, front := newTestDaemon(t, u.instance("i-1"))
	client := connectTo(t, front)
	answers := bufio.NewReader(client)
	for n := range 9 {
		io.WriteString(client, clientRequest("POST", "/once/x", fmt.Sprint("a", n), 0))
		resp, err := http.ReadResponse(answers, nil)
		if err != nil || resp.Close {
			t.Fatalf("request %d: %v, closing %v", n+1, err, resp != nil && resp.Close)
		}
		io.Copy(io.Discard, resp.Body)
	}
}
