package chain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/simnet"
)

const catchUp = 4 * time.Second // recovery time stated for the smallest deployments

// machines returns the names of n machines.
func machines(n int) []string {
	var out []string
	for i := range n {
		out = append(out, string(rune('a'+i)))
	}
	return out
}

// newSettledCluster returns a cluster without faults in which all machines have joined and
// orders have been acknowledged.
func newSettledCluster(t *testing.T, seed uint64, n, maxFailures int) *cluster {
	c := newCluster(t, seed, machines(n), maxFailures)
	c.faultsStopped = true
	c.network.Delay = 10 * time.Millisecond
	c.network.Run(6*time.Second, nil)
	c.checkOrdersAcknowledged("at the start")
	return c
}

// kill ends a process and keeps its disk.
func (c *cluster) kill(n string) { c.chains[n] = nil; c.generation[n]++ }

// wipe ends a process and empties its disk.
func (c *cluster) wipe(n string) { c.kill(n); c.disks[n] = simnet.NewDisk() }

// removeMachine stops a machine for good, gracefully or not.
func (c *cluster) removeMachine(n string, graceful bool) {
	if graceful {
		c.step(n, c.generation[n], func(ch *Chain) []Effect { return ch.Leave(c.network.Now) })
		c.network.Run(c.network.Now+500*time.Millisecond, nil)
	}
	c.kill(n)
	c.names = slices.DeleteFunc(slices.Clone(c.names), func(o string) bool { return o == n })
}

// addMachine starts a machine at a new address.
func (c *cluster) addMachine(n string) {
	c.disks[n] = simnet.NewDisk()
	c.seeds = c.names[:min(3, len(c.names))]
	c.names = append(c.names, n)
	c.start(n, false)
}

// running returns the machines that run and are not frozen.
func (c *cluster) running() []string {
	return slices.DeleteFunc(slices.Clone(c.names), func(n string) bool { return c.chains[n] == nil || c.frozen[n] })
}

// checkOrdersAcknowledged submits a configuration at each running machine and requires each
// to be acknowledged within five seconds of retries, as callers make them.
func (c *cluster) checkOrdersAcknowledged(when string) {
	c.t.Helper()
	for _, n := range c.running() {
		c.lastVersion++
		o := sentConfig{c.lastVersion, fmt.Sprintf("doc %d", c.lastVersion)}
		for end := c.network.Now + 5*time.Second; !slices.Contains(c.ackedConfigs, o.key()); {
			if c.network.Now >= end {
				c.fail("%s: r%d, submitted at %s, is not acknowledged; %+v", when, o.version, n, c.chains[n].Status())
			}
			c.submit(n, o)
			c.network.Run(c.network.Now+time.Second, nil)
		}
	}
}

// checkReads reads at each running machine; step checks that the ledger of each answer has
// everything that was acknowledged.
func (c *cluster) checkReads(when string) {
	c.t.Helper()
	for _, n := range c.running() {
		before := c.readsAnswered
		for end := c.network.Now + 4*time.Second; c.readsAnswered == before; {
			if c.network.Now >= end {
				c.fail("%s: a read at %s is not answered", when, n)
			}
			id := c.network.Rng.Uint64()
			c.pendingReads[n][id] = readStart{c.ackedVersion, len(c.ackedConfigs)}
			c.step(n, c.generation[n], func(ch *Chain) []Effect { return ch.Read(c.network.Now, id) })
			c.network.Run(c.network.Now+500*time.Millisecond, nil)
		}
	}
}

