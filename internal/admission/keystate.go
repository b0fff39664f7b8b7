package admission

import (
	"time"

	"slateridge/internal/constants"
)

// bucket is a token bucket. Its balance may be negative.
type bucket struct {
	rate, depth, tokens float64
	filledAt            time.Duration
}

func (b *bucket) fill(now time.Duration) {
	if now > b.filledAt {
		b.tokens = min(b.depth, b.tokens+b.rate*(now-b.filledAt).Seconds())
		b.filledAt = now
	}
	b.tokens = min(b.tokens, b.depth)
}

// set changes rate and depth. It keeps the balance, capped to the new depth, and adds no
// tokens.
func (b *bucket) set(now time.Duration, rate, depth float64) {
	b.fill(now)
	b.rate, b.depth = rate, depth
	b.tokens = min(b.tokens, depth)
}

// Count holds the admission counters of one key.
type Count struct {
	Admitted, Refused    uint64
	FromSplit, FromGrant uint64
	ShadowRefused        uint64 // would have been refused under a quota that is not in force yet
	FalseRefused         uint64 // refused although the whole quota, against this proxy's traffic alone, had room
	Returned, Debited    uint64
}

// keyState is the state of one throttle key at one proxy.
//
// A key is tracker-only if its split share is too small to serve requests: the whole share
// is lent to the tracker, every request asks the tracker for a token, and a standby rate
// serves requests while the tracker is out of contact.
type keyState struct {
	quota                    Quota
	split                    bucket // share of the quota by live proxy count
	grant                    bucket // leased from the tracker; for a tracker-only key the standby
	grantExpires             time.Duration
	grantRequestedAt         time.Duration // send time of the request that was answered with the grant
	oneOffTokens             float64       // granted for waiting requests, short-lived
	oneOffExpires            time.Duration
	peakRate                 bucket // checked in addition to the others; bounds the rate of a burst
	wholeQuota               bucket // audit only: the entire quota against this proxy's traffic alone
	shadow                   *shadow
	initialFillFrom          time.Duration // if not 0, fill the split bucket once from this time
	lentFraction             float64       // fraction of the split share that is lent to the tracker, 0 to 1
	loanReportedAt           time.Duration // when the last report of the loan was sent
	loanExpires              time.Duration // the tracker stops using the loan by this time
	reportedIncarnation      uint64        // incarnation of the tracker that received the last report
	reportedProxies          int           // live count at the time of that report
	ackedProxies             int           // live count of the report that the tracker answered last
	noTokensUntil            time.Duration
	unansweredAt             time.Duration // when a request to the tracker last stayed without an answer
	lastRetryAt              time.Duration // retry time given to the most recently refused client
	arrivals                 float64       // since the last demand period
	demand                   float64       // moving average in requests a second
	lastAdmitted             time.Duration // last admission, except with tokens of the tracker in trackerTokensIncarnation
	trackerTokensIncarnation uint64        // incarnation of the tracker that last granted one-off tokens
	trackerTokensUsedAt      time.Duration // last admission that the grant bucket did not cover completely
	shard                    int           // of the key's tracker
	onStandby                bool          // out of contact with the tracker: the standby rate may be used
	trackerOnly              bool          // the split share is lent whole and each request asks the tracker
	releaseDeadline          time.Duration // tracker-only although the share is large enough: reclaimed at this time or earlier if the tracker agrees; 0 if not pending
	modeChangedAt            time.Duration // last change of trackerOnly; answers to earlier requests grant no lease
	standbyRate              float64       // standby rate granted by the tracker, valid until grantExpires
	standbyUsed              float64       // standby tokens used since lastAdmitted
	count                    Count
}

// Quota is the rate limit of a key. Rate 0 means no limit.
type Quota struct{ Rate, Burst float64 }

type shadow struct {
	quota  Quota
	bucket bucket
}

// SplitFloor returns the minimum burst of a split share: one request, provided that the
// floors of all proxies together fit in the quota's slack.
func SplitFloor(proxies int, slack float64) float64 {
	if float64(proxies)*constants.SplitFloor <= slack*constants.SplitFloorSlackFraction {
		return constants.SplitFloor
	}
	return 0
}

// ShareTooSmall reports whether a key's split share is too small to serve requests. Such a
// key is tracker-only: its share is lent whole, every request asks the tracker, and the
// standby rate serves requests while the tracker does not answer.
func ShareTooSmall(proxies int, slack float64, q Quota) bool {
	return proxies > 0 && SplitFloor(proxies, slack) == 0 && constants.SplitFraction*q.Burst/float64(proxies) < constants.MinShareBurst
}

