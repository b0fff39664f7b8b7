package rungroup

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/run"
)

// A turn that begins later does nothing before, then keeps its pace, and ends with the
// group also while it waits.
func TestTurnFrom(t *testing.T) {
	var g run.Group
	group := New(&g)
	began := time.Now()
	var first atomic.Int64
	beats := make(chan struct{}, 100)
	group.EveryAfter(60*time.Millisecond, 10*time.Millisecond, func() {
		first.CompareAndSwap(0, int64(time.Since(began)))
		beats <- struct{}{}
	})
	group.EveryAfter(time.Hour, time.Millisecond, func() { t.Error("an hour is over already") })
	g.Add(func() error {
		for range 3 {
			<-beats
		}
		return nil
	}, func(error) {})
	done := make(chan error)
	go func() { done <- g.Run() }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("it does not turn, or does not end with its group")
	}
	if at := time.Duration(first.Load()); at < 70*time.Millisecond {
		t.Errorf("the first turn came after %v", at)
	}
}
