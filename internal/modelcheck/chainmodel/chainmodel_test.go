package chainmodel

import (
	"testing"
	"time"

	"slateridge/internal/modelcheck"
	"slateridge/internal/modelcheck/modelchecktest"
)

// found are schedules that broke a rule once, as the model checker printed them.
var regressions = []struct {
	rule     string
	schedule modelcheck.Schedule
}{
	// Voters that left for good counted for the majority for ever.
	{RuleConfirmed, modelcheck.Schedule{"leave a", "come d", "+3", "leave b"}},
	{RuleConfirmed, modelcheck.Schedule{"leave a", "come d", "+3", "leave c"}},
	{RuleConfirmed, modelcheck.Schedule{"leave a", "come d", "+3", "wipe b"}},
	{RuleConfirmed, modelcheck.Schedule{"leave a", "come d", "+3", "wipe c"}},
	{RuleConfirmed, modelcheck.Schedule{"leave a", "come d", "+3", "leave b", "come e"}},
	{RuleConfirmed, modelcheck.Schedule{"leave a", "come d", "+3", "stop c"}},
	// One that came soon after the founding passed for a founder, and its place was kept.
	{RuleConfirmed, modelcheck.Schedule{"come d", "+3", "leave a", "+2", "stop c"}},
	// A number was confirmed whatever stood under it.
	{RuleOneContent, modelcheck.Schedule{"order p at a: r1", "order q at a: r1"}},
	{RuleOneContent, modelcheck.Schedule{"order p at a: r1", "order q at b: r1"}},
	{RuleOneContent, modelcheck.Schedule{"order p at a: r1", "+1", "order q at c: r1"}},
}

func TestFound(t *testing.T) {
	for _, f := range regressions {
		t.Run(f.rule+"/"+f.schedule.String(), func(t *testing.T) {
			if err := modelcheck.Replay(New(Small()), f.schedule); err != nil {
				t.Error(err)
			}
		})
	}
}

// Short searches in bounds that stay the same; slateridge modelcheck runs long ones.
func TestChain(t *testing.T) {
	for _, s := range []struct {
		name   string
		change func(*Config)
		random bool
		o      modelcheck.Options
	}{
		{"membership", func(c *Config) { c.Kinds = []string{"leave", "come", "wipe"} }, false, modelcheck.Options{Deviations: 3, Depth: 4, Schedules: 130}},
		{"orders", func(c *Config) { c.Kinds = []string{"order", "again", "read", "evacuate"} }, false, modelcheck.Options{Deviations: 2, Depth: 1, Schedules: 120}},
		{"faults", func(c *Config) { c.Newcomers, c.Operators = 0, 1 }, false, modelcheck.Options{Deviations: 1, Depth: 1}},
		{"messages", func(c *Config) { c.Newcomers, c.Operators, c.Messages = 0, 1, true }, true, modelcheck.Options{Deviations: 4, Depth: 60, Schedules: 60, Seed: 1}},
		{"orderly leaves", func(c *Config) { c.Kinds = []string{"quit", "depart", "come", "start"} }, false, modelcheck.Options{Deviations: 2, Depth: 2}},
		{"two of five lost", func(c *Config) { *c = Five(); c.Kinds = []string{"stop", "wipe", "leave", "quit"} }, false, modelcheck.Options{Deviations: 2, Depth: 0}},
		{"five machines", func(c *Config) { *c = Five() }, true, modelcheck.Options{Deviations: 4, Depth: 3, Schedules: 40, Seed: 3}},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := Small()
			s.change(&c)
			modelchecktest.Search(t, func() modelcheck.Model { return New(c) }, s.random, s.o, 40)
		})
	}
}

