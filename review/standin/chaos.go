package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type obj = map[string]any

func item(kind, name string, spec obj) obj {
	m := obj{}
	if name != "" {
		m["name"] = name
	}
	return obj{"resourceKind": kind, "metadata": m, "spec": spec}
}

// document writes a configuration as the pages' example does.
func document(version int, items []obj) []byte {
	var parts []string
	for _, it := range items {
		k, _ := json.Marshal(it["resourceKind"])
		m, _ := json.Marshal(it["metadata"])
		s, _ := json.Marshal(it["spec"])
		parts = append(parts, fmt.Sprintf(`{"resourceKind":%s,"metadata":%s,"spec":%s}`, k, m, s))
	}
	return []byte(fmt.Sprintf(`{"configVersion":"r%d","resourceList":[%s]}`, version, strings.Join(parts, ",")))
}

func routeItem(name, host, prefix, kind, service string, timeout string, attempts int) obj {
	return item("routes", name, obj{"host": host, "pathPrefix": prefix, "routeType": kind, "timeout": timeout, "targetLatency": "300ms",
		"priority": 1, "targetService": service, "maxAttempts": attempts, "public": false})
}

func serviceItem(name string) obj {
	return item("services", name, obj{"healthCheckPath": "/health", "maxConnections": 130, "protocol": "h1", "tlsEnabled": false})
}

