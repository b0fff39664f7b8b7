package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request at an upstream.
type run struct {
	id, instance, service, tenant, path string
	at, ended                           time.Time
}

// world keeps the truth: what ran where.
type world struct {
	mu   sync.Mutex
	runs []run
	byID map[string][]int
	rec  *recorder
}

func newWorld(rec *recorder) *world { return &world{byID: map[string][]int{}, rec: rec} }

func (w *world) begin(r run) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
	w.byID[r.id] = append(w.byID[r.id], len(w.runs)-1)
	return len(w.runs) - 1
}

func (w *world) end(n int) {
	w.mu.Lock()
	w.runs[n].ended = time.Now()
	w.mu.Unlock()
}

func (w *world) count(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.byID[id])
}

// upstream is a stand-in for a server of a service. It works on slots requests at a time and
// queues a few more.
type upstream struct {
	id, service, zone, addr string
	slots                   int
	work                    func(r *http.Request) time.Duration
	world                   *world
	draining                atomic.Bool
	srv                     *http.Server
	busy                    chan struct{}
	waiting                 atomic.Int32
	handler                 http.HandlerFunc // replaces the usual one if set
}

func startUpstream(w *world, ip, id, service, zone string, slots int, work func(r *http.Request) time.Duration) *upstream {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		cannotRun("upstream: %v", err)
	}
	u := &upstream{id: id, service: service, zone: zone, addr: l.Addr().String(), slots: slots, work: work, world: w, busy: make(chan struct{}, slots)}
	u.srv = &http.Server{Handler: http.HandlerFunc(u.serve), IdleTimeout: 10 * time.Second}
	go u.srv.Serve(l)
	return u
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	if u.handler != nil {
		u.handler(w, r)
		return
	}
	u.usual(w, r)
}

func (u *upstream) usual(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Slateridge-Instance-Id", u.id)
		if u.draining.Load() {
			w.WriteHeader(503)
		}
		return
	}
	id := r.Header.Get("X-Slateridge-Attempt-Id")
	w.Header().Set("X-Slateridge-Attempt-Id", id)
	if want := r.Header.Get("X-Slateridge-Expected-Instance"); want != "" && want != u.id {
		w.Header().Set("X-Slateridge-Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if u.waiting.Add(1) > int32(u.slots+8) {
		u.waiting.Add(-1)
		w.Header().Set("X-Slateridge-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	defer u.waiting.Add(-1)
	budget, _ := strconv.Atoi(r.Header.Get("X-Slateridge-Time-Budget-Ms"))
	timeout := time.NewTimer(time.Duration(budget) * time.Millisecond)
	defer timeout.Stop()
	select {
	case u.busy <- struct{}{}:
	case <-timeout.C:
		w.Header().Set("X-Slateridge-Not-Executed", "1")
		w.WriteHeader(503)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.busy }()
	n := u.world.begin(run{id: id, instance: u.id, service: u.service, tenant: r.Header.Get("X-Slateridge-Tenant-Name"), path: r.RequestURI, at: time.Now()})
	defer u.world.end(n)
	select {
	case <-time.After(u.work(r)):
	case <-r.Context().Done():
		return
	}
	if u.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	answer := u.body(id, body)
	w.Header().Set("X-Slateridge-Response-Seal", "seal."+u.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.Write(answer)
}

// body is the whole body that the upstream answers a request with.
func (u *upstream) body(id string, request []byte) []byte {
	return fmt.Appendf(nil, "answer of %s to %s, %d bytes taken\n", u.id, id, len(request))
}

// platform is a stand-in for the platform's list of upstreams.
type platform struct {
	addr  string
	mu    sync.Mutex
	list  []map[string]any
	calls atomic.Int64
	down  atomic.Bool
	rec   *recorder
}

func startPlatform(ip string, rec *recorder) *platform {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		cannotRun("platform: %v", err)
	}
	p := &platform{addr: l.Addr().String(), rec: rec}
	go http.Serve(l, http.HandlerFunc(p.serve))
	return p
}

func (p *platform) serve(w http.ResponseWriter, _ *http.Request) {
	p.calls.Add(1)
	if p.down.Load() {
		w.WriteHeader(503)
		return
	}
	p.mu.Lock()
	byZone := map[string][]map[string]any{}
	for _, e := range p.list {
		z := e["zone"].(string)
		byZone[z] = append(byZone[z], e)
	}
	raw, _ := json.Marshal(map[string]any{"instances": byZone, "nextPageToken": nil})
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Write(raw)
}

// set replaces the list.
func (p *platform) set(upstreams ...*upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = nil
	for _, u := range upstreams {
		state := "ready"
		if u.draining.Load() {
			state = "draining"
		}
		p.list = append(p.list, map[string]any{"instanceId": u.id, "targetService": u.service, "address": u.addr, "zone": u.zone, "configVersion": "v1", "capacitySlots": u.slots, "state": state, "warmupLeft": "0ms"})
	}
}
