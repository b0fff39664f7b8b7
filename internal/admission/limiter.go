// Package admission limits the rate of requests by throttle key. Every proxy keeps token
// buckets per key, filled from two sources whose sums over all proxies never pass the key's
// quota: a share of the rate split by the live proxy count, and grants from the key's
// tracker.
package admission

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"
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
	lastOK       time.Duration // a request was let through, other than by tokens of the tracker by
	tokensFrom   uint64        // life of the tracker that last gave tokens
	tokensUsedAt time.Duration // a request was let through by them
	shard        int           // of trackers
	onStandby    bool          // the tracker is not heard: the grant bucket holds the standby
	carried      bool          // carried by its tracker: the split share is lent whole, each request asks
	releaseBy    time.Duration // carried, though the share could serve again: it does not before this unless the tracker agrees; 0 is no
	since        time.Duration // carried, or not, since then: answers to earlier questions lease nothing
	standby      float64       // standby rate the tracker told, until grantEnds
	stood        float64       // tokens of standby used since lastOK
	count        Count
}

// Quota is a key's limit; Rate 0 is none.
type Quota struct{ Rate, Burst float64 }

type shadow struct {
	quota  Quota
	bucket bucket
}

// Limiter is a proxy's admission.
type Limiter struct {
	mu             sync.Mutex
	keys           map[string]*keyState
	proxies        int // live count; 0 while unknown
	slack          float64
	rng            *rand.Rand
	shards         int
	trackerDown    map[int]bool          // by shard, its tracker does not run
	trackerHeardAt map[int]time.Duration // by shard, when its tracker last answered
	period         time.Duration
	reportAt       map[int]time.Duration // by shard, when shares lent whole are to be told of again, all in one word
	noLimitsYet    bool                  // no limits yet in this life
	controlHeardAt time.Duration         // when control last spoke
	life           uint64                // tells this process's questions from those of an earlier one
	settles        countChange           // the count before the last ones, while loans of that time stand
}

// countChange is a live proxy count that loans still reckon with.
type countChange struct {
	from  int
	until time.Duration
}

// New makes the stage; slack is the quota's absolute slack.
func New(slack float64, shards int, seed uint64) *Limiter {
	return &Limiter{life: seed, rng: rand.New(rand.NewPCG(seed, 1)), shards: shards, keys: map[string]*keyState{}, reportAt: map[int]time.Duration{}, slack: slack, noLimitsYet: true}
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

// SetProxies takes the live proxy count, as often as control speaks: when it
// has not for too long, the split shares end.
func (l *Limiter) SetProxies(now time.Duration, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	back := now-l.controlHeardAt > constants.SplitHold
	l.controlHeardAt = now
	if n == l.proxies && !back {
		return
	}
	if n > l.proxies {
		// What was lent under the smaller count was more of a share than is ours now.
		if now >= l.settles.until {
			l.settles.from = l.proxies
		}
		l.settles.until = now + constants.LendLong
	}
	l.proxies = n
	clear(l.reportAt)
	for _, b := range l.keys {
		l.shape(b, now)
	}
}

// SetQuotas puts limits in force; keys not named have none left.
func (l *Limiter) SetQuotas(now time.Duration, qs map[string]Quota) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.keys {
		if q, ok := qs[k]; !ok || q.Rate <= 0 {
			delete(l.keys, k)
		}
	}
	for k, q := range qs {
		if q.Rate <= 0 {
			continue
		}
		b := l.keys[k]
		if b == nil {
			// All buckets start empty: a restart must not renew a burst. Those
			// of the first limits of this life fill from its birth, since the
			// life before had ended by then and spends no more.
			b = &keyState{shard: Shard(k, l.shards)}
			b.split.filledAt, b.grant.filledAt, b.fast.filledAt, b.wholeQuota.filledAt = now, now, now, now
			b.lastOK = now
			if l.noLimitsYet {
				b.fillFrom = -constants.RestartTime
				b.fast.filledAt, b.lastOK = b.fillFrom, b.fillFrom
			}
			l.keys[k] = b
		} else if b.quota == q {
			b.shadow = nil
			continue
		}
		if q.Rate < b.quota.Rate {
			// What is leased shrinks with the limit, so that leases told under the
			// old one do not add up beyond the new.
			part := q.Rate / b.quota.Rate
			b.grant.set(now, b.grant.rate*part, b.grant.depth*part)
			b.standby *= part
		}
		b.quota, b.shadow = q, nil
		l.shape(b, now)
	}
	if len(qs) > 0 {
		l.noLimitsYet = false
	}
}

