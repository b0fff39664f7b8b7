package chainmodel

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"slateridge/internal/controlplane/chain"
	"slateridge/internal/duty"
	"slateridge/internal/lease"
	"slateridge/internal/modelcheck"
)

// Rules on duties, checked if Config.Duties is set.
const (
	RuleOneHolder     = "one holder a duty"
	RuleOneFence      = "one holder a fence"
	RuleOneBody       = "one body a key"
	RuleActUnderLease = "no act without the lease"
	RuleNoAlternation = "no turns inside the lease bound"
	RuleHeld          = "a duty is held after quiet"
	RuleActsAccepted  = "acts are taken after quiet"
)

const (
	dutyName          = "usage"
	alternationWindow = 6 * time.Second // time within which a duty must not alternate between two holders
	actInterval       = time.Second
)

// dutyHolder is a machine's lease manager and duty state machine.
type dutyHolder struct {
	lease  *lease.Manager
	holder *duty.Holder
}

// platformAction is an action that the platform has accepted.
type platformAction struct {
	at     time.Duration
	holder string
}

// platform simulates the cloud platform. It rejects fences below the highest it has received.
type platform struct {
	down          bool
	fence         uint64
	fenceHolder   map[uint64]string // by fence: the machine that uses it
	bodies        map[uint64]string // by key: the body received
	recentActions []platformAction
	accepted      int
}

func (m *Model) startDuties(n string) {
	if !m.Duties {
		return
	}
	incarnation := uint64(m.world.Incarnation(n)+1)<<32 | uint64(n[0])
	m.dutyHolders[n] = &dutyHolder{
		lease:  lease.New(m.world.Now, incarnation, n, []string{dutyName}),
		holder: duty.NewHolder(dutyName, n, alternationWindow, 50, rand.New(rand.NewPCG(incarnation, 2))),
	}
}

// stepDuties runs one step of a machine's duties.
func (m *Model) stepDuties(n string) {
	h, c := m.dutyHolders[n], m.chain[n]
	if h == nil || c == nil {
		return
	}
	v := c.View()
	h.lease.SetElectorate(m.world.Now, v.Epoch, v.VoterAddrs(), c.ElectorateUncertain())
	m.sendLease(n, h.lease.Tick(m.world.Now))
	var rec duty.Record
	if d := c.Committed(); d != nil {
		rec = d.Duties[dutyName]
	}
	m.applyDutyEffects(n, h.holder.Step(m.world.Now, h.lease.Expiry(m.world.Now, dutyName), rec, func(after uint64) (uint64, []byte, bool) {
		key := uint64(m.world.Now / actInterval)
		return key, []byte(n + strconv.FormatUint(key, 10)), key > after
	}))
}

func (m *Model) sendLease(n string, out []lease.Send) {
	for _, s := range out {
		m.world.Send(n, s.To, s.Msg)
	}
}

// recvLease handles a lease message and reports whether the message was one.
func (m *Model) recvLease(e *modelcheck.Event) bool {
	switch e.Msg.(type) {
	case lease.Request, lease.Grant, lease.Release:
		if h := m.dutyHolders[e.To]; h != nil {
			m.sendLease(e.To, h.lease.Recv(m.world.Now, e.From, e.Msg))
		}
		return true
	}
	return false
}

func (m *Model) applyDutyEffects(n string, effects []duty.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case duty.Order:
			m.run(n, func(c *chain.Chain) []chain.Effect { return c.SubmitDutyOrder(m.world.Now, effect) })
		case duty.Yield:
			m.sendLease(n, m.dutyHolders[n].lease.Resign(m.world.Now, dutyName))
		case duty.Call:
			if _, ok := m.dutyHolders[n].lease.Holds(m.world.Now, dutyName); !ok {
				m.fail(RuleActUnderLease, "%s sent key %d under fence %d without holding the lease", n, effect.Key, effect.Fence)
			}
			incarnation := m.world.Incarnation(n)
			m.world.After(modelcheck.MessageDelay, func() { m.post(n, incarnation, effect) })
		}
	}
}

