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

const catchUp = 4 * time.Second // as the smallest deployments state it

// machines names n machines.
func machines(n int) []string {
	var out []string
	for i := range n {
		out = append(out, string(rune('a'+i)))
	}
	return out
}

// settled core: all have joined, and one order is in force.
func calmCore(t *testing.T, seed uint64, n, tolerate int) *core {
	c := newCore(t, seed, machines(n), tolerate)
	c.over = true
	c.network.Delay = 10 * time.Millisecond
	c.network.Run(6*time.Second, nil)
	c.acknowledged("at the start")
	return c
}

// kill ends a process; its disk stays.
func (c *core) kill(n string) { c.chain[n] = nil; c.life[n]++ }

// wipe ends a process and empties its disk.
func (c *core) wipe(n string) { c.kill(n); c.disks[n] = simnet.NewDisk() }

// leave ends a machine for good, in order or not.
func (c *core) leave(n string, inOrder bool) {
	if inOrder {
		c.run(n, c.life[n], func(ch *Chain) []Effect { return ch.Leave(c.network.Now) })
		c.network.Run(c.network.Now+500*time.Millisecond, nil)
	}
	c.kill(n)
	c.names = slices.DeleteFunc(slices.Clone(c.names), func(o string) bool { return o == n })
}

// come starts a machine at a new address.
func (c *core) come(n string) {
	c.disks[n] = simnet.NewDisk()
	c.seeds = c.names[:min(3, len(c.names))]
	c.names = append(c.names, n)
	c.start(n, false)
}

// up are the machines that run.
func (c *core) up() []string {
	return slices.DeleteFunc(slices.Clone(c.names), func(n string) bool { return c.chain[n] == nil || c.frozen[n] })
}

// acknowledged sends an order to each machine that runs, and wants all acknowledged
// within five seconds of trying, as callers do.
func (c *core) acknowledged(when string) {
	c.t.Helper()
	for _, n := range c.up() {
		c.next++
		o := cfg{c.next, fmt.Sprintf("doc %d", c.next)}
		for end := c.network.Now + 5*time.Second; !slices.Contains(c.said, o.key()); {
			if c.network.Now >= end {
				c.fail("%s: r%d, sent to %s, is not acknowledged; %+v", when, o.version, n, c.chain[n].Status())
			}
			c.send(n, o)
			c.network.Run(c.network.Now+time.Second, nil)
		}
	}
}

// holds wants all that was acknowledged to be in the ledger that a read at any machine gives.
func (c *core) holds(when string) {
	c.t.Helper()
	for _, n := range c.up() {
		before := c.reads
		for end := c.network.Now + 4*time.Second; c.reads == before; {
			if c.network.Now >= end {
				c.fail("%s: a read at %s is not answered", when, n)
			}
			id := c.network.Rng.Uint64()
			c.reading[n][id] = begun{c.acked, len(c.said)}
			c.run(n, c.life[n], func(ch *Chain) []Effect { return ch.Read(c.network.Now, id) })
			c.network.Run(c.network.Now+500*time.Millisecond, nil)
		}
	}
}

// Machines leave for good one after the other and others come at new addresses, before
// or after; a catchUp after each, as many as may be lost are lost: a majority and every
// confirmed order are left. Voters that were only ever added left none.
func TestReplacedOneAfterTheOther(t *testing.T) {
	for _, f := range []struct{ n, tolerate int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}, {8, 2}} {
		for variant := range 4 {
			inOrder, comesFirst := variant&1 != 0, variant&2 != 0
			t.Run(fmt.Sprintf("%d of %d inOrder=%v comesFirst=%v", f.tolerate, f.n, inOrder, comesFirst), func(t *testing.T) {
				t.Parallel()
				c := calmCore(t, uint64(f.n), f.n, f.tolerate)
				for i := range f.n + 1 {
					old, young := c.names[0], fmt.Sprintf("n%d", i)
					if comesFirst {
						c.come(young)
						c.network.Run(c.network.Now+catchUp, nil)
						c.leave(old, inOrder)
						// What is removed stops counting at once: its successor had its time.
						c.network.Run(c.network.Now+2*time.Second, nil)
					} else {
						c.leave(old, inOrder)
						c.network.Run(c.network.Now+2*time.Second, nil)
						c.come(young)
						c.network.Run(c.network.Now+catchUp, nil)
					}
					lost := slices.Clone(c.names[len(c.names)-f.tolerate:]) // the successor among them
					for _, n := range lost {
						c.kill(n)
					}
					c.acknowledged(fmt.Sprintf("after replacement %d and the loss of %v", i+1, lost))
					c.holds("with those lost")
					for _, n := range lost {
						c.start(n, false)
					}
					c.network.Run(c.network.Now+catchUp, nil)
				}
				c.Settled()
			})
		}
	}
}

