package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"slateridge/internal/discovery"
	"slateridge/internal/usage"
)

const streamResponseHead = "HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func eventChunk(n int) string {
	e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
	return fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
}

// newStreamUpstream returns an upstream whose responses are written by the test, and the number
// of requests that arrived there.
func newStreamUpstream(t *testing.T, answer func(c net.Conn, r *http.Request)) (discovery.Instance, *atomic.Int64) {
	requests := &atomic.Int64{}
	l := serveRequests(t, func(c net.Conn, r *http.Request, _ string) bool {
		requests.Add(1)
		answer(c, r)
		return true
	})
	return discovery.Instance{ID: "i-" + l.Addr().String(), Service: "svc", Address: l.Addr().String(), Zone: "z", Slots: 4}, requests
}

// dialProxy connects to the proxy through an HTTP server.
func dialProxy(t *testing.T, s *Proxy) (net.Conn, *bufio.Reader) {
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	c, err := net.Dial("tcp4", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

func sendStreamRequest(c net.Conn, path string) {
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Time-Budget-Ms: 9000\r\nX-Api-Key: k1\r\nX-Slateridge-Prompt-Prefix: 17\r\nContent-Length: 2\r\n\r\nhi", path)
}

// Each event reaches the client before the upstream has written the next. The stream counts as
// usage once, at its first event, and its connection is reused afterwards.
func TestStreamEventsAreFlushedImmediately(t *testing.T) {
	seen := make(chan int)
	up, requests := newStreamUpstream(t, func(c net.Conn, _ *http.Request) {
		io.WriteString(c, streamResponseHead)
		for n := 1; n <= 5; n++ {
			io.WriteString(c, eventChunk(n))
			select {
			case got := <-seen:
				if got != n {
					t.Errorf("the client received event %d, want %d", got, n)
				}
			case <-time.After(10 * time.Second):
				t.Error("an event was not relayed before the next one was written")
				return
			}
		}
		io.WriteString(c, "0\r\n\r\n")
	})
	s := newProxy(t, up)
	s.meter, s.window = usage.NewMeter(1), func(time.Time) uint64 { return 40 }
	c, br := dialProxy(t, s)
	for round := range 2 {
		sendStreamRequest(c, "/flow/x")
		resp, err := http.ReadResponse(br, nil)
		if err != nil || resp.StatusCode != 200 || resp.Header.Get(headerSeal) != "s" {
			t.Fatal(resp, err)
		}
		body := bufio.NewReader(resp.Body)
		for n := 1; n <= 5; n++ {
			want := []string{fmt.Sprintf("id: %d\n", n), fmt.Sprintf("data: piece %d\n", n), "\n"}
			for _, w := range want {
				if l, err := body.ReadString('\n'); l != w || err != nil {
					t.Fatalf("event %d: %q %v", n, l, err)
				}
			}
			seen <- n
		}
		if _, err := body.ReadByte(); err != io.EOF {
			t.Fatalf("round %d: reading past the last event: %v", round, err)
		}
	}
	if report, _ := s.meter.NextReport("p", 41); report.Windows[40]["ten"] != 2 || requests.Load() != 2 {
		t.Errorf("%d requests, counted %v", requests.Load(), report.Windows)
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.pool.NewConns != 1 {
		t.Errorf("%d connections for two consecutive streams", s.pool.NewConns)
	}
}

// A stream that its upstream truncates, between events or inside one, does not look complete to
// the client and is not sent again.
func TestTruncatedStreamIsAborted(t *testing.T) {
	for _, last := range []string{"", "1c\r\nid: 2\ndata: pie"} {
		up, requests := newStreamUpstream(t, func(c net.Conn, _ *http.Request) {
			io.WriteString(c, streamResponseHead+eventChunk(1)+last)
			c.Close()
		})
		s := newProxy(t, up)
		c, br := dialProxy(t, s)
		sendStreamRequest(c, "/flow/x")
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(resp.Body)
		if err == nil || !strings.HasPrefix(string(b), "id: 1\ndata: piece 1\n\n") {
			t.Errorf("after %q: %q, %v", last, b, err)
		}
		if requests.Load() != 1 || s.streamsCut.Load() != 1 {
			t.Errorf("%d requests, %d truncated", requests.Load(), s.streamsCut.Load())
		}
	}
}

// Before its first event, a stream that is reset is answered with 502 and not sent again, and
// one that its upstream declares not executed is tried elsewhere. Neither counts as usage.
func TestStreamFailureBeforeFirstEvent(t *testing.T) {
	reset, resetRequests := newStreamUpstream(t, func(c net.Conn, _ *http.Request) { c.(*net.TCPConn).SetLinger(0); c.Close() })
	s := newProxy(t, reset)
	s.meter, s.window = usage.NewMeter(1), func(time.Time) uint64 { return 40 }
	if w := sendRequest(s, "POST", "/flow/x", "hi"); w.Code != 502 || resetRequests.Load() != 1 {
		t.Errorf("after a reset: %d, sent %d times", w.Code, resetRequests.Load())
	}
	full, fullRequests := newStreamUpstream(t, func(c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	})
	s.pool.Apply(time.Now(), []discovery.Instance{full})
	if w := sendRequest(s, "POST", "/flow/x", "hi"); w.Code != 503 || w.Header().Get("Retry-After") == "" || fullRequests.Load() != 1 {
		t.Errorf("rejected: %d %v, sent %d times", w.Code, w.Header(), fullRequests.Load())
	}
	if report, _ := s.meter.NextReport("p", 41); len(report.Windows) > 0 {
		t.Errorf("counted %v", report.Windows)
	}
}

// A client that disconnects, before the first event or during the stream, releases the placement
// at the upstream.
func TestClientDisconnectReleasesPlacement(t *testing.T) {
	for _, first := range []string{"", streamResponseHead + eventChunk(1)} {
		ended := make(chan bool, 1)
		up, _ := newStreamUpstream(t, func(c net.Conn, _ *http.Request) {
			io.WriteString(c, first)
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, err := c.Read(make([]byte, 1))
			ne, timeout := err.(net.Error)
			ended <- err != nil && !(timeout && ne.Timeout())
		})
		s := newProxy(t, up)
		c, br := dialProxy(t, s)
		sendStreamRequest(c, "/flow/x")
		if first == "" {
			for s.pool.Outstanding("svc") == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond) // so that the request reaches the upstream
		} else if _, err := http.ReadResponse(br, nil); err != nil {
			t.Fatal(err)
		}
		c.Close()
		if !<-ended {
			t.Errorf("first %q: the upstream connection stays open after the client has disconnected", first)
		}
		for s.pool.Outstanding("svc") > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// A failure caused by a client that disconnects, or that does not complete its body, does not
// count against the upstream.
func TestClientDisconnectIsNotUpstreamFailure(t *testing.T) {
	for name, c := range map[string]struct{ request, first string }{
		"before the first event": {"POST /flow/x HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", ""},
		"during the stream":      {"POST /flow/x HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", streamResponseHead + eventChunk(1)},
		"during its body":        {"POST /once/x HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 100000), ""},
	} {
		t.Run(name, func(t *testing.T) {
			began := make(chan bool, 1)
			l := serveConns(t, func(c1 net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c1)); err != nil {
					return
				}
				io.WriteString(c1, c.first)
				began <- true
				c1.SetReadDeadline(time.Now().Add(10 * time.Second))
				io.Copy(io.Discard, c1)
			})
			s := newProxy(t, discovery.Instance{ID: "i-1", Service: "svc", Address: l.Addr().String(), Zone: "z", Slots: 4})
			conn, br := dialProxy(t, s)
			line, rest, _ := strings.Cut(c.request, "\r\n")
			io.WriteString(conn, line+"\r\nHost: h.example\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Time-Budget-Ms: 9000\r\nX-Api-Key: k1\r\n"+rest)
			<-began
			if c.first != "" {
				if _, err := http.ReadResponse(br, nil); err != nil {
					t.Fatal(err)
				}
			}
			conn.Close()
			for s.pool.Outstanding("svc") > 0 {
				time.Sleep(time.Millisecond)
			}
			s.pool.mu.Lock()
			defer s.pool.mu.Unlock()
			if u := s.pool.upstreams["i-1"]; u.consecutiveFailures > 0 || time.Now().Before(u.ejectedUntil) || s.streamsCut.Load() > 0 {
				t.Errorf("%d failures and %d truncated streams are counted against the upstream", u.consecutiveFailures, s.streamsCut.Load())
			}
		})
	}
}

// A client that does not read blocks its upstream: nothing accumulates in the proxy.
func TestSlowClientAppliesBackpressure(t *testing.T) {
	var written atomic.Int64
	chunk := eventChunk(1)
	chunk = strings.Repeat(chunk, 100)
	up, _ := newStreamUpstream(t, func(c net.Conn, _ *http.Request) {
		io.WriteString(c, streamResponseHead)
		for {
			if n, err := io.WriteString(c, chunk); err != nil {
				return
			} else {
				written.Add(int64(n))
			}
		}
	})
	c, _ := dialProxy(t, newProxy(t, up))
	sendStreamRequest(c, "/flow/x")
	last := int64(-1)
	for n := written.Load(); n != last || n == 0; n = written.Load() { // until the upstream is blocked
		last = n
		time.Sleep(200 * time.Millisecond)
		if n > 64<<20 {
			t.Fatal("the proxy keeps reading the stream for a client that does not read")
		}
	}
}

// Pipelined requests are answered one at a time and in order, even if some of them fail.
// Requests behind a response that closes the connection are not sent to any upstream.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	u := newRawUpstream(t, func(n int, r *http.Request) (string, bool) {
		if strings.HasSuffix(r.RequestURI, "/3") {
			return "HTTP/1.1 404 Not Found\r\nX-Slateridge-Attempt-Id: " + r.Header.Get(headerAttemptID) + "\r\nContent-Length: 4\r\n\r\nnone", false
		}
		if n == 1 {
			time.Sleep(50 * time.Millisecond) // the requests behind it have arrived by then
		}
		return okResponse(r, r.RequestURI), false
	})
	s := newProxy(t, u.instance("i-1"))
	c, br := dialProxy(t, s)
	requestFor := func(path string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Slateridge-Attempt-Id: " + path[len(path)-1:] + "\r\nX-Slateridge-Time-Budget-Ms: 2000\r\nX-Api-Key: k1\r\n\r\n"
	}
	io.WriteString(c, requestFor("/safe/1")+requestFor("/safe/2")+requestFor("/safe/3")+requestFor("/nowhere/4")+requestFor("/safe/5"))
	for i, want := range []string{"/safe/1", "/safe/2", "none", "", "/safe/5"} {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		if b, _ := io.ReadAll(resp.Body); string(b) != want || resp.Header.Get(headerAttemptID) != fmt.Sprint(i+1) {
			t.Fatalf("response %d is %q for %s", i+1, b, resp.Header.Get(headerAttemptID))
		}
	}
	before := u.count()
	s.shuttingDown.Store(true)
	io.WriteString(c, requestFor("/safe/6")+requestFor("/safe/7"))
	resp, err := http.ReadResponse(br, nil)
	if err != nil || !resp.Close {
		t.Fatal(resp, err)
	}
	io.ReadAll(resp.Body)
	if _, err := br.ReadByte(); err == nil || u.count() != before+1 {
		t.Errorf("%d requests were sent to the upstream after a response that closes the connection: %v", u.count()-before-1, err)
	}
}

