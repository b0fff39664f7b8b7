package admission

import (
	"sync"
	"time"

	"slateridge/internal/constants"
)

// Tracker grants tokens, leases and standby rates for the keys of its shards. Its mutex
// guards all fields and all pools. It starts no goroutines and has no clock of its own.
type Tracker struct {
	incarnation                  uint64
	contacts                     map[string]contact // by proxy
	outOfContact                 map[string]bool    // proxies that may receive nothing from this tracker, as of contactScan
	contactScan                  uint64             // number of the last change of outOfContact
	nextScanAt                   time.Duration
	trackerOnly                  map[string]bool          // by key: whether it was tracker-only at the last request
	modeChangedAt                map[string]time.Duration // by key: last change of trackerOnly
	shareTooSmall                func(proxies int, q Quota) bool
	proxyCount                   int // largest live count that proxies in contact use
	mu                           sync.Mutex
	pools                        map[string]*pool
	quotas                       map[string]Quota
	quotaSince                   map[string]time.Duration // by key: when its quota last changed
	shards                       int
	shardSince                   map[int]time.Duration
	takeovers                    uint64 // shards taken over in this incarnation
	Requests, Granted, Exhausted uint64
}

// NewTracker returns a tracker without quotas. id distinguishes this incarnation from all
// other trackers and from its earlier processes. tooSmall reports whether a key's split
// share is too small to serve requests; such keys are tracker-only.
func NewTracker(id uint64, shards int, tooSmall func(proxies int, q Quota) bool) *Tracker {
	return &Tracker{
		shareTooSmall: tooSmall,
		contacts:      map[string]contact{},
		outOfContact:  map[string]bool{},
		trackerOnly:   map[string]bool{},
		modeChangedAt: map[string]time.Duration{},
		incarnation:   id,
		shards:        shards,
		shardSince:    map[int]time.Duration{},
		pools:         map[string]*pool{},
		quotas:        map[string]Quota{},
		quotaSince:    map[string]time.Duration{},
	}
}

// SetQuotas sets the quotas in force.
func (t *Tracker) SetQuotas(now time.Duration, quotas map[string]Quota) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, q := range quotas {
		if t.quotas[k] != q {
			t.quotaSince[k] = now
		}
	}
	t.quotas = quotas
	for k, p := range t.pools {
		q, ok := quotas[k]
		if !ok || q.Rate <= 0 {
			delete(t.pools, k)
			continue
		}
		p.quota = q
		p.resize(now, t)
	}
}

// HandleRequest answers a proxy. since returns when this machine began to track a shard
// without interruption. After a takeover the pools start empty, and nothing is granted
// until the grants of an earlier tracker have expired.
func (t *Tracker) HandleRequest(now time.Duration, request GrantRequest, since func(shard int) (time.Duration, bool)) Grants {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := Grants{Stamp: TrackerTime{t.incarnation, now, t.takeovers}}
	if len(t.quotas) == 0 {
		// The process has just started and has no configuration yet, so it cannot
		// act as a tracker.
		answer.Refused = true
		return answer
	}
	late := t.recordContact(now, request)
	answer.Retell = late
	for _, want := range request.Wants {
		shard := Shard(want.Key, t.shards)
		takenOverAt, ok := since(shard)
		if !ok {
			answer.Refused = true
			continue
		}
		if t.shardSince[shard] != takenOverAt {
			t.shardSince[shard] = takenOverAt
			t.takeovers++
			for k := range t.pools {
				if Shard(k, t.shards) == shard {
					delete(t.pools, k)
				}
			}
		}
		q, limited := t.quotas[want.Key]
		limited = limited && q.Rate > 0
		delay := t.takeoverDelay(now, want, q, limited)
		if now-takenOverAt < delay {
			answer.Given = append(answer.Given, KeyGrant{Key: want.Key, Keep: true, Dry: delay - (now - takenOverAt), Lent: want.Lend})
			continue
		}
		if limited {
			p := t.poolFor(want.Key, q, takenOverAt, max(takenOverAt+delay, t.quotaSince[want.Key]), now)
			answer.Given = append(answer.Given, t.handleKeyRequest(now, p, request, want, late))
		}
	}
	answer.Stamp.Begun = t.takeovers // this request may have started the tracking of further shards
	return answer
}

