package proxy

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"slateridge/internal/adminhttp"
	"slateridge/internal/admission"
	"slateridge/internal/distribution"
	"slateridge/internal/eventlog"
	"slateridge/internal/membership"
)

// Report is the state of a proxy as shown by `slateridge status`.
type Report struct {
	Role       string
	Node       string
	Ready      bool
	Leaving    bool
	InFlight   int64
	Version    uint64
	Subscriber distribution.State
	Proxies    int
	Zone       string
	Region     string
	Evacuated  []string
	Requests   map[string]uint64
	Upstreams  []UpstreamState
	NewConns   uint64
	Ejections  uint64
	Cancelled  uint64 // attempts cancelled because the client had left or another attempt had answered
	Waited     uint64 // requests that waited for upstream capacity
	Full       uint64 // requests that found no upstream capacity
	Retries    uint64
	Denied     uint64 // retries refused by the retry budget
	Hedges     uint64
	Streams    Streams
	Usage      Usage
	Quotas     []admission.Report
	Audit      []AuditEntry
	Members    []membership.Fact
	Events     []eventlog.Event
	Tallies    []eventlog.Tally
	histograms *histograms
}

// Streams counts streaming responses.
type Streams struct {
	Open                   int64
	Cut, Left              uint64 // ended early by their upstream, by their client
	First, Next, Elsewhere uint64 // placed at the preferred upstream of their prefix, at one of the next in order, elsewhere
}

// Usage is the state of usage metering.
type Usage struct {
	Told    string // address of the control-plane node that usage is reported to
	Windows int    // open windows held by this proxy
	Dropped uint64 // runs that ended after their window had been reported
}

// Report returns the proxy's current state for operators.
func (d *Daemon) Report() Report {
	now := time.Now()
	r := Report{Role: "proxy", Node: d.nodeSettings.Load().NodeName, Ready: d.ready.Load(), Leaving: d.shuttingDown.Load(), InFlight: d.openRequests.Load(),
		Subscriber: d.subscriber.State(now), Proxies: d.limiter.Proxies(), Requests: map[string]uint64{}, Upstreams: d.pool.States(now),
		Hedges: d.hedges.Load(), Quotas: d.limiter.Reports(d.now()), Audit: d.audit.list(), Members: d.members.Members(),
		Events: d.events.Latest(20), Tallies: d.events.Tallies()}
	if cfg := d.config.Load(); cfg != nil {
		r.Version = cfg.Version
	}
	r.Zone, r.Region, r.Evacuated = d.nodeSettings.Load().Zone, d.nodeSettings.Load().Region, d.pool.EvacuatedZones()
	for i, name := range countNames {
		r.Requests[name] = d.outcomeCounts[i].Load()
	}
	r.Streams.Open, r.Streams.Cut, r.Streams.Left = d.streams.Load(), d.streamsCut.Load(), d.streamsAbandoned.Load()
	if d.meter != nil {
		r.Usage.Windows, r.Usage.Dropped = d.meter.Stats()
		if holder := d.usageHolder.Load(); holder != nil {
			r.Usage.Told = *holder
		}
	}
	r.histograms = d.histograms
	counts := d.pool.counters()
	r.Streams.First, r.Streams.Next, r.Streams.Elsewhere = counts.streamPlacements[0], counts.streamPlacements[1], counts.streamPlacements[2]
	r.NewConns, r.Ejections, r.Cancelled = counts.newConns, counts.ejected, counts.cancelled
	r.Waited, r.Full = counts.waited, counts.noCapacity
	d.retryBudget.mu.Lock()
	r.Retries, r.Denied = d.retryBudget.Spent, d.retryBudget.Denied
	d.retryBudget.mu.Unlock()
	return r
}

