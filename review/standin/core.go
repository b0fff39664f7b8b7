package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["core"] = coreCase }

// coreCase loses core machines in many ways, one disk at most in catchUp, and asks whether
// all that was acknowledged is still there and new orders are taken.
func coreCase(rec *Record, trouble bool) bool {
	c := newCluster(rec, 3, 3)
	truth := newTruth()
	c.addUpstream("svc-a", zoneNames[0], 8, truth, func() time.Duration { return time.Millisecond }, 0)
	doc := func(v int) []byte { return document(v, chaosItems(v)) }
	for _, n := range c.nodes {
		c.writeSettings(n)
	}
	for _, n := range c.nodes {
		c.start(n, "control")
	}
	if !c.replace(1, doc(1), 0) {
		cannotRun("no configuration")
	}
	c.noBootstrap()
	var acked, next atomic.Int64
	acked.Store(1)
	next.Store(1)
	var broken atomic.Bool
	var stop atomic.Bool
	var lastAck atomic.Int64
	var wg sync.WaitGroup
	for o := range 2 {
		wg.Go(func() {
			for !stop.Load() {
				v := int(next.Add(1))
				if c.replace(v, doc(v), o+v) {
					lastAck.Store(time.Now().UnixNano())
					for old := acked.Load(); old < int64(v) && !acked.CompareAndSwap(old, int64(v)); old = acked.Load() {
					}
				}
				time.Sleep(time.Duration(rand.IntN(120)) * time.Millisecond)
			}
		})
	}
	for r := range 3 {
		wg.Go(func() {
			for !stop.Load() {
				was := acked.Load()
				status, b := c.call(c.nodes[r], "configuration.describe", nil)
				var d struct{ ConfigVersion string }
				var v int64
				json.Unmarshal(b, &d)
				fmt.Sscanf(d.ConfigVersion, "r%d", &v)
				if status == 200 && v < was || status == 404 {
					rec.line("BROKEN CONFIG %s reads %d r%d, r%d was acknowledged", c.nodes[r].name, status, v, was)
					broken.Store(true)
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	wipe := func(n *Node) {
		rec.line("disk of %s is lost", n.name)
		time.Sleep(50 * time.Millisecond)
		os.RemoveAll(filepath.Join(c.dir, n.name, "data"))
		os.MkdirAll(filepath.Join(c.dir, n.name, "data"), 0o755)
	}
	end := time.Now().Add(95 * time.Second)
	for time.Now().Before(end) {
		n := c.nodes[rand.IntN(3)]
		down := time.Duration(rand.IntN(3000)) * time.Millisecond
		calm := 4500 * time.Millisecond
		switch rand.IntN(6) {
		case 0:
			c.signal(n, "control", syscall.SIGKILL)
			time.Sleep(down)
			c.start(n, "control")
		case 1:
			c.signal(n, "control", syscall.SIGKILL)
			wipe(n)
			time.Sleep(down)
			c.start(n, "control")
			calm = 6 * time.Second
		case 2:
			c.signal(n, "control", syscall.SIGSTOP)
			time.Sleep(down)
			c.signal(n, "control", syscall.SIGCONT)
			calm = time.Duration(rand.IntN(4000)) * time.Millisecond
		case 3: // all are killed, at most one loses its disk
			for _, o := range c.nodes {
				c.signal(o, "control", syscall.SIGKILL)
			}
			if rand.IntN(2) == 0 {
				wipe(n)
			}
			time.Sleep(down / 3)
			for _, i := range rand.Perm(3) {
				c.start(c.nodes[i], "control")
				time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			}
			calm = 8 * time.Second
		case 4:
			c.signal(n, "control", syscall.SIGTERM)
			time.Sleep(2500 * time.Millisecond)
			c.start(n, "control")
		case 5: // one stands still, another is killed and comes back
			o := c.nodes[(rand.IntN(2)+1+indexOf(c, n))%3]
			c.signal(n, "control", syscall.SIGSTOP)
			time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
			c.signal(o, "control", syscall.SIGKILL)
			time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			if rand.IntN(2) == 0 {
				c.signal(n, "control", syscall.SIGCONT)
				c.start(o, "control")
			} else {
				c.start(o, "control")
				time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
				c.signal(n, "control", syscall.SIGCONT)
			}
			calm = 8 * time.Second
		}
		began := time.Now()
		time.Sleep(calm)
		if calm > 4*time.Second && lastAck.Load() < began.UnixNano() {
			rec.line("BROKEN hang: nothing acknowledged in the %v after all were back", calm)
			time.Sleep(12 * time.Second)
			if lastAck.Load() < began.UnixNano() {
				rec.line("BROKEN hang: nor 12 s later")
				broken.Store(true)
			}
		}
	}
	stop.Store(true)
	wg.Wait()
	return broken.Load()
}

func indexOf(c *Cluster, n *Node) int {
	for i, o := range c.nodes {
		if o == n {
			return i
		}
	}
	return 0
}
