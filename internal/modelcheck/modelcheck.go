// Package modelcheck is a bounded, stateless model checker for the deterministic state
// machines. A schedule is the default one (oldest message first, time goes on) with a few
// deviations from it; all schedules with up to so many deviations are run, level by level
// (delay bounding with iterative deepening), states seen before are not gone on from, and a
// schedule that breaks a rule is shrunk to a short list that replays.
package modelcheck

import (
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Model is a system that is driven one choice at a time. The same choices bring
// it to the same state each time.
type Model interface {
	// Reset goes back to the start.
	Reset()
	// Choices lists what may happen next by its words, the default first. No two
	// are alike.
	Choices() []string
	// Apply has one of them happen, by its place in the list.
	Apply(n int)
	// Hash tells states apart, as far as what comes after depends on them.
	Hash() uint64
	// Check is the first rule of safety that was broken since the start.
	Check() error
	// Quiet ends all trouble, lets the system settle, and is the rule of
	// liveness that is broken then, or one of safety.
	Quiet() error
}

// Violation is a broken rule. Shrinking keeps to the rule, not to the detail.
type Violation struct{ Rule, Detail string }

func (v Violation) Error() string { return v.Rule + ": " + v.Detail }

// Broken makes one.
func Broken(rule, f string, a ...any) error { return Violation{rule, fmt.Sprintf(f, a...)} }

func ruleOf(err error) string {
	var v Violation
	if errors.As(err, &v) {
		return v.Rule
	}
	return err.Error()
}

// Schedule is a plain list that replays: "+3" is the default three times, all
// else a deviation by its words.
type Schedule []string

func (s Schedule) String() string { return strings.Join(s, "; ") }

// Parse reads what String wrote.
func Parse(text string) (s Schedule) {
	for w := range strings.SplitSeq(text, ";") {
		if w = strings.TrimSpace(w); w != "" {
			s = append(s, w)
		}
	}
	return s
}

// defaults is how often the default is meant; false for a deviation.
func defaults(w string) (int, bool) {
	if !strings.HasPrefix(w, "+") {
		return 0, false
	}
	n, err := strconv.Atoi(w[1:])
	return n, err == nil && n >= 0
}

// Deviations counts the schedule's deviations.
func (s Schedule) Deviations() (n int) {
	for _, w := range s {
		if _, ok := defaults(w); !ok {
			n++
		}
	}
	return n
}

// tidy joins runs of defaults.
func (s Schedule) tidy() (out Schedule) {
	run := 0
	for _, w := range s {
		if n, ok := defaults(w); ok {
			run += n
			continue
		}
		if run > 0 {
			out = append(out, "+"+strconv.Itoa(run))
			run = 0
		}
		out = append(out, w)
	}
	if run > 0 {
		out = append(out, "+"+strconv.Itoa(run))
	}
	return out
}

// ErrNotEnabled tells that a schedule names what can't happen at its place.
var ErrNotEnabled = errors.New("not enabled")

// drive resets the model and brings it through a schedule: the steps taken, and
// the rule broken. What is not enabled is left out, and told.
func drive(m Model, s Schedule) (steps int, skipped []string, err error) {
	m.Reset()
	for _, w := range s {
		n, wait := defaults(w)
		if !wait {
			i := slices.Index(m.Choices(), w)
			if i < 0 {
				skipped = append(skipped, w)
				continue
			}
			m.Apply(i)
			steps++
			if err := m.Check(); err != nil {
				return steps, skipped, err
			}
		}
		for range n {
			m.Apply(0)
			steps++
			if err := m.Check(); err != nil {
				return steps, skipped, err
			}
		}
	}
	return steps, skipped, m.Check()
}

// Replay runs a schedule, with the quiet phase after it, and gives the rule
// that it breaks, or ErrNotEnabled when it names what can't happen at its place.
func Replay(m Model, s Schedule) error {
	_, skipped, err := drive(m, s)
	if len(skipped) > 0 {
		return fmt.Errorf("%q: %w", skipped, ErrNotEnabled)
	}
	if err == nil {
		err = m.Quiet()
	}
	return err
}

// breaks says whether a schedule, less what is not enabled in it, breaks a rule.
func breaks(m Model, s Schedule, rule string) (Schedule, bool) {
	_, skipped, err := drive(m, s)
	if err == nil {
		err = m.Quiet()
	}
	if err == nil || ruleOf(err) != rule {
		return nil, false
	}
	if len(skipped) > 0 { // by its words only: the same word may be enabled elsewhere
		var left Schedule
		for _, w := range s {
			if i := slices.Index(skipped, w); i >= 0 {
				skipped = slices.Delete(skipped, i, i+1)
				continue
			}
			left = append(left, w)
		}
		return left, Replay(m, left) != nil && ruleOf(Replay(m, left)) == rule
	}
	return s, true
}

// Shrink makes a schedule that breaks a rule shorter as long as it breaks the
// same rule: chunks are left out, then single words, then defaults are made fewer.
func Shrink(m Model, s Schedule, rule string) Schedule {
	try := func(c Schedule) bool {
		c = c.tidy()
		if len(c) > len(s) || len(c) == len(s) && slices.Equal(c, s) {
			return false
		}
		left, ok := breaks(m, c, rule)
		if ok {
			s = left.tidy()
		}
		return ok
	}
	if t := s.tidy(); !slices.Equal(t, s) {
		try(t)
	}
	for again := true; again; {
		again = false
		for chunk := len(s) / 2; chunk >= 1; chunk /= 2 {
			for from := 0; from+chunk <= len(s); {
				if try(slices.Delete(slices.Clone(s), from, from+chunk)) {
					again = true
				} else {
					from++
				}
			}
		}
		for i := 0; i < len(s); i++ {
			n, ok := defaults(s[i])
			for k := 0; ok && k < n; k = k + max(1, (n-k)/2) {
				c := slices.Clone(s)
				c[i] = "+" + strconv.Itoa(k)
				if try(c) {
					again = true
					break
				}
			}
		}
	}
	return s
}

// Source is a schedule as an entry of a test table in Go.
func (f Failure) Source() string {
	var b strings.Builder
	fmt.Fprintf(&b, "\t{%q, modelcheck.Schedule{", f.Rule)
	for i, w := range f.Shrunk {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(strconv.Quote(w))
	}
	fmt.Fprintf(&b, "}}, // %s", strings.ReplaceAll(f.Err.Error(), "\n", " "))
	return b.String()
}

// Failure is a schedule that breaks a rule.
type Failure struct {
	Rule   string
	Err    error // as the shrunk schedule breaks it
	Found  Schedule
	Shrunk Schedule
}

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

// Report tells how much was covered.
type Report struct {
	Schedules, States  int
	Steps              int
	Pruned             int // schedules that led to a state seen before
	Deepest            int // steps of the longest schedule, without the quiet phase
	Level              int // deviations of the level under way, or the last
	LevelDone, LevelOf int
	Complete           int // the highest level run in full; -1: none
	Kinds              map[string]int
	Failures           []Failure
	Took               time.Duration
}

func (r Report) String() string {
	var kinds []string
	for k, n := range r.Kinds {
		kinds = append(kinds, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(kinds)
	s := fmt.Sprintf("%d schedules (%d more led to a state seen before), %d distinct states, %d steps, deepest %d, %.1f s",
		r.Schedules, r.Pruned, r.States, r.Steps, r.Deepest, r.Took.Seconds())
	if r.LevelOf > 0 {
		s += fmt.Sprintf("; in full up to %d deviations", r.Complete)
		if r.LevelDone < r.LevelOf {
			s += fmt.Sprintf(", %d of %d schedules with %d", r.LevelDone, r.LevelOf, r.Level)
		}
	}
	return s + "; deviations: " + strings.Join(kinds, ", ")
}

type search struct {
	Options
	mu         sync.Mutex
	rep        Report
	began      time.Time
	reportedAt time.Time
	seen       map[uint64]bool // states in which the quiet phase was run
}

func newSearch(o Options) *search {
	o.Jobs = max(1, o.Jobs)
	return &search{Options: o, began: time.Now(), reportedAt: time.Now(), seen: map[uint64]bool{}, rep: Report{Complete: -1, Kinds: map[string]int{}}}
}

// over says whether the search has to end.
func (s *search) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Progress != nil && time.Since(s.reportedAt) > 5*time.Second {
		s.reportedAt = time.Now()
		s.Progress(s.report())
	}
	return s.Limit > 0 && time.Since(s.began) > s.Limit || s.Schedules > 0 && s.rep.Schedules >= s.Schedules || len(s.rep.Failures) > 0 && !s.KeepGoing
}

func (s *search) report() Report {
	r := s.rep
	r.Took = time.Since(s.began)
	return r
}

func (s *search) count(sch Schedule, steps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rep.Schedules++
	s.rep.Steps += steps
	s.rep.Deepest = max(s.rep.Deepest, steps)
	for _, w := range sch {
		if _, ok := defaults(w); !ok {
			s.rep.Kinds[strings.Fields(w)[0]]++
		}
	}
}

func (s *search) fail(m Model, sch Schedule, err error) {
	rule := ruleOf(err)
	s.mu.Lock()
	known := slices.ContainsFunc(s.rep.Failures, func(f Failure) bool { return f.Rule == rule })
	if !known {
		s.rep.Failures = append(s.rep.Failures, Failure{Rule: rule, Err: err, Found: slices.Clone(sch.tidy())})
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
type place struct {
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
// tells where the schedule can be deviated from next.
func (s *search) visit(m Model, sch Schedule) (places []place) {
	steps, _, err := drive(m, sch)
	if err != nil {
		s.count(sch, steps)
		s.fail(m, sch, err)
		return nil
	}
	if !s.fresh(m.Hash()) {
		s.mu.Lock()
		s.rep.Pruned++
		s.mu.Unlock()
		return nil
	}
	if err := m.Quiet(); err != nil {
		s.count(sch, steps)
		s.fail(m, sch, err)
		return nil
	}
	drive(m, sch)
	here := map[uint64]bool{}
	lasting := func() Schedule { return append(slices.Clone(sch), "+"+strconv.Itoa(len(places))) }
	for len(places) <= s.Depth {
		h := m.Hash()
		if here[h] {
			break // the default goes round
		}
		here[h] = true
		places = append(places, place{h, slices.Clone(m.Choices()[1:])})
		m.Apply(0)
		steps++
		if err := m.Check(); err != nil {
			s.count(sch, steps)
			s.fail(m, lasting(), err)
			return nil
		}
	}
	s.count(sch, steps)
	if s.fresh(m.Hash()) {
		if err := m.Quiet(); err != nil {
			s.fail(m, lasting(), err)
			return nil
		}
	}
	return places
}

// fresh says whether a state has not had its quiet phase yet; it is about to.
func (s *search) fresh(h uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.seen[h]
	s.seen[h] = true
	return !was
}

// Systematic runs all schedules within the bounds, those with fewer deviations
// first.
func Systematic(mk func() Model, o Options) Report {
	s := newSearch(o)
	models := make([]Model, s.Jobs)
	for i := range models {
		models[i] = mk()
	}
	level := []*node{nil}
	from := map[uint64]bool{} // states that are deviated from already
	for dev := 0; dev <= s.Deviations && len(level) > 0 && !s.over(); dev++ {
		s.mu.Lock()
		s.rep.Level, s.rep.LevelDone, s.rep.LevelOf = dev, 0, len(level)
		s.mu.Unlock()
		var next []*node
		// Batches bound what is kept of one, and their order of one by one makes
		// the next level the same whatever the number of jobs.
		for at := 0; at < len(level) && !s.over(); at += 64 * s.Jobs {
			batch := level[at:min(len(level), at+64*s.Jobs)]
			found := make([][]place, len(batch))
			var wg sync.WaitGroup
			for j, m := range models {
				wg.Go(func() {
					for i := j; i < len(batch) && !s.over(); i += s.Jobs {
						found[i] = s.visit(m, batch[i].schedule())
						s.mu.Lock()
						s.rep.LevelDone++
						s.mu.Unlock()
					}
				})
			}
			wg.Wait()
			for i, n := range batch {
				if dev == s.Deviations {
					break
				}
				for wait, p := range found[i] {
					if from[p.hash] {
						break // what comes after it was seen too
					}
					from[p.hash] = true
					for _, w := range p.choices {
						next = append(next, &node{n, wait, w})
					}
				}
			}
		}
		if s.rep.LevelDone == len(level) {
			s.rep.Complete = dev
		}
		if level = next; len(level) == 0 && s.rep.Complete == dev {
			s.rep.Complete = s.Deviations // no state is left to deviate from
		}
	}
	return s.finish(from)
}

func (s *search) finish(from map[uint64]bool) Report {
	for h := range s.seen {
		from[h] = true
	}
	s.rep.States = len(from)
	return s.report()
}

// Random walks within the same bounds: each schedule has up to so many
// deviations, at random places and of random kinds.
func Random(mk func() Model, o Options) Report {
	s := newSearch(o)
	states := map[uint64]bool{}
	var walks uint64
	var wg sync.WaitGroup
	for range s.Jobs {
		wg.Go(func() {
			m := mk()
			for !s.over() {
				s.mu.Lock()
				walks++
				rng := rand.New(rand.NewPCG(s.Seed, walks))
				s.mu.Unlock()
				s.walk(m, rng, states)
			}
		})
	}
	wg.Wait()
	return s.finish(states)
}

func (s *search) walk(m Model, rng *rand.Rand, states map[uint64]bool) {
	m.Reset()
	var sch Schedule
	steps := 0
	last := rng.IntN(max(1, s.Deviations))
	for dev := range last + 2 { // and once more without one: troubles last
		wait := 0
		if s.Depth > 0 && rng.IntN(3) > 0 {
			// Of any size alike: trouble mostly lies close to trouble.
			wait = rng.IntN(s.Depth>>rng.IntN(bits.Len(uint(s.Depth))) + 1)
		}
		for range wait {
			m.Apply(0)
			steps++
			sch = append(sch, "+1")
			if err := m.Check(); err != nil {
				s.count(sch.tidy(), steps)
				s.fail(m, sch, err)
				return
			}
		}
		if words := m.Choices()[1:]; len(words) > 0 && dev <= last {
			i := draw(rng, words)
			m.Apply(i + 1)
			steps++
			sch = append(sch, words[i])
			if err := m.Check(); err != nil {
				s.count(sch.tidy(), steps)
				s.fail(m, sch, err)
				return
			}
		}
		h := m.Hash()
		s.mu.Lock()
		states[h] = true
		s.mu.Unlock()
	}
	s.count(sch.tidy(), steps)
	if err := m.Quiet(); err != nil {
		s.fail(m, sch, err)
	}
}

// draw picks a kind first, so that the many ways of one do not drown the rest.
func draw(rng *rand.Rand, words []string) int {
	var kinds []string
	kind := func(w string) string { return strings.Fields(w)[0] }
	for _, w := range words {
		if !slices.Contains(kinds, kind(w)) {
			kinds = append(kinds, kind(w))
		}
	}
	k := kinds[rng.IntN(len(kinds))]
	var of []int
	for i, w := range words {
		if kind(w) == k {
			of = append(of, i)
		}
	}
	return of[rng.IntN(len(of))]
}
