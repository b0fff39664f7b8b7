package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"slateridge/internal/discovery"
)

// unresponsiveAddress returns an address where connections are neither accepted nor refused.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*unix.SockaddrInet4).Port}).String()
	for range 4 { // fills the accept queue
		if conn, err := net.DialTimeout("tcp4", address, 50*time.Millisecond); err == nil {
			t.Cleanup(func() { conn.Close() })
		}
	}
	return address
}

// An upstream that accepts no connection is abandoned while another can still serve the
// request in time. If the request's time budget cut the connect time short, that does not
// count as a failure of the upstream.
func TestConnectTimeoutLeavesTimeForAnotherUpstream(t *testing.T) {
	const usual, budget = 20 * time.Millisecond, 200 * time.Millisecond
	responsive := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
	unresponsive := discovery.Instance{ID: "i-unresponsive", Service: "svc", Address: unresponsiveAddress(t), Zone: "z", Slots: 2}
	for _, path := range []string{"/a/", "/once/"} {
		s := newProxyWithLatency(t, usual, unresponsive, responsive.instance("i-responsive"))
		s.pool.mu.Lock()
		s.pool.upstreams["i-responsive"].delay = 5 * usual.Seconds() // the unresponsive upstream is tried first
		s.pool.mu.Unlock()
		w, took := timedGet(s, path, budget)
		if w.Code != http.StatusOK {
			t.Errorf("%s: got %d after %v", path, w.Code, took)
		}
		s.pool.mu.Lock()
		if u := s.pool.upstreams["i-unresponsive"]; u.consecutiveFailures > 0 {
			t.Errorf("%s: a connect cut short by the time budget counts as a failure", path)
		}
		s.pool.mu.Unlock()
	}
}
