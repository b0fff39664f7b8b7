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
		choices.Exclude(faultKinds)
	}
	add := choices.Add
	if m.Messages && m.world.NextMessage() != nil {
		add("lose", "late")
	}
	add("press all")
	for _, n := range proxyNames[:m.Proxies+m.Newcomers] {
		m.proxyChoices(n, add)
	}
	if m.joined < m.Newcomers {
		add("come " + proxyNames[m.Proxies+m.joined])
	}
	for _, n := range trackerNames[:m.Trackers] {
		if !m.world.Up(n) {
			if m.mayStart(n) {
				add("start " + n)
			}
			continue
		}
		add("restart "+n, "stop "+n)
		if n != m.dutyHolder && m.dutyHolder != "" {
			add("duty " + n)
		}
	}
	for _, w := range m.world.FreezeChoices() {
		if w != "freeze "+control {
			add(w)
		}
	}
	if m.world.Partitioned() {
		add("join")
	}
	add("power", "long")
	return choices.List
}

// mayStart says whether a stopped process may start: a start takes its time.
func (m *Model) mayStart(n string) bool { return m.world.Now-m.stoppedAt[n] >= modelcheck.RestartTime }

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
	if m.proxies[n].underLoad {
		add("rest " + n)
	} else {
		add("press " + n)
	}
	add("restart "+n, "stop "+n, "go "+n, "isolate "+n, "mute "+n, "deafen "+n, "part "+control+"|"+n)
	if m.dutyHolder != "" {
		add("part " + n + "|" + m.dutyHolder)
	}
}

// Apply has one of the choices happen, as package modelcheck asks.
func (m *Model) Apply(n int) {
	if n == 0 {
		m.nextChoiceAt = m.world.RunDefault(m.nextChoiceAt, m.Step, func(*modelcheck.Event) bool { return m.Messages }, m.healthy)
		return
	}
	choice := m.Choices()[n]
	f := strings.Fields(choice)
	if slices.Contains(faultKinds, f[0]) {
		m.faults++
	}
	if m.world.ApplyChoice(choice) {
		return
	}
	switch f[0] {
	case "press", "rest":
		for _, n := range m.proxiesUp() {
			if f[1] == n || f[1] == "all" {
				m.proxies[n].underLoad = f[0] == "press"
			}
		}
	case "restart":
		m.stop(f[1])
		m.restartLater(f[1])
	case "stop":
		m.stop(f[1])
	case "start":
		m.start(f[1])
	case "go":
		m.stop(f[1])
		m.world.Leave(f[1])
	case "come":
		m.joined++
		m.startProxy(f[1])
	case "duty":
		m.vacate(f[1])
	case "power":
		for _, n := range m.world.Names {
			if n != control {
				m.stop(n)
				m.restartLater(n)
			}
		}
		m.vacate("")
		m.vacantSince += powerLossVacancy
	case "long":
		m.world.Run(m.world.Now+m.LongWait, nil, m.healthy)
		m.nextChoiceAt = max(m.nextChoiceAt, m.world.Now)
	}
}

// skip are numbers that only rise, and counts that decide nothing.
var skippedFields = []string{"keyState.count", "keyState.wholeQuota", "Tracker.Requests", "Tracker.Granted", "Tracker.Exhausted", "Tracker.contactScan", "pool.contactScan", "grantCall.ID", "grantReply.ID", "World.seq"}

// Hash distinguishes states, as package modelcheck asks.
func (m *Model) Hash() uint64 {
	m.dropOldRuns()
	a := modelcheck.Abstraction{MaxAge: maxAge, SkipFields: skippedFields, Resolution: floatResolution}
	parts := []any{m.world.Hash(a), m.stoppedAt, m.nextChoiceAt, m.faults, m.joined, m.roster, m.started, m.dutyHolder, m.heldSince, m.vacantSince, m.nextHolder, m.bound, m.recentRuns}
	for _, n := range m.proxiesUp() {
		p := m.proxies[n]
		var pending []pendingCall
		for _, id := range slices.Sorted(maps.Keys(p.pending)) {
			pending = append(pending, p.pending[id])
		}
		parts = append(parts, n, a.Digest(m.clock(n), p.limiter, p.echo, p.tracker, p.underLoad, pending))
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
func (m *Model) CheckLiveness() error {
	m.setLoad(true)
	m.world.Run(m.world.Now+finalLoadTime, nil, m.healthy)
	m.setLoad(false)
	m.world.Heal()
	for _, n := range m.world.Names {
		if !m.world.Up(n) {
			m.start(n)
		}
	}
	m.world.Run(m.world.Now+m.SettleTime, nil, m.healthy)
	if m.newcomersBlocked() {
		m.world.Run(m.world.Now+constants.ProxyForget, nil, m.healthy)
	}
	before := m.served
	m.setLoad(true)
	m.world.Run(m.world.Now+serviceLoadTime, nil, m.healthy)
	got, want := float64(m.served-before), minServedShare*m.Quota.Rate*serviceLoadTime.Seconds()
	if m.err == nil && got < want && len(m.proxiesUp()) > 0 {
		m.fail(RuleServes, "%.0f served in %v after %v of quiet, at least %.0f of what is pressed for should be: %s", got, serviceLoadTime, m.SettleTime, want, m.describe())
	}
	return m.err
}

// waitsForTheGone says whether control holds newcomers up for a proxy that is gone
// and not yet forgotten.
func (m *Model) newcomersBlocked() bool {
	blocked, waiting := false, false
	for n, e := range m.roster {
		blocked = blocked || m.proxies[n] == nil
		waiting = waiting || !e.admitted
	}
	return blocked && waiting
}

// pressAll has the clients of all proxies press, at once, or rest.
func (m *Model) setLoad(press bool) {
	for _, n := range m.proxiesUp() {
		m.proxies[n].underLoad = press
		if press && !m.world.Frozen(n) {
			m.sendRequests(n, loadedArrivals)
		}
	}
}
