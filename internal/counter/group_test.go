package counter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"slateridge/internal/simnet"
)

var testOptions = Options{RoundInterval: 100 * time.Millisecond, ResendTimeout: 120 * time.Millisecond, CompactionInterval: 400 * time.Millisecond,
	IncarnationsPerCompaction: 3, MaxCellsPerMessage: 4, MaxIncrementalSaves: 3}

// replicaMachine is one machine of the simulated group.
type replicaMachine struct {
	name        string
	disk        *simnet.Disk
	group       *Group[string, Count]
	incarnation int
	up          bool
	frozenUntil time.Duration
}

// writerProcess is a counting process and the earlier incarnations on its machine.
type writerProcess struct {
	name    string
	current *Writer[string, Count]
	ended   []*Writer[string, Count]
	cells   Cells[string, Count] // of the current incarnation, as its journal would hold them
}

// simulation is a group of replicas with writers, in which the test appoints the leader.
type simulation struct {
	*simnet.Network
	t              *testing.T
	label          string
	machines       map[string]*replicaMachine
	names          []string
	leader         string
	writers        []*writerProcess
	expected       Cells[string, Count]
	published      Cells[string, Count]
	deliveredCount int
	onMessage      func(message any)
	tickInterval   time.Duration // between two ticks of a machine
}

func newSimulation(t *testing.T, label string, seed uint64, size int) *simulation {
	s := &simulation{Network: simnet.New(seed), t: t, label: label, machines: map[string]*replicaMachine{}, expected: Cells[string, Count]{}, published: Cells[string, Count]{}, tickInterval: 20 * time.Millisecond}
	for i := range size {
		name := fmt.Sprint("control-", i)
		s.names = append(s.names, name)
		s.machines[name] = &replicaMachine{name: name, disk: simnet.NewDisk()}
		s.start(name, true)
	}
	s.leader = s.names[0]
	return s
}

func (s *simulation) start(name string, founding bool) {
	m := s.machines[name]
	m.incarnation++
	m.up = true
	m.group = NewGroup[string, Count](0, name, testOptions, m.disk, founding, uint64(m.incarnation))
	s.tick(m, m.incarnation)
}

func (s *simulation) kill(name string) {
	m := s.machines[name]
	m.up = false
	m.incarnation++
}

func (s *simulation) tick(m *replicaMachine, incarnation int) {
	if m.incarnation != incarnation {
		return
	}
	s.After(s.tickInterval, func() { s.tick(m, incarnation) })
	if s.Now >= m.frozenUntil {
		s.sendAll(m.name, m.group.Tick(s.Now, s.leader == m.name, s.names))
		s.observe(m)
	}
}

func (s *simulation) sendAll(from string, out []Send) {
	for _, send := range out {
		copies := 1 + s.Rng.IntN(5)/4
		for range copies {
			s.Send(from, send.To, func() { s.deliver(from, send) })
		}
	}
}

func (s *simulation) deliver(from string, send Send) {
	m := s.machines[send.To]
	if s.Now < m.frozenUntil {
		s.After(m.frozenUntil-s.Now, func() { s.deliver(from, send) })
		return
	}
	if !m.up {
		return
	}
	s.deliveredCount++
	s.sendAll(send.To, m.group.Receive(from, send.Message))
	s.observe(m)
	if s.onMessage != nil {
		s.onMessage(send.Message)
	}
}

// observe verifies the totals that the leader publishes: none exceeds the true count or falls
// below one published before.
func (s *simulation) observe(m *replicaMachine) {
	if s.leader != m.name {
		return
	}
	totals, _, ok := m.group.Totals(s.Now)
	if !ok {
		return
	}
	for key, count := range s.published {
		if totals[key] < count {
			s.t.Fatalf("%s at %v: total of %s fell from %d to %d at %s", s.label, s.Now, key, count, totals[key], m.name)
		}
	}
	for key, count := range totals {
		if count > s.expected[key] {
			s.t.Fatalf("%s at %v: total of %s is %d, counted %d", s.label, s.Now, key, count, s.expected[key])
		}
		s.published[key] = count
	}
}

func (s *simulation) addWriter(name string) *writerProcess {
	w := &writerProcess{name: name, cells: Cells[string, Count]{}, current: NewWriter[string, Count](name, IncarnationID(s.Rng.Uint64()|1))}
	s.writers = append(s.writers, w)
	return w
}

func (s *simulation) count(w *writerProcess) {
	key := fmt.Sprint("tenant-", s.Rng.IntN(4))
	w.current.Update(key, func(c *Count) { *c++ })
	w.cells[key]++
	s.expected[key]++
}

