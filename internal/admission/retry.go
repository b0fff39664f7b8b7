package admission

import (
	"time"

	"slateridge/internal/constants"
)

// retryAfter is how long a refused client should wait: until a token of its key is due,
// behind those that were told to come again before. Its next try reaches another proxy, so
// the key's whole rate counts and not this proxy's part of it.
func (l *Limiter) retryAfter(ks *keyState, now time.Duration, available float64) time.Duration {
	due := now + l.timeToToken(ks, now, available)
	if ks.lastRetryAt > now {
		due = max(due, ks.lastRetryAt+tokenTime(1, ks.quota.Rate))
	}
	ks.lastRetryAt = min(due, now+constants.RetryMost)
	return ks.lastRetryAt - now
}

// timeToToken is how long it takes until there is a token, with so many available here now.
func (l *Limiter) timeToToken(ks *keyState, now time.Duration, available float64) time.Duration {
	here := constants.GrantLength // leases and shares are dealt out anew by then
	rate := ks.split.rate
	if !ks.trackerOnly || ks.onStandby {
		rate += ks.grant.rate
	}
	if rate > 0 {
		here = tokenTime(1-available, rate)
	}
	switch heard := l.trackerHeardAt[ks.shard]; {
	case ks.unansweredAt > 0 && ks.unansweredAt >= heard:
		// The tracker is lost: by then it answers again, or the standby is used.
		if lost := heard + constants.StandbyAfter - now; lost > 0 {
			return min(here, lost)
		}
		return here
	case ks.noTokensUntil > now: // as the tracker answered
		return min(here, ks.noTokensUntil-now)
	}
	return min(here, tokenTime(1, ks.quota.Rate))
}

// tokenTime is how long so many tokens take at a rate.
func tokenTime(tokens, rate float64) time.Duration {
	return time.Duration(min(constants.RetryMost.Seconds(), tokens/rate) * float64(time.Second))
}
