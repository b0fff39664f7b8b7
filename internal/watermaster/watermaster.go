// Package watermaster assigns the single duties; in the field's terms: leases
// granted by a majority of the control machines. The holder reckons its lease
// from before it asked, a grantor from after it granted and longer, both by
// the steady clock, so a holder has stopped before anyone else can start. A
// grantor that has just started grants nothing until every lease it may have
// granted before has ended. A holder that comes straight back may take up at once
// what the others still have granted to it: the life that held it is over.
//
// Why there are never two holders, whatever the electorate does:
//
//   - Within one electorate two majorities share a grantor, and it grants to one
//     holder at a time: until its grant has run out, or that holder has given back
//     what its latest Ask got. What another life of the holder got is kept.
//   - Half of the others stand for a majority where a holder comes straight back: with
//     its own vote, which grants nothing yet, too few are left for a majority that
//     none of them is in.
//   - A new electorate is decided by a view that a majority of the voters before has
//     accepted. Who has accepted a view with another electorate is sealed and grants
//     nothing until it knows a newer view, or has accepted another in its place, which
//     shows that the first was not decided. So any lease of the old electorate has a
//     grantor that granted it before the decision, and ends at most LeaseLength after
//     the decision. Whoever grants in the new electorate has learned of it after the
//     decision and waits LeaseLength + LeaseMargin from then. The same holds view by
//     view for one that skips some. A view with the same electorate stops no grant.
//   - Numbers of electorates name them: words of another are dropped. A machine that
//     slept through a change is a minority of the old electorate with all that did.
//
// What that asks of who calls SetElectorate stands there.
package watermaster

import (
	"slices"
	"sort"
	"time"

	"slateridge/internal/conduit"
	"slateridge/internal/datum"
)

type (
	// Ask wants a lease or its renewal.
	Ask struct {
		Duty  string
		Epoch uint64
		Nonce uint64
		Again bool // from a machine that has just started: only what is granted to it already
	}
	// Grant answers; OK false names who holds it instead.
	Grant struct {
		Duty   string
		Epoch  uint64
		Nonce  uint64
		OK     bool
		Holder string
	}
	// Release gives back the grant that answered an Ask. A machine that stops in order
	// names who goes on: what it gives back is kept for that one for a moment.
	Release struct {
		Duty      string
		Nonce     uint64
		Successor string
	}
)

func init() {
	conduit.Register(conduit.NameLeaseRequest, Ask{})
	conduit.Register(conduit.NameLeaseGrant, Grant{})
	conduit.Register(conduit.NameLeaseRelease, Release{})
}

// Send is a message to another machine.
type Send struct {
	To  string
	Msg any
}

type grant struct {
	holder string
	nonce  uint64 // of the holder's latest Ask
	until  time.Duration
	other  time.Duration // until when another life of the holder may rely on it
}

// sameLife says whether one life of a machine asked both: the upper half of a nonce
// is the life's number, the lower half counts.
func sameLife(a, b uint64) bool { return a>>32 == b>>32 }

// question is one round of asking; several may be under way, since answers can take
// longer than the time between two.
type question struct {
	nonce uint64
	again bool
	asked time.Duration
	yes   map[string]bool
}

type claim struct {
	nonce  uint64        // of the latest question; 0: none counts
	open   []question    // the latest last
	until  time.Duration // holder's own reckoning; 0 when not held
	since  time.Duration // start of the unbroken holding
	nextAt time.Duration
	away   time.Duration // given up on purpose: not claimed before
	other  time.Duration // last heard that another holds it
	heir   time.Duration // until when it is kept here for this machine, its holder having stopped
}

// Watermaster is one machine's part: it grants, and it claims.
type Watermaster struct {
	me     string
	epoch  uint64
	peers  []string // the electorate; empty while it is not known
	sealed bool
	duties []string
	start  time.Duration
	grants map[string]grant
	claims map[string]*claim
	nonce  uint64
	out    []Send

	Dropped uint64 // words from or to who has no vote, of another electorate, or on no duty
}

// New makes the machine, without an electorate; all machines name the same
// duties in the same order. life is a number no earlier life of this machine is
// likely to have had.
func New(now time.Duration, life uint64, me string, duties []string) *Watermaster {
	w := &Watermaster{me: me, duties: duties, start: now, nonce: life << 32, grants: map[string]grant{}, claims: map[string]*claim{}}
	for _, d := range duties {
		w.claims[d] = &claim{}
	}
	return w
}

