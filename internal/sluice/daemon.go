package sluice

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"slateridge/internal/accounts"
	"slateridge/internal/clock"
	"slateridge/internal/conduit"
	"slateridge/internal/datum"
	"slateridge/internal/gaugeboard"
	"slateridge/internal/intake"
	"slateridge/internal/logbook"
	"slateridge/internal/penstock"
	"slateridge/internal/scaling"
	"slateridge/internal/scheme"
	"slateridge/internal/sill"
	"slateridge/internal/staff"
	"slateridge/internal/usage"
	"slateridge/internal/weir"
	"slateridge/internal/wheel"
)

// Daemon is the sluice process: the request path, and what keeps it informed.
type Daemon struct {
	*Sluice
	set      atomic.Pointer[sill.Settings]
	path     string
	line     *penstock.Line
	reader   scheme.Reader // used by apply only, one call at a time
	trackers atomic.Pointer[[]string]
	ready    atomic.Bool
	gate     *gate
	source   *intake.Source
	selfAt   time.Time
	haveList atomic.Bool
	setStamp atomic.Int64
	audit    audit
	staff    *staff.Agent
	echoMu   sync.Mutex
	echo     map[string]heardStamp // by tracker
	clock    *clock.Clock          // agreed, as control tells
	metered  atomic.Pointer[string]
	scaler   atomic.Pointer[string]
	telling  sync.Mutex      // one word on usage at a time
	agent    *accounts.Agent // nil where tenants have no objectives
}

// NewDaemon builds the process's parts.
func NewDaemon(set *sill.Settings, path string, book *logbook.Logbook) *Daemon {
	d := &Daemon{path: path, echo: map[string]heardStamp{}, source: intake.NewSource(set.CloudAPI.Address)}
	d.set.Store(set)
	d.setStamp.Store(d.settingsStamp()) // what changes from now on is read
	b := set.Bounds
	s := &Sluice{book: book, marks: newMarks(), began: time.Now(), weir: weir.New(b.QuotaSlack, set.Trackers(), rand.Uint64())}
	d.Sluice = s
	s.allow = NewAllowance(0, b.RetryWindow.D(), b.RetryBudgetRatio, b.RetryBudgetSlack)
	s.yard = NewYard(set.IPAddress, set.Zone, set.Zones, d.connCap, d.warmup)
	s.askFor = d.askTracker
	d.clock = clock.New()
	if set.Does(sill.DutyUsage) {
		s.meter, s.window = usage.NewMeter(rand.Uint64()), d.windowAt
	}
	d.trackers.Store(&[]string{})
	// Each proxy tries the control machines in an order of its own, so that
	// proxies spread.
	ips := set.SeedIPs()
	rand.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
	me := penstock.Tap{Node: set.IPAddress, Name: set.NodeName, Zone: set.Zone, Region: set.Region,
		Front: set.ListenAddresses.Frontend}
	d.line = penstock.NewLine(me, ips, func(ip string, h conduit.Handler) *conduit.Main {
		return conduit.NewMain(set.PeerInternal(ip, datum.PortHeadworks), set.IPAddress, func(p *conduit.Pipe, body any) any {
			if other, ok := body.(conduit.Incompatible); ok {
				d.book.Note("protocol_incompatible", other.String())
				return nil
			}
			return h(p, body)
		})
	}, d.apply)
	d.line.ReckonBy(func() int { return d.weir.Settled(d.now()) })
	if b.RevocationStrict {
		s.strict, s.sure = b.Revoke.D()-datum.RevokeSpare, d.line.Sure
	}
	return d
}

// connCap is this proxy's part of an upstream's connections.
func (d *Daemon) connCap(service string) int {
	sch := d.scheme.Load()
	if sch == nil || sch.Services[service] == nil || sch.Services[service].MaxConnections == 0 {
		return datum.OutfallCap * 2
	}
	n := max(1, d.weir.Proxies())
	return max(1, int(datum.ConnShare*float64(sch.Services[service].MaxConnections))/n)
}

