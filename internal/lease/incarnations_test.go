package lease

import (
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/simnet"
)

// allowed says whether a grantor says yes to a Request.
func allowed(manager *Manager, now time.Duration, from string, a Request) bool {
	for _, s := range manager.Recv(now, from, a) {
		if g, ok := s.Msg.(Grant); ok {
			return g.OK
		}
	}
	return false
}

// Words of a holder's earlier incarnation that come late, on a connection of their own, do
// not take away what its present incarnation relies on.
func TestLateWordsOfAnEarlierLife(t *testing.T) {
	for _, again := range []bool{false, true} {
		for _, incarnations := range [][2]uint64{{3 << 32, 7 << 32}, {7 << 32, 3 << 32}} {
			early, late := incarnations[0], incarnations[1]
			manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
			now := 10 * time.Second
			if !allowed(manager, now, "b", Request{"x", 1, early + 1, false}) {
				t.Fatal("not granted to the first incarnation")
			}
			now += 50 * time.Millisecond
			if !allowed(manager, now, "b", Request{"x", 1, late + 1, true}) {
				t.Fatal("not granted to the incarnation that came straight back")
			}
			held := now + constants.LeaseLength
			manager.Recv(now, "b", Request{"x", 1, early + 2, again})
			manager.Recv(now, "b", Release{"x", early + 2, ""})
			for ; now < held; now += 10 * time.Millisecond {
				if allowed(manager, now, "c", Request{"x", 1, 1, false}) {
					t.Fatalf("granted to another %v before the present incarnation's lease ends (again: %v)", held-now, again)
				}
			}
			now = held + 2*constants.LeaseMargin
			if !allowed(manager, now, "c", Request{"x", 1, 2, false}) {
				t.Errorf("still kept from another %v after it ended", now-held)
			}
		}
	}
}

// A Release gives back at once what its own incarnation was granted.
func TestReleaseOfOneLife(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
	now := 10 * time.Second
	for n := range uint64(3) {
		allowed(manager, now, "b", Request{"x", 1, 9<<32 + n, false})
	}
	if allowed(manager, now, "b", Request{"x", 1, 9 << 32, true}) {
		t.Error("an overtaken word of the same incarnation is granted")
	}
	manager.Recv(now, "b", Release{"x", 9<<32 + 1, ""}) // an earlier claim's
	if allowed(manager, now, "c", Request{"x", 1, 1, false}) {
		t.Error("an earlier claim's Release gave the later one back")
	}
	manager.Recv(now, "b", Release{"x", 9<<32 + 2, ""})
	if !allowed(manager, now, "c", Request{"x", 1, 2, false}) {
		t.Error("not free after its Release")
	}
}

// A machine outside the electorate neither grants nor claims, also one that was voted
// out; what it holds runs out.
func TestOutsideTheElectorate(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a"})
	now := time.Duration(0)
	for ; now < 5*time.Second; now += constants.LeaseTick {
		manager.Tick(now)
	}
	if _, ok := manager.Holds(now, "x"); !ok {
		t.Fatal("alone, it does not hold")
	}
	manager.SetElectorate(now, 2, []string{"b", "c"}, false)
	end := now + constants.LeaseLength + constants.LeaseMargin
	for ; now < 3*end; now += constants.LeaseTick {
		if out := manager.Tick(now); len(out) > 0 {
			t.Fatalf("voted out it says %v", out)
		}
		if _, ok := manager.Holds(now, "x"); ok && now >= end {
			t.Fatal("voted out it still holds")
		}
		was := manager.Dropped
		for _, from := range []string{"b", "z"} {
			if out := manager.Recv(now, from, Request{"x", 2, uint64(now), false}); len(out) > 0 {
				t.Fatalf("voted out it answers %v", out)
			}
		}
		if manager.Dropped != was+2 || manager.Holder(now, "x") != "" && now >= end {
			t.Fatalf("%d dropped, holder %q", manager.Dropped-was, manager.Holder(now, "x"))
		}
	}
	manager.SetElectorate(now, 5, []string{"a", "b", "c"}, false) // back, two views later
	if allowed(manager, now+constants.LeaseLength, "b", Request{"x", 5, 1, false}) {
		t.Error("back in the electorate it grants at once")
	}
	if !allowed(manager, now+constants.LeaseLength+constants.LeaseMargin, "b", Request{"x", 5, 2, false}) {
		t.Error("back in the electorate it does not grant")
	}
}

