package chainmodel

import (
	"fmt"
	"slices"

	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/controlplane/chain"
)

type committedState struct {
	version uint64
	content string
}

func (m *Model) checkVote(c *chain.Chain, before chain.View, slot uint64, vote string) {
	for _, v := range []chain.View{before, c.View()} {
		if v.Num+1 == slot && slices.Contains(v.Voters, c.Me) {
			return
		}
	}
	m.fail(RuleVoters, "%v %s for view %d, but its view is %d with the voters %v", c.Me, vote, slot, before.Num, before.Voters)
}

func (m *Model) checkView(n string, v chain.View) {
	if v.Num == 0 {
		return
	}
	current := fmt.Sprint(v.Members, " of ", v.Voters)
	if recorded, ok := m.views[v.Num]; ok && recorded != current {
		m.fail(RuleOneView, "%s has view %d as %s, another machine had it as %s", n, v.Num, current, recorded)
	}
	m.views[v.Num] = current
}

// commit checks a state that a machine now has in force and confirms the submissions pending
// there.
func (m *Model) commit(n string, d config.Doc) {
	if previous := m.inForce[n]; previous != nil && d.Stamp.Less(previous.Stamp) {
		m.fail(RuleNoRollback, "%s went back from revision %v to %v", n, previous.Stamp, d.Stamp)
	}
	m.inForce[n] = &d
	m.checkState(n, d)
	if existing, ok := m.confirmed[d.Version]; ok && existing != string(d.Raw) {
		m.fail(RuleOneContent, "%s has r%d with content %q in force, but %q was confirmed", n, d.Version, d.Raw, existing)
	}
	m.pendingCalls[n] = slices.DeleteFunc(m.pendingCalls[n], func(call pendingCall) bool { return m.world.Now-call.submittedAt > constants.SubmitTimeout })
	var remaining []pendingCall
	for _, call := range m.pendingCalls[n] {
		if !Confirms(&d, call.Submission) {
			remaining = append(remaining, call)
		} else {
			m.confirm(n, call.Submission)
		}
	}
	m.pendingCalls[n] = remaining
	for zone, e := range d.Evac {
		m.commitEvacuation(n, zone, e)
	}
}

// checkState checks that a revision identifies one state and that versions increase with
// revisions.
func (m *Model) checkState(n string, d config.Doc) {
	state := committedState{d.Version, string(d.Raw)}
	existing, ok := m.states[d.Stamp]
	if ok {
		if existing != state {
			m.fail(RuleOneState, "%s committed r%d with content %q at revision %v, which was r%d with content %q", n, state.version, state.content, d.Stamp, existing.version, existing.content)
		}
		return
	}
	for s, recorded := range m.states {
		if s.Less(d.Stamp) && recorded.version > state.version || d.Stamp.Less(s) && recorded.version < state.version {
			m.fail(RuleNoRollback, "versions do not increase with revisions: %v has r%d, %v has r%d", s, recorded.version, d.Stamp, state.version)
		}
	}
	m.states[d.Stamp] = state
}

// commitEvacuation checks a zone's evacuation orders in force at a machine and confirms those
// pending there.
func (m *Model) commitEvacuation(n, zone string, e config.Evacuation) {
	for i, id := range e.IDs {
		for _, before := range e.IDs[:i] {
			if end := m.evacSentAt[id] + constants.SubmitTimeout; end < m.evacSentAt[before] {
				m.fail(RuleLateOrder, "%s: zone %s: the order sent at %v, which could be answered until %v, took effect after the order sent at %v", n, zone, m.evacSentAt[id], end, m.evacSentAt[before])
			}
		}
		order, ok := m.pendingEvacs[n][id]
		if !ok {
			continue
		}
		delete(m.pendingEvacs[n], id)
		if i == len(e.IDs)-1 && e.On != order.on {
			m.fail(RuleNoRollback, "%s: evacuation=%v of zone %s was confirmed, but %v is in force", n, order.on, zone, e.On)
		}
		m.confirmedEvacs[zone] = max(m.confirmedEvacs[zone], e.Num-uint64(len(e.IDs)-1-i))
	}
}

// confirm records that a submission was confirmed to its operator.
func (m *Model) confirm(n string, s Submission) {
	if existing, ok := m.confirmed[s.Version]; ok && existing != s.Content {
		m.fail(RuleOneContent, "%s confirmed r%d with content %q to %s, but %q was confirmed before", n, s.Version, s.Content, s.Operator, existing)
	}
	for at, committed := range m.states {
		if committed.version == s.Version && committed.content != s.Content {
			m.fail(RuleOneContent, "%s confirmed r%d with content %q to %s, but %q was committed at revision %v", n, s.Version, s.Content, s.Operator, committed.content, at)
		}
	}
	m.confirmed[s.Version] = s.Content
	m.confirmedVersion = max(m.confirmedVersion, s.Version)
	m.confirmations++
}

func (m *Model) readDone(n string, done chain.ReadDone) {
	read, ok := m.pendingReads[n][done.ID]
	delete(m.pendingReads[n], done.ID)
	if !ok || m.world.Now-read.startedAt > constants.SubmitTimeout {
		return // the caller has timed out
	}
	m.readsAnswered++
	var v uint64
	if done.Doc != nil {
		v = done.Doc.Version
		if existing, ok := m.confirmed[v]; ok && existing != string(done.Doc.Raw) {
			m.fail(RuleOneContent, "a read at %s returned r%d with content %q, but %q was confirmed", n, v, done.Doc.Raw, existing)
		}
	}
	if v < read.confirmedVersion {
		m.fail(RuleFreshRead, "a read at %s returned r%d, but r%d was confirmed before it began", n, v, read.confirmedVersion)
	}
	for zone, num := range read.confirmedEvacs {
		if done.Doc == nil || done.Doc.Evac[zone].Num < num {
			m.fail(RuleFreshRead, "a read at %s returned a state without evacuation order %d of zone %s, which was confirmed before it began", n, num, zone)
		}
	}
}
