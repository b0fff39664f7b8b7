package admission

import (
	"time"

	"slateridge/internal/constants"
)

// pool is a tracker's state of one key. Tokens that are not leased accrue here. Proxies
// that use their split share get leases, those that lend it whole get standby rates. Each
// proxy states its own mode in its requests, since the proxies learn of a new live count
// one by one.
type pool struct {
	quota         Quota
	standbys      map[string]*standby
	recoveryUntil time.Duration      // until then standby rates granted by an earlier tracker may be in use
	reported      map[string]float64 // during recovery: proxies that have reported what they hold, with the standby tokens they used
	splitInUse    bool               // a reporting proxy uses its split share
	lastAdmitted  time.Duration      // the latest reported admission at any proxy
	tokensGranted float64            // since the pool was created
	refillPending bool               // tokens accrued since lastAdmitted are still to be added
	proxyCount    int                // the largest live count reported
	bucket        bucket
	leases        map[string]*lease
	loans         map[string]loan

	// Totals of the maps above, so that the cost of a request does not depend on the
	// number of proxies. They are adjusted as entries change and recomputed when the
	// first entry expires.
	loanTotals        loan // expires is when the first loan expires
	standbyReserved   float64
	standbyDemand     float64
	nextStandbyExpiry time.Duration
	standbyInUse      float64 // reserved rates of proxies out of contact, as of contactScan
	contactScan       uint64
}

// rateEpsilon is a rate, in requests a second, below which a difference counts as zero.
// It absorbs rounding errors in sums of floating-point numbers.
const rateEpsilon = 1e-9

// tracked returns the part of the quota that trackers grant.
func (p *pool) tracked() (rate, burst float64) {
	return (1 - constants.SplitFraction) * p.quota.Rate, (1 - constants.SplitFraction) * p.quota.Burst
}

// available returns what can be granted in total: the tracked part and the loans. While
// standby rates of an earlier tracker may be in use that have not been reported here, the
// corresponding part of the shares lent whole is left out. Standby rates that are known to
// be unused, because their proxies are in contact, are included.
func (p *pool) available(now time.Duration, tracker *Tracker) (rate, burst float64) {
	p.refreshLoanTotals(now)
	rate, burst = p.tracked()
	if now >= p.recoveryUntil {
		return min(rate+p.loanTotals.rate, p.quota.Rate), min(burst+p.loanTotals.depth, p.quota.Burst)
	}
	_, idle := p.standbyTotals(now, tracker)
	guaranteed := min(constants.StandbyReserveFraction*p.quota.Rate, p.loanTotals.wholeRate*(1-constants.StandbyBasicFraction))
	lent := p.loanTotals.rate - p.loanTotals.wholeRate + guaranteed
	if p.loanTotals.rate > 0 {
		burst += p.loanTotals.depth * lent / p.loanTotals.rate
	}
	return min(rate+min(lent+idle, p.loanTotals.rate), p.quota.Rate), min(burst, p.quota.Burst)
}

// standbyRateInUse returns the standby rate that proxies out of contact may be using.
func (p *pool) standbyRateInUse(now time.Duration, tracker *Tracker) float64 {
	if now < p.recoveryUntil {
		return 0 // unknown, and already excluded by available
	}
	inUse, _ := p.standbyTotals(now, tracker)
	return inUse
}

// uncommitted returns the rate that is neither leased nor granted as standby. It is
// negative if more has been granted than is available.
func (p *pool) uncommitted(now time.Duration, tracker *Tracker) float64 {
	rate, _ := p.available(now, tracker)
	_, idle := p.standbyTotals(now, tracker)
	return rate - p.leased("") - p.standbyRateInUse(now, tracker) - idle
}

// resize drops expired leases and sets the bucket to the rate that no proxy holds.
func (p *pool) resize(now time.Duration, tracker *Tracker) {
	for k, l := range p.leases {
		if now >= l.expires {
			delete(p.leases, k)
		}
	}
	rate, burst := p.available(now, tracker)
	leased := p.leased("")
	p.bucket.set(now, max(0, rate-leased-p.standbyRateInUse(now, tracker)), max(0, burst-leaseDepth(leased, p.quota)))
	if p.refillPending && burst >= constants.FullQuotaFraction*p.quota.Burst {
		p.refillPending = false // done once, after the shares have been lent
		p.bucket.tokens = max(p.bucket.tokens, min(p.bucket.depth, p.quota.Rate*(now-p.lastAdmitted).Seconds()-p.tokensGranted))
	}
}

// poolFor returns a key's pool. A new pool counts as filling since fillFrom, because nobody
// else has granted anything since. takenOverAt is when this tracker took over the shard.
func (t *Tracker) poolFor(key string, q Quota, takenOverAt, fillFrom, now time.Duration) *pool {
	if p := t.pools[key]; p != nil {
		return p
	}
	p := &pool{
		quota:    q,
		leases:   map[string]*lease{},
		loans:    map[string]loan{},
		standbys: map[string]*standby{},
		reported: map[string]float64{},
	}
	p.bucket.filledAt = min(now, fillFrom)
	p.bucket.rate, p.bucket.depth = p.tracked()
	p.recoveryUntil = takenOverAt + constants.LongGrantDuration
	t.pools[key] = p
	return p
}

// recordReport records, while the pool recovers from a takeover, that a proxy has reported
// what it holds. Once all proxies have, no unknown grant is in use any more, and the quota
// has been accruing since the last of them admitted a request.
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
