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

// cluster runs machines on a simulated network, with an operator that submits and reads, and
// checks the invariants after each step.
type cluster struct {
	t                      *testing.T
	seed                   uint64
	network                *simnet.Network
	names                  []string
	seeds                  []string // the first three form the first view; the others join
	maxFailures            int
	pendingEvacuations     map[string]map[uint64]evacuationOrder // submitted at a machine in its current run and not acknowledged
	committedEvacuations   map[string]map[string]config.Evacuation
	ackedEvacuations       map[string]uint64            // by zone: number of acknowledged orders
	ackedEvacuationsAtRead map[uint64]map[string]uint64 // by read: ackedEvacuations when it started
	disks                  map[string]*simnet.Disk
	chains                 map[string]*Chain // nil while down
	generation             map[string]int
	frozen                 map[string]bool
	pending                map[string][]func()      // events to run when a frozen machine resumes
	activeFaults           map[string]int           // number of faults that affect a machine now
	recoveredAt            map[string]time.Duration // when the last fault of a machine ended

	regionOf          map[string]string // region of each machine, if any; each machine has its own zone
	maxRegionFailures int               // regions that may be lost at once
	afterStep         func(n string)    // called after each step of a machine, before its messages are sent
	faultsStopped     bool              // no new faults
	maxFaultGap       time.Duration     // longest pause between faults
	lastVersion       uint64
	sentConfigs       []sentConfig                // everything submitted so far, for resubmission
	sentKeys          map[config.LedgerEntry]bool // the same as a set, to detect contents that were never submitted
	settledSums       map[uint64]uint64           // by version: the checksum in the committed ledgers
	ackedVersion      uint64                      // highest version acknowledged to an operator
	ackHistory        []acknowledgement           // each increase of ackedVersion
	ackedConfigs      []config.LedgerEntry        // everything acknowledged, in order
	committedStates   map[string]*config.Doc      // the newest committed state in a machine's current run
	views             map[uint64]string
	replacements      int // machines added at new addresses
	acks              int
	refusals          int // configurations refused because their version has another content
	readsAnswered     int
	pendingConfigs    map[string]map[config.LedgerEntry]bool // submitted at a machine in its current run and not answered
	pendingReads      map[string]map[uint64]readStart        // by read ID
}

// sentConfig is a submitted configuration; several contents may be submitted under one
// version.
type sentConfig struct {
	version uint64
	content string
}

func (o sentConfig) key() config.LedgerEntry {
	return config.LedgerEntry{Version: o.version, Sum: config.Checksum([]byte(o.content))}
}

// readStart records what had been acknowledged when a read started.
type readStart struct {
	version    uint64
	ackedCount int
}

var threeMachines = []string{"a", "b", "c"}

type acknowledgement struct {
	at      time.Duration
	version uint64
}

// checkReadIndex checks a machine's read index: at that time nothing newer than what is
// committed there had been acknowledged.
func (c *cluster) checkReadIndex(n string) {
	at, ok := c.chains[n].ReadIndexAt()
	for i := len(c.ackHistory) - 1; ok && i >= 0; i-- {
		if a := c.ackHistory[i]; a.at < at {
			if a.version > VersionOf(c.chains[n].Committed()) && a.version > 0 {
				c.fail("%s has r%d as the newest commit at %v, but r%d was acknowledged at %v", n, VersionOf(c.chains[n].Committed()), at, a.version, a.at)
			}
			return
		}
	}
}

func newCluster(t *testing.T, seed uint64, names []string, maxFailures int) *cluster {
	c := &cluster{t: t, seed: seed, network: simnet.New(seed), names: names, seeds: names[:3], disks: map[string]*simnet.Disk{}, chains: map[string]*Chain{},
		generation: map[string]int{}, frozen: map[string]bool{}, pending: map[string][]func(){}, activeFaults: map[string]int{}, recoveredAt: map[string]time.Duration{},
		sentKeys: map[config.LedgerEntry]bool{}, settledSums: map[uint64]uint64{}, committedStates: map[string]*config.Doc{}, views: map[uint64]string{}, maxFailures: maxFailures, pendingEvacuations: map[string]map[uint64]evacuationOrder{}, ackedEvacuationsAtRead: map[uint64]map[string]uint64{}, ackedEvacuations: map[string]uint64{}, committedEvacuations: map[string]map[string]config.Evacuation{},
		pendingConfigs: map[string]map[config.LedgerEntry]bool{}, pendingReads: map[string]map[uint64]readStart{}}
	for _, n := range c.names {
		c.disks[n] = simnet.NewDisk()
		c.start(n, true)
	}
	return c
}

