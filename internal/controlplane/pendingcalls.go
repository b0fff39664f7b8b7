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
func (p *pendingCalls) awaitVersion(version uint64) (done <-chan struct{}, stop func()) {
	ch := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions[ch] = version
	return ch, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.versions, ch)
	}
}

// awaitEvacuation returns a channel that is closed once the evacuation order is committed.
// stop ends the wait.
func (p *pendingCalls) awaitEvacuation(id uint64) (done <-chan struct{}, stop func()) {
	ch := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuations[id] = ch
	return ch, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.evacuations, id)
	}
}

// startRead registers a read with a new ID. stop ends the wait.
func (p *pendingCalls) startRead() (id uint64, r *pendingRead, stop func()) {
	r = &pendingRead{done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReadID++
	id = p.lastReadID
	p.reads[id] = r
	return id, r, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.reads, id)
	}
}

// finishRead completes a read with its result.
func (p *pendingCalls) finishRead(id uint64, doc *config.Doc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.reads[id]; r != nil {
		r.doc = doc
		close(r.done)
		delete(p.reads, id)
	}
}

// resolve completes the calls whose condition the committed state satisfies.
func (p *pendingCalls) resolve(doc config.Doc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ch, version := range p.versions {
		if doc.Ledger.Settled(version) {
			close(ch)
			delete(p.versions, ch)
		}
	}
	for _, e := range doc.Evac {
		for _, id := range e.IDs {
			if ch := p.evacuations[id]; ch != nil {
				close(ch)
				delete(p.evacuations, id)
			}
		}
	}
}