// The same where whole regions may be lost: eight machines in three regions, each machine
// replaced by one of its own region, before or after; then any region is lost, and what is
// left goes on with all that was confirmed.
func TestReplacedThenARegionLost(t *testing.T) {
	for _, comesFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("comesFirst=%v", comesFirst), func(t *testing.T) {
			t.Parallel()
			c := newCore(t, 8, machines(3), 2)
			for _, n := range c.names { // begun anew, with their places
				c.wipe(n)
			}
			c.names, c.over, c.regions, c.region = machines(8), true, 1, map[string]string{}
			c.network.Delay = 30 * time.Millisecond
			c.seeds = c.names[:3]
			for i, n := range c.names {
				c.region[n] = []string{"east", "west", "south"}[i%3]
				c.disks[n] = simnet.NewDisk()
			}
			for _, n := range c.names {
				c.start(n, true)
			}
			c.network.Run(6*time.Second, nil)
			c.acknowledged("at the start")
			for i := range 8 {
				old, young := c.names[0], fmt.Sprintf("n%d", i)
				c.region[young] = c.region[old]
				if comesFirst {
					c.come(young)
					c.network.Run(c.network.Now+catchUp, nil)
					c.leave(old, i%2 == 0)
					c.network.Run(c.network.Now+2*time.Second, nil)
				} else {
					c.leave(old, i%2 == 0)
					c.network.Run(c.network.Now+2*time.Second, nil)
					c.come(young)
					c.network.Run(c.network.Now+catchUp, nil)
				}
				var lost []string
				for _, n := range c.names {
					if c.region[n] == c.region[young] {
						lost = append(lost, n)
					}
				}
				for _, n := range lost {
					c.kill(n)
				}
				c.acknowledged(fmt.Sprintf("after replacement %d and the loss of %s", i+1, c.region[young]))
				c.holds("with a region lost")
				for _, n := range lost {
					c.start(n, false)
				}
				c.network.Run(c.network.Now+catchUp, nil)
			}
			c.Settled()
		})
	}
}

// settled wants one view of all machines, which may lose as many as may be.
func (c *core) Settled() {
	c.t.Helper()
	for _, n := range c.names {
		v := c.chain[n].View()
		if len(v.Members) != len(c.names) || len(c.names)-c.tolerate <= len(v.Voters)/2 {
			c.fail("%s sees %d members and %d voters of %d machines", n, len(v.Members), len(v.Voters), len(c.names))
		}
	}
}

