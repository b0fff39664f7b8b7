package sluice

import (
	"context"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"slateridge/internal/datum"
	"slateridge/internal/intake"
)

// Outfall is one life of an upstream, as this proxy knows it.
type Outfall struct {
	inst   intake.Instance // but for its slots it never changes; what does is kept below
	yard   *Yard
	far    int // 0 in this zone, 1 in this region, 2 beyond
	region string
	lot    uint32    // this proxy's lot for it, by which its own few are drawn
	warmAt time.Time // slow before this

	// under yard.mu
	gone     bool
	draining bool
	out      map[*offer]time.Time // requests there, since when
	idle     []*Flume
	conns    int
	coldAt   time.Time // last given a place while cold
	load     float64   // requests running and waiting for each slot, as it last told
	ownThen  int       // of them from here
	loadAt   time.Time
	delay    float64 // running mean of the time to an answer, seconds; 0 unknown
	delayAt  time.Time
	fails    int
	ejected  time.Time // not before
	answers  uint64
}

// offer is one request's place at an upstream.
type offer struct {
	of    *Outfall
	first float64 // seconds to a stream's first piece; 0 none yet
}

// Yard knows all upstreams and holds requests that wait for room.
type Yard struct {
	mu      sync.Mutex
	zone    string
	dialer  net.Dialer
	by      map[string]*Outfall // by instance
	svc     map[string][]*Outfall
	picks   map[want]*pick  // made from svc as they are asked for
	evac    map[string]bool // zones nothing is sent to
	regions map[string]string
	warmup  func(service string) time.Duration // how long its upstreams are cold and bounded; 0 never
	proxies int                                // live count
	me      string
	waits   map[string][]*waiter     // by service, the most urgent first
	queued  uint64                   // how many ever waited: the order in which they came
	connCap func(service string) int // this proxy's share of connections to one upstream
	News    uint64                   // new connections
	Ejected uint64
	Kept    [3]uint64 // streams at their prefix's first upstream, at one of the next, elsewhere
	Waited  uint64
	Full    uint64
}

// want is what a request asks for: an upstream of a service, in certain regions.
type want struct {
	service, homes string
	stream         bool   // it runs for long, and beside others in a batch
	prefix         string // what its prompt has in common with others
}

// group is the want without what tells requests for the same upstreams apart.
func (w want) group() want { return want{service: w.service, homes: w.homes} }

// anywhere is the homes of a request that may be served in all regions.
const anywhere = "*"

// Len is how many upstreams are known.
func (y *Yard) Len() int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return len(y.by)
}

// SetProxies takes the live count.
func (y *Yard) SetProxies(n int) {
	y.mu.Lock()
	y.proxies = n
	y.mu.Unlock()
}

// bears says whether a cold upstream may be sent a request from here now. Its
// bound holds over all proxies, and nobody is asked: by lot a few of them own
// it, and each sends one request at a time, spaced so that no second sees two.
// The lot needs no roster, only the live count, and is as good while counts
// differ.
func (o *Outfall) bears(now time.Time) bool {
	n := o.yard.proxies
	return n > 0 && float64(o.lot)*float64(n) < datum.ColdOwners*(1<<32) && now.Sub(o.coldAt) >= datum.ColdEvery
}

// homesOf writes regions as a want has them.
func homesOf(regions []string, all bool) string {
	if all {
		return anywhere
	}
	rs := slices.Clone(regions)
	slices.Sort(rs)
	return strings.Join(slices.Compact(rs), ",")
}

// within says whether an upstream of a region may serve a request with homes.
func within(homes, region string) bool {
	if homes == anywhere {
		return true
	}
	return region != "" && slices.Contains(strings.Split(homes, ","), region)
}

// pick is the upstreams that fit a want, near ones first; few are those this
// proxy turns to before any other.
type pick struct{ few, all []*Outfall }

func (y *Yard) pick(w want) *pick {
	w = w.group()
	p := y.picks[w]
	if p == nil {
		p = &pick{}
		for _, o := range y.svc[w.service] {
			if within(w.homes, o.region) {
				p.all = append(p.all, o)
			}
		}
		sort.Slice(p.all, func(a, b int) bool {
			x, z := p.all[a], p.all[b]
			return x.far < z.far || x.far == z.far && (x.lot < z.lot || x.lot == z.lot && x.inst.ID < z.inst.ID)
		})
		p.few = p.all
		if len(p.all) > datum.FewUpstreams*3/2 {
			p.few = p.all[:datum.FewUpstreams]
		}
		y.picks[w] = p
	}
	return p
}

