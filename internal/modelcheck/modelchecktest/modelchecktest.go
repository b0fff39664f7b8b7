// Package modelchecktest provides helpers for tests of models: it runs searches and reports the
// violations they find as test failures.
package modelchecktest

import (
	"testing"

	"slateridge/internal/modelcheck"
)

// Search runs a random or systematic search with two jobs and checks its report.
func Search(t *testing.T, newModel func() modelcheck.Model, random bool, o modelcheck.Options, atLeast int) {
	t.Helper()
	o.Jobs = 2
	search := modelcheck.Systematic
	if random {
		search = modelcheck.Random
	}
	Check(t, search(newModel, o), atLeast)
}

// Check fails the test for each violated rule, and when the search ran fewer than atLeast
// schedules.
func Check(t *testing.T, r modelcheck.Report, atLeast int) {
	t.Helper()
	t.Log(r)
	for _, f := range r.Failures {
		t.Errorf("%v\n%s", f.Err, f.Source())
	}
	if len(r.Failures) == 0 && r.Schedules < atLeast {
		t.Errorf("%d schedules were run, want at least %d", r.Schedules, atLeast)
	}
}
