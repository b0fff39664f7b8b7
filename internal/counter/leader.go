package counter

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// maxBackoffDoublings caps the resend interval at eight times the first one.
const maxBackoffDoublings = 3

// leader is the state of a machine while it leads.
type leader[K comparable, V Value[V]] struct {
	ballot            Ballot
	replicas          []string // all replicas, this machine included
	assemblies        map[string]*snapshotAssembly[K, V]
	prepared          map[string]bool
	prepareSentAt     time.Duration
	prepareAttempts   int
	ready             bool // a majority has promised
	paused            bool // the lease has lapsed: proposes and publishes nothing, keeps the ballot
	round             *round[K, V]
	lastRound         uint64
	roundAt           time.Duration
	compactedAt       time.Duration
	inbox             []Delta[K, V]
	receivedVersions  map[IncarnationID]uint64 // versions held, the inbox included
	receivedFinals    map[IncarnationID]uint64 // final versions in the inbox
	durableVersions   map[IncarnationID]uint64 // versions that a majority holds
	totals            Cells[K, V]              // sums of what a majority holds
	incarnationsByKey map[K]map[IncarnationID]struct{}
	totalsAt          time.Duration
	totalsReady       bool
	unconfirmed       bool   // another machine may have led during a pause: nothing is published
	confirmingRound   uint64 // first round whose completion shows that no other machine has led
	emptyReplicas     map[string]emptyReplica
}

// emptyReplica is a replica that has lost its state. It has also lost its promises, so it may
// only receive a copy from a leader whose ballot a majority of the others has accepted since
// the loss was detected.
type emptyReplica struct {
	start      uint64 // start of its process
	detectedIn uint64 // the round in progress when the loss was detected
}

// round is a replication round that waits for a majority.
type round[K comparable, V Value[V]] struct {
	number   uint64
	versions map[IncarnationID]uint64
	parts    [][]Delta[K, V]
	base     *Base[K, V]             // sent with the first part
	acks     map[string]map[int]bool // acknowledged parts, by replica
	sentAt   map[string]time.Duration
	sends    map[string]int // by replica
}

// completeReplicas maps each replica that has answered to whether it holds all parts.
func (r *round[K, V]) completeReplicas() map[string]bool {
	out := map[string]bool{}
	for replica, parts := range r.acks {
		out[replica] = len(parts) == len(r.parts)
	}
	return out
}

// splitDeltas groups deltas into parts of at most maxCells cells each, at least one part. A
// delta is never split, so one with more cells makes a larger part.
func splitDeltas[K comparable, V Value[V]](deltas []Delta[K, V], maxCells int) [][]Delta[K, V] {
	parts := make([][]Delta[K, V], 1)
	cells := 0
	for _, delta := range deltas {
		last := len(parts) - 1
		if cells > 0 && cells+len(delta.Cells) > maxCells {
			parts = append(parts, nil)
			last, cells = last+1, 0
		}
		parts[last] = append(parts[last], delta)
		cells += len(delta.Cells)
	}
	return parts
}

// campaign tries to become leader under a ballot above all that are known here.
func (g *Group[K, V]) campaign(now time.Duration, replicas []string) {
	g.leader = &leader[K, V]{ballot: Ballot{g.promised.Counter + 1, g.machine, g.start}, replicas: slices.Clone(replicas),
		assemblies: map[string]*snapshotAssembly[K, V]{}, prepared: map[string]bool{}, durableVersions: map[IncarnationID]uint64{},
		receivedVersions: map[IncarnationID]uint64{}, receivedFinals: map[IncarnationID]uint64{}, emptyReplicas: map[string]emptyReplica{}, compactedAt: now}
	g.prepare(now)
}

func (g *Group[K, V]) prepare(now time.Duration) {
	l := g.leader
	l.prepareSentAt = now
	l.prepareAttempts++
	if !g.promise(l.ballot) {
		if l.ballot.Less(g.promised) {
			g.leader = nil // the next tick campaigns above that ballot
		}
		return
	}
	l.prepared[g.machine] = !g.needsCopy
	for _, to := range l.replicas {
		if to != g.machine && !l.prepared[to] {
			if l.assemblies[to] == nil {
				l.assemblies[to] = &snapshotAssembly[K, V]{parts: map[int]Promise[K, V]{}}
			}
			g.send(to, Prepare{g.groupID, l.ballot})
		}
	}
	g.tryBecomeReady()
}

func (l *leader[K, V]) hasMajority(members map[string]bool) bool {
	count := 0
	for _, replica := range l.replicas {
		if members[replica] {
			count++
		}
	}
	return count > len(l.replicas)/2
}

// pause stops proposing and publishing while the machine does not hold the lease. The state
// under the ballot is kept: a replica that has promised a higher ballot rejects it.
func (l *leader[K, V]) pause() { l.paused = true }

// resume continues under the ballot once the lease is held again. Another machine may have
// led in the meantime and published more than this one holds. If so, a majority has promised
// it a higher ballot, and no round that starts now can complete.
func (g *Group[K, V]) resume() {
	l := g.leader
	l.paused = false
	l.unconfirmed, l.confirmingRound = true, l.lastRound+1
	g.tryBecomeReady()
	g.tryCompleteRound()
}

