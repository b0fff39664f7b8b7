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
	"sync/atomic"
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
	fail map[string]bool // answered with a failure or broken off by the upstream
	late []string        // arrivals at an upstream that was to be left alone by then
}

func newTruth() *Truth { return &Truth{runs: map[string][]Run{}, fail: map[string]bool{}} }

func (t *Truth) add(id string, r Run) {
	t.mu.Lock()
	t.runs[id] = append(t.runs[id], r)
	t.mu.Unlock()
}

func (t *Truth) of(id string) []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs[id]...)
}

// Upstream is one life of an upstream.
type Upstream struct {
	id, service, zone, addr, state string
	slots                          int
	truth                          *Truth
	rec                            *Record
	work                           func() time.Duration
	trouble                        float64 // share of the exchanges that go wrong, as upstreams in trouble may
	sem                            chan struct{}
	listener                       net.Listener
	drainingSince                  atomic.Int64
}

func hashOf(b []byte) string {
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:8])
}

// addUpstream starts one and puts it on the platform's list.
func (c *Cluster) addUpstream(service, zone string, slots int, truth *Truth, work func() time.Duration, trouble float64) *Upstream {
	c.nextUpstream++
	u := &Upstream{id: fmt.Sprintf("i-%s-%d-%x", service, c.nextUpstream, rand.Uint32()), service: service, zone: zone, state: "ready", slots: slots,
		truth: truth, rec: c.rec, work: work, trouble: trouble, sem: make(chan struct{}, slots)}
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
	if at := u.drainingSince.Load(); at > 0 && time.Since(time.Unix(0, at)) > 2500*time.Millisecond {
		u.truth.mu.Lock()
		u.truth.late = append(u.truth.late, fmt.Sprintf("%s at %s %v after it was draining", id, u.id, time.Since(time.Unix(0, at))))
		u.truth.mu.Unlock()
	}
	roll := rand.Float64()
	bad := roll < u.trouble
	if bad && roll < u.trouble*0.25 {
		answer(conn, 503, id, map[string]string{"X-Slateridge-Not-Executed": "1"}, nil, false)
		return true
	}
	u.sem <- struct{}{}
	defer func() { <-u.sem }()
	tenant := req.Header.Get("X-Slateridge-Tenant-Name")
	u.truth.add(id, Run{u.service, u.id, req.Method, req.RequestURI, tenant, hashOf(body), time.Now()})
	time.Sleep(u.work())
	size := 100 + rand.IntN(900)
	if rand.IntN(20) == 0 {
		size = rand.IntN(600 << 10)
	}
	out := make([]byte, size)
	for i := range out {
		out[i] = 'a' + byte(rand.IntN(26))
	}
	seal := u.id + "." + id + "." + hashOf(out)
	h := map[string]string{"X-Slateridge-Response-Seal": seal}
	if bad {
		u.truth.mu.Lock()
		u.truth.fail[id] = true
		u.truth.mu.Unlock()
		switch rand.IntN(7) {
		case 0:
			answer(conn, 500, id, h, []byte("failed"), false)
			return true
		case 1: // cut off
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: %s\r\nX-Slateridge-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, seal, size, out[:size/2])
			return false
		case 2: // bytes that are no answer
			io.WriteString(conn, "\x00\x01garbage\r\n\r\n")
			return false
		case 3: // more after a whole answer
			answer(conn, 200, id, h, out, false)
			time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			answer(conn, 200, id, h, out, false)
			return true
		case 4: // neither length nor end
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: %s\r\nX-Slateridge-Response-Seal: %s\r\n\r\n%s", id, seal, out[:size/2])
			return false
		case 5:
			return false
		case 6:
			time.Sleep(3 * time.Second)
			answer(conn, 200, id, h, out, false)
			return true
		}
	}
	answer(conn, 200, id, h, out, rand.IntN(3) == 0)
	return true
}
