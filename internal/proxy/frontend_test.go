package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
)

// restingClient opens a connection to a frontend whose idle bound is read from idle, and
// returns a function that sends one request over it.
func restingClient(t *testing.T, idle *atomic.Int64) (*frontend, func() error) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
	s := newProxy(t, u.instance("i-1"))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := newFrontend(l, s, func() config.Limits { return config.Limits{IdleTime: time.Duration(idle.Load())} }, time.Second)
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

// A connection is closed once it has rested longer than the bound in force allows, also
// when it was opened under a longer one; that one holds on while clients may go by it.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const s, spare, configApply = time.Second, constants.IdleSpare, 3 * time.Second
	var bound atomic.Int64
	g := newFrontend(nil, nil, func() config.Limits { return config.Limits{IdleTime: time.Duration(bound.Load())} }, configApply)
	began := time.Now()
	open := func(after time.Duration) net.Conn {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { ours.Close(); theirs.Close() })
		for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
			g.trackAt(ours, state, began.Add(after))
		}
		return ours
	}
	isOpen := func(c net.Conn, after time.Duration) bool {
		g.closeIdle(began.Add(after))
		_, is := g.conns[c]
		return is
	}
	closesAt := func(what string, c net.Conn, after time.Duration) {
		t.Helper()
		if !isOpen(c, after) {
			t.Errorf("%s: closed before %v", what, after)
		}
		if isOpen(c, after+1) {
			t.Errorf("%s: open after %v", what, after)
		}
	}
	bound.Store(int64(20 * s))
	long, busy := open(0), open(0)
	g.trackAt(busy, http.StateActive, began)
	if !isOpen(long, 10*s) {
		t.Error("closed inside its bound")
	}
	short := open(10 * s)
	bound.Store(int64(2 * s))
	if !isOpen(long, 11*s) { // lowered now; it has rested far longer
		t.Error("closed by a lowered bound that its client may not know")
	}
	closesAt("opened under a longer bound, rested long", long, 11*s+configApply-1)
	closesAt("opened under a longer bound, rested little", short, 10*s+2*s+spare)
	closesAt("opened under the lowered bound", open(30*s), 32*s+spare)
	raised := open(40 * s)
	if !isOpen(raised, 45*s) {
		t.Error("closed inside the bound")
	}
	bound.Store(int64(12 * s))
	closesAt("raised meanwhile", raised, 52*s+spare)
	if !isOpen(busy, 90*s) {
		t.Error("closed with a request under way")
	}
}
