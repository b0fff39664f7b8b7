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
	if p.pressed {
		m.press(n, pressedArrivals)
	}
}

func (m *Model) takeNews(n string, x news) {
	p := m.proxies[n]
	if m.clock(n)-x.Heard > constants.SubscriptionTimeout {
		return // long under way: no longer believed
	}
	p.tracker = x.Tracker
	if x.Count > 0 {
		p.limiter.SetProxies(m.clock(n), x.Count)
	}
}

// renew reports to the tracker what is lent and wanted.
func (m *Model) renew(n string) {
	p := m.proxies[n]
	now := m.clock(n)
	echo, heard := p.echo[p.tracker]
	wants := p.limiter.BuildReports(now, func(string) (time.Duration, uint64, bool) { return echo.at, echo.time.Life, heard })
	if p.tracker == "" || len(wants) == 0 && now-echo.at <= constants.ContactInterval {
		return
	}
	m.askTracker(n, wants, false)
}

// askTracker sends a question; its answer is waited for as long as the daemon waits.
func (m *Model) askTracker(n string, wants []admission.KeyRequest, request bool) {
	p := m.proxies[n]
	echo := p.echo[p.tracker].time
	if m.Planted == LoanOutlives && echo.Life > 0 {
		echo.At += 2 * constants.LoanDuration
	}
	m.ids++
	id, life, wait := m.ids, m.world.Life(n), constants.CallTimeout
	if request {
		wait = constants.MinTrackerTimeout
	}
	p.open[id] = openQuestion{m.clock(n), p.tracker, request}
	m.world.Send(n, p.tracker, question{id, admission.GrantRequest{Proxy: n, Wants: wants, Echo: echo, Proxies: p.limiter.Proxies(), Life: p.limiter.Incarnation(), Sent: m.clock(n)}})
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
		p.limiter.MarkTrackerDown(0) // nobody listens there
	}
	if q.request {
		p.limiter.MarkUnanswered(m.clock(n), key)
	} else {
		p.limiter.RequestFullReport(0)
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
			p.limiter.MarkUnanswered(now, key)
		}
		return
	}
	m.hear(n, q.tracker, a.Given.Stamp)
	for _, g := range a.Given.Given {
		p.limiter.ApplyGrant(now, q.asked, g)
	}
	if a.Given.Retell {
		p.limiter.RequestFullReport(0)
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
		p.limiter.RequestFullReport(0)
	}
	p.limiter.MarkTrackerAnswered(m.clock(n), 0)
}

// press has so many clients more send requests, and goes on as long as they are let
// through.
func (m *Model) press(n string, arrivals int) {
	p := m.proxies[n]
	for sent := 0; m.err == nil; sent++ {
		v := p.limiter.Admit(m.clock(n), key, false)
		if v.OK {
			m.ran(n)
		} else if v.AskTracker && p.tracker != "" && !p.waits() {
			m.askTracker(n, []admission.KeyRequest{p.limiter.TokenRequest(m.clock(n), key)}, true)
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

func (m *Model) ask(n string, a admission.GrantRequest) admission.Grants {
	return m.trackers[n].state.HandleRequest(m.world.Now, a, func(int) (time.Duration, bool) {
		since := m.since
		if m.Planted == TrackerAtOnce {
			since -= 2 * constants.LongGrantDuration
		}
		return since, m.holder == n
	})
}