// TestMachinesReplacedInTurn replaces all machines one after the other, with the new machine
// started before or after the old one leaves. A catchUp after each replacement the largest
// tolerated loss occurs: the remaining machines must still form a majority and have every
// acknowledged order. They would not if voters were only ever added.
func TestMachinesReplacedInTurn(t *testing.T) {
	for _, f := range []struct{ n, maxFailures int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}, {8, 2}} {
		for variant := range 4 {
			graceful, joinFirst := variant&1 != 0, variant&2 != 0
			t.Run(fmt.Sprintf("%d of %d graceful=%v joinFirst=%v", f.maxFailures, f.n, graceful, joinFirst), func(t *testing.T) {
				t.Parallel()
				c := newSettledCluster(t, uint64(f.n), f.n, f.maxFailures)
				for i := range f.n + 1 {
					old, joining := c.names[0], fmt.Sprintf("n%d", i)
					if joinFirst {
						c.addMachine(joining)
						c.network.Run(c.network.Now+catchUp, nil)
						c.removeMachine(old, graceful)
						// The removed machine stops counting at once, since its successor has joined.
						c.network.Run(c.network.Now+2*time.Second, nil)
					} else {
						c.removeMachine(old, graceful)
						c.network.Run(c.network.Now+2*time.Second, nil)
						c.addMachine(joining)
						c.network.Run(c.network.Now+catchUp, nil)
					}
					lost := slices.Clone(c.names[len(c.names)-f.maxFailures:]) // including the successor
					for _, n := range lost {
						c.kill(n)
					}
					c.checkOrdersAcknowledged(fmt.Sprintf("after replacement %d and the loss of %v", i+1, lost))
					c.checkReads("with these machines down")
					for _, n := range lost {
						c.start(n, false)
					}
					c.network.Run(c.network.Now+catchUp, nil)
				}
				c.checkAllMembers()
			})
		}
	}
}

// TestMachinesReplacedThenRegionLost replaces each of eight machines in three regions by one
// of the same region, started before or after the old one leaves. After each replacement that
// region is lost: the rest must go on with everything that was acknowledged.
func TestMachinesReplacedThenRegionLost(t *testing.T) {
	for _, joinFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("joinFirst=%v", joinFirst), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 8, machines(3), 2)
			for _, n := range c.names { // restarted below with their regions
				c.wipe(n)
			}
			c.names, c.faultsStopped, c.maxRegionFailures, c.regionOf = machines(8), true, 1, map[string]string{}
			c.network.Delay = 30 * time.Millisecond
			c.seeds = c.names[:3]
			for i, n := range c.names {
				c.regionOf[n] = []string{"east", "west", "south"}[i%3]
				c.disks[n] = simnet.NewDisk()
			}
			for _, n := range c.names {
				c.start(n, true)
			}
			c.network.Run(6*time.Second, nil)
			c.checkOrdersAcknowledged("at the start")
			for i := range 8 {
				old, joining := c.names[0], fmt.Sprintf("n%d", i)
				c.regionOf[joining] = c.regionOf[old]
				if joinFirst {
					c.addMachine(joining)
					c.network.Run(c.network.Now+catchUp, nil)
					c.removeMachine(old, i%2 == 0)
					c.network.Run(c.network.Now+2*time.Second, nil)
				} else {
					c.removeMachine(old, i%2 == 0)
					c.network.Run(c.network.Now+2*time.Second, nil)
					c.addMachine(joining)
					c.network.Run(c.network.Now+catchUp, nil)
				}
				var lost []string
				for _, n := range c.names {
					if c.regionOf[n] == c.regionOf[joining] {
						lost = append(lost, n)
					}
				}
				for _, n := range lost {
					c.kill(n)
				}
				c.checkOrdersAcknowledged(fmt.Sprintf("after replacement %d and the loss of %s", i+1, c.regionOf[joining]))
				c.checkReads("with a region down")
				for _, n := range lost {
					c.start(n, false)
				}
				c.network.Run(c.network.Now+catchUp, nil)
			}
			c.checkAllMembers()
		})
	}
}

// checkAllMembers checks that every machine has all machines in its view and that the largest
// tolerated loss would leave a majority.
func (c *cluster) checkAllMembers() {
	c.t.Helper()
	for _, n := range c.names {
		v := c.chains[n].View()
		if len(v.Members) != len(c.names) || len(c.names)-c.maxFailures <= len(v.Voters)/2 {
			c.fail("%s has a view of %d members and %d voters of %d machines", n, len(v.Members), len(v.Voters), len(c.names))
		}
	}
}

