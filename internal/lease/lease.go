// Package lease assigns the single duties by leases that a majority of the control machines
// grants. The holder reckons its lease from before it asked, a grantor from after it granted
// and longer, both by the steady clock, so a holder has stopped before anyone else can
// start. A grantor that has just started grants nothing until every lease it may have
// granted before has ended. A holder that comes straight back may take up at once what the
// others still have granted to it: the incarnation that held it is over.
//
// Why there are never two holders, whatever the electorate does:
//
//   - Within one electorate two majorities share a grantor, and it grants to one
//     holder at a time: until its grant has run out, or that holder has given back
//     what its latest Request got. What another incarnation of the holder got is kept.
//   - Half of the others stand for a majority where a holder comes straight back: with
//     its own vote, which grants nothing yet, too few are left for a majority that
//     none of them is in.
//   - A new electorate is decided by a view that a majority of the voters before has
//     accepted. Who has accepted a view with another electorate is sealed and grants
//     nothing until it knows a newer view, or has accepted another in its place, which
//     shows that the first was not decided. So any lease of the old electorate has a
//     grantor that granted it before the decision, and ends at most LeaseLength after
//     the decision. Whoever grants in the new electorate has learned of it after the
//     decision and waits LeaseLength + LeaseMargin from then. The same holds view by
//     view for one that skips some. A view with the same electorate stops no grant.
//   - Numbers of electorates name them: words of another are dropped. A machine that
//     slept through a change is a minority of the old electorate with all that did.
//
// What that asks of who calls SetElectorate stands there.
package lease

import (
	"slices"
	"sort"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/transport"
)

type (
	// Request wants a lease or its renewal.
	Request struct {
		Duty  string
		Epoch uint64
		Nonce uint64
		Again bool // from a machine that has just started: only what is granted to it already
	}
	// Grant answers; OK false names who holds it instead.
	Grant struct {
		Duty   string
		Epoch  uint64
		Nonce  uint64
		OK     bool
		Holder string
	}
	// Release gives back the grant that answered a Request. A machine that stops in order
	// names who goes on: what it gives back is kept for that one for a moment.
	Release struct {
		Duty      string
		Nonce     uint64
		Successor string
	}
)

func init() {
	transport.Register(transport.NameLeaseRequest, Request{})
	transport.Register(transport.NameLeaseGrant, Grant{})
	transport.Register(transport.NameLeaseRelease, Release{})
}

// Send is a message to another machine.
type Send struct {
	To  string
	Msg any
}

type grant struct {
	holder                string
	nonce                 uint64 // of the holder's latest Request
	until                 time.Duration
	otherIncarnationUntil time.Duration // until when another incarnation of the holder may rely on it
}

// sameIncarnation says whether one incarnation of a machine asked both: the upper half of a nonce
// is the incarnation's number, the lower half counts.
func sameIncarnation(a, b uint64) bool { return a>>32 == b>>32 }

// round is one round of asking; several may be under way, since answers can take
// longer than the time between two.
type round struct {
	nonce       uint64
	reclaim     bool
	requestedAt time.Duration
	granted     map[string]bool
}

type claim struct {
	nonce         uint64        // of the latest question; 0: none counts
	rounds        []round       // the latest last
	until         time.Duration // holder's own reckoning; 0 when not held
	since         time.Duration // start of the unbroken holding
	nextRequestAt time.Duration
	notBefore     time.Duration // given up on purpose: not claimed before
	otherHeldAt   time.Duration // last heard that another holds it
	reservedUntil time.Duration // until when it is kept here for this machine, its holder having stopped
}

// Manager is one machine's part: it grants, and it claims.
type Manager struct {
	self      string
	epoch     uint64
	peers     []string // the electorate; empty while it is not known
	sealed    bool
	duties    []string
	startedAt time.Duration
	grants    map[string]grant
	claims    map[string]*claim
	nonce     uint64
	outbox    []Send

	Dropped uint64 // words from or to who has no vote, of another electorate, or on no duty
}

