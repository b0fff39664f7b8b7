package counter

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// mostDoublings bounds the time between two sendings: eight times the first.
const mostDoublings = 3

// leader is what a machine knows while it leads.
type leader[K comparable, V Value[V]] struct {
	ballot     Ballot
	replicas   []string // all machines that keep a copy, this one included
	assemblies map[string]*assembly[K, V]
	prepared   map[string]bool
	askedAt    time.Duration
	asks       int  // times that replicas were asked to prepare
	ready      bool // a majority has answered
	paused     bool // the lease has lapsed: nothing is proposed or published, the ballot stays
	round      *round[K, V]
	rounds     uint64
	roundAt    time.Duration
	foldAt     time.Duration
	inbox      []Delta[K, V]
	arrived    map[IncarnationID]uint64 // versions with the inbox
	closing    map[IncarnationID]uint64 // final versions in the inbox
	durable    map[IncarnationID]uint64 // versions that a majority holds
	totals     Cells[K, V]              // of what a majority holds
	holders    map[K]map[IncarnationID]struct{}
	totalsAt   time.Duration
	whole      bool   // totals have been computed
	unproven   bool   // another machine may have led in a pause: nothing is published
	proof      uint64 // the first round whose end shows that none has
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
	versions map[IncarnationID]uint64
	parts    [][]Delta[K, V]
	base     *Base[K, V]             // goes with the first part
	acks     map[string]map[int]bool // parts, by replica
	sentAt   map[string]time.Duration
	sends    map[string]int // by replica
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

// campaign begins to lead under a ballot above all that are known here.
func (g *Group[K, V]) campaign(now time.Duration, replicas []string) {
	g.leader = &leader[K, V]{ballot: Ballot{g.promised.Counter + 1, g.machine, g.start}, replicas: slices.Clone(replicas),
		assemblies: map[string]*assembly[K, V]{}, prepared: map[string]bool{}, durable: map[IncarnationID]uint64{},
		arrived: map[IncarnationID]uint64{}, closing: map[IncarnationID]uint64{}, empty: map[string]emptyReplica{}, foldAt: now}
	g.prepare(now)
}

func (g *Group[K, V]) prepare(now time.Duration) {
	l := g.leader
	l.askedAt = now
	l.asks++
	if !g.promise(l.ballot) {
		if l.ballot.Less(g.promised) {
			g.leader = nil // the next tick campaigns above that ballot
		}
		return
	}
	l.prepared[g.machine] = !g.fresh
	for _, to := range l.replicas {
		if to != g.machine && !l.prepared[to] {
			if l.assemblies[to] == nil {
				l.assemblies[to] = &assembly[K, V]{parts: map[int]Promise[K, V]{}}
			}
			g.send(to, Prepare{g.group, l.ballot})
		}
	}
	g.tryReady()
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

// pause stops proposing and publishing while the machine has no lease. What is known
// under the ballot stays: a replica that has promised a higher one rejects it.
func (l *leader[K, V]) pause() { l.paused = true }

// resume goes on under the ballot once the lease is held again. Another machine may have
// led meanwhile and published more than this one holds. If so, a majority has promised it
// a higher ballot, and no round that begins now can end.
func (g *Group[K, V]) resume() {
	l := g.leader
	l.paused = false
	l.unproven, l.proof = true, l.rounds+1
	g.tryReady()
	g.tryFinish()
}

// tryReady begins to lead once a majority has answered. The highest base that any of them
// holds is proposed anew, as it may have been agreed.
func (g *Group[K, V]) tryReady() {
	l := g.leader
	if l.ready || l.paused || !l.majority(l.prepared) {
		return
	}
	g.fresh = false // a majority's copies are in this one
	if !g.saveWhole() {
		g.fresh = true
		return
	}
	l.ready = true
	for id := range g.replica.Incarnations {
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
	arrived := Incarnation[K, V]{Version: l.arrived[delta.Life]}
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
	next := &round[K, V]{number: l.rounds, versions: map[IncarnationID]uint64{}, acks: map[string]map[int]bool{}, sentAt: map[string]time.Duration{}, sends: map[string]int{}}
	var deltas []Delta[K, V]
	for _, id := range g.replica.ids() {
		life := g.replica.Incarnations[id]
		if from, known := l.durable[id]; !known || life.Version > from {
			next.versions[id] = life.Version
			deltas = append(deltas, life.since(id, from))
		}
	}
	next.parts = splitDeltas(deltas, g.options.MaxCellsPerMessage)
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
	g.tryFinish()
}

// nextBase is the base to propose with the next round, if any.
func (g *Group[K, V]) nextBase(now time.Duration) *Base[K, V] {
	l := g.leader
	if !l.whole {
		base := g.replica.Proposed
		base.Ballot = l.ballot
		return &base
	}
	if now-l.foldAt < g.options.CompactionInterval {
		return nil
	}
	l.foldAt = now
	if base, some := g.replica.Candidate(l.ballot, g.options.IncarnationsPerCompaction); some {
		return &base
	}
	return nil
}

// replicateAll sends a replica the parts of the round that it has not acknowledged.
func (g *Group[K, V]) replicateAll(now time.Duration, to string) {
	l := g.leader
	l.round.sentAt[to] = now
	l.round.sends[to]++
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

// backoff is the time until a message that was sent so many times is sent again. Sending
// it sooner would load machines that are slow to answer because of their load.
func backoff(first time.Duration, sends int) time.Duration {
	return first << min(max(sends-1, 0), mostDoublings)
}

func (g *Group[K, V]) resend(now time.Duration) {
	l := g.leader
	for _, to := range l.replicas {
		if now-l.round.sentAt[to] >= backoff(g.options.ResendTimeout, l.round.sends[to]) {
			g.replicateAll(now, to)
		}
	}
}

// fill gives replicas whose disks were empty a copy, once a round that began after they
// were heard of has a majority without them.
func (g *Group[K, V]) fill(finished uint64) {
	l := g.leader
	for _, to := range slices.Sorted(maps.Keys(l.empty)) {
		empty := l.empty[to]
		if finished <= empty.after {
			continue
		}
		delete(l.empty, to)
		g.sendCopy(to, empty.start, finished)
	}
}

// sendCopy sends the base with the first part, and all lives.
func (g *Group[K, V]) sendCopy(to string, start, round uint64) {
	var deltas []Delta[K, V]
	for _, id := range g.replica.ids() {
		deltas = append(deltas, g.replica.DeltaSince(id, 0))
	}
	agreed := g.replica.Base
	parts := splitDeltas(deltas, g.options.MaxCellsPerMessage)
	for part, deltas := range parts {
		message := Replicate[K, V]{Group: g.group, Ballot: g.leader.ballot, Round: round, Part: part, Parts: len(parts), Deltas: deltas, Agreed: agreed.ID(), Whole: start}
		if part == 0 {
			message.Base = &agreed
		}
		g.send(to, message)
	}
}

// tryFinish ends the round once a majority holds it.
func (g *Group[K, V]) tryFinish() {
	l := g.leader
	if l.round == nil || l.paused || !l.majority(l.round.holders()) {
		return
	}
	finished := l.round
	l.round = nil
	l.unproven = l.unproven && finished.number < l.proof
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
	l.holders = map[K]map[IncarnationID]struct{}{}
	for id, life := range replica.Incarnations {
		for key := range life.Cells {
			l.hold(key, id)
		}
	}
}

func (l *leader[K, V]) hold(key K, id IncarnationID) {
	if l.holders[key] == nil {
		l.holders[key] = map[IncarnationID]struct{}{}
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
				total = total.Plus(replica.Incarnations[id].Cells[key].Value)
			}
			l.totals[key] = total
		}
	}
}

func (g *Group[K, V]) onPromise(from string, m Promise[K, V]) {
	l := g.leader
	if l == nil || l.ready || m.Ballot != l.ballot || l.prepared[from] || l.assemblies[from] == nil {
		return
	}
	copied, whole := l.assemblies[from].add(m)
	if !whole || g.replica.MergeReplica(copied) != nil || !g.saveWhole() {
		return
	}
	l.prepared[from] = true
	g.tryReady()
}

func (g *Group[K, V]) onReplicated(from string, m Replicated) {
	l := g.leader
	if l == nil || l.round == nil || m.Ballot != l.ballot || m.Round != l.round.number || m.Part < 0 || m.Part >= len(l.round.parts) {
		return
	}
	if len(m.Gaps) == 0 && !m.NeedBase && m.Fresh == 0 {
		if l.round.acks[from] == nil {
			l.round.acks[from] = map[int]bool{}
		}
		l.round.acks[from][m.Part] = true
		g.tryFinish()
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
			deltas[i] = g.replica.DeltaSince(delta.Life, 0)
		}
	}
	g.replicate(to, m.Part, deltas)
}

func (g *Group[K, V]) onReject(m Reject) {
	if g.leader == nil || !g.leader.ballot.Less(m.Promised) {
		return
	}
	g.leader = nil        // the next tick campaigns above the ballot, if the lease still holds
	g.promise(m.Promised) // on the disk too: a Prepare under this ballot is answered without another write
}