// TestDisksLostInTurn loses disks a catchUp apart, including those of the head, the tail and a
// proposer in the middle of its round. Everything acknowledged must remain, and the next loss
// must be tolerated.
func TestDisksLostInTurn(t *testing.T) {
	for _, f := range []struct{ n, maxFailures int }{{3, 1}, {5, 2}, {6, 2}, {8, 2}} {
		for seed := uint64(1); seed <= 6; seed++ {
			t.Run(fmt.Sprintf("%d of %d seed %d", f.maxFailures, f.n, seed), func(t *testing.T) {
				t.Parallel()
				c := newSettledCluster(t, seed, f.n, f.maxFailures)
				for i := range 6 {
					ms := c.chains[c.names[0]].View().Members
					pick := []string{ms[0].Addr, ms[len(ms)-1].Addr, c.names[c.network.Rng.IntN(len(c.names))]}[i%3]
					if i == 4 {
						// The next member proposes a view without it. If two disks may be
						// lost, the proposer loses its disk during the round.
						c.wipe(pick)
						c.network.Run(c.network.Now+constants.MemberTimeout, nil)
						for end := c.network.Now + 2*time.Second; f.maxFailures > 1 && c.network.Now < end; {
							c.network.Run(c.network.Now+5*time.Millisecond, nil)
							p := slices.IndexFunc(c.running(), func(n string) bool { return c.chains[n].round != nil })
							if p >= 0 {
								n := c.running()[p]
								c.wipe(n)
								c.network.After(300*time.Millisecond, func() { c.start(n, false) })
								break
							}
						}
					} else {
						c.wipe(pick)
					}
					c.network.Run(c.network.Now+time.Duration(c.network.Rng.Int64N(int64(2*time.Second))), nil)
					c.start(pick, false)
					c.network.Run(c.network.Now+catchUp, nil)
					c.checkAllMembers()
					c.checkReads(fmt.Sprintf("after disk %d was lost", i+1))
				}
				c.checkOrdersAcknowledged("at the end")
			})
		}
	}
}

// TestMachineCutOffForTwentySeconds cuts one control machine off for twenty seconds, in one or
// both directions, with a restart of it or of another machine meanwhile. The others must go on
// within seconds and with few views. The machine must acknowledge nothing, refuse nothing,
// answer no read, and report that it is out of contact; after the partition it must be a
// member again within seconds.
func TestMachineCutOffForTwentySeconds(t *testing.T) {
	for _, f := range []struct{ n, maxFailures int }{{3, 1}, {6, 2}, {8, 2}} {
		for way := range 3 { // nothing passes; nothing out; nothing in
			for restart := range 3 { // of none; of the machine cut off; of another
				t.Run(fmt.Sprintf("machines=%d way=%d restart=%d", f.n, way, restart), func(t *testing.T) {
					t.Parallel()
					for seed := uint64(1); seed <= 3; seed++ {
						c := newSettledCluster(t, seed, f.n, f.maxFailures)
						x := c.names[int(seed)%len(c.names)]
						for _, o := range c.names {
							if o != x {
								c.network.Cut(x, o, way != 2)
								c.network.Cut(o, x, way != 1)
							}
						}
						cutAt := c.network.Now
						views := len(c.views)
						rest := slices.DeleteFunc(slices.Clone(c.names), func(n string) bool { return n == x })
						c.network.Run(cutAt+constants.ContactMaxAge+constants.MemberTimeout+2*time.Second, nil)
						ackedBefore := len(c.ackedConfigs)
						for i := 0; c.network.Now < cutAt+20*time.Second; i++ {
							if i == 3 && restart > 0 && (restart == 1 || f.maxFailures > 1) {
								n := x
								if restart == 2 {
									n = rest[0]
								}
								c.kill(n)
								c.network.After(time.Second, func() { c.start(n, false) })
							}
							c.lastVersion++
							o := sentConfig{c.lastVersion, fmt.Sprintf("doc %d", c.lastVersion)}
							refusals := c.refusals
							c.submit(x, o) // by an operator that reaches the machine cut off only
							if id := c.network.Rng.Uint64(); c.chains[x] != nil {
								c.pendingReads[x][id] = readStart{}
								c.step(x, c.generation[x], func(ch *Chain) []Effect { return ch.Read(c.network.Now, id) })
							}
							reads := c.readsAnswered
							c.network.Run(c.network.Now+500*time.Millisecond, nil)
							if way == 0 && (slices.Contains(c.ackedConfigs, o.key()) || c.refusals > refusals || c.readsAnswered > reads) {
								t.Fatalf("seed %d: %s is cut off but acknowledged or refused r%d, or answered a read", seed, x, o.version)
							}
							if c.chains[x] != nil {
								if at, ok := c.chains[x].MajorityContactAt(); ok && c.network.Now-at < constants.ContactMaxAge && c.network.Now-cutAt > constants.ContactMaxAge {
									t.Fatalf("seed %d: %s is cut off but reports that it is in contact", seed, x)
								}
							}
							c.submit(rest[len(rest)-1], sentConfig{o.version, o.content}) // accepted on the other side
							c.network.Run(c.network.Now+500*time.Millisecond, nil)
						}
						if n := len(c.ackedConfigs) - ackedBefore; n < 8 {
							t.Fatalf("seed %d: %d orders acknowledged by the others during the partition", seed, n)
						}
						maxViews := 3
						if restart > 0 {
							maxViews = 6
						}
						if n := len(c.views) - views; n > maxViews {
							t.Fatalf("seed %d: %d views during the partition", seed, n)
						}
						for _, o := range c.names {
							c.network.Cut(x, o, false)
							c.network.Cut(o, x, false)
						}
						c.network.Run(c.network.Now+catchUp, nil)
						c.checkAllMembers()
						c.checkOrdersAcknowledged("after the partition")
						c.checkReads("after the partition")
					}
				})
			}
		}
	}
}

