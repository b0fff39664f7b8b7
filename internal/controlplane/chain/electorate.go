package chain

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"slateridge/internal/constants"
)

// The electorate: who agrees on the next view. It changes with a decided view only,
// agreed by a majority of the voters before it; each view's number is an agreement of
// its own, so any change between two of them is safe as long as the new view's members
// hold all that was confirmed (they are synced before it is proposed) and are a
// majority of its voters. Newcomers become voters with the view that takes them in.
// Voters leave with a view that goes on without them: in favour of a successor that
// comes with it, when the tolerance would not hold otherwise, when an operator says so,
// or when they have been gone for long.

// nextView is the view a round proposes. A newcomer becomes a voter with it: in the
// place of its earlier self, whose disk is gone, or as one more.
func (c *Chain) nextView(r *round) View {
	old := c.agreement.View
	v := View{Num: r.slot, Members: r.chosen, Voters: slices.Clone(old.Voters), Epoch: old.Epoch, Base: old.Base, From: revisionOf(r.doc)}
	joined, original := 0, 0
	for _, m := range r.chosen {
		if i := v.voter(m.Addr); i >= 0 {
			v.Voters[i] = m
		} else {
			v.Voters = append(v.Voters, m)
			joined++
			if s := c.peerStates[m.Addr]; s != nil && s.heartbeat.Me == m && s.heartbeat.Original {
				original++
			}
		}
	}
	if v.Base == 0 { // agreed before this was kept
		v.Base = len(old.Voters)
	}
	v.Base += original
	retired := c.retired(v, joined)
	v.Voters = slices.DeleteFunc(v.Voters, func(m Member) bool { return slices.Contains(retired, m) })
	if joined+len(retired) > 0 {
		v.Epoch = r.slot
	}
	return v
}

// ElectorateUncertain says whether this machine must not grant leases: it has accepted a
// view with another electorate, which may have been decided since. A promise alone does
// not matter to leases, nor does a view with the same electorate. A machine that no view
// has taken in with this disk counts as leaving: its address may be a voter's, whose
// acceptance its disk has forgotten.
func (c *Chain) ElectorateUncertain() bool {
	accepted := c.agreement.Accepted != Ballot{}
	return !c.agreement.Joined || accepted && c.agreement.Next.Epoch != c.agreement.View.Epoch
}

// smallest is the size under which no electorate is shrunk: with fewer voters the
// tolerance could not hold even if all of them lived.
func (c *Chain) smallest(v View) int { return max(2*c.MaxMachineFailures+1, min(v.Base, 3)) }

// lostVoters are a view's voters that are not its members: those an operator wants out first,
// then those that said goodbye, then those unheard for longest.
func (c *Chain) lostVoters(v View) []Member {
	var out []Member
	for _, m := range v.Voters {
		if !v.HasMember(m) {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b Member) int {
		return cmp.Or(-cmp.Compare(flag(c.retirementRequested(a)), flag(c.retirementRequested(b))), -cmp.Compare(flag(c.departures[a.Addr] > 0), flag(c.departures[b.Addr] > 0)),
			cmp.Compare(c.lastHeard(a), c.lastHeard(b)))
	})
	return out
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}

// lastHeard is when a voter was last in contact, as far as this life knows.
func (c *Chain) lastHeard(m Member) time.Duration {
	if s := c.peerStates[m.Addr]; s != nil && s.heartbeat.Me == m {
		return max(s.reached, c.started)
	}
	return c.started
}

func (c *Chain) retirementRequested(m Member) bool {
	at, ok := c.retire[m.Addr]
	return ok && c.now-at < constants.RetireRequestLife
}

// long says whether a voter has been gone so long that it is not waited for.
func (c *Chain) long(m Member) bool {
	return !c.inContact(m.Addr) && c.now-c.lastHeard(m) >= constants.RetireAfter
}

// overdue are voters outside the present view that a change of view is wanted for.
func (c *Chain) overdue() []Member {
	v := c.agreement.View
	if len(v.Voters) <= c.smallest(v) {
		return nil
	}
	return slices.DeleteFunc(c.lostVoters(v), func(m Member) bool { return c.alive(m.Addr) || !c.retirementRequested(m) && !c.long(m) })
}

// retired are the voters that leave with a view; joined is how many came with it.
func (c *Chain) retired(v View, joined int) []Member {
	gone := c.lostVoters(v)
	gone = gone[:min(len(gone), max(0, len(v.Voters)-c.smallest(v)))]
	n := 0
	for i, m := range gone {
		if i < joined || c.retirementRequested(m) || c.long(m) {
			n = i + 1
		}
	}
	// As many more as the tolerance wants; as few as do when it cannot be had.
	best := n
	for k := n; k <= len(gone) && c.margin(v, best) < 0; k++ {
		if c.margin(v, k) > c.margin(v, best) {
			best = k
		}
	}
	return gone[:best]
}

// margin is how many more voters than a majority would stand, with some that are gone
// retired, if as much were lost besides as may be. Those gone count as lost, but for
// as many as there are voters beyond the founding number: their successors may be among
// the members already, and then they are lost no more.
func (c *Chain) margin(v View, retired int) int {
	voters := len(v.Voters) - retired
	lost := len(v.Voters) - len(v.Members)
	replaced := min(lost, max(0, len(v.Voters)-v.Base))
	left := len(v.Members) - max(0, c.MaxMachineFailures-(lost-replaced))
	if lost == replaced {
		left = min(left, len(v.Members)-c.most(v, c.MaxZoneFailures, func(m Member) string { z, _ := c.place(m); return z }),
			len(v.Members)-c.most(v, c.MaxRegionFailures, func(m Member) string { _, r := c.place(m); return r }))
	}
	return left - (voters/2 + 1)
}

