package proxy

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"slateridge/internal/constants"
)

// target is what a request asks for: an upstream of a service, in certain regions.
type target struct {
	service, regions string
	stream           bool   // it runs for long, and beside others in a batch
	prefix           string // what its prompt has in common with others
}

// group is the want without what tells requests for the same upstreams apart.
func (w target) group() target { return target{service: w.service, regions: w.regions} }

// anyRegion is the homes of a request that may be served in all regions.
const anyRegion = "*"

// regionsKey writes regions as a want has them.
func regionsKey(regions []string, all bool) string {
	if all {
		return anyRegion
	}
	rs := slices.Clone(regions)
	slices.Sort(rs)
	return strings.Join(slices.Compact(rs), ",")
}

// regionAllowed says whether an upstream of a region may serve a request with homes.
func regionAllowed(homes, region string) bool {
	if homes == anyRegion {
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
			if regionAllowed(w.regions, u.region) {
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

// selectUpstream picks the upstream with the least expected delay, or nil when none
// has room. Among those out after failures the longest out is taken only when
// too few are left.
func (pool *Pool) selectUpstream(w target, skip map[*Upstream]bool, now time.Time) *Upstream {
	if w.stream {
		return pool.selectForStream(w, skip, now)
	}
	set := pool.candidates(w)
	c := selection{
		skip:       skip,
		now:        now,
		usualDelay: usualDelay(set.preferred),
		spread:     pool.workTimeLocked(w.service, now).spread().Seconds(),
		coldBound:  pool.coldBound(w.service),
	}
	if u := pool.selectLeastCost(set.preferred, c); u != nil {
		return u
	}
	if len(set.preferred) < len(set.all) {
		if u := pool.selectLeastCost(set.all, c); u != nil {
			return u
		}
	}
	if pool.mostEjected(set.all, now) {
		c.includeEjected = true
		return pool.selectLeastCost(set.all, c)
	}
	return nil
}

// selection is what one selection of an upstream goes by.
type selection struct {
	skip           map[*Upstream]bool // those that the request has been offered to
	now            time.Time
	usualDelay     float64   // the usual delay of the preferred candidates, in seconds
	spread         float64   // by which answers vary, in seconds
	coldBound      ColdBound // what cold upstreams may be sent
	includeEjected bool      // those left alone after failures are asked as well
}

// selectLeastCost picks the upstream with the least cost of those that have room, or nil.
func (pool *Pool) selectLeastCost(candidates []*Upstream, c selection) *Upstream {
	var best *Upstream
	least := math.Inf(1)
	for _, u := range candidates {
		if !u.eligible(c) {
			continue
		}
		delay := u.expect(c.now, c.usualDelay)
		oldest := u.oldestActiveAge(c.now)
		if len(u.active) >= u.activeLimit(delay, oldest, c.usualDelay) {
			continue
		}
		if cost := u.cost(delay, oldest, c); cost < least {
			best, least = u, cost
		}
	}
	return best
}

// eligible says whether an upstream may be chosen at all, its room aside.
func (u *Upstream) eligible(c selection) bool {
	if u.draining || c.skip[u] || u.pool.evacuated[u.instance.Zone] {
		return false
	}
	if c.coldBound.duration > 0 && c.now.Before(u.warmupEnd) && !u.admitsColdRequest(c.now, c.coldBound) {
		return false
	}
	if !c.includeEjected && c.now.Before(u.ejectedUntil) {
		return false
	}
	return u.consecutiveFailures == 0 || len(u.active) == 0 // one trial at a time
}

// oldestActiveAge is for how long the oldest request there has been under way, in seconds.
func (u *Upstream) oldestActiveAge(now time.Time) float64 {
	oldest := 0.0
	for _, at := range u.active {
		oldest = max(oldest, now.Sub(at).Seconds())
	}
	return oldest
}

// activeLimit is how many requests may be under way there from this proxy: fewer while
// it is slow.
func (u *Upstream) activeLimit(delay, oldest, usual float64) int {
	share := u.slotShare()
	if delay > usual*constants.SlowFactor || oldest > usual*constants.SlowFactor {
		return max(constants.UpstreamCapSlow, share)
	}
	return max(constants.UpstreamCap, 2*share) // as many again may wait there
}

// cost is the delay to expect of one more request there, in seconds, raised for load, cold
// upstreams, new connections and distance, with a little noise. An upstream further away has
// to be faster by more than answers vary: a request that leaves its zone depends on two
// zones and on the link between them.
func (u *Upstream) cost(delay, oldest float64, c selection) float64 {
	cost := max(delay, oldest) * (1 + float64(len(u.active))/float64(u.instance.Slots))
	if c.now.Before(u.warmupEnd) {
		cost *= constants.WarmupFactor
	}
	if age := c.now.Sub(u.loadReportedAt); u.reportedLoad > 1 && age < constants.LoadFresh {
		cost *= 1 + (u.reportedLoad-1)*(1-age.Seconds()/constants.LoadFresh.Seconds())
	}
	cost += float64(u.distance) * c.spread
	roundTrip := u.pool.connectTime[u.distance].usual()
	if u.distance > 0 && u.responses == 0 {
		cost += roundTrip // of those asked before it is in the delay
	}
	if len(u.idle) == 0 {
		cost += roundTrip
	}
	return cost * (1 + constants.ChoiceNoise*rand.Float64())
}

// Place finds room at an upstream at once, or nil; what others wait for is theirs.
func (pool *Pool) Place(w target, skip map[*Upstream]bool) *placement {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.wakeLocked(w.service)
	return pool.placeLocked(w, skip)
}

func (pool *Pool) placeLocked(w target, skip map[*Upstream]bool) *placement {
	now := time.Now()
	u := pool.selectUpstream(w, skip, now)
	if u == nil {
		return nil
	}
	if now.Before(u.warmupEnd) {
		u.lastColdRequest = now
	}
	p := &placement{upstream: u}
	u.active[p] = now
	return p
}
