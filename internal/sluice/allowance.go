package sluice

import (
	"sync"
	"time"

	"slateridge/internal/constants"
)

// Allowance is this proxy's part of the budget for further tries. It earns
// from the requests this life has seen within the window, and holds a fixed
// part of the slack; a life younger than the window holds none of it, since the
// life before may have spent it.
type Allowance struct {
	mu      sync.Mutex
	window  time.Duration
	ratio   float64
	slack   float64
	born    time.Duration
	proxies int
	svc     map[string]*tally
	Denied  uint64
	Spent   uint64
}

const slots = 10 // parts a window is counted in

type tally struct {
	part     [slots + 1]int64
	requests [slots + 1]float64
	extras   [slots + 1]float64
}

// NewAllowance makes the budget's part at a proxy started now.
func NewAllowance(now, window time.Duration, ratio, slack float64) *Allowance {
	return &Allowance{window: window, ratio: ratio, slack: slack, born: now, svc: map[string]*tally{}}
}

// SetProxies takes the live count the slack is split by.
func (a *Allowance) SetProxies(n int) {
	a.mu.Lock()
	a.proxies = n
	a.mu.Unlock()
}

func (a *Allowance) at(now time.Duration, service string) (*tally, int) {
	t := a.svc[service]
	if t == nil {
		t = &tally{}
		a.svc[service] = t
	}
	part := int64(now / (a.window / slots))
	i := int(part % (slots + 1))
	if t.part[i] != part {
		t.part[i], t.requests[i], t.extras[i] = part, 0, 0
	}
	return t, i
}

// Request counts a client's request for a service.
func (a *Allowance) Request(now time.Duration, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, i := a.at(now, service)
	t.requests[i]++
}

// Take asks for one further try and, if there is room, spends it.
func (a *Allowance) Take(now time.Duration, service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, i := a.at(now, service)
	requests, extras := 0.0, 0.0
	newest := t.part[i]
	for j := range t.part {
		if newest-t.part[j] <= slots { // one part more than the window, so every window lies inside
			extras += t.extras[j]
			if newest-t.part[j] < slots {
				requests += t.requests[j]
			}
		}
	}
	room := requests * a.ratio * constants.BudgetShare
	if a.proxies > 0 && now-a.born >= a.window {
		room += a.slack * constants.BudgetSlack / float64(a.proxies)
	}
	if extras+1 > room {
		a.Denied++
		return false
	}
	t.extras[i]++
	a.Spent++
	return true
}
