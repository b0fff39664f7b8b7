package proxy

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// pausing is a proxy whose upstreams are full but for one, which is left alone for a
// while after a failure and then tried with one request.
func pausing(t *testing.T, pause, work time.Duration) *Proxy {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
		time.Sleep(work)
		return ok(r, "x"), false
	})
	s := newProxy(t, u.instance("i-1"), u.instance("i-2"), u.instance("i-3"))
	s.pool.mu.Lock()
	o := s.pool.upstreams["i-1"]
	o.consecutiveFailures, o.ejectedUntil = 1, time.Now().Add(pause)
	s.pool.mu.Unlock()
	for s.pool.Place(target{service: "svc", regions: anyRegion}, nil) != nil {
	}
	return s
}

// Room that comes by itself, as when an upstream is tried again after a pause, goes to
// the most urgent request that waits, and not to a less urgent one that comes just then.
func TestRoomGoesToTheMostUrgent(t *testing.T) {
	s := pausing(t, 60*time.Millisecond, 150*time.Millisecond)
	var urgent, other int
	var wg sync.WaitGroup
	wg.Go(func() { urgent = get(s, "POST", "/once/", "").Code }) // priority 1
	time.Sleep(65 * time.Millisecond)
	wg.Go(func() { other = get(s, "GET", "/safe/", "", headerBudget, "250").Code }) // priority 2; too late once the other has been served
	wg.Wait()
	if urgent != http.StatusOK || other != http.StatusServiceUnavailable {
		t.Errorf("urgent got %d, the other %d; want 200 and 503", urgent, other)
	}
}
