package admission

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/transport"
)

// GrantRequest brings a proxy's wants to a tracker; Grants answers. Refused
// says the machine asked does not track, or not yet.
type (
	GrantRequest struct {
		Proxy   string
		Wants   []Want
		Echo    TrackerTime   // the tracker's latest that has reached the proxy
		Proxies int           // the live count the proxy reckons with
		Life    uint64        // of the proxy's process; 0 is not told
		Sent    time.Duration // by that process's clock
	}
	Grants struct {
		Refused bool
		Given   []Given
		Stamp   TrackerTime
		Retell  bool // the word was overtaken by a newer one: shares told here are to be told of again
	}
	// TrackerTime is a moment on one tracker's clock. A loan is good for a time after
	// the moment its proxy echoes: the proxy spoke later than that, so it
	// still keeps its share lowered when the loan ends here, however long its
	// word was under way.
	TrackerTime struct {
		Life  uint64
		At    time.Duration
		Begun uint64 // how often in this life a shard has been begun anew
	}
)

func init() {
	transport.Register(transport.NameQuotaRequest, GrantRequest{})
	transport.Register(transport.NameQuotaGrants, Grants{})
}

// Shard is the tracker duty a throttle key hashes to, of so many.
func Shard(key string, of int) int {
	h := fnv.New32a()
	h.Write([]byte(key))
	return int(h.Sum32() % uint32(max(1, of)))
}

// lease is a rate given to one proxy. Until the proxy has told what it uses,
// both the old and the new rate count as given: the larger.
type lease struct {
	rate   float64 // offered last
	count  float64 // what it may be using
	until  time.Duration
	demand float64
	sent   time.Duration // when the proxy sent the word that the last offer answers
}

// pool is one key at its tracker: what is not leased accrues here. Proxies that
// use their split share get leases, those whose share is lent whole standby; which
// of the two each one says itself, since they learn of a new live count one by one.
type pool struct {
	quota     Quota
	standbys  map[string]*standby
	openUntil time.Duration      // until then standby of an earlier tracker may be in use
	reported  map[string]float64 // proxies that have told what they hold of these, while open, and the tokens of standby they used
	split     bool               // one of them uses its split share
	spent     time.Duration      // the latest moment, by what they told, at which any let a request through
	given     float64            // tokens since the beginning
	filled    bool               // what has filled since spent is still to be added
	proxies   int                // how many there are, by the largest count told
	bucket    bucket
	leases    map[string]*lease
	loans     map[string]loan

	// Sums of the maps above, so that a question costs the same however many
	// proxies there are: kept as entries change, and taken anew when the first
	// entry ends.
	loaned        loan // until is when the first loan ends
	standbyCount  float64
	standbyDemand float64
	standbysEnd   time.Duration // when the first stand ends
	standbyInUse  float64       // count of those that may be using their standby, as of a turn
	scan          uint64
}

// loan is a part of a proxy's split share that it leaves to the tracker.
type loan struct {
	rate, depth float64
	until       time.Duration
	long        float64 // the rate again, if the share is lent whole
}

// rateEpsilon is a rate, in requests a second, that counts as nothing: sums of
// floating-point numbers are compared with it.
const rateEpsilon = 1e-9

// contact is what a tracker knows of its contact with a proxy.
type contact struct {
	echoedAt time.Duration // the latest that has reached it; none yet is long ago
	askedAt  time.Duration // when it last asked here
	proxies  int           // the live count it told last
	life     uint64        // of its process
	sent     time.Duration // the newest word of that life that tells of shares
}

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

// tracked is the part of a quota that trackers give out.
func (p *pool) tracked() (rate, burst float64) {
	return (1 - constants.SplitPart) * p.quota.Rate, (1 - constants.SplitPart) * p.quota.Burst
}

// lend notes what a proxy leaves to the tracker from now on; an empty loan is none.
func (p *pool) lend(proxy string, l loan) {
	was := p.loans[proxy]
	p.loaned.rate += l.rate - was.rate
	p.loaned.depth += l.depth - was.depth
	p.loaned.long += l.long - was.long
	if l == (loan{}) {
		delete(p.loans, proxy)
		return
	}
	p.loans[proxy] = l
	p.loaned.until = min(p.loaned.until, l.until)
}

