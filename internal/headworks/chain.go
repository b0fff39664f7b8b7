// Package headworks is where water enters the system; in the field's terms:
// the control plane's core. The disk machines form a chain: a configuration
// enters at the head, is synced by every member in turn, and is committed at
// the tail. A small view (number and ordered members), agreed by a majority of
// the machines, says who the chain is.
package headworks

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"slateridge/internal/conduit"
	"slateridge/internal/datum"
	"slateridge/internal/duty"
	"slateridge/internal/scheme"
)

// Member is a machine and the life of its disk: a machine whose disk came back
// empty is another member.
type Member struct {
	Addr        string
	Incarnation uint64
}

// View is the agreed chain. Voters are the machines that agree on the view after
// it, members or not; Epoch is the number of the view that last changed their
// addresses. From is the state all members held when the view was agreed.
type View struct {
	Num     uint64
	Members []Member
	Voters  []Member
	Epoch   uint64
	From    scheme.Stamp
}

func (v View) votes(m Member) bool { return slices.Contains(v.Voters, m) }

// VoterAddrs lists the voters' addresses, sorted.
func (v View) VoterAddrs() []string {
	var out []string
	for _, m := range v.Voters {
		out = append(out, m.Addr)
	}
	sort.Strings(out)
	return out
}

func (v View) index(addr string) int {
	return slices.IndexFunc(v.Members, func(m Member) bool { return m.Addr == addr })
}

func (v View) has(m Member) bool { return slices.Contains(v.Members, m) }

// Ballot orders attempts to agree on one view.
type Ballot struct {
	Round uint64
	Addr  string
}

func (b Ballot) less(o Ballot) bool {
	return b.Round < o.Round || b.Round == o.Round && b.Addr < o.Addr
}

// Messages between headworks.
type (
	// Gauge is the regular word of one machine about itself.
	Gauge struct {
		Me              Member
		View            View
		Joined, Sealed  bool
		Sick            bool
		Zone, Region    string
		Relay           bool // has no say: it has no disk, or is not counted
		Asks            bool // wants a gauge back: a relay, or a machine that no view has taken in yet
		Committed, Held scheme.Stamp
		Version         uint64 // of the configuration in force
		Wall            int64  // its time of day, in nanoseconds
		At, Echo        uint64 // a moment of the sender's, and the latest of the receiver's that reached it
		Dropped         uint64 // words on duties from who has no vote
	}
	// Prepare asks for a promise, which seals the view before the slot.
	Prepare struct {
		Slot   uint64
		Ballot Ballot
		Held   scheme.Stamp
	}
	Promise struct {
		Slot     uint64
		Ballot   Ballot
		Me       Member
		Accepted Ballot // zero: nothing accepted
		View     View
		Held     *scheme.Doc // when newer than the asker's
		HeldAt   scheme.Stamp
	}
	// Nack tells a proposer of a higher ballot.
	Nack struct {
		Slot     uint64
		Promised Ballot
	}
	// Sync brings a member of a view to be to the state it starts from.
	Sync struct {
		Slot   uint64
		Ballot Ballot
		Doc    *scheme.Doc
	}
	Synced struct {
		Slot   uint64
		Ballot Ballot
		Me     Member
		HeldAt scheme.Stamp
		Held   *scheme.Doc // when newer
	}
	Accept struct {
		Slot   uint64
		Ballot Ballot
		View   View
	}
	Accepted struct {
		Slot   uint64
		Ballot Ballot
		Me     Member
	}
	Decide struct{ View View }
	// Pass hands a state down the chain. A bare one leaves out the configuration,
	// which every member holds once it has been committed; a member that does not
	// says so.
	Pass struct {
		View uint64
		Doc  scheme.Doc
		Bare bool
	}
	Lack struct {
		View  uint64
		Stamp scheme.Stamp
	}
	// Ack tells all members what the tail has committed.
	Ack struct {
		View  uint64
		Stamp scheme.Stamp
	}
	// Higher gives the head a newer version that a later member holds.
	Higher struct {
		View uint64
		Doc  scheme.Doc
	}
	// Forward brings an operator's configuration to the head.
	Forward struct{ Doc scheme.Doc }
	// Order starts or stops the evacuation of a zone. It is taken only while
	// the zone's count of orders is still Base: one that was held up on its way
	// must not undo what was ordered since.
	Order struct {
		ID   uint64
		Zone string
		On   bool
		Base uint64
	}
	// Confirm asks whether a view still stands unsealed.
	Confirm struct{ View, Nonce uint64 }
	// Confirmed answers it.
	Confirmed struct {
		Nonce uint64
		Me    Member
	}
	// Read asks the tail for what is committed; Answer brings it.
	Read   struct{ ID uint64 }
	Answer struct {
		ID  uint64
		Doc *scheme.Doc
	}
	// Fetch asks for a committed version newer than Have; Fetched brings it.
	Fetch   struct{ Have scheme.Stamp }
	Fetched struct{ Doc scheme.Doc }
)

