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

// Report is what `slateridge status` shows of a control machine.
type Report struct {
	Role      string
	Node      string
	Chain     chain.Heartbeat
	Current   bool
	Contact   time.Duration // since it was last in contact with a majority both ways; negative: never
	Voters    []chain.Voter
	Margin    int // voters beyond a majority that are left if as many were lost as may be
	Duties    map[string]string
	Platform  map[string]DutyReport // duties at the platform, with their fences
	Scaling   []ScalingReport
	ListNum   uint64
	ListAge   time.Duration
	Upstreams int
	Evacuated []string
	Zone      string
	Region    string
	Directory *Directory // where this machine serves it
	Live      int
	Proxies   []distribution.ProxyState
	Acked     int
	Pushes    uint64
	Dropped   uint64 // words on leases and duties from who has no vote, or of an older view
	Leased    map[string]float64
	Members   []membership.Fact
	Events    []eventlog.Event
	Tallies   []eventlog.Tally

	accounts *accounts.Service // for metrics; nil where tenants have no objectives
}

// adminAPI is the admin interface of a control machine: the report, and the operator's
// word on voters that are gone for good.
func (d *Daemon) adminAPI() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", adminhttp.Handler(d.Report))
	m.HandleFunc("POST /retire", d.retire)
	if d.accounts != nil {
		m.Handle("GET /accounts", d.accounts)
	}
	return m
}

// retire tries for a view whose electorate does without a machine. It is decided as any
// view is; the answer says whether it was, or why it cannot be.
func (d *Daemon) retire(w http.ResponseWriter, r *http.Request) {
	addr := r.URL.Query().Get("machine")
	var refused string
	d.replica.step(func() (out []chain.Effect) {
		out, refused = d.replica.machine.Retire(d.now(), addr)
		return out
	})
	if refused != "" {
		d.events.Record("retire_refused", addr+": "+refused)
		fail(w, http.StatusConflict, errorBody(refused))
		return
	}
	for end := d.now() + constants.RetireRequestLife/2; d.now() < end; time.Sleep(constants.ChainTick) {
		if !slices.Contains(d.replica.standing.Load().voters, addr) {
			d.events.Record("retired", addr)
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(map[string]any{"retired": addr, "voters": d.replica.standing.Load().voters})
			return
		}
	}
	unavailable(w, "no view without "+addr+" was agreed in time; it may still come")
}

// Directory is what the directory knows and has answered.
type Directory struct {
	Places                []directory.LocationState
	Asked, Empty, Spilled uint64
}

// Report describes this machine for operators.
func (d *Daemon) Report() Report {
	f := d.pushes.snapshot()
	r := Report{accounts: d.accounts, Role: "control", Node: d.settings.NodeName, Chain: d.replica.status(), Current: f.Current,
		ListNum: f.ListNum, ListAge: f.ListAge, Live: f.Proxies, Proxies: d.pushes.publisher.Proxies(), Leased: d.quotaTracker.LeasedRates(d.now()),
		Members: d.members.Members(), Evacuated: f.Evacuated, Events: d.events.Latest(20), Tallies: d.events.Tallies()}
	r.Contact = d.replica.contactAge()
	r.Voters, r.Margin = d.replica.electorate()
	r.Platform, r.Scaling = d.dutyReports(), d.scalingReports()
	r.Zone, r.Region = d.settings.Zone, d.settings.Region
	if d.settings.ListenAddresses.Directory != "" {
		r.Directory = &Directory{Places: d.proxyDirectory.States(d.now())}
		r.Directory.Asked, r.Directory.Empty, r.Directory.Spilled = d.proxyDirectory.Counts()
	}
	if f.Upstreams != nil {
		r.Upstreams = len(f.Upstreams.Instances)
	}
	for _, p := range r.Proxies {
		if p.Version >= f.Version {
			r.Acked++
		}
	}
	r.Pushes = d.pushes.publisher.Pushed()
	r.Duties, r.Dropped = d.leases.holders()
	return r
}

