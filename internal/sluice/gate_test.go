package sluice

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"slateridge/internal/scheme"
)

// restingClient opens a connection to a gate whose idle bound is read from idle, and
// returns a function that sends one request over it.
func restingClient(t *testing.T, idle *atomic.Int64) (*gate, func() error) {
	u := newRaw(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "x"), false })
	s := newSluice(t, u.instance("i-1"))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := newGate(l, s, func() scheme.Limits { return scheme.Limits{IdleTime: time.Duration(idle.Load())} })
	go g.serve()
	t.Cleanup(g.close)
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	br := bufio.NewReader(c)
	return g, func() error {
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(c, "GET /open/ HTTP/1.1\r\nHost: h.example\r\nX-Slateridge-Attempt-Id: id-1\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	}
}

// A connection that was open before the idle bound was raised may rest for up to the
// new one.
func TestRaisedIdleBoundReachesOpenConnections(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(300 * time.Millisecond))
	_, request := restingClient(t, &idle)
	if err := request(); err != nil {
		t.Fatal(err)
	}
	idle.Store(int64(5 * time.Second))
	time.Sleep(700 * time.Millisecond)
	if err := request(); err != nil {
		t.Errorf("after a rest inside the raised bound: %v", err)
	}
}

// A connection is closed once it has rested longer than the bounds allow that were in
// force meanwhile; a lowered bound holds for those that came to rest after clients knew it.
func TestIdleConnectionsAreClosed(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(10 * time.Second))
	g, request := restingClient(t, &idle)
	if err := request(); err != nil {
		t.Fatal(err)
	}
	var rested time.Time
	for rested.IsZero() { // the server notes it after the answer
		g.mu.Lock()
		for _, since := range g.idle {
			rested = since
		}
		g.mu.Unlock()
	}
	open := func(after time.Duration) int {
		g.closeIdle(rested.Add(after))
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.idle)
	}
	if open(time.Second) != 1 {
		t.Error("closed inside the first bound")
	}
	idle.Store(int64(2 * time.Second))
	if open(3*time.Second) != 1 || open(9900*time.Millisecond) != 1 {
		t.Error("closed by a bound that was lowered during its rest")
	}
	if open(10100*time.Millisecond) != 0 {
		t.Error("open beyond every bound")
	}
	if err := request(); err == nil {
		t.Error("a connection that is closed answers")
	}

	later := rested.Add(time.Minute)
	g.closeIdle(later)
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	g.mu.Lock()
	g.idle[ours] = later
	g.mu.Unlock()
	g.closeIdle(later.Add(2100 * time.Millisecond))
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, is := g.idle[ours]; is || len(g.former) != 0 {
		t.Error("the lowered bound never takes hold")
	}
}
