package chain

import (
	"slices"
	"time"

	"slateridge/internal/constants"
)

// participant says whether this machine may promise and accept: one whose disk
// came back empty has forgotten its promises and waits to be taken in.
func (c *Chain) participant() bool { return c.agreement.Joined }

func (c *Chain) persistAgreement(a agreement) bool {
	if c.store.Put(agreementKey, a) != nil {
		return false
	}
	c.agreement = a
	return true
}

// learn takes up a decided view, if it is newer and told whole.
func (c *Chain) learn(v View) {
	if v.Num <= c.agreement.View.Num || len(v.Members) == 0 {
		return
	}
	// Whoever is not among the voters any more has no say until a view takes it in.
	a := agreement{View: v, Joined: v.votes(c.Me)}
	if !c.persistAgreement(a) {
		return
	}
	c.Original = c.Original && !a.Joined
	for _, m := range v.Voters {
		c.addPeer(m.Addr)
	}
	for _, s := range c.peerStates {
		if !v.HasMember(s.heartbeat.Me) {
			s.heardSince = c.now // what was heard before the view left it out says nothing of now
		}
	}
	c.round = nil
	c.troubleAt = 0
	c.passAt = 0
	c.reads = nil
	c.effects = append(c.effects, ViewChanged{v})
}

// inContact says whether a peer was heard lately, and has heard this machine lately:
// a path one way alone carries no agreement. A process that was started again has
// heard nobody when it first speaks, and what the one before it heard still counts:
// else each restart would change the view, however short.
func (c *Chain) inContact(addr string) bool {
	if addr == c.Me.Addr {
		return true
	}
	p := c.peerStates[addr]
	return p != nil && c.now-p.heardAt <= constants.MemberSilence && p.reached >= 0 && c.now-p.reached <= constants.ContactFresh
}

// alive says whether a machine can be a member: in contact, its disk works, and it
// stays.
func (c *Chain) alive(addr string) bool {
	if addr == c.Me.Addr {
		return !c.store.Failed() && !c.leaving
	}
	return c.inContact(addr) && !c.peerStates[addr].heartbeat.Sick && !c.peerStates[addr].heartbeat.Leaving
}

// peersOutOfContact are the control machines that this one should be in contact with and is not.
func (c *Chain) peersOutOfContact() []string {
	var out []string
	c.others(func(p string) {
		s := c.peerStates[p]
		if !c.inContact(p) && (s != nil && s.everSeen || c.agreement.View.voter(p) >= 0) {
			out = append(out, p)
		}
	})
	return out
}

// apart says whether one of two machines has told that it has no contact with the other.
func (c *Chain) apart(a, b string) bool {
	tells := func(x, y string) bool {
		if x == c.Me.Addr {
			return !c.inContact(y)
		}
		s := c.peerStates[x]
		return s != nil && slices.Contains(s.heartbeat.Unheard, y)
	}
	return a != b && (tells(a, b) || tells(b, a))
}

// MajorityContactAt is the latest moment at which this machine was in contact with a majority of
// the voters, itself counted; false while it never was, or has no say.
func (c *Chain) MajorityContactAt() (time.Duration, bool) {
	if !c.agreement.Joined || c.Relay {
		return 0, false
	}
	var since []time.Duration
	for _, v := range c.agreement.View.Voters {
		if v.Addr == c.Me.Addr {
			since = append(since, c.now)
		} else if s := c.peerStates[v.Addr]; s != nil && s.reached >= 0 && s.heartbeat.Me == v {
			since = append(since, s.reached)
		}
	}
	return nthLatest(since, c.majority())
}

// nthLatest is the moment that n of some are not before; false when they are fewer.
func nthLatest(moments []time.Duration, n int) (time.Duration, bool) {
	if len(moments) < n {
		return 0, false
	}
	slices.SortFunc(moments, func(a, b time.Duration) int { return int(b - a) })
	return moments[n-1], true
}

// wantsChange says whether the view should be mended: a member is silent, sick
// or another incarnation, or a machine outside it has come back; and whether
// the change has waited long enough.
func (c *Chain) wantsChange() bool {
	if c.now-c.started < constants.StartQuiet || c.now < c.quietUntil {
		return false // nobody could have been heard yet, or not since this process stood still
	}
	for _, m := range c.agreement.View.Members {
		if m == c.Me {
			continue
		}
		if s := c.peerStates[m.Addr]; !c.alive(m.Addr) || s == nil || s.heartbeat.Me != m {
			return true
		}
	}
	return len(c.newcomers()) > 0 || len(c.overdue()) > 0 || c.sealed()
}

