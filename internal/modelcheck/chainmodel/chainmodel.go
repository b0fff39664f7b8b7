// Package chainmodel has package modelcheck drive the chain of control machines: founders
// and newcomers, operators that order and ask again after lost answers, and the rules that
// must hold through all of it.
package chainmodel

import (
	"fmt"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/controlplane/chain"
	"slateridge/internal/modelcheck"
	"slateridge/internal/simnet"
)

// Model is the chain as package modelcheck drives it.
type Model struct {
	Config
	world *modelcheck.World
	chain map[string]*chain.Chain
	disks map[string]*simnet.Disk
	grid  time.Duration
	err   error

	faults, orders, came int
	ids                  uint64
	spares               []string         // machines stopped within what is tolerated, the first while all was whole
	losses               int              // machines stopped or lost since all was whole, as long as no other trouble came
	lossAt               time.Duration    // the latest of them
	leaving              map[string]leave // machines that stop in order
	last                 map[string]Order // by operator
	highestVersion       uint64           // highest version sent
	waiters              map[string][]waiting
	reads                map[string]map[uint64]reading
	evacs                map[string]map[uint64]evacuation

	confirmed   map[uint64]string // by version: its content
	acked       uint64            // the highest version confirmed
	evacAcked   map[string]uint64
	evacSent    map[uint64]time.Duration
	views       map[uint64]string
	viewOf      map[string]uint64
	states      map[config.Revision]state
	inForce     map[string]*config.Doc // of a process
	dutyHolders map[string]*dutyHolder
	platform    platform
	answers     int // reads answered
	confirms    int
	left        int // orderly leaves that ended with a view without the leaver
}

// New makes one.
func New(c Config) *Model { return &Model{Config: c} }

var names = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

// skip are the marks of moments that are numbers, not durations, and so differ
// each time.
var skip = []string{"Heartbeat.At", "Heartbeat.Echo", "Heartbeat.Wall", "Chain.readIndexAt"}

// Reset goes back to the start, as package modelcheck asks.
func (m *Model) Reset() {
	m.world = modelcheck.NewWorld(constants.ChainTick, m.tick, m.recv)
	m.chain, m.disks = map[string]*chain.Chain{}, map[string]*simnet.Disk{}
	m.grid, m.err = m.Warm, nil
	m.faults, m.orders, m.came, m.ids, m.highestVersion = 0, 0, 0, 0, 0
	m.spares, m.losses, m.lossAt, m.leaving = nil, 0, 0, map[string]leave{}
	m.last, m.waiters = map[string]Order{}, map[string][]waiting{}
	m.reads, m.evacs = map[string]map[uint64]reading{}, map[string]map[uint64]evacuation{}
	m.confirmed, m.acked, m.evacAcked = map[uint64]string{}, 0, map[string]uint64{}
	m.evacSent = map[uint64]time.Duration{}
	m.views, m.viewOf, m.states, m.inForce = map[uint64]string{}, map[string]uint64{}, map[config.Revision]state{}, map[string]*config.Doc{}
	m.answers, m.confirms, m.left = 0, 0, 0
	m.dutyHolders, m.platform = map[string]*dutyHolder{}, platform{holderOf: map[uint64]string{}, bodies: map[uint64]string{}}
	for _, n := range names[:m.Founders] {
		m.start(n, true)
	}
	m.world.Run(m.Warm, nil, m.healthy)
	m.world.Trouble = 0
}

// healthy checks what must hold at every moment.
func (m *Model) healthy() bool {
	if m.Duties {
		m.oneHolder()
	}
	return m.err == nil
}

func (m *Model) broken(rule, f string, a ...any) {
	if m.err == nil {
		m.err = modelcheck.Broken(rule, "at %v: %s", m.world.Now, fmt.Sprintf(f, a...))
	}
}

// Check is the first rule of safety that was broken.
func (m *Model) Check() error { return m.err }

// Hash distinguishes states, as package modelcheck asks.
func (m *Model) Hash() uint64 {
	a := modelcheck.Abstraction{LongAgo: m.LongAgo, Skip: skip}
	parts := []any{m.spares, m.losses, m.lossAt == m.world.Trouble, m.leaving, m.faults, m.orders, m.came, m.highestVersion, m.last, m.confirmed, m.evacAcked, m.evacSent, m.states, m.views, m.grid, int(min(m.world.Now-m.world.Trouble, m.CatchUp))}
	for _, n := range m.world.Names {
		parts = append(parts, n, m.disks[n], m.inForce[n] != nil, m.waiters[n], m.reads[n], m.evacs[n])
		if c := m.chain[n]; c != nil {
			parts = append(parts, c)
		}
	}
	if m.Duties {
		parts = append(parts, m.dutiesHash(a))
	}
	return a.Digest(m.world.Now, m.world.Hash(a), a.Digest(m.world.Now, parts...))
}
