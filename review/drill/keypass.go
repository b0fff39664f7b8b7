package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Tenant small has this quota throughout. The window is the deployment's quotaWindow.
const (
	keypassRate   = 5.0
	keypassBurst  = 5.0
	keypassWindow = 5 * time.Second
)

// keypassConfig returns a version with the tenants large, without a limit, and small.
func keypassConfig(version int, large, small []string) []byte {
	return configuration(fmt.Sprintf("r%d", version), route("order", "h.example", "/order/", "non_idempotent", "lease-ledger", "2000ms", 2, false), service("lease-ledger"),
		tenant("large", 0, 0, large...), tenant("small", keypassRate, keypassBurst, small...), limits("15000ms"))
}

// keypass moves a key from a tenant without a limit to one with a small quota while requests
// with that key wait for a server, and counts what runs under the small tenant's name.
func keypass(rec *recorder, trouble bool) bool {
	c := newCluster(rec, 3, 3)
	defer c.stopAll()
	w := newWorld(rec)
	c.platform = startPlatform(c.otherIP(), rec)
	var ups []*upstream
	for n := range 9 {
		ups = append(ups, startUpstream(w, c.otherIP(), fmt.Sprintf("i-%d", n), "lease-ledger", c.zones[n%3], 2, func(*http.Request) time.Duration { return 150 * time.Millisecond }))
	}
	c.platform.set(ups...)
	c.startAll()
	if !c.replace(keypassConfig(1, []string{"key-large", "key-moving"}, []string{"key-small"}), 15*time.Second) || !c.awaitReady(20*time.Second) {
		cannotRun("the system did not become ready")
	}
	time.Sleep(5 * time.Second)
	load := &keypassLoad{c: c, sent: map[string]time.Time{}, answers: map[int]int{}, stop: make(chan struct{})}
	for n := range 150 {
		load.start(n%3, "key-moving", 0)
	}
	for n := range 3 {
		load.start(n, "key-small", 300*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	next := keypassConfig(2, []string{"key-large", "key-moving"}, []string{"key-small", "key-second"})
	if trouble {
		next = keypassConfig(2, []string{"key-large"}, []string{"key-small", "key-moving"})
	}
	if !c.replace(next, 5*time.Second) {
		cannotRun("the second configuration was not acknowledged")
	}
	time.Sleep(8 * time.Second)
	close(load.stop)
	load.wg.Wait()
	return load.judge(rec, w)
}

// keypassLoad is the clients' load.
type keypassLoad struct {
	c    *cluster
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	sent    map[string]time.Time // by request ID
	answers map[int]int          // by status; 0 is a connection that ended without an answer
}

// start starts a client that sends one request after the other to a machine.
func (l *keypassLoad) start(at int, key string, pause time.Duration) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		var conn *clientConn
		defer func() { conn.close() }()
		for {
			select {
			case <-l.stop:
				return
			default:
			}
			if conn == nil || conn.conn == nil {
				var err error
				if conn, err = dialClient(l.c.frontend(at)); err != nil {
					conn = nil
					time.Sleep(20 * time.Millisecond)
					continue
				}
			}
			status := l.send(conn, key)
			if status == 0 {
				conn.close()
				conn = nil
			}
			if status != 200 {
				pause = max(pause, 200*time.Millisecond)
			}
			time.Sleep(pause)
		}
	}()
}

// send sends one request and returns the status of its answer, or 0.
func (l *keypassLoad) send(conn *clientConn, key string) int {
	id := newID()
	l.mu.Lock()
	l.sent[id] = time.Now()
	l.mu.Unlock()
	l.c.rec.note("client of %s sends %s", key, id)
	a := conn.do(request("POST", "h.example", "/order/x", id, key, 2*time.Second, "order"), "POST", 3*time.Second)
	if a.err != nil {
		a.status = 0
	}
	l.mu.Lock()
	l.answers[a.status]++
	l.mu.Unlock()
	l.c.rec.note("%s answered %d to %s", id, a.status, key)
	return a.status
}

// judge reports whether the rule held for tenant small.
func (l *keypassLoad) judge(rec *recorder, w *world) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ran []execution
	for _, r := range w.runs {
		rec.note("ran %s at %s for tenant %s at %.3f", r.id, r.instance, r.tenant, r.at.Sub(rec.start).Seconds())
		if r.tenant == "small" {
			ran = append(ran, execution{l.sent[r.id], r.at})
		}
	}
	most, allowed := mostInWindow(ran, keypassWindow), (keypassRate*keypassWindow.Seconds()+keypassBurst)*1.1+20
	rec.note("most in a window: %d, allowed %.1f", most, allowed)
	fmt.Printf("answers %v; for tenant small, rate %v, burst %v: %d requests ran in all, at most %d of them both sent and run in one window of %v; allowed %.1f\n",
		l.answers, keypassRate, keypassBurst, len(ran), most, keypassWindow, allowed)
	return float64(most) <= allowed
}

// execution is a request that was sent and run.
type execution struct{ sent, at time.Time }

// mostInWindow returns the largest number of requests that are both sent and run within one
// window of the given length.
func mostInWindow(all []execution, length time.Duration) int {
	sort.Slice(all, func(a, b int) bool { return all[a].at.Before(all[b].at) })
	most := 0
	for i := range all {
		count := 0
		for j := range i + 1 {
			if all[i].at.Sub(all[j].sent) < length {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
