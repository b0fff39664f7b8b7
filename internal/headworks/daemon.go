package headworks

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
	"slateridge/internal/cistern"
	"slateridge/internal/clock"
	"slateridge/internal/conduit"
	"slateridge/internal/datum"
	"slateridge/internal/gazetteer"
	"slateridge/internal/intake"
	"slateridge/internal/logbook"
	"slateridge/internal/penstock"
	"slateridge/internal/scaling"
	"slateridge/internal/scheme"
	"slateridge/internal/sill"
	"slateridge/internal/staff"
	"slateridge/internal/usage"
	"slateridge/internal/watermaster"
	"slateridge/internal/weir"
	"slateridge/internal/wheel"
)

// Roster tells the other control machines of the proxies that spoke here: how
// long ago, the count they said they use, where they stand, and which share in
// the split quotas. It tells what has changed at once, and the rest by turns.
// Gone are those whose connections have just ended.
type Roster struct {
	Words  map[string]Word
	Shares []string
	Gone   []string
}

// Word is one proxy's latest.
type Word struct {
	Age   time.Duration
	Count int
	Place gazetteer.Place
}

// proxyEntry is a proxy on the roster. shares says that it has been told a
// count, so that it may be using a share of the split quotas.
type proxyEntry struct {
	at     time.Time
	direct time.Time // when it last spoke here
	place  gazetteer.Place
	shares bool
	count  int // the live count it last said it uses, here or to another
	told   Word
	toldAt time.Time // when the others nearby were last told
}

// ListNews brings the list from the machine that polls to the other control
// machines, as its difference from the one before; without a change it says that
// the numbered one still holds. ListAsk wants it whole, from a machine that has
// missed one.
type (
	ListNews struct {
		Num    uint64
		Change *intake.Change
		Age    time.Duration // since it was known to be current
	}
	ListAsk struct{}
)

func init() {
	conduit.Register(conduit.NameRoster, Roster{})
	conduit.Register(conduit.NameUpstreamListNews, ListNews{})
	conduit.Register(conduit.NameUpstreamListRequest, ListAsk{})
}

// coming are the limits of a version that is not in force yet, as far as is known
// here; they are evaluated until it is.
type coming struct {
	version uint64
	quotas  map[string]weir.Quota
}

