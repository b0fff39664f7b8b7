package counter

import (
	"errors"
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
	RoundInterval             time.Duration // between two rounds of replication
	ResendTimeout             time.Duration // an answer that has not come by then is asked for again
	CompactionInterval        time.Duration // between two proposals of a base
	IncarnationsPerCompaction int           // incarnations folded at once
	MaxCellsPerMessage        int           // cells in one message
	MaxIncrementalSaves       int           // rounds kept on disk by themselves before the whole is written
}

// Group is one machine's part in keeping a group of counters: a replica on its disk and,
// while the machine is the leader, the rounds that bring deltas to a majority of replicas.
// It has no clock, network or lease of its own and is not safe for concurrent use.
type Group[K comparable, V Value[V]] struct {
	groupID          int
	machine          string
	options          Options
	store            Store
	replica          *Replica[K, V]
	promised         Ballot
	incrementalSaves int
	snapshotsSent    uint64 // sent so far
	start            uint64 // number of this process's start
	needsCopy        bool   // the disk has no copy: this replica promises nothing until it was given one
	copyProgress     copyProgress
	diskErr          error // the disk's; nothing is promised or answered until it is mended
	leader           *leader[K, V]
	outbox           []Send

	Refused uint64 // deltas that were garbled or went beyond a final version
}

// copyProgress notes which parts of a copy have come.
type copyProgress struct {
	ballot Ballot
	round  uint64
	parts  map[int]bool
}

// add notes a part; true once all are there.
func (c *copyProgress) add(ballot Ballot, round uint64, part, parts int) bool {
	if c.parts == nil || c.ballot != ballot || c.round != round {
		*c = copyProgress{ballot, round, map[int]bool{}}
	}
	c.parts[part] = true
	return len(c.parts) == parts
}

// savedState is the whole of a replica on disk.
type savedState[K comparable, V Value[V]] struct {
	Promised Ballot
	Base     Base[K, V]
	Proposed Base[K, V]
	Deltas   []Delta[K, V]
}

// savedIncrement is what has come since the whole was written.
type savedIncrement[K comparable, V Value[V]] struct {
	Promised Ballot
	Deltas   []Delta[K, V]
}

// NewGroup takes up what the machine's disk holds of a group. Founding says that the
// deployment starts for the first time; else an empty disk has lost what it held. Start
// is a number that no other start of the process has, and not zero.
func NewGroup[K comparable, V Value[V]](group int, machine string, options Options, store Store, founding bool, start uint64) *Group[K, V] {
	g := &Group[K, V]{groupID: group, machine: machine, options: options, store: store, replica: NewReplica[K, V](), start: start, needsCopy: true}
	g.load()
	if g.needsCopy && founding {
		g.needsCopy = false
		g.saveState()
	}
	return g
}

func (g *Group[K, V]) stateKey() string { return "counters-" + strconv.Itoa(g.groupID) }

func (g *Group[K, V]) incrementKey(i int) string { return g.stateKey() + "-" + strconv.Itoa(i) }

// load merges the whole and the rounds after it. Rounds before it may still stand there;
// merging them changes nothing.
func (g *Group[K, V]) load() {
	var state savedState[K, V]
	if g.store.Get(g.stateKey(), &state) {
		g.needsCopy, g.promised = false, state.Promised
		g.replica.Base, g.replica.Proposed = state.Base, state.Proposed
		g.mergeAll(state.Deltas)
	}
	for i := 0; i < g.options.MaxIncrementalSaves && !g.needsCopy; i++ {
		var increment savedIncrement[K, V]
		if g.store.Get(g.incrementKey(i), &increment) {
			if g.promised.Less(increment.Promised) {
				g.promised = increment.Promised
			}
			g.mergeAll(increment.Deltas)
		}
	}
	g.incrementalSaves = g.options.MaxIncrementalSaves // the rounds are needed until the whole has been written
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
	if g.needsCopy || g.diskErr != nil || g.incrementalSaves == g.options.MaxIncrementalSaves {
		return g.saveState()
	}
	g.diskErr = g.store.Put(g.incrementKey(g.incrementalSaves), savedIncrement[K, V]{g.promised, deltas})
	if g.diskErr == nil {
		g.incrementalSaves++
	}
	return g.diskErr == nil
}

// saveState writes the whole copy; a replica without one has nothing to write.
func (g *Group[K, V]) saveState() bool {
	if g.needsCopy {
		return true
	}
	state := savedState[K, V]{Promised: g.promised, Base: g.replica.Base, Proposed: g.replica.Proposed}
	for id, incarnation := range g.replica.Incarnations {
		state.Deltas = append(state.Deltas, incarnation.since(id, 0))
	}
	if g.diskErr = g.store.Put(g.stateKey(), state); g.diskErr != nil {
		return false
	}
	g.incrementalSaves = 0
	return true
}

func (g *Group[K, V]) send(to string, message any) {
	g.outbox = append(g.outbox, Send{to, message})
}

func (g *Group[K, V]) takeOutbox() []Send {
	out := g.outbox
	g.outbox = nil
	return out
}