// newcomers are live machines outside the view, heard long enough since it was
// agreed, that have heard this one since, and that no live member is apart from: taken
// in over a path one way, or past a member that cannot reach them, they would be left
// out and taken in again and again.
func (c *Chain) newcomers() []Member {
	var out []Member
	c.others(func(p string) {
		s := c.peerStates[p]
		if s == nil || !c.alive(p) || s.heartbeat.Relay || c.agreement.View.HasMember(s.heartbeat.Me) || s.echoedAt < s.heardSince ||
			c.now-s.heardSince < constants.JoinPause || s.heardAt-s.heardSince < constants.JoinPause-constants.HeartbeatEvery {
			return
		}
		for _, m := range c.agreement.View.Members {
			if m.Addr != p && c.alive(m.Addr) && c.apart(m.Addr, p) {
				return
			}
		}
		out = append(out, s.heartbeat.Me)
	})
	return out
}

// fewest is how many members the view after this one has at least: a promise stands on a
// majority, and on more disks than may be lost, as far as there are so many voters.
func (c *Chain) fewest() int {
	return max(c.majority(), min(c.MaxMachineFailures+1, len(c.agreement.View.Voters)))
}

// candidates are the live members, in their order, then the newcomers; one that another
// before it is apart from is left out, since the chain could not pass between them.
func (c *Chain) candidates(there func(Member) bool) []Member {
	var out []Member
	add := func(m Member) {
		if !slices.ContainsFunc(out, func(o Member) bool { return o.Addr == m.Addr || c.apart(o.Addr, m.Addr) }) {
			out = append(out, m)
		}
	}
	for _, m := range c.agreement.View.Members {
		if c.alive(m.Addr) && there(m) {
			add(m)
		}
	}
	for _, m := range c.newcomers() {
		add(m)
	}
	return out
}

// mendView starts and drives this machine's rounds.
func (c *Chain) mendView() {
	if !c.member() || c.Relay || c.store.Failed() || c.leaving {
		c.round = nil
		return
	}
	if r := c.round; r != nil {
		c.driveRound(r)
		return
	}
	if !c.wantsChange() {
		c.troubleAt = 0
		return
	}
	if c.troubleAt == 0 {
		// The first live member proposes with the next step, the others wait
		// their turn.
		c.troubleAt = c.now + time.Duration(c.rank())*constants.ProposeStagger + 1
	}
	if c.now < c.troubleAt {
		return
	}
	if c.liveVoters() < c.majority() || len(c.candidates(c.known)) < c.fewest() {
		return // none to be had; stay as we are, and seal nothing
	}
	c.beginRound()
}

// rank is how many live members stand before this one in the view.
func (c *Chain) rank() int {
	rank := 0
	for _, m := range c.agreement.View.Members {
		if m == c.Me {
			break
		}
		if c.alive(m.Addr) {
			rank++
		}
	}
	return rank
}

// liveVoters counts the voters that would answer a round: one that leaves votes until it is
// gone.
func (c *Chain) liveVoters() int {
	live := 0
	for _, m := range c.agreement.View.Voters {
		if m == c.Me || c.inContact(m.Addr) && c.known(m) && !c.peerStates[m.Addr].heartbeat.Sick {
			live++
		}
	}
	return live
}

// known says whether a member's heartbeat is of that same life of its disk.
func (c *Chain) known(m Member) bool {
	s := c.peerStates[m.Addr]
	return m == c.Me || s != nil && s.heartbeat.Me == m
}

// beginRound asks all voters for a promise, this machine first.
func (c *Chain) beginRound() {
	c.rounds = max(c.rounds, c.agreement.Promised.Round) + 1
	r := &round{slot: c.agreement.View.Num + 1, ballot: Ballot{c.rounds, c.Me.Addr}, began: c.now,
		promises: map[string]Promise{}, synced: map[string]bool{}, accepted: map[Member]bool{}}
	c.round = r
	p := Prepare{r.slot, r.ballot, revisionOf(c.held)}
	c.send(c.Me.Addr, p)
	if c.round != r || len(r.promises) == 0 {
		c.round = nil
		return
	}
	c.others(func(a string) { c.send(a, p) })
}

// yield ends this machine's round and leaves time for another's, so that two
// proposers do not outbid each other for ever.
func (c *Chain) yield() {
	c.round = nil
	c.troubleAt = c.now + constants.RoundLimit + time.Duration(c.rng.Int64N(int64(constants.ProposeStagger)))
}

func (c *Chain) driveRound(r *round) {
	if c.now-r.began > constants.RoundLimit {
		c.round = nil
		c.troubleAt = c.now + time.Duration(c.rng.Int64N(int64(constants.ProposeStagger))) + 1
		return
	}
	if r.chosen == nil && r.value == nil {
		c.chooseMembers(r)
	}
}

// mayTakePart says whether this machine takes part in a ballot for the next view. A
// proposer whose ballot is lower than what was promised here is told so.
func (c *Chain) mayTakePart(from string, slot uint64, ballot Ballot) bool {
	if slot != c.agreement.View.Num+1 || !c.participant() {
		return false
	}
	if ballot.less(c.agreement.Promised) {
		c.send(from, Nack{slot, c.agreement.Promised})
		return false
	}
	return true
}

