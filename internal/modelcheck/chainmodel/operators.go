package chainmodel

import (
	"time"

	"slateridge/internal/config"
	"slateridge/internal/controlplane/chain"
)

// Submission is a configuration that an operator submits to a machine and waits for.
type Submission struct {
	Operator string
	Version  uint64
	Content  string
}

// Confirms reports whether a state in force at a machine confirms a submission pending there,
// by the criterion of the API.
func Confirms(inForce *config.Doc, s Submission) bool {
	if inForce == nil {
		return false
	}
	sum, ok := inForce.Ledger.Find(s.Version)
	return ok && sum == config.Checksum([]byte(s.Content))
}

// submitTo submits a configuration to a machine's chain.
func submitTo(c *chain.Chain, now time.Duration, s Submission) []chain.Effect {
	return c.Submit(now, config.Doc{Version: s.Version, Raw: []byte(s.Content)})
}

// pendingCall is an operator's submission that has not been answered.
type pendingCall struct {
	Submission
	submittedAt time.Duration
}

type pendingRead struct {
	startedAt        time.Duration
	confirmedVersion uint64            // highest confirmed version when the read began
	confirmedEvacs   map[string]uint64 // by zone: number of the latest confirmed order when the read began
}

type pendingEvac struct {
	zone string
	on   bool
}

// submitConfig sends a submission to a machine.
func (m *Model) submitConfig(n string, s Submission) {
	m.lastSubmission[s.Operator] = s
	m.highestVersion = max(m.highestVersion, s.Version)
	if m.chain[n] == nil || m.world.Frozen(n) {
		return // no answer
	}
	if Confirms(m.inForce[n], s) {
		m.confirm(n, s)
		return
	}
	m.pendingCalls[n] = append(m.pendingCalls[n], pendingCall{s, m.world.Now})
	m.run(n, func(c *chain.Chain) []chain.Effect { return submitTo(c, m.world.Now, s) })
}

func (m *Model) read(n string) {
	if m.chain[n] == nil || m.world.Frozen(n) {
		return
	}
	m.lastID++
	evacs := map[string]uint64{}
	for zone, num := range m.confirmedEvacs {
		evacs[zone] = num
	}
	m.pendingReads[n][m.lastID] = pendingRead{m.world.Now, m.confirmedVersion, evacs}
	id := m.lastID
	m.run(n, func(c *chain.Chain) []chain.Effect { return c.Read(m.world.Now, id) })
}

func (m *Model) evacuate(n string, on bool) {
	if m.chain[n] == nil || m.world.Frozen(n) {
		return
	}
	m.lastID++
	id := m.lastID
	m.evacSentAt[id] = m.world.Now
	m.pendingEvacs[n][id] = pendingEvac{"z", on}
	m.run(n, func(c *chain.Chain) []chain.Effect { return c.Evacuate(m.world.Now, id, "z", on) })
}
