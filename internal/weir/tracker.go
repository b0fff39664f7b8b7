package weir

import (
	"hash/fnv"
	"sync"
	"time"

	"slateridge/internal/conduit"
	"slateridge/internal/datum"
)

// AskGrants brings a proxy's wants to a tracker; GrantsGiven answers. Refused
// says the machine asked does not track, or not yet.
type (
	AskGrants struct {
		Proxy   string
		Wants   []Want
		Echo    Stamp // the tracker's latest that has reached the proxy
		Proxies int   // the live count the proxy reckons with
	}
	GrantsGiven struct {
		Refused bool
		Given   []Given
		Stamp   Stamp
	}
	// Stamp is a moment on one tracker's clock. A loan is good for a time after
	// the moment its proxy echoes: the proxy spoke later than that, so it
	// still keeps its share lowered when the loan ends here, however long its
	// word was under way.
	Stamp struct {
		Life  uint64
		At    time.Duration
		Begun uint64 // how often in this life a shard has been begun anew
	}
)

func init() {
	conduit.Register(conduit.NameQuotaRequest, AskGrants{})
	conduit.Register(conduit.NameQuotaGrants, GrantsGiven{})
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
}

// pool is one key at its tracker: what is not leased accrues here.
type pool struct {
	quota  Quota
	long   bool // carried by its tracker alone, with standby in place of leases
	stands map[string]*stand
	open   time.Duration   // until then standby of an earlier tracker may be in use
	told   map[string]bool // proxies that have told what they hold of these
	spent  time.Duration   // the latest moment, by what they told, at which any let a request through
	given  float64         // tokens since the beginning
	filled bool            // what has filled since spent is still to be added
	of     int             // how many there are, by the largest count told
	b      bucket
	leases map[string]*lease
	loans  map[string]loan

	// Sums of the maps above, so that a question costs the same however many
	// proxies there are: kept as entries change, and taken anew when the first
	// entry ends.
	loaned      loan // until is when the first loan ends
	standCount  float64
	standDemand float64
	standsEnd   time.Duration // when the first stand ends
	alone       float64       // count of those that may be using their standby, as of a turn
	turn        uint64
}

// loan is a part of a proxy's split share that it leaves to the tracker.
type loan struct {
	rate, depth float64
	until       time.Duration
}

// touch is what a tracker knows of its contact with a proxy.
type touch struct {
	stamp time.Duration // the latest that has reached it; none yet is long ago
	spoke time.Duration // when it last asked here
}

// Gatehouse is the tracker of its shards' keys.
type Gatehouse struct {
	life                uint64
	contact             map[string]touch // by proxy
	out                 map[string]bool  // those that may have stopped hearing this tracker, as of a turn
	turn                uint64
	turnAt              time.Duration
	changed             map[string]time.Duration // when a key went from one way of sharing to the other
	tiny                func(proxies int, q Quota) bool
	count               int // the largest live count any proxy told
	mu                  sync.Mutex
	pools               map[string]*pool
	quotas              map[string]Quota
	known               map[string]time.Duration // since when a key has its limit
	shards              int
	begun               map[int]time.Duration
	begins              uint64
	Asked, Offered, Dry uint64
}

// NewGatehouse makes a tracker that knows no key yet; life tells it from all
// others and from earlier ones, tiny which keys have split shares that serve
// nobody.
func NewGatehouse(life uint64, shards int, tiny func(proxies int, q Quota) bool) *Gatehouse {
	return &Gatehouse{tiny: tiny, contact: map[string]touch{}, out: map[string]bool{}, changed: map[string]time.Duration{}, life: life, shards: shards, begun: map[int]time.Duration{}, pools: map[string]*pool{}, quotas: map[string]Quota{}, known: map[string]time.Duration{}}
}

// SetQuotas takes the limits in force.
func (g *Gatehouse) SetQuotas(now time.Duration, qs map[string]Quota) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, q := range qs {
		if g.quotas[k] != q {
			g.known[k] = now
		}
	}
	g.quotas = qs
	for k, p := range g.pools {
		q, ok := qs[k]
		if !ok || q.Rate <= 0 {
			delete(g.pools, k)
			continue
		}
		p.quota = q
		g.shape(p, now)
	}
}

