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

// persistentClient is a client with one connection to a frontend whose limits a test changes.
type persistentClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// newLimitedFrontend returns a frontend whose limits can be changed through limits. They are
// also put into the configuration that requests are matched against.
func newLimitedFrontend(t *testing.T) (limits *atomic.Pointer[config.Limits], connect func() *persistentClient) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
	p := newProxy(t, u.instance("i-1"))
	limits = &atomic.Pointer[config.Limits]{}
	limits.Store(&config.Limits{})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := newFrontend(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cfg := *p.config.Load()
		cfg.Limits = *limits.Load()
		p.config.Store(&cfg)
		p.ServeHTTP(w, r)
	}), func() config.Limits { return *limits.Load() }, time.Second)
	go f.serve()
	t.Cleanup(f.close)
	return limits, func() *persistentClient {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return &persistentClient{t, conn, bufio.NewReader(conn)}
	}
}

func requestWithFiller(fillerBytes int) string {
	return "GET /open/ HTTP/1.1\r\nHost: h.example\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Filler: " + strings.Repeat("f", fillerBytes) + "\r\n\r\n"
}

func (c *persistentClient) status() int {
	c.t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (c *persistentClient) request(fillerBytes int) int {
	c.t.Helper()
	io.WriteString(c.conn, requestWithFiller(fillerBytes))
	return c.status()
}

// A raised or lowered header size limit applies to connections that are already open, and
// headers that exceed it get a complete 431 response however large they are.
func TestHeaderLimitAppliesToOpenConnections(t *testing.T) {
	limits, connect := newLimitedFrontend(t)
	limits.Store(&config.Limits{MaxHeaderBytes: 8 << 10})
	raised, slightlyOver, farOver := connect(), connect(), connect()
	for _, c := range []*persistentClient{raised, slightlyOver, farOver} {
		if code := c.request(4 << 10); code != http.StatusOK {
			t.Fatalf("within the first limit: %d", code)
		}
	}
	limits.Store(&config.Limits{MaxHeaderBytes: 128 << 10})
	for _, size := range []int{24 << 10, 100 << 10, 24 << 10} {
		if code := raised.request(size); code != http.StatusOK {
			t.Fatalf("%d bytes within the raised limit on an open connection: %d", size, code)
		}
	}
	limits.Store(&config.Limits{MaxHeaderBytes: 8 << 10})
	if code := raised.request(4 << 10); code != http.StatusOK {
		t.Errorf("within the lowered limit: %d", code)
	}
	if code := slightlyOver.request(9 << 10); code != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("slightly over the lowered limit: %d", code)
	}
	go io.WriteString(farOver.conn, requestWithFiller(4<<20))
	if code := farOver.status(); code != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("far over the lowered limit: %d", code)
	}
}

// Clients with steady traffic on persistent connections are not affected by changes of a
// limit that stays above what they send.
func TestHeaderLimitChangesUnderSteadyTraffic(t *testing.T) {
	const clients, requests = 8, 60
	limits, connect := newLimitedFrontend(t)
	limits.Store(&config.Limits{MaxHeaderBytes: 8 << 10, HeaderTimeout: time.Second})
	var group sync.WaitGroup
	done := make(chan struct{})
	for range clients {
		c := connect()
		group.Go(func() {
			for range requests {
				if code := c.request(2 << 10); code != http.StatusOK {
					t.Errorf("rejected with %d", code)
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
			limits.Store(&config.Limits{MaxHeaderBytes: (4 + 4*(n%3)) << 10, HeaderTimeout: time.Duration(1+n%3) * time.Second})
		}
	}
}

// The header size limit applies to each pipelined request separately.
func TestHeaderLimitOfPipelinedRequests(t *testing.T) {
	const pipelined = 12
	limits, connect := newLimitedFrontend(t)
	limits.Store(&config.Limits{MaxHeaderBytes: 8 << 10})
	c := connect()
	go io.WriteString(c.conn, strings.Repeat(requestWithFiller(3<<10), pipelined)+requestWithFiller(64<<10))
	for n := range pipelined {
		if n == pipelined/2 {
			limits.Store(&config.Limits{MaxHeaderBytes: 4 << 10})
		}
		if code := c.status(); code != http.StatusOK {
			t.Fatalf("request %d of %d within the limit: %d", n+1, pipelined, code)
		}
	}
	if code := c.status(); code != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("request over the limit: %d", code)
	}
}

// A changed header timeout applies to open connections, even while headers are being read.
// It does not apply to an idle connection.
func TestHeaderTimeoutAppliesToOpenConnections(t *testing.T) {
	limits, connect := newLimitedFrontend(t)
	limits.Store(&config.Limits{HeaderTimeout: 200 * time.Millisecond})
	slow := func(c *persistentClient, pause time.Duration) error {
		request := requestWithFiller(100)
		io.WriteString(c.conn, request[:30])
		time.Sleep(pause)
		io.WriteString(c.conn, request[30:])
		c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(c.reader, nil)
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
	time.Sleep(400 * time.Millisecond) // an idle connection has no header timeout
	limits.Store(&config.Limits{HeaderTimeout: 2 * time.Second})
	if err := slow(c, 500*time.Millisecond); err != nil {
		t.Errorf("within the raised timeout: %v", err)
	}
	limits.Store(&config.Limits{HeaderTimeout: 200 * time.Millisecond})
	time.AfterFunc(100*time.Millisecond, func() { limits.Store(&config.Limits{HeaderTimeout: 2 * time.Second}) })
	if err := slow(c, 500*time.Millisecond); err != nil {
		t.Errorf("raised while the headers were being read: %v", err)
	}
	limits.Store(&config.Limits{HeaderTimeout: 200 * time.Millisecond})
	if err := slow(c, 500*time.Millisecond); err == nil {
		t.Error("headers over the lowered timeout were accepted")
	}
	fresh := connect()
	began := time.Now()
	fresh.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := fresh.reader.ReadByte(); err == nil || time.Since(began) > 2*time.Second {
		t.Errorf("new connection without a request ended after %v with %v, want soon after 200 ms", time.Since(began), err)
	}
}
