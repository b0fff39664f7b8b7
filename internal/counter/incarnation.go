package counter

import (
	"errors"
	"fmt"
)

// IncarnationID names one process incarnation. It is drawn at random and is never zero.
type IncarnationID uint64

// Delta is what changed in the cells of a incarnation between two of its versions. Its cells are
// whole states, so that merging it again changes nothing.
type Delta[K comparable, V Value[V]] struct {
	Life   IncarnationID
	Node   string // the machine that the incarnation belongs to, for operators
	From   uint64 // the receiver must hold this version, or a later one
	To     uint64
	Closed bool // version To is the last one
	Cells  Cells[K, V]
}

// Errors of a delta that cannot be merged. Nothing is changed by it.
var (
	ErrGap        = errors.New("delta begins after the version held")
	ErrAfterClose = errors.New("delta goes beyond the final version of its incarnation")
	ErrMalformed  = errors.New("delta is garbled")
)

// Incarnation is a replica's copy of the cells of a incarnation.
type Incarnation[K comparable, V Value[V]] struct {
	Node    string
	Version uint64
	Final   uint64 // the last version; 0 while the incarnation goes on
	Cells   map[K]Versioned[V]
}

// Versioned is the state of a cell and the version that brought it.
type Versioned[V any] struct {
	Value   V
	Version uint64
}

// Complete reports whether the incarnation is over and all of it is held.
func (l *Incarnation[K, V]) Complete() bool { return l.Final > 0 && l.Version == l.Final }

// check reports why a delta does not fit, without changing anything.
func (l *Incarnation[K, V]) check(delta Delta[K, V]) error {
	switch {
	case delta.Life == 0 || delta.To < delta.From:
		return ErrMalformed
	case delta.From > l.Version:
		return fmt.Errorf("%w: %d after %d", ErrGap, delta.From, l.Version)
	case l.Final > 0 && (delta.To > l.Final || delta.Closed && delta.To != l.Final):
		return ErrAfterClose
	case delta.Closed && l.Version > delta.To:
		return ErrAfterClose
	}
	return nil
}

func (l *Incarnation[K, V]) merge(delta Delta[K, V]) {
	l.Node = delta.Node
	for key, value := range delta.Cells {
		held := l.Cells[key]
		l.Cells[key] = Versioned[V]{held.Value.Join(value), max(held.Version, delta.To)}
	}
	l.Version = max(l.Version, delta.To)
	if delta.Closed {
		l.Final = delta.To
	}
}

// since is the delta that takes a receiver from a version to the one held here.
func (l *Incarnation[K, V]) since(id IncarnationID, from uint64) Delta[K, V] {
	delta := Delta[K, V]{Life: id, Node: l.Node, From: from, To: l.Version, Closed: l.Complete(), Cells: Cells[K, V]{}}
	var zero V
	for key, held := range l.Cells {
		if held.Version > from {
			delta.Cells[key] = zero.Join(held.Value)
		}
	}
	return delta
}
