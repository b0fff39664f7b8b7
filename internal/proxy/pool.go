package proxy

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

	"slateridge/internal/constants"
	"slateridge/internal/discovery"
)

// Upstream is one life of an upstream, as this proxy knows it.
type Upstream struct {
	instance discovery.Instance // but for its slots it never changes; what does is kept below
	pool     *Pool
	distance int // 0 in this zone, 1 in this region, 2 beyond
	region   string
	rank     uint32    // this proxy's lot for it, by which its own few are drawn
	warmFrom time.Time // slow before this

	// under pool.mu
	removed      bool
	draining     bool
	active       map[*placement]time.Time // requests there, since when
	idle         []*Conn
	conns        int
	coldAt       time.Time // last given a place while cold
	load         float64   // requests running and waiting for each slot, as it last told
	ownActive    int       // of them from here
	loadAt       time.Time
	delay        float64 // running mean of the time to an answer, seconds; 0 unknown
	delayAt      time.Time
	fails        int
	ejectedUntil time.Time // not before
	answers      uint64
}

// placement is one request's place at an upstream.
type placement struct {
	upstream *Upstream
	first    float64 // seconds to a stream's first piece; 0 none yet
}

// Pool knows all upstreams and holds requests that wait for room.
type Pool struct {
	mu            sync.Mutex
	zone          string
	dialer        net.Dialer
	upstreams     map[string]*Upstream // by instance
	byService     map[string][]*Upstream
	candidateSets map[target]*candidateSet // made from svc as they are asked for
	evacuated     map[string]bool          // zones nothing is sent to
	regions       map[string]string
	warmup        func(service string) time.Duration // how long its upstreams are cold and bounded; 0 never
	proxies       int                                // live count
	self          string
	waiting       map[string][]*waiter     // by service, the most urgent first
	queued        uint64                   // how many ever waited: the order in which they came
	connCap       func(service string) int // this proxy's share of connections to one upstream
	NewConns      uint64                   // new connections
	Ejected       uint64
	Kept          [3]uint64 // streams at their prefix's first upstream, at one of the next, elsewhere
	Waited        uint64
	Full          uint64
}

// target is what a request asks for: an upstream of a service, in certain regions.
type target struct {
	service, homes string
	stream         bool   // it runs for long, and beside others in a batch
	prefix         string // what its prompt has in common with others
}

// group is the want without what tells requests for the same upstreams apart.
func (w target) group() target { return target{service: w.service, homes: w.homes} }

// anywhere is the homes of a request that may be served in all regions.
const anywhere = "*"

// Len is how many upstreams are known.
func (pool *Pool) Len() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return len(pool.upstreams)
}

// SetProxies takes the live count.
func (pool *Pool) SetProxies(n int) {
	pool.mu.Lock()
	pool.proxies = n
	pool.mu.Unlock()
}

