package proxy

import (
	"math"
	"time"

	"slateridge/internal/constants"
)

// expectedDelay returns the delay expected of an upstream, in seconds: the measured delay, which
// decays toward the usual delay of the service as it ages.
func (u *Upstream) expectedDelay(now time.Time, usual float64) float64 {
	if u.delay == 0 {
		return usual
	}
	fade := math.Exp(-now.Sub(u.delayUpdatedAt).Seconds() / constants.DelayDecayTime.Seconds())
	return usual + (u.delay-usual)*fade
}

// medianDelay returns the median of the measured delays of some upstreams, in seconds. A
// median, unlike a mean, is hardly affected by a single upstream that is stuck, so the others do
// not look fast by comparison, whatever the latency of the service.
func medianDelay(upstreams []*Upstream) float64 {
	delays := make([]float64, 0, len(upstreams))
	for _, u := range upstreams {
		if u.delay > 0 {
			delays = append(delays, u.delay)
		}
	}
	if len(delays) == 0 {
		return constants.DefaultUpstreamDelay.Seconds()
	}
	return median(delays)
}