// Disks are lost a catchUp apart, the head's, the tail's and the proposer's in the
// middle of its round among them; what was confirmed stays, and the next loss is borne.
func TestDisksLostACatchUpApart(t *testing.T) {
	for _, f := range []struct{ n, tolerate int }{{3, 1}, {5, 2}, {6, 2}, {8, 2}} {
		for seed := uint64(1); seed <= 6; seed++ {
			t.Run(fmt.Sprintf("%d of %d seed %d", f.tolerate, f.n, seed), func(t *testing.T) {
				t.Parallel()
				c := calmCore(t, seed, f.n, f.tolerate)
				for i := range 6 {
					ms := c.chain[c.names[0]].View().Members
					pick := []string{ms[0].Addr, ms[len(ms)-1].Addr, c.names[c.network.Rng.IntN(len(c.names))]}[i%3]
					if i == 4 {
						// The next in line proposes without it, and loses its disk while
						// its round is under way, where two may be lost.
						c.wipe(pick)
						c.network.Run(c.network.Now+constants.MemberSilence, nil)
						for end := c.network.Now + 2*time.Second; f.tolerate > 1 && c.network.Now < end; {
							c.network.Run(c.network.Now+5*time.Millisecond, nil)
							p := slices.IndexFunc(c.up(), func(n string) bool { return c.chain[n].round != nil })
							if p >= 0 {
								n := c.up()[p]
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
					c.Settled()
					c.holds(fmt.Sprintf("after disk %d was lost", i+1))
				}
				c.acknowledged("in the end")
			})
		}
	}
}

// One control machine is cut off for twenty seconds, both ways or one, with a restart of
// it or of another within. The others go on within seconds in few views; it confirms
// nothing, refuses nothing, gives no read, and says that it is out of contact; after the
// cut it is back within seconds.
func TestCutOffForTwentySeconds(t *testing.T) {
	for _, f := range []struct{ n, tolerate int }{{3, 1}, {6, 2}, {8, 2}} {
		for way := range 3 { // nothing in nor out; nothing out; nothing in
			for restart := range 3 { // none; the one cut off; another
				t.Run(fmt.Sprintf("machines=%d way=%d restart=%d", f.n, way, restart), func(t *testing.T) {
					t.Parallel()
					for seed := uint64(1); seed <= 3; seed++ {
						c := calmCore(t, seed, f.n, f.tolerate)
						x := c.names[int(seed)%len(c.names)]
						for _, o := range c.names {
							if o != x {
								c.network.Cut(x, o, way != 2)
								c.network.Cut(o, x, way != 1)
							}
						}
						began := c.network.Now
						views := len(c.views)
						rest := slices.DeleteFunc(slices.Clone(c.names), func(n string) bool { return n == x })
						c.network.Run(began+constants.ContactFresh+constants.MemberSilence+2*time.Second, nil)
						told := len(c.said)
						for i := 0; c.network.Now < began+20*time.Second; i++ {
							if i == 3 && restart > 0 && (restart == 1 || f.tolerate > 1) {
								n := x
								if restart == 2 {
									n = rest[0]
								}
								c.kill(n)
								c.network.After(time.Second, func() { c.start(n, false) })
							}
							c.next++
							o := cfg{c.next, fmt.Sprintf("doc %d", c.next)}
							lost := c.lost
							c.send(x, o) // an operator that sees the cut-off side only
							if id := c.network.Rng.Uint64(); c.chain[x] != nil {
								c.reading[x][id] = begun{}
								c.run(x, c.life[x], func(ch *Chain) []Effect { return ch.Read(c.network.Now, id) })
							}
							reads := c.reads
							c.network.Run(c.network.Now+500*time.Millisecond, nil)
							if way == 0 && (slices.Contains(c.said, o.key()) || c.lost > lost || c.reads > reads) {
								t.Fatalf("seed %d: %s, cut off, confirmed r%d, refused it, or gave a read", seed, x, o.version)
							}
							if c.chain[x] != nil {
								if at, ok := c.chain[x].MajorityContactAt(); ok && c.network.Now-at < constants.ContactFresh && c.network.Now-began > constants.ContactFresh {
									t.Fatalf("seed %d: %s is cut off and says that it is in contact", seed, x)
								}
							}
							c.send(rest[len(rest)-1], cfg{o.version, o.content}) // elsewhere the same order is taken
							c.network.Run(c.network.Now+500*time.Millisecond, nil)
						}
						if n := len(c.said) - told; n < 8 {
							t.Fatalf("seed %d: %d orders acknowledged beside the cut", seed, n)
						}
						most := 3
						if restart > 0 {
							most = 6
						}
						if n := len(c.views) - views; n > most {
							t.Fatalf("seed %d: %d views within the cut", seed, n)
						}
						for _, o := range c.names {
							c.network.Cut(x, o, false)
							c.network.Cut(o, x, false)
						}
						c.network.Run(c.network.Now+catchUp, nil)
						c.Settled()
						c.acknowledged("after the cut")
						c.holds("after the cut")
					}
				})
			}
		}
	}
}

// Two machines cannot reach each other, and all others reach both: one of the two is left
// out, and is not taken in and left out again and again.
func TestPairApartDoesNotFlap(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		c := calmCore(t, seed, []int{3, 6}[seed%2], 1)
		a, b := c.names[0], c.names[1+int(seed)%(len(c.names)-1)]
		c.network.Cut(a, b, true)
		c.network.Cut(b, a, seed%3 > 0)
		views := len(c.views)
		c.network.Run(c.network.Now+20*time.Second, nil)
		if n := len(c.views) - views; n > 2 {
			t.Fatalf("seed %d: %d views in 20 s", seed, n)
		}
		c.next++
		o := cfg{c.next, "with a pair apart"}
		for _, m := range c.chain[c.names[len(c.names)-1]].View().Members {
			c.send(m.Addr, o)
		}
		c.network.Run(c.network.Now+time.Second, nil)
		if !slices.Contains(c.said, o.key()) {
			t.Fatalf("seed %d: nothing is acknowledged with a pair apart", seed)
		}
		c.network.Cut(a, b, false)
		c.network.Cut(b, a, false)
		c.network.Run(c.network.Now+catchUp, nil)
		c.Settled()
	}
}

// A voter that was voted out and comes back with its disk first learns so: it neither
// votes nor answers before a view has taken it in.
func TestVotedOutComesBackAsNewcomer(t *testing.T) {
	c := calmCore(t, 3, 3, 1)
	old := c.names[0]
	c.kill(old)
	c.network.Run(c.network.Now+2*time.Second, nil)
	c.come("d")
	c.network.Run(c.network.Now+catchUp, nil)
	if v := c.chain["d"].View(); len(v.Voters) != 3 || v.memberIndex(old) >= 0 {
		t.Fatalf("the successor did not take the place: %+v", v)
	}
	for _, n := range c.names {
		c.network.Cut(old, n, true) // it hears, and is not heard
	}
	c.start(old, false)
	c.network.Run(c.network.Now+time.Second, nil)
	if g := c.chain[old].Status(); g.Joined || c.chain[old].mayVote() {
		t.Fatalf("it still takes itself for a voter: %+v", g)
	}
	slot := c.chain[old].View().Num + 1
	for _, o := range c.chain[old].Recv(c.network.Now, "d", Prepare{Slot: slot, Ballot: Ballot{9, "d"}}) {
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
	c.Settled()
	c.acknowledged("with it back")
}

// A voter gone for long leaves the electorate by itself where enough stay.
func TestLongGoneVoterIsRetired(t *testing.T) {
	c := calmCore(t, 4, 6, 2)
	c.leave("f", false)
	c.network.Run(c.network.Now+10*time.Second, nil)
	if v := c.chain["a"].View(); len(v.Voters) != 6 {
		t.Fatalf("%d voters after ten seconds: a change of electorate costs leases", len(v.Voters))
	}
	c.network.Run(c.network.Now+constants.RetireAfter, nil)
	if v := c.chain["a"].View(); len(v.Voters) != 5 {
		t.Fatalf("%d voters after a minute", len(v.Voters))
	}
	// With five left and two that may be lost there is nothing to give up.
	c.leave("e", false)
	c.network.Run(c.network.Now+2*constants.RetireAfter, nil)
	if v := c.chain["a"].View(); len(v.Voters) != 5 {
		t.Fatalf("%d voters, fewer than can bear the loss of two", len(v.Voters))
	}
	c.acknowledged("with four")
}

// An operator's word retires a dead voter at once, and is refused with a reason where it
// would break the majority or the tolerance, or is about nobody.
func TestRetireByHand(t *testing.T) {
	c := calmCore(t, 4, 6, 2)
	refused := func(n, addr, why string) {
		t.Helper()
		if _, no := c.chain[n].Retire(c.network.Now, addr); !strings.Contains(no, why) || no == "" {
			t.Fatalf("retiring %s at %s: %q", addr, n, no)
		}
	}
	refused("a", "nobody", "not a voter")
	refused("a", "b", "in contact")
	refused("a", "a", "in contact")
	c.leave("f", false)
	c.network.Run(c.network.Now+4*time.Second, nil)
	c.run("b", c.life["b"], func(ch *Chain) []Effect {
		out, no := ch.Retire(c.network.Now, "f")
		if no != "" {
			t.Fatal(no)
		}
		return out
	})
	c.network.Run(c.network.Now+2*time.Second, nil)
	if v := c.chain["d"].View(); len(v.Voters) != 5 {
		t.Fatalf("%+v", v)
	}
	c.leave("e", false)
	c.network.Run(c.network.Now+4*time.Second, nil)
	refused("a", "e", "fewest")
	c.acknowledged("after it")
}

// A machine that leaves in order is done without at once: a view without it comes well
// before its silence would have been noticed, and orders are acknowledged through it.
func TestLeaverIsDoneWithoutAtOnce(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		c := calmCore(t, seed, []int{3, 6}[seed%2], 1)
		n := c.names[int(seed)%len(c.names)]
		if !c.chain[n].CanLeave() {
			t.Fatalf("seed %d: %s cannot leave", seed, n)
		}
		began := c.network.Now
		c.run(n, c.life[n], func(ch *Chain) []Effect { return ch.Leave(c.network.Now) })
		for !c.chain[n].HasLeft() {
			if c.network.Now-began > constants.LeaveWait/2 {
				t.Fatalf("seed %d: %s still counts after %v", seed, n, c.network.Now-began)
			}
			c.network.Run(c.network.Now+10*time.Millisecond, nil)
		}
		c.kill(n)
		c.acknowledged("right after it left")
		c.start(n, false)
		c.network.Run(c.network.Now+catchUp, nil)
		c.Settled()
	}
	c := calmCore(t, 1, 3, 1)
	c.kill("a")
	c.network.Run(c.network.Now+2*time.Second, nil)
	if c.chain["b"].CanLeave() {
		t.Fatal("b would leave c alone with the only copy")
	}
	views := len(c.views)
	c.run("b", c.life["b"], func(ch *Chain) []Effect { return ch.Leave(c.network.Now) })
	c.network.Run(c.network.Now+2*time.Second, nil)
	if len(c.views) != views {
		t.Fatal("a view of one machine was made")
	}
}

// A machine that missed three hundred changes has the newest state in a few words and
// as many bytes as one that missed a single one; one with an empty disk likewise.
func TestCatchesUpInOneState(t *testing.T) {
	var took [2]time.Duration
	for i, missed := range []int{1, 300} {
		c := calmCore(t, 5, 3, 1)
		c.kill("b")
		c.network.Run(c.network.Now+2*time.Second, nil)
		for range missed {
			c.next++
			o := cfg{c.next, fmt.Sprintf("doc %d", c.next)}
			c.send("a", o)
			c.network.Run(c.network.Now+100*time.Millisecond, nil)
		}
		c.network.Run(c.network.Now+time.Second, nil)
		if i == 1 {
			c.disks["b"] = simnet.NewDisk()
		}
		c.start("b", false)
		began := c.network.Now
		for want := revisionOf(c.chain["a"].Committed()); revisionOf(c.chain["b"].Committed()) != want; {
			if c.network.Now-began > catchUp {
				t.Fatalf("after %d changes it holds %v, committed is %v", missed, revisionOf(c.chain["b"].Committed()), want)
			}
			c.network.Run(c.network.Now+10*time.Millisecond, nil)
		}
		took[i] = c.network.Now - began
		c.network.Run(began+catchUp, nil)
		c.Settled()
		c.holds("after it caught up")
	}
	if took[1] > took[0]+2*constants.HeartbeatEvery {
		t.Errorf("%v after one change, %v after 300", took[0], took[1])
	}
}

// The ledger: two contents under one number at two machines at once, of which one is
// acknowledged; both sent again anywhere, later, after views, restarts of all and
// replaced machines, get the answer they had; below its reach no verdict is given.
func TestOneNumberOneContent(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		c := calmCore(t, seed, 3, 1)
		c.next += 2
		a, b := cfg{c.next, "one"}, cfg{c.next, "other"}
		low := cfg{c.next - 1, "below the number in force"} // a race's loser
		c.send(c.names[seed%3], a)
		c.send(c.names[(seed+1)%3], b)
		c.network.Run(c.network.Now+time.Second, nil)
		c.send(c.names[0], low)
		c.network.Run(c.network.Now+time.Second, nil)
		won, lost := slices.Contains(c.said, a.key()), slices.Contains(c.said, b.key())
		if won == lost {
			t.Fatalf("seed %d: acknowledged: %v and %v", seed, won, lost)
		}
		if !slices.Contains(c.said, low.key()) {
			t.Fatalf("seed %d: a valid order overtaken by a higher number is not acknowledged", seed)
		}
		again := func(when string) {
			t.Helper()
			c.network.Run(c.network.Now+catchUp, nil)
			for _, n := range c.names {
				acks, refused := c.acks, c.lost
				c.send(n, a)
				c.send(n, b)
				c.send(n, low)
				c.send(n, cfg{low.version, "other below"})
				c.network.Run(c.network.Now+time.Second, nil)
				if c.acks != acks+2 || c.lost != refused+2 || won != slices.Contains(c.said, a.key()) {
					t.Fatalf("seed %d: %s, at %s: %d acknowledged, %d refused", seed, when, n, c.acks-acks, c.lost-refused)
				}
			}
		}
		again("at once")
		for _, n := range c.names {
			c.kill(n)
		}
		for _, n := range c.names {
			c.start(n, false)
		}
		again("after all were started again")
		c.leave("a", seed%2 == 0)
		c.network.Run(c.network.Now+2*time.Second, nil)
		c.come("d")
		again("after a machine was replaced")
		c.wipe("b")
		c.start("b", false)
		again("after a disk was lost")
	}
}

// Eight configurations are under way at once, at all machines and in any order of their
// numbers: each is acknowledged in the time that callers wait.
func TestEightOrdersAtOnce(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		c := calmCore(t, seed, 3, 1)
		var sent []cfg
		for i, k := range c.network.Rng.Perm(8) {
			sent = append(sent, cfg{c.next + 1 + uint64(k), fmt.Sprintf("one of eight %d", k)})
			c.send(c.names[i%3], sent[i])
		}
		c.network.Run(c.network.Now+constants.SubmitWait, nil)
		for _, o := range sent {
			if !slices.Contains(c.said, o.key()) {
				t.Errorf("seed %d: r%d is not acknowledged", seed, o.version)
			}
		}
	}
}

