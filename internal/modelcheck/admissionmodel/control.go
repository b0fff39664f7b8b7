package admissionmodel

import (
	"time"

	"slateridge/internal/constants"
)

// rosterEntry is what control knows of a proxy.
type rosterEntry struct {
	at     time.Duration
	count  int
	shares bool
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

// controlTick forgets silent proxies, sends trackers the live count and fills the duty.
func (m *Model) controlTick() {
	for n, e := range m.roster {
		if m.world.Now-e.at > constants.ProxyExpiry {
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
