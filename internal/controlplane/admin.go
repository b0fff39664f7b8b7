package controlplane

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"slateridge/internal/accounts"
	"slateridge/internal/adminhttp"
	"slateridge/internal/constants"
	"slateridge/internal/controlplane/chain"
	"slateridge/internal/directory"
	"slateridge/internal/distribution"
	"slateridge/internal/eventlog"
	"slateridge/internal/membership"
)

// Report is the state of a control machine that `slateridge status` shows.
type Report struct {
	Role      string
	Node      string
	Chain     chain.Heartbeat
	Current   bool
	Contact   time.Duration // time since the last two-way contact with a majority; negative if there was none
	Voters    []chain.Voter
	Margin    int // voters beyond a majority that remain after the largest tolerated loss
	Duties    map[string]string
	Platform  map[string]DutyReport // duties performed at the platform, with their fencing tokens
	Scaling   []ScalingReport
	ListNum   uint64
	ListAge   time.Duration
	Upstreams int
	Evacuated []string
	Zone      string
	Region    string
	Directory *DirectoryReport // nil if this machine serves no directory
	Live      int
	Proxies   []distribution.ProxyState
	Acked     int
	Pushes    uint64
	Dropped   uint64 // lease and duty messages dropped because the sender has no vote or their view is outdated
	Leased    map[string]float64
	Members   []membership.Fact
	Events    []eventlog.Event
	Tallies   []eventlog.Tally

	accounts *accounts.Service // for metrics; nil if no tenant has objectives
}

// adminAPI returns the admin interface of a control machine. It serves the report and the
// accounts, and lets operators retire voters that are permanently lost.
func (d *Daemon) adminAPI() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", adminhttp.Handler(d.Report))
	m.HandleFunc("POST /retire", d.retireVoter)
	if d.accounts != nil {
		m.Handle("GET /accounts", d.accounts)
	}
	return m
}

// retireVoter proposes a view whose electorate excludes the given machine. The view needs
// the usual agreement; the response reports whether it was reached or why it is refused.
func (d *Daemon) retireVoter(w http.ResponseWriter, r *http.Request) {
	addr := r.URL.Query().Get("machine")
	var refusal string
	d.replica.step(func() (out []chain.Effect) {
		out, refusal = d.replica.chain.Retire(d.now(), addr)
		return out
	})
	if refusal != "" {
		d.events.Record("retire_refused", addr+": "+refusal)
		writeError(w, http.StatusConflict, errorBody(refusal))
		return
	}
	for end := d.now() + constants.RetireRequestTimeout/2; d.now() < end; time.Sleep(constants.ChainTick) {
		if !slices.Contains(d.replica.viewState.Load().voters, addr) {
			d.events.Record("retired", addr)
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(map[string]any{"retired": addr, "voters": d.replica.viewState.Load().voters})
			return
		}
	}
	writeUnavailable(w, "no view without "+addr+" was agreed in time; it may still come")
}

// DirectoryReport lists the proxies known to the directory and counts its lookups.
type DirectoryReport struct {
	Places                []directory.LocationState
	Asked, Empty, Spilled uint64
}

// Report returns the current state of this machine.
func (d *Daemon) Report() Report {
	snapshot := d.proxyPublisher.snapshot()
	r := Report{accounts: d.accounts, Role: "control", Node: d.settings.NodeName, Chain: d.replica.status(), Current: snapshot.Current,
		ListNum: snapshot.ListNum, ListAge: snapshot.ListAge, Live: snapshot.Proxies, Proxies: d.proxyPublisher.publisher.Proxies(), Leased: d.quotaTracker.LeasedRates(d.now()),
		Members: d.members.Members(), Evacuated: snapshot.Evacuated, Events: d.events.Latest(20), Tallies: d.events.Tallies()}
	r.Contact = d.replica.contactAge()
	r.Voters, r.Margin = d.replica.electorate()
	r.Platform, r.Scaling = d.dutyReports(), d.scalingReports()
	r.Zone, r.Region = d.settings.Zone, d.settings.Region
	if d.settings.ListenAddresses.Directory != "" {
		r.Directory = &DirectoryReport{Places: d.proxyDirectory.States(d.now())}
		r.Directory.Asked, r.Directory.Empty, r.Directory.Spilled = d.proxyDirectory.Counts()
	}
	if snapshot.Upstreams != nil {
		r.Upstreams = len(snapshot.Upstreams.Instances)
	}
	for _, p := range r.Proxies {
		if p.Version >= snapshot.Version {
			r.Acked++
		}
	}
	r.Pushes = d.proxyPublisher.publisher.PushCount()
	r.Duties, r.Dropped = d.leases.holders()
	return r
}