// WriteMetrics gives the report in the text format that scrapers read.
func (r Report) WriteMetrics(w io.Writer) {
	g := func(name string, v uint64) { metrics.WriteGaugeUint64(w, "slateridge_"+name, v) }
	g("view_number", r.Chain.View.Num)
	g("view_members", uint64(len(r.Chain.View.Members)))
	g("view_member", adminhttp.Flag(r.Chain.View.Has(r.Chain.Me)))
	g("view_sealed", adminhttp.Flag(r.Chain.Sealed))
	g("disk_failed", adminhttp.Flag(r.Chain.Sick))
	g("majority_heard", adminhttp.Flag(r.Current))
	metrics.WriteGaugeFloat64(w, "slateridge_majority_contact_age_seconds", r.Contact.Seconds())
	metrics.WriteGaugeFloat64(w, "slateridge_electorate_margin", float64(r.Margin))
	for _, v := range r.Voters {
		g(fmt.Sprintf("voter{machine=%q,state=%q}", v.Addr, v.State), 1)
	}
	g("config_version", r.Chain.Version)
	g("state_committed", r.Chain.Committed.Num())
	g("state_held", r.Chain.Held.Num())
	g("view_voters", uint64(len(r.Chain.View.Voters)))
	g("zones_evacuated", uint64(len(r.Evacuated)))
	g("relay", adminhttp.Flag(r.Chain.Relay))
	g("config_acknowledged_proxies", uint64(r.Acked))
	g("connected_proxies", uint64(len(r.Proxies)))
	g("live_proxies", uint64(r.Live))
	g("upstream_list_number", r.ListNum)
	g("upstreams_listed", uint64(r.Upstreams))
	metrics.WriteGaugeFloat64(w, "slateridge_upstream_list_age_seconds", r.ListAge.Seconds())
	for duty, who := range r.Duties {
		g(fmt.Sprintf("duty_assigned{duty=%q}", duty), adminhttp.Flag(who != ""))
		g(fmt.Sprintf("duty_held{duty=%q}", duty), adminhttp.Flag(who == r.Chain.Me.Addr))
	}
	for _, s := range r.Scaling {
		l := fmt.Sprintf("{service=%q,zone=%q}", s.Service, s.Zone)
		g("upstreams_ordered"+l, uint64(max(0, s.Ordered)))
		g("upstreams_present"+l, uint64(max(0, s.Present)))
	}
	for name, p := range r.Platform {
		l := fmt.Sprintf("{duty=%q}", name)
		g("platform_duty_fence"+l, p.Fence)
		g("platform_duty_decided"+l, p.Decided)
		g("platform_duty_mine"+l, adminhttp.Flag(p.Mine))
		g("platform_duty_backlog"+l, adminhttp.Flag(p.Backlog))
		metrics.WriteGaugeFloat64(w, "slateridge_platform_duty_held_seconds"+l, p.Held.Seconds())
		metrics.WriteCounterUint64(w, "slateridge_platform_duty_accepted_total"+l, p.Accepted)
		metrics.WriteCounterUint64(w, "slateridge_platform_duty_refused_total"+l, p.Refused)
		metrics.WriteCounterUint64(w, "slateridge_platform_duty_failed_total"+l, p.Failed)
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

// writeMetrics gives what the directory knows and has answered.
func (d *Directory) writeMetrics(w io.Writer) {
	metrics.WriteCounterUint64(w, "slateridge_directory_lookups_total", d.Asked)
	metrics.WriteCounterUint64(w, "slateridge_directory_unanswered_total", d.Empty)
	metrics.WriteCounterUint64(w, "slateridge_directory_spilled_answers_total", d.Spilled)
	type group struct{ region, zone, state string }
	counts := map[group]uint64{}
	for _, p := range d.Places {
		counts[group{p.Region, p.Zone, p.State()}]++
	}
	for k, n := range counts {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("slateridge_directory_proxies{region=%q,zone=%q,state=%q}", k.region, k.zone, k.state), n)
	}
}

// Late lists the proxies that do not hold what is in force.
func (r Report) Late() []string {
	var out []string
	for _, p := range r.Proxies {
		if p.Version < r.Chain.Version && p.Silent < constants.ProxyForget {
			out = append(out, p.Name)
		}
	}
	return out
}
