package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Where proxies are few, each uses as much of an upstream as its places allow: nothing
// is refused while most of them are free.
func TestPlacesOfUpstreamsAreUsed(t *testing.T) {
	for _, c := range []struct{ proxies, slots, most int }{
		{1, 4, 8},  // as much again may wait there
		{2, 8, 8},  // likewise, half from here
		{20, 8, 2}, // many proxies: the least each has
	} {
		var atWork, most atomic.Int64
		u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
			n := atWork.Add(1)
			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}
			time.Sleep(500 * time.Millisecond) // all ten have come by then
			atWork.Add(-1)
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
				// A second one after 500 ms would not be in time.
				if sendRequest(s, "POST", "/once/", "", headerBudget, "700").Code == http.StatusOK {
					served.Add(1)
				}
			})
		}
		wg.Wait()
		if most.Load() != int64(c.most) || served.Load() != int64(c.most) {
			t.Errorf("%d proxies, %d slots: of ten requests %d at work at once and %d served, want %d", c.proxies, c.slots, most.Load(), served.Load(), c.most)
		}
	}
}