// post simulates a call to the platform. The caller may be frozen or gone when the answer
// arrives.
func (m *Model) post(n string, incarnation int, action duty.Call) {
	p := &m.platform
	if p.down {
		return
	}
	if existing, ok := p.fenceHolder[action.Fence]; ok && existing != n {
		m.fail(RuleOneFence, "fence %d was used by %s and by %s", action.Fence, existing, n)
	}
	p.fenceHolder[action.Fence] = n
	status := 409
	if action.Fence >= p.fence {
		status, p.fence = 200, action.Fence
		if existing, ok := p.bodies[action.Key]; ok && existing != string(action.Body) {
			m.fail(RuleOneBody, "key %d was sent with body %s and with body %s", action.Key, existing, action.Body)
		}
		p.bodies[action.Key] = string(action.Body)
		p.recentActions = append(p.recentActions, platformAction{m.world.Now, n})
		p.accepted++
		m.checkAlternation()
	}
	m.world.After(modelcheck.MessageDelay, func() {
		if m.world.Incarnation(n) == incarnation && m.world.Up(n) {
			m.world.RunOn(n, func() { m.applyDutyEffects(n, m.dutyHolders[n].holder.HandleResponse(m.world.Now, action.ID, status)) })
		}
	})
}

// checkAlternation checks whether the latest action completes an A-B-A alternation of holders
// within alternationWindow.
func (m *Model) checkAlternation() {
	p := &m.platform
	last, other := p.recentActions[len(p.recentActions)-1], false
	for i := len(p.recentActions) - 2; i >= 0 && last.at-p.recentActions[i].at < alternationWindow; i-- {
		if p.recentActions[i].holder != last.holder {
			other = true
		} else if other {
			m.fail(RuleNoAlternation, "%s acted again %v after its previous action, with an action of another machine in between", last.holder, last.at-p.recentActions[i].at)
		}
	}
	p.recentActions = p.recentActions[max(0, len(p.recentActions)-200):]
}

func (m *Model) holders() (holders []string) {
	for _, n := range m.world.Names {
		if h := m.dutyHolders[n]; h != nil && m.world.Up(n) {
			if _, ok := h.lease.Holds(m.world.Now, dutyName); ok {
				holders = append(holders, n)
			}
		}
	}
	return holders
}

func (m *Model) checkOneHolder() {
	if holders := m.holders(); len(holders) > 1 {
		m.fail(RuleOneHolder, "the duty is held by %s", strings.Join(holders, " and "))
	}
}

// checkDutyProgress checks that the duty has exactly one holder and that the platform accepts
// its actions.
func (m *Model) checkDutyProgress() {
	if m.err == nil && len(m.holders()) != 1 {
		m.fail(RuleHeld, "the duty is held by %d machines %v after faults ended: %s", len(m.holders()), m.SettleTime, m.describe())
	}
	before, until := m.platform.accepted, m.world.Now+alternationWindow+m.ServeTimeout
	m.world.Run(until, nil, func() bool { return m.healthy() && m.platform.accepted == before })
	if m.err == nil && m.platform.accepted == before {
		m.fail(RuleActsAccepted, "no action was accepted within %v: %s", alternationWindow+m.ServeTimeout, m.describe())
	}
}

// hashDuties digests the state that the further course of the duties depends on.
func (m *Model) hashDuties(a modelcheck.Abstraction) uint64 {
	parts := []any{m.platform.down, m.platform.fence, m.platform.recentActions[max(0, len(m.platform.recentActions)-3):], int(m.world.Now % actInterval)}
	for _, n := range m.world.Names {
		if m.world.Up(n) {
			parts = append(parts, n, m.dutyHolders[n])
		}
	}
	return a.Digest(m.world.Now, parts...)
}
