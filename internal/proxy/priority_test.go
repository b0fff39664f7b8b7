package proxy

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// newProxyWithEjected returns a proxy whose upstreams are all full but for one, which is ejected
// after a failure for a while and then tried with one request.
func newProxyWithEjected(t *testing.T, ejection, work time.Duration) *Proxy {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
		time.Sleep(work)
		return okResponse(r, "x"), false
	})
	s := newProxy(t, u.instance("i-1"), u.instance("i-2"), u.instance("i-3"))
	s.pool.mu.Lock()
	ejected := s.pool.upstreams["i-1"]
	ejected.consecutiveFailures, ejected.ejectedUntil = 1, time.Now().Add(ejection)
	s.pool.mu.Unlock()
	for s.pool.Place(target{service: "svc", regions: anyRegion}, nil) != nil {
	}
	return s
}

// Capacity that becomes available without an event, as at the end of an ejection, goes to the
// queued request with the highest priority and not to a less urgent one that arrives at that
// moment.
func TestCapacityGoesToHighestPriority(t *testing.T) {
	s := newProxyWithEjected(t, 60*time.Millisecond, 150*time.Millisecond)
	var urgent, other int
	var wg sync.WaitGroup
	wg.Go(func() { urgent = sendRequest(s, "POST", "/once/", "").Code }) // priority 1
	time.Sleep(65 * time.Millisecond)
	wg.Go(func() { other = sendRequest(s, "GET", "/safe/", "", headerBudget, "250").Code }) // priority 2; too late once the urgent one has been served
	wg.Wait()
	if urgent != http.StatusOK || other != http.StatusServiceUnavailable {
		t.Errorf("urgent got %d, the other %d; want 200 and 503", urgent, other)
	}
}
