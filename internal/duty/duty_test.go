package duty

import (
	"math/rand/v2"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// An order made knowing less than the record holds changes nothing, however late or
// often it comes.
func TestOldOrdersChangeNothing(t *testing.T) {
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
		{Duty: "d", Holder: "a"},                                                  // a's first, again
		{Duty: "d", Base: 1, Holder: "c"},                                         // lost the race against b
		{Duty: "d", Base: 1, Key: 6, Body: []byte("a's")},                         // decided under a fence that has passed
		{Duty: "d", Base: 2, Key: 5, Body: []byte("other")},                       // decides again what is decided
		{Duty: "d", Base: 2, Key: 4, Body: []byte("four")},                        // or what lies before it
		{Duty: "d", Base: 2, Key: 6, Body: make([]byte, constants.DutyBodyMax+1)}, // oversized
		{Base: 2, Holder: "c"},
	} {
		if _, ok := rs.Apply(o); ok {
			t.Errorf("%+.80v was taken", o)
		}
	}
	rs, _ = rs.Apply(Order{Duty: "d", Base: 2, Holder: "a"})
	if r := rs["d"]; !r.Back || r.Fence != 3 || r.Key != 5 || string(r.Body) != "five" {
		t.Errorf("a is back: %+v", r)
	}
	if rs, _ = rs.Apply(Order{Duty: "d", Base: 3, Holder: "c"}); rs["d"].Back {
		t.Error("c was never there before")
	}
}

func none(uint64) (uint64, []byte, bool) { return 0, nil, false }

func posts(out []Effect) (ps []Call) {
	for _, o := range out {
		if p, ok := o.(Call); ok {
			ps = append(ps, p)
		}
	}
	return ps
}

// The duty holder sends nothing without the lease or under another's fence, cuts its call
// when the lease is lost, waits when it is back, and steps down when refused.
func TestHolderHoldsBack(t *testing.T) {
	const lease = 3 * time.Second
	h := NewHolder("d", "a", lease, 50, rand.New(rand.NewPCG(1, 1)))
	mine := Record{Fence: 4, Holder: "a", Key: 9, Body: []byte("nine")}
	if out := h.Step(0, 0, mine, none); len(out) > 0 {
		t.Fatalf("without the lease: %v", out)
	}
	if out := h.Step(0, constants.DutyMargin, mine, none); len(out) > 0 {
		t.Fatalf("with the lease about to end: %v", out)
	}
	theirs := mine
	theirs.Holder = "b"
	if out := h.Step(0, time.Hour, theirs, none); len(out) != 1 || out[0] != any(nil) && out[0].(Order).Base != 4 {
		t.Fatalf("another's record is to be taken over: %v", out)
	}
	if out := h.Step(time.Millisecond, time.Hour, theirs, none); len(out) != 0 {
		t.Fatalf("at once again: %v", out)
	}
	ps := posts(h.Step(time.Second, time.Hour, mine, none))
	if len(ps) != 1 || ps[0].Fence != 4 || string(ps[0].Body) != "nine" {
		t.Fatalf("what was decided is sent: %v", ps)
	}
	if out := h.Step(1100*time.Millisecond, 0, mine, none); len(out) != 1 || out[0] != any(Cancel{ps[0].ID}) {
		t.Fatalf("the call is cut with the lease: %v", out)
	}
	if out := h.HandleResponse(1200*time.Millisecond, ps[0].ID, 200); out != nil || h.Accepted != 0 {
		t.Error("the answer to a call that was cut counts")
	}
	back := mine
	back.Fence, back.Back = 6, true
	for now := 2 * time.Second; now <= 2*time.Second+lease; now += constants.DutyTick {
		if ps := posts(h.Step(now, time.Hour, back, none)); len(ps) > 0 {
			t.Fatalf("back for %v it acts", now-2*time.Second)
		}
	}
	ps = posts(h.Step(6*time.Second, time.Hour, back, none))
	if len(ps) != 1 {
		t.Fatal("it never acts again")
	}
	if out := h.HandleResponse(6*time.Second, ps[0].ID, 409); len(out) != 1 || out[0] != any(Yield{}) {
		t.Fatalf("refused, it steps down: %v", out)
	}
	out := h.Step(7*time.Second, time.Hour, back, none)
	if len(out) != 1 || out[0].(Order).Holder != "a" || out[0].(Order).Base != 6 {
		t.Fatalf("with the lease again it wants a higher fence: %v", out)
	}
}

// A platform that fails is asked ever more seldom, within the calls it allows, and an
// act it will not take does not block the next for ever.
func TestHolderPaces(t *testing.T) {
	h := NewHolder("d", "a", time.Second, 2, rand.New(rand.NewPCG(1, 1)))
	rec := Record{Fence: 1, Holder: "a", Key: 1, Body: []byte("1")}
	n, last, order := 0, time.Duration(0), false
	for now := time.Duration(0); now < 3*time.Minute && !order; now += constants.DutyTick {
		for _, x := range h.Step(now, time.Hour, rec, func(uint64) (uint64, []byte, bool) { return 2, nil, true }) {
			switch x := x.(type) {
			case Call:
				if n > 0 && now-last < time.Duration(float64(time.Second)/(2*constants.DutyRatePart)) {
					t.Fatalf("calls %v apart", now-last)
				}
				n, last = n+1, now
				h.HandleResponse(now, x.ID, []int{0, 500, 429}[n%3])
			case Order:
				order = x.Key == 2
			}
		}
	}
	if !order || n < constants.DutyGiveUp || n > 100 {
		t.Errorf("%d calls, next decided: %v", n, order)
	}
}
