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

// rawUpstream is an upstream stand-in that speaks bytes: script is called for each
// request on a connection, and what it returns is written; close ends the
// connection after that.
type rawUpstream struct {
	l     net.Listener
	mu    sync.Mutex
	runs  []string // request line and body of each request that arrived
	heads []http.Header
}

type script func(n int, r *http.Request) (answer string, close bool)

// listenEach listens until the test's end, and has each connection served and then closed.
func listenEach(t *testing.T, serve func(c net.Conn)) net.Listener {
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

// upstream listens and has each request answered on its connection, until answer
// says that the connection ends.
func upstream(t *testing.T, answer func(c net.Conn, r *http.Request, body string) (more bool)) net.Listener {
	return listenEach(t, func(c net.Conn) {
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
	u.l = upstream(t, func(c net.Conn, r *http.Request, body string) bool {
		u.mu.Lock()
		u.runs = append(u.runs, r.Method+" "+r.RequestURI+" "+body)
		u.heads = append(u.heads, r.Header)
		n := len(u.runs)
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
	return len(u.runs)
}

func (u *rawUpstream) instance(id string) discovery.Instance {
	return discovery.Instance{ID: id, Service: "svc", Address: u.l.Addr().String(), Zone: "z", Slots: 2}
}

func ok(r *http.Request, body string) string {
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

func newProxy(t *testing.T, ups ...discovery.Instance) *Proxy {
	cfg, err := config.Read([]byte(fmt.Sprintf(testConfig, 1)))
	if err != nil {
		t.Fatal(err)
	}
	s := &Proxy{histograms: newHistograms(), events: eventlog.New(zerolog.Nop()), began: time.Now().Add(-time.Minute), limiter: admission.New(20, 3, 1)}
	s.retryBudget = NewRetryBudget(0, 10*time.Second, 0.2, 60)
	s.retryBudget.SetProxies(1)
	s.pool = NewPool("p", "z", map[string]string{"z": "r", "z2": "r", "far": "r2"}, func(string) int { return 10 }, func(string) ColdBound { return ColdBound{} })
	s.askFor = func(string, time.Time) {}
	s.limiter.SetProxies(0, 1)
	s.limiter.SetQuotas(0, admission.Quotas(cfg))
	s.config.Store(cfg)
	s.pool.Apply(time.Now(), ups)
	return s
}

func get(s *Proxy, method, path, body string, hdr ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.RequestURI = path
	r.Host = "h.example"
	r.Header.Set(headerAttemptID, "id-1")
	r.Header.Set(headerBudget, "1500")
	r.Header.Set(headerAPIKey, "k1")
	for i := 0; i+1 < len(hdr); i += 2 {
		r.Header.Set(hdr[i], hdr[i+1])
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

func TestForwardsByteForByte(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "the body"), false })
	s := newProxy(t, u.instance("i-1"))
	path := "/once/a//b/../%41%2f?x=%zz&y=1;2"
	w := get(s, "POST", path, "payload", headerTenant, "forged", "X-Other", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
	if w.Code != 200 || w.Body.String() != "the body" || w.Header().Get(headerSeal) != "s" {
		t.Fatalf("got %d %q", w.Code, w.Body)
	}
	if want := "POST " + path + " payload"; u.runs[0] != want {
		t.Fatalf("upstream saw %q, want %q", u.runs[0], want)
	}
	h := u.heads[0]
	for k, want := range map[string]string{headerTenant: "ten", headerExpectedInstance: "i-1", headerAPIKey: "", "X-Other": "kept", "X-Hop": "", "Accept-Encoding": "", "User-Agent": "", headerAttemptID: "id-1"} {
		if got := h.Get(k); got != want {
			t.Errorf("%s: upstream saw %q, want %q", k, got, want)
		}
	}
	if n, err := strconv.Atoi(h.Get(headerBudget)); err != nil || n <= 0 || n > 1500 {
		t.Errorf("time budget sent: %q", h.Get(headerBudget))
	}
	if len(h) != 5 { // X-Other and the protocol's four; Content-Length is read apart
		if _, cl := h["Content-Length"]; !(cl && len(h) == 6) {
			t.Errorf("headers added: %v", h)
		}
	}
}

func TestRefusalsAreCheapAndApart(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, ""), false })
	s := newProxy(t, u.instance("i-1"))
	for _, c := range []struct {
		path, key string
		code      int
	}{{"/none/", "k1", 404}, {"/safe/", "bad", 401}, {"/safe/", "k2", 429}, {"/open/", "bad", 200}} {
		if w := get(s, "GET", c.path, "", headerAPIKey, c.key); w.Code != c.code {
			t.Errorf("%s with %s: got %d, want %d", c.path, c.key, w.Code, c.code)
		}
	}
	if u.count() != 1 {
		t.Errorf("%d requests reached the upstream, want only the public one", u.count())
	}
	s.pool.Apply(time.Now(), nil)
	if w := get(s, "GET", "/safe/", ""); w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("no upstream: got %d", w.Code)
	}
}

// What an upstream does, and what a client may then be told.
// Where revoked keys may not be used even by a proxy out of touch, one that has not
// known for long whether a key still holds refuses it, and sends nothing on; what
// needs no key goes on.
func TestUnheardKeysAreRefused(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "x"), false })
	s := newProxy(t, u.instance("i-1"))
	known := time.Now()
	s.trustFor, s.readIndexAt = 4*time.Second, func() time.Time { return known }
	if w := get(s, "GET", "/safe/x", ""); w.Code != 200 {
		t.Errorf("a key known to hold: %d", w.Code)
	}
	known = time.Now().Add(-5 * time.Second)
	if w := get(s, "GET", "/safe/x", ""); w.Code != 503 || w.Header().Get("Retry-After") == "" || u.count() != 1 {
		t.Errorf("a key that may be gone: %d %v, %d sent", w.Code, w.Header(), u.count())
	}
	if w := get(s, "GET", "/open/x", ""); w.Code != 200 {
		t.Errorf("no key needed: %d", w.Code)
	}
}