// updateMode decides whether a key is tracker-only. A share that becomes too small is given
// up at once. A share that has grown again is reclaimed only with the tracker's consent,
// since the tracker may have promised it to other proxies, or after everything that it can
// have promised has expired.
func (l *Limiter) updateMode(ks *keyState, now time.Duration) {
	tooSmall := ShareTooSmall(l.proxies, l.slack, ks.quota)
	switch {
	case tooSmall && !ks.trackerOnly:
		ks.trackerOnly, ks.releaseDeadline, ks.modeChangedAt = true, 0, now
		ks.standbyRate, ks.grantExpires = 0, 0
		ks.grant = bucket{filledAt: now, tokens: l.rng.Float64(), depth: 1}
	case tooSmall:
		ks.releaseDeadline = 0
	case ks.trackerOnly && ks.releaseDeadline == 0:
		ks.releaseDeadline = now + constants.LongLoanDuration + constants.LongGrantDuration
	}
}

// reclaimShare ends the tracker-only mode of a key: the split share serves requests again.
func (l *Limiter) reclaimShare(ks *keyState, now time.Duration) {
	ks.trackerOnly, ks.releaseDeadline, ks.lentFraction, ks.modeChangedAt = false, 0, 0, now
	ks.standbyRate, ks.grantExpires = 0, 0
	ks.grant.set(now, 0, 0)
	l.resizeBuckets(ks, now)
}

// resizeBuckets sets the buckets of a key according to its quota, the live proxy count and
// the loan.
func (l *Limiter) resizeBuckets(ks *keyState, now time.Duration) {
	q := ks.quota
	l.updateMode(ks, now)
	if l.proxies == 0 {
		ks.split.set(now, 0, 0)
	} else {
		n := float64(l.proxies)
		rate, depth := constants.SplitFraction*q.Rate/n, constants.SplitFraction*q.Burst/n
		if ks.initialFillFrom != 0 {
			ks.split.filledAt, ks.initialFillFrom = ks.initialFillFrom, 0
			ks.split.rate, ks.split.depth = rate, depth
		}
		if ks.trackerOnly {
			ks.split.set(now, 0, 0)
		} else {
			ks.split.set(now, rate*(1-ks.lentFraction), max(depth*(1-ks.lentFraction), SplitFloor(l.proxies, l.slack)))
		}
	}
	ks.peakRate.set(now, constants.PeakRateFactor*q.Rate, max(1, q.Rate*constants.PeakBurstTime.Seconds()))
	ks.wholeQuota.set(now, q.Rate, max(1, q.Burst))
	if !ks.trackerOnly {
		// A lowered quota reduces at once what was leased under the previous one.
		ks.grant.set(now, min(ks.grant.rate, max(0, q.Rate-ks.split.rate)), min(ks.grant.depth, max(0, q.Burst-ks.split.depth)))
	}
}

// refresh expires the key's share, loan and grants as of now and fills its buckets.
func (l *Limiter) refresh(ks *keyState, now time.Duration) {
	if ks.trackerOnly && ks.releaseDeadline > 0 && now >= max(ks.releaseDeadline, ks.loanExpires+constants.LongGrantDuration) {
		l.reclaimShare(ks, now)
	}
	if now-l.countReceivedAt > constants.SplitTimeout {
		ks.split.set(now, 0, 0) // the control plane may have given the share to other proxies
	} else if ks.lentFraction > 0 && now >= ks.loanExpires {
		ks.lentFraction = 0 // the loan has expired because no report renewed it
		l.resizeBuckets(ks, now)
	}
	ks.split.fill(now)
	if ks.trackerOnly {
		l.resizeStandby(ks, now)
	} else if now >= ks.grantExpires {
		ks.grant.set(now, 0, 0)
	}
	ks.grant.fill(now)
	if debt := -ks.split.tokens; debt > 0 && ks.grant.tokens > 0 && ks.onStandby && ks.trackerOnly {
		paid := min(debt, ks.grant.tokens) // the split bucket does not fill, so the standby pays its debt
		ks.grant.tokens -= paid
		ks.split.tokens += paid
	}
	if now >= ks.oneOffExpires {
		ks.oneOffTokens = 0
	}
	ks.peakRate.fill(now)
	ks.wholeQuota.fill(now)
}

// heldRate returns the rate that the tracker has granted and the proxy may use: the
// standby rate of a tracker-only key, otherwise the leased rate.
func (ks *keyState) heldRate(now time.Duration) float64 {
	switch {
	case !ks.trackerOnly:
		return ks.grant.rate
	case now < ks.grantExpires:
		return ks.standbyRate
	}
	return 0
}

// lastAdmittedAt returns when a request was last admitted, not counting admissions with
// tokens that the tracker of the given incarnation granted and therefore accounts for.
func (ks *keyState) lastAdmittedAt(incarnation uint64) time.Duration {
	if ks.trackerTokensIncarnation != incarnation {
		return max(ks.lastAdmitted, ks.trackerTokensUsedAt)
	}
	return ks.lastAdmitted
}
