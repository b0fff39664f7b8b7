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

// newIdleClient opens a connection to a frontend that reads its idle timeout from idle. It
// returns the frontend and a function that sends one request over the connection.
func newIdleClient(t *testing.T, idle *atomic.Int64) (*frontend, func() error) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
	p := newProxy(t, u.instance("i-1"))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := newFrontend(listener, p, func() config.Limits { return config.Limits{IdleTimeout: time.Duration(idle.Load())} }, time.Second)
	go f.serve()
	t.Cleanup(f.close)
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	reader := bufio.NewReader(conn)
	return f, func() error {
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(conn, "GET /open/ HTTP/1.1\r\nHost: h.example\r\nX-Slateridge-Attempt-Id: id-1\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(reader, nil)
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

// A raised idle timeout applies to connections that were opened before.
func TestRaisedIdleTimeoutAppliesToOpenConnections(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(300 * time.Millisecond))
	_, request := newIdleClient(t, &idle)
	if err := request(); err != nil {
		t.Fatal(err)
	}
	idle.Store(int64(5 * time.Second))
	time.Sleep(700 * time.Millisecond)
	if err := request(); err != nil {
		t.Errorf("after an idle period within the raised timeout: %v", err)
	}
}

// A connection is closed once it exceeds the idle timeout in force, including one opened
// under a longer timeout. After the timeout was lowered, the longer one stays in force while
// clients may still rely on it.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const s, spare, configApply = time.Second, constants.IdleCloseMargin, 3 * time.Second
	var idleTimeout atomic.Int64
	f := newFrontend(nil, nil, func() config.Limits { return config.Limits{IdleTimeout: time.Duration(idleTimeout.Load())} }, configApply)
	began := time.Now()
	open := func(after time.Duration) net.Conn {
		conn, peer := net.Pipe()
		t.Cleanup(func() { conn.Close(); peer.Close() })
		for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
			f.setConnState(conn, state, began.Add(after))
		}
		return conn
	}
	isOpen := func(c net.Conn, after time.Duration) bool {
		f.closeIdle(began.Add(after))
		_, found := f.conns[c]
		return found
	}
	closesAt := func(name string, c net.Conn, after time.Duration) {
		t.Helper()
		if !isOpen(c, after) {
			t.Errorf("%s: closed before %v", name, after)
		}
		if isOpen(c, after+1) {
			t.Errorf("%s: open after %v", name, after)
		}
	}
	idleTimeout.Store(int64(20 * s))
	long, busy := open(0), open(0)
	f.setConnState(busy, http.StateActive, began)
	if !isOpen(long, 10*s) {
		t.Error("closed within its timeout")
	}
	short := open(10 * s)
	idleTimeout.Store(int64(2 * s))
	if !isOpen(long, 11*s) { // the timeout was just lowered, and the idle period exceeds it by far
		t.Error("closed by a lowered timeout while its client may still rely on the longer one")
	}
	closesAt("opened under a longer timeout, long idle", long, 11*s+configApply-1)
	closesAt("opened under a longer timeout, briefly idle", short, 10*s+2*s+spare)
	closesAt("opened under the lowered timeout", open(30*s), 32*s+spare)
	raised := open(40 * s)
	if !isOpen(raised, 45*s) {
		t.Error("closed within the timeout")
	}
	idleTimeout.Store(int64(12 * s))
	closesAt("timeout raised while idle", raised, 52*s+spare)
	if !isOpen(busy, 90*s) {
		t.Error("closed with a request in progress")
	}
}
