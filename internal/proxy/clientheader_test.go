package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"slateridge/internal/config"
)

// keptClient is a client with one connection to a frontend whose bounds a test changes.
type keptClient struct {
	t    *testing.T
	conn net.Conn
	read *bufio.Reader
}

// boundedFrontend serves with the bounds that limits holds, also put into the configuration
// that requests are matched to.
func boundedFrontend(t *testing.T) (limits *atomic.Pointer[config.Limits], connect func() *keptClient) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
	s := newProxy(t, u.instance("i-1"))
	limits = &atomic.Pointer[config.Limits]{}
	limits.Store(&config.Limits{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := newFrontend(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cfg := *s.config.Load()
		cfg.Limits = *limits.Load()
		s.config.Store(&cfg)
		s.ServeHTTP(w, r)
	}), func() config.Limits { return *limits.Load() }, time.Second)
	go g.serve()
	t.Cleanup(g.close)
	return limits, func() *keptClient {
		conn, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return &keptClient{t, conn, bufio.NewReader(conn)}
	}
}

func headerOf(bytes int) string {
	return "GET /open/ HTTP/1.1\r\nHost: h.example\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Filler: " + strings.Repeat("f", bytes) + "\r\n\r\n"
}

func (c *keptClient) status() int {
	c.t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (c *keptClient) request(bytes int) int {
	c.t.Helper()
	io.WriteString(c.conn, headerOf(bytes))
	return c.status()
}

// A changed bound on headers holds for connections that are open, raised or lowered, and
// what exceeds it gets 431 whole, however much of it comes.
func TestHeaderBoundReachesOpenConnections(t *testing.T) {
	limits, connect := boundedFrontend(t)
	limits.Store(&config.Limits{HeaderBytes: 8 << 10})
	raised, over, far := connect(), connect(), connect()
	for _, c := range []*keptClient{raised, over, far} {
		if code := c.request(4 << 10); code != http.StatusOK {
			t.Fatalf("inside the first bound: %d", code)
		}
	}
	limits.Store(&config.Limits{HeaderBytes: 128 << 10})
	for _, size := range []int{24 << 10, 100 << 10, 24 << 10} {
		if code := raised.request(size); code != http.StatusOK {
			t.Fatalf("%d bytes inside the raised bound on an open connection: %d", size, code)
		}
	}
	limits.Store(&config.Limits{HeaderBytes: 8 << 10})
	if code := raised.request(4 << 10); code != http.StatusOK {
		t.Errorf("inside the lowered bound: %d", code)
	}
	if code := over.request(9 << 10); code != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a little over the lowered bound: %d", code)
	}
	go io.WriteString(far.conn, headerOf(4<<20))
	if code := far.status(); code != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("far over the lowered bound: %d", code)
	}
}

// Clients with steady traffic on kept connections notice nothing of bounds that change
// above what they send.
func TestHeaderBoundChangesUnderSteadyTraffic(t *testing.T) {
	const clients, requests = 8, 60
	limits, connect := boundedFrontend(t)
	limits.Store(&config.Limits{HeaderBytes: 8 << 10, HeaderTimeout: time.Second})
	var group sync.WaitGroup
	done := make(chan struct{})
	for range clients {
		c := connect()
		group.Go(func() {
			for range requests {
				if code := c.request(2 << 10); code != http.StatusOK {
					t.Errorf("refused with %d", code)
					return
				}
			}
		})
	}
	go func() { group.Wait(); close(done) }()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
			limits.Store(&config.Limits{HeaderBytes: (4 + 4*(n%3)) << 10, HeaderTimeout: time.Duration(1+n%3) * time.Second})
		}
	}
}

// Requests sent ahead on a connection are each judged by themselves.
func TestHeaderBoundOfPipelinedRequests(t *testing.T) {
	const ahead = 12
	limits, connect := boundedFrontend(t)
	limits.Store(&config.Limits{HeaderBytes: 8 << 10})
	c := connect()
	go io.WriteString(c.conn, strings.Repeat(headerOf(3<<10), ahead)+headerOf(64<<10))
	for n := range ahead {
		if n == ahead/2 {
			limits.Store(&config.Limits{HeaderBytes: 4 << 10})
		}
		if code := c.status(); code != http.StatusOK {
			t.Fatalf("request %d of %d inside the bound: %d", n+1, ahead, code)
		}
	}
	if code := c.status(); code != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("the one over the bound: %d", code)
	}
}

// The time that headers may take follows the configuration, also while they come; a
// connection that only rests is not bound by it.
func TestHeaderTimeReachesOpenConnections(t *testing.T) {
	limits, connect := boundedFrontend(t)
	limits.Store(&config.Limits{HeaderTimeout: 200 * time.Millisecond})
	slow := func(c *keptClient, pause time.Duration) error {
		half := headerOf(100)
		io.WriteString(c.conn, half[:30])
		time.Sleep(pause)
		io.WriteString(c.conn, half[30:])
		c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(c.read, nil)
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		return err
	}
	c := connect()
	if code := c.request(10); code != http.StatusOK {
		t.Fatal(code)
	}
	time.Sleep(400 * time.Millisecond) // resting is no sending
	limits.Store(&config.Limits{HeaderTimeout: 2 * time.Second})
	if err := slow(c, 500*time.Millisecond); err != nil {
		t.Errorf("inside the raised time: %v", err)
	}
	limits.Store(&config.Limits{HeaderTimeout: 200 * time.Millisecond})
	time.AfterFunc(100*time.Millisecond, func() { limits.Store(&config.Limits{HeaderTimeout: 2 * time.Second}) })
	if err := slow(c, 500*time.Millisecond); err != nil {
		t.Errorf("raised while the headers came: %v", err)
	}
	limits.Store(&config.Limits{HeaderTimeout: 200 * time.Millisecond})
	if err := slow(c, 500*time.Millisecond); err == nil {
		t.Error("headers over the lowered time were taken")
	}
	fresh := connect()
	began := time.Now()
	fresh.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := fresh.read.ReadByte(); err == nil || time.Since(began) > 2*time.Second {
		t.Errorf("a new connection without a request ended after %v with %v, want soon after 200 ms", time.Since(began), err)
	}
}
