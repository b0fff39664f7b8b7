package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/distribution"
)

// step runs the periodic work of the connections to the control plane, sets readiness, and
// polls the platform's instance list directly while this proxy is out of contact.
func (d *Daemon) step() {
	now := time.Now()
	d.lag.tick(now)
	d.subscriber.Step(now, d.ready.Load() && !d.shuttingDown.Load())
	state := d.subscriber.State(now)
	if !d.ready.Load() && d.config.Load() != nil && d.hasUpstreamList.Load() && state.ListAge < constants.StartupUpdateMaxAge && state.Current < constants.StartupUpdateMaxAge {
		d.ready.Store(true)
		d.events.Record("ready", "configuration and upstreams known")
	}
	if d.outOfContact(state, now) && now.After(d.nextSelfPoll) && d.config.Load() != nil {
		interval := selfPollInterval(d.pool.Len(), d.limiter.Proxies(), d.nodeSettings.Load().CloudAPI.RatePerS)
		first := d.nextSelfPoll.IsZero()
		if d.nextSelfPoll = now.Add(interval/2 + rand.N(interval)); first && rand.Float64() > float64(constants.SelfPollInterval)/float64(interval) {
			return // keeps a large fleet within the platform's rate limit from the first round on
		}
		go func() {
			instances, err := d.source.Read(context.Background())
			if err != nil {
				d.events.Count("self_poll_failed", 1)
				return
			}
			if now := time.Now(); d.outOfContact(d.subscriber.State(now), now) {
				d.pool.Apply(time.Now(), instances)
				d.hasUpstreamList.Store(true)
				d.events.Count("self_poll", 1)
			}
		}()
	}
}

// outOfContact reports whether this proxy has to poll the instance list itself. Only
// control-plane nodes in contact with a majority count: the others may still send updates,
// but their list dates from before they lost contact.
func (d *Daemon) outOfContact(state distribution.State, now time.Time) bool {
	return min(state.Current, now.Sub(d.startedAt)) > constants.SelfPollDelay
}

// selfPollInterval returns the interval at which a proxy without contact polls the instance
// list. All proxies together use only a part of the platform's rate limit, which leaves the
// rest to the control-plane node that polls for the fleet.
func selfPollInterval(upstreams, proxies int, rate float64) time.Duration {
	calls := float64(upstreams/constants.PollPageSize+1) * float64(max(1, proxies))
	if rate <= 0 {
		return constants.SelfPollInterval
	}
	return max(constants.SelfPollInterval, time.Duration(calls/(rate*constants.SelfPollRateFraction)*float64(time.Second)))
}
