package rungroup

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// A caller that stands still inside its request, or takes nothing of its answer, is let go
// of after a time.
func TestCallersThatStandStillAreLetGo(t *testing.T) {
	const timeout = 200 * time.Millisecond
	ended := make(chan error, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		for err == nil && r.URL.Path == "/endless" {
			_, err = io.WriteString(w, strings.Repeat("x", 1<<16))
		}
		ended <- err
	})
	for name, request := range map[string]string{
		"body doesn't come":     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx",
		"answer isn't taken in": "GET /endless HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var g run.Group
			New(&g).serveWithin(listener, handler, timeout)
			stop := make(chan struct{})
			g.Add(func() error { <-stop; return nil }, func(error) {})
			go g.Run()
			defer close(stop)
			caller, err := net.Dial("tcp4", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			fmt.Fprint(caller, request)
			select {
			case err := <-ended:
				if err == nil {
					t.Error("it was served whole")
				}
			case <-time.After(5 * time.Second):
				t.Error("it is held for ever")
			}
		})
	}
}
