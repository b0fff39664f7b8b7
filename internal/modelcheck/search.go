package modelcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options are a search's bounds.
type Options struct {
	Deviations int           // most in a schedule
	Depth      int           // most steps of the default after the last deviation, at which another may come
	Schedules  int           // 0: no bound
	Limit      time.Duration // 0: no bound
	Seed       uint64        // of random walks
	Jobs       int           // models driven at once; counts are the same each time only with one
	KeepGoing  bool          // look for a failure of each rule, not just the first
	Progress   func(Report)  // called now and then
}

// Report is how much was covered.
type Report struct {
	Schedules, States    int
	Steps                int
	Pruned               int // schedules that led to a state seen before
	Deepest              int // steps of the longest schedule, without the quiet phase
	Level                int // deviations of the level under way, or the last
	LevelDone, LevelSize int
	Complete             int // the highest level run in full; -1: none
	Kinds                map[string]int
	Failures             []Failure
	Elapsed              time.Duration
}

func (r Report) String() string {
	var kinds []string
	for k, n := range r.Kinds {
		kinds = append(kinds, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(kinds)
	s := fmt.Sprintf("%d schedules (%d more led to a state seen before), %d distinct states, %d steps, deepest %d, %.1f s",
		r.Schedules, r.Pruned, r.States, r.Steps, r.Deepest, r.Elapsed.Seconds())
	if r.LevelSize > 0 {
		s += fmt.Sprintf("; in full up to %d deviations", r.Complete)
		if r.LevelDone < r.LevelSize {
			s += fmt.Sprintf(", %d of %d schedules with %d", r.LevelDone, r.LevelSize, r.Level)
		}
	}
	return s + "; deviations: " + strings.Join(kinds, ", ")
}

type search struct {
	Options
	mu         sync.Mutex
	rep        Report
	startedAt  time.Time
	reportedAt time.Time
	visited    map[uint64]bool // states in which the quiet phase was run
}

func newSearch(o Options) *search {
	o.Jobs = max(1, o.Jobs)
	return &search{
		Options:    o,
		startedAt:  time.Now(),
		reportedAt: time.Now(),
		visited:    map[uint64]bool{},
		rep:        Report{Complete: -1, Kinds: map[string]int{}},
	}
}

// over says whether the search has to end.
func (s *search) done() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Progress != nil && time.Since(s.reportedAt) > 5*time.Second {
		s.reportedAt = time.Now()
		s.Progress(s.report())
	}
	outOfTime := s.Limit > 0 && time.Since(s.startedAt) > s.Limit
	enough := s.Schedules > 0 && s.rep.Schedules >= s.Schedules
	failed := len(s.rep.Failures) > 0 && !s.KeepGoing
	return outOfTime || enough || failed
}

func (s *search) report() Report {
	r := s.rep
	r.Elapsed = time.Since(s.startedAt)
	return r
}

func (s *search) count(sch Schedule, steps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rep.Schedules++
	s.rep.Steps += steps
	s.rep.Deepest = max(s.rep.Deepest, steps)
	for _, w := range sch {
		if _, ok := parseWait(w); !ok {
			s.rep.Kinds[KindOf(w)]++
		}
	}
}

func (s *search) fail(m Model, sch Schedule, err error) {
	rule := ruleOf(err)
	s.mu.Lock()
	known := slices.ContainsFunc(s.rep.Failures, func(f Failure) bool { return f.Rule == rule })
	if !known {
		s.rep.Failures = append(s.rep.Failures, Failure{Rule: rule, Err: err, Found: slices.Clone(sch.normalize())})
	}
	s.mu.Unlock()
	if known {
		return
	}
	short := Shrink(m, sch, rule)
	if e := Replay(m, short); e != nil {
		err = e
	}
	s.mu.Lock()
	for i := range s.rep.Failures {
		if f := &s.rep.Failures[i]; f.Rule == rule {
			f.Shrunk, f.Err = short, err
		}
	}
	s.mu.Unlock()
}

// place is a state on the way of the default after a schedule.
type branchPoint struct {
	hash    uint64
	choices []string
}

// node is a schedule as the one before it and one deviation more.
type node struct {
	parent *node
	wait   int
	choice string
}

func (n *node) schedule() (s Schedule) {
	for ; n != nil && n.choice != ""; n = n.parent {
		s = append(s, n.choice)
		if n.wait > 0 {
			s = append(s, "+"+strconv.Itoa(n.wait))
		}
	}
	slices.Reverse(s)
	return s
}

// visit runs one schedule with the quiet phase at once after it, and again with
// its troubles lasting for as many steps as another deviation might wait. It
// returns where the schedule can be deviated from next.
func (s *search) visit(m Model, sch Schedule) (points []branchPoint) {
	steps, _, err := runSchedule(m, sch)
	if err != nil {
		s.count(sch, steps)
		s.fail(m, sch, err)
		return nil
	}
	if !s.markVisited(m.Hash()) {
		s.mu.Lock()
		s.rep.Pruned++
		s.mu.Unlock()
		return nil
	}
	if err := m.CheckLiveness(); err != nil {
		s.count(sch, steps)
		s.fail(m, sch, err)
		return nil
	}
	runSchedule(m, sch)
	onPath := map[uint64]bool{}
	extended := func() Schedule { return append(slices.Clone(sch), "+"+strconv.Itoa(len(points))) }
	for len(points) <= s.Depth {
		h := m.Hash()
		if onPath[h] {
			break // the default goes round
		}
		onPath[h] = true
		points = append(points, branchPoint{h, slices.Clone(m.Choices()[1:])})
		m.Apply(0)
		steps++
		if err := m.Check(); err != nil {
			s.count(sch, steps)
			s.fail(m, extended(), err)
			return nil
		}
	}
	s.count(sch, steps)
	if s.markVisited(m.Hash()) {
		if err := m.CheckLiveness(); err != nil {
			s.fail(m, extended(), err)
			return nil
		}
	}
	return points
}

// fresh says whether a state has not had its quiet phase yet; it is about to.
func (s *search) markVisited(h uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.visited[h]
	s.visited[h] = true
	return !was
}

func (s *search) finish(expanded map[uint64]bool) Report {
	for h := range s.visited {
		expanded[h] = true
	}
	s.rep.States = len(expanded)
	return s.report()
}
