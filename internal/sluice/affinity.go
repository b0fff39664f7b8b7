package sluice

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"slateridge/internal/constants"
)

// began notes a stream's first piece.
func (y *Yard) began(p *offer, now time.Time) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if at, ok := p.of.out[p]; ok {
		p.first = now.Sub(at).Seconds()
	}
}

// PlaceStream finds room for a stream whose prompt begins with a prefix, in any
// region, and gives it up again: what a placement costs.
func (y *Yard) PlaceStream(service, prefix string) bool {
	of := y.Place(want{service: service, homes: anywhere, stream: true, prefix: prefix}, nil)
	if of != nil {
		y.done(of, unused)
	}
	return of != nil
}

// Busy is how many requests of a service run and wait here.
func (y *Yard) Busy(service string) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	n := len(y.waits[service])
	for _, o := range y.svc[service] {
		n += len(o.out)
	}
	return n
}

// busy is how full an upstream is thought to be, in parts of its slots: what it last
// told, fading toward the service's mean, with what has changed here since; never
// less than what this proxy has there.
func (o *Outfall) busy(now time.Time, mean float64) float64 {
	slots := float64(max(1, o.inst.Slots))
	own := float64(len(o.out)) / slots
	if o.loadAt.IsZero() {
		return max(own, mean+own)
	}
	fresh := math.Exp(-now.Sub(o.loadAt).Seconds() / constants.ReportedLoadFade.Seconds())
	told := o.load + float64(len(o.out)-o.ownThen)/slots
	return max(own, mean+(told-mean)*fresh)
}

// meanBusy is the mean of what the upstreams told lately.
func meanBusy(os []*Outfall, now time.Time) float64 {
	sum, n := 0.0, 0.0
	for _, o := range os {
		if !o.loadAt.IsZero() {
			w := math.Exp(-now.Sub(o.loadAt).Seconds() / (4 * constants.ReportedLoadFade.Seconds()))
			sum, n = sum+w*o.load, n+w
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
func (y *Yard) chooseStream(w want, skip map[*Outfall]bool, now time.Time) *Outfall {
	all := y.pick(w).all
	mean := meanBusy(all, now)
	tooFew := y.mostOut(all, now)
	type cand struct {
		o    *Outfall
		busy float64
		rank uint32
	}
	var near, far []cand
	for _, o := range all {
		if o.draining || skip[o] || y.evac[o.inst.Zone] || !tooFew && now.Before(o.ejected) || o.fails > 0 && len(o.out) > 0 {
			continue
		}
		c := cand{o: o, busy: o.busy(now, mean)}
		if c.busy >= constants.StreamFull {
			continue // what it cannot queue it resets, and a stream is sent once
		}
		if now.Before(o.warmAt) {
			c.busy += constants.WarmupFactor - 1
		}
		if o.far == 0 {
			if w.prefix != "" {
				c.rank = lot(w.prefix, o.inst.ID)
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
				y.Kept[min(i, 1)]++
				return c.o
			}
		}
		y.Kept[2]++
	}
	least := func(cs []cand) (best *Outfall, busy float64) {
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
		if o, b := least(far); o != nil && b+0.3 < busy {
			best = o
		}
	}
	return best
}
