package chain

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/simnet"
)

// core is three machines on a simulated network, with an operator that submits
// and reads, and the rules checked after each step.
type core struct {
	t        *testing.T
	seed     uint64
	network  *simnet.Network
	names    []string
	seeds    []string // the first three found the view; the others join
	tolerate int
	orders   map[string]map[uint64]order // sent at a machine in this life, not yet acknowledged
	evac     map[string]map[string]config.Evacuation
	ackedNum map[string]uint64            // by zone: the orders acknowledged
	readNum  map[uint64]map[string]uint64 // by read: those when it began
	disks    map[string]*simnet.Disk
	chain    map[string]*Chain // nil while down
	life     map[string]int
	frozen   map[string]bool
	pending  map[string][]func()      // for a frozen machine
	troubles map[string]int           // how many troubles a machine has at present
	calm     map[string]time.Duration // when the last of them ended

	region  map[string]string // where machines stand, if anywhere; a zone each
	regions int               // how many of them may be lost at once
	stepped func(n string)    // after each step of a machine, before its words leave
	over    bool              // no more trouble
	gap     time.Duration     // longest pause between troubles
	next    uint64
	sent    []cfg                  // all that was ever sent, to be sent again
	known   map[config.Taken]bool  // likewise, to tell what was never sent
	taken   map[uint64]uint64      // by number: the content that a committed ledger has shown
	acked   uint64                 // highest version acknowledged to the operator
	ackedAt []ackedAt              // each time it rose
	said    []config.Taken         // all that was acknowledged, in order
	inForce map[string]*config.Doc // per life: the newest committed state
	views   map[uint64]string
	joined  int // machines that came at new addresses
	acks    int
	lost    int // orders told that their number has another content
	reads   int
	waits   map[string]map[config.Taken]bool // orders submitted at a machine in this life
	reading map[string]map[uint64]begun      // read id: what was acknowledged when it began
}

// config is a configuration sent: one of perhaps several contents under its number.
type cfg struct {
	version uint64
	content string
}

func (o cfg) key() config.Taken {
	return config.Taken{Version: o.version, Sum: config.SumOf([]byte(o.content))}
}

// begun is what had been acknowledged when a read began.
type begun struct {
	version uint64
	said    int
}

var three = []string{"a", "b", "c"}

type ackedAt struct {
	at      time.Duration
	version uint64
}

// sure checks what a machine claims to know: at the moment it names, nothing newer
// than what is committed there had been acknowledged.
func (c *core) sure(n string) {
	at, ok := c.chain[n].ReadIndexAt()
	for i := len(c.ackedAt) - 1; ok && i >= 0; i-- {
		if a := c.ackedAt[i]; a.at < at {
			if a.version > VersionOf(c.chain[n].Committed()) && a.version > 0 {
				c.fail("%s is sure of r%d at %v, r%d was acknowledged at %v", n, VersionOf(c.chain[n].Committed()), at, a.version, a.at)
			}
			return
		}
	}
}

func newCore(t *testing.T, seed uint64, names []string, tolerate int) *core {
	c := &core{t: t, seed: seed, network: simnet.New(seed), names: names, seeds: names[:3], disks: map[string]*simnet.Disk{}, chain: map[string]*Chain{},
		life: map[string]int{}, frozen: map[string]bool{}, pending: map[string][]func(){}, troubles: map[string]int{}, calm: map[string]time.Duration{},
		known: map[config.Taken]bool{}, taken: map[uint64]uint64{}, inForce: map[string]*config.Doc{}, views: map[uint64]string{}, tolerate: tolerate, orders: map[string]map[uint64]order{}, readNum: map[uint64]map[string]uint64{}, ackedNum: map[string]uint64{}, evac: map[string]map[string]config.Evacuation{},
		waits: map[string]map[config.Taken]bool{}, reading: map[string]map[uint64]begun{}}
	for _, n := range c.names {
		c.disks[n] = simnet.NewDisk()
		c.start(n, true)
	}
	return c
}

func (c *core) fail(f string, a ...any) {
	c.t.Helper()
	c.t.Fatalf("seed %d at %v: %s", c.seed, c.network.Now, fmt.Sprintf(f, a...))
}

