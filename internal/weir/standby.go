package weir

import (
	"math"
	"time"

	"slateridge/internal/datum"
)

// A key whose split shares are too small to serve anybody is carried by its
// tracker: every request asks. So that the loss of all trackers does not refuse
// all its requests, each proxy is told a standby rate, which it uses only while
// it hears nothing from the tracker. The tracker in turn leaves the standby of
// whoever may be using it out of its pool. Both reckon from the tracker's stamp
// that last reached the proxy: the tracker from when it gave the stamp, the proxy
// from when the stamp came and for longer, so the tracker has always made room
// before the proxy begins.

// stand is one proxy's standby for a key, at its tracker.
type stand struct {
	rate   float64 // told last
	count  float64 // the most it may be using when it stands alone
	demand float64
	until  time.Duration
}

// standing sums the standby rates: of those who may be using them now, and of
// the others.
func (p *pool) standing(now time.Duration, g *Gatehouse) (alone, inTouch float64) {
	if now >= p.standsEnd {
		p.standCount, p.standDemand, p.standsEnd, p.turn = 0, 0, now+datum.GrantLong, 0
		for k, s := range p.stands {
			if now >= s.until {
				delete(p.stands, k)
				continue
			}
			p.standCount += s.count
			p.standDemand += s.demand
			p.standsEnd = min(p.standsEnd, s.until)
		}
	}
	if p.turn != g.turn {
		p.turn, p.alone = g.turn, 0
		for n := range g.out {
			if s := p.stands[n]; s != nil {
				p.alone += s.count
			}
		}
	}
	return max(0, p.alone), max(0, p.standCount-p.alone)
}

// change alters one proxy's standby and the sums with it.
func (p *pool) change(g *Gatehouse, proxy string, s *stand, to stand) {
	p.standCount += to.count - s.count
	p.standDemand += to.demand - s.demand
	if p.turn == g.turn && g.out[proxy] {
		p.alone += to.count - s.count
	}
	*s = to
}

// shapeLong sets the pool of a key carried by its tracker.
func (p *pool) shapeLong(now time.Duration, g *Gatehouse) {
	rate, burst := p.lentAndTracked(now)
	alone, inTouch := p.standing(now, g)
	if now < p.open {
		// Standby that an earlier tracker told of may be in use, beyond what
		// proxies have said here: only what is never told, and what is known
		// not to be used, is there to give.
		rate, burst = datum.LongPool*p.quota.Rate+inTouch, datum.LongPool*p.quota.Burst
		alone = 0
	}
	p.b.set(now, max(0, min(rate, p.quota.Rate)-alone), min(burst, p.quota.Burst))
	if p.filled && burst >= 0.99*p.quota.Burst {
		p.filled = false // once, when the shares have been lent
		p.b.tokens = max(p.b.tokens, min(p.b.depth, p.quota.Rate*(now-p.spent).Seconds()-p.given))
	}
}

// giveLong answers for a key carried by its tracker.
func (g *Gatehouse) giveLong(now time.Duration, p *pool, a AskGrants, w Want) Given {
	g.Asked++
	p.standing(now, g) // drops what has ended, so that the sums are of what stands
	s := p.stands[a.Proxy]
	if s == nil {
		s = &stand{}
		p.stands[a.Proxy] = s
	}
	to := *s
	to.until = now + datum.GrantLong
	p.standsEnd = min(p.standsEnd, to.until)
	switch {
	case !w.Lend: // a question of a request; what stands, stands
	case now < p.open:
		to.rate, to.count, to.demand = w.Rate, max(w.Rate, s.count), w.Demand
		p.told[a.Proxy] = true
		p.spent = max(p.spent, now-w.Idle)
		if p.of = max(p.of, a.Proxies); p.of > 0 && len(p.told) >= p.of {
			// All have told: nothing unknown stands any more, and since the last
			// of them let a request through the quota has been filling.
			p.open, p.filled = now, true
		}
	default:
		to.demand = w.Demand
		total := p.standDemand - s.demand + to.demand
		others := max(0, p.standCount-s.count)
		most := (1 - datum.LongPool) * p.quota.Rate
		share := to.demand * datum.StandbyHeadroom
		if total > 0 {
			share = min(share, to.demand*most/total)
		}
		share = min(share, max(0, most-others))
		to.count = max(share, s.rate, min(w.Rate, s.count))
		to.rate = share
	}
	p.change(g, a.Proxy, s, to)
	p.shapeLong(now, g)
	return g.oneOff(p, w, Given{Key: w.Key, Rate: s.rate, Depth: max(datum.StandbyDepth, s.rate), Long: true, Lent: w.Lend, Loan: w.Lent})
}

// alone lets the standby bucket fill only while the proxy has heard nothing from
// the key's tracker for so long that it uses it; what accrues counts from the
// last word. A bucket begins with a part of a request drawn by lot and keeps such
// a part while it rests, so that many proxies with a low rate each admit, taken
// together, just what the rates add up to.
func (w *Weir) alone(b *bay, now time.Duration) {
	heard := w.heard[b.shard]
	if now-heard < datum.StandbyAfter && !w.gone[b.shard] {
		if b.standing {
			b.grant.tokens -= math.Floor(b.grant.tokens)
		}
		b.standing = false
		b.grant.at = now
	} else if !b.standing {
		b.standing = true
		b.grant.at = heard
	}
}

// Gone notes that the tracker of a shard is known not to run: nothing listens
// where it did. A life of it that starts later knows of no standby and gives, to
// begin with, only what standby leaves over.
func (w *Weir) Gone(shard int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone == nil {
		w.gone = map[int]bool{}
	}
	w.gone[shard] = true
}

// Heard notes that the tracker of a shard has answered.
func (w *Weir) Heard(now time.Duration, shard int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.heard == nil {
		w.heard = map[int]time.Duration{}
	}
	w.heard[shard] = now
	delete(w.gone, shard)
}
