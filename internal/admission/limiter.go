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

// Limiter is a proxy's admission. Its mutex guards all fields and the state of all keys; it
// starts no goroutines and has no clock of its own.
type Limiter struct {
	mu             sync.Mutex
	keys           map[string]*keyState
	proxies        int // live count; 0 while unknown
	slack          float64
	rng            *rand.Rand
	shards         int
	trackerDown    map[int]bool          // by shard, its tracker does not run
	trackerHeardAt map[int]time.Duration // by shard, when its tracker last answered
	periodStart    time.Duration
	loansReportAt  map[int]time.Duration // by shard, when shares lent whole are to be reported again, all in one message
	awaitingQuotas bool                  // no quotas have come since the process started
	controlHeardAt time.Duration         // when control last sent a count
	incarnation    uint64                // distinguishes this process's requests from those of an earlier one
	countIncrease  countChange           // the count before the last ones, while loans of that time stand
}

// countChange is a live proxy count that loans still reckon with.
type countChange struct {
	from int
	ends time.Duration
}

// New makes a limiter without keys. slack is the quota's absolute slack, shards the number
// of trackers; seed is this process's incarnation and seeds its random numbers.
func New(slack float64, shards int, seed uint64) *Limiter {
	return &Limiter{
		incarnation:    seed,
		rng:            rand.New(rand.NewPCG(seed, 1)),
		shards:         shards,
		keys:           map[string]*keyState{},
		loansReportAt:  map[int]time.Duration{},
		slack:          slack,
		awaitingQuotas: true,
	}
}

// SetProxies takes the live proxy count, as often as control sends it: when none
// has come for too long, the split shares end.
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
		if now >= l.countIncrease.ends {
			l.countIncrease.from = l.proxies
		}
		l.countIncrease.ends = now + constants.LendLong
	}
	l.proxies = n
	clear(l.loansReportAt)
	for _, ks := range l.keys {
		l.resizeBuckets(ks, now)
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
		ks := l.keys[k]
		if ks == nil {
			// All buckets start empty: a restart must not renew a burst. Those
			// of the first limits fill from the start of the process, since the
			// incarnation before had ended by then and spends no more.
			ks = &keyState{shard: Shard(k, l.shards)}
			ks.split.filledAt, ks.grant.filledAt, ks.peakRate.filledAt, ks.wholeQuota.filledAt = now, now, now, now
			ks.lastAdmitted = now
			if l.awaitingQuotas {
				ks.initialFillFrom = -constants.RestartTime
				ks.peakRate.filledAt, ks.lastAdmitted = ks.initialFillFrom, ks.initialFillFrom
			}
			l.keys[k] = ks
		} else if ks.quota == q {
			ks.shadow = nil
			continue
		}
		if q.Rate < ks.quota.Rate {
			// What is leased shrinks with the limit, so that leases granted under the
			// old one do not add up beyond the new.
			part := q.Rate / ks.quota.Rate
			ks.grant.set(now, ks.grant.rate*part, ks.grant.depth*part)
			ks.standbyRate *= part
		}
		ks.quota, ks.shadow = q, nil
		l.resizeBuckets(ks, now)
	}
	if len(qs) > 0 {
		l.awaitingQuotas = false
	}
}

// SetShadowQuotas begins counting what coming limits would refuse, without refusing.
func (l *Limiter) SetShadowQuotas(now time.Duration, qs map[string]Quota) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, q := range qs {
		ks := l.keys[k]
		if ks == nil || q == ks.quota || q.Rate <= 0 || l.proxies == 0 {
			continue
		}
		n := float64(l.proxies)
		s := &shadow{quota: q}
		s.bucket.filledAt = now
		s.bucket.set(now, q.Rate/n, max(1, q.Burst/n))
		s.bucket.tokens = min(s.bucket.depth, max(0, ks.split.tokens+ks.grant.tokens))
		ks.shadow = s
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
	for k, ks := range l.keys {
		l.refresh(ks, now)
		bal := ks.split.tokens + ks.grant.tokens + ks.oneOffTokens
		out = append(out, Report{k, ks.quota.Rate, ks.quota.Burst, ks.demand, ks.split.rate, ks.grant.rate, math.Round(bal*100) / 100, ks.count})
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

// SettledProxies is the live count that control may take as the one this proxy reckons
// with: after a rise, the smaller one until the trackers know of every loan what it
// is under the larger.
func (l *Limiter) SettledProxies(now time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now >= l.countIncrease.ends {
		return l.proxies
	}
	for _, ks := range l.keys {
		if ks.lentFraction > 0 && now < ks.loanExpires && ks.ackedProxies < l.proxies {
			return min(l.countIncrease.from, l.proxies)
		}
	}
	l.countIncrease.ends = now
	return l.proxies
}

// Incarnation is the incarnation of this process, by which a tracker distinguishes its requests
// from those of an earlier one.
func (l *Limiter) Incarnation() uint64 { return l.incarnation }
