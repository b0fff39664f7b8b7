package sluice

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"slateridge/internal/intake"
	"slateridge/internal/scheme"
)

// darkUpstream is an address at which connections neither come about nor are refused, as
// at a machine that is gone: its queue of connections is full.
func darkUpstream(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for {
		c, err := net.DialTimeout("tcp4", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}

// A request that is first placed at an upstream that is gone is offered to another, and
// where links are short within a quarter of its aim.
func TestGoneUpstreamIsGivenUpSoon(t *testing.T) {
	u := newRaw(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "x"), false })
	s := newSluice(t, intake.Instance{ID: "dark", Service: "svc", Address: darkUpstream(t), Zone: "z", Slots: 2}, u.instance("i-1"))
	s.yard.mu.Lock()
	slower := s.yard.by["i-1"]
	slower.delay, slower.delayAt = 0.3, time.Now() // so that the other is asked first
	s.yard.by["dark"].delay, s.yard.by["dark"].delayAt = 0.01, time.Now()
	s.yard.mu.Unlock()
	w := get(s, "POST", "/once/", "")
	if w.Code != http.StatusOK || s.yard.Ejected == 0 {
		t.Fatalf("got %d, %d upstreams found gone; want 200 and one", w.Code, s.yard.Ejected)
	}
	for _, c := range []struct {
		far       int
		aim, want time.Duration
	}{
		{0, 400 * time.Millisecond, 88 * time.Millisecond},
		{1, 400 * time.Millisecond, 88 * time.Millisecond},
		{1, 50 * time.Millisecond, 60 * time.Millisecond},
		{0, 5 * time.Second, 250 * time.Millisecond},
		{farRegion, 400 * time.Millisecond, 250 * time.Millisecond},
	} {
		p := &passage{route: &scheme.Route{Aim: c.aim}}
		if got := p.dialTime(&Outfall{far: c.far}); got != c.want {
			t.Errorf("aim %v, far %d: a dial may take %v, want %v", c.aim, c.far, got, c.want)
		}
	}
}