func (c *cluster) fail(f string, a ...any) {
	c.t.Helper()
	c.t.Fatalf("seed %d at %v: %s", c.seed, c.network.Now, fmt.Sprintf(f, a...))
}

func (c *cluster) start(n string, founding bool) {
	if c.chains[n] != nil {
		return
	}
	c.generation[n]++
	ch, err := New(c.network.Now, n, c.seeds, founding && slices.Contains(c.seeds, n), c.disks[n], rand.New(rand.NewPCG(c.seed, uint64(c.generation[n])*31+uint64(n[0]))))
	if err != nil {
		return // its disk refuses writes; it stays down
	}
	ch.MaxMachineFailures, ch.Relay, ch.Original = c.maxFailures, n[0] == 'r', founding && !slices.Contains(c.seeds, n)
	if r := c.regionOf[n]; r != "" {
		ch.Zone, ch.Region, ch.MaxZoneFailures, ch.MaxRegionFailures = "zone of "+n, r, 1, c.maxRegionFailures
	}
	c.chains[n] = ch
	c.committedStates[n] = nil
	c.pendingEvacuations[n], c.committedEvacuations[n] = map[uint64]evacuationOrder{}, nil
	c.pendingConfigs[n], c.pendingReads[n] = map[config.LedgerEntry]bool{}, map[uint64]readStart{}
	c.tick(n, c.generation[n])
}

func (c *cluster) tick(n string, generation int) {
	c.step(n, generation, func(ch *Chain) []Effect { return ch.Tick(c.network.Now) })
	c.network.After(constants.ChainTick, func() {
		if c.generation[n] == generation && c.chains[n] != nil {
			c.tick(n, generation)
		}
	})
}

func (c *cluster) step(n string, generation int, f func(*Chain) []Effect) {
	if c.generation[n] != generation || c.chains[n] == nil {
		return
	}
	if c.frozen[n] {
		if len(c.pending[n]) < 100 {
			c.pending[n] = append(c.pending[n], func() { c.step(n, generation, f) })
		}
		return
	}
	out := f(c.chains[n])
	if c.afterStep != nil {
		c.afterStep(n)
	}
	c.checkReadIndex(n)
	for _, o := range out {
		switch o := o.(type) {
		case Send:
			to := o.To
			c.network.Send(n, to, func() {
				c.step(to, c.generation[to], func(ch *Chain) []Effect { return ch.Recv(c.network.Now, n, o.Msg) })
			})
		case Commit:
			c.checkEvacuations(n, o.Doc)
			c.checkCommitted(n, o.Doc)
		case ReadDone:
			for z, num := range c.ackedEvacuationsAtRead[o.ID] {
				if o.Doc.Evac[z].Num < num {
					c.fail("read at %s returned %d orders on %s, %d were acknowledged", n, o.Doc.Evac[z].Num, z, num)
				}
			}
			start, ok := c.pendingReads[n][o.ID]
			delete(c.pendingReads[n], o.ID)
			if ok && VersionOf(o.Doc) < start.version {
				c.fail("read at %s returned r%d, r%d was acknowledged before the read started", n, VersionOf(o.Doc), start.version)
			}
			if ok {
				c.readsAnswered++
				for _, k := range c.ackedConfigs[:start.ackedCount] {
					if sum, known := o.Doc.Ledger.Find(k.Version); known && sum != k.Sum || !known && k.Version > o.Doc.Ledger.Floor {
						c.fail("read at %s: r%d was acknowledged, but its content is missing from the ledger", n, k.Version)
					}
				}
			}
		case ViewChanged:
			s := fmt.Sprint(o.View)
			if old, ok := c.views[o.View.Num]; ok && old != s {
				c.fail("view %d was decided as %s and as %s", o.View.Num, old, s)
			}
			c.views[o.View.Num] = s
			if n := len(o.View.Members); n <= len(o.View.Voters)/2 || n <= min(c.maxFailures, len(o.View.Voters)-1) {
				c.fail("view %d has %d members of %d voters", o.View.Num, n, len(o.View.Voters))
			}
		}
	}
}