// warmup is how long a service's upstreams stay cold, where they may only be
// sent so much.
func (d *Daemon) warmup(service string) time.Duration {
	if sch := d.scheme.Load(); sch != nil && sch.Services[service] != nil && sch.Services[service].WarmupPerS > 0 {
		return sch.Services[service].Warmup
	}
	return 0
}

// apply puts what control sent in force.
func (d *Daemon) apply(f penstock.Fresh) {
	now := d.now()
	if f.Config != nil {
		sch, err := d.reader.Read(f.Config.Raw)
		if err != nil {
			d.book.Note("config_unreadable", err.Error()) // control checks before; never expected
		} else {
			old := d.scheme.Load()
			if old == nil || sch.Version > old.Version {
				d.audit.add(old, sch)
				d.weir.SetQuotas(now, weir.Quotas(sch))
				d.scheme.Store(sch)
				d.book.Note("config", "r"+strconv.FormatUint(sch.Version, 10)+" in force")
			}
		}
	}
	if f.List != nil {
		d.yard.Apply(time.Now(), f.List.Instances)
		d.haveList.Store(true)
		d.book.Count("list_applied", 1)
	}
	if f.State > 0 {
		if d.yard.Evacuate(time.Now(), f.Evacuated) {
			d.book.Note("evacuations", strings.Join(f.Evacuated, " "))
		}
	}
	if f.Proxies > 0 {
		d.weir.SetProxies(now, f.Proxies)
		d.allow.SetProxies(f.Proxies)
		d.yard.SetProxies(f.Proxies)
	}
	d.clock.Hear(f.From, f.Wall, now)
	d.scaler.Store(&f.Scaler)
	if old := d.metered.Swap(&f.Metered); d.meter != nil && (old == nil || *old != f.Metered) {
		go d.tellUsage() // a successor gathers anew
	}
	if f.Coming != nil {
		d.weir.Evaluate(now, f.Coming)
	}
	if old := d.trackers.Swap(&f.Trackers); !slices.Equal(*old, f.Trackers) {
		go d.renewGrants() // a new one should know soon what is held here
	}
}

// Add puts the process's actors into its group.
func (d *Daemon) Add(g *run.Group) error {
	set := d.set.Load()
	front, err := net.Listen("tcp4", set.ListenAddresses.Frontend)
	if err != nil {
		return err
	}
	rl, err := net.Listen("tcp4", set.ListenAddresses.Readiness)
	if err != nil {
		return err
	}
	adm, err := net.Listen("tcp4", set.Internal(datum.PortSluiceAdmin))
	if err != nil {
		return err
	}
	d.gate = newGate(front, d.Sluice, func() scheme.Limits {
		if s := d.scheme.Load(); s != nil {
			return s.Limits
		}
		return scheme.Limits{}
	})
	g.Add(d.gate.serve, func(error) { d.gate.close() })
	w := wheel.New(g)
	w.Serve(rl, http.HandlerFunc(d.readiness))
	w.Serve(adm, gaugeboard.Handler(d.Report))
	w.Turn(datum.SettingsEvery, d.lookAtSettings)
	w.Turn(datum.RetireEvery, func() { d.gate.closeIdle(time.Now()) })
	return d.AddHollow(g, w)
}

