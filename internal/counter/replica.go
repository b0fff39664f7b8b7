package counter

import (
	"errors"
	"maps"
	"slices"
)

// Ballot orders the leaders of a replica group; the zero ballot is the lowest. Start
// distinguishes the ballots of a machine that has lost its disk from its earlier ones.
type Ballot struct {
	Counter uint64
	Machine string
	Start   uint64
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Counter != other.Counter {
		return b.Counter < other.Counter
	}
	if b.Machine != other.Machine {
		return b.Machine < other.Machine
	}
	return b.Start < other.Start
}

// Base is the sum of ended incarnations. A leader proposes bases under its ballot, with
// increasing numbers. Of two bases, the one with the higher ballot, then number, contains
// the other if either has been agreed.
type Base[K comparable, V Value[V]] struct {
	Ballot Ballot
	Number uint64
	Folded map[IncarnationID]uint64 // final version of each incarnation that the base includes
	Cells  Cells[K, V]
}

// Less reports whether b is lower than other in ballot, then number.
func (b Base[K, V]) Less(other Base[K, V]) bool {
	return b.Ballot.Less(other.Ballot) || b.Ballot == other.Ballot && b.Number < other.Number
}

// Replica is one copy of the counters: the agreed base, a base that may have been agreed,
// and all incarnations that are not part of the agreed base.
type Replica[K comparable, V Value[V]] struct {
	Base         Base[K, V]
	Proposed     Base[K, V] // never lower than Base
	Incarnations map[IncarnationID]*Incarnation[K, V]
}

// NewReplica returns an empty replica.
func NewReplica[K comparable, V Value[V]]() *Replica[K, V] {
	return &Replica[K, V]{Incarnations: map[IncarnationID]*Incarnation[K, V]{}}
}

// Version returns the version held of an incarnation, and its final version if it has ended.
func (r *Replica[K, V]) Version(id IncarnationID) (version, final uint64) {
	if final, folded := r.Base.Folded[id]; folded {
		return final, final
	}
	if incarnation := r.Incarnations[id]; incarnation != nil {
		return incarnation.Version, incarnation.Final
	}
	return 0, 0
}

// Check returns an error if the delta cannot be merged.
func (r *Replica[K, V]) Check(delta Delta[K, V]) error {
	if final, folded := r.Base.Folded[delta.Life]; folded {
		if delta.To > final {
			return ErrAfterClose
		}
		return nil
	}
	incarnation := r.Incarnations[delta.Life]
	if incarnation == nil {
		incarnation = &Incarnation[K, V]{}
	}
	return incarnation.check(delta)
}

// Merge merges a delta. A valid delta of an incarnation that is part of the base has no
// effect.
func (r *Replica[K, V]) Merge(delta Delta[K, V]) error {
	if err := r.Check(delta); err != nil {
		return err
	}
	if _, folded := r.Base.Folded[delta.Life]; folded {
		return nil
	}
	incarnation := r.Incarnations[delta.Life]
	if incarnation == nil {
		incarnation = &Incarnation[K, V]{Cells: map[K]Versioned[V]{}}
		r.Incarnations[delta.Life] = incarnation
	}
	incarnation.merge(delta)
	return nil
}

// DeltaSince returns the delta of an incarnation from the given version on.
func (r *Replica[K, V]) DeltaSince(id IncarnationID, from uint64) Delta[K, V] {
	return r.Incarnations[id].since(id, from)
}

// sortedIDs returns the sorted incarnation IDs. Messages must not depend on map iteration
// order, so that simulated runs are reproducible.
func (r *Replica[K, V]) sortedIDs() []IncarnationID { return slices.Sorted(maps.Keys(r.Incarnations)) }

// Total returns the sum of a key over all incarnations.
func (r *Replica[K, V]) Total(key K) V {
	total := r.Base.Cells[key]
	for _, incarnation := range r.Incarnations {
		if held, ok := incarnation.Cells[key]; ok {
			total = total.Plus(held.Value)
		}
	}
	return total
}

// Totals returns the sums of all keys.
func (r *Replica[K, V]) Totals() Cells[K, V] {
	out := r.Base.Cells.Clone()
	for _, incarnation := range r.Incarnations {
		for key, held := range incarnation.Cells {
			out[key] = out[key].Plus(held.Value)
		}
	}
	return out
}

// Candidate returns the next base, which adds up to atMost complete incarnations to the
// agreed one; false if there are none. The replica itself is unchanged until the base is
// agreed and installed.
func (r *Replica[K, V]) Candidate(ballot Ballot, atMost int) (Base[K, V], bool) {
	next := Base[K, V]{Ballot: ballot, Number: max(r.Base.Number, r.Proposed.Number) + 1, Folded: maps.Clone(r.Base.Folded), Cells: r.Base.Cells.Clone()}
	if next.Folded == nil {
		next.Folded = map[IncarnationID]uint64{}
	}
	added := 0
	for _, id := range r.sortedIDs() {
		incarnation := r.Incarnations[id]
		if !incarnation.Complete() || added == atMost {
			continue
		}
		added++
		next.Folded[id] = incarnation.Final
		for key, held := range incarnation.Cells {
			next.Cells[key] = next.Cells[key].Plus(held.Value)
		}
	}
	return next, added > 0
}

// ErrStaleBase is returned for a base that is lower than the one held.
var ErrStaleBase = errors.New("base is older than the one held")

// Propose records a base that may become agreed.
func (r *Replica[K, V]) Propose(base Base[K, V]) error {
	if base.Less(r.Proposed) || base.Less(r.Base) {
		return ErrStaleBase
	}
	r.Proposed = base
	return nil
}

// Install makes the proposed base the agreed one if it has the given ballot and number, and
// drops the incarnations that it includes.
func (r *Replica[K, V]) Install(ballot Ballot, number uint64) {
	if r.Proposed.Ballot != ballot || r.Proposed.Number != number || !r.Base.Less(r.Proposed) {
		return
	}
	r.Adopt(r.Proposed)
}

// Adopt replaces the base by a higher one that is known to be agreed.
func (r *Replica[K, V]) Adopt(base Base[K, V]) {
	if !r.Base.Less(base) {
		return
	}
	r.Base = base
	if r.Proposed.Less(base) {
		r.Proposed = base
	}
	for id := range base.Folded {
		delete(r.Incarnations, id)
	}
}

// MergeReplica merges another replica's state: every incarnation that is not part of the
// agreed base, and the highest base as the proposed one.
func (r *Replica[K, V]) MergeReplica(other *Replica[K, V]) error {
	for _, base := range []Base[K, V]{other.Base, other.Proposed} {
		if r.Proposed.Less(base) {
			r.Proposed = base
		}
	}
	for id, incarnation := range other.Incarnations {
		if err := r.mergeIncarnation(id, incarnation); err != nil {
			return err
		}
	}
	return nil
}

// mergeIncarnation merges another replica's copy of an incarnation. A copy that lags behind
// the final version held here has nothing new, so ErrAfterClose is ignored.
func (r *Replica[K, V]) mergeIncarnation(id IncarnationID, incarnation *Incarnation[K, V]) error {
	if err := r.Merge(incarnation.since(id, 0)); err != nil && !errors.Is(err, ErrAfterClose) {
		return err
	}
	return nil
}
