package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"slateridge/internal/discovery"
)

// silentAddress is an address at which connections are neither taken nor refused.
func silentAddress(t *testing.T) string {
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
	for range 4 { // until its queue is full
		if conn, err := net.DialTimeout("tcp4", address, 50*time.Millisecond); err == nil {
			t.Cleanup(func() { conn.Close() })
		}
	}
	return address
}

// An upstream that takes no connection is given up while the caller can still be served by
// another; one that had no longer than its caller's time is not held to be gone.
func TestConnectingLeavesTimeForAnother(t *testing.T) {
	const usual, budget = 20 * time.Millisecond, 200 * time.Millisecond
	free := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "x"), false })
	dark := discovery.Instance{ID: "i-dark", Service: "svc", Address: silentAddress(t), Zone: "z", Slots: 2}
	for _, path := range []string{"/a/", "/once/"} {
		s := timedProxy(t, usual, dark, free.instance("i-free"))
		s.pool.mu.Lock()
		s.pool.upstreams["i-free"].delay = 5 * usual.Seconds() // the dark one is asked first
		s.pool.mu.Unlock()
		w, took := request(s, path, budget)
		if w.Code != http.StatusOK {
			t.Errorf("%s: got %d after %v", path, w.Code, took)
		}
		s.pool.mu.Lock()
		if u := s.pool.upstreams["i-dark"]; u.consecutiveFailures > 0 {
			t.Errorf("%s: it had less than the time to connect and counts as failed", path)
		}
		s.pool.mu.Unlock()
	}
}