// takeoverDelay returns how long a tracker grants nothing after a takeover, because grants
// of an earlier tracker may still be in use: one-off tokens and, unless the key has been
// tracker-only for long enough, leases.
func (t *Tracker) takeoverDelay(now time.Duration, want KeyRequest, q Quota, limited bool) time.Duration {
	trackerOnly := limited && t.shareTooSmall(t.proxyCount, q)
	if old, ok := t.trackerOnly[want.Key]; ok && old != trackerOnly {
		t.modeChangedAt[want.Key] = now
	}
	t.trackerOnly[want.Key] = trackerOnly
	changed, ok := t.modeChangedAt[want.Key]
	if trackerOnly && want.Long && (!ok || now-changed >= constants.GrantDuration) {
		return constants.OneOffLifetime
	}
	return constants.GrantDuration
}

// handleKeyRequest processes a proxy's request for one key. If a newer report of the proxy
// has already arrived, only the requested tokens are considered.
func (t *Tracker) handleKeyRequest(now time.Duration, p *pool, request GrantRequest, want KeyRequest, late bool) KeyGrant {
	if late {
		want.Lend, want.Release = false, false
	}
	if !want.Lend {
		return t.grantRate(now, p, request, want)
	}
	p.recordReport(now, request, want)
	if want.Long {
		delete(p.leases, request.Proxy) // its lease ended when it gave up its split share
	} else {
		p.removeStandby(t, request.Proxy)
	}
	if want.Release && p.releaseShare(now, t, request.Proxy) {
		p.resize(now, t)
		return t.grantTokens(p, want, KeyGrant{Key: want.Key, Long: true, Keep: true, Lent: true, Released: true})
	}
	next := loan{}
	if request.Echo.Life == t.incarnation && want.Lent > 0 {
		next = loan{rate: want.Lent, depth: want.Depth, expires: request.Echo.At + lendLength(want.Long)}
		if want.Long {
			next.wholeRate = next.rate
		}
	}
	lent := p.updateLoan(now, t, request.Proxy, next)
	grant := t.grantRate(now, p, request, want)
	grant.Loan = lent
	return grant
}

// grantRate grants a standby rate if the key is tracker-only at the proxy, otherwise a
// lease.
func (t *Tracker) grantRate(now time.Duration, p *pool, request GrantRequest, want KeyRequest) KeyGrant {
	if want.Long {
		return t.grantStandby(now, p, request, want)
	}
	return t.grantLease(now, p, request, want)
}

// grantTokens adds the one-off tokens for a waiting request to a grant.
func (t *Tracker) grantTokens(p *pool, want KeyRequest, grant KeyGrant) KeyGrant {
	if want.Need > 0 {
		if p.bucket.tokens >= want.Need {
			p.bucket.tokens -= want.Need
			p.tokensGranted += want.Need
			grant.Tokens, grant.Life = want.Need, t.incarnation
			t.Granted++
		} else {
			t.Exhausted++
			grant.Dry = constants.GrantInterval
			if due := (want.Need - p.bucket.tokens) / p.bucket.rate; p.bucket.rate > 0 && due < grant.Dry.Seconds() {
				grant.Dry = time.Duration(due * float64(time.Second))
			}
		}
	}
	return grant
}

// LeasedRates returns the leased rate of each tracked key, for operators.
func (t *Tracker) LeasedRates(now time.Duration) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	rates := map[string]float64{}
	for k, p := range t.pools {
		p.resize(now, t)
		rates[k] = p.leased("")
	}
	return rates
}
