package proxy

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// TestBudgetHoldsInEveryWindow lets a fleet of proxies spend all the further
// tries they may, under changing load and with restarts, and checks every
// sliding window against the rule's bound, which counts the requests of the
// window, of the one before, or of the one half a window before.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const window, ratio, slack, proxies = 10 * time.Second, 0.2, 62.0, 11
	for seed := uint64(1); seed <= 30; seed++ {
		r := rand.New(rand.NewPCG(seed, 1))
		fleet := make([]*RetryBudget, proxies)
		born := make([]time.Duration, proxies)
		start := func(i int, now time.Duration) {
			fleet[i], born[i] = NewRetryBudget(0, window, ratio, slack), now
			fleet[i].SetProxies(proxies)
		}
		for i := range fleet {
			start(i, 0)
		}
		var requests, extras []time.Duration
		rate := 100.0
		for now := 12 * time.Second; now < 60*time.Second; now += time.Duration(r.ExpFloat64() / rate * float64(time.Second)) {
			if r.IntN(500) == 0 {
				rate = 5 + 300*r.Float64()
			}
			if r.IntN(300) == 0 {
				start(r.IntN(proxies), now)
			}
			i := r.IntN(proxies)
			fleet[i].RecordRequest(now-born[i], "svc")
			requests = append(requests, now)
			if fleet[i].Take(now-born[i], "svc") {
				extras = append(extras, now)
			}
		}
		if len(extras) < len(requests)/20 {
			t.Errorf("seed %d: only %d further tries for %d requests", seed, len(extras), len(requests))
		}
		within := func(ts []time.Duration, from, to time.Duration) float64 {
			a := sort.Search(len(ts), func(i int) bool { return ts[i] > from })
			b := sort.Search(len(ts), func(i int) bool { return ts[i] > to })
			return float64(b - a)
		}
		for _, end := range extras {
			from := end - window
			most := max(within(requests, from, end), within(requests, from-window, from), within(requests, from-window/2, end-window/2))
			if got, bound := within(extras, from, end), ratio*most+slack; got > bound {
				t.Fatalf("seed %d: %.0f further tries in the window to %v, %.0f are allowed", seed, got, end, bound)
			}
		}
	}
}

// A life younger than the window has none of the slack: the one before may have
// spent it.
func TestRestartRenewsNoSlack(t *testing.T) {
	b := NewRetryBudget(0, 10*time.Second, 0.2, 600)
	b.SetProxies(1)
	if b.Take(9*time.Second, "svc") {
		t.Error("a young life spent slack")
	}
	if !b.Take(10*time.Second, "svc") {
		t.Error("an old life has no slack")
	}
}

// However many proxies are out of touch and however long the list, their readings
// of it together leave most of the platform's rate to whoever reads for all.
func TestReadingsOfProxiesOutOfTouch(t *testing.T) {
	for _, c := range []struct{ upstreams, proxies int }{{25, 11}, {809, 300}, {5000, 2000}} {
		every := selfPollEvery(c.upstreams, c.proxies, 50)
		calls := float64(c.proxies*(c.upstreams/constants.PollPage+1)) / every.Seconds()
		if calls > 50*constants.SelfPollPart*1.01 || every < constants.SelfPollEvery {
			t.Errorf("%v: each reads every %v, %.0f calls a second together", c, every, calls)
		}
	}
}
