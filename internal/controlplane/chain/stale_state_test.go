package chain

import (
	"slices"
	"testing"
	"time"
)

// TestUncommittedStateOfEarlierViewIsNotRevived leaves an uncommitted state of the second
// view on a head that was cut off. The third view starts from an older state, left by the
// first view. Once an order in the third view is acknowledged, the state of the second view
// must not replace it.
func TestUncommittedStateOfEarlierViewIsNotRevived(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		c := newSettledCluster(t, seed, 3, 1)
		c.setPairCut("a", "b", true)
		c.setPairCut("a", "c", true)
		c.lastVersion++
		first := sentConfig{c.lastVersion, "left at a in the first view"}
		c.submit("a", first)
		c.network.Run(c.network.Now+catchUp, nil)
		if v := c.chains["b"].View(); v.memberIndex("a") >= 0 || v.Members[0].Addr != "b" {
			c.fail("the second view is %+v", v)
		}
		c.setPairCut("b", "c", true)
		c.lastVersion++
		c.submit("b", sentConfig{c.lastVersion, "left at b in the second view"})
		c.setPairCut("a", "c", false)
		c.network.Run(c.network.Now+catchUp, nil)
		if v := c.chains["c"].View(); v.memberIndex("a") < 0 || v.memberIndex("b") >= 0 {
			c.fail("the third view is %+v", v)
		}
		c.submit("c", first)
		c.network.Run(c.network.Now+time.Second, nil)
		if !slices.Contains(c.ackedConfigs, first.key()) {
			c.fail("r%d is not acknowledged in the third view", first.version)
		}
		c.setPairCut("a", "b", false)
		c.setPairCut("b", "c", false)
		c.network.Run(c.network.Now+2*catchUp, nil)
		c.checkAllMembers()
		c.checkReads("after the partitions")
		c.checkOrdersAcknowledged("after the partitions")
	}
}
