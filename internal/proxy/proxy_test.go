package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"slateridge/internal/admission"
	"slateridge/internal/config"
	"slateridge/internal/discovery"
	"slateridge/internal/eventlog"
)

// rawUpstream is an upstream whose responses are raw bytes: script is called for each request,
// and the answer that it returns is written. If close is true, the connection is closed
// afterwards.
type rawUpstream struct {
	listener net.Listener
	mu       sync.Mutex
	requests []string // method, path and body of each request that arrived
	headers  []http.Header
}

type script func(n int, r *http.Request) (answer string, close bool)

// serveConns listens until the end of the test, and has each connection served and then closed.
func serveConns(t *testing.T, serve func(c net.Conn)) net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l
}

// serveRequests listens and has each request answered on its connection, until answer returns
// false.
func serveRequests(t *testing.T, answer func(c net.Conn, r *http.Request, body string) (more bool)) net.Listener {
	return serveConns(t, func(c net.Conn) {
		br := bufio.NewReader(c)
		for more := true; more; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			b, _ := io.ReadAll(r.Body)
			more = answer(c, r, string(b))
		}
	})
}

func newRawUpstream(t *testing.T, s script) *rawUpstream {
	u := &rawUpstream{}
	u.listener = serveRequests(t, func(c net.Conn, r *http.Request, body string) bool {
		u.mu.Lock()
		u.requests = append(u.requests, r.Method+" "+r.RequestURI+" "+body)
		u.headers = append(u.headers, r.Header)
		n := len(u.requests)
		u.mu.Unlock()
		a, end := s(n, r)
		io.WriteString(c, a)
		return !end
	})
	return u
}

func (u *rawUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests)
}

func (u *rawUpstream) instance(id string) discovery.Instance {
	return discovery.Instance{ID: id, Service: "svc", Address: u.listener.Addr().String(), Zone: "z", Slots: 2}
}

func okResponse(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: %s\r\nX-Slateridge-Response-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get(headerAttemptID), len(body), body)
}

const testConfig = `{"configVersion":"r%d","resourceList":[
{"resourceKind":"routes","metadata":{"name":"safe"},"spec":{"host":"h.example","pathPrefix":"/safe/","routeType":"idempotent","timeout":"2s","targetLatency":"400ms","priority":2,"targetService":"svc","maxAttempts":2}},
{"resourceKind":"routes","metadata":{"name":"once"},"spec":{"host":"h.example","pathPrefix":"/once/","routeType":"non_idempotent","timeout":"2s","targetLatency":"400ms","priority":1,"targetService":"svc","maxAttempts":3}},
{"resourceKind":"routes","metadata":{"name":"open"},"spec":{"host":"h.example","pathPrefix":"/open/","routeType":"idempotent","timeout":"2s","targetLatency":"400ms","priority":1,"targetService":"svc","maxAttempts":1,"public":true}},
{"resourceKind":"routes","metadata":{"name":"flow"},"spec":{"host":"h.example","pathPrefix":"/flow/","routeType":"streaming","timeout":"9s","targetLatency":"400ms","priority":1,"targetService":"svc","maxAttempts":3,"sessionAffinity":true,"resumable":false}},
{"resourceKind":"services","metadata":{"name":"svc"},"spec":{"healthCheckPath":"/health","maxConnections":100,"protocol":"h1","tlsEnabled":false}},
{"resourceKind":"tenants","metadata":{"name":"ten"},"spec":{"apiKeys":["k1"],"ratePerS":0,"burstSize":0}},
{"resourceKind":"tenants","metadata":{"name":"tight"},"spec":{"apiKeys":["k2"],"ratePerS":0.001,"burstSize":1}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}`

func newProxy(t *testing.T, instances ...discovery.Instance) *Proxy {
	cfg, err := config.Parse([]byte(fmt.Sprintf(testConfig, 1)))
	if err != nil {
		t.Fatal(err)
	}
	s := &Proxy{histograms: newHistograms(), events: eventlog.New(zerolog.Nop()), startedAt: time.Now().Add(-time.Minute), limiter: admission.New(20, 3, 1)}
	s.retryBudget = NewRetryBudget(0, 10*time.Second, 0.2, 60)
	s.retryBudget.SetProxies(1)
	s.pool = NewPool("p", "z", map[string]string{"z": "r", "z2": "r", "far": "r2"}, func(string) int { return 10 }, func(string) ColdBound { return ColdBound{} })
	s.requestTokens = func(string, time.Time) {}
	s.limiter.SetProxies(0, 1)
	s.limiter.SetQuotas(0, admission.Quotas(cfg))
	s.config.Store(cfg)
	s.pool.Apply(time.Now(), instances)
	return s
}

