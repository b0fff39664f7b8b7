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
func (p *pool) standing(now time.Duration, contact map[string]time.Duration) (alone, inTouch float64) {
	for k, s := range p.stands {
		if now >= s.until {
			delete(p.stands, k)
			continue
		}
		if at, ok := contact[k]; !ok || now-at > datum.StandbyRoom {
			alone += s.count
		} else {
			inTouch += s.count
		}
	}
	return alone, inTouch
}

// shapeLong sets the pool of a key carried by its tracker.
func (p *pool) shapeLong(now time.Duration, contact map[string]time.Duration) {
	rate, burst := p.lentAndTracked(now)
	alone, inTouch := p.standing(now, contact)
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
	s := p.stands[a.Proxy]
	if s == nil {
		s = &stand{}
		p.stands[a.Proxy] = s
	}
	s.until = now + datum.GrantLong
	switch {
	case !w.Lend: // a question of a request; what stands, stands
	case now < p.open:
		s.rate, s.count, s.demand = w.Rate, max(w.Rate, s.count), w.Demand
		p.told[a.Proxy] = true
		p.spent = max(p.spent, now-w.Idle)
		if p.of = max(p.of, a.Proxies); p.of > 0 && len(p.told) >= p.of {
			// All have told: nothing unknown stands any more, and since the last
			// of them let a request through the quota has been filling.
			p.open, p.filled = now, true
		}
	default:
		s.demand = w.Demand
		total, others := 0.0, 0.0
		for _, o := range p.stands {
			total += o.demand
			if o != s {
				others += o.count
			}
		}
		most := (1 - datum.LongPool) * p.quota.Rate
		share := s.demand * datum.StandbyHeadroom
		if total > 0 {
			share = min(share, s.demand*most/total)
		}
		share = min(share, max(0, most-others))
		s.count = max(share, s.rate, min(w.Rate, s.count))
		s.rate = share
	}
	p.shapeLong(now, g.contact)
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
