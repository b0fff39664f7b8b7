package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["press"] = press }

type versionSpan2 struct {
	version     int
	sent, acked time.Time
	service     string
}

// planned plays planned work only, or with UNPLANNED also kills and freezes, and checks quotas.
func press(rec *Record, trouble bool) bool {
	unplanned := os.Getenv("UNPLANNED") != ""
	c := newCluster(rec, 6, 3)
	truth := newTruth()
	work := func() time.Duration { return time.Duration(5+rand.IntN(60)) * time.Millisecond }
	for i := range 6 {
		c.addUpstream("svc-a", zoneNames[i%3], 4, truth, work, 0)
		c.addUpstream("svc-b", zoneNames[i%3], 4, truth, work, 0)
	}
	var vmu sync.Mutex
	var versions []*versionSpan2
	services := []string{"svc-a", "svc-b"}
	idle := []string{"15000ms", "6000ms", "3000ms"}
	quota := []float64{40, 15, 80, 25}
	doc := func(v int) []byte {
		items := []obj{routeItem("r-m", "a.example", "/move/", "idempotent", services[v%2], "1000ms", 2),
			routeItem("r-b", "a.example", "/order/", "non_idempotent", "svc-b", "1200ms", 2),
			routeItem("r-q", "a.example", "/quota/", "idempotent", "svc-a", "1000ms", 2),
			serviceItem("svc-a"), serviceItem("svc-b"), tenantItem("ten", "key-ten", 0, 0),
			item("limits", "", obj{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": idle[v%3]})}
		for q := range 6 {
			r := quota[(v+q)%4]
			if q < 3 {
				r = 40
			}
			items = append(items, tenantItem(fmt.Sprintf("quo%d", q), fmt.Sprintf("key-quo%d", q), r, r))
		}
		return document(v, items)
	}
	send := func(v, at int) {
		s := &versionSpan2{version: v, sent: time.Now(), service: services[v%2]}
		vmu.Lock()
		versions = append(versions, s)
		vmu.Unlock()
		if c.replace(v, doc(v), at) {
			vmu.Lock()
			s.acked = time.Now()
			vmu.Unlock()
		}
	}
	c.startAll()
	send(1, 0)
	c.awaitReady(20 * time.Second)
	c.noBootstrap()
	time.Sleep(4 * time.Second)
	var in [6]atomic.Bool
	var stop atomic.Bool
	for i := range in {
		in[i].Store(true)
		go func() {
			misses := 0
			for !stop.Load() {
				ok := false
				if resp, err := operatorClient.Get("http://" + c.nodes[i].addr(c, 2) + "/api/readiness"); err == nil {
					ok = resp.StatusCode == 200
					resp.Body.Close()
				}
				if ok {
					misses = 0
					in[i].Store(true)
				} else if misses++; misses >= 2 {
					in[i].Store(false)
				}
				time.Sleep(time.Second)
			}
		}()
	}
	var broken, total, served atomic.Int64
	complain := func(rule, f string, a ...any) {
		broken.Add(1)
		rec.line("BROKEN "+rule+" "+f, a...)
	}
	statuses := sync.Map{}
	var wg sync.WaitGroup
	for w := range 40 {
		wg.Go(func() {
			cl := &Client{}
			var rested time.Time
			for !stop.Load() {
				if w < 24 && rand.IntN(3) == 0 || cl.conn == nil {
					cl.close()
					i := rand.IntN(6)
					if !in[i].Load() {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					cl.addr = c.front(c.nodes[i])
				}
				_ = rested
				t := &Try{id: newID(), host: "a.example", method: "GET", uri: "/move/" + newID(), key: "key-ten", budget: time.Second}
				if w%3 == 0 {
					t.method, t.uri = "POST", "/order/"+newID()
					t.body = bytes.Repeat([]byte("0123456789abcdef"), rand.IntN(200))
				}
				if w%5 != 0 {
					t.method, t.uri, t.body, t.key = "GET", "/quota/"+newID(), nil, fmt.Sprintf("key-quo%d", rand.IntN(3))
				}
				kept := cl.conn != nil
				sent := time.Now()
				a := cl.do(t)
				done := time.Now()
				total.Add(1)
				n, _ := statuses.LoadOrStore(fmt.Sprint(t.uri[:4], " ", a.status, " ", a.err), new(atomic.Int64))
				if a.err == nil || a.err == errNoConn {
					n.(*atomic.Int64).Add(1)
				}
				if a.status == 200 {
					served.Add(1)
				}
				go func() {
					time.Sleep(3 * time.Second)
					runs := truth.of(t.id)
					if !unplanned && a.err != nil && a.err != errNoConn && (len(runs) > 0 || a.took > 200*time.Millisecond) {
						complain("LOST", "%s %s at %s kept %v: %d runs, %v after %v", t.id, t.uri, cl.addr, kept, len(runs), a.err, a.took)
					}
					if !unplanned && (a.status == 404 || a.status == 401 || a.status == 431 || a.status == 400 || a.status == 502 || a.status == 504) {
						complain("STATUS", "%s %s: %d after %v", t.id, t.uri, a.status, a.took)
					}
					if unplanned || t.uri[:6] != "/move/" {
						return
					}
					vmu.Lock()
					defer vmu.Unlock()
					low := 0
					for _, s := range versions {
						if !s.acked.IsZero() && s.acked.Before(sent.Add(-2500*time.Millisecond)) {
							low = max(low, s.version)
						}
					}
					for _, r := range runs {
						ok := false
						for _, s := range versions {
							ok = ok || s.version >= low && s.sent.Before(done) && s.service == r.service
						}
						if !ok {
							complain("CONFIG", "%s ran at %s, r%d was acknowledged", t.id, r.service, low)
						}
					}
				}()
				if w >= 32 {
					time.Sleep(time.Duration(rand.IntN(24)) * time.Millisecond)
				} else {
					time.Sleep(time.Duration(rand.IntN(12)) * time.Millisecond)
				}
			}
			cl.close()
		})
	}
	end := time.Now().Add(80 * time.Second)
	var ops sync.WaitGroup
	ops.Go(func() {
		for v := 2; time.Now().Before(end); v++ {
			send(v, v)
			time.Sleep(time.Duration(300+rand.IntN(5500)) * time.Millisecond)
		}
	})
	ops.Go(func() {
		for trouble && time.Now().Before(end) {
			time.Sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
			n := c.nodes[rand.IntN(len(c.nodes))]
			role := "proxy"
			if n.disk && rand.IntN(2) == 0 {
				role = "control"
			}
			k := rand.IntN(2)
			if unplanned {
				k = rand.IntN(5)
			}
			switch k {
			case 0:
				c.signal(n, role, syscall.SIGTERM)
				time.Sleep(6200 * time.Millisecond)
				c.signal(n, role, syscall.SIGKILL)
				time.Sleep(100 * time.Millisecond)
				c.start(n, role)
			case 1:
				c.signal(n, role, syscall.SIGHUP)
			case 2:
				c.signal(n, role, syscall.SIGKILL)
				time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
				c.start(n, role)
			case 3:
				c.signal(n, role, syscall.SIGSTOP)
				time.Sleep(time.Duration(500+rand.IntN(5000)) * time.Millisecond)
				c.signal(n, role, syscall.SIGCONT)
			case 4:
				for _, o := range c.nodes {
					if rand.IntN(2) == 0 {
						c.signal(o, "proxy", syscall.SIGKILL)
						if o.disk {
							c.signal(o, "control", syscall.SIGKILL)
						}
						time.Sleep(200 * time.Millisecond)
						c.start(o, "proxy")
						if o.disk {
							c.start(o, "control")
						}
					}
				}
				time.Sleep(3 * time.Second)
			}
		}
	})
	ops.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(1000+rand.IntN(1500)) * time.Millisecond)
			c.platform.mu.Lock()
			for _, u := range c.platform.list {
				if u.state == "ready" && rand.IntN(4) == 0 {
					u.state = "draining"
					u.drainingSince.Store(time.Now().UnixNano())
					go func() {
						time.Sleep(5 * time.Second)
						u.listener.Close()
						c.platform.mu.Lock()
						delete(c.platform.list, u.id)
						c.platform.mu.Unlock()
					}()
					go c.addUpstream(u.service, u.zone, 4, truth, work, 0)
					break
				}
			}
			c.platform.mu.Unlock()
		}
	})
	ops.Wait()
	stop.Store(true)
	wg.Wait()
	time.Sleep(3500 * time.Millisecond)
	if !unplanned {
		for _, l := range truth.late {
			complain("DRAIN", "%s", l)
		}
	}
	for q := range 6 {
		var at []time.Time
		for _, runs := range truth.runs {
			for _, r := range runs {
				if r.tenant == fmt.Sprintf("quo%d", q) {
					at = append(at, r.at)
				}
			}
		}
		slices.SortFunc(at, func(a, b time.Time) int { return a.Compare(b) })
		rate := 40.0
		if q >= 3 {
			rate = 80
		}
		most, when := 0, time.Time{}
		for i, j := 0, 0; i < len(at); i++ {
			for at[i].Sub(at[j]) > 5*time.Second {
				j++
			}
			if i-j+1 > most {
				most, when = i-j+1, at[i]
			}
		}
		bound := (rate*5+rate)*1.1 + 20
		rec.line("quota quo%d: %d runs, most in 5s %d of %.0f at %v", q, len(at), most, bound, when.Sub(rec.began))
		if float64(most) > bound {
			complain("QUOTA", "quo%d", q)
		}
	}
	statuses.Range(func(k, v any) bool {
		if n := v.(*atomic.Int64).Load(); n > 0 {
			rec.line("answers %v: %d", k, n)
		}
		return true
	})
	rec.line("%d tries, %d served, %d complaints", total.Load(), served.Load(), broken.Load())
	return broken.Load() > 0
}
