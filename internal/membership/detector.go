// Package membership finds out which of the system's own processes are alive, in the way of
// SWIM: each probes one other in turn; one that does not answer is asked for through third
// parties, then suspected, and removed only if it does not refute that.
//
// Only the steady clock counts. A process that was itself stopped for a while
// drops the probes it had out, since their silence says nothing of others.
package membership

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"slateridge/internal/constants"
)

// State of a member, in the order in which a later one overrides an earlier
// one of the same number.
type State int

// The states, in the order of State.
const (
	Alive State = iota
	Suspect
	Dead
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead"}[s] }

// Fact is what is said of a member. Num is raised by the member alone, to
// refute what is said of it.
type Fact struct {
	Addr  string
	Name  string
	Num   uint32
	State State
}

// supersedes says whether f overrides o.
func (f Fact) supersedes(o Fact) bool {
	return f.Num > o.Num || f.Num == o.Num && f.State > o.State
}

// Msg is a datagram between members: a probe, its answer, or the wish that
// another be probed.
type Msg struct {
	Kind   Kind
	Seq    uint64
	Target string // of a PingRequest
	Facts  []Fact
}

// Kind of a message.
type Kind int

// The kinds of message: a probe, its answer, and the wish that another be probed.
const (
	Ping Kind = iota
	Ack
	PingRequest
)

// Send is a message to go out.
type Send struct {
	To  string
	Msg Msg
}

// Change is a member's new state.
type Change struct{ Fact Fact }

type member struct {
	fact          Fact
	stateSince    time.Duration
	transmissions int // how often the fact is still to be passed on
}

type probe struct {
	target   string
	seq      uint64
	sentAt   time.Duration
	indirect bool
}

type relayedProbe struct {
	origin string
	seq    uint64
	sentAt time.Duration
}

// Detector is one process's part.
type Detector struct {
	self          Fact
	seeds         []string
	rng           *rand.Rand
	members       map[string]*member
	probeOrder    []string // of probing, shuffled each round
	seq           uint64
	probe         *probe
	relayedProbes map[uint64]relayedProbe
	nextProbeAt   time.Duration
	lastTickAt    time.Duration
	outbox        []any
}

// New makes a member that knows its seeds only.
func New(now time.Duration, addr, name string, seeds []string, rng *rand.Rand) *Detector {
	return &Detector{self: Fact{Addr: addr, Name: name}, seeds: slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == addr }),
		rng: rng, members: map[string]*member{}, relayedProbes: map[uint64]relayedProbe{}, seq: rng.Uint64() >> 1,
		nextProbeAt: now + time.Duration(rng.Int64N(int64(constants.ProbeEvery)))}
}

// Members lists everybody known, this process too, by address.
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

func (d *Detector) send(to string, m Msg) {
	m.Facts = append(m.Facts, d.self)
	var tell []*member
	for _, x := range d.members {
		if x.transmissions > 0 && x.fact.Addr != to {
			tell = append(tell, x)
		}
	}
	sort.Slice(tell, func(i, j int) bool {
		return tell[i].transmissions > tell[j].transmissions || tell[i].transmissions == tell[j].transmissions && tell[i].fact.Addr < tell[j].fact.Addr
	})
	for _, x := range tell[:min(len(tell), constants.GossipFacts)] {
		x.transmissions--
		m.Facts = append(m.Facts, x.fact)
	}
	if room := constants.GossipFacts - len(tell); room > 0 {
		// A few old facts go along, for those whom the news passed by.
		var all []string
		for a, x := range d.members {
			if x.transmissions <= 0 && a != to {
				all = append(all, a)
			}
		}
		sort.Strings(all)
		d.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for _, a := range all[:min(len(all), room, constants.OldFacts)] {
			m.Facts = append(m.Facts, d.members[a].fact)
		}
	}
	// A member that is suspected here is sent the fact, and can refute it.
	if x := d.members[to]; x != nil && x.fact.State != Alive {
		m.Facts = append(m.Facts, x.fact)
	}
	d.outbox = append(d.outbox, Send{to, m})
}

