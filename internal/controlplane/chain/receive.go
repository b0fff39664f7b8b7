package chain

import (
	"slices"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/duty"
)

// The inputs of the state machine are time and messages, which are dispatched by kind here.

// Tick advances time to now and carries out what is due.
func (c *Chain) Tick(now time.Duration) []Effect {
	c.now = now
	if now-c.lastTick > constants.StallThreshold {
		c.staleUntil = now + constants.StallRecoveryTime
	}
	c.lastTick = now
	if c.Relay {
		c.pollNextPeer()
		return c.takeEffects()
	}
	if now >= c.nextHeartbeatAt {
		c.nextHeartbeatAt = now + constants.HeartbeatInterval
		c.forgetStalePeers()
		c.forEachPeer(c.sendHeartbeat)
	}
	if c.store.Failed() && now >= c.nextRecoveryAt {
		c.nextRecoveryAt = now + constants.MemberTimeout
		c.store.Recover()
	}
	c.retransmit()
	c.driveViewChange()
	c.updateReadIndex()
	return c.takeEffects()
}

// Recv handles a message from a machine.
func (c *Chain) Recv(now time.Duration, from string, msg any) []Effect {
	c.now = now
	if hb, ok := msg.(Heartbeat); ok {
		reply := hb.Asks
		if hb.Relay {
			// A relay gets the heartbeat that it requests and is not tracked as a peer, so
			// that the number of relays does not matter.
			if c.Relay {
				c.adoptView(hb.View)
			}
		} else {
			c.addPeer(from)
			unproven := c.onHeartbeat(from, hb)
			reply = reply || unproven && !c.Relay
		}
		if reply {
			c.sendHeartbeat(from)
		}
		return c.takeEffects()
	}
	if slices.Contains(c.peers, from) {
		c.dispatch(from, msg)
	}
	return c.takeEffects()
}

// dispatch passes a message to its handler; unknown kinds are ignored.
func (c *Chain) dispatch(from string, msg any) {
	if c.handleAgreement(from, msg) || c.handleReplication(from, msg) || c.handleOrder(from, msg) {
		return
	}
	c.handleRead(from, msg)
}

// handleAgreement handles the messages of view agreement; it returns false for others.
func (c *Chain) handleAgreement(from string, msg any) bool {
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
		c.adoptView(m.View)
	default:
		return false
	}
	return true
}

// handleReplication handles the messages that replicate states along the chain; it returns
// false for others.
func (c *Chain) handleReplication(from string, msg any) bool {
	switch m := msg.(type) {
	case Replicate:
		c.onReplicate(from, m)
	case Ack:
		if m.View == c.agreement.View.Num && c.isMember() {
			c.commitAt(m.Stamp)
		}
	case NewerState:
		if m.View == c.agreement.View.Num {
			c.admit(&m.Doc)
		}
	case ResendRequest:
		c.onResendRequest(from, m)
	default:
		return false
	}
	return true
}

// handleOrder handles the orders of operators and duties; it returns false for others.
func (c *Chain) handleOrder(from string, msg any) bool {
	switch m := msg.(type) {
	case Forward:
		if m.PassOn && !c.isHead() {
			c.sendToHead(Forward{Doc: m.Doc})
		} else {
			c.onForward(m.Doc)
		}
	case EvacuationOrder:
		switch {
		case m.Answer:
			c.onWatermark(m)
		case m.PassOn && !c.isHead():
			m.PassOn = false
			c.sendToHead(m)
		default:
			c.onEvacuationOrder(from, m)
		}
	case Retire:
		c.recordRetireRequest(m.Voter)
	case duty.Order:
		c.onDutyOrder(from, m)
	default:
		return false
	}
	return true
}

// handleRead handles the messages of reads and of catching up.
func (c *Chain) handleRead(from string, msg any) {
	switch m := msg.(type) {
	case Confirm:
		if c.mayVote() && c.agreement.View.hasVoter(c.Me) && !c.sealed() && m.View == c.agreement.View.Num {
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

// onNack ends this machine's round if a higher ballot was promised.
func (c *Chain) onNack(m Nack) {
	if r := c.round; r != nil && m.Slot == r.slot && r.ballot.less(m.Promised) {
		c.lastRound = max(c.lastRound, m.Promised.Round)
		c.backOff()
	}
}

// onResendRequest sends the next member the complete state that it got without its bulk.
func (c *Chain) onResendRequest(from string, m ResendRequest) {
	v := c.agreement.View
	if m.View != v.Num || !c.isMember() || c.sealed() || revisionOf(c.held) != m.Stamp {
		return
	}
	if i := v.memberIndex(c.Me.Addr); i+1 < len(v.Members) && v.Members[i+1].Addr == from {
		c.send(from, Replicate{View: v.Num, Doc: *c.held})
	}
}

// onDutyOrder handles a duty's order at the head. Orders from machines that are not voters
// are dropped.
func (c *Chain) onDutyOrder(from string, m duty.Order) {
	if c.agreement.View.voterIndex(from) < 0 {
		c.DroppedOrders++
		return
	}
	d := c.nextState()
	var changes bool
	if d.Duties, changes = d.Duties.Apply(m); changes {
		c.admit(&d)
	}
}
