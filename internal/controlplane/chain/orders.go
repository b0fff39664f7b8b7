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

// Orders: what the operator and the duties want enters at the head, is synced by
// each member in turn and is committed by the tail.

// Submit takes an operator's valid change. What became of it stands in the ledger of
// a committed state that has settled its number: the content taken, this one or another.
func (c *Chain) Submit(now time.Duration, d config.Doc) []Effect {
	c.now = now
	d.Sum = config.SumOf(d.Raw)
	if !Settled(c.committed, d.Version) {
		k := config.Taken{Version: d.Version, Sum: d.Sum}
		c.pendingConfigs[k], c.pendingConfigSince[k] = d, now
		c.forward(d, 0)
	}
	return c.flush()
}

// Settled says whether a state has decided what a number stands for.
func Settled(d *config.Doc, version uint64) bool { return d != nil && d.Ledger.Settled(version) }

// onForward is an operator's configuration at the head. One content is taken under a
// number, whichever comes first; one below the number in force is only entered in the
// ledger, so that it can be acknowledged, and no other under its number ever.
func (c *Chain) onForward(m config.Doc) {
	if Settled(c.held, m.Version) {
		c.admit(nil)
		return
	}
	d := c.nextState()
	sum := config.SumOf(m.Raw)
	d.Ledger = d.Ledger.With(m.Version, sum)
	if m.Version > d.Version {
		d.Version, d.Raw, d.Sum, d.Ordered = m.Version, m.Raw, sum, d.Stamp
	}
	c.admit(&d)
}

// Evacuate takes an operator's order on a zone; it is committed when a Commit
// comes out whose state names its ID.
func (c *Chain) Evacuate(now time.Duration, id uint64, zone string, on bool) []Effect {
	c.now = now
	c.pendingEvacuations[id], c.pendingEvacuationSince[id] = EvacuationOrder{ID: id, Zone: zone, On: on}, now
	c.forwardOrder(c.pendingEvacuations[id], 0)
	return c.flush()
}

// Abandon stops trying for an evacuation whose caller has been told that it is not
// acknowledged, or has gone: it may still be taken, but is not sent again.
func (c *Chain) Abandon(now time.Duration, id uint64) []Effect {
	c.now = now
	delete(c.pendingEvacuations, id)
	delete(c.pendingEvacuationSince, id)
	return c.flush()
}

// forwardOrder sends an evacuation to the head; since is as for otherWay.
func (c *Chain) forwardOrder(o EvacuationOrder, since time.Duration) {
	if c.committed != nil {
		o.Base = c.committed.Evac[o.Zone].Num
	}
	c.sendHead(o)
	if via, ok := c.otherWay(since); ok {
		o.PassOn = true
		c.send(via, o)
	}
}

// Give up on forwarding changes whose caller has been answered.
func (c *Chain) expire() {
	for k, at := range c.pendingConfigSince {
		if Settled(c.committed, k.Version) || c.now-at > constants.SubmitWait {
			delete(c.pendingConfigs, k)
			delete(c.pendingConfigSince, k)
		}
	}
	for id, since := range c.pendingEvacuationSince {
		if c.now-since > constants.SubmitWait || c.committed != nil && slices.Contains(c.committed.Evac[c.pendingEvacuations[id].Zone].IDs, id) {
			delete(c.pendingEvacuations, id)
			delete(c.pendingEvacuationSince, id)
		}
	}
}

// forward sends a configuration to the head; since is as for otherWay.
func (c *Chain) forward(d config.Doc, since time.Duration) {
	c.sendHead(Forward{Doc: d})
	if via, ok := c.otherWay(since); ok {
		c.send(via, Forward{Doc: d, PassOn: true})
	}
}

func (c *Chain) sendHead(m any) {
	if members := c.agreement.View.Members; len(members) > 0 {
		c.send(members[0].Addr, m)
	}
}

// otherWay is a machine to pass an order on where the head has not shown that it hears
// this one: it is out of contact, or has heard nothing sent after a moment. Any voter
// will do that is in contact and does not miss the head itself; it is drawn, so that the
// next try goes another way. An order that comes twice changes nothing.
func (c *Chain) otherWay(since time.Duration) (addr string, ok bool) {
	if len(c.agreement.View.Members) == 0 {
		return "", false
	}
	head := c.agreement.View.Members[0].Addr
	if head == c.Me.Addr || c.inContact(head) && c.peerStates[head].reached >= since {
		return "", false
	}
	var ways []string
	for _, v := range c.agreement.View.Voters {
		if v.Addr != c.Me.Addr && v.Addr != head && c.alive(v.Addr) && !slices.Contains(c.peerStates[v.Addr].heartbeat.Unheard, head) {
			ways = append(ways, v.Addr)
		}
	}
	if len(ways) == 0 {
		return "", false
	}
	return ways[c.rng.IntN(len(ways))], true
}

