package counter

// Prepare asks a replica to accept no lower ballot from now on, and to send its copy.
type Prepare struct {
	Group  int
	Ballot Ballot
}

// SnapshotID names a copy by the start of the process that sent it, and a number.
type SnapshotID struct {
	Start  uint64
	Number uint64
}

// Promise answers Prepare with a part of the replica's copy. A base that stands in several
// parts has its cells split over them.
type Promise[K comparable, V Value[V]] struct {
	Group    int
	Ballot   Ballot
	Snapshot SnapshotID // the same in all parts of one copy
	Part     int
	Parts    int
	Base     Base[K, V]
	Proposed *Base[K, V] // nil where it is the agreed base
	Deltas   []Delta[K, V]
}

// Reject answers a message of a ballot below one that has been promised.
type Reject struct {
	Group    int
	Promised Ballot
}

// BaseID names a base.
type BaseID struct {
	Ballot Ballot
	Number uint64
}

// Replicate brings a round's deltas to a replica, a base that is proposed, and the name
// of the one that is agreed.
type Replicate[K comparable, V Value[V]] struct {
	Group  int
	Ballot Ballot
	Round  uint64
	Part   int // a round's deltas may go in several messages
	Parts  int // of a copy: how many there are
	Deltas []Delta[K, V]
	Base   *Base[K, V]
	Agreed BaseID
	Whole  uint64 // not 0: part of a copy for the replica whose disk was empty at that start
}

// Replicated answers Replicate once the replica's store holds what it brought, or with
// what the replica lacks first.
type Replicated struct {
	Group    int
	Ballot   Ballot
	Round    uint64
	Part     int
	Gaps     []IncarnationID // incarnations of which earlier versions are missing
	NeedBase bool            // the agreed base is missing
	Fresh    uint64          // not 0: the replica's disk has lost its copy; the number of its start
}

// Send is a message to another machine that keeps a copy.
type Send struct {
	To      string
	Message any
}

// Less orders bases by their names.
func (id BaseID) Less(other BaseID) bool {
	return id.Ballot.Less(other.Ballot) || id.Ballot == other.Ballot && id.Number < other.Number
}

// ID names the base.
func (b Base[K, V]) ID() BaseID { return BaseID{b.Ballot, b.Number} }

// splitSnapshot splits a replica's copy into messages of a bounded number of cells each.
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

// snapshotAssembly gathers the parts of one replica's copy.
type snapshotAssembly[K comparable, V Value[V]] struct {
	snapshot SnapshotID
	parts    map[int]Promise[K, V]
}

// add takes a part; it gives the copy once all parts are there.
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
