package admission

import (
	"time"

	"slateridge/internal/constants"
)

// lease is a rate given to one proxy. Until the proxy has told what it uses,
// both the old and the new rate count as given: the larger.
type lease struct {
	rate   float64 // offered last
	count  float64 // what it may be using
	until  time.Duration
	demand float64
	sent   time.Duration // when the proxy sent the word that the last offer answers
}

func (p *pool) leased(but string) float64 {
	sum := 0.0
	for k, l := range p.leases {
		if k != but {
			sum += l.count
		}
	}
	return sum
}

// leaseDepth is how much of the burst goes with a leased rate: only what evens
// out the arrivals, since a burst held by one proxy is missed by the others.
func leaseDepth(rate float64, q Quota) float64 {
	if q.Rate <= 0 {
		return 0
	}
	return rate * min(constants.LeaseDepthTime.Seconds(), q.Burst/q.Rate)
}

// giveLease answers a proxy that uses its split share. A question for a request
// that waits gets tokens and leaves the lease as it is.
func (tracker *Tracker) giveLease(now time.Duration, p *pool, a GrantRequest, w Want) Given {
	tracker.Asked++
	p.shape(now, tracker)
	if !w.Lend {
		return tracker.oneOff(p, w, Given{Key: w.Key, Keep: true})
	}
	l := p.leases[a.Proxy]
	if l == nil {
		l = &lease{}
		p.leases[a.Proxy] = l
	}
	l.demand = max(0, w.Demand)
	// Nothing is leased of what proxies lend, so that they can have it back at once: the
	// pool serves with it.
	rate := 0.0
	if l.demand > 0 {
		own, _ := p.tracked()
		rate = max(0, min(own, p.uncommitted(now, tracker)+p.leased("")))
	}
	// Demand decides the shares; a part stays in the pool for sudden asks.
	total := 0.0
	for _, o := range p.leases {
		total += o.demand
	}
	share := l.demand
	if leasable := rate * (1 - constants.PoolPart); total > leasable {
		share = l.demand * leasable / total
	}
	share = min(share, max(0, rate-p.leased(a.Proxy)))
	l.count = mayUse(l.count, l.sent, share, w)
	l.rate, l.sent = share, a.Sent
	l.until = now + constants.GrantLength
	p.shape(now, tracker)
	out := Given{Key: w.Key, Rate: share, Depth: leaseDepth(share, p.quota), Lent: true}
	return tracker.oneOff(p, w, out)
}

// mayUse is the most that a proxy may be using when it is offered a rate. What was
// offered before counts until the proxy reports what it holds by the newest offer,
// since answers may be lost or overtake each other.
func mayUse(counted float64, answered time.Duration, offer float64, w Want) float64 {
	if w.RateOf == answered {
		return max(offer, min(w.Rate, counted))
	}
	return max(offer, counted)
}
