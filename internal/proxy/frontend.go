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

// frontend accepts client connections and serves requests on them. The client limits of the
// configuration in force apply to every connection, including those opened under an earlier
// configuration.
type frontend struct {
	listener net.Listener
	server   *http.Server
	limits   func() config.Limits
	overlap  time.Duration // how long the previous idle timeout stays in force after it was lowered

	mu           sync.Mutex
	conns        map[net.Conn]time.Time // start of the idle period; zero while a request is in progress
	idleTimeout  time.Duration          // last configured value seen
	previousIdle replacedTimeout        // the value before it, if that was longer
	closed       bool
	done         chan struct{} // closed by close
	closeOnce    sync.Once
}

// replacedTimeout is an idle timeout that a shorter one has replaced.
type replacedTimeout struct {
	timeout    time.Duration
	replacedAt time.Time
}

// newFrontend returns a frontend for a listener. A client may rely on the previous configuration
// for up to configApply after the new one was acknowledged.
func newFrontend(listener net.Listener, handler http.Handler, limits func() config.Limits, configApply time.Duration) *frontend {
	f := &frontend{listener: listener, limits: limits, overlap: configApply, conns: map[net.Conn]time.Time{}, done: make(chan struct{})}
	// Each clientConn enforces the limits on header size and header read time.
	f.server = &http.Server{
		Handler:                      handler,
		ConnState:                    f.onConnState,
		ConnContext:                  clientContext,
		MaxHeaderBytes:               math.MaxInt32,
		ErrorLog:                     log.New(io.Discard, "", 0),
		DisableGeneralOptionsHandler: true,
	}
	return f
}

// Accept waits for the next client connection, until the frontend is closed.
func (f *frontend) Accept() (net.Conn, error) {
	for {
		accepted, err := f.listener.Accept()
		if err == nil {
			return wrapClientConn(accepted, f.limits), nil
		}
		if f.isClosed() {
			return nil, net.ErrClosed
		}
		time.Sleep(constants.AcceptRetryDelay) // out of file descriptors, or the connection was aborted before it was accepted
	}
}

// Close closes the listener. With Accept and Addr it makes the frontend a net.Listener.
func (f *frontend) Close() error { return f.listener.Close() }

// Addr returns the listener's address.
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

// serve serves connections, and returns only after close has been called. If it returned
// while requests are in flight, the run group would end the process and abort them.
func (f *frontend) serve() error {
	f.server.Serve(f)
	<-f.done
	return nil
}

// onConnState is the server's ConnState hook.
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

// idleTimeoutLocked returns the idle timeout in force. After the timeout was lowered, the
// longer value stays in force while clients may still rely on it.
func (f *frontend) idleTimeoutLocked(now time.Time) time.Duration {
	overlaps := now.Sub(f.previousIdle.replacedAt) < f.overlap
	current := orDefault(f.limits().IdleTimeout, constants.IdleTimeout)
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

// closeIdle closes connections that have exceeded the idle timeout by IdleCloseMargin. The margin
// lets the client close first: a request that is under way when the proxy closes is lost.
func (f *frontend) closeIdle(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	timeout := f.idleTimeoutLocked(now)
	for c, idleSince := range f.conns {
		if conn, ok := c.(*clientConn); ok && conn.busy() {
			continue // a pipelined request does not change the server's connection state
		}
		if !idleSince.IsZero() && now.Sub(idleSince) > timeout+constants.IdleCloseMargin {
			delete(f.conns, c)
			c.Close()
		}
	}
}

// drain stops accepting connections, and returns when all requests in flight have ended or
// ctx is done.
func (f *frontend) drain(ctx context.Context) {
	f.stopAccepting()
	f.server.Shutdown(ctx)
}

// close closes the listener and all connections, and makes serve return.
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
