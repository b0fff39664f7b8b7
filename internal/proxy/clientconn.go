package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"slateridge/internal/config"
	"slateridge/internal/constants"
)

// clientConn is a client's connection. The HTTP server cancels a request's context when it
// reads the end of the connection, but it does not read while a pipelined request waits or
// while a body is being forwarded. During those times clientConn polls the socket for a
// hangup. It also limits the size of request headers and the time to read them, by the
// configuration in force while they are read.
type clientConn struct {
	*net.TCPConn
	cancelRequests context.CancelFunc // cancels the contexts of all requests on the connection
	limits         func() config.Limits
	header         headerProgress

	mu          sync.Mutex
	handling    bool        // a request is being handled
	reading     bool        // a read is in progress, which detects the end of the connection by itself
	hangupTimer *time.Timer // for the next hangup check; nil before the first
}

// clientConnKey is the context key of a request's *clientConn.
type clientConnKey struct{}

// clientContext returns the base context of all requests on a connection.
func clientContext(ctx context.Context, c net.Conn) context.Context {
	conn, ok := c.(*clientConn)
	if !ok {
		return ctx
	}
	ctx, conn.cancelRequests = context.WithCancel(context.WithValue(ctx, clientConnKey{}, conn))
	return ctx
}

// clientConnFrom returns the connection that a request arrived on, or nil if unknown.
func clientConnFrom(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return conn
}

// wrapClientConn wraps a TCP connection in a clientConn, and returns other connections
// unchanged.
func wrapClientConn(c net.Conn, limits func() config.Limits) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return &clientConn{TCPConn: tcp, limits: limits}
	}
	return c
}

// Read reads from the client, within the header limits while headers are expected.
func (c *clientConn) Read(b []byte) (int, error) {
	c.setReading(true)
	defer c.setReading(false)
	if c.header.expected {
		return c.readHeader(b)
	}
	return c.TCPConn.Read(b)
}

func (c *clientConn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.scheduleCheckLocked()
}

// setHandling marks the beginning and the end of a request's handling. On a nil receiver it
// does nothing.
func (c *clientConn) setHandling(handling bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = handling
	c.scheduleCheckLocked()
}

// busy reports whether a request is being handled.
func (c *clientConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handling
}

// scheduleCheckLocked schedules the next hangup check, or stops the timer if none is needed.
func (c *clientConn) scheduleCheckLocked() {
	switch {
	case !c.handling || c.reading:
		if c.hangupTimer != nil {
			c.hangupTimer.Stop()
		}
	case c.hangupTimer == nil:
		c.hangupTimer = time.AfterFunc(constants.HangupCheckInterval, c.checkHangup)
	default:
		c.hangupTimer.Reset(constants.HangupCheckInterval)
	}
}

// checkHangup cancels the requests of a client that has hung up.
func (c *clientConn) checkHangup() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handling || c.reading {
		return
	}
	if c.hungUp() {
		c.cancelRequests()
		return
	}
	c.scheduleCheckLocked()
}

// hungUp polls the socket and reports whether the client has closed its sending side or the
// whole connection, even if data sent before is still unread. On a nil receiver it returns
// false.
func (c *clientConn) hungUp() bool {
	if c == nil {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}
