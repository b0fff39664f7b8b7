// Package admissionmodel has package modelcheck drive admission: the token buckets of
// a few proxies, the trackers that lend and grant, and the live proxy count. What
// runs in any window must stay within the quota's bound, and after quiet what is
// within the quota must be served.
package admissionmodel

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/constants"
	"slateridge/internal/modelcheck"
)

// The rules, by the names under which a broken one is reported.
const (
	RuleBound   = "no window sees more than the quota and its floors"
	RulePromise = "no window of the promised length sees more than is promised"
	RuleServes  = "a pressed key is served after quiet"
)

// Fault is a defect planted in the surroundings of the machines, to see that the
// search finds it.
type Fault string

// The faults that can be planted.
const (
	NoFault         Fault = ""
	LoanOutlives    Fault = "loan"     // the tracker goes on with a loan after its proxy took it back
	TrackerAtOnce   Fault = "tracker"  // a new tracker gives as if it had tracked for long
	NewcomerAtOnce  Fault = "newcomer" // a newcomer shares before the others reckon with it
	StandbyTooEarly Fault = "standby"  // a proxy takes a lost answer for a tracker that is gone
)

// MostProxies is how many there may be, newcomers included.
const MostProxies = 4

// Config bounds a model.
type Config struct {
	Proxies   int // at the start
	Newcomers int
	Trackers  int
	Quota     admission.Quota
	Slack     float64 // absolute, of the quota: decides about floors, and so which keys trackers carry alone
	Faults    int     // most in a schedule; a repair is not one
	Step      time.Duration
	Messages  bool     // choices also before each message
	Kinds     []string // of choices; empty: all
	Without   []string
	Pressed   bool // clients press all proxies from the end of the warm time on, when buckets are full
	Warm      time.Duration
	Window    time.Duration // of the promise; the design's bound is for any
	Long      time.Duration // that the choice "long" lets pass
	Settle    time.Duration // after quiet, before the key must be served
	Planted   Fault
	Tolerance float64 // tokens beyond either bound that are let pass, to search on past what is known
}

// Small is two proxies and one to come, with split shares that serve at two and a
// key that its tracker alone carries at three.
func Small() Config {
	return Config{Proxies: 2, Newcomers: 1, Trackers: 2, Quota: admission.Quota{Rate: 20, Burst: 20}, Slack: 2.5, Faults: 3,
		Step: 500 * time.Millisecond, Warm: 4 * time.Second, Window: 5 * time.Second, Long: constants.SplitHold + time.Second, Settle: 12 * time.Second}
}

const (
	key     = "k"
	shards  = 1
	control = "c"

	// arrivals a turn under pressure make the key hot at each proxy.
	pressedArrivals = 12
	// lastPress is how long clients press at the end of a schedule, its troubles lasting.
	lastPress = 2500 * time.Millisecond
	// servedPress is how long they press after quiet, and servedPart what part of the
	// rate must be served then.
	servedPress = 4 * time.Second
	servedPart  = 0.4
	// promisedOverage is the part beyond the quota that the promise allows.
	promisedOverage = 0.1
	// vacancy is how long nobody tracks when the duty moves.
	vacancy = 300 * time.Millisecond
	// powerVacancy is how much longer it is vacant after all processes were stopped.
	powerVacancy = 2 * time.Second
	// longAgo is beyond the longest time that anybody here waits for anything.
	longAgo = constants.ProxyForget + 2*time.Second
	// grain is the part of a token, or of a rate, that states are not told apart by.
	grain = 0.01
)

var (
	proxyNames   = []string{"p", "q", "r", "s"}
	trackerNames = []string{"t", "u", "v"}
)

// Messages between the model's processes.
type (
	question struct {
		ID  uint64
		Ask admission.GrantRequest
	}
	answer struct {
		ID    uint64
		Given admission.Grants
	}
	// heartbeat is a proxy's word to control, news the answer.
	heartbeat struct {
		Sent  time.Duration // by the proxy's clock
		Count int           // the live count it reckons with
	}
	news struct {
		Heard   time.Duration // Sent of the heartbeat that it answers
		Count   int           // the live count; 0 to one that may not share yet
		Tracker string
	}
	// rosterSize tells a tracker the live count.
	rosterSize struct{ Count int }
)

// trackerEcho is a tracker's latest time, and when it came, by the proxy's clock.
type trackerEcho struct {
	time admission.TrackerTime
	at   time.Duration
}

// openQuestion waits for its answer.
type openQuestion struct {
	asked   time.Duration
	tracker string
	request bool // asked for a request that waits, not in the regular turn
}

// proxy is one proxy's process.
type proxy struct {
	limiter   *admission.Limiter
	startedAt time.Duration
	tracker   string // as control told
	echo      map[string]trackerEcho
	open      map[uint64]openQuestion
	pressed   bool // its clients send more than the quota
}