func (c *core) start(n string, founding bool) {
	if c.chain[n] != nil {
		return
	}
	c.life[n]++
	ch, err := New(c.network.Now, n, c.seeds, founding && slices.Contains(c.seeds, n), c.disks[n], rand.New(rand.NewPCG(c.seed, uint64(c.life[n])*31+uint64(n[0]))))
	if err != nil {
		return // its disk refuses; it stays down
	}
	ch.MaxMachineFailures, ch.Relay, ch.Original = c.tolerate, n[0] == 'r', founding && !slices.Contains(c.seeds, n)
	if r := c.region[n]; r != "" {
		ch.Zone, ch.Region, ch.MaxZoneFailures, ch.MaxRegionFailures = "zone of "+n, r, 1, c.regions
	}
	c.chain[n] = ch
	c.inForce[n] = nil
	c.orders[n], c.evac[n] = map[uint64]order{}, nil
	c.waits[n], c.reading[n] = map[config.Taken]bool{}, map[uint64]begun{}
	c.tick(n, c.life[n])
}

func (c *core) tick(n string, life int) {
	c.run(n, life, func(ch *Chain) []Effect { return ch.Tick(c.network.Now) })
	c.network.After(constants.ChainTick, func() {
		if c.life[n] == life && c.chain[n] != nil {
			c.tick(n, life)
		}
	})
}

func (c *core) run(n string, life int, f func(*Chain) []Effect) {
	if c.life[n] != life || c.chain[n] == nil {
		return
	}
	if c.frozen[n] {
		if len(c.pending[n]) < 100 {
			c.pending[n] = append(c.pending[n], func() { c.run(n, life, f) })
		}
		return
	}
	out := f(c.chain[n])
	if c.stepped != nil {
		c.stepped(n)
	}
	c.sure(n)
	for _, o := range out {
		switch o := o.(type) {
		case Send:
			to := o.To
			c.network.Send(n, to, func() {
				c.run(to, c.life[to], func(ch *Chain) []Effect { return ch.Recv(c.network.Now, n, o.Msg) })
			})
		case Commit:
			c.evacsIn(n, o.Doc)
			c.committed(n, o.Doc)
		case ReadDone:
			for z, num := range c.readNum[o.ID] {
				if o.Doc.Evac[z].Num < num {
					c.fail("read at %s has %d orders on %s, %d were acknowledged", n, o.Doc.Evac[z].Num, z, num)
				}
			}
			began, ok := c.reading[n][o.ID]
			delete(c.reading[n], o.ID)
			if ok && VersionOf(o.Doc) < began.version {
				c.fail("read at %s gives r%d, r%d was acknowledged before it began", n, VersionOf(o.Doc), began.version)
			}
			if ok {
				c.reads++
				for _, k := range c.said[:began.said] {
					if sum, known := o.Doc.Ledger.Find(k.Version); known && sum != k.Sum || !known && k.Version > o.Doc.Ledger.Floor {
						c.fail("read at %s: r%d was acknowledged, its content is lost from the ledger", n, k.Version)
					}
				}
			}
		case ViewChanged:
			s := fmt.Sprint(o.View)
			if old, ok := c.views[o.View.Num]; ok && old != s {
				c.fail("view %d is both %s and %s", o.View.Num, old, s)
			}
			c.views[o.View.Num] = s
			if n := len(o.View.Members); n <= len(o.View.Voters)/2 || n <= min(c.tolerate, len(o.View.Voters)-1) {
				c.fail("view %d has %d members of %d voters", o.View.Num, n, len(o.View.Voters))
			}
		}
	}
}

func (c *core) operator() {
	r := c.network.Rng
	n := c.names[r.IntN(len(c.names))]
	life := c.life[n]
	if r.IntN(5) == 0 {
		c.evacuate(n)
	} else if r.IntN(3) == 0 {
		id := r.Uint64()
		if c.chain[n] != nil {
			c.reading[n][id] = begun{c.acked, len(c.said)}
			c.readNum[id] = maps.Clone(c.ackedNum)
			c.run(n, life, func(ch *Chain) []Effect { return ch.Read(c.network.Now, id) })
		}
	} else {
		c.next += 1 + r.Uint64N(3)
		v := c.next
		if r.IntN(4) == 0 && v > 4 {
			v -= r.Uint64N(4) // an older change arrives again, or one that was skipped
		}
		o := cfg{v, fmt.Sprintf("doc %d %d", v, r.Uint64())}
		if len(c.sent) > 0 && r.IntN(3) == 0 {
			o = c.sent[len(c.sent)-1-r.IntN(min(len(c.sent), 6))] // sent again, its answer was lost
		}
		c.send(n, o)
		if r.IntN(4) == 0 {
			// Another operator sends something else under the same number, at once.
			c.send(c.names[r.IntN(len(c.names))], cfg{v, fmt.Sprintf("other %d %d", v, r.Uint64())})
		}
	}
	c.network.After(time.Duration(r.Int64N(int64(300*time.Millisecond))), c.operator)
}

