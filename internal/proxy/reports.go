package proxy

import (
	"time"

	"slateridge/internal/autoscale"
	"slateridge/internal/constants"
	"slateridge/internal/usage"
)

// usageWindowAt returns the number of the usage window that contains a local time, in the
// fleet's agreed time.
func (d *Daemon) usageWindowAt(at time.Time) uint64 {
	agreed, ok := d.clock.Now(d.now())
	if !ok {
		agreed = time.Now()
	}
	return usage.Window(agreed.Add(-time.Since(at)), d.nodeSettings.Load().Bounds.UsageWindow.D())
}

// reportLoad reports the number of running and waiting requests of each autoscaled service
// to the holder of the scaling duty.
func (d *Daemon) reportLoad() {
	holder, cfg := d.scalingHolder.Load(), d.config.Load()
	if holder == nil || *holder == "" || cfg == nil {
		return
	}
	nodeSettings := d.nodeSettings.Load()
	report := autoscale.Report{Proxy: nodeSettings.IPAddress, Zone: nodeSettings.Zone, Running: map[string]int{}}
	for name, service := range cfg.Services {
		if service.Scaling != nil {
			report.Running[name] = d.pool.Outstanding(name)
		}
	}
	reply, err := d.subscriber.Call(*holder, report, constants.UsageReportTimeout)
	if ack, ok := reply.(autoscale.Ack); err != nil || !ok || !ack.OK {
		d.events.Count("load_untold", 1)
	}
}

// reportUsage reports the counted usage to the holder of the usage duty. It returns at once
// if a report is already under way.
func (d *Daemon) reportUsage() {
	if !d.usageReportMu.TryLock() {
		return
	}
	defer d.usageReportMu.Unlock()
	holder := d.usageHolder.Load()
	if holder == nil || *holder == "" || d.config.Load() == nil {
		return
	}
	for range 2 { // a new holder's first acknowledgement carries a new term and requires a second report
		report, pending := d.meter.NextReport(d.nodeSettings.Load().IPAddress, d.usageWindowAt(time.Now()))
		if !pending {
			return
		}
		reply, err := d.subscriber.Call(*holder, report, constants.UsageReportTimeout)
		ack, ok := reply.(usage.Ack)
		if err != nil || !ok || ack.Term == 0 {
			d.events.Count("usage_untold", 1)
			return
		}
		d.meter.Acknowledge(report, ack)
		if ack.Term == report.Term {
			return
		}
	}
}
