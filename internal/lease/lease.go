// Package lease assigns singleton duties to control machines by leases that a majority of
// them grants. A holder measures its lease from before it sent the request; a grantor
// measures its grant from after it answered, and for longer. Both use the monotonic clock, so
// a holder has stopped before anyone else can start. A grantor that has just started grants
// nothing until every lease it may have granted before the restart has expired. A holder that
// restarts quickly may reclaim at once what the others still have granted to it, because the
// incarnation that held it has ended.
//
// Why there are never two holders, however the electorate changes:
//
//   - Within one electorate any two majorities share a grantor, and a grantor grants to one
//     holder at a time: until the grant has expired, or until that holder has released
//     what its latest Request obtained. What another incarnation of the holder obtained
//     stays reserved.
//   - To reclaim, half of all machines without the holder are enough in place of a
//     majority: apart from them and the holder, whose own vote grants nothing yet, too
//     few machines remain for another majority.
//   - A new electorate is decided by a view that a majority of the previous voters has
//     accepted. A machine that has accepted a view with another electorate grants nothing
//     until it learns of a newer view, or has accepted another view in its place, which
//     shows that the first was not decided. So any lease of the old electorate has a
//     grantor that granted it before the decision, and it ends at most LeaseLength after
//     the decision. Every grantor of the new electorate has learned of it after the
//     decision and waits LeaseDuration + LeaseMargin from then. The same holds step by step
//     for a machine that skips views. A view with the same electorate does not interrupt
//     granting.
//   - Electorates are identified by number, and messages of another electorate are
//     dropped. The machines that have missed a change are together a minority of the
//     old electorate.
//
// SetElectorate lists what its caller has to guarantee for this to hold.
package lease

import (
	"slices"
	"sort"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/transport"
)

type (
	// Request asks for a lease or for its renewal.
	Request struct {
		Duty  string
		Epoch uint64
		Nonce uint64
		Again bool // sent shortly after a start: only extends what is already granted to the sender
	}
	// Grant answers a Request. If OK is false, Holder is the machine that holds the duty.
	Grant struct {
		Duty   string
		Epoch  uint64
		Nonce  uint64
		OK     bool
		Holder string
	}
	// Release gives back the grant that answered a Request. A machine that shuts down names a
	// successor, for which the grantors reserve the duty for a short time.
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
	otherIncarnationUntil time.Duration // expiry of what another incarnation of the holder may still rely on
}

// sameIncarnation reports whether one incarnation of a machine sent both nonces: the upper
// half of a nonce identifies the incarnation, the lower half is a counter.
func sameIncarnation(a, b uint64) bool { return a>>32 == b>>32 }

// round is a set of requests with one nonce, one to each voter. Several rounds may be in
// flight, since answers can take longer than the renewal interval.
type round struct {
	nonce       uint64
	reclaim     bool
	requestedAt time.Duration
	granted     map[string]bool
}

// claim is this machine's state as a claimant of one duty.
type claim struct {
	nonce         uint64        // of the latest request; 0: no request is valid
	rounds        []round       // in order of request
	until         time.Duration // expiry of the lease by this machine's measure; 0 if never held or released
	since         time.Duration // start of the current uninterrupted hold
	nextRequestAt time.Duration
	notBefore     time.Duration // no claim before this time after a voluntary release
	otherHeldAt   time.Duration // when another holder was last observed
	reservedUntil time.Duration // end of this machine's reservation as the named successor
}

// Manager is one machine's part in assigning the duties, both as grantor and as claimant.
type Manager struct {
	self      string
	epoch     uint64
	peers     []string // the electorate; empty while it is not known
	uncertain bool     // a view with another electorate may have been decided: nothing is granted
	duties    []string
	startedAt time.Duration
	grants    map[string]grant
	claims    map[string]*claim
	nonce     uint64
	outbox    []Send

	Dropped uint64 // messages from or to a non-voter, of another electorate, or about an unknown duty
}

// New returns a Manager without an electorate. All machines must list the same duties in the
// same order. incarnation is a number that earlier incarnations of this machine are unlikely
// to have used.
func New(now time.Duration, incarnation uint64, self string, duties []string) *Manager {
	manager := &Manager{self: self, duties: duties, startedAt: now, nonce: incarnation << 32, grants: map[string]grant{}, claims: map[string]*claim{}}
	for _, d := range duties {
		manager.claims[d] = &claim{}
	}
	return manager
}

