// Package chainmodel models the chain of control machines for package modelcheck: founders and
// newcomers, operators that submit configurations and retry after lost answers, and the rules
// that must always hold.
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

// Model implements modelcheck.Model for the chain.
type Model struct {
	Config
	world        *modelcheck.World
	chain        map[string]*chain.Chain
	disks        map[string]*simnet.Disk
	nextChoiceAt time.Duration
	err          error

	faults, operatorCalls, joined int
	lastID                        uint64
	toleratedStops                []string              // machines stopped within the tolerance, the first of them while all machines were healthy
	recentLosses                  int                   // machines stopped or lost since all were healthy, as long as no other fault occurred
	lossAt                        time.Duration         // time of the latest of these losses
	leaving                       map[string]departure  // machines in an orderly shutdown
	lastSubmission                map[string]Submission // by operator
	highestVersion                uint64                // highest version submitted
	pendingCalls                  map[string][]pendingCall
	pendingReads                  map[string]map[uint64]pendingRead
	pendingEvacs                  map[string]map[uint64]pendingEvac

	confirmed        map[uint64]string // by version: its content
	confirmedVersion uint64            // highest confirmed version
	confirmedEvacs   map[string]uint64
	evacSentAt       map[uint64]time.Duration
	views            map[uint64]string
	viewNumber       map[string]uint64
	states           map[config.Revision]committedState
	inForce          map[string]*config.Doc // by machine: the state its process last committed
	dutyHolders      map[string]*dutyHolder
	platform         platform
	readsAnswered    int // number of reads answered
	confirmations    int
	leftCount        int // number of orderly shutdowns that ended with a view without the machine
}

// New returns a model with a configuration.
func New(c Config) *Model { return &Model{Config: c} }

var names = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

// skippedFields are points in time stored as integers rather than durations, which differ in
// every state.
var skippedFields = []string{"Heartbeat.At", "Heartbeat.Echo", "Heartbeat.Wall", "Chain.readIndexAt"}

// Reset implements modelcheck.Model.
func (m *Model) Reset() {
	m.world = modelcheck.NewWorld(constants.ChainTick, m.tick, m.recv)
	m.chain, m.disks = map[string]*chain.Chain{}, map[string]*simnet.Disk{}
	m.nextChoiceAt, m.err = m.Warm, nil
	m.faults, m.operatorCalls, m.joined, m.lastID, m.highestVersion = 0, 0, 0, 0, 0
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

// healthy checks the rules that must hold at every moment and reports whether none was
// violated.
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

// Check implements modelcheck.Model.
func (m *Model) Check() error { return m.err }

// Hash implements modelcheck.Model.
func (m *Model) Hash() uint64 {
	a := modelcheck.Abstraction{MaxAge: m.MaxAge, SkipFields: skippedFields}
	parts := []any{m.toleratedStops, m.recentLosses, m.lossAt == m.world.LastFault, m.leaving, m.faults, m.operatorCalls, m.joined, m.highestVersion, m.lastSubmission, m.confirmed, m.confirmedEvacs, m.evacSentAt, m.states, m.views, m.nextChoiceAt, int(min(m.world.Now-m.world.LastFault, m.CatchUp))}
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