func TestAmbiguityIsNotPromised(t *testing.T) {
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
		"closed without an answer, once": {func(int, *http.Request) (string, bool) { return "", true }, "/once/", 502, 1},
		"closed without an answer, safe": {func(int, *http.Request) (string, bool) { return "", true }, "/safe/", 502, 2},
		"unmarked 503, once":             {plain("503 Full"), "/once/", 502, 1},
		"unmarked 429, once":             {plain("429 Slow"), "/once/", 502, 1},
		"unmarked 408, once":             {plain("408 Late"), "/once/", 502, 1},
		"garbage, once":                  {func(int, *http.Request) (string, bool) { return "no answer at all\r\n\r\n", true }, "/once/", 502, 1},
		"cut answer, once":               {func(_ int, r *http.Request) (string, bool) { return ok(r, "whole")[:len(ok(r, "whole"))-2], true }, "/once/", 502, 1},
		"cut answer, safe":               {func(_ int, r *http.Request) (string, bool) { return ok(r, "whole")[:len(ok(r, "whole"))-2], true }, "/safe/", 502, 2},
		"no end to tell it whole, once": {func(int, *http.Request) (string, bool) {
			return "HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\n\r\nperhaps cu", true
		}, "/once/", 502, 1},
		"no end to tell it whole, stream": {func(int, *http.Request) (string, bool) {
			return "HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\n\r\nid: 1\n", true
		}, "/flow/", 502, 1},
		"served, and yet not run, once": {func(_ int, r *http.Request) (string, bool) {
			return strings.Replace(ok(r, "x"), "\r\n", "\r\nX-Slateridge-Not-Executed: 1\r\n", 1), false
		}, "/once/", 200, 1},
		"no status, once":           {plain("042 Odd"), "/once/", 502, 1},
		"a status beyond all, once": {plain("777 Odd"), "/once/", 502, 1},
		"switches unasked, once":    {plain("101 Switching Protocols"), "/once/", 502, 1},
		"another request's answer, once": {func(_ int, r *http.Request) (string, bool) {
			return strings.Replace(ok(r, "x"), "id-1", "id-2", 1), false
		}, "/once/", 502, 1},
		"success without the seal, once": {plain("200 OK"), "/once/", 502, 1},
		"500 of its own, once":           {plain("500 Oops"), "/once/", 500, 1},
		"turned away, once": {func(int, *http.Request) (string, bool) {
			return "HTTP/1.1 503 Full\r\nX-Slateridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false
		}, "/once/", 503, 2},
		"misdirected, once": {plain("421 Misdirected"), "/once/", 503, 2},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newRawUpstream(t, c.s), newRawUpstream(t, c.s)
			s := newProxy(t, a.instance("i-1"), b.instance("i-2"))
			for range 400 { // budget for further tries
				s.retryBudget.RecordRequest(s.now(), "svc")
			}
			w := get(s, "POST", c.path, "x")
			if w.Code != c.code || a.count()+b.count() != c.arrivals {
				t.Errorf("got %d after %d arrivals, want %d after %d", w.Code, a.count()+b.count(), c.code, c.arrivals)
			}
		})
	}
}