// SetElectorate sets the machines whose majority grants leases, the number of the view that
// established them, and whether this electorate is uncertain because the machine has accepted
// a view with another one. While it is uncertain, the machine grants nothing, and a majority
// has accepted a new electorate before it is decided. A machine that learns of a new
// electorate grants nothing until all grants of the old one have expired. So majorities of
// two electorates never overlap in time.
//
// The caller must guarantee that
//
//   - the number changes whenever the addresses do,
//   - an acceptance is reported here before the message about it leaves the machine, and
//     no older state is reported afterwards, and
//   - on a machine whose disk has lost what it accepted, the electorate is reported as
//     uncertain until a view lists the machine with its new disk.
//
// TestElectorateCallerObligations shows what happens otherwise.
func (manager *Manager) SetElectorate(now time.Duration, epoch uint64, peers []string, uncertain bool) {
	if epoch < manager.epoch {
		return // stale report
	}
	manager.uncertain = uncertain
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
		c.nonce, c.rounds, c.otherHeldAt, c.nextRequestAt = 0, nil, 0, 0 // a lease that is held expires by itself
	}
}

// Duties returns the names of the duties.
func (manager *Manager) Duties() []string { return manager.duties }

// Holds reports whether this machine holds a duty at the given time, and since when it has
// held it without interruption.
func (manager *Manager) Holds(now time.Duration, duty string) (since time.Duration, ok bool) {
	c := manager.claims[duty]
	return c.since, c.until > now
}

// Expiry returns when this machine's lease of a duty expires by its own measure, or 0 if it
// holds none.
func (manager *Manager) Expiry(now time.Duration, duty string) time.Duration {
	if c := manager.claims[duty]; c != nil && c.until > now {
		return c.until
	}
	return 0
}

// Holder returns the machine to which this one has granted a duty, or "". A grant of this
// machine to itself does not count without a majority.
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

// rank returns this machine's position in the order in which machines claim a duty; the
// first available one gets it. The order is rotated by one for each duty.
func (manager *Manager) rank(duty int) int {
	n := len(manager.peers)
	return ((slices.Index(manager.peers, manager.self)-duty)%n + n) % n
}

// Tick claims and renews leases and returns the messages to send.
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
				c.otherHeldAt = now // by this machine's own grant
				continue
			}
			wait := time.Duration(manager.rank(i)) * constants.LeaseStagger
			if now < c.reservedUntil {
				wait = 0
			}
			reclaim = now-manager.startedAt < 2*constants.LeaseRenewInterval // reclaiming for longer would keep the duty from others
			if !reclaim && (now-manager.startedAt < constants.LeaseDuration+constants.LeaseMargin+wait || c.otherHeldAt > 0 && now-c.otherHeldAt < wait) {
				continue
			}
		}
		manager.startRound(now, d, reclaim)
	}
	out := manager.outbox
	manager.outbox = nil
	return out
}

// startRound requests a duty from the whole electorate.
func (manager *Manager) startRound(now time.Duration, duty string, reclaim bool) {
	c := manager.claims[duty]
	manager.nonce++
	c.nonce = manager.nonce
	c.rounds = append(c.rounds, round{manager.nonce, reclaim, now, map[string]bool{}})
	c.rounds = c.rounds[max(0, len(c.rounds)-int(constants.LeaseDuration/constants.LeaseRenewInterval)):]
	c.nextRequestAt = now + constants.LeaseRenewInterval
	for _, p := range manager.peers {
		manager.send(p, Request{duty, manager.epoch, c.nonce, reclaim}, now)
	}
}

// acceptHandover claims a duty whose holder has shut down and named this machine.
func (manager *Manager) acceptHandover(now time.Duration, duty string) {
	c := manager.claims[duty]
	if c.until > now || now < c.notBefore || now-manager.startedAt < constants.LeaseDuration+constants.LeaseMargin {
		return
	}
	c.reservedUntil = now + constants.LeaseReservationTime
	manager.startRound(now, duty, false)
	c.nextRequestAt = now // a refusal by a grantor that has not received the Release yet costs only one tick
}

// Recv processes a message and returns the answers to send.
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

// onRequest grants a duty to the sender unless it is granted to another machine.
func (manager *Manager) onRequest(now time.Duration, from string, m Request) {
	if manager.claims[m.Duty] == nil || m.Epoch != manager.epoch {
		manager.Dropped++
		return
	}
	if manager.uncertain {
		return
	}
	g := manager.grants[m.Duty]
	renewal := g.holder == from && g.until > now
	if renewal && sameIncarnation(m.Nonce, g.nonce) && m.Nonce < g.nonce {
		return // superseded by a later request
	}
	ok := (g.until <= now || g.holder == from) && now-manager.startedAt >= constants.LeaseDuration+constants.LeaseMargin
	if m.Again && (g.until <= now || g.holder != from) {
		return
	}
	if ok {
		// The order of the holder's incarnations is unknown here, as messages of the ended
		// one may arrive last: each keeps what it was granted.
		otherUntil := time.Duration(0)
		if renewal {
			otherUntil = g.otherIncarnationUntil
			if !sameIncarnation(m.Nonce, g.nonce) {
				otherUntil = max(otherUntil, g.until)
			}
		}
		g = grant{from, m.Nonce, now + constants.LeaseDuration + constants.LeaseMargin, otherUntil}
		manager.grants[m.Duty] = g
	}
	manager.send(from, Grant{m.Duty, manager.epoch, m.Nonce, ok, g.holder}, now)
}