func (g *Gatehouse) shape(p *pool, now time.Duration) {
	if p.long {
		p.shapeLong(now, g)
	} else {
		p.shape(now)
	}
}

// tracked is the part of a quota that trackers give out.
func (p *pool) tracked() (rate, burst float64) {
	return (1 - datum.SplitPart) * p.quota.Rate, (1 - datum.SplitPart) * p.quota.Burst
}

// lend notes what a proxy leaves to the tracker from now on; an empty loan is none.
func (p *pool) lend(proxy string, l loan) {
	was := p.loans[proxy]
	p.loaned.rate += l.rate - was.rate
	p.loaned.depth += l.depth - was.depth
	if l == (loan{}) {
		delete(p.loans, proxy)
		return
	}
	p.loans[proxy] = l
	p.loaned.until = min(p.loaned.until, l.until)
}

// lentAndTracked adds what proxies lend, and drops loans that have ended.
func (p *pool) lentAndTracked(now time.Duration) (rate, burst float64) {
	if now >= p.loaned.until {
		p.loaned = loan{until: now + datum.GrantLong}
		for k, l := range p.loans {
			if now >= l.until {
				delete(p.loans, k)
				continue
			}
			p.loaned.rate += l.rate
			p.loaned.depth += l.depth
			p.loaned.until = min(p.loaned.until, l.until)
		}
	}
	rate, burst = p.tracked()
	return rate + p.loaned.rate, burst + p.loaned.depth
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
	return rate * min(datum.LeaseDepthTime.Seconds(), q.Burst/q.Rate)
}

// shape drops leases that have ended and sets the pool to what is not leased.
func (p *pool) shape(now time.Duration) {
	for k, l := range p.leases {
		if now >= l.until {
			delete(p.leases, k)
		}
	}
	rate, burst := p.lentAndTracked(now)
	leased := p.leased("")
	p.b.set(now, max(0, rate-leased), max(0, burst-leaseDepth(leased, p.quota)))
}

// Ask answers a proxy. since is when this machine began to track the shard
// without a break: what an earlier tracker gave must have ended before anything
// is given here, and the pools start empty.
func (g *Gatehouse) Ask(now time.Duration, a AskGrants, since func(shard int) (time.Duration, bool)) GrantsGiven {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := GrantsGiven{Stamp: Stamp{g.life, now, g.begins}}
	if len(g.quotas) == 0 {
		// Started anew, and the configuration has not come yet: as good as nobody.
		out.Refused = true
		return out
	}
	g.count = max(g.count, a.Proxies)
	g.touched(now, a)
	for _, w := range a.Wants {
		shard := Shard(w.Key, g.shards)
		at, ok := since(shard)
		if !ok {
			out.Refused = true
			continue
		}
		if g.begun[shard] != at {
			g.begun[shard] = at
			g.begins++
			for k := range g.pools {
				if Shard(k, g.shards) == shard {
					delete(g.pools, k)
				}
			}
		}
		q, ok := g.quotas[w.Key]
		long := ok && q.Rate > 0 && g.tiny(g.count, q)
		wait := datum.GrantLength
		if long {
			wait = datum.OneOffLife
		}
		if now-at < wait {
			out.Given = append(out.Given, Given{Key: w.Key, Keep: true, Dry: wait - (now - at), Lent: w.Lend})
			continue
		}
		if !ok || q.Rate <= 0 {
			continue
		}
		p := g.pools[w.Key]
		if p != nil && p.long != long {
			// The fleet has grown or shrunk past what a share can serve: as with a
			// new tracker, what was given the other way has to end first.
			g.changed[w.Key] = now
			delete(g.pools, w.Key)
			p = nil
		}
		if c, ok := g.changed[w.Key]; ok && now-c < datum.GrantLong {
			out.Given = append(out.Given, Given{Key: w.Key, Keep: true, Dry: datum.GrantEvery, Lent: w.Lend})
			continue
		}
		if p == nil {
			p = &pool{quota: q, leases: map[string]*lease{}, loans: map[string]loan{}}
			// Nobody else has given anything since what came before had ended,
			// so the pool has been filling from then on.
			p.b.at = min(now, max(at+wait, g.known[w.Key]))
			p.b.rate, p.b.depth = p.tracked()
			if long {
				p.b.rate, p.b.depth = datum.LongPool*q.Rate, datum.LongPool*q.Burst
				p.open = at + datum.GrantLong
				p.told, p.stands, p.long = map[string]bool{}, map[string]*stand{}, true
			}
			g.pools[w.Key] = p
		}
		if w.Lend {
			if until := a.Echo.At + lendLength(w.Long); a.Echo.Life == g.life && w.Lent > 0 {
				p.lend(a.Proxy, loan{w.Lent, w.Depth, until})
			} else {
				p.lend(a.Proxy, loan{})
			}
		}
		if p.long {
			out.Given = append(out.Given, g.giveLong(now, p, a, w))
		} else {
			out.Given = append(out.Given, g.give(now, p, a.Proxy, w))
		}
	}
	out.Stamp.Begun = g.begins // shards asked for may have begun just now
	return out
}

