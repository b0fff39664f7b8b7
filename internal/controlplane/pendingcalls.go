package controlplane

import (
	"sync"

	"slateridge/internal/config"
)

// pendingCalls tracks operator calls that wait for the chain: until a configuration version
// is settled, an evacuation is committed, or a read is answered. mu guards all fields. The
// channel of a call is closed at most once, with mu held.
type pendingCalls struct {
	mu          sync.Mutex
	evacuations map[uint64]chan struct{} // by order ID
	versions    map[chan struct{}]uint64 // version that each call waits for
	reads       map[uint64]*pendingRead
	lastReadID  uint64
}

// pendingRead is a read in progress. doc is set before done is closed.
type pendingRead struct {
	done chan struct{}
	doc  *config.Doc
}

// newPendingCalls creates an empty set of calls whose read IDs follow firstReadID. Each
// process needs a random start, because a reply to a read of an earlier process on this
// machine may still arrive.
func newPendingCalls(firstReadID uint64) *pendingCalls {
	return &pendingCalls{evacuations: map[uint64]chan struct{}{}, versions: map[chan struct{}]uint64{}, reads: map[uint64]*pendingRead{}, lastReadID: firstReadID}
}

// awaitVersion returns a channel that is closed once version is settled. stop ends the wait.
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

// awaitEvacuation returns a channel that is closed once the evacuation order is committed.
// stop ends the wait.
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

// startRead registers a read with a new ID. stop ends the wait.
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

// finishRead completes a read with its result.
func (w *pendingCalls) finishRead(id uint64, doc *config.Doc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.reads[id]; r != nil {
		r.doc = doc
		close(r.done)
		delete(w.reads, id)
	}
}

// resolve completes the calls whose condition the committed state satisfies.
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
