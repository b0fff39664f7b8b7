package proxy

import (
	"context"
	"io"
	"log"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
)

// frontend is the frontend's entry: it accepts connections and serves requests on them. A
// connection goes by the client bounds of the configuration in force, also when it was
// opened under others.
type frontend struct {
	listener net.Listener
	server   *http.Server
	limits   func() config.Limits
	overlap  time.Duration // after a bound was lowered, clients may go by the one before

	mu           sync.Mutex
	conns        map[net.Conn]time.Time // since when it has rested; zero while a request is under way
	idleTimeout  time.Duration          // idle bound seen last
	previousIdle replacedTimeout        // the one before, when that was longer
	closed       bool
	done         chan struct{} // closed when all is over
	closeOnce    sync.Once
}

// replacedTimeout is an idle bound that a shorter one has replaced.
type replacedTimeout struct {
	timeout    time.Duration
	replacedAt time.Time
}

// newFrontend makes a frontend; a configuration is known to clients configApply after it
// was acknowledged.
func newFrontend(l net.Listener, h http.Handler, limits func() config.Limits, configApply time.Duration) *frontend {
	f := &frontend{listener: l, limits: limits, overlap: configApply, conns: map[net.Conn]time.Time{}, done: make(chan struct{})}
	// The bounds on headers and their time are kept by each clientConn.
	f.server = &http.Server{
		Handler:                      h,
		ConnState:                    f.onConnState,
		ConnContext:                  clientContext,
		MaxHeaderBytes:               math.MaxInt32,
		ErrorLog:                     log.New(io.Discard, "", 0),
		DisableGeneralOptionsHandler: true,
	}
	return f
}

// Accept waits for the next connection of a client, until the frontend is closed.
func (f *frontend) Accept() (net.Conn, error) {
	for {
		accepted, err := f.listener.Accept()
		if err == nil {
			return wrapClientConn(accepted, f.limits), nil
		}
		if f.isClosed() {
			return nil, net.ErrClosed
		}
		time.Sleep(constants.AcceptPause) // out of descriptors, or a connection that ended early
	}
}

// Close closes the listener.
func (f *frontend) Close() error { return f.listener.Close() }

// Addr is the listener's address.
func (f *frontend) Addr() net.Addr { return f.listener.Addr() }

func (f *frontend) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

func orDefault[T int | time.Duration](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}

// serve accepts until the listener is closed, and returns only when the frontend
// is: were it to return while requests are in flight, the process's group
// would end and cut them.
func (f *frontend) serve() error {
	f.server.Serve(f)
	<-f.done
	return nil
}

// onConnState follows a connection's state.
func (f *frontend) onConnState(c net.Conn, state http.ConnState) {
	if client, ok := c.(*clientConn); ok {
		client.expectHeaders(state == http.StateNew || state == http.StateIdle, state == http.StateNew)
	}
	f.setConnState(c, state, time.Now())
}

func (f *frontend) setConnState(c net.Conn, state http.ConnState, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		f.conns[c] = time.Time{}
	case http.StateIdle:
		f.conns[c] = now
	default:
		delete(f.conns, c)
	}
}

// idleTimeoutLocked is how long a connection may rest now: for as long as the configuration
// in force says, or the one before, as long as clients may not know of a lowered bound.
func (f *frontend) idleTimeoutLocked(now time.Time) time.Duration {
	overlaps := now.Sub(f.previousIdle.replacedAt) < f.overlap
	current := orDefault(f.limits().IdleTime, constants.IdleTimeout)
	if current < f.idleTimeout {
		if !overlaps || f.idleTimeout > f.previousIdle.timeout {
			f.previousIdle.timeout = f.idleTimeout
		}
		f.previousIdle.replacedAt, overlaps = now, f.overlap > 0
	}
	f.idleTimeout = current
	if overlaps {
		return max(current, f.previousIdle.timeout)
	}
	return current
}

// closeIdle closes connections that have rested for longer than they may. They are kept a
// little longer still, so that it is the client that ends them.
func (f *frontend) closeIdle(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	bound := f.idleTimeoutLocked(now)
	for c, idleSince := range f.conns {
		if conn, ok := c.(*clientConn); ok && conn.busy() {
			continue // a request that was sent ahead changes no state of the server's
		}
		if !idleSince.IsZero() && now.Sub(idleSince) > bound+constants.IdleSpare {
			delete(f.conns, c)
			c.Close()
		}
	}
}

// drain stops accepting, and returns when all requests in flight have ended or
// the time is over.
func (f *frontend) drain(ctx context.Context) {
	f.stopAccepting()
	f.server.Shutdown(ctx)
}

// close ends all at once.
func (f *frontend) close() {
	defer f.closeOnce.Do(func() { close(f.done) })
	f.stopAccepting()
	f.server.Close()
}

func (f *frontend) stopAccepting() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.listener.Close()
}
