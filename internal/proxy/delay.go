package proxy

import (
	"math"
	"time"

	"slateridge/internal/constants"
)

// expect is the delay to expect of an upstream: what was learned, fading
// toward the service's mean as it ages.
func (u *Upstream) expect(now time.Time, mean float64) float64 {
	if u.delay == 0 {
		return mean
	}
	fade := math.Exp(-now.Sub(u.delayAt).Seconds() / constants.DelayFade.Seconds())
	return mean + (u.delay-mean)*fade
}

func meanDelay(os []*Upstream) float64 {
	sum, n := 0.0, 0
	for _, u := range os {
		if u.delay > 0 {
			sum += min(u.delay, 1)
			n++
		}
	}
	if n == 0 {
		return constants.FirstDelay.Seconds()
	}
	return sum / float64(n)
}
