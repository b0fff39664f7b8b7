package clock

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// After the settling period, five of seven clocks jump forward or back by up to 10 seconds
// at once, and later return. The agreed time stays within a few times the normal spread of
// the clocks and never goes back, and samples that have expired are not used.
func TestClockJumpsDoNotMoveTheAgreedTime(t *testing.T) {
	const spread = 20 * time.Millisecond
	epoch := time.Unix(1_800_000_000, 0)
	for seed := uint64(1); seed <= 60; seed++ {
		r := rand.New(rand.NewPCG(seed, 1))
		offsets := make([]time.Duration, 7)
		for i := range offsets {
			offsets[i] = time.Duration(r.Int64N(int64(spread)))
		}
		jump := time.Duration(r.Int64N(int64(20*time.Second))) - 10*time.Second
		c := New()
		var last time.Time
		for now := time.Duration(0); now < time.Minute; now += 250 * time.Millisecond {
			for i := range offsets {
				offset := offsets[i]
				if i < 5 && now > 10*time.Second && now < 25*time.Second {
					offset += jump
				}
				c.Observe(fmt.Sprint(i), epoch.Add(now+offset).UnixNano(), now)
			}
			at, ok := c.Now(now)
			if deviation := at.Sub(epoch.Add(now)); !ok || deviation < -2*spread || deviation > 3*spread {
				t.Fatalf("seed %d at %v: the agreed time is off by %v", seed, now, deviation)
			}
			if at.Before(last) {
				t.Fatalf("seed %d at %v: the agreed time went back", seed, now)
			}
			last = at
		}
	}
	c := New()
	c.Observe("expired", epoch.Add(time.Hour).UnixNano(), -constants.ClockSampleMaxAge)
	c.Observe("current", epoch.Add(time.Second).UnixNano(), time.Second)
	if at, _ := c.Now(time.Second); at.Sub(epoch) != time.Second {
		t.Errorf("an expired sample was used: the agreed time is %v after the epoch", at.Sub(epoch))
	}
	if _, ok := New().Now(0); ok {
		t.Error("a clock without samples reports a time")
	}
}
