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

// Daemon is the proxy process: the request path, and the background tasks that keep its
// configuration, upstream list and quotas up to date.
type Daemon struct {
	*Proxy
	nodeSettings        atomic.Pointer[settings.Settings]
	settingsPath        string
	subscriber          *distribution.Subscriber
	parser              config.Parser // used only by apply, whose calls are serialized
	trackers            atomic.Pointer[[]string]
	coldBounds          atomic.Pointer[map[string]ColdBound] // by service, from the configuration in force
	ready               atomic.Bool
	frontend            *frontend
	source              *discovery.Source
	nextSelfPoll        time.Time
	hasUpstreamList     atomic.Bool
	settingsFingerprint atomic.Int64
	audit               auditLog
	members             *membership.Agent
	trackerEchoesMu     sync.Mutex
	trackerEchoes       map[string]trackerEcho    // by tracker
	trackerLatencies    map[string]*latencyWindow // by tracker; under trackerEchoesMu
	clock               *clock.Clock              // the fleet's agreed time, from control-plane updates
	usageHolder         atomic.Pointer[string]
	scalingHolder       atomic.Pointer[string]
	usageReportMu       sync.Mutex      // held while usage is being reported
	accountsAgent       *accounts.Agent // nil where tenants have no objectives
}

// NewDaemon creates a proxy process from its settings, which it reloads from path.
func NewDaemon(nodeSettings *settings.Settings, path string, events *eventlog.Log) *Daemon {
	d := &Daemon{settingsPath: path, trackerEchoes: map[string]trackerEcho{}, trackerLatencies: map[string]*latencyWindow{}, source: discovery.NewSource(nodeSettings.CloudAPI.Address)}
	d.nodeSettings.Store(nodeSettings)
	d.settingsFingerprint.Store(d.readSettingsFingerprint()) // only later changes cause a reload
	bounds := nodeSettings.Bounds
	p := &Proxy{events: events, histograms: newHistograms(), startedAt: time.Now(), limiter: admission.New(bounds.QuotaSlack, nodeSettings.TrackerShards(), rand.Uint64())}
	p.lag.startedAt = p.startedAt
	d.Proxy = p
	p.retryBudget = NewRetryBudget(0, bounds.RetryWindow.D(), bounds.RetryBudgetRatio, bounds.RetryBudgetSlack)
	p.pool = NewPool(nodeSettings.IPAddress, nodeSettings.Zone, nodeSettings.Zones, d.connCap, d.coldBound)
	p.requestTokens = d.requestTokens
	d.clock = clock.New()
	if nodeSettings.HasDuty(settings.DutyUsage) {
		p.meter, p.window = usage.NewMeter(rand.Uint64()), d.usageWindowAt
	}
	d.trackers.Store(&[]string{})
	// Each proxy tries the control-plane nodes in random order, which spreads the
	// proxies evenly over them.
	ips := nodeSettings.SeedIPs()
	rand.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
	self := distribution.Subscription{Node: nodeSettings.IPAddress, Name: nodeSettings.NodeName, Zone: nodeSettings.Zone, Region: nodeSettings.Region,
		Front: nodeSettings.ListenAddresses.Frontend}
	d.subscriber = distribution.NewSubscriber(self, ips, func(ip string, handler transport.Handler) *transport.Peer {
		return transport.NewPeer(nodeSettings.PeerInternalAddress(ip, constants.PortControl), nodeSettings.IPAddress, func(conn *transport.Conn, message any) any {
			if incompatible, ok := message.(transport.IncompatiblePeer); ok {
				d.events.Record("protocol_incompatible", incompatible.String())
				return nil
			}
			return handler(conn, message)
		})
	}, d.apply)
	d.subscriber.SetLiveCountFunc(func() int { return d.limiter.SettledProxies(d.now()) })
	if bounds.RevocationStrict {
		p.keyTrustPeriod, p.readIndexAt = bounds.Revoke.D()-constants.RevocationMargin, d.subscriber.ReadIndexAt
	}
	return d
}

// connCap returns this proxy's share of the connections allowed to each upstream of a
// service.
func (d *Daemon) connCap(service string) int {
	cfg := d.config.Load()
	if cfg == nil || cfg.Services[service] == nil || cfg.Services[service].MaxConnections == 0 {
		return constants.UpstreamConcurrency * 2
	}
	proxies := max(1, d.limiter.Proxies())
	return max(1, int(constants.MaxConnectionsFraction*float64(cfg.Services[service].MaxConnections))/proxies)
}

