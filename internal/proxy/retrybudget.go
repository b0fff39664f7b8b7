package proxy

import (
	"sync"
	"time"

	"slateridge/internal/constants"
)

// RetryBudget is this proxy's share of the retry budget. Per service it allows a fraction
// of the requests that this process received within the window, plus a share of the fixed
// slack. A process that is younger than the window gets no slack, because its predecessor
// may have spent it.
type RetryBudget struct {
	mu        sync.Mutex
	window    time.Duration
	ratio     float64
	slack     float64
	startedAt time.Duration
	proxies   int
	services  map[string]*windowCounts
	Denied    uint64
	Spent     uint64
}

const windowSlots = 10 // counters per window

// windowCounts counts the requests and retries of one service in a ring of time slots. The
// ring has one slot more than the window, so that it covers every sliding window.
type windowCounts struct {
	slot     [windowSlots + 1]int64
	requests [windowSlots + 1]float64
	retries  [windowSlots + 1]float64
}

// NewRetryBudget returns the retry budget of a proxy that started at now.
func NewRetryBudget(now, window time.Duration, ratio, slack float64) *RetryBudget {
	return &RetryBudget{window: window, ratio: ratio, slack: slack, startedAt: now, services: map[string]*windowCounts{}}
}

// SetProxies sets the number of live proxies, which share the slack.
func (b *RetryBudget) SetProxies(n int) {
	b.mu.Lock()
	b.proxies = n
	b.mu.Unlock()
}

// currentSlot returns the counts of a service and the index of the slot that contains now.
func (b *RetryBudget) currentSlot(now time.Duration, service string) (*windowCounts, int) {
	counts := b.services[service]
	if counts == nil {
		counts = &windowCounts{}
		b.services[service] = counts
	}
	slot := int64(now / (b.window / windowSlots))
	i := int(slot % (windowSlots + 1))
	if counts.slot[i] != slot {
		counts.slot[i], counts.requests[i], counts.retries[i] = slot, 0, 0
	}
	return counts, i
}

// RecordRequest counts a client request for a service.
func (b *RetryBudget) RecordRequest(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts, i := b.currentSlot(now, service)
	counts.requests[i]++
}

// Take reports whether the budget allows one more retry and, if so, spends it.
func (b *RetryBudget) Take(now time.Duration, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts, i := b.currentSlot(now, service)
	requests, retries := 0.0, 0.0
	newest := counts.slot[i]
	for j := range counts.slot {
		if newest-counts.slot[j] <= windowSlots { // one slot more than the window, so that any sliding window is covered
			retries += counts.retries[j]
			if newest-counts.slot[j] < windowSlots {
				requests += counts.requests[j]
			}
		}
	}
	allowed := requests * b.ratio * constants.RetryRatioFraction
	if b.proxies > 0 && now-b.startedAt >= b.window {
		allowed += b.slack * constants.RetrySlackFraction / float64(b.proxies)
	}
	if retries+1 > allowed {
		b.Denied++
		return false
	}
	counts.retries[i]++
	b.Spent++
	return true
}
