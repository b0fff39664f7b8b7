package controlplane

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"slateridge/internal/accounts"
	"slateridge/internal/admission"
	"slateridge/internal/autoscale"
	"slateridge/internal/clock"
	"slateridge/internal/config"
	"slateridge/internal/constants"
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

// Roster tells the other control machines of the proxies that spoke here: how
// long ago, the count they said they use, where they stand, and which share in
// the split quotas. It tells what has changed at once, and the rest by turns.
// Gone are those whose connections have just ended.
type Roster struct {
	Words  map[string]ProxyStatus
	Shares []string
	Gone   []string
}

// ProxyStatus is one proxy's latest.
type ProxyStatus struct {
	Age   time.Duration
	Count int
	Place directory.Location
}

// proxyEntry is a proxy on the roster. shares says that it has been told a
// count, so that it may be using a share of the split quotas.
type proxyEntry struct {
	heardAt     time.Time
	heardHereAt time.Time // when it last spoke here
	location    directory.Location
	shares      bool
	count       int // the live count it last said it uses, here or to another
	sentStatus  ProxyStatus
	sentAt      time.Time // when the others nearby were last told
}

// ListUpdate brings the list from the machine that polls to the other control
// machines, as its difference from the one before; without a change it says that
// the numbered one still holds. ListRequest wants it whole, from a machine that has
// missed one.
type (
	ListUpdate struct {
		Num    uint64
		Change *discovery.Change
		Age    time.Duration // since it was known to be current
	}
	ListRequest struct{}
)

func init() {
	transport.Register(transport.NameRoster, Roster{})
	transport.Register(transport.NameUpstreamListNews, ListUpdate{})
	transport.Register(transport.NameUpstreamListRequest, ListRequest{})
}

// pendingLimits are the limits of a version that is not in force yet, as far as is known
// here; they are evaluated until it is.
type pendingLimits struct {
	version uint64
	quotas  map[string]admission.Quota
}

// readIndex says that no version above one had been committed at a moment.
type readIndex struct {
	at      time.Duration
	version uint64
}

// standing is what the rest of the process asks of the chain's view. It is made anew when
// that changes, not with each step, and never written after.
type standing struct {
	view, epoch uint64
	voters      []string // addresses, sorted
	joined      bool     // the view names this machine's disk a voter
	leaves      bool     // no lease is granted: see Chain.LeavesElectorate
}

const dutyPoll = "poll"

func dutyTrack(shard int) string { return fmt.Sprintf("track/%d", shard) }

// Daemon is the control process: the machines of its slices, and their I/O.
type Daemon struct {
	settings *settings.Settings
	events   *eventlog.Log
	began    time.Time
	seeds    []string // control machines named in the settings
	relay    bool     // has no say, and only knows who has

	connectionsMu sync.Mutex
	connections   map[string]*transport.Peer

	chainMu        sync.Mutex // held while the disk works; nothing else waits for it
	chain          *Chain
	store          *storage.Store
	standing       atomic.Pointer[standing]
	inForce        atomic.Pointer[config.Doc]
	readIndex      atomic.Pointer[readIndex]
	joinReportedAt time.Duration                 // when it was last said that this machine waits to be taken in; the chain's loop only
	contactAt      atomic.Int64                  // nanoseconds since this process began, at which it was last in contact with a majority; 0 never
	steppedAt      atomic.Int64                  // likewise, at which the chain last advanced
	stalledAt      atomic.Int64                  // likewise, at which it was last seen to have stood still
	pendingLimits  atomic.Pointer[pendingLimits] // arrived here last, perhaps not in force

	waitMu  sync.Mutex
	orders  map[uint64]chan struct{} // evacuations, by order
	waiters map[chan struct{}]uint64 // operators' orders, by number, until a committed state settles it
	reads   map[uint64]*reader
	readID  uint64

	leaseMu sync.Mutex
	leases  *lease.Manager

	quotaTracker   *admission.Tracker
	proxyDirectory *directory.Directory
	rosterTurn     int
	sharesSent     []string
	publisher      *distribution.Publisher

	mu             sync.Mutex // list, roster
	list           *discovery.List
	listCurrentAt  time.Time
	highestListNum uint64
	roster         map[string]*proxyEntry
	rosterComplete bool
	locations      map[string]distribution.Peer // control machines, as they say
	source         *discovery.Source
	polling        sync.Mutex    // one reading at a time
	bootRead       bool          // the list has been read without the duty, once
	bootTurn       time.Duration // not before: machines that start together read one after the other
	members        *membership.Agent
	pollSince      time.Duration

	clock       *clock.Clock  // agreed among the control machines
	dutyRunners []*dutyRunner // duties at the platform
	tally       *usage.Tally
	keeper      *usage.Keeper // used by keepUsage only

	config  atomic.Pointer[config.Config] // in force here
	load    *autoscale.LoadSum
	scaler  *autoscale.Controller
	zonesOf map[autoscale.Subject]int // slots of an upstream, where any was seen

	accounts *accounts.Service // nil where tenants have no objectives
}