// touched notes a proxy's word, and every so often whom this tracker may have lost.
func (g *Gatehouse) touched(now time.Duration, a AskGrants) {
	c, ok := g.contact[a.Proxy]
	if !ok {
		c.stamp = now - 2*datum.GrantLong
		g.out[a.Proxy] = true
		g.turn++
	}
	if a.Echo.Life == g.life {
		c.stamp = max(c.stamp, a.Echo.At)
	}
	c.spoke = now
	g.contact[a.Proxy] = c
	if now < g.turnAt {
		return
	}
	g.turnAt = now + datum.TouchEvery
	g.turn++
	clear(g.out)
	for n, c := range g.contact {
		if now-c.spoke > 2*datum.GrantLong {
			delete(g.contact, n) // what it was told has ended
		} else if now+datum.TouchEvery-c.stamp > datum.StandbyRoom {
			g.out[n] = true // it may begin before the next look
		}
	}
}

func (g *Gatehouse) give(now time.Duration, p *pool, proxy string, w Want) Given {
	g.Asked++
	p.shape(now)
	rate := p.b.rate + p.leased("") // all there is to give, loans included
	l := p.leases[proxy]
	if l == nil {
		l = &lease{}
		p.leases[proxy] = l
	}
	l.demand = max(0, w.Demand)
	// Demand decides the shares; a part stays in the pool for sudden asks.
	total := 0.0
	for _, o := range p.leases {
		total += o.demand
	}
	share := l.demand
	if leasable := rate * (1 - datum.PoolPart); total > leasable {
		share = l.demand * leasable / total
	}
	share = min(share, max(0, rate-p.leased(proxy)))
	// Until it reports otherwise the proxy may go on with the rate it last
	// reported or, where two questions crossed, with the last one offered.
	l.count = max(share, l.rate, min(w.Rate, l.count))
	l.rate = share
	l.until = now + datum.GrantLength
	p.shape(now)
	out := Given{Key: w.Key, Rate: share, Depth: leaseDepth(share, p.quota), Lent: w.Lend, Loan: w.Lent}
	return g.oneOff(p, w, out)
}

// oneOff gives tokens to a request that waits.
func (g *Gatehouse) oneOff(p *pool, w Want, out Given) Given {
	if w.Need > 0 {
		if p.b.tokens >= w.Need {
			p.b.tokens -= w.Need
			p.given += w.Need
			out.Tokens, out.Life = w.Need, g.life
			g.Offered++
		} else {
			g.Dry++
			out.Dry = datum.GrantEvery
			if due := (w.Need - p.b.tokens) / p.b.rate; p.b.rate > 0 && due < out.Dry.Seconds() {
				out.Dry = time.Duration(due * float64(time.Second))
			}
		}
	}
	return out
}

// Held lists the leased rate of each key tracked here, for operators.
func (g *Gatehouse) Held(now time.Duration) map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]float64{}
	for k, p := range g.pools {
		g.shape(p, now)
		out[k] = p.leased("")
	}
	return out
}
