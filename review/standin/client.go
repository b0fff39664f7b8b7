package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Attempt is one attempt of a client request.
type Attempt struct {
	id, host, uri, method, key string
	body                       []byte
	chunked                    bool
	budget                     time.Duration
	header                     string // additional header lines
}

// Response is the outcome of an attempt.
type Response struct {
	status  int
	header  http.Header
	body    []byte
	err     error
	elapsed time.Duration
	closed  bool // the connection can't be reused
}

var errNotConnected = errors.New("no connection")

// Client keeps at most one connection to a proxy and reuses it between attempts.
type Client struct {
	addr string
	conn net.Conn
	br   *bufio.Reader
}

func newAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (t *Attempt) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Slateridge-Attempt-Id: %s\r\nX-Slateridge-Time-Budget-Ms: %d\r\n", t.method, t.uri, t.host, t.id, t.budget.Milliseconds())
	if t.key != "" {
		fmt.Fprintf(&b, "X-Api-Key: %s\r\n", t.key)
	}
	b.WriteString(t.header)
	switch {
	case t.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := t.body; len(rest) > 0; {
			n := min(len(rest), 1+rand.IntN(9000))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		b.WriteString("0\r\n\r\n")
	case len(t.body) > 0 || t.method == "POST":
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(t.body))
		b.Write(t.body)
	default:
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// do sends an attempt and reads the response.
func (c *Client) do(t *Attempt) (a Response) {
	started := time.Now()
	defer func() { a.elapsed = time.Since(started) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.addr, time.Second)
		if err != nil {
			return Response{err: errNotConnected, closed: true}
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(started.Add(t.budget + 2*time.Second))
	fail := func(err error) Response {
		c.close()
		return Response{err: err, closed: true}
	}
	if _, err := c.conn.Write(t.bytes()); err != nil {
		return fail(err)
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: t.method})
	if err != nil {
		return fail(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a := fail(err)
		a.status = resp.StatusCode
		return a
	}
	a = Response{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
		c.close()
		a.closed = true
	}
	return a
}

func (c *Client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