// admitsCold says whether a cold upstream may be sent a request from here now. Its
// bound holds over all proxies, and nobody is asked: by lot a few of them own
// it, and each sends one request at a time, spaced so that no second sees two.
// The lot needs no roster, only the live count, and is as good while counts
// differ.
func (u *Upstream) admitsCold(now time.Time) bool {
	n := u.pool.proxies
	return n > 0 && float64(u.rank)*float64(n) < constants.ColdOwners*(1<<32) && now.Sub(u.coldAt) >= constants.ColdEvery
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

// candidateSet is the upstreams that fit a want, near ones first; few are those this
// proxy turns to before any other.
type candidateSet struct{ preferred, all []*Upstream }

func (pool *Pool) candidates(w target) *candidateSet {
	w = w.group()
	p := pool.candidateSets[w]
	if p == nil {
		p = &candidateSet{}
		for _, u := range pool.byService[w.service] {
			if within(w.homes, u.region) {
				p.all = append(p.all, u)
			}
		}
		sort.Slice(p.all, func(a, b int) bool {
			x, z := p.all[a], p.all[b]
			return x.distance < z.distance || x.distance == z.distance && (x.rank < z.rank || x.rank == z.rank && x.instance.ID < z.instance.ID)
		})
		p.preferred = p.all
		if len(p.all) > constants.FewUpstreams*3/2 {
			p.preferred = p.all[:constants.FewUpstreams]
		}
		pool.candidateSets[w] = p
	}
	return p
}

// Evacuated lists the zones under evacuation.
func (pool *Pool) Evacuated() []string {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return slices.Sorted(maps.Keys(pool.evacuated))
}

// Evacuate takes the zones under evacuation; true when they are others than
// before. The upstreams of a zone taken back may have turned cold meanwhile.
func (pool *Pool) Evacuate(now time.Time, zones []string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	is := map[string]bool{}
	for _, z := range zones {
		is[z] = true
	}
	if maps.Equal(is, pool.evacuated) {
		return false
	}
	for _, u := range pool.upstreams {
		z := u.instance.Zone
		if is[z] {
			u.closeIdle()
		} else if pool.evacuated[z] {
			if cold := now.Add(pool.warmup(u.instance.Service)); cold.After(u.warmFrom) {
				u.warmFrom = cold
			}
		}
	}
	pool.evacuated = is
	return true
}

type waiter struct {
	target   target
	priority int
	seq      uint64
	granted  chan *placement
	skip     map[*Upstream]bool
}

// NewPool makes an empty pool for a proxy in a zone.
func NewPool(me, zone string, regions map[string]string, connCap func(string) int, warmup func(string) time.Duration) *Pool {
	return &Pool{self: me, zone: zone, regions: regions, warmup: warmup, candidateSets: map[target]*candidateSet{}, evacuated: map[string]bool{}, upstreams: map[string]*Upstream{}, byService: map[string][]*Upstream{}, waiting: map[string][]*waiter{}, connCap: connCap,
		dialer: net.Dialer{Timeout: constants.ConnectTimeout, KeepAlive: -1}}
}

// Apply takes a list: states change, lives that are gone end, new ones begin.
func (pool *Pool) Apply(now time.Time, is []discovery.Instance) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	seen := map[string]bool{}
	for _, i := range is {
		seen[i.ID] = true
		u := pool.upstreams[i.ID]
		if u != nil && (u.instance.Address != i.Address || u.instance.Service != i.Service) {
			// Requests under way hold on to what it was: this is another life.
			u.removed = true
			u.closeIdle()
			u = nil
		}
		if u == nil {
			u = &Upstream{pool: pool, instance: i, rank: rankOf(pool.self, i.ID), region: pool.regions[i.Zone], active: map[*placement]time.Time{}}
			switch {
			case i.Zone == pool.zone:
			case u.region == pool.regions[pool.zone]:
				u.distance = 1
			default:
				u.distance = 2
			}
			pool.upstreams[i.ID] = u
		}
		u.instance.Slots = i.Slots
		if at := now.Add(i.Warmup); i.Warmup > 0 && at.After(u.warmFrom) {
			u.warmFrom = at
		}
		u.draining = i.Draining
		if u.draining {
			u.closeIdle()
		}
	}
	for id, u := range pool.upstreams {
		if !seen[id] {
			u.removed = true
			u.closeIdle()
			delete(pool.upstreams, id)
		}
	}
	pool.byService = map[string][]*Upstream{}
	for _, u := range pool.upstreams {
		pool.byService[u.instance.Service] = append(pool.byService[u.instance.Service], u)
	}
	clear(pool.candidateSets)
	for s := range pool.byService {
		pool.wakeLocked(s)
	}
}

// rankOf draws an upstream's place in a proxy's order: stable while both live, and
// even over all proxies.
func rankOf(proxy, instance string) uint32 {
	h := fnv.New64a()
	h.Write([]byte(proxy + " " + instance))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return uint32(x >> 32)
}

func (u *Upstream) closeIdle() {
	for _, conn := range u.idle {
		conn.netConn.Close()
		u.conns--
	}
	u.idle = nil
}

// usable says whether the upstream may still be sent a request with such homes.
func (u *Upstream) usable(homes string) bool {
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	return !u.removed && !u.draining && !u.pool.evacuated[u.instance.Zone] && within(homes, u.region)
}

// noteLoad takes what an upstream says of its load: running, waiting, slots.
func (u *Upstream) noteLoad(header string) {
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
	u.pool.mu.Lock()
	u.load, u.loadAt, u.ownActive = (n[0]+n[1])/n[2], time.Now(), len(u.active)
	u.pool.mu.Unlock()
}