// nextRevision is the place of the head's next state.
func (c *Chain) nextRevision() config.Revision {
	s := revisionOf(c.held)
	if s.View < c.agreement.View.Num {
		return config.Revision{View: c.agreement.View.Num, Seq: 1}
	}
	return config.Revision{View: s.View, Seq: s.Seq + 1}
}

// nextState is what is held, under the head's next revision.
func (c *Chain) nextState() config.Doc {
	var d config.Doc
	if c.held != nil {
		d = *c.held
	}
	d.Stamp = c.nextRevision()
	return d
}

// SubmitDutyOrder takes a duty's order to the head; whether it was taken shows in what is
// committed.
func (c *Chain) SubmitDutyOrder(now time.Duration, o duty.Order) []Effect {
	c.now = now
	if m := c.agreement.View.Members; len(m) > 0 {
		c.send(m[0].Addr, o)
	}
	return c.flush()
}

func (c *Chain) evacuations() map[string]config.Evacuation {
	if c.held == nil {
		return nil
	}
	return c.held.Evac
}

// arrivals is the order in which a head has received the evacuations of one view.
type arrivals struct {
	view     uint64
	received uint64
	place    map[uint64]uint64 // by order: its place among those received
}

// noteArrival notes an order at its first coming.
func (c *Chain) noteArrival(id uint64) {
	k := &c.arrivals
	if k.view != c.agreement.View.Num || len(k.place) > constants.OrdersNoted {
		k.view, k.place = c.agreement.View.Num, map[uint64]uint64{}
	}
	if _, known := k.place[id]; !known {
		k.received++
		k.place[id] = k.received
	}
}

// watermark covers the orders that this head has received so far.
func (c *Chain) watermark() Watermark {
	return Watermark{View: c.agreement.View.Num, Life: c.clockBase, Received: c.arrivals.received}
}

// mayFollow says whether an order may be taken after all that its zone has taken. One
// made knowing them all may. One with a watermark of this head's may also follow orders
// that the watermark covers: its caller still waited when it was given, so those were not
// ordered after the caller had given up.
func (c *Chain) mayFollow(o EvacuationOrder, zone config.Evacuation) bool {
	if o.Base == zone.Num {
		return true
	}
	since := zone.Num - o.Base
	if o.Base > zone.Num || since > uint64(len(zone.IDs)) || o.Watermark.View != c.agreement.View.Num || o.Watermark.Life != c.clockBase {
		return false
	}
	for _, id := range zone.IDs[uint64(len(zone.IDs))-since:] {
		if place, known := c.arrivals.place[id]; !known || place > o.Watermark.Received {
			return false
		}
	}
	return true
}

// onWatermark sends an evacuation again at once with the watermark that the head gave it.
func (c *Chain) onWatermark(m EvacuationOrder) {
	if o, waiting := c.pendingEvacuations[m.ID]; waiting {
		o.Watermark = m.Watermark
		c.forwardOrder(o, 0)
	}
}

// onOrder is an evacuation order at the head. Orders on a zone take effect in
// the order in which the head takes them; one it has taken before, or that was
// made knowing less than the head holds, changes nothing.
func (c *Chain) onOrder(from string, o EvacuationOrder) {
	if !c.heads() {
		return
	}
	cur := c.evacuations()[o.Zone]
	c.noteArrival(o.ID)
	if slices.Contains(cur.IDs, o.ID) {
		c.admit(nil)
		return
	}
	if !c.mayFollow(o, cur) {
		c.admit(nil)
		if o.Watermark = c.watermark(); c.mayFollow(o, cur) { // otherwise it would be refused again
			c.send(from, EvacuationOrder{ID: o.ID, Zone: o.Zone, On: o.On, Answer: true, Watermark: o.Watermark})
		}
		return
	}
	evac := map[string]config.Evacuation{}
	for z, e := range c.evacuations() {
		evac[z] = e
	}
	ids := append(slices.Clone(cur.IDs), o.ID)
	evac[o.Zone] = config.Evacuation{On: o.On, Num: cur.Num + 1, IDs: ids[max(0, len(ids)-constants.OrderIDs):]}
	d := c.nextState()
	d.Evac, d.Ordered = evac, d.Stamp
	c.admit(&d)
}

