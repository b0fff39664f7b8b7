package chainmodel

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"slateridge/internal/controlplane/chain"
	"slateridge/internal/lease"
	"slateridge/internal/modelcheck"
	"slateridge/internal/simnet"
)

// periodic reports whether a message is one that machines send periodically.
func periodic(msg any) bool {
	switch msg.(type) {
	case chain.Heartbeat, lease.Request, lease.Grant:
		return true
	}
	return false
}

// nextProtocolMessage returns the next message if it is a choice point.
func (m *Model) nextProtocolMessage() *modelcheck.Event {
	if e := m.world.NextMessage(); m.Messages && e != nil && !periodic(e.Msg) {
		return e
	}
	return nil
}

// allHealthy reports whether all machines are running members of one view and have had time to
// catch up, so that a disk may be lost. With UnsafeDiskLoss it is always true.
func (m *Model) allHealthy() bool {
	if m.UnsafeDiskLoss {
		return true
	}
	if m.world.Partitioned() || len(m.world.Names) < m.Founders || m.world.Now-m.world.LastFault < m.CatchUp {
		return false
	}
	for _, n := range m.world.Names {
		if m.chain[n] == nil || m.world.Frozen(n) || m.disks[n].RefuseWrites || m.disks[n].Failed() || !slices.ContainsFunc(m.chain[m.world.Names[0]].View().Members, func(x chain.Member) bool { return x == m.chain[n].Me }) {
			return false
		}
	}
	return true
}

// mayLoseMachine reports whether the guarantees allow one more machine or disk to be lost: all
// machines are healthy, or only tolerated losses have occurred since they were.
func (m *Model) mayLoseMachine() bool {
	return m.allHealthy() || m.recentLosses > 0 && m.recentLosses < m.MaxMachineFailures && m.world.LastFault == m.lossAt
}

// recordLoss records that a machine is stopped or lost. If mustTolerate is set, the others must
// be able to serve without it.
func (m *Model) recordLoss(n string, mustTolerate bool) {
	if m.allHealthy() {
		m.recentLosses, m.toleratedStops = 0, nil
	} else if !m.mayLoseMachine() {
		return
	}
	m.recentLosses++
	m.lossAt = m.world.Now
	if mustTolerate {
		m.toleratedStops = append(m.toleratedStops, n)
	}
}

// faultKinds are the kinds that count as faults. The other kinds are repairs or operator calls.
var faultKinds = []string{"isolate", "mute", "deafen", "cut", "part", "freeze", "lose", "double", "late", "restart", "stop", "power", "fill", "wipe", "leave", "quit", "depart", "outage"}

// ChoiceKinds lists all kinds of choices.
var ChoiceKinds = append(slices.Clone(faultKinds), "join", "thaw", "start", "clear", "recover", "come", "order", "again", "read", "evacuate")

// Choices implements modelcheck.Model.
func (m *Model) Choices() []string {
	choices := modelcheck.NewChoices(m.Kinds, m.Without)
	if m.faults >= m.Faults {
		choices.Exclude(faultKinds)
	}
	add := choices.Add
	if e := m.nextProtocolMessage(); e != nil {
		add(m.world.MessageChoices()...)
	}
	m.processChoices(add)
	m.diskChoices(add)
	if m.Duties && m.platform.down {
		add("recover")
	} else if m.Duties {
		add("outage")
	}
	if m.joined < m.Newcomers {
		add("come " + names[m.Founders+m.joined])
	}
	add(m.world.FreezeChoices()...)
	add(m.world.NetworkChoices()...)
	if m.operatorCalls < m.OperatorCalls {
		m.operatorChoices(add)
	}
	return choices.List
}

// processChoices adds the choices that stop and start processes.
func (m *Model) processChoices(add func(...string)) {
	for _, n := range m.world.Names {
		if !m.world.Up(n) {
			add("start " + n)
			continue
		}
		add("restart "+n, "stop "+n)
		if _, ok := m.leaving[n]; !ok && !m.world.Frozen(n) {
			add("quit " + n)
		}
	}
	add("power")
}

