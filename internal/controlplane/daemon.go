// Package controlplane implements the control process: the operators' API, the duties that
// one machine at a time performs, and the updates to the proxies. Its subpackage chain
// replicates the state and decides which one is committed.
package controlplane

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/oklog/run"

	"slateridge/internal/accounts"
	"slateridge/internal/admission"
	"slateridge/internal/autoscale"
	"slateridge/internal/clock"
	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/controlplane/chain"
	"slateridge/internal/directory"
	"slateridge/internal/discovery"
	"slateridge/internal/distribution"
	"slateridge/internal/eventlog"
	"slateridge/internal/lease"
	"slateridge/internal/membership"
	"slateridge/internal/rungroup"
	"slateridge/internal/settings"
	"slateridge/internal/storage"
	"slateridge/internal/transport"
	"slateridge/internal/usage"
)

// Daemon is the control process. It creates the components, connects them, and dispatches
// messages to them. Each component has its own locks, which its type documents.
type Daemon struct {
	settings  *settings.Settings
	events    *eventlog.Log
	startedAt time.Time

	connections    *connections
	replica        *replica
	activeState    *activeState
	pendingCalls   *pendingCalls
	leases         *leases
	upstreamList   *upstreamList
	roster         *roster
	locations      *locations
	proxyPublisher *proxyPublisher
	quotaTracker   *admission.Tracker
	proxyDirectory *directory.Directory
	members        *membership.Agent

	clock          *clock.Clock  // synchronized among the control machines
	dutyRunners    []*dutyRunner // duties performed at the platform
	usageTally     *usage.Tally
	usagePersister *usage.Persister // used by saveUsage only

	loadAggregator *autoscale.LoadAggregator
	scaler         *autoscale.Controller
	subjectSlotsMu sync.Mutex
	subjectSlots   map[autoscale.Subject]int // slots per upstream, for every subject seen in the list; guarded by subjectSlotsMu

	accounts *accounts.Service // nil if no tenant has objectives
}

// NewDaemon opens the store and creates the components.
func NewDaemon(nodeSettings *settings.Settings, events *eventlog.Log) (*Daemon, error) {
	d := &Daemon{
		settings:       nodeSettings,
		events:         events,
		startedAt:      time.Now(),
		clock:          clock.New(),
		usageTally:     usage.NewTally(rand.Uint64()),
		loadAggregator: autoscale.NewLoadAggregator(),
		scaler:         autoscale.NewController(),
		subjectSlots:   map[autoscale.Subject]int{},
		locations:      newLocations(),
		proxyDirectory: directory.New(0, nodeSettings.Zones),
	}
	d.connections = newConnections(nodeSettings, d.onMessage)
	d.quotaTracker = admission.NewTracker(rand.Uint64(), nodeSettings.TrackerShards(), d.shareTooSmall)
	d.activeState = &activeState{
		events:    events,
		publish:   d.publish,
		setQuotas: func(quotas map[string]admission.Quota) { d.quotaTracker.SetQuotas(d.now(), quotas) },
	}
	store, isNew, err := d.openStore()
	if err != nil {
		return nil, err
	}
	d.usagePersister = usage.NewPersister(d.usageTally, store.Get)
	nameHash := fnv.New64a()
	nameHash.Write([]byte(nodeSettings.NodeName))
	rng := rand.New(rand.NewPCG(nameHash.Sum64(), uint64(time.Now().UnixNano())))
	if err := d.buildReplica(store, isNew, rng); err != nil {
		return nil, err
	}
	d.pendingCalls = newPendingCalls(rng.Uint64())
	d.buildRoster(store)
	d.upstreamList = &upstreamList{
		source:    discovery.NewSource(nodeSettings.CloudAPI.Address),
		events:    events,
		now:       d.now,
		holdsPoll: func() (time.Duration, bool) { return d.leases.holds(d.now(), dutyPoll) },
		broadcast: func(m any) { d.connections.sendAll(d.replica.peers(), m) },
		publish:   d.publish,
	}
	accountDuties, err := d.openAccounts()
	if err != nil {
		return nil, err
	}
	duties := append(d.buildDuties(), accountDuties...)
	d.leases = newLeases(lease.New(0, rng.Uint64(), nodeSettings.IPAddress, duties), d.now, d.connections.send, events)
	d.replica.leases = d.leases
	d.buildProxyPublisher()
	d.replica.publish()
	return d, nil
}

