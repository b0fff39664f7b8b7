package chain

import (
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
)

// This file holds the heartbeats, the storage of states, and the catch-up of machines whose
// state is old.

// bulk is a configuration body and the ledger, stored apart from the small states that
// refer to them.
type bulk struct {
	Version, Sum uint64
	Raw          []byte
	Ledger       config.Ledger
}

func (b bulk) matches(d *config.Doc) bool {
	return d != nil && b.Version == d.Version && b.Sum == d.Sum && b.Ledger.Sum == d.Ledger.Sum
}

var bulkKeys = [2]string{"raw0", "raw1"}

// Joined reports whether the newest view known here counts this machine, with its current
// incarnation, among the voters.
func (c *Chain) Joined() bool { return c.agreement.Joined }

// Status describes this machine for operators.
func (c *Chain) Status() Heartbeat { return c.heartbeat() }

func (c *Chain) heartbeat() Heartbeat {
	hb := Heartbeat{
		Me:        c.Me,
		View:      c.agreement.View,
		Joined:    c.agreement.Joined,
		Sealed:    c.sealed(),
		Sick:      c.store.Failed(),
		Zone:      c.Zone,
		Region:    c.Region,
		Relay:     c.Relay,
		Original:  c.Original,
		Leaving:   c.leaving,
		Unheard:   c.unreachablePeers(),
		Asks:      c.Relay || !c.agreement.Joined,
		Committed: revisionOf(c.committed),
		Held:      revisionOf(c.held),
		Version:   VersionOf(c.committed),
		Dropped:   c.DroppedOrders,
	}
	if c.WallClock != nil {
		hb.Wall = c.WallClock()
	}
	return hb
}

// sendHeartbeat sends this machine's heartbeat to a peer.
func (c *Chain) sendHeartbeat(p string) {
	hb := c.heartbeat()
	if s := c.peerStates[p]; s != nil && s.heartbeat.View.Num >= hb.View.Num {
		hb.View = View{Num: hb.View.Num} // the peer has the view already
	}
	hb.At = c.clockBase + uint64(c.now)
	if s := c.peerStates[p]; s != nil {
		hb.Echo = s.heartbeat.At
	}
	c.send(p, hb)
}

// pollNextPeer makes a relay send a heartbeat to its peers in rotation. The relay redirects
// its callers to the machine that answered last.
func (c *Chain) pollNextPeer() {
	if c.now < c.nextHeartbeatAt {
		return
	}
	c.nextHeartbeatAt = c.now + constants.RelayHeartbeatInterval
	for range c.peers {
		c.lastPolledPeer++
		if p := c.peers[c.lastPolledPeer%len(c.peers)]; p != c.Me.Addr {
			c.sendHeartbeat(p)
			return
		}
	}
}

// RedirectTarget returns the voter that was heard from last, for a relay to redirect its
// callers to; ok is false if none was heard from recently.
func (c *Chain) RedirectTarget() (addr string, ok bool) {
	last := c.now - constants.RelayHeartbeatMaxAge
	for p, s := range c.peerStates {
		if s.heartbeat.Joined && !s.heartbeat.Relay && s.receivedAt > last {
			addr, last, ok = p, s.receivedAt, true
		}
	}
	return addr, ok
}

// updateReadIndex advances the time at which this machine is known to have had the newest
// committed state. A committed state is held by every member of its view. So let a set of
// voters be large enough to contain at least one member of the view, and let each of them
// report, after some time t, nothing newer than what is committed here: then nothing newer
// had been committed in this view at t. If a majority of the voters was unsealed after t,
// no later view had been decided at t either. A report counts from the local send time of
// the heartbeat that it echoes, however long it was in flight.
func (c *Chain) updateReadIndex() {
	if !c.agreement.Joined || c.committed == nil || c.Relay || c.sealed() {
		return
	}
	var times []time.Duration
	for _, v := range c.agreement.View.Voters {
		if v == c.Me {
			if revisionOf(c.committed) == revisionOf(c.held) {
				times = append(times, c.now)
			}
			continue
		}
		s := c.peerStates[v.Addr]
		if s == nil || s.heartbeat.Me != v || s.echoedAt < 0 || !s.heartbeat.Joined || s.heartbeat.Sealed {
			continue
		}
		if s.heartbeat.View.Num > c.agreement.View.Num || revisionOf(c.committed).Less(s.heartbeat.Held) {
			continue // it has, or may have, something newer
		}
		times = append(times, s.echoedAt)
	}
	v := c.agreement.View
	if at, ok := nthLatest(times, max(c.majority(), len(v.Voters)-len(v.Members)+1)); ok {
		c.readIndexAt = max(c.readIndexAt, at)
	}
}

