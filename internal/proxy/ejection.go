package proxy

import (
	"time"

	"slateridge/internal/constants"
)

// mostEjected reports whether more than half of the upstreams are ejected. Ejection is
// bounded: beyond that share, ejected upstreams receive requests again.
func (pool *Pool) mostEjected(upstreams []*Upstream, now time.Time) bool {
	all, ejected := 0, 0
	for _, u := range upstreams {
		if !u.draining && !pool.evacuated[u.instance.Zone] {
			if all++; now.Before(u.ejectedUntil) {
				ejected++
			}
		}
	}
	return ejected*2 > all
}

// outcome classifies the result of an attempt by what it shows about the upstream.
type outcome int

const (
	outcomeServed         outcome = iota // the upstream responded
	outcomeAtCapacity                    // the upstream rejected the request for lack of capacity
	outcomeTransportError                // connection refused, reset or cut off, or an invalid response
	outcomeTimeout                       // no response in time
	outcomeUnused                        // the attempt ended for a reason that is unrelated to the upstream
	outcomeServerError                   // the upstream responded with a server error
	outcomeCancelled                     // this proxy closed the connection because nobody was waiting for the response
)

// eject stops sending to an upstream after a failure, for longer with each consecutive failure.
func (u *Upstream) eject(now time.Time) {
	u.consecutiveFailures++
	u.pool.Ejected++
	u.ejectedUntil = now.Add(min(constants.BaseEjectionTime<<min(u.consecutiveFailures-1, 5), constants.MaxEjectionTime))
}

// finish ends an attempt, releases its placement and updates the upstream's statistics.
func (pool *Pool) finish(p *placement, result outcome) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	u := p.upstream
	startedAt, ok := u.active[p]
	if !ok {
		return
	}
	delete(u.active, p)
	now := time.Now()
	responseTime := now.Sub(startedAt).Seconds()
	if p.timeToFirstByte > 0 {
		responseTime = p.timeToFirstByte
	}
	usual := func() float64 {
		return medianDelay(pool.candidates(target{service: u.instance.Service, regions: anyRegion}).preferred)
	}
	updateDelay := func(s float64) {
		if u.delay == 0 {
			u.delay = s
		} else {
			u.delay = u.expectedDelay(now, usual())
			u.delay += constants.DelayWeight * (s - u.delay)
		}
		u.delayUpdatedAt = now
	}
	latency := pool.serviceLatencyLocked(u.instance.Service)
	if result != outcomeAtCapacity && result != outcomeUnused {
		latency.occupancy.observe(now, now.Sub(startedAt).Seconds())
	}
	switch result {
	case outcomeServed:
		u.consecutiveFailures = 0
		u.responses++
		latency.observeResponse(now, responseTime)
		updateDelay(responseTime)
	case outcomeServerError:
		// Healthy upstreams rarely return server errors, so a single one is sufficient
		// evidence to eject the upstream briefly, whatever its health check reports. Its
		// connections remain usable.
		updateDelay(max(responseTime, constants.DefaultUpstreamDelay.Seconds()))
		u.eject(now)
	case outcomeAtCapacity:
		updateDelay(max(2*usual(), responseTime))
		u.ejectedUntil = now.Add(constants.FullUpstreamBackoff)
	case outcomeCancelled:
		pool.Cancelled++
		// Not a failure, but the elapsed time is a lower bound on the response time.
		if responseTime > u.expectedDelay(now, usual()) {
			updateDelay(responseTime)
		}
	case outcomeTransportError, outcomeTimeout:
		if result == outcomeTimeout {
			updateDelay(responseTime)
		}
		u.eject(now)
		u.closeIdle()
	}
	pool.serveQueueLocked(u.instance.Service)
}
