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

// Bounds of objectives: one that every answer keeps to, on a loaded machine too, and one
// that none does.
const (
	easyBound       = "60s"
	impossibleBound = "1ms"
)

// accounted is a proxy of one upstream whose tenants have an objective.
func accounted(t *testing.T, bound string, answer func(c net.Conn, r *http.Request)) *Proxy {
	t.Helper()
	objectives, err := accounts.ParseObjectives([]byte(`{"version":1,"shards":1,"defaultClass":"all",
		"classes":{"all":{"target":0.99,"latency":"` + bound + `","window":"720h"}}}`))
	if err != nil {
		t.Fatal(err)
	}
	instance, _ := source(t, answer)
	s := newProxy(t, instance)
	s.accounts = accounts.NewMeter("p", 1, objectives, nil, nil)
	return s
}

// answers are what the stand-in upstream says, by the end of the path.
var answers = map[string]func(c net.Conn, r *http.Request){
	"fine":   func(c net.Conn, r *http.Request) { io.WriteString(c, ok(r, "hi")) },
	"broken": func(c net.Conn, _ *http.Request) { c.Close() },
	"wrong": func(c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nX-Slateridge-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n")
	},
	"late": func(c net.Conn, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		io.WriteString(c, ok(r, "hi"))
	},
	"cut": func(c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")
		c.Close()
	},
}

// TestOutcomesOfRequests sends one request of each kind, and finds it settled once as what
// became of it.
func TestOutcomesOfRequests(t *testing.T) {
	cases := []struct {
		method, path, upstream string
		want                   accounts.Outcome
	}{
		{"GET", "/safe/x", "fine", accounts.InAim},
		{"GET", "/safe/x", "late", accounts.Late},
		{"GET", "/safe/x", "broken", accounts.Lost},
		{"GET", "/safe/x", "wrong", accounts.Refused},
		{"POST", "/once/x", "fine", accounts.InAim},
		{"POST", "/once/x", "broken", accounts.Unknown}, // it may have run
		{"GET", "/flow/x", "cut", accounts.Lost},
	}
	for _, c := range cases {
		bound := easyBound
		if c.want == accounts.Late {
			bound = impossibleBound
		}
		s := accounted(t, bound, answers[c.upstream])
		get(s, c.method, c.path, "")
		account := s.accounts.Of("ten")
		if account.Taken != 1 || account.Open() != 0 || account.Settled[c.want] != 1 || account.Doubled != 0 {
			t.Errorf("%s %s, upstream %s: %+v, should be one %v", c.method, c.path, c.upstream, account, c.want)
		}
	}
}

// TestOutcomesWithoutUpstream refuses a request over the quota, and has a client leave.
func TestOutcomesWithoutUpstream(t *testing.T) {
	s := accounted(t, easyBound, answers["fine"])
	for range 3 {
		get(s, "GET", "/safe/x", "", headerAPIKey, "k2")
	}
	account := s.accounts.Of("tight")
	if account.Taken != 3 || account.Settled[accounts.Refused] == 0 || account.Settled[accounts.Refused]+account.Settled[accounts.InAim] != 3 {
		t.Errorf("over the quota: %+v", account)
	}
	get(s, "GET", "/safe/x", "", headerAPIKey, "no key of anyone")
	get(s, "GET", "/open/x", "")
	if account := s.accounts.Of("ten"); account.Taken != 0 {
		t.Errorf("requests of no tenant: %+v", account)
	}
	s = accounted(t, easyBound, answers["late"])
	left, leave := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer leave()
	request := httptest.NewRequestWithContext(left, "GET", "/safe/x", nil)
	request.RequestURI, request.Host = "/safe/x", "h.example"
	request.Header.Set(headerAPIKey, "k1")
	s.ServeHTTP(httptest.NewRecorder(), request)
	if account := s.accounts.Of("ten"); account.Taken != 1 || account.Settled[accounts.Unknown] != 1 {
		t.Errorf("a client that left: %+v", account)
	}
}

// TestDoubledBySecondAnswer counts a request that may run once as doubled when a second
// upstream has answered as having run it, and one that may be repeated never.
func TestDoubledBySecondAnswer(t *testing.T) {
	s := accounted(t, easyBound, answers["fine"])
	for _, path := range []string{"/once/x", "/safe/x"} {
		request := httptest.NewRequest("POST", path, nil)
		request.RequestURI, request.Host = path, "h.example"
		request.Header.Set(headerAPIKey, "k1")
		route, _, _ := matchRequest(s.config.Load(), request)
		p := &exchange{proxy: s, request: request, route: route, account: s.accounts.Begin("ten")}
		ran := &result{sent: true, resp: &http.Response{StatusCode: http.StatusOK, Header: http.Header{headerSeal: {"s"}}}}
		for range 3 {
			p.count(ran)
		}
		p.count(&result{sent: true, notRun: true, resp: ran.resp})
	}
	if account := s.accounts.Of("ten"); account.Taken != 2 || account.Doubled != 1 {
		t.Errorf("%+v, should be one doubled", account)
	}
}