// send brings an operator's configuration to a machine.
func (c *core) send(n string, o cfg) {
	k, life := o.key(), c.life[n]
	if !c.known[k] {
		c.known[k] = true
		c.sent = append(c.sent, o)
	}
	if c.chain[n] == nil {
		return
	}
	c.waits[n][k] = true
	if d := c.inForce[n]; d != nil && d.Ledger.Settled(o.version) {
		c.answer(n, *d) // without asking anybody
		return
	}
	d := config.Doc{Version: o.version, Raw: []byte(o.content)}
	c.run(n, life, func(ch *Chain) []Effect { return ch.Submit(c.network.Now, d) })
	c.network.After(constants.SubmitWait, func() {
		if c.life[n] == life {
			delete(c.waits[n], k)
		}
	})
}

// committed checks a committed state: what it has was sent, under one number stands one
// content for ever, and nothing goes back.
func (c *core) committed(n string, d config.Doc) {
	if d.Version > 0 && !c.known[config.Taken{Version: d.Version, Sum: config.SumOf(d.Raw)}] {
		c.fail("%s commits r%d with %q, which was never sent", n, d.Version, d.Raw)
	}
	if old := c.inForce[n]; old != nil && d.Version < old.Version {
		c.fail("%s goes back from r%d to r%d", n, old.Version, d.Version)
	}
	entries := d.Ledger.Taken
	if old := c.inForce[n]; old != nil && old.Ledger.Sum == d.Ledger.Sum {
		entries = nil // looked at before
	}
	for _, k := range entries {
		if sum, ok := c.taken[k.Version]; ok && sum != k.Sum || !c.known[k] {
			c.fail("%s: r%d is taken with two contents, or with one never sent", n, k.Version)
		}
		c.taken[k.Version] = k.Sum
	}
	c.inForce[n] = &d
	c.answer(n, d)
}

// answer acknowledges the orders at a machine that a committed state has settled.
func (c *core) answer(n string, d config.Doc) {
	for k := range c.waits[n] {
		sum, ok := d.Ledger.Find(k.Version)
		if !ok {
			continue
		}
		delete(c.waits[n], k)
		if sum != k.Sum {
			if slices.Contains(c.said, k) {
				c.fail("%s refuses r%d, which was acknowledged", n, k.Version)
			}
			c.lost++
			continue
		}
		if !slices.Contains(c.said, k) {
			c.said = append(c.said, k)
		}
		if k.Version > c.acked {
			c.acked = k.Version
			c.ackedAt = append(c.ackedAt, ackedAt{c.network.Now, k.Version})
		}
		c.acks++
	}
}

// order is an evacuation order sent, with the orders on its zone that had been
// acknowledged before it.
type order struct {
	zone string
	on   bool
}

// evacuate sends an order, and checks when it is acknowledged that it is the
// zone's latest or that another came after it.
func (c *core) evacuate(n string) {
	r := c.network.Rng
	o := order{[]string{"y", "z"}[r.IntN(2)], r.IntN(2) == 0}
	id, life := r.Uint64(), c.life[n]
	if c.chain[n] == nil {
		return
	}
	c.orders[n][id] = o
	c.run(n, life, func(ch *Chain) []Effect { return ch.Evacuate(c.network.Now, id, o.zone, o.on) })
	c.network.After(constants.SubmitWait, func() {
		if c.life[n] == life {
			delete(c.orders[n], id)
		}
	})
}