func init() {
	for _, m := range []any{Gauge{}, Prepare{}, Promise{}, Nack{}, Sync{}, Synced{}, Accept{}, Accepted{}, Decide{}, Pass{}, Lack{}, Ack{}, Higher{},
		Forward{}, Order{}, Confirm{}, Confirmed{}, Read{}, Answer{}, Fetch{}, Fetched{}} {
		conduit.Register(m)
	}
}

// Outcomes of a step.
type (
	// Send is a message to another machine.
	Send struct {
		To  string
		Msg any
	}
	// Commit tells that a version is in force for good.
	Commit struct{ Doc scheme.Doc }
	// ReadDone ends a read; Doc is nil when there is no configuration yet.
	ReadDone struct {
		ID  uint64
		Doc *scheme.Doc
	}
	// Moved tells of a new view.
	Moved struct{ View View }
)

// Store keeps what must outlast the process.
type Store interface {
	Get(key string, v any) bool
	Put(key string, v any) error
	Sick() bool
	Mend() error
}

// agreement is the acceptor's durable state for the slot after the view.
type agreement struct {
	View     View
	Joined   bool
	Promised Ballot
	Accepted Ballot
	Next     View
}

type peerState struct {
	gauge    Gauge
	echoed   time.Duration // moment here that its last gauge follows; negative: none known
	heard    time.Duration // last gauge
	since    time.Duration // first gauge of the present run of them
	everSeen bool
}

// round is one attempt of this machine at the next view.
type round struct {
	slot     uint64
	ballot   Ballot
	began    time.Duration
	promises map[string]Promise // of voters
	chosen   []Member
	doc      *scheme.Doc
	synced   map[string]bool
	value    *View
	accepted map[Member]bool
	fixed    bool // the value was accepted before, by another's round
}

type reading struct {
	id    uint64
	from  string // "" is this machine
	nonce uint64
	began time.Duration
	sent  time.Duration
	yes   map[Member]bool // voters, this one too, that have confirmed the view unsealed
}

// Chain is one machine's part in the chain and in agreeing on the view.
type Chain struct {
	Me Member
	// Relay is set on a machine without a say; Tolerate is how many disks may be
	// lost at once: a promise stands on more.
	Relay        bool
	Zone, Region string
	Tolerate     int
	Wall         func() int64 // the time of day, to tell others; nil where there is none

	peers []string // control machines known, this one too: voters, seeds, and who spoke up
	store Store
	rng   *rand.Rand

	agr       agreement
	held      *scheme.Doc
	committed *scheme.Doc

	seen      map[string]*peerState
	now       time.Duration
	started   time.Duration
	gaugeAt   time.Duration
	turn      int // a relay's: whom it asked last
	passAt    time.Duration
	fetchAt   time.Duration
	mendAt    time.Duration
	troubleAt time.Duration // since when a change of view is wanted
	rounds    uint64
	round     *round
	wanted    map[uint64]scheme.Doc // an operator's changes not yet committed
	wantAt    map[uint64]time.Duration
	orders    map[uint64]Order // likewise, evacuations
	orderAt   map[uint64]time.Duration
	reads     []*reading
	nonce     uint64
	stampBase uint64        // moments of this life are told apart from those of others by it
	surely    time.Duration // nothing newer than what is committed here had been committed at this moment; negative: never known
	out       []any
	raws      [2]rawRef // configurations on disk; states name them
	Dropped   uint64
}

