package proxy

import (
	"testing"
	"time"

	"slateridge/internal/constants"
)

// How many proxies send to a cold upstream follows from what its service says that it
// bears and from the bound of the rules: more where it bears more, fewer where the bound is
// near, and never so many that chance alone breaks it.
func TestColdOwnersFollowFromTheBound(t *testing.T) {
	for _, c := range []struct{ perSecond, overage, slack float64 }{{0.5, 1, 0}, {1, 1.5, 2}, {5.2, 1.5, 8}, {20, 1.5, 8}, {200, 1.2, 10}} {
		most := c.perSecond*c.overage + c.slack
		bound := NewColdBound(time.Second, c.perSecond, most)
		if risk := poissonTail(bound.meanSenders, most); risk > constants.ColdRisk {
			t.Errorf("%+v: %v owners break the bound with a chance of %v", c, bound.meanSenders, risk)
		}
		if bears := c.perSecond * constants.ColdEvery.Seconds(); bound.meanSenders > bears {
			t.Errorf("%+v: %v owners send more than the %v that it bears", c, bound.meanSenders, bears)
		}
	}
	few, many := NewColdBound(time.Second, 5.2, 15.8), NewColdBound(time.Second, 52, 158)
	if many.meanSenders < 8*few.meanSenders {
		t.Errorf("%v owners where ten times as much is borne as where %v are", many.meanSenders, few.meanSenders)
	}
	if wide := NewColdBound(time.Second, 5.2, 40); wide.meanSenders < 5 {
		t.Errorf("%v owners with a bound far over the 5.2 a second that it bears", wide.meanSenders)
	}
}