// TestDisconnectedPairDoesNotFlapViews cuts the path between two machines that all others can
// reach. One of the two must be excluded from the view, and not be included and excluded again
// repeatedly.
func TestDisconnectedPairDoesNotFlapViews(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		c := newSettledCluster(t, seed, []int{3, 6}[seed%2], 1)
		a, b := c.names[0], c.names[1+int(seed)%(len(c.names)-1)]
		c.network.Cut(a, b, true)
		c.network.Cut(b, a, seed%3 > 0)
		views := len(c.views)
		c.network.Run(c.network.Now+20*time.Second, nil)
		if n := len(c.views) - views; n > 2 {
			t.Fatalf("seed %d: %d views in 20 s", seed, n)
		}
		c.lastVersion++
		o := sentConfig{c.lastVersion, "with a disconnected pair"}
		for _, m := range c.chains[c.names[len(c.names)-1]].View().Members {
			c.submit(m.Addr, o)
		}
		c.network.Run(c.network.Now+time.Second, nil)
		if !slices.Contains(c.ackedConfigs, o.key()) {
			t.Fatalf("seed %d: nothing is acknowledged with a disconnected pair", seed)
		}
		c.network.Cut(a, b, false)
		c.network.Cut(b, a, false)
		c.network.Run(c.network.Now+catchUp, nil)
		c.checkAllMembers()
	}
}

// TestRemovedVoterMustRejoin checks that a former voter that comes back with its disk first
// learns that it was removed: it must neither vote nor answer before a view includes it.
func TestRemovedVoterMustRejoin(t *testing.T) {
	c := newSettledCluster(t, 3, 3, 1)
	old := c.names[0]
	c.kill(old)
	c.network.Run(c.network.Now+2*time.Second, nil)
	c.addMachine("d")
	c.network.Run(c.network.Now+catchUp, nil)
	if v := c.chains["d"].View(); len(v.Voters) != 3 || v.memberIndex(old) >= 0 {
		t.Fatalf("the successor did not replace it: %+v", v)
	}
	for _, n := range c.names {
		c.network.Cut(old, n, true) // it receives, but nothing from it arrives
	}
	c.start(old, false)
	c.network.Run(c.network.Now+time.Second, nil)
	if g := c.chains[old].Status(); g.Joined || c.chains[old].mayVote() {
		t.Fatalf("it still acts as a voter: %+v", g)
	}
	slot := c.chains[old].View().Num + 1
	for _, o := range c.chains[old].Recv(c.network.Now, "d", Prepare{Slot: slot, Ballot: Ballot{9, "d"}}) {
		if m, ok := o.(Send); ok {
			if _, promised := m.Msg.(Promise); promised {
				t.Fatal("it promised")
			}
		}
	}
	for _, n := range c.names {
		c.network.Cut(old, n, false)
	}
	c.network.Run(c.network.Now+catchUp, nil)
	c.checkAllMembers()
	c.checkOrdersAcknowledged("after it rejoined")
}