// coldBound returns the limit on requests to a service's cold upstreams.
func (d *Daemon) coldBound(service string) ColdBound {
	if bounds := d.coldBounds.Load(); bounds != nil {
		return (*bounds)[service]
	}
	return ColdBound{}
}

// computeColdBounds returns the limits on requests to cold upstreams, by service.
func (d *Daemon) computeColdBounds(cfg *config.Config) map[string]ColdBound {
	coldBounds := map[string]ColdBound{}
	bounds := d.nodeSettings.Load().Bounds
	for name, service := range cfg.Services {
		if service.WarmupRate > 0 {
			limit := service.WarmupRate*max(1, bounds.WarmupOverage) + bounds.WarmupSlack
			coldBounds[name] = NewColdBound(service.Warmup, service.WarmupRate, limit)
		}
	}
	return coldBounds
}

// apply puts changes received from the control plane into effect.
func (d *Daemon) apply(changes distribution.Changes) {
	now := d.now()
	if changes.Config != nil {
		cfg, err := d.parser.Parse(changes.Config.Raw)
		if err != nil {
			d.events.Record("config_unreadable", err.Error()) // unexpected: the control plane validates configurations
		} else {
			old := d.config.Load()
			if old == nil || cfg.Version > old.Version {
				d.audit.record(old, cfg)
				d.limiter.SetQuotas(now, admission.Quotas(cfg))
				bounds := d.computeColdBounds(cfg)
				d.coldBounds.Store(&bounds)
				d.config.Store(cfg)
				d.events.Record("config", "r"+strconv.FormatUint(cfg.Version, 10)+" in force")
			}
		}
	}
	if changes.List != nil {
		d.pool.Apply(time.Now(), changes.List.Instances)
		d.hasUpstreamList.Store(true)
		d.events.Count("list_applied", 1)
	}
	if changes.StateNum > 0 {
		if d.pool.SetEvacuatedZones(time.Now(), changes.Evacuated) {
			d.events.Record("evacuations", strings.Join(changes.Evacuated, " "))
		}
	}
	if changes.Proxies > 0 {
		d.limiter.SetProxies(now, changes.Proxies)
		d.retryBudget.SetProxies(changes.Proxies)
		d.pool.SetProxies(changes.Proxies)
	}
	d.clock.Observe(changes.From, changes.Wall, now)
	d.scalingHolder.Store(&changes.ScalingHolder)
	if old := d.usageHolder.Swap(&changes.UsageHolder); d.meter != nil && (old == nil || *old != changes.UsageHolder) {
		go d.reportUsage() // a new holder has no usage data yet
	}
	if changes.PendingLimits != nil {
		d.limiter.SetShadowQuotas(now, changes.PendingLimits)
	}
	if old := d.trackers.Swap(&changes.Trackers); !slices.Equal(*old, changes.Trackers) {
		go d.renewGrants() // a new tracker needs to be informed of the grants held here
	}
}

// Add adds the proxy's listeners and background tasks to the run group.
func (d *Daemon) Add(g *run.Group) error {
	nodeSettings := d.nodeSettings.Load()
	frontendListener, err := net.Listen("tcp4", nodeSettings.ListenAddresses.Frontend)
	if err != nil {
		return err
	}
	readinessListener, err := net.Listen("tcp4", nodeSettings.ListenAddresses.Readiness)
	if err != nil {
		return err
	}
	adminListener, err := net.Listen("tcp4", nodeSettings.InternalAddress(constants.PortProxyAdmin))
	if err != nil {
		return err
	}
	d.frontend = newFrontend(frontendListener, d.Proxy, func() config.Limits {
		if cfg := d.config.Load(); cfg != nil {
			return cfg.Limits
		}
		return config.Limits{}
	}, nodeSettings.Bounds.ConfigApply.D())
	g.Add(d.frontend.serve, func(error) { d.frontend.close() })
	group := rungroup.New(g)
	group.Serve(readinessListener, http.HandlerFunc(d.serveReadiness))
	group.Serve(adminListener, adminhttp.Handler(d.Report))
	group.Every(constants.SettingsPollInterval, d.reloadIfChanged)
	group.Every(constants.IdleScanInterval, func() { d.frontend.closeIdle(time.Now()) })
	return d.AddBackground(g, group)
}