// Proxies that do not communicate with each other send a prefix to the same upstreams, even if
// their upstream lists differ slightly. A change of the list moves few prefixes. Full upstreams
// are skipped, so that a popular prefix spreads.
func TestPrefixAffinity(t *testing.T) {
	list := func(n int) (is []discovery.Instance) {
		for i := range n {
			is = append(is, discovery.Instance{ID: fmt.Sprintf("i-%03d", i), Service: "svc", Address: "127.0.0.1:9", Zone: []string{"z", "z2"}[i%2], Slots: 4})
		}
		return is
	}
	a, b := newProxy(t, list(60)...), newProxy(t, list(60)...)
	b.pool.proxyID = "other"
	b.pool.Apply(time.Now(), list(56)) // four of them are missing here
	moved, seen := 0, map[string]int{}
	for p := range 1000 {
		w := target{service: "svc", regions: anyRegion, stream: true, prefix: fmt.Sprint(p)}
		first, second := a.pool.selectUpstream(w, nil, time.Now()), b.pool.selectUpstream(w, nil, time.Now())
		if first.instance.Zone != "z" || second.instance.Zone != "z" {
			t.Fatal("a prefix leaves its zone although there is capacity")
		}
		if first.instance.ID != second.instance.ID {
			moved++
			if !slices.Contains([]string{"i-056", "i-058"}, first.instance.ID) {
				t.Fatalf("prefix %d moved from %s to %s, which are both listed", p, first.instance.ID, second.instance.ID)
			}
		}
		seen[first.instance.ID]++
	}
	if moved > 130 {
		t.Errorf("%d of 1000 prefixes moved when 2 of 30 upstreams left", moved)
	}
	for id, n := range seen {
		if n > 3*1000/30 {
			t.Errorf("%s has %d of 1000 prefixes", id, n)
		}
	}
	setLoad := func(load float64, exception string) {
		a.pool.mu.Lock()
		for _, u := range a.pool.upstreams {
			if u.reportedLoad, u.loadReportedAt, u.activeAtReport = load, time.Now(), 0; u.instance.ID == exception {
				u.reportedLoad = 0.1
			}
		}
		a.pool.mu.Unlock()
	}
	setLoad(3, "i-007")
	if u := a.pool.selectUpstream(target{service: "svc", regions: anyRegion, stream: true, prefix: "5"}, nil, time.Now()); u == nil || u.instance.ID != "i-007" {
		t.Errorf("the only upstream with capacity is not selected: %v", u)
	}
	setLoad(3, "")
	if w := sendRequest(a, "POST", "/flow/x", "hi"); w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("without capacity anywhere: %d %v", w.Code, w.Header())
	}
	setLoad(0, "")
	popular, most := target{service: "svc", regions: anyRegion, stream: true, prefix: "hot"}, 0
	for range 60 {
		pl := a.pool.Place(popular, nil)
		if pl == nil {
			t.Fatal("no placement while most upstreams are idle")
		}
		most = max(most, len(pl.upstream.active))
	}
	if most > 4 {
		t.Errorf("%d requests of one prefix at one upstream with four slots", most)
	}
}