// New makes the machine, without an electorate; all machines name the same
// duties in the same order. incarnation is a number no earlier incarnation of this machine is
// likely to have had.
func New(now time.Duration, incarnation uint64, self string, duties []string) *Manager {
	manager := &Manager{self: self, duties: duties, startedAt: now, nonce: incarnation << 32, grants: map[string]grant{}, claims: map[string]*claim{}}
	for _, d := range duties {
		manager.claims[d] = &claim{}
	}
	return manager
}

// SetElectorate takes the machines whose majority grants, under the number of
// the view that made them so, and whether this machine has accepted a view with
// another electorate. A sealed machine grants nothing, and a majority is sealed before
// a new electorate is decided; whoever learns of one grants nothing until all that
// the old one granted has ended. So majorities of two electorates never meet.
//
// The caller owes that the number changes whenever the addresses do; that an acceptance
// is told here before the word of it leaves the machine, and no older word after it; and
// that a machine whose disk has forgotten what it accepted is told as sealed until a view
// names its new disk. TestWhatTheElectorateMustTell shows what comes of less.
func (manager *Manager) SetElectorate(now time.Duration, epoch uint64, peers []string, sealed bool) {
	if epoch < manager.epoch {
		return // told late
	}
	manager.sealed = sealed
	if epoch == manager.epoch {
		return
	}
	manager.epoch, manager.peers = epoch, slices.Clone(peers)
	sort.Strings(manager.peers)
	if manager.startedAt < now {
		manager.startedAt = now
	}
	manager.grants = map[string]grant{}
	for _, c := range manager.claims {
		c.nonce, c.rounds, c.otherHeldAt, c.nextRequestAt = 0, nil, 0, 0 // what is held runs out
	}
}

// Duties lists the duties by name.
func (manager *Manager) Duties() []string { return manager.duties }

// Holds says whether this machine may do a duty at this moment, and since when
// it has held it without a break.
func (manager *Manager) Holds(now time.Duration, duty string) (since time.Duration, ok bool) {
	c := manager.claims[duty]
	return c.since, c.until > now
}

// Expiry is when this machine's lease of a duty ends by its own reckoning; 0 while
// it has none.
func (manager *Manager) Expiry(now time.Duration, duty string) time.Duration {
	if c := manager.claims[duty]; c != nil && c.until > now {
		return c.until
	}
	return 0
}

// Holder is who this machine has granted a duty to, if anyone. Its own grant to
// itself does not count without a majority's.
func (manager *Manager) Holder(now time.Duration, duty string) string {
	if _, ok := manager.Holds(now, duty); ok {
		return manager.self
	}
	if g := manager.grants[duty]; g.until > now && g.holder != manager.self {
		return g.holder
	}
	return ""
}

func (manager *Manager) send(to string, m any, now time.Duration) {
	if to == manager.self {
		manager.dispatch(now, to, m)
		return
	}
	manager.outbox = append(manager.outbox, Send{to, m})
}

// rank orders the machines for a duty: it falls to the first that is there.
func (manager *Manager) rank(duty int) int {
	n := len(manager.peers)
	return ((slices.Index(manager.peers, manager.self)-duty)%n + n) % n
}

// Tick claims and renews.
func (manager *Manager) Tick(now time.Duration) []Send {
	if !slices.Contains(manager.peers, manager.self) {
		return nil
	}
	for i, d := range manager.duties {
		c := manager.claims[d]
		held := c.until > now
		if !held {
			c.since = 0
		}
		if now < max(c.nextRequestAt, c.notBefore) {
			continue
		}
		reclaim := false
		if !held {
			if g := manager.grants[d]; g.until > now && g.holder != manager.self {
				c.otherHeldAt = now // here it is known to be held
				continue
			}
			wait := time.Duration(manager.rank(i)) * constants.LeaseStagger
			if now < c.reservedUntil {
				wait = 0
			}
			reclaim = now-manager.startedAt < 2*constants.LeaseRenew // longer, and its asking would keep the duty from others
			if !reclaim && (now-manager.startedAt < constants.LeaseLength+constants.LeaseMargin+wait || c.otherHeldAt > 0 && now-c.otherHeldAt < wait) {
				continue
			}
		}
		manager.startRound(now, d, reclaim)
	}
	out := manager.outbox
	manager.outbox = nil
	return out
}

