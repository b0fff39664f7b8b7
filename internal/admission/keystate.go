package admission

import (
	"time"

	"slateridge/internal/constants"
)

// bucket is a token bucket; its balance may be below zero.
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

// set changes rate and depth; what is already there stays, within the depth,
// and nothing is added.
func (b *bucket) set(now time.Duration, rate, depth float64) {
	b.fill(now)
	b.rate, b.depth = rate, depth
	b.tokens = min(b.tokens, depth)
}

// Count is what admission has seen of one key.
type Count struct {
	Admitted, Refused    uint64
	FromSplit, FromGrant uint64
	ShadowRefused        uint64 // would have been refused under a limit not yet in force
	FalseRefused         uint64 // refused while the key's whole quota, at this proxy alone, had room
	Returned, Debited    uint64
}

// keyState is one throttle key at one proxy.
type keyState struct {
	quota                    Quota
	split                    bucket // the share by live count
	grant                    bucket // leased from the tracker
	grantExpires             time.Duration
	grantRequestedAt         time.Duration // the question that brought it
	oneOffTokens             float64       // granted for waiting requests, short-lived
	oneOffExpires            time.Duration
	peakRate                 bucket // second in the chain: bounds the rate of a burst
	wholeQuota               bucket // the entire quota against this proxy's traffic alone: an audit, decides nothing
	shadow                   *shadow
	initialFillFrom          time.Duration // fill the split bucket from here, once
	lentFraction             float64       // part of the split share, 0 to 1, lent to the tracker
	loanReportedAt           time.Duration // when the last report of it was sent
	loanExpires              time.Duration // by then the tracker has stopped using it
	reportedIncarnation      uint64        // the tracker's incarnation it was last reported to
	reportedProxies          int           // the live count of that report
	ackedProxies             int           // the live count that the tracker's newest answer to a report counts with
	noTokensUntil            time.Duration
	unansweredAt             time.Duration // a question brought no answer
	lastRetryAt              time.Duration // when the refused client that was told last is to come again
	arrivals                 float64       // since the last period
	demand                   float64       // requests a second, running mean
	lastAdmitted             time.Duration // a request was let through, other than by tokens of the tracker by
	trackerTokensIncarnation uint64        // incarnation of the tracker that last gave tokens
	trackerTokensUsedAt      time.Duration // a request was let through by them
	shard                    int           // of trackers
	onStandby                bool          // no contact with the tracker: the grant bucket holds the standby
	trackerOnly              bool          // carried by its tracker: the split share is lent whole, each request asks
	releaseDeadline          time.Duration // carried, though the share could serve again: it does not before this unless the tracker agrees; 0 is no
	modeChangedAt            time.Duration // carried, or not, since then: answers to earlier questions lease nothing
	standbyRate              float64       // standby rate that the tracker has granted, until grantExpires
	standbyUsed              float64       // tokens of standby used since lastAdmitted
	count                    Count
}

// Quota is a key's limit; Rate 0 is none.
type Quota struct{ Rate, Burst float64 }

type shadow struct {
	quota  Quota
	bucket bucket
}

// SplitFloor is the least a split share may hold: one request, as long as such
// floors of all proxies stay inside the quota's slack.
func SplitFloor(proxies int, slack float64) float64 {
	if float64(proxies)*constants.SplitFloor <= slack*constants.SlackUsed {
		return constants.SplitFloor
	}
	return 0
}

// ShareTooSmall says whether a key's split share is too small to serve requests with. It
// is lent whole and not used where it is, and the key is carried by its tracker:
// each request asks, and standby is there for when nobody answers.
func ShareTooSmall(proxies int, slack float64, q Quota) bool {
	return proxies > 0 && SplitFloor(proxies, slack) == 0 && constants.SplitPart*q.Burst/float64(proxies) < constants.TinyShare
}

