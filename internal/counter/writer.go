package counter

// Writer holds the cells of one incarnation, of which it is the only writer, and computes
// the deltas that a receiver is missing. It is not safe for concurrent use.
type Writer[K comparable, V Value[V]] struct {
	incarnation IncarnationID
	node        string
	version     uint64
	closed      bool
	cells       map[K]*Versioned[V]
	sent        uint64
	term        Ballot // highest term acknowledged; acked belongs to it
	acked       uint64
	durable     uint64
}

// Ack is a receiver's answer to a delta. Heard is the version of the incarnation that the
// receiver holds, Durable the version that a majority of the replicas holds. Term identifies
// the receiver's leadership.
type Ack struct {
	Term    Ballot
	Heard   uint64
	Durable uint64
}

// NewWriter returns a Writer for a new incarnation.
func NewWriter[K comparable, V Value[V]](node string, incarnation IncarnationID) *Writer[K, V] {
	return &Writer[K, V]{incarnation: incarnation, node: node, cells: map[K]*Versioned[V]{}}
}

// RecoverWriter returns a Writer that reports an incarnation which has ended. sent is at
// least the newest version that the incarnation has sent to any receiver; cells are all its
// known states.
func RecoverWriter[K comparable, V Value[V]](node string, incarnation IncarnationID, sent uint64, cells Cells[K, V]) *Writer[K, V] {
	w := NewWriter[K, V](node, incarnation)
	w.version, w.sent, w.closed = sent+1, sent+1, true
	for key, value := range cells {
		w.cells[key] = &Versioned[V]{Value: value, Version: w.version}
	}
	return w
}

// Incarnation returns the ID of the incarnation.
func (w *Writer[K, V]) Incarnation() IncarnationID { return w.incarnation }

// Update changes a cell. The change must move its state up the semilattice.
func (w *Writer[K, V]) Update(key K, change func(*V)) {
	cell := w.cells[key]
	if cell == nil {
		cell = &Versioned[V]{}
		w.cells[key] = cell
	}
	change(&cell.Value)
	cell.Version = w.sent + 1
	w.version = w.sent + 1
}

// Close makes the current version the final one.
func (w *Writer[K, V]) Close() {
	if !w.closed {
		w.version, w.closed = w.sent+1, true
	}
}

// Pending returns the delta that the receiver is missing; false if a majority of the
// replicas holds everything. The delta has no cells if the receiver holds everything but a
// majority may not. If the receiver is lost before then, its successor has to be sent the
// changes again.
func (w *Writer[K, V]) Pending() (Delta[K, V], bool) {
	if w.durable >= w.version {
		return Delta[K, V]{}, false
	}
	w.sent = w.version
	delta := Delta[K, V]{Life: w.incarnation, Node: w.node, From: w.acked, To: w.version, Closed: w.closed, Cells: Cells[K, V]{}}
	var zero V
	for key, cell := range w.cells {
		if cell.Version > w.acked {
			delta.Cells[key] = zero.Join(cell.Value)
		}
	}
	return delta, true
}

// Acknowledge processes a receiver's answer. The first answer of a new term resets the
// version from which that receiver needs deltas; answers of earlier terms are ignored.
func (w *Writer[K, V]) Acknowledge(ack Ack) {
	if ack.Term.Less(w.term) || ack.Heard > w.sent || ack.Durable > ack.Heard {
		return
	}
	if w.term.Less(ack.Term) {
		w.term, w.acked = ack.Term, ack.Heard
	}
	w.acked = max(w.acked, ack.Heard)
	w.durable = max(w.durable, ack.Durable)
}

// Finished reports whether the incarnation has ended and a majority of the replicas holds
// all of it.
func (w *Writer[K, V]) Finished() bool { return w.closed && w.durable >= w.version }

// SentVersion returns the newest version that a receiver may hold.
func (w *Writer[K, V]) SentVersion() uint64 { return w.sent }

// DurableVersion returns the newest version that a majority of the replicas holds.
func (w *Writer[K, V]) DurableVersion() uint64 { return w.durable }

// Cell returns the current state of a key.
func (w *Writer[K, V]) Cell(key K) V {
	if cell := w.cells[key]; cell != nil {
		return cell.Value
	}
	var zero V
	return zero
}

// Len returns the number of cells.
func (w *Writer[K, V]) Len() int { return len(w.cells) }
