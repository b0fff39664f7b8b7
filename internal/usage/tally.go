package usage

import (
	"encoding/json"
	"sync"
	"time"

	"slateridge/internal/constants"
)

// reporter is one incarnation of a proxy's process, as a tally knows it.
type reporter struct {
	proxy      string
	closed     uint64
	reportedAt time.Duration
	windows    map[uint64]Counts
	seq        uint64            // of the latest report
	running    map[uint64]Counts // as of that report
}

// Tally gathers at the duty's holder, as long as the process runs: what a lost one had
// gathered, the proxies report to its successor. Its mutex guards all fields and all reporters.
type Tally struct {
	mu           sync.Mutex
	term         uint64
	settled      uint64
	dirty        bool
	handedOverAt time.Duration // when a holder before last handed on what it knew
	first        uint64        // window in which this tally was first asked, nothing being decided yet
	reporters    map[uint64]*reporter
	recent       []Report // taken since the latest Keep or Recent
	Rejected     uint64
}

// NewTally makes an empty one; term is a number no other tally has.
func NewTally(term uint64) *Tally { return &Tally{term: term | 1, reporters: map[uint64]*reporter{}} }

// Merge merges a proxy's report; window is the one at this moment. Reports that cannot
// be right are dropped and counted.
func (t *Tally) Merge(at time.Duration, window uint64, m Report) (Ack, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !m.plausible(window) {
		t.Rejected++
		return Ack{}, false
	}
	r := t.reporters[m.Life]
	if r == nil {
		r = &reporter{proxy: m.Proxy, windows: map[uint64]Counts{}}
		t.reporters[m.Life] = r
	}
	r.reportedAt = at
	t.dirty = true
	t.recent = append(t.recent, m)
	if m.Term == t.term {
		r.closed = max(r.closed, m.Closed) // else more is to come
	}
	r.merge(m, t.settled)
	return Ack{t.term, t.settled}, true
}

// plausible says whether a report is within the bounds that each honest one keeps to.
func (m Report) plausible(window uint64) bool {
	if m.Proxy == "" || len(m.Proxy) > constants.NameMax || m.Closed > window+1 {
		return false
	}
	for _, windows := range []map[uint64]Counts{m.Windows, m.Running} {
		if len(windows) > constants.UsageKept+2 {
			return false
		}
		for w, counts := range windows {
			if w > window+1 || !plausibleCounts(counts) {
				return false
			}
		}
	}
	return true
}

// plausibleCounts says whether the counts of one window are within their bounds.
func plausibleCounts(c Counts) bool {
	if len(c) > constants.UsageTenants {
		return false
	}
	for tenant, n := range c {
		if tenant == "" || len(tenant) > constants.NameMax || n > constants.UsageMost {
			return false
		}
	}
	return true
}

// merge takes what a report has of windows that are not settled yet.
func (r *reporter) merge(m Report, settled uint64) {
	for w, counts := range m.Windows {
		if w <= settled {
			continue
		}
		if r.windows[w] == nil {
			r.windows[w] = Counts{}
		}
		r.windows[w].Join(counts)
	}
	if m.Seq <= r.seq {
		return
	}
	r.seq, r.running = m.Seq, map[uint64]Counts{}
	for w, counts := range m.Running {
		if w > settled {
			r.running[w] = counts.Clone()
		}
	}
}

// SnapshotIfChanged is what a tally knows of open windows, as reports that can be sent to another:
// incarnations that have ended report nothing any more. Changed since the last SnapshotIfChanged, or false.
func (t *Tally) SnapshotIfChanged() ([]Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.dirty {
		return nil, false
	}
	t.dirty, t.recent = false, nil
	return t.allLocked(), true
}

// TakeRecent is the reports taken since the latest Keep or TakeRecent, as they can be sent to
// another tally: marked as not complete for their incarnations.
func (t *Tally) TakeRecent() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := t.recent
	t.recent = nil
	for i := range reports {
		reports[i].Term = 0
	}
	return reports
}

// Snapshot is the same, changed or not.
func (t *Tally) Snapshot() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allLocked()
}

// HandoverReceived notes that a holder before has handed on what it knew.
func (t *Tally) HandoverReceived(at time.Duration) {
	t.mu.Lock()
	t.handedOverAt = at
	t.mu.Unlock()
}