// tracker is one tracker's process.
type tracker struct {
	state *admission.Tracker
	count int // as control told
}

// rosterEntry is what control knows of a proxy.
type rosterEntry struct {
	at     time.Duration
	count  int
	shares bool
}

// Model is admission as package modelcheck drives it.
type Model struct {
	Config
	world  *modelcheck.World
	grid   time.Duration
	err    error
	faults int
	came   int
	lives  uint64
	ids    uint64

	stopped  map[string]time.Duration // when a process that is down ended
	proxies  map[string]*proxy
	trackers map[string]*tracker
	roster   map[string]*rosterEntry
	started  bool // the first proxies share

	holder string // of the tracker's duty; empty while it moves
	since  time.Duration
	ended  time.Duration // when the duty was last given up
	next   string        // who takes it, if it is up

	bound  allowance
	recent []time.Duration // when requests ran within the last Window
	served int
}

// New makes one.
func New(c Config) *Model { return &Model{Config: c} }

func (m *Model) Reset() {
	m.world = modelcheck.NewWorld(constants.GrantEvery, m.tick, m.recv)
	m.grid, m.err, m.faults, m.came, m.lives, m.ids, m.served = m.Warm, nil, 0, 0, 0, 0, 0
	m.stopped = map[string]time.Duration{}
	m.proxies, m.trackers, m.roster = map[string]*proxy{}, map[string]*tracker{}, map[string]*rosterEntry{}
	m.holder, m.since, m.ended, m.next, m.started = "", 0, -vacancy, trackerNames[0], false
	m.bound = newAllowance(m.Quota.Rate, m.Quota.Burst+m.extra())
	m.recent = nil
	m.world.Start(control)
	for _, n := range trackerNames[:m.Trackers] {
		m.startTracker(n)
	}
	for _, n := range proxyNames[:m.Proxies] {
		m.startProxy(n)
	}
	m.world.Run(m.Warm, nil, m.healthy)
	m.pressAll(m.Pressed)
	m.world.Trouble = 0
}

// extra is what docs/design.md allows beyond the burst: what floors add to split
// shares that hold less, and tokens that a tracker gave to waiting requests within
// their short life.
func (m *Model) extra() float64 {
	floors := 0.0
	for n := 1; n <= m.Proxies+m.Newcomers; n++ {
		kept := constants.SplitPart * m.Quota.Burst / float64(n) * (1 - constants.LendMost)
		floors = max(floors, float64(n)*(admission.SplitFloor(n, m.Slack)-kept))
	}
	return floors + m.Quota.Rate*constants.OneOffLife.Seconds() + m.Tolerance
}

// promised is the most that may run in a window of the promise.
func (m *Model) promised() float64 {
	return (m.Quota.Rate*m.Window.Seconds()+m.Quota.Burst)*(1+promisedOverage) + m.Slack
}

func (m *Model) healthy() bool { return m.err == nil }

func (m *Model) broken(rule, f string, a ...any) {
	if m.err == nil {
		m.err = modelcheck.Broken(rule, "at %v: %s", m.world.Now, fmt.Sprintf(f, a...))
	}
}

func (m *Model) Check() error { return m.err }

func (m *Model) quotas() map[string]admission.Quota { return map[string]admission.Quota{key: m.Quota} }

// allowance is a bucket that holds what may run: it is overdrawn if and only if some
// window saw more than its rate over the window and its depth.
type allowance struct {
	rate, depth, left float64
	at                time.Duration
}

func newAllowance(rate, depth float64) allowance {
	return allowance{rate: rate, depth: depth, left: depth}
}

// take notes one request that runs, and says whether it was within what is allowed.
func (a *allowance) take(now time.Duration) bool {
	a.left = min(a.depth, a.left+a.rate*(now-a.at).Seconds()) - 1
	a.at = now
	return a.left >= -1e-6
}

// ran notes a request that a proxy let through.
func (m *Model) ran(n string) {
	m.served++
	if !m.bound.take(m.world.Now) {
		m.broken(RuleBound, "%s lets a request through that is %.2f beyond %v a second and %v at once: %s", n, -m.bound.left, m.bound.rate, m.bound.depth, m.describe())
	}
	m.recent = append(m.recent, m.world.Now)
	m.forgetOld()
	if most := m.promised() + m.Tolerance; float64(len(m.recent)) > most {
		m.broken(RulePromise, "%d requests ran in %v, %.1f are promised at most: %s", len(m.recent), m.Window, most, m.describe())
	}
}

// forgetOld drops requests that ran before the promise's window that ends now.
func (m *Model) forgetOld() {
	for len(m.recent) > 0 && m.world.Now-m.recent[0] > m.Window {
		m.recent = m.recent[1:]
	}
}