// rawRef is a configuration kept apart from the states that hold it.
type rawRef struct {
	Version, Sum uint64
	Raw          []byte
}

func (r rawRef) of(d *scheme.Doc) bool { return d != nil && r.Version == d.Version && r.Sum == d.Sum }

var rawKeys = [2]string{"raw0", "raw1"}

// NewChain builds the machine from its store, knowing some control machines.
// With founding set and an empty store the first view is made of them; otherwise
// a machine without a history takes part in nothing until a view takes it in.
func NewChain(now time.Duration, addr string, peers []string, founding bool, store Store, rng *rand.Rand) (*Chain, error) {
	c := &Chain{peers: slices.Clone(peers), store: store, rng: rng, now: now, started: now,
		seen: map[string]*peerState{}, wanted: map[uint64]scheme.Doc{}, wantAt: map[uint64]time.Duration{},
		orders: map[uint64]Order{}, orderAt: map[uint64]time.Duration{}}
	c.meet(addr)
	sort.Strings(c.peers)
	var inc uint64
	if !store.Get("incarnation", &inc) {
		inc = rng.Uint64() | 2
		a := agreement{}
		if founding {
			inc = 1
			a.Joined = true
			a.View.Num, a.View.Epoch = 1, 1
			for _, p := range c.peers {
				a.View.Members = append(a.View.Members, Member{p, 1})
			}
			a.View.Voters = slices.Clone(a.View.Members)
		}
		if err := store.Put("agreement", a); err != nil {
			return nil, err
		}
		if err := store.Put("incarnation", inc); err != nil {
			return nil, err
		}
	}
	c.Me = Member{addr, inc}
	store.Get("agreement", &c.agr)
	if v := &c.agr.View; len(v.Voters) == 0 && len(v.Members) > 0 {
		// Written before views named their voters: those were fixed, and those
		// of them outside the view are strangers until it takes them in.
		var old []string
		store.Get("peers", &old)
		v.Voters, v.Epoch = slices.Clone(v.Members), 1
		for _, p := range old {
			if v.index(p) < 0 {
				v.Voters = append(v.Voters, Member{Addr: p})
			}
		}
	}
	for _, m := range c.agr.View.Voters {
		c.meet(m.Addr)
	}
	var d scheme.Doc
	if store.Get("held", &d) {
		if d.Stamp == (scheme.Stamp{}) {
			d.Stamp.Seq = d.Version // written when versions alone ordered states
		}
		if d.Raw != nil && d.Sum == 0 {
			d.Sum = scheme.SumOf(d.Raw)
		}
		for i, k := range rawKeys {
			var r rawRef
			if store.Get(k, &r) {
				if r.of(&d) && d.Raw == nil {
					d.Raw = r.Raw
				}
				r.Raw = nil
				c.raws[i] = r
			}
		}
		if d.Raw == nil && d.Version > 0 {
			return nil, errors.New("the configuration that the kept state names is not there")
		}
		c.held = &d
	}
	c.nonce, c.stampBase, c.surely = rng.Uint64(), rng.Uint64()>>1, -1
	c.rounds = c.agr.Promised.Round
	return c, nil
}

func ver(d *scheme.Doc) uint64 {
	if d == nil {
		return 0
	}
	return d.Version
}

// at is a state's place in the order; nothing is before all.
func at(d *scheme.Doc) scheme.Stamp {
	if d == nil {
		return scheme.Stamp{}
	}
	return d.Stamp
}

// meet makes a control machine known.
func (c *Chain) meet(addr string) {
	if addr != "" && !slices.Contains(c.peers, addr) {
		c.peers = append(c.peers, addr)
		sort.Strings(c.peers)
	}
}

// majority is how many voters of the present view decide on the next.
func (c *Chain) majority() int { return len(c.agr.View.Voters)/2 + 1 }

