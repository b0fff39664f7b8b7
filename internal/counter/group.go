package counter

import (
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Store keeps values on the machine's disk; Put returns once the value will last.
type Store interface {
	Get(key string, value any) bool
	Put(key string, value any) error
}

// Options are the times and sizes of a group.
type Options struct {
	RoundEvery  time.Duration // between two rounds of replication
	ResendAfter time.Duration // an answer that has not come by then is asked for again
	FoldEvery   time.Duration // between two proposals of a base
	FoldAtMost  int           // lives folded at once
	CellsAtOnce int           // cells in one message
	SavesAtOnce int           // rounds kept on disk by themselves before the whole is written
}

// Group is one machine's part in keeping a group of counters: a replica on its disk and,
// while the machine is the leader, the rounds that bring deltas to a majority of replicas.
// It has no clock, network or lease of its own and is not safe for concurrent use.
type Group[K comparable, V Value[V]] struct {
	group    int
	machine  string
	options  Options
	store    Store
	replica  *Replica[K, V]
	promised Ballot
	saves    int
	copies   uint64 // sent so far
	start    uint64 // number of this process's start
	fresh    bool   // the disk has no copy: this replica promises nothing until it was given one
	failed   error  // the disk's; nothing is promised or answered until it is mended
	leader   *leader[K, V]
	out      []Send

	Refused uint64 // deltas that were garbled or went beyond a final version
}

// leader is what a machine knows while it leads.
type leader[K comparable, V Value[V]] struct {
	ballot     Ballot
	replicas   []string // all machines that keep a copy, this one included
	assemblies map[string]*assembly[K, V]
	prepared   map[string]bool
	askedAt    time.Duration
	ready      bool // a majority has answered
	round      *round[K, V]
	rounds     uint64
	roundAt    time.Duration
	foldAt     time.Duration
	inbox      []Delta[K, V]
	arrived    map[LifeID]uint64 // versions with the inbox
	closing    map[LifeID]uint64 // final versions in the inbox
	durable    map[LifeID]uint64 // versions that a majority holds
	totals     Cells[K, V]       // of what a majority holds
	holders    map[K]map[LifeID]struct{}
	totalsAt   time.Duration
	whole      bool // totals have been computed
	empty      map[string]emptyReplica
}

// emptyReplica is a replica whose disk has lost its copy. It has also forgotten which
// ballots it accepts none below, so that it may be given a copy only by a leader whose
// ballot a majority of the others has accepted since.
type emptyReplica struct {
	start uint64 // number of its process's start
	after uint64 // the round under way as it was heard of
}

// round is one that waits for a majority.
type round[K comparable, V Value[V]] struct {
	number   uint64
	versions map[LifeID]uint64
	parts    [][]Delta[K, V]
	base     *Base[K, V]             // goes with the first part
	acks     map[string]map[int]bool // parts, by replica
	sentAt   map[string]time.Duration
}

// holders are the replicas that hold all parts.
func (r *round[K, V]) holders() map[string]bool {
	out := map[string]bool{}
	for replica, parts := range r.acks {
		out[replica] = len(parts) == len(r.parts)
	}
	return out
}

// splitDeltas divides deltas into parts of a bounded number of cells, at least one.
func splitDeltas[K comparable, V Value[V]](deltas []Delta[K, V], cellsAtOnce int) [][]Delta[K, V] {
	parts := make([][]Delta[K, V], 1)
	cells := 0
	for _, delta := range deltas {
		last := len(parts) - 1
		if cells > 0 && cells+len(delta.Cells) > cellsAtOnce {
			parts = append(parts, nil)
			last, cells = last+1, 0
		}
		parts[last] = append(parts[last], delta)
		cells += len(delta.Cells)
	}
	return parts
}

// saved is the whole of a replica on disk.
type saved[K comparable, V Value[V]] struct {
	Promised Ballot
	Base     Base[K, V]
	Proposed Base[K, V]
	Deltas   []Delta[K, V]
}

// savedRound is what has come since the whole was written.
type savedRound[K comparable, V Value[V]] struct {
	Promised Ballot
	Deltas   []Delta[K, V]
}

// NewGroup takes up what the machine's disk holds of a group. Founding says that the
// deployment starts for the first time; else an empty disk has lost what it held. Start
// is a number that no other start of the process has, and not zero.
func NewGroup[K comparable, V Value[V]](group int, machine string, options Options, store Store, founding bool, start uint64) *Group[K, V] {
	g := &Group[K, V]{group: group, machine: machine, options: options, store: store, replica: NewReplica[K, V](), start: start, fresh: true}
	g.load()
	if g.fresh && founding {
		g.fresh = false
		g.saveWhole()
	}
	return g
}

func (g *Group[K, V]) wholeKey() string { return "counters-" + strconv.Itoa(g.group) }

func (g *Group[K, V]) roundKey(i int) string { return g.wholeKey() + "-" + strconv.Itoa(i) }

// load merges the whole and the rounds after it. Rounds before it may still stand there;
// merging them changes nothing.
func (g *Group[K, V]) load() {
	var whole saved[K, V]
	if g.store.Get(g.wholeKey(), &whole) {
		g.fresh, g.promised = false, whole.Promised
		g.replica.Base, g.replica.Proposed = whole.Base, whole.Proposed
		g.mergeAll(whole.Deltas)
	}
	for i := 0; i < g.options.SavesAtOnce && !g.fresh; i++ {
		var next savedRound[K, V]
		if g.store.Get(g.roundKey(i), &next) {
			if g.promised.Less(next.Promised) {
				g.promised = next.Promised
			}
			g.mergeAll(next.Deltas)
		}
	}
	g.saves = g.options.SavesAtOnce // the rounds are needed until the whole has been written
}

func (g *Group[K, V]) mergeAll(deltas []Delta[K, V]) {
	for _, delta := range deltas {
		if err := g.replica.Merge(delta); err != nil && !errors.Is(err, ErrAfterClose) {
			g.Refused++
		}
	}
}

// save makes deltas last; true if they do.
func (g *Group[K, V]) save(deltas []Delta[K, V]) bool {
	if g.fresh || g.failed != nil || g.saves == g.options.SavesAtOnce {
		return g.saveWhole()
	}
	g.failed = g.store.Put(g.roundKey(g.saves), savedRound[K, V]{g.promised, deltas})
	if g.failed == nil {
		g.saves++
	}
	return g.failed == nil
}

// saveWhole writes the whole copy; a replica without one has nothing to write.
func (g *Group[K, V]) saveWhole() bool {
	if g.fresh {
		return true
	}
	whole := saved[K, V]{Promised: g.promised, Base: g.replica.Base, Proposed: g.replica.Proposed}
	for id, life := range g.replica.Lives {
		whole.Deltas = append(whole.Deltas, life.since(id, 0))
	}
	if g.failed = g.store.Put(g.wholeKey(), whole); g.failed != nil {
		return false
	}
	g.saves = 0
	return true
}

func (g *Group[K, V]) send(to string, message any) {
	g.out = append(g.out, Send{to, message})
}

func (g *Group[K, V]) flush() []Send {
	out := g.out
	g.out = nil
	return out
}

// Leading reports whether this machine leads and a majority has answered it.
func (g *Group[K, V]) Leading() bool { return g.leader != nil && g.leader.ready }

// Totals are the sums of what a majority holds, and how old that knowledge is; false
// unless this machine leads. The cells must not be changed.
func (g *Group[K, V]) Totals(now time.Duration) (Cells[K, V], time.Duration, bool) {
	if !g.Leading() || !g.leader.whole {
		return nil, 0, false
	}
	return g.leader.totals, now - g.leader.totalsAt, true
}

// Lives is the number of lives that are not in the base, and of those in it.
func (g *Group[K, V]) Lives() (open, folded int) {
	return len(g.replica.Lives), len(g.replica.Base.Folded)
}

// OpenLives are the lives that have not ended, by id, with their nodes.
func (g *Group[K, V]) OpenLives() map[LifeID]string {
	out := map[LifeID]string{}
	for id, life := range g.replica.Lives {
		if life.Final == 0 {
			out[id] = life.Node
		}
	}
	return out
}

// Tick advances the group. Leads says that this machine holds the lease, and replicas are
// all machines that keep a copy.
func (g *Group[K, V]) Tick(now time.Duration, leads bool, replicas []string) []Send {
	switch {
	case !leads:
		g.leader = nil
	case g.leader == nil || !slices.Equal(g.leader.replicas, replicas):
		g.campaign(now, replicas)
	case !g.leader.ready:
		if now-g.leader.askedAt >= g.options.ResendAfter {
			g.prepare(now)
		}
	case g.leader.round != nil:
		g.resend(now)
	case now-g.leader.roundAt >= g.options.RoundEvery || !g.leader.whole:
		g.begin(now)
	}
	return g.flush()
}

// campaign begins to lead under a ballot above all that are known here.
func (g *Group[K, V]) campaign(now time.Duration, replicas []string) {
	g.leader = &leader[K, V]{ballot: Ballot{g.promised.Counter + 1, g.machine, g.start}, replicas: slices.Clone(replicas),
		assemblies: map[string]*assembly[K, V]{}, prepared: map[string]bool{}, durable: map[LifeID]uint64{},
		arrived: map[LifeID]uint64{}, closing: map[LifeID]uint64{}, empty: map[string]emptyReplica{}, foldAt: now}
	g.prepare(now)
}

func (g *Group[K, V]) prepare(now time.Duration) {
	l := g.leader
	l.askedAt = now
	if !g.promise(l.ballot) {
		if l.ballot.Less(g.promised) {
			g.leader = nil // the next tick campaigns above that ballot
		}
		return
	}
	l.prepared[g.machine] = !g.fresh
	for _, to := range l.replicas {
		if to != g.machine && !l.prepared[to] {
			l.assemblies[to] = &assembly[K, V]{parts: map[int]Promise[K, V]{}}
			g.send(to, Prepare{g.group, l.ballot})
		}
	}
	g.tryReady()
}

// promise notes on disk that no lower ballot is accepted any more; a leader under one
// leads no longer.
func (g *Group[K, V]) promise(ballot Ballot) bool {
	if ballot.Less(g.promised) {
		return false
	}
	if ballot == g.promised && g.failed == nil {
		return true
	}
	if g.leader != nil && g.leader.ballot != ballot {
		g.leader = nil
	}
	g.promised = ballot
	return g.save(nil)
}

func (l *leader[K, V]) majority(have map[string]bool) bool {
	count := 0
	for _, replica := range l.replicas {
		if have[replica] {
			count++
		}
	}
	return count > len(l.replicas)/2
}

// tryReady begins to lead once a majority has answered. The highest base that any of them
// holds is proposed anew, as it may have been agreed.
func (g *Group[K, V]) tryReady() {
	l := g.leader
	if l.ready || !l.majority(l.prepared) {
		return
	}
	g.fresh = false // a majority's copies are in this one
	if !g.saveWhole() {
		g.fresh = true
		return
	}
	l.ready = true
	for id := range g.replica.Lives {
		l.arrived[id], _ = g.replica.Version(id)
	}
}

// Report takes a proxy's delta to the leader; false where there is none.
func (g *Group[K, V]) Report(delta Delta[K, V]) (Ack, bool) {
	if !g.Leading() {
		return Ack{}, false
	}
	l := g.leader
	if err := g.admit(delta); err != nil && !errors.Is(err, ErrGap) {
		g.Refused++
		return Ack{}, false
	}
	ack := Ack{Term: l.ballot, Heard: l.arrived[delta.Life], Durable: l.durable[delta.Life]}
	if final, folded := g.replica.Base.Folded[delta.Life]; folded {
		ack.Heard, ack.Durable = final, final
	}
	return ack, true
}

// admit puts a delta into the inbox if it fits what has arrived before.
func (g *Group[K, V]) admit(delta Delta[K, V]) error {
	l := g.leader
	if _, folded := g.replica.Base.Folded[delta.Life]; folded {
		return g.replica.Check(delta)
	}
	arrived := Life[K, V]{Version: l.arrived[delta.Life]}
	if _, final := g.replica.Version(delta.Life); final > 0 {
		arrived.Final = final
	}
	if final, closed := l.closing[delta.Life]; closed {
		arrived.Final = final
	}
	if err := arrived.check(delta); err != nil {
		return err
	}
	l.inbox = append(l.inbox, delta)
	l.arrived[delta.Life] = max(arrived.Version, delta.To)
	if delta.Closed {
		l.closing[delta.Life] = delta.To
	}
	return nil
}

// begin starts a round with all that a majority is not known to hold.
func (g *Group[K, V]) begin(now time.Duration) {
	l := g.leader
	g.mergeAll(l.inbox)
	if !g.save(l.inbox) {
		return // the inbox is kept; merging it again changes nothing
	}
	l.inbox = nil
	clear(l.closing)
	l.rounds++
	l.roundAt = now
	next := &round[K, V]{number: l.rounds, versions: map[LifeID]uint64{}, acks: map[string]map[int]bool{}, sentAt: map[string]time.Duration{}}
	var deltas []Delta[K, V]
	for id, life := range g.replica.Lives {
		if from, known := l.durable[id]; !known || life.Version > from {
			next.versions[id] = life.Version
			deltas = append(deltas, life.since(id, from))
		}
	}
	next.parts = splitDeltas(deltas, g.options.CellsAtOnce)
	if next.base = g.nextBase(now); next.base != nil {
		if g.replica.Propose(*next.base) != nil || !g.saveWhole() {
			return
		}
	}
	l.round = next
	next.acks[g.machine] = map[int]bool{}
	for part := range next.parts {
		next.acks[g.machine][part] = true
	}
	for _, to := range l.replicas {
		if to != g.machine {
			g.replicateAll(now, to)
		}
	}
	g.tryFinish(now)
}

// nextBase is the base to propose with the next round, if any.
func (g *Group[K, V]) nextBase(now time.Duration) *Base[K, V] {
	l := g.leader
	if !l.whole {
		base := g.replica.Proposed
		base.Ballot = l.ballot
		return &base
	}
	if now-l.foldAt < g.options.FoldEvery {
		return nil
	}
	l.foldAt = now
	if base, some := g.replica.Candidate(l.ballot, g.options.FoldAtMost); some {
		return &base
	}
	return nil
}

// replicateAll sends a replica the parts of the round that it has not acknowledged.
func (g *Group[K, V]) replicateAll(now time.Duration, to string) {
	l := g.leader
	l.round.sentAt[to] = now
	for part, deltas := range l.round.parts {
		if !l.round.acks[to][part] {
			g.replicate(to, part, deltas)
		}
	}
}

func (g *Group[K, V]) replicate(to string, part int, deltas []Delta[K, V]) {
	l := g.leader
	message := Replicate[K, V]{Group: g.group, Ballot: l.ballot, Round: l.round.number, Part: part, Deltas: deltas, Agreed: g.replica.Base.ID()}
	if part == 0 {
		message.Base = l.round.base
	}
	g.send(to, message)
}

func (g *Group[K, V]) resend(now time.Duration) {
	l := g.leader
	for _, to := range l.replicas {
		if now-l.round.sentAt[to] >= g.options.ResendAfter {
			g.replicateAll(now, to)
		}
	}
}

// fill gives replicas whose disks were empty a copy, once a round that began after they
// were heard of has a majority without them.
func (g *Group[K, V]) fill(finished uint64) {
	l := g.leader
	for to, empty := range l.empty {
		if finished <= empty.after {
			continue
		}
		delete(l.empty, to)
		agreed := g.replica.Base
		copied := Replicate[K, V]{Group: g.group, Ballot: l.ballot, Base: &agreed, Agreed: agreed.ID(), Whole: empty.start}
		for id := range g.replica.Lives {
			copied.Deltas = append(copied.Deltas, g.replica.Since(id, 0))
		}
		g.send(to, copied)
	}
}

// tryFinish ends the round once a majority holds it.
func (g *Group[K, V]) tryFinish(now time.Duration) {
	l := g.leader
	if l.round == nil || !l.majority(l.round.holders()) {
		return
	}
	finished := l.round
	l.round = nil
	maps.Copy(l.durable, finished.versions)
	l.totalsAt = l.roundAt
	if finished.base != nil {
		g.replica.Install(finished.base.Ballot, finished.base.Number)
		for id := range g.replica.Base.Folded {
			delete(l.durable, id)
			delete(l.arrived, id)
		}
	}
	if !l.whole || finished.base != nil {
		l.recompute(g.replica)
	} else {
		for _, deltas := range finished.parts {
			l.update(g.replica, deltas)
		}
	}
	g.fill(finished.number)
}

// recompute adds everything up anew.
func (l *leader[K, V]) recompute(replica *Replica[K, V]) {
	l.totals, l.whole = replica.Totals(), true
	l.holders = map[K]map[LifeID]struct{}{}
	for id, life := range replica.Lives {
		for key := range life.Cells {
			l.hold(key, id)
		}
	}
}

func (l *leader[K, V]) hold(key K, id LifeID) {
	if l.holders[key] == nil {
		l.holders[key] = map[LifeID]struct{}{}
	}
	l.holders[key][id] = struct{}{}
}

// update adds up the cells that a round has changed.
func (l *leader[K, V]) update(replica *Replica[K, V], deltas []Delta[K, V]) {
	for _, delta := range deltas {
		for key := range delta.Cells {
			l.hold(key, delta.Life)
			total := replica.Base.Cells[key]
			for id := range l.holders[key] {
				total = total.Plus(replica.Lives[id].Cells[key].Value)
			}
			l.totals[key] = total
		}
	}
}

// Receive takes a message from another machine of the group.
func (g *Group[K, V]) Receive(now time.Duration, from string, message any) []Send {
	switch m := message.(type) {
	case Prepare:
		g.onPrepare(from, m)
	case Promise[K, V]:
		g.onPromise(from, m)
	case Replicate[K, V]:
		g.onReplicate(from, m)
	case Replicated:
		g.onReplicated(now, from, m)
	case Reject:
		g.onReject(m)
	}
	return g.flush()
}

func (g *Group[K, V]) onPrepare(from string, m Prepare) {
	if m.Ballot.Less(g.promised) {
		g.send(from, Reject{g.group, g.promised})
		return
	}
	if g.fresh || !g.promise(m.Ballot) {
		return
	}
	g.copies++
	for _, part := range promises(g.group, m.Ballot, SnapshotID{g.start, g.copies}, g.replica, g.options.CellsAtOnce) {
		g.send(from, part)
	}
}

func (g *Group[K, V]) onPromise(from string, m Promise[K, V]) {
	l := g.leader
	if l == nil || l.ready || m.Ballot != l.ballot || l.prepared[from] || l.assemblies[from] == nil {
		return
	}
	copied, whole := l.assemblies[from].add(m)
	if !whole || g.replica.Absorb(copied) != nil || !g.saveWhole() {
		return
	}
	l.prepared[from] = true
	g.tryReady()
}

func (g *Group[K, V]) onReplicate(from string, m Replicate[K, V]) {
	if m.Ballot.Less(g.promised) {
		g.send(from, Reject{g.group, g.promised})
		return
	}
	if g.promised.Less(m.Ballot) && !g.promise(m.Ballot) {
		return
	}
	g.accept(from, m)
}

// accept takes a round in and answers once the disk holds it.
func (g *Group[K, V]) accept(from string, m Replicate[K, V]) {
	answer := Replicated{Group: g.group, Ballot: m.Ballot, Round: m.Round, Part: m.Part}
	if g.fresh && m.Whole != g.start {
		answer.Fresh = g.start
		g.send(from, answer)
		return
	}
	before := g.replica.Base.ID()
	if !g.takeBase(m) {
		return
	}
	answer.NeedBase = g.replica.Base.ID().Less(m.Agreed)
	var merged []Delta[K, V]
	for _, delta := range m.Deltas {
		switch err := g.replica.Merge(delta); {
		case err == nil:
			merged = append(merged, delta)
		case errors.Is(err, ErrGap):
			answer.Gaps = append(answer.Gaps, delta.Life)
		}
	}
	g.fresh = false
	saved := false
	if m.Whole > 0 || m.Base != nil || before != g.replica.Base.ID() {
		saved = g.saveWhole()
	} else {
		saved = g.save(merged)
	}
	if saved {
		g.send(from, answer)
	}
}

// takeBase notes the base of a round; false if it is an old one.
func (g *Group[K, V]) takeBase(m Replicate[K, V]) bool {
	switch {
	case m.Base == nil:
	case m.Base.ID() == m.Agreed:
		g.replica.Adopt(*m.Base)
	case g.replica.Propose(*m.Base) != nil:
		return false
	}
	g.replica.Install(m.Agreed.Ballot, m.Agreed.Number)
	return true
}

func (g *Group[K, V]) onReplicated(now time.Duration, from string, m Replicated) {
	l := g.leader
	if l == nil || l.round == nil || m.Ballot != l.ballot || m.Round != l.round.number || m.Part < 0 || m.Part >= len(l.round.parts) {
		return
	}
	if len(m.Gaps) == 0 && !m.NeedBase && m.Fresh == 0 {
		if l.round.acks[from] == nil {
			l.round.acks[from] = map[int]bool{}
		}
		l.round.acks[from][m.Part] = true
		g.tryFinish(now)
		return
	}
	g.repair(from, m)
}

// repair sends a replica what it lacks, and then the round again.
func (g *Group[K, V]) repair(to string, m Replicated) {
	l := g.leader
	if m.Fresh > 0 {
		if l.empty[to].start != m.Fresh {
			l.empty[to] = emptyReplica{m.Fresh, m.Round}
		}
		return
	}
	if m.NeedBase {
		agreed := g.replica.Base
		g.send(to, Replicate[K, V]{Group: g.group, Ballot: l.ballot, Base: &agreed, Agreed: agreed.ID()})
	}
	deltas := slices.Clone(l.round.parts[m.Part])
	for i, delta := range deltas {
		if slices.Contains(m.Gaps, delta.Life) {
			deltas[i] = g.replica.Since(delta.Life, 0)
		}
	}
	g.replicate(to, m.Part, deltas)
}

func (g *Group[K, V]) onReject(m Reject) {
	if g.leader == nil || !g.leader.ballot.Less(m.Promised) {
		return
	}
	g.leader = nil // the next tick campaigns above the ballot, if the lease still holds
	if g.promised.Less(m.Promised) {
		g.promised = m.Promised
	}
}
