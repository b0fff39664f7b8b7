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

// dutyRunner is one duty at this machine: its holder, and the calls it makes.
type dutyRunner struct {
	name      string
	path      string // at the platform
	plan      func(now time.Duration, after uint64) (key uint64, body []byte, ok bool)
	mu        sync.Mutex
	holder    *duty.Holder
	client    *http.Client
	cancel    context.CancelFunc
	callID    uint64
	heldSince time.Duration // start of the unbroken holding
	// split makes several calls of one act, by subject; nil: it is one call. Those
	// the platform has taken under the present fence are not made again.
	split         func(body []byte) map[string][]byte
	sendMu        sync.Mutex // a call that has been cut may still be on its way out
	accepted      map[string]string
	acceptedFence uint64
}

var errLeaseNotHeld = errors.New("the duty is not held any more")

// leaseGuardedConn is a connection on which nothing is written once the lease is over: a
// process that was frozen between its last look and the write looks again.
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
	p := &dutyRunner{name: name, path: path, plan: plan, holder: duty.NewHolder(name, d.settings.NodeName, d.settings.Bounds.Lease.D(), d.settings.CloudAPI.DutiesPerS, rand.New(rand.NewPCG(rand.Uint64(), 1)))}
	dial := net.Dialer{Timeout: constants.DutyTimeout}
	p.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: constants.DutyTimeout,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			c, err := dial.DialContext(ctx, "tcp4", addr)
			if err != nil {
				return nil, err
			}
			return leaseGuardedConn{c, func() bool { until, _ := d.leases.term(name); return until > d.now() }}, nil
		}}}
	return p
}

// dutyRecord is the newest committed state of a duty.
func (d *Daemon) dutyRecord(name string) duty.Record {
	if doc := d.activeState.Load(); doc != nil {
		return doc.Duties[name]
	}
	return duty.Record{}
}

// stepDuties drives the duties.
func (d *Daemon) stepDuties() {
	d.clock.Observe(d.settings.IPAddress, time.Now().UnixNano(), d.now())
	for _, p := range d.dutyRunners {
		until, since := d.leases.term(p.name)
		p.mu.Lock()
		fenceBefore := p.holder.Fence()
		p.heldSince = since
		effects := p.holder.Step(d.now(), until, d.dutyRecord(p.name), func(after uint64) (uint64, []byte, bool) { return p.plan(d.now(), after) })
		fenceAfter := p.holder.Fence()
		p.mu.Unlock()
		if fenceBefore != fenceAfter {
			d.events.Record(map[bool]string{true: "duty_fence_taken", false: "duty_fence_left"}[fenceAfter > 0], p.name+" "+strconv.FormatUint(max(fenceBefore, fenceAfter), 10))
		}
		d.runDutyEffects(p, effects)
	}
}

func (d *Daemon) runDutyEffects(p *dutyRunner, effects []duty.Effect) {
	for _, effect := range effects {
		switch o := effect.(type) {
		case duty.Order:
			d.replica.step(func() []chain.Effect { return d.replica.chain.Act(d.now(), o) })
		case duty.Cancel:
			p.mu.Lock()
			if p.cancel != nil && p.callID == o.ID {
				p.cancel()
			}
			p.mu.Unlock()
		case duty.Yield:
			d.events.Record("duty_refused", p.name+": the platform has seen a higher fence")
			d.leases.release(p.name)
		case duty.Act:
			ctx, cancel := context.WithTimeout(context.Background(), constants.DutyTimeout)
			p.mu.Lock()
			p.cancel, p.callID = cancel, o.ID
			p.mu.Unlock()
			go func() {
				defer cancel()
				status := d.perform(ctx, p, o)
				p.mu.Lock()
				more := p.holder.Answered(d.now(), o.ID, status)
				p.mu.Unlock()
				if status != http.StatusOK {
					d.events.Count("duty_call_failed", 1)
					if status != 0 && status != http.StatusConflict && status != http.StatusTooManyRequests {
						d.events.Record("duty_answer", p.name+": the platform answered "+strconv.Itoa(status))
					}
				}
				d.runDutyEffects(p, more)
			}()
		}
	}
}

