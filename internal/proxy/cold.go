package proxy

import (
	"math"
	"time"

	"slateridge/internal/constants"
)

// ColdBound is what upstreams of a service may be sent while they are cold, by all proxies
// together. The zero value bounds nothing.
type ColdBound struct {
	duration    time.Duration // how long an upstream stays cold from its start
	meanSenders float64       // proxies, on average, that send to one that is cold
}

// NewColdBound is the bound on upstreams that bear perSecond requests a second while they
// are cold, and fall over beyond most in a second.
//
// Each proxy owns a cold upstream by lot, so the owners are Poisson distributed about their
// mean, and each sends one request every ColdEvery. The mean is chosen so that what the
// upstream bears is used, unless so many could draw it that they break the bound.
func NewColdBound(lasts time.Duration, perSecond, most float64) ColdBound {
	least, largest := 0.0, perSecond*constants.ColdEvery.Seconds()
	if poissonTail(largest, most) <= constants.ColdRisk {
		return ColdBound{lasts, largest}
	}
	for largest-least > 0.01 {
		if middle := (least + largest) / 2; poissonTail(middle, most) <= constants.ColdRisk {
			least = middle
		} else {
			largest = middle
		}
	}
	return ColdBound{lasts, least}
}

// poissonTail is the chance that a Poisson distributed number is above most.
func poissonTail(mean, most float64) float64 {
	term := math.Exp(-mean)
	below := term
	for n := 1.0; n <= most; n++ {
		term *= mean / n
		below += term
	}
	return max(0, 1-below)
}

// admitsColdRequest says whether a cold upstream may be sent a request from here now. Its
// bound holds over all proxies, and nobody is asked: by lot a few of them own
// it, and each sends one request at a time, spaced so that no second sees two.
// The lot needs no roster, only the live count, and is as good while counts
// differ.
func (u *Upstream) admitsColdRequest(now time.Time, bound ColdBound) bool {
	n := u.pool.proxyCount
	return n > 0 && float64(u.rank)*float64(n) < bound.meanSenders*(1<<32) && now.Sub(u.lastColdRequest) >= constants.ColdEvery
}
