package admission

import (
	"math"
	"time"

	"slateridge/internal/constants"
)

// A key whose split shares are too small to serve anybody is carried by its
// tracker: every request asks. So that the loss of all trackers does not refuse
// all its requests, each proxy is told a standby rate, which it uses only while
// it hears nothing from the tracker. The tracker in turn leaves the standby of
// whoever may be using it out of its pool. Both reckon from the tracker's time
// that last reached the proxy: the tracker from when it gave the tracker's time, the proxy
// from when the tracker's time came and for longer, so the tracker has always made room
// before the proxy begins.

// standby is one proxy's standby for a key, at its tracker.
type standby struct {
	rate   float64 // told last
	count  float64 // the most it may be using when it stands alone
	demand float64
	until  time.Duration
	sent   time.Duration // when the proxy sent the word that the last offer answers
}

// standbyTotals sums the standby rates: of those who may be using them now, and of
// the others.
func (p *pool) standbyTotals(now time.Duration, tracker *Tracker) (alone, inTouch float64) {
	if now >= p.standbysEnd {
		p.standbyCount, p.standbyDemand, p.standbysEnd, p.scan = 0, 0, now+constants.GrantLong, 0
		for k, s := range p.standbys {
			if now >= s.until {
				delete(p.standbys, k)
				continue
			}
			p.standbyCount += s.count
			p.standbyDemand += s.demand
			p.standbysEnd = min(p.standbysEnd, s.until)
		}
	}
	if p.scan != tracker.scan {
		p.scan, p.standbyInUse = tracker.scan, 0
		for n := range tracker.outOfContact {
			if s := p.standbys[n]; s != nil {
				p.standbyInUse += s.count
			}
		}
	}
	return max(0, p.standbyInUse), max(0, p.standbyCount-p.standbyInUse)
}

// change alters one proxy's standby and the sums with it.
func (p *pool) change(tracker *Tracker, proxy string, s *standby, to standby) {
	p.standbyCount += to.count - s.count
	p.standbyDemand += to.demand - s.demand
	if p.scan == tracker.scan && tracker.outOfContact[proxy] {
		p.standbyInUse += to.count - s.count
	}
	*s = to
}

// standbyMost is the most that all standby of a key may add up to, by what carried
// proxies have lent: a tracker that begins without knowing any of it may still give
// its own part and a tenth. Every proxy's basic standby fits into it.
func (p *pool) standbyMost() float64 {
	lent := min(p.loaned.long, constants.SplitPart*p.quota.Rate)
	return max(lent*constants.StandbyBasic, lent-constants.StandbyReserve*p.quota.Rate)
}

// giveStandby answers a proxy that the key's tracker carries.
func (tracker *Tracker) giveStandby(now time.Duration, p *pool, a GrantRequest, w Want) Given {
	tracker.Asked++
	p.standbyTotals(now, tracker) // drops what has ended, so that the sums are of what stands
	s := p.standbys[a.Proxy]
	if s == nil {
		s = &standby{}
		p.standbys[a.Proxy] = s
	}
	to := *s
	to.until = now + constants.GrantLong
	p.standbysEnd = min(p.standbysEnd, to.until)
	basic := p.loans[a.Proxy].rate * constants.StandbyBasic
	switch {
	case !w.Lend: // a question of a request; what stands, stands
	case now < p.openUntil:
		to.rate, to.count, to.demand = w.Rate, max(w.Rate, s.count, basic), w.Demand
		to.sent = w.RateOf // as if it had been offered here
	default:
		to.demand = w.Demand
		total := p.standbyDemand - s.demand + to.demand
		others := max(0, p.standbyCount-s.count)
		most := p.standbyMost()
		share := to.demand * constants.StandbyHeadroom
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
	p.change(tracker, a.Proxy, s, to)
	p.shape(now, tracker)
	return tracker.oneOff(p, w, Given{Key: w.Key, Rate: s.rate, Long: true, Lent: w.Lend, Loan: w.Lent})
}

// release gives a share that was lent whole back to its proxy, where the standby
// of the others and what is leased need it no longer.
func (p *pool) release(now time.Duration, tracker *Tracker, proxy string) bool {
	if now < p.openUntil {
		return false // unknown standby may rest on it
	}
	p.standbyTotals(now, tracker)
	kept := loan{}
	if l, ok := p.loans[proxy]; ok {
		kept = l
	}
	s := p.standbys[proxy]
	others := p.standbyCount
	if s != nil {
		others -= s.count
	}
	p.lend(proxy, loan{})
	free := p.uncommitted(now, tracker)
	if s != nil {
		free += s.count
	}
	if others > p.standbyMost()+rateEpsilon || free < -rateEpsilon {
		if kept != (loan{}) {
			p.lend(proxy, kept)
		}
		return false
	}
	p.dropStandby(tracker, proxy)
	return true
}

// dropStandby forgets the standby of a proxy that holds none.
func (p *pool) dropStandby(tracker *Tracker, proxy string) {
	if s := p.standbys[proxy]; s != nil {
		p.change(tracker, proxy, s, standby{})
		delete(p.standbys, proxy)
	}
}

// shapeStandby sets the standby bucket of a key that its tracker carries: what the
// tracker told, and without it the basic part of this proxy's own share, which the
// tracker leaves out of its pool for every proxy that it does not hear.
func (l *Limiter) shapeStandby(b *keyState, now time.Duration) {
	l.updateStandby(b, now) // before the bucket fills
	rate := 0.0
	if l.proxies > 0 && now-l.controlHeardAt <= constants.SplitHold {
		rate = constants.SplitPart * constants.StandbyBasic * b.quota.Rate / float64(l.proxies)
	}
	rate = max(rate, b.held(now))
	b.grant.set(now, rate, max(constants.StandbyDepth, rate))
}

// updateStandby lets the standby bucket fill only while the proxy has heard nothing from
// the key's tracker for so long that it uses it; what accrues counts from the
// last word. A bucket begins with a part of a request drawn by lot and keeps such
// a part while it rests, so that many proxies with a low rate each admit, taken
// together, just what the rates add up to.
func (l *Limiter) updateStandby(b *keyState, now time.Duration) {
	heard, ok := l.trackerHeardAt[b.shard]
	if !ok {
		// The life before may have been heard until it ended, and no later.
		heard = -constants.RestartTime
	}
	if now-heard < constants.StandbyAfter && !l.trackerDown[b.shard] {
		if b.onStandby {
			b.grant.tokens -= math.Floor(b.grant.tokens)
		}
		b.onStandby = false
		b.grant.filledAt = now
	} else if !b.onStandby {
		b.onStandby = true
		b.grant.filledAt = heard
	}
}

// TrackerDown notes that the tracker of a shard is known not to run: nothing listens
// where it did. A life of it that starts later knows of no standby and gives, to
// begin with, only what standby leaves over.
func (l *Limiter) TrackerDown(shard int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.trackerDown == nil {
		l.trackerDown = map[int]bool{}
	}
	l.trackerDown[shard] = true
}

// TrackerAnswered notes that the tracker of a shard has answered.
func (l *Limiter) TrackerAnswered(now time.Duration, shard int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.trackerHeardAt == nil {
		l.trackerHeardAt = map[int]time.Duration{}
	}
	l.trackerHeardAt[shard] = now
	delete(l.trackerDown, shard)
}
