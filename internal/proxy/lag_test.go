package proxy

import (
	"testing"
	"time"

	"slateridge/internal/constants"
)

// A process is late from the moment at which a beat is missing, whoever looks first after
// it has stood still, and for some time after.
func TestLagIsNoticed(t *testing.T) {
	const step = constants.StepEvery
	began := time.Now()
	m := &lagDetector{startedAt: began}
	if !m.lagging(began.Add(step)) {
		t.Error("not late without a beat")
	}
	at := began.Add(10 * time.Second)
	m.tick(at)
	for range 20 {
		at = at.Add(step)
		m.tick(at)
	}
	if m.lagging(at.Add(step)) {
		t.Error("late with regular beats")
	}
	woken := at.Add(3 * time.Second)
	if !m.lagging(woken) {
		t.Error("a standstill isn't noticed before the next beat")
	}
	m.tick(woken)
	if !m.lagging(woken.Add(step)) {
		t.Error("a standstill is forgotten with the next beat")
	}
	for at = woken; at.Before(woken.Add(constants.LagMemory)); at = at.Add(step) {
		m.tick(at)
	}
	if m.lagging(at.Add(step)) {
		t.Error("late for ever")
	}
}
