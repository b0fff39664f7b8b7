package admission

import (
	"testing"
	"time"

	"slateridge/internal/constants"
)

// newExhaustedLimiter is a limiter whose only key has no tokens, at a moment.
func newExhaustedLimiter(proxies, shards int, quota Quota) (l *Limiter, now time.Duration) {
	l = New(20, shards, 1)
	l.SetProxies(0, proxies)
	l.SetQuotas(0, map[string]Quota{"k": quota})
	now = constants.StandbyAfter / 2
	l.MarkTrackerAnswered(now, 0)
	for l.Admit(now, "k", true).OK {
	}
	return l, now
}

// Refused clients are told to come when a token is due for each of them: those of a key
// with twice the rate half as late, and no two at the same time.
func TestRefusedComeWhenTokensAreDue(t *testing.T) {
	const clients = 20
	var lasts []time.Duration
	for _, rate := range []float64{10, 20} {
		l, now := newExhaustedLimiter(1, 1, Quota{rate, 1})
		before := time.Duration(0)
		for n := range clients {
			retry := l.Admit(now, "k", true).RetryAfter
			if retry <= before {
				t.Errorf("rate %v: client %d is told %v, the one before it %v", rate, n, retry, before)
			}
			before = retry
		}
		lasts = append(lasts, before)
		if due := seconds(clients / rate); before < due/2 || before > 2*due {
			t.Errorf("rate %v: the last of %d clients is told %v, its token is due in about %v", rate, clients, before, due)
		}
	}
	if lasts[0] < lasts[1]*3/2 {
		t.Errorf("told %v and %v at half and all of the rate", lasts[0], lasts[1])
	}
}

// Clients that come when they were told find tokens.
func TestToldClientsAreAdmitted(t *testing.T) {
	l, now := newExhaustedLimiter(1, 1, Quota{20, 5})
	var due []time.Duration
	for range 10 {
		due = append(due, now+l.Admit(now, "k", true).RetryAfter)
	}
	for n, at := range due {
		// Trackers' part of the rate doesn't come here: allow for it.
		at = now + time.Duration(float64(at-now)/constants.SplitPart)
		if !l.Admit(at, "k", true).OK {
			t.Errorf("client %d came when it was told and was refused", n)
		}
	}
}

// While a key's tracker is lost its clients are told when the standby will serve them,
// which comes nearer, and not one figure at every moment.
func TestLostTrackerIsToldByWhatIsDue(t *testing.T) {
	const proxies = 400 // the share serves nobody: the key is carried
	var told []time.Duration
	for _, silent := range []time.Duration{100 * time.Millisecond, 900 * time.Millisecond} {
		l, now := newExhaustedLimiter(proxies, 1, Quota{proxies, proxies})
		now += silent
		l.MarkUnanswered(now, "k")
		told = append(told, l.Admit(now, "k", true).RetryAfter)
		if want := constants.StandbyAfter - silent; told[len(told)-1] < want/2 {
			t.Errorf("silent for %v: told %v, the standby serves in %v", silent, told[len(told)-1], want)
		}
	}
	if told[0] <= told[1] {
		t.Errorf("told %v early in the silence and %v late in it", told[0], told[1])
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
