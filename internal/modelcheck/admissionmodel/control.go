package admissionmodel

import (
	"time"

	"slateridge/internal/constants"
)

// rosterEntry is the control process's record of a proxy.
type rosterEntry struct {
	lastHeartbeat time.Duration
	count         int
	admitted      bool
}

// vacate ends the current holder's duty. Another machine takes it after dutyVacancy, preferably
// next.
func (m *Model) vacate(next string) {
	m.dutyHolder, m.vacantSince, m.nextHolder = "", m.world.Now, next
}

// assignDuty gives a vacant duty to nextHolder, or to any tracker that is running.
func (m *Model) assignDuty() {
	if m.dutyHolder != "" || m.world.Now-m.vacantSince < dutyVacancy {
		return
	}
	for _, n := range append([]string{m.nextHolder}, trackerNames[:m.Trackers]...) {
		if m.trackers[n] != nil && !m.world.Frozen(n) {
			m.dutyHolder, m.heldSince = n, m.world.Now
			return
		}
	}
}

// controlTick removes silent proxies, assigns the duty and sends the live count to the
// trackers.
func (m *Model) controlTick() {
	for n, e := range m.roster {
		if m.world.Now-e.lastHeartbeat > constants.ProxyExpiry {
			delete(m.roster, n)
		}
	}
	m.admitNewcomers()
	m.assignDuty()
	for _, n := range trackerNames[:m.Trackers] {
		m.world.Send(control, n, liveCount{len(m.roster)})
	}
}

// admitNewcomers gives newcomers a share once all admitted proxies account for them, as control
// machines do.
func (m *Model) admitNewcomers() {
	if !m.started && len(m.roster) < m.Proxies {
		return
	}
	for _, e := range m.roster {
		if m.started && e.admitted && e.count < len(m.roster) && m.InjectedFault != NewcomerWithoutWait {
			return
		}
	}
	m.started = true
	for _, e := range m.roster {
		e.admitted = true
	}
}

func (m *Model) receiveHeartbeat(n string, h heartbeat) {
	e := m.roster[n]
	if e == nil {
		e = &rosterEntry{}
		m.roster[n] = e
	}
	e.lastHeartbeat, e.count = m.world.Now, h.Count
	m.admitNewcomers()
	out := heartbeatReply{HeartbeatSent: h.Sent, Tracker: m.dutyHolder}
	if e.admitted {
		out.Count = len(m.roster)
	}
	m.world.Send(control, n, out)
}
