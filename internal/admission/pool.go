package admission

import (
	"time"

	"slateridge/internal/constants"
)

// pool is one key at its tracker: what is not leased accrues here. Proxies that
// use their split share get leases, those whose share is lent whole standby; which
// of the two each one says itself, since they learn of a new live count one by one.
type pool struct {
	quota     Quota
	standbys  map[string]*standby
	openUntil time.Duration      // until then standby of an earlier tracker may be in use
	reported  map[string]float64 // proxies that have told what they hold of these, while open, and the tokens of standby they used
	split     bool               // one of them uses its split share
	spent     time.Duration      // the latest moment, by what they told, at which any let a request through
	given     float64            // tokens since the beginning
	filled    bool               // what has filled since spent is still to be added
	proxies   int                // how many there are, by the largest count told
	bucket    bucket
	leases    map[string]*lease
	loans     map[string]loan

	// Sums of the maps above, so that a question costs the same however many
	// proxies there are: kept as entries change, and taken anew when the first
	// entry ends.
	loaned        loan // until is when the first loan ends
	standbyCount  float64
	standbyDemand float64
	standbysEnd   time.Duration // when the first stand ends
	standbyInUse  float64       // count of those that may be using their standby, as of a turn
	scan          uint64
}

// rateEpsilon is a rate, in requests a second, that counts as nothing: sums of
// floating-point numbers are compared with it.
const rateEpsilon = 1e-9

// tracked is the part of a quota that trackers give out.
func (p *pool) tracked() (rate, burst float64) {
	return (1 - constants.SplitPart) * p.quota.Rate, (1 - constants.SplitPart) * p.quota.Burst
}

// available is what there is to give in all ways together: the tracked part and
// what proxies lend. While standby of an earlier tracker may be in use, of which
// nobody has told here, that part of what is lent whole stays out; what is known
// to rest at proxies in touch does not.
func (p *pool) available(now time.Duration, tracker *Tracker) (rate, burst float64) {
	p.sumLoans(now)
	rate, burst = p.tracked()
	if now >= p.openUntil {
		return min(rate+p.loaned.rate, p.quota.Rate), min(burst+p.loaned.depth, p.quota.Burst)
	}
	_, resting := p.standbyTotals(now, tracker)
	sure := min(constants.StandbyReserve*p.quota.Rate, p.loaned.long*(1-constants.StandbyBasic))
	lent := p.loaned.rate - p.loaned.long + sure
	if p.loaned.rate > 0 {
		burst += p.loaned.depth * lent / p.loaned.rate
	}
	return min(rate+min(lent+resting, p.loaned.rate), p.quota.Rate), min(burst, p.quota.Burst)
}

// inUse is the rate of standby that proxies out of touch may be using.
func (p *pool) inUse(now time.Duration, tracker *Tracker) float64 {
	if now < p.openUntil {
		return 0 // unknown, and left out of what is available
	}
	alone, _ := p.standbyTotals(now, tracker)
	return alone
}

// uncommitted is the rate that is neither leased nor told as standby, below zero
// where more has been told than there is.
func (p *pool) uncommitted(now time.Duration, tracker *Tracker) float64 {
	rate, _ := p.available(now, tracker)
	_, resting := p.standbyTotals(now, tracker)
	return rate - p.leased("") - p.inUse(now, tracker) - resting
}

// shape drops leases that have ended and sets the pool to what nobody holds.
func (p *pool) shape(now time.Duration, tracker *Tracker) {
	for k, l := range p.leases {
		if now >= l.until {
			delete(p.leases, k)
		}
	}
	rate, burst := p.available(now, tracker)
	leased := p.leased("")
	p.bucket.set(now, max(0, rate-leased-p.inUse(now, tracker)), max(0, burst-leaseDepth(leased, p.quota)))
	if p.filled && burst >= 0.99*p.quota.Burst {
		p.filled = false // once, when the shares have been lent
		p.bucket.tokens = max(p.bucket.tokens, min(p.bucket.depth, p.quota.Rate*(now-p.spent).Seconds()-p.given))
	}
}

// poolOf finds a key's pool, or makes one that has been filling from a moment on:
// nobody else has given anything since.
func (tracker *Tracker) poolOf(key string, q Quota, begun, filling, now time.Duration) *pool {
	if p := tracker.pools[key]; p != nil {
		return p
	}
	p := &pool{quota: q, leases: map[string]*lease{}, loans: map[string]loan{}, standbys: map[string]*standby{}, reported: map[string]float64{}}
	p.bucket.filledAt = min(now, filling)
	p.bucket.rate, p.bucket.depth = p.tracked()
	p.openUntil = begun + constants.GrantLong
	tracker.pools[key] = p
	return p
}

// takeTold notes, at a tracker that has begun lately, that a proxy has told what it
// holds. When all have, nothing unknown is in use any more, and since the last of
// them let a request through the quota has been filling.
func (p *pool) takeTold(now time.Duration, a GrantRequest, w Want) {
	if now >= p.openUntil {
		p.reported = nil
		return
	}
	p.reported[a.Proxy] = w.Stood
	p.split = p.split || !w.Long
	p.spent = max(p.spent, now-w.Idle)
	if p.proxies = max(p.proxies, a.Proxies); p.proxies > 0 && len(p.reported) >= p.proxies {
		p.openUntil, p.filled = now, !p.split
		for _, used := range p.reported {
			p.given += used
		}
	}
}
