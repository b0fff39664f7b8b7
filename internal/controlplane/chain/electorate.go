package chain

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"slateridge/internal/constants"
)

// The electorate is the set of voters that agree on the next view. It changes only with a
// decided view, which a majority of the previous voters has accepted. Each view number is a
// separate consensus instance, so any change between two views is safe as long as the new
// view's members hold everything that was acknowledged (they are synced before the view is
// proposed) and are a majority of its voters. A machine becomes a voter with the view that
// adds it. A voter is removed with a view that it is not a member of: when a successor joins
// with that view, when the fault tolerance would not hold otherwise, on an operator's
// request, or after a long absence.

// nextView returns the view that a round proposes. A machine that joins with it becomes a
// voter: in place of its previous incarnation, whose disk is lost, or as an additional one.
func (c *Chain) nextView(r *round) View {
	old := c.agreement.View
	v := View{Num: r.slot, Members: r.members, Voters: slices.Clone(old.Voters), Epoch: old.Epoch, Base: old.Base, From: revisionOf(r.state)}
	joined, original := 0, 0
	for _, m := range r.members {
		if i := v.voterIndex(m.Addr); i >= 0 {
			v.Voters[i] = m
		} else {
			v.Voters = append(v.Voters, m)
			joined++
			if s := c.peerStates[m.Addr]; s != nil && s.heartbeat.Me == m && s.heartbeat.Original {
				original++
			}
		}
	}
	if v.Base == 0 { // agreed by a build that did not record Base
		v.Base = len(old.Voters)
	}
	v.Base += original
	retired := c.votersToRetire(v, joined)
	v.Voters = slices.DeleteFunc(v.Voters, func(m Member) bool { return slices.Contains(retired, m) })
	if joined+len(retired) > 0 {
		v.Epoch = r.slot
	}
	return v
}

// ElectorateUncertain reports whether this machine must not grant leases, because it has
// accepted a view with another electorate, which may have been decided since. Neither a
// promise alone nor a view with the same electorate affects leases. It is also true for a
// machine that no view has included with its current disk: its address may be a voter's,
// whose acceptance was lost with the previous disk.
func (c *Chain) ElectorateUncertain() bool {
	accepted := c.agreement.Accepted != Ballot{}
	return !c.agreement.Joined || accepted && c.agreement.Next.Epoch != c.agreement.View.Epoch
}

// minVoters returns the size below which the electorate is not shrunk: with fewer voters
// the fault tolerance could not hold even if all of them were running.
func (c *Chain) minVoters(v View) int { return max(2*c.MaxMachineFailures+1, min(v.Base, 3)) }

