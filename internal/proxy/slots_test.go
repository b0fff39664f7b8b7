package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// With few proxies, each uses as much of an upstream as its slots allow: nothing is refused
// while most slots are free.
func TestUpstreamSlotsAreUsed(t *testing.T) {
	for _, c := range []struct{ proxies, slots, most int }{
		{1, 4, 8},  // as many again may queue at the upstream
		{2, 8, 8},  // likewise, with half of the slots for this proxy
		{20, 8, 2}, // many proxies: the minimum for each
	} {
		var active, most atomic.Int64
		u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
			n := active.Add(1)
			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}
			time.Sleep(500 * time.Millisecond) // all ten have arrived by then
			active.Add(-1)
			return okResponse(r, "x"), false
		})
		i := u.instance("i-1")
		i.Slots = c.slots
		s := newProxy(t, i)
		s.pool.SetProxies(c.proxies)
		var served atomic.Int64
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				// A second request after 500 ms would not complete in time.
				if sendRequest(s, "POST", "/once/", "", headerBudget, "700").Code == http.StatusOK {
					served.Add(1)
				}
			})
		}
		wg.Wait()
		if most.Load() != int64(c.most) || served.Load() != int64(c.most) {
			t.Errorf("%d proxies, %d slots: of ten requests %d were active at once and %d served, want %d", c.proxies, c.slots, most.Load(), served.Load(), c.most)
		}
	}
}