func (c *Chain) onPrepare(from string, m Prepare) {
	if m.Slot <= c.agreement.View.Num {
		c.send(from, Decide{c.agreement.View})
		return
	}
	if !c.mayTakePart(from, m.Slot, m.Ballot) {
		return
	}
	a := c.agreement
	a.Promised = m.Ballot
	if !c.persistAgreement(a) {
		return
	}
	if from != c.Me.Addr {
		c.yield() // to its round
	}
	p := Promise{Slot: m.Slot, Ballot: m.Ballot, Me: c.Me, Accepted: a.Accepted, View: a.Next, HeldAt: revisionOf(c.held)}
	if m.Held.Less(revisionOf(c.held)) {
		p.Held = c.held
	}
	c.send(from, p)
}

func (c *Chain) onPromise(from string, m Promise) {
	r := c.round
	if r == nil || m.Slot != r.slot || m.Ballot != r.ballot || r.chosen != nil || r.value != nil || !c.agreement.View.votes(m.Me) {
		return
	}
	r.promises[from] = m
	if len(r.promises) == len(c.agreement.View.Voters) {
		c.chooseMembers(r)
	}
}

// chooseMembers goes on once a majority has promised: with the value that an
// earlier round may have decided, or else with the live members of the sealed
// view in their order and the newcomers after them.
func (c *Chain) chooseMembers(r *round) {
	if len(r.promises) < c.majority() || len(r.promises) < len(c.agreement.View.Voters) && c.now-r.began < constants.PromiseWait {
		return
	}
	var best Promise
	for _, p := range r.promises {
		if best.Accepted.less(p.Accepted) {
			best = p
		}
	}
	if best.Accepted != (Ballot{}) {
		r.fixed = true
		c.propose(r, best.View)
		return
	}
	doc := c.held
	for _, p := range r.promises {
		if revisionOf(doc).Less(p.HeldAt) && p.Held != nil {
			doc = p.Held
		}
	}
	r.chosen = c.candidates(func(m Member) bool { p, ok := r.promises[m.Addr]; return ok && p.Me == m })
	if len(r.chosen) < c.fewest() {
		r.chosen = nil
		return
	}
	r.doc = doc
	for _, m := range r.chosen {
		c.send(m.Addr, Sync{r.slot, r.ballot, doc})
		if c.round != r {
			return
		}
	}
}

func (c *Chain) onSync(from string, m Sync) {
	if m.Slot != c.agreement.View.Num+1 && c.participant() || m.Slot <= c.agreement.View.Num {
		return
	}
	if m.Doc != nil && !c.persistState(*m.Doc) {
		return
	}
	s := Synced{Slot: m.Slot, Ballot: m.Ballot, Me: c.Me, HeldAt: revisionOf(c.held)}
	if revisionOf(m.Doc).Less(revisionOf(c.held)) {
		s.Held = c.held
	}
	c.send(from, s)
}

func (c *Chain) onSynced(from string, m Synced) {
	r := c.round
	if r == nil || m.Slot != r.slot || m.Ballot != r.ballot || r.value != nil || !slices.Contains(r.chosen, m.Me) {
		return
	}
	if revisionOf(r.doc).Less(revisionOf(m.Held)) {
		// Held by a member since before it was sealed: all take it up.
		r.doc = m.Held
		r.synced = map[string]bool{}
		for _, x := range r.chosen {
			c.send(x.Addr, Sync{r.slot, r.ballot, r.doc})
			if c.round != r || r.value != nil {
				return
			}
		}
		return
	}
	if m.HeldAt.Less(revisionOf(r.doc)) {
		return // answers an earlier Sync
	}
	r.synced[from] = true
	if len(r.synced) == len(r.chosen) {
		c.propose(r, c.nextView(r))
	}
}

func (c *Chain) propose(r *round, v View) {
	r.value = &v
	a := Accept{r.slot, r.ballot, v}
	c.send(c.Me.Addr, a)
	if c.round == r {
		c.others(func(p string) { c.send(p, a) })
	}
}

func (c *Chain) onAccept(from string, m Accept) {
	if !c.mayTakePart(from, m.Slot, m.Ballot) {
		return
	}
	a := c.agreement
	a.Promised, a.Accepted, a.Next = m.Ballot, m.Ballot, m.View
	if c.persistAgreement(a) {
		c.send(from, Accepted{m.Slot, m.Ballot, c.Me})
	}
}

func (c *Chain) onAccepted(m Accepted) {
	r := c.round
	if r == nil || r.value == nil || m.Slot != r.slot || m.Ballot != r.ballot {
		return
	}
	if c.agreement.View.votes(m.Me) {
		r.accepted[m.Me] = true
	}
	if len(r.accepted) >= c.majority() {
		v := *r.value
		c.learn(v)
		c.others(func(p string) { c.send(p, Decide{v}) })
	}
}
