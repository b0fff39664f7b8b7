package admission

import (
	"sync"
	"time"

	"slateridge/internal/constants"
)

// Tracker is the tracker of its shards' keys. Its mutex guards all fields and all pools; it
// starts no goroutines and has no clock of its own.
type Tracker struct {
	incarnation                  uint64
	contacts                     map[string]contact // by proxy
	outOfContact                 map[string]bool    // those that may have stopped hearing this tracker, as of a turn
	contactScan                  uint64
	nextScanAt                   time.Duration
	trackerOnly                  map[string]bool          // keys that this tracker has seen to be carried, or not
	modeChangedAt                map[string]time.Duration // when that last changed
	shareTooSmall                func(proxies int, q Quota) bool
	proxyCount                   int // the largest live count that proxies in contact reckon with
	mu                           sync.Mutex
	pools                        map[string]*pool
	quotas                       map[string]Quota
	quotaSince                   map[string]time.Duration // since when a key has its limit
	shards                       int
	shardSince                   map[int]time.Duration
	takeovers                    uint64
	Requests, Granted, Exhausted uint64
}

// NewTracker makes a tracker that knows no key yet; life distinguishes it
// from all others and from its earlier incarnations, tiny says which keys have split shares that serve
// nobody.
func NewTracker(life uint64, shards int, tiny func(proxies int, q Quota) bool) *Tracker {
	return &Tracker{
		shareTooSmall: tiny,
		contacts:      map[string]contact{},
		outOfContact:  map[string]bool{},
		trackerOnly:   map[string]bool{},
		modeChangedAt: map[string]time.Duration{},
		incarnation:   life,
		shards:        shards,
		shardSince:    map[int]time.Duration{},
		pools:         map[string]*pool{},
		quotas:        map[string]Quota{},
		quotaSince:    map[string]time.Duration{},
	}
}

// SetQuotas takes the limits in force.
func (tracker *Tracker) SetQuotas(now time.Duration, qs map[string]Quota) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for k, q := range qs {
		if tracker.quotas[k] != q {
			tracker.quotaSince[k] = now
		}
	}
	tracker.quotas = qs
	for k, p := range tracker.pools {
		q, ok := qs[k]
		if !ok || q.Rate <= 0 {
			delete(tracker.pools, k)
			continue
		}
		p.quota = q
		p.resize(now, tracker)
	}
}

// HandleRequest answers a proxy. since is when this machine began to track the shard
// without a break: what an earlier tracker gave must have ended before anything
// is given here, and the pools start empty.
func (tracker *Tracker) HandleRequest(now time.Duration, request GrantRequest, since func(shard int) (time.Duration, bool)) Grants {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	out := Grants{Stamp: TrackerTime{tracker.incarnation, now, tracker.takeovers}}
	if len(tracker.quotas) == 0 {
		// Started anew, and the configuration has not come yet: as good as nobody.
		out.Refused = true
		return out
	}
	late := tracker.recordContact(now, request)
	out.Retell = late
	for _, want := range request.Wants {
		shard := Shard(want.Key, tracker.shards)
		at, ok := since(shard)
		if !ok {
			out.Refused = true
			continue
		}
		if tracker.shardSince[shard] != at {
			tracker.shardSince[shard] = at
			tracker.takeovers++
			for k := range tracker.pools {
				if Shard(k, tracker.shards) == shard {
					delete(tracker.pools, k)
				}
			}
		}
		q, limited := tracker.quotas[want.Key]
		limited = limited && q.Rate > 0
		wait := tracker.takeoverDelay(now, want, q, limited)
		if now-at < wait {
			out.Given = append(out.Given, KeyGrant{Key: want.Key, Keep: true, Dry: wait - (now - at), Lent: want.Lend})
			continue
		}
		if limited {
			p := tracker.poolFor(want.Key, q, at, max(at+wait, tracker.quotaSince[want.Key]), now)
			out.Given = append(out.Given, tracker.handleKeyRequest(now, p, request, want, late))
		}
	}
	out.Stamp.Begun = tracker.takeovers // shards asked for may have begun just now
	return out
}

// takeoverDelay is how long a tracker that begins gives nothing, since what an
// earlier one gave may still be used: tokens for waiting requests and, of a key
// that is not carried or was not a moment ago, leases.
func (tracker *Tracker) takeoverDelay(now time.Duration, want KeyRequest, q Quota, limited bool) time.Duration {
	carried := limited && tracker.shareTooSmall(tracker.proxyCount, q)
	if was, seen := tracker.trackerOnly[want.Key]; seen && was != carried {
		tracker.modeChangedAt[want.Key] = now
	}
	tracker.trackerOnly[want.Key] = carried
	changed, ok := tracker.modeChangedAt[want.Key]
	if carried && want.Long && (!ok || now-changed >= constants.GrantLength) {
		return constants.OneOffLife
	}
	return constants.GrantLength
}

// handleKeyRequest takes one want of a proxy and gives what there is. Of a report that a newer
// one has overtaken only the need counts.
func (tracker *Tracker) handleKeyRequest(now time.Duration, p *pool, request GrantRequest, want KeyRequest, late bool) KeyGrant {
	if late {
		want.Lend, want.Release = false, false
	}
	if !want.Lend {
		return tracker.grantRate(now, p, request, want)
	}
	p.recordReport(now, request, want)
	if want.Long {
		delete(p.leases, request.Proxy) // its lease ended with its split share
	} else {
		p.removeStandby(tracker, request.Proxy)
	}
	if want.Release && p.releaseShare(now, tracker, request.Proxy) {
		p.resize(now, tracker)
		return tracker.grantTokens(p, want, KeyGrant{Key: want.Key, Long: true, Keep: true, Lent: true, Released: true})
	}
	to := loan{}
	if request.Echo.Life == tracker.incarnation && want.Lent > 0 {
		to = loan{rate: want.Lent, depth: want.Depth, expires: request.Echo.At + lendLength(want.Long)}
		if want.Long {
			to.wholeRate = to.rate
		}
	}
	kept := p.updateLoan(now, tracker, request.Proxy, to)
	out := tracker.grantRate(now, p, request, want)
	out.Loan = kept
	return out
}

// grantRate answers with what the proxy's way of sharing asks for.
func (tracker *Tracker) grantRate(now time.Duration, p *pool, request GrantRequest, want KeyRequest) KeyGrant {
	if want.Long {
		return tracker.grantStandby(now, p, request, want)
	}
	return tracker.grantLease(now, p, request, want)
}

// grantTokens gives tokens to a request that waits.
func (tracker *Tracker) grantTokens(p *pool, want KeyRequest, out KeyGrant) KeyGrant {
	if want.Need > 0 {
		if p.bucket.tokens >= want.Need {
			p.bucket.tokens -= want.Need
			p.tokensGranted += want.Need
			out.Tokens, out.Life = want.Need, tracker.incarnation
			tracker.Granted++
		} else {
			tracker.Exhausted++
			out.Dry = constants.GrantEvery
			if due := (want.Need - p.bucket.tokens) / p.bucket.rate; p.bucket.rate > 0 && due < out.Dry.Seconds() {
				out.Dry = time.Duration(due * float64(time.Second))
			}
		}
	}
	return out
}

// LeasedRates lists the leased rate of each key tracked here, for operators.
func (tracker *Tracker) LeasedRates(now time.Duration) map[string]float64 {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	out := map[string]float64{}
	for k, p := range tracker.pools {
		p.resize(now, tracker)
		out[k] = p.leased("")
	}
	return out
}
