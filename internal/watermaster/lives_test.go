package watermaster

import (
	"testing"
	"time"

	"slateridge/internal/basin"
	"slateridge/internal/datum"
)

// allowed says whether a grantor says yes to an Ask.
func allowed(w *Watermaster, now time.Duration, from string, a Ask) bool {
	for _, s := range w.Recv(now, from, a) {
		if g, ok := s.Msg.(Grant); ok {
			return g.OK
		}
	}
	return false
}

// Words of a holder's earlier life that come late, on a connection of their own, do
// not take away what its present life relies on.
func TestLateWordsOfAnEarlierLife(t *testing.T) {
	for _, again := range []bool{false, true} {
		for _, lives := range [][2]uint64{{3 << 32, 7 << 32}, {7 << 32, 3 << 32}} {
			early, late := lives[0], lives[1]
			w := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
			now := 10 * time.Second
			if !allowed(w, now, "b", Ask{"x", 1, early + 1, false}) {
				t.Fatal("not granted to the first life")
			}
			now += 50 * time.Millisecond
			if !allowed(w, now, "b", Ask{"x", 1, late + 1, true}) {
				t.Fatal("not granted to the life that came straight back")
			}
			held := now + datum.LeaseLength
			w.Recv(now, "b", Ask{"x", 1, early + 2, again})
			w.Recv(now, "b", Release{"x", early + 2, ""})
			for ; now < held; now += 10 * time.Millisecond {
				if allowed(w, now, "c", Ask{"x", 1, 1, false}) {
					t.Fatalf("granted to another %v before the present life's lease ends (again: %v)", held-now, again)
				}
			}
			now = held + 2*datum.LeaseMargin
			if !allowed(w, now, "c", Ask{"x", 1, 2, false}) {
				t.Errorf("still kept from another %v after it ended", now-held)
			}
		}
	}
}

// A Release gives back at once what its own life was granted.
func TestReleaseOfOneLife(t *testing.T) {
	w := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
	now := 10 * time.Second
	for n := range uint64(3) {
		allowed(w, now, "b", Ask{"x", 1, 9<<32 + n, false})
	}
	if allowed(w, now, "b", Ask{"x", 1, 9 << 32, true}) {
		t.Error("an overtaken word of the same life is granted")
	}
	w.Recv(now, "b", Release{"x", 9<<32 + 1, ""}) // an earlier claim's
	if allowed(w, now, "c", Ask{"x", 1, 1, false}) {
		t.Error("an earlier claim's Release gave the later one back")
	}
	w.Recv(now, "b", Release{"x", 9<<32 + 2, ""})
	if !allowed(w, now, "c", Ask{"x", 1, 2, false}) {
		t.Error("not free after its Release")
	}
}

// A machine outside the electorate neither grants nor claims, also one that was voted
// out; what it holds runs out.
func TestOutsideTheElectorate(t *testing.T) {
	w := withPeers(New(0, 1, "a", []string{"x"}), []string{"a"})
	now := time.Duration(0)
	for ; now < 5*time.Second; now += datum.LeaseTick {
		w.Tick(now)
	}
	if _, ok := w.Holds(now, "x"); !ok {
		t.Fatal("alone, it does not hold")
	}
	w.SetElectorate(now, 2, []string{"b", "c"}, false)
	end := now + datum.LeaseLength + datum.LeaseMargin
	for ; now < 3*end; now += datum.LeaseTick {
		if out := w.Tick(now); len(out) > 0 {
			t.Fatalf("voted out it says %v", out)
		}
		if _, ok := w.Holds(now, "x"); ok && now >= end {
			t.Fatal("voted out it still holds")
		}
		was := w.Dropped
		for _, from := range []string{"b", "z"} {
			if out := w.Recv(now, from, Ask{"x", 2, uint64(now), false}); len(out) > 0 {
				t.Fatalf("voted out it answers %v", out)
			}
		}
		if w.Dropped != was+2 || w.Holder(now, "x") != "" && now >= end {
			t.Fatalf("%d dropped, holder %q", w.Dropped-was, w.Holder(now, "x"))
		}
	}
	w.SetElectorate(now, 5, []string{"a", "b", "c"}, false) // back, two views later
	if allowed(w, now+datum.LeaseLength, "b", Ask{"x", 5, 1, false}) {
		t.Error("back in the electorate it grants at once")
	}
	if !allowed(w, now+datum.LeaseLength+datum.LeaseMargin, "b", Ask{"x", 5, 2, false}) {
		t.Error("back in the electorate it does not grant")
	}
}

