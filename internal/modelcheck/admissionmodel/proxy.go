package admissionmodel

import (
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/constants"
)

func (m *Model) proxyTick(n string) {
	p := m.proxies[n]
	m.world.Send(n, control, heartbeat{m.clock(n), p.limiter.SettledProxies(m.clock(n))})
	m.renew(n)
	if p.underLoad {
		m.sendRequests(n, loadedArrivals)
	}
}

func (m *Model) receiveHeartbeatReply(n string, x heartbeatReply) {
	p := m.proxies[n]
	if m.clock(n)-x.HeartbeatSent > constants.SubscriptionTimeout {
		return // too old to be valid
	}
	p.tracker = x.Tracker
	if x.Count > 0 {
		p.limiter.SetProxies(m.clock(n), x.Count)
	}
}

// renew reports to the tracker the loans and demands of the proxy.
func (m *Model) renew(n string) {
	p := m.proxies[n]
	now := m.clock(n)
	echo, known := p.echo[p.tracker]
	wants := p.limiter.BuildReports(now, func(string) (time.Duration, uint64, bool) { return echo.at, echo.time.Life, known })
	if p.tracker == "" || len(wants) == 0 && now-echo.at <= constants.ContactInterval {
		return
	}
	m.callTracker(n, wants, false)
}

// callTracker sends a call to the tracker, with the same timeout as in the daemon.
func (m *Model) callTracker(n string, wants []admission.KeyRequest, request bool) {
	p := m.proxies[n]
	echo := p.echo[p.tracker].time
	if m.InjectedFault == KeepReturnedLoan && echo.Life > 0 {
		echo.At += 2 * constants.LoanDuration
	}
	m.lastCallID++
	id, incarnation, wait := m.lastCallID, m.world.Incarnation(n), constants.CallTimeout
	if request {
		wait = constants.MinTrackerTimeout
	}
	p.pending[id] = pendingCall{m.clock(n), p.tracker, request}
	m.world.Send(n, p.tracker, grantCall{id, admission.GrantRequest{Proxy: n, Wants: wants, Echo: echo, Proxies: p.limiter.Proxies(), Life: p.limiter.Incarnation(), Sent: m.clock(n)}})
	m.world.After(wait, func() {
		m.world.RunOn(n, func() {
			if m.world.Incarnation(n) == incarnation {
				m.timeOut(n, id)
			}
		})
	})
}

// timeOut ends a call that was not answered in time.
func (m *Model) timeOut(n string, id uint64) {
	p := m.proxies[n]
	q, ok := p.pending[id]
	if !ok {
		return
	}
	delete(p.pending, id)
	if m.trackers[q.tracker] == nil || m.InjectedFault == StandbyOnTimeout {
		p.limiter.MarkTrackerDown(0) // connection refused: no process is listening
	}
	if q.forRequest {
		p.limiter.MarkUnanswered(m.clock(n), key)
	} else {
		p.limiter.RequestFullReport(0)
	}
}

func (m *Model) receiveGrants(n string, a grantReply) {
	p := m.proxies[n]
	q, ok := p.pending[a.ID]
	if !ok {
		return // timed out
	}
	delete(p.pending, a.ID)
	now := m.clock(n)
	if a.Grants.Refused {
		if q.forRequest {
			p.limiter.MarkUnanswered(now, key)
		}
		return
	}
	m.recordTrackerTime(n, q.tracker, a.Grants.Stamp)
	for _, g := range a.Grants.Given {
		p.limiter.ApplyGrant(now, q.sentAt, g)
	}
	if a.Grants.Retell {
		p.limiter.RequestFullReport(0)
	}
	if q.forRequest {
		m.sendRequests(n, 1)
	}
}

// recordTrackerTime records a tracker's time from an answer.
func (m *Model) recordTrackerTime(n, from string, s admission.TrackerTime) {
	p := m.proxies[n]
	previous := p.echo[from].time
	if previous.Life != s.Life || previous.At < s.At {
		p.echo[from] = trackerEcho{s, m.clock(n)}
	}
	if previous.Life != s.Life || previous.Begun < s.Begun {
		p.limiter.RequestFullReport(0)
	}
	p.limiter.MarkTrackerAnswered(m.clock(n), 0)
}

// sendRequests sends at least the given number of requests, and continues until one is refused.
func (m *Model) sendRequests(n string, arrivals int) {
	p := m.proxies[n]
	for sent := 0; m.err == nil; sent++ {
		v := p.limiter.Admit(m.clock(n), key, false)
		if v.OK {
			m.recordRun(n)
		} else if v.AskTracker && p.tracker != "" && !p.hasWaitingRequest() {
			m.callTracker(n, []admission.KeyRequest{p.limiter.TokenRequest(m.clock(n), key)}, true)
		} else if sent >= arrivals {
			return
		}
	}
}

// hasWaitingRequest reports whether a request is waiting for the tracker.
func (p *proxy) hasWaitingRequest() bool {
	for _, q := range p.pending {
		if q.forRequest {
			return true
		}
	}
	return false
}

func (m *Model) handleGrantCall(n string, a admission.GrantRequest) admission.Grants {
	return m.trackers[n].state.HandleRequest(m.world.Now, a, func(int) (time.Duration, bool) {
		since := m.heldSince
		if m.InjectedFault == TrackerWithoutWarmup {
			since -= 2 * constants.LongGrantDuration
		}
		return since, m.dutyHolder == n
	})
}
