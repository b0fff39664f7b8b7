package proxy

import (
	"time"

	"slateridge/internal/constants"
)

// mostEjected says that more than half of some upstreams are left alone after failures:
// ejection is bounded, and then all are asked again.
func (pool *Pool) mostEjected(os []*Upstream, now time.Time) bool {
	all, out := 0, 0
	for _, u := range os {
		if !u.draining && !pool.evacuated[u.instance.Zone] {
			if all++; now.Before(u.ejectedUntil) {
				out++
			}
		}
	}
	return out*2 > all
}

// outcome is how an offer ended, for judging the upstream.
type outcome int

const (
	outcomeServed         outcome = iota // it answered
	outcomeAtCapacity                    // it turned the request away
	outcomeTransportError                // refused, reset, cut, odd
	outcomeTimeout                       // no answer in time
	outcomeUnused                        // nothing was sent, nothing learned
	outcomeServerError                   // it answered with a failure of its own
	outcomeCancelled                     // closed here, since nobody waited for it any more
)

// eject leaves an upstream alone after a failure, longer with each in a row.
func (u *Upstream) eject(now time.Time) {
	u.consecutiveFailures++
	u.pool.Ejected++
	u.ejectedUntil = now.Add(min(constants.EjectFirst<<min(u.consecutiveFailures-1, 5), constants.EjectMax))
}

// finish ends an offer and learns from it.
func (pool *Pool) finish(p *placement, how outcome) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	u := p.upstream
	began, ok := u.active[p]
	if !ok {
		return
	}
	delete(u.active, p)
	now := time.Now()
	took := now.Sub(began).Seconds()
	if p.timeToFirstByte > 0 {
		took = p.timeToFirstByte
	}
	usual := func() float64 {
		return usualDelay(pool.candidates(target{service: u.instance.Service, regions: anyRegion}).preferred)
	}
	learn := func(s float64) {
		if u.delay == 0 {
			u.delay = s
		} else {
			u.delay = u.expect(now, usual())
			u.delay += constants.DelayWeight * (s - u.delay)
		}
		u.delayUpdatedAt = now
	}
	times := pool.timesLocked(u.instance.Service)
	if how != outcomeAtCapacity && how != outcomeUnused {
		times.held.learn(now, now.Sub(began).Seconds())
	}
	switch how {
	case outcomeServed:
		u.consecutiveFailures = 0
		u.responses++
		times.answered(now, took)
		learn(took)
	case outcomeServerError:
		// Few answers of a healthy upstream are failures, so one is evidence
		// enough to leave it alone for a moment, whatever its health answer says;
		// its connections are as good as before.
		learn(max(took, constants.FirstDelay.Seconds()))
		u.eject(now)
	case outcomeAtCapacity:
		learn(max(2*usual(), took))
		u.ejectedUntil = now.Add(constants.FullPause)
	case outcomeCancelled:
		pool.Cancelled++
		// No failure; but an answer would have taken longer still.
		if took > u.expect(now, usual()) {
			learn(took)
		}
	case outcomeTransportError, outcomeTimeout:
		if how == outcomeTimeout {
			learn(took)
		}
		u.eject(now)
		u.closeIdle()
	}
	pool.wakeLocked(u.instance.Service)
}
