package admission

import (
	"time"

	"slateridge/internal/constants"
)

// pool is one key at its tracker: what is not leased accrues here. Proxies that
// use their split share get leases, those whose share is lent whole standby; which
// of the two each one says itself, since they learn of a new live count one by one.
type pool struct {
	quota         Quota
	standbys      map[string]*standby
	recoveryUntil time.Duration      // until then standby granted by an earlier tracker may be in use
	reported      map[string]float64 // proxies that have reported what they hold of these, during recovery, and the tokens of standby they used
	splitInUse    bool               // one of them uses its split share
	lastAdmitted  time.Duration      // the latest moment, by their reports, at which any let a request through
	tokensGranted float64            // tokens since the beginning
	refillPending bool               // what has accrued since lastSpent is still to be added
	proxyCount    int                // how many there are, by the largest count reported
	bucket        bucket
	leases        map[string]*lease
	loans         map[string]loan

	// Sums of the maps above, so that a question costs the same however many
	// proxies there are: kept as entries change, and taken anew when the first
	// entry ends.
	loanTotals        loan // until is when the first loan ends
	standbyReserved   float64
	standbyDemand     float64
	nextStandbyExpiry time.Duration // when the first stand ends
	standbyInUse      float64       // count of those that may be using their standby, as of a turn
	contactScan       uint64
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
// nobody has reported here, that part of what is lent whole stays out; what is known
// to be unused at proxies in contact does not.
func (p *pool) available(now time.Duration, tracker *Tracker) (rate, burst float64) {
	p.refreshLoanTotals(now)
	rate, burst = p.tracked()
	if now >= p.recoveryUntil {
		return min(rate+p.loanTotals.rate, p.quota.Rate), min(burst+p.loanTotals.depth, p.quota.Burst)
	}
	_, resting := p.standbyTotals(now, tracker)
	sure := min(constants.StandbyReserve*p.quota.Rate, p.loanTotals.wholeRate*(1-constants.StandbyBasic))
	lent := p.loanTotals.rate - p.loanTotals.wholeRate + sure
	if p.loanTotals.rate > 0 {
		burst += p.loanTotals.depth * lent / p.loanTotals.rate
	}
	return min(rate+min(lent+resting, p.loanTotals.rate), p.quota.Rate), min(burst, p.quota.Burst)
}

// standbyRateInUse is the rate of standby that proxies out of contact may be using.
func (p *pool) standbyRateInUse(now time.Duration, tracker *Tracker) float64 {
	if now < p.recoveryUntil {
		return 0 // unknown, and left out of what is available
	}
	alone, _ := p.standbyTotals(now, tracker)
	return alone
}

// uncommitted is the rate that is neither leased nor granted as standby, below zero
// where more has been granted than there is.
func (p *pool) uncommitted(now time.Duration, tracker *Tracker) float64 {
	rate, _ := p.available(now, tracker)
	_, resting := p.standbyTotals(now, tracker)
	return rate - p.leased("") - p.standbyRateInUse(now, tracker) - resting
}

// resize drops leases that have ended and sets the pool to what nobody holds.
func (p *pool) resize(now time.Duration, tracker *Tracker) {
	for k, l := range p.leases {
		if now >= l.expires {
			delete(p.leases, k)
		}
	}
	rate, burst := p.available(now, tracker)
	leased := p.leased("")
	p.bucket.set(now, max(0, rate-leased-p.standbyRateInUse(now, tracker)), max(0, burst-leaseDepth(leased, p.quota)))
	if p.refillPending && burst >= constants.NearlyAll*p.quota.Burst {
		p.refillPending = false // once, when the shares have been lent
		p.bucket.tokens = max(p.bucket.tokens, min(p.bucket.depth, p.quota.Rate*(now-p.lastAdmitted).Seconds()-p.tokensGranted))
	}
}

// poolFor finds a key's pool, or makes one that has been filling from a moment on:
// nobody else has given anything since.
func (tracker *Tracker) poolFor(key string, q Quota, begun, filling, now time.Duration) *pool {
	if p := tracker.pools[key]; p != nil {
		return p
	}
	p := &pool{
		quota:    q,
		leases:   map[string]*lease{},
		loans:    map[string]loan{},
		standbys: map[string]*standby{},
		reported: map[string]float64{},
	}
	p.bucket.filledAt = min(now, filling)
	p.bucket.rate, p.bucket.depth = p.tracked()
	p.recoveryUntil = begun + constants.GrantLong
	tracker.pools[key] = p
	return p
}

// recordReport notes, at a tracker that took over lately, that a proxy has reported what it
// holds. When all have, nothing unknown is in use any more, and since the last of
// them let a request through the quota has been filling.
func (p *pool) recordReport(now time.Duration, request GrantRequest, want KeyRequest) {
	if now >= p.recoveryUntil {
		p.reported = nil
		return
	}
	p.reported[request.Proxy] = want.Stood
	p.splitInUse = p.splitInUse || !want.Long
	p.lastAdmitted = max(p.lastAdmitted, now-want.Idle)
	if p.proxyCount = max(p.proxyCount, request.Proxies); p.proxyCount > 0 && len(p.reported) >= p.proxyCount {
		p.recoveryUntil, p.refillPending = now, !p.splitInUse
		for _, used := range p.reported {
			p.tokensGranted += used
		}
	}
}
