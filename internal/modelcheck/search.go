package modelcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options bounds a search.
type Options struct {
	Deviations int           // maximum per schedule
	Depth      int           // maximum number of default steps between one deviation and the next
	Schedules  int           // maximum number of schedules; 0 means no limit
	Limit      time.Duration // maximum run time; 0 means no limit
	Seed       uint64        // for random walks
	Jobs       int           // number of models run concurrently; counts are reproducible only with one
	KeepGoing  bool          // find a failure of each rule instead of stopping at the first
	Progress   func(Report)  // called at intervals during the search
}

// Report describes the coverage and the failures of a search.
type Report struct {
	Schedules, States    int
	Steps                int
	Pruned               int // schedules that led to a state visited before
	Deepest              int // number of steps of the longest schedule, without its liveness check
	Level                int // number of deviations of the current or last level
	LevelDone, LevelSize int
	Complete             int // the highest level that was run completely; -1 if none
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
	totals     Report
	startedAt  time.Time
	reportedAt time.Time
	visited    map[uint64]bool // states whose liveness was checked
}

func newSearch(o Options) *search {
	o.Jobs = max(1, o.Jobs)
	return &search{
		Options:    o,
		startedAt:  time.Now(),
		reportedAt: time.Now(),
		visited:    map[uint64]bool{},
		totals:     Report{Complete: -1, Kinds: map[string]int{}},
	}
}

// done reports whether the search has to stop.
func (s *search) done() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Progress != nil && time.Since(s.reportedAt) > 5*time.Second {
		s.reportedAt = time.Now()
		s.Progress(s.report())
	}
	outOfTime := s.Limit > 0 && time.Since(s.startedAt) > s.Limit
	enough := s.Schedules > 0 && s.totals.Schedules >= s.Schedules
	failed := len(s.totals.Failures) > 0 && !s.KeepGoing
	return outOfTime || enough || failed
}

func (s *search) report() Report {
	r := s.totals
	r.Elapsed = time.Since(s.startedAt)
	return r
}

func (s *search) count(schedule Schedule, steps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals.Schedules++
	s.totals.Steps += steps
	s.totals.Deepest = max(s.totals.Deepest, steps)
	for _, step := range schedule {
		if _, ok := parseWait(step); !ok {
			s.totals.Kinds[KindOf(step)]++
		}
	}
}

func (s *search) fail(m Model, schedule Schedule, err error) {
	rule := ruleOf(err)
	s.mu.Lock()
	known := slices.ContainsFunc(s.totals.Failures, func(f Failure) bool { return f.Rule == rule })
	if !known {
		s.totals.Failures = append(s.totals.Failures, Failure{Rule: rule, Err: err, Found: slices.Clone(schedule.normalize())})
	}
	s.mu.Unlock()
	if known {
		return
	}
	shrunk := Shrink(m, schedule, rule)
	if e := Replay(m, shrunk); e != nil {
		err = e
	}
	s.mu.Lock()
	for i := range s.totals.Failures {
		if f := &s.totals.Failures[i]; f.Rule == rule {
			f.Shrunk, f.Err = shrunk, err
		}
	}
	s.mu.Unlock()
}

// branchPoint is a state on the default path after a schedule, from which schedules can
// deviate.
type branchPoint struct {
	hash    uint64
	choices []string
}

// node is a schedule, expressed as its parent schedule, a number of default steps and one more
// deviation.
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

// visit runs one schedule and checks liveness immediately after it. It then runs the schedule
// again, lets the faults last for as many default steps as another deviation may wait, and
// checks liveness after those. It returns the states from which the schedule can deviate next.
func (s *search) visit(m Model, schedule Schedule) (points []branchPoint) {
	steps, _, err := runSchedule(m, schedule)
	if err != nil {
		s.count(schedule, steps)
		s.fail(m, schedule, err)
		return nil
	}
	if !s.markVisited(m.Hash()) {
		s.mu.Lock()
		s.totals.Pruned++
		s.mu.Unlock()
		return nil
	}
	if err := m.CheckLiveness(); err != nil {
		s.count(schedule, steps)
		s.fail(m, schedule, err)
		return nil
	}
	runSchedule(m, schedule)
	onPath := map[uint64]bool{}
	extended := func() Schedule { return append(slices.Clone(schedule), "+"+strconv.Itoa(len(points))) }
	for len(points) <= s.Depth {
		h := m.Hash()
		if onPath[h] {
			break // the default path is a cycle
		}
		onPath[h] = true
		points = append(points, branchPoint{h, slices.Clone(m.Choices()[1:])})
		m.Apply(0)
		steps++
		if err := m.Check(); err != nil {
			s.count(schedule, steps)
			s.fail(m, extended(), err)
			return nil
		}
	}
	s.count(schedule, steps)
	if s.markVisited(m.Hash()) {
		if err := m.CheckLiveness(); err != nil {
			s.fail(m, extended(), err)
			return nil
		}
	}
	return points
}

// markVisited marks a state as visited and reports whether it was not visited before.
func (s *search) markVisited(h uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	visited := s.visited[h]
	s.visited[h] = true
	return !visited
}

func (s *search) finish(expanded map[uint64]bool) Report {
	for h := range s.visited {
		expanded[h] = true
	}
	s.totals.States = len(expanded)
	return s.report()
}
