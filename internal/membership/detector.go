// Package membership finds out which of the system's own processes are alive, in the way of
// SWIM: each probes one other in turn; one that does not answer is asked for through third
// parties, then suspected, and removed only if it does not speak up.
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

// newer says whether f overrides o.
func (f Fact) newer(o Fact) bool {
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

// Change tells of a member's new state.
type Change struct{ Fact Fact }

type member struct {
	fact          Fact
	since         time.Duration
	transmissions int // how often the fact is still to be passed on
}

type probe struct {
	target string
	seq    uint64
	began  time.Duration
	helped bool
}

type relayedProbe struct {
	origin string
	seq    uint64
	began  time.Duration
}

// Detector is one process's part.
type Detector struct {
	self          Fact
	seeds         []string
	rng           *rand.Rand
	members       map[string]*member
	order         []string // of probing, shuffled each round
	seq           uint64
	probe         *probe
	relayedProbes map[uint64]relayedProbe
	nextAt        time.Duration
	tickAt        time.Duration
	outbox        []any
}

// New makes a member that knows its seeds only.
func New(now time.Duration, addr, name string, seeds []string, rng *rand.Rand) *Detector {
	return &Detector{self: Fact{Addr: addr, Name: name}, seeds: slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == addr }),
		rng: rng, members: map[string]*member{}, relayedProbes: map[uint64]relayedProbe{}, seq: rng.Uint64() >> 1,
		nextAt: now + time.Duration(rng.Int64N(int64(constants.ProbeEvery)))}
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
	// Whoever we doubt hears of it from us, and can speak up.
	if x := d.members[to]; x != nil && x.fact.State != Alive {
		m.Facts = append(m.Facts, x.fact)
	}
	d.outbox = append(d.outbox, Send{to, m})
}

// Tick advances time; it is to be called a few times in a probe's timeout.
func (d *Detector) Tick(now time.Duration) []any {
	stopped := d.tickAt > 0 && now-d.tickAt > constants.ProbeTimeout
	d.tickAt = now
	if stopped {
		// This process stood still; nobody else need have.
		d.probe = nil
		for _, m := range d.members {
			if m.fact.State == Suspect {
				m.since = now
			}
		}
	}
	if p := d.probe; p != nil {
		switch {
		case !p.helped && now-p.began > constants.ProbeTimeout:
			p.helped = true
			for _, h := range d.helpers(p.target) {
				d.send(h, Msg{Kind: PingRequest, Seq: p.seq, Target: p.target})
			}
		case now-p.began > 3*constants.ProbeTimeout:
			if m := d.members[p.target]; m != nil && m.fact.State == Alive {
				f := m.fact
				f.State = Suspect
				d.learn(now, f)
			}
			d.probe = nil
		}
	}
	for _, m := range d.members {
		if m.fact.State == Suspect && now-m.since > constants.SuspectFor {
			f := m.fact
			f.State = Dead
			d.learn(now, f)
		}
	}
	for a, m := range d.members {
		if m.fact.State == Dead && now-m.since > constants.ProxyForget {
			delete(d.members, a)
		}
	}
	for q, e := range d.relayedProbes {
		if now-e.began > 3*constants.ProbeTimeout {
			delete(d.relayedProbes, q)
		}
	}
	if now >= d.nextAt && d.probe == nil {
		d.nextAt = now + constants.ProbeEvery
		if t := d.next(); t != "" {
			d.seq++
			d.probe = &probe{target: t, seq: d.seq, began: now}
			d.send(t, Msg{Kind: Ping, Seq: d.seq})
		}
	}
	return d.flush()
}

// next is whom to probe: the members in turn, and the seeds that are not known
// as members yet or any more, so that a lost group finds back.
func (d *Detector) next() string {
	for range 2 {
		for len(d.order) > 0 {
			a := d.order[0]
			d.order = d.order[1:]
			if m := d.members[a]; m != nil && m.fact.State != Dead || m == nil && slices.Contains(d.seeds, a) ||
				m != nil && slices.Contains(d.seeds, a) {
				return a
			}
		}
		for a := range d.members {
			d.order = append(d.order, a)
		}
		for _, a := range d.seeds {
			if d.members[a] == nil {
				d.order = append(d.order, a)
			}
		}
		sort.Strings(d.order)
		d.rng.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
	}
	return ""
}

func (d *Detector) helpers(target string) []string {
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

// learn takes up a fact that is newer than what is known.
func (d *Detector) learn(now time.Duration, f Fact) {
	if f.Addr == d.self.Addr {
		if f.State != Alive && f.Num >= d.self.Num || f.Num > d.self.Num {
			d.self.Num = f.Num + 1 // not so: this member speaks up
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
	} else if !f.newer(m.fact) {
		return
	}
	changed := m.fact.Addr == "" || m.fact.State != f.State
	m.fact, m.since = f, now
	// Told often enough to reach all: some multiple of the logarithm.
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
		d.learn(now, f)
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