// Evaluate begins counting what coming limits would refuse, without refusing.
func (l *Limiter) Evaluate(now time.Duration, qs map[string]Quota) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, q := range qs {
		b := l.keys[k]
		if b == nil || q == b.quota || q.Rate <= 0 || l.proxies == 0 {
			continue
		}
		n := float64(l.proxies)
		s := &shadow{quota: q}
		s.bucket.filledAt = now
		s.bucket.set(now, q.Rate/n, max(1, q.Burst/n))
		s.bucket.tokens = min(s.bucket.depth, max(0, b.split.tokens+b.grant.tokens))
		b.shadow = s
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

// tokenEpsilon is a part of a token that counts as nothing.
const tokenEpsilon = 1e-6

// Verdict is what admission says of a request.
type Verdict struct {
	OK    bool
	Ask   bool          // the tracker may have tokens: ask, then Admit again
	Retry time.Duration // when a token is due here
}

// Admit takes a token for a request, or refuses it. The first try counts the
// arrival; a request that waited for its tracker is tried again with again set.
func (l *Limiter) Admit(now time.Duration, key string, again bool) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.keys[key]
	if b == nil {
		return Verdict{OK: true}
	}
	l.refresh(b, now)
	room := b.wholeQuota.tokens >= 1
	if !again {
		b.arrived++
		if room {
			b.wholeQuota.tokens--
		}
		if s := b.shadow; s != nil {
			if s.bucket.fill(now); s.bucket.tokens >= 1 {
				s.bucket.tokens--
			} else {
				b.count.ShadowRefused++
			}
		}
	}
	grant := &b.grant.tokens
	if b.carried && !b.onStandby {
		grant = new(float64) // standby rests
	}
	have := b.split.tokens + *grant + b.oneOff
	if b.fast.tokens >= 1 && have >= 1-1e-9 {
		b.fast.tokens--
		need, before := 1.0, *grant
		use := func(from *float64) {
			if t := min(need, max(0, *from)); t > 0 {
				*from -= t
				need -= t
			}
		}
		if use(&b.oneOff); need > 0 {
			use(grant)
		}
		if need < 1 {
			b.count.FromGrant++
		} else {
			b.count.FromSplit++
		}
		b.split.tokens -= need
		b.count.Admitted++
		fromGrant := before - *grant
		switch {
		case b.carried && need < tokenEpsilon && fromGrant > 0:
			b.stood += fromGrant
		case need > 0 || fromGrant > 0:
			b.lastOK, b.stood = now, 0
		}
		if fromGrant < 1-tokenEpsilon {
			b.tokensUsedAt = now
		}
		return Verdict{OK: true}
	}
	v := Verdict{Retry: time.Second}
	if rate := b.split.rate + b.grant.rate; rate > 0 {
		v.Retry = time.Duration(min(60, (1-have)/rate) * float64(time.Second))
	}
	// The tracker's word on when it has tokens again, or, out of touch, the hope
	// that another proxy is better off.
	if due := b.dryUntil - now; due < v.Retry {
		v.Retry = max(due, constants.RetrySoon)
	}
	if b.unansweredAt > 0 && now-b.unansweredAt < constants.RetryLost {
		v.Retry = constants.RetryLost // another proxy finds no tracker either; it takes its time to come back
	}
	// One question to the tracker costs less than a wrong refusal, unless it
	// has just said that there is nothing.
	if !again && now >= b.dryUntil && b.fast.tokens >= 1 {
		v.Ask = true
		return v
	}
	b.count.Refused++
	if room {
		b.count.FalseRefused++
	}
	return v
}

// Settle debits the true cost of an admitted request once it is over.
func (l *Limiter) Settle(now time.Duration, key string, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.keys[key]
	if b == nil || runs == 1 {
		return
	}
	l.refresh(b, now)
	// The true cost is known now: none gives the token back, a further run
	// costs one more, below zero if need be.
	if runs == 0 {
		b.split.tokens = min(b.split.depth, b.split.tokens+1)
		b.fast.tokens = min(b.fast.depth, b.fast.tokens+1)
		b.count.Returned++
	} else {
		b.split.tokens -= float64(runs - 1)
		b.count.Debited += uint64(runs - 1)
	}
}

// Want is what a proxy tells a key's tracker.
type Want struct {
	Key    string
	Demand float64       // requests a second beyond the split share
	Rate   float64       // leased or standby rate held now
	RateOf time.Duration // when the question was sent whose answer told of that rate
	Need   float64       // tokens wanted at once
	Lend   bool          // the next two count
	Lent   float64       // rate of the split share lent to the tracker
	Depth  float64       // and the burst with it
	Long   bool          // for the longer time, as a share is that serves nobody where it is
	Idle   time.Duration // since the proxy last let a request of the key through, or started; standby aside
	Stood  float64       // tokens of standby used since then
	// Release asks the tracker to give up a share that was lent whole.
	Release bool
}

// grantLength is how long a lease lasts.
func grantLength(long bool) time.Duration {
	if long {
		return constants.GrantLong
	}
	return constants.GrantLength
}

// lendLength is how long a loan lasts.
func lendLength(long bool) time.Duration {
	if long {
		return constants.LendLong
	}
	return constants.LendLength
}

// beyond is the rate to lease: of a hot key what the split share leaves open,
// of others nothing, since a leased rate that lies unused here is missed where
// the next requests come.
func (l *Limiter) beyond(b *keyState) float64 {
	if b.carried {
		return b.demand // for its standby
	}
	if b.demand < constants.HotRate {
		return 0
	}
	return max(0, b.demand*constants.GrantHeadroom-b.split.rate)
}

