package proxy

import (
	"errors"
	"io"
	"os"
	"time"

	"slateridge/internal/constants"
)

// headerProgress is how far the headers of a connection's next request have come. Only the
// goroutine that serves the connection uses it.
type headerProgress struct {
	expected  bool      // the next bytes belong to a request's headers
	bytesRead int       // read so far
	startedAt time.Time // when they began to come; zero while the connection rests
}

// Headers may exceed their bound by what the server reads ahead: of another request, or of a
// body. Whole headers are measured to the byte when the request is matched.
const headerReadAhead = 4 << 10 // bytes

const headersTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\n" +
	"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
	"431 Request Header Fields Too Large"

// expectHeaders says whether the next bytes belong to a request's headers. On a new
// connection their time runs from now on, and on one that rests from their first byte.
func (c *clientConn) expectHeaders(expected, isNew bool) {
	c.header = headerProgress{expected: expected}
	if isNew {
		c.header.startedAt = time.Now()
	}
}

// readHeader reads headers of a request, within the bounds in force: one that changes
// meanwhile holds from then on.
func (c *clientConn) readHeader(b []byte) (int, error) {
	for {
		if due, bounded := c.headerDeadline(); bounded {
			c.SetReadDeadline(due)
		}
		n, err := c.TCPConn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if due, bounded := c.headerDeadline(); bounded && time.Now().Before(due) {
				continue // their time has been raised
			}
		}
		return c.countHeaderBytes(n, err)
	}
}

// headerDeadline is when the headers have to be here; false while the connection rests.
func (c *clientConn) headerDeadline() (due time.Time, bounded bool) {
	if c.header.startedAt.IsZero() {
		return time.Time{}, false
	}
	return c.header.startedAt.Add(orDefault(c.limits().HeaderTimeout, constants.HeaderTimeout)), true
}

// countHeaderBytes counts what was read, and refuses headers that are over their bound.
func (c *clientConn) countHeaderBytes(n int, err error) (int, error) {
	if n > 0 && c.header.startedAt.IsZero() {
		c.header.startedAt = time.Now()
	}
	c.header.bytesRead += n
	if c.header.bytesRead <= orDefault(c.limits().HeaderBytes, constants.HeaderBytes)+headerReadAhead {
		return n, err
	}
	c.rejectHeaders()
	return 0, io.EOF
}

// rejectHeaders answers headers that are too large. What the client still sends is read
// for a while and dropped: closing before would take the answer away from it.
func (c *clientConn) rejectHeaders() {
	c.SetWriteDeadline(time.Now().Add(constants.RefusalLinger))
	io.WriteString(c.TCPConn, headersTooLargeResponse)
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(constants.RefusalLinger))
	io.Copy(io.Discard, c.TCPConn)
}
