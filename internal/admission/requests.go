package admission

import (
	"math"
	"sort"
	"time"

	"slateridge/internal/constants"
)

// KeyRequest is a proxy's report and request for one key.
type KeyRequest struct {
	Key    string
	Demand float64       // requests a second beyond the split share
	Rate   float64       // leased or standby rate that the proxy holds now
	RateOf time.Duration // send time of the request whose answer granted Rate
	Need   float64       // one-off tokens requested
	Lend   bool          // reports the proxy's share: Lent and Depth are valid
	Lent   float64       // rate of the split share that is lent to the tracker
	Depth  float64       // burst that is lent with it
	Long   bool          // the key is tracker-only at this proxy: loans and grants have the long lifetime
	Idle   time.Duration // time since the proxy last admitted a request of the key, or started; standby excluded
	Stood  float64       // standby tokens used during Idle
	// Release asks the tracker to return a share that was lent whole.
	Release bool
}

// grantLength returns the lifetime of a lease.
func grantLength(long bool) time.Duration {
	if long {
		return constants.LongGrantDuration
	}
	return constants.GrantDuration
}

// lendLength returns the lifetime of a loan.
func lendLength(long bool) time.Duration {
	if long {
		return constants.LongLoanDuration
	}
	return constants.LoanDuration
}

// demandBeyondShare returns the rate to request as a lease: for a hot key the demand that
// the split share does not cover, for other keys nothing, because a leased rate that is
// unused here is not available where the next requests arrive.
func (l *Limiter) demandBeyondShare(ks *keyState) float64 {
	if ks.trackerOnly {
		return ks.demand // sizes the standby rate
	}
	if ks.demand < constants.HotKeyRate {
		return 0
	}
	return max(0, ks.demand*constants.GrantHeadroom-ks.split.rate)
}

// BuildReports ends a demand period and returns the reports for the trackers: the rates to
// lease and the parts of the split shares that are lent. A lent share is available to every
// proxy through the tracker. The share is reduced before the tracker is notified, and it is
// restored only after the tracker has answered or the loan has expired.
//
// lastEcho returns when this proxy received the tracker time that it echoes with a key's
// report, and the tracker's incarnation. A loan expires relative to that time, so it
// expires even if no further message is delivered. Without a tracker time nothing is lent.
func (l *Limiter) BuildReports(now time.Duration, lastEcho func(key string) (at time.Duration, incarnation uint64, ok bool)) []KeyRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	period := (now - l.periodStart).Seconds()
	if period <= 0 || l.proxies == 0 {
		return nil
	}
	l.periodStart = now
	shareExpired := now-l.countReceivedAt > constants.SplitTimeout // other proxies may use the share now
	reportedShards := map[int]bool{}
	var reports []KeyRequest
	for k, ks := range l.keys {
		l.refresh(ks, now)
		ks.demand += constants.DemandWeight * (ks.arrivals/period - ks.demand)
		ks.arrivals = 0
		n := float64(l.proxies)
		rate, depth := constants.SplitFraction*ks.quota.Rate/n, constants.SplitFraction*ks.quota.Burst/n
		lend := 0.0
		trackerOnly := ks.trackerOnly
		releasing := trackerOnly && ks.releaseDeadline > 0
		at, incarnation, ok := lastEcho(k)
		if ok && now < at+lendLength(trackerOnly) && !shareExpired {
			if lend = min(constants.MaxLentFraction, max(0, 1-ks.demand*constants.LendHeadroom/rate)); trackerOnly {
				lend = 1
			}
		}
		demand := l.demandBeyondShare(ks)
		if trackerOnly && !releasing && math.Abs(lend-ks.lentFraction) < 1e-6 && incarnation == ks.reportedIncarnation && now < l.loansReportAt[ks.shard] {
			continue // the tracker's record is up to date
		}
		if now >= l.loansReportAt[ks.shard] {
			reportedShards[ks.shard] = true
		}
		if lend > 0 {
			ks.loanExpires = max(ks.loanExpires, at+lendLength(trackerOnly))
			if lend > ks.lentFraction {
				ks.lentFraction = lend
				l.resizeBuckets(ks, now)
			}
		}
		ks.reportedIncarnation = incarnation
		ks.loanReportedAt, ks.reportedProxies = now, l.proxies
		reports = append(reports, KeyRequest{
			Key:     k,
			Demand:  demand,
			Rate:    ks.heldRate(now),
			RateOf:  ks.grantRequestedAt,
			Lend:    true,
			Lent:    lend * rate,
			Depth:   lend * depth,
			Long:    trackerOnly,
			Idle:    now - ks.lastAdmittedAt(incarnation),
			Stood:   ks.standbyUsed,
			Release: releasing,
		})
	}
	for shard := range reportedShards {
		l.loansReportAt[shard] = now + constants.LongLoanDuration/4 + time.Duration(l.rng.Int64N(int64(constants.LongLoanDuration/8)))
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Key < reports[j].Key })
	return reports
}

// RequestFullReport records that the tracker of a shard lacks the last report, because the
// message was lost or the tracker has taken the shard over, so the next message reports
// all keys again. A new tracker grants little until every proxy has reported what it holds,
// so a single late proxy delays all others.
func (l *Limiter) RequestFullReport(shard int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.loansReportAt, shard)
}

// TokenRequest returns the request that asks a key's tracker for tokens for a waiting
// request.
func (l *Limiter) TokenRequest(now time.Duration, key string) KeyRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	ks := l.keys[key]
	if ks == nil {
		return KeyRequest{Key: key}
	}
	l.refresh(ks, now)
	need := 1.0
	if ks.trackerOnly {
		need += max(0, -ks.split.tokens) // a share that is lent whole never refills, so its debt is paid by tracker tokens
	}
	return KeyRequest{
		Key:    key,
		Demand: l.demandBeyondShare(ks),
		Rate:   ks.heldRate(now),
		RateOf: ks.grantRequestedAt,
		Need:   need,
		Long:   ks.trackerOnly,
	}
}