// startRound begins a round of asking for a duty.
func (manager *Manager) startRound(now time.Duration, duty string, reclaim bool) {
	c := manager.claims[duty]
	manager.nonce++
	c.nonce = manager.nonce
	c.rounds = append(c.rounds, round{manager.nonce, reclaim, now, map[string]bool{}})
	c.rounds = c.rounds[max(0, len(c.rounds)-int(constants.LeaseLength/constants.LeaseRenew)):]
	c.nextRequestAt = now + constants.LeaseRenew
	for _, p := range manager.peers {
		manager.send(p, Request{duty, manager.epoch, c.nonce, reclaim}, now)
	}
}

// acceptHandover takes up a duty whose holder has stopped and named this machine.
func (manager *Manager) acceptHandover(now time.Duration, duty string) {
	c := manager.claims[duty]
	if c.until > now || now < c.notBefore || now-manager.startedAt < constants.LeaseLength+constants.LeaseMargin {
		return
	}
	c.reservedUntil = now + constants.LeaseReserve
	manager.startRound(now, duty, false)
	c.nextRequestAt = now // what a refusal by one that the Release has not reached yet costs is one step
}

// Recv takes a message.
func (manager *Manager) Recv(now time.Duration, from string, msg any) []Send {
	if from != manager.self && slices.Contains(manager.peers, from) && slices.Contains(manager.peers, manager.self) {
		manager.dispatch(now, from, msg)
	} else {
		manager.Dropped++
	}
	out := manager.outbox
	manager.outbox = nil
	return out
}

func (manager *Manager) dispatch(now time.Duration, from string, msg any) {
	switch m := msg.(type) {
	case Request:
		manager.onRequest(now, from, m)
	case Release:
		manager.onRelease(now, from, m)
	case Grant:
		manager.onGrant(now, from, m)
	default:
		manager.Dropped++
	}
}

// onRequest grants a duty to whoever asks, unless it is another's.
func (manager *Manager) onRequest(now time.Duration, from string, m Request) {
	if manager.claims[m.Duty] == nil || m.Epoch != manager.epoch {
		manager.Dropped++
		return
	}
	if manager.sealed {
		return
	}
	g := manager.grants[m.Duty]
	renewal := g.holder == from && g.until > now
	if renewal && sameIncarnation(m.Nonce, g.nonce) && m.Nonce < g.nonce {
		return // overtaken by a later one
	}
	ok := (g.until <= now || g.holder == from) && now-manager.startedAt >= constants.LeaseLength+constants.LeaseMargin
	if m.Again && (g.until <= now || g.holder != from) {
		return
	}
	if ok {
		// Of two incarnations of the holder nothing tells here which is the later one, as
		// words of the one that is over may come last: each keeps what it got.
		otherUntil := time.Duration(0)
		if renewal {
			otherUntil = g.otherIncarnationUntil
			if !sameIncarnation(m.Nonce, g.nonce) {
				otherUntil = max(otherUntil, g.until)
			}
		}
		g = grant{from, m.Nonce, now + constants.LeaseLength + constants.LeaseMargin, otherUntil}
		manager.grants[m.Duty] = g
	}
	manager.send(from, Grant{m.Duty, manager.epoch, m.Nonce, ok, g.holder}, now)
}

// onRelease ends a grant, and reserves the duty for the successor it names.
func (manager *Manager) onRelease(now time.Duration, from string, m Release) {
	if manager.claims[m.Duty] == nil {
		manager.Dropped++
		return
	}
	g := manager.grants[m.Duty]
	if g.holder != from || g.nonce != m.Nonce && !(sameIncarnation(g.nonce, m.Nonce) && g.nonce < m.Nonce) {
		return // of a later Request, or of another incarnation
	}
	manager.grants[m.Duty] = grant{holder: from, until: g.otherIncarnationUntil, otherIncarnationUntil: g.otherIncarnationUntil}
	if m.Successor == "" || g.until <= now || g.otherIncarnationUntil > now {
		return
	}
	manager.grants[m.Duty] = grant{holder: m.Successor, until: now + constants.LeaseReserve}
	if m.Successor == manager.self {
		manager.acceptHandover(now, m.Duty)
	}
}

