package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"slateridge/internal/accounts"
)

// Latency objectives: one that every response meets, even on a loaded machine, and one that no
// delayed response meets.
const (
	easyLatency       = "60s"
	impossibleLatency = "1ms"
)

// newAccountingProxy returns a proxy with one upstream whose tenants have an objective.
func newAccountingProxy(t *testing.T, latency string, respond func(c net.Conn, r *http.Request)) *Proxy {
	t.Helper()
	objectives, err := accounts.ParseObjectives([]byte(`{"version":1,"shards":1,"defaultClass":"all",
		"classes":{"all":{"target":0.99,"latency":"` + latency + `","window":"720h"}}}`))
	if err != nil {
		t.Fatal(err)
	}
	instance, _ := newStreamUpstream(t, respond)
	s := newProxy(t, instance)
	s.accounts = accounts.NewMeter("p", 1, objectives, nil, nil)
	return s
}

// upstreamResponses holds the behaviours of the fake upstream by name.
var upstreamResponses = map[string]func(c net.Conn, r *http.Request){
	"ok":     func(c net.Conn, r *http.Request) { io.WriteString(c, okResponse(r, "hi")) },
	"closed": func(c net.Conn, _ *http.Request) { c.Close() },
	"bad request": func(c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nX-Slateridge-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n")
	},
	"late": func(c net.Conn, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		io.WriteString(c, okResponse(r, "hi"))
	},
	"truncated": func(c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")
		c.Close()
	},
}

// TestRequestOutcomes checks that a request of each kind is settled exactly once and with the
// right outcome.
func TestRequestOutcomes(t *testing.T) {
	cases := []struct {
		method, path, upstream string
		want                   accounts.Outcome
	}{
		{"GET", "/safe/x", "ok", accounts.OnTime},
		{"GET", "/safe/x", "late", accounts.Late},
		{"GET", "/safe/x", "closed", accounts.Lost},
		{"GET", "/safe/x", "bad request", accounts.Refused},
		{"POST", "/once/x", "ok", accounts.OnTime},
		{"POST", "/once/x", "closed", accounts.Unknown}, // it may have been executed
		{"GET", "/flow/x", "truncated", accounts.Lost},
	}
	for _, c := range cases {
		latency := easyLatency
		if c.want == accounts.Late {
			latency = impossibleLatency
		}
		s := newAccountingProxy(t, latency, upstreamResponses[c.upstream])
		sendRequest(s, c.method, c.path, "")
		account := s.accounts.Account("ten")
		if account.Taken != 1 || account.Open() != 0 || account.Settled[c.want] != 1 || account.Doubled != 0 {
			t.Errorf("%s %s, upstream %s: %+v, want one %v", c.method, c.path, c.upstream, account, c.want)
		}
	}
}

// TestOutcomesWithoutResponse checks the outcomes of requests over the quota, of requests
// without a tenant, and of a request whose client disconnects.
func TestOutcomesWithoutResponse(t *testing.T) {
	s := newAccountingProxy(t, easyLatency, upstreamResponses["ok"])
	for range 3 {
		sendRequest(s, "GET", "/safe/x", "", headerAPIKey, "k2")
	}
	account := s.accounts.Account("tight")
	if account.Taken != 3 || account.Settled[accounts.Refused] == 0 || account.Settled[accounts.Refused]+account.Settled[accounts.OnTime] != 3 {
		t.Errorf("over the quota: %+v", account)
	}
	sendRequest(s, "GET", "/safe/x", "", headerAPIKey, "unknown key")
	sendRequest(s, "GET", "/open/x", "")
	if account := s.accounts.Account("ten"); account.Taken != 0 {
		t.Errorf("requests without a tenant: %+v", account)
	}
	s = newAccountingProxy(t, easyLatency, upstreamResponses["late"])
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	request := httptest.NewRequestWithContext(ctx, "GET", "/safe/x", nil)
	request.RequestURI, request.Host = "/safe/x", "h.example"
	request.Header.Set(headerAPIKey, "k1")
	s.ServeHTTP(httptest.NewRecorder(), request)
	if account := s.accounts.Account("ten"); account.Taken != 1 || account.Settled[accounts.Unknown] != 1 {
		t.Errorf("disconnected client: %+v", account)
	}
}

// TestSecondExecutionIsCountedOnce checks that a non-idempotent request is counted as executed
// twice, once only, as soon as a second upstream confirms its execution, and that an
// idempotent request never is.
func TestSecondExecutionIsCountedOnce(t *testing.T) {
	s := newAccountingProxy(t, easyLatency, upstreamResponses["ok"])
	for _, path := range []string{"/once/x", "/safe/x"} {
		request := httptest.NewRequest("POST", path, nil)
		request.RequestURI, request.Host = path, "h.example"
		request.Header.Set(headerAPIKey, "k1")
		route, _, _ := matchRequest(s.config.Load(), request)
		p := &exchange{proxy: s, request: request, route: route, account: s.accounts.Begin("ten")}
		executed := &result{sent: true, resp: &http.Response{StatusCode: http.StatusOK, Header: http.Header{headerSeal: {"s"}}}}
		for range 3 {
			p.countAttempt(executed)
		}
		p.countAttempt(&result{sent: true, notExecuted: true, resp: executed.resp})
	}
	if account := s.accounts.Account("ten"); account.Taken != 2 || account.Doubled != 1 {
		t.Errorf("%+v, want one counted as executed twice", account)
	}
}
