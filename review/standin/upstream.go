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

// Run is one request that an upstream started to execute.
type Run struct {
	service, instance, method, uri, tenant, body string
	at                                           time.Time
}

// ExecutionLog records the requests that the upstreams executed, by attempt ID.
type ExecutionLog struct {
	mu   sync.Mutex
	runs map[string][]Run
}

func newExecutionLog() *ExecutionLog { return &ExecutionLog{runs: map[string][]Run{}} }

func (t *ExecutionLog) add(id string, r Run) {
	t.mu.Lock()
	t.runs[id] = append(t.runs[id], r)
	t.mu.Unlock()
}

// Upstream is one incarnation of an upstream.
type Upstream struct {
	id, service, zone, addr, state string
	slots                          int
	executions                     *ExecutionLog
	rec                            *Recorder
	serviceTime                    func() time.Duration
	slotSem                        chan struct{}
	listener                       net.Listener
}

func shortHash(b []byte) string {
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:8])
}

// addUpstream starts an upstream and adds it to the platform's list.
func (c *Cluster) addUpstream(service, zone string, slots int, executions *ExecutionLog, serviceTime func() time.Duration) *Upstream {
	c.upstreamCount++
	u := &Upstream{id: fmt.Sprintf("i-%s-%d-%x", service, c.upstreamCount, rand.Uint32()), service: service, zone: zone, state: "ready", slots: slots,
		executions: executions, rec: c.rec, serviceTime: serviceTime, slotSem: make(chan struct{}, slots)}
	u.addr = fmt.Sprintf("%s%d:%d", c.subnet, 201+c.upstreamCount%50, c.basePort+100+c.upstreamCount/50)
	l, err := net.Listen("tcp4", u.addr)
	if err != nil {
		abortCase(err.Error())
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
		if !u.handle(conn, req, body) {
			return
		}
	}
}

func writeResponse(conn net.Conn, status int, id string, headers map[string]string, body []byte, chunked bool) {
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

// handle serves one request and reports whether to keep the connection open.
func (u *Upstream) handle(conn net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Slateridge-Attempt-Id")
	if expected := req.Header.Get("X-Slateridge-Expected-Instance"); expected != "" && expected != u.id {
		writeResponse(conn, 421, id, nil, nil, false)
		return true
	}
	if id == "" {
		writeResponse(conn, 400, id, map[string]string{"X-Slateridge-Not-Executed": "1"}, nil, false)
		return true
	}
	u.slotSem <- struct{}{}
	defer func() { <-u.slotSem }()
	tenant := req.Header.Get("X-Slateridge-Tenant-Name")
	u.executions.add(id, Run{u.service, u.id, req.Method, req.RequestURI, tenant, shortHash(body), time.Now()})
	time.Sleep(u.serviceTime())
	out := make([]byte, 100+rand.IntN(900))
	for i := range out {
		out[i] = 'a' + byte(rand.IntN(26))
	}
	seal := u.id + "." + id + "." + shortHash(out)
	h := map[string]string{"X-Slateridge-Response-Seal": seal}
	writeResponse(conn, 200, id, h, out, rand.IntN(3) == 0)
	return true
}
