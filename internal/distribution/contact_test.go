package distribution

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/discovery"
	"slateridge/internal/transport"
)

// shown is what a proxy put in force, in order.
type shown struct {
	mu       sync.Mutex
	versions []uint64
	lists    []uint64
	latest   Changes
}

func (s *shown) apply(f Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Config != nil {
		s.versions = append(s.versions, f.Config.Version)
	}
	if f.List != nil {
		s.lists = append(s.lists, f.List.Num)
	}
	s.latest = f
}

func (s *shown) all() ([]uint64, []uint64, Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.versions...), append([]uint64(nil), s.lists...), s.latest
}

// newProxy is the real proxy side, told of some control machines.
func newProxy(port int, from string, seeds ...string) (*Subscriber, *shown) {
	s := &shown{}
	return NewSubscriber(Subscription{Node: "p" + from, Zone: "z"}, seeds, func(ip string, h transport.Handler) *transport.Peer {
		return transport.NewPeer(fmt.Sprintf("%s:%d", ip, port), from, h)
	}, s.apply), s
}

// patience is long: the tests look at what comes in which order, on a busy machine too.
const patience = 8 * time.Second

// until steps the line as its process does, and fails after a time.
func until(t *testing.T, subscriber *Subscriber, what string, most time.Duration, f func() bool) {
	t.Helper()
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(constants.StepEvery / 4) {
		subscriber.Step(time.Now(), true)
		if f() {
			return
		}
	}
	t.Fatalf("%s: not within %v: %+v", what, most, subscriber.State(time.Now()))
}

// change alters what a stand-in tells, and pushes it.
func (h *publisherHost) change(f func(*Snapshot)) {
	h.mu.Lock()
	f(&h.snapshot)
	h.mu.Unlock()
	h.publisher.Publish()
}

// A proxy that starts and was told only of a machine out of contact finds the others
// by it, and shows nothing of that machine's before.
func TestStartFindsContact(t *testing.T) {
	const port = 39161
	cut, good := newPublisherHost(t, "127.0.0.31", port), newPublisherHost(t, "127.0.0.32", port)
	good.set(7, 9, true)
	cut.set(3, 5, false)
	cut.change(func(f *Snapshot) {
		f.Peers = []Peer{{Addr: "127.0.0.31", Zone: "z"}, {Addr: "127.0.0.32", Zone: "y"}}
		f.StateNum, f.Evacuated = 4, []string{"y"}
	})
	good.change(func(f *Snapshot) { f.StateNum, f.Evacuated = 6, []string{} })
	subscriber, s := newProxy(port, "127.0.0.33", "127.0.0.31")
	until(t, subscriber, "the newest", patience, func() bool {
		v, li, f := s.all()
		if f.State == 4 {
			t.Fatal("the evacuations of a machine out of contact were put in force")
		}
		return len(v) > 0 && len(li) > 0
	})
	if v, li, f := s.all(); v[0] != 7 || li[0] != 9 || f.State != 6 {
		t.Errorf("shown first: versions %v, lists %v, orders as of %d", v, li, f.State)
	}
}

// Where no machine in contact can be had, what one out of contact has is taken after
// a look, and is left for better as soon as there is any.
func TestStartWithoutContact(t *testing.T) {
	const port = 39162
	cut := newPublisherHost(t, "127.0.0.34", port)
	cut.set(3, 5, false)
	subscriber, s := newProxy(port, "127.0.0.35", "127.0.0.34")
	began := time.Now()
	until(t, subscriber, "what there is", patience, func() bool {
		v, li, _ := s.all()
		return len(v) > 0 && len(li) > 0
	})
	if took := time.Since(began); took < constants.StartSearch {
		t.Errorf("taken after %v, with no look for better", took)
	}
	if _, _, f := s.all(); f.Proxies != 3 {
		t.Errorf("live count %d", f.Proxies)
	}
	cut.set(2, 4, true) // a machine in contact may be behind: never back
	cut.set(4, 6, true)
	until(t, subscriber, "better", patience, func() bool { v, li, _ := s.all(); return v[len(v)-1] == 4 && li[len(li)-1] == 6 })
	if v, li, _ := s.all(); len(v) != 2 || len(li) != 2 {
		t.Errorf("versions %v, lists %v", v, li)
	}
}

// A proxy that holds something takes what is newer from a machine out of contact too:
// whatever a control machine hands out has been committed.
func TestNewerIsTakenOutOfContact(t *testing.T) {
	const port = 39163
	a := newPublisherHost(t, "127.0.0.36", port)
	a.set(3, 5, true)
	subscriber, s := newProxy(port, "127.0.0.37", "127.0.0.36")
	until(t, subscriber, "first", patience, func() bool { v, li, _ := s.all(); return len(v) == 1 && len(li) == 1 })
	a.set(4, 6, false)
	until(t, subscriber, "newer", patience, func() bool { v, li, _ := s.all(); return len(v) == 2 && len(li) == 2 })
}

