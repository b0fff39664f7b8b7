package chain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/simnet"
)

// TestEightConcurrentEvacuations submits eight evacuation orders for one or two zones at all
// machines at once; each must be acknowledged within the time that callers wait.
func TestEightConcurrentEvacuations(t *testing.T) {
	for _, zones := range [][]string{{"y"}, {"y", "z"}} {
		for _, delay := range []time.Duration{10 * time.Millisecond, 60 * time.Millisecond} {
			t.Run(fmt.Sprintf("zones=%d delay=%v", len(zones), delay), func(t *testing.T) {
				t.Parallel()
				var slowest time.Duration
				missed := 0
				for seed := uint64(1); seed <= 20; seed++ {
					c := newSettledCluster(t, seed, []int{3, 6}[seed%2], 1)
					c.network.Delay = delay
					submittedAt := c.network.Now
					pending := map[uint64]string{} // machine by order ID
					for i := range 8 {
						id, n := c.network.Rng.Uint64(), c.names[i%len(c.names)]
						pending[id] = n
						c.step(n, c.generation[n], func(ch *Chain) []Effect { return ch.Evacuate(c.network.Now, id, zones[i%len(zones)], i%3 == 0) })
					}
					c.network.Run(submittedAt+constants.SubmitTimeout, func() {
						for id, n := range pending {
							if d := c.committedStates[n]; slices.Contains(d.Evac["y"].IDs, id) || slices.Contains(d.Evac["z"].IDs, id) {
								slowest = max(slowest, c.network.Now-submittedAt)
								delete(pending, id)
							}
						}
					})
					missed += len(pending)
				}
				t.Logf("%d of 160 not acknowledged in time; the slowest of the others took %v", missed, slowest)
				if missed > 0 {
					t.Errorf("%d of 160 not acknowledged within %v", missed, constants.SubmitTimeout)
				}
			})
		}
	}
}

// TestWatermarkCoversEarlierOrdersOnly checks that a watermark lets an order follow those
// that the head had received when it issued the watermark, and no later ones: an order
// delayed together with its watermark undoes nothing ordered since. A watermark of another
// run or view of the head has no effect.
func TestWatermarkCoversEarlierOrdersOnly(t *testing.T) {
	c, err := New(0, "a", []string{"a"}, true, simnet.NewDisk(), rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	applied := func(o EvacuationOrder) bool {
		before := c.Committed().Evac["z"].Num
		c.Recv(c.now+1, "a", o)
		return c.Committed().Evac["z"].Num > before
	}
	c.Evacuate(1, 2, "z", true)
	if applied(EvacuationOrder{ID: 1, Zone: "z", Base: 0}) {
		t.Fatal("an order made without knowledge of a later one was applied without a watermark")
	}
	mark := c.watermark()
	c.Evacuate(3, 3, "z", true)
	if applied(EvacuationOrder{ID: 1, Zone: "z", Base: 0, Watermark: mark}) {
		t.Error("an order that was delayed with its watermark undid a later one")
	}
	mark = c.watermark()
	for _, other := range []Watermark{{mark.View + 1, mark.Life, mark.Received}, {mark.View, mark.Life + 1, mark.Received}, {mark.View, mark.Life, mark.Received - 1}} {
		if applied(EvacuationOrder{ID: 4, Zone: "z", Base: 1, Watermark: other}) {
			t.Errorf("applied with %+v, the head's is %+v", other, mark)
		}
	}
	if !applied(EvacuationOrder{ID: 5, Zone: "z", Base: 1, Watermark: mark}) {
		t.Error("a concurrent order with its watermark was not applied")
	}
}
