package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// recordedConn is a connection on which the upstream has sent some bytes and then closed.
type recordedConn struct {
	net.Conn // nil: calling any other method panics
	r        io.Reader
	closed   bool
}

func (c *recordedConn) Read(b []byte) (int, error)  { return c.r.Read(b) }
func (c *recordedConn) Write(b []byte) (int, error) { return len(b), nil }
func (c *recordedConn) Close() error                { c.closed = true; return nil }
func (c *recordedConn) SetDeadline(time.Time) error { return nil }

// FuzzUpstreamAnswer makes the proxy read arbitrary bytes as the response to a request, on a
// connection that has carried other requests. The client must receive a 2xx only if the
// response belongs to this request, is sealed and is complete; no other content may be
// relayed without the request's attempt ID; and the connection may be reused only if no
// bytes are left on it.
func FuzzUpstreamAnswer(f *testing.F) {
	const id, seal = "X-Slateridge-Attempt-Id: id-1\r\n", "X-Slateridge-Response-Seal: s\r\n"
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\n" + id + seal + "Content-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\n" + id + seal + "Content-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + id + seal + "Content-Length: 3\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\n" + id + seal + "\r\nhi",
		"HTTP/1.1 200 OK\r\n" + id + seal + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n0\r\nTrail: er\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + id + seal + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
		"HTTP/1.1 200 OK\r\n" + id + seal + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n" + id + seal + "Keep-Alive: timeout=5\r\n\r\n",
		"HTTP/1.0 200 OK\r\n" + id + seal + "Connection: Keep-Alive, X-Slateridge-Response-Seal\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 503 Full\r\nX-Slateridge-Not-Executed: 1\r\nX-Slateridge-Instance-Load: 1,2,3\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Misdirected\r\n" + id + "X-Slateridge-Instance-Id: i-2\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 500 Oops\r\nX-Slateridge-Attempt-Id: id-2\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nother",
		"HTTP/1.1 101 Switching Protocols\r\n" + id + "Upgrade: x\r\n\r\n",
		"HTTP/1.1 042 Odd\r\n" + id + "\r\n",
		"HTTP/1.1 777 Odd\r\n" + id + "\r\n",
		"no answer at all\r\n\r\n", "HTTP/1.1 200\r\n", "",
	} {
		f.Add([]byte(s), false, "POST")
		f.Add([]byte(s), true, "HEAD")
	}
	f.Fuzz(func(t *testing.T, data []byte, stream bool, method string) {
		s := newProxy(t)
		u := &Upstream{pool: s.pool, active: map[*placement]time.Time{}, conns: 1}
		u.instance.ID, u.instance.Slots = "i-1", 2
		s.pool.upstreams["i-1"] = u
		s.pool.byService["svc"] = []*Upstream{u}
		c := &recordedConn{r: bytes.NewReader(data)}
		conn := newUpstreamConn(u, c)
		conn.exchanges = 1
		path := map[bool]string{true: "/flow/", false: "/once/"}[stream]
		if method != "HEAD" && method != "GET" {
			method = "POST"
		}
		r := httptest.NewRequest(method, path, nil)
		r.RequestURI, r.Host = path, "h.example"
		r.Header.Set(headerAttemptID, "id-1")
		cfg := s.config.Load()
		p := &exchange{proxy: s, request: r, arrived: time.Now(), deadline: time.Now().Add(time.Minute), config: cfg, route: cfg.Match("h.example", path), service: "svc", allowedRegions: anyRegion}
		place := s.pool.Place(p.target(), nil)
		if place == nil {
			t.Fatal("no upstream with capacity")
		}
		p.cancelOnDisconnect(conn)
		res := p.readResponse(place, conn, "id-1", time.Now())
		p.countAttempt(res)
		w, aborted := httptest.NewRecorder(), false
		func() {
			defer func() {
				if e := recover(); e == http.ErrAbortHandler {
					aborted = true
				} else if e != nil {
					panic(e)
				}
			}()
			s.reply(w, p, res, http.StatusServiceUnavailable)
		}()
		if w.Code < 200 || w.Code > 599 {
			t.Fatalf("the client received status %d", w.Code)
		}
		if w.Code == 429 || w.Code == 408 || w.Code == 421 || w.Code == 503 && !bytes.Contains(bytes.ToLower(data), []byte("id-1")) {
			t.Fatalf("the response promises that the request was not executed: %d", w.Code)
		}
		ours := w.Header().Get(headerAttemptID) == "id-1"
		if (w.Code/100 == 2 || w.Body.Len() > 0) && !ours {
			t.Fatalf("relayed a response to another request: %d %v %q", w.Code, w.Header(), w.Body)
		}
		if w.Code/100 == 2 && !aborted {
			if w.Header().Get(headerSeal) == "" {
				t.Fatal("2xx without a seal")
			}
			// Parse the bytes again with net/http: the final response after any 1xx must be complete.
			br := bufio.NewReader(bytes.NewReader(data))
			for {
				resp, err := http.ReadResponse(br, &http.Request{Method: method})
				if err != nil {
					t.Fatal(err)
				}
				b, err := io.ReadAll(resp.Body)
				if resp.StatusCode/100 == 1 {
					continue
				}
				if err != nil || string(b) != w.Body.String() || unframed(resp) {
					t.Fatalf("2xx with %q of %q, %v", w.Body, b, err)
				}
				if len(u.idle) > 0 && br.Buffered() > 0 {
					t.Fatal("connection kept with bytes left on it")
				}
				break
			}
		}
		if (len(u.idle) > 0) == c.closed || u.conns != len(u.idle) || len(u.active) > 0 {
			t.Fatalf("%d idle, closed %v, %d counted as open, %d requests in flight", len(u.idle), c.closed, u.conns, len(u.active))
		}
		if len(u.idle) > 0 && strings.Contains(strings.ToLower(w.Header().Get("Connection")), "close") {
			t.Fatal("connection kept although the response closes it")
		}
	})
}
