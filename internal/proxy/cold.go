package proxy

import (
	"math"
	"time"

	"slateridge/internal/constants"
)

// ColdBound limits the requests that all proxies together send to an upstream of a service
// while it is cold, that is, shortly after its start. The zero value sets no limit.
type ColdBound struct {
	duration    time.Duration // how long an upstream is cold after its start
	meanSenders float64       // mean number of proxies that send to one cold upstream
}

// NewColdBound returns the bound for upstreams that sustain perSecond requests per second
// while they are cold and fail beyond limit requests in any second.
//
// Each proxy decides by a hash whether it sends to a cold upstream, so the number of senders
// has a Poisson distribution, and each sends one request every ColdRequestInterval. The mean is set to
// use the rate that the upstream sustains, and is reduced where the probability that the
// senders exceed limit would be above ColdOverloadProbability.
func NewColdBound(duration time.Duration, perSecond, limit float64) ColdBound {
	low, high := 0.0, perSecond*constants.ColdRequestInterval.Seconds()
	if poissonTail(high, limit) <= constants.ColdOverloadProbability {
		return ColdBound{duration, high}
	}
	for high-low > 0.01 {
		if middle := (low + high) / 2; poissonTail(middle, limit) <= constants.ColdOverloadProbability {
			low = middle
		} else {
			high = middle
		}
	}
	return ColdBound{duration, low}
}

// poissonTail returns the probability that a Poisson distributed variable exceeds limit.
func poissonTail(mean, limit float64) float64 {
	term := math.Exp(-mean)
	cumulative := term
	for n := 1.0; n <= limit; n++ {
		term *= mean / n
		cumulative += term
	}
	return max(0, 1-cumulative)
}

// admitsColdRequest reports whether this proxy may send a request to a cold upstream now.
// The bound holds across all proxies without coordination: a hash selects a few of them as
// senders, and each spaces its requests so that no second contains two. The selection
// depends only on the number of live proxies, not on their identities, and remains valid
// while the proxies differ about that number.
func (u *Upstream) admitsColdRequest(now time.Time, bound ColdBound) bool {
	n := u.pool.proxyCount
	return n > 0 && float64(u.rank)*float64(n) < bound.meanSenders*(1<<32) && now.Sub(u.lastColdRequest) >= constants.ColdRequestInterval
}