// Tick advances time; it is to be called a few times in a probe's timeout.
func (d *Detector) Tick(now time.Duration) []any {
	paused := d.lastTickAt > 0 && now-d.lastTickAt > constants.ProbeTimeout
	d.lastTickAt = now
	if paused {
		d.resume(now)
	}
	d.checkProbe(now)
	d.expire(now)
	if now >= d.nextProbeAt && d.probe == nil {
		d.nextProbeAt = now + constants.ProbeEvery
		if t := d.nextTarget(); t != "" {
			d.seq++
			d.probe = &probe{target: t, seq: d.seq, sentAt: now}
			d.send(t, Msg{Kind: Ping, Seq: d.seq})
		}
	}
	return d.flush()
}

// resume goes on after this process was paused: the others need not have been, so no
// member is blamed for the time.
func (d *Detector) resume(now time.Duration) {
	d.probe = nil
	for _, m := range d.members {
		if m.fact.State == Suspect {
			m.stateSince = now
		}
	}
}

// checkProbe asks others to probe a member that does not answer, and suspects it when
// they get no answer either.
func (d *Detector) checkProbe(now time.Duration) {
	p := d.probe
	if p == nil {
		return
	}
	switch {
	case !p.indirect && now-p.sentAt > constants.ProbeTimeout:
		p.indirect = true
		for _, h := range d.pickHelpers(p.target) {
			d.send(h, Msg{Kind: PingRequest, Seq: p.seq, Target: p.target})
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

// expire takes suspects that did not refute it for dead, and forgets dead members and
// relayed probes after their time.
func (d *Detector) expire(now time.Duration) {
	for _, m := range d.members {
		if m.fact.State == Suspect && now-m.stateSince > constants.SuspectFor {
			f := m.fact
			f.State = Dead
			d.applyFact(now, f)
		}
	}
	for a, m := range d.members {
		if m.fact.State == Dead && now-m.stateSince > constants.ProxyForget {
			delete(d.members, a)
		}
	}
	for q, e := range d.relayedProbes {
		if now-e.sentAt > 3*constants.ProbeTimeout {
			delete(d.relayedProbes, q)
		}
	}
}

// nextTarget is whom to probe: the members in turn, and the seeds that are not known
// as members yet or any more, so that a lost group finds back.
func (d *Detector) nextTarget() string {
	for range 2 {
		for len(d.probeOrder) > 0 {
			a := d.probeOrder[0]
			d.probeOrder = d.probeOrder[1:]
			m := d.members[a]
			alive := m != nil && m.fact.State != Dead
			if alive || slices.Contains(d.seeds, a) {
				return a
			}
		}
		for a := range d.members {
			d.probeOrder = append(d.probeOrder, a)
		}
		for _, a := range d.seeds {
			if d.members[a] == nil {
				d.probeOrder = append(d.probeOrder, a)
			}
		}
		sort.Strings(d.probeOrder)
		d.rng.Shuffle(len(d.probeOrder), func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] })
	}
	return ""
}

func (d *Detector) pickHelpers(target string) []string {
	var out []string
	for a, m := range d.members {
		if a != target && m.fact.State == Alive {
			out = append(out, a)
		}
	}
	sort.Strings(out)
	d.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), constants.ProbeHelpers)]
}

// applyFact takes up a fact that is newer than what is known.
func (d *Detector) applyFact(now time.Duration, f Fact) {
	if f.Addr == d.self.Addr {
		if f.State != Alive && f.Num >= d.self.Num || f.Num > d.self.Num {
			d.self.Num = f.Num + 1 // not so: this member refutes it
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
	// Passed on often enough to reach all: some multiple of the logarithm.
	m.transmissions = 3
	for n := len(d.members); n > 0; n /= 2 {
		m.transmissions++
	}
	if changed {
		d.outbox = append(d.outbox, Change{f})
	}
}

// Recv takes a message.
func (d *Detector) Recv(now time.Duration, from string, m Msg) []any {
	for _, f := range m.Facts[:min(len(m.Facts), 4*constants.GossipFacts)] {
		d.applyFact(now, f)
	}
	switch m.Kind {
	case Ping:
		d.send(from, Msg{Kind: Ack, Seq: m.Seq})
	case PingRequest:
		d.seq++
		d.relayedProbes[d.seq] = relayedProbe{from, m.Seq, now}
		d.send(m.Target, Msg{Kind: Ping, Seq: d.seq})
	case Ack:
		if e, ok := d.relayedProbes[m.Seq]; ok {
			delete(d.relayedProbes, m.Seq)
			d.send(e.origin, Msg{Kind: Ack, Seq: e.seq})
		}
		if d.probe != nil && d.probe.seq == m.Seq {
			d.probe = nil
		}
	}
	return d.flush()
}