// Wants closes a demand period and lists what to tell the trackers: the rates to
// lease, and what of the split shares is lent. A share that is not used here
// serves whoever asks the tracker; it is lowered before the tracker hears of
// it, and raised only after the tracker has answered or the loan has run out.
// heard tells when the tracker's time that goes with a key's question reached this proxy:
// the loan ends by that time, so it ends even when nothing gets through any
// more. Without a time of the tracker's nothing is lent.
func (l *Limiter) Wants(now time.Duration, heard func(key string) (at time.Duration, life uint64, ok bool)) []Want {
	l.mu.Lock()
	defer l.mu.Unlock()
	span := (now - l.period).Seconds()
	if span <= 0 || l.proxies == 0 {
		return nil
	}
	l.period = now
	givenUp := now-l.controlHeardAt > constants.SplitHold // others may have the share by now
	told := map[int]bool{}
	var out []Want
	for k, b := range l.keys {
		l.refresh(b, now)
		b.demand += constants.DemandWeight * (b.arrived/span - b.demand)
		b.arrived = 0
		n := float64(l.proxies)
		rate, depth := constants.SplitPart*b.quota.Rate/n, constants.SplitPart*b.quota.Burst/n
		lend := 0.0
		long := b.carried
		returning := long && b.releaseBy > 0
		at, life, ok := heard(k)
		if ok && now < at+lendLength(long) && !givenUp {
			if lend = min(constants.LendMost, max(0, 1-b.demand*constants.LendKeep/rate)); long {
				lend = 1
			}
		}
		beyond := l.beyond(b)
		if long && !returning && math.Abs(lend-b.lent) < 1e-6 && life == b.lentTo && now < l.reportAt[b.shard] {
			continue // the tracker knows all there is to know
		}
		if now >= l.reportAt[b.shard] {
			told[b.shard] = true
		}
		if lend > 0 {
			b.lentEnds = max(b.lentEnds, at+lendLength(long))
			if lend > b.lent {
				b.lent = lend
				l.shape(b, now)
			}
		}
		b.lentTo = life
		b.lentAsked, b.toldCount = now, l.proxies
		out = append(out, Want{Key: k, Demand: beyond, Rate: b.held(now), RateOf: b.grantAsked, Lend: true, Lent: lend * rate, Depth: lend * depth, Long: long, Idle: now - b.spentAt(life), Stood: b.stood, Release: returning})
	}
	for shard := range told {
		l.reportAt[shard] = now + constants.LendLong/4 + time.Duration(l.rng.Int64N(int64(constants.LendLong/8)))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// ReportAgain notes that the tracker of a shard does not know what it was told, because
// the word was lost or because it tracks the shard anew: all is told again with the
// next word. A new tracker gives little until every proxy has told it what it
// holds, so one that is late holds all others up.
func (l *Limiter) ReportAgain(shard int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reportAt, shard)
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
		return max(b.lastOK, b.tokensUsedAt)
	}
	return b.lastOK
}

// Need is the question for a request that waits.
func (l *Limiter) Need(now time.Duration, key string) Want {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.keys[key]
	if b == nil {
		return Want{Key: key}
	}
	l.refresh(b, now)
	need := 1.0
	if b.carried {
		need += max(0, -b.split.tokens) // a share lent whole does not fill: what is owed has to be asked for too
	}
	return Want{Key: key, Demand: l.beyond(b), Rate: b.held(now), RateOf: b.grantAsked, Need: need, Long: b.carried}
}

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
			b.lastOK, b.tokensFrom = b.spentAt(g.Life), g.Life
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

// Report is one key's state for operators.
type Report struct {
	Key         string
	Rate, Burst float64
	Demand      float64
	SplitRate   float64
	GrantRate   float64
	Balance     float64
	Count
}

// Reports lists all keys.
func (l *Limiter) Reports(now time.Duration) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Report
	for k, b := range l.keys {
		l.refresh(b, now)
		bal := b.split.tokens + b.grant.tokens + b.oneOff
		out = append(out, Report{k, b.quota.Rate, b.quota.Burst, b.demand, b.split.rate, b.grant.rate, math.Round(bal*100) / 100, b.count})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Proxies is the live count in use.
func (l *Limiter) Proxies() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proxies
}

// Settled is the live count that control may take as the one this proxy reckons
// with: after a rise, the smaller one until the trackers know of every loan what it
// is under the larger.
func (l *Limiter) Settled(now time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now >= l.settles.until {
		return l.proxies
	}
	for _, b := range l.keys {
		if b.lent > 0 && now < b.lentEnds && b.loanCount < l.proxies {
			return min(l.settles.from, l.proxies)
		}
	}
	l.settles.until = now
	return l.proxies
}

// Life tells this process's questions to a tracker from those of an earlier one.
func (l *Limiter) Life() uint64 { return l.life }
