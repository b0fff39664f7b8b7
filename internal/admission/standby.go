package admission

import (
	"math"
	"time"

	"slateridge/internal/constants"
)

// A key whose split shares are too small to serve anybody is carried by its
// tracker: every request asks. So that the loss of all trackers does not refuse
// all its requests, each proxy is granted a standby rate, which it uses only while
// nothing comes from the tracker. The tracker in turn leaves the standby of
// whoever may be using it out of its pool. Both reckon from the tracker's time
// that last reached the proxy: the tracker from when it gave the tracker's time, the proxy
// from when the tracker's time came and for longer, so the tracker has always made room
// before the proxy begins.

// standby is one proxy's standby for a key, at its tracker.
type standby struct {
	rate        float64 // granted last
	reserved    float64 // the most it may be using when it has no contact
	demand      float64
	expires     time.Duration
	requestSent time.Duration // when the proxy sent the request that the last offer answers
}

// standbyTotals sums the standby rates: of those who may be using them now, and of
// the others.
func (p *pool) standbyTotals(now time.Duration, tracker *Tracker) (alone, inTouch float64) {
	if now >= p.nextStandbyExpiry {
		p.standbyReserved, p.standbyDemand, p.nextStandbyExpiry, p.contactScan = 0, 0, now+constants.GrantLong, 0
		for k, s := range p.standbys {
			if now >= s.expires {
				delete(p.standbys, k)
				continue
			}
			p.standbyReserved += s.reserved
			p.standbyDemand += s.demand
			p.nextStandbyExpiry = min(p.nextStandbyExpiry, s.expires)
		}
	}
	if p.contactScan != tracker.contactScan {
		p.contactScan, p.standbyInUse = tracker.contactScan, 0
		for n := range tracker.outOfContact {
			if s := p.standbys[n]; s != nil {
				p.standbyInUse += s.reserved
			}
		}
	}
	return max(0, p.standbyInUse), max(0, p.standbyReserved-p.standbyInUse)
}

// setStandby alters one proxy's standby and the sums with it.
func (p *pool) setStandby(tracker *Tracker, proxy string, s *standby, to standby) {
	p.standbyReserved += to.reserved - s.reserved
	p.standbyDemand += to.demand - s.demand
	if p.contactScan == tracker.contactScan && tracker.outOfContact[proxy] {
		p.standbyInUse += to.reserved - s.reserved
	}
	*s = to
}

// maxStandby is the most that all standby of a key may add up to, by what carried
// proxies have lent: a tracker that begins without knowing any of it may still give
// its own part and a tenth. Every proxy's basic standby fits into it.
func (p *pool) maxStandby() float64 {
	lent := min(p.loanTotals.wholeRate, constants.SplitPart*p.quota.Rate)
	return max(lent*constants.StandbyBasic, lent-constants.StandbyReserve*p.quota.Rate)
}

// grantStandby answers a proxy that the key's tracker carries.
func (tracker *Tracker) grantStandby(now time.Duration, p *pool, request GrantRequest, want KeyRequest) KeyGrant {
	tracker.Requests++
	p.standbyTotals(now, tracker) // drops what has ended, so that the sums are of what stands
	s := p.standbys[request.Proxy]
	if s == nil {
		s = &standby{}
		p.standbys[request.Proxy] = s
	}
	to := *s
	to.expires = now + constants.GrantLong
	p.nextStandbyExpiry = min(p.nextStandbyExpiry, to.expires)
	basic := p.loans[request.Proxy].rate * constants.StandbyBasic
	switch {
	case !want.Lend: // a question of a request; what stands, stands
	case now < p.recoveryUntil:
		to.rate, to.reserved, to.demand = want.Rate, max(want.Rate, s.reserved, basic), want.Demand
		to.requestSent = want.RateOf // as if it had been offered here
	default:
		to.demand = want.Demand
		total := p.standbyDemand - s.demand + to.demand
		others := max(0, p.standbyReserved-s.reserved)
		most := p.maxStandby()
		share := to.demand * constants.StandbyHeadroom
		if total > 0 {
			share = min(share, to.demand*most/total)
		}
		share = min(share, max(0, most-others))
		if want.Release {
			share = 0 // it is about to need none
		}
		to.reserved = max(maxInUse(s.reserved, s.requestSent, share, want), basic)
		to.rate, to.requestSent = share, request.Sent
	}
	p.setStandby(tracker, request.Proxy, s, to)
	p.resize(now, tracker)
	return tracker.grantTokens(p, want, KeyGrant{Key: want.Key, Rate: s.rate, Long: true, Lent: want.Lend, Loan: want.Lent})
}

