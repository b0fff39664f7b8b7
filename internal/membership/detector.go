// Package membership detects which of the system's own processes are alive, using the SWIM
// protocol: each member probes the others in turn. A member that does not answer is probed
// indirectly through other members, then suspected, and declared dead only if it does not
// refute the suspicion in time.
//
// All times come from the monotonic clock. A process that was itself paused abandons its
// outstanding probe, because the missing answer says nothing about the other member.
package membership

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"slateridge/internal/constants"
)

// State is the state of a member. Of two facts with the same number, the one with the higher
// state takes precedence.
type State int

// States of a member, in ascending order of precedence.
const (
	Alive State = iota
	Suspect
	Dead
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead"}[s] }

// Fact is a gossiped statement about a member's state.
type Fact struct {
	Addr  string
	Name  string
	Num   uint32 // incarnation number, increased only by the member itself to refute a suspicion
	State State
}

// supersedes reports whether f takes precedence over other.
func (f Fact) supersedes(other Fact) bool {
	return f.Num > other.Num || f.Num == other.Num && f.State > other.State
}

// Msg is a datagram between members.
type Msg struct {
	Kind   Kind
	Seq    uint64
	Target string // member to probe, in a PingRequest
	Facts  []Fact
}

// Kind is the kind of a message.
type Kind int

// Kinds of messages.
const (
	Ping        Kind = iota // a probe
	Ack                     // the answer to a probe
	PingRequest             // asks the receiver to probe another member
)

// Send is an output of the Detector: a message to be sent.
type Send struct {
	To  string
	Msg Msg
}

// Change is an output of the Detector: a member was added or its state changed.
type Change struct{ Fact Fact }

type member struct {
	fact          Fact
	stateSince    time.Duration // when the fact was received
	transmissions int           // remaining times to piggyback the fact on messages
}

// probe is the outstanding probe of this process.
type probe struct {
	target   string
	seq      uint64
	sentAt   time.Duration
	indirect bool // other members have been asked to probe the target
}

// relayedProbe is a probe sent on behalf of another member.
type relayedProbe struct {
	origin string // member that requested the probe
	seq    uint64 // sequence number of its request
	sentAt time.Duration
}

// Detector is the failure detector of one process. It is a state machine without I/O: Tick
// and Recv return the resulting Send and Change values. It is not safe for concurrent use.
type Detector struct {
	self          Fact
	seeds         []string
	rng           *rand.Rand
	members       map[string]*member
	probeOrder    []string // members left to probe in this round, shuffled
	seq           uint64
	probe         *probe
	relayedProbes map[uint64]relayedProbe
	nextProbeAt   time.Duration
	lastTickAt    time.Duration
	outbox        []any
}

// New returns a detector that knows only the addresses of its seeds.
func New(now time.Duration, addr, name string, seeds []string, rng *rand.Rand) *Detector {
	return &Detector{self: Fact{Addr: addr, Name: name}, seeds: slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == addr }),
		rng: rng, members: map[string]*member{}, relayedProbes: map[uint64]relayedProbe{}, seq: rng.Uint64() >> 1,
		nextProbeAt: now + time.Duration(rng.Int64N(int64(constants.ProbeInterval)))}
}

// Members returns the facts of all known members, including this process, sorted by address.
func (d *Detector) Members() []Fact {
	out := []Fact{d.self}
	for _, m := range d.members {
		out = append(out, m.fact)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Addr < out[j].Addr })
	return out
}

func (d *Detector) flush() []any {
	out := d.outbox
	d.outbox = nil
	return out
}

// send queues a message with piggybacked facts: that of this process and those of the members
// with the most transmissions left.
func (d *Detector) send(to string, msg Msg) {
	msg.Facts = append(msg.Facts, d.self)
	var recent []*member
	for _, m := range d.members {
		if m.transmissions > 0 && m.fact.Addr != to {
			recent = append(recent, m)
		}
	}
	sort.Slice(recent, func(i, j int) bool {
		return recent[i].transmissions > recent[j].transmissions || recent[i].transmissions == recent[j].transmissions && recent[i].fact.Addr < recent[j].fact.Addr
	})
	for _, m := range recent[:min(len(recent), constants.GossipFacts)] {
		m.transmissions--
		msg.Facts = append(msg.Facts, m.fact)
	}
	if room := constants.GossipFacts - len(recent); room > 0 {
		// Include a few random older facts, for members that missed them when they were new.
		var older []string
		for addr, m := range d.members {
			if m.transmissions <= 0 && addr != to {
				older = append(older, addr)
			}
		}
		sort.Strings(older)
		d.rng.Shuffle(len(older), func(i, j int) { older[i], older[j] = older[j], older[i] })
		for _, addr := range older[:min(len(older), room, constants.GossipOldFacts)] {
			msg.Facts = append(msg.Facts, d.members[addr].fact)
		}
	}
	// A member considered suspect or dead gets that fact, so that it can refute it.
	if m := d.members[to]; m != nil && m.fact.State != Alive {
		msg.Facts = append(msg.Facts, m.fact)
	}
	d.outbox = append(d.outbox, Send{to, msg})
}

