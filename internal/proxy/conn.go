package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"slateridge/internal/constants"
)

// upstreamConn is a connection to an upstream instance. It carries one request at a time, and
// is reused only after a complete, well-formed exchange without trailing bytes.
type upstreamConn struct {
	upstream    *Upstream
	netConn     net.Conn
	reader      *boundedReader
	buffered    *bufio.Reader
	exchanges   int
	idleAt      time.Time
	idleTimeout time.Duration

	cancellation *cancellation // of the current request; nil if the request must not be cancelled
}

// boundedReader limits how much may be read until a response's headers are complete.
type boundedReader struct {
	conn      net.Conn
	remaining int64
}

func (r *boundedReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errors.New("response headers too large")
	}
	if int64(len(b)) > r.remaining {
		b = b[:r.remaining]
	}
	n, err := r.conn.Read(b)
	r.remaining -= int64(n)
	return n, err
}

const unbounded = int64(1) << 62

var (
	errNoConnection  = errors.New("no usable connection to the upstream")
	errWrongAttempt  = errors.New("response belongs to another attempt")
	errUnframed      = errors.New("response has neither a content length nor chunked encoding")
	errRequestBody   = errors.New("client request body ended early")
	errInvalidStatus = errors.New("invalid response status")
)

func newUpstreamConn(u *Upstream, netConn net.Conn) *upstreamConn {
	reader := &boundedReader{conn: netConn}
	return &upstreamConn{upstream: u, netConn: netConn, reader: reader, buffered: bufio.NewReaderSize(reader, 4<<10), idleAt: time.Now(), idleTimeout: constants.UpstreamIdleTimeout}
}

// reusable reports whether the connection is open and has no unread data: bytes that arrive
// between requests do not belong to any request.
func (conn *upstreamConn) reusable() bool {
	if conn.buffered.Buffered() > 0 {
		return false
	}
	syscallConn, ok := conn.netConn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	conn.netConn.SetReadDeadline(time.Time{}) // clears the last request's deadline
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		empty = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && empty
}

// send writes a request. If sent is false, no byte was written.
func (conn *upstreamConn) send(head, body []byte, bodyRest io.Reader, chunked bool, deadline time.Time) (sent bool, err error) {
	conn.netConn.SetDeadline(deadline)
	n, err := conn.netConn.Write(append(head, body...))
	if err != nil {
		return n > 0, err
	}
	if bodyRest == nil {
		return true, nil
	}
	buf := make([]byte, 16<<10)
	for {
		n, readErr := bodyRest.Read(buf)
		if n > 0 {
			chunk := buf[:n]
			if chunked {
				chunk = append([]byte(strconv.FormatInt(int64(n), 16)+"\r\n"), append(chunk, '\r', '\n')...)
			}
			if _, err := conn.netConn.Write(chunk); err != nil {
				return true, err
			}
		}
		if readErr == io.EOF {
			if chunked {
				_, err = io.WriteString(conn.netConn, "0\r\n\r\n")
			}
			return true, err
		}
		if readErr != nil {
			return true, errors.Join(errRequestBody, readErr)
		}
	}
}

// readResponse reads the headers of the final response and skips informational responses. It
// returns an error if the status is invalid or the response belongs to another attempt.
func (conn *upstreamConn) readResponse(method, attempt string) (*http.Response, error) {
	for {
		conn.reader.remaining = constants.MaxHeaderBytes
		resp, err := http.ReadResponse(conn.buffered, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		conn.reader.remaining = unbounded
		switch code := resp.StatusCode; {
		case code < 100 || code > 599 || code == http.StatusSwitchingProtocols:
			// No request asks to switch protocols, and other numbers are not HTTP statuses:
			// the data that follows on the connection cannot be interpreted either.
			return nil, errInvalidStatus
		case code < 200:
			continue
		}
		ids := resp.Header[headerAttemptID]
		if attempt != "" && len(ids) == 0 && resp.StatusCode/100 == 2 {
			return nil, errWrongAttempt
		}
		for _, id := range ids {
			if id != attempt { // also if the request has none
				return nil, errWrongAttempt
			}
		}
		return resp, nil
	}
}

// unframed reports whether a body is delimited only by the end of its connection, so that a
// truncated body cannot be distinguished from a complete one.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// finishExchange ends a complete exchange, and keeps the connection for reuse where possible.
func (conn *upstreamConn) finishExchange(resp *http.Response) {
	conn.exchanges++
	if resp.Close || resp.ProtoMajor != 1 || resp.ProtoMinor < 1 || conn.buffered.Buffered() > 0 {
		conn.close()
		return
	}
	if timeout, ok := keepAliveTimeout(resp.Header); ok {
		conn.idleTimeout = max(timeout-constants.UpstreamIdleMargin, timeout/4)
	}
	conn.upstream.releaseConn(conn, true)
}

// close closes the connection.
func (conn *upstreamConn) close() { conn.upstream.closeConn(conn) }
