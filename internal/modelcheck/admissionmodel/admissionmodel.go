// Package admissionmodel models admission for package modelcheck: the token buckets of a few
// proxies, the trackers that lend and grant tokens, and the live proxy count. The requests
// admitted in any window must stay within the quota's bound, and after faults end, requests
// within the quota must be served.
package admissionmodel

import (
	"fmt"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/constants"
	"slateridge/internal/modelcheck"
)

// Model implements modelcheck.Model for admission.
type Model struct {
	Config
	world           *modelcheck.World
	nextChoiceAt    time.Duration
	err             error
	faults          int
	joined          int
	lastIncarnation uint64
	lastCallID      uint64

	stoppedAt map[string]time.Duration // by process that is down
	proxies   map[string]*proxy
	trackers  map[string]*tracker
	roster    map[string]*rosterEntry
	started   bool // the initial proxies have been admitted

	dutyHolder  string // the machine that holds the tracker's duty; empty while it moves
	heldSince   time.Duration
	vacantSince time.Duration // when the duty was last given up
	nextHolder  string        // the machine that takes the duty next if it is up

	bound      allowance
	recentRuns []time.Duration // times of the requests admitted within the last Window
	served     int
}

// New returns a model with a configuration.
func New(c Config) *Model { return &Model{Config: c} }

// Reset implements modelcheck.Model.
func (m *Model) Reset() {
	m.world = modelcheck.NewWorld(constants.GrantInterval, m.tick, m.recv)
	m.nextChoiceAt, m.err, m.faults, m.joined, m.lastIncarnation, m.lastCallID, m.served = m.Warm, nil, 0, 0, 0, 0, 0
	m.stoppedAt = map[string]time.Duration{}
	m.proxies, m.trackers, m.roster = map[string]*proxy{}, map[string]*tracker{}, map[string]*rosterEntry{}
	m.dutyHolder, m.heldSince, m.vacantSince, m.nextHolder, m.started = "", 0, -dutyVacancy, trackerNames[0], false
	m.bound = newAllowance(m.Quota.Rate, m.Quota.Burst+m.extraBurst())
	m.recentRuns = nil
	m.world.Start(control)
	for _, n := range trackerNames[:m.Trackers] {
		m.startTracker(n)
	}
	for _, n := range proxyNames[:m.Proxies] {
		m.startProxy(n)
	}
	m.world.Run(m.Warm, nil, m.healthy)
	m.setLoad(m.Pressed)
	m.world.LastFault = 0
}

func (m *Model) healthy() bool { return m.err == nil }

func (m *Model) fail(rule, f string, a ...any) {
	if m.err == nil {
		m.err = modelcheck.NewViolation(rule, "at %v: %s", m.world.Now, fmt.Sprintf(f, a...))
	}
}

// Check implements modelcheck.Model.
func (m *Model) Check() error { return m.err }

func (m *Model) quotas() map[string]admission.Quota { return map[string]admission.Quota{key: m.Quota} }