func sendRequest(s *Proxy, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.RequestURI = path
	r.Host = "h.example"
	r.Header.Set(headerAttemptID, "id-1")
	r.Header.Set(headerBudget, "1500")
	r.Header.Set(headerAPIKey, "k1")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if e := recover(); e != nil && e != http.ErrAbortHandler {
				panic(e)
			}
		}()
		s.ServeHTTP(w, r)
	}()
	return w
}

func TestForwardsRequestUnchanged(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "the body"), false })
	s := newProxy(t, u.instance("i-1"))
	path := "/once/a//b/../%41%2f?x=%zz&y=1;2"
	w := sendRequest(s, "POST", path, "payload", headerTenant, "forged", "X-Other", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
	if w.Code != 200 || w.Body.String() != "the body" || w.Header().Get(headerSeal) != "s" {
		t.Fatalf("got %d %q", w.Code, w.Body)
	}
	if want := "POST " + path + " payload"; u.requests[0] != want {
		t.Fatalf("upstream saw %q, want %q", u.requests[0], want)
	}
	h := u.headers[0]
	for k, want := range map[string]string{headerTenant: "ten", headerExpectedInstance: "i-1", headerAPIKey: "", "X-Other": "kept", "X-Hop": "", "Accept-Encoding": "", "User-Agent": "", headerAttemptID: "id-1"} {
		if got := h.Get(k); got != want {
			t.Errorf("%s: upstream saw %q, want %q", k, got, want)
		}
	}
	if n, err := strconv.Atoi(h.Get(headerBudget)); err != nil || n <= 0 || n > 1500 {
		t.Errorf("time budget sent: %q", h.Get(headerBudget))
	}
	if len(h) != 5 { // X-Other and the four headers that the proxy sets; Content-Length is checked separately
		if _, cl := h["Content-Length"]; !(cl && len(h) == 6) {
			t.Errorf("headers added: %v", h)
		}
	}
}

// Requests that match no route, have an unknown key or exceed their quota are refused with
// different statuses and reach no upstream.
func TestRefusalStatus(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, ""), false })
	s := newProxy(t, u.instance("i-1"))
	for _, c := range []struct {
		path, key string
		code      int
	}{{"/none/", "k1", 404}, {"/safe/", "bad", 401}, {"/safe/", "k2", 429}, {"/open/", "bad", 200}} {
		if w := sendRequest(s, "GET", c.path, "", headerAPIKey, c.key); w.Code != c.code {
			t.Errorf("%s with %s: got %d, want %d", c.path, c.key, w.Code, c.code)
		}
	}
	if u.count() != 1 {
		t.Errorf("%d requests reached the upstream, want only the public one", u.count())
	}
	s.pool.Apply(time.Now(), nil)
	if w := sendRequest(s, "GET", "/safe/", ""); w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("no upstream: got %d", w.Code)
	}
}

// If revoked keys must not be accepted even by a disconnected proxy, a proxy that has had no
// confirmation of its configuration for too long refuses requests with a key and forwards
// nothing. Public routes are still served.
func TestUnconfirmedKeysAreRefused(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
	s := newProxy(t, u.instance("i-1"))
	confirmedAt := time.Now()
	s.keyTrustPeriod, s.readIndexAt = 4*time.Second, func() time.Time { return confirmedAt }
	if w := sendRequest(s, "GET", "/safe/x", ""); w.Code != 200 {
		t.Errorf("a confirmed key: %d", w.Code)
	}
	confirmedAt = time.Now().Add(-5 * time.Second)
	if w := sendRequest(s, "GET", "/safe/x", ""); w.Code != 503 || w.Header().Get("Retry-After") == "" || u.count() != 1 {
		t.Errorf("a key that may be revoked: %d %v, %d sent", w.Code, w.Header(), u.count())
	}
	if w := sendRequest(s, "GET", "/open/x", ""); w.Code != 200 {
		t.Errorf("a public route: %d", w.Code)
	}
}

