package proxy

import (
	"sync/atomic"
	"time"

	"slateridge/internal/constants"
)

// lagDetector detects when this process runs late, because it was suspended or its processor is
// overloaded. Data read at such a time may have been waiting for long. Before the first tick the
// process counts as lagging.
type lagDetector struct {
	startedAt    time.Time
	lastTick     atomic.Int64 // nanoseconds since startedAt; 0 before the first tick
	laggingUntil atomic.Int64 // likewise; by then everything that arrived during a lag has been read
}

// tick must be called every StepInterval.
func (d *lagDetector) tick(now time.Time) {
	at := int64(now.Sub(d.startedAt))
	if last := d.lastTick.Swap(at); at-last > int64(constants.LagThreshold) {
		d.laggingUntil.Store(at + int64(constants.LagRecoveryTime))
	}
}

// lagging reports whether the process runs late, or did so shortly before.
func (d *lagDetector) lagging(now time.Time) bool {
	at, last := int64(now.Sub(d.startedAt)), d.lastTick.Load()
	return last == 0 || at-last > int64(constants.LagThreshold) || at < d.laggingUntil.Load()
}
