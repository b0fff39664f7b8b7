package admission

import (
	"time"

	"slateridge/internal/constants"
)

// lease is a rate granted to one proxy. Until the proxy reports which rate it uses, the
// larger of the old and the new rate counts as granted.
type lease struct {
	rate        float64 // offered last
	reserved    float64 // most that the proxy may be using
	expires     time.Duration
	demand      float64
	requestSent time.Duration // send time of the request that the last offer answers
}

// leased returns the sum of the reserved lease rates of all proxies except one.
func (p *pool) leased(except string) float64 {
	sum := 0.0
	for k, l := range p.leases {
		if k != except {
			sum += l.reserved
		}
	}
	return sum
}

// leaseDepth returns the burst that is granted with a leased rate. It only covers uneven
// arrivals, since burst that one proxy holds is not available to the others.
func leaseDepth(rate float64, q Quota) float64 {
	if q.Rate <= 0 {
		return 0
	}
	return rate * min(constants.LeaseBurstTime.Seconds(), q.Burst/q.Rate)
}

// grantLease answers a proxy that uses its split share. A request for one-off tokens
// leaves the lease unchanged.
func (t *Tracker) grantLease(now time.Duration, p *pool, request GrantRequest, want KeyRequest) KeyGrant {
	t.Requests++
	p.resize(now, t)
	if !want.Lend {
		return t.grantTokens(p, want, KeyGrant{Key: want.Key, Keep: true})
	}
	l := p.leases[request.Proxy]
	if l == nil {
		l = &lease{}
		p.leases[request.Proxy] = l
	}
	l.demand = max(0, want.Demand)
	// The part that proxies lend is not leased but served from the pool, so that the
	// proxies can have it back at once.
	rate := 0.0
	if l.demand > 0 {
		own, _ := p.tracked()
		rate = max(0, min(own, p.uncommitted(now, t)+p.leased("")))
	}
	// Leases are proportional to demand. A part of the rate stays in the pool for
	// sudden requests.
	total := 0.0
	for _, o := range p.leases {
		total += o.demand
	}
	share := l.demand
	if leasable := rate * (1 - constants.UnleasedFraction); total > leasable {
		share = l.demand * leasable / total
	}
	share = min(share, max(0, rate-p.leased(request.Proxy)))
	l.reserved = maxInUse(l.reserved, l.requestSent, share, want)
	l.rate, l.requestSent = share, request.Sent
	l.expires = now + constants.GrantDuration
	p.resize(now, t)
	grant := KeyGrant{Key: want.Key, Rate: share, Depth: leaseDepth(share, p.quota), Lent: true}
	return t.grantTokens(p, want, grant)
}

// maxInUse returns the highest rate that a proxy may be using after it is offered a new
// rate. Because answers may be lost or reordered, the rate reserved for earlier offers
// counts until the proxy reports what it holds under the newest one.
func maxInUse(reserved float64, offerRequestSent time.Duration, offer float64, want KeyRequest) float64 {
	if want.RateOf == offerRequestSent {
		return max(offer, min(want.Rate, reserved))
	}
	return max(offer, reserved)
}