// The client gets a status that guarantees that its request was not executed only if that is
// certain, whatever the upstream does.
func TestAmbiguousOutcomeIsNotReportedAsUnexecuted(t *testing.T) {
	plain := func(status string) script {
		return func(_ int, _ *http.Request) (string, bool) {
			return "HTTP/1.1 " + status + "\r\nX-Slateridge-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n", false
		}
	}
	for name, c := range map[string]struct {
		s        script
		path     string
		code     int
		arrivals int
	}{
		"closed without a response, once": {func(int, *http.Request) (string, bool) { return "", true }, "/once/", 502, 1},
		"closed without a response, safe": {func(int, *http.Request) (string, bool) { return "", true }, "/safe/", 502, 2},
		"unmarked 503, once":              {plain("503 Full"), "/once/", 502, 1},
		"unmarked 429, once":              {plain("429 Slow"), "/once/", 502, 1},
		"unmarked 408, once":              {plain("408 Late"), "/once/", 502, 1},
		"garbage, once":                   {func(int, *http.Request) (string, bool) { return "no answer at all\r\n\r\n", true }, "/once/", 502, 1},
		"truncated response, once": {func(_ int, r *http.Request) (string, bool) {
			return okResponse(r, "whole")[:len(okResponse(r, "whole"))-2], true
		}, "/once/", 502, 1},
		"truncated response, safe": {func(_ int, r *http.Request) (string, bool) {
			return okResponse(r, "whole")[:len(okResponse(r, "whole"))-2], true
		}, "/safe/", 502, 2},
		"body without length or end, once": {func(int, *http.Request) (string, bool) {
			return "HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\n\r\nperhaps cu", true
		}, "/once/", 502, 1},
		"body without length or end, stream": {func(int, *http.Request) (string, bool) {
			return "HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\n\r\nid: 1\n", true
		}, "/flow/", 502, 1},
		"served but marked as not executed, once": {func(_ int, r *http.Request) (string, bool) {
			return strings.Replace(okResponse(r, "x"), "\r\n", "\r\nX-Slateridge-Not-Executed: 1\r\n", 1), false
		}, "/once/", 200, 1},
		"invalid status 042, once": {plain("042 Odd"), "/once/", 502, 1},
		"invalid status 777, once": {plain("777 Odd"), "/once/", 502, 1},
		"unrequested 101, once":    {plain("101 Switching Protocols"), "/once/", 502, 1},
		"response to another request, once": {func(_ int, r *http.Request) (string, bool) {
			return strings.Replace(okResponse(r, "x"), "id-1", "id-2", 1), false
		}, "/once/", 502, 1},
		"success without the seal, once": {plain("200 OK"), "/once/", 502, 1},
		"500 from the upstream, once":    {plain("500 Oops"), "/once/", 500, 1},
		"rejected, once": {func(int, *http.Request) (string, bool) {
			return "HTTP/1.1 503 Full\r\nX-Slateridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false
		}, "/once/", 503, 2},
		"misdirected, once": {plain("421 Misdirected"), "/once/", 503, 2},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newRawUpstream(t, c.s), newRawUpstream(t, c.s)
			s := newProxy(t, a.instance("i-1"), b.instance("i-2"))
			for range 400 { // budget for retries
				s.retryBudget.RecordRequest(s.now(), "svc")
			}
			w := sendRequest(s, "POST", c.path, "x")
			if w.Code != c.code || a.count()+b.count() != c.arrivals {
				t.Errorf("got %d after %d arrivals, want %d after %d", w.Code, a.count()+b.count(), c.code, c.arrivals)
			}
		})
	}
}

// Bytes after a complete response belong to no request, so the connection is not reused. A
// connection that was closed while idle causes no failure.
func TestExcessResponseBytesAreDiscarded(t *testing.T) {
	u := newRawUpstream(t, func(n int, r *http.Request) (string, bool) {
		if n == 1 {
			return okResponse(r, "one") + "HTTP/1.1 200 OK\r\nX-Slateridge-Response-Seal: f\r\nContent-Length: 6\r\n\r\nforged", false
		}
		return okResponse(r, "two"), false
	})
	s := newProxy(t, u.instance("i-1"))
	for i, want := range []string{"one", "two", "two"} {
		if w := sendRequest(s, "POST", "/once/", "x"); w.Code != 200 || w.Body.String() != want {
			t.Fatalf("request %d: got %d %q, want %q", i+1, w.Code, w.Body, want)
		}
	}
	if s.pool.NewConns != 2 {
		t.Errorf("%d connections opened, want 2: the first is not reused, the second is", s.pool.NewConns)
	}
}

