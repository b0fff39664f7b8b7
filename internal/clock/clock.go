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

type said struct {
	off time.Duration // its time of day less the steady time here
	at  time.Duration
}

// Clock is one process's view of the agreed time.
type Clock struct {
	mu   sync.Mutex
	by   map[string]said
	off  time.Duration
	set  bool
	at   time.Duration // when off was last drawn
	last int64
}

// New makes a clock that knows no time yet.
func New() *Clock { return &Clock{by: map[string]said{}} }

// Hear takes what one clock says at a steady time here.
func (c *Clock) Hear(from string, wall int64, steady time.Duration) {
	if wall < constants.MinWallClock {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.by[from] = said{time.Duration(wall) - steady, steady}
	var offs []time.Duration
	for n, s := range c.by {
		if steady-s.at > constants.ClockFresh {
			delete(c.by, n)
			continue
		}
		offs = append(offs, s.off)
	}
	slices.Sort(offs)
	median := offs[(len(offs)-1)/2]
	if !c.set || steady < constants.ClockSettle {
		c.off, c.set, c.last = median, true, 0
	} else {
		most := time.Duration(float64(steady-c.at) * constants.ClockSlew)
		c.off += min(max(median-c.off, -most), most)
	}
	c.at = steady
}

// Now is the agreed time; once settled it never goes back. False while nothing was heard.
func (c *Clock) Now(steady time.Duration) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, int64(c.off+steady))
	return time.Unix(0, c.last), c.set
}
