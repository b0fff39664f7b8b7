package admission

import (
	"math"
	"time"

	"slateridge/internal/constants"
)

// Every request of a tracker-only key asks the tracker. So that the loss of all trackers
// does not refuse all requests of the key, each proxy is granted a standby rate, which it
// uses only while it receives nothing from the tracker. The tracker in turn excludes from
// its pool the standby rate of every proxy that may be using it. Both sides measure from
// the last tracker time that reached the proxy: the tracker from when it sent that time,
// the proxy from when it arrived, and the proxy waits longer. The tracker has therefore
// always excluded the rate before the proxy starts to use it.

// standby is a tracker's record of one proxy's standby rate for a key.
type standby struct {
	rate        float64 // offered last
	reserved    float64 // most that the proxy may be using when out of contact
	demand      float64
	expires     time.Duration
	requestSent time.Duration // send time of the request that the last offer answers
}

// standbyTotals drops expired standby rates and returns the sum of those that may be in
// use, because their proxies may be out of contact, and of the others.
func (p *pool) standbyTotals(now time.Duration, tracker *Tracker) (inUse, idle float64) {
	if now >= p.nextStandbyExpiry {
		p.standbyReserved, p.standbyDemand, p.nextStandbyExpiry, p.contactScan = 0, 0, now+constants.LongGrantDuration, 0
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

// setStandby replaces one proxy's standby and updates the totals.
func (p *pool) setStandby(tracker *Tracker, proxy string, s *standby, next standby) {
	p.standbyReserved += next.reserved - s.reserved
	p.standbyDemand += next.demand - s.demand
	if p.contactScan == tracker.contactScan && tracker.outOfContact[proxy] {
		p.standbyInUse += next.reserved - s.reserved
	}
	*s = next
}

// maxStandby returns the limit for the sum of a key's standby rates, derived from the
// shares lent whole. It leaves the tracked part and StandbyReserveFraction, a tenth of the quota,
// for a new tracker to grant while it does not know which standby rates are in use. The
// basic standby rates of all proxies fit within the limit.
func (p *pool) maxStandby() float64 {
	lent := min(p.loanTotals.wholeRate, constants.SplitFraction*p.quota.Rate)
	return max(lent*constants.StandbyBasicFraction, lent-constants.StandbyReserveFraction*p.quota.Rate)
}

// grantStandby answers a proxy for which the key is tracker-only.
func (t *Tracker) grantStandby(now time.Duration, p *pool, request GrantRequest, want KeyRequest) KeyGrant {
	t.Requests++
	p.standbyTotals(now, t) // drops expired entries, so that the totals below are current
	s := p.standbys[request.Proxy]
	if s == nil {
		s = &standby{}
		p.standbys[request.Proxy] = s
	}
	next := *s
	next.expires = now + constants.LongGrantDuration
	p.nextStandbyExpiry = min(p.nextStandbyExpiry, next.expires)
	basic := p.loans[request.Proxy].rate * constants.StandbyBasicFraction
	switch {
	case !want.Lend: // a request for one-off tokens leaves the rates unchanged
	case now < p.recoveryUntil:
		next.rate, next.reserved, next.demand = want.Rate, max(want.Rate, s.reserved, basic), want.Demand
		next.requestSent = want.RateOf // as if this tracker had offered the rate
	default:
		next.demand = want.Demand
		total := p.standbyDemand - s.demand + next.demand
		others := max(0, p.standbyReserved-s.reserved)
		limit := p.maxStandby()
		share := next.demand * constants.StandbyHeadroom
		if total > 0 {
			share = min(share, next.demand*limit/total)
		}
		share = min(share, max(0, limit-others))
		if want.Release {
			share = 0 // the proxy is about to use its split share instead
		}
		next.reserved = max(maxInUse(s.reserved, s.requestSent, share, want), basic)
		next.rate, next.requestSent = share, request.Sent
	}
	p.setStandby(t, request.Proxy, s, next)
	p.resize(now, t)
	return t.grantTokens(p, want, KeyGrant{Key: want.Key, Rate: s.rate, Long: true, Lent: want.Lend, Loan: want.Lent})
}

// releaseShare returns a share that was lent whole to its proxy, provided that neither the
// other proxies' standby rates nor the leases depend on it. It reports whether it did.
func (p *pool) releaseShare(now time.Duration, tracker *Tracker, proxy string) bool {
	if now < p.recoveryUntil {
		return false // unknown standby rates may depend on it
	}
	p.standbyTotals(now, tracker)
	old := p.loans[proxy] // zero if there is none
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
		p.setLoan(proxy, old)
		return false
	}
	p.removeStandby(tracker, proxy)
	return true
}

// removeStandby removes the standby of a proxy that no longer holds one.
func (p *pool) removeStandby(tracker *Tracker, proxy string) {
	if s := p.standbys[proxy]; s != nil {
		p.setStandby(tracker, proxy, s, standby{})
		delete(p.standbys, proxy)
	}
}

// resizeStandby sets the standby bucket of a tracker-only key to the rate that the tracker
// granted, but at least to the basic part of this proxy's own share. The tracker excludes
// that part from its pool for every proxy that is out of contact.
func (l *Limiter) resizeStandby(ks *keyState, now time.Duration) {
	l.updateStandby(ks, now) // before the bucket fills
	rate := 0.0
	if l.proxies > 0 && now-l.countReceivedAt <= constants.SplitTimeout {
		rate = constants.SplitFraction * constants.StandbyBasicFraction * ks.quota.Rate / float64(l.proxies)
	}
	rate = max(rate, ks.heldRate(now))
	ks.grant.set(now, rate, max(constants.StandbyDepth, rate))
}

// updateStandby lets the standby bucket fill only while the proxy has received nothing from
// the key's tracker for StandbyDelay; tokens then accrue from the last answer on. A bucket
// starts with a random fraction of a token and keeps a fraction while it is not in use, so
// that many proxies with a low rate together admit exactly the sum of their rates.
func (l *Limiter) updateStandby(ks *keyState, now time.Duration) {
	answeredAt, ok := l.trackerAnsweredAt[ks.shard]
	if !ok {
		// The previous incarnation was in contact until it ended at the latest.
		answeredAt = -constants.MinRestartTime
	}
	if now-answeredAt < constants.StandbyDelay && !l.trackerDown[ks.shard] {
		if ks.onStandby {
			ks.grant.tokens -= math.Floor(ks.grant.tokens)
		}
		ks.onStandby = false
		ks.grant.filledAt = now
	} else if !ks.onStandby {
		ks.onStandby = true
		ks.grant.filledAt = answeredAt
	}
}

// MarkTrackerDown records that the tracker of a shard is known not to run, because its
// address refuses connections. The standby rate can be used at once: a tracker that starts
// later knows of no standby rates and initially grants only what they leave over.
func (l *Limiter) MarkTrackerDown(shard int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.trackerDown == nil {
		l.trackerDown = map[int]bool{}
	}
	l.trackerDown[shard] = true
}

// MarkTrackerAnswered records that the tracker of a shard has answered.
func (l *Limiter) MarkTrackerAnswered(now time.Duration, shard int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.trackerAnsweredAt == nil {
		l.trackerAnsweredAt = map[int]time.Duration{}
	}
	l.trackerAnsweredAt[shard] = now
	delete(l.trackerDown, shard)
}