// runOperator submits a random change or read at a random machine, repeatedly.
func (c *cluster) runOperator() {
	r := c.network.Rng
	n := c.names[r.IntN(len(c.names))]
	generation := c.generation[n]
	if r.IntN(5) == 0 {
		c.submitEvacuation(n)
	} else if r.IntN(3) == 0 {
		id := r.Uint64()
		if c.chains[n] != nil {
			c.pendingReads[n][id] = readStart{c.ackedVersion, len(c.ackedConfigs)}
			c.ackedEvacuationsAtRead[id] = maps.Clone(c.ackedEvacuations)
			c.step(n, generation, func(ch *Chain) []Effect { return ch.Read(c.network.Now, id) })
		}
	} else {
		c.lastVersion += 1 + r.Uint64N(3)
		v := c.lastVersion
		if r.IntN(4) == 0 && v > 4 {
			v -= r.Uint64N(4) // an older change again, or a version that was skipped
		}
		o := sentConfig{v, fmt.Sprintf("doc %d %d", v, r.Uint64())}
		if len(c.sentConfigs) > 0 && r.IntN(3) == 0 {
			o = c.sentConfigs[len(c.sentConfigs)-1-r.IntN(min(len(c.sentConfigs), 6))] // resubmitted after a lost answer
		}
		c.submit(n, o)
		if r.IntN(4) == 0 {
			// Another operator submits a different content under the same version at once.
			c.submit(c.names[r.IntN(len(c.names))], sentConfig{v, fmt.Sprintf("other %d %d", v, r.Uint64())})
		}
	}
	c.network.After(time.Duration(r.Int64N(int64(300*time.Millisecond))), c.runOperator)
}

// submit submits an operator's configuration at a machine.
func (c *cluster) submit(n string, o sentConfig) {
	k, generation := o.key(), c.generation[n]
	if !c.sentKeys[k] {
		c.sentKeys[k] = true
		c.sentConfigs = append(c.sentConfigs, o)
	}
	if c.chains[n] == nil {
		return
	}
	c.pendingConfigs[n][k] = true
	if d := c.committedStates[n]; d != nil && d.Ledger.Settled(o.version) {
		c.answerPending(n, *d) // from the local state
		return
	}
	d := config.Doc{Version: o.version, Raw: []byte(o.content)}
	c.step(n, generation, func(ch *Chain) []Effect { return ch.Submit(c.network.Now, d) })
	c.network.After(constants.SubmitTimeout, func() {
		if c.generation[n] == generation {
			delete(c.pendingConfigs[n], k)
		}
	})
}

// checkCommitted checks a committed state: its contents were submitted, each version has one
// content only, and the version does not decrease.
func (c *cluster) checkCommitted(n string, d config.Doc) {
	if d.Version > 0 && !c.sentKeys[config.LedgerEntry{Version: d.Version, Sum: config.Checksum(d.Raw)}] {
		c.fail("%s commits r%d with %q, which was never sent", n, d.Version, d.Raw)
	}
	if old := c.committedStates[n]; old != nil && d.Version < old.Version {
		c.fail("%s went back from r%d to r%d", n, old.Version, d.Version)
	}
	entries := d.Ledger.Taken
	if old := c.committedStates[n]; old != nil && old.Ledger.Sum == d.Ledger.Sum {
		entries = nil // checked before
	}
	for _, k := range entries {
		if sum, ok := c.settledSums[k.Version]; ok && sum != k.Sum || !c.sentKeys[k] {
			c.fail("%s: the ledger has r%d with two contents, or with one never sent", n, k.Version)
		}
		c.settledSums[k.Version] = k.Sum
	}
	c.committedStates[n] = &d
	c.answerPending(n, d)
}

// answerPending answers the configurations submitted at a machine that a committed state has
// settled.
func (c *cluster) answerPending(n string, d config.Doc) {
	for k := range c.pendingConfigs[n] {
		sum, ok := d.Ledger.Find(k.Version)
		if !ok {
			continue
		}
		delete(c.pendingConfigs[n], k)
		if sum != k.Sum {
			if slices.Contains(c.ackedConfigs, k) {
				c.fail("%s refused r%d, which was acknowledged", n, k.Version)
			}
			c.refusals++
			continue
		}
		if !slices.Contains(c.ackedConfigs, k) {
			c.ackedConfigs = append(c.ackedConfigs, k)
		}
		if k.Version > c.ackedVersion {
			c.ackedVersion = k.Version
			c.ackHistory = append(c.ackHistory, acknowledgement{c.network.Now, k.Version})
		}
		c.acks++
	}
}