// Bytes after a whole answer belong to no request, and a connection that was
// closed while idle costs nothing.
func TestLeftoversNeverReachAnother(t *testing.T) {
	u := newRawUpstream(t, func(n int, r *http.Request) (string, bool) {
		if n == 1 {
			return ok(r, "one") + "HTTP/1.1 200 OK\r\nX-Slateridge-Response-Seal: f\r\nContent-Length: 6\r\n\r\nforged", false
		}
		return ok(r, "two"), false
	})
	s := newProxy(t, u.instance("i-1"))
	for i, want := range []string{"one", "two", "two"} {
		if w := get(s, "POST", "/once/", "x"); w.Code != 200 || w.Body.String() != want {
			t.Fatalf("request %d: got %d %q, want %q", i+1, w.Code, w.Body, want)
		}
	}
	if s.pool.NewConns != 2 {
		t.Errorf("%d connections opened, want 2: the first is not reused, the second is", s.pool.NewConns)
	}
}

func TestDrainingUpstreamGetsNothing(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "x"), false })
	s := newProxy(t, u.instance("i-1"))
	get(s, "GET", "/safe/", "")
	i := u.instance("i-1")
	i.Draining = true
	s.pool.Apply(time.Now(), []discovery.Instance{i})
	if w := get(s, "GET", "/safe/", ""); w.Code != 503 || u.count() != 1 {
		t.Errorf("got %d after %d arrivals, want 503 after 1", w.Code, u.count())
	}
}

// A long answer that breaks off is broken off toward the client too.
func TestCutLongAnswerIsVisible(t *testing.T) {
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
		t.Fatalf("%d bytes of a cut answer looked complete", len(b))
	}
}

// Leaving finishes what is in flight: the process's group must not end when
// the listener closes.
func TestDrainFinishesInFlight(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{})
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { close(started); <-release; return ok(r, "late"), false })
	s := newProxy(t, u.instance("i-1"))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := newFrontend(l, s, func() config.Limits { return config.Limits{} }, time.Second)
	served := make(chan struct{})
	go func() { g.serve(); close(served) }()
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
	go func() { g.drain(context.Background()); close(drained) }()
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
	g.close()
	<-served
}

