package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

// keypass moves a key from a tenant without a limit to one with a small quota while requests
// with that key wait for a server, and counts what runs under the small tenant's name.
func keypass(rec *recorder, trouble bool) bool {
	const rate, burst = 5.0, 5.0
	c := newCluster(rec, 3, 3)
	defer c.stopAll()
	w := newWorld(rec)
	c.platform = startPlatform(c.otherIP(), rec)
	var ups []*upstream
	for n := range 9 {
		ups = append(ups, startUpstream(w, c.otherIP(), fmt.Sprintf("i-%d", n), "lease-ledger", c.zones[n%3], 2, func(*http.Request) time.Duration { return 150 * time.Millisecond }))
	}
	c.platform.set(ups...)
	conf := func(v int, large, small []string) []byte {
		return configuration(fmt.Sprintf("r%d", v), route("order", "h.example", "/order/", "non_idempotent", "lease-ledger", "2000ms", 2, false), service("lease-ledger"),
			tenant("large", 0, 0, large...), tenant("small", rate, burst, small...), limits("15000ms"))
	}
	c.startAll()
	if !c.replace(conf(1, []string{"key-large", "key-moving"}, []string{"key-small"}), 15*time.Second) || !c.awaitReady(20*time.Second) {
		cannotRun("the system did not become ready")
	}
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	sent := map[string]time.Time{}
	answers := map[int]int{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	client := func(at int, key string, pause time.Duration) {
		defer wg.Done()
		var conn *clientConn
		for {
			select {
			case <-stop:
				conn.close()
				return
			default:
			}
			if conn == nil || conn.conn == nil {
				var err error
				if conn, err = dialClient(c.frontend(at)); err != nil {
					conn = nil
					time.Sleep(20 * time.Millisecond)
					continue
				}
			}
			id := newID()
			mu.Lock()
			sent[id] = time.Now()
			mu.Unlock()
			rec.note("client of %s sends %s", key, id)
			a := conn.do(request("POST", "h.example", "/order/x", id, key, 2*time.Second, "order"), "POST", 3*time.Second)
			mu.Lock()
			answers[a.status]++
			mu.Unlock()
			rec.note("%s answered %d to %s", id, a.status, key)
			if a.err != nil {
				conn.close()
				conn = nil
			}
			if a.status != 200 {
				pause = max(pause, 200*time.Millisecond)
			}
			time.Sleep(pause)
		}
	}
	for n := range 150 {
		wg.Add(1)
		go client(n%3, "key-moving", 0)
	}
	for n := range 3 {
		wg.Add(1)
		go client(n, "key-small", 300*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	next := conf(2, []string{"key-large", "key-moving"}, []string{"key-small", "key-second"})
	if trouble {
		next = conf(2, []string{"key-large"}, []string{"key-small", "key-moving"})
	}
	if !c.replace(next, 5*time.Second) {
		cannotRun("the second configuration was not acknowledged")
	}
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
	for i := range c.machines {
		c.signal("proxy", i, syscall.SIGTERM)
	}
	time.Sleep(time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	type execution struct{ sent, at time.Time }
	var ran []execution
	for _, r := range w.runs {
		rec.note("ran %s at %s for tenant %s at %.3f", r.id, r.instance, r.tenant, r.at.Sub(rec.start).Seconds())
		if r.tenant == "small" {
			ran = append(ran, execution{sent[r.id], r.at})
		}
	}
	most, allowed := mostInWindow(len(ran), func(i int) (time.Time, time.Time) { return ran[i].sent, ran[i].at }, 5*time.Second), (rate*5+burst)*1.1+20
	fmt.Printf("answers %v; for tenant small, rate %v, burst %v: %d requests ran in all, at most %d of them both sent and run in one window of 5 s; allowed %.1f\n", answers, rate, burst, len(ran), most, allowed)
	rec.note("most in a window: %d, allowed %.1f", most, allowed)
	return float64(most) <= allowed
}

// mostInWindow returns the largest number of requests that are both sent and run within one
// window of the given length.
func mostInWindow(n int, of func(int) (sent, ran time.Time), length time.Duration) int {
	type request struct{ sent, ran time.Time }
	var all []request
	for i := range n {
		s, r := of(i)
		all = append(all, request{s, r})
	}
	sort.Slice(all, func(a, b int) bool { return all[a].ran.Before(all[b].ran) })
	most := 0
	for i := range all {
		count := 0
		for j := range i + 1 {
			if all[i].ran.Sub(all[j].sent) < length {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