// A request is reported as running from when it is sent until it is answered, and then counts
// once. A rejected request was reported as well, but does not count.
func TestRunningRequestsAreReported(t *testing.T) {
	for _, c := range []struct {
		answer string
		counts uint64
	}{
		{"HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok", 1},
		{"HTTP/1.1 503 Service Unavailable\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Not-Executed: true\r\nContent-Length: 0\r\n\r\n", 0},
	} {
		arrived, release := make(chan bool, 10), make(chan bool)
		up, _ := newStreamUpstream(t, func(conn net.Conn, _ *http.Request) {
			arrived <- true
			<-release
			io.WriteString(conn, c.answer)
		})
		s := newProxy(t, up)
		s.meter, s.window = usage.NewMeter(1), func(time.Time) uint64 { return 40 }
		tally := usage.NewTally(1)
		sum := func() uint64 {
			report, _ := s.meter.NextReport("p", 41)
			if ack, ok := tally.Merge(0, 41, report); ok {
				s.meter.Acknowledge(report, ack)
			}
			return uint64(tally.Sum(40)["ten"])
		}
		done := make(chan bool)
		go func() { sendRequest(s, "POST", "/once/x", "hi"); close(done) }()
		<-arrived
		for end := time.Now().Add(5 * time.Second); sum() != 1; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the running request is not reported")
			}
		}
		close(release)
		<-done
		if got := sum(); got != c.counts {
			t.Errorf("%d executions counted after %.12s", got, c.answer)
		}
	}
}
