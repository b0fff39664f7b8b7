package chain

import (
	"slices"
	"time"

	"slateridge/internal/constants"
)

// mayVote reports whether this machine may promise and accept. A machine whose disk came
// back empty has lost its promises and must wait until a view includes it.
func (c *Chain) mayVote() bool { return c.agreement.Joined }

func (c *Chain) persistAgreement(a agreement) bool {
	if c.store.Put(agreementKey, a) != nil {
		return false
	}
	c.agreement = a
	return true
}

// adoptView records a decided view if it is newer and complete.
func (c *Chain) adoptView(v View) {
	if v.Num <= c.agreement.View.Num || len(v.Members) == 0 {
		return
	}
	// A machine that is no longer among the voters does not vote until a view includes it.
	a := agreement{View: v, Joined: v.hasVoter(c.Me)}
	if !c.persistAgreement(a) {
		return
	}
	c.Original = c.Original && !a.Joined
	for _, m := range v.Voters {
		c.addPeer(m.Addr)
	}
	for _, s := range c.peerStates {
		if !v.HasMember(s.heartbeat.Me) {
			s.receivingSince = c.now // heartbeats from before the view that excludes it do not show that it is running now
		}
	}
	c.round = nil
	c.nextRoundAt = 0
	c.nextRetransmitAt = 0
	c.reads = nil
	c.effects = append(c.effects, ViewChanged{v})
}

// inContact reports whether heartbeats have passed recently between this machine and a peer
// in both directions: a one-way path cannot carry an agreement. A restarted process has
// received nothing yet when it sends its first heartbeat, so what its predecessor received
// still counts: otherwise each restart, however short, would change the view.
func (c *Chain) inContact(addr string) bool {
	if addr == c.Me.Addr {
		return true
	}
	p := c.peerStates[addr]
	return p != nil && c.now-p.receivedAt <= constants.MemberTimeout && p.lastReachedAt >= 0 && c.now-p.lastReachedAt <= constants.ContactMaxAge
}

// isEligible reports whether a machine can be a member: it is in contact, its disk works,
// and it is not leaving.
func (c *Chain) isEligible(addr string) bool {
	if addr == c.Me.Addr {
		return !c.store.Failed() && !c.leaving
	}
	return c.inContact(addr) && !c.peerStates[addr].heartbeat.Sick && !c.peerStates[addr].heartbeat.Leaving
}

// unreachablePeers returns the control machines that this one should be in contact with and
// is not.
func (c *Chain) unreachablePeers() []string {
	var out []string
	c.forEachPeer(func(p string) {
		s := c.peerStates[p]
		if !c.inContact(p) && (s != nil && s.everSeen || c.agreement.View.voterIndex(p) >= 0) {
			out = append(out, p)
		}
	})
	return out
}

// disconnected reports whether one of two machines has reported that it is not in contact
// with the other.
func (c *Chain) disconnected(a, b string) bool {
	reportsUnreachable := func(from, to string) bool {
		if from == c.Me.Addr {
			return !c.inContact(to)
		}
		s := c.peerStates[from]
		return s != nil && slices.Contains(s.heartbeat.Unheard, to)
	}
	return a != b && (reportsUnreachable(a, b) || reportsUnreachable(b, a))
}

// MajorityContactAt returns the latest time at which this machine was in contact with a
// majority of the voters, including itself, or false if it never was or does not vote.
func (c *Chain) MajorityContactAt() (time.Duration, bool) {
	if !c.agreement.Joined || c.Relay {
		return 0, false
	}
	var times []time.Duration
	for _, v := range c.agreement.View.Voters {
		if v.Addr == c.Me.Addr {
			times = append(times, c.now)
		} else if s := c.peerStates[v.Addr]; s != nil && s.lastReachedAt >= 0 && s.heartbeat.Me == v {
			times = append(times, s.lastReachedAt)
		}
	}
	return nthLatest(times, c.majority())
}

// nthLatest returns the n-th latest of some times, or false if there are fewer than n.
func nthLatest(times []time.Duration, n int) (time.Duration, bool) {
	if len(times) < n {
		return 0, false
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return int(b - a) })
	return times[n-1], true
}

// needsViewChange reports whether a new view is needed: a member is silent, has a failed
// disk or is another incarnation, a machine outside the view can join, an absent voter is to
// be retired, or this machine has sealed the view. It returns false while a recent start or
// pause of this process leaves too little information about the peers.
func (c *Chain) needsViewChange() bool {
	if c.now-c.startedAt < constants.ViewStartupDelay || c.now < c.staleUntil {
		return false // too early for heartbeats to have arrived since the start or the pause
	}
	for _, m := range c.agreement.View.Members {
		if m == c.Me {
			continue
		}
		if s := c.peerStates[m.Addr]; !c.isEligible(m.Addr) || s == nil || s.heartbeat.Me != m {
			return true
		}
	}
	return len(c.joinCandidates()) > 0 || len(c.overdueVoters()) > 0 || c.sealed()
}