// Leading reports whether this machine leads and a majority has answered it.
func (g *Group[K, V]) Leading() bool {
	return g.leader != nil && g.leader.ready && !g.leader.paused
}

// Totals are the sums of what a majority holds, and how old that knowledge is; false
// unless this machine leads. The cells must not be changed.
func (g *Group[K, V]) Totals(now time.Duration) (Cells[K, V], time.Duration, bool) {
	if !g.Leading() || !g.leader.totalsReady || g.leader.unconfirmed {
		return nil, 0, false
	}
	return g.leader.totals, now - g.leader.totalsAt, true
}

// IncarnationCounts is the number of incarnations that are not in the base, and of those in it.
func (g *Group[K, V]) IncarnationCounts() (open, folded int) {
	return len(g.replica.Incarnations), len(g.replica.Base.Folded)
}

// OpenIncarnations are the incarnations that have not ended, by id, with their nodes.
func (g *Group[K, V]) OpenIncarnations() map[IncarnationID]string {
	out := map[IncarnationID]string{}
	for id, incarnation := range g.replica.Incarnations {
		if incarnation.Final == 0 {
			out[id] = incarnation.Node
		}
	}
	return out
}

// Tick advances the group. Leads says that this machine holds the lease, and replicas are
// all machines that keep a copy. A leader whose lease lapses pauses, and goes on under its
// ballot if it holds the lease again before another machine has led.
func (g *Group[K, V]) Tick(now time.Duration, leads bool, replicas []string) []Send {
	if g.leader != nil && leads && g.leader.paused {
		g.resume()
	}
	switch {
	case !leads:
		if g.leader != nil {
			g.leader.pause()
		}
	case g.leader == nil || !slices.Equal(g.leader.replicas, replicas):
		g.campaign(now, replicas)
	case !g.leader.ready:
		if now-g.leader.prepareSentAt >= backoff(g.options.ResendTimeout, g.leader.prepareAttempts) {
			g.prepare(now)
		}
	case g.leader.round != nil:
		g.resendRound(now)
	case now-g.leader.roundAt >= g.options.RoundInterval || !g.leader.totalsReady || g.leader.unconfirmed:
		g.startRound(now)
	}
	return g.takeOutbox()
}

// promise notes on disk that no lower ballot is accepted any more; a leader under one
// leads no longer.
func (g *Group[K, V]) promise(ballot Ballot) bool {
	if ballot.Less(g.promised) {
		return false
	}
	if ballot == g.promised && g.diskErr == nil {
		return true
	}
	if g.leader != nil && g.leader.ballot != ballot {
		g.leader = nil
	}
	g.promised = ballot
	return g.save(nil)
}

// Receive takes a message from another machine of the group.
func (g *Group[K, V]) Receive(from string, message any) []Send {
	switch m := message.(type) {
	case Prepare:
		g.onPrepare(from, m)
	case Promise[K, V]:
		g.onPromise(from, m)
	case Replicate[K, V]:
		g.onReplicate(from, m)
	case Replicated:
		g.onReplicated(from, m)
	case Reject:
		g.onReject(m)
	}
	return g.takeOutbox()
}

func (g *Group[K, V]) onPrepare(from string, m Prepare) {
	if m.Ballot.Less(g.promised) {
		g.send(from, Reject{g.groupID, g.promised})
		return
	}
	if g.needsCopy || !g.promise(m.Ballot) {
		return
	}
	g.snapshotsSent++
	for _, part := range splitSnapshot(g.groupID, m.Ballot, SnapshotID{g.start, g.snapshotsSent}, g.replica, g.options.MaxCellsPerMessage) {
		g.send(from, part)
	}
}

func (g *Group[K, V]) onReplicate(from string, m Replicate[K, V]) {
	if m.Ballot.Less(g.promised) {
		g.send(from, Reject{g.groupID, g.promised})
		return
	}
	if g.promised.Less(m.Ballot) && !g.promise(m.Ballot) {
		return
	}
	g.accept(from, m)
}

// accept takes a round in and answers once the disk holds it.
func (g *Group[K, V]) accept(from string, m Replicate[K, V]) {
	answer := Replicated{Group: g.groupID, Ballot: m.Ballot, Round: m.Round, Part: m.Part}
	if g.needsCopy && m.Whole != g.start {
		answer.Fresh = g.start
		g.send(from, answer)
		return
	}
	previousBase := g.replica.Base.ID()
	if !g.applyBase(m) {
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
	if g.needsCopy && !g.copyProgress.add(m.Ballot, m.Round, m.Part, m.Parts) {
		return // more of the copy is to come
	}
	g.needsCopy = false
	saved := false
	if m.Whole > 0 || m.Base != nil || previousBase != g.replica.Base.ID() {
		saved = g.saveState()
	} else {
		saved = g.save(merged)
	}
	if saved {
		g.send(from, answer)
	}
}

// applyBase notes the base of a round; false if it is an old one.
func (g *Group[K, V]) applyBase(m Replicate[K, V]) bool {
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