func TestLedgerIsBounded(t *testing.T) {
	var l config.Ledger
	r := rand.New(rand.NewPCG(1, 1))
	for v := uint64(1); v <= 3*constants.LedgerKept; v++ {
		l = l.With(v, r.Uint64())
	}
	if len(l.Taken) != constants.LedgerKept || l.Floor != 2*constants.LedgerKept {
		t.Fatalf("%d kept, nothing known up to r%d", len(l.Taken), l.Floor)
	}
	if !l.Settled(5) || l.Settled(3*constants.LedgerKept+1) {
		t.Fatal("what is settled is wrong")
	}
	if _, ok := l.Find(5); ok {
		t.Fatal("a forgotten number is found")
	}
	if same := l.With(5, 7); same.Sum != l.Sum {
		t.Fatal("something was taken below its reach")
	}
}

// The very start is cut short by a loss of power before every founder has written: as
// long as a majority of them has, the system comes up; the others join as newcomers.
func TestFoundingCutShort(t *testing.T) {
	c := newCore(t, 2, three, 1)
	c.over = true
	c.wipe("c") // it had written nothing yet
	c.kill("a")
	c.kill("b")
	for _, n := range three {
		c.start(n, false) // bootstrap is false now
	}
	c.network.Run(c.network.Now+6*time.Second, nil)
	c.Settled()
	c.acknowledged("after a start that was cut short")
}