// restart ends a writer's incarnation. The next process reports what the journal holds of it.
func (s *simulation) restart(w *writerProcess) {
	w.ended = append(w.ended, RecoverWriter(w.name, w.current.Incarnation(), w.current.SentVersion(), w.cells))
	w.current, w.cells = NewWriter[string, Count](w.name, IncarnationID(s.Rng.Uint64()|1)), Cells[string, Count]{}
}

// report sends the leader the pending deltas of all incarnations.
func (s *simulation) report(w *writerProcess) {
	w.ended = slices.DeleteFunc(w.ended, (*Writer[string, Count]).Finished)
	for _, writer := range append(slices.Clone(w.ended), w.current) {
		delta, pending := writer.Pending()
		to := s.leader
		if !pending || to == "" {
			continue
		}
		s.Send(w.name, to, func() {
			m := s.machines[to]
			if !m.up || s.Now < m.frozenUntil {
				return
			}
			if ack, ok := m.group.Report(delta); ok {
				s.Send(to, w.name, func() { writer.Acknowledge(ack) })
			}
		})
	}
}

func (s *simulation) drive(w *writerProcess, every time.Duration, until time.Duration) {
	s.After(every, func() {
		if s.Now < until {
			s.count(w)
		}
		s.report(w)
		s.drive(w, every, until)
	})
}

// settle ends all faults and compares the totals with the true counts.
func (s *simulation) settle(after time.Duration) {
	s.Loss = 0
	for _, a := range s.names {
		s.machines[a].frozenUntil = 0
		s.machines[a].disk.RefuseWrites = false
		s.machines[a].disk.Recover()
		if !s.machines[a].up {
			s.start(a, false)
		}
		for _, b := range append(slices.Clone(s.names), "proxy-0", "proxy-1", "proxy-2") {
			s.Cut(a, b, false)
			s.Cut(b, a, false)
		}
	}
	if s.leader == "" {
		s.leader = s.names[0]
	}
	s.Run(s.Now+after, nil)
	totals, _, ok := s.machines[s.leader].group.Totals(s.Now)
	if !ok {
		s.t.Fatalf("%s: no leader in the end", s.label)
	}
	for key, count := range s.expected {
		if totals[key] != count {
			s.t.Fatalf("%s: total of %s is %d, counted %d", s.label, key, totals[key], count)
		}
	}
}

// injectFault injects one fault that ends after a while. At most a minority of the replicas is
// affected at a time.
func (s *simulation) injectFault() {
	victim := s.names[s.Rng.IntN(len(s.names))]
	m := s.machines[victim]
	other := s.names[s.Rng.IntN(len(s.names))]
	for _, name := range s.names {
		if !s.machines[name].up || s.machines[name].group.needsCopy {
			return // another fault is in progress
		}
	}
	switch s.Rng.IntN(7) {
	case 0, 1:
		s.kill(victim)
		wipe := s.Rng.IntN(2) == 0
		s.After(time.Duration(s.Rng.IntN(600))*time.Millisecond, func() {
			if m.up {
				return
			}
			if wipe {
				m.disk = simnet.NewDisk()
			}
			s.start(victim, false)
		})
	case 2:
		s.Cut(victim, other, true)
		s.After(time.Second, func() { s.Cut(victim, other, false) })
	case 3:
		m.frozenUntil = s.Now + time.Duration(s.Rng.IntN(800))*time.Millisecond
	case 4:
		m.disk.RefuseWrites = true
		s.After(300*time.Millisecond, func() {
			m.disk.RefuseWrites = false
			m.disk.Recover()
		})
	case 5:
		s.leader = ""
		s.After(time.Duration(s.Rng.IntN(400))*time.Millisecond, func() { s.leader = other })
	case 6:
		s.restart(s.writers[s.Rng.IntN(len(s.writers))])
	}
}

// TestTotalsAgainstModel runs seeded simulations with killed machines, wiped and failing disks,
// network partitions, frozen machines, lost and duplicated messages, leader changes, and
// incarnations that end and are compacted.
func TestTotalsAgainstModel(t *testing.T) {
	folded := 0
	for seed := uint64(1); seed <= 120; seed++ {
		s := newSimulation(t, fmt.Sprint("seed ", seed), seed, 3+2*int(seed%2))
		s.Loss = []float64{0, 0.05, 0.2}[seed%3]
		for i := range 3 {
			s.drive(s.addWriter(fmt.Sprint("proxy-", i)), time.Duration(15+20*i)*time.Millisecond, 6*time.Second)
		}
		for at := 300 * time.Millisecond; at < 6*time.Second; at += time.Duration(100+s.Rng.IntN(500)) * time.Millisecond {
			s.After(at, s.injectFault)
		}
		s.Run(6500*time.Millisecond, nil)
		s.settle(5 * time.Second)
		_, n := s.machines[s.leader].group.IncarnationCounts()
		folded += n
		for _, w := range s.writers {
			if len(w.ended) > 1 {
				t.Errorf("seed %d: %d incarnations of %s are still reported", seed, len(w.ended), w.name)
			}
		}
	}
	if folded == 0 {
		t.Error("no incarnation was folded in any run")
	}
}

