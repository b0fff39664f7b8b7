// Package admission limits the rate of requests by throttle key. Every proxy keeps token
// buckets per key. They fill from two sources whose sums over all proxies never exceed the
// key's quota: a share of the rate, split by the live proxy count, and grants from the key's
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

// Limiter performs admission at one proxy. Its mutex guards all fields and the state of all
// keys. It starts no goroutines and has no clock of its own.
type Limiter struct {
	mu                sync.Mutex
	keys              map[string]*keyState
	proxies           int // live count; 0 while unknown
	slack             float64
	rng               *rand.Rand
	shards            int
	trackerDown       map[int]bool          // by shard: its tracker is known not to run
	trackerAnsweredAt map[int]time.Duration // by shard: last answer of its tracker
	periodStart       time.Duration
	loansReportAt     map[int]time.Duration // by shard: when to report shares lent whole again, all in one message
	awaitingQuotas    bool                  // no quotas received since the process started
	countReceivedAt   time.Duration         // when the control plane last sent a live count
	incarnation       uint64                // distinguishes this process's requests from those of an earlier one
	countIncrease     countChange           // last increase of the live count, while earlier loans are valid
}

// countChange is an earlier live proxy count that valid loans may still be based on.
type countChange struct {
	from int
	ends time.Duration
}

// New returns a limiter without keys. slack is the quota's absolute slack, shards the number
// of tracker shards; seed is this process's incarnation and seeds its random numbers.
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

// SetProxies sets the live proxy count. It must be called each time the control plane sends
// the count, even if unchanged: the split shares expire if no count arrives for SplitTimeout.
func (l *Limiter) SetProxies(now time.Duration, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sharesExpired := now-l.countReceivedAt > constants.SplitTimeout
	l.countReceivedAt = now
	if n == l.proxies && !sharesExpired {
		return
	}
	if n > l.proxies {
		// A loan reported under the smaller count exceeds the share under the larger one.
		if now >= l.countIncrease.ends {
			l.countIncrease.from = l.proxies
		}
		l.countIncrease.ends = now + constants.LongLoanDuration
	}
	l.proxies = n
	clear(l.loansReportAt)
	for _, ks := range l.keys {
		l.resizeBuckets(ks, now)
	}
}

// SetQuotas puts quotas in force. Keys that are not in the map become unlimited.
func (l *Limiter) SetQuotas(now time.Duration, quotas map[string]Quota) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.keys {
		if q, ok := quotas[k]; !ok || q.Rate <= 0 {
			delete(l.keys, k)
		}
	}
	for k, q := range quotas {
		if q.Rate <= 0 {
			continue
		}
		ks := l.keys[k]
		if ks == nil {
			// All buckets start empty, so that a restart does not renew a burst.
			// With the first quotas they fill from the start of the process: the
			// previous incarnation had ended by then and admits no more requests.
			ks = &keyState{shard: Shard(k, l.shards)}
			ks.split.filledAt, ks.grant.filledAt, ks.peakRate.filledAt, ks.wholeQuota.filledAt = now, now, now, now
			ks.lastAdmitted = now
			if l.awaitingQuotas {
				ks.initialFillFrom = -constants.MinRestartTime
				ks.peakRate.filledAt, ks.lastAdmitted = ks.initialFillFrom, ks.initialFillFrom
			}
			l.keys[k] = ks
		} else if ks.quota == q {
			ks.shadow = nil
			continue
		}
		if q.Rate < ks.quota.Rate {
			// Scale granted rates down with the quota, so that leases granted under
			// the old quota do not add up to more than the new one.
			factor := q.Rate / ks.quota.Rate
			ks.grant.set(now, ks.grant.rate*factor, ks.grant.depth*factor)
			ks.standbyRate *= factor
		}
		ks.quota, ks.shadow = q, nil
		l.resizeBuckets(ks, now)
	}
	if len(quotas) > 0 {
		l.awaitingQuotas = false
	}
}

// SetShadowQuotas starts counting the requests that upcoming quotas would refuse, without
// refusing any.
func (l *Limiter) SetShadowQuotas(now time.Duration, quotas map[string]Quota) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, q := range quotas {
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

// Report is the state of one key for operators.
type Report struct {
	Key         string
	Rate, Burst float64
	Demand      float64
	SplitRate   float64
	GrantRate   float64
	Balance     float64
	Count
}

// Reports returns the state of all keys, sorted by key.
func (l *Limiter) Reports(now time.Duration) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []Report
	for k, ks := range l.keys {
		l.refresh(ks, now)
		balance := ks.split.tokens + ks.grant.tokens + ks.oneOffTokens
		reports = append(reports, Report{k, ks.quota.Rate, ks.quota.Burst, ks.demand, ks.split.rate, ks.grant.rate, math.Round(balance*100) / 100, ks.count})
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Key < reports[j].Key })
	return reports
}

// Proxies returns the live proxy count in use.
func (l *Limiter) Proxies() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proxies
}

// SettledProxies returns the live count that the control plane may assume this proxy uses.
// After an increase this is the smaller count until the trackers have recorded every loan
// as reduced to the share under the larger count.
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

// Incarnation identifies this process. Trackers use it to distinguish its requests from
// those of an earlier process of the same proxy.
func (l *Limiter) Incarnation() uint64 { return l.incarnation }
