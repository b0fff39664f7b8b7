package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["header"] = headerCase }

// headerCase raises maxHeaderBytes with a configuration change while clients keep their
// connections open, and then sends headers that only the new limit allows. Without provoke
// the limit is the higher one from the start, and the change doesn't affect it.
func headerCase(rec *Recorder, provoke bool) bool {
	c := newCluster(rec, 3, 3)
	executions := newExecutionLog()
	for i := range 3 {
		c.addUpstream("svc-a", zoneNames[i], 8, executions, func() time.Duration { return 5 * time.Millisecond })
	}
	const lowLimit, highLimit = 8192, 32768
	doc := func(version, maxHeaderBytes int) []byte {
		return configDocument(version, []obj{routeResource("r-a", "a.example", "/read/", "idempotent", "svc-a", "1000ms", 2), serviceResource("svc-a"),
			tenantResource("ten", "key-ten", 0, 0), limitsResource(maxHeaderBytes)})
	}
	initialLimit := lowLimit
	if !provoke {
		initialLimit = highLimit
	}
	c.startAll()
	if !c.replaceConfig(1, doc(1, initialLimit), 0) {
		abortCase("no configuration")
	}
	c.awaitReady(20 * time.Second)
	c.disableBootstrap()
	time.Sleep(3 * time.Second)

	h := &headerClients{rec: rec, c: c, lowLimit: lowLimit}
	for w := range 30 {
		h.clients.Go(func() { h.run(w) })
	}
	time.Sleep(4 * time.Second)
	if !c.replaceConfig(2, doc(2, highLimit), 1) {
		abortCase("the second configuration was not taken")
	}
	time.Sleep(configApply + 2*time.Second)
	rec.logf("from here on clients send headers of 24000 bytes")
	h.sendLong.Store(true)
	time.Sleep(8 * time.Second)
	h.stop.Store(true)
	h.clients.Wait()
	allowed := 5 + float64(h.sent.Load())/500
	rec.logf("%d requests, %d of them ended with a 4xx of the proxies' own, %.1f are allowed; %d with long headers were served", h.sent.Load(), h.denied.Load(), allowed, h.servedLong.Load())
	fmt.Println(h.denied.Load(), "denied of", h.sent.Load())
	recordRuns(rec, executions)
	return float64(h.denied.Load()) > allowed
}

// headerClients are clients that keep their connections and send a request every 500 ms.
type headerClients struct {
	rec                      *Recorder
	c                        *Cluster
	lowLimit                 int // maxHeaderBytes before the change
	stop, sendLong           atomic.Bool
	sent, denied, servedLong atomic.Int64
	clients                  sync.WaitGroup
}

func (h *headerClients) run(w int) {
	cl := &Client{addr: h.c.frontendAddr(h.c.nodes[w%3])}
	for !h.stop.Load() {
		t := &Attempt{id: newAttemptID(), host: "a.example", method: "GET", uri: "/read/" + newAttemptID(), key: "key-ten", budget: time.Second}
		size := 2000
		if h.sendLong.Load() {
			size = 24000
		}
		t.header = "Cookie: c=" + strings.Repeat("x", size) + "\r\n"
		kept := cl.conn != nil
		a := cl.do(t)
		h.sent.Add(1)
		h.rec.logf("client %d: %s to %s, header of %d bytes, connection kept %v: %d %v", w, t.id, cl.addr, size, kept, a.status, a.err)
		if a.status/100 == 4 && a.status != 408 && a.status != 421 && a.status != 429 {
			h.denied.Add(1)
		}
		if size > h.lowLimit && a.status == 200 {
			h.servedLong.Add(1)
		}
		time.Sleep(500 * time.Millisecond)
	}
}
