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

// closedWithin reports whether a connection's other end is closed within a time.
func closedWithin(c net.Conn, wait time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err != nil && !(ok && timeout.Timeout())
}

// A connection is closed when the grace period after a disconnect ends, but not if its
// request has finished before.
func TestCancellationStopsWhenRequestFinishes(t *testing.T) {
	const grace = 30 * time.Millisecond
	for name, c := range map[string]struct {
		grace, endAfter     time.Duration // grace period; time from the disconnect to the end of the request, negative if before
		disconnects, closed bool
	}{
		"client stays":                 {grace, 0, false, false},
		"ends within the grace period": {grace, 5 * time.Millisecond, true, false},
		"ends after the grace period":  {grace, 500 * time.Millisecond, true, true},
		"no grace period":              {0, 500 * time.Millisecond, true, true},
		"ended before the disconnect":  {grace, -1, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := net.Pipe()
			defer conn.Close()
			defer peer.Close()
			ctx, disconnect := context.WithCancel(context.Background())
			defer disconnect()
			cancellation := newCancellation(ctx, conn, c.grace)
			if c.endAfter < 0 {
				cancellation.finish()
			}
			if c.disconnects {
				disconnect()
			}
			time.Sleep(max(0, c.endAfter))
			finishedNormally := cancellation.finish()
			if finishedNormally == c.closed || cancellation.cancelled() != c.closed {
				t.Errorf("finished normally %v, cancelled %v; want closed %v", finishedNormally, cancellation.cancelled(), c.closed)
			}
			if closedWithin(peer, 3*grace) != c.closed {
				t.Errorf("closed %v, want %v", !c.closed, c.closed)
			}
		})
	}
}

// Requests finish at moments spread around the end of the grace period. Connections that are
// returned to the pool then serve other requests without errors, and those of cancelled
// requests are closed and no longer counted as open.
func TestLateCancellationDoesNotCloseReusedConnection(t *testing.T) {
	u := newSlowUpstream(t, "", "")
	instance := u.instance("i-1", 40)
	d, front := newTestDaemon(t, instance)
	d.pool.connCap = func(string) int { return 100 }
	for range 3 {
		before := len(u.recordedRuns())
		var clients []net.Conn
		for i := range 40 {
			client := dialFrontend(t, front)
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
						t.Errorf("request next to cancelled ones: %d %v", status, err)
					}
				}
			})
		}
		wg.Wait()
		awaitRunsEnded(t, u)
	}
	for d.pool.Outstanding("svc") > 0 {
		time.Sleep(time.Millisecond)
	}
	if open, idle := connCounts(d.Proxy); open != idle {
		t.Errorf("%d connections are counted as open, %d are idle", open, idle)
	}
}

// BenchmarkCancellation measures the cost of a cancellation that never fires.
func BenchmarkCancellation(b *testing.B) {
	conn, peer := net.Pipe()
	defer conn.Close()
	defer peer.Close()
	connection, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	b.ReportAllocs()
	for b.Loop() {
		ctx, done := context.WithCancel(connection) // as the HTTP server creates for each request
		cancellation := newCancellation(ctx, conn, constants.CancelGrace)
		cancellation.finish()
		done()
	}
}