// Evacuated lists the zones under evacuation.
func (y *Yard) Evacuated() []string {
	y.mu.Lock()
	defer y.mu.Unlock()
	return slices.Sorted(maps.Keys(y.evac))
}

// Evacuate takes the zones under evacuation; true when they are others than
// before. The upstreams of a zone taken back may have turned cold meanwhile.
func (y *Yard) Evacuate(now time.Time, zones []string) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	is := map[string]bool{}
	for _, z := range zones {
		is[z] = true
	}
	if maps.Equal(is, y.evac) {
		return false
	}
	for _, o := range y.by {
		z := o.inst.Zone
		if is[z] {
			o.closeIdle()
		} else if y.evac[z] {
			if cold := now.Add(y.warmup(o.inst.Service)); cold.After(o.warmAt) {
				o.warmAt = cold
			}
		}
	}
	y.evac = is
	return true
}

type waiter struct {
	want want
	prio int
	seq  uint64
	ch   chan *offer
	skip map[*Outfall]bool
}

// NewYard makes an empty yard for a proxy in a zone.
func NewYard(me, zone string, regions map[string]string, connCap func(string) int, warmup func(string) time.Duration) *Yard {
	return &Yard{me: me, zone: zone, regions: regions, warmup: warmup, picks: map[want]*pick{}, evac: map[string]bool{}, by: map[string]*Outfall{}, svc: map[string][]*Outfall{}, waits: map[string][]*waiter{}, connCap: connCap,
		dialer: net.Dialer{Timeout: datum.ConnectTimeout, KeepAlive: -1}}
}

// Apply takes a list: states change, lives that are gone end, new ones begin.
func (y *Yard) Apply(now time.Time, is []intake.Instance) {
	y.mu.Lock()
	defer y.mu.Unlock()
	seen := map[string]bool{}
	for _, i := range is {
		seen[i.ID] = true
		o := y.by[i.ID]
		if o != nil && (o.inst.Address != i.Address || o.inst.Service != i.Service) {
			// Requests under way hold on to what it was: this is another life.
			o.gone = true
			o.closeIdle()
			o = nil
		}
		if o == nil {
			o = &Outfall{yard: y, inst: i, lot: lot(y.me, i.ID), region: y.regions[i.Zone], out: map[*offer]time.Time{}}
			switch {
			case i.Zone == y.zone:
			case o.region == y.regions[y.zone]:
				o.far = 1
			default:
				o.far = 2
			}
			y.by[i.ID] = o
		}
		o.inst.Slots = i.Slots
		if at := now.Add(i.Warmup); i.Warmup > 0 && at.After(o.warmAt) {
			o.warmAt = at
		}
		o.draining = i.Draining
		if o.draining {
			o.closeIdle()
		}
	}
	for id, o := range y.by {
		if !seen[id] {
			o.gone = true
			o.closeIdle()
			delete(y.by, id)
		}
	}
	y.svc = map[string][]*Outfall{}
	for _, o := range y.by {
		y.svc[o.inst.Service] = append(y.svc[o.inst.Service], o)
	}
	clear(y.picks)
	for s := range y.svc {
		y.wakeLocked(s)
	}
}

// lot draws an upstream's place in a proxy's order: stable while both live, and
// even over all proxies.
func lot(proxy, instance string) uint32 {
	h := fnv.New64a()
	h.Write([]byte(proxy + " " + instance))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return uint32(x >> 32)
}

func (o *Outfall) closeIdle() {
	for _, f := range o.idle {
		f.c.Close()
		o.conns--
	}
	o.idle = nil
}

// usable says whether the upstream may still be sent a request with such homes.
func (o *Outfall) usable(homes string) bool {
	o.yard.mu.Lock()
	defer o.yard.mu.Unlock()
	return !o.gone && !o.draining && !o.yard.evac[o.inst.Zone] && within(homes, o.region)
}

