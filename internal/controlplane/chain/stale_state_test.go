package chain

import (
	"slices"
	"testing"
	"time"
)

// A head that was left alone keeps a state of its view that nobody else has. A later view
// begins with an older state, left by an earlier view still: once an order in that is
// acknowledged, the state that was left alone does not take its place.
func TestStateLeftByAnEarlierHead(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		c := calmCore(t, seed, 3, 1)
		c.cutPair("a", "b", true)
		c.cutPair("a", "c", true)
		c.next++
		first := cfg{c.next, "left at a, of the first view"}
		c.send("a", first)
		c.network.Run(c.network.Now+catchUp, nil)
		if v := c.chain["b"].View(); v.memberIndex("a") >= 0 || v.Members[0].Addr != "b" {
			c.fail("the view after it is %+v", v)
		}
		c.cutPair("b", "c", true)
		c.next++
		c.send("b", cfg{c.next, "left at b, of the second view"})
		c.cutPair("a", "c", false)
		c.network.Run(c.network.Now+catchUp, nil)
		if v := c.chain["c"].View(); v.memberIndex("a") < 0 || v.memberIndex("b") >= 0 {
			c.fail("the third view is %+v", v)
		}
		c.send("c", first)
		c.network.Run(c.network.Now+time.Second, nil)
		if !slices.Contains(c.said, first.key()) {
			c.fail("r%d is not acknowledged in the third view", first.version)
		}
		c.cutPair("a", "b", false)
		c.cutPair("b", "c", false)
		c.network.Run(c.network.Now+2*catchUp, nil)
		c.Settled()
		c.holds("with b back")
		c.acknowledged("with b back")
	}
}
