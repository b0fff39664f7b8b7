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

// The rules on duties, checked when Config.Duties is set.
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
	alternationWindow = 6 * time.Second // within which no two holders may take turns
	actInterval       = time.Second
)

// dutyHolder are one machine's leases and its part in the duty.
type dutyHolder struct {
	lease  *lease.Manager
	holder *duty.Holder
}

// act is one that the platform has taken.
type platformAction struct {
	at     time.Duration
	holder string
}

// platform is the stand-in: it refuses fences below the highest it has seen.
type platform struct {
	down          bool
	fence         uint64
	fenceHolder   map[uint64]string // fence: whose
	bodies        map[uint64]string // key: what was sent
	recentActions []platformAction
	accepted      int
}

func (m *Model) startDuties(n string) {
	if !m.Duties {
		return
	}
	life := uint64(m.world.Incarnation(n)+1)<<32 | uint64(n[0])
	m.dutyHolders[n] = &dutyHolder{
		lease:  lease.New(m.world.Now, life, n, []string{dutyName}),
		holder: duty.NewHolder(dutyName, n, alternationWindow, 50, rand.New(rand.NewPCG(life, 2))),
	}
}

// stepDuties is the duties' step at a machine.
func (m *Model) stepDuties(n string) {
	o, c := m.dutyHolders[n], m.chain[n]
	if o == nil || c == nil {
		return
	}
	v := c.View()
	o.lease.SetElectorate(m.world.Now, v.Epoch, v.VoterAddrs(), c.ElectorateUncertain())
	m.sendLease(n, o.lease.Tick(m.world.Now))
	var rec duty.Record
	if d := c.Committed(); d != nil {
		rec = d.Duties[dutyName]
	}
	m.applyDutyEffects(n, o.holder.Step(m.world.Now, o.lease.Until(m.world.Now, dutyName), rec, func(after uint64) (uint64, []byte, bool) {
		key := uint64(m.world.Now / actInterval)
		return key, []byte(n + strconv.FormatUint(key, 10)), key > after
	}))
}

func (m *Model) sendLease(n string, out []lease.Send) {
	for _, s := range out {
		m.world.Send(n, s.To, s.Msg)
	}
}

// recvLease takes a message if it is one on leases.
func (m *Model) recvLease(e *modelcheck.Event) bool {
	switch e.Msg.(type) {
	case lease.Request, lease.Grant, lease.Release:
		if o := m.dutyHolders[e.To]; o != nil {
			m.sendLease(e.To, o.lease.Recv(m.world.Now, e.From, e.Msg))
		}
		return true
	}
	return false
}

func (m *Model) applyDutyEffects(n string, out []duty.Effect) {
	for _, x := range out {
		switch x := x.(type) {
		case duty.Order:
			m.run(n, func(c *chain.Chain) []chain.Effect { return c.SubmitDutyOrder(m.world.Now, x) })
		case duty.Yield:
			m.sendLease(n, m.dutyHolders[n].lease.Leave(m.world.Now, dutyName))
		case duty.Act:
			if _, ok := m.dutyHolders[n].lease.Holds(m.world.Now, dutyName); !ok {
				m.fail(RuleActUnderLease, "%s sends key %d under fence %d", n, x.Key, x.Fence)
			}
			life := m.world.Incarnation(n)
			m.world.After(modelcheck.MessageDelay, func() { m.post(n, life, x) })
		}
	}
}

// post is a call at the platform; its answer may find its caller frozen or gone.
func (m *Model) post(n string, life int, p duty.Act) {
	f := &m.platform
	if f.down {
		return
	}
	if was, ok := f.fenceHolder[p.Fence]; ok && was != n {
		m.fail(RuleOneFence, "fence %d is sent by %s and by %s", p.Fence, was, n)
	}
	f.fenceHolder[p.Fence] = n
	status := 409
	if p.Fence >= f.fence {
		status, f.fence = 200, p.Fence
		if was, ok := f.bodies[p.Key]; ok && was != string(p.Body) {
			m.fail(RuleOneBody, "key %d is sent as %s and as %s", p.Key, was, p.Body)
		}
		f.bodies[p.Key] = string(p.Body)
		f.recentActions = append(f.recentActions, platformAction{m.world.Now, n})
		f.accepted++
		m.checkAlternation()
	}
	m.world.After(modelcheck.MessageDelay, func() {
		if m.world.Incarnation(n) == life && m.world.Up(n) {
			m.world.RunOn(n, func() { m.applyDutyEffects(n, m.dutyHolders[n].holder.Answered(m.world.Now, p.ID, status)) })
		}
	})
}

// checkTurns looks whether the newest act ends an A-B-A inside the lease bound.
func (m *Model) checkAlternation() {
	f := &m.platform
	last, other := f.recentActions[len(f.recentActions)-1], false
	for i := len(f.recentActions) - 2; i >= 0 && last.at-f.recentActions[i].at < alternationWindow; i-- {
		if f.recentActions[i].holder != last.holder {
			other = true
		} else if other {
			m.fail(RuleNoAlternation, "%s acts again %v after another did", last.holder, last.at-f.recentActions[i].at)
		}
	}
	f.recentActions = f.recentActions[max(0, len(f.recentActions)-200):]
}

func (m *Model) holders() (holders []string) {
	for _, n := range m.world.Names {
		if o := m.dutyHolders[n]; o != nil && m.world.Up(n) {
			if _, ok := o.lease.Holds(m.world.Now, dutyName); ok {
				holders = append(holders, n)
			}
		}
	}
	return holders
}

func (m *Model) checkOneHolder() {
	if who := m.holders(); len(who) > 1 {
		m.fail(RuleOneHolder, "held by %s", strings.Join(who, " and "))
	}
}

// quietDuties: there is one holder, and what it decides is taken.
func (m *Model) checkDutyProgress() {
	if m.err == nil && len(m.holders()) != 1 {
		m.fail(RuleHeld, "held by %d machines after %v of quiet: %s", len(m.holders()), m.SettleTime, m.describe())
	}
	was, until := m.platform.accepted, m.world.Now+alternationWindow+m.ServeTimeout
	m.world.Run(until, nil, func() bool { return m.healthy() && m.platform.accepted == was })
	if m.err == nil && m.platform.accepted == was {
		m.fail(RuleActsAccepted, "none in %v: %s", alternationWindow+m.ServeTimeout, m.describe())
	}
}

// dutiesHash is of what the duties' coming depends on.
func (m *Model) hashDuties(a modelcheck.Abstraction) uint64 {
	parts := []any{m.platform.down, m.platform.fence, m.platform.recentActions[max(0, len(m.platform.recentActions)-3):], int(m.world.Now % actInterval)}
	for _, n := range m.world.Names {
		if m.world.Up(n) {
			parts = append(parts, n, m.dutyHolders[n])
		}
	}
	return a.Digest(m.world.Now, parts...)
}
