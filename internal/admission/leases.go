package admission

import (
	"time"

	"slateridge/internal/constants"
)

// lease is a rate given to one proxy. Until the proxy has reported what it uses,
// both the old and the new rate count as given: the larger.
type lease struct {
	rate        float64 // offered last
	reserved    float64 // what it may be using
	expires     time.Duration
	demand      float64
	requestSent time.Duration // when the proxy sent the request that the last offer answers
}

func (p *pool) leased(but string) float64 {
	sum := 0.0
	for k, l := range p.leases {
		if k != but {
			sum += l.reserved
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

// grantLease answers a proxy that uses its split share. A question for a request
// that waits gets tokens and leaves the lease as it is.
func (tracker *Tracker) grantLease(now time.Duration, p *pool, request GrantRequest, want KeyRequest) KeyGrant {
	tracker.Requests++
	p.resize(now, tracker)
	if !want.Lend {
		return tracker.grantTokens(p, want, KeyGrant{Key: want.Key, Keep: true})
	}
	l := p.leases[request.Proxy]
	if l == nil {
		l = &lease{}
		p.leases[request.Proxy] = l
	}
	l.demand = max(0, want.Demand)
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
	share = min(share, max(0, rate-p.leased(request.Proxy)))
	l.reserved = maxInUse(l.reserved, l.requestSent, share, want)
	l.rate, l.requestSent = share, request.Sent
	l.expires = now + constants.GrantLength
	p.resize(now, tracker)
	out := KeyGrant{Key: want.Key, Rate: share, Depth: leaseDepth(share, p.quota), Lent: true}
	return tracker.grantTokens(p, want, out)
}

// maxInUse is the most that a proxy may be using when it is offered a rate. What was
// offered before counts until the proxy reports what it holds by the newest offer,
// since answers may be lost or overtake each other.
func maxInUse(counted float64, answered time.Duration, offer float64, want KeyRequest) float64 {
	if want.RateOf == answered {
		return max(offer, min(want.Rate, counted))
	}
	return max(offer, counted)
}
