package admission

import (
	"testing"
	"time"

	"slateridge/internal/constants"
)

// newExhaustedLimiter returns a limiter whose only key, "k", has no tokens left at now.
func newExhaustedLimiter(proxies, shards int, quota Quota) (l *Limiter, now time.Duration) {
	l = New(20, shards, 1)
	l.SetProxies(0, proxies)
	l.SetQuotas(0, map[string]Quota{"k": quota})
	now = constants.StandbyDelay / 2
	l.MarkTrackerAnswered(now, 0)
	for l.Admit(now, "k", true).OK {
	}
	return l, now
}

// Each refused client gets a retry time at which a token is due for it: no two clients get
// the same time, and at twice the rate the times are half as long.
func TestRetryAfterFollowsTokenRate(t *testing.T) {
	const clients = 20
	var lasts []time.Duration
	for _, rate := range []float64{10, 20} {
		l, now := newExhaustedLimiter(1, 1, Quota{rate, 1})
		previous := time.Duration(0)
		for n := range clients {
			retryAfter := l.Admit(now, "k", true).RetryAfter
			if retryAfter <= previous {
				t.Errorf("rate %v: client %d has to retry after %v, the previous one after %v", rate, n, retryAfter, previous)
			}
			previous = retryAfter
		}
		lasts = append(lasts, previous)
		if due := seconds(clients / rate); previous < due/2 || previous > 2*due {
			t.Errorf("rate %v: the last of %d clients has to retry after %v, its token is due in about %v", rate, clients, previous, due)
		}
	}
	if lasts[0] < lasts[1]*3/2 {
		t.Errorf("the last client has to retry after %v at half the rate and after %v at the full rate", lasts[0], lasts[1])
	}
}

// Clients that retry at the time given to them are admitted.
func TestClientsHonoringRetryAfterAreAdmitted(t *testing.T) {
	l, now := newExhaustedLimiter(1, 1, Quota{20, 5})
	var due []time.Duration
	for range 10 {
		due = append(due, now+l.Admit(now, "k", true).RetryAfter)
	}
	for n, at := range due {
		// No tracker grants tokens in this test, so allow for its part of the rate.
		at = now + time.Duration(float64(at-now)/constants.SplitFraction)
		if !l.Admit(at, "k", true).OK {
			t.Errorf("client %d retried at the time given to it and was refused", n)
		}
	}
}

// While a key's tracker does not answer, the retry time counts down to the moment at which
// the standby rate takes effect. It must not be the same at every moment.
func TestRetryAfterCountsDownToStandby(t *testing.T) {
	const proxies = 400 // the split share is too small, so the key is tracker-only
	var retries []time.Duration
	for _, silent := range []time.Duration{100 * time.Millisecond, 900 * time.Millisecond} {
		l, now := newExhaustedLimiter(proxies, 1, Quota{proxies, proxies})
		now += silent
		l.MarkUnanswered(now, "k")
		retries = append(retries, l.Admit(now, "k", true).RetryAfter)
		if want := constants.StandbyDelay - silent; retries[len(retries)-1] < want/2 {
			t.Errorf("no answer for %v: retry after %v, but the standby rate takes effect in %v", silent, retries[len(retries)-1], want)
		}
	}
	if retries[0] <= retries[1] {
		t.Errorf("retry after %v early in the silence and after %v late in it", retries[0], retries[1])
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