// TestLeaderKilledDuringCompaction kills the leader after each message of a compaction, in one
// run per message, and lets another machine lead: no total falls or exceeds the true count.
func TestLeaderKilledDuringCompaction(t *testing.T) {
	for cut := 0; cut < 60; cut++ {
		s := newSimulation(t, fmt.Sprint("cut after message ", cut), uint64(cut+1), 3)
		w := s.addWriter("proxy-0")
		s.drive(w, 30*time.Millisecond, 900*time.Millisecond)
		s.Run(300*time.Millisecond, nil)
		s.restart(w)
		s.Run(350*time.Millisecond, nil)
		seen := 0
		s.onMessage = func(any) {
			if seen++; seen != cut+1 {
				return
			}
			was := s.leader
			s.kill(was)
			s.leader = s.names[1+cut%2]
			s.After(200*time.Millisecond, func() { s.start(was, false) })
		}
		s.Run(1200*time.Millisecond, nil)
		s.onMessage = nil
		s.settle(2 * time.Second)
		if _, folded := s.machines[s.leader].group.IncarnationCounts(); folded == 0 {
			t.Errorf("%s: the ended incarnation was never folded", s.label)
		}
	}
}

// TestMergeIsOrderIndependent merges the deltas of a few incarnations in every order, some of
// them twice: all replicas reach the same totals.
func TestMergeIsOrderIndependent(t *testing.T) {
	a, b := NewWriter[string, Count]("a", 1), NewWriter[string, Count]("b", 2)
	var deltas []Delta[string, Count]
	for i := range 4 {
		w := []*Writer[string, Count]{a, b}[i%2]
		w.Update("x", func(c *Count) { *c += Count(i + 1) })
		if i == 3 {
			w.Close()
		}
		delta, _ := w.Pending()
		delta.From = 0
		deltas = append(deltas, delta)
	}
	var order func(left, taken []int)
	order = func(left, taken []int) {
		r := NewReplica[string, Count]()
		for _, i := range taken {
			if err := r.Merge(deltas[i]); err != nil && i != 1 { // an older delta of the closed incarnation
				t.Fatalf("%v: delta %d: %v", taken, i, err)
			}
		}
		if len(left) == 0 && r.Total("x") != 10 {
			t.Fatalf("%v: total %d", taken, r.Total("x"))
		}
		for i, next := range left {
			rest := slices.Delete(slices.Clone(left), i, i+1)
			order(rest, append(slices.Clone(taken), next))
		}
	}
	order([]int{0, 1, 2, 3, 0, 2}, nil)
}

// TestInvalidDeltas merges deltas that must be rejected without any effect.
func TestInvalidDeltas(t *testing.T) {
	r := NewReplica[string, Count]()
	good := Delta[string, Count]{Life: 1, To: 5, Closed: true, Cells: Cells[string, Count]{"x": 3}}
	if err := r.Merge(good); err != nil {
		t.Fatal(err)
	}
	bad := []Delta[string, Count]{
		{Life: 0, To: 1, Cells: Cells[string, Count]{"x": 9}},
		{Life: 2, From: 3, To: 2, Cells: Cells[string, Count]{"x": 9}},
		{Life: 2, From: 1, To: 2, Cells: Cells[string, Count]{"x": 9}},
		{Life: 1, From: 5, To: 6, Cells: Cells[string, Count]{"x": 9}},
		{Life: 1, From: 0, To: 4, Closed: true, Cells: Cells[string, Count]{"x": 9}},
	}
	for i, delta := range bad {
		if r.Merge(delta) == nil {
			t.Errorf("invalid delta %d was merged", i)
		}
	}
	base, _ := r.Candidate(Ballot{1, "a", 1}, 10)
	if r.Propose(base) != nil {
		t.Fatal("the base was refused")
	}
	r.Install(base.Ballot, base.Number)
	if r.Merge(good) != nil || r.Merge(Delta[string, Count]{Life: 1, From: 5, To: 6}) == nil || r.Total("x") != 3 {
		t.Errorf("after compaction the total is %d", r.Total("x"))
	}
	if r.Propose(Base[string, Count]{}) == nil {
		t.Error("a stale base was accepted")
	}
}
