package proxy

import (
	"sync/atomic"
	"time"

	"slateridge/internal/constants"
)

// lagDetector tells when this process runs late: it stood still, or has more to do than its
// processor allows. What it reads then may have waited for long. A lagDetector without beats
// says that it does.
type lagDetector struct {
	startedAt    time.Time
	lastTick     atomic.Int64 // nanoseconds since began; 0 before the first
	laggingUntil atomic.Int64 // likewise: what came during a lag has been read by then
}

// tick is to be called each StepEvery.
func (m *lagDetector) tick(now time.Time) {
	at := int64(now.Sub(m.startedAt))
	if last := m.lastTick.Swap(at); at-last > int64(constants.LagLong) {
		m.laggingUntil.Store(at + int64(constants.LagMemory))
	}
}

// lagging says whether the process runs lagging, or did so shortly before.
func (m *lagDetector) lagging(now time.Time) bool {
	at, last := int64(now.Sub(m.startedAt)), m.lastTick.Load()
	return last == 0 || at-last > int64(constants.LagLong) || at < m.laggingUntil.Load()
}
