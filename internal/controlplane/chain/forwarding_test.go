package chain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// A machine that cannot reach the head, one way or both, and reaches the others, has its
// orders passed on by another of them: a configuration and an evacuation are acknowledged
// to their callers, also sent again, and another content under the number is refused.
func TestOrderIsPassedOnToTheHead(t *testing.T) {
	for _, f := range []struct{ n, tolerate int }{{3, 1}, {6, 2}} {
		for way, name := range []string{"both ways", "to the head", "from the head"} {
			t.Run(fmt.Sprintf("machines=%d cut %s", f.n, name), func(t *testing.T) {
				t.Parallel()
				apart := 0
				for seed := uint64(1); seed <= 6; seed++ {
					c := calmCore(t, seed, f.n, f.tolerate)
					head, x := c.names[0], c.names[1+int(seed)%(f.n-1)]
					c.network.Cut(x, head, way != 2)
					c.network.Cut(head, x, way != 1)
					c.network.Run(c.network.Now+catchUp, nil)
					if c.chain[x].View().Members[0].Addr == head && slices.Contains(c.chain[x].unreachablePeers(), head) {
						apart++
					}
					for range 3 {
						c.next++
						o := cfg{c.next, fmt.Sprintf("doc %d", c.next)}
						for _, sent := range []string{"once", "again"} {
							acks := c.acks
							c.send(x, o)
							c.network.Run(c.network.Now+constants.SubmitWait, nil)
							if c.acks == acks {
								c.fail("r%d, sent %s to %s, is not acknowledged", o.version, sent, x)
							}
						}
						lost := c.lost
						c.send(x, cfg{o.version, "another content"})
						c.network.Run(c.network.Now+constants.SubmitWait, nil)
						if c.lost != lost+1 {
							c.fail("another content under r%d is not refused at %s", o.version, x)
						}
						id := c.network.Rng.Uint64()
						c.run(x, c.life[x], func(ch *Chain) []Effect { return ch.Evacuate(c.network.Now, id, "y", true) })
						c.network.Run(c.network.Now+constants.SubmitWait, nil)
						if d := c.inForce[x]; !slices.Contains(d.Evac["y"].IDs, id) {
							c.fail("an evacuation is not acknowledged at %s", x)
						}
					}
				}
				if way < 2 && apart < 3 {
					t.Errorf("%d of 6 seeds have a head that the machine does not reach", apart)
				}
			})
		}
	}
}

// An order is passed on once: two machines that both miss the head send it to no third.
func TestOrderIsPassedOnOnce(t *testing.T) {
	c := calmCore(t, 1, 6, 2)
	for _, n := range []string{"b", "c", "d", "e", "f"} {
		c.cutPair("a", n, true)
	}
	for _, m := range []any{Forward{PassOn: true}, EvacuationOrder{ID: 1, Zone: "y", PassOn: true}} {
		for _, o := range c.chain["b"].Recv(c.network.Now+time.Millisecond, "c", m) {
			if s, ok := o.(Send); ok {
				switch sent := s.Msg.(type) {
				case Forward:
					if s.To != "a" || sent.PassOn {
						t.Errorf("%+v goes to %s", sent, s.To)
					}
				case EvacuationOrder:
					if s.To != "a" || sent.PassOn {
						t.Errorf("%+v goes to %s", sent, s.To)
					}
				}
			}
		}
	}
}