// evacsIn takes a committed state: counts of orders never go back, what is
// acknowledged is in it or overtaken.
func (c *core) evacsIn(n string, d config.Doc) {
	for z, e := range c.evac[n] {
		if d.Evac[z].Num < e.Num {
			c.fail("%s: the orders on %s go back from %d to %d", n, z, e.Num, d.Evac[z].Num)
		}
	}
	c.evac[n] = d.Evac
	for z, e := range d.Evac {
		for i, id := range e.IDs {
			o, ok := c.orders[n][id]
			if !ok {
				continue
			}
			delete(c.orders[n], id)
			c.acks++
			if i == len(e.IDs)-1 && e.On != o.on {
				c.fail("%s: order %v on %s acknowledged, but it is %v", n, o.on, z, e.On)
			}
			c.ackedNum[z] = max(c.ackedNum[z], e.Num-uint64(len(e.IDs)-1-i))
		}
	}
}

// troubleBegins notes a trouble of a machine. Troubles overlap: the machine is free of
// trouble only when all of them have ended.
func (c *core) troubleBegins(n string) { c.troubles[n]++ }

func (c *core) troubleEnds(n string) {
	c.troubles[n]--
	c.calm[n] = c.network.Now
}

// allCalm says whether no machine counts as lost: only then may one be lost for good.
func (c *core) allCalm() bool {
	for _, n := range c.names {
		if c.chain[n] == nil || c.frozen[n] || c.troubles[n] > 0 || c.network.Now-c.calm[n] <= catchUp {
			return false
		}
	}
	return true
}

// outsider is a machine that is no member with its present disk, in the view that one of
// the machines knows.
func (c *core) outsider() (name string, found bool) {
	for _, n := range c.names {
		for _, o := range c.names {
			if c.chain[o] == nil || !c.chain[o].View().HasMember(c.chain[n].Me) {
				return n, true
			}
		}
	}
	return "", false
}

// slow says whether messages are slower than between machines that count as well, or are
// lost, which there they are not: a round of agreement that loses one is begun anew after
// RoundLimit, so taking in a machine may last longer than catchUp.
func (c *core) slow() bool { return c.network.Delay > 40*time.Millisecond || c.network.Loss > 0 }

// mayLose says whether a machine may be lost for good: none counts as lost, and each has
// been taken in with the disk it has now. The latter follows from the former but where
// the network is slow.
func (c *core) mayLose() bool {
	if !c.allCalm() {
		return false
	}
	n, found := c.outsider()
	if found && !c.slow() {
		c.fail("%s is no member in all views, though no machine has had trouble for %v", n, catchUp)
	}
	return !found
}

func (c *core) trouble(kinds int) {
	r := c.network.Rng
	n := c.names[r.IntN(len(c.names))]
	span := time.Duration(200+r.IntN(4000)) * time.Millisecond
	if c.over {
		return
	}
	kind := r.IntN(kinds)
	mayLose := c.mayLose()
	// Disks are lost one at a time, with the others well; everything else may
	// strike any number of machines at once: then work stops, but no rule breaks.
	if c.chain[n] != nil && !c.frozen[n] && (kind != 4 && kind < 6 || mayLose) {
		c.troubleBegins(n)
		end := func(f func()) { c.network.After(span, func() { f(); c.troubleEnds(n) }) }
		kill := func() { c.chain[n] = nil; c.life[n]++ }
		switch kind {
		case 0: // killed, or out of power: what was synced is kept
			kill()
			end(func() { c.start(n, false) })
		case 1: // cut off from the others, in one or both directions
			way := r.IntN(3)
			if r.IntN(4) == 0 {
				span = 20 * time.Second
			}
			others := slices.Clone(c.names)
			for _, o := range others {
				if o != n {
					c.network.Cut(n, o, way != 0)
					c.network.Cut(o, n, way != 1)
				}
			}
			end(func() {
				for _, o := range others {
					c.network.Cut(n, o, false)
					c.network.Cut(o, n, false)
				}
			})
		case 2: // frozen: it wakes with what it was doing
			c.frozen[n] = true
			if r.IntN(4) == 0 {
				span = 20 * time.Second
			}
			end(func() {
				c.frozen[n] = false
				p := c.pending[n]
				c.pending[n] = nil
				for _, f := range p {
					f()
				}
			})
		case 3: // its disk refuses writes
			c.disks[n].Refuse = true
			end(func() { c.disks[n].Refuse = false })
		case 4: // back with an empty disk
			kill()
			c.disks[n] = simnet.NewDisk()
			end(func() { c.start(n, false) })
		case 6, 7: // gone for good, sometimes in order, and another machine comes at a new address
			c.replace(n, r.IntN(2) == 0, span)
		case 5: // all processes at once; the disks stay
			all := slices.Clone(c.names)
			for _, o := range all {
				c.chain[o] = nil
				c.life[o]++
				c.troubleBegins(o)
			}
			end(func() {
				for _, o := range c.names {
					c.start(o, false)
				}
				for _, o := range all {
					c.troubleEnds(o)
				}
			})
		}
	}
	c.network.After(time.Duration(r.Int64N(int64(c.gap))), func() { c.trouble(kinds) })
}

