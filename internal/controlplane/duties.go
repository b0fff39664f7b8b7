package controlplane

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"slateridge/internal/autoscale"
	"slateridge/internal/constants"
	"slateridge/internal/controlplane/chain"
	"slateridge/internal/duty"
	"slateridge/internal/settings"
	"slateridge/internal/usage"
)

// dutyRunner runs one platform duty on this machine: its holder and its calls to the platform.
type dutyRunner struct {
	name      string
	path      string // path of the platform call
	plan      func(now time.Duration, after uint64) (key uint64, body []byte, ok bool)
	mu        sync.Mutex // guards holder, cancel, callID and heldSince
	holder    *duty.Holder
	client    *http.Client
	cancel    context.CancelFunc // cancels the latest call
	callID    uint64             // ID of the latest call
	heldSince time.Duration      // start of the current uninterrupted hold
	// split divides the body of a decided call into parts, keyed by subject, each of which is
	// posted on its own; nil posts the whole body. Parts that the platform has accepted under
	// the current fence are not repeated.
	split         func(body []byte) map[string][]byte
	sendMu        sync.Mutex // serializes calls, since a canceled one may still be returning; guards the fields below
	accepted      map[string]string
	acceptedFence uint64
}

var errLeaseNotHeld = errors.New("duty lease is no longer held")

// leaseGuardedConn is a connection that rejects writes once the lease has expired. It checks
// the lease at each write, because the process may have been frozen since an earlier check.
type leaseGuardedConn struct {
	net.Conn
	held func() bool
}

func (c leaseGuardedConn) Write(b []byte) (int, error) {
	if !c.held() {
		c.Close()
		return 0, errLeaseNotHeld
	}
	return c.Conn.Write(b)
}

func (d *Daemon) newDutyRunner(name, path string, plan func(time.Duration, uint64) (uint64, []byte, bool)) *dutyRunner {
	runner := &dutyRunner{name: name, path: path, plan: plan, holder: duty.NewHolder(name, d.settings.NodeName, d.settings.Bounds.Lease.D(), d.settings.CloudAPI.DutiesPerS, rand.New(rand.NewPCG(rand.Uint64(), 1)))}
	dial := net.Dialer{Timeout: constants.DutyCallTimeout}
	runner.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: constants.DutyCallTimeout,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			c, err := dial.DialContext(ctx, "tcp4", addr)
			if err != nil {
				return nil, err
			}
			return leaseGuardedConn{c, func() bool { until, _ := d.leases.term(name); return until > d.now() }}, nil
		}}}
	return runner
}

// dutyRecord returns the newest committed record of a duty.
func (d *Daemon) dutyRecord(name string) duty.Record {
	if doc := d.activeState.Load(); doc != nil {
		return doc.Duties[name]
	}
	return duty.Record{}
}

// stepDuties advances all platform duties and runs their effects.
func (d *Daemon) stepDuties() {
	d.clock.Observe(d.settings.IPAddress, time.Now().UnixNano(), d.now())
	for _, runner := range d.dutyRunners {
		until, since := d.leases.term(runner.name)
		runner.mu.Lock()
		fenceBefore := runner.holder.Fence()
		runner.heldSince = since
		effects := runner.holder.Step(d.now(), until, d.dutyRecord(runner.name), func(after uint64) (uint64, []byte, bool) { return runner.plan(d.now(), after) })
		fenceAfter := runner.holder.Fence()
		runner.mu.Unlock()
		if fenceBefore != fenceAfter {
			d.events.Record(map[bool]string{true: "duty_fence_taken", false: "duty_fence_left"}[fenceAfter > 0], runner.name+" "+strconv.FormatUint(max(fenceBefore, fenceAfter), 10))
		}
		d.runDutyEffects(runner, effects)
	}
}

func (d *Daemon) runDutyEffects(runner *dutyRunner, effects []duty.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case duty.Order:
			d.replica.step(func() []chain.Effect { return d.replica.chain.SubmitDutyOrder(d.now(), effect) })
		case duty.Cancel:
			runner.mu.Lock()
			if runner.cancel != nil && runner.callID == effect.ID {
				runner.cancel()
			}
			runner.mu.Unlock()
		case duty.Yield:
			d.events.Record("duty_refused", runner.name+": the platform has seen a higher fencing token")
			d.leases.release(runner.name)
		case duty.Call:
			ctx, cancel := context.WithTimeout(context.Background(), constants.DutyCallTimeout)
			runner.mu.Lock()
			runner.cancel, runner.callID = cancel, effect.ID
			runner.mu.Unlock()
			go func() {
				defer cancel()
				status := d.perform(ctx, runner, effect)
				runner.mu.Lock()
				more := runner.holder.HandleResponse(d.now(), effect.ID, status)
				runner.mu.Unlock()
				if status != http.StatusOK {
					d.events.Count("duty_call_failed", 1)
					if status != 0 && status != http.StatusConflict && status != http.StatusTooManyRequests {
						d.events.Record("duty_answer", runner.name+": platform returned status "+strconv.Itoa(status))
					}
				}
				d.runDutyEffects(runner, more)
			}()
		}
	}
}

