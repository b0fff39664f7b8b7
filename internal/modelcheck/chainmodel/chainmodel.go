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
	world        *modelcheck.World
	chain        map[string]*chain.Chain
	disks        map[string]*simnet.Disk
	nextChoiceAt time.Duration
	err          error

	faults, orders, joined int
	lastID                 uint64
	toleratedStops         []string              // machines stopped within what is tolerated, the first while all was whole
	recentLosses           int                   // machines stopped or lost since all was whole, as long as no other trouble came
	lossAt                 time.Duration         // the latest of them
	leaving                map[string]departure  // machines that stop in order
	lastSubmission         map[string]Submission // by operator
	highestVersion         uint64                // highest version sent
	pendingCalls           map[string][]pendingCall
	pendingReads           map[string]map[uint64]pendingRead
	pendingEvacs           map[string]map[uint64]pendingEvac

	confirmed        map[uint64]string // by version: its content
	confirmedVersion uint64            // the highest version confirmed
	confirmedEvacs   map[string]uint64
	evacSentAt       map[uint64]time.Duration
	views            map[uint64]string
	viewNumber       map[string]uint64
	states           map[config.Revision]committedState
	inForce          map[string]*config.Doc // of a process
	dutyHolders      map[string]*dutyHolder
	platform         platform
	readsAnswered    int // reads answered
	confirmations    int
	leftCount        int // orderly leaves that ended with a view without the leaver
}

// New makes one.
func New(c Config) *Model { return &Model{Config: c} }

var names = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

// skip are the marks of moments that are numbers, not durations, and so differ
// each time.
var skippedFields = []string{"Heartbeat.At", "Heartbeat.Echo", "Heartbeat.Wall", "Chain.readIndexAt"}

// Reset goes back to the start, as package modelcheck asks.
func (m *Model) Reset() {
	m.world = modelcheck.NewWorld(constants.ChainTick, m.tick, m.recv)
	m.chain, m.disks = map[string]*chain.Chain{}, map[string]*simnet.Disk{}
	m.nextChoiceAt, m.err = m.Warm, nil
	m.faults, m.orders, m.joined, m.lastID, m.highestVersion = 0, 0, 0, 0, 0
	m.toleratedStops, m.recentLosses, m.lossAt, m.leaving = nil, 0, 0, map[string]departure{}
	m.lastSubmission, m.pendingCalls = map[string]Submission{}, map[string][]pendingCall{}
	m.pendingReads, m.pendingEvacs = map[string]map[uint64]pendingRead{}, map[string]map[uint64]pendingEvac{}
	m.confirmed, m.confirmedVersion, m.confirmedEvacs = map[uint64]string{}, 0, map[string]uint64{}
	m.evacSentAt = map[uint64]time.Duration{}
	m.views, m.viewNumber, m.states, m.inForce = map[uint64]string{}, map[string]uint64{}, map[config.Revision]committedState{}, map[string]*config.Doc{}
	m.readsAnswered, m.confirmations, m.leftCount = 0, 0, 0
	m.dutyHolders, m.platform = map[string]*dutyHolder{}, platform{fenceHolder: map[uint64]string{}, bodies: map[uint64]string{}}
	for _, n := range names[:m.Founders] {
		m.start(n, true)
	}
	m.world.Run(m.Warm, nil, m.healthy)
	m.world.LastFault = 0
}

// healthy checks what must hold at every moment.
func (m *Model) healthy() bool {
	if m.Duties {
		m.checkOneHolder()
	}
	return m.err == nil
}

func (m *Model) fail(rule, f string, a ...any) {
	if m.err == nil {
		m.err = modelcheck.NewViolation(rule, "at %v: %s", m.world.Now, fmt.Sprintf(f, a...))
	}
}

// Check is the first rule of safety that was broken.
func (m *Model) Check() error { return m.err }

// Hash distinguishes states, as package modelcheck asks.
func (m *Model) Hash() uint64 {
	a := modelcheck.Abstraction{MaxAge: m.MaxAge, SkipFields: skippedFields}
	parts := []any{m.toleratedStops, m.recentLosses, m.lossAt == m.world.LastFault, m.leaving, m.faults, m.orders, m.joined, m.highestVersion, m.lastSubmission, m.confirmed, m.confirmedEvacs, m.evacSentAt, m.states, m.views, m.nextChoiceAt, int(min(m.world.Now-m.world.LastFault, m.CatchUp))}
	for _, n := range m.world.Names {
		parts = append(parts, n, m.disks[n], m.inForce[n] != nil, m.pendingCalls[n], m.pendingReads[n], m.pendingEvacs[n])
		if c := m.chain[n]; c != nil {
			parts = append(parts, c)
		}
	}
	if m.Duties {
		parts = append(parts, m.hashDuties(a))
	}
	return a.Digest(m.world.Now, m.world.Hash(a), a.Digest(m.world.Now, parts...))
}
