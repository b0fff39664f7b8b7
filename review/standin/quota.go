package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["quota"] = quotaCase }

// manyRoutes are routes that a growing configuration adds.
func manyRoutes(n int) []obj {
	var out []obj
	for i := range n {
		out = append(out, routeItem(fmt.Sprintf("r-x%d", i), "x.example", fmt.Sprintf("/p%d/", i), "idempotent", "svc-a", "1000ms", 2))
	}
	return out
}

const (
	quotaLow    = 10.0
	quotaHigh   = 400.0
	configApply = 2500 * time.Millisecond
	quotaWindow = 5 * time.Second
)

// quotaCase sends two orders at once, again and again: one adds routes and leaves the
// tenant's old limit, the other, with the higher number, lowers the limit. Without trouble
// the second is sent when the first has been acknowledged.
func quotaCase(rec *Record, trouble bool) bool {
	cores := envInt("CORES", 1)
	routes, gap := 4000, 100*time.Millisecond
	if cores > 1 {
		routes, gap = 11000, 250*time.Millisecond
	}
	c := newCluster(rec, 3, cores)
	truth := newTruth()
	for i := range 3 {
		c.addUpstream("svc-a", zoneNames[i], 8, truth, func() time.Duration { return 5 * time.Millisecond }, 0)
	}
	tenants := []string{"ten-a", "ten-b", "ten-c", "ten-d"} // the keys of several trackers' shards
	base := func(rate float64) []obj {
		items := []obj{routeItem("r-a", "a.example", "/read/", "idempotent", "svc-a", "1000ms", 2), serviceItem("svc-a"), limitsItem(16384)}
		for _, t := range tenants {
			items = append(items, tenantItem(t, "key-"+t, rate, rate))
		}
		return items
	}
	c.startAll()
	if !c.replace(1, document(1, base(quotaHigh)), 0) {
		cannotRun("no configuration")
	}
	c.awaitReady(20 * time.Second)
	c.noBootstrap()

	var stop atomic.Bool
	var clients sync.WaitGroup
	for w := range 6 * len(tenants) {
		clients.Go(func() {
			cl := &Client{addr: c.front(c.nodes[w%3])}
			for !stop.Load() {
				t := &Try{id: newID(), host: "a.example", method: "GET", uri: "/read/" + newID(), key: "key-" + tenants[w/6], budget: time.Second}
				a := cl.do(t)
				rec.line("client %s at %s: %d %v", t.id, cl.addr, a.status, a.err)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	broken := false
	bound := (quotaLow*quotaWindow.Seconds()+quotaLow)*1.1 + 20
	for k := 1; k <= 8 && !broken; k++ {
		grown := document(2*k, append(base(quotaHigh), manyRoutes(routes)...))
		lowered := document(2*k+1, base(quotaLow))
		var orders sync.WaitGroup
		orders.Go(func() { c.replace(2*k, grown, k) })
		if trouble {
			time.Sleep(gap)
		} else {
			orders.Wait()
		}
		c.replace(2*k+1, lowered, k+1)
		orders.Wait()
		binds := time.Now().Add(configApply + quotaWindow)
		time.Sleep(time.Until(binds.Add(3 * time.Second)))
		for _, t := range tenants {
			n := runsSince(truth, t, binds)
			rec.line("round %d: %d runs of %s in the 3 s after the lower limit has to hold; %.0f are allowed in any 5 s", k, n, t, bound)
			broken = broken || float64(n) > bound
		}
	}
	stop.Store(true)
	clients.Wait()
	writeRuns(rec, truth)
	return broken
}

// runsSince counts a tenant's runs from a moment on.
func runsSince(truth *Truth, tenant string, from time.Time) int {
	truth.mu.Lock()
	defer truth.mu.Unlock()
	n := 0
	for _, runs := range truth.runs {
		for _, r := range runs {
			if r.tenant == tenant && r.at.After(from) {
				n++
			}
		}
	}
	return n
}

// writeRuns puts what the upstreams ran into the record, in order.
func writeRuns(rec *Record, truth *Truth) {
	truth.mu.Lock()
	defer truth.mu.Unlock()
	type row struct {
		id string
		r  Run
	}
	var rows []row
	for id, runs := range truth.runs {
		for _, r := range runs {
			rows = append(rows, row{id, r})
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return a.r.at.Compare(b.r.at) })
	for _, x := range rows {
		rec.line("ran at %.4f: %s %s %s at %s for tenant %q", x.r.at.Sub(rec.began).Seconds(), x.id, x.r.method, x.r.uri, x.r.instance, x.r.tenant)
	}
}
