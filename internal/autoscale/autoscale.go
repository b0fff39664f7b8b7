// Package autoscale decides how many upstreams of a service each zone is to have, by a
// feed-forward control loop over concurrency (Little's law), fast up, slow down. Proxies
// report what runs and waits for them, the duty's holder adds it up, and what it orders is
// kept in the chain, so a successor goes on there.
//
// The law. With n requests running or waiting in a zone, slots places an upstream
// and a part u of them to be taken, n/(u x slots) upstreams are wanted. n is the
// largest mean over a second in the last hold time, or what its rise over the last
// rise time makes of it until a new upstream has booted. Between a low and a high
// part taken nothing is changed. Above the high one what is wanted is ordered at once.
// Below the low one fewer are ordered, at most a part of them each pause, and only
// while every live proxy's word is fresh and something has been asked lately. A service's
// hold time is the boot of its upstreams and the time until their effect is measured, so an
// order is not taken back before its effect is seen: that is what keeps the loop from
// swinging.
package autoscale

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"sync"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/transport"
)

// Subject is a service in a zone.
type Subject struct{ Service, Zone string }

// Compare orders subjects by service and then zone.
func (s Subject) Compare(o Subject) int {
	return cmp.Or(cmp.Compare(s.Service, o.Service), cmp.Compare(s.Zone, o.Zone))
}

// Report is one proxy's word: what runs and waits for it now, by service.
type Report struct {
	Proxy, Zone string
	Running     map[string]int
}

// Ack answers it; false from who does not hold the duty.
type Ack struct{ OK bool }

func init() {
	transport.Register(transport.NameLoadReport, Report{})
	transport.Register(transport.NameLoadAck, Ack{})
}

type sample struct {
	at     time.Duration
	report Report
}

// LoadAggregator adds up the proxies' words.
type LoadAggregator struct {
	mu       sync.Mutex
	byProxy  map[string]sample
	Rejected uint64
}

// NewLoadAggregator makes an empty one.
func NewLoadAggregator() *LoadAggregator { return &LoadAggregator{byProxy: map[string]sample{}} }

// Record keeps a proxy's latest word; one that cannot be is dropped and counted.
func (g *LoadAggregator) Record(now time.Duration, t Report) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	bad := t.Proxy == "" || len(t.Proxy) > constants.NameMax || len(t.Zone) > constants.NameMax || len(t.Running) > constants.ScaleServices
	for _, n := range t.Running {
		bad = bad || n < 0 || n > constants.ScaleMost
	}
	if bad {
		g.Rejected++
		return false
	}
	g.byProxy[t.Proxy] = sample{now, t}
	return true
}

// Sum is what runs, by subject, and whether all live proxies have spoken lately.
func (g *LoadAggregator) Sum(now time.Duration, live []string) (sum map[Subject]float64, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum, whole = map[Subject]float64{}, len(live) > 0
	for p, w := range g.byProxy {
		if now-w.at > constants.ScaleFresh {
			if now-w.at > constants.ProxyForget {
				delete(g.byProxy, p)
			}
			continue
		}
		for s, n := range w.report.Running {
			sum[Subject{s, w.report.Zone}] += float64(n)
		}
	}
	for _, p := range live {
		if w, ok := g.byProxy[p]; !ok || now-w.at > constants.ScaleFresh {
			whole = false
		}
	}
	return sum, whole
}

// Bounds is what is known of a subject beside its load.
type Bounds struct {
	Min, Max int
	BootTime time.Duration
	Slots    int
	Present  int // on the platform's list and not leaving
}

// hold is the time within which an order's effect is seen: new upstreams boot, proxies report
// what runs there, and the reports are averaged. A rise is measured over a part of it.
func (b Bounds) hold() time.Duration {
	return max(b.BootTime, constants.ScaleRise) + constants.ScaleEvery + constants.ScaleSmooth
}

// Orders are the counts ordered, as they are kept and sent.
type Orders []Order

// Order is one subject's count.
type Order struct {
	TargetService string `json:"targetService"`
	Zone          string `json:"zone"`
	DesiredCount  int    `json:"desiredCount"`
}

// ParseOrders gives orders as they were written; none when they cannot be read.
func ParseOrders(b []byte) Orders {
	var os Orders
	if json.Unmarshal(b, &os) != nil {
		return nil
	}
	return os
}

// Marshal writes orders.
func (os Orders) Marshal() []byte {
	b, err := json.Marshal(os)
	if err != nil {
		panic("scaling: orders cannot be written: " + err.Error())
	}
	return b
}

