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

// A proxy without a configuration must not reject a request for good: it responds 503 with
// Retry-After whatever the route and the key.
func TestUnavailableWithoutConfiguration(t *testing.T) {
	s := newProxy(t)
	s.config.Store(nil)
	for _, path := range []string{"/safe/", "/once/", "/none/"} {
		if w := sendRequest(s, "POST", path, "x", headerAPIKey, "bad"); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: %d %v", path, w.Code, w.Header())
		}
	}
}

// The readiness check fails as soon as shutdown begins.
func TestReadinessFailsDuringShutdown(t *testing.T) {
	d, _ := newTestDaemon(t)
	d.ready.Store(true)
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		w := httptest.NewRecorder()
		d.serveReadiness(w, httptest.NewRequest("GET", "/api/readiness", nil))
		if w.Code != want {
			t.Errorf("leaving %v: %d", d.shuttingDown.Load(), w.Code)
		}
		d.shuttingDown.Store(true)
	}
}

// Each attempt carries the remaining time in its time budget header, and the client gets a
// response when the time is over.
func TestAttemptsCarryRemainingTime(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		budget string
		limit  time.Duration
	}{"client time budget": {"1400", 1400 * time.Millisecond}, "route timeout": {"9000", 2 * time.Second}} {
		start := time.Now()
		u := newRawUpstream(t, func(n int, r *http.Request) (string, bool) {
			if n == 1 {
				time.Sleep(800 * time.Millisecond)
				return "", true
			}
			time.Sleep(3 * time.Second)
			return okResponse(r, "x"), false
		})
		s := newProxy(t, u.instance("i-1"), u.instance("i-2"))
		for range 400 {
			s.retryBudget.RecordRequest(s.now(), "svc")
		}
		w := sendRequest(s, "GET", "/safe/x", "", headerBudget, c.budget)
		if took := time.Since(start); w.Code != http.StatusGatewayTimeout || took < c.limit || took > c.limit+schedulingSlack {
			t.Errorf("%s: status %d after %v", name, w.Code, took)
		}
		u.mu.Lock()
		for n, head := range u.headers {
			left, err := strconv.Atoi(head.Get(headerBudget))
			elapsed := time.Duration(n) * 200 * time.Millisecond // the second attempt is sent after this time at the earliest
			if err != nil || time.Duration(left)*time.Millisecond > c.limit-elapsed {
				t.Errorf("%s: attempt %d carries a time budget of %q", name, n+1, head.Get(headerBudget))
			}
		}
		if len(u.headers) < 2 {
			t.Errorf("%s: no second attempt", name)
		}
		u.mu.Unlock()
	}
}

// An upstream that responds before it has read a long body must receive the complete body and
// then the next request, and nothing else.
func TestWholeBodyIsSentAfterEarlyResponse(t *testing.T) {
	const length = 600000
	bodies := make(chan error, 4)
	listener := serveConns(t, func(c net.Conn) {
		for br := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			io.WriteString(c, okResponse(r, "early"))
			time.Sleep(100 * time.Millisecond)
			b, err := io.ReadAll(r.Body)
			if err == nil && string(b) != strings.Repeat("x", length) {
				err = fmt.Errorf("%d bytes that differ from the body sent", len(b))
			}
			bodies <- err
		}
	})
	s := newProxy(t, discovery.Instance{ID: "i-1", Service: "svc", Address: listener.Addr().String(), Zone: "z", Slots: 2})
	for range 2 {
		if w := sendRequest(s, "POST", "/once/x", strings.Repeat("x", length)); w.Code != http.StatusOK || w.Body.String() != "early" {
			t.Errorf("%d %q", w.Code, w.Body)
		}
		if err := <-bodies; err != nil {
			t.Error(err)
		}
	}
}

// An error response without a length that ends with its connection is relayed; one that ends
// with a connection reset must not be treated as complete.
func TestResetErrorResponseIsIncomplete(t *testing.T) {
	for _, reset := range []bool{false, true} {
		up, _ := newStreamUpstream(t, func(c net.Conn, _ *http.Request) {
			io.WriteString(c, "HTTP/1.1 500 Ill\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\n\r\nthe cause")
			time.Sleep(30 * time.Millisecond)
			if reset {
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		})
		w := sendRequest(newProxy(t, up), "POST", "/once/x", "x")
		if relayed := w.Code == 500 && w.Body.String() == "the cause"; relayed == reset || reset && w.Code != http.StatusBadGateway {
			t.Errorf("reset %v: %d %q", reset, w.Code, w.Body)
		}
	}
}

// A request on a persistent client connection gets a response on that connection whatever
// happens to it at the upstream, and the connection then serves the next request.
func TestPersistentConnectionGetsEveryResponse(t *testing.T) {
	u := newRawUpstream(t, func(n int, r *http.Request) (string, bool) {
		return []string{"", "HTTP/1.1 200 OK\r\nContent-Le", okResponse(r, "x")}[n%3], n%3 < 2
	})
	_, frontAddress := newTestDaemon(t, u.instance("i-1"))
	client := dialFrontend(t, frontAddress)
	responses := bufio.NewReader(client)
	for n := range 9 {
		io.WriteString(client, clientRequest("POST", "/once/x", fmt.Sprint("a", n), 0))
		resp, err := http.ReadResponse(responses, nil)
		if err != nil || resp.Close {
			t.Fatalf("request %d: %v, closing %v", n+1, err, resp != nil && resp.Close)
		}
		io.Copy(io.Discard, resp.Body)
	}
}
