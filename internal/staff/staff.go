// Package staff reads the water's height; in the field's terms: membership and
// failure detection among the system's own processes. Each probes one other in
// turn; one that does not answer is asked for through third parties, then
// suspected, and removed only if it does not speak up.
//
// Only the steady clock counts. A process that was itself stopped for a while
// drops the probes it had out, since their silence says nothing of others.
package staff

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
	Target string // of a Help
	Facts  []Fact
}

// Kind of a message.
type Kind int

const (
	Ping Kind = iota
	Ack
	Help
)

// Send is a message to go out.
type Send struct {
	To  string
	Msg Msg
}

// Change tells of a member's new state.
type Change struct{ Fact Fact }

type member struct {
	fact  Fact
	since time.Duration
	tells int // how often the fact is still to be passed on
}

type probe struct {
	target string
	seq    uint64
	began  time.Duration
	helped bool
}

type errand struct {
	origin string
	seq    uint64
	began  time.Duration
}

// Staff is one process's part.
type Staff struct {
	me      Fact
	seeds   []string
	rng     *rand.Rand
	members map[string]*member
	order   []string // of probing, shuffled each round
	seq     uint64
	probe   *probe
	errands map[uint64]errand
	nextAt  time.Duration
	tickAt  time.Duration
	out     []any
}

// New makes a member that knows its seeds only.
func New(now time.Duration, addr, name string, seeds []string, rng *rand.Rand) *Staff {
	return &Staff{me: Fact{Addr: addr, Name: name}, seeds: slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == addr }),
		rng: rng, members: map[string]*member{}, errands: map[uint64]errand{}, seq: rng.Uint64() >> 1,
		nextAt: now + time.Duration(rng.Int64N(int64(constants.ProbeEvery)))}
}

// Members lists everybody known, this process too, by address.
func (s *Staff) Members() []Fact {
	out := []Fact{s.me}
	for _, m := range s.members {
		out = append(out, m.fact)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Addr < out[j].Addr })
	return out
}

func (s *Staff) flush() []any {
	out := s.out
	s.out = nil
	return out
}

func (s *Staff) send(to string, m Msg) {
	m.Facts = append(m.Facts, s.me)
	var tell []*member
	for _, x := range s.members {
		if x.tells > 0 && x.fact.Addr != to {
			tell = append(tell, x)
		}
	}
	sort.Slice(tell, func(i, j int) bool {
		return tell[i].tells > tell[j].tells || tell[i].tells == tell[j].tells && tell[i].fact.Addr < tell[j].fact.Addr
	})
	for _, x := range tell[:min(len(tell), constants.GossipFacts)] {
		x.tells--
		m.Facts = append(m.Facts, x.fact)
	}
	if room := constants.GossipFacts - len(tell); room > 0 {
		// A few old facts go along, for those whom the news passed by.
		var all []string
		for a, x := range s.members {
			if x.tells <= 0 && a != to {
				all = append(all, a)
			}
		}
		sort.Strings(all)
		s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for _, a := range all[:min(len(all), room, constants.OldFacts)] {
			m.Facts = append(m.Facts, s.members[a].fact)
		}
	}
	// Whoever we doubt hears of it from us, and can speak up.
	if x := s.members[to]; x != nil && x.fact.State != Alive {
		m.Facts = append(m.Facts, x.fact)
	}
	s.out = append(s.out, Send{to, m})
}

