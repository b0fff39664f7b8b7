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

const eventHead = "HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func event(n int) string {
	e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
	return fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
}

// source is an upstream stand-in whose answers are written by the test.
func source(t *testing.T, answer func(c net.Conn, r *http.Request)) (discovery.Instance, *atomic.Int64) {
	runs := &atomic.Int64{}
	l := upstream(t, func(c net.Conn, r *http.Request, _ string) bool {
		runs.Add(1)
		answer(c, r)
		return true
	})
	return discovery.Instance{ID: "i-" + l.Addr().String(), Service: "svc", Address: l.Addr().String(), Zone: "z", Slots: 4}, runs
}

// flow opens a stream through a real server.
func flow(t *testing.T, s *Proxy) (net.Conn, *bufio.Reader) {
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

func ask(c net.Conn, path string) {
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Time-Budget-Ms: 9000\r\nX-Api-Key: k1\r\nX-Slateridge-Prompt-Prefix: 17\r\nContent-Length: 2\r\n\r\nhi", path)
}

// Each event reaches the client before the upstream has made the next; the stream
// counts as usage once, with its first; its connection serves another afterwards.
func TestEventsComeAsTheyAreMade(t *testing.T) {
	seen := make(chan int)
	up, runs := source(t, func(c net.Conn, _ *http.Request) {
		io.WriteString(c, eventHead)
		for n := 1; n <= 5; n++ {
			io.WriteString(c, event(n))
			select {
			case got := <-seen:
				if got != n {
					t.Errorf("the client has seen %d, made was %d", got, n)
				}
			case <-time.After(10 * time.Second):
				t.Error("an event waits for its successor")
				return
			}
		}
		io.WriteString(c, "0\r\n\r\n")
	})
	s := newProxy(t, up)
	s.meter, s.window = usage.NewMeter(1), func(time.Time) uint64 { return 40 }
	c, br := flow(t, s)
	for round := range 2 {
		ask(c, "/flow/x")
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
			t.Fatalf("round %d: the end: %v", round, err)
		}
	}
	if told, _ := s.meter.Report("p", 41); told.Windows[40]["ten"] != 2 || runs.Load() != 2 {
		t.Errorf("%d runs, counted %v", runs.Load(), told.Windows)
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.pool.NewConns != 1 {
		t.Errorf("%d connections for two streams, one after the other", s.pool.NewConns)
	}
}

// A stream that its upstream cuts, between events or inside one, does not look
// complete, and is not sent again.
func TestCutStreamLooksCut(t *testing.T) {
	for _, last := range []string{"", "1c\r\nid: 2\ndata: pie"} {
		up, runs := source(t, func(c net.Conn, _ *http.Request) {
			io.WriteString(c, eventHead+event(1)+last)
			c.Close()
		})
		s := newProxy(t, up)
		c, br := flow(t, s)
		ask(c, "/flow/x")
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(resp.Body)
		if err == nil || !strings.HasPrefix(string(b), "id: 1\ndata: piece 1\n\n") {
			t.Errorf("after %q: %q, %v", last, b, err)
		}
		if runs.Load() != 1 || s.streamsCut.Load() != 1 {
			t.Errorf("%d runs, %d cut", runs.Load(), s.streamsCut.Load())
		}
	}
}

// Before its first event a stream has been promised to nobody: a reset is answered
// with 502 and not tried again, an upstream's word that it has not run is tried
// elsewhere, and neither counts as usage.
func TestStreamIsSentOnce(t *testing.T) {
	reset, resets := source(t, func(c net.Conn, _ *http.Request) { c.(*net.TCPConn).SetLinger(0); c.Close() })
	s := newProxy(t, reset)
	s.meter, s.window = usage.NewMeter(1), func(time.Time) uint64 { return 40 }
	if w := get(s, "POST", "/flow/x", "hi"); w.Code != 502 || resets.Load() != 1 {
		t.Errorf("after a reset: %d, sent %d times", w.Code, resets.Load())
	}
	full, fulls := source(t, func(c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	})
	s.pool.Apply(time.Now(), []discovery.Instance{full})
	if w := get(s, "POST", "/flow/x", "hi"); w.Code != 503 || w.Header().Get("Retry-After") == "" || fulls.Load() != 1 {
		t.Errorf("turned away: %d %v, sent %d times", w.Code, w.Header(), fulls.Load())
	}
	if told, _ := s.meter.Report("p", 41); len(told.Windows) > 0 {
		t.Errorf("counted %v", told.Windows)
	}
}

// A client that goes away, before the first event or in the middle, frees the
// upstream's place.
func TestLeavingClientFreesThePlace(t *testing.T) {
	for _, first := range []string{"", eventHead + event(1)} {
		ended := make(chan bool, 1)
		up, _ := source(t, func(c net.Conn, _ *http.Request) {
			io.WriteString(c, first)
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, err := c.Read(make([]byte, 1))
			ne, timeout := err.(net.Error)
			ended <- err != nil && !(timeout && ne.Timeout())
		})
		s := newProxy(t, up)
		c, br := flow(t, s)
		ask(c, "/flow/x")
		if first == "" {
			for s.pool.Outstanding("svc") == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond) // sent on
		} else if _, err := http.ReadResponse(br, nil); err != nil {
			t.Fatal(err)
		}
		c.Close()
		if !<-ended {
			t.Errorf("first %q: the upstream works on for nobody", first)
		}
		for s.pool.Outstanding("svc") > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// What a client breaks by leaving, or by breaking its body off, is not the
// upstream's failure: it keeps its place among the others.
func TestLeavingClientIsNoFailure(t *testing.T) {
	for name, c := range map[string]struct{ request, first string }{
		"before the first event": {"POST /flow/x HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", ""},
		"in a stream":            {"POST /flow/x HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", eventHead + event(1)},
		"in its body":            {"POST /once/x HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 100000), ""},
	} {
		t.Run(name, func(t *testing.T) {
			began := make(chan bool, 1)
			l := listenEach(t, func(c1 net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c1)); err != nil {
					return
				}
				io.WriteString(c1, c.first)
				began <- true
				c1.SetReadDeadline(time.Now().Add(10 * time.Second))
				io.Copy(io.Discard, c1)
			})
			s := newProxy(t, discovery.Instance{ID: "i-1", Service: "svc", Address: l.Addr().String(), Zone: "z", Slots: 4})
			conn, br := flow(t, s)
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
				t.Errorf("%d failures, %d streams cut are held against the upstream", u.consecutiveFailures, s.streamsCut.Load())
			}
		})
	}
}

