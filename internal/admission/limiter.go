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
			b.lastAdmitted = now
			if l.noLimitsYet {
				b.fillFrom = -constants.RestartTime
				b.fast.filledAt, b.lastAdmitted = b.fillFrom, b.fillFrom
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
