package proxy

import (
	"sync"
	"time"

	"slateridge/internal/constants"
)

// RetryBudget is this proxy's part of the budget for further tries. It earns
// from the requests this life has seen within the window, and holds a fixed
// part of the slack; a life younger than the window holds none of it, since the
// life before may have spent it.
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

const windowSlots = 10 // parts a window is counted in

type windowCounts struct {
	slot     [windowSlots + 1]int64
	requests [windowSlots + 1]float64
	retries  [windowSlots + 1]float64
}

// NewRetryBudget makes the budget's part at a proxy started now.
func NewRetryBudget(now, window time.Duration, ratio, slack float64) *RetryBudget {
	return &RetryBudget{window: window, ratio: ratio, slack: slack, startedAt: now, services: map[string]*windowCounts{}}
}

// SetProxies takes the live count the slack is split by.
func (b *RetryBudget) SetProxies(n int) {
	b.mu.Lock()
	b.proxies = n
	b.mu.Unlock()
}

func (b *RetryBudget) currentSlot(now time.Duration, service string) (*windowCounts, int) {
	t := b.services[service]
	if t == nil {
		t = &windowCounts{}
		b.services[service] = t
	}
	part := int64(now / (b.window / windowSlots))
	i := int(part % (windowSlots + 1))
	if t.slot[i] != part {
		t.slot[i], t.requests[i], t.retries[i] = part, 0, 0
	}
	return t, i
}

// RecordRequest counts a client's request for a service.
func (b *RetryBudget) RecordRequest(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, i := b.currentSlot(now, service)
	t.requests[i]++
}

// Take asks for one further try and, if there is room, spends it.
func (b *RetryBudget) Take(now time.Duration, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, i := b.currentSlot(now, service)
	requests, extras := 0.0, 0.0
	newest := t.slot[i]
	for j := range t.slot {
		if newest-t.slot[j] <= windowSlots { // one part more than the window, so every window lies inside
			extras += t.retries[j]
			if newest-t.slot[j] < windowSlots {
				requests += t.requests[j]
			}
		}
	}
	room := requests * b.ratio * constants.BudgetShare
	if b.proxies > 0 && now-b.startedAt >= b.window {
		room += b.slack * constants.BudgetSlack / float64(b.proxies)
	}
	if extras+1 > room {
		b.Denied++
		return false
	}
	t.retries[i]++
	b.Spent++
	return true
}
