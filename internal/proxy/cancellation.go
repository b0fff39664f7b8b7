package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"slateridge/internal/constants"
)

// cancellation closes an upstream connection when nobody waits for the request on it any
// more: its client has left, or has been answered by another upstream. It ends with its
// request, so that it never closes a connection that carries another by then.
type cancellation struct {
	conn net.Conn

	mu           sync.Mutex
	stopWatching func() bool // from the context of the client's request
	timer        *time.Timer // during the grace
	finished     bool
	closed       bool // the connection was closed here
}

// newCancellation has a connection closed so long after a context's end. Without a grace it is
// closed at once.
func newCancellation(ctx context.Context, conn net.Conn, grace time.Duration) *cancellation {
	c := &cancellation{conn: conn}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopWatching = context.AfterFunc(ctx, func() { c.startGrace(grace) })
	return c
}

// startGrace starts the grace.
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

// close closes the connection, unless the request has ended.
func (c *cancellation) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return
	}
	c.finished, c.closed = true, true
	c.conn.Close()
}

// finish is called when the request on the connection is over; false says that the connection
// was closed before. Nothing is closed after it. A nil cancellation closes nothing.
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

// cancelled says whether the connection was closed here.
func (c *cancellation) cancelled() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// cancelOnDisconnect ties an upstream connection to the client whose request it is about to carry.
// A stream would take its place for long, so it ends at once. A repeatable request is given
// a grace: most end within it, and their connection serves another. One that may run once
// is left to finish, since its answer settles what it has cost and whether it has run.
func (p *exchange) cancelOnDisconnect(conn *upstreamConn) {
	ctx := p.request.Context()
	switch {
	case p.route.Stream:
		conn.cancellation = newCancellation(ctx, conn.netConn, 0)
	case p.route.Idempotent:
		conn.cancellation = newCancellation(ctx, conn.netConn, constants.CancelGrace)
	}
}
