// Package counter provides replicated, cumulative counters. Each process incarnation is the only
// writer of its own cells, whose states grow along a join-semilattice, so that a state may
// be merged late, twice or out of order (a state-based CRDT). A total is the sum over all
// incarnations. Lives that are over are compacted into a base, which a majority of replicas agrees
// on under a ballot.
package counter

// Value is the state of one cell. Join is commutative, associative and idempotent, and
// merges two states that the same incarnation has had. Plus is commutative and associative, has
// the zero value as its neutral element, and adds states of different incarnations. Both give a
// state that shares no memory with their operands.
type Value[V any] interface {
	Join(V) V
	Plus(V) V
}

// Count is the simplest value: a number that only grows.
type Count uint64

// Join is the larger count.
func (c Count) Join(other Count) Count { return max(c, other) }

// Plus is the sum.
func (c Count) Plus(other Count) Count { return c + other }

// Cells are states by key. A key that is absent has the zero state.
type Cells[K comparable, V Value[V]] map[K]V

// Join merges states that the same incarnations have had.
func (c Cells[K, V]) Join(other Cells[K, V]) {
	for key, value := range other {
		c[key] = c[key].Join(value)
	}
}

// Plus adds states of other incarnations.
func (c Cells[K, V]) Plus(other Cells[K, V]) {
	for key, value := range other {
		c[key] = c[key].Plus(value)
	}
}

// Clone is a copy that shares no memory.
func (c Cells[K, V]) Clone() Cells[K, V] {
	out := make(Cells[K, V], len(c))
	out.Plus(c)
	return out
}
