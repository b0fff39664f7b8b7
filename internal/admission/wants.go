package admission

import (
	"math"
	"sort"
	"time"

	"slateridge/internal/constants"
)

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
		out = append(out, Want{Key: k, Demand: beyond, Rate: b.held(now), RateOf: b.grantAsked, Lend: true, Lent: lend * rate, Depth: lend * depth, Long: long, Idle: now - b.spentAt(life), Stood: b.standbyUsed, Release: returning})
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