func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
	s := newProxy(t, u.instance("i-1"))
	sendRequest(s, "GET", "/safe/", "")
	i := u.instance("i-1")
	i.Draining = true
	s.pool.Apply(time.Now(), []discovery.Instance{i})
	if w := sendRequest(s, "GET", "/safe/", ""); w.Code != 503 || u.count() != 1 {
		t.Errorf("got %d after %d arrivals, want 503 after 1", w.Code, u.count())
	}
}

// A long response that is truncated by the upstream is also truncated toward the client.
func TestTruncatedLongResponseIsAborted(t *testing.T) {
	u := newRawUpstream(t, func(_ int, _ *http.Request) (string, bool) {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\nContent-Length: %d\r\n\r\n%s", 900000, strings.Repeat("x", 600000)), true
	})
	srv := httptest.NewServer(newProxy(t, u.instance("i-1")))
	defer srv.Close()
	r, _ := http.NewRequest("GET", srv.URL+"/open/", nil)
	r.Host = "h.example"
	r.Header.Set(headerAttemptID, "id-1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(resp.Body); err == nil {
		t.Fatalf("%d bytes of a truncated response looked complete", len(b))
	}
}

// Draining completes the requests in flight: serve must not return when the listener closes.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{})
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
		close(started)
		<-release
		return okResponse(r, "late"), false
	})
	s := newProxy(t, u.instance("i-1"))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	frontend := newFrontend(l, s, func() config.Limits { return config.Limits{} }, time.Second)
	served := make(chan struct{})
	go func() { frontend.serve(); close(served) }()
	got := make(chan string, 1)
	go func() {
		r, _ := http.NewRequest("GET", "http://"+l.Addr().String()+"/open/", nil)
		r.Host = "h.example"
		r.Header.Set(headerAttemptID, "id-1")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			got <- err.Error()
			return
		}
		b, _ := io.ReadAll(resp.Body)
		got <- string(b)
	}()
	<-started
	drained := make(chan struct{})
	go func() { frontend.drain(context.Background()); close(drained) }()
	for { // the listener is closed
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			break
		}
		c.Close()
	}
	select {
	case <-served:
		t.Fatal("the frontend ended with a request in flight")
	default:
	}
	close(release)
	if b := <-got; b != "late" {
		t.Fatalf("client got %q", b)
	}
	<-drained
	frontend.close()
	<-served
}

