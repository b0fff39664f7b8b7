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

// A delayed task does not run before its delay, then runs once every interval, and stops
// with the group even if its delay has not passed.
func TestEveryAfter(t *testing.T) {
	var g run.Group
	group := New(&g)
	start := time.Now()
	var first atomic.Int64
	ticks := make(chan struct{}, 100)
	group.EveryAfter(60*time.Millisecond, 10*time.Millisecond, func() {
		first.CompareAndSwap(0, int64(time.Since(start)))
		ticks <- struct{}{}
	})
	group.EveryAfter(time.Hour, time.Millisecond, func() { t.Error("the task with a delay of an hour was run") })
	g.Add(func() error {
		for range 3 {
			<-ticks
		}
		return nil
	}, func(error) {})
	done := make(chan error)
	go func() { done <- g.Run() }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the task is not run, or does not stop with its group")
	}
	if at := time.Duration(first.Load()); at < 70*time.Millisecond {
		t.Errorf("the first run came after %v", at)
	}
}

// A client that stalls while sending its request, or does not read the response, is
// disconnected after the timeout.
func TestStalledClientsAreDisconnected(t *testing.T) {
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
		"stalled request body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx",
		"response is not read": "GET /endless HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var g run.Group
			New(&g).serveWithTimeout(listener, handler, timeout)
			stop := make(chan struct{})
			g.Add(func() error { <-stop; return nil }, func(error) {})
			go g.Run()
			defer close(stop)
			client, err := net.Dial("tcp4", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			fmt.Fprint(client, request)
			select {
			case err := <-ended:
				if err == nil {
					t.Error("the request was served completely")
				}
			case <-time.After(5 * time.Second):
				t.Error("the connection is still open after the timeout")
			}
		})
	}
}
