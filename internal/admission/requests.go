package admission

import (
	"math"
	"sort"
	"time"

	"slateridge/internal/constants"
)

// KeyRequest is what a proxy reports to a key's tracker, and asks of it.
type KeyRequest struct {
	Key    string
	Demand float64       // requests a second beyond the split share
	Rate   float64       // leased or standby rate held now
	RateOf time.Duration // when the request was sent whose answer granted that rate
	Need   float64       // tokens wanted at once
	Lend   bool          // the next two count
	Lent   float64       // rate of the split share lent to the tracker
	Depth  float64       // and the burst with it
	Long   bool          // for the longer time, as a share is that serves nobody where it is
	Idle   time.Duration // since the proxy last let a request of the key through, or started; standby aside
	Stood  float64       // tokens of standby used since then
	// Release asks the tracker to give up a share that was lent whole.
	Release bool
}

// grantLength is how long a lease lasts.
func grantLength(long bool) time.Duration {
	if long {
		return constants.GrantLong
	}
	return constants.GrantLength
}

// lendLength is how long a loan lasts.
func lendLength(long bool) time.Duration {
	if long {
		return constants.LendLong
	}
	return constants.LendLength
}

// demandBeyondShare is the rate to lease: of a hot key what the split share leaves open,
// of others nothing, since a leased rate that lies unused here is missed where
// the next requests come.
func (l *Limiter) demandBeyondShare(ks *keyState) float64 {
	if ks.trackerOnly {
		return ks.demand // for its standby
	}
	if ks.demand < constants.HotRate {
		return 0
	}
	return max(0, ks.demand*constants.GrantHeadroom-ks.split.rate)
}

// BuildReports closes a demand period and lists what to report to the trackers: the rates to
// lease, and what of the split shares is lent. A share that is not used here
// serves whoever asks the tracker; it is lowered before the tracker learns of
// it, and raised only after the tracker has answered or the loan has run out.
// heard is when the tracker's time that goes with a key's report reached this proxy:
// the loan ends by that time, so it ends even when nothing gets through any
// more. Without a time of the tracker's nothing is lent.
func (l *Limiter) BuildReports(now time.Duration, heard func(key string) (at time.Duration, life uint64, ok bool)) []KeyRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	span := (now - l.periodStart).Seconds()
	if span <= 0 || l.proxies == 0 {
		return nil
	}
	l.periodStart = now
	givenUp := now-l.controlHeardAt > constants.SplitHold // others may have the share by now
	told := map[int]bool{}
	var out []KeyRequest
	for k, ks := range l.keys {
		l.refresh(ks, now)
		ks.demand += constants.DemandWeight * (ks.arrivals/span - ks.demand)
		ks.arrivals = 0
		n := float64(l.proxies)
		rate, depth := constants.SplitPart*ks.quota.Rate/n, constants.SplitPart*ks.quota.Burst/n
		lend := 0.0
		long := ks.trackerOnly
		returning := long && ks.releaseDeadline > 0
		at, life, ok := heard(k)
		if ok && now < at+lendLength(long) && !givenUp {
			if lend = min(constants.LendMost, max(0, 1-ks.demand*constants.LendKeep/rate)); long {
				lend = 1
			}
		}
		beyond := l.demandBeyondShare(ks)
		if long && !returning && math.Abs(lend-ks.lentFraction) < 1e-6 && life == ks.reportedIncarnation && now < l.loansReportAt[ks.shard] {
			continue // the tracker knows all there is to know
		}
		if now >= l.loansReportAt[ks.shard] {
			told[ks.shard] = true
		}
		if lend > 0 {
			ks.loanExpires = max(ks.loanExpires, at+lendLength(long))
			if lend > ks.lentFraction {
				ks.lentFraction = lend
				l.resizeBuckets(ks, now)
			}
		}
		ks.reportedIncarnation = life
		ks.loanReportedAt, ks.reportedProxies = now, l.proxies
		out = append(out, KeyRequest{
			Key:     k,
			Demand:  beyond,
			Rate:    ks.heldRate(now),
			RateOf:  ks.grantRequestedAt,
			Lend:    true,
			Lent:    lend * rate,
			Depth:   lend * depth,
			Long:    long,
			Idle:    now - ks.lastAdmittedAt(life),
			Stood:   ks.standbyUsed,
			Release: returning,
		})
	}
	for shard := range told {
		l.loansReportAt[shard] = now + constants.LendLong/4 + time.Duration(l.rng.Int64N(int64(constants.LendLong/8)))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// RequestFullReport notes that the tracker of a shard does not have the last report, because
// the message was lost or because it has taken the shard over: the next message reports
// all again. A new tracker gives little until every proxy has reported what it
// holds, so one that is late holds all others up.
func (l *Limiter) RequestFullReport(shard int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.loansReportAt, shard)
}

// TokenRequest is the question for a request that waits.
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
		need += max(0, -ks.split.tokens) // a share lent whole does not fill: what is owed has to be asked for too
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