// TestAbsentVoterIsRetired checks that a voter that is absent for long is removed from the
// electorate without a request, if enough voters remain.
func TestAbsentVoterIsRetired(t *testing.T) {
	c := newSettledCluster(t, 4, 6, 2)
	c.removeMachine("f", false)
	c.network.Run(c.network.Now+10*time.Second, nil)
	if v := c.chains["a"].View(); len(v.Voters) != 6 {
		t.Fatalf("%d voters after ten seconds: a change of the electorate interrupts leases", len(v.Voters))
	}
	c.network.Run(c.network.Now+constants.VoterRetireDelay, nil)
	if v := c.chains["a"].View(); len(v.Voters) != 5 {
		t.Fatalf("%d voters after a minute", len(v.Voters))
	}
	// Five voters are the fewest that tolerate the loss of two: none is retired.
	c.removeMachine("e", false)
	c.network.Run(c.network.Now+2*constants.VoterRetireDelay, nil)
	if v := c.chains["a"].View(); len(v.Voters) != 5 {
		t.Fatalf("%d voters, fewer than tolerate the loss of two", len(v.Voters))
	}
	c.checkOrdersAcknowledged("with four machines")
}

// TestRetireRequest checks that an operator's request removes a dead voter at once, and that it
// is refused with a reason if it would break the majority or the fault tolerance, or if the
// machine is not a voter or is in contact.
func TestRetireRequest(t *testing.T) {
	c := newSettledCluster(t, 4, 6, 2)
	checkRefused := func(n, addr, reason string) {
		t.Helper()
		if _, refused := c.chains[n].Retire(c.network.Now, addr); !strings.Contains(refused, reason) || refused == "" {
			t.Fatalf("retiring %s at %s: %q", addr, n, refused)
		}
	}
	checkRefused("a", "nobody", "no voter")
	checkRefused("a", "b", "in contact")
	checkRefused("a", "a", "in contact")
	c.removeMachine("f", false)
	c.network.Run(c.network.Now+4*time.Second, nil)
	c.step("b", c.generation["b"], func(ch *Chain) []Effect {
		out, refused := ch.Retire(c.network.Now, "f")
		if refused != "" {
			t.Fatal(refused)
		}
		return out
	})
	c.network.Run(c.network.Now+2*time.Second, nil)
	if v := c.chains["d"].View(); len(v.Voters) != 5 {
		t.Fatalf("%+v", v)
	}
	c.removeMachine("e", false)
	c.network.Run(c.network.Now+4*time.Second, nil)
	checkRefused("a", "e", "fewest")
	c.checkOrdersAcknowledged("after the requests")
}

// TestLeavingMachineIsExcludedAtOnce checks that a view without a machine that leaves
// gracefully is decided well before its silence would be noticed, and that orders are
// acknowledged throughout.
func TestLeavingMachineIsExcludedAtOnce(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		c := newSettledCluster(t, seed, []int{3, 6}[seed%2], 1)
		n := c.names[int(seed)%len(c.names)]
		if !c.chains[n].CanLeave() {
			t.Fatalf("seed %d: %s cannot leave", seed, n)
		}
		leftAt := c.network.Now
		c.step(n, c.generation[n], func(ch *Chain) []Effect { return ch.Leave(c.network.Now) })
		for !c.chains[n].HasLeft() {
			if c.network.Now-leftAt > constants.LeaveTimeout/2 {
				t.Fatalf("seed %d: %s is still a member after %v", seed, n, c.network.Now-leftAt)
			}
			c.network.Run(c.network.Now+10*time.Millisecond, nil)
		}
		c.kill(n)
		c.checkOrdersAcknowledged("right after it left")
		c.start(n, false)
		c.network.Run(c.network.Now+catchUp, nil)
		c.checkAllMembers()
	}
	c := newSettledCluster(t, 1, 3, 1)
	c.kill("a")
	c.network.Run(c.network.Now+2*time.Second, nil)
	if c.chains["b"].CanLeave() {
		t.Fatal("b may leave c with the only copy")
	}
	views := len(c.views)
	c.step("b", c.generation["b"], func(ch *Chain) []Effect { return ch.Leave(c.network.Now) })
	c.network.Run(c.network.Now+2*time.Second, nil)
	if len(c.views) != views {
		t.Fatal("a view of one machine was decided")
	}
}

