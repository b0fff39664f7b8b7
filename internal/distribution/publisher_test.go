package distribution

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/discovery"
	"slateridge/internal/transport"
)

// publisherHost is a fake control node: a real Publisher of a snapshot that the test sets.
type publisherHost struct {
	mu        sync.Mutex
	snapshot  Snapshot
	publisher *Publisher
}

// set replaces the snapshot and publishes it.
func (h *publisherHost) set(version, list uint64, current bool) {
	h.mu.Lock()
	h.snapshot = Snapshot{Update: Update{Current: current, Zone: "z", Version: version, ListNum: list, Proxies: 3},
		ConfigDoc: &config.Doc{Version: version, Raw: []byte(fmt.Sprint(version))}, Upstreams: &discovery.List{Num: list}}
	h.mu.Unlock()
	h.publisher.Publish()
}

// newPublisherHost returns a publisherHost that listens on the given address.
func newPublisherHost(t *testing.T, ip string, port int) *publisherHost {
	h := &publisherHost{}
	h.publisher = NewPublisher(func() Snapshot { h.mu.Lock(); defer h.mu.Unlock(); return h.snapshot }, func(string) bool { return true })
	listener, err := transport.Listen(fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go transport.Serve(listener, func(conn *transport.Conn, body any) any {
		if subscription, ok := body.(Subscription); ok {
			return h.publisher.HandleSubscription(conn, subscription)
		}
		return nil
	})
	return h
}

// TestTakesNewestContents checks that a proxy takes the newest contents from whichever control
// node has them, never returns to older ones, and acknowledges them in its subscriptions.
func TestTakesNewestContents(t *testing.T) {
	const port = 39157
	a, b := newPublisherHost(t, "127.0.0.21", port), newPublisherHost(t, "127.0.0.22", port)
	a.set(3, 5, true)
	b.set(2, 4, true)
	var mu sync.Mutex
	var versions, lists []uint64
	subscriber := NewSubscriber(Subscription{Node: "p", Zone: "z"}, []string{"127.0.0.21", "127.0.0.22"}, func(ip string, h transport.Handler) *transport.Peer {
		return transport.NewPeer(fmt.Sprintf("%s:%d", ip, port), "127.0.0.23", h)
	}, func(changes Changes) {
		mu.Lock()
		defer mu.Unlock()
		if changes.Config != nil {
			versions = append(versions, changes.Config.Version)
		}
		if changes.List != nil {
			lists = append(lists, changes.List.Num)
		}
	})
	wait := func(goal string, reached func(State) bool) {
		t.Helper()
		for range 300 {
			subscriber.Step(time.Now(), true)
			if reached(subscriber.State(time.Now())) {
				return
			}
			time.Sleep(constants.StepInterval / 4)
		}
		t.Fatalf("%s: not reached; state %+v", goal, subscriber.State(time.Now()))
	}
	wait("initial contents", func(s State) bool { return s.Version == 3 && s.ListNum == 5 })
	b.set(7, 9, true) // a node other than the content source is ahead
	wait("contents of the other node", func(s State) bool { return s.Version == 7 && s.ListNum == 9 })
	a.set(6, 8, true) // the content source lags and sends older contents
	a.set(8, 9, true)
	wait("newer contents of the content source", func(s State) bool { return s.Version == 8 })
	wait("acknowledgement", func(State) bool {
		proxies := a.publisher.Proxies()
		return len(proxies) == 1 && proxies[0].Version == 8 && proxies[0].ListNum == 9
	})
	mu.Lock()
	defer mu.Unlock()
	for _, numbers := range [][]uint64{versions, lists} {
		for i := 1; i < len(numbers); i++ {
			if numbers[i] <= numbers[i-1] {
				t.Fatalf("contents did not get strictly newer: versions %v, lists %v", versions, lists)
			}
		}
	}
}

// TestSlowApplyDoesNotBlockCalls checks that while a proxy takes long to put a configuration in
// force, calls on behalf of its requests are answered, and the configuration is not
// acknowledged.
func TestSlowApplyDoesNotBlockCalls(t *testing.T) {
	const port = 39158
	host := newPublisherHost(t, "127.0.0.24", port)
	host.set(3, 5, true)
	applying, done := make(chan struct{}), make(chan struct{})
	var once sync.Once
	subscriber := NewSubscriber(Subscription{Node: "p", Zone: "z"}, []string{"127.0.0.24"}, func(ip string, h transport.Handler) *transport.Peer {
		return transport.NewPeer(fmt.Sprintf("%s:%d", ip, port), "127.0.0.25", h)
	}, func(changes Changes) {
		if changes.Config != nil {
			once.Do(func() { close(applying); <-done })
		}
	})
	step := func() { subscriber.Step(time.Now(), true); time.Sleep(5 * time.Millisecond) }
	go func() {
		for range 2000 {
			step()
		}
	}()
	<-applying
	if _, err := subscriber.Call("127.0.0.24", Subscription{Node: "other"}, 10*time.Second); err != nil {
		t.Fatalf("call while the configuration is being put in force: %v", err)
	}
	acknowledged := func() uint64 {
		for _, p := range host.publisher.Proxies() {
			if p.Node == "p" {
				return p.Version
			}
		}
		return 0
	}
	time.Sleep(2 * constants.SubscribeInterval) // long enough for another subscription to be sent
	if v := acknowledged(); v != 0 {
		t.Errorf("version %d was acknowledged before it was in force", v)
	}
	close(done)
	for acknowledged() != 3 {
		step() // the timeout of the test run ends this if the version is never acknowledged
	}
}

// TestRetriesRefusedConnection checks that a control node that refuses connections is tried
// again in the next step, like one whose connection is still being established, because it is
// probably starting.
func TestRetriesRefusedConnection(t *testing.T) {
	subscriber := NewSubscriber(Subscription{Node: "p", Zone: "z"}, []string{"127.0.0.26"}, func(ip string, h transport.Handler) *transport.Peer {
		return transport.NewPeer(ip+":39159", "127.0.0.27", h) // nothing listens on this address
	}, func(Changes) {})
	conn := subscriber.conns["127.0.0.26"]
	for refused := false; !refused; {
		_, err := conn.peer.Call(Subscription{}, time.Second)
		refused = errors.Is(err, transport.ErrRefused)
	}
	now := time.Now()
	conn.subscribedAt = now
	subscriber.sendSubscription("127.0.0.26", conn, Subscription{})
	if !conn.subscribedAt.IsZero() {
		t.Error("the refused subscription is not retried before the next regular one")
	}
}
