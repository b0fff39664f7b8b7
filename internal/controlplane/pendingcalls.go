package controlplane

import (
	"sync"

	"slateridge/internal/config"
)

// pendingCalls are the operators' calls that wait for the chain: for a configuration's number to
// be settled, for an evacuation to be committed, or for a read to be answered. mu guards
// all fields; a call's channel is closed under it, once.
type pendingCalls struct {
	mu          sync.Mutex
	evacuations map[uint64]chan struct{} // by the order's number
	versions    map[chan struct{}]uint64 // until a committed state settles the number
	reads       map[uint64]*pendingRead
	lastReadID  uint64
}

// pendingRead is a read under way; doc is set before done is closed.
type pendingRead struct {
	done chan struct{}
	doc  *config.Doc
}

// newPendingCalls numbers reads from firstRead on. Reads are known by numbers of this life alone:
// an answer to an earlier life's may still be under way.
func newPendingCalls(firstReadID uint64) *pendingCalls {
	return &pendingCalls{evacuations: map[uint64]chan struct{}{}, versions: map[chan struct{}]uint64{}, reads: map[uint64]*pendingRead{}, lastReadID: firstReadID}
}

// awaitVersion waits for a configuration's number; stop ends the wait.
func (w *pendingCalls) awaitVersion(version uint64) (done <-chan struct{}, stop func()) {
	ch := make(chan struct{})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions[ch] = version
	return ch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.versions, ch)
	}
}

// awaitEvacuation waits for an order on a zone; stop ends the wait.
func (w *pendingCalls) awaitEvacuation(id uint64) (done <-chan struct{}, stop func()) {
	ch := make(chan struct{})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuations[id] = ch
	return ch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.evacuations, id)
	}
}

// startRead begins a startRead under a number of its own; stop ends the wait.
func (w *pendingCalls) startRead() (id uint64, r *pendingRead, stop func()) {
	r = &pendingRead{done: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastReadID++
	id = w.lastReadID
	w.reads[id] = r
	return id, r, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.reads, id)
	}
}

// finishRead answers a read.
func (w *pendingCalls) finishRead(id uint64, doc *config.Doc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.reads[id]; r != nil {
		r.doc = doc
		close(r.done)
		delete(w.reads, id)
	}
}

// resolve ends the waits that a resolve state fulfils.
func (w *pendingCalls) resolve(doc config.Doc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for ch, version := range w.versions {
		if doc.Ledger.Settled(version) {
			close(ch)
			delete(w.versions, ch)
		}
	}
	for _, e := range doc.Evac {
		for _, id := range e.IDs {
			if ch := w.evacuations[id]; ch != nil {
				close(ch)
				delete(w.evacuations, id)
			}
		}
	}
}
