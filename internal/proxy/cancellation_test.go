package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// closedAfter waits for a connection's other end to be closed.
func closedAfter(c net.Conn, wait time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err != nil && !(ok && timeout.Timeout())
}

// A connection is closed once after its grace, and never after its request has ended,
// whichever comes first.
func TestCancellationEndsWithItsRequest(t *testing.T) {
	const grace = 30 * time.Millisecond
	for name, c := range map[string]struct {
		grace, endAfter time.Duration // of the client's leaving; the request's end
		leaves, closes  bool
	}{
		"the client stays":       {grace, 0, false, false},
		"ends inside the grace":  {grace, 5 * time.Millisecond, true, false},
		"ends after the grace":   {grace, 500 * time.Millisecond, true, true},
		"no grace":               {0, 500 * time.Millisecond, true, true},
		"ended before it leaves": {grace, -1, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			ours, theirs := net.Pipe()
			defer ours.Close()
			defer theirs.Close()
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			cancellation := cancelAfter(ctx, ours, c.grace)
			if c.endAfter < 0 {
				cancellation.end()
			}
			if c.leaves {
				leave()
			}
			time.Sleep(max(0, c.endAfter))
			whole := cancellation.end()
			if whole == c.closes || cancellation.cancelled() != c.closes {
				t.Errorf("ended whole %v, cancelled %v; want closed %v", whole, cancellation.cancelled(), c.closes)
			}
			if closedAfter(theirs, 3*grace) != c.closes {
				t.Errorf("closed %v, want %v", !c.closes, c.closes)
			}
		})
	}
}

// Runs end at all moments around the end of the grace: the connections that are put by
// then serve others whole, those of a cancelled run are closed and counted as such.
func TestLateCancellationHitsNoOtherRequest(t *testing.T) {
	u := newWorkingUpstream(t, "", "")
	instance := u.instance("i-1", 40)
	d, front := newTestDaemon(t, instance)
	d.pool.connCap = func(string) int { return 100 }
	for range 3 {
		before := len(u.seen())
		var clients []net.Conn
		for i := range 40 {
			client := connectTo(t, front)
			work := constants.CancelGrace + time.Duration(i-20)*time.Millisecond/2
			io.WriteString(client, clientRequest("GET", "/safe/"+work.String(), fmt.Sprint("c", i), 0))
			clients = append(clients, client)
		}
		awaitArrivals(t, before+40, u)
		for _, client := range clients {
			client.Close()
		}
		time.Sleep(constants.CancelGrace - 30*time.Millisecond)
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				for end := time.Now().Add(80 * time.Millisecond); time.Now().Before(end); {
					if status, _, err := fetchResponse(front, "POST", "/once/3ms"); status != http.StatusOK || err != nil {
						t.Errorf("beside the cancelled: %d %v", status, err)
					}
				}
			})
		}
		wg.Wait()
		awaitEnds(t, u)
	}
	for d.pool.Outstanding("svc") > 0 {
		time.Sleep(time.Millisecond)
	}
	if open, idle := connsOpen(d.Proxy); open != idle {
		t.Errorf("%d connections are reckoned as open, %d are at rest", open, idle)
	}
}

// BenchmarkCancellation is what a request pays for one that is not needed.
func BenchmarkCancellation(b *testing.B) {
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	connection, leave := context.WithCancel(context.Background())
	defer leave()
	b.ReportAllocs()
	for b.Loop() {
		ctx, done := context.WithCancel(connection) // as the HTTP server makes one for each request
		cancellation := cancelAfter(ctx, ours, constants.CancelGrace)
		cancellation.end()
		done()
	}
}
