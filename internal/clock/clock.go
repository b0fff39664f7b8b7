// Package clock keeps a time of day that the fleet agrees on. A process that has just
// started takes the median of what others say, who tell what they have agreed on; from
// then on the steady clock carries it, and the median only draws it slowly. So clocks
// that jump, even most of them at once, move next to nothing.
package clock

import (
	"slices"
	"sync"
	"time"

	"slateridge/internal/constants"
)

type reading struct {
	offset time.Duration // its time of day less the steady time here
	at     time.Duration
}

// Clock is one process's view of the agreed time.
type Clock struct {
	mu         sync.Mutex
	readings   map[string]reading
	offset     time.Duration
	set        bool
	adjustedAt time.Duration // when off was last drawn
	last       int64
}

// New makes a clock that knows no time yet.
func New() *Clock { return &Clock{readings: map[string]reading{}} }

// Observe takes what one clock says at a steady time here.
func (c *Clock) Observe(from string, wall int64, steady time.Duration) {
	if wall < constants.MinWallClock {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings[from] = reading{time.Duration(wall) - steady, steady}
	var offs []time.Duration
	for n, s := range c.readings {
		if steady-s.at > constants.ClockFresh {
			delete(c.readings, n)
			continue
		}
		offs = append(offs, s.offset)
	}
	slices.Sort(offs)
	median := offs[(len(offs)-1)/2]
	if !c.set || steady < constants.ClockSettle {
		c.offset, c.set, c.last = median, true, 0
	} else {
		most := time.Duration(float64(steady-c.adjustedAt) * constants.ClockSlew)
		c.offset += min(max(median-c.offset, -most), most)
	}
	c.adjustedAt = steady
}

// Now is the agreed time; once settled it never goes back. False while nothing was heard.
func (c *Clock) Now(steady time.Duration) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, int64(c.offset+steady))
	return time.Unix(0, c.last), c.set
}
