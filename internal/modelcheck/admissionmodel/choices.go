package admissionmodel

import (
	"maps"
	"slices"
	"strings"

	"slateridge/internal/constants"
	"slateridge/internal/modelcheck"
)

// faultKinds count as faults; the others repair, or are work.
var faultKinds = []string{"isolate", "mute", "deafen", "part", "freeze", "lose", "late", "restart", "stop", "go", "duty", "power"}

// ChoiceKinds names all kinds of choices.
var ChoiceKinds = append(slices.Clone(faultKinds), "join", "thaw", "start", "come", "long", "press", "rest")

// Choices lists what may happen next, the default first, as package modelcheck asks.
func (m *Model) Choices() []string {
	choices := modelcheck.NewChoices(m.Kinds, m.Without)
	if m.faults >= m.Faults {
		choices.LeaveOut(faultKinds)
	}
	add := choices.Add
	if m.Messages && m.world.Head() != nil {
		add("lose", "late")
	}
	add("press all")
	for _, n := range proxyNames[:m.Proxies+m.Newcomers] {
		m.proxyChoices(n, add)
	}
	if m.came < m.Newcomers {
		add("come " + proxyNames[m.Proxies+m.came])
	}
	for _, n := range trackerNames[:m.Trackers] {
		if !m.world.Up(n) {
			if m.mayStart(n) {
				add("start " + n)
			}
			continue
		}
		add("restart "+n, "stop "+n)
		if n != m.holder && m.holder != "" {
			add("duty " + n)
		}
	}
	for _, w := range m.world.Freezes() {
		if w != "freeze "+control {
			add(w)
		}
	}
	if m.world.Parted() {
		add("join")
	}
	add("power", "long")
	return choices.List
}

// mayStart says whether a stopped process may start: a start takes its time.
func (m *Model) mayStart(n string) bool { return m.world.Now-m.stopped[n] >= modelcheck.Stall }

// proxyChoices lists what may happen to a proxy and its paths.
func (m *Model) proxyChoices(n string, add func(...string)) {
	if !slices.Contains(m.world.Names, n) {
		return // not come yet, or gone for good
	}
	if m.proxies[n] == nil {
		if m.mayStart(n) {
			add("start " + n)
		}
		return
	}
	if m.proxies[n].pressed {
		add("rest " + n)
	} else {
		add("press " + n)
	}
	add("restart "+n, "stop "+n, "go "+n, "isolate "+n, "mute "+n, "deafen "+n, "part "+control+"|"+n)
	if m.holder != "" {
		add("part " + n + "|" + m.holder)
	}
}

// Apply has one of the choices happen, as package modelcheck asks.
func (m *Model) Apply(n int) {
	if n == 0 {
		m.grid = m.world.RunDefault(m.grid, m.Step, func(*modelcheck.Event) bool { return m.Messages }, m.healthy)
		return
	}
	choice := m.Choices()[n]
	f := strings.Fields(choice)
	if slices.Contains(faultKinds, f[0]) {
		m.faults++
	}
	if m.world.Do(choice) {
		return
	}
	switch f[0] {
	case "press", "rest":
		for _, n := range m.proxiesUp() {
			if f[1] == n || f[1] == "all" {
				m.proxies[n].pressed = f[0] == "press"
			}
		}
	case "restart":
		m.stop(f[1])
		m.back(f[1])
	case "stop":
		m.stop(f[1])
	case "start":
		m.start(f[1])
	case "go":
		m.stop(f[1])
		m.world.Leave(f[1])
	case "come":
		m.came++
		m.startProxy(f[1])
	case "duty":
		m.vacate(f[1])
	case "power":
		for _, n := range m.world.Names {
			if n != control {
				m.stop(n)
				m.back(n)
			}
		}
		m.vacate("")
		m.ended += powerVacancy
	case "long":
		m.world.Run(m.world.Now+m.Long, nil, m.healthy)
		m.grid = max(m.grid, m.world.Now)
	}
}

// skip are numbers that only rise, and counts that decide nothing.
var skip = []string{"keyState.count", "keyState.wholeQuota", "Tracker.Requests", "Tracker.Granted", "Tracker.Exhausted", "Tracker.contactScan", "pool.contactScan", "question.ID", "answer.ID", "World.seq"}

// Hash distinguishes states, as package modelcheck asks.
func (m *Model) Hash() uint64 {
	m.forgetOld()
	a := modelcheck.Abstraction{LongAgo: longAgo, Skip: skip, Grain: grain}
	parts := []any{m.world.Hash(a), m.stopped, m.grid, m.faults, m.came, m.roster, m.started, m.holder, m.since, m.ended, m.next, m.bound, m.recent}
	for _, n := range m.proxiesUp() {
		p := m.proxies[n]
		var open []openQuestion
		for _, id := range slices.Sorted(maps.Keys(p.open)) {
			open = append(open, p.open[id])
		}
		parts = append(parts, n, a.Digest(m.clock(n), p.limiter, p.echo, p.tracker, p.pressed, open))
	}
	for _, n := range trackerNames[:m.Trackers] {
		if t := m.trackers[n]; t != nil {
			parts = append(parts, n, t.count, t.state)
		}
	}
	return a.Digest(m.world.Now, parts...)
}

// Quiet has all clients spend what there is, and press on while the troubles last;
// then it ends the troubles, and the pressed key must be served.
func (m *Model) Quiet() error {
	m.pressAll(true)
	m.world.Run(m.world.Now+lastPress, nil, m.healthy)
	m.pressAll(false)
	m.world.Heal()
	for _, n := range m.world.Names {
		if !m.world.Up(n) {
			m.start(n)
		}
	}
	m.world.Run(m.world.Now+m.Settle, nil, m.healthy)
	if m.waitsForTheGone() {
		m.world.Run(m.world.Now+constants.ProxyExpiry, nil, m.healthy)
	}
	before := m.served
	m.pressAll(true)
	m.world.Run(m.world.Now+servedPress, nil, m.healthy)
	got, want := float64(m.served-before), servedPart*m.Quota.Rate*servedPress.Seconds()
	if m.err == nil && got < want && len(m.proxiesUp()) > 0 {
		m.broken(RuleServes, "%.0f served in %v after %v of quiet, at least %.0f of what is pressed for should be: %s", got, servedPress, m.Settle, want, m.describe())
	}
	return m.err
}

// waitsForTheGone says whether control holds newcomers up for a proxy that is gone
// and not yet forgotten.
func (m *Model) waitsForTheGone() bool {
	holdsUp, waiting := false, false
	for n, e := range m.roster {
		holdsUp = holdsUp || m.proxies[n] == nil
		waiting = waiting || !e.shares
	}
	return holdsUp && waiting
}

// pressAll has the clients of all proxies press, at once, or rest.
func (m *Model) pressAll(press bool) {
	for _, n := range m.proxiesUp() {
		m.proxies[n].pressed = press
		if press && !m.world.Frozen(n) {
			m.press(n, pressedArrivals)
		}
	}
}
