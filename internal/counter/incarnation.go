package counter

import (
	"errors"
	"fmt"
)

// IncarnationID identifies one process incarnation. It is drawn at random and is never zero.
type IncarnationID uint64

// Delta holds the cells of an incarnation that changed between two of its versions. The
// cells carry whole states, so merging a delta again has no effect.
type Delta[K comparable, V Value[V]] struct {
	Life   IncarnationID
	Node   string // machine of the incarnation; informational, shown to operators
	From   uint64 // the receiver must already hold this version or a later one
	To     uint64
	Closed bool // To is the final version
	Cells  Cells[K, V]
}

// Errors for deltas that cannot be merged. A rejected delta changes nothing.
var (
	ErrGap        = errors.New("delta starts after the version held")
	ErrAfterClose = errors.New("delta goes beyond the final version of its life")
	ErrMalformed  = errors.New("malformed delta")
)

// Incarnation is a replica's copy of the cells of one incarnation.
type Incarnation[K comparable, V Value[V]] struct {
	Node    string
	Version uint64
	Final   uint64 // the final version; 0 while the incarnation is open
	Cells   map[K]Versioned[V]
}

// Versioned is the state of a cell and the version that last changed it.
type Versioned[V any] struct {
	Value   V
	Version uint64
}

// Complete reports whether the incarnation has ended and all of its versions are held.
func (inc *Incarnation[K, V]) Complete() bool { return inc.Final > 0 && inc.Version == inc.Final }

// check returns an error if the delta cannot be merged. It changes nothing.
func (inc *Incarnation[K, V]) check(delta Delta[K, V]) error {
	switch {
	case delta.Life == 0 || delta.To < delta.From:
		return ErrMalformed
	case delta.From > inc.Version:
		return fmt.Errorf("%w: %d after %d", ErrGap, delta.From, inc.Version)
	case inc.Final > 0 && (delta.To > inc.Final || delta.Closed && delta.To != inc.Final):
		return ErrAfterClose
	case delta.Closed && inc.Version > delta.To:
		return ErrAfterClose
	}
	return nil
}

func (inc *Incarnation[K, V]) merge(delta Delta[K, V]) {
	inc.Node = delta.Node
	for key, value := range delta.Cells {
		held := inc.Cells[key]
		inc.Cells[key] = Versioned[V]{held.Value.Join(value), max(held.Version, delta.To)}
	}
	inc.Version = max(inc.Version, delta.To)
	if delta.Closed {
		inc.Final = delta.To
	}
}

// since returns the delta from the given version to the version held.
func (inc *Incarnation[K, V]) since(id IncarnationID, from uint64) Delta[K, V] {
	delta := Delta[K, V]{Life: id, Node: inc.Node, From: from, To: inc.Version, Closed: inc.Complete(), Cells: Cells[K, V]{}}
	var zero V
	for key, held := range inc.Cells {
		if held.Version > from {
			delta.Cells[key] = zero.Join(held.Value)
		}
	}
	return delta
}