// openStore opens the store and reports whether it was empty. The store of a relay is not on
// disk.
func (d *Daemon) openStore() (store *storage.Store, isNew bool, err error) {
	if d.settings.DataDirectory == "" || !d.settings.QuorumMember {
		d.events.Record("relay", "no disk of its own that counts: callers are sent on, nothing is decided here")
		return storage.NewInMemory(), false, nil
	}
	if store, isNew, err = storage.Open(d.settings.DataDirectory); err != nil {
		return nil, false, fmt.Errorf("open store in %s: %w", d.settings.DataDirectory, err)
	}
	return store, isNew, nil
}

// buildReplica creates the chain state machine from the store, and the replica that runs it.
func (d *Daemon) buildReplica(store *storage.Store, isNew bool, rng *rand.Rand) error {
	nodeSettings := d.settings
	seeds := nodeSettings.SeedIPs()
	// The seeds form the first view; later views add the other machines.
	founding := nodeSettings.Bootstrap && isNew && slices.Contains(seeds, nodeSettings.IPAddress)
	chainMachine, err := chain.New(0, nodeSettings.IPAddress, seeds, founding, store, rng)
	if err != nil {
		return err
	}
	chainMachine.Relay = nodeSettings.DataDirectory == "" || !nodeSettings.QuorumMember
	chainMachine.Original = nodeSettings.Bootstrap && isNew && !founding && !chainMachine.Relay
	chainMachine.MaxMachineFailures = nodeSettings.FaultTolerance.MachineFailures
	chainMachine.MaxZoneFailures, chainMachine.MaxRegionFailures = nodeSettings.FaultTolerance.Zones, nodeSettings.FaultTolerance.RegionFailures
	chainMachine.Zone, chainMachine.Region = nodeSettings.Zone, nodeSettings.Region
	chainMachine.WallClock = d.wall
	d.replica = &replica{
		address:    nodeSettings.IPAddress,
		seeds:      seeds,
		relay:      chainMachine.Relay,
		now:        d.now,
		events:     d.events,
		chain:      chainMachine,
		store:      store,
		send:       d.connections.send,
		onCommit:   d.applyCommitted,
		onReadDone: func(id uint64, doc *config.Doc) { d.pendingCalls.finishRead(id, doc) },
	}
	return nil
}

// buildRoster creates the roster and restores the proxies saved in the store.
func (d *Daemon) buildRoster(store *storage.Store) {
	d.roster = &roster{
		settings:  d.settings,
		events:    d.events,
		startedAt: d.startedAt,
		now:       d.now,
		entries:   map[string]*proxyEntry{},
		locations: d.locations,
		members:   func() []membership.Fact { return d.members.Members() },
		peers:     d.replica.peers,
		send:      d.connections.send,
		publish:   d.publish,
		put:       d.replica.put,
	}
	if d.settings.ListenAddresses.Directory != "" {
		d.roster.directory = d.proxyDirectory
	}
	var known []string
	if store.Get(rosterKey, &known) {
		d.roster.restore(known)
	}
}

// buildDuties creates the runners of the platform duties and returns the names of all duties
// except those of the accounts.
func (d *Daemon) buildDuties() []string {
	duties := []string{dutyPoll}
	for shard := range d.settings.TrackerShards() {
		duties = append(duties, dutyTrack(shard))
	}
	if d.settings.HasDuty(settings.DutyUsage) {
		duties = append(duties, settings.DutyUsage)
		d.dutyRunners = append(d.dutyRunners, d.newDutyRunner(settings.DutyUsage, "/usage-reports", d.planUsage))
	}
	if d.settings.HasDuty(settings.DutyScaling) {
		duties = append(duties, settings.DutyScaling)
		runner := d.newDutyRunner(settings.DutyScaling, "/scaling", d.planScaling)
		runner.split, runner.holder.LatestOnly = autoscale.SplitOrders, true
		d.dutyRunners = append(d.dutyRunners, runner)
	}
	return duties
}

