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

func (m *Model) checkVote(c *chain.Chain, before chain.View, slot uint64, does string) {
	for _, v := range []chain.View{before, c.View()} {
		if v.Num+1 == slot && slices.Contains(v.Voters, c.Me) {
			return
		}
	}
	m.fail(RuleVoters, "%v %s for view %d, but its view is %d with the voters %v", c.Me, does, slot, before.Num, before.Voters)
}

func (m *Model) checkView(n string, v chain.View) {
	if v.Num == 0 {
		return
	}
	is := fmt.Sprint(v.Members, " of ", v.Voters)
	if was, ok := m.views[v.Num]; ok && was != is {
		m.fail(RuleOneView, "%s has view %d as %s, another machine had it as %s", n, v.Num, is, was)
	}
	m.views[v.Num] = is
}

// commit checks a state that a machine now has in force and confirms the submissions pending
// there.
func (m *Model) commit(n string, d config.Doc) {
	if was := m.inForce[n]; was != nil && d.Stamp.Less(was.Stamp) {
		m.fail(RuleNoRollback, "%s went back from revision %v to %v", n, was.Stamp, d.Stamp)
	}
	m.inForce[n] = &d
	m.checkState(n, d)
	if was, ok := m.confirmed[d.Version]; ok && was != string(d.Raw) {
		m.fail(RuleOneContent, "%s has r%d with content %q in force, but %q was confirmed", n, d.Version, d.Raw, was)
	}
	m.pendingCalls[n] = slices.DeleteFunc(m.pendingCalls[n], func(w pendingCall) bool { return m.world.Now-w.submittedAt > constants.SubmitWait })
	var remaining []pendingCall
	for _, w := range m.pendingCalls[n] {
		if !Confirms(&d, w.Submission) {
			remaining = append(remaining, w)
		} else {
			m.confirm(n, w.Submission)
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
	was, ok := m.states[d.Stamp]
	if ok {
		if was != state {
			m.fail(RuleOneState, "%s committed r%d with content %q at revision %v, which was r%d with content %q", n, state.version, state.content, d.Stamp, was.version, was.content)
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
			if end := m.evacSentAt[id] + constants.SubmitWait; end < m.evacSentAt[before] {
				m.fail(RuleLateOrder, "%s: zone %s: the order sent at %v, which could be answered until %v, took effect after the order sent at %v", n, zone, m.evacSentAt[id], end, m.evacSentAt[before])
			}
		}
		o, ok := m.pendingEvacs[n][id]
		if !ok {
			continue
		}
		delete(m.pendingEvacs[n], id)
		if i == len(e.IDs)-1 && e.On != o.on {
			m.fail(RuleNoRollback, "%s: evacuation=%v of zone %s was confirmed, but %v is in force", n, o.on, zone, e.On)
		}
		m.confirmedEvacs[zone] = max(m.confirmedEvacs[zone], e.Num-uint64(len(e.IDs)-1-i))
	}
}

// confirm records that a submission was confirmed to its operator.
func (m *Model) confirm(n string, o Submission) {
	if was, ok := m.confirmed[o.Version]; ok && was != o.Content {
		m.fail(RuleOneContent, "%s confirmed r%d with content %q to %s, but %q was confirmed before", n, o.Version, o.Content, o.Operator, was)
	}
	for at, s := range m.states {
		if s.version == o.Version && s.content != o.Content {
			m.fail(RuleOneContent, "%s confirmed r%d with content %q to %s, but %q was committed at revision %v", n, o.Version, o.Content, o.Operator, s.content, at)
		}
	}
	m.confirmed[o.Version] = o.Content
	m.confirmedVersion = max(m.confirmedVersion, o.Version)
	m.confirmations++
}

func (m *Model) readDone(n string, o chain.ReadDone) {
	r, ok := m.pendingReads[n][o.ID]
	delete(m.pendingReads[n], o.ID)
	if !ok || m.world.Now-r.startedAt > constants.SubmitWait {
		return // the caller has timed out
	}
	m.readsAnswered++
	var v uint64
	if o.Doc != nil {
		v = o.Doc.Version
		if was, ok := m.confirmed[v]; ok && was != string(o.Doc.Raw) {
			m.fail(RuleOneContent, "a read at %s returned r%d with content %q, but %q was confirmed", n, v, o.Doc.Raw, was)
		}
	}
	if v < r.confirmedVersion {
		m.fail(RuleFreshRead, "a read at %s returned r%d, but r%d was confirmed before it began", n, v, r.confirmedVersion)
	}
	for z, num := range r.confirmedEvacs {
		if o.Doc == nil || o.Doc.Evac[z].Num < num {
			m.fail(RuleFreshRead, "a read at %s returned a state without evacuation order %d of zone %s, which was confirmed before it began", n, num, z)
		}
	}
}