// AddBackground adds the background tasks that exchange state with the control plane and
// other nodes, without the request path. Scale tests of the control plane run many such
// proxies in one process.
func (d *Daemon) AddBackground(g *run.Group, group *rungroup.Group) error {
	nodeSettings := d.nodeSettings.Load()
	var err error
	var seeds []string
	for _, ip := range nodeSettings.SeedIPs() {
		seeds = append(seeds, nodeSettings.PeerInternalAddress(ip, constants.PortControlMembership))
	}
	d.members, err = membership.Listen(nodeSettings.InternalAddress(constants.PortProxyMembership), nodeSettings.NodeName+"/proxy", seeds, func(fact membership.Fact) {
		d.events.Count("member_"+fact.State.String(), 1)
	})
	if err != nil {
		return err
	}
	g.Add(d.members.Serve, func(error) { d.members.Close() })
	go d.step()
	group.Every(constants.StepInterval, d.step)
	group.Every(constants.GrantInterval, d.renewGrants)
	if nodeSettings.HasDuty(settings.DutyScaling) {
		group.Every(constants.ScaleReportInterval, d.reportLoad)
	}
	if d.meter != nil {
		interval := usage.ReportInterval(nodeSettings.Bounds.UsageWindow.D(), nodeSettings.Bounds.UsageTolerance)
		group.EveryAfter(usage.ReportPhase(rand.Uint64(), interval), interval, d.reportUsage)
	}
	if d.accountsAgent != nil {
		group.EveryAfter(rand.N(accounts.ReportInterval), accounts.ReportInterval, d.accountsAgent.SendReports)
		group.Every(accounts.RetryInterval, d.accountsAgent.RetryReports)
	}
	group.Every(constants.IdleScanInterval, func() { d.pool.CloseExpiredIdle(time.Now()) })
	group.Every(membership.TickInterval, d.members.Tick)
	return nil
}

func (d *Daemon) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/readiness" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if d.ready.Load() && !d.shuttingDown.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ConfigVersion returns the version of the configuration in force, or 0 if there is none.
func (d *Daemon) ConfigVersion() uint64 {
	if cfg := d.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// UpstreamCount returns the number of known upstreams.
func (d *Daemon) UpstreamCount() int { return d.pool.Len() }

// SimulateRequest runs a synthetic request of a tenant through admission and metering
// without sending it to an upstream, and reports whether it was admitted.
func (d *Daemon) SimulateRequest(tenant string) bool {
	decision := d.limiter.Admit(d.now(), tenant, false)
	if decision.AskTracker {
		d.requestTokens(tenant, time.Now().Add(constants.CallTimeout))
		decision = d.limiter.Admit(d.now(), tenant, true)
	}
	if !decision.OK {
		return false
	}
	d.limiter.Settle(d.now(), tenant, 1)
	d.accounts.Begin(tenant).Success(time.Millisecond)
	if d.meter != nil {
		d.meter.Count(d.usageWindowAt(time.Now()), tenant)
	}
	return true
}

// Leave drains the proxy: the readiness check fails at once, connections are still accepted
// until the platform has had time to notice, responses ask clients to close their
// connections, and requests in flight may finish within the grace period.
func (d *Daemon) Leave() {
	began := time.Now()
	d.shuttingDown.Store(true)
	d.events.Record("leaving", "readiness fails from now on")
	d.subscriber.Resubscribe()
	nodeSettings := d.nodeSettings.Load()
	grace := nodeSettings.Bounds.Grace.D() - constants.ShutdownReserve
	d.pool.Drain(began.Add(grace))
	// Clients that use a directory may hold cached lookups that still name this proxy.
	accept := min(constants.ShutdownAcceptTime, grace/2)
	if nodeSettings.EntryMode == "directory" {
		accept = min(2*constants.LookupTTL, grace/2)
	}
	time.Sleep(accept)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace))
	defer cancel()
	d.frontend.drain(ctx)
	if d.accountsAgent != nil {
		d.accountsAgent.Shutdown(constants.CallTimeout)
	}
	d.events.Record("left", "nothing in flight")
}
