// Package controlplane is the control process: the operators' API, the duties, and what the
// proxies are told. Package chain, below it, decides what is in force.
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

// Daemon is the control process. It builds the parts, connects them, and hands each message
// to the part it concerns; each part owns its locks, as its type says.
type Daemon struct {
	settings *settings.Settings
	events   *eventlog.Log
	began    time.Time

	connections    *connections
	replica        *replica
	inForce        *inForce
	waits          *waits
	leases         *leases
	list           *upstreamList
	roster         *roster
	locations      *locations
	pushes         *pushes
	quotaTracker   *admission.Tracker
	proxyDirectory *directory.Directory
	members        *membership.Agent

	clock       *clock.Clock  // agreed among the control machines
	dutyRunners []*dutyRunner // duties at the platform
	tally       *usage.Tally
	keeper      *usage.Keeper // used by keepUsage only

	load      *autoscale.LoadSum
	scaler    *autoscale.Controller
	zonesOfMu sync.Mutex
	zonesOf   map[autoscale.Subject]int // slots of an upstream, where any was seen; under zonesOfMu

	accounts *accounts.Service // nil where tenants have no objectives
}

// NewDaemon opens the store and builds the machines.
func NewDaemon(set *settings.Settings, events *eventlog.Log) (*Daemon, error) {
	d := &Daemon{
		settings:       set,
		events:         events,
		began:          time.Now(),
		clock:          clock.New(),
		tally:          usage.NewTally(rand.Uint64()),
		load:           autoscale.NewLoadSum(),
		scaler:         autoscale.NewController(),
		zonesOf:        map[autoscale.Subject]int{},
		locations:      newLocations(),
		proxyDirectory: directory.New(0, set.Zones),
	}
	d.connections = newConnections(set, d.onMessage)
	d.quotaTracker = admission.NewTracker(rand.Uint64(), set.Trackers(), d.quotaIsTiny)
	d.inForce = &inForce{
		events:  events,
		publish: d.publish,
		quotas:  func(quotas map[string]admission.Quota) { d.quotaTracker.SetQuotas(d.now(), quotas) },
	}
	store, fresh, err := d.openStore()
	if err != nil {
		return nil, err
	}
	d.keeper = usage.NewKeeper(d.tally, store.Get)
	name := fnv.New64a()
	name.Write([]byte(set.NodeName))
	rng := rand.New(rand.NewPCG(name.Sum64(), uint64(time.Now().UnixNano())))
	if err := d.buildReplica(store, fresh, rng); err != nil {
		return nil, err
	}
	d.waits = newWaits(rng.Uint64())
	d.buildRoster(store)
	d.list = &upstreamList{
		source:    discovery.NewSource(set.CloudAPI.Address),
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
	d.leases = newLeases(lease.New(0, rng.Uint64(), set.IPAddress, duties), d.now, d.connections.send, events)
	d.replica.leases = d.leases
	d.buildPushes()
	d.replica.publish()
	return d, nil
}

// openStore opens the store; fresh says that it was empty. A relay has none on disk.
func (d *Daemon) openStore() (store *storage.Store, fresh bool, err error) {
	if d.settings.DataDirectory == "" || !d.settings.QuorumMember {
		d.events.Record("relay", "no disk of its own that counts: callers are sent on, nothing is decided here")
		return storage.Volatile(), false, nil
	}
	if store, fresh, err = storage.Open(d.settings.DataDirectory); err != nil {
		return nil, false, fmt.Errorf("store in %s: %w", d.settings.DataDirectory, err)
	}
	return store, fresh, nil
}

// buildReplica makes the chain machine from its store, and what drives it.
func (d *Daemon) buildReplica(store *storage.Store, fresh bool, rng *rand.Rand) error {
	set := d.settings
	seeds := set.SeedIPs()
	// The seeds found the first view; the other machines are taken in by views.
	founding := set.Bootstrap && fresh && slices.Contains(seeds, set.IPAddress)
	machine, err := chain.New(0, set.IPAddress, seeds, founding, store, rng)
	if err != nil {
		return err
	}
	machine.Relay = set.DataDirectory == "" || !set.QuorumMember
	machine.Original = set.Bootstrap && fresh && !founding && !machine.Relay
	machine.Tolerate = set.FaultTolerance.MachineFailures
	machine.Zones, machine.Regions = set.FaultTolerance.Zones, set.FaultTolerance.RegionFailures
	machine.Zone, machine.Region = set.Zone, set.Region
	machine.Wall = d.wall
	d.replica = &replica{
		address: set.IPAddress,
		seeds:   seeds,
		relay:   machine.Relay,
		now:     d.now,
		events:  d.events,
		machine: machine,
		store:   store,
		send:    d.connections.send,
		commit:  d.committed,
		read:    func(id uint64, doc *config.Doc) { d.waits.readDone(id, doc) },
	}
	return nil
}

// buildRoster makes the roster, with the proxies that the store knows.
func (d *Daemon) buildRoster(store *storage.Store) {
	d.roster = &roster{
		settings:  d.settings,
		events:    d.events,
		began:     d.began,
		now:       d.now,
		entries:   map[string]*proxyEntry{},
		locations: d.locations,
		members:   func() []membership.Fact { return d.members.Members() },
		peers:     d.replica.peers,
		send:      d.connections.send,
		publish:   d.publish,
		keep:      d.replica.keep,
	}
	if d.settings.ListenAddresses.Directory != "" {
		d.roster.directory = d.proxyDirectory
	}
	var known []string
	if store.Get(rosterKey, &known) {
		d.roster.restore(known)
	}
}

// buildDuties makes the runners of the duties at the platform, and lists all duties.
func (d *Daemon) buildDuties() []string {
	duties := []string{dutyPoll}
	for shard := range d.settings.Trackers() {
		duties = append(duties, dutyTrack(shard))
	}
	if d.settings.HasDuty(settings.DutyUsage) {
		duties = append(duties, settings.DutyUsage)
		d.dutyRunners = append(d.dutyRunners, d.newDutyRunner(settings.DutyUsage, "/usage-reports", d.planUsage))
	}
	if d.settings.HasDuty(settings.DutyScaling) {
		duties = append(duties, settings.DutyScaling)
		runner := d.newDutyRunner(settings.DutyScaling, "/scaling", d.planScaling)
		runner.split, runner.holder.LatestOnly = autoscale.Split, true
		d.dutyRunners = append(d.dutyRunners, runner)
	}
	return duties
}

// buildPushes makes what tells the proxies.
func (d *Daemon) buildPushes() {
	d.pushes = &pushes{
		settings:  d.settings,
		now:       d.now,
		clock:     d.clock,
		inForce:   d.inForce,
		replica:   d.replica,
		leases:    d.leases,
		list:      d.list,
		roster:    d.roster,
		locations: d.locations,
	}
	d.pushes.publisher = distribution.New(d.pushes.snapshot, d.roster.sharing)
	d.pushes.publisher.OnClosed = d.roster.disconnected
}

// now is the steady time since this process began.
func (d *Daemon) now() time.Duration { return time.Since(d.began) }

// wall is the time of day to tell the others, in nanoseconds: the agreed one where there is
// one.
func (d *Daemon) wall() int64 {
	if at, ok := d.clock.Now(d.now()); ok {
		return at.UnixNano()
	}
	return time.Now().UnixNano()
}

func (d *Daemon) publish() { d.pushes.publish() }

// quotaIsTiny says whether a quota is too small to be split among the proxies.
func (d *Daemon) quotaIsTiny(proxies int, quota admission.Quota) bool {
	return admission.Tiny(max(proxies, d.roster.size()), d.settings.Bounds.QuotaSlack, quota)
}

// committed puts a state in force here, and answers the calls that wait for it.
func (d *Daemon) committed(doc config.Doc) {
	if d.inForce.commit(doc) {
		d.waits.committed(doc)
	}
}

// Add puts the daemon's actors into the process's group.
func (d *Daemon) Add(g *run.Group) error {
	l, err := transport.Listen(d.settings.Internal(constants.PortControl))
	if err != nil {
		return err
	}
	operator, err := net.Listen("tcp4", d.settings.ListenAddresses.ControlPlane)
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp4", d.settings.Internal(constants.PortControlAdmin))
	if err != nil {
		return err
	}
	g.Add(func() error { return transport.Serve(l, d.onMessage) }, func(error) { l.Close() })
	if err := d.joinMembers(); err != nil {
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

// joinMembers starts the membership agent of the control machines.
func (d *Daemon) joinMembers() (err error) {
	var seeds []string
	for _, p := range d.replica.seeds {
		seeds = append(seeds, d.settings.PeerInternal(p, constants.PortControlMembership))
	}
	address := d.settings.Internal(constants.PortControlMembership)
	d.members, err = membership.Listen(address, d.settings.NodeName+"/control", seeds, func(f membership.Fact) {
		d.events.Record("member", f.Name+" "+f.State.String())
	})
	return err
}

// addLoops adds what runs at regular intervals.
func (d *Daemon) addLoops(group *rungroup.Group) {
	group.Every(membership.TickEvery, d.members.Tick)
	if d.replica.relay {
		group.Every(constants.RelayEvery, d.replica.tick)
		return
	}
	group.Every(constants.ChainTick, d.replica.advance)
	group.Every(constants.LeaseTick, func() {
		d.leases.tick()
		d.publish()
	})
	if d.accounts != nil {
		group.Every(accounts.TickEvery, d.accounts.Step)
	}
	if len(d.dutyRunners) > 0 {
		group.Every(constants.DutyTick, d.stepDuties)
		if d.settings.HasDuty(settings.DutyUsage) {
			group.Every(constants.UsageSave, d.keepUsage)
		}
	}
	turn := max(0, slices.Index(d.replica.controls(), d.settings.IPAddress))
	d.list.waitForTurn(time.Duration(turn) * constants.BootStagger)
	go d.list.boot(group.Context())
	pollEvery := time.Duration(constants.PollShare * float64(d.settings.Bounds.Drain.D()))
	group.Every(pollEvery, func() { d.list.poll(group.Context()) })
	group.Every(constants.RosterEvery, d.roster.share)
}

// Leave hands duties over before a planned stop, and waits for a view in which the
// others go on without this machine: they need not find it silent first, and what it
// holds is on as many disks as before.
func (d *Daemon) Leave() {
	d.leases.leave()
	if !d.replica.relay {
		d.replica.leave()
	}
}

// onMessage takes what other processes send.
func (d *Daemon) onMessage(conn *transport.Conn, body any) any {
	if d.accounts != nil {
		if answer, mine := d.accounts.Message(conn.Remote, body); mine {
			return answer
		}
	}
	switch m := body.(type) {
	case transport.Incompatible:
		d.events.Record("protocol_incompatible", m.String())
	case distribution.Subscription:
		return d.subscribed(conn, m)
	case admission.GrantRequest:
		now := d.now()
		return d.quotaTracker.Ask(now, m, func(shard int) (time.Duration, bool) {
			return d.leases.holds(now, dutyTrack(shard))
		})
	case lease.Request, lease.Grant, lease.Release:
		d.leases.receive(conn.Remote, m)
	case usage.Handover:
		d.takeHandover(m)
	case usage.Report:
		return d.takeUsage(m)
	case autoscale.Report:
		return d.takeLoad(m)
	case Roster:
		d.roster.take(m)
	case ListUpdate:
		if !d.list.take(m) {
			d.connections.send(conn.Remote, ListRequest{})
		}
	case ListRequest:
		if update, ok := d.list.whole(); ok {
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

// subscribed takes a proxy's subscription, and answers with what has changed for it.
func (d *Daemon) subscribed(conn *transport.Conn, m distribution.Subscription) distribution.Update {
	if d.replica.relay {
		// Where to turn is all it can tell.
		return distribution.Update{Zone: d.settings.Zone, Peers: d.pushes.controls()}
	}
	d.roster.subscribed(m)
	d.list.heardOf(m.ListNum)
	return d.pushes.publisher.Subscribed(conn, m)
}

// Reload reads the settings file again. A control machine takes nothing from
// it while it runs; the file is checked and the finding noted.
func (d *Daemon) Reload(path string) func() {
	return func() {
		if _, err := settings.Load(path, "controlPlane"); err != nil {
			d.events.Record("settings_refused", err.Error())
			return
		}
		d.events.Record("settings", "read again")
	}
}
