// Package weir decides how much may flow over; in the field's terms: admission
// control. Every proxy keeps token buckets per throttle key, filled from two
// sources whose sums over all proxies never pass the key's quota: a share of
// the rate split by the live proxy count, and grants from the key's tracker.
package weir

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"slateridge/internal/datum"
)

// bucket is a token bucket; its balance may be below zero.
type bucket struct {
	rate, depth, tokens float64
	at                  time.Duration
}

func (b *bucket) fill(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.depth, b.tokens+b.rate*(now-b.at).Seconds())
		b.at = now
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

// bay is one throttle key at one proxy.
type bay struct {
	quota      Quota
	split      bucket // the share by live count
	grant      bucket // leased from the tracker
	grantEnds  time.Duration
	grantAsked time.Duration // the question that brought it
	oneOff     float64       // granted for waiting requests, short-lived
	oneOffEnds time.Duration
	fast       bucket // second in the chain: bounds the rate of a burst
	whole      bucket // the entire quota against this proxy's traffic alone: an audit, decides nothing
	shadow     *shadow
	born       time.Duration // fill the split bucket from here, once
	lent       float64       // part of the split share, 0 to 1, lent to the tracker
	lentAsked  time.Duration // the last question that told of it
	lentEnds   time.Duration // by then the tracker has stopped using it
	lentTo     uint64        // the tracker's life it was last told to
	toldCount  int           // the live count it was last told by
	loanCount  int           // the live count that the tracker's newest answer to such a word reckons with
	dryUntil   time.Duration
	lostAt     time.Duration // a question brought no answer
	arrived    float64       // since the last period
	demand     float64       // requests a second, running mean
	lastOK     time.Duration // a request was let through, other than by tokens of the tracker by
	by         uint64        // life of the tracker that last gave tokens
	byAt       time.Duration // a request was let through by them
	shard      int           // of trackers
	standing   bool          // the tracker is not heard: the grant bucket holds the standby
	carried    bool          // carried by its tracker: the split share is lent whole, each request asks
	releaseBy  time.Duration // carried, though the share could serve again: it does not before this unless the tracker agrees; 0 is no
	since      time.Duration // carried, or not, since then: answers to earlier questions lease nothing
	standby    float64       // standby rate the tracker told, until grantEnds
	stood      float64       // tokens of standby used since lastOK
	count      Count
}

// Quota is a key's limit; Rate 0 is none.
type Quota struct{ Rate, Burst float64 }

type shadow struct {
	quota Quota
	b     bucket
}

// Weir is a proxy's admission.
type Weir struct {
	mu      sync.Mutex
	bays    map[string]*bay
	proxies int // live count; 0 while unknown
	slack   float64
	rng     *rand.Rand
	shards  int
	gone    map[int]bool          // by shard, its tracker does not run
	heard   map[int]time.Duration // by shard, when its tracker last answered
	period  time.Duration
	tell    map[int]time.Duration // by shard, when shares lent whole are to be told of again, all in one word
	fresh   bool                  // no limits yet in this life
	touch   time.Duration         // when control last spoke
	life    uint64                // tells this process's questions from those of an earlier one
	settles countChange           // the count before the last ones, while loans of that time stand
}

// countChange is a live proxy count that loans still reckon with.
type countChange struct {
	from  int
	until time.Duration
}

// New makes the stage; slack is the quota's absolute slack.
func New(slack float64, shards int, seed uint64) *Weir {
	return &Weir{life: seed, rng: rand.New(rand.NewPCG(seed, 1)), shards: shards, bays: map[string]*bay{}, tell: map[int]time.Duration{}, slack: slack, fresh: true}
}

// SplitFloor is the least a split share may hold: one request, as long as such
// floors of all proxies stay inside the quota's slack.
func SplitFloor(proxies int, slack float64) float64 {
	if float64(proxies)*datum.SplitFloor <= slack*datum.SlackUsed {
		return datum.SplitFloor
	}
	return 0
}

// Tiny says whether a key's split share is too small to serve requests with. It
// is lent whole and not used where it is, and the key is carried by its tracker:
// each request asks, and standby is there for when nobody answers.
func Tiny(proxies int, slack float64, q Quota) bool {
	return proxies > 0 && SplitFloor(proxies, slack) == 0 && datum.SplitPart*q.Burst/float64(proxies) < datum.TinyShare
}

