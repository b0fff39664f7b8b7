package admission

import (
	"time"

	"slateridge/internal/constants"
)

// tokenEpsilon is a part of a token that counts as nothing.
const tokenEpsilon = 1e-6

// Verdict is what admission says of a request.
type Verdict struct {
	OK    bool
	Ask   bool          // the tracker may have tokens: ask, then Admit again
	Retry time.Duration // when a token is due here
}

// Admit takes a token for a request, or refuses it. The first try counts the
// arrival; a request that waited for its tracker is tried again with again set.
func (l *Limiter) Admit(now time.Duration, key string, again bool) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.keys[key]
	if b == nil {
		return Verdict{OK: true}
	}
	l.refresh(b, now)
	quotaHasRoom := b.wholeQuota.tokens >= 1
	if !again {
		b.countArrival(now, quotaHasRoom)
	}
	grant := &b.grant.tokens
	if b.carried && !b.onStandby {
		grant = new(float64) // the standby is not to be used
	}
	available := b.split.tokens + *grant + b.oneOff
	if b.fast.tokens >= 1 && available >= 1-1e-9 {
		b.spendToken(now, grant)
		return Verdict{OK: true}
	}
	verdict := Verdict{Retry: b.retryAfter(now, available)}
	// One question to the tracker costs less than a wrong refusal, unless it
	// has just said that there is nothing.
	if !again && now >= b.dryUntil && b.fast.tokens >= 1 {
		verdict.Ask = true
		return verdict
	}
	b.count.Refused++
	if quotaHasRoom {
		b.count.FalseRefused++
	}
	return verdict
}

// countArrival counts a request once, in the demand and in the buckets that only audit.
func (b *keyState) countArrival(now time.Duration, quotaHasRoom bool) {
	b.arrived++
	if quotaHasRoom {
		b.wholeQuota.tokens--
	}
	if b.shadow == nil {
		return
	}
	b.shadow.bucket.fill(now)
	if b.shadow.bucket.tokens >= 1 {
		b.shadow.bucket.tokens--
	} else {
		b.count.ShadowRefused++
	}
}

// spendToken takes one token: from what was granted at once, then from the grant, and the
// rest from the split share.
func (b *keyState) spendToken(now time.Duration, grant *float64) {
	b.fast.tokens--
	need, before := 1.0, *grant
	need -= takeUpTo(&b.oneOff, need)
	if need > 0 {
		need -= takeUpTo(grant, need)
	}
	if need < 1 {
		b.count.FromGrant++
	} else {
		b.count.FromSplit++
	}
	b.split.tokens -= need
	b.count.Admitted++
	fromGrant := before - *grant
	switch {
	case b.carried && need < tokenEpsilon && fromGrant > 0:
		b.standbyUsed += fromGrant
	case need > 0 || fromGrant > 0:
		b.lastAdmitted, b.standbyUsed = now, 0
	}
	if fromGrant < 1-tokenEpsilon {
		b.tokensUsedAt = now
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

// retryAfter is when a refused client should try again, with so many tokens available now.
func (b *keyState) retryAfter(now time.Duration, available float64) time.Duration {
	retry := time.Second
	if rate := b.split.rate + b.grant.rate; rate > 0 {
		retry = time.Duration(min(60, (1-available)/rate) * float64(time.Second))
	}
	// When the tracker has tokens again, as it answered; without contact, another proxy
	// may be better off.
	if due := b.dryUntil - now; due < retry {
		retry = max(due, constants.RetrySoon)
	}
	if b.unansweredAt > 0 && now-b.unansweredAt < constants.RetryLost {
		retry = constants.RetryLost // another proxy finds no tracker either; it takes its time to come back
	}
	return retry
}

// Settle debits the true cost of an admitted request once it is over.
func (l *Limiter) Settle(now time.Duration, key string, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.keys[key]
	if b == nil || runs == 1 {
		return
	}
	l.refresh(b, now)
	// The true cost is known now: none gives the token back, a further run
	// costs one more, below zero if need be.
	if runs == 0 {
		b.split.tokens = min(b.split.depth, b.split.tokens+1)
		b.fast.tokens = min(b.fast.depth, b.fast.tokens+1)
		b.count.Returned++
	} else {
		b.split.tokens -= float64(runs - 1)
		b.count.Debited += uint64(runs - 1)
	}
}