// What is told late of an earlier electorate changes nothing: it does not unseal, nor
// bring its voters back.
func TestLateElectorate(t *testing.T) {
	w := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
	w.SetElectorate(0, 9, []string{"a", "d", "e"}, true)
	w.SetElectorate(0, 5, []string{"a", "b", "c"}, false)
	now := 10 * time.Second
	if allowed(w, now, "b", Ask{"x", 5, 1, false}) || allowed(w, now, "d", Ask{"x", 9, 1, false}) {
		t.Error("an electorate that is over was taken up again")
	}
	w.SetElectorate(now, 9, []string{"a", "d", "e"}, false) // a view that changes no voter
	if !allowed(w, now, "d", Ask{"x", 9, 2, false}) {
		t.Error("unsealed it does not grant")
	}
}

// What was given up on purpose is left to others for a while, also when the electorate
// changes meanwhile, as it does when a voter that stops leaves it.
func TestGivenUpStaysGivenUp(t *testing.T) {
	w := withPeers(New(0, 1, "a", []string{"x"}), []string{"a"})
	now := time.Duration(0)
	for ; now < 3*time.Second; now += datum.LeaseTick {
		w.Tick(now)
	}
	if _, ok := w.Holds(now, "x"); !ok {
		t.Fatal("alone, it does not hold")
	}
	left := now
	w.Leave(now)
	w.SetElectorate(now, 2, []string{"a", "b"}, false)
	for ; now < left+datum.LeaseLength*4; now += datum.LeaseTick {
		if out := w.Tick(now); len(out) > 0 {
			t.Fatalf("%v after it was given up it is claimed: %v", now-left, out)
		}
	}
	if out := w.Tick(now); len(out) == 0 {
		t.Error("never claimed again")
	}
}

// Garbled words change nothing and are counted.
func TestGarbledWords(t *testing.T) {
	now := 10 * time.Second
	for i, word := range []struct {
		from string
		msg  any
	}{
		{"b", "not a word of leases"},
		{"b", nil},
		{"b", &Ask{"x", 1, 1, false}},
		{"b", Release{"no such duty", 1, ""}},
		{"b", Grant{"x", 1, 1<<32 + 1, false, "z"}}, // names one without a vote as the holder
		{"a", Ask{"x", 1, 9, false}},                // in this machine's own name
		{"z", Release{"x", 1, ""}},
	} {
		w := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
		w.Tick(now)
		if out := w.Recv(now, word.from, word.msg); len(out) > 0 || w.Dropped != 1 {
			t.Errorf("%d, %#v: answered %v, %d dropped", i, word.msg, out, w.Dropped)
		}
		if out := w.Tick(now + datum.LeaseRenew); len(out) == 0 {
			t.Errorf("%d, %#v: it keeps the machine from claiming", i, word.msg)
		}
	}
}

// TestWhatTheElectorateMustTell holds, on one course of events each, what the teller of
// the electorate owes the leases: c is cut off and has not learned that a and b have
// put d in its place. With the promise told before it leaves b, and b not taken for a
// voter of the old view once its disk is new, one holds the duty; without, two do.
func TestWhatTheElectorateMustTell(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		for _, owed := range []bool{true, false} {
			b := basin.New(1)
			b.Delay = 5 * time.Millisecond
			all, before, after := []string{"a", "b", "c", "d"}, []string{"a", "b", "c"}, []string{"a", "b", "d"}
			ms := map[string]*Watermaster{}
			for i, n := range all {
				ms[n] = New(0, uint64(i+1), n, []string{"x"})
				ms[n].SetElectorate(0, 1, before, false)
			}
			p := &pond{b, ms}
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
