package leasemodel

import (
	"testing"
	"time"

	"slateridge/internal/modelcheck"
	"slateridge/internal/modelcheck/modelchecktest"
)

// Runs short searches with fixed bounds; the command slateridge modelcheck runs long ones.
func TestLeases(t *testing.T) {
	c := Small()
	newModel := func() modelcheck.Model { return New(c) }
	modelchecktest.Search(t, newModel, false, modelcheck.Options{Deviations: 1, Depth: 4}, 150)
	c.Messages = true
	modelchecktest.Search(t, newModel, true, modelcheck.Options{Deviations: 5, Depth: 100, Schedules: 150, Seed: 1}, 150)
}

// Verifies that the search detects violations at all: clocks that differ by more than the
// margin lead to two holders.
func TestDetectsTwoHolders(t *testing.T) {
	c := Small()
	c.Skew, c.Step, c.Kinds = []int{-400, 300, 300, 300}, 400*time.Millisecond, []string{"yield", "isolate"}
	r := modelcheck.Systematic(func() modelcheck.Model { return New(c) }, modelcheck.Options{Deviations: 2, Depth: 4, Jobs: 2})
	t.Log(r)
	if len(r.Failures) != 1 || r.Failures[0].Rule != RuleOneHolder || r.Failures[0].Shrunk.Deviations() != 2 {
		t.Errorf("got failures %+v, want one of RuleOneHolder with two deviations", r.Failures)
	}
}
