// Package usage meters what upstreams ran for each tenant: windowed counters, cumulative by
// process life and merged by maximum, so that a report that arrives twice, late or out of
// order counts once. Proxies hold the counts and report them to whoever holds the duty; a
// successor is told all of what is open.
package usage

import (
	"encoding/json"
	"sync"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/counter"
	"slateridge/internal/transport"
)

type (
	// Counts are cumulative numbers by tenant.
	Counts = counter.Cells[string, counter.Count]
	// Report is one proxy's report to the duty's holder: of each window what has
	// changed since that holder last answered, and what is running. All windows up to
	// Closed are final.
	Report struct {
		Proxy   string
		Life    uint64
		Term    uint64 // of the tally that what is left out has been told to
		Windows map[uint64]Counts
		Closed  uint64
		Seq     uint64            // of this life's words: what runs is as the latest says
		Running map[uint64]Counts // sent whole, and neither counted nor known not to have run
	}
	// Ack answers it. Windows up to Settled are decided and need no telling.
	Ack struct {
		Term    uint64
		Settled uint64
	}
)

// Handover is what a holder that was knows, to the one that is; the last says that
// this was all.
type Handover struct {
	Words []Report
	Last  bool
}

func init() {
	transport.Register(transport.NameUsageHandover, Handover{})
	transport.Register(transport.NameUsageReport, Report{})
	transport.Register(transport.NameUsageAck, Ack{})
}

// Window is the number of the window a time lies in.
func Window(at time.Time, length time.Duration) uint64 {
	return uint64(max(0, at.UnixNano())) / uint64(length)
}

// Phase is when, within the time between two words, a proxy begins to tell; lot is drawn.
// Proxies that started together would all tell at the same moments, and many that are
// killed together shortly before one would all lose the most that any can.
func Phase(lot uint64) time.Duration { return time.Duration(lot % uint64(constants.UsageReportEvery)) }

// Meter is a proxy's counts.
type Meter struct {
	mu         sync.Mutex
	life       uint64
	windows    map[uint64]Counts
	unreported map[uint64]map[string]bool // changed since the holder's last answer
	open       map[uint64]int             // requests that may still count, by the window they came in
	settled    uint64
	term       uint64
	reported   uint64 // closed, as last answered
	seq        uint64 // of the latest word
	running    map[uint64]Counts
	changed    uint64 // the first word that says what is running now
	heard      uint64 // the latest word that was answered
	Dropped    uint64 // counts of windows that were decided before they came
}

// NewMeter makes an empty meter for one life of a proxy.
func NewMeter(life uint64) *Meter {
	return &Meter{life: life, windows: map[uint64]Counts{}, unreported: map[uint64]map[string]bool{}, open: map[uint64]int{}, running: map[uint64]Counts{}}
}

// Run is one request's, from when it has first been sent to an upstream until it is known
// whether it counts. A process that is killed in between has told of it with its last
// word, and it has mostly run.
type Run struct {
	window        uint64
	tenant        string
	running, over bool
}

// Sent notes a request that an upstream has been sent whole; again, or once the request
// is over, it changes nothing.
func (m *Meter) Sent(r *Run, w uint64, tenant string) {
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
	m.changed = m.seq + 1
}

// Over ends what Sent began: the request counts from now on, or it never will.
func (m *Meter) Over(r *Run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.over = true
	if !r.running {
		return
	}
	r.running = false
	m.changed = m.seq + 1
	c := m.running[r.window]
	if c[r.tenant]--; c[r.tenant] == 0 {
		delete(c, r.tenant)
	}
	if len(c) == 0 {
		delete(m.running, r.window)
	}
}

// Begin notes a request that came in a window and may count in it or a later one.
func (m *Meter) Begin(w uint64) {
	m.mu.Lock()
	m.open[w]++
	m.mu.Unlock()
}

