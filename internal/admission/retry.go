package admission

import (
	"time"

	"slateridge/internal/constants"
)

// retryAfter returns how long a refused client should wait: until a token of its key is
// due, after those for the clients that were refused before it. The next attempt reaches
// another proxy, so it uses the key's whole rate and not this proxy's part of it.
func (l *Limiter) retryAfter(ks *keyState, now time.Duration, available float64) time.Duration {
	due := now + l.timeToToken(ks, now, available)
	if ks.lastRetryAt > now {
		due = max(due, ks.lastRetryAt+tokenTime(1, ks.quota.Rate))
	}
	ks.lastRetryAt = min(due, now+constants.MaxRetryAfter)
	return ks.lastRetryAt - now
}

// timeToToken returns the time until a token is due, given the balance that is available
// here now.
func (l *Limiter) timeToToken(ks *keyState, now time.Duration, available float64) time.Duration {
	local := constants.GrantDuration // leases and shares are distributed again within this time
	rate := ks.split.rate
	if !ks.trackerOnly || ks.onStandby {
		rate += ks.grant.rate
	}
	if rate > 0 {
		local = tokenTime(1-available, rate)
	}
	switch answeredAt := l.trackerAnsweredAt[ks.shard]; {
	case ks.unansweredAt > 0 && ks.unansweredAt >= answeredAt:
		// The tracker does not answer. After this time it answers again or the standby
		// rate is used.
		if untilStandby := answeredAt + constants.StandbyDelay - now; untilStandby > 0 {
			return min(local, untilStandby)
		}
		return local
	case ks.noTokensUntil > now: // according to the tracker's answer
		return min(local, ks.noTokensUntil-now)
	}
	return min(local, tokenTime(1, ks.quota.Rate))
}

// tokenTime returns how long a number of tokens takes to accrue at a rate.
func tokenTime(tokens, rate float64) time.Duration {
	return time.Duration(min(constants.MaxRetryAfter.Seconds(), tokens/rate) * float64(time.Second))
}
