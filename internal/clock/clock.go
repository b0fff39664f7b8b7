// Package clock keeps a time of day that the fleet agrees on: the median of what
// its members' clocks say, carried on by the steady clock. One that jumps moves
// nothing while more than half do not.
package clock

import (
	"slices"
	"sync"
	"time"

	"slateridge/internal/datum"
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
	last int64
}

// New makes a clock that knows no time yet.
func New() *Clock { return &Clock{by: map[string]said{}} }

// Hear takes what one clock says at a steady time here.
func (c *Clock) Hear(from string, wall int64, steady time.Duration) {
	if wall < datum.WallSane {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.by[from] = said{time.Duration(wall) - steady, steady}
	var offs []time.Duration
	for n, s := range c.by {
		if steady-s.at > datum.ClockFresh {
			delete(c.by, n)
			continue
		}
		offs = append(offs, s.off)
	}
	slices.Sort(offs)
	c.off, c.set = offs[(len(offs)-1)/2], true
}

// Now is the agreed time; it never goes back. False while nothing was heard.
func (c *Clock) Now(steady time.Duration) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, int64(c.off+steady))
	return time.Unix(0, c.last), c.set
}
