// Package leasemodel models the leases of duties for package modelcheck: a duty never has two
// holders at the same time, and has one after faults end, even while the electorate changes.
package leasemodel

import (
	"slices"
	"strings"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/lease"
	"slateridge/internal/modelcheck"
)

// Rules, by the names under which a violation is reported.
const (
	RuleOneHolder = "one holder a duty"
	RuleHeld      = "a duty is held after quiet"
)

// Config bounds a model.
type Config struct {
	Machines      int // number of machines of the first electorate
	ExtraMachines int // number of further machines that an electorate may add
	Duties        []string
	Faults        int // maximum per schedule; repairs do not count
	Changes       int // maximum number of electorate changes
	Step          time.Duration
	Messages      bool     // also choose before each message
	Kinds         []string // kinds of choices; empty means all
	Without       []string // excluded kinds
	Warm          time.Duration
	SettleTime    time.Duration // time after the end of faults before a duty must be held
	// Skew is how much faster than true time each machine's monotonic clock runs, in
	// thousandths, in the order of the machines.
	Skew []int
}

// Small returns a configuration with three machines, one extra machine and one duty. The clocks
// differ by the allowed margin.
func Small() Config {
	return Config{Machines: 3, ExtraMachines: 1, Duties: []string{"x"}, Faults: 4, Changes: 2, Step: 200 * time.Millisecond,
		Warm: 3 * time.Second, SettleTime: 8 * time.Second, Skew: []int{-40, 0, 40, 20}}
}

// electorate is one of the electorates decided so far.
type electorate struct{ peers []string }

// Model implements modelcheck.Model for leases.
type Model struct {
	Config
	world        *modelcheck.World
	managers     map[string]*lease.Manager
	startedAt    map[string]time.Duration
	nextChoiceAt time.Duration
	err          error
	faults       int

	electorates []electorate
	known       map[string]int  // by machine: the number of the electorate it knows
	uncertain   map[string]bool // by machine: it took part in deciding on the next electorate and has not learned the outcome
}

// New returns a model with a configuration.
func New(c Config) *Model { return &Model{Config: c} }

// abstraction sets a MaxAge above all times that matter: grants expire after a second, and a machine that has
// just started waits as long.
var abstraction = modelcheck.Abstraction{MaxAge: 3 * time.Second}

var names = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

// Reset implements modelcheck.Model.
func (m *Model) Reset() {
	m.world = modelcheck.NewWorld(constants.LeaseTick, m.tick, m.recv)
	m.managers, m.startedAt = map[string]*lease.Manager{}, map[string]time.Duration{}
	m.nextChoiceAt, m.err, m.faults = m.Warm, nil, 0
	m.electorates = []electorate{{names[:m.Machines]}}
	m.known, m.uncertain = map[string]int{}, map[string]bool{}
	for _, n := range names[:m.Machines+m.ExtraMachines] {
		m.known[n] = 1
		m.start(n)
	}
	m.world.Run(m.Warm, nil, m.healthy)
	m.world.LastFault = 0
}

// clock returns a machine's monotonic clock.
func (m *Model) clock(n string) time.Duration {
	skew := 0
	if i := slices.Index(names, n); i < len(m.Skew) {
		skew = m.Skew[i]
	}
	return (m.world.Now - m.startedAt[n]) * time.Duration(1000+skew) / 1000
}

// start starts a machine's process, which knows the electorate stored on its disk.
func (m *Model) start(n string) {
	m.startedAt[n] = m.world.Now
	incarnation := uint64(m.world.Incarnation(n)+1) << 32
	m.managers[n] = lease.New(0, incarnation, n, m.Duties)
	m.world.Start(n)
}

func (m *Model) sendAll(n string, out []lease.Send) {
	for _, s := range out {
		m.world.Send(n, s.To, s.Msg)
	}
}

func (m *Model) tick(n string) {
	k := m.known[n]
	m.managers[n].SetElectorate(m.clock(n), uint64(k), m.electorates[k-1].peers, m.uncertain[n])
	m.sendAll(n, m.managers[n].Tick(m.clock(n)))
}

func (m *Model) recv(e *modelcheck.Event) {
	m.sendAll(e.To, m.managers[e.To].Recv(m.clock(e.To), e.From, e.Msg))
}

func (m *Model) healthy() bool {
	for _, d := range m.Duties {
		if holders := m.holders(d); len(holders) > 1 && m.err == nil {
			m.err = modelcheck.NewViolation(RuleOneHolder, "at %v: duty %s is held by %s", m.world.Now, d, strings.Join(holders, " and "))
		}
	}
	return m.err == nil
}

func (m *Model) holders(duty string) (holders []string) {
	for _, n := range m.world.Names {
		if m.world.Up(n) {
			if _, ok := m.managers[n].Holds(m.clock(n), duty); ok {
				holders = append(holders, n)
			}
		}
	}
	return holders
}

// Check implements modelcheck.Model.
func (m *Model) Check() error { return m.err }

var faultKinds = []string{"isolate", "mute", "deafen", "cut", "part", "freeze", "lose", "double", "late", "restart", "stop"}

// ChoiceKinds lists all kinds of choices.
var ChoiceKinds = append(slices.Clone(faultKinds), "join", "thaw", "start", "yield", "elect")