// tells takes what an upstream says of its load: running, waiting, slots.
func (o *Outfall) tells(header string) {
	p := strings.Split(header, ",")
	if len(p) != 3 {
		return
	}
	var n [3]float64
	for i := range p {
		v, err := strconv.ParseUint(strings.TrimSpace(p[i]), 10, 16)
		if err != nil {
			return
		}
		n[i] = float64(v)
	}
	if n[2] == 0 {
		return
	}
	o.yard.mu.Lock()
	o.load, o.loadAt, o.ownThen = (n[0]+n[1])/n[2], time.Now(), len(o.out)
	o.yard.mu.Unlock()
}

// share is this proxy's part of the upstream's places.
func (o *Outfall) share() int {
	if o.yard.proxies == 0 {
		return 0 // not known yet
	}
	return (o.inst.Slots + o.yard.proxies - 1) / o.yard.proxies
}

// expect is the delay to expect of an upstream: what was learned, fading
// toward the service's mean as it ages.
func (o *Outfall) expect(now time.Time, mean float64) float64 {
	if o.delay == 0 {
		return mean
	}
	fade := math.Exp(-now.Sub(o.delayAt).Seconds() / datum.DelayFade.Seconds())
	return mean + (o.delay-mean)*fade
}

func meanDelay(os []*Outfall) float64 {
	sum, n := 0.0, 0
	for _, o := range os {
		if o.delay > 0 {
			sum += min(o.delay, 1)
			n++
		}
	}
	if n == 0 {
		return datum.FirstDelay.Seconds()
	}
	return sum / float64(n)
}

// choose picks the upstream with the least expected delay, or nil when none
// has room. Among those out after failures the longest out is taken only when
// too few are left.
func (y *Yard) choose(w want, skip map[*Outfall]bool, now time.Time) *Outfall {
	if w.stream {
		return y.chooseStream(w, skip, now)
	}
	pk := y.pick(w)
	few, os := pk.few, pk.all
	mean := meanDelay(few)
	bounded := y.warmup(w.service) > 0
	pass := func(os []*Outfall, ejectedToo bool) *Outfall {
		var best *Outfall
		least := math.Inf(1)
		for _, o := range os {
			if o.draining || skip[o] || y.evac[o.inst.Zone] || bounded && now.Before(o.warmAt) && !o.bears(now) || !ejectedToo && now.Before(o.ejected) {
				continue
			}
			if o.fails > 0 && len(o.out) > 0 {
				continue // one trial at a time
			}
			d := o.expect(now, mean)
			oldest := 0.0
			for _, at := range o.out {
				oldest = max(oldest, now.Sub(at).Seconds())
			}
			share := o.share()
			limit := max(datum.OutfallCap, 2*share) // as many again may wait there
			if d > mean*datum.SlowFactor || oldest > mean*datum.SlowFactor {
				limit = max(datum.OutfallCapSlow, share)
			}
			if len(o.out) >= limit {
				continue
			}
			score := max(d, oldest) * (1 + float64(len(o.out))/float64(o.inst.Slots))
			if now.Before(o.warmAt) {
				score *= datum.WarmupFactor
			}
			if age := now.Sub(o.loadAt); o.load > 1 && age < datum.LoadFresh {
				score *= 1 + (o.load-1)*(1-age.Seconds()/datum.LoadFresh.Seconds())
			}
			switch o.far {
			case 1:
				score += datum.ZonePenalty.Seconds()
			case 2:
				score += datum.RegionPenalty.Seconds()
			}
			if len(o.idle) == 0 {
				score += datum.NewConnPenalty.Seconds()
			}
			score *= 1 + datum.ChoiceNoise*rand.Float64()
			if score < least {
				best, least = o, score
			}
		}
		return best
	}
	if o := pass(few, false); o != nil {
		return o
	}
	if len(few) < len(os) {
		if o := pass(os, false); o != nil {
			return o
		}
	}
	if y.mostOut(os, now) {
		return pass(os, true)
	}
	return nil
}

// mostOut says that more than half of some upstreams are left alone after failures:
// ejection is bounded, and then all are asked again.
func (y *Yard) mostOut(os []*Outfall, now time.Time) bool {
	all, out := 0, 0
	for _, o := range os {
		if !o.draining && !y.evac[o.inst.Zone] {
			if all++; now.Before(o.ejected) {
				out++
			}
		}
	}
	return out*2 > all
}

// Place finds room at an upstream at once, or nil, for a request that has been offered
// before: what others wait for is theirs.
func (y *Yard) Place(w want, skip map[*Outfall]bool) *offer {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.wakeLocked(w.service)
	return y.placeLocked(w, skip)
}