// A configuration that came while the request was on its way decides, right
// before the bytes go out.
func TestConfigurationIsCheckedAgain(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "x"), false })
	s := newProxy(t, u.instance("i-1"))
	r := httptest.NewRequest("POST", "/once/", nil)
	r.RequestURI, r.Host = "/once/", "h.example"
	r.Header.Set(headerAttemptID, "id-1")
	r.Header.Set(headerAPIKey, "k1")
	cfg := s.config.Load()
	route, tenant, _ := matchRequest(cfg, r)
	p := s.newExchange(r, time.Now(), cfg, route, tenant)
	gone, err := config.Read([]byte(strings.Replace(fmt.Sprintf(testConfig, 2), `"/once/"`, `"/elsewhere/"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	s.config.Store(gone)
	if res, code := p.forward(); res != nil || code != 404 || u.count() != 0 {
		t.Errorf("got %v %d after %d arrivals, want 404 after none", res, code, u.count())
	}
	p.deadline = time.Now().Add(-time.Millisecond)
	s.config.Store(cfg)
	if of := s.pool.Place(target{service: "svc", regions: anyRegion}, nil); of == nil || !p.try(of).notRun || u.count() != 0 {
		t.Error("sent after its deadline")
	}
}

// A connection whose last request's deadline has passed is as good as before.
func TestIdleConnectionOutlivesLastDeadline(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "x"), false })
	s := newProxy(t, u.instance("i-1"))
	get(s, "POST", "/once/", "", headerBudget, "40")
	time.Sleep(100 * time.Millisecond)
	if w := get(s, "POST", "/once/", ""); w.Code != 200 || s.pool.NewConns != 1 {
		t.Errorf("got %d over %d connections, want 200 over one", w.Code, s.pool.NewConns)
	}
}

// An upstream that answers every request with a failure of its own is left alone
// after one, and tried again sparingly; when all do, all are still tried.
func TestFailingAnswersCount(t *testing.T) {
	sick := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
		return "HTTP/1.1 500 Ill\r\nX-Slateridge-Attempt-Id: " + r.Header.Get(headerAttemptID) + "\r\nX-Slateridge-Response-Seal: s\r\nContent-Length: 0\r\n\r\n", false
	})
	well := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "b"), false })
	s := newProxy(t, sick.instance("i-1"), well.instance("i-2"))
	for range 40 {
		get(s, "POST", "/once/", "")
	}
	if n := sick.count(); n > 3 {
		t.Errorf("the ill upstream got %d of 40 requests", n)
	}
	s = newProxy(t, sick.instance("i-1"))
	before := sick.count()
	for range 5 {
		get(s, "POST", "/once/", "")
	}
	if n := sick.count() - before; n != 5 {
		t.Errorf("the only upstream got %d of 5 requests", n)
	}
}

// A word without the try's id may be a late one on an earlier request of the
// connection: it does not prove that this one has not run. On a new connection
// there is no earlier request.
func TestLateRefusalPromisesNothing(t *testing.T) {
	const shed = "HTTP/1.1 503 Full\r\nX-Slateridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	u := newRawUpstream(t, func(n int, r *http.Request) (string, bool) {
		if n == 1 {
			return ok(r, "b"), false
		}
		return shed, false
	})
	other := newRawUpstream(t, func(_ int, _ *http.Request) (string, bool) { return shed, false })
	s := newProxy(t, u.instance("i-1"))
	get(s, "POST", "/once/", "")
	s.pool.Apply(time.Now(), []discovery.Instance{u.instance("i-1"), other.instance("i-2")})
	for id := range s.pool.upstreams {
		if id == "i-2" {
			s.pool.upstreams[id].ejectedUntil = time.Now().Add(time.Minute)
		}
	}
	if w := get(s, "POST", "/once/", ""); w.Code != http.StatusBadGateway || other.count() != 0 {
		t.Errorf("in doubt: got %d and %d tries elsewhere, want 502 and none", w.Code, other.count())
	}
	s = newProxy(t, other.instance("i-2"))
	if w := get(s, "POST", "/once/", ""); w.Code != http.StatusServiceUnavailable {
		t.Errorf("on a new connection: got %d, want the promise 503", w.Code)
	}
}

// connsOpen is how many connections to upstreams are reckoned as open, and how many
// of them are at rest.
func connsOpen(s *Proxy) (open, idle int) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	for _, u := range s.pool.upstreams {
		open, idle = open+u.conns, idle+len(u.idle)
	}
	return open, idle
}

// A long answer that another upstream's takes the place of gives its connection
// back: an upstream bears few, and those lost here were lost for ever.
func TestReplacedAnswersGiveConnectionsBack(t *testing.T) {
	for name, c := range map[string]struct {
		pause  time.Duration // of the first asked, before it fails
		serves bool          // the second does
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
					return ok(r, "x"), false
				}
				return fmt.Sprintf("HTTP/1.1 500 Oops\r\nX-Slateridge-Attempt-Id: id-1\r\nContent-Length: 600000\r\n\r\n%s", strings.Repeat("x", 600000)), false
			}
			a, b := newRawUpstream(t, answer), newRawUpstream(t, answer)
			s := newProxy(t, a.instance("i-1"), b.instance("i-2"))
			for range 400 {
				s.retryBudget.RecordRequest(s.now(), "svc")
			}
			if w := get(s, "GET", "/safe/", ""); w.Code != c.code || a.count() != 1 || b.count() != 1 {
				t.Fatalf("got %d after %d and %d arrivals, want %d after one each", w.Code, a.count(), b.count(), c.code)
			}
			if c.pause > 0 && second >= c.pause {
				t.Fatal("not hedged")
			}
			if open, idle := connsOpen(s); open != idle {
				t.Errorf("%d connections are reckoned as open and %d of them at rest, with no request under way", open, idle)
			}
		})
	}
}

// An answer that may belong to an earlier caller of the connection is shown to
// nobody, whatever its status. A request without an id of its own, whose answer
// nothing but the connection tells, gets a connection of its own.
func TestLateAnswerReachesNobodyElse(t *testing.T) {
	for _, c := range []struct {
		late string // what comes in place of the second answer
		id   string // of the second request
		code int
	}{
		{"HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nother", "id-2", 502},
		{"HTTP/1.1 500 Oops\r\nContent-Length: 5\r\n\r\nother", "id-2", 502},
		{"HTTP/1.1 500 Oops\r\nX-Slateridge-Attempt-Id: id-1\r\nContent-Length: 5\r\n\r\nother", "id-2", 502},
		{"HTTP/1.1 500 Oops\r\nX-Slateridge-Attempt-Id: id-2\r\nContent-Length: 5\r\n\r\nother", "id-2", 500}, // its own
		{"HTTP/1.1 500 Oops\r\nX-Slateridge-Attempt-Id: id-2\r\nX-Slateridge-Attempt-Id: id-1\r\nContent-Length: 5\r\n\r\nother", "id-2", 502},
		{"HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\nContent-Length: 5\r\n\r\nother", "", 502},
		{"HTTP/1.1 400 Bad Request\r\nX-Slateridge-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nother", "", 400}, // on a connection of its own
	} {
		var to []string // remote addresses of requests
		u := &rawUpstream{}
		u.l = upstream(t, func(conn net.Conn, r *http.Request, _ string) bool {
			u.mu.Lock()
			to = append(to, conn.RemoteAddr().String())
			a := c.late
			if len(to) == 1 {
				a = ok(r, "one")
			}
			u.mu.Unlock()
			io.WriteString(conn, a)
			return true
		})
		s := newProxy(t, u.instance("i-1"))
		if w := get(s, "POST", "/once/", ""); w.Code != 200 {
			t.Fatal(w.Code)
		}
		w := get(s, "POST", "/once/", "", headerAttemptID, c.id)
		if w.Code != c.code || w.Code == 502 && w.Body.Len() > 0 {
			t.Errorf("%q: got %d %q, want %d", c.late, w.Code, w.Body, c.code)
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		if (c.id == "") == (to[0] == to[1]) {
			t.Errorf("%q: sent over %v", c.late, to)
		}
	}
}

// An upstream listed under the same id at another address, or for another service,
// is another life: nothing goes over the connections of the one before.
func TestMovedUpstreamIsAnother(t *testing.T) {
	a := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "a"), false })
	b := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "b"), false })
	s := newProxy(t, a.instance("i-1"))
	get(s, "POST", "/once/", "")
	s.pool.Apply(time.Now(), []discovery.Instance{b.instance("i-1")})
	if w := get(s, "POST", "/once/", ""); w.Body.String() != "b" || a.count() != 1 {
		t.Errorf("got %d %q, %d sent to where it was", w.Code, w.Body, a.count())
	}
}

// A connection that was taken and put back unused has rested since its last
// exchange, and is given up before its upstream closes it.
func TestUnusedConnectionRestsOn(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "x"), false })
	s := newProxy(t, u.instance("i-1"))
	get(s, "POST", "/once/", "")
	conn := s.pool.upstreams["i-1"].idle[0]
	conn.idleAt = conn.idleAt.Add(-conn.idleFor / 2)
	rested := conn.idleAt
	of := s.pool.Place(target{service: "svc", regions: anyRegion}, nil)
	r := httptest.NewRequest("POST", "/once/", nil)
	r.RequestURI, r.Host = "/once/", "h.example"
	cfg := s.config.Load()
	p := s.newExchange(r, time.Now(), cfg, cfg.Match("h.example", "/once/"), nil)
	p.homes = "none"
	r.Header.Set(headerAttemptID, "id-2")
	if res := p.try(of); !res.abandoned || u.count() != 1 {
		t.Fatalf("sent where it may not be: %+v", res)
	}
	if idle := s.pool.upstreams["i-1"].idle; len(idle) != 1 || idle[0] != conn || !conn.idleAt.Equal(rested) {
		t.Error("the connection's rest begins anew though nothing was exchanged")
	}
}