// updateMode decides whether the tracker carries a key. A share that becomes too
// small is given up at once. One that has grown again is taken back only when the
// tracker agrees to it, since it may have promised the share to others, or when
// everything that it can have promised has ended.
func (w *Weir) updateMode(b *bay, now time.Duration) {
	tiny := Tiny(w.proxies, w.slack, b.quota)
	switch {
	case tiny && !b.carried:
		b.carried, b.releaseBy, b.since = true, 0, now
		b.standby, b.grantEnds = 0, 0
		b.grant = bucket{at: now, tokens: w.rng.Float64(), depth: 1}
	case tiny:
		b.releaseBy = 0
	case b.carried && b.releaseBy == 0:
		b.releaseBy = now + datum.LendLong + datum.GrantLong
	}
}

// takeShareBack ends a key's time with its tracker: the split share serves again.
func (w *Weir) takeShareBack(b *bay, now time.Duration) {
	b.carried, b.releaseBy, b.lent, b.since = false, 0, 0, now
	b.standby, b.grantEnds = 0, 0
	b.grant.set(now, 0, 0)
	w.shape(b, now)
}

func (w *Weir) shape(b *bay, now time.Duration) {
	q := b.quota
	w.updateMode(b, now)
	if w.proxies == 0 {
		b.split.set(now, 0, 0)
	} else {
		n := float64(w.proxies)
		rate, depth := datum.SplitPart*q.Rate/n, datum.SplitPart*q.Burst/n
		if b.born != 0 {
			b.split.at, b.born = b.born, 0
			b.split.rate, b.split.depth = rate, depth
		}
		if b.carried {
			b.split.set(now, 0, 0)
		} else {
			b.split.set(now, rate*(1-b.lent), max(depth*(1-b.lent), SplitFloor(w.proxies, w.slack)))
		}
	}
	b.fast.set(now, datum.FastBucketRate*q.Rate, max(1, q.Rate*datum.FastBucketTime.Seconds()))
	b.whole.set(now, q.Rate, max(1, q.Burst))
	if !b.carried {
		// A lowered limit cuts what was leased under the old one at once.
		b.grant.set(now, min(b.grant.rate, max(0, q.Rate-b.split.rate)), min(b.grant.depth, max(0, q.Burst-b.split.depth)))
	}
}

// SetProxies takes the live proxy count, as often as control speaks: when it
// has not for too long, the split shares end.
func (w *Weir) SetProxies(now time.Duration, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	back := now-w.touch > datum.SplitHold
	w.touch = now
	if n == w.proxies && !back {
		return
	}
	if n > w.proxies {
		// What was lent under the smaller count was more of a share than is ours now.
		if now >= w.settles.until {
			w.settles.from = w.proxies
		}
		w.settles.until = now + datum.LendLong
	}
	w.proxies = n
	clear(w.tell)
	for _, b := range w.bays {
		w.shape(b, now)
	}
}

// SetQuotas puts limits in force; keys not named have none left.
func (w *Weir) SetQuotas(now time.Duration, qs map[string]Quota) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.bays {
		if q, ok := qs[k]; !ok || q.Rate <= 0 {
			delete(w.bays, k)
		}
	}
	for k, q := range qs {
		if q.Rate <= 0 {
			continue
		}
		b := w.bays[k]
		if b == nil {
			// All buckets start empty: a restart must not renew a burst. Those
			// of the first limits of this life fill from its birth, since the
			// life before had ended by then and spends no more.
			b = &bay{shard: Shard(k, w.shards)}
			b.split.at, b.grant.at, b.fast.at, b.whole.at = now, now, now, now
			b.lastOK = now
			if w.fresh {
				b.born = -datum.RestartTime
				b.fast.at, b.lastOK = b.born, b.born
			}
			w.bays[k] = b
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
		w.shape(b, now)
	}
	if len(qs) > 0 {
		w.fresh = false
	}
}

// Evaluate begins counting what coming limits would refuse, without refusing.
func (w *Weir) Evaluate(now time.Duration, qs map[string]Quota) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, q := range qs {
		b := w.bays[k]
		if b == nil || q == b.quota || q.Rate <= 0 || w.proxies == 0 {
			continue
		}
		n := float64(w.proxies)
		s := &shadow{quota: q}
		s.b.at = now
		s.b.set(now, q.Rate/n, max(1, q.Burst/n))
		s.b.tokens = min(s.b.depth, max(0, b.split.tokens+b.grant.tokens))
		b.shadow = s
	}
}