// describe tells what each proxy has.
func (m *Model) describe() string {
	var out []string
	for _, n := range m.proxiesUp() {
		p := m.proxies[n]
		for _, r := range p.limiter.Reports(m.clock(n)) {
			out = append(out, fmt.Sprintf("%s reckons with %d, split %.2f and grant %.2f a second, balance %.2f", n, p.limiter.Proxies(), r.SplitRate, r.GrantRate, r.Balance))
		}
	}
	return strings.Join(out, "; ")
}

func (m *Model) proxiesUp() (out []string) {
	for _, n := range proxyNames {
		if m.proxies[n] != nil {
			out = append(out, n)
		}
	}
	return out
}

// ---- processes

func (m *Model) startProxy(n string) {
	m.lives++
	p := &proxy{limiter: admission.New(m.Slack, shards, m.lives), startedAt: m.world.Now, echo: map[string]trackerEcho{}, open: map[uint64]openQuestion{}}
	p.limiter.SetQuotas(0, m.quotas())
	m.proxies[n] = p
	m.world.Start(n)
}

func (m *Model) startTracker(n string) {
	m.lives++
	t := &tracker{count: len(m.roster)}
	t.state = admission.NewTracker(m.lives, shards, func(told int, q admission.Quota) bool { return admission.Tiny(max(told, t.count), m.Slack, q) })
	t.state.SetQuotas(m.world.Now, m.quotas())
	m.trackers[n] = t
	m.world.Start(n)
}

func (m *Model) start(n string) {
	if slices.Contains(trackerNames, n) {
		m.startTracker(n)
	} else {
		m.startProxy(n)
	}
}

func (m *Model) stop(n string) {
	m.world.Stop(n)
	m.stopped[n] = m.world.Now
	delete(m.proxies, n)
	delete(m.trackers, n)
	if n == m.holder {
		m.vacate("")
	}
}

func (m *Model) back(n string) {
	life := m.world.Life(n)
	m.world.After(modelcheck.Stall, func() {
		if m.world.Life(n) == life {
			m.start(n)
		}
	})
}

// vacate ends the tracker's duty where it is; another takes it a little later.
func (m *Model) vacate(next string) { m.holder, m.ended, m.next = "", m.world.Now, next }

// appoint gives the vacant duty to the one that was named, or to any that is up.
func (m *Model) appoint() {
	if m.holder != "" || m.world.Now-m.ended < vacancy {
		return
	}
	for _, n := range append([]string{m.next}, trackerNames[:m.Trackers]...) {
		if m.trackers[n] != nil && !m.world.Frozen(n) {
			m.holder, m.since = n, m.world.Now
			return
		}
	}
}

// clock is a proxy's steady clock.
func (m *Model) clock(n string) time.Duration { return m.world.Now - m.proxies[n].startedAt }

func (m *Model) tick(n string) {
	switch {
	case n == control:
		m.controlTick()
	case m.proxies[n] != nil:
		m.proxyTick(n)
	}
}

func (m *Model) recv(e *modelcheck.Event) {
	switch x := e.Msg.(type) {
	case heartbeat:
		m.takeHeartbeat(e.From, x)
	case news:
		m.takeNews(e.To, x)
	case rosterSize:
		m.trackers[e.To].count = x.Count
	case question:
		m.world.Send(e.To, e.From, answer{x.ID, m.ask(e.To, x.Ask)})
	case answer:
		m.takeAnswer(e.To, x)
	}
}

// ---- control

// controlTick forgets silent proxies, tells trackers the live count and fills the duty.
func (m *Model) controlTick() {
	for n, e := range m.roster {
		if m.world.Now-e.at > constants.ProxyForget {
			delete(m.roster, n)
		}
	}
	m.admitNewcomers()
	m.appoint()
	for _, n := range trackerNames[:m.Trackers] {
		m.world.Send(control, n, rosterSize{len(m.roster)})
	}
}

// admitNewcomers lets newcomers share once all that do reckon with them, as control
// machines do.
func (m *Model) admitNewcomers() {
	if !m.started && len(m.roster) < m.Proxies {
		return
	}
	for _, e := range m.roster {
		if m.started && e.shares && e.count < len(m.roster) && m.Planted != NewcomerAtOnce {
			return
		}
	}
	m.started = true
	for _, e := range m.roster {
		e.shares = true
	}
}

func (m *Model) takeHeartbeat(n string, h heartbeat) {
	e := m.roster[n]
	if e == nil {
		e = &rosterEntry{}
		m.roster[n] = e
	}
	e.at, e.count = m.world.Now, h.Count
	m.admitNewcomers()
	out := news{Heard: h.Sent, Tracker: m.holder}
	if e.shares {
		out.Count = len(m.roster)
	}
	m.world.Send(control, n, out)
}

// ---- a proxy, as its daemon drives admission

