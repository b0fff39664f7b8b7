package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"slateridge/internal/accounts"
	"slateridge/internal/adminhttp"
	"slateridge/internal/admission"
	"slateridge/internal/clock"
	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/discovery"
	"slateridge/internal/distribution"
	"slateridge/internal/eventlog"
	"slateridge/internal/membership"
	"slateridge/internal/rungroup"
	"slateridge/internal/settings"
	"slateridge/internal/transport"
	"slateridge/internal/usage"
)

// Daemon is the proxy process: the request path, and what keeps it informed.
type Daemon struct {
	*Proxy
	set               atomic.Pointer[settings.Settings]
	path              string
	subscriber        *distribution.Subscriber
	reader            config.Reader // used by apply only, one call at a time
	trackers          atomic.Pointer[[]string]
	coldBounds        atomic.Pointer[map[string]ColdBound] // by service, of the configuration in force
	ready             atomic.Bool
	frontend          *frontend
	source            *discovery.Source
	selfPollAt        time.Time
	haveList          atomic.Bool
	settingsChangedAt atomic.Int64
	audit             audit
	members           *membership.Agent
	trackerEchoesMu   sync.Mutex
	trackerEchoes     map[string]trackerEcho // by tracker
	trackerAnswers    map[string]*answerTime // by tracker; under trackerEchoesMu
	clock             *clock.Clock           // agreed, as control tells
	usageHolder       atomic.Pointer[string]
	scalingHolder     atomic.Pointer[string]
	telling           sync.Mutex      // one word on usage at a time
	accountsAgent     *accounts.Agent // nil where tenants have no objectives
}

// NewDaemon builds the process's parts.
func NewDaemon(set *settings.Settings, path string, events *eventlog.Log) *Daemon {
	d := &Daemon{path: path, trackerEchoes: map[string]trackerEcho{}, trackerAnswers: map[string]*answerTime{}, source: discovery.NewSource(set.CloudAPI.Address)}
	d.set.Store(set)
	d.settingsChangedAt.Store(d.settingsModTime()) // what changes from now on is read
	b := set.Bounds
	s := &Proxy{events: events, histograms: newHistograms(), began: time.Now(), limiter: admission.New(b.QuotaSlack, set.Trackers(), rand.Uint64())}
	s.lag.began = s.began
	d.Proxy = s
	s.retryBudget = NewRetryBudget(0, b.RetryWindow.D(), b.RetryBudgetRatio, b.RetryBudgetSlack)
	s.pool = NewPool(set.IPAddress, set.Zone, set.Zones, d.connCap, d.cold)
	s.askFor = d.askTracker
	d.clock = clock.New()
	if set.HasDuty(settings.DutyUsage) {
		s.meter, s.window = usage.NewMeter(rand.Uint64()), d.windowAt
	}
	d.trackers.Store(&[]string{})
	// Each proxy tries the control machines in an order of its own, so that
	// proxies spread.
	ips := set.SeedIPs()
	rand.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
	me := distribution.Subscription{Node: set.IPAddress, Name: set.NodeName, Zone: set.Zone, Region: set.Region,
		Front: set.ListenAddresses.Frontend}
	d.subscriber = distribution.NewSubscriber(me, ips, func(ip string, h transport.Handler) *transport.Peer {
		return transport.NewPeer(set.PeerInternal(ip, constants.PortControl), set.IPAddress, func(conn *transport.Conn, body any) any {
			if other, ok := body.(transport.Incompatible); ok {
				d.events.Record("protocol_incompatible", other.String())
				return nil
			}
			return h(conn, body)
		})
	}, d.apply)
	d.subscriber.ReckonBy(func() int { return d.limiter.SettledProxies(d.now()) })
	if b.RevocationStrict {
		s.trustFor, s.readIndexAt = b.Revoke.D()-constants.RevokeReserve, d.subscriber.ReadIndexAt
	}
	return d
}