// share is this proxy's part of the upstream's places.
func (u *Upstream) share() int {
	if u.pool.proxies == 0 {
		return 0 // not known yet
	}
	return (u.instance.Slots + u.pool.proxies - 1) / u.pool.proxies
}

// expect is the delay to expect of an upstream: what was learned, fading
// toward the service's mean as it ages.
func (u *Upstream) expect(now time.Time, mean float64) float64 {
	if u.delay == 0 {
		return mean
	}
	fade := math.Exp(-now.Sub(u.delayAt).Seconds() / constants.DelayFade.Seconds())
	return mean + (u.delay-mean)*fade
}

func meanDelay(os []*Upstream) float64 {
	sum, n := 0.0, 0
	for _, u := range os {
		if u.delay > 0 {
			sum += min(u.delay, 1)
			n++
		}
	}
	if n == 0 {
		return constants.FirstDelay.Seconds()
	}
	return sum / float64(n)
}

// choose picks the upstream with the least expected delay, or nil when none
// has room. Among those out after failures the longest out is taken only when
// too few are left.
func (pool *Pool) choose(w target, skip map[*Upstream]bool, now time.Time) *Upstream {
	if w.stream {
		return pool.chooseStream(w, skip, now)
	}
	pk := pool.candidates(w)
	few, os := pk.preferred, pk.all
	mean := meanDelay(few)
	bounded := pool.warmup(w.service) > 0
	pass := func(os []*Upstream, ejectedToo bool) *Upstream {
		var best *Upstream
		least := math.Inf(1)
		for _, u := range os {
			if u.draining || skip[u] || pool.evacuated[u.instance.Zone] || bounded && now.Before(u.warmFrom) && !u.admitsCold(now) || !ejectedToo && now.Before(u.ejectedUntil) {
				continue
			}
			if u.fails > 0 && len(u.active) > 0 {
				continue // one trial at a time
			}
			d := u.expect(now, mean)
			oldest := 0.0
			for _, at := range u.active {
				oldest = max(oldest, now.Sub(at).Seconds())
			}
			share := u.share()
			limit := max(constants.UpstreamCap, 2*share) // as many again may wait there
			if d > mean*constants.SlowFactor || oldest > mean*constants.SlowFactor {
				limit = max(constants.UpstreamCapSlow, share)
			}
			if len(u.active) >= limit {
				continue
			}
			score := max(d, oldest) * (1 + float64(len(u.active))/float64(u.instance.Slots))
			if now.Before(u.warmFrom) {
				score *= constants.WarmupFactor
			}
			if age := now.Sub(u.loadAt); u.load > 1 && age < constants.LoadFresh {
				score *= 1 + (u.load-1)*(1-age.Seconds()/constants.LoadFresh.Seconds())
			}
			switch u.distance {
			case 1:
				score += constants.ZonePenalty.Seconds()
			case 2:
				score += constants.RegionPenalty.Seconds()
			}
			if len(u.idle) == 0 {
				score += constants.NewConnPenalty.Seconds()
			}
			score *= 1 + constants.ChoiceNoise*rand.Float64()
			if score < least {
				best, least = u, score
			}
		}
		return best
	}
	if u := pass(few, false); u != nil {
		return u
	}
	if len(few) < len(os) {
		if u := pass(os, false); u != nil {
			return u
		}
	}
	if pool.mostEjected(os, now) {
		return pass(os, true)
	}
	return nil
}

// mostEjected says that more than half of some upstreams are left alone after failures:
// ejection is bounded, and then all are asked again.
func (pool *Pool) mostEjected(os []*Upstream, now time.Time) bool {
	all, out := 0, 0
	for _, u := range os {
		if !u.draining && !pool.evacuated[u.instance.Zone] {
			if all++; now.Before(u.ejectedUntil) {
				out++
			}
		}
	}
	return out*2 > all
}

// Place finds room at an upstream at once, or nil, for a request that has been offered
// before: what others wait for is theirs.
func (pool *Pool) Place(w target, skip map[*Upstream]bool) *placement {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.wakeLocked(w.service)
	return pool.placeLocked(w, skip)
}

