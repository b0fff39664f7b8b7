package duty

import (
	"math/rand/v2"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// TestStaleOrdersHaveNoEffect applies orders that are based on older records than the one
// held: they change nothing, no matter how late or how often they arrive.
func TestStaleOrdersHaveNoEffect(t *testing.T) {
	rs, ok := Records(nil).Apply(Order{Duty: "d", Holder: "a"})
	if !ok || rs["d"].Fence != 1 {
		t.Fatalf("first holder: %+v", rs)
	}
	rs, _ = rs.Apply(Order{Duty: "d", Base: 1, Key: 5, Body: []byte("five")})
	rs, _ = rs.Apply(Order{Duty: "d", Base: 1, Holder: "b"})
	want := rs["d"]
	if want.Fence != 2 || want.Holder != "b" || want.Key != 5 || want.Back {
		t.Fatalf("second holder: %+v", want)
	}
	for _, o := range []Order{
		{Duty: "d", Holder: "a"},                                                       // a's first order repeated
		{Duty: "d", Base: 1, Holder: "c"},                                              // lost the race with b
		{Duty: "d", Base: 1, Key: 6, Body: []byte("a's")},                              // decided under an old fence
		{Duty: "d", Base: 2, Key: 5, Body: []byte("other")},                            // key already decided
		{Duty: "d", Base: 2, Key: 4, Body: []byte("four")},                             // key below the decided one
		{Duty: "d", Base: 2, Key: 6, Body: make([]byte, constants.MaxDutyBodyBytes+1)}, // oversized
		{Base: 2, Holder: "c"},
	} {
		if _, ok := rs.Apply(o); ok {
			t.Errorf("%+.80v was applied", o)
		}
	}
	rs, _ = rs.Apply(Order{Duty: "d", Base: 2, Holder: "a"})
	if r := rs["d"]; !r.Back || r.Fence != 3 || r.Key != 5 || string(r.Body) != "five" {
		t.Errorf("a has returned: %+v", r)
	}
	if rs, _ = rs.Apply(Order{Duty: "d", Base: 3, Holder: "c"}); rs["d"].Back {
		t.Error("c is marked as returning, but never held the duty")
	}
}

func noPlan(uint64) (uint64, []byte, bool) { return 0, nil, false }

// calls returns the calls among the effects.
func calls(out []Effect) (sent []Call) {
	for _, o := range out {
		if p, ok := o.(Call); ok {
			sent = append(sent, p)
		}
	}
	return sent
}

// TestHolderActsOnlyWhenAllowed checks that the holder sends nothing without the lease or
// under another holder's fence, cancels its call when the lease is lost, waits when it returns
// after another holder, and steps down when the platform rejects its fence.
func TestHolderActsOnlyWhenAllowed(t *testing.T) {
	const lease = 3 * time.Second
	h := NewHolder("d", "a", lease, 50, rand.New(rand.NewPCG(1, 1)))
	own := Record{Fence: 4, Holder: "a", Key: 9, Body: []byte("nine")}
	if out := h.Step(0, 0, own, noPlan); len(out) > 0 {
		t.Fatalf("without the lease: %v", out)
	}
	if out := h.Step(0, constants.DutyLeaseMargin, own, noPlan); len(out) > 0 {
		t.Fatalf("with the lease about to end: %v", out)
	}
	other := own
	other.Holder = "b"
	if out := h.Step(0, time.Hour, other, noPlan); len(out) != 1 || out[0] != any(nil) && out[0].(Order).Base != 4 {
		t.Fatalf("the record of another holder is not taken over: %v", out)
	}
	if out := h.Step(time.Millisecond, time.Hour, other, noPlan); len(out) != 0 {
		t.Fatalf("the order is repeated too early: %v", out)
	}
	sent := calls(h.Step(time.Second, time.Hour, own, noPlan))
	if len(sent) != 1 || sent[0].Fence != 4 || string(sent[0].Body) != "nine" {
		t.Fatalf("the decided call is not sent: %v", sent)
	}
	if out := h.Step(1100*time.Millisecond, 0, own, noPlan); len(out) != 1 || out[0] != any(Cancel{sent[0].ID}) {
		t.Fatalf("the call is not canceled with the lease: %v", out)
	}
	if out := h.HandleResponse(1200*time.Millisecond, sent[0].ID, 200); out != nil || h.Accepted != 0 {
		t.Error("the response to a canceled call is counted")
	}
	returned := own
	returned.Fence, returned.Back = 6, true
	for now := 2 * time.Second; now <= 2*time.Second+lease; now += constants.DutyTick {
		if sent := calls(h.Step(now, time.Hour, returned, noPlan)); len(sent) > 0 {
			t.Fatalf("it acts %v after its return", now-2*time.Second)
		}
	}
	sent = calls(h.Step(6*time.Second, time.Hour, returned, noPlan))
	if len(sent) != 1 {
		t.Fatal("it does not act after the wait")
	}
	if out := h.HandleResponse(6*time.Second, sent[0].ID, 409); len(out) != 1 || out[0] != any(Yield{}) {
		t.Fatalf("it does not step down when rejected: %v", out)
	}
	out := h.Step(7*time.Second, time.Hour, returned, noPlan)
	if len(out) != 1 || out[0].(Order).Holder != "a" || out[0].(Order).Base != 6 {
		t.Fatalf("it does not request a higher fence with the new lease: %v", out)
	}
}

// TestHolderPacing checks that a failing platform is called at growing intervals and within
// its rate limit, and that a call which it does not accept does not block the next one
// forever.
func TestHolderPacing(t *testing.T) {
	h := NewHolder("d", "a", time.Second, 2, rand.New(rand.NewPCG(1, 1)))
	rec := Record{Fence: 1, Holder: "a", Key: 1, Body: []byte("1")}
	n, lastCall, ordered := 0, time.Duration(0), false
	for now := time.Duration(0); now < 3*time.Minute && !ordered; now += constants.DutyTick {
		for _, x := range h.Step(now, time.Hour, rec, func(uint64) (uint64, []byte, bool) { return 2, nil, true }) {
			switch x := x.(type) {
			case Call:
				if n > 0 && now-lastCall < time.Duration(float64(time.Second)/(2*constants.DutyRateFraction)) {
					t.Fatalf("calls %v apart", now-lastCall)
				}
				n, lastCall = n+1, now
				h.HandleResponse(now, x.ID, []int{0, 500, 429}[n%3])
			case Order:
				ordered = x.Key == 2
			}
		}
	}
	if !ordered || n < constants.DutyMaxFailures || n > 100 {
		t.Errorf("%d calls, next decided: %v", n, ordered)
	}
}
