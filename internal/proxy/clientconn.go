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

// clientConn is a connection of a client. The HTTP server ends the context of a request when
// it reads the end of the connection, but it doesn't read while the client's next request
// waits, or while a body is being passed on. During those times the socket is looked at.
// It also bounds a request's headers and the time that they take, by the configuration that
// is in force while they are read.
type clientConn struct {
	*net.TCPConn
	cancelRequests context.CancelFunc // ends the contexts of the connection's requests
	limits         func() config.Limits
	header         headerProgress

	mu          sync.Mutex
	handling    bool        // a request is being handled
	reading     bool        // a read is under way: it notices the end by itself
	hangupTimer *time.Timer // to the next look; nil before the first
}

// clientConnKey is the key of a request's *clientConn in its context.
type clientConnKey struct{}

// clientContext is the context of all requests on a connection.
func clientContext(ctx context.Context, c net.Conn) context.Context {
	conn, ok := c.(*clientConn)
	if !ok {
		return ctx
	}
	ctx, conn.cancelRequests = context.WithCancel(context.WithValue(ctx, clientConnKey{}, conn))
	return ctx
}

// clientConnFrom is the connection that a request came on, or nil where it isn't known.
func clientConnFrom(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return conn
}

// wrapClientConn makes a clientConn of a TCP connection, and leaves others as they are.
func wrapClientConn(c net.Conn, limits func() config.Limits) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return &clientConn{TCPConn: tcp, limits: limits}
	}
	return c
}

// Read reads what the client has sent.
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

// setHandling marks the beginning and the end of a request's handling. On nil it does nothing.
func (c *clientConn) setHandling(handling bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = handling
	c.scheduleCheckLocked()
}

// busy says whether a request is being handled.
func (c *clientConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handling
}

// scheduleCheckLocked sets the timer to the next look, or stops it where none is needed.
func (c *clientConn) scheduleCheckLocked() {
	switch {
	case !c.handling || c.reading:
		if c.hangupTimer != nil {
			c.hangupTimer.Stop()
		}
	case c.hangupTimer == nil:
		c.hangupTimer = time.AfterFunc(constants.HangupLook, c.checkHangup)
	default:
		c.hangupTimer.Reset(constants.HangupLook)
	}
}

// checkHangup ends the requests of a client that has hung up.
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

// hungUp asks the socket whether the client has closed its end, or both, behind whatever it
// sent before. On nil it is false.
func (c *clientConn) hungUp() bool {
	if c == nil {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	raw.Control(func(fd uintptr) {
		ask := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(ask, 0)
		gone = err == nil && n > 0 && ask[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone
}
