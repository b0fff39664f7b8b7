// Package autoscale decides how many upstreams each service should have in each zone. It is a
// feed-forward control loop over concurrency, based on Little's law, that scales out quickly and
// in slowly. Proxies report their running and waiting requests to the holder of the scaling duty,
// which adds them up. The decided orders are stored in the chain, so that a new holder continues
// from them.
//
// With n requests running or waiting in a zone, a number of slots per upstream and a target
// utilization u, the service needs n/(u x slots) upstreams. The load n is the peak, within the
// hold time, of the load averaged over a second. If the load has risen over the last rise time,
// n also anticipates part of the further rise until a new upstream has booted. The count does not
// change while the utilization is between a low and a high threshold. Above the high threshold,
// the needed count is ordered at once. Below the low threshold, the count is reduced by at most a
// fixed fraction per pause, and only if the reports of all live proxies are fresh and there were
// requests recently. The hold time of a service covers the boot of its upstreams and the time until
// their effect is measured. An order is therefore not reverted before its effect is visible, which
// prevents the loop from oscillating.
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

// Compare orders subjects by service and then by zone.
func (s Subject) Compare(other Subject) int {
	return cmp.Or(cmp.Compare(s.Service, other.Service), cmp.Compare(s.Zone, other.Zone))
}

// Report is one proxy's current number of running and waiting requests, by service.
type Report struct {
	Proxy, Zone string
	Running     map[string]int
}

// Ack answers a Report. OK is false if the receiver does not hold the scaling duty or rejected
// the report.
type Ack struct{ OK bool }

func init() {
	transport.Register(transport.NameLoadReport, Report{})
	transport.Register(transport.NameLoadAck, Ack{})
}

type receivedReport struct {
	at     time.Duration
	report Report
}

// LoadAggregator adds up the load reports of the proxies.
type LoadAggregator struct {
	mu       sync.Mutex
	byProxy  map[string]receivedReport
	Rejected uint64 // number of invalid reports
}

// NewLoadAggregator returns an aggregator without reports.
func NewLoadAggregator() *LoadAggregator {
	return &LoadAggregator{byProxy: map[string]receivedReport{}}
}

// Record stores the latest report of a proxy. It drops and counts a report with missing or
// out-of-range values and returns false for it.
func (a *LoadAggregator) Record(now time.Duration, report Report) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	invalid := report.Proxy == "" || len(report.Proxy) > constants.MaxNameBytes || len(report.Zone) > constants.MaxNameBytes || len(report.Running) > constants.ScaleMaxServices
	for _, n := range report.Running {
		invalid = invalid || n < 0 || n > constants.ScaleMaxRequests
	}
	if invalid {
		a.Rejected++
		return false
	}
	a.byProxy[report.Proxy] = receivedReport{now, report}
	return true
}

// Sum returns the load of each subject from the fresh reports. complete is true if there are live
// proxies and each of them has a fresh report.
func (a *LoadAggregator) Sum(now time.Duration, live []string) (sum map[Subject]float64, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum, complete = map[Subject]float64{}, len(live) > 0
	for proxy, received := range a.byProxy {
		if now-received.at > constants.ScaleReportMaxAge {
			if now-received.at > constants.ProxyExpiry {
				delete(a.byProxy, proxy)
			}
			continue
		}
		for service, n := range received.report.Running {
			sum[Subject{service, received.report.Zone}] += float64(n)
		}
	}
	for _, proxy := range live {
		if received, ok := a.byProxy[proxy]; !ok || now-received.at > constants.ScaleReportMaxAge {
			complete = false
		}
	}
	return sum, complete
}

// Bounds holds the limits of a subject's count and the properties of its upstreams.
type Bounds struct {
	Min, Max int
	BootTime time.Duration
	Slots    int // per upstream
	Present  int // upstreams in the platform's list that are not draining
}

// hold returns the time until the effect of an order is visible: new upstreams boot, proxies
// report the requests running there, and the reports are averaged. It covers ScaleTrendWindow, the time
// over which a rise of the load is measured.
func (b Bounds) hold() time.Duration {
	return max(b.BootTime, constants.ScaleTrendWindow) + constants.ScaleReportInterval + constants.ScaleSmoothingWindow
}

// Orders is a list of ordered counts, as it is stored and sent.
type Orders []Order

// Order is the count ordered for one subject.
type Order struct {
	TargetService string `json:"targetService"`
	Zone          string `json:"zone"`
	DesiredCount  int    `json:"desiredCount"`
}

// ParseOrders decodes orders written by Marshal. It returns nil if they are invalid.
func ParseOrders(b []byte) Orders {
	var orders Orders
	if json.Unmarshal(b, &orders) != nil {
		return nil
	}
	return orders
}

// Marshal encodes the orders as JSON.
func (orders Orders) Marshal() []byte {
	b, err := json.Marshal(orders)
	if err != nil {
		panic("autoscale: encoding orders: " + err.Error())
	}
	return b
}