func (pool *Pool) placeLocked(w target, skip map[*Upstream]bool) *placement {
	now := time.Now()
	u := pool.choose(w, skip, now)
	if u == nil {
		return nil
	}
	if now.Before(u.warmFrom) {
		u.coldAt = now
	}
	p := &placement{upstream: u}
	u.active[p] = now
	return p
}

// Wait finds room, at once or within a time. Requests get it by priority (the lowest
// number first) and then as they came, those that wait already among them.
func (pool *Pool) Wait(ctx context.Context, wn target, prio int, skip map[*Upstream]bool, hold time.Duration) *placement {
	pool.mu.Lock()
	if len(pool.waiting[wn.service]) == 0 {
		if p := pool.placeLocked(wn, skip); p != nil {
			pool.mu.Unlock()
			return p
		}
	}
	if len(pool.candidates(wn).all) == 0 {
		pool.Full++
		pool.mu.Unlock()
		return nil
	}
	w := pool.queueLocked(wn, prio, skip)
	pool.wakeLocked(wn.service) // room may have come by itself
	if len(w.granted) == 0 {
		pool.Waited++
	}
	pool.mu.Unlock()
	t := time.NewTimer(max(0, hold))
	defer t.Stop()
	select {
	case p := <-w.granted:
		return p
	case <-t.C:
	case <-ctx.Done():
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	ws := pool.waiting[wn.service]
	if i := slices.Index(ws, w); i >= 0 {
		pool.waiting[wn.service] = slices.Concat(ws[:i], ws[i+1:])
		pool.Full++
		return nil
	}
	return <-w.granted // room came at the last moment
}

// queueLocked puts a request among those that wait.
func (pool *Pool) queueLocked(wn target, prio int, skip map[*Upstream]bool) *waiter {
	pool.queued++
	w := &waiter{target: wn, priority: prio, seq: pool.queued, granted: make(chan *placement, 1), skip: skip}
	ws := append(pool.waiting[wn.service], w)
	sort.Slice(ws, func(a, b int) bool {
		return ws[a].priority < ws[b].priority || ws[a].priority == ws[b].priority && ws[a].seq < ws[b].seq
	})
	pool.waiting[wn.service] = ws
	return w
}

func (pool *Pool) wakeLocked(service string) {
	ws := pool.waiting[service]
	if len(ws) == 0 {
		return
	}
	var still []*waiter
	var full map[target]bool // wants that found no room: those behind with the same find none either
	for _, w := range ws {
		if !full[w.target] {
			if p := pool.placeLocked(w.target, w.skip); p != nil {
				w.granted <- p
				continue
			}
			if full == nil {
				full = map[target]bool{}
			}
			full[w.target] = true
		}
		still = append(still, w)
	}
	pool.waiting[service] = still
}

// outcome is how an offer ended, for judging the upstream.
type outcome int

const (
	served     outcome = iota // it answered
	atCapacity                // it turned the request away
	broken                    // refused, reset, cut, odd
	silent                    // no answer in time
	unused                    // nothing was sent, nothing learned
	errored                   // it answered with a failure of its own
)

// eject leaves an upstream alone after a failure, longer with each in a row.
func (u *Upstream) eject(now time.Time) {
	u.fails++
	u.pool.Ejected++
	u.ejectedUntil = now.Add(min(constants.EjectFirst<<min(u.fails-1, 5), constants.EjectMax))
}

// done ends an offer and learns from it.
func (pool *Pool) done(p *placement, how outcome) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	u := p.upstream
	began, ok := u.active[p]
	if !ok {
		return
	}
	delete(u.active, p)
	now := time.Now()
	took := now.Sub(began).Seconds()
	if p.first > 0 {
		took = p.first
	}
	learn := func(s float64) {
		if u.delay == 0 {
			u.delay = s
		} else {
			u.delay = u.expect(now, meanDelay(pool.candidates(target{service: u.instance.Service, homes: anywhere}).preferred))
			u.delay += constants.DelayWeight * (s - u.delay)
		}
		u.delayAt = now
	}
	switch how {
	case served:
		u.fails = 0
		u.answers++
		learn(took)
	case errored:
		// Few answers of a healthy upstream are failures, so one is evidence
		// enough to leave it alone for a moment, whatever its health answer says;
		// its connections are as good as before.
		learn(max(took, constants.FirstDelay.Seconds()))
		u.eject(now)
	case atCapacity:
		learn(max(2*meanDelay(pool.candidates(target{service: u.instance.Service, homes: anywhere}).preferred), took))
		u.ejectedUntil = now.Add(constants.FullPause)
	case broken, silent:
		if how == silent {
			learn(took)
		}
		u.eject(now)
		u.closeIdle()
	}
	pool.wakeLocked(u.instance.Service)
}