// releaseShare gives a share that was lent whole back to its proxy, where the standby
// of the others and what is leased need it no longer.
func (p *pool) releaseShare(now time.Duration, tracker *Tracker, proxy string) bool {
	if now < p.recoveryUntil {
		return false // unknown standby may rest on it
	}
	p.standbyTotals(now, tracker)
	kept := p.loans[proxy] // an empty loan is none
	s := p.standbys[proxy]
	others := p.standbyReserved
	if s != nil {
		others -= s.reserved
	}
	p.setLoan(proxy, loan{})
	free := p.uncommitted(now, tracker)
	if s != nil {
		free += s.reserved
	}
	if others > p.maxStandby()+rateEpsilon || free < -rateEpsilon {
		p.setLoan(proxy, kept)
		return false
	}
	p.removeStandby(tracker, proxy)
	return true
}

// removeStandby forgets the standby of a proxy that holds none.
func (p *pool) removeStandby(tracker *Tracker, proxy string) {
	if s := p.standbys[proxy]; s != nil {
		p.setStandby(tracker, proxy, s, standby{})
		delete(p.standbys, proxy)
	}
}

// resizeStandby sets the standby bucket of a key that its tracker carries: what the
// tracker granted, and without it the basic part of this proxy's own share, which the
// tracker leaves out of its pool for every proxy that it does not hear.
func (l *Limiter) resizeStandby(ks *keyState, now time.Duration) {
	l.updateStandby(ks, now) // before the bucket fills
	rate := 0.0
	if l.proxies > 0 && now-l.controlHeardAt <= constants.SplitHold {
		rate = constants.SplitPart * constants.StandbyBasic * ks.quota.Rate / float64(l.proxies)
	}
	rate = max(rate, ks.heldRate(now))
	ks.grant.set(now, rate, max(constants.StandbyDepth, rate))
}

// updateStandby lets the standby bucket fill only while nothing has come to the proxy from
// the key's tracker for so long that it uses it; what accrues counts from the
// last answer. A bucket begins with a part of a request drawn by lot and keeps such
// a part while it rests, so that many proxies with a low rate each admit, taken
// together, just what the rates add up to.
func (l *Limiter) updateStandby(ks *keyState, now time.Duration) {
	heard, ok := l.trackerHeardAt[ks.shard]
	if !ok {
		// The incarnation before may have been in contact until it ended, and no later.
		heard = -constants.RestartTime
	}
	if now-heard < constants.StandbyAfter && !l.trackerDown[ks.shard] {
		if ks.onStandby {
			ks.grant.tokens -= math.Floor(ks.grant.tokens)
		}
		ks.onStandby = false
		ks.grant.filledAt = now
	} else if !ks.onStandby {
		ks.onStandby = true
		ks.grant.filledAt = heard
	}
}

// MarkTrackerDown notes that the tracker of a shard is known not to run: nothing listens
// where it did. An incarnation that starts later knows of no standby and gives, to
// begin with, only what standby leaves over.
func (l *Limiter) MarkTrackerDown(shard int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.trackerDown == nil {
		l.trackerDown = map[int]bool{}
	}
	l.trackerDown[shard] = true
}

// MarkTrackerAnswered notes that the tracker of a shard has answered.
func (l *Limiter) MarkTrackerAnswered(now time.Duration, shard int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.trackerHeardAt == nil {
		l.trackerHeardAt = map[int]time.Duration{}
	}
	l.trackerHeardAt[shard] = now
	delete(l.trackerDown, shard)
}