// onGrant takes the answer to a Request of this machine's.
func (manager *Manager) onGrant(now time.Duration, from string, m Grant) {
	c := manager.claims[m.Duty]
	if c == nil || m.Epoch != manager.epoch || !m.OK && m.Holder != "" && !slices.Contains(manager.peers, m.Holder) {
		manager.Dropped++
		return
	}
	i := slices.IndexFunc(c.rounds, func(r round) bool { return r.nonce == m.Nonce })
	switch {
	case i < 0: // overtaken
	case m.OK:
		manager.granted(now, from, c, c.rounds[i])
	case m.Nonce == c.nonce:
		manager.denied(now, c, m)
	}
}

// denied takes a refusal of the latest Request. Another holder has the duty, or is about
// to: what was granted here and there is given back, and the next try waits a time of this
// machine's own, since claims that split the votes would keep them split for ever.
func (manager *Manager) denied(now time.Duration, c *claim, m Grant) {
	if m.Holder == "" || m.Holder == manager.self {
		return
	}
	c.otherHeldAt = now
	if c.until > now || now < c.reservedUntil {
		return
	}
	c.nextRequestAt = now + constants.LeaseRenew + constants.LeaseStagger*time.Duration(1+slices.Index(manager.peers, manager.self))
	for _, p := range manager.peers {
		manager.send(p, Release{Duty: m.Duty, Nonce: c.nonce}, now)
	}
	c.nonce, c.rounds = 0, nil
}

// granted counts a grant; with enough of them this machine holds the duty. A holder that
// came straight back has forgotten its own grant. Half of all machines, itself not counted,
// leave too few for anyone else.
func (manager *Manager) granted(now time.Duration, from string, c *claim, r round) {
	r.granted[from] = true
	needed := len(manager.peers)/2 + 1
	if r.reclaim {
		needed = (len(manager.peers) + 1) / 2
	}
	until := r.requestedAt + constants.LeaseLength
	if len(r.granted) < needed || until <= now || until <= c.until {
		return
	}
	if c.until <= now {
		c.since = now
	}
	c.until = until
}

// Resign gives up what is held, before a planned stop, or the one duty named. Before a
// stop each duty goes to a machine that has just granted its renewal, which takes it up
// at once, and nothing is claimed any more.
func (manager *Manager) Resign(now time.Duration, only ...string) []Send {
	for i, d := range manager.duties {
		stopping := len(only) == 0
		if !stopping && !slices.Contains(only, d) {
			continue
		}
		successor := ""
		if stopping {
			successor = manager.successor(i)
			manager.claims[d].notBefore = now + constants.LeaseLength*4
		}
		if manager.claims[d].until > now {
			manager.releaseDuty(now, d, successor)
		}
	}
	out := manager.outbox
	manager.outbox = nil
	return out
}

func (manager *Manager) releaseDuty(now time.Duration, duty, successor string) {
	c := manager.claims[duty]
	c.until, c.since, c.notBefore = 0, 0, now+constants.LeaseLength*4
	for _, p := range manager.peers {
		manager.send(p, Release{duty, c.nonce, successor}, now)
	}
	c.nonce, c.rounds = 0, nil // an answer still under way must not bring it back
}

// successor is the first in rank for a duty of those that granted its latest renewals;
// empty when none did.
func (manager *Manager) successor(duty int) string {
	c := manager.claims[manager.duties[duty]]
	for i := range manager.peers {
		p := manager.peers[(duty+i)%len(manager.peers)]
		if p != manager.self && slices.ContainsFunc(c.rounds, func(r round) bool { return r.granted[p] }) {
			return p
		}
	}
	return ""
}