// perform sends what was decided, in as many calls as it takes; status 0 is no answer.
func (d *Daemon) perform(ctx context.Context, p *dutyRunner, act duty.Act) int {
	if p.split == nil {
		return d.post(ctx, p, act.Fence, act.Body)
	}
	p.sendMu.Lock()
	defer p.sendMu.Unlock()
	if p.acceptedFence != act.Fence {
		p.acceptedFence, p.accepted = act.Fence, map[string]string{}
	}
	parts := p.split(act.Body)
	for _, subject := range slices.Sorted(maps.Keys(parts)) {
		if p.accepted[subject] == string(parts[subject]) {
			continue
		}
		if status := d.post(ctx, p, act.Fence, parts[subject]); status != http.StatusOK {
			return status
		}
		p.accepted[subject] = string(parts[subject])
		time.Sleep(constants.DutySpacing)
	}
	return http.StatusOK
}

// post makes one post to the platform.
func (d *Daemon) post(ctx context.Context, p *dutyRunner, fence uint64, body []byte) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.settings.CloudAPI.Address+p.path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Slateridge-Duty-Holder", d.settings.NodeName)
	req.Header.Set("X-Slateridge-Fence-Token", strconv.FormatUint(fence, 10))
	resp, err := p.client.Do(req)
	if err != nil {
		return 0 // counted by the caller, and tried again
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, constants.HeaderBytes))
	return resp.StatusCode
}

// ---- usage

// handleUsageReport merges what a proxy tells, while this machine holds the duty.
func (d *Daemon) handleUsageReport(m usage.Report) any {
	until, _ := d.leases.term(settings.DutyUsage)
	at, ok := d.clock.Now(d.now())
	if until == 0 || !ok {
		return usage.Ack{}
	}
	ack, _ := d.usageTally.Take(d.now(), usage.Window(at, d.settings.Bounds.UsageWindow.D()), m)
	return ack
}

// saveUsage has what is gathered here outlast this process, and hands on what another
// holder should know.
func (d *Daemon) saveUsage() {
	until, _ := d.leases.term(settings.DutyUsage)
	holder := d.leases.holder(settings.DutyUsage)
	for _, effect := range d.usageKeeper.Step(until > 0, holder) {
		switch o := effect.(type) {
		case usage.HandOn:
			if o.To == d.settings.IPAddress {
				d.handleUsageHandover(o.Handover)
			} else {
				d.connections.send(o.To, o.Handover)
			}
			d.events.Record("usage_handed_on", strconv.Itoa(len(o.Words))+" words to "+o.To)
		case usage.Save:
			d.replica.put(o.Key, func() any { return o.Words }) // one that cannot be kept is told by its proxies while they live
		}
	}
}

func (d *Daemon) handleUsageHandover(m usage.Handover) {
	for _, report := range m.Words {
		d.handleUsageReport(report)
	}
	if m.Last {
		d.usageTally.HandedOver(d.now())
	}
}

// planUsage names the next window's report.
func (d *Daemon) planUsage(now time.Duration, after uint64) (uint64, []byte, bool) {
	at, ok := d.clock.Now(now)
	if !ok {
		return 0, nil, false
	}
	_, since := d.leases.term(settings.DutyUsage)
	bounds := d.settings.Bounds
	return d.usageTally.Next(usage.Moment{Steady: now, Agreed: at, Held: now - since}, after, bounds.UsageWindow.D(), bounds.UsageDelay.D(), d.roster.recentProxies())
}

// ---- scaling

// handleLoadReport keeps what a proxy tells, while this machine holds the duty.
func (d *Daemon) handleLoadReport(report autoscale.Report) any {
	if until, _ := d.leases.term(settings.DutyScaling); until == 0 {
		return autoscale.Ack{}
	}
	return autoscale.Ack{OK: d.loadSum.Take(d.now(), report)}
}