// AddHollow puts in what keeps a proxy informed and is said to others, without the
// path of requests: many such proxies can share one process, to try control's size.
func (d *Daemon) AddHollow(g *run.Group, w *wheel.Wheel) error {
	set := d.set.Load()
	var err error
	var seeds []string
	for _, ip := range set.SeedIPs() {
		seeds = append(seeds, set.PeerInternal(ip, datum.PortStaff))
	}
	d.staff, err = staff.Listen(set.Internal(datum.PortStaffSluice), set.NodeName+"/sluice", seeds, func(f staff.Fact) {
		d.book.Count("member_"+f.State.String(), 1)
	})
	if err != nil {
		return err
	}
	g.Add(d.staff.Serve, func(error) { d.staff.Close() })
	go d.step()
	w.Turn(datum.StepEvery, d.step)
	w.Turn(datum.GrantEvery, d.renewGrants)
	if set.Does(sill.DutyScaling) {
		w.Turn(datum.ScaleEvery, d.tellLoad)
	}
	if d.meter != nil {
		w.TurnFrom(usage.Phase(rand.Uint64()), datum.UsageTell, d.tellUsage)
	}
	if d.agent != nil {
		w.TurnFrom(rand.N(accounts.TellEvery), accounts.TellEvery, d.agent.Tell)
	}
	w.Turn(datum.RetireEvery, func() { d.yard.Retire(time.Now()) })
	w.Turn(staff.TickEvery, d.staff.Tick)
	return nil
}

func (d *Daemon) readiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/readiness" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if d.ready.Load() && !d.leaving.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// step drives the line, decides readiness, and reads the platform's list here
// when no control machine in contact has spoken for long.
func (d *Daemon) step() {
	now := time.Now()
	d.line.Step(now, d.ready.Load() && !d.leaving.Load())
	st := d.line.State(now)
	if !d.ready.Load() && d.scheme.Load() != nil && d.haveList.Load() && st.ListAge < datum.NewsCurrent && st.Current < datum.NewsCurrent {
		d.ready.Store(true)
		d.book.Note("ready", "configuration and upstreams known")
	}
	if d.outOfContact(st, now) && now.After(d.selfAt) && d.scheme.Load() != nil {
		every := selfPollEvery(d.yard.Len(), d.weir.Proxies(), d.set.Load().CloudAPI.RatePerS)
		first := d.selfAt.IsZero()
		if d.selfAt = now.Add(every/2 + rand.N(every)); first && rand.Float64() > float64(datum.SelfPollEvery)/float64(every) {
			return // most of a large fleet have to wait for their turn from the beginning
		}
		go func() {
			is, err := d.source.Read(context.Background())
			if err != nil {
				d.book.Count("self_poll_failed", 1)
				return
			}
			if now := time.Now(); d.outOfContact(d.line.State(now), now) {
				d.yard.Apply(time.Now(), is)
				d.haveList.Store(true)
				d.book.Count("self_poll", 1)
			}
		}()
	}
}

// outOfContact says that the list has to be read here: what control machines without
// contact say of it is what they knew before they lost it.
func (d *Daemon) outOfContact(st penstock.State, now time.Time) bool {
	return min(st.Current, now.Sub(d.began)) > datum.SelfPollAfter
}

// selfPollEvery is how often a proxy out of touch reads the list, so that all of
// them together leave the platform's rate to whoever reads for everybody.
func selfPollEvery(upstreams, proxies int, rate float64) time.Duration {
	calls := float64(upstreams/datum.PollPage+1) * float64(max(1, proxies))
	if rate <= 0 {
		return datum.SelfPollEvery
	}
	return max(datum.SelfPollEvery, time.Duration(calls/(rate*datum.SelfPollPart)*float64(time.Second)))
}

// tracker is where a key's questions go.
func (d *Daemon) tracker(shard int) string {
	if t := *d.trackers.Load(); shard < len(t) {
		return t[shard]
	}
	return ""
}

// shardsOf are those that a machine tracks.
func (d *Daemon) shardsOf(tracker string) []int {
	var out []int
	for i, t := range *d.trackers.Load() {
		if t == tracker {
			out = append(out, i)
		}
	}
	return out
}

func (d *Daemon) shard(key string) int { return weir.Shard(key, d.set.Load().Trackers()) }