// changeLoan takes what a proxy lends from now on, and returns the rate that counts
// as lent. A larger loan counts at once, and so does a smaller one, except of a share
// that was lent whole: of that as much is given back as no standby rests on.
func (p *pool) changeLoan(now time.Duration, tracker *Tracker, proxy string, to loan) float64 {
	p.sumLoans(now)
	was := p.loans[proxy]
	if to.rate < was.rate && was.long > 0 {
		back := min(was.rate-to.rate, max(0, p.uncommitted(now, tracker)))
		if kept := was.rate - back; kept > rateEpsilon {
			part := kept / was.rate
			to = loan{rate: kept, depth: was.depth * part, until: max(was.until, to.until), long: was.long * part}
		} else {
			to = loan{}
		}
	}
	p.lend(proxy, to)
	return to.rate
}

// sumLoans drops loans that have ended and sums the others anew.
func (p *pool) sumLoans(now time.Duration) {
	if now < p.loaned.until {
		return
	}
	p.loaned = loan{until: now + constants.GrantLong}
	for k, l := range p.loans {
		if now >= l.until {
			delete(p.loans, k)
			continue
		}
		p.loaned.rate += l.rate
		p.loaned.depth += l.depth
		p.loaned.long += l.long
		p.loaned.until = min(p.loaned.until, l.until)
	}
}

// available is what there is to give in all ways together: the tracked part and
// what proxies lend. While standby of an earlier tracker may be in use, of which
// nobody has told here, that part of what is lent whole stays out; what is known
// to rest at proxies in touch does not.
func (p *pool) available(now time.Duration, tracker *Tracker) (rate, burst float64) {
	p.sumLoans(now)
	rate, burst = p.tracked()
	if now >= p.openUntil {
		return min(rate+p.loaned.rate, p.quota.Rate), min(burst+p.loaned.depth, p.quota.Burst)
	}
	_, resting := p.standbyTotals(now, tracker)
	sure := min(constants.StandbyReserve*p.quota.Rate, p.loaned.long*(1-constants.StandbyBasic))
	lent := p.loaned.rate - p.loaned.long + sure
	if p.loaned.rate > 0 {
		burst += p.loaned.depth * lent / p.loaned.rate
	}
	return min(rate+min(lent+resting, p.loaned.rate), p.quota.Rate), min(burst, p.quota.Burst)
}

// inUse is the rate of standby that proxies out of touch may be using.
func (p *pool) inUse(now time.Duration, tracker *Tracker) float64 {
	if now < p.openUntil {
		return 0 // unknown, and left out of what is available
	}
	alone, _ := p.standbyTotals(now, tracker)
	return alone
}

// uncommitted is the rate that is neither leased nor told as standby, below zero
// where more has been told than there is.
func (p *pool) uncommitted(now time.Duration, tracker *Tracker) float64 {
	rate, _ := p.available(now, tracker)
	_, resting := p.standbyTotals(now, tracker)
	return rate - p.leased("") - p.inUse(now, tracker) - resting
}

func (p *pool) leased(but string) float64 {
	sum := 0.0
	for k, l := range p.leases {
		if k != but {
			sum += l.count
		}
	}
	return sum
}

// leaseDepth is how much of the burst goes with a leased rate: only what evens
// out the arrivals, since a burst held by one proxy is missed by the others.
func leaseDepth(rate float64, q Quota) float64 {
	if q.Rate <= 0 {
		return 0
	}
	return rate * min(constants.LeaseDepthTime.Seconds(), q.Burst/q.Rate)
}