// tryBecomeReady starts leading once a majority has promised. The first round proposes the
// highest base that any of them holds again, as it may have been agreed.
func (g *Group[K, V]) tryBecomeReady() {
	l := g.leader
	if l.ready || l.paused || !l.hasMajority(l.prepared) {
		return
	}
	g.needsCopy = false // the replica now includes the state of a majority
	if !g.saveState() {
		g.needsCopy = true
		return
	}
	l.ready = true
	for id := range g.replica.Incarnations {
		l.receivedVersions[id], _ = g.replica.Version(id)
	}
}

// Report hands a proxy's delta to the leader; false if this machine does not lead or the
// delta is refused.
func (g *Group[K, V]) Report(delta Delta[K, V]) (Ack, bool) {
	if !g.Leading() {
		return Ack{}, false
	}
	l := g.leader
	if err := g.admit(delta); err != nil && !errors.Is(err, ErrGap) {
		g.Refused++
		return Ack{}, false
	}
	ack := Ack{Term: l.ballot, Heard: l.receivedVersions[delta.Life], Durable: l.durableVersions[delta.Life]}
	if final, folded := g.replica.Base.Folded[delta.Life]; folded {
		ack.Heard, ack.Durable = final, final
	}
	return ack, true
}

// admit adds a delta to the inbox if it follows what has been received before.
func (g *Group[K, V]) admit(delta Delta[K, V]) error {
	l := g.leader
	if _, folded := g.replica.Base.Folded[delta.Life]; folded {
		return g.replica.Check(delta)
	}
	received := Incarnation[K, V]{Version: l.receivedVersions[delta.Life]}
	if _, final := g.replica.Version(delta.Life); final > 0 {
		received.Final = final
	}
	if final, closed := l.receivedFinals[delta.Life]; closed {
		received.Final = final
	}
	if err := received.check(delta); err != nil {
		return err
	}
	l.inbox = append(l.inbox, delta)
	l.receivedVersions[delta.Life] = max(received.Version, delta.To)
	if delta.Closed {
		l.receivedFinals[delta.Life] = delta.To
	}
	return nil
}

// startRound starts a round with all versions that a majority is not known to hold.
func (g *Group[K, V]) startRound(now time.Duration) {
	l := g.leader
	g.mergeAll(l.inbox)
	if !g.save(l.inbox) {
		return // the inbox is kept; merging it again has no effect
	}
	l.inbox = nil
	clear(l.receivedFinals)
	l.lastRound++
	l.roundAt = now
	next := &round[K, V]{number: l.lastRound, versions: map[IncarnationID]uint64{}, acks: map[string]map[int]bool{}, sentAt: map[string]time.Duration{}, sends: map[string]int{}}
	var deltas []Delta[K, V]
	for _, id := range g.replica.sortedIDs() {
		incarnation := g.replica.Incarnations[id]
		if from, known := l.durableVersions[id]; !known || incarnation.Version > from {
			next.versions[id] = incarnation.Version
			deltas = append(deltas, incarnation.since(id, from))
		}
	}
	next.parts = splitDeltas(deltas, g.options.MaxCellsPerMessage)
	if next.base = g.nextBase(now); next.base != nil {
		if g.replica.Propose(*next.base) != nil || !g.saveState() {
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
			g.sendRound(now, to)
		}
	}
	g.tryCompleteRound()
}

// nextBase returns the base to propose with the next round, or nil.
func (g *Group[K, V]) nextBase(now time.Duration) *Base[K, V] {
	l := g.leader
	if !l.totalsReady {
		base := g.replica.Proposed
		base.Ballot = l.ballot
		return &base
	}
	if now-l.compactedAt < g.options.CompactionInterval {
		return nil
	}
	l.compactedAt = now
	if base, ok := g.replica.Candidate(l.ballot, g.options.IncarnationsPerCompaction); ok {
		return &base
	}
	return nil
}

// sendRound sends a replica the parts of the round that it has not acknowledged.
func (g *Group[K, V]) sendRound(now time.Duration, to string) {
	l := g.leader
	l.round.sentAt[to] = now
	l.round.sends[to]++
	for part, deltas := range l.round.parts {
		if !l.round.acks[to][part] {
			g.sendPart(to, part, deltas)
		}
	}
}

func (g *Group[K, V]) sendPart(to string, part int, deltas []Delta[K, V]) {
	l := g.leader
	message := Replicate[K, V]{Group: g.groupID, Ballot: l.ballot, Round: l.round.number, Part: part, Deltas: deltas, Agreed: g.replica.Base.ID()}
	if part == 0 {
		message.Base = l.round.base
	}
	g.send(to, message)
}

// backoff returns the time to wait before a message that was sent the given number of times
// is sent again. Shorter intervals would add load to machines that answer slowly because
// they are overloaded.
func backoff(first time.Duration, sends int) time.Duration {
	return first << min(max(sends-1, 0), maxBackoffDoublings)
}

