package chain

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/duty"
)

// Orders of operators and duties enter at the head, are synced by each member in turn and
// are committed by the tail.

// Submit forwards an operator's valid configuration to the head. Its outcome is in the
// ledger of a committed state that has settled its version: this content was accepted, or a
// different one.
func (c *Chain) Submit(now time.Duration, d config.Doc) []Effect {
	c.now = now
	d.Sum = config.Checksum(d.Raw)
	if !Settled(c.committed, d.Version) {
		k := config.LedgerEntry{Version: d.Version, Sum: d.Sum}
		c.pendingConfigs[k], c.pendingConfigSince[k] = d, now
		c.forward(d, 0)
	}
	return c.takeEffects()
}

// Settled reports whether a state has decided which content a version has.
func Settled(d *config.Doc, version uint64) bool { return d != nil && d.Ledger.Settled(version) }

// onForward handles an operator's configuration at the head. For each version the first
// content to arrive is accepted, and no other ever. A version below the current one is only
// entered in the ledger, so that it can be acknowledged.
func (c *Chain) onForward(m config.Doc) {
	if Settled(c.held, m.Version) {
		c.admit(nil)
		return
	}
	d := c.nextState()
	sum := config.Checksum(m.Raw)
	d.Ledger = d.Ledger.With(m.Version, sum)
	if m.Version > d.Version {
		d.Version, d.Raw, d.Sum, d.Ordered = m.Version, m.Raw, sum, d.Stamp
	}
	c.admit(&d)
}

// Evacuate forwards an operator's evacuation order for a zone to the head. It is committed
// when a Commit is returned whose state lists its ID.
func (c *Chain) Evacuate(now time.Duration, id uint64, zone string, on bool) []Effect {
	c.now = now
	c.pendingEvacuations[id], c.pendingEvacuationSince[id] = EvacuationOrder{ID: id, Zone: zone, On: on}, now
	c.forwardOrder(c.pendingEvacuations[id], 0)
	return c.takeEffects()
}

// Abandon stops resending an evacuation order whose caller has gone or has been answered
// that it is not acknowledged. The order may still be applied.
func (c *Chain) Abandon(now time.Duration, id uint64) []Effect {
	c.now = now
	delete(c.pendingEvacuations, id)
	delete(c.pendingEvacuationSince, id)
	return c.takeEffects()
}

// forwardOrder sends an evacuation order to the head; for since see forwardingPeer.
func (c *Chain) forwardOrder(o EvacuationOrder, since time.Duration) {
	if c.committed != nil {
		o.Base = c.committed.Evac[o.Zone].Num
	}
	c.sendToHead(o)
	if via, ok := c.forwardingPeer(since); ok {
		o.PassOn = true
		c.send(via, o)
	}
}

// expirePending stops resending orders that are settled or whose caller has been answered.
func (c *Chain) expirePending() {
	for k, at := range c.pendingConfigSince {
		if Settled(c.committed, k.Version) || c.now-at > constants.SubmitTimeout {
			delete(c.pendingConfigs, k)
			delete(c.pendingConfigSince, k)
		}
	}
	for id, since := range c.pendingEvacuationSince {
		if c.now-since > constants.SubmitTimeout || c.committed != nil && slices.Contains(c.committed.Evac[c.pendingEvacuations[id].Zone].IDs, id) {
			delete(c.pendingEvacuations, id)
			delete(c.pendingEvacuationSince, id)
		}
	}
}

// forward sends a configuration to the head; for since see forwardingPeer.
func (c *Chain) forward(d config.Doc, since time.Duration) {
	c.sendToHead(Forward{Doc: d})
	if via, ok := c.forwardingPeer(since); ok {
		c.send(via, Forward{Doc: d, PassOn: true})
	}
}

func (c *Chain) sendToHead(m any) {
	if members := c.agreement.View.Members; len(members) > 0 {
		c.send(members[0].Addr, m)
	}
}

