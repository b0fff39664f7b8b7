package proxy

import (
	"errors"
	"maps"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/constants"
	"slateridge/internal/transport"
)

// tracker is where a key's questions go.
func (d *Daemon) tracker(shard int) string {
	if t := *d.trackers.Load(); shard < len(t) {
		return t[shard]
	}
	return ""
}

// shardsOf are those that a machine tracks.
func (d *Daemon) shardsOf(tracker string) []int {
	var out []int
	for i, t := range *d.trackers.Load() {
		if t == tracker {
			out = append(out, i)
		}
	}
	return out
}

func (d *Daemon) shard(key string) int { return admission.Shard(key, d.set.Load().Trackers()) }

func (d *Daemon) askTracker(key string) {
	asked := d.now()
	to := d.tracker(d.shard(key))
	if to != "" {
		d.trackerEchoesMu.Lock()
		echo := d.trackerEchoes[to].time
		d.trackerEchoesMu.Unlock()
		v, err := d.subscriber.Ask(to, admission.GrantRequest{Proxy: d.set.Load().IPAddress, Wants: []admission.Want{d.limiter.Need(asked, key)}, Echo: echo, Proxies: d.limiter.Proxies(), Life: d.limiter.Life(), Sent: asked}, constants.GrantWait)
		if g, ok := v.(admission.Grants); err == nil && ok && !g.Refused {
			d.heardTracker(to, g.Stamp, d.shard(key))
			for _, x := range g.Given {
				d.limiter.Take(d.now(), asked, x)
			}
			return
		}
		if errors.Is(err, transport.ErrRefused) {
			for _, i := range d.shardsOf(to) {
				d.limiter.TrackerDown(i)
			}
		}
	}
	d.limiter.Unanswered(d.now(), key)
}

// heardTracker notes a tracker's answer for some shards.
func (d *Daemon) heardTracker(to string, s admission.TrackerTime, shards ...int) {
	now := d.now()
	d.trackerEchoesMu.Lock()
	o := d.trackerEchoes[to]
	if o.time.Life != s.Life || o.time.At < s.At {
		d.trackerEchoes[to] = trackerEcho{s, now}
	}
	d.trackerEchoesMu.Unlock()
	if o.time.Life != s.Life || o.time.Begun < s.Begun {
		d.untold(d.shardsOf(to))
		go d.renewGrants()
	}
	for _, i := range shards {
		d.limiter.TrackerAnswered(now, i)
	}
}

// trackerEcho is a tracker's latest time, and when it came here.
type trackerEcho struct {
	time admission.TrackerTime
	at   time.Duration
}

// renewGrants tells the trackers this proxy's demand and loans, and takes their
// leases.
func (d *Daemon) renewGrants() {
	asked := d.now()
	d.trackerEchoesMu.Lock()
	echo := maps.Clone(d.trackerEchoes)
	d.trackerEchoesMu.Unlock()
	by := map[string][]admission.Want{}
	for _, w := range d.limiter.Wants(asked, func(key string) (time.Duration, uint64, bool) {
		h, ok := echo[d.tracker(d.shard(key))]
		return h.at, h.time.Life, ok
	}) {
		if to := d.tracker(d.shard(w.Key)); to != "" {
			by[to] = append(by[to], w)
		}
	}
	shards := map[string][]int{}
	for i, to := range *d.trackers.Load() {
		if to != "" {
			shards[to] = append(shards[to], i)
			if _, ok := by[to]; !ok && asked-echo[to].at > constants.ContactEvery {
				by[to] = nil // nothing to say but that it is heard
			}
		}
	}
	for to, ws := range by {
		go func() {
			q := admission.GrantRequest{Proxy: d.set.Load().IPAddress, Wants: ws, Echo: echo[to].time, Proxies: d.limiter.Proxies(), Life: d.limiter.Life(), Sent: asked}
			v, err := d.subscriber.Ask(to, q, constants.CallTimeout)
			if g, ok := v.(admission.Grants); err == nil && ok {
				if !g.Refused { // what does not track borrows nothing
					d.heardTracker(to, g.Stamp, shards[to]...)
				}
				for _, x := range g.Given {
					d.limiter.Take(d.now(), asked, x)
				}
				if g.Retell {
					d.untold(shards[to])
				}
			} else {
				d.untold(shards[to])
			}
		}()
	}
}

// untold notes that the tracker of some shards does not know what it was told.
func (d *Daemon) untold(shards []int) {
	for _, i := range shards {
		d.limiter.ReportAgain(i)
	}
}