// electorateChoices lists the possible next electorates: one machine more or one less.
func (m *Model) electorateChoices() (out []string) {
	peers := m.electorates[len(m.electorates)-1].peers
	if len(m.electorates) > m.Changes {
		return nil
	}
	for _, n := range names[:m.Machines+m.ExtraMachines] {
		if !slices.Contains(peers, n) {
			out = append(out, "elect +"+n)
		} else if len(peers) > m.Machines {
			out = append(out, "elect -"+n)
		}
	}
	return out
}

// decidingMajority returns the first machines that can decide on the next electorate: a majority
// of the current one that is running and knows it, or nil.
func (m *Model) decidingMajority() (out []string) {
	now := m.electorates[len(m.electorates)-1].peers
	for _, n := range now {
		if m.world.Up(n) && !m.world.Frozen(n) && m.known[n] == len(m.electorates) {
			out = append(out, n)
		}
	}
	if need := len(now)/2 + 1; len(out) >= need {
		return out[:need]
	}
	return nil
}

// Choices implements modelcheck.Model.
func (m *Model) Choices() []string {
	choices := modelcheck.NewChoices(m.Kinds, m.Without)
	if m.faults >= m.Faults {
		choices.Exclude(faultKinds)
	}
	add := choices.Add
	if m.Messages && m.world.NextMessage() != nil {
		add(m.world.MessageChoices()...)
	}
	for _, n := range m.world.Names {
		if !m.world.Up(n) {
			add("start " + n)
			continue
		}
		add("restart "+n, "stop "+n)
		if !m.world.Frozen(n) {
			add("yield " + n)
		}
	}
	if m.decidingMajority() != nil {
		add(m.electorateChoices()...)
	}
	add(m.world.FreezeChoices()...)
	add(m.world.NetworkChoices()...)
	return choices.List
}

// Apply implements modelcheck.Model.
func (m *Model) Apply(n int) {
	if n == 0 {
		m.nextChoiceAt = m.world.RunDefault(m.nextChoiceAt, m.Step, func(*modelcheck.Event) bool { return m.Messages }, m.healthy)
		m.healthy()
		return
	}
	choice := m.Choices()[n]
	f := strings.Fields(choice)
	if slices.Contains(faultKinds, f[0]) {
		m.faults++
	}
	if m.world.ApplyChoice(choice) {
		m.healthy()
		return
	}
	switch f[0] {
	case "restart":
		m.world.Stop(f[1])
		incarnation := m.world.Incarnation(f[1])
		m.world.After(modelcheck.RestartTime, func() {
			if m.world.Incarnation(f[1]) == incarnation {
				m.start(f[1])
			}
		})
	case "stop":
		m.world.Stop(f[1])
	case "start":
		m.start(f[1])
	case "yield":
		m.sendAll(f[1], m.managers[f[1]].Resign(m.clock(f[1])))
	case "elect":
		m.elect(f[1])
	}
	m.world.LastFault = m.world.Now
	m.healthy()
}

// elect decides on the next electorate as a change of view does: it first marks the current
// electorate as uncertain at a majority of its machines. The first machine learns the outcome
// immediately and the others one after the other, the last much later.
func (m *Model) elect(change string) {
	peers := slices.Clone(m.electorates[len(m.electorates)-1].peers)
	if n := change[1:]; change[0] == '+' {
		peers = append(peers, n)
	} else {
		peers = slices.DeleteFunc(peers, func(o string) bool { return o == n })
	}
	for _, n := range m.decidingMajority() {
		m.uncertain[n] = true
		k := m.known[n]
		m.managers[n].SetElectorate(m.clock(n), uint64(k), m.electorates[k-1].peers, true)
	}
	m.electorates = append(m.electorates, electorate{peers})
	num := len(m.electorates)
	for i, n := range names[:m.Machines+m.ExtraMachines] {
		m.world.After(time.Duration(i*i)*modelcheck.RestartTime, func() { m.learn(n, num) })
	}
}

func (m *Model) learn(n string, num int) {
	if m.known[n] < num {
		m.known[n], m.uncertain[n] = num, false
	}
}

// Hash implements modelcheck.Model.
func (m *Model) Hash() uint64 {
	parts := []any{m.faults, m.nextChoiceAt, m.known, m.uncertain}
	for _, e := range m.electorates {
		parts = append(parts, e.peers)
	}
	out := []any{m.world.Hash(abstraction), abstraction.Digest(m.world.Now, parts...)}
	for _, n := range m.world.Names {
		if m.world.Up(n) {
			out = append(out, abstraction.Digest(m.clock(n), m.managers[n]))
		}
	}
	return abstraction.Digest(m.world.Now, out...)
}

// CheckLiveness implements modelcheck.Model: after all faults have ended, each duty must have
// exactly one holder.
func (m *Model) CheckLiveness() error {
	m.world.Heal()
	for _, n := range m.world.Names {
		if !m.world.Up(n) {
			m.start(n)
		}
	}
	m.world.Run(m.world.Now+m.SettleTime, nil, m.healthy)
	for _, d := range m.Duties {
		if holders := m.holders(d); m.err == nil && len(holders) != 1 {
			m.err = modelcheck.NewViolation(RuleHeld, "at %v: %v after faults ended, duty %s is held by %d machines", m.world.Now, m.SettleTime, d, len(holders))
		}
	}
	return m.err
}