func (t *Tally) allLocked() (out []Report) {
	for id, r := range t.reporters {
		if len(r.windows) == 0 && len(r.running) == 0 {
			continue
		}
		m := Report{Proxy: r.proxy, Life: id, Windows: map[uint64]Counts{}, Seq: r.seq, Running: map[uint64]Counts{}}
		for w, c := range r.running {
			m.Running[w] = c.Clone()
		}
		for w, c := range r.windows {
			m.Windows[w] = c.Clone()
		}
		out = append(out, m)
	}
	return out
}

// Settle forgets windows that are decided.
func (t *Tally) Settle(through uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settled = max(t.settled, through)
	for id, r := range t.reporters {
		for w := range r.windows {
			if w <= t.settled {
				delete(r.windows, w)
			}
		}
		for w := range r.running {
			if w <= t.settled {
				delete(r.running, w)
			}
		}
		if len(r.windows) == 0 && len(r.running) == 0 && r.closed+constants.UsageKept < t.settled {
			delete(t.reporters, id)
		}
	}
}

// Complete says whether all that may know something of a window have reported it:
// those that have sent anything since a moment, and the proxies named as live.
func (t *Tally) Complete(w uint64, since time.Duration, live []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := map[string]*reporter{}
	for _, r := range t.reporters {
		if o := newest[r.proxy]; o == nil || o.reportedAt < r.reportedAt {
			newest[r.proxy] = r
		}
	}
	for _, r := range newest {
		if r.closed < w && r.reportedAt >= since {
			return false
		}
	}
	for _, p := range live {
		if newest[p] == nil {
			return false
		}
	}
	return true
}

// Sum adds up a window over all incarnations: what they have counted, and what was running
// by their last report, which of one that has ended nobody will count any more.
func (t *Tally) Sum(w uint64) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Counts{}
	for _, r := range t.reporters {
		out.Plus(r.windows[w])
		out.Plus(r.running[w])
	}
	return out
}

// Timing is when Next is asked: by the steady clock, by the agreed time of day, and
// how long the duty has been held here.
type Timing struct {
	Monotonic time.Duration
	Agreed    time.Time
	HeldFor   time.Duration
}

// NextWindow is the report that follows the window named, once all that may know of it
// have reported, or when waiting longer would leave the platform too little time.
// Windows that ended longer ago than proxies keep theirs are passed over; with none
// before, the first is the one under way.
func (t *Tally) NextWindow(m Timing, after uint64, length, delay time.Duration, live []string) (uint64, []byte, bool) {
	cur := Window(m.Agreed, length)
	if after == 0 {
		t.mu.Lock()
		if t.first == 0 {
			t.first = cur
		}
		after = t.first - 1
		t.mu.Unlock()
	}
	t.Settle(after)
	w := max(after+1, cur-min(cur, constants.UsageKept))
	if w >= cur {
		return 0, nil, false
	}
	age := m.Agreed.Sub(time.Unix(0, int64(w+1)*int64(length)))
	if age < constants.RosterEvery { // others may know proxies that are not known here yet
		return 0, nil, false
	}
	// Of a window that another holder gathered in, that one may know of incarnations that
	// have ended: it, or its successor from its disk, hands on what it knew.
	t.mu.Lock()
	alone := m.Agreed.Add(-m.HeldFor).Before(time.Unix(0, int64(w)*int64(length))) || t.handedOverAt > m.Monotonic-m.HeldFor
	t.mu.Unlock()
	if !(alone && t.Complete(w, m.Monotonic-delay, live)) && (age < decideBy(delay) || m.HeldFor < 2*constants.UsageEvery) {
		return 0, nil, false
	}
	return w, MarshalWindow(w, t.Sum(w)), true
}

// Reporters is how many incarnations of proxies are known.
func (t *Tally) Reporters() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.reporters)
}

// MarshalWindow is a window's report as the platform wants it.
func MarshalWindow(w uint64, c Counts) []byte {
	b, err := json.Marshal(struct {
		Window uint64 `json:"windowNumber"`
		Counts Counts `json:"instanceCounts"`
	}{w, c})
	if err != nil {
		panic("usage: a report cannot be written: " + err.Error())
	}
	return b
}