// NewDaemon opens the store and builds the machines.
func NewDaemon(set *settings.Settings, events *eventlog.Log) (*Daemon, error) {
	d := &Daemon{settings: set, events: events, began: time.Now(), seeds: set.SeedIPs(), connections: map[string]*transport.Peer{}, orders: map[uint64]chan struct{}{},
		waiters: map[chan struct{}]uint64{}, reads: map[uint64]*reader{}, roster: map[string]*proxyEntry{},
		locations: map[string]distribution.Peer{}, source: discovery.NewSource(set.CloudAPI.Address)}
	d.quotaTracker = admission.NewTracker(rand.Uint64(), set.Trackers(), func(told int, q admission.Quota) bool {
		d.mu.Lock()
		n := max(told, len(d.roster))
		d.mu.Unlock()
		return admission.Tiny(n, set.Bounds.QuotaSlack, q)
	})
	d.clock, d.tally = clock.New(), usage.NewTally(rand.Uint64())
	d.relay = set.DataDirectory == "" || !set.QuorumMember
	fresh := false
	if d.relay {
		d.store = storage.Volatile()
		events.Record("relay", "no disk of its own that counts: callers are sent on, nothing is decided here")
	} else {
		var err error
		if d.store, fresh, err = storage.Open(set.DataDirectory); err != nil {
			return nil, fmt.Errorf("store in %s: %w", set.DataDirectory, err)
		}
	}
	store := d.store
	d.keeper = usage.NewKeeper(d.tally, store.Get)
	var known []string
	if store.Get("roster", &known) {
		d.rosterComplete = true
		for _, a := range known {
			d.roster[a] = &proxyEntry{heardAt: d.began, shares: true}
		}
	}
	h := fnv.New64a()
	h.Write([]byte(set.NodeName))
	rng := rand.New(rand.NewPCG(h.Sum64(), uint64(time.Now().UnixNano())))
	var err error
	// The seeds found the first view; the other machines are taken in by views.
	founding := set.Bootstrap && fresh && slices.Contains(d.seeds, set.IPAddress)
	d.chain, err = NewChain(0, set.IPAddress, d.seeds, founding, store, rng)
	if err != nil {
		return nil, err
	}
	d.chain.Relay, d.chain.Tolerate = d.relay, set.FaultTolerance.MachineFailures
	d.chain.Original = set.Bootstrap && fresh && !founding && !d.relay
	d.chain.Zones, d.chain.Regions = set.FaultTolerance.Zones, set.FaultTolerance.RegionFailures
	// Reads are known by numbers of this life alone: an answer to an earlier life's may
	// still be under way.
	d.readID = rng.Uint64()
	d.chain.Zone, d.chain.Region = set.Zone, set.Region
	d.chain.Wall = func() int64 {
		if at, ok := d.clock.Now(d.now()); ok {
			return at.UnixNano()
		}
		return time.Now().UnixNano()
	}
	duties := []string{dutyPoll}
	for i := range set.Trackers() {
		duties = append(duties, dutyTrack(i))
	}
	if set.HasDuty(settings.DutyUsage) {
		duties = append(duties, settings.DutyUsage)
		d.dutyRunners = append(d.dutyRunners, d.newDutyRunner(settings.DutyUsage, "/usage-reports", d.planUsage))
	}
	d.load, d.scaler, d.zonesOf = autoscale.NewLoadSum(), autoscale.NewController(), map[autoscale.Subject]int{}
	if set.HasDuty(settings.DutyScaling) {
		duties = append(duties, settings.DutyScaling)
		p := d.newDutyRunner(settings.DutyScaling, "/scaling", d.planScaling)
		p.split, p.holder.Latest = autoscale.Split, true
		d.dutyRunners = append(d.dutyRunners, p)
	}
	accountDuties, err := d.openAccounts()
	if err != nil {
		return nil, err
	}
	duties = append(duties, accountDuties...)
	d.proxyDirectory = directory.New(0, set.Zones)
	d.leases = lease.New(0, rng.Uint64(), set.IPAddress, duties)
	d.publisher = distribution.New(d.snapshot, d.sharing)
	d.publisher.OnClosed = func(node string) {
		if d.directory() && d.proxyDirectory.Disconnected(d.now(), node, true) {
			for _, p := range d.peers() {
				d.send(p, Roster{Gone: []string{node}})
			}
		}
	}
	d.electorateNow()
	return d, nil
}