// forwardingPeer returns a voter to forward an order through if the head is out of contact
// or has not shown that it received anything sent after since. Any voter is suitable that
// is in contact and does not report the head as unreachable; it is chosen at random, so
// that a retry takes another path. An order that arrives twice has no further effect.
func (c *Chain) forwardingPeer(since time.Duration) (addr string, ok bool) {
	if len(c.agreement.View.Members) == 0 {
		return "", false
	}
	head := c.agreement.View.Members[0].Addr
	if head == c.Me.Addr || c.inContact(head) && c.peerStates[head].lastReachedAt >= since {
		return "", false
	}
	var candidates []string
	for _, v := range c.agreement.View.Voters {
		if v.Addr != c.Me.Addr && v.Addr != head && c.isEligible(v.Addr) && !slices.Contains(c.peerStates[v.Addr].heartbeat.Unheard, head) {
			candidates = append(candidates, v.Addr)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[c.rng.IntN(len(candidates))], true
}

// nextRevision returns the revision of the head's next state.
func (c *Chain) nextRevision() config.Revision {
	s := revisionOf(c.held)
	if s.View < c.agreement.View.Num {
		return config.Revision{View: c.agreement.View.Num, Seq: 1}
	}
	return config.Revision{View: s.View, Seq: s.Seq + 1}
}

// nextState returns the state held under the head's next revision.
func (c *Chain) nextState() config.Doc {
	var d config.Doc
	if c.held != nil {
		d = *c.held
	}
	d.Stamp = c.nextRevision()
	return d
}

// SubmitDutyOrder sends a duty's order to the head; the committed state shows whether it
// was applied.
func (c *Chain) SubmitDutyOrder(now time.Duration, o duty.Order) []Effect {
	c.now = now
	if m := c.agreement.View.Members; len(m) > 0 {
		c.send(m[0].Addr, o)
	}
	return c.takeEffects()
}

func (c *Chain) heldEvacuations() map[string]config.Evacuation {
	if c.held == nil {
		return nil
	}
	return c.held.Evac
}

// receiptLog records the order in which a head has received the evacuation orders of one
// view.
type receiptLog struct {
	view     uint64
	received uint64
	position map[uint64]uint64 // by order ID: its position among those received
}

// recordReceipt records the first receipt of an order.
func (c *Chain) recordReceipt(id uint64) {
	r := &c.receipts
	if r.view != c.agreement.View.Num || len(r.position) > constants.MaxTrackedEvacuations {
		r.view, r.position = c.agreement.View.Num, map[uint64]uint64{}
	}
	if _, known := r.position[id]; !known {
		r.received++
		r.position[id] = r.received
	}
}

// watermark returns a watermark that covers the evacuation orders this head has received.
func (c *Chain) watermark() Watermark {
	return Watermark{View: c.agreement.View.Num, Life: c.clockBase, Received: c.receipts.received}
}

// mayApply reports whether an order may be applied after all orders that its zone has had.
// It may if it was made with knowledge of all of them. With a watermark of this head it may
// also follow orders that the watermark covers: its caller was still waiting when the
// watermark was issued, so those orders were not made after the caller had given up.
func (c *Chain) mayApply(o EvacuationOrder, zone config.Evacuation) bool {
	if o.Base == zone.Num {
		return true
	}
	since := zone.Num - o.Base
	if o.Base > zone.Num || since > uint64(len(zone.IDs)) || o.Watermark.View != c.agreement.View.Num || o.Watermark.Life != c.clockBase {
		return false
	}
	for _, id := range zone.IDs[uint64(len(zone.IDs))-since:] {
		if position, known := c.receipts.position[id]; !known || position > o.Watermark.Received {
			return false
		}
	}
	return true
}

// onWatermark resends an evacuation order at once with the watermark that the head returned.
func (c *Chain) onWatermark(m EvacuationOrder) {
	if o, waiting := c.pendingEvacuations[m.ID]; waiting {
		o.Watermark = m.Watermark
		c.forwardOrder(o, 0)
	}
}

// onEvacuationOrder handles an evacuation order at the head. Orders on a zone take effect in
// the order in which the head applies them. One that was applied before, or that was made
// without knowledge of later orders, changes nothing.
func (c *Chain) onEvacuationOrder(from string, o EvacuationOrder) {
	if !c.isActiveHead() {
		return
	}
	cur := c.heldEvacuations()[o.Zone]
	c.recordReceipt(o.ID)
	if slices.Contains(cur.IDs, o.ID) {
		c.admit(nil)
		return
	}
	if !c.mayApply(o, cur) {
		c.admit(nil)
		if o.Watermark = c.watermark(); c.mayApply(o, cur) { // otherwise it would be rejected again
			c.send(from, EvacuationOrder{ID: o.ID, Zone: o.Zone, On: o.On, Answer: true, Watermark: o.Watermark})
		}
		return
	}
	evac := map[string]config.Evacuation{}
	for z, e := range c.heldEvacuations() {
		evac[z] = e
	}
	ids := append(slices.Clone(cur.IDs), o.ID)
	evac[o.Zone] = config.Evacuation{On: o.On, Num: cur.Num + 1, IDs: ids[max(0, len(ids)-constants.MaxEvacuationIDs):]}
	d := c.nextState()
	d.Evac, d.Ordered = evac, d.Stamp
	c.admit(&d)
}

// admit makes the head store and replicate a new state; with nil the head replicates again
// what it holds.
func (c *Chain) admit(d *config.Doc) {
	if !c.isActiveHead() || d != nil && !c.persistState(*d) {
		return
	}
	if d == nil && c.now < c.nextRetransmitAt {
		return // already being replicated
	}
	c.nextRetransmitAt = 0
	c.retransmit()
}

// retransmit repeats what has not been completed: the replication of the state held, the
// orders submitted here, and the requests to confirm reads.
func (c *Chain) retransmit() {
	c.expirePending()
	if c.now < c.nextRetransmitAt {
		return
	}
	c.nextRetransmitAt = c.now + constants.ChainRetransmitInterval
	if c.held != nil {
		// A large state takes longer to replicate.
		if !c.held.SameBulk(c.committed) {
			c.nextRetransmitAt += time.Duration(len(c.held.Raw)*len(c.agreement.View.Members)) * time.Second / constants.ChainBytesPerSecond
		}
	}
	if c.isActiveMember() && revisionOf(c.committed).Less(revisionOf(c.held)) {
		head := c.agreement.View.Members[0]
		if head == c.Me {
			c.replicateHeld()
		} else if s := c.peerStates[head.Addr]; s != nil && s.heartbeat.Held.Less(revisionOf(c.held)) {
			c.send(head.Addr, NewerState{c.agreement.View.Num, *c.held})
		}
	}
	keys := slices.SortedFunc(maps.Keys(c.pendingConfigs), func(a, b config.LedgerEntry) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Sum, b.Sum))
	})
	for _, k := range keys {
		if at, ok := c.pendingConfigSince[k]; ok && c.now > at && !Settled(c.held, k.Version) {
			c.forward(c.pendingConfigs[k], at)
		}
	}
	var ids []uint64
	for id := range c.pendingEvacuations {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if since, ok := c.pendingEvacuationSince[id]; ok && c.now > since {
			c.forwardOrder(c.pendingEvacuations[id], since)
		}
	}
	for _, r := range c.reads {
		if len(r.confirmed) < c.majority() && c.now-r.sentAt >= constants.ChainRetransmitInterval {
			r.sentAt = c.now
			c.forEachPeer(func(p string) { c.send(p, Confirm{c.agreement.View.Num, r.nonce}) })
		}
	}
	c.reads = slices.DeleteFunc(c.reads, func(r *pendingRead) bool { return c.now-r.startedAt > constants.SubmitTimeout })
	c.answerReads()
}