// connect gives an idle connection, or a new one; where nothing but its connection
// ties the answer to the request, always a new one.
func (u *Upstream) connect(ctx context.Context, fresh bool) (conn *Conn, reused bool, err error) {
	pool := u.pool
	now := time.Now()
	for {
		pool.mu.Lock()
		if len(u.idle) == 0 || fresh && u.conns < pool.connCap(u.instance.Service) {
			break
		}
		conn := u.idle[len(u.idle)-1]
		u.idle = u.idle[:len(u.idle)-1]
		pool.mu.Unlock()
		if !fresh && now.Sub(conn.idleAt) < conn.idleFor && conn.clean() {
			return conn, true, nil
		}
		u.drop(conn)
	}
	if u.conns >= pool.connCap(u.instance.Service) {
		pool.mu.Unlock()
		return nil, false, errStale
	}
	u.conns++
	pool.NewConns++
	pool.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, constants.ConnectTimeout)
	defer cancel()
	c, err := pool.dialer.DialContext(ctx, "tcp4", u.instance.Address)
	if err != nil {
		pool.mu.Lock()
		u.conns--
		pool.mu.Unlock()
		return nil, false, err
	}
	return newUpstreamConn(u, c), false, nil
}

// drop closes a connection.
func (u *Upstream) drop(conn *Conn) {
	conn.netConn.Close()
	u.pool.mu.Lock()
	u.conns--
	u.pool.mu.Unlock()
}

// keep puts a connection by for the next request: after an exchange, or as it was
// found, when nothing was sent. Its upstream counts the rest from the last exchange.
func (u *Upstream) keep(conn *Conn, exchanged bool) {
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	if u.removed || u.draining || len(u.idle) >= constants.IdlePerUpstream {
		conn.netConn.Close()
		u.conns--
		return
	}
	if exchanged {
		conn.idleAt = time.Now()
	}
	u.idle = append(u.idle, conn)
}

// Retire closes connections idle for too long.
func (pool *Pool) Retire(now time.Time) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, u := range pool.upstreams {
		kept := u.idle[:0]
		for _, conn := range u.idle {
			if now.Sub(conn.idleAt) < conn.idleFor {
				kept = append(kept, conn)
				continue
			}
			conn.netConn.Close()
			u.conns--
		}
		u.idle = kept
	}
}

// UpstreamState is one upstream for operators.
type UpstreamState struct {
	Instance, Service, Zone string
	Region                  string
	State                   string
	Out, Idle, Conns, Fails int
	DelayMs                 float64
	Answers                 uint64
	Busy                    float64 // how full it is thought to be, in parts of its slots, where it tells
}

// States lists all upstreams.
func (pool *Pool) States(now time.Time) []UpstreamState {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	var out []UpstreamState
	means := map[string]float64{}
	for s, os := range pool.byService {
		means[s] = meanBusy(os, now)
	}
	for _, u := range pool.upstreams {
		st := "in"
		switch {
		case u.draining:
			st = "draining"
		case now.Before(u.ejectedUntil):
			st = "out"
		case now.Before(u.warmFrom):
			st = "warming"
			if pool.warmup(u.instance.Service) > 0 {
				st = "cold"
			}
		}
		if pool.evacuated[u.instance.Zone] {
			st = "evacuated"
		}
		out = append(out, UpstreamState{u.instance.ID, u.instance.Service, u.instance.Zone, u.region, st, len(u.active), len(u.idle), u.conns, u.fails,
			math.Round(u.delay*1e4) / 10, u.answers, 0})
		if !u.loadAt.IsZero() {
			out[len(out)-1].Busy = math.Round(u.busy(now, means[u.instance.Service])*100) / 100
		}
	}
	sort.Slice(out, func(a, b int) bool {
		return out[a].Service < out[b].Service || out[a].Service == out[b].Service && out[a].Instance < out[b].Instance
	})
	return out
}
