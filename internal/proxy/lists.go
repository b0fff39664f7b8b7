package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/distribution"
)

// step drives the line, decides readiness, and reads the platform's list here
// when no control machine in contact has spoken for long.
func (d *Daemon) step() {
	now := time.Now()
	d.lag.tick(now)
	d.subscriber.Step(now, d.ready.Load() && !d.shuttingDown.Load())
	st := d.subscriber.State(now)
	if !d.ready.Load() && d.config.Load() != nil && d.haveList.Load() && st.ListAge < constants.UpdateCurrent && st.Current < constants.UpdateCurrent {
		d.ready.Store(true)
		d.events.Record("ready", "configuration and upstreams known")
	}
	if d.outOfContact(st, now) && now.After(d.selfPollAt) && d.config.Load() != nil {
		every := selfPollEvery(d.pool.Len(), d.limiter.Proxies(), d.set.Load().CloudAPI.RatePerS)
		first := d.selfPollAt.IsZero()
		if d.selfPollAt = now.Add(every/2 + rand.N(every)); first && rand.Float64() > float64(constants.SelfPollEvery)/float64(every) {
			return // most of a large fleet have to wait for their turn from the beginning
		}
		go func() {
			is, err := d.source.Read(context.Background())
			if err != nil {
				d.events.Count("self_poll_failed", 1)
				return
			}
			if now := time.Now(); d.outOfContact(d.subscriber.State(now), now) {
				d.pool.Apply(time.Now(), is)
				d.haveList.Store(true)
				d.events.Count("self_poll", 1)
			}
		}()
	}
}

// outOfContact says that the list has to be read here: what control machines without
// contact say of it is what they knew before they lost it.
func (d *Daemon) outOfContact(st distribution.State, now time.Time) bool {
	return min(st.Current, now.Sub(d.startedAt)) > constants.SelfPollAfter
}

// selfPollEvery is how often a proxy out of touch reads the list, so that all of
// them together leave the platform's rate to whoever reads for everybody.
func selfPollEvery(upstreams, proxies int, rate float64) time.Duration {
	calls := float64(upstreams/constants.PollPage+1) * float64(max(1, proxies))
	if rate <= 0 {
		return constants.SelfPollEvery
	}
	return max(constants.SelfPollEvery, time.Duration(calls/(rate*constants.SelfPollPart)*float64(time.Second)))
}
