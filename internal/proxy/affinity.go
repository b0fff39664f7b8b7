package proxy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"slateridge/internal/constants"
)

// recordFirstByte records when the first byte of a stream's body arrived.
func (pool *Pool) recordFirstByte(p *placement, now time.Time) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if at, ok := p.upstream.active[p]; ok {
		p.timeToFirstByte = now.Sub(at).Seconds()
	}
}

// PlaceStream reserves capacity for a stream with the given prompt prefix, in any region,
// and releases it again. It exists to measure the cost of a placement.
func (pool *Pool) PlaceStream(service, prefix string) bool {
	place := pool.Place(target{service: service, regions: anyRegion, stream: true, prefix: prefix}, nil)
	if place != nil {
		pool.finish(place, outcomeUnused)
	}
	return place != nil
}

// Outstanding returns how many requests for a service this proxy has in flight or waiting
// for capacity.
func (pool *Pool) Outstanding(service string) int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	n := len(pool.waiting[service])
	for _, u := range pool.byService[service] {
		n += len(u.active)
	}
	return n
}

// estimatedLoad estimates the upstream's load as a multiple of its slots. It starts from the
// last reported load, adjusted for requests that this proxy has started and finished since;
// as the report ages, the estimate decays toward the service's mean. It is never below the
// load that this proxy causes itself.
func (u *Upstream) estimatedLoad(now time.Time, mean float64) float64 {
	slots := float64(max(1, u.instance.Slots))
	own := float64(len(u.active)) / slots
	if u.loadReportedAt.IsZero() {
		return max(own, mean+own)
	}
	weight := math.Exp(-now.Sub(u.loadReportedAt).Seconds() / constants.ReportedLoadDecayTime.Seconds())
	reported := u.reportedLoad + float64(len(u.active)-u.activeAtReport)/slots
	return max(own, mean+(reported-mean)*weight)
}

// meanLoad returns the mean of the loads that the upstreams reported, weighted toward
// recent reports.
func meanLoad(upstreams []*Upstream, now time.Time) float64 {
	sum, weights := 0.0, 0.0
	for _, u := range upstreams {
		if !u.loadReportedAt.IsZero() {
			w := math.Exp(-now.Sub(u.loadReportedAt).Seconds() / (4 * constants.ReportedLoadDecayTime.Seconds()))
			sum, weights = sum+w*u.reportedLoad, weights+w
		}
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// streamCandidate is an upstream that a stream may be placed at.
type streamCandidate struct {
	upstream *Upstream
	load     float64 // estimated load as a multiple of its slots
	rank     uint32  // rendezvous rank for the stream's prefix; the lowest comes first
}

// selectForStream selects the upstream for a stream. Rendezvous hashing of the prompt prefix
// orders the upstreams in this zone, and the first of the top few that is not full is used.
// All proxies thereby agree on where a prefix is cached without communicating. Otherwise it
// selects the least loaded upstream in this zone, or in other zones if those here are full.
// If all have reached the load limit it returns nil; the request then waits briefly and is
// rejected.
func (pool *Pool) selectForStream(t target, skip map[*Upstream]bool, now time.Time) *Upstream {
	near, far := pool.streamCandidates(t, skip, now)
	if t.prefix != "" && len(near) > 0 {
		if u := pool.selectByPrefix(near); u != nil {
			return u
		}
	}
	best, load := leastLoaded(near)
	if best == nil || load > 1 {
		if u, farLoad := leastLoaded(far); u != nil && farLoad+constants.StreamOtherZoneMargin < load {
			best = u
		}
	}
	return best
}

// streamCandidates returns the upstreams with capacity for a stream, in this zone and in
// other zones.
func (pool *Pool) streamCandidates(t target, skip map[*Upstream]bool, now time.Time) (near, far []streamCandidate) {
	all := pool.candidates(t).all
	mean := meanLoad(all, now)
	s := selection{skip: skip, now: now, includeEjected: pool.mostEjected(all, now)}
	for _, u := range all {
		if !u.eligible(s) {
			continue
		}
		candidate := streamCandidate{upstream: u, load: u.estimatedLoad(now, mean)}
		if candidate.load >= constants.StreamMaxLoad {
			continue // the upstream resets streams that it cannot queue, and a stream is sent only once
		}
		if now.Before(u.warmupEnd) {
			candidate.load += constants.WarmupFactor - 1
		}
		if u.distance > 0 {
			far = append(far, candidate)
			continue
		}
		if t.prefix != "" {
			candidate.rank = rendezvousRank(t.prefix, u.instance.ID)
		}
		near = append(near, candidate)
	}
	return near, far
}

// selectByPrefix returns the first of the prefix's top-ranked upstreams that is not full, or
// nil, and counts the placement.
func (pool *Pool) selectByPrefix(near []streamCandidate) *Upstream {
	slices.SortFunc(near, func(a, b streamCandidate) int { return cmp.Compare(a.rank, b.rank) })
	for i, c := range near[:min(len(near), constants.AffinityUpstreams)] {
		if c.load < constants.AffinityMaxLoad {
			pool.StreamPlacements[min(i, 1)]++
			return c.upstream
		}
	}
	pool.StreamPlacements[2]++
	return nil
}

// leastLoaded returns the candidate with the least load after adding a little noise, and
// that load; nil and infinity if there are no candidates.
func leastLoaded(candidates []streamCandidate) (best *Upstream, load float64) {
	load = math.Inf(1)
	for _, c := range candidates {
		if l := c.load + constants.StreamSelectionNoise*rand.Float64(); l < load {
			best, load = c.upstream, l
		}
	}
	return best, load
}
