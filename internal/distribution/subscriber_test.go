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

// recorder records the changes that a Subscriber puts in force.
type recorder struct {
	mu       sync.Mutex
	versions []uint64
	lists    []uint64
	latest   Changes
}

func (r *recorder) apply(changes Changes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if changes.Config != nil {
		r.versions = append(r.versions, changes.Config.Version)
	}
	if changes.List != nil {
		r.lists = append(r.lists, changes.List.Num)
	}
	r.latest = changes
}

// recorded returns the versions and list numbers put in force, in order, and the latest changes.
func (r *recorder) recorded() ([]uint64, []uint64, Changes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]uint64(nil), r.versions...), append([]uint64(nil), r.lists...), r.latest
}

// newSubscriber returns a Subscriber with the given initial control nodes, and a recorder of its
// changes.
func newSubscriber(port int, from string, seeds ...string) (*Subscriber, *recorder) {
	r := &recorder{}
	return NewSubscriber(Subscription{Node: "p" + from, Zone: "z"}, seeds, func(ip string, h transport.Handler) *transport.Peer {
		return transport.NewPeer(fmt.Sprintf("%s:%d", ip, port), from, h)
	}, r.apply), r
}

// waitTimeout is long, because the tests check the order of events and must pass on a busy
// machine too.
const waitTimeout = 8 * time.Second

// waitFor steps the subscriber as its process does until reached returns true, and fails the
// test after the timeout.
func waitFor(t *testing.T, subscriber *Subscriber, goal string, timeout time.Duration, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(constants.StepInterval / 4) {
		subscriber.Step(time.Now(), true)
		if reached() {
			return
		}
	}
	t.Fatalf("%s: not reached within %v; state %+v", goal, timeout, subscriber.State(time.Now()))
}

// modify changes the snapshot and publishes it.
func (h *publisherHost) modify(f func(*Snapshot)) {
	h.mu.Lock()
	f(&h.snapshot)
	h.mu.Unlock()
	h.publisher.Publish()
}

// TestStartFindsMajorityContact checks that a starting proxy that knows only a control node out
// of contact with a majority finds the others through it, and puts nothing of that node's
// contents in force.
func TestStartFindsMajorityContact(t *testing.T) {
	const port = 39161
	isolated, connected := newPublisherHost(t, "127.0.0.31", port), newPublisherHost(t, "127.0.0.32", port)
	connected.set(7, 9, true)
	isolated.set(3, 5, false)
	isolated.modify(func(snapshot *Snapshot) {
		snapshot.Peers = []Peer{{Addr: "127.0.0.31", Zone: "z"}, {Addr: "127.0.0.32", Zone: "y"}}
		snapshot.StateNum, snapshot.Evacuated = 4, []string{"y"}
	})
	connected.modify(func(snapshot *Snapshot) { snapshot.StateNum, snapshot.Evacuated = 6, []string{} })
	subscriber, recorder := newSubscriber(port, "127.0.0.33", "127.0.0.31")
	waitFor(t, subscriber, "contents in force", waitTimeout, func() bool {
		versions, lists, changes := recorder.recorded()
		if changes.StateNum == 4 {
			t.Fatal("the evacuations of a node out of contact were put in force")
		}
		return len(versions) > 0 && len(lists) > 0
	})
	if versions, lists, changes := recorder.recorded(); versions[0] != 7 || lists[0] != 9 || changes.StateNum != 6 {
		t.Errorf("put in force: versions %v, lists %v, state %d; want version 7, list 9, state 6 first", versions, lists, changes.StateNum)
	}
}

// TestStartWithoutMajorityContact checks that a starting proxy that finds no control node in
// contact with a majority takes the contents of one out of contact after searching for a while,
// and takes newer contents as soon as there are any.
func TestStartWithoutMajorityContact(t *testing.T) {
	const port = 39162
	isolated := newPublisherHost(t, "127.0.0.34", port)
	isolated.set(3, 5, false)
	subscriber, recorder := newSubscriber(port, "127.0.0.35", "127.0.0.34")
	startedAt := time.Now()
	waitFor(t, subscriber, "possibly stale contents", waitTimeout, func() bool {
		versions, lists, _ := recorder.recorded()
		return len(versions) > 0 && len(lists) > 0
	})
	if took := time.Since(startedAt); took < constants.StartupSearchTime {
		t.Errorf("possibly stale contents taken after %v, before the end of the search", took)
	}
	if _, _, changes := recorder.recorded(); changes.Proxies != 3 {
		t.Errorf("live count %d, want 3", changes.Proxies)
	}
	isolated.set(2, 4, true) // a node in contact may have older contents, which must not replace newer ones
	isolated.set(4, 6, true)
	waitFor(t, subscriber, "newer contents", waitTimeout, func() bool {
		versions, lists, _ := recorder.recorded()
		return versions[len(versions)-1] == 4 && lists[len(lists)-1] == 6
	})
	if versions, lists, _ := recorder.recorded(); len(versions) != 2 || len(lists) != 2 {
		t.Errorf("put in force: versions %v, lists %v; want two of each", versions, lists)
	}
}

