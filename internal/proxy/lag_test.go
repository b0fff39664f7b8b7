package proxy

import (
	"testing"
	"time"

	"slateridge/internal/constants"
)

// A process counts as lagging as soon as a tick is overdue, even before the first tick after a
// suspension, and for LagMemory after that tick.
func TestLagDetector(t *testing.T) {
	const step = constants.StepInterval
	began := time.Now()
	detector := &lagDetector{startedAt: began}
	if !detector.lagging(began.Add(step)) {
		t.Error("not lagging without a tick")
	}
	at := began.Add(10 * time.Second)
	detector.tick(at)
	for range 20 {
		at = at.Add(step)
		detector.tick(at)
	}
	if detector.lagging(at.Add(step)) {
		t.Error("lagging with regular ticks")
	}
	resumedAt := at.Add(3 * time.Second)
	if !detector.lagging(resumedAt) {
		t.Error("a suspension is not detected before the next tick")
	}
	detector.tick(resumedAt)
	if !detector.lagging(resumedAt.Add(step)) {
		t.Error("a suspension is forgotten at the next tick")
	}
	for at = resumedAt; at.Before(resumedAt.Add(constants.LagRecoveryTime)); at = at.Add(step) {
		detector.tick(at)
	}
	if detector.lagging(at.Add(step)) {
		t.Error("lagging forever")
	}
}