// joinCandidates returns the eligible machines outside the view that have sent heartbeats
// for long enough since the view was agreed, have received one from this machine since, and
// are not disconnected from any eligible member. If a machine joined over a one-way path, or
// while a member cannot reach it, it would be excluded and included again repeatedly.
func (c *Chain) joinCandidates() []Member {
	var out []Member
	c.forEachPeer(func(p string) {
		s := c.peerStates[p]
		if s == nil || !c.isEligible(p) || s.heartbeat.Relay || c.agreement.View.HasMember(s.heartbeat.Me) || s.echoedAt < s.receivingSince ||
			c.now-s.receivingSince < constants.JoinDelay || s.receivedAt-s.receivingSince < constants.JoinDelay-constants.HeartbeatInterval {
			return
		}
		for _, m := range c.agreement.View.Members {
			if m.Addr != p && c.isEligible(m.Addr) && c.disconnected(m.Addr, p) {
				return
			}
		}
		out = append(out, s.heartbeat.Me)
	})
	return out
}

// minMembers returns the smallest number of members for the next view: a commit must be held
// by a majority of the voters, and by more disks than may be lost, as far as there are so
// many voters.
func (c *Chain) minMembers() int {
	return max(c.majority(), min(c.MaxMachineFailures+1, len(c.agreement.View.Voters)))
}

// nextMembers returns the members to propose for the next view: the eligible current members
// that include accepts, in their order, then the machines that can join. A machine that is
// disconnected from an earlier one in this order is omitted, since the chain could not
// replicate between them.
func (c *Chain) nextMembers(include func(Member) bool) []Member {
	var out []Member
	add := func(m Member) {
		if !slices.ContainsFunc(out, func(o Member) bool { return o.Addr == m.Addr || c.disconnected(o.Addr, m.Addr) }) {
			out = append(out, m)
		}
	}
	for _, m := range c.agreement.View.Members {
		if c.isEligible(m.Addr) && include(m) {
			add(m)
		}
	}
	for _, m := range c.joinCandidates() {
		add(m)
	}
	return out
}

// driveViewChange starts this machine's rounds and drives them.
func (c *Chain) driveViewChange() {
	if !c.isMember() || c.Relay || c.store.Failed() || c.leaving {
		c.round = nil
		return
	}
	if r := c.round; r != nil {
		c.driveRound(r)
		return
	}
	if !c.needsViewChange() {
		c.nextRoundAt = 0
		return
	}
	if c.nextRoundAt == 0 {
		// The first eligible member proposes with the next step, the others after a
		// delay that grows with their rank.
		c.nextRoundAt = c.now + time.Duration(c.rank())*constants.ProposalStagger + 1
	}
	if c.now < c.nextRoundAt {
		return
	}
	if c.respondingVoters() < c.majority() || len(c.nextMembers(c.isCurrentIncarnation)) < c.minMembers() {
		return // no view could be agreed: do not seal the current one
	}
	c.startRound()
}

// rank returns the number of eligible members before this one in the view.
func (c *Chain) rank() int {
	rank := 0
	for _, m := range c.agreement.View.Members {
		if m == c.Me {
			break
		}
		if c.isEligible(m.Addr) {
			rank++
		}
	}
	return rank
}

// respondingVoters returns the number of voters that would answer a round. A machine that is
// leaving still votes until it has stopped.
func (c *Chain) respondingVoters() int {
	n := 0
	for _, m := range c.agreement.View.Voters {
		if m == c.Me || c.inContact(m.Addr) && c.isCurrentIncarnation(m) && !c.peerStates[m.Addr].heartbeat.Sick {
			n++
		}
	}
	return n
}

// isCurrentIncarnation reports whether a member's heartbeats come from the incarnation that
// the view lists.
func (c *Chain) isCurrentIncarnation(m Member) bool {
	s := c.peerStates[m.Addr]
	return m == c.Me || s != nil && s.heartbeat.Me == m
}

// startRound asks all voters for a promise, this machine first.
func (c *Chain) startRound() {
	c.lastRound = max(c.lastRound, c.agreement.Promised.Round) + 1
	r := &round{slot: c.agreement.View.Num + 1, ballot: Ballot{c.lastRound, c.Me.Addr}, startedAt: c.now,
		promises: map[string]Promise{}, synced: map[string]bool{}, accepted: map[Member]bool{}}
	c.round = r
	p := Prepare{r.slot, r.ballot, revisionOf(c.held)}
	c.send(c.Me.Addr, p)
	if c.round != r || len(r.promises) == 0 {
		c.round = nil
		return
	}
	c.forEachPeer(func(a string) { c.send(a, p) })
}

