package lease

import (
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/simnet"
)

// sendRequest delivers a Request and reports whether the grantor grants it.
func sendRequest(manager *Manager, now time.Duration, from string, request Request) bool {
	for _, s := range manager.Recv(now, from, request) {
		if g, ok := s.Msg.(Grant); ok {
			return g.OK
		}
	}
	return false
}

// TestLateMessagesOfEarlierIncarnation delivers messages of a holder's earlier incarnation
// late, as they can be when each incarnation has its own connection. They must not revoke what
// the present incarnation relies on.
func TestLateMessagesOfEarlierIncarnation(t *testing.T) {
	for _, again := range []bool{false, true} {
		for _, incarnations := range [][2]uint64{{3 << 32, 7 << 32}, {7 << 32, 3 << 32}} {
			early, late := incarnations[0], incarnations[1]
			manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
			now := 10 * time.Second
			if !sendRequest(manager, now, "b", Request{"x", 1, early + 1, false}) {
				t.Fatal("not granted to the first incarnation")
			}
			now += 50 * time.Millisecond
			if !sendRequest(manager, now, "b", Request{"x", 1, late + 1, true}) {
				t.Fatal("not granted to the incarnation that reclaims")
			}
			held := now + constants.LeaseDuration
			manager.Recv(now, "b", Request{"x", 1, early + 2, again})
			manager.Recv(now, "b", Release{"x", early + 2, ""})
			for ; now < held; now += 10 * time.Millisecond {
				if sendRequest(manager, now, "c", Request{"x", 1, 1, false}) {
					t.Fatalf("granted to another machine %v before the present incarnation's lease expires (again: %v)", held-now, again)
				}
			}
			now = held + 2*constants.LeaseMargin
			if !sendRequest(manager, now, "c", Request{"x", 1, 2, false}) {
				t.Errorf("still not granted to another machine %v after the lease expired", now-held)
			}
		}
	}
}

// TestReleaseOfOneIncarnation checks that a Release gives back at once what its own
// incarnation was granted, and no later grant.
func TestReleaseOfOneIncarnation(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
	now := 10 * time.Second
	for n := range uint64(3) {
		sendRequest(manager, now, "b", Request{"x", 1, 9<<32 + n, false})
	}
	if sendRequest(manager, now, "b", Request{"x", 1, 9 << 32, true}) {
		t.Error("a superseded request of the same incarnation is granted")
	}
	manager.Recv(now, "b", Release{"x", 9<<32 + 1, ""}) // of an earlier claim
	if sendRequest(manager, now, "c", Request{"x", 1, 1, false}) {
		t.Error("the Release of an earlier claim ended the later one")
	}
	manager.Recv(now, "b", Release{"x", 9<<32 + 2, ""})
	if !sendRequest(manager, now, "c", Request{"x", 1, 2, false}) {
		t.Error("not granted to another machine after the Release")
	}
}

// TestNonVoter checks that a machine outside the electorate neither grants nor claims, even if
// it was a voter before, and that its leases expire.
func TestNonVoter(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a"})
	now := time.Duration(0)
	for ; now < 5*time.Second; now += constants.LeaseTick {
		manager.Tick(now)
	}
	if _, ok := manager.Holds(now, "x"); !ok {
		t.Fatal("it does not hold the duty although it is the only voter")
	}
	manager.SetElectorate(now, 2, []string{"b", "c"}, false)
	end := now + constants.LeaseDuration + constants.LeaseMargin
	for ; now < 3*end; now += constants.LeaseTick {
		if out := manager.Tick(now); len(out) > 0 {
			t.Fatalf("removed from the electorate, it sends %v", out)
		}
		if _, ok := manager.Holds(now, "x"); ok && now >= end {
			t.Fatal("removed from the electorate, it still holds the duty")
		}
		droppedBefore := manager.Dropped
		for _, from := range []string{"b", "z"} {
			if out := manager.Recv(now, from, Request{"x", 2, uint64(now), false}); len(out) > 0 {
				t.Fatalf("removed from the electorate, it answers %v", out)
			}
		}
		if manager.Dropped != droppedBefore+2 || manager.Holder(now, "x") != "" && now >= end {
			t.Fatalf("%d dropped, holder %q", manager.Dropped-droppedBefore, manager.Holder(now, "x"))
		}
	}
	manager.SetElectorate(now, 5, []string{"a", "b", "c"}, false) // a voter again, two views later
	if sendRequest(manager, now+constants.LeaseDuration, "b", Request{"x", 5, 1, false}) {
		t.Error("a voter again, it grants at once")
	}
	if !sendRequest(manager, now+constants.LeaseDuration+constants.LeaseMargin, "b", Request{"x", 5, 2, false}) {
		t.Error("a voter again, it does not grant after the wait")
	}
}