// shape drops leases that have ended and sets the pool to what nobody holds.
func (p *pool) shape(now time.Duration, tracker *Tracker) {
	for k, l := range p.leases {
		if now >= l.until {
			delete(p.leases, k)
		}
	}
	rate, burst := p.available(now, tracker)
	leased := p.leased("")
	p.bucket.set(now, max(0, rate-leased-p.inUse(now, tracker)), max(0, burst-leaseDepth(leased, p.quota)))
	if p.filled && burst >= 0.99*p.quota.Burst {
		p.filled = false // once, when the shares have been lent
		p.bucket.tokens = max(p.bucket.tokens, min(p.bucket.depth, p.quota.Rate*(now-p.spent).Seconds()-p.given))
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

// poolOf finds a key's pool, or makes one that has been filling from a moment on:
// nobody else has given anything since.
func (tracker *Tracker) poolOf(key string, q Quota, begun, filling, now time.Duration) *pool {
	if p := tracker.pools[key]; p != nil {
		return p
	}
	p := &pool{quota: q, leases: map[string]*lease{}, loans: map[string]loan{}, standbys: map[string]*standby{}, reported: map[string]float64{}}
	p.bucket.filledAt = min(now, filling)
	p.bucket.rate, p.bucket.depth = p.tracked()
	p.openUntil = begun + constants.GrantLong
	tracker.pools[key] = p
	return p
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

// takeTold notes, at a tracker that has begun lately, that a proxy has told what it
// holds. When all have, nothing unknown is in use any more, and since the last of
// them let a request through the quota has been filling.
func (p *pool) takeTold(now time.Duration, a GrantRequest, w Want) {
	if now >= p.openUntil {
		p.reported = nil
		return
	}
	p.reported[a.Proxy] = w.Stood
	p.split = p.split || !w.Long
	p.spent = max(p.spent, now-w.Idle)
	if p.proxies = max(p.proxies, a.Proxies); p.proxies > 0 && len(p.reported) >= p.proxies {
		p.openUntil, p.filled = now, !p.split
		for _, used := range p.reported {
			p.given += used
		}
	}
}

// give answers with what the proxy's way of sharing asks for.
func (tracker *Tracker) give(now time.Duration, p *pool, a GrantRequest, w Want) Given {
	if w.Long {
		return tracker.giveStandby(now, p, a, w)
	}
	return tracker.giveLease(now, p, a, w)
}

// noteContact notes a proxy's word, and every so often whom this tracker may have lost.
// It says whether a newer word that tells of shares, by the same process, came before.
func (tracker *Tracker) noteContact(now time.Duration, a GrantRequest) (late bool) {
	c, ok := tracker.contacts[a.Proxy]
	if !ok {
		c.echoedAt = now - 2*constants.GrantLong
		tracker.outOfContact[a.Proxy] = true
		tracker.scan++
	}
	if a.Echo.Life == tracker.life {
		c.echoedAt = max(c.echoedAt, a.Echo.At)
	}
	tells := slices.ContainsFunc(a.Wants, func(w Want) bool { return w.Lend })
	late = tells && a.Life != 0 && a.Life == c.life && a.Sent < c.sent
	if tells && !late {
		c.life, c.sent = a.Life, a.Sent
	}
	if a.Proxies > 0 && !late {
		c.proxies = a.Proxies
	}
	c.askedAt = now
	tracker.contacts[a.Proxy] = c
	tracker.count = max(tracker.count, c.proxies)
	if now < tracker.nextScanAt {
		return late
	}
	tracker.nextScanAt = now + constants.ContactScanEvery
	tracker.scan++
	clear(tracker.outOfContact)
	tracker.count = 0
	for n, c := range tracker.contacts {
		if now-c.askedAt > 2*constants.GrantLong {
			delete(tracker.contacts, n) // what it was told has ended
			continue
		}
		if now-c.askedAt <= constants.SubscriptionSilence {
			tracker.count = max(tracker.count, c.proxies)
		}
		if now+constants.ContactScanEvery-c.echoedAt > constants.StandbyRoom {
			tracker.outOfContact[n] = true // it may begin before the next look
		}
	}
	return late
}

// giveLease answers a proxy that uses its split share. A question for a request
// that waits gets tokens and leaves the lease as it is.
func (tracker *Tracker) giveLease(now time.Duration, p *pool, a GrantRequest, w Want) Given {
	tracker.Asked++
	p.shape(now, tracker)
	if !w.Lend {
		return tracker.oneOff(p, w, Given{Key: w.Key, Keep: true})
	}
	l := p.leases[a.Proxy]
	if l == nil {
		l = &lease{}
		p.leases[a.Proxy] = l
	}
	l.demand = max(0, w.Demand)
	// Nothing is leased of what proxies lend, so that they can have it back at once: the
	// pool serves with it.
	rate := 0.0
	if l.demand > 0 {
		own, _ := p.tracked()
		rate = max(0, min(own, p.uncommitted(now, tracker)+p.leased("")))
	}
	// Demand decides the shares; a part stays in the pool for sudden asks.
	total := 0.0
	for _, o := range p.leases {
		total += o.demand
	}
	share := l.demand
	if leasable := rate * (1 - constants.PoolPart); total > leasable {
		share = l.demand * leasable / total
	}
	share = min(share, max(0, rate-p.leased(a.Proxy)))
	l.count = mayUse(l.count, l.sent, share, w)
	l.rate, l.sent = share, a.Sent
	l.until = now + constants.GrantLength
	p.shape(now, tracker)
	out := Given{Key: w.Key, Rate: share, Depth: leaseDepth(share, p.quota), Lent: true}
	return tracker.oneOff(p, w, out)
}

// mayUse is the most that a proxy may be using when it is offered a rate. What was
// offered before counts until the proxy reports what it holds by the newest offer,
// since answers may be lost or overtake each other.
func mayUse(counted float64, answered time.Duration, offer float64, w Want) float64 {
	if w.RateOf == answered {
		return max(offer, min(w.Rate, counted))
	}
	return max(offer, counted)
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