func (y *Yard) placeLocked(w want, skip map[*Outfall]bool) *offer {
	now := time.Now()
	o := y.choose(w, skip, now)
	if o == nil {
		return nil
	}
	if now.Before(o.warmAt) {
		o.coldAt = now
	}
	p := &offer{of: o}
	o.out[p] = now
	return p
}

// Wait finds room, at once or within a time. Requests get it by priority (the lowest
// number first) and then as they came, those that wait already among them.
func (y *Yard) Wait(ctx context.Context, wn want, prio int, skip map[*Outfall]bool, hold time.Duration) *offer {
	y.mu.Lock()
	if len(y.waits[wn.service]) == 0 {
		if p := y.placeLocked(wn, skip); p != nil {
			y.mu.Unlock()
			return p
		}
	}
	if len(y.pick(wn).all) == 0 {
		y.Full++
		y.mu.Unlock()
		return nil
	}
	w := y.queueLocked(wn, prio, skip)
	y.wakeLocked(wn.service) // room may have come by itself
	if len(w.ch) == 0 {
		y.Waited++
	}
	y.mu.Unlock()
	t := time.NewTimer(max(0, hold))
	defer t.Stop()
	select {
	case p := <-w.ch:
		return p
	case <-t.C:
	case <-ctx.Done():
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	ws := y.waits[wn.service]
	if i := slices.Index(ws, w); i >= 0 {
		y.waits[wn.service] = slices.Concat(ws[:i], ws[i+1:])
		y.Full++
		return nil
	}
	return <-w.ch // room came at the last moment
}

// queueLocked puts a request among those that wait.
func (y *Yard) queueLocked(wn want, prio int, skip map[*Outfall]bool) *waiter {
	y.queued++
	w := &waiter{want: wn, prio: prio, seq: y.queued, ch: make(chan *offer, 1), skip: skip}
	ws := append(y.waits[wn.service], w)
	sort.Slice(ws, func(a, b int) bool {
		return ws[a].prio < ws[b].prio || ws[a].prio == ws[b].prio && ws[a].seq < ws[b].seq
	})
	y.waits[wn.service] = ws
	return w
}

func (y *Yard) wakeLocked(service string) {
	ws := y.waits[service]
	if len(ws) == 0 {
		return
	}
	var still []*waiter
	var full map[want]bool // wants that found no room: those behind with the same find none either
	for _, w := range ws {
		if !full[w.want] {
			if p := y.placeLocked(w.want, w.skip); p != nil {
				w.ch <- p
				continue
			}
			if full == nil {
				full = map[want]bool{}
			}
			full[w.want] = true
		}
		still = append(still, w)
	}
	y.waits[service] = still
}

// outcome is how an offer ended, for judging the upstream.
type outcome int

const (
	served  outcome = iota // it answered
	full                   // it turned the request away
	broken                 // refused, reset, cut, odd
	silent                 // no answer in time
	unused                 // nothing was sent, nothing learned
	errored                // it answered with a failure of its own
)

// eject leaves an upstream alone after a failure, longer with each in a row.
func (o *Outfall) eject(now time.Time) {
	o.fails++
	o.yard.Ejected++
	o.ejected = now.Add(min(datum.EjectFirst<<min(o.fails-1, 5), datum.EjectMax))
}

// done ends an offer and learns from it.
func (y *Yard) done(p *offer, how outcome) {
	y.mu.Lock()
	defer y.mu.Unlock()
	o := p.of
	began, ok := o.out[p]
	if !ok {
		return
	}
	delete(o.out, p)
	now := time.Now()
	took := now.Sub(began).Seconds()
	if p.first > 0 {
		took = p.first
	}
	learn := func(s float64) {
		if o.delay == 0 {
			o.delay = s
		} else {
			o.delay = o.expect(now, meanDelay(y.pick(want{service: o.inst.Service, homes: anywhere}).few))
			o.delay += datum.DelayWeight * (s - o.delay)
		}
		o.delayAt = now
	}
	switch how {
	case served:
		o.fails = 0
		o.answers++
		learn(took)
	case errored:
		// Few answers of a healthy upstream are failures, so one is evidence
		// enough to leave it alone for a moment, whatever its health answer says;
		// its connections are as good as before.
		learn(max(took, datum.FirstDelay.Seconds()))
		o.eject(now)
	case full:
		learn(max(2*meanDelay(y.pick(want{service: o.inst.Service, homes: anywhere}).few), took))
		o.ejected = now.Add(datum.FullPause)
	case broken, silent:
		if how == silent {
			learn(took)
		}
		o.eject(now)
		o.closeIdle()
	}
	y.wakeLocked(o.inst.Service)
}

// connect gives an idle connection, or a new one; where nothing but its connection
// ties the answer to the request, always a new one.
func (o *Outfall) connect(ctx context.Context, fresh bool) (f *Flume, reused bool, err error) {
	y := o.yard
	now := time.Now()
	for {
		y.mu.Lock()
		if len(o.idle) == 0 || fresh && o.conns < y.connCap(o.inst.Service) {
			break
		}
		f := o.idle[len(o.idle)-1]
		o.idle = o.idle[:len(o.idle)-1]
		y.mu.Unlock()
		if !fresh && now.Sub(f.idleAt) < f.idleFor && f.clean() {
			return f, true, nil
		}
		o.drop(f)
	}
	if o.conns >= y.connCap(o.inst.Service) {
		y.mu.Unlock()
		return nil, false, errStale
	}
	o.conns++
	y.News++
	y.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, datum.ConnectTimeout)
	defer cancel()
	c, err := y.dialer.DialContext(ctx, "tcp4", o.inst.Address)
	if err != nil {
		y.mu.Lock()
		o.conns--
		y.mu.Unlock()
		return nil, false, err
	}
	return newFlume(o, c), false, nil
}