// TestStaleElectorateIsIgnored checks that a late report of an earlier electorate has no
// effect: it neither ends the machine's uncertainty nor restores the earlier voters.
func TestStaleElectorateIsIgnored(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
	manager.SetElectorate(0, 9, []string{"a", "d", "e"}, true)
	manager.SetElectorate(0, 5, []string{"a", "b", "c"}, false)
	now := 10 * time.Second
	if sendRequest(manager, now, "b", Request{"x", 5, 1, false}) || sendRequest(manager, now, "d", Request{"x", 9, 1, false}) {
		t.Error("a past electorate was restored")
	}
	manager.SetElectorate(now, 9, []string{"a", "d", "e"}, false) // a view with the same voters
	if !sendRequest(manager, now, "d", Request{"x", 9, 2, false}) {
		t.Error("it does not grant although the electorate is certain again")
	}
}

// TestResignedDutyIsNotReclaimed checks that a duty given up voluntarily is left to other
// machines for a while, even if the electorate changes in the meantime, as it does when a voter
// that shuts down leaves it.
func TestResignedDutyIsNotReclaimed(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a"})
	now := time.Duration(0)
	for ; now < 3*time.Second; now += constants.LeaseTick {
		manager.Tick(now)
	}
	if _, ok := manager.Holds(now, "x"); !ok {
		t.Fatal("it does not hold the duty although it is the only voter")
	}
	left := now
	manager.Resign(now)
	manager.SetElectorate(now, 2, []string{"a", "b"}, false)
	for ; now < left+constants.LeaseDuration*4; now += constants.LeaseTick {
		if out := manager.Tick(now); len(out) > 0 {
			t.Fatalf("claimed %v after it was given up: %v", now-left, out)
		}
	}
	if out := manager.Tick(now); len(out) == 0 {
		t.Error("never claimed again")
	}
}

// TestMalformedMessages checks that malformed messages have no effect and are counted.
func TestMalformedMessages(t *testing.T) {
	now := 10 * time.Second
	for i, tc := range []struct {
		from string
		msg  any
	}{
		{"b", "not a lease message"},
		{"b", nil},
		{"b", &Request{"x", 1, 1, false}},
		{"b", Release{"no such duty", 1, ""}},
		{"b", Grant{"x", 1, 1<<32 + 1, false, "z"}}, // names a non-voter as the holder
		{"a", Request{"x", 1, 9, false}},            // forges this machine as the sender
		{"z", Release{"x", 1, ""}},
	} {
		manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
		manager.Tick(now)
		if out := manager.Recv(now, tc.from, tc.msg); len(out) > 0 || manager.Dropped != 1 {
			t.Errorf("%d, %#v: answered %v, %d dropped", i, tc.msg, out, manager.Dropped)
		}
		if out := manager.Tick(now + constants.LeaseRenewInterval); len(out) == 0 {
			t.Errorf("%d, %#v: it prevents the machine from claiming", i, tc.msg)
		}
	}
}

// TestElectorateCallerObligations shows that each guarantee that SetElectorate demands of its
// caller is needed. c is partitioned off and has not learned that a and b have replaced it by
// d. If b's acceptance is reported before the message about it leaves b, and if b, once its
// disk has been wiped, is not taken for a voter of the old view, there is one holder;
// otherwise there are two.
func TestElectorateCallerObligations(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		for _, obligationsMet := range []bool{true, false} {
			network := simnet.New(1)
			network.Delay = 5 * time.Millisecond
			all, oldVoters, newVoters := []string{"a", "b", "c", "d"}, []string{"a", "b", "c"}, []string{"a", "b", "d"}
			managers := map[string]*Manager{}
			for i, n := range all {
				managers[n] = New(0, uint64(i+1), n, []string{"x"})
				managers[n].SetElectorate(0, 1, oldVoters, false)
			}
			c := &cluster{network, managers}
			c.run(all, func(string) {})
			network.Run(3*time.Second, nil)
			for _, n := range []string{"a", "d"} { // c can only reach b
				for _, m := range []string{"b", "c"} {
					network.Cut(n, m, true)
					network.Cut(m, n, true)
				}
			}
			machineB := managers["b"]
			delete(managers, "b") // frozen or wiped right after its acceptance
			if obligationsMet && !wiped {
				machineB.SetElectorate(network.Now, 1, oldVoters, true)
			}
			managers["a"].SetElectorate(network.Now, 1, oldVoters, true)
			managers["a"].SetElectorate(network.Now, 2, newVoters, false)
			managers["d"].SetElectorate(network.Now, 2, newVoters, false)
			network.Run(10*time.Second, nil)
			if wiped { // b learns from c the view that c knows
				machineB = New(network.Now, 99, "b", []string{"x"})
				machineB.SetElectorate(network.Now, 1, oldVoters, obligationsMet)
			}
			managers["b"] = machineB
			maxHolders := 0
			network.Run(20*time.Second, func() { maxHolders = max(maxHolders, len(c.holders(all, "x"))) })
			if want := map[bool]int{true: 1, false: 2}[obligationsMet]; maxHolders != want {
				t.Errorf("wiped %v, obligations met %v: %d holders at a time", wiped, obligationsMet, maxHolders)
			}
		}
	}
}
