package admission

import (
	"time"

	"slateridge/internal/constants"
)

// Given is a tracker's answer for one key.
type Given struct {
	Key         string
	Rate, Depth float64       // the lease
	Tokens      float64       // at once
	Life        uint64        // of the tracker that gives them
	Keep        bool          // nothing is given yet; what an earlier tracker gave stands to its end
	Long        bool          // the lease lasts for the longer time
	Dry         time.Duration // no use asking again before
	Lent        bool          // what was lent is known to be Loan
	Loan        float64       // rate
	Released    bool          // a share lent whole is given back
}

// Take applies an answer to a question asked at a time; all of it is reckoned
// from then, which is before the tracker reckoned.
func (l *Limiter) Take(now, asked time.Duration, g Given) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.keys[g.Key]
	if b == nil {
		return
	}
	l.refresh(b, now)
	if ends := asked + grantLength(g.Long); !g.Keep && g.Long == b.carried && asked >= b.since && ends > now && ends > b.grantEnds {
		b.grantEnds, b.grantAsked = ends, asked
		if g.Long {
			b.standby = min(g.Rate, b.quota.Rate)
			l.shapeStandby(b, now)
		} else {
			// Never more than the limit leaves beside the split share: the lease may
			// have been given under a higher one.
			b.grant.set(now, min(g.Rate, max(0, b.quota.Rate-b.split.rate)), min(g.Depth, max(0, b.quota.Burst-b.split.depth)))
		}
	}
	if g.Lent && asked == b.lentAsked && l.proxies > 0 {
		l.takeLoan(b, now, asked, g)
	}
	if ends := asked + constants.OneOffLife; g.Tokens > 0 && ends > now {
		if owed := max(0, -b.split.tokens); b.carried && owed > 0 {
			paid := min(owed, max(0, g.Tokens-1))
			b.split.tokens += paid
			g.Tokens -= paid
		}
		if g.Life != b.tokensFrom {
			b.lastAdmitted, b.tokensFrom = b.spentAt(g.Life), g.Life
		}
		b.oneOff += g.Tokens
		b.oneOffEnds = ends
	}
	if g.Dry > 0 {
		b.dryUntil = now + g.Dry
	}
}

// takeLoan takes what a tracker says of the share that it was told is lent. It may
// keep more of it than it was told, while others hold leases of that part.
func (l *Limiter) takeLoan(b *keyState, now, asked time.Duration, g Given) {
	b.loanCount = b.toldCount
	if b.carried {
		if g.Released && b.releaseBy > 0 {
			l.takeShareBack(b, now)
		} else if g.Keep {
			b.lent = 0 // not noted there yet: told again with the next word
		}
		return
	}
	part := min(1, g.Loan*float64(l.proxies)/(constants.SplitPart*b.quota.Rate))
	if part == b.lent {
		return
	}
	if part > b.lent {
		b.lentEnds = max(b.lentEnds, asked+constants.LendLength)
	}
	b.lent = max(0, part)
	l.shape(b, now)
}

// Unanswered notes that a key's tracker did not answer: the next requests do
// not wait for it.
func (l *Limiter) Unanswered(now time.Duration, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.keys[key]; b != nil {
		b.dryUntil = now + constants.GrantEvery
		if b.carried {
			b.dryUntil = now + constants.AskRetryPause // there is nobody else to ask
			b.unansweredAt = now
		}
	}
}