func (g *Group[K, V]) resendRound(now time.Duration) {
	l := g.leader
	for _, to := range l.replicas {
		if now-l.round.sentAt[to] >= backoff(g.options.ResendTimeout, l.round.sends[to]) {
			g.sendRound(now, to)
		}
	}
}

// restoreEmptyReplicas sends full copies to replicas that have lost their state, once a round
// that started after the loss was detected has a majority without them.
func (g *Group[K, V]) restoreEmptyReplicas(finished uint64) {
	l := g.leader
	for _, to := range slices.Sorted(maps.Keys(l.emptyReplicas)) {
		empty := l.emptyReplicas[to]
		if finished <= empty.detectedIn {
			continue
		}
		delete(l.emptyReplicas, to)
		g.sendCopy(to, empty.start, finished)
	}
}

// sendCopy sends all incarnations, with the base in the first part.
func (g *Group[K, V]) sendCopy(to string, start, round uint64) {
	var deltas []Delta[K, V]
	for _, id := range g.replica.sortedIDs() {
		deltas = append(deltas, g.replica.DeltaSince(id, 0))
	}
	agreed := g.replica.Base
	parts := splitDeltas(deltas, g.options.MaxCellsPerMessage)
	for part, deltas := range parts {
		message := Replicate[K, V]{Group: g.groupID, Ballot: g.leader.ballot, Round: round, Part: part, Parts: len(parts), Deltas: deltas, Agreed: agreed.ID(), Whole: start}
		if part == 0 {
			message.Base = &agreed
		}
		g.send(to, message)
	}
}

// tryCompleteRound ends the round once a majority holds it.
func (g *Group[K, V]) tryCompleteRound() {
	l := g.leader
	if l.round == nil || l.paused || !l.hasMajority(l.round.completeReplicas()) {
		return
	}
	finished := l.round
	l.round = nil
	l.unconfirmed = l.unconfirmed && finished.number < l.confirmingRound
	maps.Copy(l.durableVersions, finished.versions)
	l.totalsAt = l.roundAt
	if finished.base != nil {
		g.replica.Install(finished.base.Ballot, finished.base.Number)
		for id := range g.replica.Base.Folded {
			delete(l.durableVersions, id)
			delete(l.receivedVersions, id)
		}
	}
	if !l.totalsReady || finished.base != nil {
		l.recomputeTotals(g.replica)
	} else {
		for _, deltas := range finished.parts {
			l.updateTotals(g.replica, deltas)
		}
	}
	g.restoreEmptyReplicas(finished.number)
}

// recomputeTotals rebuilds the totals and the index of incarnations by key.
func (l *leader[K, V]) recomputeTotals(replica *Replica[K, V]) {
	l.totals, l.totalsReady = replica.Totals(), true
	l.incarnationsByKey = map[K]map[IncarnationID]struct{}{}
	for id, incarnation := range replica.Incarnations {
		for key := range incarnation.Cells {
			l.indexIncarnation(key, id)
		}
	}
}

func (l *leader[K, V]) indexIncarnation(key K, id IncarnationID) {
	if l.incarnationsByKey[key] == nil {
		l.incarnationsByKey[key] = map[IncarnationID]struct{}{}
	}
	l.incarnationsByKey[key][id] = struct{}{}
}

// updateTotals recomputes the totals of the keys that the deltas change.
func (l *leader[K, V]) updateTotals(replica *Replica[K, V], deltas []Delta[K, V]) {
	for _, delta := range deltas {
		for key := range delta.Cells {
			l.indexIncarnation(key, delta.Life)
			total := replica.Base.Cells[key]
			for id := range l.incarnationsByKey[key] {
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
	copied, complete := l.assemblies[from].add(m)
	if !complete || g.replica.MergeReplica(copied) != nil || !g.saveState() {
		return
	}
	l.prepared[from] = true
	g.tryBecomeReady()
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
		g.tryCompleteRound()
		return
	}
	g.repair(from, m)
}

// repair sends a replica what it is missing, and then the part again.
func (g *Group[K, V]) repair(to string, m Replicated) {
	l := g.leader
	if m.Fresh > 0 {
		if l.emptyReplicas[to].start != m.Fresh {
			l.emptyReplicas[to] = emptyReplica{m.Fresh, m.Round}
		}
		return
	}
	if m.NeedBase {
		agreed := g.replica.Base
		g.send(to, Replicate[K, V]{Group: g.groupID, Ballot: l.ballot, Base: &agreed, Agreed: agreed.ID()})
	}
	deltas := slices.Clone(l.round.parts[m.Part])
	for i, delta := range deltas {
		if slices.Contains(m.Gaps, delta.Life) {
			deltas[i] = g.replica.DeltaSince(delta.Life, 0)
		}
	}
	g.sendPart(to, m.Part, deltas)
}

func (g *Group[K, V]) onReject(m Reject) {
	if g.leader == nil || !g.leader.ballot.Less(m.Promised) {
		return
	}
	g.leader = nil        // the next tick campaigns above that ballot, if the lease is still held
	g.promise(m.Promised) // persisted as well: a Prepare under this ballot then needs no further write
}
