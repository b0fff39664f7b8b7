package chain

import (
	"fmt"
	"testing"
	"time"

	"slateridge/internal/simnet"
)

// A machine whose disk came back empty is a member again within catchUp of its return, at
// the delays and losses of links between machines that are not slowed. Over slower links
// a view takes several rounds, but it comes.
func TestWipedMachineIsTakenIn(t *testing.T) {
	const wellPast = 30 * time.Second
	for _, f := range []struct {
		delay time.Duration
		loss  float64
		bound time.Duration
	}{
		{5 * time.Millisecond, 0, catchUp}, {5 * time.Millisecond, 0.02, catchUp},
		{40 * time.Millisecond, 0, catchUp}, {40 * time.Millisecond, 0.02, catchUp},
		{250 * time.Millisecond, 0, wellPast}, {250 * time.Millisecond, 0.02, wellPast}, {250 * time.Millisecond, 0.1, wellPast},
	} {
		t.Run(fmt.Sprintf("delay=%v loss=%v", f.delay, f.loss), func(t *testing.T) {
			t.Parallel()
			var sum, slowest time.Duration
			const seeds = 40
			for seed := uint64(1); seed <= seeds; seed++ {
				c := newCore(t, seed, three, 1)
				c.network.Delay, c.network.Loss = f.delay, f.loss
				c.network.Run(5*time.Second, nil)
				wiped := three[seed%3]
				c.chain[wiped], c.disks[wiped] = nil, simnet.NewDisk()
				c.life[wiped]++
				c.network.Run(c.network.Now+time.Duration(200+c.network.Rng.IntN(4000))*time.Millisecond, nil)
				c.start(wiped, false)
				back := c.network.Now
				for c.network.Now-back < f.bound {
					if _, found := c.outsider(); !found {
						break
					}
					c.network.Run(c.network.Now+10*time.Millisecond, nil)
				}
				if n, found := c.outsider(); found {
					t.Errorf("seed %d: %s is no member in all views %v after %s came back", seed, n, f.bound, wiped)
				}
				sum, slowest = sum+c.network.Now-back, max(slowest, c.network.Now-back)
			}
			t.Logf("taken in after %v in the mean, %v at most", sum/seeds, slowest)
		})
	}
}
