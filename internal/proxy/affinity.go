package proxy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"slateridge/internal/constants"
)

// recordFirstByte notes a stream's first piece.
func (pool *Pool) recordFirstByte(p *placement, now time.Time) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if at, ok := p.upstream.active[p]; ok {
		p.timeToFirstByte = now.Sub(at).Seconds()
	}
}

// PlaceStream finds room for a stream whose prompt begins with a prefix, in any
// region, and gives it up again: what a placement costs.
func (pool *Pool) PlaceStream(service, prefix string) bool {
	of := pool.Place(target{service: service, regions: anyRegion, stream: true, prefix: prefix}, nil)
	if of != nil {
		pool.finish(of, outcomeUnused)
	}
	return of != nil
}

// Outstanding is how many requests of a service run and wait here.
func (pool *Pool) Outstanding(service string) int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	n := len(pool.waiting[service])
	for _, u := range pool.byService[service] {
		n += len(u.active)
	}
	return n
}

// estimatedLoad is how full an upstream is thought to be, in parts of its slots: what it last
// told, fading toward the service's mean, with what has changed here since; never
// less than what this proxy has there.
func (u *Upstream) estimatedLoad(now time.Time, mean float64) float64 {
	slots := float64(max(1, u.instance.Slots))
	own := float64(len(u.active)) / slots
	if u.loadReportedAt.IsZero() {
		return max(own, mean+own)
	}
	fresh := math.Exp(-now.Sub(u.loadReportedAt).Seconds() / constants.ReportedLoadFade.Seconds())
	told := u.reportedLoad + float64(len(u.active)-u.activeAtReport)/slots
	return max(own, mean+(told-mean)*fresh)
}

// meanLoad is the mean of what the upstreams told lately.
func meanLoad(os []*Upstream, now time.Time) float64 {
	sum, n := 0.0, 0.0
	for _, u := range os {
		if !u.loadReportedAt.IsZero() {
			w := math.Exp(-now.Sub(u.loadReportedAt).Seconds() / (4 * constants.ReportedLoadFade.Seconds()))
			sum, n = sum+w*u.reportedLoad, n+w
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// streamCandidate is an upstream that a stream may be placed at.
type streamCandidate struct {
	upstream *Upstream
	load     float64 // how full it is thought to be, in parts of its slots
	rank     uint32  // its place in the order of the stream's prefix
}

// selectForStream places a stream: by rendezvous hashing of its prefix over the zone's
// upstreams, the first of a few that is not full, so that proxies that never speak
// to each other agree where a prefix is kept; else the least busy one of the zone,
// and of other zones when it is full. With all of them as full as they may be, there
// is no room: the request waits its short time and is refused.
func (pool *Pool) selectForStream(w target, skip map[*Upstream]bool, now time.Time) *Upstream {
	near, far := pool.streamCandidates(w, skip, now)
	if w.prefix != "" && len(near) > 0 {
		if u := pool.selectByPrefix(near); u != nil {
			return u
		}
	}
	best, busy := leastLoaded(near)
	if best == nil || busy > 1 {
		if u, b := leastLoaded(far); u != nil && b+constants.StreamFarMargin < busy {
			best = u
		}
	}
	return best
}

// streamCandidates lists the upstreams with room for a stream, of this zone and of others.
func (pool *Pool) streamCandidates(w target, skip map[*Upstream]bool, now time.Time) (near, far []streamCandidate) {
	all := pool.candidates(w).all
	mean := meanLoad(all, now)
	c := selection{skip: skip, now: now, includeEjected: pool.mostEjected(all, now)}
	for _, u := range all {
		if !u.eligible(c) {
			continue
		}
		candidate := streamCandidate{upstream: u, load: u.estimatedLoad(now, mean)}
		if candidate.load >= constants.StreamFull {
			continue // what it cannot queue it resets, and a stream is sent once
		}
		if now.Before(u.warmupEnd) {
			candidate.load += constants.WarmupFactor - 1
		}
		if u.distance > 0 {
			far = append(far, candidate)
			continue
		}
		if w.prefix != "" {
			candidate.rank = rendezvousRank(w.prefix, u.instance.ID)
		}
		near = append(near, candidate)
	}
	return near, far
}

// selectByPrefix picks the first of a few upstreams, in the order of the prefix, that is
// not full, or nil; and counts which it was.
func (pool *Pool) selectByPrefix(near []streamCandidate) *Upstream {
	slices.SortFunc(near, func(a, b streamCandidate) int { return cmp.Compare(a.rank, b.rank) })
	for i, c := range near[:min(len(near), constants.AffinityTop)] {
		if c.load < constants.AffinityFull {
			pool.StreamPlacements[min(i, 1)]++
			return c.upstream
		}
	}
	pool.StreamPlacements[2]++
	return nil
}

// leastLoaded is the least busy upstream, with a little noise, and how busy that is; nil
// and infinity where there is none.
func leastLoaded(candidates []streamCandidate) (best *Upstream, busy float64) {
	busy = math.Inf(1)
	for _, c := range candidates {
		if b := c.load + constants.StreamNoise*rand.Float64(); b < busy {
			best, busy = c.upstream, b
		}
	}
	return best, busy
}