// View is the newest view known here.
func (c *Chain) View() View { return c.agr.View }

// Committed is the newest configuration known to be in force, or nil.
func (c *Chain) Committed() *scheme.Doc { return c.committed }

// Member says whether this machine is in the view, and sealed whether it has
// promised to leave that view.
func (c *Chain) member() bool { return c.agr.Joined && c.agr.View.has(c.Me) }
func (c *Chain) sealed() bool { return c.agr.Promised != Ballot{} }

// Status describes this machine for operators.
func (c *Chain) Status() Gauge { return c.gauge() }

func (c *Chain) gauge() Gauge {
	g := Gauge{Me: c.Me, View: c.agr.View, Joined: c.agr.Joined, Asks: c.Relay || !c.agr.Joined, Sealed: c.sealed(), Sick: c.store.Sick(), Relay: c.Relay, Zone: c.Zone, Region: c.Region,
		Committed: at(c.committed), Held: at(c.held), Version: ver(c.committed), Dropped: c.Dropped}
	if c.Wall != nil {
		g.Wall = c.Wall()
	}
	return g
}

func (c *Chain) send(to string, m any) {
	if to == c.Me.Addr {
		c.take(to, m)
		return
	}
	c.out = append(c.out, Send{to, m})
}

func (c *Chain) others(f func(p string)) {
	for _, p := range c.peers {
		if p != c.Me.Addr {
			f(p)
		}
	}
}

func (c *Chain) flush() []any {
	out := c.out
	c.out = nil
	return out
}

// tell sends a machine this one's gauge.
func (c *Chain) tell(p string) {
	g := c.gauge()
	if s := c.seen[p]; s != nil && s.gauge.View.Num >= g.View.Num {
		g.View = View{Num: g.View.Num} // it has that view; its number is enough
	}
	g.At = c.stampBase + uint64(c.now)
	if s := c.seen[p]; s != nil {
		g.Echo = s.gauge.At
	}
	c.send(p, g)
}

// ask has a relay look at one machine after the other: whose answer came last
// is where it sends those who call it.
func (c *Chain) ask() {
	if c.now < c.gaugeAt {
		return
	}
	c.gaugeAt = c.now + datum.RelayEvery
	for range c.peers {
		c.turn++
		if p := c.peers[c.turn%len(c.peers)]; p != c.Me.Addr {
			c.tell(p)
			return
		}
	}
}

// Ahead is the machine with a say that was heard last, for a relay to send its
// callers to; none when nobody was heard lately.
func (c *Chain) Ahead() (addr string, ok bool) {
	last := c.now - datum.RelayFresh
	for p, s := range c.seen {
		if s.gauge.Joined && !s.gauge.Relay && s.heard > last {
			addr, last, ok = p, s.heard, true
		}
	}
	return addr, ok
}

// Tick advances time.
func (c *Chain) Tick(now time.Duration) []any {
	c.now = now
	if c.Relay {
		c.ask()
		return c.flush()
	}
	if now >= c.gaugeAt {
		c.gaugeAt = now + datum.GaugeEvery
		c.others(c.tell)
	}
	if c.store.Sick() && now >= c.mendAt {
		c.mendAt = now + datum.MemberSilence
		c.store.Mend()
	}
	c.drive()
	c.mendView()
	c.lookSure()
	return c.flush()
}

