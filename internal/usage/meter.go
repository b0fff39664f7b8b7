package usage

import (
	"sync"

	"slateridge/internal/constants"
)

// Meter is a proxy's counts. Its mutex guards all fields; requests use it from their own
// goroutines.
type Meter struct {
	mu              sync.Mutex
	incarnation     uint64
	windows         map[uint64]Counts
	unreported      map[uint64]map[string]bool // changed since the holder's last answer
	open            map[uint64]int             // requests that may still count, by the window they came in
	settled         uint64
	term            uint64
	closedReported  uint64 // closed, as last answered
	seq             uint64 // of the latest report
	running         map[uint64]Counts
	changedSeq      uint64 // the first report that says what is running now
	acknowledgedSeq uint64 // the latest report that was acknowledged
	Dropped         uint64 // counts of windows that were decided before they came
}

// NewMeter makes an empty meter for one incarnation of a proxy's process.
func NewMeter(life uint64) *Meter {
	return &Meter{
		incarnation: life,
		windows:     map[uint64]Counts{},
		unreported:  map[uint64]map[string]bool{},
		open:        map[uint64]int{},
		running:     map[uint64]Counts{},
	}
}

// Run is one request's, from when it has first been sent to an upstream until it is known
// whether it counts. A process that is killed in between has reported it as running, and
// mostly it has run.
type Run struct {
	window        uint64
	tenant        string
	running, over bool
}

// StartRun notes a request that an upstream has been sent whole; again, or once the request
// is over, it changes nothing.
func (m *Meter) StartRun(r *Run, w uint64, tenant string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.running || r.over {
		return
	}
	r.window, r.tenant, r.running = w, tenant, true
	if m.running[w] == nil {
		m.running[w] = Counts{}
	}
	m.running[w][tenant]++
	m.changedSeq = m.seq + 1
}

// EndRun ends what Sent began: the request counts from now on, or it never will.
func (m *Meter) EndRun(r *Run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.over = true
	if !r.running {
		return
	}
	r.running = false
	m.changedSeq = m.seq + 1
	c := m.running[r.window]
	if c[r.tenant]--; c[r.tenant] == 0 {
		delete(c, r.tenant)
	}
	if len(c) == 0 {
		delete(m.running, r.window)
	}
}

// BeginRequest notes a request that came in a window and may count in it or a later one.
func (m *Meter) BeginRequest(w uint64) {
	m.mu.Lock()
	m.open[w]++
	m.mu.Unlock()
}

// EndRequest closes what Begin noted.
func (m *Meter) EndRequest(w uint64) {
	m.mu.Lock()
	if m.open[w]--; m.open[w] <= 0 {
		delete(m.open, w)
	}
	m.mu.Unlock()
}

// Count adds one run of a tenant's request in a window.
func (m *Meter) Count(w uint64, tenant string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w <= m.settled {
		m.Dropped++
		return
	}
	if m.windows[w] == nil {
		m.windows[w], m.unreported[w] = Counts{}, map[string]bool{}
	}
	m.windows[w][tenant]++
	m.unreported[w][tenant] = true
}

// NextReport is what is to be reported in window now; false when there is nothing new.
func (m *Meter) NextReport(proxy string, now uint64) (Report, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	t := Report{Proxy: proxy, Life: m.incarnation, Term: m.term, Windows: map[uint64]Counts{}, Seq: m.seq, Running: map[uint64]Counts{}}
	for w, c := range m.running {
		t.Running[w] = c.Clone()
	}
	if now > 0 {
		t.Closed = now - 1
	}
	for w := range m.open {
		t.Closed = min(t.Closed, w-1)
	}
	for w, ts := range m.unreported {
		if w+constants.UsageKept < now {
			delete(m.windows, w) // nobody has wanted it for so long
			delete(m.unreported, w)
			continue
		}
		if len(ts) > 0 {
			t.Windows[w] = Counts{}
			for tenant := range ts {
				t.Windows[w][tenant] = m.windows[w][tenant]
			}
		}
	}
	return t, len(t.Windows) > 0 || t.Closed > m.closedReported || m.changedSeq > m.acknowledgedSeq
}

// Acknowledge takes the holder's answer to a report. Another term means another holder,
// or one that has restarted: it is sent all that is open.
func (m *Meter) Acknowledge(t Report, h Ack) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.acknowledgedSeq = max(m.acknowledgedSeq, t.Seq)
	if h.Settled > m.settled {
		m.settled = h.Settled
		for w := range m.windows {
			if w <= h.Settled {
				delete(m.windows, w)
				delete(m.unreported, w)
			}
		}
	}
	if h.Term != m.term {
		m.term, m.closedReported = h.Term, 0
		for w, c := range m.windows {
			for tenant := range c {
				m.unreported[w][tenant] = true
			}
		}
	}
	if h.Term == t.Term {
		m.closedReported = max(m.closedReported, t.Closed)
	}
	for w, c := range t.Windows { // acknowledged by this very tally
		for tenant, n := range c {
			if m.windows[w][tenant] == n {
				delete(m.unreported[w], tenant)
			}
		}
	}
}

// Stats is how many windows are open here, and the runs that came too late for theirs.
func (m *Meter) Stats() (windows int, dropped uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.windows), m.Dropped
}
