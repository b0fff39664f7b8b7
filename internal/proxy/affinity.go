package proxy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"slateridge/internal/constants"
)

// began notes a stream's first piece.
func (pool *Pool) began(p *placement, now time.Time) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if at, ok := p.upstream.active[p]; ok {
		p.first = now.Sub(at).Seconds()
	}
}

// PlaceStream finds room for a stream whose prompt begins with a prefix, in any
// region, and gives it up again: what a placement costs.
func (pool *Pool) PlaceStream(service, prefix string) bool {
	of := pool.Place(target{service: service, homes: anywhere, stream: true, prefix: prefix}, nil)
	if of != nil {
		pool.done(of, unused)
	}
	return of != nil
}

// Busy is how many requests of a service run and wait here.
func (pool *Pool) Busy(service string) int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	n := len(pool.waiting[service])
	for _, u := range pool.byService[service] {
		n += len(u.active)
	}
	return n
}

// busy is how full an upstream is thought to be, in parts of its slots: what it last
// told, fading toward the service's mean, with what has changed here since; never
// less than what this proxy has there.
func (u *Upstream) busy(now time.Time, mean float64) float64 {
	slots := float64(max(1, u.instance.Slots))
	own := float64(len(u.active)) / slots
	if u.loadAt.IsZero() {
		return max(own, mean+own)
	}
	fresh := math.Exp(-now.Sub(u.loadAt).Seconds() / constants.ReportedLoadFade.Seconds())
	told := u.load + float64(len(u.active)-u.ownActive)/slots
	return max(own, mean+(told-mean)*fresh)
}

// meanBusy is the mean of what the upstreams told lately.
func meanBusy(os []*Upstream, now time.Time) float64 {
	sum, n := 0.0, 0.0
	for _, u := range os {
		if !u.loadAt.IsZero() {
			w := math.Exp(-now.Sub(u.loadAt).Seconds() / (4 * constants.ReportedLoadFade.Seconds()))
			sum, n = sum+w*u.load, n+w
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// chooseStream places a stream: by rendezvous hashing of its prefix over the zone's
// upstreams, the first of a few that is not full, so that proxies that never speak
// to each other agree where a prefix is kept; else the least busy one of the zone,
// and of other zones when it is full. With all of them as full as they may be, there
// is no room: the request waits its short time and is refused.
func (pool *Pool) chooseStream(w target, skip map[*Upstream]bool, now time.Time) *Upstream {
	all := pool.candidates(w).all
	mean := meanBusy(all, now)
	tooFew := pool.mostEjected(all, now)
	type cand struct {
		o    *Upstream
		busy float64
		rank uint32
	}
	var near, far []cand
	for _, u := range all {
		if u.draining || skip[u] || pool.evacuated[u.instance.Zone] || !tooFew && now.Before(u.ejectedUntil) || u.fails > 0 && len(u.active) > 0 {
			continue
		}
		c := cand{o: u, busy: u.busy(now, mean)}
		if c.busy >= constants.StreamFull {
			continue // what it cannot queue it resets, and a stream is sent once
		}
		if now.Before(u.warmFrom) {
			c.busy += constants.WarmupFactor - 1
		}
		if u.distance == 0 {
			if w.prefix != "" {
				c.rank = rankOf(w.prefix, u.instance.ID)
			}
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	if w.prefix != "" && len(near) > 0 {
		slices.SortFunc(near, func(a, b cand) int { return cmp.Compare(a.rank, b.rank) })
		for i, c := range near {
			if i == constants.AffinityTop {
				break
			}
			if c.busy < constants.AffinityFull {
				pool.Kept[min(i, 1)]++
				return c.o
			}
		}
		pool.Kept[2]++
	}
	least := func(cs []cand) (best *Upstream, busy float64) {
		busy = math.Inf(1)
		for _, c := range cs {
			if b := c.busy + 0.1*rand.Float64(); b < busy {
				best, busy = c.o, b
			}
		}
		return best, busy
	}
	best, busy := least(near)
	if best == nil || busy > 1 {
		if u, b := least(far); u != nil && b+0.3 < busy {
			best = u
		}
	}
	return best
}