// evacuationOrder is a submitted evacuation order.
type evacuationOrder struct {
	zone string
	on   bool
}

// submitEvacuation submits a random evacuation order at a machine.
func (c *cluster) submitEvacuation(n string) {
	r := c.network.Rng
	o := evacuationOrder{[]string{"y", "z"}[r.IntN(2)], r.IntN(2) == 0}
	id, generation := r.Uint64(), c.generation[n]
	if c.chains[n] == nil {
		return
	}
	c.pendingEvacuations[n][id] = o
	c.step(n, generation, func(ch *Chain) []Effect { return ch.Evacuate(c.network.Now, id, o.zone, o.on) })
	c.network.After(constants.SubmitTimeout, func() {
		if c.generation[n] == generation {
			delete(c.pendingEvacuations[n], id)
		}
	})
}

// checkEvacuations checks a committed state: the number of orders on a zone does not
// decrease, and an acknowledged order is in effect or followed by a later one.
func (c *cluster) checkEvacuations(n string, d config.Doc) {
	for z, e := range c.committedEvacuations[n] {
		if d.Evac[z].Num < e.Num {
			c.fail("%s: the orders on %s went back from %d to %d", n, z, e.Num, d.Evac[z].Num)
		}
	}
	c.committedEvacuations[n] = d.Evac
	for z, e := range d.Evac {
		for i, id := range e.IDs {
			o, ok := c.pendingEvacuations[n][id]
			if !ok {
				continue
			}
			delete(c.pendingEvacuations[n], id)
			c.acks++
			if i == len(e.IDs)-1 && e.On != o.on {
				c.fail("%s: order %v on %s was acknowledged, but the zone is at %v", n, o.on, z, e.On)
			}
			c.ackedEvacuations[z] = max(c.ackedEvacuations[z], e.Num-uint64(len(e.IDs)-1-i))
		}
	}
}

// faultBegins records a fault of a machine. Faults overlap: a machine has recovered only when
// all of its faults have ended.
func (c *cluster) faultBegins(n string) { c.activeFaults[n]++ }

func (c *cluster) faultEnds(n string) {
	c.activeFaults[n]--
	c.recoveredAt[n] = c.network.Now
}

// allHealthy reports whether no machine counts as failed: only then may one be lost for
// good.
func (c *cluster) allHealthy() bool {
	for _, n := range c.names {
		if c.chains[n] == nil || c.frozen[n] || c.activeFaults[n] > 0 || c.network.Now-c.recoveredAt[n] <= catchUp {
			return false
		}
	}
	return true
}

// findNonMember finds a machine that is not a member, with its current disk, in the view
// that some machine has.
func (c *cluster) findNonMember() (name string, found bool) {
	for _, n := range c.names {
		for _, o := range c.names {
			if c.chains[o] == nil || !c.chains[o].View().HasMember(c.chains[n].Me) {
				return n, true
			}
		}
	}
	return "", false
}

// slowNetwork reports whether messages are lost or slower than on a link that counts as
// healthy. A round that loses a message is restarted after RoundTimeout, so adding a machine
// to the view may then take longer than catchUp.
func (c *cluster) slowNetwork() bool {
	return c.network.Delay > 40*time.Millisecond || c.network.Loss > 0
}

// mayLoseMachine reports whether a machine may be lost for good: no machine counts as failed
// and each one is a member with its current disk. The latter follows from the former unless
// the network is slow.
func (c *cluster) mayLoseMachine() bool {
	if !c.allHealthy() {
		return false
	}
	n, found := c.findNonMember()
	if found && !c.slowNetwork() {
		c.fail("%s is not a member in all views, although no machine has had a fault for %v", n, catchUp)
	}
	return !found
}

