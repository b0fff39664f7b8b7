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
	name    string
	path    string // at the platform
	plan    func(now time.Duration, after uint64) (key uint64, body []byte, ok bool)
	mu      sync.Mutex
	holder  *duty.Holder
	client  *http.Client
	cancel  context.CancelFunc
	calling uint64
	since   time.Duration // start of the unbroken holding
	// split makes several calls of one act, by subject; nil: it is one call. Those
	// the platform has taken under the present fence are not made again.
	split  func(body []byte) map[string][]byte
	acting sync.Mutex // a call that has been cut may still be on its way out
	taken  map[string]string
	under  uint64
}

var errNotHeld = errors.New("the duty is not held any more")

// guarded is a connection on which nothing is written once the lease is over: a
// process that was frozen between its last look and the write looks again.
type guarded struct {
	net.Conn
	held func() bool
}

func (g guarded) Write(b []byte) (int, error) {
	if !g.held() {
		g.Close()
		return 0, errNotHeld
	}
	return g.Conn.Write(b)
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
			return guarded{c, func() bool { until, _ := d.leases.term(name); return until > d.now() }}, nil
		}}}
	return p
}

// record is the newest committed state of a duty.
func (d *Daemon) record(name string) duty.Record {
	if in := d.inForce.Load(); in != nil {
		return in.Duties[name]
	}
	return duty.Record{}
}

// stepDuties drives the duties.
func (d *Daemon) stepDuties() {
	d.clock.Observe(d.settings.IPAddress, time.Now().UnixNano(), d.now())
	for _, p := range d.dutyRunners {
		until, since := d.leases.term(p.name)
		p.mu.Lock()
		was := p.holder.Fence()
		p.since = since
		out := p.holder.Step(d.now(), until, d.record(p.name), func(after uint64) (uint64, []byte, bool) { return p.plan(d.now(), after) })
		is := p.holder.Fence()
		p.mu.Unlock()
		if was != is {
			d.events.Record(map[bool]string{true: "duty_fence_taken", false: "duty_fence_left"}[is > 0], p.name+" "+strconv.FormatUint(max(was, is), 10))
		}
		d.carryOut(p, out)
	}
}

func (d *Daemon) carryOut(p *dutyRunner, out []duty.Effect) {
	for _, o := range out {
		switch o := o.(type) {
		case duty.Order:
			d.replica.step(func() []chain.Effect { return d.replica.machine.Act(d.now(), o) })
		case duty.Cancel:
			p.mu.Lock()
			if p.cancel != nil && p.calling == o.ID {
				p.cancel()
			}
			p.mu.Unlock()
		case duty.Yield:
			d.events.Record("duty_refused", p.name+": the platform has seen a higher fence")
			d.leases.leave(p.name)
		case duty.Call:
			ctx, cancel := context.WithTimeout(context.Background(), constants.DutyTimeout)
			p.mu.Lock()
			p.cancel, p.calling = cancel, o.ID
			p.mu.Unlock()
			go func() {
				defer cancel()
				status := d.act(ctx, p, o)
				p.mu.Lock()
				more := p.holder.HandleResponse(d.now(), o.ID, status)
				p.mu.Unlock()
				if status != http.StatusOK {
					d.events.Count("duty_call_failed", 1)
					if status != 0 && status != http.StatusConflict && status != http.StatusTooManyRequests {
						d.events.Record("duty_answer", p.name+": the platform answered "+strconv.Itoa(status))
					}
				}
				d.carryOut(p, more)
			}()
		}
	}
}

// act sends what was decided, in as many calls as it takes; status 0 is no answer.
func (d *Daemon) act(ctx context.Context, p *dutyRunner, o duty.Call) int {
	if p.split == nil {
		return d.call(ctx, p, o.Fence, o.Body)
	}
	p.acting.Lock()
	defer p.acting.Unlock()
	if p.under != o.Fence {
		p.under, p.taken = o.Fence, map[string]string{}
	}
	parts := p.split(o.Body)
	for _, s := range slices.Sorted(maps.Keys(parts)) {
		if p.taken[s] == string(parts[s]) {
			continue
		}
		if status := d.call(ctx, p, o.Fence, parts[s]); status != http.StatusOK {
			return status
		}
		p.taken[s] = string(parts[s])
		time.Sleep(constants.DutySpacing)
	}
	return http.StatusOK
}

