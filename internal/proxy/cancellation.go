package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"slateridge/internal/constants"
)

// cancellation closes an upstream connection when the response to the request on it is no
// longer needed: the client has disconnected, or another upstream has responded. It is
// finished together with its request, so that it never closes a connection that already
// carries another request.
type cancellation struct {
	conn net.Conn

	mu           sync.Mutex
	stopWatching func() bool // unregisters from the request's context
	timer        *time.Timer // set during the grace period
	finished     bool
	closed       bool // the connection was closed by this cancellation
}

// newCancellation arranges for a connection to be closed a grace period after ctx is done, or
// immediately if the grace period is zero.
func newCancellation(ctx context.Context, conn net.Conn, grace time.Duration) *cancellation {
	c := &cancellation{conn: conn}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopWatching = context.AfterFunc(ctx, func() { c.startGrace(grace) })
	return c
}

// startGrace closes the connection after the grace period.
func (c *cancellation) startGrace(grace time.Duration) {
	if grace <= 0 {
		c.close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.finished {
		c.timer = time.AfterFunc(grace, c.close)
	}
}

// close closes the connection, unless the request has finished.
func (c *cancellation) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return
	}
	c.finished, c.closed = true, true
	c.conn.Close()
}

// finish is called when the request on the connection is over. The connection is not closed
// after that; finish returns false if it was closed before. On a nil receiver it returns true.
func (c *cancellation) finish() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.finished {
		c.finished = true
		c.stopWatching()
		if c.timer != nil {
			c.timer.Stop()
		}
	}
	return !c.closed
}

// cancelled reports whether this cancellation closed the connection.
func (c *cancellation) cancelled() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// cancelOnDisconnect sets up cancellation for the request that conn is about to carry. A
// stream is cancelled at once, since it would occupy its slot for long. An idempotent request
// is cancelled after a grace period: most finish within it, and their connection can be
// reused. A non-idempotent request is never cancelled, since its response determines its cost
// and whether it ran.
func (p *exchange) cancelOnDisconnect(conn *upstreamConn) {
	ctx := p.request.Context()
	switch {
	case p.route.Streaming:
		conn.cancellation = newCancellation(ctx, conn.netConn, 0)
	case p.route.Idempotent:
		conn.cancellation = newCancellation(ctx, conn.netConn, constants.CancelGrace)
	}
}