// injectFaults injects a fault at a random machine, repeatedly.
func (c *cluster) injectFaults(kinds int) {
	r := c.network.Rng
	n := c.names[r.IntN(len(c.names))]
	duration := time.Duration(200+r.IntN(4000)) * time.Millisecond
	if c.faultsStopped {
		return
	}
	kind := r.IntN(kinds)
	mayLose := c.mayLoseMachine()
	// Disks are lost one at a time, while all other machines are healthy. Other faults may
	// affect any number of machines at once: then work stops, but no invariant is violated.
	if c.chains[n] != nil && !c.frozen[n] && (kind != 4 && kind < 6 || mayLose) {
		c.faultBegins(n)
		end := func(f func()) { c.network.After(duration, func() { f(); c.faultEnds(n) }) }
		kill := func() { c.chains[n] = nil; c.generation[n]++ }
		switch kind {
		case 0: // process killed or power lost: what was synced is kept
			kill()
			end(func() { c.start(n, false) })
		case 1: // partitioned from the others, in one or both directions
			way := r.IntN(3)
			if r.IntN(4) == 0 {
				duration = 20 * time.Second
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
		case 2: // process paused: it resumes where it stopped
			c.frozen[n] = true
			if r.IntN(4) == 0 {
				duration = 20 * time.Second
			}
			end(func() {
				c.frozen[n] = false
				p := c.pending[n]
				c.pending[n] = nil
				for _, f := range p {
					f()
				}
			})
		case 3: // disk refuses writes
			c.disks[n].RefuseWrites = true
			end(func() { c.disks[n].RefuseWrites = false })
		case 4: // disk lost
			kill()
			c.disks[n] = simnet.NewDisk()
			end(func() { c.start(n, false) })
		case 6, 7: // machine removed, gracefully or not, and replaced by one at a new address
			c.replace(n, r.IntN(2) == 0, duration)
		case 5: // all processes killed; the disks stay
			all := slices.Clone(c.names)
			for _, o := range all {
				c.chains[o] = nil
				c.generation[o]++
				c.faultBegins(o)
			}
			end(func() {
				for _, o := range c.names {
					c.start(o, false)
				}
				for _, o := range all {
					c.faultEnds(o)
				}
			})
		}
	}
	c.network.After(time.Duration(r.Int64N(int64(c.maxFaultGap))), func() { c.injectFaults(kinds) })
}

// replace removes a machine for good and starts another one with an empty disk, which knows
// some of the running machines.
func (c *cluster) replace(n string, graceful bool, after time.Duration) {
	remove := func() {
		c.chains[n] = nil
		c.generation[n]++
		c.names = slices.DeleteFunc(slices.Clone(c.names), func(o string) bool { return o == n })
	}
	if graceful {
		c.step(n, c.generation[n], func(ch *Chain) []Effect { return ch.Leave(c.network.Now) })
		c.network.Run(c.network.Now+constants.ChainTick, nil)
	}
	remove()
	c.replacements++
	m := fmt.Sprintf("m%d", c.replacements)
	c.disks[m] = simnet.NewDisk()
	c.faultBegins(m) // until it has started
	c.seeds = c.names[:min(3, len(c.names))]
	c.names = append(c.names, m)
	c.network.After(after, func() { c.start(m, false); c.faultEnds(m) })
}

// TestChainUnderFaults runs the cluster under random faults with many seeds. After each step
// it checks that nothing acknowledged is lost or reverted, that no read is stale, that a
// version has one content only, and that a view number identifies one view.
func TestChainUnderFaults(t *testing.T) {
	var acks, reads, runs, replacements, refusals atomic.Int64
	for _, f := range []struct {
		names       []string
		maxFailures int
		seeds       uint64
		regressions []uint64 // further seeds, which exposed faults before
	}{
		{threeMachines, 1, 300, []uint64{584, 665, 1475, 2141, 2274, 2339, 2762, 2861}},
		{machines(6), 2, 90, nil},
		{machines(8), 2, 40, nil},
	} {
		t.Run(fmt.Sprintf("machines=%d", len(f.names)), func(t *testing.T) {
			seeds := f.regressions
			for seed := uint64(1); seed <= f.seeds; seed++ {
				seeds = append(seeds, seed)
			}
			for _, seed := range seeds {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					runs.Add(1)
					c := newCluster(t, seed, f.names, f.maxFailures)
					c.network.Loss = []float64{0, 0.02, 0.1}[seed%3]
					c.network.Delay = []time.Duration{5, 40, 250}[seed/3%3] * time.Millisecond
					c.maxFaultGap = []time.Duration{2, 6}[seed/9%2] * time.Second
					c.network.After(100*time.Millisecond, c.runOperator)
					c.network.After(5*time.Second, func() { c.injectFaults(8) })
					c.network.Run(60*time.Second, nil)
					acks.Add(int64(c.acks))
					reads.Add(int64(c.readsAnswered))
					// Without faults, everything acknowledged is present and new work is served.
					c.checkRecovery()
					replacements.Add(int64(c.replacements))
					refusals.Add(int64(c.refusals))
				})
			}
		})
	}
	if n := runs.Load(); acks.Load() < n*20 || reads.Load() < n*5 || replacements.Load() < n/4 || refusals.Load() < n {
		t.Errorf("%d changes acknowledged, %d reads answered, %d machines replaced, %d changes refused over all seeds: too few for a meaningful test",
			acks.Load(), reads.Load(), replacements.Load(), refusals.Load())
	}
}