// A configuration that arrives while a request is being processed applies to it until its bytes
// are sent.
func TestConfigIsCheckedAgainBeforeSending(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
	s := newProxy(t, u.instance("i-1"))
	r := httptest.NewRequest("POST", "/once/", nil)
	r.RequestURI, r.Host = "/once/", "h.example"
	r.Header.Set(headerAttemptID, "id-1")
	r.Header.Set(headerAPIKey, "k1")
	cfg := s.config.Load()
	route, tenant, _ := matchRequest(cfg, r)
	p := s.newExchange(r, time.Now(), cfg, route, tenant)
	withoutRoute, err := config.Parse([]byte(strings.Replace(fmt.Sprintf(testConfig, 2), `"/once/"`, `"/elsewhere/"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	s.config.Store(withoutRoute)
	if res, code := p.forward(); res != nil || code != 404 || u.count() != 0 {
		t.Errorf("got %v %d after %d arrivals, want 404 after none", res, code, u.count())
	}
	p.deadline = time.Now().Add(-time.Millisecond)
	s.config.Store(cfg)
	if pl := s.pool.Place(target{service: "svc", regions: anyRegion}, nil); pl == nil || !p.attempt(pl).notExecuted || u.count() != 0 {
		t.Error("sent after its deadline")
	}
}

// A connection remains usable after the deadline of its last request has passed.
func TestIdleConnectionSurvivesLastDeadline(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
	s := newProxy(t, u.instance("i-1"))
	sendRequest(s, "POST", "/once/", "", headerBudget, "40")
	time.Sleep(100 * time.Millisecond)
	if w := sendRequest(s, "POST", "/once/", ""); w.Code != 200 || s.pool.NewConns != 1 {
		t.Errorf("got %d over %d connections, want 200 over one", w.Code, s.pool.NewConns)
	}
}

// An upstream that answers every request with an error is ejected after the first, and then
// tried sparingly. If all upstreams do so, all are still tried.
func TestUpstreamRespondingWithErrorsIsEjected(t *testing.T) {
	failing := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
		return "HTTP/1.1 500 Ill\r\nX-Slateridge-Attempt-Id: " + r.Header.Get(headerAttemptID) + "\r\nX-Slateridge-Response-Seal: s\r\nContent-Length: 0\r\n\r\n", false
	})
	healthy := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "b"), false })
	s := newProxy(t, failing.instance("i-1"), healthy.instance("i-2"))
	for range 40 {
		sendRequest(s, "POST", "/once/", "")
	}
	if n := failing.count(); n > 3 {
		t.Errorf("the failing upstream got %d of 40 requests", n)
	}
	s = newProxy(t, failing.instance("i-1"))
	before := failing.count()
	for range 5 {
		sendRequest(s, "POST", "/once/", "")
	}
	if n := failing.count() - before; n != 5 {
		t.Errorf("the only upstream got %d of 5 requests", n)
	}
}

// A refusal without the attempt's ID may be a late response to an earlier request on the
// connection: it does not prove that this request was not executed. On a new connection there is
// no earlier request.
func TestUnverifiedRefusalIsNotTrusted(t *testing.T) {
	const rejection = "HTTP/1.1 503 Full\r\nX-Slateridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	u := newRawUpstream(t, func(n int, r *http.Request) (string, bool) {
		if n == 1 {
			return okResponse(r, "b"), false
		}
		return rejection, false
	})
	other := newRawUpstream(t, func(_ int, _ *http.Request) (string, bool) { return rejection, false })
	s := newProxy(t, u.instance("i-1"))
	sendRequest(s, "POST", "/once/", "")
	s.pool.Apply(time.Now(), []discovery.Instance{u.instance("i-1"), other.instance("i-2")})
	for id := range s.pool.upstreams {
		if id == "i-2" {
			s.pool.upstreams[id].ejectedUntil = time.Now().Add(time.Minute)
		}
	}
	if w := sendRequest(s, "POST", "/once/", ""); w.Code != http.StatusBadGateway || other.count() != 0 {
		t.Errorf("on a reused connection: got %d and %d attempts elsewhere, want 502 and none", w.Code, other.count())
	}
	s = newProxy(t, other.instance("i-2"))
	if w := sendRequest(s, "POST", "/once/", ""); w.Code != http.StatusServiceUnavailable {
		t.Errorf("on a new connection: got %d, want 503", w.Code)
	}
}

// connCounts returns how many connections to upstreams are counted as open, and how many of them
// are idle.
func connCounts(s *Proxy) (open, idle int) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	for _, u := range s.pool.upstreams {
		open, idle = open+u.conns, idle+len(u.idle)
	}
	return open, idle
}

// A long response that is replaced by that of another upstream releases its connection.
// Otherwise the connection would be lost forever, and an upstream accepts only a few.
func TestReplacedResponseReleasesConnection(t *testing.T) {
	for name, c := range map[string]struct {
		pause  time.Duration // of the first upstream, before it fails
		serves bool          // the second upstream succeeds
		code   int
	}{
		"the second serves": {0, true, 200},
		"both fail":         {0, false, 500},
		"both fail, hedged": {600 * time.Millisecond, false, 500},
	} {
		t.Run(name, func(t *testing.T) {
			var arrivals atomic.Int64
			var second time.Duration
			began := time.Now()
			answer := func(_ int, r *http.Request) (string, bool) {
				if arrivals.Add(1) == 1 {
					time.Sleep(c.pause)
				} else if second = time.Since(began); c.serves {
					return okResponse(r, "x"), false
				}
				return fmt.Sprintf("HTTP/1.1 500 Oops\r\nX-Slateridge-Attempt-Id: id-1\r\nContent-Length: 600000\r\n\r\n%s", strings.Repeat("x", 600000)), false
			}
			a, b := newRawUpstream(t, answer), newRawUpstream(t, answer)
			s := newProxy(t, a.instance("i-1"), b.instance("i-2"))
			for range 400 {
				s.retryBudget.RecordRequest(s.now(), "svc")
			}
			if w := sendRequest(s, "GET", "/safe/", ""); w.Code != c.code || a.count() != 1 || b.count() != 1 {
				t.Fatalf("got %d after %d and %d arrivals, want %d after one each", w.Code, a.count(), b.count(), c.code)
			}
			if c.pause > 0 && second >= c.pause {
				t.Fatal("not hedged")
			}
			if open, idle := connCounts(s); open != idle {
				t.Errorf("%d connections are counted as open and %d of them as idle, with no request in flight", open, idle)
			}
		})
	}
}

// A response that may belong to an earlier request on the connection is not relayed, whatever
// its status. A request without an ID, whose response only the connection identifies, gets a
// connection of its own.
func TestStaleResponseIsNotRelayed(t *testing.T) {
	for _, c := range []struct {
		late string // sent in place of the second response
		id   string // of the second request
		code int
	}{
		{"HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nother", "id-2", 502},
		{"HTTP/1.1 500 Oops\r\nContent-Length: 5\r\n\r\nother", "id-2", 502},
		{"HTTP/1.1 500 Oops\r\nX-Slateridge-Attempt-Id: id-1\r\nContent-Length: 5\r\n\r\nother", "id-2", 502},
		{"HTTP/1.1 500 Oops\r\nX-Slateridge-Attempt-Id: id-2\r\nContent-Length: 5\r\n\r\nother", "id-2", 500}, // the response to this request
		{"HTTP/1.1 500 Oops\r\nX-Slateridge-Attempt-Id: id-2\r\nX-Slateridge-Attempt-Id: id-1\r\nContent-Length: 5\r\n\r\nother", "id-2", 502},
		{"HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\nContent-Length: 5\r\n\r\nother", "", 502},
		{"HTTP/1.1 400 Bad Request\r\nX-Slateridge-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nother", "", 400}, // on a new connection
	} {
		var addrs []string // remote addresses of requests
		u := &rawUpstream{}
		u.listener = serveRequests(t, func(conn net.Conn, r *http.Request, _ string) bool {
			u.mu.Lock()
			addrs = append(addrs, conn.RemoteAddr().String())
			response := c.late
			if len(addrs) == 1 {
				response = okResponse(r, "one")
			}
			u.mu.Unlock()
			io.WriteString(conn, response)
			return true
		})
		s := newProxy(t, u.instance("i-1"))
		if w := sendRequest(s, "POST", "/once/", ""); w.Code != 200 {
			t.Fatal(w.Code)
		}
		w := sendRequest(s, "POST", "/once/", "", headerAttemptID, c.id)
		if w.Code != c.code || w.Code == 502 && w.Body.Len() > 0 {
			t.Errorf("%q: got %d %q, want %d", c.late, w.Code, w.Body, c.code)
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		if (c.id == "") == (addrs[0] == addrs[1]) {
			t.Errorf("%q: sent over %v", c.late, addrs)
		}
	}
}

// An instance that is listed under the same ID at another address, or for another service, is a
// new upstream: nothing is sent over connections to the previous one.
func TestMovedInstanceIsNewUpstream(t *testing.T) {
	a := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "a"), false })
	b := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "b"), false })
	s := newProxy(t, a.instance("i-1"))
	sendRequest(s, "POST", "/once/", "")
	s.pool.Apply(time.Now(), []discovery.Instance{b.instance("i-1")})
	if w := sendRequest(s, "POST", "/once/", ""); w.Body.String() != "b" || a.count() != 1 {
		t.Errorf("got %d %q, %d sent to the previous address", w.Code, w.Body, a.count())
	}
}

// A connection that was taken and put back unused stays idle since its last exchange, and is
// closed before its upstream closes it.
func TestUnusedConnectionKeepsIdleTime(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
	s := newProxy(t, u.instance("i-1"))
	sendRequest(s, "POST", "/once/", "")
	conn := s.pool.upstreams["i-1"].idle[0]
	conn.idleAt = conn.idleAt.Add(-conn.idleTimeout / 2)
	idleAt := conn.idleAt
	pl := s.pool.Place(target{service: "svc", regions: anyRegion}, nil)
	r := httptest.NewRequest("POST", "/once/", nil)
	r.RequestURI, r.Host = "/once/", "h.example"
	cfg := s.config.Load()
	p := s.newExchange(r, time.Now(), cfg, cfg.Match("h.example", "/once/"), nil)
	p.allowedRegions = "none"
	r.Header.Set(headerAttemptID, "id-2")
	if res := p.attempt(pl); !res.abandoned || u.count() != 1 {
		t.Fatalf("sent although not allowed: %+v", res)
	}
	if idle := s.pool.upstreams["i-1"].idle; len(idle) != 1 || idle[0] != conn || !conn.idleAt.Equal(idleAt) {
		t.Error("the idle time starts anew although nothing was exchanged")
	}
}
