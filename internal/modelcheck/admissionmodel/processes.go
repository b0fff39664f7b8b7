package admissionmodel

import (
	"slices"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/modelcheck"
)

// trackerEcho is the latest time received from a tracker, and when it arrived by the proxy's
// clock.
type trackerEcho struct {
	time admission.TrackerTime
	at   time.Duration
}

// pendingCall is a call to a tracker that has not been answered.
type pendingCall struct {
	sentAt     time.Duration
	tracker    string
	forRequest bool // sent for a waiting request, not periodically
}

// proxy is a proxy's process.
type proxy struct {
	limiter   *admission.Limiter
	startedAt time.Duration
	tracker   string // as received from control
	echo      map[string]trackerEcho
	pending   map[uint64]pendingCall
	underLoad bool // its clients exceed the quota
}

// tracker is a tracker's process.
type tracker struct {
	state *admission.Tracker
	count int // as received from control
}

func (m *Model) proxiesUp() (out []string) {
	for _, n := range proxyNames {
		if m.proxies[n] != nil {
			out = append(out, n)
		}
	}
	return out
}

func (m *Model) startProxy(n string) {
	m.lastIncarnation++
	p := &proxy{
		limiter:   admission.New(m.Slack, shards, m.lastIncarnation),
		startedAt: m.world.Now,
		echo:      map[string]trackerEcho{},
		pending:   map[uint64]pendingCall{},
	}
	p.limiter.SetQuotas(0, m.quotas())
	m.proxies[n] = p
	m.world.Start(n)
}

func (m *Model) startTracker(n string) {
	m.lastIncarnation++
	t := &tracker{count: len(m.roster)}
	t.state = admission.NewTracker(m.lastIncarnation, shards, func(reported int, q admission.Quota) bool {
		return admission.ShareTooSmall(max(reported, t.count), m.Slack, q)
	})
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
	m.stoppedAt[n] = m.world.Now
	delete(m.proxies, n)
	delete(m.trackers, n)
	if n == m.dutyHolder {
		m.vacate("")
	}
}

func (m *Model) restartLater(n string) {
	incarnation := m.world.Incarnation(n)
	m.world.After(modelcheck.RestartTime, func() {
		if m.world.Incarnation(n) == incarnation {
			m.start(n)
		}
	})
}

// clock returns a proxy's monotonic clock.
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
		m.receiveHeartbeat(e.From, x)
	case heartbeatReply:
		m.receiveHeartbeatReply(e.To, x)
	case liveCount:
		m.trackers[e.To].count = x.Count
	case grantCall:
		m.world.Send(e.To, e.From, grantReply{x.ID, m.handleGrantCall(e.To, x.Request)})
	case grantReply:
		m.receiveGrants(e.To, x)
	}
}
