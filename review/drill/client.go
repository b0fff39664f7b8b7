package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	err      error // the connection ended without a complete answer
	sentAt   time.Time
	answered time.Time
}

// clientConn is a client's connection to a proxy.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(addr string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request formats a request.
func request(method, host, path, id, key string, budget time.Duration, body string) string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Slateridge-Attempt-Id: %s\r\nX-Slateridge-Time-Budget-Ms: %d\r\n", method, path, host, id, budget.Milliseconds())
	if key != "" {
		s += "X-Api-Key: " + key + "\r\n"
	}
	if method == "POST" {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return s + "\r\n" + body
}

// do sends a request and reads its answer.
func (c *clientConn) do(raw, method string, limit time.Duration) answer {
	a := answer{sentAt: time.Now()}
	c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c.conn, raw); err != nil {
		a.err, a.answered = err, time.Now()
		return a
	}
	return c.read(a, method)
}

// read reads the answer to a request that has been sent.
func (c *clientConn) read(a answer, method string) answer {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil {
		a.status, a.header = resp.StatusCode, resp.Header
		a.body, err = io.ReadAll(resp.Body)
	}
	a.err, a.answered = err, time.Now()
	if err == nil && resp.Close {
		c.conn.Close()
		c.conn = nil
	}
	return a
}

func (c *clientConn) close() {
	if c != nil && c.conn != nil {
		c.conn.Close()
	}
}

// sealed reports whether an answer is a success with its seal and its whole body.
func (a answer) sealed(id string) bool {
	return a.err == nil && a.status == 200 && strings.HasSuffix(a.header.Get("X-Slateridge-Response-Seal"), "."+id) && strings.Contains(string(a.body), " to "+id+", ")
}