// buildProxyPublisher creates the publisher of updates to the proxies.
func (d *Daemon) buildProxyPublisher() {
	d.proxyPublisher = &proxyPublisher{
		settings:     d.settings,
		now:          d.now,
		clock:        d.clock,
		activeState:  d.activeState,
		replica:      d.replica,
		leases:       d.leases,
		upstreamList: d.upstreamList,
		roster:       d.roster,
		locations:    d.locations,
	}
	d.proxyPublisher.publisher = distribution.NewPublisher(d.proxyPublisher.snapshot, d.roster.hasShare)
	d.proxyPublisher.publisher.OnDisconnect = d.roster.handleDisconnect
}

// now returns the monotonic time since this process started.
func (d *Daemon) now() time.Duration { return time.Since(d.startedAt) }

// wall returns the time of day to send to other machines, in Unix nanoseconds: the
// synchronized clock if available, the local clock otherwise.
func (d *Daemon) wall() int64 {
	if at, ok := d.clock.Now(d.now()); ok {
		return at.UnixNano()
	}
	return time.Now().UnixNano()
}

func (d *Daemon) publish() { d.proxyPublisher.publish() }

// shareTooSmall reports whether a proxy's split share of a quota is too small to serve requests.
func (d *Daemon) shareTooSmall(proxies int, quota admission.Quota) bool {
	return admission.ShareTooSmall(max(proxies, d.roster.size()), d.settings.Bounds.QuotaSlack, quota)
}

// applyCommitted activates a committed state and completes the calls that wait for it.
func (d *Daemon) applyCommitted(doc config.Doc) {
	if d.activeState.apply(doc) {
		d.pendingCalls.resolve(doc)
	}
}

// Add opens the listeners and adds the daemon's servers and loops to the run group.
func (d *Daemon) Add(g *run.Group) error {
	internal, err := transport.Listen(d.settings.InternalAddress(constants.PortControl))
	if err != nil {
		return err
	}
	operator, err := net.Listen("tcp4", d.settings.ListenAddresses.ControlPlane)
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp4", d.settings.InternalAddress(constants.PortControlAdmin))
	if err != nil {
		return err
	}
	g.Add(func() error { return transport.Serve(internal, d.onMessage) }, func(error) { internal.Close() })
	if err := d.startMembership(); err != nil {
		return err
	}
	g.Add(d.members.Serve, func(error) { d.members.Close() })
	group := rungroup.New(g)
	group.Serve(operator, d.operatorAPI())
	group.Serve(admin, d.adminAPI())
	if a := d.settings.ListenAddresses.Directory; a != "" {
		lookups, err := net.Listen("tcp4", a)
		if err != nil {
			return err
		}
		group.Serve(lookups, d.directoryAPI())
	}
	d.addLoops(group)
	return nil
}

// startMembership starts the membership agent of the control machines.
func (d *Daemon) startMembership() (err error) {
	var seeds []string
	for _, seed := range d.replica.seeds {
		seeds = append(seeds, d.settings.PeerInternalAddress(seed, constants.PortControlMembership))
	}
	address := d.settings.InternalAddress(constants.PortControlMembership)
	d.members, err = membership.Listen(address, d.settings.NodeName+"/control", seeds, func(f membership.Fact) {
		d.events.Record("member", f.Name+" "+f.State.String())
	})
	return err
}