// checkRecovery ends all faults and checks that the cluster serves again, with all machines
// as members and the fault tolerance restored.
func (c *cluster) checkRecovery() {
	c.network.Loss = 0
	c.network.Delay = 5 * time.Millisecond
	for _, n := range c.names {
		for _, o := range c.names {
			c.network.Cut(n, o, false)
		}
		c.disks[n].RefuseWrites = false
		if c.frozen[n] {
			c.frozen[n] = false
			for _, f := range c.pending[n] {
				f()
			}
			c.pending[n] = nil
		}
		if c.chains[n] == nil {
			c.start(n, false)
		}
	}
	c.faultsStopped = true
	c.network.Run(c.network.Now+5*time.Second, nil) // operations in progress end
	before, read := c.acks, c.readsAnswered
	c.network.Run(c.network.Now+6*time.Second, nil)
	if c.acks == before || c.readsAnswered == read {
		c.fail("%d orders acknowledged and %d reads answered in 6 s without faults: %+v", c.acks-before, c.readsAnswered-read, c.chains[c.names[0]].Status())
	}
	for _, n := range c.names {
		if at, ok := c.chains[n].ReadIndexAt(); !ok || c.network.Now-at > constants.MemberTimeout {
			c.fail("%s has a read index of %v only", n, at)
		}
		v := c.chains[n].View()
		if len(v.Members) != len(c.names) {
			c.fail("%s has a view of %d members after recovery", n, len(v.Members))
		}
		if o, found := c.findNonMember(); found {
			c.fail("%s is not a member with its current disk after recovery", o)
		}
		// After any replacements, the largest tolerated loss still leaves a majority.
		if left := len(c.names) - c.maxFailures; left <= len(v.Voters)/2 {
			c.fail("%d machines, %d voters: the loss of %d would leave no majority", len(c.names), len(v.Voters), c.maxFailures)
		}
	}
}

// TestWipedMachineDoesNotVote checks that a machine that comes back with an empty disk does
// not vote until a view includes it.
func TestWipedMachineDoesNotVote(t *testing.T) {
	c := newCluster(t, 5, threeMachines, 1)
	c.network.Run(4*time.Second, nil)
	c.chains["c"], c.disks["c"] = nil, simnet.NewDisk()
	c.generation["c"]++
	c.start("c", false)
	c.chains["c"].Recv(c.network.Now, "a", c.chains["a"].Status()) // adopts the view, which lists its previous incarnation
	out := c.chains["c"].Recv(c.network.Now, "a", Prepare{Slot: 2, Ballot: Ballot{1, "a"}})
	out = append(out, c.chains["c"].Recv(c.network.Now, "a", Accept{Slot: 2, Ballot: Ballot{1, "a"}})...)
	for _, o := range out {
		if m, ok := o.(Send); ok {
			switch m.Msg.(type) {
			case Promise, Accepted:
				t.Fatalf("a machine with an empty disk answered %#v", o)
			}
		}
	}
	c.network.Run(8*time.Second, nil)
	if v := c.chains["c"].View(); !v.HasMember(c.chains["c"].Me) {
		t.Fatalf("the machine was not added to the view: %+v", v)
	}
}

