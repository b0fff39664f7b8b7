package leasemodel

import (
	"testing"
	"time"

	"slateridge/internal/modelcheck"
	"slateridge/internal/modelcheck/modelchecktest"
)

// A short search in bounds that stay the same; slateridge modelcheck runs long ones.
func TestLeases(t *testing.T) {
	c := Small()
	newModel := func() modelcheck.Model { return New(c) }
	modelchecktest.Search(t, newModel, false, modelcheck.Options{Deviations: 1, Depth: 4}, 150)
	c.Messages = true
	modelchecktest.Search(t, newModel, true, modelcheck.Options{Deviations: 5, Depth: 100, Schedules: 150, Seed: 1}, 150)
}

// The search sees what it is there to see: clocks that differ by more than the
// margin allows make two holders.
func TestTwoHoldersAreFound(t *testing.T) {
	c := Small()
	c.Skew, c.Step, c.Kinds = []int{-400, 300, 300, 300}, 400*time.Millisecond, []string{"yield", "isolate"}
	r := modelcheck.Systematic(func() modelcheck.Model { return New(c) }, modelcheck.Options{Deviations: 2, Depth: 4, Jobs: 2})
	t.Log(r)
	if len(r.Failures) != 1 || r.Failures[0].Rule != RuleOneHolder || r.Failures[0].Shrunk.Deviations() != 2 {
		t.Errorf("found %+v", r.Failures)
	}
}