func (d *Daemon) askTracker(key string) {
	asked := d.now()
	to := d.tracker(d.shard(key))
	if to != "" {
		d.echoMu.Lock()
		echo := d.echo[to].stamp
		d.echoMu.Unlock()
		v, err := d.line.Ask(to, weir.AskGrants{Proxy: d.set.Load().IPAddress, Wants: []weir.Want{d.weir.Need(asked, key)}, Echo: echo, Proxies: d.weir.Proxies(), Life: d.weir.Life(), Sent: asked}, datum.GrantWait)
		if g, ok := v.(weir.GrantsGiven); err == nil && ok && !g.Refused {
			d.heardTracker(to, g.Stamp, d.shard(key))
			for _, x := range g.Given {
				d.weir.Take(d.now(), asked, x)
			}
			return
		}
		if errors.Is(err, conduit.ErrRefused) {
			for _, i := range d.shardsOf(to) {
				d.weir.Gone(i)
			}
		}
	}
	d.weir.Unanswered(d.now(), key)
}

// heardTracker notes a tracker's answer for some shards.
func (d *Daemon) heardTracker(to string, s weir.Stamp, shards ...int) {
	now := d.now()
	d.echoMu.Lock()
	o := d.echo[to]
	if o.stamp.Life != s.Life || o.stamp.At < s.At {
		d.echo[to] = heardStamp{s, now}
	}
	d.echoMu.Unlock()
	if o.stamp.Life != s.Life || o.stamp.Begun < s.Begun {
		d.untold(d.shardsOf(to))
		go d.renewGrants()
	}
	for _, i := range shards {
		d.weir.Heard(now, i)
	}
}

// heardStamp is a tracker's latest stamp, and when it came here.
type heardStamp struct {
	stamp weir.Stamp
	at    time.Duration
}

// renewGrants tells the trackers this proxy's demand and loans, and takes their
// leases.
func (d *Daemon) renewGrants() {
	asked := d.now()
	d.echoMu.Lock()
	echo := maps.Clone(d.echo)
	d.echoMu.Unlock()
	by := map[string][]weir.Want{}
	for _, w := range d.weir.Wants(asked, func(key string) (time.Duration, uint64, bool) {
		h, ok := echo[d.tracker(d.shard(key))]
		return h.at, h.stamp.Life, ok
	}) {
		if to := d.tracker(d.shard(w.Key)); to != "" {
			by[to] = append(by[to], w)
		}
	}
	shards := map[string][]int{}
	for i, to := range *d.trackers.Load() {
		if to != "" {
			shards[to] = append(shards[to], i)
			if _, ok := by[to]; !ok && asked-echo[to].at > datum.ContactEvery {
				by[to] = nil // nothing to say but that it is heard
			}
		}
	}
	for to, ws := range by {
		go func() {
			q := weir.AskGrants{Proxy: d.set.Load().IPAddress, Wants: ws, Echo: echo[to].stamp, Proxies: d.weir.Proxies(), Life: d.weir.Life(), Sent: asked}
			v, err := d.line.Ask(to, q, datum.CallTimeout)
			if g, ok := v.(weir.GrantsGiven); err == nil && ok {
				if !g.Refused { // what does not track borrows nothing
					d.heardTracker(to, g.Stamp, shards[to]...)
				}
				for _, x := range g.Given {
					d.weir.Take(d.now(), asked, x)
				}
				if g.Retell {
					d.untold(shards[to])
				}
			} else {
				d.untold(shards[to])
			}
		}()
	}
}

// untold notes that the tracker of some shards does not know what it was told.
func (d *Daemon) untold(shards []int) {
	for _, i := range shards {
		d.weir.Untold(i)
	}
}

// Version is the configuration in force here, and Upstreams how many are known.
func (d *Daemon) Version() uint64 {
	if s := d.scheme.Load(); s != nil {
		return s.Version
	}
	return 0
}

// Upstreams is how many are known here.
func (d *Daemon) Upstreams() int { return d.yard.Len() }

// Rehearse takes one made-up request through admission and metering as the path of
// requests does, and sends it nowhere; false when it was refused.
func (d *Daemon) Rehearse(tenant string) bool {
	v := d.weir.Admit(d.now(), tenant, false)
	if v.Ask {
		d.askTracker(tenant)
		v = d.weir.Admit(d.now(), tenant, true)
	}
	if !v.OK {
		return false
	}
	d.weir.Settle(d.now(), tenant, 1)
	d.account.Begin(tenant).Success(time.Millisecond)
	if d.meter != nil {
		d.meter.Count(d.windowAt(time.Now()), tenant)
	}
	return true
}