// diskChoices adds the choices that affect disks, and those that lose machines with their
// disks.
func (m *Model) diskChoices(add func(...string)) {
	for _, n := range m.world.Names {
		if m.disks[n].RefuseWrites {
			add("clear " + n)
		} else {
			add("fill " + n)
		}
	}
	if !m.mayLoseMachine() {
		return
	}
	for _, n := range m.world.Names {
		if _, ok := m.leaving[n]; !ok && m.world.Up(n) {
			add("wipe "+n, "leave "+n, "depart "+n)
		}
	}
}

// operatorChoices adds the submissions, reads and evacuations that operators may send.
func (m *Model) operatorChoices(add func(...string)) {
	for _, n := range m.world.Names {
		if !m.world.Up(n) {
			continue
		}
		for i := range m.Operators {
			p := string(rune('p' + i))
			add(fmt.Sprintf("order %s at %s: r%d", p, n, m.highestVersion+1))
			if m.highestVersion > 0 && m.lastSubmission[p].Version != m.highestVersion {
				add(fmt.Sprintf("order %s at %s: r%d", p, n, m.highestVersion))
			}
			if m.lastSubmission[p].Version > 0 {
				add(fmt.Sprintf("again %s at %s", p, n))
			}
		}
		add("read "+n, "evacuate "+n+" on", "evacuate "+n+" off")
	}
}

// Apply implements modelcheck.Model.
func (m *Model) Apply(n int) {
	if n == 0 {
		m.nextChoiceAt = m.world.RunDefault(m.nextChoiceAt, m.Step, func(*modelcheck.Event) bool { return m.nextProtocolMessage() != nil }, m.healthy)
		return
	}
	choice := m.Choices()[n]
	f := strings.Fields(choice)
	if slices.Contains(faultKinds, f[0]) {
		m.faults++
	}
	if m.world.ApplyChoice(choice) {
		return
	}
	if m.applyOperatorChoice(f) {
		return // not a fault
	}
	m.applyMachineChoice(f)
	m.world.LastFault = m.world.Now
}

// applyMachineChoice applies a choice that affects a machine or the platform.
func (m *Model) applyMachineChoice(f []string) {
	switch f[0] {
	case "restart":
		m.stop(f[1])
		m.restartLater(f[1])
	case "stop":
		m.recordLoss(f[1], true)
		m.stop(f[1])
	case "quit", "depart":
		m.shutDown(f[1], f[0] == "depart")
	case "start":
		m.toleratedStops = nil
		m.start(f[1], false)
	case "power":
		for _, n := range m.world.Names {
			m.stop(n)
			m.restartLater(n)
		}
	case "fill", "clear":
		m.disks[f[1]].RefuseWrites = f[0] == "fill"
	case "outage", "recover":
		m.platform.down = f[0] == "outage"
	case "wipe":
		m.recordLoss(f[1], false)
		m.stop(f[1])
		m.disks[f[1]] = simnet.NewDisk()
		m.restartLater(f[1])
	case "leave":
		m.recordLoss(f[1], false)
		m.stop(f[1])
		m.world.Leave(f[1])
	case "come":
		m.joined++
		m.start(f[1], false)
	}
}

// applyOperatorChoice applies an operator's call and reports whether the choice was one.
func (m *Model) applyOperatorChoice(f []string) bool {
	switch f[0] {
	case "order":
		m.operatorCalls++
		version, _ := strconv.ParseUint(strings.TrimPrefix(f[4], "r"), 10, 64)
		m.submitConfig(strings.TrimSuffix(f[3], ":"), Submission{f[1], version, fmt.Sprintf("r%d by %s", version, f[1])})
	case "again":
		m.operatorCalls++
		m.submitConfig(f[3], m.lastSubmission[f[1]])
	case "read":
		m.operatorCalls++
		m.read(f[1])
	case "evacuate":
		m.operatorCalls++
		m.evacuate(f[1], f[2] == "on")
	default:
		return false
	}
	return true
}