// TestCatchUpTimeIsIndependentOfMissedChanges checks that a machine that missed 300 changes and
// lost its disk gets the newest state about as fast as one that missed a single change.
func TestCatchUpTimeIsIndependentOfMissedChanges(t *testing.T) {
	var elapsed [2]time.Duration
	for i, missed := range []int{1, 300} {
		c := newSettledCluster(t, 5, 3, 1)
		c.kill("b")
		c.network.Run(c.network.Now+2*time.Second, nil)
		for range missed {
			c.lastVersion++
			o := sentConfig{c.lastVersion, fmt.Sprintf("doc %d", c.lastVersion)}
			c.submit("a", o)
			c.network.Run(c.network.Now+100*time.Millisecond, nil)
		}
		c.network.Run(c.network.Now+time.Second, nil)
		if i == 1 {
			c.disks["b"] = simnet.NewDisk()
		}
		c.start("b", false)
		startedAt := c.network.Now
		for want := revisionOf(c.chains["a"].Committed()); revisionOf(c.chains["b"].Committed()) != want; {
			if c.network.Now-startedAt > catchUp {
				t.Fatalf("after %d missed changes %v is committed, want %v", missed, revisionOf(c.chains["b"].Committed()), want)
			}
			c.network.Run(c.network.Now+10*time.Millisecond, nil)
		}
		elapsed[i] = c.network.Now - startedAt
		c.network.Run(startedAt+catchUp, nil)
		c.checkAllMembers()
		c.checkReads("after it caught up")
	}
	if elapsed[1] > elapsed[0]+2*constants.HeartbeatInterval {
		t.Errorf("caught up in %v after one change, in %v after 300", elapsed[0], elapsed[1])
	}
}

// TestOneContentPerVersion submits two contents under one version at two machines at once, of
// which one must be acknowledged. When both are resubmitted anywhere later, after view changes,
// restarts and replaced machines, they must get the same answers. Below the reach of the ledger
// there is no answer.
func TestOneContentPerVersion(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		c := newSettledCluster(t, seed, 3, 1)
		c.lastVersion += 2
		a, b := sentConfig{c.lastVersion, "one"}, sentConfig{c.lastVersion, "other"}
		low := sentConfig{c.lastVersion - 1, "below the number in force"} // overtaken by a higher version
		c.submit(c.names[seed%3], a)
		c.submit(c.names[(seed+1)%3], b)
		c.network.Run(c.network.Now+time.Second, nil)
		c.submit(c.names[0], low)
		c.network.Run(c.network.Now+time.Second, nil)
		won, lost := slices.Contains(c.ackedConfigs, a.key()), slices.Contains(c.ackedConfigs, b.key())
		if won == lost {
			t.Fatalf("seed %d: acknowledged: %v and %v, want exactly one", seed, won, lost)
		}
		if !slices.Contains(c.ackedConfigs, low.key()) {
			t.Fatalf("seed %d: a valid order overtaken by a higher version is not acknowledged", seed)
		}
		checkResubmitted := func(when string) {
			t.Helper()
			c.network.Run(c.network.Now+catchUp, nil)
			for _, n := range c.names {
				acks, refusals := c.acks, c.refusals
				c.submit(n, a)
				c.submit(n, b)
				c.submit(n, low)
				c.submit(n, sentConfig{low.version, "other below"})
				c.network.Run(c.network.Now+time.Second, nil)
				if c.acks != acks+2 || c.refusals != refusals+2 || won != slices.Contains(c.ackedConfigs, a.key()) {
					t.Fatalf("seed %d: %s, at %s: %d acknowledged, %d refused", seed, when, n, c.acks-acks, c.refusals-refusals)
				}
			}
		}
		checkResubmitted("at once")
		for _, n := range c.names {
			c.kill(n)
		}
		for _, n := range c.names {
			c.start(n, false)
		}
		checkResubmitted("after all were restarted")
		c.removeMachine("a", seed%2 == 0)
		c.network.Run(c.network.Now+2*time.Second, nil)
		c.addMachine("d")
		checkResubmitted("after a machine was replaced")
		c.wipe("b")
		c.start("b", false)
		checkResubmitted("after a disk was lost")
	}
}

