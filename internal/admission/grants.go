package admission

import (
	"time"

	"slateridge/internal/constants"
)

// KeyGrant is a tracker's answer for one key.
type KeyGrant struct {
	Key         string
	Rate, Depth float64       // leased rate and burst
	Tokens      float64       // one-off tokens for a waiting request
	Life        uint64        // incarnation of the tracker that grants the tokens
	Keep        bool          // no new lease; what was granted before, by an earlier tracker too, is valid until it expires
	Long        bool          // the lease lasts for LongGrantDuration instead of GrantDuration
	Dry         time.Duration // no tokens will be available before this time has passed
	Lent        bool          // the loan was reported, and Loan is the rate that the tracker recorded
	Loan        float64       // requests a second
	Released    bool          // a share that was lent whole is returned
}

// ApplyGrant applies a tracker's answer to a request that was sent at asked. All
// lifetimes are measured from then, which is before the tracker computed the answer.
func (l *Limiter) ApplyGrant(now, asked time.Duration, grant KeyGrant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ks := l.keys[grant.Key]
	if ks == nil {
		return
	}
	l.refresh(ks, now)
	if expires := asked + grantLength(grant.Long); !grant.Keep && grant.Long == ks.trackerOnly && asked >= ks.modeChangedAt && expires > now && expires > ks.grantExpires {
		ks.grantExpires, ks.grantRequestedAt = expires, asked
		if grant.Long {
			ks.standbyRate = min(grant.Rate, ks.quota.Rate)
			l.resizeStandby(ks, now)
		} else {
			// The lease may have been granted under a higher quota, so cap it to what
			// the quota leaves beside the split share.
			ks.grant.set(now, min(grant.Rate, max(0, ks.quota.Rate-ks.split.rate)), min(grant.Depth, max(0, ks.quota.Burst-ks.split.depth)))
		}
	}
	if grant.Lent && asked == ks.loanReportedAt && l.proxies > 0 {
		l.applyLoan(ks, now, asked, grant)
	}
	if expires := asked + constants.OneOffLifetime; grant.Tokens > 0 && expires > now {
		if debt := max(0, -ks.split.tokens); ks.trackerOnly && debt > 0 {
			paid := min(debt, max(0, grant.Tokens-1))
			ks.split.tokens += paid
			grant.Tokens -= paid
		}
		if grant.Life != ks.trackerTokensIncarnation {
			ks.lastAdmitted, ks.trackerTokensIncarnation = ks.lastAdmittedAt(grant.Life), grant.Life
		}
		ks.oneOffTokens += grant.Tokens
		ks.oneOffExpires = expires
	}
	if grant.Dry > 0 {
		ks.noTokensUntil = now + grant.Dry
	}
}

// applyLoan applies a tracker's answer to a report of the share that is lent. The tracker
// may keep more than was reported while others hold leases of that part.
func (l *Limiter) applyLoan(ks *keyState, now, asked time.Duration, grant KeyGrant) {
	ks.ackedProxies = ks.reportedProxies
	if ks.trackerOnly {
		if grant.Released && ks.releaseDeadline > 0 {
			l.reclaimShare(ks, now)
		} else if grant.Keep {
			ks.lentFraction = 0 // the tracker has not recorded it yet: report it again next time
		}
		return
	}
	fraction := min(1, grant.Loan*float64(l.proxies)/(constants.SplitFraction*ks.quota.Rate))
	if fraction == ks.lentFraction {
		return
	}
	if fraction > ks.lentFraction {
		ks.loanExpires = max(ks.loanExpires, asked+constants.LoanDuration)
	}
	ks.lentFraction = max(0, fraction)
	l.resizeBuckets(ks, now)
}

// MarkUnanswered records that a key's tracker did not answer, so that the next requests
// do not wait for it.
func (l *Limiter) MarkUnanswered(now time.Duration, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ks := l.keys[key]; ks != nil {
		ks.noTokensUntil = now + constants.GrantInterval
		if ks.trackerOnly {
			ks.noTokensUntil = now + constants.TokenRetryDelay // the tracker is the only source of tokens
			ks.unansweredAt = now
		}
	}
}
