package admission

import (
	"time"

	"slateridge/internal/constants"
)

// retryAfter is how long a refused client should wait: until a token is due here, behind
// those that were told to come again before. The same tokens are not promised twice.
func (l *Limiter) retryAfter(ks *keyState, now time.Duration, available float64) time.Duration {
	interval := time.Duration(float64(max(1, l.proxies)) / ks.quota.Rate * float64(time.Second))
	due := now + l.tokenDue(ks, now, available)
	if ks.toldUntil > now {
		due = max(due, ks.toldUntil+interval)
	}
	ks.toldUntil = min(due, now+constants.RetryMost)
	return ks.toldUntil - now
}

// tokenDue is how long it takes until there is a token here, with so many available now.
func (l *Limiter) tokenDue(ks *keyState, now time.Duration, available float64) time.Duration {
	due := constants.GrantLength // leases and shares are dealt out anew by then
	rate := ks.split.rate
	if !ks.carried || ks.onStandby {
		rate += ks.grant.rate
	}
	if rate > 0 {
		due = tokenTime(1-available, rate)
	}
	switch heard := l.trackerHeardAt[ks.shard]; {
	case ks.unansweredAt > 0 && ks.unansweredAt >= heard:
		// The tracker is lost: by then it answers again, or the standby is used.
		if lost := heard + constants.StandbyAfter - now; lost > 0 {
			due = min(due, lost)
		}
	case ks.noTokensUntil > now: // as it answered
		due = min(due, ks.noTokensUntil-now)
	}
	if ks.peakRate.tokens < 1 {
		due = max(due, tokenTime(1-ks.peakRate.tokens, ks.peakRate.rate))
	}
	return due
}

// tokenTime is how long so many tokens take at a rate.
func tokenTime(tokens, rate float64) time.Duration {
	return time.Duration(min(constants.RetryMost.Seconds(), tokens/rate) * float64(time.Second))
}