// admit is the head's entry: a newer state, or nil to pass on what it holds.
func (c *Chain) admit(d *config.Doc) {
	if !c.heads() || d != nil && !c.persistState(*d) {
		return
	}
	if d == nil && c.now < c.passAt {
		return // it is on its way
	}
	c.passAt = 0
	c.drive()
}

// drive sends on what the head holds and has not seen committed, and repeats
// what operators wait for.
func (c *Chain) drive() {
	c.expire()
	if c.now < c.passAt {
		return
	}
	c.passAt = c.now + constants.PassRetry
	if c.held != nil {
		// A large state is under way longer.
		if !c.held.SameBulk(c.committed) {
			c.passAt += time.Duration(len(c.held.Raw)*len(c.agreement.View.Members)) * time.Second / constants.PassBytes
		}
	}
	if c.serves() && revisionOf(c.committed).Less(revisionOf(c.held)) {
		head := c.agreement.View.Members[0]
		if head == c.Me {
			c.lead()
		} else if s := c.peerStates[head.Addr]; s != nil && s.heartbeat.Held.Less(revisionOf(c.held)) {
			c.send(head.Addr, NewerState{c.agreement.View.Num, *c.held})
		}
	}
	ks := slices.SortedFunc(maps.Keys(c.pendingConfigs), func(a, b config.Taken) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Sum, b.Sum))
	})
	for _, k := range ks {
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
		if len(r.confirmed) < c.majority() && c.now-r.sent >= constants.PassRetry {
			r.sent = c.now
			c.others(func(p string) { c.send(p, Confirm{c.agreement.View.Num, r.nonce}) })
		}
	}
	c.reads = slices.DeleteFunc(c.reads, func(r *reading) bool { return c.now-r.began > constants.SubmitWait })
	c.answerReads()
}

// lead has the chain take up what the head holds. What it was left by an earlier view
// gets a revision of this one first: another state of a view between the two may have been
// left elsewhere, by a head that was alone, and must not outrank what is committed now.
func (c *Chain) lead() {
	if revisionOf(c.held).View < c.agreement.View.Num && !c.persistState(c.nextState()) {
		return
	}
	c.pass(*c.held)
}

// pass hands a version to the next member; the last one commits it.
func (c *Chain) pass(d config.Doc) {
	v := c.agreement.View
	i := v.index(c.Me.Addr)
	if i+1 < len(v.Members) {
		p := Replicate{View: v.Num, Doc: d, Bare: d.SameBulk(c.committed)}
		if p.Bare {
			p.Doc = d.Bare()
		}
		c.send(v.Members[i+1].Addr, p)
		return
	}
	c.commit(d)
	c.others(func(p string) { c.send(p, Ack{v.Num, d.Stamp}) })
	c.answerReads()
}

func (c *Chain) onPass(from string, m Replicate) {
	v := c.agreement.View
	if m.View != v.Num || !c.serves() {
		return
	}
	if i := v.index(c.Me.Addr); i == 0 || v.Members[i-1].Addr != from {
		return
	}
	if m.Bare && m.Doc.Version > 0 {
		if m.Doc.SameBulk(c.held) {
			m.Doc.Fill(c.held)
		} else if revisionOf(c.held).Less(m.Doc.Stamp) {
			c.send(from, ResendRequest{m.View, m.Doc.Stamp})
			return
		}
	}
	if !c.persistState(m.Doc) {
		return
	}
	if m.Doc.Stamp.Less(revisionOf(c.held)) && revisionOf(c.committed).Less(m.Doc.Stamp) {
		// Something newer, never committed, was left here by a change of view:
		// the chain takes it up from the head, since the highest version holds.
		c.send(v.Members[0].Addr, NewerState{v.Num, *c.held})
		return
	}
	if !revisionOf(c.committed).Less(m.Doc.Stamp) {
		c.others(func(p string) { c.send(p, Ack{v.Num, revisionOf(c.committed)}) })
		c.send(from, Fetched{*c.committed})
		return
	}
	c.pass(m.Doc)
}
