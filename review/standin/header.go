package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["header"] = headerCase }

// headerCase raises maxHeaderBytes by a configuration while clients keep their connections,
// and then has them send headers that only the new bound allows. Without trouble the bound
// is the higher one from the start, and the change leaves it.
func headerCase(rec *Record, trouble bool) bool {
	c := newCluster(rec, 3, 3)
	truth := newTruth()
	for i := range 3 {
		c.addUpstream("svc-a", zoneNames[i], 8, truth, func() time.Duration { return 5 * time.Millisecond })
	}
	const low, high = 8192, 32768
	doc := func(version, bytes int) []byte {
		return document(version, []obj{routeItem("r-a", "a.example", "/read/", "idempotent", "svc-a", "1000ms", 2), serviceItem("svc-a"),
			tenantItem("ten", "key-ten", 0, 0), limitsItem(bytes)})
	}
	first := low
	if !trouble {
		first = high
	}
	c.startAll()
	if !c.replace(1, doc(1, first), 0) {
		cannotRun("no configuration")
	}
	c.awaitReady(20 * time.Second)
	c.noBootstrap()
	time.Sleep(3 * time.Second)

	h := &headerClients{rec: rec, c: c, low: low}
	for w := range 30 {
		h.clients.Go(func() { h.run(w) })
	}
	time.Sleep(4 * time.Second)
	if !c.replace(2, doc(2, high), 1) {
		cannotRun("the second configuration was not taken")
	}
	time.Sleep(configApply + 2*time.Second)
	rec.line("from here on clients send headers of 24000 bytes")
	h.long.Store(true)
	time.Sleep(8 * time.Second)
	h.stop.Store(true)
	h.clients.Wait()
	allowed := 5 + float64(h.sent.Load())/500
	rec.line("%d requests, %d of them ended with a 4xx of the proxies' own, %.1f are allowed; %d with long headers were served", h.sent.Load(), h.denied.Load(), allowed, h.servedLong.Load())
	fmt.Println(h.denied.Load(), "denied of", h.sent.Load())
	writeRuns(rec, truth)
	return float64(h.denied.Load()) > allowed
}

// headerClients keep their connections and send a request each half a second.
type headerClients struct {
	rec                      *Record
	c                        *Cluster
	low                      int // the bound before the change
	stop, long               atomic.Bool
	sent, denied, servedLong atomic.Int64
	clients                  sync.WaitGroup
}

func (h *headerClients) run(w int) {
	cl := &Client{addr: h.c.front(h.c.nodes[w%3])}
	for !h.stop.Load() {
		t := &Try{id: newID(), host: "a.example", method: "GET", uri: "/read/" + newID(), key: "key-ten", budget: time.Second}
		size := 2000
		if h.long.Load() {
			size = 24000
		}
		t.header = "Cookie: c=" + strings.Repeat("x", size) + "\r\n"
		kept := cl.conn != nil
		a := cl.do(t)
		h.sent.Add(1)
		h.rec.line("client %d: %s to %s, header of %d bytes, connection kept %v: %d %v", w, t.id, cl.addr, size, kept, a.status, a.err)
		if a.status/100 == 4 && a.status != 408 && a.status != 421 && a.status != 429 {
			h.denied.Add(1)
		}
		if size > h.low && a.status == 200 {
			h.servedLong.Add(1)
		}
		time.Sleep(500 * time.Millisecond)
	}
}
