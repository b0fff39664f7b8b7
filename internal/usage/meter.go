package usage

import (
	"sync"

	"slateridge/internal/constants"
)

// Meter holds a proxy's counts. It is used concurrently by the goroutines of the requests; its
// mutex guards all fields.
type Meter struct {
	mu                 sync.Mutex
	incarnation        uint64
	windows            map[uint64]Counts
	unreported         map[uint64]map[string]bool // changed since the holder's last acknowledgement
	open               map[uint64]int             // requests that may still count, by the window of their arrival
	settled            uint64
	term               uint64
	acknowledgedClosed uint64 // Closed of the latest report acknowledged by the current tally
	seq                uint64 // of the latest report
	running            map[uint64]Counts
	runningSeq         uint64 // of the first report with the present state of running
	acknowledgedSeq    uint64 // of the latest acknowledged report
	Dropped            uint64 // runs counted after their window was decided
}

// NewMeter returns an empty meter for an incarnation of a proxy process.
func NewMeter(incarnation uint64) *Meter {
	return &Meter{
		incarnation: incarnation,
		windows:     map[uint64]Counts{},
		unreported:  map[uint64]map[string]bool{},
		open:        map[uint64]int{},
		running:     map[uint64]Counts{},
	}
}

// Run tracks a request from when it is first sent to an upstream until it is known whether it
// counts. If the proxy is killed in between, the request has been reported as running and most
// likely has been executed.
type Run struct {
	window         uint64
	tenant         string
	running, ended bool
}

// StartRun records that a request has been sent completely to an upstream. It has no effect if the
// run has already started or ended.
func (m *Meter) StartRun(r *Run, window uint64, tenant string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.running || r.ended {
		return
	}
	r.window, r.tenant, r.running = window, tenant, true
	if m.running[window] == nil {
		m.running[window] = Counts{}
	}
	m.running[window][tenant]++
	m.runningSeq = m.seq + 1
}

// EndRun ends a run. From then on the request is either counted by Count or never counts.
func (m *Meter) EndRun(r *Run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.ended = true
	if !r.running {
		return
	}
	r.running = false
	m.runningSeq = m.seq + 1
	counts := m.running[r.window]
	if counts[r.tenant]--; counts[r.tenant] == 0 {
		delete(counts, r.tenant)
	}
	if len(counts) == 0 {
		delete(m.running, r.window)
	}
}

// BeginRequest records a request that arrived in a window and may count in it or in a later one.
func (m *Meter) BeginRequest(window uint64) {
	m.mu.Lock()
	m.open[window]++
	m.mu.Unlock()
}

// EndRequest ends a request recorded by BeginRequest.
func (m *Meter) EndRequest(window uint64) {
	m.mu.Lock()
	if m.open[window]--; m.open[window] <= 0 {
		delete(m.open, window)
	}
	m.mu.Unlock()
}

// Count adds an executed request of a tenant to a window.
func (m *Meter) Count(window uint64, tenant string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if window <= m.settled {
		m.Dropped++
		return
	}
	if m.windows[window] == nil {
		m.windows[window], m.unreported[window] = Counts{}, map[string]bool{}
	}
	m.windows[window][tenant]++
	m.unreported[window][tenant] = true
}

// NextReport returns the report to send in the current window. It returns false if there is
// nothing new to report.
func (m *Meter) NextReport(proxy string, current uint64) (Report, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	report := Report{Proxy: proxy, Life: m.incarnation, Term: m.term, Windows: map[uint64]Counts{}, Seq: m.seq, Running: map[uint64]Counts{}}
	for w, counts := range m.running {
		report.Running[w] = counts.Clone()
	}
	if current > 0 {
		report.Closed = current - 1
	}
	for w := range m.open {
		report.Closed = min(report.Closed, w-1)
	}
	for w, tenants := range m.unreported {
		if w+constants.UsageMaxUnsettledWindows < current {
			delete(m.windows, w) // no holder has settled the window within UsageMaxUnsettledWindows windows
			delete(m.unreported, w)
			continue
		}
		if len(tenants) > 0 {
			report.Windows[w] = Counts{}
			for tenant := range tenants {
				report.Windows[w][tenant] = m.windows[w][tenant]
			}
		}
	}
	return report, len(report.Windows) > 0 || report.Closed > m.acknowledgedClosed || m.runningSeq > m.acknowledgedSeq
}

// Acknowledge handles the holder's answer to a report. A changed term means that there is a new
// holder or that the holder has restarted; the counts of all open windows are then reported again.
func (m *Meter) Acknowledge(report Report, ack Ack) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.acknowledgedSeq = max(m.acknowledgedSeq, report.Seq)
	if ack.Settled > m.settled {
		m.settled = ack.Settled
		for w := range m.windows {
			if w <= ack.Settled {
				delete(m.windows, w)
				delete(m.unreported, w)
			}
		}
	}
	if ack.Term != m.term {
		m.term, m.acknowledgedClosed = ack.Term, 0
		for w, counts := range m.windows {
			for tenant := range counts {
				m.unreported[w][tenant] = true
			}
		}
	}
	if ack.Term == report.Term {
		m.acknowledgedClosed = max(m.acknowledgedClosed, report.Closed)
	}
	for w, counts := range report.Windows { // the tally that sent ack has merged these counts, even if its term is new
		for tenant, n := range counts {
			if m.windows[w][tenant] == n {
				delete(m.unreported[w], tenant)
			}
		}
	}
}

// Stats returns the number of open windows and the number of runs counted too late for theirs.
func (m *Meter) Stats() (windows int, dropped uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.windows), m.Dropped
}