// lookSure works out since when this machine is sure to know what is committed. A
// state that is committed is held by every member of its view. So once so many voters
// that one of them must be a member have told, after some moment, of nothing newer than
// what is committed here, nothing newer had been committed in this view at that moment;
// and with a majority of them unsealed after it, no later view had been decided. Their
// words count from the moment of this machine's that they follow, however long they
// were under way.
func (c *Chain) lookSure() {
	if !c.agr.Joined || c.committed == nil || c.Relay || c.sealed() {
		return
	}
	var since []time.Duration
	for _, v := range c.agr.View.Voters {
		if v == c.Me {
			if at(c.committed) == at(c.held) {
				since = append(since, c.now)
			}
			continue
		}
		s := c.seen[v.Addr]
		if s == nil || s.gauge.Me != v || s.echoed < 0 || !s.gauge.Joined || s.gauge.Sealed {
			continue
		}
		if s.gauge.View.Num > c.agr.View.Num || at(c.committed).Less(s.gauge.Held) {
			continue // it knows more, or may
		}
		since = append(since, s.echoed)
	}
	v := c.agr.View
	if n := max(c.majority(), len(v.Voters)-len(v.Members)+1); len(since) >= n {
		slices.SortFunc(since, func(a, b time.Duration) int { return int(b - a) })
		c.surely = max(c.surely, since[n-1])
	}
}

// Surely is the moment at which nothing newer than what is committed here had been
// committed; false while none is known.
func (c *Chain) Surely() (time.Duration, bool) { return c.surely, c.surely >= 0 }

// Submit takes an operator's valid change; it is committed, or overtaken, when
// a Commit of its version or a higher one comes out.
func (c *Chain) Submit(now time.Duration, d scheme.Doc) []any {
	c.now = now
	if d.Version > ver(c.committed) {
		c.wanted[d.Version] = d
		c.wantAt[d.Version] = now
		c.forward(d)
	}
	return c.flush()
}

// Evacuate takes an operator's order on a zone; it is committed when a Commit
// comes out whose state names its ID.
func (c *Chain) Evacuate(now time.Duration, id uint64, zone string, on bool) []any {
	c.now = now
	c.orders[id], c.orderAt[id] = Order{ID: id, Zone: zone, On: on}, now
	c.forwardOrder(c.orders[id])
	return c.flush()
}

func (c *Chain) forwardOrder(o Order) {
	if len(c.agr.View.Members) == 0 {
		return
	}
	if c.committed != nil {
		o.Base = c.committed.Evac[o.Zone].Num
	}
	c.send(c.agr.View.Members[0].Addr, o)
}

// Give up on forwarding changes whose caller has been answered.
func (c *Chain) expire() {
	for v, at := range c.wantAt {
		if v <= ver(c.committed) || c.now-at > datum.SubmitWait {
			delete(c.wanted, v)
			delete(c.wantAt, v)
		}
	}
	for id, since := range c.orderAt {
		if c.now-since > datum.SubmitWait || c.committed != nil && slices.Contains(c.committed.Evac[c.orders[id].Zone].IDs, id) {
			delete(c.orders, id)
			delete(c.orderAt, id)
		}
	}
}

func (c *Chain) forward(d scheme.Doc) {
	if len(c.agr.View.Members) > 0 {
		c.send(c.agr.View.Members[0].Addr, Forward{d})
	}
}

// Read starts a read of what is in force.
func (c *Chain) Read(now time.Duration, id uint64) []any {
	c.now = now
	if m := c.agr.View.Members; len(m) > 0 {
		c.send(m[len(m)-1].Addr, Read{id})
	}
	return c.flush()
}

// Recv takes a message.
func (c *Chain) Recv(now time.Duration, from string, msg any) []any {
	c.now = now
	if g, ok := msg.(Gauge); ok {
		if g.Relay {
			// It is told what it asks for and else left alone, however many there
			// are of its kind.
			if c.Relay {
				c.learn(g.View)
			}
		} else {
			c.meet(from)
			c.onGauge(from, g)
		}
		if g.Asks {
			c.tell(from)
		}
		return c.flush()
	}
	if slices.Contains(c.peers, from) {
		c.take(from, msg)
	}
	return c.flush()
}

