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

// Conn is one connection to one life of an upstream. It carries one request
// at a time, and another only after a whole, well-formed exchange that left
// nothing over.
type Conn struct {
	upstream *Upstream
	netConn  net.Conn
	reader   *boundedReader
	buffered *bufio.Reader
	used     int
	idleAt   time.Time
	idleFor  time.Duration

	cancellation *cancellation // of the request under way; nil where it runs to its end
}

// boundedReader bounds how much may be read before an answer's headers are whole.
type boundedReader struct {
	conn net.Conn
	left int64
}

func (m *boundedReader) Read(b []byte) (int, error) {
	if m.left <= 0 {
		return 0, errors.New("answer's headers too long")
	}
	if int64(len(b)) > m.left {
		b = b[:m.left]
	}
	n, err := m.conn.Read(b)
	m.left -= int64(n)
	return n, err
}

const unbounded = int64(1) << 62

var (
	errStale    = errors.New("connection no longer usable")
	errForeign  = errors.New("answer belongs to another request")
	errUnframed = errors.New("answer says neither its length nor its end")
	errUpload   = errors.New("the client's body broke off")
	errStatus   = errors.New("no status of an answer")
)

func newUpstreamConn(of *Upstream, c net.Conn) *Conn {
	m := &boundedReader{conn: c}
	return &Conn{upstream: of, netConn: c, reader: m, buffered: bufio.NewReaderSize(m, 4<<10), idleAt: time.Now(), idleFor: constants.IdleDefault}
}

// clean says whether the connection is open with nothing waiting on it: bytes
// that come while no request is out belong to no request.
func (conn *Conn) clean() bool {
	if conn.buffered.Buffered() > 0 {
		return false
	}
	sc, ok := conn.netConn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	conn.netConn.SetReadDeadline(time.Time{}) // that of the last request has no say here
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		quiet = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// send writes a request. sent false means that not one byte went out.
func (conn *Conn) send(head, body []byte, rest io.Reader, chunked bool, until time.Time) (sent bool, err error) {
	conn.netConn.SetDeadline(until)
	n, err := conn.netConn.Write(append(head, body...))
	if err != nil {
		return n > 0, err
	}
	if rest == nil {
		return true, nil
	}
	buf := make([]byte, 16<<10)
	for {
		n, rerr := rest.Read(buf)
		if n > 0 {
			out := buf[:n]
			if chunked {
				out = append([]byte(strconv.FormatInt(int64(n), 16)+"\r\n"), append(out, '\r', '\n')...)
			}
			if _, err := conn.netConn.Write(out); err != nil {
				return true, err
			}
		}
		if rerr == io.EOF {
			if chunked {
				_, err = io.WriteString(conn.netConn, "0\r\n\r\n")
			}
			return true, err
		}
		if rerr != nil {
			return true, errors.Join(errUpload, rerr)
		}
	}
}

// answer reads the answer's headers.
func (conn *Conn) answer(method, attempt string) (*http.Response, error) {
	for {
		conn.reader.left = constants.HeaderBytes
		resp, err := http.ReadResponse(conn.buffered, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		conn.reader.left = unbounded
		switch c := resp.StatusCode; {
		case c < 100 || c > 599 || c == http.StatusSwitchingProtocols:
			// Nothing was asked to switch, and other numbers are no statuses: what
			// follows on the connection cannot be told either.
			return nil, errStatus
		case c < 200:
			continue
		}
		got := resp.Header[headerAttemptID]
		if attempt != "" && len(got) == 0 && resp.StatusCode/100 == 2 {
			return nil, errForeign
		}
		for _, id := range got {
			if id != attempt { // also where the request has none
				return nil, errForeign
			}
		}
		return resp, nil
	}
}

// unframed says that a body goes on until its connection ends: one that was cut looks
// like one that is whole.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// exhausted ends a whole exchange: the connection is kept when nothing speaks
// against it.
func (conn *Conn) exhausted(resp *http.Response) {
	conn.used++
	if resp.Close || resp.ProtoMajor != 1 || resp.ProtoMinor < 1 || conn.buffered.Buffered() > 0 {
		conn.drop()
		return
	}
	if s, ok := keepAliveTimeout(resp.Header); ok {
		conn.idleFor = max(s-constants.IdleSafety, s/4)
	}
	conn.upstream.keep(conn, true)
}

// drop closes the connection.
func (conn *Conn) drop() { conn.upstream.drop(conn) }