// A founder that ended between its first two writes founds all the same, though its disk
// is not empty any more and bootstrap is false.
func TestFoundingEndsBetweenTwoWrites(t *testing.T) {
	c := newCore(t, 2, three, 1)
	c.over = true
	for _, n := range three {
		c.wipe(n)
		half := simnet.NewDisk()
		half.Full = 1 // the second write is refused: the process ends there
		c.disks[n] = half
		if _, err := New(0, n, three, true, half, rand.New(rand.NewPCG(1, 1))); err == nil {
			t.Fatal("started without its second write")
		}
		half.Full = 0
		half.Recover()
	}
	for _, n := range three {
		c.start(n, false)
	}
	c.network.Run(c.network.Now+4*time.Second, nil)
	c.Settled()
	c.acknowledged("after founding ended between two writes")
}

// Garbled or foreign words of agreement change nothing.
func TestForeignWordsOfAgreement(t *testing.T) {
	c := calmCore(t, 6, 3, 1)
	before := fmt.Sprintf("%+v", c.chain["a"].View())
	for _, m := range []any{Prepare{Slot: 99, Ballot: Ballot{7, "x"}}, Accept{Slot: 2, View: View{Num: 2}}, Accepted{Slot: 2}, Promise{Slot: 2}, Sync{Slot: 1 << 60},
		Decide{View{Num: 9}}, Retire{"b"}, Retire{"nobody"}, NewerState{View: 1}, Replicate{View: 1}, Ack{View: 1, Stamp: config.Revision{View: 9}}, ResendRequest{}, Forward{}, Read{1}, ReadAnswer{ID: 5}, Fetch{}, Confirm{}, Confirmed{}} {
		c.run("a", c.life["a"], func(ch *Chain) []Effect { return ch.Recv(c.network.Now, "x", m) })
	}
	c.network.Run(c.network.Now+catchUp, nil)
	if now := fmt.Sprintf("%+v", c.chain["a"].View()); now != before {
		t.Fatalf("%s became %s", before, now)
	}
	c.acknowledged("after them")
}