func limitsItem(header int) obj {
	return item("limits", "", obj{"maxHeaderBytes": header, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"})
}

func tenantItem(name, key string, rate, burst float64) obj {
	return item("tenants", name, obj{"apiKeys": []string{key}, "priority": 0, "ratePerS": rate, "burstSize": burst})
}

func chaosItems(v int) []obj {
	var out []obj
	for i := range 40 + v%7*30 {
		out = append(out, routeItem(fmt.Sprintf("r-x%d", i), "x.example", fmt.Sprintf("/p%d/", i), "idempotent", "svc-a", "1000ms", 2))
	}
	out = append(out, routeItem("r-a", "a.example", "/read/", "idempotent", "svc-a", "1000ms", 2),
		routeItem("r-b", "a.example", "/order/", "non_idempotent", "svc-b", "1200ms", 2),
		serviceItem("svc-a"), serviceItem("svc-b"), tenantItem("ten", "key-ten", 0, 0), tenantItem("other", "key-other", 300, 300), limitsItem(16384))
	return out
}

func init() { cases["chaos"] = chaos }

func chaos(rec *Record, trouble bool) bool {
	c := newCluster(rec, 6, 3)
	truth := newTruth()
	p := 0.0
	if os.Getenv("BAD") != "" {
		p = 0.06
	}
	work := func() time.Duration { return time.Duration(5+rand.IntN(40)) * time.Millisecond }
	for i := range 6 {
		c.addUpstream("svc-a", zoneNames[i%3], 4, truth, work, p)
		c.addUpstream("svc-b", zoneNames[i%3], 4, truth, work, p)
	}
	c.startAll()
	if !c.replace(1, document(1, chaosItems(1)), 0) {
		cannotRun("no configuration")
	}
	c.awaitReady(20 * time.Second)
	c.noBootstrap()
	var stop atomic.Bool
	var wg sync.WaitGroup
	var served, total, broken atomic.Int64
	statuses := sync.Map{}
	complain := func(rule, f string, a ...any) {
		broken.Add(1)
		rec.line("BROKEN "+rule+" "+f, a...)
	}
	for w := range 48 {
		wg.Go(func() {
			cl := &Client{addr: c.front(c.nodes[w%len(c.nodes)])}
			for !stop.Load() {
				if rand.IntN(4) == 0 {
					cl.close()
				}
				t := &Try{id: newID(), host: "a.example", method: "GET", uri: "/read/" + newID() + "?q=%2F" + newID()[:4], key: "key-ten", budget: time.Second}
				tenant, service := "ten", "svc-a"
				if rand.IntN(3) == 0 {
					t.key, tenant = "key-other", "other"
				}
				if rand.IntN(2) == 0 {
					t.method, t.uri, service = "POST", "/order/"+newID(), "svc-b"
					n := rand.IntN(3000)
					if rand.IntN(10) == 0 {
						n = rand.IntN(300 << 10)
					}
					t.body = bytes.Repeat([]byte(newID()), n/16+1)[:n]
					t.chunked = n > 0 && rand.IntN(2) == 0
				}
				a := cl.do(t)
				total.Add(1)
				key := fmt.Sprint(service, " ", a.status, " ", a.err != nil)
				n, _ := statuses.LoadOrStore(key, new(atomic.Int64))
				n.(*atomic.Int64).Add(1)
				if a.status/100 == 2 && a.err == nil {
					served.Add(1)
					seal := a.header.Get("X-Slateridge-Response-Seal")
					if !strings.HasSuffix(seal, "."+t.id+"."+hashOf(a.body)) {
						complain("MIXED", "%s got %q with %d bytes", t.id, seal, len(a.body))
					}
				}
				go func() {
					time.Sleep(4 * time.Second)
					runs := truth.of(t.id)
					if t.method == "POST" && len(runs) > 1 {
						complain("TWICE", "%s %d runs", t.id, len(runs))
					}
					if t.method == "POST" && len(runs) > 0 && (a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421) {
						complain("REFUSED", "%s ran and got %d", t.id, a.status)
					}
					for _, r := range runs {
						if r.uri != t.uri || r.method != t.method || r.body != hashOf(t.body) || r.tenant != tenant || r.service != service {
							complain("UNASKED", "%s %+v", t.id, r)
						}
					}
				}()
			}
		})
	}
	end := time.Now().Add(60 * time.Second)
	var ops sync.WaitGroup
	var version atomic.Int64
	version.Store(2)
	var acked atomic.Int64
	for o := range 3 {
		ops.Go(func() {
			for time.Now().Before(end) {
				v := int(version.Add(1))
				if c.replace(v, document(v, chaosItems(v)), o) {
					for old := acked.Load(); old < int64(v) && !acked.CompareAndSwap(old, int64(v)); old = acked.Load() {
					}
				}
				time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
			}
		})
	}
	ops.Go(func() {
		for trouble && time.Now().Before(end) {
			time.Sleep(time.Duration(1500+rand.IntN(2000)) * time.Millisecond)
			n := c.nodes[rand.IntN(len(c.nodes))]
			role := "proxy"
			if n.disk && rand.IntN(2) == 0 {
				role = "control"
			}
			switch rand.IntN(4) {
			case 0:
				c.signal(n, role, syscall.SIGKILL)
				time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
				c.start(n, role)
			case 1:
				c.signal(n, role, syscall.SIGSTOP)
				time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
				c.signal(n, role, syscall.SIGCONT)
			case 2:
				c.signal(n, role, syscall.SIGTERM)
				time.Sleep(6 * time.Second)
				c.signal(n, role, syscall.SIGKILL)
				time.Sleep(100 * time.Millisecond)
				c.start(n, role)
			case 3:
				c.signal(n, role, syscall.SIGHUP)
			}
		}
	})
	ops.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(500+rand.IntN(1000)) * time.Millisecond)
			c.platform.mu.Lock()
			for _, u := range c.platform.list {
				if u.state == "ready" && rand.IntN(6) == 0 {
					u.state = "draining"
					go func() {
						time.Sleep(3500 * time.Millisecond)
						u.listener.Close()
						c.platform.mu.Lock()
						delete(c.platform.list, u.id)
						c.platform.mu.Unlock()
					}()
					go c.addUpstream(u.service, u.zone, 4, truth, work, p)
					break
				}
			}
			c.platform.mu.Unlock()
		}
	})
	ops.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(150 * time.Millisecond)
			was := acked.Load()
			n := c.nodes[rand.IntN(3)]
			at := time.Now()
			status, b := c.call(n, "configuration.describe", nil)
			if status == 200 {
				var d struct{ ConfigVersion string }
				json.Unmarshal(b, &d)
				var v int64
				fmt.Sscanf(d.ConfigVersion, "r%d", &v)
				if v < was {
					complain("CONFIG", "read at %v shows r%d, r%d was acknowledged", at.Sub(rec.began), v, was)
				}
			}
		}
	})
	ops.Wait()
	stop.Store(true)
	wg.Wait()
	time.Sleep(4500 * time.Millisecond)
	statuses.Range(func(k, v any) bool { rec.line("answers %v: %d", k, v.(*atomic.Int64).Load()); return true })
	rec.line("%d tries, %d served, %d complaints, acked r%d", total.Load(), served.Load(), broken.Load(), acked.Load())
	fmt.Println(total.Load(), served.Load(), broken.Load())
	return broken.Load() > 0
}
