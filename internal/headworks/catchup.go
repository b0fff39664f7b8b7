package headworks

import (
	"time"

	"slateridge/internal/datum"
	"slateridge/internal/scheme"
)

// Catching up: what the machines tell each other regularly, what is kept on disk,
// and how old copies are mended.

// rawRef is a configuration and the ledger, kept apart from the states that hold them.
type rawRef struct {
	Version, Sum uint64
	Raw          []byte
	Ledger       scheme.Ledger
}

func (r rawRef) of(d *scheme.Doc) bool {
	return d != nil && r.Version == d.Version && r.Sum == d.Sum && r.Ledger.Sum == d.Ledger.Sum
}

var rawKeys = [2]string{"raw0", "raw1"}

// Joined says whether the newest view known here names this machine's disk a voter.
func (c *Chain) Joined() bool { return c.agr.Joined }

// Status describes this machine for operators.
func (c *Chain) Status() Gauge { return c.gauge() }

func (c *Chain) gauge() Gauge {
	g := Gauge{Me: c.Me, View: c.agr.View, Joined: c.agr.Joined, Asks: c.Relay || !c.agr.Joined, Original: c.Original, Leaving: c.leaving, Unheard: c.unheard(), Sealed: c.sealed(), Sick: c.store.Sick(), Relay: c.Relay, Zone: c.Zone, Region: c.Region,
		Committed: at(c.committed), Held: at(c.held), Version: ver(c.committed), Dropped: c.Dropped}
	if c.Wall != nil {
		g.Wall = c.Wall()
	}
	return g
}

// tell sends a machine this one's gauge.
func (c *Chain) tell(p string) {
	g := c.gauge()
	if s := c.seen[p]; s != nil && s.gauge.View.Num >= g.View.Num {
		g.View = View{Num: g.View.Num} // it has that view; its number is enough
	}
	g.At = c.stampBase + uint64(c.now)
	if s := c.seen[p]; s != nil {
		g.Echo = s.gauge.At
	}
	c.send(p, g)
}

// ask has a relay look at one machine after the other: whose answer came last
// is where it sends those who call it.
func (c *Chain) ask() {
	if c.now < c.gaugeAt {
		return
	}
	c.gaugeAt = c.now + datum.RelayEvery
	for range c.peers {
		c.turn++
		if p := c.peers[c.turn%len(c.peers)]; p != c.Me.Addr {
			c.tell(p)
			return
		}
	}
}

// Ahead is the machine with a say that was heard last, for a relay to send its
// callers to; none when nobody was heard lately.
func (c *Chain) Ahead() (addr string, ok bool) {
	last := c.now - datum.RelayFresh
	for p, s := range c.seen {
		if s.gauge.Joined && !s.gauge.Relay && s.heard > last {
			addr, last, ok = p, s.heard, true
		}
	}
	return addr, ok
}

// lookFresh works out since when this machine is sure to know what is committed. A
// state that is committed is held by every member of its view. So once so many voters
// that one of them must be a member have told, after some moment, of nothing newer than
// what is committed here, nothing newer had been committed in this view at that moment;
// and with a majority of them unsealed after it, no later view had been decided. Their
// words count from the moment of this machine's that they follow, however long they
// were under way.
func (c *Chain) lookFresh() {
	if !c.agr.Joined || c.committed == nil || c.Relay || c.sealed() {
		return
	}
	var since []time.Duration
	for _, v := range c.agr.View.Voters {
		if v == c.Me {
			if at(c.committed) == at(c.held) {
				since = append(since, c.now)
			}
			continue
		}
		s := c.seen[v.Addr]
		if s == nil || s.gauge.Me != v || s.echoed < 0 || !s.gauge.Joined || s.gauge.Sealed {
			continue
		}
		if s.gauge.View.Num > c.agr.View.Num || at(c.committed).Less(s.gauge.Held) {
			continue // it knows more, or may
		}
		since = append(since, s.echoed)
	}
	v := c.agr.View
	if at, ok := nthLatest(since, max(c.majority(), len(v.Voters)-len(v.Members)+1)); ok {
		c.freshAsOf = max(c.freshAsOf, at)
	}
}

// FreshAsOf is the moment at which nothing newer than what is committed here had been
// committed; false while none is known.
func (c *Chain) FreshAsOf() (time.Duration, bool) { return c.freshAsOf, c.freshAsOf >= 0 }

// onGauge takes a machine's word about itself. It says whether one of the two cannot know
// yet that the path works both ways: the sender has just started, or was not heard here
// lately. An answer at once then proves it in a round trip, where regular words take up to
// two of their periods; it echoes the sender, so that answers end.
func (c *Chain) onGauge(from string, g Gauge) (unproven bool) {
	p := c.seen[from]
	if p == nil {
		p = &peerState{reached: -1}
		c.seen[from] = p
	}
	if !p.everSeen || c.now-p.heard > datum.MemberSilence || p.gauge.Me != g.Me {
		p.since, unproven = c.now, true
		if p.gauge.Me != g.Me {
			p.reached = -1
		}
		if c.agr.View.index(from) >= 0 {
			c.passAt = 0 // what was passed while it was not there has been lost
		}
	}
	p.everSeen, p.heard, p.gauge = true, c.now, g
	p.echoed = -1
	if since := g.Echo - c.stampBase; since <= uint64(c.now) {
		p.echoed = time.Duration(since)
	} else {
		unproven = true
	}
	p.reached = max(p.reached, p.echoed)
	c.heardGoodbye(from, g)
	c.learn(g.View)
	if at(c.committed).Less(g.Committed) && !c.Relay {
		// Copies found old are mended: from what is held here when it is that
		// very version, or else by asking for it.
		if at(c.held) == g.Committed {
			c.commit(*c.held)
		} else if c.now >= c.fetchAt {
			if c.inContact(from) { // the asking of one that may not hear it holds up no other
				c.fetchAt = c.now + datum.GaugeEvery
			}
			c.send(from, Fetch{at(c.committed)})
		}
	}
	return unproven
}

// keep makes a state durable here if it is newer than what is held. Its
// configuration is written only when it is another one: a duty's decisions are
// many and small.
func (c *Chain) keep(d scheme.Doc) bool {
	if !at(c.held).Less(d.Stamp) {
		return true
	}
	d.Complete()
	if d.Version > 0 && !c.raws[0].of(&d) && !c.raws[1].of(&d) {
		if d.Raw == nil {
			return false // it should have come whole; whoever sent it sends it again
		}
		i := 0
		if c.raws[0].of(c.held) {
			i = 1
		}
		if c.store.Put(rawKeys[i], rawRef{d.Version, d.Sum, d.Raw, d.Ledger}) != nil {
			c.raws[i] = rawRef{} // may or may not be there
			return false
		}
		c.raws[i] = rawRef{Version: d.Version, Sum: d.Sum, Ledger: scheme.Ledger{Sum: d.Ledger.Sum}}
	}
	if c.store.Put("held", d.Bare()) != nil {
		return false
	}
	c.held = &d
	return true
}

// commit takes a state that is known to be in force for good.
func (c *Chain) commit(d scheme.Doc) {
	if !at(c.committed).Less(d.Stamp) {
		return
	}
	d.Complete()
	c.committed = &d
	c.keep(d)
	c.expire()
	c.out = append(c.out, Commit{d})
}

func (c *Chain) commitAt(s scheme.Stamp) {
	if at(c.committed).Less(s) && at(c.held) == s {
		c.commit(*c.held)
	}
}
