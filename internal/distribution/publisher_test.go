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

// publisherHost is a control machine stand-in: the real control side over a face that
// the test sets.
type publisherHost struct {
	mu        sync.Mutex
	snapshot  Snapshot
	publisher *Publisher
}

func (h *publisherHost) set(version, list uint64, current bool) {
	h.mu.Lock()
	h.snapshot = Snapshot{Update: Update{Current: current, Zone: "z", Version: version, ListNum: list, Proxies: 3},
		ConfigDoc: &config.Doc{Version: version, Raw: []byte(fmt.Sprint(version))}, Upstreams: &discovery.List{Num: list}}
	h.mu.Unlock()
	h.publisher.Publish()
}

func newPublisherHost(t *testing.T, ip string, port int) *publisherHost {
	h := &publisherHost{}
	h.publisher = NewPublisher(func() Snapshot { h.mu.Lock(); defer h.mu.Unlock(); return h.snapshot }, func(string) bool { return true })
	l, err := transport.Listen(fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go transport.Serve(l, func(conn *transport.Conn, body any) any {
		if m, ok := body.(Subscription); ok {
			return h.publisher.HandleSubscription(conn, m)
		}
		return nil
	})
	return h
}

// A proxy takes the newest from whichever control machine has it, fills gaps
// from another one, and never goes back; its subscriptions acknowledge.
func TestNewestFromAnyAndNeverBack(t *testing.T) {
	const port = 39157
	a, b := newPublisherHost(t, "127.0.0.21", port), newPublisherHost(t, "127.0.0.22", port)
	a.set(3, 5, true)
	b.set(2, 4, true)
	var mu sync.Mutex
	var versions, lists []uint64
	subscriber := NewSubscriber(Subscription{Node: "p", Zone: "z"}, []string{"127.0.0.21", "127.0.0.22"}, func(ip string, h transport.Handler) *transport.Peer {
		return transport.NewPeer(fmt.Sprintf("%s:%d", ip, port), "127.0.0.23", h)
	}, func(f Changes) {
		mu.Lock()
		defer mu.Unlock()
		if f.Config != nil {
			versions = append(versions, f.Config.Version)
		}
		if f.List != nil {
			lists = append(lists, f.List.Num)
		}
	})
	wait := func(what string, f func(State) bool) {
		t.Helper()
		for range 300 {
			subscriber.Step(time.Now(), true)
			if f(subscriber.State(time.Now())) {
				return
			}
			time.Sleep(constants.StepEvery / 4)
		}
		t.Fatalf("%s: %+v", what, subscriber.State(time.Now()))
	}
	wait("first", func(s State) bool { return s.Version == 3 && s.ListNum == 5 })
	b.set(7, 9, true) // the one whose contents are not taken is ahead
	wait("gap", func(s State) bool { return s.Version == 7 && s.ListNum == 9 })
	a.set(6, 8, true) // and one that lags tells what is old
	a.set(8, 9, true)
	wait("next", func(s State) bool { return s.Version == 8 })
	wait("acknowledged", func(State) bool {
		ps := a.publisher.Proxies()
		return len(ps) == 1 && ps[0].Version == 8 && ps[0].ListNum == 9
	})
	mu.Lock()
	defer mu.Unlock()
	for _, s := range [][]uint64{versions, lists} {
		for i := 1; i < len(s); i++ {
			if s[i] <= s[i-1] {
				t.Fatalf("went back: versions %v, lists %v", versions, lists)
			}
		}
	}
}

// While a proxy puts a long configuration in force, the questions of its requests
// are answered, and no word of it says that it holds what is not in force yet.
func TestLongReadingHoldsNothingUp(t *testing.T) {
	const port = 39158
	a := newPublisherHost(t, "127.0.0.24", port)
	a.set(3, 5, true)
	reading, done := make(chan struct{}), make(chan struct{})
	var once sync.Once
	subscriber := NewSubscriber(Subscription{Node: "p", Zone: "z"}, []string{"127.0.0.24"}, func(ip string, h transport.Handler) *transport.Peer {
		return transport.NewPeer(fmt.Sprintf("%s:%d", ip, port), "127.0.0.25", h)
	}, func(f Changes) {
		if f.Config != nil {
			once.Do(func() { close(reading); <-done })
		}
	})
	step := func() { subscriber.Step(time.Now(), true); time.Sleep(5 * time.Millisecond) }
	go func() {
		for range 2000 {
			step()
		}
	}()
	<-reading
	if _, err := subscriber.Call("127.0.0.24", Subscription{Node: "other"}, 10*time.Second); err != nil {
		t.Fatalf("a question while the configuration is read: %v", err)
	}
	told := func() uint64 {
		for _, p := range a.publisher.Proxies() {
			if p.Node == "p" {
				return p.Version
			}
		}
		return 0
	}
	time.Sleep(2 * constants.SubscribeEvery) // in which it would speak again
	if v := told(); v != 0 {
		t.Errorf("r%d acknowledged before it is in force", v)
	}
	close(done)
	for told() != 3 {
		step() // the test's own time limit ends this if it never is
	}
}

// A control machine that refuses connections is being started: it is tried again
// with the next step, like one whose connection is still being opened.
func TestRefusedIsTriedAtOnce(t *testing.T) {
	subscriber := NewSubscriber(Subscription{Node: "p", Zone: "z"}, []string{"127.0.0.26"}, func(ip string, h transport.Handler) *transport.Peer {
		return transport.NewPeer(ip+":39159", "127.0.0.27", h) // nobody listens there
	}, func(Changes) {})
	e := subscriber.conns["127.0.0.26"]
	for refused := false; !refused; {
		_, err := e.peer.Call(Subscription{}, time.Second)
		refused = errors.Is(err, transport.ErrRefused)
	}
	now := time.Now()
	e.subscribedAt = now
	subscriber.sendSubscription("127.0.0.26", e, Subscription{})
	if !e.subscribedAt.IsZero() {
		t.Error("it is not tried again before the next regular word")
	}
}
