package admission

import (
	"sync"
	"time"

	"slateridge/internal/constants"
)

// Tracker is the tracker of its shards' keys.
type Tracker struct {
	life                      uint64
	contacts                  map[string]contact // by proxy
	outOfContact              map[string]bool    // those that may have stopped hearing this tracker, as of a turn
	scan                      uint64
	nextScanAt                time.Duration
	carried                   map[string]bool          // keys that this tracker has seen to be carried, or not
	changed                   map[string]time.Duration // when that last changed
	tiny                      func(proxies int, q Quota) bool
	count                     int // the largest live count that proxies in contact reckon with
	mu                        sync.Mutex
	pools                     map[string]*pool
	quotas                    map[string]Quota
	limitSince                map[string]time.Duration // since when a key has its limit
	shards                    int
	shardSince                map[int]time.Duration
	shardStarts               uint64
	Asked, Offered, Exhausted uint64
}

// NewTracker makes a tracker that knows no key yet; life tells it from all
// others and from earlier ones, tiny which keys have split shares that serve
// nobody.
func NewTracker(life uint64, shards int, tiny func(proxies int, q Quota) bool) *Tracker {
	return &Tracker{tiny: tiny, contacts: map[string]contact{}, outOfContact: map[string]bool{}, carried: map[string]bool{}, changed: map[string]time.Duration{}, life: life, shards: shards, shardSince: map[int]time.Duration{}, pools: map[string]*pool{}, quotas: map[string]Quota{}, limitSince: map[string]time.Duration{}}
}

// SetQuotas takes the limits in force.
func (tracker *Tracker) SetQuotas(now time.Duration, qs map[string]Quota) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for k, q := range qs {
		if tracker.quotas[k] != q {
			tracker.limitSince[k] = now
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
		p.shape(now, tracker)
	}
}

// Ask answers a proxy. since is when this machine began to track the shard
// without a break: what an earlier tracker gave must have ended before anything
// is given here, and the pools start empty.
func (tracker *Tracker) Ask(now time.Duration, a GrantRequest, since func(shard int) (time.Duration, bool)) Grants {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	out := Grants{Stamp: TrackerTime{tracker.life, now, tracker.shardStarts}}
	if len(tracker.quotas) == 0 {
		// Started anew, and the configuration has not come yet: as good as nobody.
		out.Refused = true
		return out
	}
	late := tracker.noteContact(now, a)
	out.Retell = late
	for _, w := range a.Wants {
		shard := Shard(w.Key, tracker.shards)
		at, ok := since(shard)
		if !ok {
			out.Refused = true
			continue
		}
		if tracker.shardSince[shard] != at {
			tracker.shardSince[shard] = at
			tracker.shardStarts++
			for k := range tracker.pools {
				if Shard(k, tracker.shards) == shard {
					delete(tracker.pools, k)
				}
			}
		}
		q, limited := tracker.quotas[w.Key]
		limited = limited && q.Rate > 0
		wait := tracker.waitAfterBegin(now, w, q, limited)
		if now-at < wait {
			out.Given = append(out.Given, Given{Key: w.Key, Keep: true, Dry: wait - (now - at), Lent: w.Lend})
			continue
		}
		if limited {
			p := tracker.poolOf(w.Key, q, at, max(at+wait, tracker.limitSince[w.Key]), now)
			out.Given = append(out.Given, tracker.answer(now, p, a, w, late))
		}
	}
	out.Stamp.Begun = tracker.shardStarts // shards asked for may have begun just now
	return out
}

// waitAfterBegin is how long a tracker that begins gives nothing, since what an
// earlier one gave may still be used: tokens for waiting requests and, of a key
// that is not carried or was not a moment ago, leases.
func (tracker *Tracker) waitAfterBegin(now time.Duration, w Want, q Quota, limited bool) time.Duration {
	carried := limited && tracker.tiny(tracker.count, q)
	if was, seen := tracker.carried[w.Key]; seen && was != carried {
		tracker.changed[w.Key] = now
	}
	tracker.carried[w.Key] = carried
	changed, ok := tracker.changed[w.Key]
	if carried && w.Long && (!ok || now-changed >= constants.GrantLength) {
		return constants.OneOffLife
	}
	return constants.GrantLength
}

// answer takes one want of a proxy and gives what there is. Of a word that a newer
// one has overtaken only the need counts.
func (tracker *Tracker) answer(now time.Duration, p *pool, a GrantRequest, w Want, late bool) Given {
	if late {
		w.Lend, w.Release = false, false
	}
	if !w.Lend {
		return tracker.give(now, p, a, w)
	}
	p.takeTold(now, a, w)
	if w.Long {
		delete(p.leases, a.Proxy) // its lease ended with its split share
	} else {
		p.dropStandby(tracker, a.Proxy)
	}
	if w.Release && p.release(now, tracker, a.Proxy) {
		p.shape(now, tracker)
		return tracker.oneOff(p, w, Given{Key: w.Key, Long: true, Keep: true, Lent: true, Released: true})
	}
	to := loan{}
	if a.Echo.Life == tracker.life && w.Lent > 0 {
		to = loan{rate: w.Lent, depth: w.Depth, until: a.Echo.At + lendLength(w.Long)}
		if w.Long {
			to.long = to.rate
		}
	}
	kept := p.changeLoan(now, tracker, a.Proxy, to)
	out := tracker.give(now, p, a, w)
	out.Loan = kept
	return out
}

// give answers with what the proxy's way of sharing asks for.
func (tracker *Tracker) give(now time.Duration, p *pool, a GrantRequest, w Want) Given {
	if w.Long {
		return tracker.giveStandby(now, p, a, w)
	}
	return tracker.giveLease(now, p, a, w)
}

// oneOff gives tokens to a request that waits.
func (tracker *Tracker) oneOff(p *pool, w Want, out Given) Given {
	if w.Need > 0 {
		if p.bucket.tokens >= w.Need {
			p.bucket.tokens -= w.Need
			p.given += w.Need
			out.Tokens, out.Life = w.Need, tracker.life
			tracker.Offered++
		} else {
			tracker.Exhausted++
			out.Dry = constants.GrantEvery
			if due := (w.Need - p.bucket.tokens) / p.bucket.rate; p.bucket.rate > 0 && due < out.Dry.Seconds() {
				out.Dry = time.Duration(due * float64(time.Second))
			}
		}
	}
	return out
}

// Held lists the leased rate of each key tracked here, for operators.
func (tracker *Tracker) Held(now time.Duration) map[string]float64 {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	out := map[string]float64{}
	for k, p := range tracker.pools {
		p.shape(now, tracker)
		out[k] = p.leased("")
	}
	return out
}
