// Package counter implements replicated, monotonic counters as state-based CRDTs.
//
// Every process incarnation is the only writer of its own cells. The state of a cell grows
// along a join-semilattice, so that it may be merged late, more than once or out of order. A
// total is the sum over all incarnations. Incarnations that have ended are compacted into a
// base, which a majority of the replicas agrees on under a ballot.
package counter

// Value is the state of one cell. Join is commutative, associative and idempotent, and
// merges two states of the same incarnation. Plus is commutative and associative, has the
// zero value as its identity, and adds states of different incarnations. Neither result
// shares memory with the operands.
type Value[V any] interface {
	Join(V) V
	Plus(V) V
}

// Count is the simplest Value: a number that only grows.
type Count uint64

// Join returns the larger count.
func (c Count) Join(other Count) Count { return max(c, other) }

// Plus returns the sum.
func (c Count) Plus(other Count) Count { return c + other }

// Cells maps keys to states. An absent key has the zero state.
type Cells[K comparable, V Value[V]] map[K]V

// Join merges other, which holds states of the same incarnations, into c.
func (c Cells[K, V]) Join(other Cells[K, V]) {
	for key, value := range other {
		c[key] = c[key].Join(value)
	}
}

// Plus adds other, which holds states of different incarnations, to c.
func (c Cells[K, V]) Plus(other Cells[K, V]) {
	for key, value := range other {
		c[key] = c[key].Plus(value)
	}
}

// Clone returns a deep copy.
func (c Cells[K, V]) Clone() Cells[K, V] {
	out := make(Cells[K, V], len(c))
	out.Plus(c)
	return out
}
