package admission

import "time"

// tokenEpsilon is the fraction of a token below which a balance counts as zero.
const tokenEpsilon = 1e-6

// Decision is the result of an admission check.
type Decision struct {
	OK         bool
	AskTracker bool          // the tracker may have tokens: ask it, then call Admit again
	RetryAfter time.Duration // set on a refusal: time until a token is due for this request
}

// Admit takes a token for a request or refuses the request. The first call counts the
// arrival; a request that has waited for its tracker is checked again with retry set.
func (l *Limiter) Admit(now time.Duration, key string, retry bool) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	ks := l.keys[key]
	if ks == nil {
		return Decision{OK: true}
	}
	l.refresh(ks, now)
	quotaHasRoom := ks.wholeQuota.tokens >= 1
	if !retry {
		ks.countArrival(now, quotaHasRoom)
	}
	grant := &ks.grant.tokens
	if ks.trackerOnly && !ks.onStandby {
		grant = new(float64) // the standby rate must not be used while in contact
	}
	available := ks.split.tokens + *grant + ks.oneOffTokens
	if ks.peakRate.tokens >= 1 && available >= 1-1e-9 {
		ks.takeToken(now, grant)
		return Decision{OK: true}
	}
	// Asking the tracker once costs less than a wrong refusal, unless the tracker
	// has just reported that it has no tokens.
	if !retry && now >= ks.noTokensUntil && ks.peakRate.tokens >= 1 {
		return Decision{AskTracker: true}
	}
	ks.count.Refused++
	if quotaHasRoom {
		ks.count.FalseRefused++
	}
	return Decision{RetryAfter: l.retryAfter(ks, now, available)}
}

// countArrival counts a request once, in the demand and in the audit buckets, which
// do not affect admission.
func (ks *keyState) countArrival(now time.Duration, quotaHasRoom bool) {
	ks.arrivals++
	if quotaHasRoom {
		ks.wholeQuota.tokens--
	}
	if ks.shadow == nil {
		return
	}
	ks.shadow.bucket.fill(now)
	if ks.shadow.bucket.tokens >= 1 {
		ks.shadow.bucket.tokens--
	} else {
		ks.count.ShadowRefused++
	}
}

// takeToken takes one token: first from the one-off tokens, then from the grant, and the
// remainder from the split share.
func (ks *keyState) takeToken(now time.Duration, grant *float64) {
	ks.peakRate.tokens--
	need, before := 1.0, *grant
	need -= takeUpTo(&ks.oneOffTokens, need)
	if need > 0 {
		need -= takeUpTo(grant, need)
	}
	if need < 1 {
		ks.count.FromGrant++
	} else {
		ks.count.FromSplit++
	}
	ks.split.tokens -= need
	ks.count.Admitted++
	fromGrant := before - *grant
	switch {
	case ks.trackerOnly && need < tokenEpsilon && fromGrant > 0:
		ks.standbyUsed += fromGrant
	case need > 0 || fromGrant > 0:
		ks.lastAdmitted, ks.standbyUsed = now, 0
	}
	if fromGrant < 1-tokenEpsilon {
		ks.trackerTokensUsedAt = now
	}
}

// takeUpTo takes at most need from a balance and returns the amount taken.
func takeUpTo(balance *float64, need float64) float64 {
	taken := min(need, max(0, *balance))
	if taken > 0 {
		*balance -= taken
	}
	return taken
}

// Settle charges the actual cost of an admitted request after it has finished. runs is
// the number of times that it was executed.
func (l *Limiter) Settle(now time.Duration, key string, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ks := l.keys[key]
	if ks == nil || runs == 1 {
		return
	}
	l.refresh(ks, now)
	// A request that was never executed gets its token back. Each further execution
	// costs one more token, even if the balance becomes negative.
	if runs == 0 {
		ks.split.tokens = min(ks.split.depth, ks.split.tokens+1)
		ks.peakRate.tokens = min(ks.peakRate.depth, ks.peakRate.tokens+1)
		ks.count.Returned++
	} else {
		ks.split.tokens -= float64(runs - 1)
		ks.count.Debited += uint64(runs - 1)
	}
}