// votersOutsideView returns the voters of a view that are not its members: first those that
// an operator asked to retire, then those that announced that they leave, and among equals
// those out of contact for longest first.
func (c *Chain) votersOutsideView(v View) []Member {
	var out []Member
	for _, m := range v.Voters {
		if !v.HasMember(m) {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b Member) int {
		return cmp.Or(-cmp.Compare(boolToInt(c.retirementRequested(a)), boolToInt(c.retirementRequested(b))), -cmp.Compare(boolToInt(c.departures[a.Addr] > 0), boolToInt(c.departures[b.Addr] > 0)),
			cmp.Compare(c.lastContact(a), c.lastContact(b)))
	})
	return out
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// lastContact returns when this process was last in contact with a voter, and at the
// earliest when the process started.
func (c *Chain) lastContact(m Member) time.Duration {
	if s := c.peerStates[m.Addr]; s != nil && s.heartbeat.Me == m {
		return max(s.lastReachedAt, c.startedAt)
	}
	return c.startedAt
}

func (c *Chain) retirementRequested(m Member) bool {
	at, ok := c.retireRequests[m.Addr]
	return ok && c.now-at < constants.RetireRequestTimeout
}

// absentTooLong reports whether a voter has been out of contact for so long that it is
// retired.
func (c *Chain) absentTooLong(m Member) bool {
	return !c.inContact(m.Addr) && c.now-c.lastContact(m) >= constants.VoterRetireDelay
}

// overdueVoters returns the voters outside the current view that are to be retired by a new
// view.
func (c *Chain) overdueVoters() []Member {
	v := c.agreement.View
	if len(v.Voters) <= c.minVoters(v) {
		return nil
	}
	return slices.DeleteFunc(c.votersOutsideView(v), func(m Member) bool { return c.isEligible(m.Addr) || !c.retirementRequested(m) && !c.absentTooLong(m) })
}

// votersToRetire returns the voters that leave with a view; joined is the number of voters
// that join with it.
func (c *Chain) votersToRetire(v View, joined int) []Member {
	candidates := c.votersOutsideView(v)
	candidates = candidates[:min(len(candidates), max(0, len(v.Voters)-c.minVoters(v)))]
	n := 0
	for i, m := range candidates {
		if i < joined || c.retirementRequested(m) || c.absentTooLong(m) {
			n = i + 1
		}
	}
	// Retires as many more as the failure margin requires. If it stays negative, retires
	// the fewest that give the highest margin.
	best := n
	for k := n; k <= len(candidates) && c.failureMargin(v, best) < 0; k++ {
		if c.failureMargin(v, k) > c.failureMargin(v, best) {
			best = k
		}
	}
	return candidates[:best]
}

// failureMargin returns by how many the remaining members would exceed a majority of the
// voters, with some absent voters retired, after the largest loss that must be tolerated.
// Voters outside the view count as part of that loss, except for as many as there are voters
// beyond Base: their successors may be among the members already, and then they do not
// count.
func (c *Chain) failureMargin(v View, retired int) int {
	voters := len(v.Voters) - retired
	lost := len(v.Voters) - len(v.Members)
	replaced := min(lost, max(0, len(v.Voters)-v.Base))
	left := len(v.Members) - max(0, c.MaxMachineFailures-(lost-replaced))
	if lost == replaced {
		left = min(left, len(v.Members)-c.membersInLargest(v, c.MaxZoneFailures, func(m Member) string { z, _ := c.location(m); return z }),
			len(v.Members)-c.membersInLargest(v, c.MaxRegionFailures, func(m Member) string { _, r := c.location(m); return r }))
	}
	return left - (voters/2 + 1)
}

// location returns the zone and region of a machine as far as known.
func (c *Chain) location(m Member) (zone, region string) {
	if m == c.Me {
		return c.Zone, c.Region
	}
	if s := c.peerStates[m.Addr]; s != nil {
		return s.heartbeat.Zone, s.heartbeat.Region
	}
	return "", ""
}

// membersInLargest returns the number of members in the n places with the most members.
func (c *Chain) membersInLargest(v View, n int, placeOf func(Member) string) int {
	count := map[string]int{}
	for _, m := range v.Members {
		if place := placeOf(m); place != "" {
			count[place]++
		}
	}
	var sizes []int
	for _, size := range count {
		sizes = append(sizes, size)
	}
	slices.Sort(sizes)
	sum := 0
	for _, size := range sizes[max(0, len(sizes)-n):] {
		sum += size
	}
	return sum
}

// recordDeparture records whether a peer announces in its heartbeat that it is leaving.
func (c *Chain) recordDeparture(from string, hb Heartbeat) {
	if hb.Leaving {
		c.departures[from] = c.now
	} else {
		delete(c.departures, from)
	}
}

// forgetStalePeers drops control machines that are neither seeds nor voters and have long
// been silent, and retirement requests that have expired.
func (c *Chain) forgetStalePeers() {
	for p, s := range c.peerStates {
		if c.now-s.receivedAt > constants.PeerExpiry && !slices.Contains(c.seeds, p) && c.agreement.View.voterIndex(p) < 0 {
			delete(c.peerStates, p)
			delete(c.departures, p)
			c.peers = slices.DeleteFunc(c.peers, func(o string) bool { return o == p })
		}
	}
	for p, at := range c.retireRequests {
		if c.now-at >= constants.RetireRequestTimeout {
			delete(c.retireRequests, p)
		}
	}
}

// Leave announces to the other machines that this one is about to stop, so that they form a
// view without it at once. HasLeft reports when they have.
func (c *Chain) Leave(now time.Duration) []Effect {
	c.now = now
	if !c.Relay {
		c.leaving, c.round = true, nil
		c.nextHeartbeatAt = now + constants.HeartbeatInterval
		c.forEachPeer(c.sendHeartbeat)
	}
	return c.takeEffects()
}

// HasLeft reports whether nothing depends on this machine any more: it is not a member of
// the newest view known.
func (c *Chain) HasLeft() bool { return !c.agreement.View.HasMember(c.Me) }

// CanLeave reports whether, as far as this machine knows, the others could form a view
// without it.
func (c *Chain) CanLeave() bool {
	n := 0
	for _, m := range c.agreement.View.Members {
		if m != c.Me && c.isEligible(m.Addr) {
			n++
		}
	}
	return n >= c.minMembers()
}

// Retire requests the removal of a voter that an operator reports as permanently lost. If
// the request is refused, the result says why. Otherwise a view without the voter is
// attempted; the list of voters shows whether it was decided.
func (c *Chain) Retire(now time.Duration, addr string) (out []Effect, refused string) {
	c.now = now
	v := c.agreement.View
	switch {
	case !c.agreement.Joined || c.Relay:
		return nil, "this machine has no vote: ask one that has"
	case v.voterIndex(addr) < 0:
		return nil, fmt.Sprintf("%s is no voter", addr)
	case addr == c.Me.Addr || c.inContact(addr):
		return nil, fmt.Sprintf("%s is running and in contact: stop it first", addr)
	case len(v.Voters) <= c.minVoters(v):
		return nil, fmt.Sprintf("%d voters are the fewest that can bear the loss of %d: start a successor first, which takes its place", len(v.Voters), c.MaxMachineFailures)
	case len(v.Members)-1 < c.minMembers() && v.memberIndex(addr) >= 0:
		return nil, "too few members would be left for a majority"
	}
	for _, m := range v.Members {
		c.send(m.Addr, Retire{addr})
	}
	return c.takeEffects(), ""
}

func (c *Chain) recordRetireRequest(addr string) { c.retireRequests[addr] = c.now }

// Voter describes a voter, as seen by this machine, for operators.
type Voter struct {
	Addr         string
	Zone, Region string
	Member       bool
	State        string        // such as in contact, out of contact, leaving, disk refuses writes
	Gone         time.Duration // time since the last contact, if out of contact
	WayOut       string        // why it is going to leave the electorate; empty if it is not
}

// Electorate describes the voters for operators, and by how many the voters remaining after
// the largest tolerated loss exceed a majority.
func (c *Chain) Electorate() (voters []Voter, margin int) {
	v := c.agreement.View
	for _, m := range v.Voters {
		x := Voter{Addr: m.Addr, Member: v.HasMember(m), State: "in contact"}
		x.Zone, x.Region = c.location(m)
		switch {
		case m.Addr == c.Me.Addr && m != c.Me:
			x.State = "its disk came back empty: waits to be taken in"
		case m == c.Me && c.store.Failed() || m != c.Me && c.inContact(m.Addr) && c.peerStates[m.Addr].heartbeat.Sick:
			x.State = "disk refuses writes"
		case c.departures[m.Addr] > 0 || m == c.Me && c.leaving:
			x.State = "leaving"
		case !c.inContact(m.Addr):
			x.State, x.Gone = "out of contact", c.now-c.lastContact(m)
		}
		switch canShrink := len(v.Voters) > c.minVoters(v); {
		case x.Member || x.State == "in contact":
		case c.retirementRequested(m) && canShrink:
			x.WayOut = "an operator wants it out"
		case canShrink:
			x.WayOut = fmt.Sprintf("leaves with a successor's coming, or after %v", max(0, constants.VoterRetireDelay-x.Gone).Round(time.Second))
		default:
			x.WayOut = "leaves with a successor's coming: too few voters to go without"
		}
		voters = append(voters, x)
	}
	return voters, c.failureMargin(v, 0)
}
