package chain

import (
	"slices"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/duty"
)

// Steps: time that passes, and messages that come, each handed to what it concerns.

// Tick advances time.
func (c *Chain) Tick(now time.Duration) []Effect {
	c.now = now
	if now-c.lastTick > constants.StallGap {
		c.quietUntil = now + constants.StallQuiet
	}
	c.lastTick = now
	if c.Relay {
		c.ask()
		return c.flush()
	}
	if now >= c.heartbeatAt {
		c.heartbeatAt = now + constants.HeartbeatEvery
		c.forget()
		c.others(c.sendHeartbeat)
	}
	if c.store.Failed() && now >= c.recoverAt {
		c.recoverAt = now + constants.MemberSilence
		c.store.Recover()
	}
	c.drive()
	c.mendView()
	c.updateReadIndex()
	return c.flush()
}

// Recv takes a message.
func (c *Chain) Recv(now time.Duration, from string, msg any) []Effect {
	c.now = now
	if g, ok := msg.(Heartbeat); ok {
		answer := g.Asks
		if g.Relay {
			// It is told what it asks for and else left alone, however many there
			// are of its kind.
			if c.Relay {
				c.learn(g.View)
			}
		} else {
			c.addPeer(from)
			unproven := c.onHeartbeat(from, g)
			answer = answer || unproven && !c.Relay
		}
		if answer {
			c.sendHeartbeat(from)
		}
		return c.flush()
	}
	if slices.Contains(c.peers, from) {
		c.take(from, msg)
	}
	return c.flush()
}

// take hands a message to the part it concerns; a kind that none knows is left.
func (c *Chain) take(from string, msg any) {
	if c.takeAgreement(from, msg) || c.takePass(from, msg) || c.takeOrder(from, msg) {
		return
	}
	c.takeRead(from, msg)
}

// takeAgreement takes the messages that agree on a view; false when it is none of them.
func (c *Chain) takeAgreement(from string, msg any) bool {
	switch m := msg.(type) {
	case Prepare:
		c.onPrepare(from, m)
	case Promise:
		c.onPromise(from, m)
	case Nack:
		c.onNack(m)
	case Sync:
		c.onSync(from, m)
	case Synced:
		c.onSynced(from, m)
	case Accept:
		c.onAccept(from, m)
	case Accepted:
		c.onAccepted(m)
	case Decide:
		c.learn(m.View)
	default:
		return false
	}
	return true
}

// takePass takes the messages that bring states down the chain; false when it is none.
func (c *Chain) takePass(from string, msg any) bool {
	switch m := msg.(type) {
	case Replicate:
		c.onPass(from, m)
	case Ack:
		if m.View == c.agreement.View.Num && c.member() {
			c.commitAt(m.Stamp)
		}
	case NewerState:
		if m.View == c.agreement.View.Num {
			c.admit(&m.Doc)
		}
	case ResendRequest:
		c.onLack(from, m)
	default:
		return false
	}
	return true
}

// takeOrder takes the orders of operators and duties; false when it is none.
func (c *Chain) takeOrder(from string, msg any) bool {
	switch m := msg.(type) {
	case Forward:
		if m.PassOn && !c.leads() {
			c.sendHead(Forward{Doc: m.Doc})
		} else {
			c.onForward(m.Doc)
		}
	case EvacuationOrder:
		switch {
		case m.Answer:
			c.onWatermark(m)
		case m.PassOn && !c.leads():
			m.PassOn = false
			c.sendHead(m)
		default:
			c.onOrder(from, m)
		}
	case Retire:
		c.requestRetirement(m.Voter)
	case duty.Order:
		c.onDutyOrder(from, m)
	default:
		return false
	}
	return true
}

// takeRead takes the messages of reads, and of those that catch up.
func (c *Chain) takeRead(from string, msg any) {
	switch m := msg.(type) {
	case Confirm:
		if c.participant() && c.agreement.View.votes(c.Me) && !c.sealed() && m.View == c.agreement.View.Num {
			c.send(from, Confirmed{m.Nonce, c.Me})
		}
	case Confirmed:
		c.onConfirmed(m)
	case Read:
		c.onRead(from, m)
	case ReadAnswer:
		c.effects = append(c.effects, ReadDone(m))
	case Fetch:
		if m.Have.Less(revisionOf(c.committed)) {
			c.send(from, Fetched{*c.committed})
		}
	case Fetched:
		c.commit(m.Doc)
	}
}

// onNack ends a round that another's outbids.
func (c *Chain) onNack(m Nack) {
	if r := c.round; r != nil && m.Slot == r.slot && r.ballot.less(m.Promised) {
		c.rounds = max(c.rounds, m.Promised.Round)
		c.yield()
	}
}

// onLack sends the next member whole what it was passed without its bulk.
func (c *Chain) onLack(from string, m ResendRequest) {
	v := c.agreement.View
	if m.View != v.Num || !c.member() || c.sealed() || revisionOf(c.held) != m.Stamp {
		return
	}
	if i := v.index(c.Me.Addr); i+1 < len(v.Members) && v.Members[i+1].Addr == from {
		c.send(from, Replicate{View: v.Num, Doc: *c.held})
	}
}

// onDutyOrder is a duty's order at the head. Only voters give any.
func (c *Chain) onDutyOrder(from string, m duty.Order) {
	if c.agreement.View.voter(from) < 0 {
		c.DroppedOrders++
		return
	}
	d := c.nextState()
	var changes bool
	if d.Duties, changes = d.Duties.Apply(m); changes {
		c.admit(&d)
	}
}