// Tick advances the time. It must be called several times per probe timeout (see
// TickInterval).
func (d *Detector) Tick(now time.Duration) []any {
	paused := d.lastTickAt > 0 && now-d.lastTickAt > constants.ProbeTimeout
	d.lastTickAt = now
	if paused {
		d.resume(now)
	}
	d.checkProbe(now)
	d.expire(now)
	if now >= d.nextProbeAt && d.probe == nil {
		d.nextProbeAt = now + constants.ProbeInterval
		if target := d.nextTarget(); target != "" {
			d.seq++
			d.probe = &probe{target: target, seq: d.seq, sentAt: now}
			d.send(target, Msg{Kind: Ping, Seq: d.seq})
		}
	}
	return d.flush()
}

// resume handles the end of a pause of this process. The pause must not count against other
// members, so it abandons the outstanding probe and restarts the timers of suspects.
func (d *Detector) resume(now time.Duration) {
	d.probe = nil
	for _, m := range d.members {
		if m.fact.State == Suspect {
			m.stateSince = now
		}
	}
}

// checkProbe asks other members to probe a target that has not answered in time, and suspects
// the target if the indirect probes fail too.
func (d *Detector) checkProbe(now time.Duration) {
	p := d.probe
	if p == nil {
		return
	}
	switch {
	case !p.indirect && now-p.sentAt > constants.ProbeTimeout:
		p.indirect = true
		for _, helper := range d.pickHelpers(p.target) {
			d.send(helper, Msg{Kind: PingRequest, Seq: p.seq, Target: p.target})
		}
	case now-p.sentAt > 3*constants.ProbeTimeout:
		if m := d.members[p.target]; m != nil && m.fact.State == Alive {
			f := m.fact
			f.State = Suspect
			d.applyFact(now, f)
		}
		d.probe = nil
	}
}

// expire declares suspects dead that did not refute the suspicion in time, and deletes dead
// members and relayed probes after their timeouts.
func (d *Detector) expire(now time.Duration) {
	for _, m := range d.members {
		if m.fact.State == Suspect && now-m.stateSince > constants.SuspicionTimeout {
			f := m.fact
			f.State = Dead
			d.applyFact(now, f)
		}
	}
	for addr, m := range d.members {
		if m.fact.State == Dead && now-m.stateSince > constants.ProxyExpiry {
			delete(d.members, addr)
		}
	}
	for seq, p := range d.relayedProbes {
		if now-p.sentAt > 3*constants.ProbeTimeout {
			delete(d.relayedProbes, seq)
		}
	}
}

// nextTarget returns the member to probe next, or "" if there is none. It goes through the
// members in rounds, and includes the seeds that are not known as members, so that separated
// groups find each other again.
func (d *Detector) nextTarget() string {
	for range 2 {
		for len(d.probeOrder) > 0 {
			addr := d.probeOrder[0]
			d.probeOrder = d.probeOrder[1:]
			m := d.members[addr]
			alive := m != nil && m.fact.State != Dead
			if alive || slices.Contains(d.seeds, addr) {
				return addr
			}
		}
		for addr := range d.members {
			d.probeOrder = append(d.probeOrder, addr)
		}
		for _, addr := range d.seeds {
			if d.members[addr] == nil {
				d.probeOrder = append(d.probeOrder, addr)
			}
		}
		sort.Strings(d.probeOrder)
		d.rng.Shuffle(len(d.probeOrder), func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] })
	}
	return ""
}

// pickHelpers returns random alive members to probe the target indirectly.
func (d *Detector) pickHelpers(target string) []string {
	var out []string
	for addr, m := range d.members {
		if addr != target && m.fact.State == Alive {
			out = append(out, addr)
		}
	}
	sort.Strings(out)
	d.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), constants.IndirectProbes)]
}

// applyFact stores and gossips a fact that supersedes the known one. A fact that contradicts
// this process being alive is refuted instead.
func (d *Detector) applyFact(now time.Duration, f Fact) {
	if f.Addr == d.self.Addr {
		if f.State != Alive && f.Num >= d.self.Num || f.Num > d.self.Num {
			d.self.Num = f.Num + 1 // the higher incarnation refutes the fact
		}
		return
	}
	m := d.members[f.Addr]
	if m == nil {
		if f.State == Dead {
			return
		}
		m = &member{}
		d.members[f.Addr] = m
	} else if !f.supersedes(m.fact) {
		return
	}
	changed := m.fact.Addr == "" || m.fact.State != f.State
	m.fact, m.stateSince = f, now
	// A number of transmissions logarithmic in the cluster size spreads the fact to all members.
	m.transmissions = 3
	for n := len(d.members); n > 0; n /= 2 {
		m.transmissions++
	}
	if changed {
		d.outbox = append(d.outbox, Change{f})
	}
}

// Recv handles a message.
func (d *Detector) Recv(now time.Duration, from string, msg Msg) []any {
	for _, f := range msg.Facts[:min(len(msg.Facts), 4*constants.GossipFacts)] {
		d.applyFact(now, f)
	}
	switch msg.Kind {
	case Ping:
		d.send(from, Msg{Kind: Ack, Seq: msg.Seq})
	case PingRequest:
		d.seq++
		d.relayedProbes[d.seq] = relayedProbe{from, msg.Seq, now}
		d.send(msg.Target, Msg{Kind: Ping, Seq: d.seq})
	case Ack:
		if p, ok := d.relayedProbes[msg.Seq]; ok {
			delete(d.relayedProbes, msg.Seq)
			d.send(p.origin, Msg{Kind: Ack, Seq: p.seq})
		}
		if d.probe != nil && d.probe.seq == msg.Seq {
			d.probe = nil
		}
	}
	return d.flush()
}
