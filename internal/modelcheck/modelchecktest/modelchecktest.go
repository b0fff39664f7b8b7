// Package modelchecktest helps the tests of models: it runs searches and reports what they
// find as failures of the test.
package modelchecktest

import (
	"testing"

	"slateridge/internal/modelcheck"
)

// Search runs a search, random or systematic, with two jobs, and checks its report.
func Search(t *testing.T, newModel func() modelcheck.Model, random bool, o modelcheck.Options, atLeast int) {
	t.Helper()
	o.Jobs = 2
	search := modelcheck.Systematic
	if random {
		search = modelcheck.Random
	}
	Check(t, search(newModel, o), atLeast)
}

// Check fails the test for each rule that a search found broken, and when it ran fewer
// schedules than would mean anything.
func Check(t *testing.T, r modelcheck.Report, atLeast int) {
	t.Helper()
	t.Log(r)
	for _, f := range r.Failures {
		t.Errorf("%v\n%s", f.Err, f.Source())
	}
	if len(r.Failures) == 0 && r.Schedules < atLeast {
		t.Errorf("%d schedules: too few to mean anything", r.Schedules)
	}
}