func (w *Weir) refresh(b *bay, now time.Duration) {
	if b.carried && b.releaseBy > 0 && now >= max(b.releaseBy, b.lentEnds+datum.GrantLong) {
		w.takeShareBack(b, now)
	}
	if now-w.touch > datum.SplitHold {
		b.split.set(now, 0, 0) // others may share it by now
	} else if b.lent > 0 && now >= b.lentEnds {
		b.lent = 0 // the tracker has not been told again: the loan is over
		w.shape(b, now)
	}
	b.split.fill(now)
	if b.carried {
		w.shapeStandby(b, now)
	} else if now >= b.grantEnds {
		b.grant.set(now, 0, 0)
	}
	b.grant.fill(now)
	if owed := -b.split.tokens; owed > 0 && b.grant.tokens > 0 && b.standing && b.carried {
		paid := min(owed, b.grant.tokens) // a share that does not fill cannot pay
		b.grant.tokens -= paid
		b.split.tokens += paid
	}
	if now >= b.oneOffEnds {
		b.oneOff = 0
	}
	b.fast.fill(now)
	b.whole.fill(now)
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
func (w *Weir) Admit(now time.Duration, key string, again bool) Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.bays[key]
	if b == nil {
		return Verdict{OK: true}
	}
	w.refresh(b, now)
	room := b.whole.tokens >= 1
	if !again {
		b.arrived++
		if room {
			b.whole.tokens--
		}
		if s := b.shadow; s != nil {
			if s.b.fill(now); s.b.tokens >= 1 {
				s.b.tokens--
			} else {
				b.count.ShadowRefused++
			}
		}
	}
	grant := &b.grant.tokens
	if b.carried && !b.standing {
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
			b.byAt = now
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
		v.Retry = max(due, datum.RetrySoon)
	}
	if b.lostAt > 0 && now-b.lostAt < datum.RetryLost {
		v.Retry = datum.RetryLost // another proxy finds no tracker either; it takes its time to come back
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
func (w *Weir) Settle(now time.Duration, key string, runs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.bays[key]
	if b == nil || runs == 1 {
		return
	}
	w.refresh(b, now)
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
		return datum.GrantLong
	}
	return datum.GrantLength
}

// lendLength is how long a loan lasts.
func lendLength(long bool) time.Duration {
	if long {
		return datum.LendLong
	}
	return datum.LendLength
}

// beyond is the rate to lease: of a hot key what the split share leaves open,
// of others nothing, since a leased rate that lies unused here is missed where
// the next requests come.
func (w *Weir) beyond(b *bay) float64 {
	if b.carried {
		return b.demand // for its standby
	}
	if b.demand < datum.HotRate {
		return 0
	}
	return max(0, b.demand*datum.GrantHeadroom-b.split.rate)
}

// Wants closes a demand period and lists what to tell the trackers: the rates to
// lease, and what of the split shares is lent. A share that is not used here
// serves whoever asks the tracker; it is lowered before the tracker hears of
// it, and raised only after the tracker has answered or the loan has run out.
// heard tells when the stamp that goes with a key's question reached this proxy:
// the loan ends by that stamp, so it ends even when nothing gets through any
// more. Without a stamp nothing is lent.
func (w *Weir) Wants(now time.Duration, heard func(key string) (at time.Duration, life uint64, ok bool)) []Want {
	w.mu.Lock()
	defer w.mu.Unlock()
	span := (now - w.period).Seconds()
	if span <= 0 || w.proxies == 0 {
		return nil
	}
	w.period = now
	givenUp := now-w.touch > datum.SplitHold // others may have the share by now
	told := map[int]bool{}
	var out []Want
	for k, b := range w.bays {
		w.refresh(b, now)
		b.demand += datum.DemandWeight * (b.arrived/span - b.demand)
		b.arrived = 0
		n := float64(w.proxies)
		rate, depth := datum.SplitPart*b.quota.Rate/n, datum.SplitPart*b.quota.Burst/n
		lend := 0.0
		long := b.carried
		returning := long && b.releaseBy > 0
		at, life, ok := heard(k)
		if ok && now < at+lendLength(long) && !givenUp {
			if lend = min(datum.LendMost, max(0, 1-b.demand*datum.LendKeep/rate)); long {
				lend = 1
			}
		}
		beyond := w.beyond(b)
		if long && !returning && math.Abs(lend-b.lent) < 1e-6 && life == b.lentTo && now < w.tell[b.shard] {
			continue // the tracker knows all there is to know
		}
		if now >= w.tell[b.shard] {
			told[b.shard] = true
		}
		if lend > 0 {
			b.lentEnds = max(b.lentEnds, at+lendLength(long))
			if lend > b.lent {
				b.lent = lend
				w.shape(b, now)
			}
		}
		b.lentTo = life
		b.lentAsked, b.toldCount = now, w.proxies
		out = append(out, Want{Key: k, Demand: beyond, Rate: b.held(now), RateOf: b.grantAsked, Lend: true, Lent: lend * rate, Depth: lend * depth, Long: long, Idle: now - b.spentAt(life), Stood: b.stood, Release: returning})
	}
	for shard := range told {
		w.tell[shard] = now + datum.LendLong/4 + time.Duration(w.rng.Int64N(int64(datum.LendLong/8)))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Untold notes that the tracker of a shard does not know what it was told, because
// the word was lost or because it tracks the shard anew: all is told again with the
// next word. A new tracker gives little until every proxy has told it what it
// holds, so one that is late holds all others up.
func (w *Weir) Untold(shard int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tell, shard)
}

// held is the rate that the tracker has told and this proxy may use: its standby
// for a key that the tracker carries, its lease for any other.
func (b *bay) held(now time.Duration) float64 {
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
func (b *bay) spentAt(life uint64) time.Duration {
	if b.by != life {
		return max(b.lastOK, b.byAt)
	}
	return b.lastOK
}

// Need is the question for a request that waits.
func (w *Weir) Need(now time.Duration, key string) Want {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.bays[key]
	if b == nil {
		return Want{Key: key}
	}
	w.refresh(b, now)
	need := 1.0
	if b.carried {
		need += max(0, -b.split.tokens) // a share lent whole does not fill: what is owed has to be asked for too
	}
	return Want{Key: key, Demand: w.beyond(b), Rate: b.held(now), RateOf: b.grantAsked, Need: need, Long: b.carried}
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
func (w *Weir) Take(now, asked time.Duration, g Given) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.bays[g.Key]
	if b == nil {
		return
	}
	w.refresh(b, now)
	if ends := asked + grantLength(g.Long); !g.Keep && g.Long == b.carried && asked >= b.since && ends > now && ends > b.grantEnds {
		b.grantEnds, b.grantAsked = ends, asked
		if g.Long {
			b.standby = min(g.Rate, b.quota.Rate)
			w.shapeStandby(b, now)
		} else {
			// Never more than the limit leaves beside the split share: the lease may
			// have been given under a higher one.
			b.grant.set(now, min(g.Rate, max(0, b.quota.Rate-b.split.rate)), min(g.Depth, max(0, b.quota.Burst-b.split.depth)))
		}
	}
	if g.Lent && asked == b.lentAsked && w.proxies > 0 {
		w.takeLoan(b, now, asked, g)
	}
	if ends := asked + datum.OneOffLife; g.Tokens > 0 && ends > now {
		if owed := max(0, -b.split.tokens); b.carried && owed > 0 {
			paid := min(owed, max(0, g.Tokens-1))
			b.split.tokens += paid
			g.Tokens -= paid
		}
		if g.Life != b.by {
			b.lastOK, b.by = b.spentAt(g.Life), g.Life
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
func (w *Weir) takeLoan(b *bay, now, asked time.Duration, g Given) {
	b.loanCount = b.toldCount
	if b.carried {
		if g.Released && b.releaseBy > 0 {
			w.takeShareBack(b, now)
		} else if g.Keep {
			b.lent = 0 // not noted there yet: told again with the next word
		}
		return
	}
	if g.Keep {
		return // a tracker that has just begun; what an earlier one leased of the loan may be in use
	}
	part := min(1, g.Loan*float64(w.proxies)/(datum.SplitPart*b.quota.Rate))
	if part == b.lent {
		return
	}
	if part > b.lent {
		b.lentEnds = max(b.lentEnds, asked+datum.LendLength)
	}
	b.lent = max(0, part)
	w.shape(b, now)
}

// Unanswered notes that a key's tracker did not answer: the next requests do
// not wait for it.
func (w *Weir) Unanswered(now time.Duration, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.bays[key]; b != nil {
		b.dryUntil = now + datum.GrantEvery
		if b.carried {
			b.dryUntil = now + datum.AskAgain // there is nobody else to ask
			b.lostAt = now
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
func (w *Weir) Reports(now time.Duration) []Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Report
	for k, b := range w.bays {
		w.refresh(b, now)
		bal := b.split.tokens + b.grant.tokens + b.oneOff
		out = append(out, Report{k, b.quota.Rate, b.quota.Burst, b.demand, b.split.rate, b.grant.rate, math.Round(bal*100) / 100, b.count})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Proxies is the live count in use.
func (w *Weir) Proxies() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.proxies
}

// Settled is the live count that control may take as the one this proxy reckons
// with: after a rise, the smaller one until the trackers know of every loan what it
// is under the larger.
func (w *Weir) Settled(now time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now >= w.settles.until {
		return w.proxies
	}
	for _, b := range w.bays {
		if b.lent > 0 && now < b.lentEnds && b.loanCount < w.proxies {
			return min(w.settles.from, w.proxies)
		}
	}
	w.settles.until = now
	return w.proxies
}

// Life tells this process's questions to a tracker from those of an earlier one.
func (w *Weir) Life() uint64 { return w.life }