// TestRestartedTailAnswersNoStaleRead checks that a restarted tail, which holds what it
// committed but no longer knows that it committed it, does not answer a read with the older
// commit that another machine reports.
func TestRestartedTailAnswersNoStaleRead(t *testing.T) {
	disk := simnet.NewDisk()
	names := []string{"a", "b", "c"}
	open := func() *Chain {
		c, err := New(0, "c", names, true, disk, rand.New(rand.NewPCG(1, 1)))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	old := config.Doc{Stamp: config.Revision{View: 1, Seq: 1}, Version: 1, Raw: []byte("1")}
	newer := config.Doc{Stamp: config.Revision{View: 1, Seq: 2}, Version: 2, Raw: []byte("2")}
	c := open()
	c.Recv(1, "b", Replicate{View: 1, Doc: old})
	c.Recv(2, "b", Replicate{View: 1, Doc: newer})
	if VersionOf(c.Committed()) != 2 {
		t.Fatal("the tail did not commit the states sent to it")
	}
	c = open()
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
		t.Fatalf("read returned r%d, although r2 was committed here", VersionOf(got[0].Doc))
	}
	c.Recv(7, "b", Replicate{View: 1, Doc: newer})
	if got := read(); len(got) == 0 || VersionOf(got[len(got)-1].Doc) != 2 {
		t.Fatalf("read not answered after the state was replicated again: %v", got)
	}
}

// TestSingleMachineIsItsOwnMajority checks that a single control machine commits and reads.
func TestSingleMachineIsItsOwnMajority(t *testing.T) {
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

// TestRelaysAddNoLoadAndNeverJoin checks that relays redirect callers to running voters,
// never join a view, do not increase the number of heartbeats that voters send, and connect
// a machine that knows only relays to the voters.
func TestRelaysAddNoLoadAndNeverJoin(t *testing.T) {
	c := newCluster(t, 7, []string{"a", "b", "c"}, 1)
	for i := range 20 {
		n := fmt.Sprintf("r%d", i)
		c.names = append(c.names, n)
		c.disks[n] = simnet.NewDisk()
		c.start(n, false)
	}
	c.network.Run(5*time.Second, nil)
	if from := revisionOf(c.chains["r3"].held); from != (config.Revision{}) {
		t.Fatal("a relay holds a configuration")
	}
	c.chains["a"] = nil
	c.network.Run(10*time.Second, nil)
	for _, n := range c.names[3:] {
		if to, ok := c.chains[n].RedirectTarget(); !ok || to == "a" {
			t.Errorf("%s redirects callers to %q", n, to)
		}
	}
	heartbeats := 0
	for _, o := range c.chains["b"].Tick(c.network.Now + constants.HeartbeatInterval) {
		if _, ok := o.(Send).Msg.(Heartbeat); ok {
			heartbeats++
		}
	}
	if heartbeats > 2 {
		t.Errorf("%d heartbeats in one step, with two other voters", heartbeats)
	}
	c.disks["a"], c.seeds = simnet.NewDisk(), []string{"r1", "r2", "r3"}
	c.start("a", false)
	c.network.Run(16*time.Second, nil)
	for _, n := range c.names {
		if v := c.chains[n].View(); len(v.Members) != 3 || len(v.Voters) != 3 || !v.HasMember(c.chains["a"].Me) {
			t.Fatalf("%s has view %+v", n, v)
		}
	}
}

// TestLargeStateIsCommittedSoonAfterRestartOfAll restarts all members one after the other. A
// large state that all of them hold must be committed soon after the last one has started,
// not only with the next regular retransmission.
func TestLargeStateIsCommittedSoonAfterRestartOfAll(t *testing.T) {
	c := newCluster(t, 3, threeMachines, 1)
	c.network.Run(4*time.Second, nil)
	large := string(make([]byte, 2<<20))
	c.submit("a", sentConfig{9, large})
	c.network.Run(7*time.Second, nil)
	for _, n := range threeMachines {
		c.chains[n] = nil
	}
	for i, n := range []string{"a", "c", "b"} {
		c.network.After(time.Duration(1+i)*300*time.Millisecond, func() { c.start(n, false) })
	}
	c.network.Run(7*time.Second+900*time.Millisecond+2*constants.HeartbeatInterval, nil)
	for _, n := range threeMachines {
		if VersionOf(c.committedStates[n]) != 9 {
			t.Errorf("%s has r%d committed", n, VersionOf(c.committedStates[n]))
		}
	}
}

// TestStoreWithoutVotersOpens opens a store written by a build whose views did not list their
// voters.
func TestStoreWithoutVotersOpens(t *testing.T) {
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
		t.Fatalf("opened with view %+v, holding %+v", v, c.Status().Held)
	}
}