// perform makes a decided call to the platform, in one or more requests. It returns the status
// of the last request, 0 if there was no response.
func (d *Daemon) perform(ctx context.Context, runner *dutyRunner, call duty.Call) int {
	if runner.split == nil {
		return d.post(ctx, runner, call.Fence, call.Body)
	}
	runner.sendMu.Lock()
	defer runner.sendMu.Unlock()
	if runner.acceptedFence != call.Fence {
		runner.acceptedFence, runner.accepted = call.Fence, map[string]string{}
	}
	parts := runner.split(call.Body)
	for _, subject := range slices.Sorted(maps.Keys(parts)) {
		if runner.accepted[subject] == string(parts[subject]) {
			continue
		}
		if status := d.post(ctx, runner, call.Fence, parts[subject]); status != http.StatusOK {
			return status
		}
		runner.accepted[subject] = string(parts[subject])
		time.Sleep(constants.DutyCallSpacing)
	}
	return http.StatusOK
}

// post makes one request to the platform and returns the status, 0 if there was no response.
func (d *Daemon) post(ctx context.Context, runner *dutyRunner, fence uint64, body []byte) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.settings.CloudAPI.Address+runner.path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Slateridge-Duty-Holder", d.settings.NodeName)
	req.Header.Set("X-Slateridge-Fence-Token", strconv.FormatUint(fence, 10))
	resp, err := runner.client.Do(req)
	if err != nil {
		return 0 // the caller counts the failure and retries
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, constants.MaxHeaderBytes))
	return resp.StatusCode
}

// Usage duty.

// handleUsageReport merges a proxy's usage report if this machine holds the duty.
func (d *Daemon) handleUsageReport(m usage.Report) any {
	until, _ := d.leases.term(settings.DutyUsage)
	at, ok := d.clock.Now(d.now())
	if until == 0 || !ok {
		return usage.Ack{}
	}
	ack, _ := d.usageTally.Merge(d.now(), usage.Window(at, d.settings.Bounds.UsageWindow.D()), m)
	return ack
}

// saveUsage persists the collected usage so that it survives a restart, and sends reports to
// another holder if the duty has moved.
func (d *Daemon) saveUsage() {
	until, _ := d.leases.term(settings.DutyUsage)
	holder := d.leases.holder(settings.DutyUsage)
	for _, effect := range d.usagePersister.Step(until > 0, holder) {
		switch effect := effect.(type) {
		case usage.SendHandover:
			if effect.To == d.settings.IPAddress {
				d.handleUsageHandover(effect.Handover)
			} else {
				d.connections.send(effect.To, effect.Handover)
			}
			d.events.Record("usage_handed_on", strconv.Itoa(len(effect.Words))+" reports to "+effect.To)
		case usage.Save:
			// If the write fails, the proxies send their reports again while they run.
			d.replica.put(effect.Key, func() any { return effect.Reports })
		}
	}
}

func (d *Daemon) handleUsageHandover(m usage.Handover) {
	for _, report := range m.Words {
		d.handleUsageReport(report)
	}
	if m.Last {
		d.usageTally.HandoverReceived(d.now())
	}
}

// planUsage returns the key and body of the next window's report, if it is due.
func (d *Daemon) planUsage(now time.Duration, after uint64) (uint64, []byte, bool) {
	at, ok := d.clock.Now(now)
	if !ok {
		return 0, nil, false
	}
	_, since := d.leases.term(settings.DutyUsage)
	bounds := d.settings.Bounds
	return d.usageTally.NextWindow(usage.Timing{Monotonic: now, Agreed: at, HeldFor: now - since}, after, bounds.UsageWindow.D(), bounds.UsageDelay.D(), d.roster.recentProxies())
}

// Scaling duty.

// handleLoadReport records a proxy's load report if this machine holds the duty.
func (d *Daemon) handleLoadReport(report autoscale.Report) any {
	if until, _ := d.leases.term(settings.DutyScaling); until == 0 {
		return autoscale.Ack{}
	}
	return autoscale.Ack{OK: d.loadAggregator.Record(d.now(), report)}
}

