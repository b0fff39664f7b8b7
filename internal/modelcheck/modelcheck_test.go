package modelcheck

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// lock is a test model. It violates a rule when "left" is followed by "knock" and, at least
// three default steps after "left", by "right". "noise" has no lasting effect.
type lock struct {
	now, left      int
	knocked        bool
	err            error
	livenessBroken bool
	applied        int
}

func (l *lock) Reset()            { *l = lock{left: -1, livenessBroken: l.livenessBroken, applied: l.applied} }
func (l *lock) Check() error      { return l.err }
func (l *lock) Choices() []string { return []string{"wait", "noise", "left", "knock", "right"} }
func (l *lock) Hash() uint64 {
	return uint64(min(l.now, 9)) | uint64(l.left+1)<<8 | map[bool]uint64{true: 1 << 20}[l.knocked]
}

func (l *lock) Apply(n int) {
	l.applied++
	switch n {
	case 0:
		l.now++
	case 2:
		if l.left < 0 {
			l.left = l.now
		}
	case 3:
		l.knocked = l.knocked || l.left >= 0
	case 4:
		if l.knocked && l.now >= l.left+3 {
			l.err = NewViolation("shut", "open at %d", l.now)
		}
	}
}

func (l *lock) CheckLiveness() error {
	if l.livenessBroken && l.knocked {
		return NewViolation("silent", "knocked")
	}
	return l.err
}

func TestSystematicFindsShortestSchedule(t *testing.T) {
	newModel := func() Model { return &lock{} }
	if r := Systematic(newModel, Options{Deviations: 2, Depth: 8}); len(r.Failures) > 0 || r.Complete != 2 {
		t.Fatalf("with two deviations got %v with failures %v, want a complete search without any", r, r.Failures)
	}
	var last string
	for _, jobs := range []int{1, 1, 3} {
		r := Systematic(newModel, Options{Deviations: 4, Depth: 8, Jobs: jobs})
		if len(r.Failures) != 1 || r.Failures[0].Shrunk.Deviations() != 3 || r.Complete != 2 {
			t.Fatalf("%v: %+v", r, r.Failures)
		}
		f := r.Failures[0]
		if got := f.Shrunk.String(); last != "" && got != last && jobs == 1 {
			t.Errorf("a second run shrank to %s, want %s", got, last)
		} else {
			last = got
		}
		if err := Replay(newModel(), f.Shrunk); err == nil || err.Error() != f.Err.Error() {
			t.Errorf("replay returned %v, want %v", err, f.Err)
		}
	}
}

func TestSearchChecksLiveness(t *testing.T) {
	r := Systematic(func() Model { return &lock{livenessBroken: true} }, Options{Deviations: 3, Depth: 4})
	if len(r.Failures) != 1 || r.Failures[0].Rule != "silent" || r.Failures[0].Shrunk.String() != "left; knock" {
		t.Fatalf("%+v", r.Failures)
	}
	r = Systematic(func() Model { return &lock{livenessBroken: true} }, Options{Deviations: 3, Depth: 4, KeepGoing: true})
	if len(r.Failures) != 1 || r.Complete != 3 {
		t.Fatalf("with KeepGoing: %v %+v", r, r.Failures)
	}
}

func TestRandomIsReproducible(t *testing.T) {
	run := func() Report {
		return Random(func() Model { return &lock{} }, Options{Deviations: 6, Depth: 8, Seed: 3, Schedules: 20_000})
	}
	r, again := run(), run()
	if len(r.Failures) != 1 || r.Failures[0].Found.String() != again.Failures[0].Found.String() || r.Schedules != again.Schedules {
		t.Fatalf("%v %+v", r, r.Failures)
	}
	if s := r.Failures[0].Shrunk; s.Deviations() != 3 {
		t.Errorf("shrunk to %s", s)
	}
}

func TestShrink(t *testing.T) {
	long := Schedule{"noise", "+2", "knock", "left", "noise", "+1", "+1", "knock", "+4", "noise", "knock", "+2", "left", "right", "+3"}
	got := Shrink(&lock{}, long, "shut").String()
	if got != "left; +3; knock; right" && got != "left; knock; +3; right" {
		t.Errorf("shrunk to %s", got)
	}
}

func TestReplayRejectsDisabledChoice(t *testing.T) {
	if err := Replay(&lock{}, Parse("left; +2; sing ;knock")); !errors.Is(err, ErrNotEnabled) {
		t.Errorf("got %v", err)
	}
	s := Parse(" left;+3 ; knock; right")
	if err := Replay(&lock{}, s); err == nil || ruleOf(err) != "shut" {
		t.Errorf("got %v", err)
	}
	if again := Parse(s.String()); !slices.Equal(again, s) {
		t.Errorf("Parse of %v returned %v", s, again)
	}
	want := "\t{\"shut\", modelcheck.Schedule{\"left\", \"+3\"}}, // shut: why"
	if got := (Failure{Rule: "shut", Shrunk: Schedule{"left", "+3"}, Err: NewViolation("shut", "why")}).Source(); got != want {
		t.Errorf("Source returned %s, want %s", got, want)
	}
}

