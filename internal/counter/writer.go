package counter

// Writer holds the cells of one incarnation, of which it is the only writer, and tells a receiver
// what it does not hold yet. It is not safe for concurrent use.
type Writer[K comparable, V Value[V]] struct {
	incarnation IncarnationID
	node        string
	version     uint64
	closed      bool
	cells       map[K]*Versioned[V]
	sent        uint64
	term        Ballot // of the receiver that has acknowledged what follows
	acked       uint64
	durable     uint64
}

// Ack is a receiver's answer to a delta: what it holds of the incarnation, and what of that
// a majority holds. The term tells one receiver from its successor.
type Ack struct {
	Term    Ballot
	Heard   uint64
	Durable uint64
}

// NewWriter makes the writer of a new incarnation.
func NewWriter[K comparable, V Value[V]](node string, incarnation IncarnationID) *Writer[K, V] {
	return &Writer[K, V]{incarnation: incarnation, node: node, cells: map[K]*Versioned[V]{}}
}

// RecoverWriter makes the writer that tells of a incarnation which is over. Told is at least the
// newest version that the incarnation has told anyone; cells are all that is known of it.
func RecoverWriter[K comparable, V Value[V]](node string, incarnation IncarnationID, sent uint64, cells Cells[K, V]) *Writer[K, V] {
	w := NewWriter[K, V](node, incarnation)
	w.version, w.sent, w.closed = sent+1, sent+1, true
	for key, value := range cells {
		w.cells[key] = &Versioned[V]{Value: value, Version: w.version}
	}
	return w
}

// Incarnation is the incarnation written here.
func (w *Writer[K, V]) Incarnation() IncarnationID { return w.incarnation }

// Update changes a cell. The change must take its state upward.
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

// Close makes the present version the last one.
func (w *Writer[K, V]) Close() {
	if !w.closed {
		w.version, w.closed = w.sent+1, true
	}
}

// Pending is the delta that the receiver lacks, which has no cells where it holds all but
// a majority may not; false when a majority holds everything. A receiver that is lost
// before a majority holds what it has heard is followed by one that has to be told again.
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

// Acknowledge takes a receiver's answer. The first one of a new term says from which
// version on that receiver has to be told; answers of an earlier term are passed over.
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

// Finished reports whether the incarnation is over and a majority holds all of it.
func (w *Writer[K, V]) Finished() bool { return w.closed && w.durable >= w.version }

// SentVersion is the newest version that a receiver may hold.
func (w *Writer[K, V]) SentVersion() uint64 { return w.sent }

// DurableVersion is the newest version that a majority holds.
func (w *Writer[K, V]) DurableVersion() uint64 { return w.durable }

// Cell is the present state of a key.
func (w *Writer[K, V]) Cell(key K) V {
	if cell := w.cells[key]; cell != nil {
		return cell.Value
	}
	var zero V
	return zero
}

// Len is the number of cells.
func (w *Writer[K, V]) Len() int { return len(w.cells) }