func (c *Chain) take(from string, msg any) {
	switch m := msg.(type) {
	case Prepare:
		c.onPrepare(from, m)
	case Promise:
		c.onPromise(from, m)
	case Nack:
		if r := c.round; r != nil && m.Slot == r.slot && r.ballot.less(m.Promised) {
			c.rounds = max(c.rounds, m.Promised.Round)
			c.yield()
		}
	case Sync:
		c.onSync(from, m)
	case Synced:
		c.onSynced(from, m)
	case Accept:
		c.onAccept(from, m)
	case Accepted:
		c.onAccepted(from, m)
	case Decide:
		c.learn(m.View)
	case Pass:
		c.onPass(from, m)
	case Ack:
		if m.View == c.agr.View.Num && c.member() {
			c.commitAt(m.Stamp)
		}
	case Higher:
		if m.View == c.agr.View.Num {
			c.admit(&m.Doc)
		}
	case Lack:
		if v := c.agr.View; m.View == v.Num && c.member() && !c.sealed() && at(c.held) == m.Stamp {
			if i := v.index(c.Me.Addr); i+1 < len(v.Members) && v.Members[i+1].Addr == from {
				c.send(from, Pass{View: v.Num, Doc: *c.held})
			}
		}
	case Forward:
		if m.Doc.Version > ver(c.held) {
			d := c.nextState()
			d.Version, d.Raw, d.Sum, d.Ordered = m.Doc.Version, m.Doc.Raw, scheme.SumOf(m.Doc.Raw), d.Stamp
			c.admit(&d)
		} else {
			c.admit(nil)
		}
	case Order:
		c.onOrder(m)
	case duty.Order:
		if !slices.ContainsFunc(c.agr.View.Voters, func(v Member) bool { return v.Addr == from }) {
			c.Dropped++
			return
		}
		d := c.nextState()
		var changes bool
		if d.Duties, changes = d.Duties.Apply(m); changes {
			c.admit(&d)
		}
	case Confirm:
		if c.participant() && c.agr.View.votes(c.Me) && !c.sealed() && m.View == c.agr.View.Num {
			c.send(from, Confirmed{m.Nonce, c.Me})
		}
	case Confirmed:
		c.onConfirmed(from, m)
	case Read:
		c.onRead(from, m)
	case Answer:
		c.out = append(c.out, ReadDone{m.ID, m.Doc})
	case Fetch:
		if m.Have.Less(at(c.committed)) {
			c.send(from, Fetched{*c.committed})
		}
	case Fetched:
		c.commit(m.Doc)
	}
}

func (c *Chain) onGauge(from string, g Gauge) {
	p := c.seen[from]
	if p == nil {
		p = &peerState{}
		c.seen[from] = p
	}
	if !p.everSeen || c.now-p.heard > datum.MemberSilence || p.gauge.Me != g.Me {
		p.since = c.now
		if c.agr.View.index(from) >= 0 {
			c.passAt = 0 // what was passed while it was not there has been lost
		}
	}
	p.everSeen, p.heard, p.gauge = true, c.now, g
	p.echoed = -1
	if since := g.Echo - c.stampBase; since <= uint64(c.now) {
		p.echoed = time.Duration(since)
	}
	c.learn(g.View)
	if at(c.committed).Less(g.Committed) && !c.Relay {
		// Copies found old are mended: from what is held here when it is that
		// very version, or else by asking for it.
		if at(c.held) == g.Committed {
			c.commit(*c.held)
		} else if c.now >= c.fetchAt {
			c.fetchAt = c.now + datum.GaugeEvery
			c.send(from, Fetch{at(c.committed)})
		}
	}
}

// keep makes a state durable here if it is newer than what is held. Its
// configuration is written only when it is another one: a duty's decisions are
// many and small.
func (c *Chain) keep(d scheme.Doc) bool {
	if !at(c.held).Less(d.Stamp) {
		return true
	}
	if d.Version > 0 && !c.raws[0].of(&d) && !c.raws[1].of(&d) {
		if d.Raw == nil {
			return false // it should have come whole; whoever sent it sends it again
		}
		i := 0
		if c.raws[0].of(c.held) {
			i = 1
		}
		if c.store.Put(rawKeys[i], rawRef{d.Version, d.Sum, d.Raw}) != nil {
			c.raws[i] = rawRef{} // may or may not be there
			return false
		}
		c.raws[i] = rawRef{Version: d.Version, Sum: d.Sum}
	}
	bare := d
	bare.Raw = nil
	if c.store.Put("held", bare) != nil {
		return false
	}
	c.held = &d
	return true
}

