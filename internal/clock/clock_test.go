package clock

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// Once settled, clocks that jump by seconds, most of them at once, forward and back and
// home again, move the agreed time by next to nothing; it never goes back, and a clock
// that is not heard any more has no say.
func TestJumpsMoveNothing(t *testing.T) {
	const spread = 20 * time.Millisecond
	epoch := time.Unix(1_800_000_000, 0)
	for seed := uint64(1); seed <= 60; seed++ {
		r := rand.New(rand.NewPCG(seed, 1))
		off := make([]time.Duration, 7)
		for i := range off {
			off[i] = time.Duration(r.Int64N(int64(spread)))
		}
		jump := time.Duration(r.Int64N(int64(20*time.Second))) - 10*time.Second
		c := New()
		var last time.Time
		for now := time.Duration(0); now < time.Minute; now += 250 * time.Millisecond {
			for i := range off {
				o := off[i]
				if i < 5 && now > 10*time.Second && now < 25*time.Second {
					o += jump
				}
				c.Observe(fmt.Sprint(i), epoch.Add(now+o).UnixNano(), now)
			}
			at, ok := c.Now(now)
			if err := at.Sub(epoch.Add(now)); !ok || err < -2*spread || err > 3*spread {
				t.Fatalf("seed %d at %v: the agreed time is off by %v", seed, now, err)
			}
			if at.Before(last) {
				t.Fatalf("seed %d at %v: it goes back", seed, now)
			}
			last = at
		}
	}
	c := New()
	c.Observe("gone", epoch.Add(time.Hour).UnixNano(), -constants.ClockFresh)
	c.Observe("here", epoch.Add(time.Second).UnixNano(), time.Second)
	if at, _ := c.Now(time.Second); at.Sub(epoch) != time.Second {
		t.Errorf("a clock heard of long ago counts: %v", at.Sub(epoch))
	}
	if _, ok := New().Now(0); ok {
		t.Error("a time is known before any was heard")
	}
}