// SetElectorate takes the machines whose majority grants, under the number of
// the view that made them so, and whether this machine has accepted a view with
// another electorate. A sealed machine grants nothing, and a majority is sealed before
// a new electorate is decided; whoever learns of one grants nothing until all that
// the old one granted has ended. So majorities of two electorates never meet.
//
// The caller owes that the number changes whenever the addresses do; that an acceptance
// is told here before the word of it leaves the machine, and no older word after it; and
// that a machine whose disk has forgotten what it accepted is told as sealed until a view
// names its new disk. TestWhatTheElectorateMustTell shows what comes of less.
func (w *Watermaster) SetElectorate(now time.Duration, epoch uint64, peers []string, sealed bool) {
	if epoch < w.epoch {
		return // told late
	}
	w.sealed = sealed
	if epoch == w.epoch {
		return
	}
	w.epoch, w.peers = epoch, slices.Clone(peers)
	sort.Strings(w.peers)
	if w.start < now {
		w.start = now
	}
	w.grants = map[string]grant{}
	for _, c := range w.claims {
		c.nonce, c.open, c.other, c.nextAt = 0, nil, 0, 0 // what is held runs out
	}
}

// Duties lists the duties by name.
func (w *Watermaster) Duties() []string { return w.duties }

// Holds says whether this machine may do a duty at this moment, and since when
// it has held it without a break.
func (w *Watermaster) Holds(now time.Duration, duty string) (since time.Duration, ok bool) {
	c := w.claims[duty]
	return c.since, c.until > now
}

// Until is when this machine's lease of a duty ends by its own reckoning; 0 while
// it has none.
func (w *Watermaster) Until(now time.Duration, duty string) time.Duration {
	if c := w.claims[duty]; c != nil && c.until > now {
		return c.until
	}
	return 0
}

// Holder is who this machine has granted a duty to, if anyone. Its own grant to
// itself does not count without a majority's.
func (w *Watermaster) Holder(now time.Duration, duty string) string {
	if _, ok := w.Holds(now, duty); ok {
		return w.me
	}
	if g := w.grants[duty]; g.until > now && g.holder != w.me {
		return g.holder
	}
	return ""
}

func (w *Watermaster) send(to string, m any, now time.Duration) {
	if to == w.me {
		w.take(now, to, m)
		return
	}
	w.out = append(w.out, Send{to, m})
}

// rank orders the machines for a duty: it falls to the first that is there.
func (w *Watermaster) rank(duty int) int {
	n := len(w.peers)
	return ((slices.Index(w.peers, w.me)-duty)%n + n) % n
}

// Tick claims and renews.
func (w *Watermaster) Tick(now time.Duration) []Send {
	if !slices.Contains(w.peers, w.me) {
		return nil
	}
	for i, d := range w.duties {
		c := w.claims[d]
		held := c.until > now
		if !held {
			c.since = 0
		}
		if now < max(c.nextAt, c.away) {
			continue
		}
		again := false
		if !held {
			if g := w.grants[d]; g.until > now && g.holder != w.me {
				c.other = now // here it is known to be held
				continue
			}
			wait := time.Duration(w.rank(i)) * datum.LeaseStagger
			if now < c.heir {
				wait = 0
			}
			again = now-w.start < 2*datum.LeaseRenew // longer, and its asking would keep the duty from others
			if !again && (now-w.start < datum.LeaseLength+datum.LeaseMargin+wait || c.other > 0 && now-c.other < wait) {
				continue
			}
		}
		w.ask(now, d, again)
	}
	out := w.out
	w.out = nil
	return out
}

// ask begins a round of asking for a duty.
func (w *Watermaster) ask(now time.Duration, duty string, again bool) {
	c := w.claims[duty]
	w.nonce++
	c.nonce = w.nonce
	c.open = append(c.open, question{w.nonce, again, now, map[string]bool{}})
	c.open = c.open[max(0, len(c.open)-int(datum.LeaseLength/datum.LeaseRenew)):]
	c.nextAt = now + datum.LeaseRenew
	for _, p := range w.peers {
		w.send(p, Ask{duty, w.epoch, c.nonce, again}, now)
	}
}

// inherit takes up a duty whose holder has stopped and named this machine.
func (w *Watermaster) inherit(now time.Duration, duty string) {
	c := w.claims[duty]
	if c.until > now || now < c.away || now-w.start < datum.LeaseLength+datum.LeaseMargin {
		return
	}
	c.heir = now + datum.LeaseReserve
	w.ask(now, duty, false)
	c.nextAt = now // what a refusal by one that the Release has not reached yet costs is one step
}

// Recv takes a message.
func (w *Watermaster) Recv(now time.Duration, from string, msg any) []Send {
	if from != w.me && slices.Contains(w.peers, from) && slices.Contains(w.peers, w.me) {
		w.take(now, from, msg)
	} else {
		w.Dropped++
	}
	out := w.out
	w.out = nil
	return out
}

