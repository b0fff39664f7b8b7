package distribution

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/constants"
	"slateridge/internal/transport"
)

// TestConcurrentPublishKeepsOrder checks that concurrently published changes reach a proxy in
// the order in which they were made, even if some snapshots take longer than others.
func TestConcurrentPublishKeepsOrder(t *testing.T) {
	const port, changes = 39163, 20
	var state atomic.Uint64
	state.Store(1)
	publisher := NewPublisher(func() Snapshot {
		num := state.Load()
		time.Sleep(time.Duration(num%2) * 5 * time.Millisecond)
		return Snapshot{Update: Update{Current: true, StateNum: num}}
	}, func(string) bool { return true })
	listener, err := transport.Listen(fmt.Sprintf("127.0.0.24:%d", port))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go transport.Serve(listener, func(conn *transport.Conn, body any) any {
		return publisher.HandleSubscription(conn, body.(Subscription))
	})
	var mu sync.Mutex
	var received []uint64
	peer := transport.NewPeer(fmt.Sprintf("127.0.0.24:%d", port), "127.0.0.25", func(_ *transport.Conn, body any) any {
		mu.Lock()
		defer mu.Unlock()
		received = append(received, body.(Update).StateNum)
		return nil
	})
	for range 50 {
		if _, err = peer.Call(Subscription{Node: "p", Full: true}, constants.CallTimeout); err == nil {
			break
		}
		time.Sleep(constants.RedialDelay)
	}
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	for range changes {
		state.Add(1)
		group.Go(publisher.Publish)
		time.Sleep(time.Millisecond)
	}
	group.Wait()
	time.Sleep(100 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	if !slices.IsSorted(received) || len(received) == 0 || received[len(received)-1] != state.Load() {
		t.Fatalf("received states %v, want ascending numbers up to %d", received, state.Load())
	}
}

// TestOutdatedLimitsAreNotEvaluated checks that pending limits are not evaluated if those of a
// newer version have been received, from whichever control node they come.
func TestOutdatedLimitsAreNotEvaluated(t *testing.T) {
	var evaluated []float64
	subscriber := NewSubscriber(Subscription{Node: "p"}, []string{"a", "b"}, func(string, transport.Handler) *transport.Peer { return nil }, func(changes Changes) {
		if changes.PendingLimits != nil {
			evaluated = append(evaluated, changes.PendingLimits["t"].Rate)
		}
	})
	for _, version := range []uint64{5, 4, 7, 5, 7, 8} {
		limits := map[string]admission.Quota{"t": {Rate: float64(version)}}
		subscriber.receive([]string{"a", "b"}[version%2], Update{Current: true, ComingVer: version, Coming: limits}, time.Now())
	}
	if want := []float64{5, 7, 8}; !slices.Equal(evaluated, want) {
		t.Fatalf("evaluated the limits of versions %v, want %v", evaluated, want)
	}
}
