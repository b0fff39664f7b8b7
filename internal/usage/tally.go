package usage

import (
	"encoding/json"
	"sync"
	"time"

	"slateridge/internal/constants"
)

// reporter holds what one incarnation of a proxy process has reported.
type reporter struct {
	proxy      string
	closed     uint64
	reportedAt time.Duration
	windows    map[uint64]Counts
	seq        uint64            // of the latest report
	running    map[uint64]Counts // as of the latest report
}

// Tally collects the proxies' reports at the duty holder. It lives as long as the holder's process;
// if it is lost, the proxies send their reports to the next holder's tally. Its mutex guards all
// fields and all reporters.
type Tally struct {
	mu          sync.Mutex
	term        uint64
	settled     uint64
	dirty       bool
	handoverAt  time.Duration // time of the latest complete handover from a previous holder
	firstWindow uint64        // current window at the first call of NextWindow while no window was decided
	reporters   map[uint64]*reporter
	recent      []Report // merged since the latest SnapshotIfChanged or TakeRecent
	Rejected    uint64   // number of invalid reports
}

// NewTally returns an empty tally. The term must differ from that of every other tally.
func NewTally(term uint64) *Tally { return &Tally{term: term | 1, reporters: map[uint64]*reporter{}} }

// Merge merges a proxy's report; current is the present window. Invalid reports are dropped and
// counted.
func (t *Tally) Merge(at time.Duration, current uint64, report Report) (Ack, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !report.valid(current) {
		t.Rejected++
		return Ack{}, false
	}
	r := t.reporters[report.Life]
	if r == nil {
		r = &reporter{proxy: report.Proxy, windows: map[uint64]Counts{}}
		t.reporters[report.Life] = r
	}
	r.reportedAt = at
	t.dirty = true
	t.recent = append(t.recent, report)
	if report.Term == t.term {
		r.closed = max(r.closed, report.Closed) // a report of another term may leave out counts that this tally lacks
	}
	r.merge(report, t.settled)
	return Ack{t.term, t.settled}, true
}

// valid reports whether a report is within the limits that every well-behaved proxy observes.
func (report Report) valid(current uint64) bool {
	if report.Proxy == "" || len(report.Proxy) > constants.MaxNameBytes || report.Closed > current+1 {
		return false
	}
	for _, windows := range []map[uint64]Counts{report.Windows, report.Running} {
		if len(windows) > constants.UsageMaxUnsettledWindows+2 {
			return false
		}
		for w, counts := range windows {
			if w > current+1 || !validCounts(counts) {
				return false
			}
		}
	}
	return true
}

// validCounts reports whether the counts of one window are within their limits.
func validCounts(counts Counts) bool {
	if len(counts) > constants.UsageMaxTenants {
		return false
	}
	for tenant, n := range counts {
		if tenant == "" || len(tenant) > constants.MaxNameBytes || n > constants.UsageMaxCount {
			return false
		}
	}
	return true
}

// merge merges the counts of windows that are not settled yet.
func (r *reporter) merge(report Report, settled uint64) {
	for w, counts := range report.Windows {
		if w <= settled {
			continue
		}
		if r.windows[w] == nil {
			r.windows[w] = Counts{}
		}
		r.windows[w].Join(counts)
	}
	if report.Seq <= r.seq {
		return
	}
	r.seq, r.running = report.Seq, map[uint64]Counts{}
	for w, counts := range report.Running {
		if w > settled {
			r.running[w] = counts.Clone()
		}
	}
}

// SnapshotIfChanged returns the open windows as reports that can be merged into another tally;
// proxy incarnations that have ended cannot send theirs again. It returns false if nothing has
// changed since the previous call.
func (t *Tally) SnapshotIfChanged() ([]Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.dirty {
		return nil, false
	}
	t.dirty, t.recent = false, nil
	return t.snapshotLocked(), true
}

// TakeRecent returns the reports merged since the latest SnapshotIfChanged or TakeRecent, in a
// form that can be merged into another tally: a zero term marks each as incomplete for its
// incarnation.
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

// Snapshot returns the same reports as SnapshotIfChanged, whether they have changed or not.
func (t *Tally) Snapshot() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snapshotLocked()
}

// HandoverReceived records that a previous holder has handed over all its reports.
func (t *Tally) HandoverReceived(at time.Duration) {
	t.mu.Lock()
	t.handoverAt = at
	t.mu.Unlock()
}

