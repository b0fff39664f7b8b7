package proxy

import (
	"testing"
	"time"

	"slateridge/internal/constants"
)

// The mean number of proxies that send to a cold upstream follows from the rate that its
// service sustains and from the contract's limit: it grows with the sustained rate, shrinks
// as the limit gets closer to it, and keeps the probability of exceeding the limit below
// ColdOverloadProbability.
func TestColdSendersFollowFromLimit(t *testing.T) {
	for _, c := range []struct{ perSecond, overage, slack float64 }{{0.5, 1, 0}, {1, 1.5, 2}, {5.2, 1.5, 8}, {20, 1.5, 8}, {200, 1.2, 10}} {
		limit := c.perSecond*c.overage + c.slack
		bound := NewColdBound(time.Second, c.perSecond, limit)
		if risk := poissonTail(bound.meanSenders, limit); risk > constants.ColdOverloadProbability {
			t.Errorf("%+v: %v senders exceed the limit with probability %v", c, bound.meanSenders, risk)
		}
		if sustained := c.perSecond * constants.ColdRequestInterval.Seconds(); bound.meanSenders > sustained {
			t.Errorf("%+v: %v senders, want at most the %v whose rate the upstream sustains", c, bound.meanSenders, sustained)
		}
	}
	low, high := NewColdBound(time.Second, 5.2, 15.8), NewColdBound(time.Second, 52, 158)
	if high.meanSenders < 8*low.meanSenders {
		t.Errorf("%v senders at ten times the sustained rate that allows %v", high.meanSenders, low.meanSenders)
	}
	if wide := NewColdBound(time.Second, 5.2, 40); wide.meanSenders < 5 {
		t.Errorf("%v senders although the limit is far above the sustained 5.2 requests per second", wide.meanSenders)
	}
}