// WriteMetrics writes the report in the Prometheus text format.
func (r Report) WriteMetrics(w io.Writer) {
	gauge := func(name string, v uint64) { metrics.WriteGaugeUint64(w, "slateridge_"+name, v) }
	gauge("view_number", r.Chain.View.Num)
	gauge("view_members", uint64(len(r.Chain.View.Members)))
	gauge("view_member", adminhttp.BoolGauge(r.Chain.View.HasMember(r.Chain.Me)))
	gauge("view_sealed", adminhttp.BoolGauge(r.Chain.Sealed))
	gauge("disk_failed", adminhttp.BoolGauge(r.Chain.Sick))
	gauge("majority_heard", adminhttp.BoolGauge(r.Current))
	metrics.WriteGaugeFloat64(w, "slateridge_majority_contact_age_seconds", r.Contact.Seconds())
	metrics.WriteGaugeFloat64(w, "slateridge_electorate_margin", float64(r.Margin))
	for _, v := range r.Voters {
		gauge(fmt.Sprintf("voter{machine=%q,state=%q}", v.Addr, v.State), 1)
	}
	gauge("config_version", r.Chain.Version)
	gauge("state_committed", r.Chain.Committed.Num())
	gauge("state_held", r.Chain.Held.Num())
	gauge("view_voters", uint64(len(r.Chain.View.Voters)))
	gauge("zones_evacuated", uint64(len(r.Evacuated)))
	gauge("relay", adminhttp.BoolGauge(r.Chain.Relay))
	gauge("config_acknowledged_proxies", uint64(r.Acked))
	gauge("connected_proxies", uint64(len(r.Proxies)))
	gauge("live_proxies", uint64(r.Live))
	gauge("upstream_list_number", r.ListNum)
	gauge("upstreams_listed", uint64(r.Upstreams))
	metrics.WriteGaugeFloat64(w, "slateridge_upstream_list_age_seconds", r.ListAge.Seconds())
	for duty, holder := range r.Duties {
		gauge(fmt.Sprintf("duty_assigned{duty=%q}", duty), adminhttp.BoolGauge(holder != ""))
		gauge(fmt.Sprintf("duty_held{duty=%q}", duty), adminhttp.BoolGauge(holder == r.Chain.Me.Addr))
	}
	for _, s := range r.Scaling {
		labels := fmt.Sprintf("{service=%q,zone=%q}", s.Service, s.Zone)
		gauge("upstreams_ordered"+labels, uint64(max(0, s.Ordered)))
		gauge("upstreams_present"+labels, uint64(max(0, s.Present)))
	}
	for name, report := range r.Platform {
		labels := fmt.Sprintf("{duty=%q}", name)
		gauge("platform_duty_fence"+labels, report.Fence)
		gauge("platform_duty_decided"+labels, report.Decided)
		gauge("platform_duty_mine"+labels, adminhttp.BoolGauge(report.Mine))
		gauge("platform_duty_backlog"+labels, adminhttp.BoolGauge(report.Backlog))
		metrics.WriteGaugeFloat64(w, "slateridge_platform_duty_held_seconds"+labels, report.Held.Seconds())
		metrics.WriteCounterUint64(w, "slateridge_platform_duty_accepted_total"+labels, report.Accepted)
		metrics.WriteCounterUint64(w, "slateridge_platform_duty_refused_total"+labels, report.Refused)
		metrics.WriteCounterUint64(w, "slateridge_platform_duty_failed_total"+labels, report.Failed)
	}
	for key, rate := range r.Leased {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("slateridge_quota_leased_rate{key=%q}", key), rate)
	}
	if r.Directory != nil {
		r.Directory.writeMetrics(w)
	}
	metrics.WriteCounterUint64(w, "slateridge_pushes_total", r.Pushes)
	metrics.WriteCounterUint64(w, "slateridge_lease_messages_dropped_total", r.Dropped+r.Chain.Dropped)
	if r.accounts != nil {
		r.accounts.WriteMetrics(w)
	}
	adminhttp.WriteCommon(w, r.Members, r.Tallies)
}

// writeMetrics writes the lookup counters and the number of proxies by region, zone and
// state.
func (d *DirectoryReport) writeMetrics(w io.Writer) {
	metrics.WriteCounterUint64(w, "slateridge_directory_lookups_total", d.Asked)
	metrics.WriteCounterUint64(w, "slateridge_directory_unanswered_total", d.Empty)
	metrics.WriteCounterUint64(w, "slateridge_directory_spilled_answers_total", d.Spilled)
	type labels struct{ region, zone, state string }
	counts := map[labels]uint64{}
	for _, p := range d.Places {
		counts[labels{p.Region, p.Zone, p.State()}]++
	}
	for k, n := range counts {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("slateridge_directory_proxies{region=%q,zone=%q,state=%q}", k.region, k.zone, k.state), n)
	}
}

// LaggingProxies lists the proxies with an older configuration than the active one. Proxies
// that have been silent for constants.ProxyExpiry or longer are left out.
func (r Report) LaggingProxies() []string {
	var out []string
	for _, p := range r.Proxies {
		if p.Version < r.Chain.Version && p.Silent < constants.ProxyExpiry {
			out = append(out, p.Name)
		}
	}
	return out
}
