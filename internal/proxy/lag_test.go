package proxy

import (
	"testing"
	"time"

	"slateridge/internal/constants"
)

// A process lags from the moment at which a tick is missing, even if it is asked before the
// first tick after a suspension, and for some time afterwards.
func TestLagDetector(t *testing.T) {
	const step = constants.StepInterval
	began := time.Now()
	m := &lagDetector{startedAt: began}
	if !m.lagging(began.Add(step)) {
		t.Error("not lagging without a tick")
	}
	at := began.Add(10 * time.Second)
	m.tick(at)
	for range 20 {
		at = at.Add(step)
		m.tick(at)
	}
	if m.lagging(at.Add(step)) {
		t.Error("lagging with regular ticks")
	}
	woken := at.Add(3 * time.Second)
	if !m.lagging(woken) {
		t.Error("a suspension is not noticed before the next tick")
	}
	m.tick(woken)
	if !m.lagging(woken.Add(step)) {
		t.Error("a suspension is forgotten at the next tick")
	}
	for at = woken; at.Before(woken.Add(constants.LagRecoveryTime)); at = at.Add(step) {
		m.tick(at)
	}
	if m.lagging(at.Add(step)) {
		t.Error("lagging forever")
	}
}