func (w *Watermaster) take(now time.Duration, from string, msg any) {
	switch m := msg.(type) {
	case Ask:
		if w.claims[m.Duty] == nil || m.Epoch != w.epoch {
			w.Dropped++
			return
		}
		if w.sealed {
			return
		}
		g := w.grants[m.Duty]
		known := g.holder == from && g.until > now
		if known && sameLife(m.Nonce, g.nonce) && m.Nonce < g.nonce {
			return // overtaken by a later one
		}
		ok := (g.until <= now || g.holder == from) && now-w.start >= datum.LeaseLength+datum.LeaseMargin
		if m.Again && (g.until <= now || g.holder != from) {
			return
		}
		if ok {
			// Of two lives of the holder nothing tells here which is the later one, as
			// words of the one that is over may come last: each keeps what it got.
			other := time.Duration(0)
			if known {
				other = g.other
				if !sameLife(m.Nonce, g.nonce) {
					other = max(other, g.until)
				}
			}
			g = grant{from, m.Nonce, now + datum.LeaseLength + datum.LeaseMargin, other}
			w.grants[m.Duty] = g
		}
		w.send(from, Grant{m.Duty, w.epoch, m.Nonce, ok, g.holder}, now)
	case Release:
		if w.claims[m.Duty] == nil {
			w.Dropped++
			return
		}
		g := w.grants[m.Duty]
		if g.holder != from || g.nonce != m.Nonce && !(sameLife(g.nonce, m.Nonce) && g.nonce < m.Nonce) {
			return // of a later Ask, or of another life
		}
		w.grants[m.Duty] = grant{holder: from, until: g.other, other: g.other}
		if m.Successor == "" || g.until <= now || g.other > now {
			return
		}
		w.grants[m.Duty] = grant{holder: m.Successor, until: now + datum.LeaseReserve}
		if m.Successor == w.me {
			w.inherit(now, m.Duty)
		}
	case Grant:
		c := w.claims[m.Duty]
		if c == nil || m.Epoch != w.epoch || !m.OK && m.Holder != "" && !slices.Contains(w.peers, m.Holder) {
			w.Dropped++
			return
		}
		i := slices.IndexFunc(c.open, func(q question) bool { return q.nonce == m.Nonce })
		if i < 0 {
			return // overtaken
		}
		q := c.open[i]
		if !m.OK {
			if m.Nonce != c.nonce {
				return
			}
			if m.Holder != "" && m.Holder != w.me {
				c.other = now
				if c.until <= now && now >= c.heir {
					// Give back what was granted here and there, and wait a time
					// of this machine's own: claims that split the votes would
					// keep them split for ever.
					c.nextAt = now + datum.LeaseRenew + datum.LeaseStagger*time.Duration(1+slices.Index(w.peers, w.me))
					for _, p := range w.peers {
						w.send(p, Release{Duty: m.Duty, Nonce: c.nonce}, now)
					}
					c.nonce, c.open = 0, nil
				}
			}
			return
		}
		q.yes[from] = true
		// A holder that came straight back has forgotten its own grant. Half of all
		// machines, itself not counted, leave too few for anyone else.
		enough := len(w.peers)/2 + 1
		if q.again {
			enough = (len(w.peers) + 1) / 2
		}
		if until := q.asked + datum.LeaseLength; len(q.yes) >= enough && until > now && until > c.until {
			if c.until <= now {
				c.since = now
			}
			c.until = until
		}
	default:
		w.Dropped++
	}
}

// Leave gives up what is held, before a planned stop, or the one duty named. Before a
// stop each duty goes to a machine that has just granted its renewal, which takes it up
// at once, and nothing is claimed any more.
func (w *Watermaster) Leave(now time.Duration, only ...string) []Send {
	for i, d := range w.duties {
		stops := len(only) == 0
		if !stops && !slices.Contains(only, d) {
			continue
		}
		successor := ""
		if stops {
			successor = w.successor(i)
			w.claims[d].away = now + datum.LeaseLength*4
		}
		if w.claims[d].until > now {
			w.giveUp(now, d, successor)
		}
	}
	out := w.out
	w.out = nil
	return out
}

func (w *Watermaster) giveUp(now time.Duration, duty, successor string) {
	c := w.claims[duty]
	c.until, c.since, c.away = 0, 0, now+datum.LeaseLength*4
	for _, p := range w.peers {
		w.send(p, Release{duty, c.nonce, successor}, now)
	}
	c.nonce, c.open = 0, nil // an answer still under way must not bring it back
}

// successor is the first in rank for a duty of those that granted its latest renewals;
// empty when none did.
func (w *Watermaster) successor(duty int) string {
	c := w.claims[w.duties[duty]]
	for i := range w.peers {
		p := w.peers[(duty+i)%len(w.peers)]
		if p != w.me && slices.ContainsFunc(c.open, func(q question) bool { return q.yes[p] }) {
			return p
		}
	}
	return ""
}