// connCap is this proxy's part of an upstream's connections.
func (d *Daemon) connCap(service string) int {
	cfg := d.config.Load()
	if cfg == nil || cfg.Services[service] == nil || cfg.Services[service].MaxConnections == 0 {
		return constants.UpstreamCap * 2
	}
	n := max(1, d.limiter.Proxies())
	return max(1, int(constants.ConnShare*float64(cfg.Services[service].MaxConnections))/n)
}

// cold is what a service's upstreams may be sent while they are cold.
func (d *Daemon) cold(service string) ColdBound {
	if bounds := d.coldBounds.Load(); bounds != nil {
		return (*bounds)[service]
	}
	return ColdBound{}
}

// coldBoundsOf reckons the bounds on cold upstreams that a configuration asks for.
func (d *Daemon) coldBoundsOf(cfg *config.Config) map[string]ColdBound {
	out := map[string]ColdBound{}
	rules := d.set.Load().Bounds
	for name, service := range cfg.Services {
		if service.WarmupPerS > 0 {
			most := service.WarmupPerS*max(1, rules.WarmupOverage) + rules.WarmupSlack
			out[name] = NewColdBound(service.Warmup, service.WarmupPerS, most)
		}
	}
	return out
}

// apply puts what control sent in force.
func (d *Daemon) apply(f distribution.Changes) {
	now := d.now()
	if f.Config != nil {
		cfg, err := d.reader.Read(f.Config.Raw)
		if err != nil {
			d.events.Record("config_unreadable", err.Error()) // control checks before; never expected
		} else {
			old := d.config.Load()
			if old == nil || cfg.Version > old.Version {
				d.audit.add(old, cfg)
				d.limiter.SetQuotas(now, admission.Quotas(cfg))
				bounds := d.coldBoundsOf(cfg)
				d.coldBounds.Store(&bounds)
				d.config.Store(cfg)
				d.events.Record("config", "r"+strconv.FormatUint(cfg.Version, 10)+" in force")
			}
		}
	}
	if f.List != nil {
		d.pool.Apply(time.Now(), f.List.Instances)
		d.haveList.Store(true)
		d.events.Count("list_applied", 1)
	}
	if f.State > 0 {
		if d.pool.Evacuate(time.Now(), f.Evacuated) {
			d.events.Record("evacuations", strings.Join(f.Evacuated, " "))
		}
	}
	if f.Proxies > 0 {
		d.limiter.SetProxies(now, f.Proxies)
		d.retryBudget.SetProxies(f.Proxies)
		d.pool.SetProxies(f.Proxies)
	}
	d.clock.Observe(f.From, f.Wall, now)
	d.scalingHolder.Store(&f.Scaler)
	if old := d.usageHolder.Swap(&f.Metered); d.meter != nil && (old == nil || *old != f.Metered) {
		go d.tellUsage() // a successor gathers anew
	}
	if f.Coming != nil {
		d.limiter.SetShadowQuotas(now, f.Coming)
	}
	if old := d.trackers.Swap(&f.Trackers); !slices.Equal(*old, f.Trackers) {
		go d.renewGrants() // a new one should know soon what is held here
	}
}

// Add puts the process's actors into its group.
func (d *Daemon) Add(g *run.Group) error {
	set := d.set.Load()
	front, err := net.Listen("tcp4", set.ListenAddresses.Frontend)
	if err != nil {
		return err
	}
	rl, err := net.Listen("tcp4", set.ListenAddresses.Readiness)
	if err != nil {
		return err
	}
	adm, err := net.Listen("tcp4", set.Internal(constants.PortProxyAdmin))
	if err != nil {
		return err
	}
	d.frontend = newFrontend(front, d.Proxy, func() config.Limits {
		if s := d.config.Load(); s != nil {
			return s.Limits
		}
		return config.Limits{}
	}, set.Bounds.ConfigApply.D())
	g.Add(d.frontend.serve, func(error) { d.frontend.close() })
	group := rungroup.New(g)
	group.Serve(rl, http.HandlerFunc(d.readiness))
	group.Serve(adm, adminhttp.Handler(d.Report))
	group.Every(constants.SettingsEvery, d.lookAtSettings)
	group.Every(constants.RetireEvery, func() { d.frontend.closeIdle(time.Now()) })
	return d.AddHollow(g, group)
}