func (c *Chain) place(m Member) (zone, region string) {
	if m == c.Me {
		return c.Zone, c.Region
	}
	if s := c.peerStates[m.Addr]; s != nil {
		return s.heartbeat.Zone, s.heartbeat.Region
	}
	return "", ""
}

// most is how many members stand in the n fullest places.
func (c *Chain) most(v View, n int, where func(Member) string) int {
	count := map[string]int{}
	for _, m := range v.Members {
		if w := where(m); w != "" {
			count[w]++
		}
	}
	var ns []int
	for _, x := range count {
		ns = append(ns, x)
	}
	slices.Sort(ns)
	sum := 0
	for _, x := range ns[max(0, len(ns)-n):] {
		sum += x
	}
	return sum
}

// noteDeparture notes who is about to stop, until it is there again.
func (c *Chain) noteDeparture(from string, g Heartbeat) {
	if g.Leaving {
		c.departures[from] = c.now
	} else {
		delete(c.departures, from)
	}
}

// forget drops control machines that are no voters and have long been silent.
func (c *Chain) forget() {
	for p, s := range c.peerStates {
		if c.now-s.heardAt > constants.PeerForget && !slices.Contains(c.seeds, p) && c.agreement.View.voter(p) < 0 {
			delete(c.peerStates, p)
			delete(c.departures, p)
			c.peers = slices.DeleteFunc(c.peers, func(o string) bool { return o == p })
		}
	}
	for p, at := range c.retire {
		if c.now-at >= constants.RetireRequestLife {
			delete(c.retire, p)
		}
	}
}

// Leave tells the others that this machine is about to stop, so that they go on without
// it at once. Left says when they do.
func (c *Chain) Leave(now time.Duration) []Effect {
	c.now = now
	if !c.Relay {
		c.leaving, c.round = true, nil
		c.heartbeatAt = now + constants.HeartbeatEvery
		c.others(c.sendHeartbeat)
	}
	return c.flush()
}

// HasLeft says whether nothing depends on this machine any more: a decided view goes on
// without it, or it never was in one.
func (c *Chain) HasLeft() bool { return !c.agreement.View.HasMember(c.Me) }

// CanLeave says whether the others could go on without this machine, as far as it knows.
func (c *Chain) CanLeave() bool {
	n := 0
	for _, m := range c.agreement.View.Members {
		if m != c.Me && c.alive(m.Addr) {
			n++
		}
	}
	return n >= c.fewest()
}

// Retire takes an operator's word that a voter is gone for good. The answer says why it
// cannot be; with none, a view without it is tried for, and Voters show whether it came.
func (c *Chain) Retire(now time.Duration, addr string) (out []Effect, refused string) {
	c.now = now
	v := c.agreement.View
	switch {
	case !c.agreement.Joined || c.Relay:
		return nil, "this machine has no vote: ask one that has"
	case v.voter(addr) < 0:
		return nil, fmt.Sprintf("%s is no voter", addr)
	case addr == c.Me.Addr || c.inContact(addr):
		return nil, fmt.Sprintf("%s is running and in contact: stop it first", addr)
	case len(v.Voters) <= c.smallest(v):
		return nil, fmt.Sprintf("%d voters are the fewest that can bear the loss of %d: start a successor first, which takes its place", len(v.Voters), c.MaxMachineFailures)
	case len(v.Members)-1 < c.fewest() && v.index(addr) >= 0:
		return nil, "too few members would be left for a majority"
	}
	for _, m := range v.Members {
		c.send(m.Addr, Retire{addr})
	}
	return c.flush(), ""
}

func (c *Chain) requestRetirement(addr string) { c.retire[addr] = c.now }

// Voter is a voter as this machine sees it, for operators.
type Voter struct {
	Addr         string
	Zone, Region string
	Member       bool
	State        string        // in contact, out of contact, leaving, disk refuses writes
	Gone         time.Duration // since it was last in contact, where it is not
	WayOut       string        // why it is on its way out of the electorate; empty: it is not
}

// Electorate describes the voters for operators, and how many more than a majority are
// left if as many were lost as may be.
func (c *Chain) Electorate() (voters []Voter, margin int) {
	v := c.agreement.View
	for _, m := range v.Voters {
		x := Voter{Addr: m.Addr, Member: v.HasMember(m), State: "in contact"}
		x.Zone, x.Region = c.place(m)
		switch {
		case m.Addr == c.Me.Addr && m != c.Me:
			x.State = "its disk came back empty: waits to be taken in"
		case m == c.Me && c.store.Failed() || m != c.Me && c.inContact(m.Addr) && c.peerStates[m.Addr].heartbeat.Sick:
			x.State = "disk refuses writes"
		case c.departures[m.Addr] > 0 || m == c.Me && c.leaving:
			x.State = "leaving"
		case !c.inContact(m.Addr):
			x.State, x.Gone = "out of contact", c.now-c.lastHeard(m)
		}
		switch can := len(v.Voters) > c.smallest(v); {
		case x.Member || x.State == "in contact":
		case c.retirementRequested(m) && can:
			x.WayOut = "an operator wants it out"
		case can:
			x.WayOut = fmt.Sprintf("leaves with a successor's coming, or after %v", max(0, constants.RetireAfter-x.Gone).Round(time.Second))
		default:
			x.WayOut = "leaves with a successor's coming: too few voters to go without"
		}
		voters = append(voters, x)
	}
	return voters, c.margin(v, 0)
}
