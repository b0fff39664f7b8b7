package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Run is one request that an upstream began to work on.
type Run struct {
	service, instance, method, uri, tenant, body string
	at                                           time.Time
}

// Truth is what the upstreams ran, by attempt.
type Truth struct {
	mu   sync.Mutex
	runs map[string][]Run
}

func newTruth() *Truth { return &Truth{runs: map[string][]Run{}} }

func (t *Truth) add(id string, r Run) {
	t.mu.Lock()
	t.runs[id] = append(t.runs[id], r)
	t.mu.Unlock()
}

// Upstream is one life of an upstream.
type Upstream struct {
	id, service, zone, addr, state string
	slots                          int
	truth                          *Truth
	rec                            *Record
	work                           func() time.Duration
	sem                            chan struct{}
	listener                       net.Listener
}

func hashOf(b []byte) string {
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:8])
}

// addUpstream starts one and puts it on the platform's list.
func (c *Cluster) addUpstream(service, zone string, slots int, truth *Truth, work func() time.Duration) *Upstream {
	c.nextUpstream++
	u := &Upstream{id: fmt.Sprintf("i-%s-%d-%x", service, c.nextUpstream, rand.Uint32()), service: service, zone: zone, state: "ready", slots: slots,
		truth: truth, rec: c.rec, work: work, sem: make(chan struct{}, slots)}
	u.addr = fmt.Sprintf("%s%d:%d", c.net, 201+c.nextUpstream%50, c.base+100+c.nextUpstream/50)
	l, err := net.Listen("tcp4", u.addr)
	if err != nil {
		cannotRun(err.Error())
	}
	u.listener = l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	c.platform.mu.Lock()
	c.platform.list[u.id] = u
	c.platform.mu.Unlock()
	return u
}

func (u *Upstream) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !u.one(conn, req, body) {
			return
		}
	}
}

func answer(conn net.Conn, status int, id string, headers map[string]string, body []byte, chunked bool) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "X-Slateridge-Attempt-Id: %s\r\n", id)
	}
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			n := min(len(body), 1+rand.IntN(5000))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		b.WriteString("0\r\n\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	io.WriteString(conn, b.String())
}

// one serves one request; false closes the connection.
func (u *Upstream) one(conn net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Slateridge-Attempt-Id")
	if want := req.Header.Get("X-Slateridge-Expected-Instance"); want != "" && want != u.id {
		answer(conn, 421, id, nil, nil, false)
		return true
	}
	if id == "" {
		answer(conn, 400, id, map[string]string{"X-Slateridge-Not-Executed": "1"}, nil, false)
		return true
	}
	u.sem <- struct{}{}
	defer func() { <-u.sem }()
	tenant := req.Header.Get("X-Slateridge-Tenant-Name")
	u.truth.add(id, Run{u.service, u.id, req.Method, req.RequestURI, tenant, hashOf(body), time.Now()})
	time.Sleep(u.work())
	out := make([]byte, 100+rand.IntN(900))
	for i := range out {
		out[i] = 'a' + byte(rand.IntN(26))
	}
	seal := u.id + "." + id + "." + hashOf(out)
	h := map[string]string{"X-Slateridge-Response-Seal": seal}
	answer(conn, 200, id, h, out, rand.IntN(3) == 0)
	return true
}