// End closes what Begin noted.
func (m *Meter) End(w uint64) {
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

// Report is what is to be said in window now; false when there is nothing new.
func (m *Meter) Report(proxy string, now uint64) (Report, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	t := Report{Proxy: proxy, Life: m.life, Term: m.term, Windows: map[uint64]Counts{}, Seq: m.seq, Running: map[uint64]Counts{}}
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
	return t, len(t.Windows) > 0 || t.Closed > m.reported || m.changed > m.heard
}

// Acknowledged takes the holder's answer to a word. Another term means another holder, or
// one that has begun anew: it is told all that is open.
func (m *Meter) Acknowledged(t Report, h Ack) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = max(m.heard, t.Seq)
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
		m.term, m.reported = h.Term, 0
		for w, c := range m.windows {
			for tenant := range c {
				m.unreported[w][tenant] = true
			}
		}
	}
	if h.Term == t.Term {
		m.reported = max(m.reported, t.Closed)
	}
	for w, c := range t.Windows { // told to this very tally
		for tenant, n := range c {
			if m.windows[w][tenant] == n {
				delete(m.unreported[w], tenant)
			}
		}
	}
}

// Held is how many windows are open here, and the runs that came too late for theirs.
func (m *Meter) Held() (windows int, dropped uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.windows), m.Dropped
}

// reporter is one life of a proxy, as a tally knows it.
type reporter struct {
	proxy   string
	closed  uint64
	heardAt time.Duration
	windows map[uint64]Counts
	seq     uint64            // of the latest word
	running map[uint64]Counts // as it said
}

// Tally is the holder's gathering. It lives as long as the process: what a lost
// one had gathered, the proxies tell its successor.
type Tally struct {
	mu           sync.Mutex
	term         uint64
	settled      uint64
	dirty        bool
	handedOverAt time.Duration // when a holder before last handed on what it knew
	first        uint64        // window in which this tally was first asked, nothing being decided yet
	reporters    map[uint64]*reporter
	recent       []Report // taken since the latest Keep or Recent
	Garbage      uint64
}

// NewTally makes an empty one; term is a number no other tally has.
func NewTally(term uint64) *Tally { return &Tally{term: term | 1, reporters: map[uint64]*reporter{}} }

// Take merges a proxy's report; now is the window at this moment. Words that cannot
// be are dropped and counted.
func (t *Tally) Take(at time.Duration, now uint64, m Report) (Ack, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	bad := m.Proxy == "" || len(m.Proxy) > constants.NameMax || m.Closed > now+1
	for _, ws := range []map[uint64]Counts{m.Windows, m.Running} {
		bad = bad || len(ws) > constants.UsageKept+2
		for w, c := range ws {
			bad = bad || w > now+1 || len(c) > constants.UsageTenants
			for tenant, n := range c {
				bad = bad || tenant == "" || len(tenant) > constants.NameMax || n > constants.UsageMost
			}
		}
	}
	if bad {
		t.Garbage++
		return Ack{}, false
	}
	l := t.reporters[m.Life]
	if l == nil {
		l = &reporter{proxy: m.Proxy, windows: map[uint64]Counts{}}
		t.reporters[m.Life] = l
	}
	l.heardAt = at
	t.dirty = true
	t.recent = append(t.recent, m)
	if m.Term == t.term {
		l.closed = max(l.closed, m.Closed) // else more is to come
	}
	for w, c := range m.Windows {
		if w <= t.settled {
			continue
		}
		if l.windows[w] == nil {
			l.windows[w] = Counts{}
		}
		l.windows[w].Join(c)
	}
	if m.Seq > l.seq {
		l.seq, l.running = m.Seq, map[uint64]Counts{}
		for w, c := range m.Running {
			if w > t.settled {
				l.running[w] = c.Clone()
			}
		}
	}
	return Ack{t.term, t.settled}, true
}

// Keep is what a tally knows of open windows, as words that can be told to another:
// lives that are over tell nothing any more. Changed since the last Keep, or false.
func (t *Tally) Keep() ([]Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.dirty {
		return nil, false
	}
	t.dirty, t.recent = false, nil
	return t.allLocked(), true
}

