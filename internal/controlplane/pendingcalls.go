package controlplane

import (
	"sync"

	"slateridge/internal/config"
)

// waits are the operators' calls that wait for the chain: for a configuration's number to
// be settled, for an evacuation to be committed, or for a read to be answered. mu guards
// all fields; a call's channel is closed under it, once.
type waits struct {
	mu          sync.Mutex
	evacuations map[uint64]chan struct{} // by the order's number
	versions    map[chan struct{}]uint64 // until a committed state settles the number
	reads       map[uint64]*reader
	lastRead    uint64
}

// reader is a read under way; doc is set before done is closed.
type reader struct {
	done chan struct{}
	doc  *config.Doc
}

// newWaits numbers reads from firstRead on. Reads are known by numbers of this life alone:
// an answer to an earlier life's may still be under way.
func newWaits(firstRead uint64) *waits {
	return &waits{evacuations: map[uint64]chan struct{}{}, versions: map[chan struct{}]uint64{}, reads: map[uint64]*reader{}, lastRead: firstRead}
}

// version waits for a configuration's number; stop ends the wait.
func (w *waits) version(version uint64) (done <-chan struct{}, stop func()) {
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

// evacuation waits for an order on a zone; stop ends the wait.
func (w *waits) evacuation(id uint64) (done <-chan struct{}, stop func()) {
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

// read begins a read under a number of its own; stop ends the wait.
func (w *waits) read() (id uint64, r *reader, stop func()) {
	r = &reader{done: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRead++
	id = w.lastRead
	w.reads[id] = r
	return id, r, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.reads, id)
	}
}

// readDone answers a read.
func (w *waits) readDone(id uint64, doc *config.Doc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.reads[id]; r != nil {
		r.doc = doc
		close(r.done)
		delete(w.reads, id)
	}
}

// committed ends the waits that a committed state fulfils.
func (w *waits) committed(doc config.Doc) {
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