// TestEightConcurrentConfigurations submits eight configurations at all machines at once, in
// random order of their versions; each must be acknowledged within the time that callers wait.
func TestEightConcurrentConfigurations(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		c := newSettledCluster(t, seed, 3, 1)
		var sent []sentConfig
		for i, k := range c.network.Rng.Perm(8) {
			sent = append(sent, sentConfig{c.lastVersion + 1 + uint64(k), fmt.Sprintf("one of eight %d", k)})
			c.submit(c.names[i%3], sent[i])
		}
		c.network.Run(c.network.Now+constants.SubmitTimeout, nil)
		for _, o := range sent {
			if !slices.Contains(c.ackedConfigs, o.key()) {
				t.Errorf("seed %d: r%d is not acknowledged", seed, o.version)
			}
		}
	}
}

func TestLedgerIsBounded(t *testing.T) {
	var l config.Ledger
	r := rand.New(rand.NewPCG(1, 1))
	for v := uint64(1); v <= 3*constants.MaxLedgerEntries; v++ {
		l = l.With(v, r.Uint64())
	}
	if len(l.Taken) != constants.MaxLedgerEntries || l.Floor != 2*constants.MaxLedgerEntries {
		t.Fatalf("%d versions kept, none up to r%d", len(l.Taken), l.Floor)
	}
	if !l.Settled(5) || l.Settled(3*constants.MaxLedgerEntries+1) {
		t.Fatal("wrong versions are settled")
	}
	if _, ok := l.Find(5); ok {
		t.Fatal("a dropped version is found")
	}
	if same := l.With(5, 7); same.Sum != l.Sum {
		t.Fatal("a version below the floor was entered")
	}
}

// TestFoundingWithMinorityUnwritten interrupts the first start by a power loss before every
// founder has written. As long as a majority of them has, the system must start; the others
// join later.
func TestFoundingWithMinorityUnwritten(t *testing.T) {
	c := newCluster(t, 2, threeMachines, 1)
	c.faultsStopped = true
	c.wipe("c") // it has written nothing yet
	c.kill("a")
	c.kill("b")
	for _, n := range threeMachines {
		c.start(n, false) // bootstrap is false by now
	}
	c.network.Run(c.network.Now+6*time.Second, nil)
	c.checkAllMembers()
	c.checkOrdersAcknowledged("after an interrupted founding")
}

// TestFounderStoppedBetweenItsWrites checks that a founder that stopped between its first two
// writes is still a founder, although its disk is no longer empty and bootstrap is false.
func TestFounderStoppedBetweenItsWrites(t *testing.T) {
	c := newCluster(t, 2, threeMachines, 1)
	c.faultsStopped = true
	for _, n := range threeMachines {
		c.wipe(n)
		partial := simnet.NewDisk()
		partial.MaxKeys = 1 // the second write is refused, which ends the process
		c.disks[n] = partial
		if _, err := New(0, n, threeMachines, true, partial, rand.New(rand.NewPCG(1, 1))); err == nil {
			t.Fatal("New succeeded without the second write")
		}
		partial.MaxKeys = 0
		partial.Recover()
	}
	for _, n := range threeMachines {
		c.start(n, false)
	}
	c.network.Run(c.network.Now+4*time.Second, nil)
	c.checkAllMembers()
	c.checkOrdersAcknowledged("after founding with interrupted writes")
}

// TestForeignMessagesChangeNothing checks that malformed messages and messages from unknown
// machines change nothing.
func TestForeignMessagesChangeNothing(t *testing.T) {
	c := newSettledCluster(t, 6, 3, 1)
	before := fmt.Sprintf("%+v", c.chains["a"].View())
	for _, m := range []any{Prepare{Slot: 99, Ballot: Ballot{7, "x"}}, Accept{Slot: 2, View: View{Num: 2}}, Accepted{Slot: 2}, Promise{Slot: 2}, Sync{Slot: 1 << 60},
		Decide{View{Num: 9}}, Retire{"b"}, Retire{"nobody"}, NewerState{View: 1}, Replicate{View: 1}, Ack{View: 1, Stamp: config.Revision{View: 9}}, ResendRequest{}, Forward{}, Read{1}, ReadAnswer{ID: 5}, Fetch{}, Confirm{}, Confirmed{}} {
		c.step("a", c.generation["a"], func(ch *Chain) []Effect { return ch.Recv(c.network.Now, "x", m) })
	}
	c.network.Run(c.network.Now+catchUp, nil)
	if now := fmt.Sprintf("%+v", c.chains["a"].View()); now != before {
		t.Fatalf("%s became %s", before, now)
	}
	c.checkOrdersAcknowledged("after the messages")
}
