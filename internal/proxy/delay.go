package proxy

import (
	"math"
	"time"

	"slateridge/internal/constants"
)

// expect is the delay to expect of an upstream: what was learned, fading
// toward the service's usual as it ages.
func (u *Upstream) expect(now time.Time, usual float64) float64 {
	if u.delay == 0 {
		return usual
	}
	fade := math.Exp(-now.Sub(u.delayUpdatedAt).Seconds() / constants.DelayFade.Seconds())
	return usual + (u.delay-usual)*fade
}

// usualDelay is the median delay of some upstreams, in seconds: one that is stuck does not
// make the others look quick, however long the service's work takes.
func usualDelay(upstreams []*Upstream) float64 {
	delays := make([]float64, 0, len(upstreams))
	for _, u := range upstreams {
		if u.delay > 0 {
			delays = append(delays, u.delay)
		}
	}
	if len(delays) == 0 {
		return constants.FirstDelay.Seconds()
	}
	return median(delays)
}