// TestDelayedEvacuationOrderIsIgnored checks that an order delayed in the network, for
// example by a partition, does not undo later orders, and that a duplicate of an applied
// order changes nothing.
func TestDelayedEvacuationOrderIsIgnored(t *testing.T) {
	c, err := New(0, "a", []string{"a"}, true, simnet.NewDisk(), rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	delayed := EvacuationOrder{ID: 1, Zone: "z", On: true, Base: 0}
	c.Evacuate(1, 2, "z", true)
	c.Evacuate(2, 3, "z", false)
	c.Recv(3, "a", delayed)
	c.Recv(4, "a", EvacuationOrder{ID: 2, Zone: "z", On: true, Base: 2})
	if e := c.Committed().Evac["z"]; e.On || e.Num != 2 {
		t.Fatalf("after start, stop and two old orders: %+v", e)
	}
	c.Evacuate(5, 4, "z", true)
	if z := c.Committed().EvacuatedZones(); len(z) != 1 || z[0] != "z" {
		t.Fatalf("a new order was not applied: %v", z)
	}
}

// TestExcludedMachineDoesNotRejoinWhileDown checks that a machine that a view has just
// excluded is not a candidate to join before a new heartbeat arrives from it. If its last
// heartbeats from before the view counted, a second view change would start at once, wait
// for a machine that is down, and keep all voters sealed meanwhile, so that leases expire.
func TestExcludedMachineDoesNotRejoinWhileDown(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		c := newCluster(t, seed, []string{"a", "b", "c", "d", "e", "f"}, 2)
		c.network.Delay = 5 * time.Millisecond
		c.network.Run(7*time.Second, nil)
		kill := func(n string) { c.chains[n] = nil; c.generation[n]++ }
		kill("e")
		c.network.Run(c.network.Now+700*time.Millisecond, nil)
		kill("f") // its last heartbeat is recent when the view without it is agreed
		without := func() bool {
			for _, n := range []string{"a", "b", "c", "d"} {
				if c.chains[n].View().memberIndex("f") >= 0 {
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
		num := c.chains["a"].View().Num
		c.network.Run(c.network.Now+1500*time.Millisecond, func() {
			for _, n := range []string{"a", "b", "c", "d"} {
				if c.chains[n].sealed() {
					t.Fatalf("seed %d at %v: %s is sealed for a view after %d, with no machine to add", seed, c.network.Now, n, num)
				}
			}
		})
		c.start("f", false)
		c.network.Run(c.network.Now+2*time.Second, nil)
		if c.chains["a"].View().memberIndex("f") < 0 {
			t.Fatalf("seed %d: f is running again and not in the view", seed)
		}
	}
}

// TestShortRestartKeepsView checks that a member that restarts before its silence is noticed
// stays a member. Its first heartbeats echo nothing, which means that it has just started
// and not that it cannot receive. A view change would seal all members, end the leases of the
// duties, and move the member to the end of the chain.
func TestShortRestartKeepsView(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		c := newCluster(t, seed, []string{"a", "b", "c", "d", "e", "f"}, 2)
		c.network.Run(7*time.Second, nil)
		before := c.chains["a"].View()
		restarted := c.names[seed%6]
		c.chains[restarted] = nil
		c.generation[restarted]++
		c.network.Run(c.network.Now+500*time.Millisecond, nil)
		c.start(restarted, false)
		c.network.Run(c.network.Now+3*time.Second, func() {
			for _, n := range c.names {
				if num := c.chains[n].View().Num; num != before.Num || c.chains[n].sealed() {
					t.Fatalf("seed %d at %v: %s is at view %d, sealed %v; %s was down for half a second of view %d",
						seed, c.network.Now, n, num, c.chains[n].sealed(), restarted, before.Num)
				}
			}
		})
	}
}

// TestContactIsProvenSoonAfterStart restarts all members one after the other. Each must know
// of its contact with a majority a few round trips after the last one has started, since
// proxies that start at the same time accept nothing from a control machine without it.
func TestContactIsProvenSoonAfterStart(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		c := newCluster(t, seed, []string{"a", "b", "c", "d", "e", "f"}, 2)
		c.network.Delay = 5 * time.Millisecond
		c.network.Run(7*time.Second, nil)
		for _, n := range c.names {
			c.chains[n] = nil
			c.generation[n]++
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
			if _, ok := c.chains[n].MajorityContactAt(); !ok {
				t.Errorf("seed %d: %s has no proven contact %v after the last start", seed, n, c.network.Now-last)
			}
		}
	}
}
