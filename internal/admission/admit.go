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
	room := b.wholeQuota.tokens >= 1
	if !again {
		b.arrived++
		if room {
			b.wholeQuota.tokens--
		}
		if s := b.shadow; s != nil {
			if s.bucket.fill(now); s.bucket.tokens >= 1 {
				s.bucket.tokens--
			} else {
				b.count.ShadowRefused++
			}
		}
	}
	grant := &b.grant.tokens
	if b.carried && !b.onStandby {
		grant = new(float64) // standby rests
	}
	have := b.split.tokens + *grant + b.oneOff
	if b.fast.tokens >= 1 && have >= 1-1e-9 {
		b.fast.tokens--
		need, before := 1.0, *grant
		use := func(from *float64) {
			if t := min(need, max(0, *from)); t > 0 {
				*from -= t
				need -= t
			}
		}
		if use(&b.oneOff); need > 0 {
			use(grant)
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
			b.stood += fromGrant
		case need > 0 || fromGrant > 0:
			b.lastOK, b.stood = now, 0
		}
		if fromGrant < 1-tokenEpsilon {
			b.tokensUsedAt = now
		}
		return Verdict{OK: true}
	}
	v := Verdict{Retry: time.Second}
	if rate := b.split.rate + b.grant.rate; rate > 0 {
		v.Retry = time.Duration(min(60, (1-have)/rate) * float64(time.Second))
	}
	// The tracker's word on when it has tokens again, or, out of touch, the hope
	// that another proxy is better off.
	if due := b.dryUntil - now; due < v.Retry {
		v.Retry = max(due, constants.RetrySoon)
	}
	if b.unansweredAt > 0 && now-b.unansweredAt < constants.RetryLost {
		v.Retry = constants.RetryLost // another proxy finds no tracker either; it takes its time to come back
	}
	// One question to the tracker costs less than a wrong refusal, unless it
	// has just said that there is nothing.
	if !again && now >= b.dryUntil && b.fast.tokens >= 1 {
		v.Ask = true
		return v
	}
	b.count.Refused++
	if room {
		b.count.FalseRefused++
	}
	return v
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