// commit takes a state that is known to be in force for good.
func (c *Chain) commit(d scheme.Doc) {
	if !at(c.committed).Less(d.Stamp) {
		return
	}
	c.committed = &d
	c.keep(d)
	c.expire()
	c.out = append(c.out, Commit{d})
}

func (c *Chain) commitAt(s scheme.Stamp) {
	if at(c.committed).Less(s) && at(c.held) == s {
		c.commit(*c.held)
	}
}

// ---- the chain

// nextStamp is the place of the head's next state.
func (c *Chain) nextStamp() scheme.Stamp {
	s := at(c.held)
	if s.View < c.agr.View.Num {
		return scheme.Stamp{View: c.agr.View.Num, Seq: 1}
	}
	return scheme.Stamp{View: s.View, Seq: s.Seq + 1}
}

// nextState is what is held, under the head's next stamp.
func (c *Chain) nextState() scheme.Doc {
	var d scheme.Doc
	if c.held != nil {
		d = *c.held
	}
	d.Stamp = c.nextStamp()
	return d
}

// Act takes a duty's order to the head; whether it was taken shows in what is
// committed.
func (c *Chain) Act(now time.Duration, o duty.Order) []any {
	c.now = now
	if m := c.agr.View.Members; len(m) > 0 {
		c.send(m[0].Addr, o)
	}
	return c.flush()
}

func (c *Chain) evacs() map[string]scheme.Evac {
	if c.held == nil {
		return nil
	}
	return c.held.Evac
}

// onOrder is an evacuation order at the head. Orders on a zone take effect in
// the order in which the head takes them; one it has taken before, or that was
// made knowing less than the head holds, changes nothing.
func (c *Chain) onOrder(o Order) {
	cur := c.evacs()[o.Zone]
	if slices.Contains(cur.IDs, o.ID) || cur.Num != o.Base {
		c.admit(nil)
		return
	}
	evac := map[string]scheme.Evac{}
	for z, e := range c.evacs() {
		evac[z] = e
	}
	ids := append(slices.Clone(cur.IDs), o.ID)
	evac[o.Zone] = scheme.Evac{On: o.On, Num: cur.Num + 1, IDs: ids[max(0, len(ids)-datum.OrderIDs):]}
	d := c.nextState()
	d.Evac, d.Ordered = evac, d.Stamp
	c.admit(&d)
}

// admit is the head's entry: a newer state, or nil to pass on what it holds.
func (c *Chain) admit(d *scheme.Doc) {
	if !c.member() || c.sealed() || c.agr.View.Members[0] != c.Me || d != nil && !c.keep(*d) {
		return
	}
	if d == nil && c.now < c.passAt {
		return // it is on its way
	}
	c.passAt = 0
	c.drive()
}

// drive sends on what the head holds and has not seen committed, and repeats
// what operators wait for.
func (c *Chain) drive() {
	c.expire()
	if c.now < c.passAt {
		return
	}
	c.passAt = c.now + datum.PassAgain
	if c.held != nil {
		// A large state is under way longer.
		if !c.held.SameRaw(c.committed) {
			c.passAt += time.Duration(len(c.held.Raw)*len(c.agr.View.Members)) * time.Second / datum.PassBytes
		}
	}
	if c.member() && !c.sealed() && at(c.committed).Less(at(c.held)) {
		head := c.agr.View.Members[0]
		if head == c.Me {
			c.pass(*c.held)
		} else if s := c.seen[head.Addr]; s != nil && s.gauge.Held.Less(at(c.held)) {
			c.send(head.Addr, Higher{c.agr.View.Num, *c.held})
		}
	}
	var vs []uint64
	for v := range c.wanted {
		vs = append(vs, v)
	}
	slices.Sort(vs)
	for _, v := range vs {
		if at, ok := c.wantAt[v]; ok && c.now > at && v > ver(c.held) {
			c.forward(c.wanted[v])
		}
	}
	var ids []uint64
	for id := range c.orders {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if since, ok := c.orderAt[id]; ok && c.now > since {
			c.forwardOrder(c.orders[id])
		}
	}
	for _, r := range c.reads {
		if len(r.yes) < c.majority() && c.now-r.sent >= datum.PassAgain {
			r.sent = c.now
			c.others(func(p string) { c.send(p, Confirm{c.agr.View.Num, r.nonce}) })
		}
	}
	c.reads = slices.DeleteFunc(c.reads, func(r *reading) bool { return c.now-r.began > datum.SubmitWait })
	c.answerReads()
}