// call makes one call to the platform.
func (d *Daemon) call(ctx context.Context, p *dutyRunner, fence uint64, body []byte) int {
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

// takeUsage merges what a proxy tells, while this machine holds the duty.
func (d *Daemon) takeUsage(m usage.Report) any {
	until, _ := d.leases.term(settings.DutyUsage)
	at, ok := d.clock.Now(d.now())
	if until == 0 || !ok {
		return usage.Ack{}
	}
	h, _ := d.tally.Take(d.now(), usage.Window(at, d.settings.Bounds.UsageWindow.D()), m)
	return h
}

// keepUsage has what is gathered here outlast this process, and hands on what another
// holder should know.
func (d *Daemon) keepUsage() {
	until, _ := d.leases.term(settings.DutyUsage)
	holder := d.leases.holder(settings.DutyUsage)
	for _, o := range d.keeper.Step(until > 0, holder) {
		switch o := o.(type) {
		case usage.HandOn:
			if o.To == d.settings.IPAddress {
				d.takeHandover(o.Handover)
			} else {
				d.connections.send(o.To, o.Handover)
			}
			d.events.Record("usage_handed_on", strconv.Itoa(len(o.Words))+" words to "+o.To)
		case usage.Save:
			d.replica.keep(o.Key, func() any { return o.Words }) // one that cannot be kept is told by its proxies while they live
		}
	}
}

func (d *Daemon) takeHandover(m usage.Handover) {
	for _, t := range m.Words {
		d.takeUsage(t)
	}
	if m.Last {
		d.tally.HandedOver(d.now())
	}
}

// planUsage names the next window's report.
func (d *Daemon) planUsage(now time.Duration, after uint64) (uint64, []byte, bool) {
	at, ok := d.clock.Now(now)
	if !ok {
		return 0, nil, false
	}
	_, since := d.leases.term(settings.DutyUsage)
	b := d.settings.Bounds
	return d.tally.Next(usage.Moment{Steady: now, Agreed: at, Held: now - since}, after, b.UsageWindow.D(), b.UsageDelay.D(), d.roster.fresh())
}

// ---- scaling

// takeLoad keeps what a proxy tells, while this machine holds the duty.
func (d *Daemon) takeLoad(t autoscale.Report) any {
	if until, _ := d.leases.term(settings.DutyScaling); until == 0 {
		return autoscale.Ack{}
	}
	return autoscale.Ack{OK: d.load.Take(d.now(), t)}
}

// scalable lists what may be ordered: each service with bounds, in each zone where
// the platform's list has ever shown it here.
func (d *Daemon) scalable() map[autoscale.Subject]autoscale.Bound {
	cfg := d.inForce.Config()
	list, _ := d.list.current()
	d.zonesOfMu.Lock()
	defer d.zonesOfMu.Unlock()
	out := map[autoscale.Subject]autoscale.Bound{}
	if cfg == nil || list == nil {
		return out
	}
	for _, i := range list.Instances {
		s := autoscale.Subject{Service: i.Service, Zone: i.Zone}
		if sv := cfg.Services[i.Service]; sv != nil && sv.Scaling != nil {
			if d.zonesOf[s] == 0 {
				d.zonesOf[s] = i.Slots
			}
			b := out[s]
			if !i.Draining {
				b.Present++
			}
			out[s] = b
		}
	}
	for s, slots := range d.zonesOf {
		sv := cfg.Services[s.Service]
		if sv == nil || sv.Scaling == nil {
			continue
		}
		b := out[s]
		b.Min, b.Max, b.Boot, b.Slots = sv.Scaling.Min, sv.Scaling.Max, sv.Scaling.Boot, slots
		out[s] = b
	}
	return out
}

// planScaling names the next orders, once they differ from those decided before.
func (d *Daemon) planScaling(now time.Duration, after uint64) (uint64, []byte, bool) {
	sum, whole := d.load.Sum(now, d.roster.fresh())
	had := autoscale.Read(d.record(settings.DutyScaling).Body)
	wanted, changed := d.scaler.Step(now, sum, whole, d.scalable(), had)
	if !changed {
		return 0, nil, false
	}
	for _, o := range wanted {
		if was, ok := had.Of(autoscale.Subject{Service: o.TargetService, Zone: o.Zone}); !ok || was != o.DesiredCount {
			d.events.Record("scale", o.TargetService+" in "+o.Zone+": "+strconv.Itoa(was)+" -> "+strconv.Itoa(o.DesiredCount)+" ("+d.scaler.Why(autoscale.Subject{Service: o.TargetService, Zone: o.Zone})+")")
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
	orders := autoscale.Read(d.record(settings.DutyScaling).Body)
	for s, b := range d.scalable() {
		n, ok := orders.Of(s)
		if !ok {
			n = -1
		}
		out = append(out, ScalingReport{s.Service, s.Zone, n, b.Present, d.scaler.Why(s)})
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
		rec := d.record(p.name)
		p.mu.Lock()
		h := p.holder
		r := DutyReport{Fence: rec.Fence, Holder: rec.Holder, Mine: h.Fence() > 0, Decided: rec.Key, Accepted: h.Accepted,
			Refused: h.Refused, Failed: h.Failed, LastStatus: h.LastStatus}
		if r.Mine {
			r.Held, r.Backlog = d.now()-p.since, h.Backlog(rec) != 0
		}
		if h.AcceptedAt > 0 {
			r.SinceOK = d.now() - h.AcceptedAt
		}
		p.mu.Unlock()
		if p.name == settings.DutyUsage {
			r.Tellers = d.tally.Reporters()
		}
		out[p.name] = r
	}
	return out
}
