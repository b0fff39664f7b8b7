package chain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// TestOrderIsForwardedToUnreachableHead cuts the path between a machine and the head, in one
// or both directions. Another machine must forward its orders: a configuration, also when
// resubmitted, and an evacuation are acknowledged, and another content under the same version
// is refused.
func TestOrderIsForwardedToUnreachableHead(t *testing.T) {
	for _, f := range []struct{ n, maxFailures int }{{3, 1}, {6, 2}} {
		for way, name := range []string{"both ways", "to the head", "from the head"} {
			t.Run(fmt.Sprintf("machines=%d cut %s", f.n, name), func(t *testing.T) {
				t.Parallel()
				unreachable := 0
				for seed := uint64(1); seed <= 6; seed++ {
					c := newSettledCluster(t, seed, f.n, f.maxFailures)
					head, x := c.names[0], c.names[1+int(seed)%(f.n-1)]
					c.network.Cut(x, head, way != 2)
					c.network.Cut(head, x, way != 1)
					c.network.Run(c.network.Now+catchUp, nil)
					if c.chains[x].View().Members[0].Addr == head && slices.Contains(c.chains[x].unreachablePeers(), head) {
						unreachable++
					}
					for range 3 {
						c.lastVersion++
						o := sentConfig{c.lastVersion, fmt.Sprintf("doc %d", c.lastVersion)}
						for _, attempt := range []string{"first", "second"} {
							acks := c.acks
							c.submit(x, o)
							c.network.Run(c.network.Now+constants.SubmitTimeout, nil)
							if c.acks == acks {
								c.fail("r%d is not acknowledged on the %s attempt at %s", o.version, attempt, x)
							}
						}
						refusals := c.refusals
						c.submit(x, sentConfig{o.version, "another content"})
						c.network.Run(c.network.Now+constants.SubmitTimeout, nil)
						if c.refusals != refusals+1 {
							c.fail("another content under r%d is not refused at %s", o.version, x)
						}
						id := c.network.Rng.Uint64()
						c.step(x, c.generation[x], func(ch *Chain) []Effect { return ch.Evacuate(c.network.Now, id, "y", true) })
						c.network.Run(c.network.Now+constants.SubmitTimeout, nil)
						if d := c.committedStates[x]; !slices.Contains(d.Evac["y"].IDs, id) {
							c.fail("an evacuation is not acknowledged at %s", x)
						}
					}
				}
				if way < 2 && unreachable < 3 {
					t.Errorf("the head is out of contact in %d of 6 seeds only", unreachable)
				}
			})
		}
	}
}

// TestOrderIsForwardedOnce checks that a machine that gets an order to forward sends it to the
// head only, even if it cannot reach the head itself.
func TestOrderIsForwardedOnce(t *testing.T) {
	c := newSettledCluster(t, 1, 6, 2)
	for _, n := range []string{"b", "c", "d", "e", "f"} {
		c.setPairCut("a", n, true)
	}
	for _, m := range []any{Forward{PassOn: true}, EvacuationOrder{ID: 1, Zone: "y", PassOn: true}} {
		for _, o := range c.chains["b"].Recv(c.network.Now+time.Millisecond, "c", m) {
			if s, ok := o.(Send); ok {
				switch sent := s.Msg.(type) {
				case Forward:
					if s.To != "a" || sent.PassOn {
						t.Errorf("%+v is sent to %s", sent, s.To)
					}
				case EvacuationOrder:
					if s.To != "a" || sent.PassOn {
						t.Errorf("%+v is sent to %s", sent, s.To)
					}
				}
			}
		}
	}
}