// freshness says that no version above one had been committed at a moment.
type freshness struct {
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

// Daemon is the headworks process: the machines of its slices, and their I/O.
type Daemon struct {
	set   *sill.Settings
	book  *logbook.Logbook
	began time.Time
	seeds []string // control machines named in the settings
	relay bool     // has no say, and only knows who has

	mainMu sync.Mutex
	mains  map[string]*conduit.Main

	chainMu   sync.Mutex // held while the disk works; nothing else waits for it
	chain     *Chain
	store     *cistern.Cistern
	standing  atomic.Pointer[standing]
	inForce   atomic.Pointer[scheme.Doc]
	freshAsOf atomic.Pointer[freshness]
	waitSaid  time.Duration          // when it was last said that this machine waits to be taken in; the chain's loop only
	contact   atomic.Int64           // nanoseconds since this process began, at which it was last in contact with a majority; 0 never
	stepped   atomic.Int64           // likewise, at which the chain last advanced
	thawed    atomic.Int64           // likewise, at which it was last seen to have stood still
	coming    atomic.Pointer[coming] // arrived here last, perhaps not in force

	waitMu sync.Mutex
	orders map[uint64]chan struct{} // evacuations, by order
	waits  map[chan struct{}]uint64 // operators' orders, by number, until a committed state settles it
	reads  map[uint64]*reader
	readID uint64

	leaseMu sync.Mutex
	leases  *watermaster.Watermaster

	gates      *weir.Gatehouse
	places     *gazetteer.Gazetteer
	turns      int
	sharesTold []string
	pen        *penstock.Penstock

	mu        sync.Mutex // list, roster
	list      *intake.List
	listOK    time.Time
	listTop   uint64
	roster    map[string]*proxyEntry
	rosterIn  bool
	where     map[string]penstock.Peer // control machines, as they say
	polls     *intake.Source
	polling   sync.Mutex    // one reading at a time
	bootRead  bool          // the list has been read without the duty, once
	bootTurn  time.Duration // not before: machines that start together read one after the other
	staff     *staff.Agent
	pollSince time.Duration

	clock  *clock.Clock // agreed among the control machines
	posts  []*post      // duties at the platform
	tally  *usage.Tally
	keeper *usage.Keeper // used by keepUsage only

	accounts *accounts.Service // nil where tenants have no objectives

	scheme  atomic.Pointer[scheme.Scheme] // in force here
	load    *scaling.Gauge
	law     *scaling.Law
	zonesOf map[scaling.Subject]int // slots of an upstream, where any was seen
}

// NewDaemon opens the store and builds the machines.
func NewDaemon(set *sill.Settings, book *logbook.Logbook) (*Daemon, error) {
	d := &Daemon{set: set, book: book, began: time.Now(), seeds: set.SeedIPs(), mains: map[string]*conduit.Main{}, orders: map[uint64]chan struct{}{},
		waits: map[chan struct{}]uint64{}, reads: map[uint64]*reader{}, roster: map[string]*proxyEntry{},
		where: map[string]penstock.Peer{}, polls: intake.NewSource(set.CloudAPI.Address)}
	d.gates = weir.NewGatehouse(rand.Uint64(), set.Trackers(), func(told int, q weir.Quota) bool {
		d.mu.Lock()
		n := max(told, len(d.roster))
		d.mu.Unlock()
		return weir.Tiny(n, set.Bounds.QuotaSlack, q)
	})
	d.clock, d.tally = clock.New(), usage.NewTally(rand.Uint64())
	d.relay = set.DataDirectory == "" || !set.QuorumMember
	fresh := false
	if d.relay {
		d.store = cistern.Volatile()
		book.Note("relay", "no disk of its own that counts: callers are sent on, nothing is decided here")
	} else {
		var err error
		if d.store, fresh, err = cistern.Open(set.DataDirectory); err != nil {
			return nil, fmt.Errorf("store in %s: %w", set.DataDirectory, err)
		}
	}
	store := d.store
	d.keeper = usage.NewKeeper(d.tally, store.Get)
	var known []string
	if store.Get("roster", &known) {
		d.rosterIn = true
		for _, a := range known {
			d.roster[a] = &proxyEntry{at: d.began, shares: true}
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
	if set.Does(sill.DutyUsage) {
		duties = append(duties, sill.DutyUsage)
		d.posts = append(d.posts, d.newPost(sill.DutyUsage, "/usage-reports", d.planUsage))
	}
	d.load, d.law, d.zonesOf = scaling.NewGauge(), scaling.NewLaw(), map[scaling.Subject]int{}
	if set.Does(sill.DutyScaling) {
		duties = append(duties, sill.DutyScaling)
		p := d.newPost(sill.DutyScaling, "/scaling", d.planScaling)
		p.split, p.officer.Latest = scaling.Split, true
		d.posts = append(d.posts, p)
	}
	accountDuties, err := d.openAccounts()
	if err != nil {
		return nil, err
	}
	duties = append(duties, accountDuties...)
	d.places = gazetteer.New(0, set.Zones)
	d.leases = watermaster.New(0, rng.Uint64(), set.IPAddress, duties)
	d.pen = penstock.New(d.face, d.sharing)
	d.pen.Closed = func(node string) {
		if d.directory() && d.places.Gone(d.now(), node, true) {
			for _, p := range d.peers() {
				d.send(p, Roster{Gone: []string{node}})
			}
		}
	}
	d.snapshot()
	return d, nil
}

// directory says whether anybody asks here where proxies stand.
func (d *Daemon) directory() bool { return d.set.ListenAddresses.Directory != "" }

// now is the steady time since this process began.
func (d *Daemon) now() time.Duration { return time.Since(d.began) }

// Add puts the daemon's actors into the process's group.
func (d *Daemon) Add(g *run.Group) error {
	l, err := conduit.Listen(d.set.Internal(datum.PortHeadworks))
	if err != nil {
		return err
	}
	ctl, err := net.Listen("tcp4", d.set.ListenAddresses.ControlPlane)
	if err != nil {
		return err
	}
	adm, err := net.Listen("tcp4", d.set.Internal(datum.PortHeadworksAdmin))
	if err != nil {
		return err
	}
	g.Add(func() error { return conduit.Serve(l, d.onMessage) }, func(error) { l.Close() })
	var seeds []string
	for _, p := range d.seeds {
		seeds = append(seeds, d.set.PeerInternal(p, datum.PortStaff))
	}
	d.staff, err = staff.Listen(d.set.Internal(datum.PortStaff), d.set.NodeName+"/headworks", seeds, func(f staff.Fact) {
		d.book.Note("member", f.Name+" "+f.State.String())
	})
	if err != nil {
		return err
	}
	g.Add(d.staff.Serve, func(error) { d.staff.Close() })
	w := wheel.New(g)
	w.Serve(ctl, d.operatorAPI())
	w.Serve(adm, d.adminAPI())
	if a := d.set.ListenAddresses.Directory; a != "" {
		dir, err := net.Listen("tcp4", a)
		if err != nil {
			return err
		}
		w.Serve(dir, d.directoryAPI())
	}
	w.Turn(staff.TickEvery, d.staff.Tick)
	if d.relay {
		w.Turn(datum.RelayEvery, func() { d.step(func() []any { return d.chain.Tick(d.now()) }) })
		return nil
	}
	w.Turn(datum.ChainTick, d.advance)
	held := map[string]bool{}
	w.Turn(datum.LeaseTick, func() {
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
			d.book.Note(map[bool]string{true: "duty_taken", false: "duty_ended"}[held[duty]], duty)
		}
		d.pen.Publish()
	})
	if d.accounts != nil {
		w.Turn(accounts.TickEvery, d.accounts.Step)
	}
	if len(d.posts) > 0 {
		w.Turn(datum.DutyTick, d.officiate)
		if d.set.Does(sill.DutyUsage) {
			w.Turn(datum.UsageSave, d.keepUsage)
		}
	}
	d.bootTurn = time.Duration(max(0, slices.Index(d.controls(), d.set.IPAddress))) * datum.BootTurn
	go func() {
		for _, p := range d.peers() {
			d.send(p, ListAsk{}) // whoever has started before may have one
		}
		for d.polled(w.Context()) {
			time.Sleep(datum.BootLook)
		}
	}()
	w.Turn(time.Duration(datum.PollShare*float64(d.set.Bounds.Drain.D())), func() { d.poll(w.Context()) })
	w.Turn(datum.RosterEvery, d.shareRoster)
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
	for end := began + datum.LeaveWait; !left && can && d.now() < end; look() {
		time.Sleep(datum.ChainTick / 2)
	}
	switch {
	case left:
		d.book.Note("left", fmt.Sprintf("the others go on without this machine, after %v", (d.now()-began).Round(time.Millisecond)))
	case !can:
		d.book.Note("left_members", "too few others are there to go on without this machine: they wait for it or for a successor")
	default:
		d.book.Note("left_unanswered", fmt.Sprintf("no view without this machine within %v: the others will find it silent", datum.LeaveWait))
	}
}

func (d *Daemon) sendLeases(out []watermaster.Send) {
	for _, s := range out {
		d.send(s.To, s.Msg)
	}
}

func (d *Daemon) send(to string, m any) {
	if to == d.set.IPAddress {
		return
	}
	d.mainMu.Lock()
	p := d.mains[to]
	if p == nil {
		p = conduit.NewMain(d.set.PeerInternal(to, datum.PortHeadworks), d.set.IPAddress, d.onMessage)
		d.mains[to] = p
	}
	d.mainMu.Unlock()
	p.Send(m)
}

// peers are the other control machines that agree on the view, as known here.
func (d *Daemon) peers() []string {
	ps := slices.Clone(d.standing.Load().voters)
	if len(ps) == 0 {
		ps = slices.Clone(d.seeds)
	}
	return slices.DeleteFunc(ps, func(p string) bool { return p == d.set.IPAddress })
}

// controls are all of them, this one too unless it only relays.
func (d *Daemon) controls() []string {
	ps := d.peers()
	if !d.relay {
		ps = append(ps, d.set.IPAddress)
	}
	slices.Sort(ps)
	return ps
}

// step runs the chain machine and carries out what comes of it.
func (d *Daemon) step(f func() []any) {
	d.chainMu.Lock()
	out := f()
	d.snapshot()
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
			d.book.Note("view", fmt.Sprintf("%d %v of %d voters from %d/%d", o.View.Num, addrs(o.View), len(o.View.Voters), o.View.From.View, o.View.From.Seq))
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

// snapshot publishes what changed with a step, before any word of it leaves.
func (d *Daemon) snapshot() {
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
	if at, ok := d.chain.FreshAsOf(); ok {
		fresh := freshness{at, ver(d.chain.Committed())}
		if was := d.freshAsOf.Load(); was == nil || *was != fresh {
			d.freshAsOf.Store(&fresh)
		}
	}
	if at, ok := d.chain.Contact(); ok {
		d.contact.Store(max(int64(at), 1))
	} else {
		d.contact.Store(0)
	}
}

// committed puts a version in force here: for the proxies, for the trackers,
// and for the operators that wait.
func (d *Daemon) committed(doc scheme.Doc) {
	d.mu.Lock()
	old := d.inForce.Load()
	if old != nil && !old.Stamp.Less(doc.Stamp) {
		d.mu.Unlock()
		return
	}
	d.inForce.Store(&doc)
	d.mu.Unlock()
	if doc.Raw != nil && (old == nil || old.Version < doc.Version) {
		s, err := scheme.Read(doc.Raw)
		if err != nil {
			panic("headworks: an invalid configuration was committed: " + err.Error())
		}
		d.scheme.Store(s)
		d.gates.SetQuotas(d.now(), weir.Quotas(s))
		d.book.Note("config", fmt.Sprintf("r%d in force", doc.Version))
	}
	if was, is := fmt.Sprint(old.Evacuated()), fmt.Sprint(doc.Evacuated()); was != is {
		d.book.Note("evacuations", is)
	}
	d.pen.Publish()
	d.waitMu.Lock()
	for ch, v := range d.waits {
		if doc.Ledger.Settled(v) {
			close(ch)
			delete(d.waits, ch)
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
	at := time.Duration(d.contact.Load())
	return at > 0 && d.now()-at <= datum.ContactFresh
}

// stoodStill says whether this process has just been frozen, or starved of its
// processor: what it reads now may have been sent long ago, by callers that have gone.
func (d *Daemon) stoodStill() bool {
	now := d.now()
	at := time.Duration(d.stepped.Load())
	return at > 0 && now-at > datum.ThawGap || d.thawed.Load() > 0 && now-time.Duration(d.thawed.Load()) < datum.ThawQuiet
}

// advance is the chain's regular step.
func (d *Daemon) advance() {
	now := d.now()
	if at := time.Duration(d.stepped.Swap(int64(now))); at > 0 && now-at > datum.ThawGap {
		d.thawed.Store(int64(now))
		d.book.Count("stood_still", 1)
	}
	d.step(func() []any { return d.chain.Tick(d.now()) })
	if g := d.standing.Load(); !g.joined && now-d.waitSaid > datum.JoinSay {
		d.waitSaid = now
		d.book.Note("waiting", fmt.Sprintf("no view has taken this machine in; known: view %d of %d voters, asked: %v. If no control machine has a view, a first start was cut short before a majority of the seeds had written: start those with empty disks and bootstrap true",
			g.view, len(g.voters), d.peers()))
	}
}

// face is what proxies are told.
func (d *Daemon) face() penstock.Face {
	f := penstock.Face{ConfigDoc: d.inForce.Load()}
	if s := d.freshAsOf.Load(); s != nil {
		f.SureVersion, f.SureAge = s.version, d.now()-s.at
	}
	f.Current = d.current()
	f.Zone = d.set.Zone
	if f.ConfigDoc != nil {
		f.Version = f.ConfigDoc.Version
		f.StateNum, f.Evacuated = f.ConfigDoc.OrderNum(), f.ConfigDoc.Evacuated()
	}
	if c := d.coming.Load(); c != nil && c.version > f.Version {
		f.ComingVer, f.Coming = c.version, c.quotas
	}
	d.leaseMu.Lock()
	for i := range d.set.Trackers() {
		f.Trackers = append(f.Trackers, d.leases.Holder(d.now(), dutyTrack(i)))
	}
	if d.set.Does(sill.DutyUsage) {
		f.Metered = d.leases.Holder(d.now(), sill.DutyUsage)
	}
	if d.set.Does(sill.DutyScaling) {
		f.Scaler = d.leases.Holder(d.now(), sill.DutyScaling)
	}
	d.leaseMu.Unlock()
	if at, ok := d.clock.Now(d.now()); ok {
		f.Wall = at.UnixNano()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.controls() {
		p := d.where[a]
		if p.Addr = a; a == d.set.IPAddress {
			p.Zone, p.Region = d.set.Zone, d.set.Region
		}
		f.Peers = append(f.Peers, p)
	}
	f.Upstreams = d.list
	if d.list != nil {
		f.ListNum = d.list.Num
		f.ListAge = time.Since(d.listOK)
	}
	if d.rosterIn {
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
func (d *Daemon) onMessage(p *conduit.Pipe, body any) any {
	if d.accounts != nil {
		if answer, mine := d.accounts.Message(p.Remote, body); mine {
			return answer
		}
	}
	switch m := body.(type) {
	case conduit.Incompatible:
		d.book.Note("protocol_incompatible", m.String())
	case penstock.Tap:
		if d.relay {
			// Where to turn is all it can tell.
			return penstock.News{Zone: d.set.Zone, Peers: d.face().Peers}
		}
		d.seen(m)
		d.mu.Lock()
		d.listTop = max(d.listTop, m.ListNum)
		d.mu.Unlock()
		return d.pen.Tapped(p, m)
	case weir.AskGrants:
		now := d.now()
		return d.gates.Ask(now, m, func(shard int) (time.Duration, bool) {
			d.leaseMu.Lock()
			defer d.leaseMu.Unlock()
			return d.leases.Holds(now, dutyTrack(shard))
		})
	case watermaster.Ask, watermaster.Grant, watermaster.Release:
		d.leaseMu.Lock()
		out := d.leases.Recv(d.now(), p.Remote, m)
		d.leaseMu.Unlock()
		d.sendLeases(out)
	case usage.Handover:
		d.takeHandover(m)
	case usage.Told:
		return d.takeUsage(m)
	case scaling.Told:
		return d.takeLoad(m)
	case Roster:
		d.takeRoster(m)
	case ListNews:
		if !d.takeList(m) {
			d.send(p.Remote, ListAsk{})
		}
	case ListAsk:
		d.mu.Lock()
		l, age := d.list, time.Since(d.listOK)
		d.mu.Unlock()
		if l != nil {
			d.send(p.Remote, ListNews{l.Num, intake.Diff(nil, l), age})
		}
	default:
		if g, ok := body.(Gauge); ok {
			d.mu.Lock()
			d.where[p.Remote] = penstock.Peer{Addr: p.Remote, Zone: g.Zone, Region: g.Region}
			if !g.Relay {
				d.clock.Hear(p.Remote, g.Wall, d.now())
			}
			d.mu.Unlock()
		}
		d.step(func() []any { return d.chain.Recv(d.now(), p.Remote, body) })
	}
	return nil
}

// ---- the roster of proxies

// seen notes a proxy's word. A newcomer gets a share of the split quotas only
// after every other proxy that has one has said that it reckons with the larger
// count, so that the shares in use never add up to more than the whole.
func (d *Daemon) seen(t penstock.Tap) {
	node, count := t.Node, t.Proxies
	var place gazetteer.Place
	if d.directory() {
		place = gazetteer.Place{Front: t.Front, Zone: t.Zone, Region: t.Region, Ready: t.Ready}
		if d.places.Tell(d.now(), node, place, t.Full) {
			w := Roster{Words: map[string]Word{node: {Count: count, Place: place}}}
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
	e.at, e.count, e.place = time.Now(), count, place
	e.direct = e.at
	grew := d.admitLocked()
	d.mu.Unlock()
	if !known {
		d.book.Note("proxy", node+" joined")
	}
	if grew {
		d.keepRoster()
	}
	if !known || grew {
		d.pen.Publish()
	}
}

// admitLocked lets newcomers share once that is safe; true when any did.
func (d *Daemon) admitLocked() bool {
	if !d.rosterIn {
		// The very first start: nobody has been told a count yet.
		if !d.set.Bootstrap || time.Since(d.began) < datum.RosterQuiet || len(d.roster) == 0 {
			return false
		}
		d.rosterIn = true
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
	near, far := Roster{Words: map[string]Word{}}, Roster{Words: map[string]Word{}}
	changed := false
	facts := d.staff.Members()
	d.mu.Lock()
	d.turns++
	// A proxy that cannot reach this machine but lives, as others vouch, stays
	// on the roster.
	for _, f := range facts {
		host, _, _ := net.SplitHostPort(f.Addr)
		if e := d.roster[host]; e != nil && f.State == staff.Alive && f.Addr == d.set.PeerInternal(host, datum.PortStaffSluice) {
			e.at = time.Now()
		}
	}
	var shares []string
	for a, e := range d.roster {
		if time.Since(e.at) > datum.ProxyForget {
			delete(d.roster, a)
			changed = true
			continue
		}
		if age := time.Since(e.direct); age < datum.TapSilence { // the others' own proxies are theirs to tell of
			w := Word{age, e.count, e.place}
			far.Words[a] = w
			if e.told.Count != w.Count || e.told.Place != w.Place || time.Since(e.toldAt) >= datum.RosterWord {
				near.Words[a], e.told, e.toldAt = w, w, time.Now()
			}
		}
		if e.shares {
			shares = append(shares, a)
		}
	}
	slices.Sort(shares)
	if d.turns%datum.RosterWhole == 0 || !slices.Equal(shares, d.sharesTold) {
		near.Shares, far.Shares, d.sharesTold = shares, shares, shares
	}
	farToo := d.turns%datum.RosterFar == 0 || far.Shares != nil
	where := maps.Clone(d.where)
	changed = d.admitLocked() || changed
	d.mu.Unlock()
	if changed {
		d.keepRoster()
		d.pen.Publish()
	}
	for _, p := range d.peers() {
		if where[p].Region == d.set.Region {
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
			d.roster[a] = &proxyEntry{at: at, count: w.Count, place: w.Place}
			grew = true
		} else if at.After(e.at) {
			e.at, e.count, e.place = at, w.Count, w.Place
		}
		if d.directory() {
			d.places.Hear(d.now(), a, w.Place, w.Age)
		}
	}
	for _, a := range m.Gone {
		d.places.Gone(d.now(), a, false)
	}
	if len(m.Shares) > 0 {
		d.rosterIn = true
		for _, a := range m.Shares {
			if e := d.roster[a]; e != nil && !e.shares {
				e.shares, grew = true, true
			}
		}
	}
	d.mu.Unlock()
	if grew {
		d.keepRoster()
		d.pen.Publish()
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
	is, err := d.polls.Read(ctx)
	if err != nil {
		d.book.Count("poll_failed", 1)
		if first {
			d.mu.Lock()
			d.bootRead, d.bootTurn = false, d.now()+datum.BootAgain
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
	num := d.listTop
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
	case d.list.Num != num || !intake.Same(d.list.Instances, is):
		num++
	default:
		changed = false
	}
	d.pollSince = since
	before := d.list
	// A list that is the same keeps its number; how long its upstreams stay cold
	// is taken anew, to notice one that turns cold again.
	d.list, d.listTop = &intake.List{Num: num, Instances: is}, max(num, d.listTop)
	d.listOK = time.Now()
	n := ListNews{Num: num}
	if changed {
		n.Change = intake.Diff(before, d.list)
	}
	d.mu.Unlock()
	for _, p := range d.peers() { // with the duty, or as the first to know any list
		d.send(p, n)
	}
	if changed {
		d.book.Count("list_changed", 1)
		d.pen.Publish()
	}
}

// firstNumber is where a new holder of the poll duty begins to number its lists:
// above all it has heard of, and apart from another that has heard the same.
func firstNumber(heard, lot uint64) uint64 {
	return (heard/datum.ListStride+1)*datum.ListStride + lot%(datum.ListStride/2)
}

// bootNumber is the number of a list read without the duty.
func bootNumber(lot uint64) uint64 { return 1 + lot%(datum.ListStride-1) }

// takeList is false when the news does not fit what is held here.
func (d *Daemon) takeList(m ListNews) bool {
	d.mu.Lock()
	d.listTop = max(d.listTop, m.Num)
	took := false
	if m.Change != nil && (d.list == nil || m.Num > d.list.Num) {
		if l, fits := m.Change.Apply(d.list); fits {
			d.list, took = l, true
		}
	}
	ok := d.list != nil && d.list.Num == m.Num
	missed := d.list == nil || d.list.Num < m.Num
	if at := time.Now().Add(-m.Age); ok && at.After(d.listOK) {
		d.listOK = at
	}
	d.mu.Unlock()
	if took {
		d.pen.Publish()
	}
	return !missed
}

// Reload reads the settings file again. A control machine takes nothing from
// it while it runs; the file is checked and the finding noted.
func (d *Daemon) Reload(path string) func() {
	return func() {
		if _, err := sill.Load(path, "controlPlane"); err != nil {
			d.book.Note("settings_refused", err.Error())
			return
		}
		d.book.Note("settings", "read again")
	}
}