// WriteMetrics writes the report in the Prometheus text format.
func (r Report) WriteMetrics(w io.Writer) {
	for _, n := range countNames {
		metrics.WriteCounterUint64(w, fmt.Sprintf("slateridge_requests_total{outcome=%q}", n), r.Requests[n])
	}
	metrics.WriteGaugeUint64(w, "slateridge_ready", adminhttp.BoolGauge(r.Ready && !r.Leaving))
	metrics.WriteGaugeUint64(w, "slateridge_requests_in_flight", uint64(max(0, r.InFlight)))
	metrics.WriteGaugeUint64(w, "slateridge_config_version", r.Version)
	metrics.WriteGaugeUint64(w, "slateridge_upstream_list_number", r.Subscriber.ListNum)
	metrics.WriteGaugeFloat64(w, "slateridge_upstream_list_age_seconds", r.Subscriber.ListAge.Seconds())
	metrics.WriteGaugeFloat64(w, "slateridge_control_silence_seconds", r.Subscriber.Silent.Seconds())
	metrics.WriteGaugeUint64(w, "slateridge_zones_evacuated", uint64(len(r.Evacuated)))
	metrics.WriteGaugeUint64(w, "slateridge_live_proxies", uint64(r.Proxies))
	metrics.WriteCounterUint64(w, "slateridge_upstream_connections_total", r.NewConns)
	metrics.WriteCounterUint64(w, "slateridge_upstream_ejections_total", r.Ejections)
	metrics.WriteCounterUint64(w, "slateridge_upstream_requests_cancelled_total", r.Cancelled)
	metrics.WriteCounterUint64(w, "slateridge_requests_waited_total", r.Waited)
	metrics.WriteCounterUint64(w, "slateridge_requests_without_room_total", r.Full)
	metrics.WriteCounterUint64(w, "slateridge_retries_total", r.Retries)
	metrics.WriteCounterUint64(w, "slateridge_retries_denied_total", r.Denied)
	metrics.WriteCounterUint64(w, "slateridge_hedges_total", r.Hedges)
	metrics.WriteGaugeUint64(w, "slateridge_streams_open", uint64(max(0, r.Streams.Open)))
	metrics.WriteCounterUint64(w, "slateridge_streams_cut_total", r.Streams.Cut)
	metrics.WriteCounterUint64(w, "slateridge_streams_left_total", r.Streams.Left)
	for at, n := range map[string]uint64{"first": r.Streams.First, "next": r.Streams.Next, "elsewhere": r.Streams.Elsewhere} {
		metrics.WriteCounterUint64(w, fmt.Sprintf("slateridge_prefix_placed_total{at=%q}", at), n)
	}
	metrics.WriteGaugeUint64(w, "slateridge_usage_windows_open", uint64(r.Usage.Windows))
	metrics.WriteCounterUint64(w, "slateridge_usage_dropped_total", r.Usage.Dropped)
	if r.histograms != nil {
		r.histograms.set.WritePrometheus(w)
	}
	type group struct{ service, zone, state string }
	ups := map[group]uint64{}
	for _, u := range r.Upstreams {
		ups[group{u.Service, u.Zone, u.State}]++
	}
	for g, n := range ups {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("slateridge_upstreams{service=%q,zone=%q,state=%q}", g.service, g.zone, g.state), n)
	}
	for _, q := range r.Quotas {
		l := fmt.Sprintf("{key=%q}", q.Key)
		metrics.WriteCounterUint64(w, "slateridge_quota_admitted_total"+l, q.Admitted)
		metrics.WriteCounterUint64(w, "slateridge_quota_refused_total"+l, q.Refused)
		metrics.WriteCounterUint64(w, "slateridge_quota_false_refused_total"+l, q.FalseRefused)
		metrics.WriteCounterUint64(w, "slateridge_quota_shadow_refused_total"+l, q.ShadowRefused)
		metrics.WriteCounterUint64(w, "slateridge_quota_from_split_total"+l, q.FromSplit)
		metrics.WriteCounterUint64(w, "slateridge_quota_from_grant_total"+l, q.FromGrant)
		metrics.WriteGaugeFloat64(w, "slateridge_quota_rate"+l, q.Rate)
		metrics.WriteGaugeFloat64(w, "slateridge_quota_demand"+l, q.Demand)
		metrics.WriteGaugeFloat64(w, "slateridge_quota_balance"+l, q.Balance)
	}
	adminhttp.WriteCommon(w, r.Members, r.Tallies)
}
