package counter

// Prepare asks a replica to reject lower ballots from now on and to send a snapshot of its
// state.
type Prepare struct {
	Group  int
	Ballot Ballot
}

// SnapshotID identifies a snapshot by the start of the process that sent it and a sequence
// number.
type SnapshotID struct {
	Start  uint64
	Number uint64
}

// Promise answers Prepare with one part of the replica's snapshot. The cells of the base may
// be spread over several parts.
type Promise[K comparable, V Value[V]] struct {
	Group    int
	Ballot   Ballot
	Snapshot SnapshotID // the same in all parts of one snapshot
	Part     int
	Parts    int
	Base     Base[K, V]
	Proposed *Base[K, V] // nil if it equals the agreed base
	Deltas   []Delta[K, V]
}

// Reject answers a message whose ballot is lower than the promised one.
type Reject struct {
	Group    int
	Promised Ballot
}

// BaseID identifies a base.
type BaseID struct {
	Ballot Ballot
	Number uint64
}

// Replicate carries a part of a round's deltas to a replica, the base that is being
// proposed, if any, and the ID of the agreed base.
type Replicate[K comparable, V Value[V]] struct {
	Group  int
	Ballot Ballot
	Round  uint64
	Part   int // index of this message among those of the round or copy
	Parts  int // number of parts of a full copy; 0 in a round
	Deltas []Delta[K, V]
	Base   *Base[K, V]
	Agreed BaseID
	Whole  uint64 // nonzero: part of a full copy for the replica that lost its state, at that start
}

// Replicated answers Replicate once the replica's store holds the contents, or reports what
// the replica has to receive first.
type Replicated struct {
	Group    int
	Ballot   Ballot
	Round    uint64
	Part     int
	Gaps     []IncarnationID // incarnations whose earlier versions are missing
	NeedBase bool            // the agreed base is missing
	Fresh    uint64          // nonzero: the replica has lost its state; the number of its start
}

// Send is a message to another replica of the group.
type Send struct {
	To      string
	Message any
}

// Less reports whether id is lower than other in ballot, then number.
func (id BaseID) Less(other BaseID) bool {
	return id.Ballot.Less(other.Ballot) || id.Ballot == other.Ballot && id.Number < other.Number
}

// ID returns the ID of the base.
func (b Base[K, V]) ID() BaseID { return BaseID{b.Ballot, b.Number} }

// splitSnapshot splits a replica's state into messages and starts a new one once the current
// one has maxCells cells. An incarnation is never split.
func splitSnapshot[K comparable, V Value[V]](group int, ballot Ballot, snapshot SnapshotID, r *Replica[K, V], maxCells int) []Promise[K, V] {
	header := Promise[K, V]{Group: group, Ballot: ballot, Snapshot: snapshot}
	header.Base = Base[K, V]{Ballot: r.Base.Ballot, Number: r.Base.Number}
	current, cells := header, 0
	var out []Promise[K, V]
	flush := func() {
		out = append(out, current)
		current, cells = header, 0
	}
	current.Base.Folded = r.Base.Folded
	if r.Base.Less(r.Proposed) {
		current.Proposed = &r.Proposed
	}
	for key, value := range r.Base.Cells {
		if cells == maxCells {
			flush()
		}
		if current.Base.Cells == nil {
			current.Base.Cells = Cells[K, V]{}
		}
		current.Base.Cells[key] = value
		cells++
	}
	for _, id := range r.sortedIDs() {
		incarnation := r.Incarnations[id]
		if cells >= maxCells {
			flush()
		}
		current.Deltas = append(current.Deltas, incarnation.since(id, 0))
		cells += len(incarnation.Cells)
	}
	flush()
	for i := range out {
		out[i].Part, out[i].Parts = i, len(out)
	}
	return out
}

// snapshotAssembly collects the parts of one replica's snapshot.
type snapshotAssembly[K comparable, V Value[V]] struct {
	snapshot SnapshotID
	parts    map[int]Promise[K, V]
}

// add stores a part and returns the assembled replica once all parts have arrived.
func (a *snapshotAssembly[K, V]) add(part Promise[K, V]) (*Replica[K, V], bool) {
	if part.Snapshot != a.snapshot {
		a.snapshot, a.parts = part.Snapshot, map[int]Promise[K, V]{}
	}
	a.parts[part.Part] = part
	if len(a.parts) < part.Parts {
		return nil, false
	}
	copied := NewReplica[K, V]()
	copied.Base = Base[K, V]{Ballot: part.Base.Ballot, Number: part.Base.Number, Folded: map[IncarnationID]uint64{}, Cells: Cells[K, V]{}}
	for _, p := range a.parts {
		for id, final := range p.Base.Folded {
			copied.Base.Folded[id] = final
		}
		for key, value := range p.Base.Cells {
			copied.Base.Cells[key] = value
		}
	}
	copied.Proposed = copied.Base
	for _, p := range a.parts {
		if p.Proposed != nil {
			copied.Proposed = *p.Proposed
		}
		for _, delta := range p.Deltas {
			if copied.Merge(delta) != nil {
				return nil, false
			}
		}
	}
	return copied, true
}