// TestTakesNewerContentsOutOfContact checks that a proxy that holds contents takes newer ones
// from a control node out of contact too. Control nodes send only committed contents.
func TestTakesNewerContentsOutOfContact(t *testing.T) {
	const port = 39163
	host := newPublisherHost(t, "127.0.0.36", port)
	host.set(3, 5, true)
	subscriber, recorder := newSubscriber(port, "127.0.0.37", "127.0.0.36")
	waitFor(t, subscriber, "initial contents", waitTimeout, func() bool {
		versions, lists, _ := recorder.recorded()
		return len(versions) == 1 && len(lists) == 1
	})
	host.set(4, 6, false)
	waitFor(t, subscriber, "newer contents", waitTimeout, func() bool {
		versions, lists, _ := recorder.recorded()
		return len(versions) == 2 && len(lists) == 2
	})
}

// TestUpdatesOutOfContact checks what a control node out of contact with a majority sends to a
// proxy, depending on what the proxy holds.
func TestUpdatesOutOfContact(t *testing.T) {
	host := newPublisherHost(t, "127.0.0.38", 39164)
	host.set(3, 5, false)
	host.modify(func(snapshot *Snapshot) {
		snapshot.StateNum, snapshot.Evacuated = 4, []string{"y"}
		snapshot.ComingVer, snapshot.Coming = 6, map[string]admission.Quota{"k": {Rate: 1, Burst: 1}}
		snapshot.Peers = []Peer{{Addr: "127.0.0.39"}}
	})
	var pushed []Update
	var mu sync.Mutex
	conn, err := transport.Dial("127.0.0.38:39164", "127.0.0.39", func(_ *transport.Conn, body any) any {
		mu.Lock()
		defer mu.Unlock()
		pushed = append(pushed, body.(Update))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	subscribe := func(subscription Subscription) Update {
		subscription.Node, subscription.Full = "p", true
		reply, err := conn.Call(subscription, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		return reply.(Update)
	}
	update := subscribe(Subscription{})
	if update.Config != nil || update.List != nil || update.Coming != nil || update.Proxies != 0 || update.StateNum != 0 || update.Evacuated != nil {
		t.Errorf("reply to a proxy without contents: %+v", update)
	}
	if len(update.Peers) != 1 {
		t.Error("the reply does not list the other control nodes")
	}
	host.modify(func(snapshot *Snapshot) { snapshot.StateNum = 5 }) // pushed before the next reply on the same connection
	if update := subscribe(Subscription{}); update.Config != nil {
		t.Errorf("second reply to a proxy without contents: %+v", update)
	}
	mu.Lock()
	for _, update := range pushed {
		if update.Config != nil || update.List != nil || update.Coming != nil || update.Proxies != 0 || update.StateNum != 0 {
			t.Errorf("pushed to a proxy without contents: %+v", update)
		}
	}
	mu.Unlock()
	if update := subscribe(Subscription{Stale: true}); update.Config == nil || update.List == nil || update.Coming == nil || update.Proxies != 3 || update.StateNum != 5 {
		t.Errorf("reply to a proxy that found no node in contact: %+v", update)
	}
	if update := subscribe(Subscription{Version: 2, ListNum: 4}); update.Config == nil || update.List == nil || update.Proxies != 3 || update.StateNum != 5 {
		t.Errorf("reply to a proxy with older contents: %+v", update)
	}
	if update := subscribe(Subscription{Version: 2}); update.Config == nil || update.List != nil {
		t.Errorf("reply to a proxy with a configuration but no list: %+v", update)
	}
}

// newOfflineSubscriber returns a Subscriber whose control nodes do not exist. Tests pass updates
// to its receive method.
func newOfflineSubscriber(t *testing.T, controlNodes ...string) (*Subscriber, *recorder) {
	t.Helper()
	subscriber, recorder := newSubscriber(39165, "127.0.0.40", controlNodes...) // nothing listens on this port
	return subscriber, recorder
}

// TestStartIgnoresContentsOutOfContact checks that a starting proxy itself ignores the contents
// of a control node out of contact with a majority, because nodes of earlier versions send them
// to every proxy.
func TestStartIgnoresContentsOutOfContact(t *testing.T) {
	subscriber, recorder := newOfflineSubscriber(t, "127.0.0.41")
	update := func(current bool) Update {
		delta := config.NewDelta(nil, &config.Doc{Version: 3, Raw: []byte("3")})
		return Update{Current: current, Version: 3, ListNum: 5, Proxies: 3, StateNum: 4, Evacuated: []string{"y"},
			Config: &delta, List: discovery.Diff(nil, &discovery.List{Num: 5}), ComingVer: 6, Coming: map[string]admission.Quota{"k": {}}}
	}
	subscriber.receive("127.0.0.41", update(false), time.Now())
	if versions, lists, changes := recorder.recorded(); len(versions)+len(lists) > 0 || changes.StateNum != 0 || changes.Proxies != 0 || changes.PendingLimits != nil {
		t.Errorf("taken from a node out of contact: versions %v, lists %v, %+v", versions, lists, changes)
	}
	// A late update that claims to be in contact is ignored too.
	subscriber.receive("127.0.0.41", update(true), time.Now().Add(-2*constants.SubscriptionTimeout))
	if versions, lists, _ := recorder.recorded(); len(versions)+len(lists) > 0 {
		t.Errorf("taken from a late update: versions %v, lists %v", versions, lists)
	}
	subscriber.receive("127.0.0.41", update(true), time.Now())
	if versions, lists, changes := recorder.recorded(); len(versions) != 1 || len(lists) != 1 || changes.StateNum != 4 || changes.Proxies != 3 {
		t.Errorf("taken from a node in contact: versions %v, lists %v, %+v", versions, lists, changes)
	}
}

// TestLateUpdates checks the handling of updates that a control node made before it was paused
// and that arrive when it resumes. Numbered state never goes back, and the rest is ignored.
func TestLateUpdates(t *testing.T) {
	subscriber, recorder := newOfflineSubscriber(t, "127.0.0.41", "127.0.0.42")
	now := time.Now()
	subscriber.receive("127.0.0.42", Update{Current: true, StateNum: 9, Evacuated: []string{}, Proxies: 4, Wall: 7e18, Trackers: []string{"b"}, Metered: "b", Scaler: "b"}, now)
	subscriber.listNum = 8
	before := subscriber.State(now)
	late := now.Add(-20 * time.Second)
	delta := config.NewDelta(nil, &config.Doc{Version: 3, Raw: []byte("3")})
	subscriber.version = 6
	subscriber.receive("127.0.0.41", Update{Current: true, Version: 3, Config: &delta, ListNum: 8, StateNum: 5, Evacuated: []string{"y"}, Proxies: 40,
		Wall: 6e18, Trackers: []string{"a"}, Metered: "a", Scaler: "a"}, late)
	versions, _, changes := recorder.recorded()
	if len(versions) > 0 || changes.StateNum != 9 || len(changes.Evacuated) > 0 {
		t.Errorf("older state was put in force: versions %v, %+v", versions, changes)
	}
	if changes.Proxies != 4 || changes.Wall != 0 || changes.Trackers[0] != "b" || changes.UsageHolder != "b" || changes.ScalingHolder != "b" {
		t.Errorf("unnumbered state of a late update was used: %+v", changes)
	}
	after := subscriber.State(now)
	if after.ListAge != before.ListAge || after.Ends["127.0.0.41"] != before.Ends["127.0.0.41"] {
		t.Errorf("a late update counts as contact: state %+v, was %+v", after, before)
	}
	// The next update of that node omits the trackers that the late update contained.
	subscriber.receive("127.0.0.42", Update{Current: true, Trackers: []string{""}}, now)
	subscriber.receive("127.0.0.41", Update{Current: true}, time.Now())
	if _, _, changes := recorder.recorded(); changes.Trackers[0] != "a" {
		t.Errorf("the trackers of the late update were lost: %+v", changes)
	}
}

// TestLateUpdateDoesNotRestoreLiveCount checks that a proxy that was paused for long, and then
// reads the updates sent before, does not put the live count it held in force. Other proxies may use
// its share of the split quotas by then, and the live count would put the share in use here
// again. The first update made after the pause restores the count.
func TestLateUpdateDoesNotRestoreLiveCount(t *testing.T) {
	subscriber, recorder := newOfflineSubscriber(t, "127.0.0.41", "127.0.0.42")
	subscriber.version = 6
	now := time.Now()
	subscriber.receive("127.0.0.41", Update{Current: true, Proxies: 4}, now)
	if _, _, changes := recorder.recorded(); changes.Proxies != 4 {
		t.Fatalf("live count %d, want 4", changes.Proxies)
	}
	pausedAt := now.Add(-2 * constants.SplitTimeout)
	for _, conn := range subscriber.conns {
		conn.lastUpdateAt = pausedAt
	}
	subscriber.receive("127.0.0.41", Update{Current: true, Proxies: 4, StateNum: 9, Evacuated: []string{"y"}}, pausedAt)
	_, _, changes := recorder.recorded()
	if changes.Proxies != 0 {
		t.Errorf("a late update put live count %d in force", changes.Proxies)
	}
	if changes.StateNum != 9 || len(changes.Evacuated) != 1 {
		t.Errorf("the numbered state of the late update was not taken: %+v", changes)
	}
	subscriber.receive("127.0.0.42", Update{Current: true, Proxies: 5}, time.Now())
	if _, _, changes := recorder.recorded(); changes.Proxies != 5 {
		t.Errorf("live count %d after a current update, want 5", changes.Proxies)
	}
}

// TestHeldLiveCountExpires checks the case of updates without a live count. A control node that
// no longer knows a proxy sends it none until sharing the quotas is safe again, so the proxy must
// not use the count it held once it has given up its share. Until then the held count stays in
// use, for example while the roster of the control plane is incomplete.
func TestHeldLiveCountExpires(t *testing.T) {
	subscriber, recorder := newOfflineSubscriber(t, "127.0.0.41")
	subscriber.receive("127.0.0.41", Update{Current: true, Proxies: 4}, time.Now())
	subscriber.receive("127.0.0.41", Update{Current: true}, time.Now())
	if _, _, changes := recorder.recorded(); changes.Proxies != 4 {
		t.Errorf("live count %d before SplitTimeout, want 4", changes.Proxies)
	}
	subscriber.liveCountAt = time.Now().Add(-2 * constants.SplitTimeout)
	subscriber.receive("127.0.0.41", Update{Current: true}, time.Now())
	if _, _, changes := recorder.recorded(); changes.Proxies != 0 {
		t.Errorf("held live count %d used after SplitTimeout", changes.Proxies)
	}
	subscriber.receive("127.0.0.41", Update{Current: true, Proxies: 5}, time.Now())
	if _, _, changes := recorder.recorded(); changes.Proxies != 5 {
		t.Errorf("live count %d after it was received, want 5", changes.Proxies)
	}
}

// TestPushAgeIsTimeOfLastSubscription checks that a push is assumed to be as old as the latest
// subscription that its sender had received.
func TestPushAgeIsTimeOfLastSubscription(t *testing.T) {
	const port = 39166
	host := newPublisherHost(t, "127.0.0.43", port)
	host.set(3, 5, true)
	subscriber, recorder := newSubscriber(port, "127.0.0.44", "127.0.0.43")
	waitFor(t, subscriber, "initial contents", waitTimeout, func() bool {
		versions, _, _ := recorder.recorded()
		return len(versions) == 1
	})
	time.Sleep(20 * time.Millisecond)
	before := time.Now()
	host.set(4, 6, true) // pushed; no subscription is sent from here on
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if versions, _, _ := recorder.recorded(); len(versions) == 2 {
			break
		}
	}
	if versions, _, _ := recorder.recorded(); len(versions) != 2 {
		t.Fatal("no update was pushed")
	}
	now := time.Now()
	if at := now.Add(-subscriber.State(now).Current); !at.Before(before) || now.Sub(at) > time.Second {
		t.Errorf("a push moved the last contact to %v ago; it may only prove contact up to the subscription before it", now.Sub(at))
	}
}

// TestNodesInContactTakePrecedence checks that updates of a control node in contact with a
// majority take precedence, regardless of the order of arrival and of the distance.
func TestNodesInContactTakePrecedence(t *testing.T) {
	const isolated, connected = "127.0.0.41", "127.0.0.42"
	subscriber, recorder := newOfflineSubscriber(t, isolated, connected)
	subscriber.locations = map[string]Peer{isolated: {isolated, "z", ""}, connected: {connected, "y", ""}} // the isolated node is nearer
	subscriber.mu.Lock()
	subscriber.sortPeersLocked()
	subscriber.mu.Unlock()
	now := time.Now()
	subscriber.version = 1
	check := func(step string, proxies int, name string) {
		t.Helper()
		_, _, changes := recorder.recorded()
		if changes.Proxies != proxies || changes.UsageHolder != name || changes.ScalingHolder != name || changes.Trackers[0] != name || changes.Trackers[1] != "also" {
			t.Errorf("%s: %+v", step, changes)
		}
	}
	receive := func(from string, current bool, proxies int, name, second string) {
		subscriber.receive(from, Update{Current: current, Proxies: proxies, Trackers: []string{name, second}, Metered: name, Scaler: name}, time.Now())
	}
	receive(isolated, false, 30, "old", "also")
	check("only a node out of contact", 30, "old")
	receive(connected, true, 20, "new", "")
	check("a node in contact", 20, "new")
	receive(isolated, false, 30, "old", "also")
	check("the node out of contact again", 20, "new")
	// While no node in contact responds, the count may rise but not fall.
	subscriber.conns[connected].lastUpdateAt, subscriber.currentAt = now.Add(-2*constants.SubscriptionTimeout), now.Add(-2*constants.SubscriptionTimeout)
	receive(isolated, false, 10, "old", "also")
	check("no node in contact, smaller count", 20, "old")
	receive(isolated, false, 25, "old", "also")
	check("no node in contact, larger count", 25, "old")
	receive(connected, true, 18, "new", "also")
	check("node in contact again", 18, "new")
}

// TestTimedOutReplyIsRepeated checks that the contents of a reply that arrived after the timeout
// are sent again. The control node sends some fields only when they change, and has already sent
// them on this connection.
func TestTimedOutReplyIsRepeated(t *testing.T) {
	const port = 39167
	host := newPublisherHost(t, "127.0.0.45", port)
	host.set(3, 5, true)
	subscriber, recorder := newSubscriber(port, "127.0.0.46", "127.0.0.45")
	waitFor(t, subscriber, "initial contents", waitTimeout, func() bool {
		versions, _, _ := recorder.recorded()
		return len(versions) == 1
	})
	waitFor(t, subscriber, "no subscription in flight", waitTimeout, func() bool {
		subscriber.mu.Lock()
		defer subscriber.mu.Unlock()
		return !subscriber.conns["127.0.0.45"].inFlight
	})
	// The control node is paused while it handles the subscription.
	host.mu.Lock()
	host.snapshot.Trackers, host.snapshot.Peers = []string{"t"}, []Peer{{Addr: "127.0.0.47"}}
	conn := subscriber.conns["127.0.0.45"]
	done := make(chan struct{})
	go func() {
		subscriber.sendSubscription("127.0.0.45", conn, Subscription{Node: "p", Version: 3, ListNum: 5, Full: true})
		close(done)
	}()
	<-done
	host.mu.Unlock()
	waitFor(t, subscriber, "contents of the timed-out reply", waitTimeout, func() bool {
		_, _, changes := recorder.recorded()
		subscriber.mu.Lock()
		defer subscriber.mu.Unlock()
		return len(changes.Trackers) == 1 && changes.Trackers[0] == "t" && subscriber.conns["127.0.0.47"] != nil
	})
}

// TestReadIndexWaitsForApply checks that the read index does not advance to a version that is
// still being put in force. Proxies rely on the read index to trust the API keys they hold.
func TestReadIndexWaitsForApply(t *testing.T) {
	const port = 39168
	host := newPublisherHost(t, "127.0.0.48", port)
	host.set(3, 5, true)
	applying, done := make(chan struct{}), make(chan struct{})
	subscriber := NewSubscriber(Subscription{Node: "p", Zone: "z"}, []string{"127.0.0.48"}, func(ip string, h transport.Handler) *transport.Peer {
		return transport.NewPeer(fmt.Sprintf("%s:%d", ip, port), "127.0.0.49", h)
	}, func(changes Changes) {
		if changes.Config != nil && changes.Config.Version == 4 {
			close(applying)
			<-done
		}
	})
	waitFor(t, subscriber, "initial contents", waitTimeout, func() bool { return subscriber.State(time.Now()).Version == 3 })
	waitFor(t, subscriber, "no subscription in flight", waitTimeout, func() bool {
		subscriber.mu.Lock()
		defer subscriber.mu.Unlock()
		return !subscriber.conns["127.0.0.48"].inFlight
	})
	// A reply that confirms a version is handled while that version, which arrived in a push, is
	// being put in force.
	host.modify(func(snapshot *Snapshot) {
		snapshot.SureVersion = 4
		snapshot.Version, snapshot.ConfigDoc = 4, &config.Doc{Version: 4, Raw: []byte("4")}
	})
	<-applying
	if at := subscriber.recordReadIndex(Update{SureVersion: 4}, time.Now()); !at.IsZero() {
		t.Error("the read index advanced to a version that is still being put in force")
	}
	close(done)
	waitFor(t, subscriber, "read index of the version in force", waitTimeout, func() bool { return !subscriber.recordReadIndex(Update{SureVersion: 4}, time.Now()).IsZero() })
}

// TestRemovedNodesAreLastResort checks that nodes that left the control plane are not subscribed
// to, except as a last resort: their addresses may still lead to the others.
func TestRemovedNodesAreLastResort(t *testing.T) {
	const removed, a, b = "127.0.0.41", "127.0.0.42", "127.0.0.43"
	subscriber, _ := newOfflineSubscriber(t, removed, a)
	subscribed := func() (out []string) {
		subscriber.mu.Lock()
		defer subscriber.mu.Unlock()
		subscriber.selectSubscriptionsLocked(time.Now())
		for _, addr := range subscriber.order {
			if subscriber.conns[addr].subscribed {
				out = append(out, addr)
			}
		}
		return out
	}
	subscriber.receive(removed, Update{Peers: []Peer{{Addr: removed, Zone: "z"}, {Addr: a, Zone: "y"}}}, time.Now())
	if got := subscribed(); len(got) != 2 {
		t.Fatalf("subscribed before the removal: %v", got)
	}
	subscriber.receive(a, Update{Current: true, Zone: "y", Peers: []Peer{{Addr: a, Zone: "y"}, {Addr: b, Zone: "y"}}}, time.Now())
	if got := subscribed(); len(got) != 2 || slices.Contains(got, removed) {
		t.Errorf("subscribed after the removal: %v", got)
	}
	// An update of a node out of contact adds nodes, but neither removes nor restores any.
	subscriber.receive(b, Update{Peers: []Peer{{Addr: removed}, {Addr: b}, {Addr: "127.0.0.44"}}}, time.Now())
	if got := subscribed(); len(got) != 2 || slices.Contains(got, removed) || subscriber.conns["127.0.0.44"] == nil {
		t.Errorf("subscribed after an update of a node out of contact: %v", got)
	}
	subscriber.mu.Lock()
	subscriber.conns[a].lastUpdateAt = time.Now().Add(-2 * constants.SubscriptionTimeout)
	subscriber.mu.Unlock()
	if got := subscribed(); !slices.Contains(got, removed) || got[len(got)-1] != removed && got[len(got)-1] != "127.0.0.44" {
		t.Errorf("subscribed without a node in contact: %v", got)
	}
}

// TestDialsListedNodesWithoutStep checks that the addresses listed by a control node out of
// contact are dialled immediately, before the next Step, and that those listed by a node in
// contact are not.
func TestDialsListedNodesWithoutStep(t *testing.T) {
	const port = 39169
	subscriber, _ := newSubscriber(port, "127.0.0.50", "127.0.0.51")
	dialled := func(ip string, timeout time.Duration) bool {
		listener, err := transport.Listen(fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		accepted := make(chan bool, 1)
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				conn.Close()
			}
			accepted <- err == nil
		}()
		subscriber.receive("127.0.0.51", Update{Current: ip == "127.0.0.53", Peers: []Peer{{Addr: "127.0.0.51"}, {Addr: ip}}}, time.Now())
		select {
		case <-accepted:
			return true
		case <-time.After(timeout):
			return false
		}
	}
	if !dialled("127.0.0.52", waitTimeout) {
		t.Error("address listed by a node out of contact was not dialled")
	}
	if dialled("127.0.0.53", 200*time.Millisecond) {
		t.Error("address listed by a node in contact was dialled without a subscription")
	}
}