func (m *Model) proxyTick(n string) {
	p := m.proxies[n]
	m.world.Send(n, control, heartbeat{m.clock(n), p.limiter.Settled(m.clock(n))})
	m.renew(n)
	if p.pressed {
		m.press(n, pressedArrivals)
	}
}

func (m *Model) takeNews(n string, x news) {
	p := m.proxies[n]
	if m.clock(n)-x.Heard > constants.SubscriptionSilence {
		return // long under way: no longer believed
	}
	p.tracker = x.Tracker
	if x.Count > 0 {
		p.limiter.SetProxies(m.clock(n), x.Count)
	}
}

// renew tells the tracker what is lent and wanted.
func (m *Model) renew(n string) {
	p := m.proxies[n]
	now := m.clock(n)
	echo, heard := p.echo[p.tracker]
	wants := p.limiter.Wants(now, func(string) (time.Duration, uint64, bool) { return echo.at, echo.time.Life, heard })
	if p.tracker == "" || len(wants) == 0 && now-echo.at <= constants.ContactEvery {
		return
	}
	m.askTracker(n, wants, false)
}

// askTracker sends a question; its answer is waited for as long as the daemon waits.
func (m *Model) askTracker(n string, wants []admission.Want, request bool) {
	p := m.proxies[n]
	echo := p.echo[p.tracker].time
	if m.Planted == LoanOutlives && echo.Life > 0 {
		echo.At += 2 * constants.LendLength
	}
	m.ids++
	id, life, wait := m.ids, m.world.Life(n), constants.CallTimeout
	if request {
		wait = constants.GrantWait
	}
	p.open[id] = openQuestion{m.clock(n), p.tracker, request}
	m.world.Send(n, p.tracker, question{id, admission.GrantRequest{Proxy: n, Wants: wants, Echo: echo, Proxies: p.limiter.Proxies(), Life: p.limiter.Life(), Sent: m.clock(n)}})
	m.world.After(wait, func() {
		m.world.Act(n, func() {
			if m.world.Life(n) == life {
				m.unanswered(n, id)
			}
		})
	})
}

// unanswered gives a question up.
func (m *Model) unanswered(n string, id uint64) {
	p := m.proxies[n]
	q, ok := p.open[id]
	if !ok {
		return
	}
	delete(p.open, id)
	if m.trackers[q.tracker] == nil || m.Planted == StandbyTooEarly {
		p.limiter.TrackerDown(0) // nobody listens there
	}
	if q.request {
		p.limiter.Unanswered(m.clock(n), key)
	} else {
		p.limiter.ReportAgain(0)
	}
}

func (m *Model) takeAnswer(n string, a answer) {
	p := m.proxies[n]
	q, ok := p.open[a.ID]
	if !ok {
		return // given up
	}
	delete(p.open, a.ID)
	now := m.clock(n)
	if a.Given.Refused {
		if q.request {
			p.limiter.Unanswered(now, key)
		}
		return
	}
	m.hear(n, q.tracker, a.Given.Stamp)
	for _, g := range a.Given.Given {
		p.limiter.Take(now, q.asked, g)
	}
	if a.Given.Retell {
		p.limiter.ReportAgain(0)
	}
	if q.request {
		m.press(n, 1)
	}
}

// hear notes a tracker's time.
func (m *Model) hear(n, from string, s admission.TrackerTime) {
	p := m.proxies[n]
	was := p.echo[from].time
	if was.Life != s.Life || was.At < s.At {
		p.echo[from] = trackerEcho{s, m.clock(n)}
	}
	if was.Life != s.Life || was.Begun < s.Begun {
		p.limiter.ReportAgain(0)
	}
	p.limiter.TrackerAnswered(m.clock(n), 0)
}

// press has so many clients more send requests, and goes on as long as they are let
// through.
func (m *Model) press(n string, arrivals int) {
	p := m.proxies[n]
	for sent := 0; m.err == nil; sent++ {
		v := p.limiter.Admit(m.clock(n), key, false)
		if v.OK {
			m.ran(n)
		} else if v.Ask && p.tracker != "" && !p.waits() {
			m.askTracker(n, []admission.Want{p.limiter.Need(m.clock(n), key)}, true)
		} else if sent >= arrivals {
			return
		}
	}
}

// waits says whether a request waits for the tracker.
func (p *proxy) waits() bool {
	for _, q := range p.open {
		if q.request {
			return true
		}
	}
	return false
}

// ---- a tracker

func (m *Model) ask(n string, a admission.GrantRequest) admission.Grants {
	return m.trackers[n].state.Ask(m.world.Now, a, func(int) (time.Duration, bool) {
		since := m.since
		if m.Planted == TrackerAtOnce {
			since -= 2 * constants.GrantLong
		}
		return since, m.holder == n
	})
}
