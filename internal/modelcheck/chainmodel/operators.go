package chainmodel

import (
	"time"

	"slateridge/internal/config"
	"slateridge/internal/controlplane/chain"
)

// Order is an operator's configuration sent at a machine and waited for.
type Order struct {
	Operator string
	Version  uint64
	Content  string
}

// Confirms says whether a state that a machine knows to be in force confirms an
// order that waits there, as the API judges it.
func Confirms(in *config.Doc, o Order) bool {
	if in == nil {
		return false
	}
	sum, ok := in.Ledger.Find(o.Version)
	return ok && sum == config.Checksum([]byte(o.Content))
}

// submit hands an order to a machine.
func submit(c *chain.Chain, now time.Duration, o Order) []chain.Effect {
	return c.Submit(now, config.Doc{Version: o.Version, Raw: []byte(o.Content)})
}

// waiting is a call of an operator that has no answer yet.
type waiting struct {
	Order
	at time.Duration
}

type reading struct {
	began   time.Duration
	version uint64            // confirmed when it began
	evacs   map[string]uint64 // likewise, by zone
}

type evacuation struct {
	zone string
	on   bool
}

// order sends an operator's configuration to a machine.
func (m *Model) order(n string, o Order) {
	m.last[o.Operator] = o
	m.highestVersion = max(m.highestVersion, o.Version)
	if m.chain[n] == nil || m.world.Frozen(n) {
		return // no answer
	}
	if Confirms(m.inForce[n], o) {
		m.confirm(n, o)
		return
	}
	m.waiters[n] = append(m.waiters[n], waiting{o, m.world.Now})
	m.run(n, func(c *chain.Chain) []chain.Effect { return submit(c, m.world.Now, o) })
}

func (m *Model) read(n string) {
	if m.chain[n] == nil || m.world.Frozen(n) {
		return
	}
	m.ids++
	evacs := map[string]uint64{}
	for z, k := range m.evacAcked {
		evacs[z] = k
	}
	m.reads[n][m.ids] = reading{m.world.Now, m.acked, evacs}
	id := m.ids
	m.run(n, func(c *chain.Chain) []chain.Effect { return c.Read(m.world.Now, id) })
}

func (m *Model) evacuate(n string, on bool) {
	if m.chain[n] == nil || m.world.Frozen(n) {
		return
	}
	m.ids++
	id := m.ids
	m.evacSent[id] = m.world.Now
	m.evacs[n][id] = evacuation{"z", on}
	m.run(n, func(c *chain.Chain) []chain.Effect { return c.Evacuate(m.world.Now, id, "z", on) })
}
