package chainmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/controlplane/chain"
	"slateridge/internal/modelcheck"
	"slateridge/internal/simnet"
)

// start starts a machine's process: a founder, a newcomer that is given the addresses of the
// others, or a machine that restarts.
func (m *Model) start(n string, founding bool) {
	if m.disks[n] == nil {
		m.disks[n] = simnet.NewDisk()
	}
	m.disks[n].Recover() // the new process reopens the disk
	peers := names[:m.Founders]
	if !founding {
		peers = append(slices.Clone(m.world.Names), n)
	}
	rng := rand.New(rand.NewPCG(uint64(n[0]), uint64(m.world.Incarnation(n)+1)))
	c, err := chain.New(m.world.Now, n, slices.Clone(peers), founding, m.disks[n], rng)
	if err != nil {
		if !m.disks[n].RefuseWrites {
			m.fail(RuleRestarts, "%s: %v", n, err)
		}
		return // the process stays down
	}
	c.MaxMachineFailures = m.MaxMachineFailures
	m.chain[n] = c
	m.inForce[n], m.pendingCalls[n] = nil, nil
	m.pendingReads[n], m.pendingEvacs[n] = map[uint64]pendingRead{}, map[uint64]pendingEvac{}
	m.viewNumber[n] = 0
	m.startDuties(n)
	m.world.Start(n)
}

func (m *Model) stop(n string) {
	m.world.Stop(n)
	delete(m.leaving, n)
	m.chain[n], m.dutyHolders[n] = nil, nil
	m.pendingCalls[n], m.pendingReads[n], m.pendingEvacs[n] = nil, nil, nil
}

// restartLater starts a stopped machine after modelcheck.RestartTime.
func (m *Model) restartLater(n string) {
	incarnation := m.world.Incarnation(n)
	m.world.After(modelcheck.RestartTime, func() {
		if m.world.Incarnation(n) == incarnation && slices.Contains(m.world.Names, n) {
			m.start(n, false)
			m.world.LastFault = m.world.Now
		}
	})
}

// shutDown stops a machine in order, as its daemon does: it releases its leases, notifies the
// other machines and waits for a view without it, if they can form one.
func (m *Model) shutDown(n string, permanent bool) {
	healthy := m.allHealthy() && m.chain[n].CanLeave() && len(m.leaving) == 0
	m.recordLoss(n, true)
	if h := m.dutyHolders[n]; h != nil {
		m.sendLease(n, h.lease.Resign(m.world.Now))
	}
	m.leaving[n] = departure{m.world.Now, m.world.Incarnation(n), m.faults, permanent, healthy}
	m.run(n, func(c *chain.Chain) []chain.Effect { return c.Leave(m.world.Now) })
	m.awaitDeparture(n, m.leaving[n])
}

// departure is an orderly shutdown in progress.
type departure struct {
	startedAt   time.Duration
	incarnation int
	faults      int // number of faults when it began; after another fault it may take longer
	permanent   bool
	checked     bool // all machines were healthy when it began, so it must end in time
}

func (m *Model) awaitDeparture(n string, d departure) {
	c := m.chain[n]
	if m.world.Incarnation(n) != d.incarnation || c == nil {
		return // stopped in the meantime
	}
	timedOut := m.world.Now-d.startedAt >= constants.LeaveTimeout
	if !c.HasLeft() && c.CanLeave() && !timedOut || m.world.Frozen(n) {
		m.world.After(constants.ChainTick/2, func() { m.awaitDeparture(n, d) })
		return
	}
	if !c.HasLeft() && d.checked && m.faults == d.faults {
		m.fail(RuleOrderlyLeave, "%s stopped after %v while still a member: %s", n, m.world.Now-d.startedAt, m.describe())
	}
	if c.HasLeft() {
		m.leftCount++
	}
	m.stop(n)
	if d.permanent {
		m.world.Leave(n)
	}
}

func (m *Model) tick(n string) {
	m.run(n, func(c *chain.Chain) []chain.Effect { return c.Tick(m.world.Now) })
	m.stepDuties(n)
}

func (m *Model) recv(e *modelcheck.Event) {
	if m.recvLease(e) {
		return
	}
	m.run(e.To, func(c *chain.Chain) []chain.Effect { return c.Recv(m.world.Now, e.From, e.Msg) })
}

// run executes f on a machine's chain, applies its effects and checks the rules on them.
func (m *Model) run(n string, f func(*chain.Chain) []chain.Effect) {
	c := m.chain[n]
	if c == nil {
		return
	}
	before := c.View()
	for _, effect := range f(c) {
		switch effect := effect.(type) {
		case chain.Send:
			switch s := effect.Msg.(type) {
			case chain.Promise:
				m.checkVote(c, before, s.Slot, "promises")
			case chain.Accepted:
				m.checkVote(c, before, s.Slot, "accepts")
			}
			m.world.Send(n, effect.To, effect.Msg)
		case chain.Commit:
			m.commit(n, effect.Doc)
		case chain.ReadDone:
			m.readDone(n, effect)
		}
	}
	if v := c.View(); v.Num != m.viewNumber[n] {
		m.viewNumber[n] = v.Num
		m.checkView(n, v)
	}
}