// updateMode decides whether the tracker carries a key. A share that becomes too
// small is given up at once. One that has grown again is taken back only when the
// tracker agrees to it, since it may have promised the share to others, or when
// everything that it can have promised has ended.
func (l *Limiter) updateMode(ks *keyState, now time.Duration) {
	tiny := ShareTooSmall(l.proxies, l.slack, ks.quota)
	switch {
	case tiny && !ks.trackerOnly:
		ks.trackerOnly, ks.releaseDeadline, ks.modeChangedAt = true, 0, now
		ks.standbyRate, ks.grantExpires = 0, 0
		ks.grant = bucket{filledAt: now, tokens: l.rng.Float64(), depth: 1}
	case tiny:
		ks.releaseDeadline = 0
	case ks.trackerOnly && ks.releaseDeadline == 0:
		ks.releaseDeadline = now + constants.LendLong + constants.GrantLong
	}
}

// reclaimShare ends a key's time with its tracker: the split share serves again.
func (l *Limiter) reclaimShare(ks *keyState, now time.Duration) {
	ks.trackerOnly, ks.releaseDeadline, ks.lentFraction, ks.modeChangedAt = false, 0, 0, now
	ks.standbyRate, ks.grantExpires = 0, 0
	ks.grant.set(now, 0, 0)
	l.resizeBuckets(ks, now)
}

func (l *Limiter) resizeBuckets(ks *keyState, now time.Duration) {
	q := ks.quota
	l.updateMode(ks, now)
	if l.proxies == 0 {
		ks.split.set(now, 0, 0)
	} else {
		n := float64(l.proxies)
		rate, depth := constants.SplitPart*q.Rate/n, constants.SplitPart*q.Burst/n
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
	ks.peakRate.set(now, constants.FastBucketRate*q.Rate, max(1, q.Rate*constants.FastBucketTime.Seconds()))
	ks.wholeQuota.set(now, q.Rate, max(1, q.Burst))
	if !ks.trackerOnly {
		// A lowered limit cuts what was leased under the old one at once.
		ks.grant.set(now, min(ks.grant.rate, max(0, q.Rate-ks.split.rate)), min(ks.grant.depth, max(0, q.Burst-ks.split.depth)))
	}
}

func (l *Limiter) refresh(ks *keyState, now time.Duration) {
	if ks.trackerOnly && ks.releaseDeadline > 0 && now >= max(ks.releaseDeadline, ks.loanExpires+constants.GrantLong) {
		l.reclaimShare(ks, now)
	}
	if now-l.controlHeardAt > constants.SplitHold {
		ks.split.set(now, 0, 0) // others may share it by now
	} else if ks.lentFraction > 0 && now >= ks.loanExpires {
		ks.lentFraction = 0 // no report has renewed the loan: it is over
		l.resizeBuckets(ks, now)
	}
	ks.split.fill(now)
	if ks.trackerOnly {
		l.resizeStandby(ks, now)
	} else if now >= ks.grantExpires {
		ks.grant.set(now, 0, 0)
	}
	ks.grant.fill(now)
	if owed := -ks.split.tokens; owed > 0 && ks.grant.tokens > 0 && ks.onStandby && ks.trackerOnly {
		paid := min(owed, ks.grant.tokens) // a share that does not fill cannot pay
		ks.grant.tokens -= paid
		ks.split.tokens += paid
	}
	if now >= ks.oneOffExpires {
		ks.oneOffTokens = 0
	}
	ks.peakRate.fill(now)
	ks.wholeQuota.fill(now)
}

// heldRate is the rate that the tracker has granted and this proxy may use: its standby
// for a key that the tracker carries, its lease for any other.
func (ks *keyState) heldRate(now time.Duration) float64 {
	switch {
	case !ks.trackerOnly:
		return ks.grant.rate
	case now < ks.grantExpires:
		return ks.standbyRate
	}
	return 0
}

// lastAdmittedAt is when a request was last let through, as far as the tracker of an
// incarnation does not know it from what it gave.
func (ks *keyState) lastAdmittedAt(life uint64) time.Duration {
	if ks.trackerTokensIncarnation != life {
		return max(ks.lastAdmitted, ks.trackerTokensUsedAt)
	}
	return ks.lastAdmitted
}