func (t *Tally) snapshotLocked() (reports []Report) {
	for incarnation, r := range t.reporters {
		if len(r.windows) == 0 && len(r.running) == 0 {
			continue
		}
		report := Report{Proxy: r.proxy, Life: incarnation, Windows: map[uint64]Counts{}, Seq: r.seq, Running: map[uint64]Counts{}}
		for w, counts := range r.running {
			report.Running[w] = counts.Clone()
		}
		for w, counts := range r.windows {
			report.Windows[w] = counts.Clone()
		}
		reports = append(reports, report)
	}
	return reports
}

// Settle discards the counts of decided windows.
func (t *Tally) Settle(through uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settled = max(t.settled, through)
	for incarnation, r := range t.reporters {
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
		if len(r.windows) == 0 && len(r.running) == 0 && r.closed+constants.UsageMaxUnsettledWindows < t.settled {
			delete(t.reporters, incarnation)
		}
	}
}

// Complete reports whether every proxy that may have counts for a window has reported them:
// each proxy that has sent a report at or after since, and each live proxy.
func (t *Tally) Complete(window uint64, since time.Duration, live []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := map[string]*reporter{}
	for _, r := range t.reporters {
		if other := newest[r.proxy]; other == nil || other.reportedAt < r.reportedAt {
			newest[r.proxy] = r
		}
	}
	for _, r := range newest {
		if r.closed < window && r.reportedAt >= since {
			return false
		}
	}
	for _, proxy := range live {
		if newest[proxy] == nil {
			return false
		}
	}
	return true
}

// Sum adds up a window over all incarnations. It includes the requests that were running at the
// latest report; if the incarnation has ended, nothing else counts them.
func (t *Tally) Sum(window uint64) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := Counts{}
	for _, r := range t.reporters {
		sum.Plus(r.windows[window])
		sum.Plus(r.running[window])
	}
	return sum
}

// Timing is the time of a call to NextWindow.
type Timing struct {
	Monotonic time.Duration // by the local monotonic clock
	Agreed    time.Time     // time of day agreed in the fleet
	HeldFor   time.Duration // how long this machine has held the duty
}

// NextWindow returns the number and the encoded report of the window after a given one. It returns
// false until all proxies that may have counts for the window have reported, or until waiting
// longer would leave too little time for the call to the platform. Windows that ended so long
// ago that proxies no longer keep them are skipped. If after is 0, no window has been decided yet
// and the first one is the window current at the first such call.
func (t *Tally) NextWindow(now Timing, after uint64, length, delay time.Duration, live []string) (uint64, []byte, bool) {
	current := Window(now.Agreed, length)
	if after == 0 {
		t.mu.Lock()
		if t.firstWindow == 0 {
			t.firstWindow = current
		}
		after = t.firstWindow - 1
		t.mu.Unlock()
	}
	t.Settle(after)
	w := max(after+1, current-min(current, constants.UsageMaxUnsettledWindows))
	if w >= current {
		return 0, nil, false
	}
	age := now.Agreed.Sub(time.Unix(0, int64(w+1)*int64(length)))
	if age < constants.RosterInterval { // other machines may know of proxies that are not in live yet
		return 0, nil, false
	}
	// If the window began under a previous holder, that holder may have reports of incarnations
	// that have ended. It hands them over, from its disk if its process has been restarted.
	t.mu.Lock()
	handoverDone := now.Agreed.Add(-now.HeldFor).Before(time.Unix(0, int64(w)*int64(length))) || t.handoverAt > now.Monotonic-now.HeldFor
	t.mu.Unlock()
	if !(handoverDone && t.Complete(w, now.Monotonic-delay, live)) && (age < decisionAge(delay) || now.HeldFor < 2*constants.UsageSnapshotInterval) {
		return 0, nil, false
	}
	return w, MarshalWindow(w, t.Sum(w)), true
}

// Reporters returns the number of known proxy incarnations.
func (t *Tally) Reporters() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.reporters)
}

// MarshalWindow encodes a window's counts in the format of the platform.
func MarshalWindow(window uint64, counts Counts) []byte {
	b, err := json.Marshal(struct {
		Window uint64 `json:"windowNumber"`
		Counts Counts `json:"instanceCounts"`
	}{window, counts})
	if err != nil {
		panic("usage: encoding the report of a window: " + err.Error())
	}
	return b
}
