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
	service, homes string
	stream         bool   // it runs for long, and beside others in a batch
	prefix         string // what its prompt has in common with others
}

// group is the want without what tells requests for the same upstreams apart.
func (w target) group() target { return target{service: w.service, homes: w.homes} }

// anywhere is the homes of a request that may be served in all regions.
const anywhere = "*"

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
