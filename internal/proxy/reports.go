package proxy

import (
	"time"

	"slateridge/internal/autoscale"
	"slateridge/internal/constants"
	"slateridge/internal/usage"
)

// windowAt is the usage window that a moment lies in, by the agreed time.
func (d *Daemon) windowAt(at time.Time) uint64 {
	agreed, ok := d.clock.Now(d.now())
	if !ok {
		agreed = time.Now()
	}
	return usage.Window(agreed.Add(-time.Since(at)), d.set.Load().Bounds.UsageWindow.D())
}

// tellLoad says what runs and waits here of the services that are scaled.
func (d *Daemon) tellLoad() {
	to, cfg := d.scalingHolder.Load(), d.config.Load()
	if to == nil || *to == "" || cfg == nil {
		return
	}
	set := d.set.Load()
	t := autoscale.Report{Proxy: set.IPAddress, Zone: set.Zone, Running: map[string]int{}}
	for name, s := range cfg.Services {
		if s.Scaling != nil {
			t.Running[name] = d.pool.Outstanding(name)
		}
	}
	v, err := d.subscriber.Ask(*to, t, constants.UsageWait)
	if h, ok := v.(autoscale.Ack); err != nil || !ok || !h.OK {
		d.events.Count("load_untold", 1)
	}
}

// tellUsage brings what has been counted to the duty's holder, until it has heard
// all.
func (d *Daemon) tellUsage() {
	if !d.telling.TryLock() {
		return
	}
	defer d.telling.Unlock()
	to := d.usageHolder.Load()
	if to == nil || *to == "" || d.config.Load() == nil {
		return
	}
	for range 2 { // a new holder's first answer asks for the rest
		t, some := d.meter.Report(d.set.Load().IPAddress, d.windowAt(time.Now()))
		if !some {
			return
		}
		v, err := d.subscriber.Ask(*to, t, constants.UsageWait)
		h, ok := v.(usage.Ack)
		if err != nil || !ok || h.Term == 0 {
			d.events.Count("usage_untold", 1)
			return
		}
		d.meter.Acknowledged(t, h)
		if h.Term == t.Term {
			return
		}
	}
}
