package chain

import (
	"fmt"
	"testing"
	"time"

	"slateridge/internal/simnet"
)

// TestWipedMachineRejoins checks that a machine whose disk came back empty is a member again
// within catchUp of its return, at the delays and losses of healthy links. Over slower links
// the view change takes several rounds, but succeeds.
func TestWipedMachineRejoins(t *testing.T) {
	const slowLinkBound = 30 * time.Second
	for _, f := range []struct {
		delay time.Duration
		loss  float64
		bound time.Duration
	}{
		{5 * time.Millisecond, 0, catchUp}, {5 * time.Millisecond, 0.02, catchUp},
		{40 * time.Millisecond, 0, catchUp}, {40 * time.Millisecond, 0.02, catchUp},
		{250 * time.Millisecond, 0, slowLinkBound}, {250 * time.Millisecond, 0.02, slowLinkBound}, {250 * time.Millisecond, 0.1, slowLinkBound},
	} {
		t.Run(fmt.Sprintf("delay=%v loss=%v", f.delay, f.loss), func(t *testing.T) {
			t.Parallel()
			var sum, slowest time.Duration
			const seeds = 40
			for seed := uint64(1); seed <= seeds; seed++ {
				c := newCluster(t, seed, threeMachines, 1)
				c.network.Delay, c.network.Loss = f.delay, f.loss
				c.network.Run(5*time.Second, nil)
				wiped := threeMachines[seed%3]
				c.chains[wiped], c.disks[wiped] = nil, simnet.NewDisk()
				c.generation[wiped]++
				c.network.Run(c.network.Now+time.Duration(200+c.network.Rng.IntN(4000))*time.Millisecond, nil)
				c.start(wiped, false)
				startedAt := c.network.Now
				for c.network.Now-startedAt < f.bound {
					if _, found := c.findNonMember(); !found {
						break
					}
					c.network.Run(c.network.Now+10*time.Millisecond, nil)
				}
				if n, found := c.findNonMember(); found {
					t.Errorf("seed %d: %s is not a member in all views %v after %s started", seed, n, f.bound, wiped)
				}
				sum, slowest = sum+c.network.Now-startedAt, max(slowest, c.network.Now-startedAt)
			}
			t.Logf("member again after %v on average, %v at most", sum/seeds, slowest)
		})
	}
}
