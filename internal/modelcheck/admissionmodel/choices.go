package admissionmodel

import (
	"maps"
	"slices"
	"strings"

	"slateridge/internal/constants"
	"slateridge/internal/modelcheck"
)

// faultKinds are the kinds that count as faults. The other kinds are repairs or client load.
var faultKinds = []string{"isolate", "mute", "deafen", "part", "freeze", "lose", "late", "restart", "stop", "go", "duty", "power"}

// ChoiceKinds lists all kinds of choices.
var ChoiceKinds = append(slices.Clone(faultKinds), "join", "thaw", "start", "come", "long", "press", "rest")

// Choices implements modelcheck.Model.
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

// mayStart reports whether a stopped process has been down long enough to start.
func (m *Model) mayStart(n string) bool { return m.world.Now-m.stoppedAt[n] >= modelcheck.RestartTime }

// proxyChoices adds the choices that affect a proxy and its network paths.
func (m *Model) proxyChoices(n string, add func(...string)) {
	if !slices.Contains(m.world.Names, n) {
		return // not started yet, or removed permanently
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

// Apply implements modelcheck.Model.
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

// skippedFields are numbers that only increase, and counters that do not affect behavior.
var skippedFields = []string{"keyState.count", "keyState.wholeQuota", "Tracker.Requests", "Tracker.Granted", "Tracker.Exhausted", "Tracker.contactScan", "pool.contactScan", "grantCall.ID", "grantReply.ID", "World.seq"}

// Hash implements modelcheck.Model.
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

// CheckLiveness implements modelcheck.Model. Clients first spend all available tokens and keep
// exceeding the quota while the faults last. Then the faults end, and the key must be served
// under load.
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
		m.world.Run(m.world.Now+constants.ProxyExpiry, nil, m.healthy)
	}
	before := m.served
	m.setLoad(true)
	m.world.Run(m.world.Now+serviceLoadTime, nil, m.healthy)
	got, want := float64(m.served-before), minServedShare*m.Quota.Rate*serviceLoadTime.Seconds()
	if m.err == nil && got < want && len(m.proxiesUp()) > 0 {
		m.fail(RuleServes, "%.0f requests were served in %v, starting %v after faults ended, want at least %.0f: %s", got, serviceLoadTime, m.SettleTime, want, m.describe())
	}
	return m.err
}

// newcomersBlocked reports whether control delays the admission of newcomers because of a proxy
// that is gone and has not been forgotten.
func (m *Model) newcomersBlocked() bool {
	blocked, waiting := false, false
	for n, e := range m.roster {
		blocked = blocked || m.proxies[n] == nil
		waiting = waiting || !e.admitted
	}
	return blocked && waiting
}

// setLoad starts or stops load beyond the quota at all proxies. A start sends requests
// immediately.
func (m *Model) setLoad(on bool) {
	for _, n := range m.proxiesUp() {
		m.proxies[n].underLoad = on
		if on && !m.world.Frozen(n) {
			m.sendRequests(n, loadedArrivals)
		}
	}
}