// replicateHeld replicates the state that the head holds. A state left by an earlier view
// gets a revision of the current view first: a head that was cut off may have left another
// state of a view between the two on a machine, which must not outrank what is committed
// now.
func (c *Chain) replicateHeld() {
	if revisionOf(c.held).View < c.agreement.View.Num && !c.persistState(c.nextState()) {
		return
	}
	c.replicate(*c.held)
}

// replicate sends a state to the next member; the last member commits it.
func (c *Chain) replicate(d config.Doc) {
	v := c.agreement.View
	i := v.memberIndex(c.Me.Addr)
	if i+1 < len(v.Members) {
		p := Replicate{View: v.Num, Doc: d, Bare: d.SameBulk(c.committed)}
		if p.Bare {
			p.Doc = d.WithoutBulk()
		}
		c.send(v.Members[i+1].Addr, p)
		return
	}
	c.commit(d)
	c.forEachPeer(func(p string) { c.send(p, Ack{v.Num, d.Stamp}) })
	c.answerReads()
}

func (c *Chain) onReplicate(from string, m Replicate) {
	v := c.agreement.View
	if m.View != v.Num || !c.isActiveMember() {
		return
	}
	if i := v.memberIndex(c.Me.Addr); i == 0 || v.Members[i-1].Addr != from {
		return
	}
	if m.Bare && m.Doc.Version > 0 {
		if m.Doc.SameBulk(c.held) {
			m.Doc.SetBulkFrom(c.held)
		} else if revisionOf(c.held).Less(m.Doc.Stamp) {
			c.send(from, ResendRequest{m.View, m.Doc.Stamp})
			return
		}
	}
	if !c.persistState(m.Doc) {
		return
	}
	if m.Doc.Stamp.Less(revisionOf(c.held)) && revisionOf(c.committed).Less(m.Doc.Stamp) {
		// A view change left a newer, never committed state here. The head replicates it,
		// since the highest revision wins.
		c.send(v.Members[0].Addr, NewerState{v.Num, *c.held})
		return
	}
	if !revisionOf(c.committed).Less(m.Doc.Stamp) {
		c.forEachPeer(func(p string) { c.send(p, Ack{v.Num, revisionOf(c.committed)}) })
		c.send(from, Fetched{*c.committed})
		return
	}
	c.replicate(m.Doc)
}
