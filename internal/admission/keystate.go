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
	quota        Quota
	split        bucket // the share by live count
	grant        bucket // leased from the tracker
	grantEnds    time.Duration
	grantAsked   time.Duration // the question that brought it
	oneOff       float64       // granted for waiting requests, short-lived
	oneOffEnds   time.Duration
	fast         bucket // second in the chain: bounds the rate of a burst
	wholeQuota   bucket // the entire quota against this proxy's traffic alone: an audit, decides nothing
	shadow       *shadow
	fillFrom     time.Duration // fill the split bucket from here, once
	lent         float64       // part of the split share, 0 to 1, lent to the tracker
	lentAsked    time.Duration // the last question that told of it
	lentEnds     time.Duration // by then the tracker has stopped using it
	lentTo       uint64        // the tracker's life it was last told to
	toldCount    int           // the live count it was last told by
	loanCount    int           // the live count that the tracker's newest answer to such a word reckons with
	dryUntil     time.Duration
	unansweredAt time.Duration // a question brought no answer
	arrived      float64       // since the last period
	demand       float64       // requests a second, running mean
	lastAdmitted time.Duration // a request was let through, other than by tokens of the tracker by
	tokensFrom   uint64        // life of the tracker that last gave tokens
	tokensUsedAt time.Duration // a request was let through by them
	shard        int           // of trackers
	onStandby    bool          // the tracker is not heard: the grant bucket holds the standby
	carried      bool          // carried by its tracker: the split share is lent whole, each request asks
	releaseBy    time.Duration // carried, though the share could serve again: it does not before this unless the tracker agrees; 0 is no
	since        time.Duration // carried, or not, since then: answers to earlier questions lease nothing
	standby      float64       // standby rate the tracker told, until grantEnds
	standbyUsed  float64       // tokens of standby used since lastAdmitted
	count        Count
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

// Tiny says whether a key's split share is too small to serve requests with. It
// is lent whole and not used where it is, and the key is carried by its tracker:
// each request asks, and standby is there for when nobody answers.
func Tiny(proxies int, slack float64, q Quota) bool {
	return proxies > 0 && SplitFloor(proxies, slack) == 0 && constants.SplitPart*q.Burst/float64(proxies) < constants.TinyShare
}

// updateMode decides whether the tracker carries a key. A share that becomes too
// small is given up at once. One that has grown again is taken back only when the
// tracker agrees to it, since it may have promised the share to others, or when
// everything that it can have promised has ended.
func (l *Limiter) updateMode(b *keyState, now time.Duration) {
	tiny := Tiny(l.proxies, l.slack, b.quota)
	switch {
	case tiny && !b.carried:
		b.carried, b.releaseBy, b.since = true, 0, now
		b.standby, b.grantEnds = 0, 0
		b.grant = bucket{filledAt: now, tokens: l.rng.Float64(), depth: 1}
	case tiny:
		b.releaseBy = 0
	case b.carried && b.releaseBy == 0:
		b.releaseBy = now + constants.LendLong + constants.GrantLong
	}
}

// takeShareBack ends a key's time with its tracker: the split share serves again.
func (l *Limiter) takeShareBack(b *keyState, now time.Duration) {
	b.carried, b.releaseBy, b.lent, b.since = false, 0, 0, now
	b.standby, b.grantEnds = 0, 0
	b.grant.set(now, 0, 0)
	l.shape(b, now)
}

func (l *Limiter) shape(b *keyState, now time.Duration) {
	q := b.quota
	l.updateMode(b, now)
	if l.proxies == 0 {
		b.split.set(now, 0, 0)
	} else {
		n := float64(l.proxies)
		rate, depth := constants.SplitPart*q.Rate/n, constants.SplitPart*q.Burst/n
		if b.fillFrom != 0 {
			b.split.filledAt, b.fillFrom = b.fillFrom, 0
			b.split.rate, b.split.depth = rate, depth
		}
		if b.carried {
			b.split.set(now, 0, 0)
		} else {
			b.split.set(now, rate*(1-b.lent), max(depth*(1-b.lent), SplitFloor(l.proxies, l.slack)))
		}
	}
	b.fast.set(now, constants.FastBucketRate*q.Rate, max(1, q.Rate*constants.FastBucketTime.Seconds()))
	b.wholeQuota.set(now, q.Rate, max(1, q.Burst))
	if !b.carried {
		// A lowered limit cuts what was leased under the old one at once.
		b.grant.set(now, min(b.grant.rate, max(0, q.Rate-b.split.rate)), min(b.grant.depth, max(0, q.Burst-b.split.depth)))
	}
}

func (l *Limiter) refresh(b *keyState, now time.Duration) {
	if b.carried && b.releaseBy > 0 && now >= max(b.releaseBy, b.lentEnds+constants.GrantLong) {
		l.takeShareBack(b, now)
	}
	if now-l.controlHeardAt > constants.SplitHold {
		b.split.set(now, 0, 0) // others may share it by now
	} else if b.lent > 0 && now >= b.lentEnds {
		b.lent = 0 // the tracker has not been told again: the loan is over
		l.shape(b, now)
	}
	b.split.fill(now)
	if b.carried {
		l.shapeStandby(b, now)
	} else if now >= b.grantEnds {
		b.grant.set(now, 0, 0)
	}
	b.grant.fill(now)
	if owed := -b.split.tokens; owed > 0 && b.grant.tokens > 0 && b.onStandby && b.carried {
		paid := min(owed, b.grant.tokens) // a share that does not fill cannot pay
		b.grant.tokens -= paid
		b.split.tokens += paid
	}
	if now >= b.oneOffEnds {
		b.oneOff = 0
	}
	b.fast.fill(now)
	b.wholeQuota.fill(now)
}

// held is the rate that the tracker has told and this proxy may use: its standby
// for a key that the tracker carries, its lease for any other.
func (b *keyState) held(now time.Duration) float64 {
	switch {
	case !b.carried:
		return b.grant.rate
	case now < b.grantEnds:
		return b.standby
	}
	return 0
}

// spentAt is when a request was last let through, as far as the tracker of a life
// does not know it from what it gave.
func (b *keyState) spentAt(life uint64) time.Duration {
	if b.tokensFrom != life {
		return max(b.lastAdmitted, b.tokensUsedAt)
	}
	return b.lastAdmitted
}