// backOff ends this machine's round and delays the next one, so that two proposers do not
// outbid each other forever.
func (c *Chain) backOff() {
	c.round = nil
	c.nextRoundAt = c.now + constants.RoundTimeout + time.Duration(c.rng.Int64N(int64(constants.ProposalStagger)))
}

func (c *Chain) driveRound(r *round) {
	if c.now-r.startedAt > constants.RoundTimeout {
		c.round = nil
		c.nextRoundAt = c.now + time.Duration(c.rng.Int64N(int64(constants.ProposalStagger))) + 1
		return
	}
	if r.members == nil && r.proposed == nil {
		c.chooseMembers(r)
	}
}

// acceptsBallot reports whether this machine takes part in a ballot for the next view. A
// ballot lower than the promised one is rejected with a Nack.
func (c *Chain) acceptsBallot(from string, slot uint64, ballot Ballot) bool {
	if slot != c.agreement.View.Num+1 || !c.mayVote() {
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
	if !c.acceptsBallot(from, m.Slot, m.Ballot) {
		return
	}
	a := c.agreement
	a.Promised = m.Ballot
	if !c.persistAgreement(a) {
		return
	}
	if from != c.Me.Addr {
		c.backOff() // in favor of the sender's round
	}
	p := Promise{Slot: m.Slot, Ballot: m.Ballot, Me: c.Me, Accepted: a.Accepted, View: a.Next, HeldAt: revisionOf(c.held)}
	if m.Held.Less(revisionOf(c.held)) {
		p.Held = c.held
	}
	c.send(from, p)
}

func (c *Chain) onPromise(from string, m Promise) {
	r := c.round
	if r == nil || m.Slot != r.slot || m.Ballot != r.ballot || r.members != nil || r.proposed != nil || !c.agreement.View.hasVoter(m.Me) {
		return
	}
	r.promises[from] = m
	if len(r.promises) == len(c.agreement.View.Voters) {
		c.chooseMembers(r)
	}
}

// chooseMembers continues a round once a majority has promised: it proposes the view that an
// earlier round may have decided, if there is one, and otherwise syncs the members for a new
// view. It waits up to PromiseTimeout for the remaining voters.
func (c *Chain) chooseMembers(r *round) {
	if len(r.promises) < c.majority() || len(r.promises) < len(c.agreement.View.Voters) && c.now-r.startedAt < constants.PromiseTimeout {
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
	r.members = c.nextMembers(func(m Member) bool { p, ok := r.promises[m.Addr]; return ok && p.Me == m })
	if len(r.members) < c.minMembers() {
		r.members = nil
		return
	}
	r.state = doc
	for _, m := range r.members {
		c.send(m.Addr, Sync{r.slot, r.ballot, doc})
		if c.round != r {
			return
		}
	}
}

func (c *Chain) onSync(from string, m Sync) {
	if m.Slot != c.agreement.View.Num+1 && c.mayVote() || m.Slot <= c.agreement.View.Num {
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
	if r == nil || m.Slot != r.slot || m.Ballot != r.ballot || r.proposed != nil || !slices.Contains(r.members, m.Me) {
		return
	}
	if revisionOf(r.state).Less(revisionOf(m.Held)) {
		// The member held a newer state before it was sealed: sync all members to that.
		r.state = m.Held
		r.synced = map[string]bool{}
		for _, x := range r.members {
			c.send(x.Addr, Sync{r.slot, r.ballot, r.state})
			if c.round != r || r.proposed != nil {
				return
			}
		}
		return
	}
	if m.HeldAt.Less(revisionOf(r.state)) {
		return // the answer to an earlier Sync
	}
	r.synced[from] = true
	if len(r.synced) == len(r.members) {
		c.propose(r, c.nextView(r))
	}
}

func (c *Chain) propose(r *round, v View) {
	r.proposed = &v
	a := Accept{r.slot, r.ballot, v}
	c.send(c.Me.Addr, a)
	if c.round == r {
		c.forEachPeer(func(p string) { c.send(p, a) })
	}
}

func (c *Chain) onAccept(from string, m Accept) {
	if !c.acceptsBallot(from, m.Slot, m.Ballot) {
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
	if r == nil || r.proposed == nil || m.Slot != r.slot || m.Ballot != r.ballot {
		return
	}
	if c.agreement.View.hasVoter(m.Me) {
		r.accepted[m.Me] = true
	}
	if len(r.accepted) >= c.majority() {
		v := *r.proposed
		c.adoptView(v)
		c.forEachPeer(func(p string) { c.send(p, Decide{v}) })
	}
}