// Duties ride on the chain's views and records. Their keys count with time, so no
// state comes twice: walks, not levels.
func TestDuties(t *testing.T) {
	c := Small()
	c.Duties, c.Operators, c.Newcomers, c.Step = true, 1, 1, 300*time.Millisecond
	c.Without = []string{"order", "again", "read", "evacuate"}
	r := modelcheck.Random(func() modelcheck.Model { return New(c) }, modelcheck.Options{Deviations: 4, Depth: 20, Schedules: 60, Seed: 2, Jobs: 2})
	t.Log(r)
	for _, f := range r.Failures {
		t.Errorf("%v\n%s", f.Err, f.Source())
	}
	m := New(c)
	if err := modelcheck.Replay(m, modelcheck.Schedule{"+2", "isolate a", "+10", "join", "+3", "outage", "+2", "recover", "freeze b", "+6", "thaw b"}); err != nil {
		t.Error(err)
	}
	if m.platform.accepted < 8 || len(m.platform.fenceHolder) < 2 {
		t.Errorf("%d acts under %d fences: too few to mean anything", m.platform.accepted, len(m.platform.fenceHolder))
	}
}

// The search sees what it is there to see: disks lost as no promise allows.
func TestLossesBeyondThePromiseAreFound(t *testing.T) {
	c := Small()
	c.UnsafeDiskLoss, c.Kinds = true, []string{"wipe", "order"}
	r := modelcheck.Systematic(func() modelcheck.Model { return New(c) }, modelcheck.Options{Deviations: 2, Depth: 1})
	t.Log(r)
	for _, f := range r.Failures {
		t.Log(f.Source())
		if f.Rule == RuleConfirmed && f.Shrunk.Deviations() == 2 {
			return
		}
	}
	t.Error("not found")
}

// Three of five lost is beyond the tolerance of two, and found.
func TestThreeOfFiveLostAreFound(t *testing.T) {
	c := Five()
	c.UnsafeDiskLoss, c.Kinds = true, []string{"leave"}
	r := modelcheck.Systematic(func() modelcheck.Model { return New(c) }, modelcheck.Options{Deviations: 3, Depth: 0, Jobs: 2})
	t.Log(r)
	if len(r.Failures) != 1 || r.Failures[0].Rule != RuleConfirmed || r.Failures[0].Shrunk.Deviations() != 3 {
		t.Errorf("found %+v", r.Failures)
	}
}

// Leavers, one after the other, stop with a view without them while all is well.
func TestOrderlyLeaves(t *testing.T) {
	m := New(Five())
	for _, s := range []struct {
		schedule modelcheck.Schedule
		left     int
	}{
		{modelcheck.Schedule{"quit a", "+1"}, 1},
		{modelcheck.Schedule{"quit a", "+1", "quit b", "+1"}, 2},
		{modelcheck.Schedule{"depart a", "+1", "quit b", "+1"}, 2},
		{modelcheck.Schedule{"quit a", "+2", "start a", "+4", "quit b", "+2"}, 2},
		{modelcheck.Schedule{"isolate a", "quit a", "+2"}, 0},
	} {
		if err := modelcheck.Replay(m, s.schedule); err != nil || m.leftCount != s.left {
			t.Errorf("%v: %d left with a view without them, want %d; %v", s.schedule, m.leftCount, s.left, err)
		}
	}
}

// The same schedule comes to the same state, by way of the same steps.
func TestReplaysAlike(t *testing.T) {
	s := modelcheck.Schedule{"order p at a: r1", "+2", "restart b", "+1", "mute c", "evacuate a on", "+2", "join", "+3"}
	a, b := New(Small()), New(Small())
	for range 3 {
		if err := modelcheck.Replay(a, s); err != nil {
			t.Fatal(err)
		}
		modelcheck.Replay(b, s)
		if a.Hash() != b.Hash() {
			t.Fatal("two runs differ")
		}
	}
	if a.readsAnswered != 3 || a.confirmations < 4 {
		t.Errorf("%d reads answered and %d orders confirmed", a.readsAnswered, a.confirmations)
	}
}