// ReadIndexAt returns the latest time at which nothing newer than what is committed here is
// known to have been committed, or false if there is none.
func (c *Chain) ReadIndexAt() (time.Duration, bool) { return c.readIndexAt, c.readIndexAt >= 0 }

// onHeartbeat records a peer's heartbeat. It reports whether one of the two machines cannot
// know yet that the path works both ways, because the sender has just started or was not
// heard from recently. An immediate reply then proves the path within one round trip, where
// regular heartbeats take up to two of their periods. The reply echoes the sender's
// heartbeat, so the exchange of replies ends.
func (c *Chain) onHeartbeat(from string, hb Heartbeat) (unproven bool) {
	p := c.peerStates[from]
	if p == nil {
		p = &peerState{lastReachedAt: -1}
		c.peerStates[from] = p
	}
	if !p.everSeen || c.now-p.receivedAt > constants.MemberTimeout || p.heartbeat.Me != hb.Me {
		p.receivingSince, unproven = c.now, true
		if p.heartbeat.Me != hb.Me {
			p.lastReachedAt = -1
		}
		if c.agreement.View.memberIndex(from) >= 0 {
			c.nextRetransmitAt = 0 // anything sent while it was away has been lost
		}
	}
	p.everSeen, p.receivedAt, p.heartbeat = true, c.now, hb
	p.echoedAt = -1
	if since := hb.Echo - c.clockBase; since <= uint64(c.now) {
		p.echoedAt = time.Duration(since)
	} else {
		unproven = true
	}
	p.lastReachedAt = max(p.lastReachedAt, p.echoedAt)
	c.recordDeparture(from, hb)
	c.adoptView(hb.View)
	if revisionOf(c.committed).Less(hb.Committed) && !c.Relay {
		// This machine is behind: it commits what it holds if that is the committed
		// revision, and fetches the state otherwise.
		if revisionOf(c.held) == hb.Committed {
			c.commit(*c.held)
		} else if c.now >= c.nextFetchAt {
			if c.inContact(from) { // a request that may not arrive must not delay one to another peer
				c.nextFetchAt = c.now + constants.HeartbeatInterval
			}
			c.send(from, Fetch{revisionOf(c.committed)})
		}
	}
	return unproven
}

// persistState makes a state durable if it is newer than the one held, and reports whether
// a state at least as new is durable. The bulk is written only when it has changed, since
// duties commit many small states.
func (c *Chain) persistState(d config.Doc) bool {
	if !revisionOf(c.held).Less(d.Stamp) {
		return true
	}
	d.EnsureLedger()
	if d.Version > 0 && !c.bulks[0].matches(&d) && !c.bulks[1].matches(&d) {
		if d.Raw == nil {
			return false // the body is missing; the sender retransmits the state
		}
		i := 0
		if c.bulks[0].matches(c.held) {
			i = 1
		}
		if c.store.Put(bulkKeys[i], bulk{d.Version, d.Sum, d.Raw, d.Ledger}) != nil {
			c.bulks[i] = bulk{} // the write may or may not have taken effect
			return false
		}
		c.bulks[i] = bulk{Version: d.Version, Sum: d.Sum, Ledger: config.Ledger{Sum: d.Ledger.Sum}}
	}
	if c.store.Put(heldKey, d.WithoutBulk()) != nil {
		return false
	}
	c.held = &d
	return true
}

// commit records a state that is known to be committed, and reports it as an effect.
func (c *Chain) commit(d config.Doc) {
	if !revisionOf(c.committed).Less(d.Stamp) {
		return
	}
	d.EnsureLedger()
	c.committed = &d
	c.persistState(d)
	c.expirePending()
	c.effects = append(c.effects, Commit{d})
}

// commitAt commits the state held if it has revision s.
func (c *Chain) commitAt(s config.Revision) {
	if revisionOf(c.committed).Less(s) && revisionOf(c.held) == s {
		c.commit(*c.held)
	}
}
