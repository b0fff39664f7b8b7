package counter

import (
	"errors"
	"slices"
	"strconv"
	"time"
)

// Store persists values on the local disk. Put returns once the value is durable.
type Store interface {
	Get(key string, value any) bool
	Put(key string, value any) error
}

// Options configures the timing and the size limits of a group.
type Options struct {
	RoundInterval             time.Duration // between replication rounds
	ResendTimeout             time.Duration // until the first resend of an unanswered message
	CompactionInterval        time.Duration // between proposals of a new base
	IncarnationsPerCompaction int           // limit on the incarnations folded into one base
	MaxCellsPerMessage        int           // limit on the cells in one message
	MaxIncrementalSaves       int           // increments stored before the full state is written again
}

// Group is one machine's part in a replicated group of counters: a persistent replica and,
// while the machine leads, the rounds that replicate deltas to a majority. It has no clock,
// network or lease of its own and is not safe for concurrent use.
type Group[K comparable, V Value[V]] struct {
	groupID          int
	machine          string
	options          Options
	store            Store
	replica          *Replica[K, V]
	promised         Ballot
	incrementalSaves int
	snapshotsSent    uint64
	start            uint64 // identifies this start of the process
	needsCopy        bool   // the disk holds no state: the replica promises nothing until it has received a copy
	copyProgress     copyProgress
	diskErr          error // last write error; nothing is promised or answered until a write succeeds
	leader           *leader[K, V]
	outbox           []Send

	Refused uint64 // deltas that were malformed or exceeded a final version
}

// copyProgress tracks the received parts of a full copy.
type copyProgress struct {
	ballot Ballot
	round  uint64
	parts  map[int]bool
}

// add records a part and reports whether all parts have arrived.
func (c *copyProgress) add(ballot Ballot, round uint64, part, parts int) bool {
	if c.parts == nil || c.ballot != ballot || c.round != round {
		*c = copyProgress{ballot, round, map[int]bool{}}
	}
	c.parts[part] = true
	return len(c.parts) == parts
}

// savedState is the full state of a replica on disk.
type savedState[K comparable, V Value[V]] struct {
	Promised Ballot
	Base     Base[K, V]
	Proposed Base[K, V]
	Deltas   []Delta[K, V]
}

// savedIncrement holds the changes of one save since the full state was written.
type savedIncrement[K comparable, V Value[V]] struct {
	Promised Ballot
	Deltas   []Delta[K, V]
}

// NewGroup loads the state of a group from the store. founding means that the deployment
// starts for the first time; otherwise an empty store has lost its state. start is nonzero
// and differs between all starts of the process.
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

// load merges the full state and the increments that follow it. Increments from before the
// full state may still be on disk; merging them has no effect.
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
	g.incrementalSaves = g.options.MaxIncrementalSaves // the increments are needed until the full state has been written
}

func (g *Group[K, V]) mergeAll(deltas []Delta[K, V]) {
	for _, delta := range deltas {
		if err := g.replica.Merge(delta); err != nil && !errors.Is(err, ErrAfterClose) {
			g.Refused++
		}
	}
}

// save persists deltas and reports whether they are durable.
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

// saveState writes the full state. A replica that still needs a copy has nothing to write.
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

// Leading reports whether this machine leads and a majority has answered its Prepare.
func (g *Group[K, V]) Leading() bool {
	return g.leader != nil && g.leader.ready && !g.leader.paused
}

// Totals returns the sums of what a majority holds and the age of that information; false
// unless this machine leads and the sums are confirmed. The cells must not be modified.
func (g *Group[K, V]) Totals(now time.Duration) (Cells[K, V], time.Duration, bool) {
	if !g.Leading() || !g.leader.totalsReady || g.leader.unconfirmed {
		return nil, 0, false
	}
	return g.leader.totals, now - g.leader.totalsAt, true
}

// IncarnationCounts returns the numbers of incarnations outside and inside the agreed base.
func (g *Group[K, V]) IncarnationCounts() (open, folded int) {
	return len(g.replica.Incarnations), len(g.replica.Base.Folded)
}

// OpenIncarnations returns the nodes of the incarnations that have not ended, by ID.
func (g *Group[K, V]) OpenIncarnations() map[IncarnationID]string {
	out := map[IncarnationID]string{}
	for id, incarnation := range g.replica.Incarnations {
		if incarnation.Final == 0 {
			out[id] = incarnation.Node
		}
	}
	return out
}

// Tick advances the group. leads reports whether this machine holds the lease; replicas are
// all machines that keep a copy. A leader whose lease lapses pauses, and continues under its
// ballot if it regains the lease before another machine has led.
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

// promise persists that lower ballots are rejected from now on and reports whether that is
// durable. A leader under a different ballot steps down.
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

// Receive processes a message from another replica of the group.
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

// accept merges a part of a round and answers once it is durable.
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
		return // more parts of the copy are outstanding
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

// applyBase records the base of a round and reports false if it is stale.
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