// Tick advances time; it is to be called a few times in a probe's timeout.
func (s *Staff) Tick(now time.Duration) []any {
	stopped := s.tickAt > 0 && now-s.tickAt > constants.ProbeTimeout
	s.tickAt = now
	if stopped {
		// This process stood still; nobody else need have.
		s.probe = nil
		for _, m := range s.members {
			if m.fact.State == Suspect {
				m.since = now
			}
		}
	}
	if p := s.probe; p != nil {
		switch {
		case !p.helped && now-p.began > constants.ProbeTimeout:
			p.helped = true
			for _, h := range s.helpers(p.target) {
				s.send(h, Msg{Kind: Help, Seq: p.seq, Target: p.target})
			}
		case now-p.began > 3*constants.ProbeTimeout:
			if m := s.members[p.target]; m != nil && m.fact.State == Alive {
				f := m.fact
				f.State = Suspect
				s.learn(now, f)
			}
			s.probe = nil
		}
	}
	for _, m := range s.members {
		if m.fact.State == Suspect && now-m.since > constants.SuspectFor {
			f := m.fact
			f.State = Dead
			s.learn(now, f)
		}
	}
	for a, m := range s.members {
		if m.fact.State == Dead && now-m.since > constants.ProxyForget {
			delete(s.members, a)
		}
	}
	for q, e := range s.errands {
		if now-e.began > 3*constants.ProbeTimeout {
			delete(s.errands, q)
		}
	}
	if now >= s.nextAt && s.probe == nil {
		s.nextAt = now + constants.ProbeEvery
		if t := s.next(); t != "" {
			s.seq++
			s.probe = &probe{target: t, seq: s.seq, began: now}
			s.send(t, Msg{Kind: Ping, Seq: s.seq})
		}
	}
	return s.flush()
}

// next is whom to probe: the members in turn, and the seeds that are not known
// as members yet or any more, so that a lost group finds back.
func (s *Staff) next() string {
	for range 2 {
		for len(s.order) > 0 {
			a := s.order[0]
			s.order = s.order[1:]
			if m := s.members[a]; m != nil && m.fact.State != Dead || m == nil && slices.Contains(s.seeds, a) ||
				m != nil && slices.Contains(s.seeds, a) {
				return a
			}
		}
		for a := range s.members {
			s.order = append(s.order, a)
		}
		for _, a := range s.seeds {
			if s.members[a] == nil {
				s.order = append(s.order, a)
			}
		}
		sort.Strings(s.order)
		s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	}
	return ""
}

func (s *Staff) helpers(target string) []string {
	var out []string
	for a, m := range s.members {
		if a != target && m.fact.State == Alive {
			out = append(out, a)
		}
	}
	sort.Strings(out)
	s.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), constants.ProbeHelpers)]
}

// learn takes up a fact that is newer than what is known.
func (s *Staff) learn(now time.Duration, f Fact) {
	if f.Addr == s.me.Addr {
		if f.State != Alive && f.Num >= s.me.Num || f.Num > s.me.Num {
			s.me.Num = f.Num + 1 // not so: this member speaks up
		}
		return
	}
	m := s.members[f.Addr]
	if m == nil {
		if f.State == Dead {
			return
		}
		m = &member{}
		s.members[f.Addr] = m
	} else if !f.newer(m.fact) {
		return
	}
	changed := m.fact.Addr == "" || m.fact.State != f.State
	m.fact, m.since = f, now
	// Told often enough to reach all: some multiple of the logarithm.
	m.tells = 3
	for n := len(s.members); n > 0; n /= 2 {
		m.tells++
	}
	if changed {
		s.out = append(s.out, Change{f})
	}
}

// Recv takes a message.
func (s *Staff) Recv(now time.Duration, from string, m Msg) []any {
	for _, f := range m.Facts[:min(len(m.Facts), 4*constants.GossipFacts)] {
		s.learn(now, f)
	}
	switch m.Kind {
	case Ping:
		s.send(from, Msg{Kind: Ack, Seq: m.Seq})
	case Help:
		s.seq++
		s.errands[s.seq] = errand{from, m.Seq, now}
		s.send(m.Target, Msg{Kind: Ping, Seq: s.seq})
	case Ack:
		if e, ok := s.errands[m.Seq]; ok {
			delete(s.errands, m.Seq)
			s.send(e.origin, Msg{Kind: Ack, Seq: e.seq})
		}
		if s.probe != nil && s.probe.seq == m.Seq {
			s.probe = nil
		}
	}
	return s.flush()
}
