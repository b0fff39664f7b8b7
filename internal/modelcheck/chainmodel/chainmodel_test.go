package chainmodel

import (
	"testing"
	"time"

	"slateridge/internal/modelcheck"
	"slateridge/internal/modelcheck/modelchecktest"
)

// regressions are schedules that once violated a rule, as the model checker printed them.
var regressions = []struct {
	rule     string
	schedule modelcheck.Schedule
}{
	// Voters that left permanently kept counting toward the majority.
	{RuleConfirmed, modelcheck.Schedule{"leave a", "come d", "+3", "leave b"}},
	{RuleConfirmed, modelcheck.Schedule{"leave a", "come d", "+3", "leave c"}},
	{RuleConfirmed, modelcheck.Schedule{"leave a", "come d", "+3", "wipe b"}},
	{RuleConfirmed, modelcheck.Schedule{"leave a", "come d", "+3", "wipe c"}},
	{RuleConfirmed, modelcheck.Schedule{"leave a", "come d", "+3", "leave b", "come e"}},
	{RuleConfirmed, modelcheck.Schedule{"leave a", "come d", "+3", "stop c"}},
	// A machine that joined soon after the founding was taken for a founder, and its place was
	// kept.
	{RuleConfirmed, modelcheck.Schedule{"come d", "+3", "leave a", "+2", "stop c"}},
	// A version was confirmed without comparing its content.
	{RuleOneContent, modelcheck.Schedule{"order p at a: r1", "order q at a: r1"}},
	{RuleOneContent, modelcheck.Schedule{"order p at a: r1", "order q at b: r1"}},
	{RuleOneContent, modelcheck.Schedule{"order p at a: r1", "+1", "order q at c: r1"}},
}

func TestRegressions(t *testing.T) {
	for _, f := range regressions {
		t.Run(f.rule+"/"+f.schedule.String(), func(t *testing.T) {
			if err := modelcheck.Replay(New(Small()), f.schedule); err != nil {
				t.Error(err)
			}
		})
	}
}

// Runs short searches with fixed bounds; the command slateridge modelcheck runs long ones.
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

// Duties depend on the chain's views and records. Their keys contain the time, so that no state
// recurs; the test uses random walks, since systematic levels could not prune.
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
		t.Errorf("%d actions were accepted under %d fences, want at least 8 under 2", m.platform.accepted, len(m.platform.fenceHolder))
	}
}

// Verifies that the search detects violations at all: disks are lost more often than the
// guarantees allow.
func TestDetectsUnsafeDiskLoss(t *testing.T) {
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
	t.Error("no violation of RuleConfirmed with two deviations was found")
}

// Losing three of five machines exceeds the tolerance of two, and the search must detect it.
func TestDetectsThreeOfFiveLost(t *testing.T) {
	c := Five()
	c.UnsafeDiskLoss, c.Kinds = true, []string{"leave"}
	r := modelcheck.Systematic(func() modelcheck.Model { return New(c) }, modelcheck.Options{Deviations: 3, Depth: 0, Jobs: 2})
	t.Log(r)
	if len(r.Failures) != 1 || r.Failures[0].Rule != RuleConfirmed || r.Failures[0].Shrunk.Deviations() != 3 {
		t.Errorf("got failures %+v, want one of RuleConfirmed with three deviations", r.Failures)
	}
}

// Machines that shut down one after the other must stop with a view without them while all
// machines are healthy.
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
			t.Errorf("%v: %d machines left with a view without them, want %d; error: %v", s.schedule, m.leftCount, s.left, err)
		}
	}
}

// The same schedule must lead to the same state with the same steps.
func TestReplayIsDeterministic(t *testing.T) {
	s := modelcheck.Schedule{"order p at a: r1", "+2", "restart b", "+1", "mute c", "evacuate a on", "+2", "join", "+3"}
	a, b := New(Small()), New(Small())
	for range 3 {
		if err := modelcheck.Replay(a, s); err != nil {
			t.Fatal(err)
		}
		modelcheck.Replay(b, s)
		if a.Hash() != b.Hash() {
			t.Fatal("two runs have different hashes")
		}
	}
	if a.readsAnswered != 3 || a.confirmations < 4 {
		t.Errorf("%d reads were answered and %d submissions confirmed, want 3 and at least 4", a.readsAnswered, a.confirmations)
	}
}
