package admissionmodel

import (
	"testing"

	"slateridge/internal/explore"
)

// large is a fleet whose slack covers its floors: no key goes to its tracker alone.
func large(c *Config) { c.Slack = 20 }

// Short searches in bounds that stay the same; slateridge explore runs long ones.
func TestAdmission(t *testing.T) {
	for _, s := range []struct {
		name    string
		change  func(*Config)
		random  bool
		o       explore.Options
		atLeast int
	}{
		{"one deviation", func(c *Config) {}, false, explore.Options{Deviations: 1, Depth: 4}, 140},
		{"one deviation, pressed", func(c *Config) { c.Pressed = true }, false, explore.Options{Deviations: 1, Depth: 4}, 140},
		{"one deviation, shares only", func(c *Config) { large(c); c.Pressed = true }, false, explore.Options{Deviations: 1, Depth: 4}, 140},
		{"cut off", func(c *Config) { c.Kinds = []string{"isolate", "press"} }, false, explore.Options{Deviations: 2, Depth: 2}, 100},
		{"the duty moves", func(c *Config) { c.Kinds, c.Pressed = []string{"duty"}, true }, false, explore.Options{Deviations: 3, Depth: 5}, 100},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := Small()
			s.change(&c)
			s.o.Jobs = 2
			search := explore.Systematic
			if s.random {
				search = explore.Random
			}
			r := search(func() explore.Model { return New(c) }, s.o)
			t.Log(r)
			for _, f := range r.Failures {
				t.Errorf("%v\n%s", f.Err, f.Source())
			}
			if len(r.Failures) == 0 && r.Schedules < s.atLeast {
				t.Errorf("%d schedules: too few to mean anything", r.Schedules)
			}
		})
	}
}

// The search sees what it is there to see: a defect planted around the machines is
// found, and the schedule that shows it breaks nothing without the defect.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, s := range []struct {
		fault      Fault
		change     func(*Config)
		deviations int
	}{
		{LoanOutlives, func(c *Config) { c.Kinds = []string{"isolate"} }, 1},
		{TrackerAtOnce, func(c *Config) { c.Kinds, c.Pressed, c.Quota.Burst = []string{"duty"}, true, 60 }, 1},
		{NewcomerAtOnce, func(c *Config) { large(c); c.Kinds, c.Pressed = []string{"come", "part"}, true }, 2},
	} {
		t.Run(string(s.fault), func(t *testing.T) {
			c := Small()
			s.change(&c)
			sound := c
			c.Planted = s.fault
			r := explore.Systematic(func() explore.Model { return New(c) }, explore.Options{Deviations: s.deviations, Depth: 4, Jobs: 1})
			t.Log(r)
			if len(r.Failures) != 1 || r.Failures[0].Rule != RuleBound {
				t.Fatalf("found %+v", r.Failures)
			}
			if err := explore.Replay(New(sound), r.Failures[0].Shrunk); err != nil {
				t.Errorf("%v, without the defect: %v", r.Failures[0].Shrunk, err)
			}
		})
	}
}

// The same schedule comes to the same state.
func TestReplaysAlike(t *testing.T) {
	s := explore.Schedule{"press all", "+2", "restart p", "+1", "duty u", "come r", "+2", "freeze q", "+2", "thaw q", "part c|p", "+3"}
	c := Small()
	c.Faults = 4
	a, b := New(c), New(c)
	for range 3 {
		if err := explore.Replay(a, s); err != nil {
			t.Fatal(err)
		}
		explore.Replay(b, s)
		if a.Hash() != b.Hash() || a.served != b.served {
			t.Fatal("two runs differ")
		}
	}
	if a.served < 100 {
		t.Errorf("%d requests served: too few to mean anything", a.served)
	}
}
