package emulator

import (
	"fmt"
	"time"
)

// RequestID identifies a request: one try of a client.
type RequestID uint64

// Told is what a client was told of a request.
type Outcome int

// What clients are told.
const (
	NoAnswer Outcome = iota // so far, or for ever
	Success
	Failed
	Throttled // by the tenant's quota
)

// Request is one try of a client, with all that is true of it.
type Request struct {
	ID            RequestID
	Tenant        string
	NonIdempotent bool // may run once
	SentAt        time.Duration
	Accepted      bool // a proxy took it
	Proxy         string
	Incarnation   int // of that proxy
	AcceptedAt    time.Duration
	Outcome       Outcome
	Answers       map[string]bool // upstreams whose word that they ran it has reached its proxy
}

// Client sends the requests of one tenant to proxies by turns.
type Client struct {
	Name               string
	Tenant             string
	Interval           time.Duration // between two requests, on average
	NonIdempotentShare float64       // share of requests that may run once
	Until              time.Duration // when it stops sending
	world              *World
	sent               int
	Requests           []*Request
}

// NewClient makes a client that begins to send.
func (w *World) NewClient(tenant string, every, until time.Duration) *Client {
	c := &Client{Name: fmt.Sprint("client-", len(w.Clients)), Tenant: tenant, Interval: every, NonIdempotentShare: 0.4, Until: until, world: w}
	w.Clients = append(w.Clients, c)
	w.After(time.Duration(w.Rng.Int64N(int64(every))), c.send)
	return c
}

func (c *Client) send() {
	w := c.world
	if w.Now >= c.Until {
		return
	}
	w.After(time.Duration(w.Rng.Int64N(int64(2*c.Interval)))+1, c.send)
	c.sent++
	w.lastID++
	request := &Request{ID: w.lastID, Tenant: c.Tenant, NonIdempotent: w.Rng.Float64() < c.NonIdempotentShare, SentAt: w.Now, Answers: map[string]bool{}}
	c.Requests = append(c.Requests, request)
	proxy := w.Proxies[w.proxyNames[c.sent%len(w.proxyNames)]]
	w.Send(c.Name, proxy.Name, func() { proxy.receive(c, request) })
}

// hear takes a proxy's answer.
func (c *Client) receiveAnswer(request *Request, told Outcome) {
	if request.Outcome == NoAnswer {
		request.Outcome = told
	}
}

// Truth is what is true of all requests of one tenant.
type GroundTruth struct {
	Sent              int
	Accepted          int
	Successes         int // as clients were told
	Failures          int
	Throttled         int
	Unanswered        int // taken, and the client was told nothing
	DuplicateRuns     int // orders that upstreams ran twice or more
	DuplicateRunsSeen int // of which two upstreams' words reached the proxy
}

// Truth adds up the facts by tenant.
func (w *World) GroundTruth() map[string]*GroundTruth {
	out := map[string]*GroundTruth{}
	for _, client := range w.Clients {
		if out[client.Tenant] == nil {
			out[client.Tenant] = &GroundTruth{}
		}
		for _, request := range client.Requests {
			out[client.Tenant].add(request, w.runs(request.ID))
		}
	}
	return out
}

func (t *GroundTruth) add(request *Request, runs int) {
	t.Sent++
	if !request.Accepted {
		return
	}
	t.Accepted++
	switch request.Outcome {
	case Success:
		t.Successes++
	case Failed:
		t.Failures++
	case Throttled:
		t.Throttled++
	default:
		t.Unanswered++
	}
	if request.NonIdempotent && runs > 1 {
		t.DuplicateRuns++
	}
	if request.NonIdempotent && len(request.Answers) > 1 {
		t.DuplicateRunsSeen++
	}
}

// runs is how often upstreams ran a request.
func (w *World) runs(id RequestID) int {
	count := 0
	for _, upstream := range w.Upstreams {
		count += upstream.Runs[id]
	}
	return count
}