// What a control machine out of contact says to a proxy, by what that one holds.
func TestWhatIsHandedOutOfContact(t *testing.T) {
	h := newPublisherHost(t, "127.0.0.38", 39164)
	h.set(3, 5, false)
	h.change(func(f *Snapshot) {
		f.StateNum, f.Evacuated = 4, []string{"y"}
		f.ComingVer, f.Coming = 6, map[string]admission.Quota{"k": {Rate: 1, Burst: 1}}
		f.Peers = []Peer{{Addr: "127.0.0.39"}}
	})
	var pushed []Update
	var mu sync.Mutex
	m, err := transport.Dial("127.0.0.38:39164", "127.0.0.39", func(_ *transport.Conn, v any) any {
		mu.Lock()
		defer mu.Unlock()
		pushed = append(pushed, v.(Update))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	tell := func(subscription Subscription) Update {
		subscription.Node, subscription.Full = "p", true
		v, err := m.Call(subscription, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		return v.(Update)
	}
	update := tell(Subscription{})
	if update.Config != nil || update.List != nil || update.Coming != nil || update.Proxies != 0 || update.StateNum != 0 || update.Evacuated != nil {
		t.Errorf("to one that begins: %+v", update)
	}
	if len(update.Peers) != 1 {
		t.Error("it was not told where the others are")
	}
	h.change(func(f *Snapshot) { f.StateNum = 5 }) // pushed before the next answer on the same connection
	if update := tell(Subscription{}); update.Config != nil {
		t.Errorf("to one that asks again: %+v", update)
	}
	mu.Lock()
	for _, update := range pushed {
		if update.Config != nil || update.List != nil || update.Coming != nil || update.Proxies != 0 || update.StateNum != 0 {
			t.Errorf("pushed to one that begins: %+v", update)
		}
	}
	mu.Unlock()
	if update := tell(Subscription{Stale: true}); update.Config == nil || update.List == nil || update.Coming == nil || update.Proxies != 3 || update.StateNum != 5 {
		t.Errorf("to one that found nobody better: %+v", update)
	}
	if update := tell(Subscription{Version: 2, ListNum: 4}); update.Config == nil || update.List == nil || update.Proxies != 3 || update.StateNum != 5 {
		t.Errorf("to one that holds an older state: %+v", update)
	}
	if update := tell(Subscription{Version: 2}); update.Config == nil || update.List != nil {
		t.Errorf("to one that holds a configuration but no list: %+v", update)
	}
}

// alone is a line that is told by hand.
func alone(t *testing.T, heads ...string) (*Subscriber, *shown) {
	t.Helper()
	subscriber, s := newProxy(39165, "127.0.0.40", heads...) // nobody listens there
	return subscriber, s
}

// The proxy's own side holds to it too: a control machine of an earlier version hands
// its contents to everybody.
func TestStartTrustsContactOnly(t *testing.T) {
	subscriber, s := alone(t, "127.0.0.41")
	old := func(current bool) Update {
		c := config.NewDelta(nil, &config.Doc{Version: 3, Raw: []byte("3")})
		return Update{Current: current, Version: 3, ListNum: 5, Proxies: 3, StateNum: 4, Evacuated: []string{"y"},
			Config: &c, List: discovery.Diff(nil, &discovery.List{Num: 5}), ComingVer: 6, Coming: map[string]admission.Quota{"k": {}}}
	}
	subscriber.receive("127.0.0.41", old(false), time.Now())
	if v, li, f := s.all(); len(v)+len(li) > 0 || f.State != 0 || f.Proxies != 0 || f.Coming != nil {
		t.Errorf("taken of a machine out of contact: versions %v, lists %v, %+v", v, li, f)
	}
	// Nor is a word that says "in contact" believed long after it was made.
	subscriber.receive("127.0.0.41", old(true), time.Now().Add(-2*constants.SubscriptionSilence))
	if v, li, _ := s.all(); len(v)+len(li) > 0 {
		t.Errorf("taken of a word long under way: versions %v, lists %v", v, li)
	}
	subscriber.receive("127.0.0.41", old(true), time.Now())
	if v, li, f := s.all(); len(v) != 1 || len(li) != 1 || f.State != 4 || f.Proxies != 3 {
		t.Errorf("of a machine in contact: versions %v, lists %v, %+v", v, li, f)
	}
}

// Words that a frozen machine made before it stood still come when it thaws. What is
// numbered never goes back, and the rest is not news any more.
func TestLateUpdates(t *testing.T) {
	subscriber, s := alone(t, "127.0.0.41", "127.0.0.42")
	now := time.Now()
	subscriber.receive("127.0.0.42", Update{Current: true, StateNum: 9, Evacuated: []string{}, Proxies: 4, Wall: 7e18, Trackers: []string{"b"}, Metered: "b", Scaler: "b"}, now)
	subscriber.listNum = 8
	before := subscriber.State(now)
	late := now.Add(-20 * time.Second)
	c := config.NewDelta(nil, &config.Doc{Version: 3, Raw: []byte("3")})
	subscriber.version = 6
	subscriber.receive("127.0.0.41", Update{Current: true, Version: 3, Config: &c, ListNum: 8, StateNum: 5, Evacuated: []string{"y"}, Proxies: 40,
		Wall: 6e18, Trackers: []string{"a"}, Metered: "a", Scaler: "a"}, late)
	v, _, f := s.all()
	if len(v) > 0 || f.State != 9 || len(f.Evacuated) > 0 {
		t.Errorf("an older state in force: versions %v, %+v", v, f)
	}
	if f.Proxies != 4 || f.Wall != 0 || f.Trackers[0] != "b" || f.Metered != "b" || f.Scaler != "b" {
		t.Errorf("believed of a late word: %+v", f)
	}
	after := subscriber.State(now)
	if after.ListAge != before.ListAge || after.Ends["127.0.0.41"] != before.Ends["127.0.0.41"] {
		t.Errorf("a late word is a sign of contact: %+v, was %+v", after, before)
	}
	// A later word of that machine leaves out what it has said before.
	subscriber.receive("127.0.0.42", Update{Current: true, Trackers: []string{""}}, now)
	subscriber.receive("127.0.0.41", Update{Current: true}, time.Now())
	if _, _, f := s.all(); f.Trackers[0] != "a" {
		t.Errorf("what the late word told differs is lost: %+v", f)
	}
}

// A proxy that was frozen for long reads what its control machines sent before. The live
// count it held is no news then: others may have its split share, which a count handed
// on would revive. The first word made since brings it again.
func TestLateUpdateBringsNoLiveCount(t *testing.T) {
	subscriber, s := alone(t, "127.0.0.41", "127.0.0.42")
	subscriber.version = 6
	now := time.Now()
	subscriber.receive("127.0.0.41", Update{Current: true, Proxies: 4}, now)
	if _, _, f := s.all(); f.Proxies != 4 {
		t.Fatalf("live count %d", f.Proxies)
	}
	frozen := now.Add(-2 * constants.SplitHold)
	for _, conn := range subscriber.conns {
		conn.heardAt = frozen
	}
	subscriber.receive("127.0.0.41", Update{Current: true, Proxies: 4, StateNum: 9, Evacuated: []string{"y"}}, frozen)
	_, _, f := s.all()
	if f.Proxies != 0 {
		t.Errorf("a late word handed on the live count %d", f.Proxies)
	}
	if f.State != 9 || len(f.Evacuated) != 1 {
		t.Errorf("what is numbered was not taken: %+v", f)
	}
	subscriber.receive("127.0.0.42", Update{Current: true, Proxies: 5}, time.Now())
	if _, _, f := s.all(); f.Proxies != 5 {
		t.Errorf("live count %d after a word made since", f.Proxies)
	}
}

// A control machine that has forgotten a proxy tells it no live count until sharing is
// safe again. The count that the proxy held is no answer to that once its share is given
// up; before, as while control's roster is incomplete, the share goes on.
func TestUntoldCountIsNotRevived(t *testing.T) {
	subscriber, s := alone(t, "127.0.0.41")
	subscriber.receive("127.0.0.41", Update{Current: true, Proxies: 4}, time.Now())
	subscriber.receive("127.0.0.41", Update{Current: true}, time.Now())
	if _, _, f := s.all(); f.Proxies != 4 {
		t.Errorf("live count %d while it is held", f.Proxies)
	}
	subscriber.countAt = time.Now().Add(-2 * constants.SplitHold)
	subscriber.receive("127.0.0.41", Update{Current: true}, time.Now())
	if _, _, f := s.all(); f.Proxies != 0 {
		t.Errorf("live count %d revived", f.Proxies)
	}
	subscriber.receive("127.0.0.41", Update{Current: true, Proxies: 5}, time.Now())
	if _, _, f := s.all(); f.Proxies != 5 {
		t.Errorf("live count %d once told", f.Proxies)
	}
}

// A push is as old as the latest of this proxy's words that its maker had heard.
func TestPushNamesWhatWasHeard(t *testing.T) {
	const port = 39166
	h := newPublisherHost(t, "127.0.0.43", port)
	h.set(3, 5, true)
	subscriber, s := newProxy(port, "127.0.0.44", "127.0.0.43")
	until(t, subscriber, "first", patience, func() bool { v, _, _ := s.all(); return len(v) == 1 })
	time.Sleep(20 * time.Millisecond)
	before := time.Now()
	h.set(4, 6, true) // pushed, and no question is asked any more
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if v, _, _ := s.all(); len(v) == 2 {
			break
		}
	}
	if v, _, _ := s.all(); len(v) != 2 {
		t.Fatal("nothing was pushed")
	}
	now := time.Now()
	if at := now.Add(-subscriber.State(now).Current); !at.Before(before) || now.Sub(at) > time.Second {
		t.Errorf("in contact %v ago by a push, which can only vouch for the last word before it", now.Sub(at))
	}
}

// Of two words the one of a machine in contact counts, whichever came last and
// whichever machine stands nearer.
func TestContactGoesBefore(t *testing.T) {
	const cut, good = "127.0.0.41", "127.0.0.42"
	subscriber, s := alone(t, cut, good)
	subscriber.locations = map[string]Peer{cut: {cut, "z", ""}, good: {good, "y", ""}} // the one cut off is near
	subscriber.mu.Lock()
	subscriber.sortLocked()
	subscriber.mu.Unlock()
	now := time.Now()
	subscriber.version = 1
	is := func(what string, proxies int, name string) {
		t.Helper()
		_, _, f := s.all()
		if f.Proxies != proxies || f.Metered != name || f.Scaler != name || f.Trackers[0] != name || f.Trackers[1] != "also" {
			t.Errorf("%s: %+v", what, f)
		}
	}
	word := func(from string, current bool, proxies int, name, second string) {
		subscriber.receive(from, Update{Current: current, Proxies: proxies, Trackers: []string{name, second}, Metered: name, Scaler: name}, time.Now())
	}
	word(cut, false, 30, "old", "also")
	is("only one out of contact", 30, "old")
	word(good, true, 20, "new", "")
	is("one in contact", 20, "new")
	word(cut, false, 30, "old", "also")
	is("the other once more", 20, "new")
	// While nobody in contact speaks, the count may rise but not fall.
	subscriber.conns[good].heardAt, subscriber.currentAt = now.Add(-2*constants.SubscriptionSilence), now.Add(-2*constants.SubscriptionSilence)
	word(cut, false, 10, "old", "also")
	is("nobody in contact, a smaller count", 20, "old")
	word(cut, false, 25, "old", "also")
	is("nobody in contact, a larger count", 25, "old")
	word(good, true, 18, "new", "also")
	is("in contact again", 18, "new")
}

// An answer that comes after its time is lost; what it told is told again, though the
// control machine has told it on this connection.
func TestLostAnswerIsToldAgain(t *testing.T) {
	const port = 39167
	h := newPublisherHost(t, "127.0.0.45", port)
	h.set(3, 5, true)
	subscriber, s := newProxy(port, "127.0.0.46", "127.0.0.45")
	until(t, subscriber, "first", patience, func() bool { v, _, _ := s.all(); return len(v) == 1 })
	until(t, subscriber, "nothing asked", patience, func() bool {
		subscriber.mu.Lock()
		defer subscriber.mu.Unlock()
		return !subscriber.conns["127.0.0.45"].asking
	})
	// The control machine stands still while it answers.
	h.mu.Lock()
	h.snapshot.Trackers, h.snapshot.Peers = []string{"t"}, []Peer{{Addr: "127.0.0.47"}}
	e := subscriber.conns["127.0.0.45"]
	done := make(chan struct{})
	go func() {
		subscriber.ask("127.0.0.45", e, Subscription{Node: "p", Version: 3, ListNum: 5, Full: true})
		close(done)
	}()
	<-done
	h.mu.Unlock()
	until(t, subscriber, "what the lost answer told", patience, func() bool {
		_, _, f := s.all()
		subscriber.mu.Lock()
		defer subscriber.mu.Unlock()
		return len(f.Trackers) == 1 && f.Trackers[0] == "t" && subscriber.conns["127.0.0.47"] != nil
	})
}

// A proxy is not sure of its keys by a version that is still being read here.
func TestSureOfWhatIsInForce(t *testing.T) {
	const port = 39168
	h := newPublisherHost(t, "127.0.0.48", port)
	h.set(3, 5, true)
	reading, read := make(chan struct{}), make(chan struct{})
	subscriber := NewSubscriber(Subscription{Node: "p", Zone: "z"}, []string{"127.0.0.48"}, func(ip string, hd transport.Handler) *transport.Peer {
		return transport.NewPeer(fmt.Sprintf("%s:%d", ip, port), "127.0.0.49", hd)
	}, func(f Changes) {
		if f.Config != nil && f.Config.Version == 4 {
			close(reading)
			<-read
		}
	})
	until(t, subscriber, "first", patience, func() bool { return subscriber.State(time.Now()).Version == 3 })
	until(t, subscriber, "nothing asked", patience, func() bool {
		subscriber.mu.Lock()
		defer subscriber.mu.Unlock()
		return !subscriber.conns["127.0.0.48"].asking
	})
	// An answer that says so is dealt with while the version that it names, and that
	// came by a push, is read.
	h.change(func(f *Snapshot) {
		f.SureVersion = 4
		f.Version, f.ConfigDoc = 4, &config.Doc{Version: 4, Raw: []byte("4")}
	})
	<-reading
	if at := subscriber.noteReadIndex(Update{SureVersion: 4}, time.Now()); !at.IsZero() {
		t.Error("sure of a version that is being read")
	}
	close(read)
	until(t, subscriber, "in force", patience, func() bool { return !subscriber.noteReadIndex(Update{SureVersion: 4}, time.Now()).IsZero() })
}

// Machines that are none of control any more are not dialled for ever, and are the
// last that a proxy turns to; their address may still lead back to the others.
func TestLeftAreLast(t *testing.T) {
	const gone, a, b = "127.0.0.41", "127.0.0.42", "127.0.0.43"
	subscriber, _ := alone(t, gone, a)
	subscribed := func() (out []string) {
		subscriber.mu.Lock()
		defer subscriber.mu.Unlock()
		subscriber.chooseSubscriptionsLocked(time.Now())
		for _, x := range subscriber.order {
			if subscriber.conns[x].subscribed {
				out = append(out, x)
			}
		}
		return out
	}
	subscriber.receive(gone, Update{Peers: []Peer{{Addr: gone, Zone: "z"}, {Addr: a, Zone: "y"}}}, time.Now())
	if got := subscribed(); len(got) != 2 {
		t.Fatalf("before: %v", got)
	}
	subscriber.receive(a, Update{Current: true, Zone: "y", Peers: []Peer{{Addr: a, Zone: "y"}, {Addr: b, Zone: "y"}}}, time.Now())
	if got := subscribed(); len(got) != 2 || slices.Contains(got, gone) {
		t.Errorf("after it left: %v", got)
	}
	// What is learned of a machine out of contact adds addresses and takes none away.
	subscriber.receive(b, Update{Peers: []Peer{{Addr: gone}, {Addr: b}, {Addr: "127.0.0.44"}}}, time.Now())
	if got := subscribed(); len(got) != 2 || slices.Contains(got, gone) || subscriber.conns["127.0.0.44"] == nil {
		t.Errorf("after one out of contact named others: %v", got)
	}
	subscriber.mu.Lock()
	subscriber.conns[a].heardAt = time.Now().Add(-2 * constants.SubscriptionSilence)
	subscriber.mu.Unlock()
	if got := subscribed(); !slices.Contains(got, gone) || got[len(got)-1] != gone && got[len(got)-1] != "127.0.0.44" {
		t.Errorf("nobody in contact: %v", got)
	}
}

// The addresses that a machine out of contact names are dialled at once, with no step
// of the line between; a machine in contact leads to no further connections.
func TestNamedAreDialledAtOnce(t *testing.T) {
	const port = 39169
	subscriber, _ := newProxy(port, "127.0.0.50", "127.0.0.51")
	dialled := func(ip string, most time.Duration) bool {
		lis, err := transport.Listen(fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			t.Fatal(err)
		}
		defer lis.Close()
		came := make(chan bool, 1)
		go func() {
			c, err := lis.Accept()
			if err == nil {
				c.Close()
			}
			came <- err == nil
		}()
		subscriber.receive("127.0.0.51", Update{Current: ip == "127.0.0.53", Peers: []Peer{{Addr: "127.0.0.51"}, {Addr: ip}}}, time.Now())
		select {
		case <-came:
			return true
		case <-time.After(most):
			return false
		}
	}
	if !dialled("127.0.0.52", patience) {
		t.Error("named by one out of contact, and not dialled")
	}
	if dialled("127.0.0.53", 200*time.Millisecond) {
		t.Error("named by one in contact, and dialled before it is asked anything")
	}
}