// replace takes a machine out for good and starts another, which knows some of those
// that run and has an empty disk.
func (c *core) replace(n string, inOrder bool, after time.Duration) {
	gone := func() {
		c.chain[n] = nil
		c.life[n]++
		c.names = slices.DeleteFunc(slices.Clone(c.names), func(o string) bool { return o == n })
	}
	if inOrder {
		c.run(n, c.life[n], func(ch *Chain) []Effect { return ch.Leave(c.network.Now) })
		c.network.Run(c.network.Now+constants.ChainTick, nil)
	}
	gone()
	c.joined++
	m := fmt.Sprintf("m%d", c.joined)
	c.disks[m] = simnet.NewDisk()
	c.troubleBegins(m) // until it has started
	c.seeds = c.names[:min(3, len(c.names))]
	c.names = append(c.names, m)
	c.network.After(after, func() { c.start(m, false); c.troubleEnds(m) })
}

// TestChainUnderTrouble runs many seeded days and checks after each step that
// nothing acknowledged is lost or goes back, that reads are never old, that a number
// stands for one content, and that a view's number names one view.
func TestChainUnderTrouble(t *testing.T) {
	var acks, reads, days, joined, lost atomic.Int64
	for _, f := range []struct {
		names    []string
		tolerate int
		seeds    uint64
		also     []uint64 // seeds at which this test failed before
	}{
		{three, 1, 300, []uint64{584, 665, 1475, 2141, 2274, 2339, 2762, 2861}},
		{machines(6), 2, 90, nil},
		{machines(8), 2, 40, nil},
	} {
		t.Run(fmt.Sprintf("machines=%d", len(f.names)), func(t *testing.T) {
			seeds := f.also
			for seed := uint64(1); seed <= f.seeds; seed++ {
				seeds = append(seeds, seed)
			}
			for _, seed := range seeds {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					days.Add(1)
					c := newCore(t, seed, f.names, f.tolerate)
					c.network.Loss = []float64{0, 0.02, 0.1}[seed%3]
					c.network.Delay = []time.Duration{5, 40, 250}[seed/3%3] * time.Millisecond
					c.gap = []time.Duration{2, 6}[seed/9%2] * time.Second
					c.network.After(100*time.Millisecond, c.operator)
					c.network.After(5*time.Second, func() { c.trouble(8) })
					c.network.Run(60*time.Second, nil)
					acks.Add(int64(c.acks))
					reads.Add(int64(c.reads))
					// Calm again: everything acknowledged is there, and new work is served.
					c.settle()
					joined.Add(int64(c.joined))
					lost.Add(int64(c.lost))
				})
			}
		})
	}
	if n := days.Load(); acks.Load() < n*20 || reads.Load() < n*5 || joined.Load() < n/4 || lost.Load() < n {
		t.Errorf("%d changes acknowledged, %d reads answered, %d machines replaced, %d orders told that their number is taken over all seeds: too few to mean anything",
			acks.Load(), reads.Load(), joined.Load(), lost.Load())
	}
}

func (c *core) settle() {
	c.network.Loss = 0
	c.network.Delay = 5 * time.Millisecond
	for _, n := range c.names {
		for _, o := range c.names {
			c.network.Cut(n, o, false)
		}
		c.disks[n].Refuse = false
		if c.frozen[n] {
			c.frozen[n] = false
			for _, f := range c.pending[n] {
				f()
			}
			c.pending[n] = nil
		}
		if c.chain[n] == nil {
			c.start(n, false)
		}
	}
	c.over = true
	c.network.Run(c.network.Now+5*time.Second, nil) // what was under way ends
	before, read := c.acks, c.reads
	c.network.Run(c.network.Now+6*time.Second, nil)
	if c.acks == before || c.reads == read {
		c.fail("%d orders acknowledged and %d reads answered in 6 s of calm: %+v", c.acks-before, c.reads-read, c.chain[c.names[0]].Status())
	}
	for _, n := range c.names {
		if at, ok := c.chain[n].ReadIndexAt(); !ok || c.network.Now-at > constants.MemberSilence {
			c.fail("%s is sure of what it knows only as of %v", n, at)
		}
		v := c.chain[n].View()
		if len(v.Members) != len(c.names) {
			c.fail("%s sees a view of %d members after calm", n, len(v.Members))
		}
		if o, found := c.outsider(); found {
			c.fail("%s is no member with its present disk after calm", o)
		}
		// Whatever was replaced, the next loss of as many as may be leaves a majority.
		if left := len(c.names) - c.tolerate; left <= len(v.Voters)/2 {
			c.fail("%d machines, %d voters: the loss of %d would leave no majority", len(c.names), len(v.Voters), c.tolerate)
		}
	}
}