// addLoops adds the periodic tasks. A relay only runs the membership agent and its chain.
func (d *Daemon) addLoops(group *rungroup.Group) {
	group.Every(membership.TickInterval, d.members.Tick)
	if d.replica.relay {
		group.Every(constants.RelayHeartbeatInterval, d.replica.tick)
		return
	}
	group.Every(constants.ChainTick, d.replica.tickAndReport)
	group.Every(constants.LeaseTick, func() {
		d.leases.tick()
		d.publish()
	})
	if d.accounts != nil {
		group.Every(accounts.TickInterval, d.accounts.Step)
	}
	if len(d.dutyRunners) > 0 {
		group.Every(constants.DutyTick, d.stepDuties)
		if d.settings.HasDuty(settings.DutyUsage) {
			group.Every(constants.UsageSaveInterval, d.saveUsage)
		}
	}
	position := max(0, slices.Index(d.replica.controlAddresses(), d.settings.IPAddress))
	d.upstreamList.delayBootRead(time.Duration(position) * constants.BootReadStagger)
	go d.upstreamList.readAtBoot(group.Context())
	pollEvery := time.Duration(constants.PollDrainFraction * float64(d.settings.Bounds.Drain.D()))
	group.Every(pollEvery, func() { d.upstreamList.poll(group.Context()) })
	group.Every(constants.RosterInterval, d.roster.broadcast)
}

// Leave releases all duties before a planned stop and waits for a view without this machine.
// The other machines then need not detect a failure first, and the state that this machine
// holds stays on the same number of disks.
func (d *Daemon) Leave() {
	d.leases.release()
	if !d.replica.relay {
		d.replica.leave()
	}
}

// onMessage dispatches a message from another process and returns the reply, or nil.
func (d *Daemon) onMessage(conn *transport.Conn, body any) any {
	if d.accounts != nil {
		if reply, handled := d.accounts.HandleMessage(conn.Remote, body); handled {
			return reply
		}
	}
	switch m := body.(type) {
	case transport.IncompatiblePeer:
		d.events.Record("protocol_incompatible", m.String())
	case distribution.Subscription:
		return d.handleSubscription(conn, m)
	case admission.GrantRequest:
		now := d.now()
		return d.quotaTracker.HandleRequest(now, m, func(shard int) (time.Duration, bool) {
			return d.leases.holds(now, dutyTrack(shard))
		})
	case lease.Request, lease.Grant, lease.Release:
		d.leases.receive(conn.Remote, m)
	case usage.Handover:
		d.handleUsageHandover(m)
	case usage.Report:
		return d.handleUsageReport(m)
	case autoscale.Report:
		return d.handleLoadReport(m)
	case RosterUpdate:
		d.roster.merge(m)
	case ListUpdate:
		if !d.upstreamList.applyUpdate(m) {
			d.connections.send(conn.Remote, ListRequest{})
		}
	case ListRequest:
		if update, ok := d.upstreamList.fullUpdate(); ok {
			d.connections.send(conn.Remote, update)
		}
	case chain.Heartbeat:
		d.locations.observe(conn.Remote, m.Zone, m.Region)
		if !m.Relay {
			d.clock.Observe(conn.Remote, m.Wall, d.now())
		}
		d.replica.receive(conn.Remote, m)
	default:
		d.replica.receive(conn.Remote, body)
	}
	return nil
}

// handleSubscription processes a proxy's subscription and returns the changes since its last
// update. A relay returns only the addresses of the control machines.
func (d *Daemon) handleSubscription(conn *transport.Conn, m distribution.Subscription) distribution.Update {
	if d.replica.relay {
		return distribution.Update{Zone: d.settings.Zone, Peers: d.proxyPublisher.controlPeers()}
	}
	d.roster.handleSubscription(m)
	d.upstreamList.observeNumber(m.ListNum)
	return d.proxyPublisher.publisher.HandleSubscription(conn, m)
}

// Reload returns a function that validates the settings file again and records the result. A
// running control machine does not apply changed settings.
func (d *Daemon) Reload(path string) func() {
	return func() {
		if _, err := settings.Load(path, "controlPlane"); err != nil {
			d.events.Record("settings_refused", err.Error())
			return
		}
		d.events.Record("settings", "read again")
	}
}