// onRelease ends a grant and reserves the duty for the successor that the message names.
func (manager *Manager) onRelease(now time.Duration, from string, m Release) {
	if manager.claims[m.Duty] == nil {
		manager.Dropped++
		return
	}
	g := manager.grants[m.Duty]
	if g.holder != from || g.nonce != m.Nonce && !(sameIncarnation(g.nonce, m.Nonce) && g.nonce < m.Nonce) {
		return // the grant belongs to a later Request or to another incarnation
	}
	manager.grants[m.Duty] = grant{holder: from, until: g.otherIncarnationUntil, otherIncarnationUntil: g.otherIncarnationUntil}
	if m.Successor == "" || g.until <= now || g.otherIncarnationUntil > now {
		return
	}
	manager.grants[m.Duty] = grant{holder: m.Successor, until: now + constants.LeaseReservationTime}
	if m.Successor == manager.self {
		manager.acceptHandover(now, m.Duty)
	}
}

// onGrant processes the answer to a Request of this machine.
func (manager *Manager) onGrant(now time.Duration, from string, m Grant) {
	c := manager.claims[m.Duty]
	if c == nil || m.Epoch != manager.epoch || !m.OK && m.Holder != "" && !slices.Contains(manager.peers, m.Holder) {
		manager.Dropped++
		return
	}
	i := slices.IndexFunc(c.rounds, func(r round) bool { return r.nonce == m.Nonce })
	switch {
	case i < 0: // superseded
	case m.OK:
		manager.recordGrant(now, from, c, c.rounds[i])
	case m.Nonce == c.nonce:
		manager.handleRefusal(now, c, m)
	}
}

// handleRefusal processes a refusal of the latest Request. Another machine holds the duty or is
// about to. What was granted so far is released, and the next attempt is delayed by a time
// specific to this machine, since otherwise claims that split the votes could split them
// forever.
func (manager *Manager) handleRefusal(now time.Duration, c *claim, m Grant) {
	if m.Holder == "" || m.Holder == manager.self {
		return
	}
	c.otherHeldAt = now
	if c.until > now || now < c.reservedUntil {
		return
	}
	c.nextRequestAt = now + constants.LeaseRenewInterval + constants.LeaseStagger*time.Duration(1+slices.Index(manager.peers, manager.self))
	for _, p := range manager.peers {
		manager.send(p, Release{Duty: m.Duty, Nonce: c.nonce}, now)
	}
	c.nonce, c.rounds = 0, nil
}

// recordGrant counts a grant; with enough of them this machine holds the duty. To reclaim, grants
// from half of all machines are enough, its own not included: this machine has lost its own
// grant in the restart, and too few others remain for anyone else's majority.
func (manager *Manager) recordGrant(now time.Duration, from string, c *claim, r round) {
	r.granted[from] = true
	needed := len(manager.peers)/2 + 1
	if r.reclaim {
		needed = (len(manager.peers) + 1) / 2
	}
	until := r.requestedAt + constants.LeaseDuration
	if len(r.granted) < needed || until <= now || until <= c.until {
		return
	}
	if c.until <= now {
		c.since = now
	}
	c.until = until
}

// Resign releases the leases that are held: only those of the named duties, or, before a
// planned shutdown, all of them. Before a shutdown each duty is handed over to a machine that
// granted one of the latest renewals and that claims it at once, and no duty is claimed for a
// while.
func (manager *Manager) Resign(now time.Duration, only ...string) []Send {
	for i, d := range manager.duties {
		stopping := len(only) == 0
		if !stopping && !slices.Contains(only, d) {
			continue
		}
		successor := ""
		if stopping {
			successor = manager.successor(i)
			manager.claims[d].notBefore = now + constants.LeaseDuration*4
		}
		if manager.claims[d].until > now {
			manager.releaseDuty(now, d, successor)
		}
	}
	out := manager.outbox
	manager.outbox = nil
	return out
}

// releaseDuty gives up a lease and sends a Release to the electorate.
func (manager *Manager) releaseDuty(now time.Duration, duty, successor string) {
	c := manager.claims[duty]
	c.until, c.since, c.notBefore = 0, 0, now+constants.LeaseDuration*4
	for _, p := range manager.peers {
		manager.send(p, Release{duty, c.nonce, successor}, now)
	}
	c.nonce, c.rounds = 0, nil // a grant still in flight must not restore the lease
}

// successor returns the first machine in rank for a duty that granted one of its latest
// renewals, or "".
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