// windowAt is the usage window that a moment lies in, by the agreed time.
func (d *Daemon) windowAt(at time.Time) uint64 {
	agreed, ok := d.clock.Now(d.now())
	if !ok {
		agreed = time.Now()
	}
	return usage.Window(agreed.Add(-time.Since(at)), d.set.Load().Bounds.UsageWindow.D())
}

// tellLoad says what runs and waits here of the services that are scaled.
func (d *Daemon) tellLoad() {
	to, sch := d.scaler.Load(), d.scheme.Load()
	if to == nil || *to == "" || sch == nil {
		return
	}
	set := d.set.Load()
	t := scaling.Told{Proxy: set.IPAddress, Zone: set.Zone, Running: map[string]int{}}
	for name, s := range sch.Services {
		if s.Scaling != nil {
			t.Running[name] = d.yard.Busy(name)
		}
	}
	v, err := d.line.Ask(*to, t, datum.UsageWait)
	if h, ok := v.(scaling.Heard); err != nil || !ok || !h.OK {
		d.book.Count("load_untold", 1)
	}
}

// tellUsage brings what has been counted to the duty's holder, until it has heard
// all.
func (d *Daemon) tellUsage() {
	if !d.telling.TryLock() {
		return
	}
	defer d.telling.Unlock()
	to := d.metered.Load()
	if to == nil || *to == "" || d.scheme.Load() == nil {
		return
	}
	for range 2 { // a new holder's first answer asks for the rest
		t, some := d.meter.Tell(d.set.Load().IPAddress, d.windowAt(time.Now()))
		if !some {
			return
		}
		v, err := d.line.Ask(*to, t, datum.UsageWait)
		h, ok := v.(usage.Heard)
		if err != nil || !ok || h.Term == 0 {
			d.book.Count("usage_untold", 1)
			return
		}
		d.meter.Heard(t, h)
		if h.Term == t.Term {
			return
		}
	}
}

// settingsStamp tells one state of the settings file from another; 0 if there is none.
func (d *Daemon) settingsStamp() int64 {
	fi, err := os.Stat(d.path)
	if err != nil {
		return 0
	}
	return fi.ModTime().UnixNano() ^ fi.Size()
}

// lookAtSettings reloads a settings file that has changed.
func (d *Daemon) lookAtSettings() {
	if is := d.settingsStamp(); is != 0 && d.setStamp.Swap(is) != is {
		d.Reload()
	}
}

// Reload reads the settings again; a file that cannot be used changes nothing.
func (d *Daemon) Reload() {
	set, err := sill.Load(d.path, "frontend", "readiness")
	if err != nil {
		d.book.Note("settings_refused", err.Error())
		return
	}
	d.set.Store(set)
	d.line.Add(set.SeedIPs())
	d.book.Note("settings", "read again")
}

// Leave answers the last requests: readiness fails at once, connections are
// still accepted until the platform has noticed, answers ask clients to close,
// and what is in flight finishes within grace.
func (d *Daemon) Leave() {
	began := time.Now()
	d.leaving.Store(true)
	d.book.Note("leaving", "readiness fails from now on")
	d.line.Announce()
	set := d.set.Load()
	grace := set.Bounds.Grace.D() - datum.TermSpare
	// Where clients ask a directory, old answers name this proxy for some time.
	accept := min(datum.TermAccept, grace/2)
	if set.EntryMode == "directory" {
		accept = min(2*datum.LookupTTL, grace/2)
	}
	time.Sleep(accept)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace))
	defer cancel()
	d.gate.drain(ctx)
	if d.agent != nil {
		d.agent.Leave(datum.CallTimeout)
	}
	d.book.Note("left", "nothing in flight")
}