// directory says whether anybody asks here where proxies stand.
func (d *Daemon) directory() bool { return d.settings.ListenAddresses.Directory != "" }

// now is the steady time since this process began.
func (d *Daemon) now() time.Duration { return time.Since(d.began) }

// Add puts the daemon's actors into the process's group.
func (d *Daemon) Add(g *run.Group) error {
	l, err := transport.Listen(d.settings.Internal(constants.PortControl))
	if err != nil {
		return err
	}
	ctl, err := net.Listen("tcp4", d.settings.ListenAddresses.ControlPlane)
	if err != nil {
		return err
	}
	adm, err := net.Listen("tcp4", d.settings.Internal(constants.PortControlAdmin))
	if err != nil {
		return err
	}
	g.Add(func() error { return transport.Serve(l, d.onMessage) }, func(error) { l.Close() })
	var seeds []string
	for _, p := range d.seeds {
		seeds = append(seeds, d.settings.PeerInternal(p, constants.PortControlMembership))
	}
	d.members, err = membership.Listen(d.settings.Internal(constants.PortControlMembership), d.settings.NodeName+"/control", seeds, func(f membership.Fact) {
		d.events.Record("member", f.Name+" "+f.State.String())
	})
	if err != nil {
		return err
	}
	g.Add(d.members.Serve, func(error) { d.members.Close() })
	group := rungroup.New(g)
	group.Serve(ctl, d.operatorAPI())
	group.Serve(adm, d.adminAPI())
	if a := d.settings.ListenAddresses.Directory; a != "" {
		dir, err := net.Listen("tcp4", a)
		if err != nil {
			return err
		}
		group.Serve(dir, d.directoryAPI())
	}
	group.Every(membership.TickEvery, d.members.Tick)
	if d.relay {
		group.Every(constants.RelayEvery, func() { d.step(func() []any { return d.chain.Tick(d.now()) }) })
		return nil
	}
	group.Every(constants.ChainTick, d.advance)
	held := map[string]bool{}
	group.Every(constants.LeaseTick, func() {
		d.leaseMu.Lock()
		out := d.leases.Tick(d.now())
		var moved []string
		for _, duty := range d.leases.Duties() {
			if _, ok := d.leases.Holds(d.now(), duty); ok != held[duty] {
				held[duty] = ok
				moved = append(moved, duty)
			}
		}
		d.leaseMu.Unlock()
		d.sendLeases(out)
		for _, duty := range moved {
			d.events.Record(map[bool]string{true: "duty_taken", false: "duty_ended"}[held[duty]], duty)
		}
		d.publisher.Publish()
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
	d.bootTurn = time.Duration(max(0, slices.Index(d.controls(), d.settings.IPAddress))) * constants.BootStagger
	go func() {
		for _, p := range d.peers() {
			d.send(p, ListRequest{}) // whoever has started before may have one
		}
		for d.polled(group.Context()) {
			time.Sleep(constants.BootCheckEvery)
		}
	}()
	group.Every(time.Duration(constants.PollShare*float64(d.settings.Bounds.Drain.D())), func() { d.poll(group.Context()) })
	group.Every(constants.RosterEvery, d.shareRoster)
	return nil
}

// Leave hands duties over before a planned stop, and waits for a view in which the
// others go on without this machine: they need not find it silent first, and what it
// holds is on as many disks as before.
func (d *Daemon) Leave() {
	d.leaseMu.Lock()
	out := d.leases.Leave(d.now())
	d.leaseMu.Unlock()
	d.sendLeases(out)
	if d.relay {
		return
	}
	began := d.now()
	var left, can bool
	look := func() {
		d.chainMu.Lock()
		left, can = d.chain.Left(), d.chain.CanLeave()
		d.chainMu.Unlock()
	}
	look()
	d.step(func() []any { return d.chain.Leave(d.now()) })
	for end := began + constants.LeaveWait; !left && can && d.now() < end; look() {
		time.Sleep(constants.ChainTick / 2)
	}
	switch {
	case left:
		d.events.Record("left", fmt.Sprintf("the others go on without this machine, after %v", (d.now()-began).Round(time.Millisecond)))
	case !can:
		d.events.Record("left_members", "too few others are there to go on without this machine: they wait for it or for a successor")
	default:
		d.events.Record("left_unanswered", fmt.Sprintf("no view without this machine within %v: the others will find it silent", constants.LeaveWait))
	}
}

func (d *Daemon) sendLeases(out []lease.Send) {
	for _, s := range out {
		d.send(s.To, s.Msg)
	}
}

func (d *Daemon) send(to string, m any) {
	if to == d.settings.IPAddress {
		return
	}
	d.connectionsMu.Lock()
	p := d.connections[to]
	if p == nil {
		p = transport.NewPeer(d.settings.PeerInternal(to, constants.PortControl), d.settings.IPAddress, d.onMessage)
		d.connections[to] = p
	}
	d.connectionsMu.Unlock()
	p.Send(m)
}

// peers are the other control machines that agree on the view, as known here.
func (d *Daemon) peers() []string {
	ps := slices.Clone(d.standing.Load().voters)
	if len(ps) == 0 {
		ps = slices.Clone(d.seeds)
	}
	return slices.DeleteFunc(ps, func(p string) bool { return p == d.settings.IPAddress })
}

// controls are all of them, this one too unless it only relays.
func (d *Daemon) controls() []string {
	ps := d.peers()
	if !d.relay {
		ps = append(ps, d.settings.IPAddress)
	}
	slices.Sort(ps)
	return ps
}

// step runs the chain machine and carries out what comes of it.
func (d *Daemon) step(f func() []any) {
	d.chainMu.Lock()
	out := f()
	d.electorateNow()
	d.chainMu.Unlock()
	for _, o := range out {
		switch o := o.(type) {
		case Send:
			d.send(o.To, o.Msg)
		case Commit:
			d.committed(o.Doc)
		case ReadDone:
			d.waitMu.Lock()
			if r := d.reads[o.ID]; r != nil {
				r.doc = o.Doc
				close(r.done)
				delete(d.reads, o.ID)
			}
			d.waitMu.Unlock()
		case Moved:
			d.events.Record("view", fmt.Sprintf("%d %v of %d voters from %d/%d", o.View.Num, addrs(o.View), len(o.View.Voters), o.View.From.View, o.View.From.Seq))
		}
	}
}

func addrs(v View) []string {
	var out []string
	for _, m := range v.Members {
		out = append(out, m.Addr)
	}
	return out
}

// electorateNow publishes what changed with a step, before any word of it leaves.
func (d *Daemon) electorateNow() {
	v, joined, leaves := d.chain.View(), d.chain.Joined(), d.chain.LeavesElectorate()
	if was := d.standing.Load(); was == nil || was.view != v.Num || was.joined != joined || was.leaves != leaves {
		now := &standing{view: v.Num, epoch: v.Epoch, voters: v.VoterAddrs(), joined: joined, leaves: leaves}
		d.standing.Store(now)
		// An acceptance of a view with another electorate is told to the leases before it
		// is told to anyone else, so that no lease is granted after it, however long the
		// process stands still in between.
		d.leaseMu.Lock()
		d.leases.SetElectorate(d.now(), now.epoch, now.voters, leaves)
		d.leaseMu.Unlock()
	}
	if at, ok := d.chain.ReadIndexAt(); ok {
		fresh := readIndex{at, versionOf(d.chain.Committed())}
		if was := d.readIndex.Load(); was == nil || *was != fresh {
			d.readIndex.Store(&fresh)
		}
	}
	if at, ok := d.chain.Contact(); ok {
		d.contactAt.Store(max(int64(at), 1))
	} else {
		d.contactAt.Store(0)
	}
}

// committed puts a version in force here: for the proxies, for the trackers,
// and for the operators that wait.
func (d *Daemon) committed(doc config.Doc) {
	d.mu.Lock()
	old := d.inForce.Load()
	if old != nil && !old.Stamp.Less(doc.Stamp) {
		d.mu.Unlock()
		return
	}
	d.inForce.Store(&doc)
	d.mu.Unlock()
	if doc.Raw != nil && (old == nil || old.Version < doc.Version) {
		s, err := config.Read(doc.Raw)
		if err != nil {
			panic("controlplane: an invalid configuration was committed: " + err.Error())
		}
		d.config.Store(s)
		d.quotaTracker.SetQuotas(d.now(), admission.Quotas(s))
		d.events.Record("config", fmt.Sprintf("r%d in force", doc.Version))
	}
	if was, is := fmt.Sprint(old.Evacuated()), fmt.Sprint(doc.Evacuated()); was != is {
		d.events.Record("evacuations", is)
	}
	d.publisher.Publish()
	d.waitMu.Lock()
	for ch, v := range d.waiters {
		if doc.Ledger.Settled(v) {
			close(ch)
			delete(d.waiters, ch)
		}
	}
	for _, e := range doc.Evac {
		for _, id := range e.IDs {
			if ch := d.orders[id]; ch != nil {
				close(ch)
				delete(d.orders, id)
			}
		}
	}
	d.waitMu.Unlock()
}

// current says whether this machine is in contact with a majority of the voters, both
// ways: what is hearsay only may be old.
func (d *Daemon) current() bool {
	at := time.Duration(d.contactAt.Load())
	return at > 0 && d.now()-at <= constants.ContactFresh
}

// stalled says whether this process has just been frozen, or starved of its
// processor: what it reads now may have been sent long ago, by callers that have gone.
func (d *Daemon) stalled() bool {
	now := d.now()
	at := time.Duration(d.steppedAt.Load())
	return at > 0 && now-at > constants.StallGap || d.stalledAt.Load() > 0 && now-time.Duration(d.stalledAt.Load()) < constants.StallQuiet
}

// advance is the chain's regular step.
func (d *Daemon) advance() {
	now := d.now()
	if at := time.Duration(d.steppedAt.Swap(int64(now))); at > 0 && now-at > constants.StallGap {
		d.stalledAt.Store(int64(now))
		d.events.Count("stood_still", 1)
	}
	d.step(func() []any { return d.chain.Tick(d.now()) })
	if g := d.standing.Load(); !g.joined && now-d.joinReportedAt > constants.JoinReport {
		d.joinReportedAt = now
		d.events.Record("waiting", fmt.Sprintf("no view has taken this machine in; known: view %d of %d voters, asked: %v. If no control machine has a view, a first start was cut short before a majority of the seeds had written: start those with empty disks and bootstrap true",
			g.view, len(g.voters), d.peers()))
	}
}

// snapshot is what proxies are told.
func (d *Daemon) snapshot() distribution.Snapshot {
	f := distribution.Snapshot{ConfigDoc: d.inForce.Load()}
	if s := d.readIndex.Load(); s != nil {
		f.SureVersion, f.SureAge = s.version, d.now()-s.at
	}
	f.Current = d.current()
	f.Zone = d.settings.Zone
	if f.ConfigDoc != nil {
		f.Version = f.ConfigDoc.Version
		f.StateNum, f.Evacuated = f.ConfigDoc.OrderNum(), f.ConfigDoc.Evacuated()
	}
	if c := d.pendingLimits.Load(); c != nil && c.version > f.Version {
		f.ComingVer, f.Coming = c.version, c.quotas
	}
	d.leaseMu.Lock()
	for i := range d.settings.Trackers() {
		f.Trackers = append(f.Trackers, d.leases.Holder(d.now(), dutyTrack(i)))
	}
	if d.settings.HasDuty(settings.DutyUsage) {
		f.Metered = d.leases.Holder(d.now(), settings.DutyUsage)
	}
	if d.settings.HasDuty(settings.DutyScaling) {
		f.Scaler = d.leases.Holder(d.now(), settings.DutyScaling)
	}
	d.leaseMu.Unlock()
	if at, ok := d.clock.Now(d.now()); ok {
		f.Wall = at.UnixNano()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.controls() {
		p := d.locations[a]
		if p.Addr = a; a == d.settings.IPAddress {
			p.Zone, p.Region = d.settings.Zone, d.settings.Region
		}
		f.Peers = append(f.Peers, p)
	}
	f.Upstreams = d.list
	if d.list != nil {
		f.ListNum = d.list.Num
		f.ListAge = time.Since(d.listCurrentAt)
	}
	if d.rosterComplete {
		f.Proxies = len(d.roster)
	}
	return f
}

// sharing says whether a proxy may be told the live count.
func (d *Daemon) sharing(node string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.roster[node]
	return e != nil && e.shares
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
		if d.relay {
			// Where to turn is all it can tell.
			return distribution.Update{Zone: d.settings.Zone, Peers: d.snapshot().Peers}
		}
		d.proxySeen(m)
		d.mu.Lock()
		d.highestListNum = max(d.highestListNum, m.ListNum)
		d.mu.Unlock()
		return d.publisher.Subscribed(conn, m)
	case admission.GrantRequest:
		now := d.now()
		return d.quotaTracker.Ask(now, m, func(shard int) (time.Duration, bool) {
			d.leaseMu.Lock()
			defer d.leaseMu.Unlock()
			return d.leases.Holds(now, dutyTrack(shard))
		})
	case lease.Request, lease.Grant, lease.Release:
		d.leaseMu.Lock()
		out := d.leases.Recv(d.now(), conn.Remote, m)
		d.leaseMu.Unlock()
		d.sendLeases(out)
	case usage.Handover:
		d.takeHandover(m)
	case usage.Report:
		return d.takeUsage(m)
	case autoscale.Report:
		return d.takeLoad(m)
	case Roster:
		d.takeRoster(m)
	case ListUpdate:
		if !d.takeList(m) {
			d.send(conn.Remote, ListRequest{})
		}
	case ListRequest:
		d.mu.Lock()
		l, age := d.list, time.Since(d.listCurrentAt)
		d.mu.Unlock()
		if l != nil {
			d.send(conn.Remote, ListUpdate{l.Num, discovery.Diff(nil, l), age})
		}
	default:
		if g, ok := body.(Heartbeat); ok {
			d.mu.Lock()
			d.locations[conn.Remote] = distribution.Peer{Addr: conn.Remote, Zone: g.Zone, Region: g.Region}
			if !g.Relay {
				d.clock.Observe(conn.Remote, g.Wall, d.now())
			}
			d.mu.Unlock()
		}
		d.step(func() []any { return d.chain.Recv(d.now(), conn.Remote, body) })
	}
	return nil
}

// ---- the roster of proxies

// proxySeen notes a proxy's word. A newcomer gets a share of the split quotas only
// after every other proxy that has one has said that it reckons with the larger
// count, so that the shares in use never add up to more than the whole.
func (d *Daemon) proxySeen(subscription distribution.Subscription) {
	node, count := subscription.Node, subscription.Proxies
	var place directory.Location
	if d.directory() {
		place = directory.Location{Front: subscription.Front, Zone: subscription.Zone, Region: subscription.Region, Ready: subscription.Ready}
		if d.proxyDirectory.Report(d.now(), node, place, subscription.Full) {
			w := Roster{Words: map[string]ProxyStatus{node: {Count: count, Place: place}}}
			for _, p := range d.peers() {
				d.send(p, w)
			}
		}
	}
	d.mu.Lock()
	e := d.roster[node]
	known := e != nil
	if !known {
		e = &proxyEntry{}
		d.roster[node] = e
	}
	e.heardAt, e.count, e.location = time.Now(), count, place
	e.heardHereAt = e.heardAt
	grew := d.admitLocked()
	d.mu.Unlock()
	if !known {
		d.events.Record("proxy", node+" joined")
	}
	if grew {
		d.keepRoster()
	}
	if !known || grew {
		d.publisher.Publish()
	}
}

// admitLocked lets newcomers share once that is safe; true when any did.
func (d *Daemon) admitLocked() bool {
	if !d.rosterComplete {
		// The very first start: nobody has been told a count yet.
		if !d.settings.Bootstrap || time.Since(d.began) < constants.RosterQuiet || len(d.roster) == 0 {
			return false
		}
		d.rosterComplete = true
	} else {
		waiting := false
		for _, e := range d.roster {
			if e.shares && e.count < len(d.roster) {
				return false
			}
			waiting = waiting || !e.shares
		}
		if !waiting {
			return false
		}
	}
	for _, e := range d.roster {
		e.shares = true
	}
	return true
}

func (d *Daemon) keepRoster() {
	go func() {
		d.chainMu.Lock()
		defer d.chainMu.Unlock()
		d.mu.Lock()
		var all []string
		for a, e := range d.roster {
			if e.shares {
				all = append(all, a)
			}
		}
		d.mu.Unlock()
		slices.Sort(all)
		d.store.Put("roster", all) // a roster that cannot be kept is told again by the others
	}()
}

func (d *Daemon) shareRoster() {
	near, far := Roster{Words: map[string]ProxyStatus{}}, Roster{Words: map[string]ProxyStatus{}}
	changed := false
	facts := d.members.Members()
	d.mu.Lock()
	d.rosterTurn++
	// A proxy that cannot reach this machine but lives, as others vouch, stays
	// on the roster.
	for _, f := range facts {
		host, _, _ := net.SplitHostPort(f.Addr)
		if e := d.roster[host]; e != nil && f.State == membership.Alive && f.Addr == d.settings.PeerInternal(host, constants.PortProxyMembership) {
			e.heardAt = time.Now()
		}
	}
	var shares []string
	for a, e := range d.roster {
		if time.Since(e.heardAt) > constants.ProxyForget {
			delete(d.roster, a)
			changed = true
			continue
		}
		if age := time.Since(e.heardHereAt); age < constants.SubscriptionSilence { // the others' own proxies are theirs to tell of
			w := ProxyStatus{age, e.count, e.location}
			far.Words[a] = w
			if e.sentStatus.Count != w.Count || e.sentStatus.Place != w.Place || time.Since(e.sentAt) >= constants.RosterRefresh {
				near.Words[a], e.sentStatus, e.sentAt = w, w, time.Now()
			}
		}
		if e.shares {
			shares = append(shares, a)
		}
	}
	slices.Sort(shares)
	if d.rosterTurn%constants.RosterWhole == 0 || !slices.Equal(shares, d.sharesSent) {
		near.Shares, far.Shares, d.sharesSent = shares, shares, shares
	}
	farToo := d.rosterTurn%constants.RosterFar == 0 || far.Shares != nil
	where := maps.Clone(d.locations)
	changed = d.admitLocked() || changed
	d.mu.Unlock()
	if changed {
		d.keepRoster()
		d.publisher.Publish()
	}
	for _, p := range d.peers() {
		if where[p].Region == d.settings.Region {
			d.send(p, near)
		} else if farToo {
			d.send(p, far)
		}
	}
}

func (d *Daemon) takeRoster(m Roster) {
	grew := false
	d.mu.Lock()
	for a, w := range m.Words {
		at := time.Now().Add(-w.Age)
		if e := d.roster[a]; e == nil {
			d.roster[a] = &proxyEntry{heardAt: at, count: w.Count, location: w.Place}
			grew = true
		} else if at.After(e.heardAt) {
			e.heardAt, e.count, e.location = at, w.Count, w.Place
		}
		if d.directory() {
			d.proxyDirectory.Relay(d.now(), a, w.Place, w.Age)
		}
	}
	for _, a := range m.Gone {
		d.proxyDirectory.Disconnected(d.now(), a, false)
	}
	if len(m.Shares) > 0 {
		d.rosterComplete = true
		for _, a := range m.Shares {
			if e := d.roster[a]; e != nil && !e.shares {
				e.shares, grew = true, true
			}
		}
	}
	d.mu.Unlock()
	if grew {
		d.keepRoster()
		d.publisher.Publish()
	}
}

// ---- the list of upstreams

// polled reads the list at the start, in this machine's turn; true while there is
// none yet. Were all that start together to read at once, long lists would use up
// the platform's rate before anyone had the whole.
func (d *Daemon) polled(ctx context.Context) bool {
	d.poll(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list == nil && ctx.Err() == nil
}

// poll reads the platform's list while this machine holds the duty. A machine
// that has just started and knows no list reads it once without the duty: for
// as long as nobody may hold it yet, proxies that start too would stand idle,
// and the first holder's list replaces whatever was read so.
func (d *Daemon) poll(ctx context.Context) {
	if !d.polling.TryLock() {
		return
	}
	defer d.polling.Unlock()
	duty := func() (time.Duration, bool) {
		d.leaseMu.Lock()
		defer d.leaseMu.Unlock()
		return d.leases.Holds(d.now(), dutyPoll)
	}
	since, held := duty()
	d.mu.Lock()
	first := !held && d.list == nil && !d.bootRead && d.now() >= d.bootTurn
	d.bootRead = d.bootRead || first
	d.mu.Unlock()
	if !held && !first {
		return
	}
	is, err := d.source.Read(ctx)
	if err != nil {
		d.events.Count("poll_failed", 1)
		if first {
			d.mu.Lock()
			d.bootRead, d.bootTurn = false, d.now()+constants.BootRetry
			d.mu.Unlock()
		}
		return
	}
	if s, still := duty(); held && (!still || s != since) {
		return // the list may be old by now, and another reads
	}
	d.mu.Lock()
	if first && d.list != nil {
		d.mu.Unlock()
		return
	}
	num := d.highestListNum
	changed := true
	switch {
	case first:
		// Below every list that a holder of the duty has numbered, and apart from
		// what others read so: a difference must not fit another list than its own.
		num = bootNumber(rand.Uint64())
	case d.list == nil || since != d.pollSince:
		// Others numbered before, and two that take over one after the other may
		// have heard of the same number: each begins at one of its own.
		num = firstNumber(num, rand.Uint64())
	case d.list.Num != num || !discovery.Same(d.list.Instances, is):
		num++
	default:
		changed = false
	}
	d.pollSince = since
	before := d.list
	// A list that is the same keeps its number; how long its upstreams stay cold
	// is taken anew, to notice one that turns cold again.
	d.list, d.highestListNum = &discovery.List{Num: num, Instances: is}, max(num, d.highestListNum)
	d.listCurrentAt = time.Now()
	n := ListUpdate{Num: num}
	if changed {
		n.Change = discovery.Diff(before, d.list)
	}
	d.mu.Unlock()
	for _, p := range d.peers() { // with the duty, or as the first to know any list
		d.send(p, n)
	}
	if changed {
		d.events.Count("list_changed", 1)
		d.publisher.Publish()
	}
}

// firstNumber is where a new holder of the poll duty begins to number its lists:
// above all it has heard of, and apart from another that has heard the same.
func firstNumber(heard, lot uint64) uint64 {
	return (heard/constants.ListStride+1)*constants.ListStride + lot%(constants.ListStride/2)
}

// bootNumber is the number of a list read without the duty.
func bootNumber(lot uint64) uint64 { return 1 + lot%(constants.ListStride-1) }

// takeList is false when the news does not fit what is held here.
func (d *Daemon) takeList(m ListUpdate) bool {
	d.mu.Lock()
	d.highestListNum = max(d.highestListNum, m.Num)
	took := false
	if m.Change != nil && (d.list == nil || m.Num > d.list.Num) {
		if l, fits := m.Change.Apply(d.list); fits {
			d.list, took = l, true
		}
	}
	ok := d.list != nil && d.list.Num == m.Num
	missed := d.list == nil || d.list.Num < m.Num
	if at := time.Now().Add(-m.Age); ok && at.After(d.listCurrentAt) {
		d.listCurrentAt = at
	}
	d.mu.Unlock()
	if took {
		d.publisher.Publish()
	}
	return !missed
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