// A machine that comes back with an empty disk takes part in no agreement
// until a view has taken it in.
func TestWipedMachineDoesNotVote(t *testing.T) {
	c := newCore(t, 5, three, 1)
	c.network.Run(4*time.Second, nil)
	c.chain["c"], c.disks["c"] = nil, simnet.NewDisk()
	c.life["c"]++
	c.start("c", false)
	c.chain["c"].Recv(c.network.Now, "a", c.chain["a"].Status()) // it learns the view, which has its earlier self
	out := c.chain["c"].Recv(c.network.Now, "a", Prepare{Slot: 2, Ballot: Ballot{1, "a"}})
	out = append(out, c.chain["c"].Recv(c.network.Now, "a", Accept{Slot: 2, Ballot: Ballot{1, "a"}})...)
	for _, o := range out {
		if m, ok := o.(Send); ok {
			switch m.Msg.(type) {
			case Promise, Accepted:
				t.Fatalf("a machine without a history answered %#v", o)
			}
		}
	}
	c.network.Run(8*time.Second, nil)
	if v := c.chain["c"].View(); !v.HasMember(c.chain["c"].Me) {
		t.Fatalf("it was not taken in: %+v", v)
	}
}

// A tail that was started again holds what it committed, but no longer knows
// that it did; what the others say is committed may be older, and is no answer.
func TestRestartedTailDoesNotAnswerOld(t *testing.T) {
	disk := simnet.NewDisk()
	names := []string{"a", "b", "c"}
	mk := func() *Chain {
		c, err := New(0, "c", names, true, disk, rand.New(rand.NewPCG(1, 1)))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	old := config.Doc{Stamp: config.Revision{View: 1, Seq: 1}, Version: 1, Raw: []byte("1")}
	newer := config.Doc{Stamp: config.Revision{View: 1, Seq: 2}, Version: 2, Raw: []byte("2")}
	c := mk()
	c.Recv(1, "b", Replicate{View: 1, Doc: old})
	c.Recv(2, "b", Replicate{View: 1, Doc: newer})
	if VersionOf(c.Committed()) != 2 {
		t.Fatal("the tail did not commit what was passed to it")
	}
	c = mk()
	v := c.View()
	c.Recv(3, "a", Heartbeat{Me: Member{"a", 1}, View: v, Joined: true, Committed: old.Stamp, Held: newer.Stamp})
	c.Recv(4, "a", Fetched{old})
	read := func() (got []ReadDone) {
		var nonce uint64
		for _, o := range c.Read(5, 9) {
			if s, ok := o.(Send); ok {
				if m, ok := s.Msg.(Confirm); ok {
					nonce = m.Nonce
				}
			}
		}
		for _, o := range c.Recv(6, "a", Confirmed{nonce, Member{"a", 1}}) {
			if r, ok := o.(ReadDone); ok {
				got = append(got, r)
			}
		}
		return got
	}
	if got := read(); len(got) != 0 {
		t.Fatalf("answered r%d, though r2 was committed here", VersionOf(got[0].Doc))
	}
	c.Recv(7, "b", Replicate{View: 1, Doc: newer})
	if got := read(); len(got) == 0 || VersionOf(got[len(got)-1].Doc) != 2 {
		t.Fatalf("not answered once the chain had passed it again: %v", got)
	}
}

// A single control machine is its own majority.
func TestSingleMachineAnswers(t *testing.T) {
	c, err := New(0, "a", []string{"a"}, true, simnet.NewDisk(), rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	c.Submit(1, config.Doc{Version: 4, Raw: []byte("4")})
	out := c.Read(2, 7)
	if len(out) != 1 || VersionOf(out[0].(ReadDone).Doc) != 4 {
		t.Fatalf("got %v", out)
	}
}

// Relays know who has a say and send callers there, are never taken in, cost the
// machines with a say the same few words however many there are, and bring a
// machine that knows relays only back to the others.
func TestRelaysCostLittle(t *testing.T) {
	c := newCore(t, 7, []string{"a", "b", "c"}, 1)
	for i := range 20 {
		n := fmt.Sprintf("r%d", i)
		c.names = append(c.names, n)
		c.disks[n] = simnet.NewDisk()
		c.start(n, false)
	}
	c.network.Run(5*time.Second, nil)
	if from := revisionOf(c.chain["r3"].held); from != (config.Revision{}) {
		t.Fatal("a relay holds a configuration")
	}
	c.chain["a"] = nil
	c.network.Run(10*time.Second, nil)
	for _, n := range c.names[3:] {
		if to, ok := c.chain[n].RedirectTarget(); !ok || to == "a" {
			t.Errorf("%s sends callers to %q", n, to)
		}
	}
	words := 0
	for _, o := range c.chain["b"].Tick(c.network.Now + constants.HeartbeatEvery) {
		if _, ok := o.(Send).Msg.(Heartbeat); ok {
			words++
		}
	}
	if words > 2 {
		t.Errorf("%d heartbeats at one go, with two other machines that have a say", words)
	}
	c.disks["a"], c.seeds = simnet.NewDisk(), []string{"r1", "r2", "r3"}
	c.start("a", false)
	c.network.Run(16*time.Second, nil)
	for _, n := range c.names {
		if v := c.chain[n].View(); len(v.Members) != 3 || len(v.Voters) != 3 || !v.HasMember(c.chain["a"].Me) {
			t.Fatalf("%s sees %+v", n, v)
		}
	}
}

// All members are started one after the other: a long state that all hold is in
// force soon after the last of them is there, not with the next regular pass.
func TestAllStartAgain(t *testing.T) {
	c := newCore(t, 3, three, 1)
	c.network.Run(4*time.Second, nil)
	long := string(make([]byte, 2<<20))
	c.send("a", cfg{9, long})
	c.network.Run(7*time.Second, nil)
	for _, n := range three {
		c.chain[n] = nil
	}
	for i, n := range []string{"a", "c", "b"} {
		c.network.After(time.Duration(1+i)*300*time.Millisecond, func() { c.start(n, false) })
	}
	c.network.Run(7*time.Second+900*time.Millisecond+2*constants.HeartbeatEvery, nil)
	for _, n := range three {
		if VersionOf(c.inForce[n]) != 9 {
			t.Errorf("%s has r%d in force", n, VersionOf(c.inForce[n]))
		}
	}
}

// A store written when a view did not name its voters opens with those it had.
func TestOldStoreOpens(t *testing.T) {
	disk := simnet.NewDisk()
	type oldView struct {
		Start   uint64
		Num     uint64
		Members []Member
	}
	disk.Put("incarnation", uint64(1))
	disk.Put("peers", []string{"a", "b", "c"})
	disk.Put("agreement", struct {
		View   oldView
		Joined bool
	}{oldView{6, 4, []Member{{"a", 1}, {"b", 1}}}, true})
	disk.Put("held", struct {
		Version uint64
		Raw     []byte
	}{6, []byte("6")})
	c, err := New(0, "a", []string{"a", "b", "c"}, false, disk, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if v := c.View(); v.Num != 4 || len(v.Voters) != 3 || c.majority() != 2 || !v.hasVoter(Member{"b", 1}) || c.Status().Held.Seq != 6 {
		t.Fatalf("opened as %+v holding %+v", v, c.Status().Held)
	}
}

// An order held up on its way, behind a cut say, must not undo what was ordered
// since; a repeat of one that was taken changes nothing either.
func TestHeldUpOrderChangesNothing(t *testing.T) {
	c, err := New(0, "a", []string{"a"}, true, simnet.NewDisk(), rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	late := EvacuationOrder{ID: 1, Zone: "z", On: true, Base: 0}
	c.Evacuate(1, 2, "z", true)
	c.Evacuate(2, 3, "z", false)
	c.Recv(3, "a", late)
	c.Recv(4, "a", EvacuationOrder{ID: 2, Zone: "z", On: true, Base: 2})
	if e := c.Committed().Evac["z"]; e.On || e.Num != 2 {
		t.Fatalf("after start, stop and two old orders: %+v", e)
	}
	c.Evacuate(5, 4, "z", true)
	if z := c.Committed().Evacuated(); len(z) != 1 || z[0] != "z" {
		t.Fatalf("a new order was not taken: %v", z)
	}
}

// A machine that a view has just left out is no newcomer before it has been heard
// again: were it one by its last words from before, a second change would begin at
// once, wait for a machine that is not there, and keep every voter sealed meanwhile,
// so that leases end.
func TestJustLeftIsNoNewcomer(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		c := newCore(t, seed, []string{"a", "b", "c", "d", "e", "f"}, 2)
		c.network.Delay = 5 * time.Millisecond
		c.network.Run(7*time.Second, nil)
		kill := func(n string) { c.chain[n] = nil; c.life[n]++ }
		kill("e")
		c.network.Run(c.network.Now+700*time.Millisecond, nil)
		kill("f") // its last word is young when the view without it is agreed
		without := func() bool {
			for _, n := range []string{"a", "b", "c", "d"} {
				if c.chain[n].View().memberIndex("f") >= 0 {
					return false
				}
			}
			return true
		}
		end := c.network.Now + 3*time.Second
		for !without() && c.network.Now < end {
			c.network.Run(c.network.Now+10*time.Millisecond, nil)
		}
		if !without() {
			t.Fatalf("seed %d: f is still in the view", seed)
		}
		num := c.chain["a"].View().Num
		c.network.Run(c.network.Now+1500*time.Millisecond, func() {
			for _, n := range []string{"a", "b", "c", "d"} {
				if c.chain[n].sealed() {
					t.Fatalf("seed %d at %v: %s is sealed for a view after %d, with nobody to take in", seed, c.network.Now, n, num)
				}
			}
		})
		c.start("f", false)
		c.network.Run(c.network.Now+2*time.Second, nil)
		if c.chain["a"].View().memberIndex("f") < 0 {
			t.Fatalf("seed %d: f is back and not taken in", seed)
		}
	}
}

// A member that ends and is back before its silence would be noticed stays one: its
// first words name nothing that it heard, which says that it has just started, and not
// that the others do not reach it. A change of the view would seal all members, take
// the duties' leases, and make its place the last one.
func TestShortRestartChangesNoView(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		c := newCore(t, seed, []string{"a", "b", "c", "d", "e", "f"}, 2)
		c.network.Run(7*time.Second, nil)
		before := c.chain["a"].View()
		restarted := c.names[seed%6]
		c.chain[restarted] = nil
		c.life[restarted]++
		c.network.Run(c.network.Now+500*time.Millisecond, nil)
		c.start(restarted, false)
		c.network.Run(c.network.Now+3*time.Second, func() {
			for _, n := range c.names {
				if num := c.chain[n].View().Num; num != before.Num || c.chain[n].sealed() {
					t.Fatalf("seed %d at %v: %s is at view %d, sealed %v; %s was away for half a second of view %d",
						seed, c.network.Now, n, num, c.chain[n].sealed(), restarted, before.Num)
				}
			}
		})
	}
}

// All members start again, one after the other: each knows of its contact with a
// majority a few round trips after the last of a majority has started, since proxies
// that start with them take nothing from a control machine that does not.
func TestStartProvesContactInARoundTrip(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		c := newCore(t, seed, []string{"a", "b", "c", "d", "e", "f"}, 2)
		c.network.Delay = 5 * time.Millisecond
		c.network.Run(7*time.Second, nil)
		for _, n := range c.names {
			c.chain[n] = nil
			c.life[n]++
		}
		c.network.Run(c.network.Now+time.Second, nil)
		var last time.Duration
		for _, n := range c.names {
			after := time.Duration(c.network.Rng.Int64N(int64(500 * time.Millisecond)))
			last = max(last, c.network.Now+after)
			c.network.After(after, func() { c.start(n, false) })
		}
		c.network.Run(last+10*c.network.Delay, nil)
		for _, n := range c.names {
			if _, ok := c.chain[n].MajorityContactAt(); !ok {
				t.Errorf("seed %d: %s knows of no contact %v after the last start", seed, n, c.network.Now-last)
			}
		}
	}
}
