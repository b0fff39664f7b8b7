package chain

import (
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
)

// Catching up: what the machines tell each other regularly, what is kept on disk,
// and how old copies are mended.

// bulk is a configuration and the ledger, kept apart from the states that hold them.
type bulk struct {
	Version, Sum uint64
	Raw          []byte
	Ledger       config.Ledger
}

func (r bulk) matches(d *config.Doc) bool {
	return d != nil && r.Version == d.Version && r.Sum == d.Sum && r.Ledger.Sum == d.Ledger.Sum
}

var bulkKeys = [2]string{"raw0", "raw1"}

// Joined says whether the newest view known here names this machine's disk a voter.
func (c *Chain) Joined() bool { return c.agreement.Joined }

// Status describes this machine for operators.
func (c *Chain) Status() Heartbeat { return c.heartbeat() }

func (c *Chain) heartbeat() Heartbeat {
	g := Heartbeat{
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
		Unheard:   c.peersOutOfContact(),
		Asks:      c.Relay || !c.agreement.Joined,
		Committed: revisionOf(c.committed),
		Held:      revisionOf(c.held),
		Version:   VersionOf(c.committed),
		Dropped:   c.DroppedOrders,
	}
	if c.WallClock != nil {
		g.Wall = c.WallClock()
	}
	return g
}

// sendHeartbeat sends a machine this one's heartbeat.
func (c *Chain) sendHeartbeat(p string) {
	g := c.heartbeat()
	if s := c.peerStates[p]; s != nil && s.heartbeat.View.Num >= g.View.Num {
		g.View = View{Num: g.View.Num} // it has that view; its number is enough
	}
	g.At = c.clockBase + uint64(c.now)
	if s := c.peerStates[p]; s != nil {
		g.Echo = s.heartbeat.At
	}
	c.send(p, g)
}

// ask has a relay look at one machine after the other: whose answer came last
// is where it sends those who call it.
func (c *Chain) ask() {
	if c.now < c.heartbeatAt {
		return
	}
	c.heartbeatAt = c.now + constants.RelayEvery
	for range c.peers {
		c.relayTurn++
		if p := c.peers[c.relayTurn%len(c.peers)]; p != c.Me.Addr {
			c.sendHeartbeat(p)
			return
		}
	}
}

// RedirectTarget is the machine with a say that was heard last, for a relay to send its
// callers to; none when nobody was heard lately.
func (c *Chain) RedirectTarget() (addr string, ok bool) {
	last := c.now - constants.RelayFresh
	for p, s := range c.peerStates {
		if s.heartbeat.Joined && !s.heartbeat.Relay && s.heardAt > last {
			addr, last, ok = p, s.heardAt, true
		}
	}
	return addr, ok
}

// updateReadIndex works out since when this machine is sure to know what is committed. A
// state that is committed is held by every member of its view. So once so many voters
// that one of them must be a member have told, after some moment, of nothing newer than
// what is committed here, nothing newer had been committed in this view at that moment;
// and with a majority of them unsealed after it, no later view had been decided. Their
// words count from the moment of this machine's that they follow, however long they
// were under way.
func (c *Chain) updateReadIndex() {
	if !c.agreement.Joined || c.committed == nil || c.Relay || c.sealed() {
		return
	}
	var since []time.Duration
	for _, v := range c.agreement.View.Voters {
		if v == c.Me {
			if revisionOf(c.committed) == revisionOf(c.held) {
				since = append(since, c.now)
			}
			continue
		}
		s := c.peerStates[v.Addr]
		if s == nil || s.heartbeat.Me != v || s.echoedAt < 0 || !s.heartbeat.Joined || s.heartbeat.Sealed {
			continue
		}
		if s.heartbeat.View.Num > c.agreement.View.Num || revisionOf(c.committed).Less(s.heartbeat.Held) {
			continue // it knows more, or may
		}
		since = append(since, s.echoedAt)
	}
	v := c.agreement.View
	if at, ok := nthLatest(since, max(c.majority(), len(v.Voters)-len(v.Members)+1)); ok {
		c.readIndexAt = max(c.readIndexAt, at)
	}
}

// ReadIndexAt is the moment at which nothing newer than what is committed here had been
// committed; false while none is known.
func (c *Chain) ReadIndexAt() (time.Duration, bool) { return c.readIndexAt, c.readIndexAt >= 0 }

// onHeartbeat takes a machine's word about itself. It says whether one of the two cannot know
// yet that the path works both ways: the sender has just started, or was not heard here
// lately. An answer at once then proves it in a round trip, where regular words take up to
// two of their periods; it echoes the sender, so that answers end.
func (c *Chain) onHeartbeat(from string, g Heartbeat) (unproven bool) {
	p := c.peerStates[from]
	if p == nil {
		p = &peerState{reached: -1}
		c.peerStates[from] = p
	}
	if !p.everSeen || c.now-p.heardAt > constants.MemberSilence || p.heartbeat.Me != g.Me {
		p.heardSince, unproven = c.now, true
		if p.heartbeat.Me != g.Me {
			p.reached = -1
		}
		if c.agreement.View.index(from) >= 0 {
			c.passAt = 0 // what was passed while it was not there has been lost
		}
	}
	p.everSeen, p.heardAt, p.heartbeat = true, c.now, g
	p.echoedAt = -1
	if since := g.Echo - c.clockBase; since <= uint64(c.now) {
		p.echoedAt = time.Duration(since)
	} else {
		unproven = true
	}
	p.reached = max(p.reached, p.echoedAt)
	c.noteDeparture(from, g)
	c.learn(g.View)
	if revisionOf(c.committed).Less(g.Committed) && !c.Relay {
		// Copies found old are mended: from what is held here when it is that
		// very version, or else by asking for it.
		if revisionOf(c.held) == g.Committed {
			c.commit(*c.held)
		} else if c.now >= c.fetchAt {
			if c.inContact(from) { // the asking of one that may not hear it holds up no other
				c.fetchAt = c.now + constants.HeartbeatEvery
			}
			c.send(from, Fetch{revisionOf(c.committed)})
		}
	}
	return unproven
}

// persistState makes a state durable here if it is newer than what is held. Its
// configuration is written only when it is another one: a duty's decisions are
// many and small.
func (c *Chain) persistState(d config.Doc) bool {
	if !revisionOf(c.held).Less(d.Stamp) {
		return true
	}
	d.Complete()
	if d.Version > 0 && !c.bulks[0].matches(&d) && !c.bulks[1].matches(&d) {
		if d.Raw == nil {
			return false // it should have come whole; whoever sent it sends it again
		}
		i := 0
		if c.bulks[0].matches(c.held) {
			i = 1
		}
		if c.store.Put(bulkKeys[i], bulk{d.Version, d.Sum, d.Raw, d.Ledger}) != nil {
			c.bulks[i] = bulk{} // may or may not be there
			return false
		}
		c.bulks[i] = bulk{Version: d.Version, Sum: d.Sum, Ledger: config.Ledger{Sum: d.Ledger.Sum}}
	}
	if c.store.Put(heldKey, d.Bare()) != nil {
		return false
	}
	c.held = &d
	return true
}

// commit takes a state that is known to be in force for good.
func (c *Chain) commit(d config.Doc) {
	if !revisionOf(c.committed).Less(d.Stamp) {
		return
	}
	d.Complete()
	c.committed = &d
	c.persistState(d)
	c.expire()
	c.effects = append(c.effects, Commit{d})
}

func (c *Chain) commitAt(s config.Revision) {
	if revisionOf(c.committed).Less(s) && revisionOf(c.held) == s {
		c.commit(*c.held)
	}
}
