package chainmodel

import (
	"fmt"
	"slices"
	"strings"

	"slateridge/internal/constants"
)

// CheckLiveness implements modelcheck.Model: after all faults have ended, every machine must
// have a submission confirmed and a read answered. The choices guarantee that this is a fair
// demand, since disks are lost one at a time while the others are intact. Machines stopped
// within the tolerance stay down at first, because the others must be able to serve without
// them.
func (m *Model) CheckLiveness() error {
	m.world.Heal()
	m.platform.down = false
	for _, n := range m.world.Names {
		m.disks[n].RefuseWrites = false
	}
	if len(m.leaving) > 0 {
		m.world.Run(m.world.Now+constants.LeaveTimeout+constants.ChainTick, nil, m.healthy)
	}
	tolerated := true
	down := 0
	for _, n := range m.world.Names {
		if m.chain[n] == nil {
			down++
			tolerated = tolerated && slices.Contains(m.toleratedStops, n)
		}
	}
	if down > 0 && tolerated {
		m.checkService()
	}
	for _, n := range slices.Clone(m.world.Names) {
		if m.chain[n] == nil {
			m.start(n, false)
		}
	}
	m.checkService()
	return m.err
}

// checkService lets the system settle and checks that each running machine serves submissions
// and reads.
func (m *Model) checkService() {
	m.world.Run(m.world.Now+m.SettleTime, nil, m.healthy)
	if m.Duties {
		m.checkDutyProgress()
	}
	var up []string
	for _, n := range m.world.Names {
		if m.chain[n] != nil {
			up = append(up, n)
		}
	}
	for _, n := range up {
		s := Submission{"quiet", m.highestVersion + 1, fmt.Sprintf("r%d after quiet", m.highestVersion+1)}
		confirmed := func() bool { _, ok := m.confirmed[s.Version]; return ok }
		until := m.world.Now + m.ServeTimeout
		for m.err == nil && !confirmed() && m.world.Now < until {
			m.submitConfig(n, s)
			m.world.Run(m.world.Now+constants.SubmitTimeout, nil, func() bool { return m.healthy() && !confirmed() })
		}
		if m.err == nil && !confirmed() {
			m.fail(RuleConfirmed, "%s: no submission was confirmed within %v after faults ended plus %v: %s", n, m.SettleTime, m.ServeTimeout, m.describe())
		}
	}
	for _, n := range up {
		before, until := m.readsAnswered, m.world.Now+m.ServeTimeout
		for m.err == nil && m.readsAnswered == before && m.world.Now < until {
			m.read(n)
			m.world.Run(m.world.Now+constants.SubmitTimeout, nil, func() bool { return m.healthy() && m.readsAnswered == before })
		}
		if m.err == nil && m.readsAnswered == before {
			m.fail(RuleReadAnswered, "%s: no read was answered within %v after faults ended plus %v: %s", n, m.SettleTime, m.ServeTimeout, m.describe())
		}
	}
}

// describe formats each machine's view for error messages.
func (m *Model) describe() string {
	var out []string
	for _, n := range m.world.Names {
		if c := m.chain[n]; c != nil {
			status := c.Status()
			var members []string
			for _, x := range status.View.Members {
				members = append(members, x.Addr)
			}
			out = append(out, fmt.Sprintf("%s has view %d of %s, voters %s, sealed %v", n, status.View.Num, strings.Join(members, ""), strings.Join(status.View.VoterAddrs(), ""), status.Sealed))
		}
	}
	return strings.Join(out, "; ")
}