// scalableSubjects lists what may be ordered: each service with bounds, in each zone where
// the platform's list has ever shown it here.
func (d *Daemon) scalableSubjects() map[autoscale.Subject]autoscale.Bound {
	cfg := d.activeState.Config()
	list, _ := d.upstreamList.current()
	d.subjectSlotsMu.Lock()
	defer d.subjectSlotsMu.Unlock()
	out := map[autoscale.Subject]autoscale.Bound{}
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
		bound.Min, bound.Max, bound.Boot, bound.Slots = service.Scaling.Min, service.Scaling.Max, service.Scaling.Boot, slots
		out[subject] = bound
	}
	return out
}

// planScaling names the next orders, once they differ from those decided before.
func (d *Daemon) planScaling(now time.Duration, after uint64) (uint64, []byte, bool) {
	sum, complete := d.loadSum.Sum(now, d.roster.recentProxies())
	decided := autoscale.Read(d.dutyRecord(settings.DutyScaling).Body)
	wanted, changed := d.scaler.Step(now, sum, complete, d.scalableSubjects(), decided)
	if !changed {
		return 0, nil, false
	}
	for _, o := range wanted {
		if previous, ok := decided.Of(autoscale.Subject{Service: o.TargetService, Zone: o.Zone}); !ok || previous != o.DesiredCount {
			d.events.Record("scale", o.TargetService+" in "+o.Zone+": "+strconv.Itoa(previous)+" -> "+strconv.Itoa(o.DesiredCount)+" ("+d.scaler.Why(autoscale.Subject{Service: o.TargetService, Zone: o.Zone})+")")
		}
	}
	return after + 1, wanted.Bytes(), true
}

// DutyReport is one duty for operators.
type DutyReport struct {
	Fence      uint64
	Holder     string
	Mine       bool
	Held       time.Duration // how long without a break
	Decided    uint64        // key of the last act decided: for usage, the window
	Backlog    bool          // it is not known to have been accepted
	Accepted   uint64        // counts of this life
	Refused    uint64
	Failed     uint64
	LastStatus int
	SinceOK    time.Duration
	Tellers    int // lives of proxies that told their usage here
}

// ScalingReport is one service in one zone.
type ScalingReport struct {
	Service, Zone    string
	Ordered, Present int    // ordered -1: nothing has been
	Why              string // of the last change by this machine
}

func (d *Daemon) scalingReports() (out []ScalingReport) {
	if !d.settings.HasDuty(settings.DutyScaling) {
		return nil
	}
	orders := autoscale.Read(d.dutyRecord(settings.DutyScaling).Body)
	for subject, bound := range d.scalableSubjects() {
		ordered, ok := orders.Of(subject)
		if !ok {
			ordered = -1
		}
		out = append(out, ScalingReport{subject.Service, subject.Zone, ordered, bound.Present, d.scaler.Why(subject)})
	}
	slices.SortFunc(out, func(a, b ScalingReport) int {
		return autoscale.Subject{Service: a.Service, Zone: a.Zone}.Compare(autoscale.Subject{Service: b.Service, Zone: b.Zone})
	})
	return out
}

// dutyReports describes the duties at the platform.
func (d *Daemon) dutyReports() map[string]DutyReport {
	out := map[string]DutyReport{}
	for _, p := range d.dutyRunners {
		rec := d.dutyRecord(p.name)
		p.mu.Lock()
		holder := p.holder
		r := DutyReport{Fence: rec.Fence, Holder: rec.Holder, Mine: holder.Fence() > 0, Decided: rec.Key, Accepted: holder.Accepted,
			Refused: holder.Refused, Failed: holder.Failed, LastStatus: holder.LastStatus}
		if r.Mine {
			r.Held, r.Backlog = d.now()-p.heldSince, holder.Backlog(rec) != 0
		}
		if holder.AcceptedAt > 0 {
			r.SinceOK = d.now() - holder.AcceptedAt
		}
		p.mu.Unlock()
		if p.name == settings.DutyUsage {
			r.Tellers = d.usageTally.Reporters()
		}
		out[p.name] = r
	}
	return out
}
