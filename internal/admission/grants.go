package admission

import (
	"time"

	"slateridge/internal/constants"
)

// KeyGrant is a tracker's answer for one key.
type KeyGrant struct {
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

// ApplyGrant applies an answer to a question asked at a time; all of it is reckoned
// from then, which is before the tracker reckoned.
func (l *Limiter) ApplyGrant(now, asked time.Duration, given KeyGrant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ks := l.keys[given.Key]
	if ks == nil {
		return
	}
	l.refresh(ks, now)
	if ends := asked + grantLength(given.Long); !given.Keep && given.Long == ks.trackerOnly && asked >= ks.modeChangedAt && ends > now && ends > ks.grantExpires {
		ks.grantExpires, ks.grantRequestedAt = ends, asked
		if given.Long {
			ks.standbyRate = min(given.Rate, ks.quota.Rate)
			l.resizeStandby(ks, now)
		} else {
			// Never more than the limit leaves beside the split share: the lease may
			// have been given under a higher one.
			ks.grant.set(now, min(given.Rate, max(0, ks.quota.Rate-ks.split.rate)), min(given.Depth, max(0, ks.quota.Burst-ks.split.depth)))
		}
	}
	if given.Lent && asked == ks.loanReportedAt && l.proxies > 0 {
		l.applyLoan(ks, now, asked, given)
	}
	if ends := asked + constants.OneOffLife; given.Tokens > 0 && ends > now {
		if owed := max(0, -ks.split.tokens); ks.trackerOnly && owed > 0 {
			paid := min(owed, max(0, given.Tokens-1))
			ks.split.tokens += paid
			given.Tokens -= paid
		}
		if given.Life != ks.trackerTokensIncarnation {
			ks.lastAdmitted, ks.trackerTokensIncarnation = ks.lastAdmittedAt(given.Life), given.Life
		}
		ks.oneOffTokens += given.Tokens
		ks.oneOffExpires = ends
	}
	if given.Dry > 0 {
		ks.noTokensUntil = now + given.Dry
	}
}

// applyLoan takes what a tracker answers about the share that was reported as lent. It may
// keep more of it than was reported, while others hold leases of that part.
func (l *Limiter) applyLoan(ks *keyState, now, asked time.Duration, given KeyGrant) {
	ks.ackedProxies = ks.reportedProxies
	if ks.trackerOnly {
		if given.Released && ks.releaseDeadline > 0 {
			l.reclaimShare(ks, now)
		} else if given.Keep {
			ks.lentFraction = 0 // not noted there yet: the next report has it again
		}
		return
	}
	part := min(1, given.Loan*float64(l.proxies)/(constants.SplitPart*ks.quota.Rate))
	if part == ks.lentFraction {
		return
	}
	if part > ks.lentFraction {
		ks.loanExpires = max(ks.loanExpires, asked+constants.LendLength)
	}
	ks.lentFraction = max(0, part)
	l.resizeBuckets(ks, now)
}

// MarkUnanswered notes that a key's tracker did not answer: the next requests do
// not wait for it.
func (l *Limiter) MarkUnanswered(now time.Duration, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ks := l.keys[key]; ks != nil {
		ks.noTokensUntil = now + constants.GrantEvery
		if ks.trackerOnly {
			ks.noTokensUntil = now + constants.AskRetryPause // there is nobody else to ask
			ks.unansweredAt = now
		}
	}
}