// drop closes a connection.
func (o *Outfall) drop(f *Flume) {
	f.c.Close()
	o.yard.mu.Lock()
	o.conns--
	o.yard.mu.Unlock()
}

// keep puts a connection by for the next request: after an exchange, or as it was
// found, when nothing was sent. Its upstream counts the rest from the last exchange.
func (o *Outfall) keep(f *Flume, exchanged bool) {
	o.yard.mu.Lock()
	defer o.yard.mu.Unlock()
	if o.gone || o.draining || len(o.idle) >= datum.IdlePerUpstream {
		f.c.Close()
		o.conns--
		return
	}
	if exchanged {
		f.idleAt = time.Now()
	}
	o.idle = append(o.idle, f)
}

// Retire closes connections idle for too long.
func (y *Yard) Retire(now time.Time) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, o := range y.by {
		kept := o.idle[:0]
		for _, f := range o.idle {
			if now.Sub(f.idleAt) < f.idleFor {
				kept = append(kept, f)
				continue
			}
			f.c.Close()
			o.conns--
		}
		o.idle = kept
	}
}

// OutfallState is one upstream for operators.
type OutfallState struct {
	Instance, Service, Zone string
	Region                  string
	State                   string
	Out, Idle, Conns, Fails int
	DelayMs                 float64
	Answers                 uint64
	Busy                    float64 // how full it is thought to be, in parts of its slots, where it tells
}

// States lists all upstreams.
func (y *Yard) States(now time.Time) []OutfallState {
	y.mu.Lock()
	defer y.mu.Unlock()
	var out []OutfallState
	means := map[string]float64{}
	for s, os := range y.svc {
		means[s] = meanBusy(os, now)
	}
	for _, o := range y.by {
		st := "in"
		switch {
		case o.draining:
			st = "draining"
		case now.Before(o.ejected):
			st = "out"
		case now.Before(o.warmAt):
			st = "warming"
			if y.warmup(o.inst.Service) > 0 {
				st = "cold"
			}
		}
		if y.evac[o.inst.Zone] {
			st = "evacuated"
		}
		out = append(out, OutfallState{o.inst.ID, o.inst.Service, o.inst.Zone, o.region, st, len(o.out), len(o.idle), o.conns, o.fails,
			math.Round(o.delay*1e4) / 10, o.answers, 0})
		if !o.loadAt.IsZero() {
			out[len(out)-1].Busy = math.Round(o.busy(now, means[o.inst.Service])*100) / 100
		}
	}
	sort.Slice(out, func(a, b int) bool {
		return out[a].Service < out[b].Service || out[a].Service == out[b].Service && out[a].Instance < out[b].Instance
	})
	return out
}
