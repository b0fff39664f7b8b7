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
	sent   time.Duration // when the proxy sent the word that the last offer answers
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

// standbyMost is the most that all standby of a key may add up to, by what carried
// proxies have lent: a tracker that begins without knowing any of it may still give
// its own part and a tenth. Every proxy's basic standby fits into it.
func (p *pool) standbyMost() float64 {
	lent := min(p.loaned.long, datum.SplitPart*p.quota.Rate)
	return max(lent*datum.StandbyBasic, lent-datum.StandbyReserve*p.quota.Rate)
}

// giveStandby answers a proxy that the key's tracker carries.
func (g *Gatehouse) giveStandby(now time.Duration, p *pool, a AskGrants, w Want) Given {
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
	basic := p.loans[a.Proxy].rate * datum.StandbyBasic
	switch {
	case !w.Lend: // a question of a request; what stands, stands
	case now < p.open:
		to.rate, to.count, to.demand = w.Rate, max(w.Rate, s.count, basic), w.Demand
		to.sent = w.RateOf // as if it had been offered here
	default:
		to.demand = w.Demand
		total := p.standDemand - s.demand + to.demand
		others := max(0, p.standCount-s.count)
		most := p.standbyMost()
		share := to.demand * datum.StandbyHeadroom
		if total > 0 {
			share = min(share, to.demand*most/total)
		}
		share = min(share, max(0, most-others))
		if w.Release {
			share = 0 // it is about to need none
		}
		to.count = max(mayUse(s.count, s.sent, share, w), basic)
		to.rate, to.sent = share, a.Sent
	}
	p.change(g, a.Proxy, s, to)
	p.shape(now, g)
	return g.oneOff(p, w, Given{Key: w.Key, Rate: s.rate, Long: true, Lent: w.Lend, Loan: w.Lent})
}

// release gives a share that was lent whole back to its proxy, where the standby
// of the others and what is leased need it no longer.
func (p *pool) release(now time.Duration, g *Gatehouse, proxy string) bool {
	if now < p.open {
		return false // unknown standby may rest on it
	}
	p.standing(now, g)
	kept := loan{}
	if l, ok := p.loans[proxy]; ok {
		kept = l
	}
	s := p.stands[proxy]
	others := p.standCount
	if s != nil {
		others -= s.count
	}
	p.lend(proxy, loan{})
	free := p.uncommitted(now, g)
	if s != nil {
		free += s.count
	}
	if others > p.standbyMost()+rateEpsilon || free < -rateEpsilon {
		if kept != (loan{}) {
			p.lend(proxy, kept)
		}
		return false
	}
	p.dropStandby(g, proxy)
	return true
}

// dropStandby forgets the standby of a proxy that holds none.
func (p *pool) dropStandby(g *Gatehouse, proxy string) {
	if s := p.stands[proxy]; s != nil {
		p.change(g, proxy, s, stand{})
		delete(p.stands, proxy)
	}
}

// shapeStandby sets the standby bucket of a key that its tracker carries: what the
// tracker told, and without it the basic part of this proxy's own share, which the
// tracker leaves out of its pool for every proxy that it does not hear.
func (w *Weir) shapeStandby(b *bay, now time.Duration) {
	w.alone(b, now) // before the bucket fills
	rate := 0.0
	if w.proxies > 0 && now-w.touch <= datum.SplitHold {
		rate = datum.SplitPart * datum.StandbyBasic * b.quota.Rate / float64(w.proxies)
	}
	rate = max(rate, b.held(now))
	b.grant.set(now, rate, max(datum.StandbyDepth, rate))
}

// alone lets the standby bucket fill only while the proxy has heard nothing from
// the key's tracker for so long that it uses it; what accrues counts from the
// last word. A bucket begins with a part of a request drawn by lot and keeps such
// a part while it rests, so that many proxies with a low rate each admit, taken
// together, just what the rates add up to.
func (w *Weir) alone(b *bay, now time.Duration) {
	heard, ok := w.heard[b.shard]
	if !ok {
		// The life before may have been heard until it ended, and no later.
		heard = -datum.RestartTime
	}
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
