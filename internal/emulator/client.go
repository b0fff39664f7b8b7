package emulator

import (
	"fmt"
	"time"
)

// RequestID identifies one request of a client.
type RequestID uint64

// Outcome is the answer that a client received for a request.
type Outcome int

// Outcomes of a request.
const (
	NoAnswer Outcome = iota // not yet, or never
	Success
	Failed
	Throttled // refused by the tenant's quota
)

// Request is one request of a client and the facts about it.
type Request struct {
	ID            RequestID
	Tenant        string
	NonIdempotent bool // must run at most once
	SentAt        time.Duration
	Accepted      bool // a proxy received it
	Proxy         string
	Incarnation   int // of that proxy
	AcceptedAt    time.Duration
	Outcome       Outcome
	Answers       map[string]bool // upstreams whose confirmation that they ran the request reached its proxy
}

// Client sends the requests of one tenant to the proxies in round-robin order.
type Client struct {
	Name               string
	Tenant             string
	Interval           time.Duration // average time between two requests
	NonIdempotentShare float64       // fraction of requests that must run at most once
	Until              time.Duration // when it stops sending
	world              *World
	sent               int
	Requests           []*Request
}

// NewClient adds a client that starts sending immediately.
func (w *World) NewClient(tenant string, interval, until time.Duration) *Client {
	c := &Client{Name: fmt.Sprint("client-", len(w.Clients)), Tenant: tenant, Interval: interval, NonIdempotentShare: 0.4, Until: until, world: w}
	w.Clients = append(w.Clients, c)
	w.After(time.Duration(w.Rng.Int64N(int64(interval))), c.send)
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

// receiveAnswer records a proxy's first answer.
func (c *Client) receiveAnswer(request *Request, outcome Outcome) {
	if request.Outcome == NoAnswer {
		request.Outcome = outcome
	}
}

// GroundTruth is the sum of the facts about all requests of one tenant.
type GroundTruth struct {
	Sent              int
	Accepted          int
	Successes         int // as received by clients
	Failures          int
	Throttled         int
	Unanswered        int // accepted, but the client received no answer
	DuplicateRuns     int // non-idempotent requests that upstreams ran more than once
	DuplicateRunsSeen int // of these, requests for which the confirmations of two upstreams reached the proxy
}

// GroundTruth returns the sums by tenant.
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

// runs returns the number of times that upstreams ran a request.
func (w *World) runs(id RequestID) int {
	count := 0
	for _, upstream := range w.Upstreams {
		count += upstream.Runs[id]
	}
	return count
}
