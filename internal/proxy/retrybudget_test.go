package proxy

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// TestRetryBudgetHoldsInEveryWindow lets a fleet of proxies spend all the retries that their
// budgets allow, under changing load and with restarts. It checks every sliding window
// against the contract's bound, which takes the number of requests from that window, from
// the one before, or from the one half a window earlier, whichever is the largest.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	const window, ratio, slack, proxies = 10 * time.Second, 0.2, 62.0, 11
	for seed := uint64(1); seed <= 30; seed++ {
		r := rand.New(rand.NewPCG(seed, 1))
		fleet := make([]*RetryBudget, proxies)
		startedAt := make([]time.Duration, proxies)
		start := func(i int, now time.Duration) {
			fleet[i], startedAt[i] = NewRetryBudget(0, window, ratio, slack), now
			fleet[i].SetProxies(proxies)
		}
		for i := range fleet {
			start(i, 0)
		}
		var requests, retries []time.Duration
		rate := 100.0
		for now := 12 * time.Second; now < 60*time.Second; now += time.Duration(r.ExpFloat64() / rate * float64(time.Second)) {
			if r.IntN(500) == 0 {
				rate = 5 + 300*r.Float64()
			}
			if r.IntN(300) == 0 {
				start(r.IntN(proxies), now)
			}
			i := r.IntN(proxies)
			fleet[i].RecordRequest(now-startedAt[i], "svc")
			requests = append(requests, now)
			if fleet[i].Take(now-startedAt[i], "svc") {
				retries = append(retries, now)
			}
		}
		if len(retries) < len(requests)/20 {
			t.Errorf("seed %d: only %d retries for %d requests", seed, len(retries), len(requests))
		}
		count := func(ts []time.Duration, from, to time.Duration) float64 {
			a := sort.Search(len(ts), func(i int) bool { return ts[i] > from })
			b := sort.Search(len(ts), func(i int) bool { return ts[i] > to })
			return float64(b - a)
		}
		for _, end := range retries {
			from := end - window
			maxRequests := max(count(requests, from, end), count(requests, from-window, from), count(requests, from-window/2, end-window/2))
			if got, bound := count(retries, from, end), ratio*maxRequests+slack; got > bound {
				t.Fatalf("seed %d: %.0f retries in the window ending at %v, at most %.0f are allowed", seed, got, end, bound)
			}
		}
	}
}

// A restart must not renew the slack: a process younger than the window gets none, because its
// predecessor may have spent it.
func TestRestartDoesNotRenewRetrySlack(t *testing.T) {
	b := NewRetryBudget(0, 10*time.Second, 0.2, 600)
	b.SetProxies(1)
	if b.Take(9*time.Second, "svc") {
		t.Error("a process younger than the window spent slack")
	}
	if !b.Take(10*time.Second, "svc") {
		t.Error("a process as old as the window has no slack")
	}
}

// Proxies that have lost contact with the control plane poll the instance list themselves.
// However many they are and however long the list is, together they must leave most of the
// platform's rate limit to the machine that polls on behalf of all proxies.
func TestSelfPollRateOfDisconnectedProxies(t *testing.T) {
	for _, c := range []struct{ upstreams, proxies int }{{25, 11}, {809, 300}, {5000, 2000}} {
		interval := selfPollInterval(c.upstreams, c.proxies, 50)
		calls := float64(c.proxies*(c.upstreams/constants.PollPageSize+1)) / interval.Seconds()
		if calls > 50*constants.SelfPollRateFraction*1.01 || interval < constants.SelfPollInterval {
			t.Errorf("%v: each polls every %v, %.0f calls per second in total", c, interval, calls)
		}
	}
}