// DesiredCount returns the count ordered for a subject.
func (orders Orders) DesiredCount(s Subject) (int, bool) {
	for _, order := range orders {
		if order.TargetService == s.Service && order.Zone == s.Zone {
			return order.DesiredCount, true
		}
	}
	return 0, false
}

type loadPoint struct {
	at time.Duration
	n  float64
}

// history holds the recent load of one subject.
type history struct {
	raw        []loadPoint // as measured
	smooth     []loadPoint // averaged over ScaleSmoothingWindow
	lastChange time.Duration
	reason     string // of the last change
}

// Controller is the control loop of one duty holder. It keeps only the recent load; the counts
// ordered so far are stored in the chain and passed to Step.
type Controller struct {
	mu        sync.Mutex
	histories map[Subject]*history
}

// NewController returns a controller without load history.
func NewController() *Controller { return &Controller{histories: map[Subject]*history{}} }

// Step adds a load measurement and returns the wanted orders, given the current ones. complete
// indicates whether the measurement covers all live proxies. changed indicates whether the wanted
// orders differ from the current ones.
func (c *Controller) Step(now time.Duration, load map[Subject]float64, complete bool, bounds map[Subject]Bounds, current Orders) (wanted Orders, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	subjects := make([]Subject, 0, len(bounds))
	for s := range bounds {
		subjects = append(subjects, s)
	}
	slices.SortFunc(subjects, Subject.Compare)
	for _, s := range subjects {
		b := bounds[s]
		h := c.histories[s]
		if h == nil {
			h = &history{lastChange: now}
			c.histories[s] = h
		}
		n := load[s]
		if complete || n > 0 {
			h.raw = append(h.raw, loadPoint{now, n})
		}
		for len(h.raw) > 0 && now-h.raw[0].at > b.hold() {
			h.raw = h.raw[1:]
		}
		previous, ordered := current.DesiredCount(s)
		if !ordered {
			previous = b.Present
		}
		count, measured := c.nextCount(now, h, b, previous, complete)
		if !ordered && !measured {
			continue // place no first order before the load has been measured
		}
		count = min(max(count, b.Min), b.Max)
		if !ordered && count == previous {
			continue
		}
		wanted = append(wanted, Order{s.Service, s.Zone, count})
		changed = changed || !ordered || count != previous
	}
	return wanted, changed
}

// nextCount returns the wanted count, given the previous one. measured is false if no load has
// been measured.
func (c *Controller) nextCount(now time.Duration, h *history, b Bounds, previous int, complete bool) (count int, measured bool) {
	if len(h.raw) == 0 || b.Slots < 1 {
		return previous, false
	}
	mean := func(until time.Duration) (sum float64, ok bool) { // over the ScaleSmoothingWindow interval that ends at until
		n := 0.0
		for _, p := range h.raw {
			if p.at <= until && until-p.at < constants.ScaleSmoothingWindow {
				sum, n = sum+p.n, n+1
			}
		}
		return sum / max(n, 1), n > 0
	}
	last, ok := mean(now)
	h.smooth = append(h.smooth, loadPoint{now, last})
	for now-h.smooth[0].at > b.hold() {
		h.smooth = h.smooth[1:]
	}
	peak := 0.0
	for _, p := range h.smooth {
		peak = max(peak, p.n)
	}
	if peak == 0 || !ok {
		return previous, false // without requests there is no measurement of the load they would cause
	}
	if before, ok := mean(now - constants.ScaleTrendWindow); ok && before > 0 && last > before {
		peak = max(peak, last+(last-before)*b.BootTime.Seconds()/constants.ScaleTrendWindow.Seconds()*constants.ScaleTrendWeight)
	}
	needed := int(math.Ceil(peak / (constants.ScaleTargetUtilization * float64(b.Slots))))
	utilization := peak / float64(max(1, previous)*b.Slots)
	if utilization > constants.ScaleUpUtilization {
		h.reason, h.lastChange = "load", now
		return needed, true
	}
	if !complete || now-h.smooth[0].at < b.hold()*3/4 || now-h.lastChange < constants.ScaleDownCooldown || utilization >= constants.ScaleDownUtilization {
		return previous, true
	}
	h.reason, h.lastChange = "idle", now
	return max(needed, int(math.Ceil(float64(previous)*(1-constants.ScaleDownMaxFraction)))), true
}

// Reason returns the reason for the last change of a subject's count.
func (c *Controller) Reason(s Subject) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.histories[s]; h != nil {
		return h.reason
	}
	return ""
}

// SplitOrders splits encoded orders into one platform call per subject.
func SplitOrders(body []byte) map[string][]byte {
	out := map[string][]byte{}
	for _, order := range ParseOrders(body) {
		b, err := json.Marshal(order)
		if err != nil {
			panic("autoscale: encoding an order: " + err.Error())
		}
		out[order.TargetService+" "+order.Zone] = b
	}
	return out
}