// What is told late of an earlier electorate changes nothing: it does not unseal, nor
// bring its voters back.
func TestLateElectorate(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
	manager.SetElectorate(0, 9, []string{"a", "d", "e"}, true)
	manager.SetElectorate(0, 5, []string{"a", "b", "c"}, false)
	now := 10 * time.Second
	if allowed(manager, now, "b", Request{"x", 5, 1, false}) || allowed(manager, now, "d", Request{"x", 9, 1, false}) {
		t.Error("an electorate that is over was taken up again")
	}
	manager.SetElectorate(now, 9, []string{"a", "d", "e"}, false) // a view that changes no voter
	if !allowed(manager, now, "d", Request{"x", 9, 2, false}) {
		t.Error("unsealed it does not grant")
	}
}

// What was given up on purpose is left to others for a while, also when the electorate
// changes meanwhile, as it does when a voter that stops leaves it.
func TestGivenUpStaysGivenUp(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a"})
	now := time.Duration(0)
	for ; now < 3*time.Second; now += constants.LeaseTick {
		manager.Tick(now)
	}
	if _, ok := manager.Holds(now, "x"); !ok {
		t.Fatal("alone, it does not hold")
	}
	left := now
	manager.Resign(now)
	manager.SetElectorate(now, 2, []string{"a", "b"}, false)
	for ; now < left+constants.LeaseLength*4; now += constants.LeaseTick {
		if out := manager.Tick(now); len(out) > 0 {
			t.Fatalf("%v after it was given up it is claimed: %v", now-left, out)
		}
	}
	if out := manager.Tick(now); len(out) == 0 {
		t.Error("never claimed again")
	}
}

// Garbled words change nothing and are counted.
func TestMalformedMessages(t *testing.T) {
	now := 10 * time.Second
	for i, word := range []struct {
		from string
		msg  any
	}{
		{"b", "not a word of leases"},
		{"b", nil},
		{"b", &Request{"x", 1, 1, false}},
		{"b", Release{"no such duty", 1, ""}},
		{"b", Grant{"x", 1, 1<<32 + 1, false, "z"}}, // names one without a vote as the holder
		{"a", Request{"x", 1, 9, false}},            // in this machine's own name
		{"z", Release{"x", 1, ""}},
	} {
		manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
		manager.Tick(now)
		if out := manager.Recv(now, word.from, word.msg); len(out) > 0 || manager.Dropped != 1 {
			t.Errorf("%d, %#v: answered %v, %d dropped", i, word.msg, out, manager.Dropped)
		}
		if out := manager.Tick(now + constants.LeaseRenew); len(out) == 0 {
			t.Errorf("%d, %#v: it keeps the machine from claiming", i, word.msg)
		}
	}
}

// TestElectorateCallerObligations holds, on one course of events each, what the teller of
// the electorate owes the leases: c is cut off and has not learned that a and b have
// put d in its place. With the promise told before it leaves b, and b not taken for a
// voter of the old view once its disk is new, one holds the duty; without, two do.
func TestElectorateCallerObligations(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		for _, owed := range []bool{true, false} {
			b := simnet.New(1)
			b.Delay = 5 * time.Millisecond
			all, before, after := []string{"a", "b", "c", "d"}, []string{"a", "b", "c"}, []string{"a", "b", "d"}
			ms := map[string]*Manager{}
			for i, n := range all {
				ms[n] = New(0, uint64(i+1), n, []string{"x"})
				ms[n].SetElectorate(0, 1, before, false)
			}
			p := &cluster{b, ms}
			p.run(all, func(string) {})
			b.Run(3*time.Second, nil)
			for _, n := range []string{"a", "d"} { // c hears b alone
				for _, m := range []string{"b", "c"} {
					b.Cut(n, m, true)
					b.Cut(m, n, true)
				}
			}
			back := ms["b"]
			delete(ms, "b") // frozen or wiped, right after its promise
			if owed && !wiped {
				back.SetElectorate(b.Now, 1, before, true)
			}
			ms["a"].SetElectorate(b.Now, 1, before, true)
			ms["a"].SetElectorate(b.Now, 2, after, false)
			ms["d"].SetElectorate(b.Now, 2, after, false)
			b.Run(10*time.Second, nil)
			if wiped { // c tells it of the view it knows itself
				back = New(b.Now, 99, "b", []string{"x"})
				back.SetElectorate(b.Now, 1, before, owed)
			}
			ms["b"] = back
			most := 0
			b.Run(20*time.Second, func() { most = max(most, len(p.holders(all, "x"))) })
			if want := map[bool]int{true: 1, false: 2}[owed]; most != want {
				t.Errorf("wiped %v, told what is owed %v: %d holders at a time", wiped, owed, most)
			}
		}
	}
}