// DesiredCount is the count ordered of a subject.
func (os Orders) DesiredCount(s Subject) (int, bool) {
	for _, o := range os {
		if o.TargetService == s.Service && o.Zone == s.Zone {
			return o.DesiredCount, true
		}
	}
	return 0, false
}

type point struct {
	at time.Duration
	n  float64
}

type track struct {
	past   []point // as measured
	smooth []point
	downAt time.Duration
	why    string
}

// Controller is the loop's memory of the load at one holder. What has been ordered is not
// in it: that comes from the chain.
type Controller struct {
	mu      sync.Mutex
	history map[Subject]*track
}

// NewController makes one that has seen nothing.
func NewController() *Controller { return &Controller{history: map[Subject]*track{}} }

// Step takes a measurement and gives the orders that are wanted now, given the
// present ones; changed says that they differ.
func (l *Controller) Step(now time.Duration, load map[Subject]float64, whole bool, bounds map[Subject]Bounds, present Orders) (wanted Orders, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	subjects := make([]Subject, 0, len(bounds))
	for s := range bounds {
		subjects = append(subjects, s)
	}
	slices.SortFunc(subjects, Subject.Compare)
	for _, s := range subjects {
		b := bounds[s]
		t := l.history[s]
		if t == nil {
			t = &track{downAt: now}
			l.history[s] = t
		}
		n := load[s]
		if whole || n > 0 {
			t.past = append(t.past, point{now, n})
		}
		for len(t.past) > 0 && now-t.past[0].at > b.hold() {
			t.past = t.past[1:]
		}
		is, ordered := present.DesiredCount(s)
		if !ordered {
			is = b.Present
		}
		count, known := l.next(now, t, b, is, whole)
		if !ordered && !known {
			continue // nothing is ordered before anything has been measured
		}
		count = min(max(count, b.Min), b.Max)
		if !ordered && count == is {
			continue
		}
		wanted = append(wanted, Order{s.Service, s.Zone, count})
		changed = changed || !ordered || count != is
	}
	return wanted, changed
}

// next is the count wanted when is are ordered; known is false while nothing has
// been measured.
func (l *Controller) next(now time.Duration, t *track, b Bounds, is int, whole bool) (count int, known bool) {
	if len(t.past) == 0 || b.Slots < 1 {
		return is, false
	}
	mean := func(until time.Duration) (sum float64, ok bool) { // over the smoothing time before
		n := 0.0
		for _, p := range t.past {
			if p.at <= until && until-p.at < constants.ScaleSmooth {
				sum, n = sum+p.n, n+1
			}
		}
		return sum / max(n, 1), n > 0
	}
	last, ok := mean(now)
	t.smooth = append(t.smooth, point{now, last})
	for now-t.smooth[0].at > b.hold() {
		t.smooth = t.smooth[1:]
	}
	most := 0.0
	for _, p := range t.smooth {
		most = max(most, p.n)
	}
	if most == 0 || !ok {
		return is, false // nobody asks: no measurement of what they would
	}
	if before, ok := mean(now - constants.ScaleRise); ok && before > 0 && last > before {
		most = max(most, last+(last-before)*b.BootTime.Seconds()/constants.ScaleRise.Seconds()*constants.ScaleAhead)
	}
	want := int(math.Ceil(most / (constants.ScaleTaken * float64(b.Slots))))
	taken := most / float64(max(1, is)*b.Slots)
	if taken > constants.ScaleHigh {
		t.why, t.downAt = "load", now
		return want, true
	}
	if !whole || now-t.smooth[0].at < b.hold()*3/4 || now-t.downAt < constants.ScalePause || taken >= constants.ScaleLow {
		return is, true
	}
	t.why, t.downAt = "idle", now
	return max(want, int(math.Ceil(float64(is)*(1-constants.ScaleDown)))), true
}

// Reason is the reason of a subject's last change.
func (l *Controller) Reason(s Subject) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.history[s]; t != nil {
		return t.why
	}
	return ""
}

// SplitOrders makes one call a subject of the orders.
func SplitOrders(body []byte) map[string][]byte {
	out := map[string][]byte{}
	for _, o := range ParseOrders(body) {
		b, err := json.Marshal(o)
		if err != nil {
			panic("scaling: an order cannot be written: " + err.Error())
		}
		out[o.TargetService+" "+o.Zone] = b
	}
	return out
}
