package proxy

import (
	"errors"
	"io"
	"os"
	"time"

	"slateridge/internal/constants"
)

// headerProgress tracks the reading of the next request's headers on a connection. Only the
// goroutine that serves the connection uses it.
type headerProgress struct {
	expected  bool      // the next bytes belong to a request's headers
	bytesRead int       // header bytes read so far
	startedAt time.Time // when the header time limit began to run; zero while the connection is idle
}

// headerReadAhead is by how much the byte count may exceed the header limit, since the server
// reads ahead into a body or a pipelined request. The exact size of complete headers is
// checked when the request is matched.
const headerReadAhead = 4 << 10 // bytes

const headersTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\n" +
	"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
	"431 Request Header Fields Too Large"

// expectHeaders sets whether the next bytes belong to a request's headers. Their time limit
// runs from now on a new connection, and from the first byte on an idle one.
func (c *clientConn) expectHeaders(expected, isNew bool) {
	c.header = headerProgress{expected: expected}
	if isNew {
		c.header.startedAt = time.Now()
	}
}

// readHeader reads request headers within the limits in force. A limit that changes while
// headers are being read applies at once.
func (c *clientConn) readHeader(b []byte) (int, error) {
	for {
		if deadline, bounded := c.headerDeadline(); bounded {
			c.SetReadDeadline(deadline)
		}
		n, err := c.TCPConn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if deadline, bounded := c.headerDeadline(); bounded && time.Now().Before(deadline) {
				continue // the time limit was raised while waiting
			}
		}
		return c.countHeaderBytes(n, err)
	}
}

// headerDeadline returns when the headers must be complete. It returns false while the
// connection is idle.
func (c *clientConn) headerDeadline() (deadline time.Time, bounded bool) {
	if c.header.startedAt.IsZero() {
		return time.Time{}, false
	}
	return c.header.startedAt.Add(orDefault(c.limits().HeaderTimeout, constants.HeaderTimeout)), true
}

// countHeaderBytes counts bytes read, and rejects headers that exceed the size limit.
func (c *clientConn) countHeaderBytes(n int, err error) (int, error) {
	if n > 0 && c.header.startedAt.IsZero() {
		c.header.startedAt = time.Now()
	}
	c.header.bytesRead += n
	if c.header.bytesRead <= orDefault(c.limits().MaxHeaderBytes, constants.MaxHeaderBytes)+headerReadAhead {
		return n, err
	}
	c.rejectHeaders()
	return 0, io.EOF
}

// rejectHeaders responds to oversized headers with 431. It then discards what the client
// still sends for up to RefusalLinger: closing with unread data would reset the connection
// and could destroy the response.
func (c *clientConn) rejectHeaders() {
	c.SetWriteDeadline(time.Now().Add(constants.RefusalLinger))
	io.WriteString(c.TCPConn, headersTooLargeResponse)
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(constants.RefusalLinger))
	io.Copy(io.Discard, c.TCPConn)
}
