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

// target describes which upstreams may serve a request: those of a service in certain regions.
type target struct {
	service, regions string // regions is in the form that regionsKey returns
	stream           bool   // a long-running response that the upstream processes in a batch with others
	prefix           string // identifies the part of the prompt that is shared with other requests; may be empty
}

// group returns the target without the fields that do not affect which upstreams are candidates.
func (t target) group() target { return target{service: t.service, regions: t.regions} }

// anyRegion is the regions key of a request that may be served in every region.
const anyRegion = "*"

// regionsKey returns a canonical string for a set of regions, or anyRegion if all is true.
func regionsKey(regions []string, all bool) string {
	if all {
		return anyRegion
	}
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return strings.Join(slices.Compact(sorted), ",")
}

// regionAllowed reports whether an upstream in the region may serve a request with the
// given regions key.
func regionAllowed(regions, region string) bool {
	if regions == anyRegion {
		return true
	}
	return region != "" && slices.Contains(strings.Split(regions, ","), region)
}

// candidateSet holds the upstreams that match a target, nearest first. This proxy tries the
// preferred ones before the others.
type candidateSet struct{ preferred, all []*Upstream }

func (pool *Pool) candidates(t target) *candidateSet {
	t = t.group()
	set := pool.candidateSets[t]
	if set == nil {
		set = &candidateSet{}
		for _, u := range pool.byService[t.service] {
			if regionAllowed(t.regions, u.region) {
				set.all = append(set.all, u)
			}
		}
		sort.Slice(set.all, func(a, b int) bool {
			x, z := set.all[a], set.all[b]
			return x.distance < z.distance || x.distance == z.distance && (x.rank < z.rank || x.rank == z.rank && x.instance.ID < z.instance.ID)
		})
		set.preferred = set.all
		if len(set.all) > constants.PreferredUpstreams*3/2 {
			set.preferred = set.all[:constants.PreferredUpstreams]
		}
		pool.candidateSets[t] = set
	}
	return set
}

// selectUpstream returns the upstream with the least expected delay, or nil if none has
// capacity. Ejected upstreams are considered only if most of the candidates are ejected.
func (pool *Pool) selectUpstream(t target, skip map[*Upstream]bool, now time.Time) *Upstream {
	if t.stream {
		return pool.selectForStream(t, skip, now)
	}
	set := pool.candidates(t)
	s := selection{
		skip:       skip,
		now:        now,
		usualDelay: medianDelay(set.preferred),
		spread:     pool.latencyEstimateLocked(t.service, now).spread().Seconds(),
		coldBound:  pool.coldBound(t.service),
	}
	if u := pool.selectLeastCost(set.preferred, s); u != nil {
		return u
	}
	if len(set.preferred) < len(set.all) {
		if u := pool.selectLeastCost(set.all, s); u != nil {
			return u
		}
	}
	if pool.mostEjected(set.all, now) {
		s.includeEjected = true
		return pool.selectLeastCost(set.all, s)
	}
	return nil
}

// selection holds the inputs of one upstream selection.
type selection struct {
	skip           map[*Upstream]bool // upstreams that the request has already been tried on
	now            time.Time
	usualDelay     float64   // median delay of the preferred candidates, in seconds
	spread         float64   // by how much response times vary, in seconds
	coldBound      ColdBound // limit on requests to cold upstreams
	includeEjected bool      // consider ejected upstreams too
}

// selectLeastCost returns the upstream with the least cost among those with capacity, or nil.
func (pool *Pool) selectLeastCost(candidates []*Upstream, s selection) *Upstream {
	var best *Upstream
	leastCost := math.Inf(1)
	for _, u := range candidates {
		if !u.eligible(s) {
			continue
		}
		delay := u.expectedDelay(s.now, s.usualDelay)
		oldest := u.oldestActiveAge(s.now)
		if len(u.active) >= u.activeLimit(delay, oldest, s.usualDelay) {
			continue
		}
		if cost := u.cost(delay, oldest, s); cost < leastCost {
			best, leastCost = u, cost
		}
	}
	return best
}

// eligible reports whether the upstream may be selected, regardless of its capacity.
func (u *Upstream) eligible(s selection) bool {
	if u.draining || s.skip[u] || u.pool.evacuated[u.instance.Zone] {
		return false
	}
	if s.coldBound.duration > 0 && s.now.Before(u.warmupEnd) && !u.admitsColdRequest(s.now, s.coldBound) {
		return false
	}
	if !s.includeEjected && s.now.Before(u.ejectedUntil) {
		return false
	}
	return u.consecutiveFailures == 0 || len(u.active) == 0 // after a failure, probe with one request at a time
}

// oldestActiveAge returns the age in seconds of the oldest request in flight at the upstream.
func (u *Upstream) oldestActiveAge(now time.Time) float64 {
	oldest := 0.0
	for _, at := range u.active {
		oldest = max(oldest, now.Sub(at).Seconds())
	}
	return oldest
}

// activeLimit returns how many requests this proxy may have in flight at the upstream. The
// limit is lower while the upstream is slow.
func (u *Upstream) activeLimit(delay, oldest, usual float64) int {
	share := u.slotShare()
	if delay > usual*constants.SlowFactor || oldest > usual*constants.SlowFactor {
		return max(constants.SlowUpstreamConcurrency, share)
	}
	return max(constants.UpstreamConcurrency, 2*share) // one request queued at the upstream for each one being processed
}

// cost returns the expected delay in seconds of one more request to the upstream, increased
// for load, warm-up, a new connection and distance, with a little noise. A more distant
// upstream has to be faster by more than the spread of response times, because a request
// that leaves its zone depends on two zones and on the link between them.
func (u *Upstream) cost(delay, oldest float64, s selection) float64 {
	cost := max(delay, oldest) * (1 + float64(len(u.active))/float64(u.instance.Slots))
	if s.now.Before(u.warmupEnd) {
		cost *= constants.WarmupFactor
	}
	if age := s.now.Sub(u.loadReportedAt); u.reportedLoad > 1 && age < constants.ReportedLoadMaxAge {
		cost *= 1 + (u.reportedLoad-1)*(1-age.Seconds()/constants.ReportedLoadMaxAge.Seconds())
	}
	cost += float64(u.distance) * s.spread
	roundTrip := u.pool.connectTime[u.distance].median()
	if u.distance > 0 && u.responses == 0 {
		cost += roundTrip // once the upstream has responded, the measured delay includes it
	}
	if len(u.idle) == 0 {
		cost += roundTrip
	}
	return cost * (1 + constants.SelectionNoise*rand.Float64())
}

// Place reserves capacity at an upstream without waiting, or returns nil if there is none.
// Waiting requests are served first.
func (pool *Pool) Place(t target, skip map[*Upstream]bool) *placement {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.serveQueueLocked(t.service)
	return pool.placeLocked(t, skip)
}

func (pool *Pool) placeLocked(t target, skip map[*Upstream]bool) *placement {
	now := time.Now()
	u := pool.selectUpstream(t, skip, now)
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
