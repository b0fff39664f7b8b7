package headworks

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"slateridge/internal/basin"
	"slateridge/internal/datum"
)

// Eight evacuations contend for one zone or for two, sent at once at all machines: each
// is acknowledged in the time that callers wait.
func TestEightEvacuationsAtOnce(t *testing.T) {
	for _, zones := range [][]string{{"y"}, {"y", "z"}} {
		for _, delay := range []time.Duration{10 * time.Millisecond, 60 * time.Millisecond} {
			t.Run(fmt.Sprintf("zones=%d delay=%v", len(zones), delay), func(t *testing.T) {
				t.Parallel()
				var slowest time.Duration
				missed := 0
				for seed := uint64(1); seed <= 20; seed++ {
					c := calmCore(t, seed, []int{3, 6}[seed%2], 1)
					c.b.Delay = delay
					began := c.b.Now
					waits := map[uint64]string{} // by id: where it was sent
					for i := range 8 {
						id, n := c.b.Rng.Uint64(), c.names[i%len(c.names)]
						waits[id] = n
						c.run(n, c.life[n], func(ch *Chain) []any { return ch.Evacuate(c.b.Now, id, zones[i%len(zones)], i%3 == 0) })
					}
					c.b.Run(began+datum.SubmitWait, func() {
						for id, n := range waits {
							if d := c.inForce[n]; slices.Contains(d.Evac["y"].IDs, id) || slices.Contains(d.Evac["z"].IDs, id) {
								slowest = max(slowest, c.b.Now-began)
								delete(waits, id)
							}
						}
					})
					missed += len(waits)
				}
				t.Logf("%d of 160 not acknowledged in time, the slowest of the others after %v", missed, slowest)
				if missed > 0 {
					t.Errorf("%d of 160 not acknowledged within %v", missed, datum.SubmitWait)
				}
			})
		}
	}
}

// A turn lets an order follow those that the head had received when it gave the turn, and
// no later one: an order that was held up with its turn undoes nothing ordered since. A
// turn of another life or view of the head is worth nothing.
func TestTurnIsForWhatWasReceivedBefore(t *testing.T) {
	c, err := NewChain(0, "a", []string{"a"}, true, basin.NewDisk(), rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	taken := func(o Order) bool {
		before := c.Committed().Evac["z"].Num
		c.Recv(c.now+1, "a", o)
		return c.Committed().Evac["z"].Num > before
	}
	c.Evacuate(1, 2, "z", true)
	if taken(Order{ID: 1, Zone: "z", Base: 0}) {
		t.Fatal("an order that knew less than the head was taken without a turn")
	}
	turn := c.presentTurn()
	c.Evacuate(3, 3, "z", true)
	if taken(Order{ID: 1, Zone: "z", Base: 0, Turn: turn}) {
		t.Error("an order that was held up with its turn undid a later one")
	}
	turn = c.presentTurn()
	for _, other := range []Turn{{turn.View + 1, turn.Life, turn.Received}, {turn.View, turn.Life + 1, turn.Received}, {turn.View, turn.Life, turn.Received - 1}} {
		if taken(Order{ID: 4, Zone: "z", Base: 1, Turn: other}) {
			t.Errorf("taken with %+v, the head's is %+v", other, turn)
		}
	}
	if !taken(Order{ID: 5, Zone: "z", Base: 1, Turn: turn}) {
		t.Error("a contender with its turn was not taken")
	}
}