// A client that reads nothing holds its upstream up; nothing is gathered here.
func TestSlowReaderHoldsItsUpstream(t *testing.T) {
	var made atomic.Int64
	piece := event(1)
	piece = strings.Repeat(piece, 100)
	up, _ := source(t, func(c net.Conn, _ *http.Request) {
		io.WriteString(c, eventHead)
		for {
			if n, err := io.WriteString(c, piece); err != nil {
				return
			} else {
				made.Add(int64(n))
			}
		}
	})
	c, _ := flow(t, newProxy(t, up))
	ask(c, "/flow/x")
	last := int64(-1)
	for n := made.Load(); n != last || n == 0; n = made.Load() { // until it stands still
		last = n
		time.Sleep(200 * time.Millisecond)
		if n > 64<<20 {
			t.Fatal("an endless stream is taken in for a client that reads nothing")
		}
	}
}

// Requests sent ahead are answered in their order, one by one, with failures between
// them; what stands behind an answer that closes the connection goes to no upstream.
func TestPipelinedInOrder(t *testing.T) {
	u := newRawUpstream(t, func(n int, r *http.Request) (string, bool) {
		if strings.HasSuffix(r.RequestURI, "/3") {
			return "HTTP/1.1 404 Not Found\r\nX-Slateridge-Attempt-Id: " + r.Header.Get(headerAttemptID) + "\r\nContent-Length: 4\r\n\r\nnone", false
		}
		if n == 1 {
			time.Sleep(50 * time.Millisecond) // those behind it are there by now
		}
		return ok(r, r.RequestURI), false
	})
	s := newProxy(t, u.instance("i-1"))
	c, br := flow(t, s)
	one := func(path string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Slateridge-Attempt-Id: " + path[len(path)-1:] + "\r\nX-Slateridge-Time-Budget-Ms: 2000\r\nX-Api-Key: k1\r\n\r\n"
	}
	io.WriteString(c, one("/safe/1")+one("/safe/2")+one("/safe/3")+one("/nowhere/4")+one("/safe/5"))
	for i, want := range []string{"/safe/1", "/safe/2", "none", "", "/safe/5"} {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		if b, _ := io.ReadAll(resp.Body); string(b) != want || resp.Header.Get(headerAttemptID) != fmt.Sprint(i+1) {
			t.Fatalf("answer %d is %q for %s", i+1, b, resp.Header.Get(headerAttemptID))
		}
	}
	before := u.count()
	s.leaving.Store(true)
	io.WriteString(c, one("/safe/6")+one("/safe/7"))
	resp, err := http.ReadResponse(br, nil)
	if err != nil || !resp.Close {
		t.Fatal(resp, err)
	}
	io.ReadAll(resp.Body)
	if _, err := br.ReadByte(); err == nil || u.count() != before+1 {
		t.Errorf("%d went on behind an answer that closes: %v", u.count()-before-1, err)
	}
}