func TestSearchStopsAtBounds(t *testing.T) {
	mk := func() Model { return &lock{} }
	if r := Systematic(mk, Options{Deviations: 2, Depth: 8, Schedules: 10}); r.Schedules != 10 || r.Complete >= 2 {
		t.Errorf("%v", r)
	}
	if r := Systematic(mk, Options{Deviations: 2, Depth: 8, Limit: time.Nanosecond}); r.Schedules > 0 {
		t.Errorf("%v", r)
	}
}

// Guards against searches that continue from visited states: without pruning there would be far
// more than 150 schedules.
func TestVisitedStatesArePruned(t *testing.T) {
	l := &lock{}
	r := Systematic(func() Model { return l }, Options{Deviations: 2, Depth: 8})
	if r.Pruned == 0 || r.Schedules > 150 {
		t.Errorf("%v", r)
	}
}

func TestDigest(t *testing.T) {
	type inner struct {
		at   time.Duration
		mark uint64
	}
	type outer struct {
		in   map[string]*inner
		list []any
		f    func()
	}
	a := Abstraction{MaxAge: 5 * time.Second, SkipFields: []string{"inner.mark"}}
	newValue := func(at time.Duration, mark uint64, names ...string) outer {
		o := outer{in: map[string]*inner{}, f: func() {}}
		for _, n := range names {
			o.in[n] = &inner{at, mark}
			o.list = append(o.list, []byte(n))
		}
		return o
	}
	base := a.Digest(10*time.Second, newValue(9*time.Second, 1, "x", "y"))
	for name, c := range map[string]struct {
		now  time.Duration
		v    outer
		same bool
	}{
		"same value":            {10 * time.Second, newValue(9*time.Second, 1, "x", "y"), true},
		"skipped field differs": {10 * time.Second, newValue(9*time.Second, 2, "x", "y"), true},
		"all times shifted":     {30 * time.Second, newValue(29*time.Second, 1, "x", "y"), true},
		"different age":         {30 * time.Second, newValue(28*time.Second, 1, "x", "y"), false},
		"zero time":             {10 * time.Second, newValue(0, 1, "x", "y"), false},
		"different names":       {10 * time.Second, newValue(9*time.Second, 1, "x", "z"), false},
		"different order":       {10 * time.Second, newValue(9*time.Second, 1, "y", "x"), false},
	} {
		if got := a.Digest(c.now, c.v) == base; got != c.same {
			t.Errorf("%s: digests are equal: %v, want %v", name, got, c.same)
		}
	}
	if a.Digest(30*time.Second, newValue(1*time.Second, 1, "x")) != a.Digest(40*time.Second, newValue(2*time.Second, 1, "x")) {
		t.Error("digests differ for times that are both beyond MaxAge")
	}
}

// A frozen machine processes the messages that reached it once it thaws, but drops them if it
// was stopped in between. The test also covers cut, late, duplicated and lost messages.
func TestWorldDeliversMessages(t *testing.T) {
	var got []string
	w := NewWorld(time.Second, func(string) {}, func(e *Event) { got = append(got, e.From+e.To+e.Msg.(string)) })
	for _, n := range []string{"a", "b", "c"} {
		w.Start(n)
	}
	send := func() { w.Send("a", "b", "1"); w.Send("a", "c", "2") }
	advance := func(d time.Duration) { w.Run(w.Now+d, nil, nil) }
	expect := func(what string, want ...string) {
		t.Helper()
		if !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
		got = nil
	}
	w.Run(10*time.Millisecond, nil, nil)
	w.ApplyChoice("freeze b")
	send()
	advance(MessageDelay)
	expect("b is frozen", "ac2")
	w.ApplyChoice("thaw b")
	expect("b thawed", "ab1")
	w.ApplyChoice("freeze b")
	send()
	advance(MessageDelay)
	w.Stop("b")
	w.Start("b")
	w.ApplyChoice("thaw b")
	expect("b was stopped while frozen", "ac2")
	w.ApplyChoice("cut a>b")
	send()
	w.Send("b", "a", "3")
	advance(MessageDelay)
	expect("path from a to b is cut", "ac2", "ba3")
	w.ApplyChoice("join")
	send()
	w.ApplyChoice("late")
	advance(MessageDelay)
	expect("message to b is late", "ac2")
	advance(LateDelay)
	expect("late message arrived", "ab1")
	send()
	w.ApplyChoice("double")
	w.ApplyChoice("isolate c")
	advance(LateDelay + MessageDelay)
	expect("message to b is duplicated, c is isolated", "ab1", "ab1")
	w.Heal()
	send()
	w.ApplyChoice("lose")
	advance(LateDelay + MessageDelay)
	expect("message to b is lost", "ac2")
}