// Recent is the words taken since the latest Keep or Recent, as they can be told to
// another tally: as not all that their lives know.
func (t *Tally) Recent() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	words := t.recent
	t.recent = nil
	for i := range words {
		words[i].Term = 0
	}
	return words
}

// All is the same, changed or not.
func (t *Tally) All() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allLocked()
}

// HandedOver notes that a holder before has handed on what it knew.
func (t *Tally) HandedOver(at time.Duration) {
	t.mu.Lock()
	t.handedOverAt = at
	t.mu.Unlock()
}

func (t *Tally) allLocked() (out []Report) {
	for id, l := range t.reporters {
		if len(l.windows) == 0 && len(l.running) == 0 {
			continue
		}
		m := Report{Proxy: l.proxy, Life: id, Windows: map[uint64]Counts{}, Seq: l.seq, Running: map[uint64]Counts{}}
		for w, c := range l.running {
			m.Running[w] = c.Clone()
		}
		for w, c := range l.windows {
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
	for id, l := range t.reporters {
		for w := range l.windows {
			if w <= t.settled {
				delete(l.windows, w)
			}
		}
		for w := range l.running {
			if w <= t.settled {
				delete(l.running, w)
			}
		}
		if len(l.windows) == 0 && len(l.running) == 0 && l.closed+constants.UsageKept < t.settled {
			delete(t.reporters, id)
		}
	}
}

// Complete says whether all that may know something of a window have told it:
// those that have spoken since a moment, and the proxies named as live.
func (t *Tally) Complete(w uint64, since time.Duration, live []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := map[string]*reporter{}
	for _, l := range t.reporters {
		if o := newest[l.proxy]; o == nil || o.heardAt < l.heardAt {
			newest[l.proxy] = l
		}
	}
	for _, l := range newest {
		if l.closed < w && l.heardAt >= since {
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

// Sum adds up a window over all lives: what they have counted, and what was running as
// they last spoke, which of one that is over nobody will count any more.
func (t *Tally) Sum(w uint64) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Counts{}
	for _, l := range t.reporters {
		out.Plus(l.windows[w])
		out.Plus(l.running[w])
	}
	return out
}

// Moment is when Next is asked: by the steady clock, by the agreed time of day, and
// how long the duty has been held here.
type Moment struct {
	Steady time.Duration
	Agreed time.Time
	Held   time.Duration
}

// Next is the report that follows the window named, once all that may know of it
// have told, or when waiting longer would leave the platform too little time.
// Windows that ended longer ago than proxies keep theirs are passed over; with none
// before, the first is the one under way.
func (t *Tally) Next(m Moment, after uint64, length, delay time.Duration, live []string) (uint64, []byte, bool) {
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
	age := float64(m.Agreed.Sub(time.Unix(0, int64(w+1)*int64(length))))
	if age < float64(delay)*constants.UsageAll {
		return 0, nil, false
	}
	// Of a window that another holder gathered in, that one may know of lives that are
	// over: it, or its successor from its disk, hands on what it knew.
	t.mu.Lock()
	alone := m.Agreed.Add(-m.Held).Before(time.Unix(0, int64(w)*int64(length))) || t.handedOverAt > m.Steady-m.Held
	t.mu.Unlock()
	if !(alone && t.Complete(w, m.Steady-delay, live)) && (age < float64(delay)*constants.UsageLate || m.Held < 2*constants.UsageEvery) {
		return 0, nil, false
	}
	return w, Body(w, t.Sum(w)), true
}

// Reporters is how many lives are known.
func (t *Tally) Reporters() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.reporters)
}

// Body is a window's report as the platform wants it.
func Body(w uint64, c Counts) []byte {
	b, err := json.Marshal(struct {
		Window uint64 `json:"windowNumber"`
		Counts Counts `json:"instanceCounts"`
	}{w, c})
	if err != nil {
		panic("usage: a report cannot be written: " + err.Error())
	}
	return b
}