// Proxies that never speak to each other keep a prefix at the same upstreams, also
// when their lists differ by a few; a change moves few prefixes; what is full is
// passed over, so a prefix that everybody asks for spreads.
func TestPrefixesKeepTheirPlaces(t *testing.T) {
	list := func(n int) (is []discovery.Instance) {
		for i := range n {
			is = append(is, discovery.Instance{ID: fmt.Sprintf("i-%03d", i), Service: "svc", Address: "127.0.0.1:9", Zone: []string{"z", "z2"}[i%2], Slots: 4})
		}
		return is
	}
	a, b := newProxy(t, list(60)...), newProxy(t, list(60)...)
	b.pool.proxyID = "other"
	b.pool.Apply(time.Now(), list(56)) // four are gone here already
	moved, seen := 0, map[string]int{}
	for p := range 1000 {
		w := target{service: "svc", regions: anyRegion, stream: true, prefix: fmt.Sprint(p)}
		x, y := a.pool.selectUpstream(w, nil, time.Now()), b.pool.selectUpstream(w, nil, time.Now())
		if x.instance.Zone != "z" || y.instance.Zone != "z" {
			t.Fatal("a prefix leaves its zone while there is room")
		}
		if x.instance.ID != y.instance.ID {
			moved++
			if !slices.Contains([]string{"i-056", "i-058"}, x.instance.ID) {
				t.Fatalf("prefix %d went from %s to %s, which are both there", p, x.instance.ID, y.instance.ID)
			}
		}
		seen[x.instance.ID]++
	}
	if moved > 130 {
		t.Errorf("%d of 1000 prefixes moved when 2 of 30 upstreams left", moved)
	}
	for id, n := range seen {
		if n > 3*1000/30 {
			t.Errorf("%s keeps %d of 1000 prefixes", id, n)
		}
	}
	tell := func(load float64, but string) {
		a.pool.mu.Lock()
		for _, u := range a.pool.upstreams {
			if u.reportedLoad, u.loadReportedAt, u.activeAtReport = load, time.Now(), 0; u.instance.ID == but {
				u.reportedLoad = 0.1
			}
		}
		a.pool.mu.Unlock()
	}
	tell(3, "i-007")
	if u := a.pool.selectUpstream(target{service: "svc", regions: anyRegion, stream: true, prefix: "5"}, nil, time.Now()); u == nil || u.instance.ID != "i-007" {
		t.Errorf("the one upstream with room is not found: %v", u)
	}
	tell(3, "")
	if w := get(a, "POST", "/flow/x", "hi"); w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("with no room anywhere: %d %v", w.Code, w.Header())
	}
	tell(0, "")
	hot, most := target{service: "svc", regions: anyRegion, stream: true, prefix: "hot"}, 0
	for range 60 {
		of := a.pool.Place(hot, nil)
		if of == nil {
			t.Fatal("no room while most upstreams are idle")
		}
		most = max(most, len(of.upstream.active))
	}
	if most > 4 {
		t.Errorf("%d of one prefix at one upstream of four places", most)
	}
}

// A request is told as running from its send until its answer, and then counts once; a
// refused one was told too, and doesn't count.
func TestRunningIsTold(t *testing.T) {
	for _, c := range []struct {
		answer string
		counts uint64
	}{
		{"HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok", 1},
		{"HTTP/1.1 503 Service Unavailable\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Not-Executed: true\r\nContent-Length: 0\r\n\r\n", 0},
	} {
		came, release := make(chan bool, 10), make(chan bool)
		up, _ := source(t, func(conn net.Conn, _ *http.Request) {
			came <- true
			<-release
			io.WriteString(conn, c.answer)
		})
		s := newProxy(t, up)
		s.meter, s.window = usage.NewMeter(1), func(time.Time) uint64 { return 40 }
		y := usage.NewTally(1)
		sum := func() uint64 {
			told, _ := s.meter.Report("p", 41)
			if h, ok := y.Take(0, 41, told); ok {
				s.meter.Acknowledged(told, h)
			}
			return uint64(y.Sum(40)["ten"])
		}
		done := make(chan bool)
		go func() { get(s, "POST", "/once/x", "hi"); close(done) }()
		<-came
		for end := time.Now().Add(5 * time.Second); sum() != 1; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("what runs is not told")
			}
		}
		close(release)
		<-done
		if got := sum(); got != c.counts {
			t.Errorf("%d runs count after %.12s", got, c.answer)
		}
	}
}
