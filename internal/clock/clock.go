// Package clock maintains a wall-clock time that the processes of a deployment agree on. A
// process that has just started adopts the median of the times that others send, which are
// the agreed time already. After that the time advances with the monotonic clock and is
// only slewed towards the median at a bounded rate, so clocks that jump have hardly any
// effect, even if most of them jump at once.
package clock

import (
	"slices"
	"sync"
	"time"

	"slateridge/internal/constants"
)

// sample is the latest time received from one clock.
type sample struct {
	offset time.Duration // remote wall-clock time minus local monotonic time
	at     time.Duration // local monotonic time of receipt
}

// Clock is one process's view of the agreed time. Its methods take the current monotonic
// time of the process.
type Clock struct {
	mu         sync.Mutex
	samples    map[string]sample // by sender
	offset     time.Duration     // agreed time minus local monotonic time
	set        bool
	adjustedAt time.Duration // when offset was last adjusted
	last       int64         // latest time returned by Now
}

// New returns a clock without any samples; its time is not set.
func New() *Clock { return &Clock{samples: map[string]sample{}} }

// Observe records the wall-clock time that one process sent and adjusts the agreed time.
// Times that are not plausible are ignored.
func (c *Clock) Observe(from string, wall int64, monotonic time.Duration) {
	if wall < constants.MinWallClock {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples[from] = sample{time.Duration(wall) - monotonic, monotonic}
	var offsets []time.Duration
	for name, s := range c.samples {
		if monotonic-s.at > constants.ClockSampleMaxAge {
			delete(c.samples, name)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	median := offsets[(len(offsets)-1)/2]
	if !c.set || monotonic < constants.ClockSettlingTime {
		c.offset, c.set, c.last = median, true, 0
	} else {
		maxStep := time.Duration(float64(monotonic-c.adjustedAt) * constants.ClockMaxSlewRate)
		c.offset += min(max(median-c.offset, -maxStep), maxStep)
	}
	c.adjustedAt = monotonic
}

// Now returns the agreed time. It never goes back after the settling period. It reports
// false until a time has been received.
func (c *Clock) Now(monotonic time.Duration) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, int64(c.offset+monotonic))
	return time.Unix(0, c.last), c.set
}