// scalableSubjects returns the bounds of each service with scaling settings, in each zone where
// this process has seen the service in the platform's list.
func (d *Daemon) scalableSubjects() map[autoscale.Subject]autoscale.Bounds {
	cfg := d.activeState.Config()
	list, _ := d.upstreamList.current()
	d.subjectSlotsMu.Lock()
	defer d.subjectSlotsMu.Unlock()
	out := map[autoscale.Subject]autoscale.Bounds{}
	if cfg == nil || list == nil {
		return out
	}
	for _, instance := range list.Instances {
		subject := autoscale.Subject{Service: instance.Service, Zone: instance.Zone}
		if service := cfg.Services[instance.Service]; service != nil && service.Scaling != nil {
			if d.subjectSlots[subject] == 0 {
				d.subjectSlots[subject] = instance.Slots
			}
			bound := out[subject]
			if !instance.Draining {
				bound.Present++
			}
			out[subject] = bound
		}
	}
	for subject, slots := range d.subjectSlots {
		service := cfg.Services[subject.Service]
		if service == nil || service.Scaling == nil {
			continue
		}
		bound := out[subject]
		bound.Min, bound.Max, bound.BootTime, bound.Slots = service.Scaling.Min, service.Scaling.Max, service.Scaling.BootTime, slots
		out[subject] = bound
	}
	return out
}

// planScaling returns the next scaling orders if they differ from the last decided ones.
func (d *Daemon) planScaling(now time.Duration, after uint64) (uint64, []byte, bool) {
	sum, complete := d.loadAggregator.Sum(now, d.roster.recentProxies())
	decided := autoscale.ParseOrders(d.dutyRecord(settings.DutyScaling).Body)
	wanted, changed := d.scaler.Step(now, sum, complete, d.scalableSubjects(), decided)
	if !changed {
		return 0, nil, false
	}
	for _, o := range wanted {
		if previous, ok := decided.DesiredCount(autoscale.Subject{Service: o.TargetService, Zone: o.Zone}); !ok || previous != o.DesiredCount {
			d.events.Record("scale", o.TargetService+" in "+o.Zone+": "+strconv.Itoa(previous)+" -> "+strconv.Itoa(o.DesiredCount)+" ("+d.scaler.Reason(autoscale.Subject{Service: o.TargetService, Zone: o.Zone})+")")
		}
	}
	return after + 1, wanted.Marshal(), true
}

// DutyReport describes one platform duty for operators.
type DutyReport struct {
	Fence      uint64
	Holder     string
	Mine       bool
	Held       time.Duration // how long this machine has held the duty without interruption
	Decided    uint64        // key of the last decided call; for usage, the window
	Backlog    bool          // the last decided call is not known to be accepted
	Accepted   uint64        // counted since this process started, as are Refused and Failed
	Refused    uint64
	Failed     uint64
	LastStatus int
	SinceOK    time.Duration
	Tellers    int // proxy processes that have reported usage to this machine
}

// ScalingReport describes the scaling of one service in one zone.
type ScalingReport struct {
	Service, Zone    string
	Ordered, Present int    // Ordered is -1 if nothing has been ordered
	Why              string // reason of the last change by this machine
}

func (d *Daemon) scalingReports() (out []ScalingReport) {
	if !d.settings.HasDuty(settings.DutyScaling) {
		return nil
	}
	orders := autoscale.ParseOrders(d.dutyRecord(settings.DutyScaling).Body)
	for subject, bound := range d.scalableSubjects() {
		ordered, ok := orders.DesiredCount(subject)
		if !ok {
			ordered = -1
		}
		out = append(out, ScalingReport{subject.Service, subject.Zone, ordered, bound.Present, d.scaler.Reason(subject)})
	}
	slices.SortFunc(out, func(a, b ScalingReport) int {
		return autoscale.Subject{Service: a.Service, Zone: a.Zone}.Compare(autoscale.Subject{Service: b.Service, Zone: b.Zone})
	})
	return out
}

// dutyReports returns the reports of the platform duties by name.
func (d *Daemon) dutyReports() map[string]DutyReport {
	out := map[string]DutyReport{}
	for _, runner := range d.dutyRunners {
		rec := d.dutyRecord(runner.name)
		runner.mu.Lock()
		holder := runner.holder
		r := DutyReport{Fence: rec.Fence, Holder: rec.Holder, Mine: holder.Fence() > 0, Decided: rec.Key, Accepted: holder.Accepted,
			Refused: holder.Refused, Failed: holder.Failed, LastStatus: holder.LastStatus}
		if r.Mine {
			r.Held, r.Backlog = d.now()-runner.heldSince, holder.Backlog(rec) != 0
		}
		if holder.AcceptedAt > 0 {
			r.SinceOK = d.now() - holder.AcceptedAt
		}
		runner.mu.Unlock()
		if runner.name == settings.DutyUsage {
			r.Tellers = d.usageTally.Reporters()
		}
		out[runner.name] = r
	}
	return out
}