// AddHollow puts in what keeps a proxy informed and is said to others, without the
// path of requests: many such proxies can share one process, to try control's size.
func (d *Daemon) AddHollow(g *run.Group, group *rungroup.Group) error {
	set := d.set.Load()
	var err error
	var seeds []string
	for _, ip := range set.SeedIPs() {
		seeds = append(seeds, set.PeerInternal(ip, constants.PortControlMembership))
	}
	d.members, err = membership.Listen(set.Internal(constants.PortProxyMembership), set.NodeName+"/proxy", seeds, func(f membership.Fact) {
		d.events.Count("member_"+f.State.String(), 1)
	})
	if err != nil {
		return err
	}
	g.Add(d.members.Serve, func(error) { d.members.Close() })
	go d.step()
	group.Every(constants.StepEvery, d.step)
	group.Every(constants.GrantEvery, d.renewGrants)
	if set.HasDuty(settings.DutyScaling) {
		group.Every(constants.ScaleEvery, d.tellLoad)
	}
	if d.meter != nil {
		every := usage.ReportEvery(set.Bounds.UsageWindow.D(), set.Bounds.UsageTolerance)
		group.EveryAfter(usage.Phase(rand.Uint64(), every), every, d.tellUsage)
	}
	if d.accountsAgent != nil {
		group.EveryAfter(rand.N(accounts.TellEvery), accounts.TellEvery, d.accountsAgent.Tell)
		group.Every(accounts.RetryEvery, d.accountsAgent.Retry)
	}
	group.Every(constants.RetireEvery, func() { d.pool.Retire(time.Now()) })
	group.Every(membership.TickEvery, d.members.Tick)
	return nil
}

func (d *Daemon) readiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/readiness" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if d.ready.Load() && !d.leaving.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Version is the configuration in force here, and Upstreams how many are known.
func (d *Daemon) Version() uint64 {
	if s := d.config.Load(); s != nil {
		return s.Version
	}
	return 0
}

// Upstreams is how many are known here.
func (d *Daemon) Upstreams() int { return d.pool.Len() }

// Rehearse takes one made-up request through admission and metering as the path of
// requests does, and sends it nowhere; false when it was refused.
func (d *Daemon) Rehearse(tenant string) bool {
	v := d.limiter.Admit(d.now(), tenant, false)
	if v.AskTracker {
		d.askTracker(tenant, time.Now().Add(constants.CallTimeout))
		v = d.limiter.Admit(d.now(), tenant, true)
	}
	if !v.OK {
		return false
	}
	d.limiter.Settle(d.now(), tenant, 1)
	d.accounts.Begin(tenant).Success(time.Millisecond)
	if d.meter != nil {
		d.meter.Count(d.windowAt(time.Now()), tenant)
	}
	return true
}

// Leave answers the last requests: readiness fails at once, connections are
// still accepted until the platform has noticed, answers ask clients to close,
// and what is in flight finishes within grace.
func (d *Daemon) Leave() {
	began := time.Now()
	d.leaving.Store(true)
	d.events.Record("leaving", "readiness fails from now on")
	d.subscriber.Announce()
	set := d.set.Load()
	grace := set.Bounds.Grace.D() - constants.TermReserve
	d.pool.Leave(began.Add(grace))
	// Where clients ask a directory, old answers name this proxy for some time.
	accept := min(constants.TermAccept, grace/2)
	if set.EntryMode == "directory" {
		accept = min(2*constants.LookupTTL, grace/2)
	}
	time.Sleep(accept)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace))
	defer cancel()
	d.frontend.drain(ctx)
	if d.accountsAgent != nil {
		d.accountsAgent.Leave(constants.CallTimeout)
	}
	d.events.Record("left", "nothing in flight")
}