// pass hands a version to the next member; the last one commits it.
func (c *Chain) pass(d scheme.Doc) {
	v := c.agr.View
	i := v.index(c.Me.Addr)
	if i+1 < len(v.Members) {
		p := Pass{View: v.Num, Doc: d, Bare: d.SameRaw(c.committed)}
		if p.Bare {
			p.Doc.Raw = nil
		}
		c.send(v.Members[i+1].Addr, p)
		return
	}
	c.commit(d)
	c.others(func(p string) { c.send(p, Ack{v.Num, d.Stamp}) })
	c.answerReads()
}

func (c *Chain) onPass(from string, m Pass) {
	v := c.agr.View
	if m.View != v.Num || !c.member() || c.sealed() {
		return
	}
	if i := v.index(c.Me.Addr); i == 0 || v.Members[i-1].Addr != from {
		return
	}
	if m.Bare && m.Doc.Version > 0 {
		if m.Doc.SameRaw(c.held) {
			m.Doc.Raw = c.held.Raw
		} else if at(c.held).Less(m.Doc.Stamp) {
			c.send(from, Lack{m.View, m.Doc.Stamp})
			return
		}
	}
	if !c.keep(m.Doc) {
		return
	}
	if m.Doc.Stamp.Less(at(c.held)) && at(c.committed).Less(m.Doc.Stamp) {
		// Something newer, never committed, was left here by a change of view:
		// the chain takes it up from the head, since the highest version holds.
		c.send(v.Members[0].Addr, Higher{v.Num, *c.held})
		return
	}
	if !at(c.committed).Less(m.Doc.Stamp) {
		c.others(func(p string) { c.send(p, Ack{v.Num, at(c.committed)}) })
		c.send(from, Fetched{*c.committed})
		return
	}
	c.pass(m.Doc)
}

// ---- reads

func (c *Chain) onRead(from string, m Read) {
	v := c.agr.View
	if !c.member() || v.Members[len(v.Members)-1] != c.Me {
		return
	}
	c.nonce++
	if from == c.Me.Addr {
		from = ""
	}
	r := &reading{id: m.ID, from: from, nonce: c.nonce, began: c.now, sent: c.now, yes: map[Member]bool{}}
	if c.agr.View.votes(c.Me) && !c.sealed() {
		r.yes[c.Me] = true
	}
	c.reads = append(c.reads, r)
	c.answerReads()
	if !c.sealed() {
		c.others(func(p string) { c.send(p, Confirm{v.Num, r.nonce}) })
	}
}

func (c *Chain) onConfirmed(from string, m Confirmed) {
	// Once a majority of the voters was unsealed after the read came, no later
	// view had been decided when it did.
	if !c.member() || c.sealed() || !c.agr.View.votes(m.Me) {
		return
	}
	for _, r := range c.reads {
		if r.nonce == m.Nonce {
			r.yes[m.Me] = true
		}
	}
	c.answerReads()
}

// answerReads answers confirmed reads once all that is held here has been
// committed: a tail that was started again has forgotten what it committed, but
// held it then, and what others tell of may be older.
func (c *Chain) answerReads() {
	if !c.member() || c.sealed() {
		return
	}
	if at(c.committed).Less(at(c.held)) {
		return
	}
	c.reads = slices.DeleteFunc(c.reads, func(r *reading) bool {
		if len(r.yes) < c.majority() {
			return false
		}
		if r.from == "" {
			c.out = append(c.out, ReadDone{r.id, c.committed})
		} else {
			c.send(r.from, Answer{r.id, c.committed})
		}
		return true
	})
}
