package admission

import "time"

// tokenEpsilon is a part of a token that counts as nothing.
const tokenEpsilon = 1e-6

// Decision is what admission says of a request.
type Decision struct {
	OK         bool
	AskTracker bool          // the tracker may have tokens: ask, then Admit again
	RetryAfter time.Duration // with a refusal: until a token is due for this request
}

// Admit takes a token for a request, or refuses it. The first call counts the
// arrival; a request that waited for its tracker is tried again with again set.
func (l *Limiter) Admit(now time.Duration, key string, again bool) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	ks := l.keys[key]
	if ks == nil {
		return Decision{OK: true}
	}
	l.refresh(ks, now)
	quotaHasRoom := ks.wholeQuota.tokens >= 1
	if !again {
		ks.countArrival(now, quotaHasRoom)
	}
	grant := &ks.grant.tokens
	if ks.trackerOnly && !ks.onStandby {
		grant = new(float64) // the standby is not to be used
	}
	available := ks.split.tokens + *grant + ks.oneOffTokens
	if ks.peakRate.tokens >= 1 && available >= 1-1e-9 {
		ks.takeToken(now, grant)
		return Decision{OK: true}
	}
	// One question to the tracker costs less than a wrong refusal, unless it
	// has just said that there is nothing.
	if !again && now >= ks.noTokensUntil && ks.peakRate.tokens >= 1 {
		return Decision{AskTracker: true}
	}
	ks.count.Refused++
	if quotaHasRoom {
		ks.count.FalseRefused++
	}
	return Decision{RetryAfter: l.retryAfter(ks, now, available)}
}

// countArrival counts a request once, in the demand and in the buckets that only audit.
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

// takeToken takes one token: from what was granted at once, then from the grant, and the
// rest from the split share.
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

// takeUpTo takes at most need from a balance, and returns what it took.
func takeUpTo(balance *float64, need float64) float64 {
	taken := min(need, max(0, *balance))
	if taken > 0 {
		*balance -= taken
	}
	return taken
}

// Settle debits the true cost of an admitted request once it is over.
func (l *Limiter) Settle(now time.Duration, key string, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ks := l.keys[key]
	if ks == nil || runs == 1 {
		return
	}
	l.refresh(ks, now)
	// The true cost is known now: none gives the token back, a further run
	// costs one more, below zero if need be.
	if runs == 0 {
		ks.split.tokens = min(ks.split.depth, ks.split.tokens+1)
		ks.peakRate.tokens = min(ks.peakRate.depth, ks.peakRate.tokens+1)
		ks.count.Returned++
	} else {
		ks.split.tokens -= float64(runs - 1)
		ks.count.Debited += uint64(runs - 1)
	}
}
