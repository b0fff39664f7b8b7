package proxy

import (
	"net"
	"sync"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/discovery"
)

// Pool knows all upstreams and holds requests that wait for room. Its mutex guards all
// that changes in it and in its upstreams; it is not held while dialling, reading or writing.
type Pool struct {
	mu               sync.Mutex
	zone             string
	dialer           net.Dialer
	upstreams        map[string]*Upstream // by instance
	byService        map[string][]*Upstream
	candidateSets    map[target]*candidateSet // made from svc as they are asked for
	evacuated        map[string]bool          // zones nothing is sent to
	regions          map[string]string
	coldBound        func(service string) ColdBound
	proxyCount       int // live count
	proxyID          string
	times            map[string]*serviceTimes // by service
	waiting          map[string][]*waiter     // by service, the most urgent first
	waiterSeq        uint64                   // how many ever waited: the order in which they came
	wakeAt           map[string]time.Time     // by service, when those that wait are looked after next
	shutdownAt       time.Time                // when this process ends; zero: not known to
	connCap          func(service string) int // this proxy's share of connections to one upstream
	connectTime      [3]answerTime            // of new connections, by distance: a round trip
	NewConns         uint64                   // new connections
	Ejected          uint64
	StreamPlacements [3]uint64 // streams at their prefix's first upstream, at one of the next, elsewhere
	Waited           uint64
	NoCapacity       uint64
	Cancelled        uint64 // offers ended here, since nobody waited for them
}

// Len is how many upstreams are known.
func (pool *Pool) Len() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return len(pool.upstreams)
}

// SetProxies takes the live count.
func (pool *Pool) SetProxies(n int) {
	pool.mu.Lock()
	pool.proxyCount = n
	pool.mu.Unlock()
}

// NewPool makes an empty pool for a proxy in a zone.
func NewPool(me, zone string, regions map[string]string, connCap func(string) int, cold func(string) ColdBound) *Pool {
	return &Pool{
		proxyID:       me,
		zone:          zone,
		regions:       regions,
		coldBound:     cold,
		connCap:       connCap,
		upstreams:     map[string]*Upstream{},
		byService:     map[string][]*Upstream{},
		candidateSets: map[target]*candidateSet{},
		evacuated:     map[string]bool{},
		waiting:       map[string][]*waiter{},
		times:         map[string]*serviceTimes{},
		wakeAt:        map[string]time.Time{},
		dialer:        net.Dialer{Timeout: constants.ConnectTimeout, KeepAlive: -1},
	}
}

// Apply takes a list: states change, lives that are gone end, new ones begin.
func (pool *Pool) Apply(now time.Time, is []discovery.Instance) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	seen := map[string]bool{}
	for _, i := range is {
		seen[i.ID] = true
		u := pool.upstreams[i.ID]
		if u != nil && (u.instance.Address != i.Address || u.instance.Service != i.Service) {
			// Requests under way hold on to what it was: this is another life.
			u.removed = true
			u.closeIdle()
			u = nil
		}
		if u == nil {
			u = &Upstream{pool: pool, instance: i, rank: rendezvousRank(pool.proxyID, i.ID), region: pool.regions[i.Zone], active: map[*placement]time.Time{}}
			switch {
			case i.Zone == pool.zone:
			case u.region == pool.regions[pool.zone]:
				u.distance = 1
			default:
				u.distance = 2
			}
			pool.upstreams[i.ID] = u
		}
		u.instance.Slots = i.Slots
		if at := now.Add(i.Warmup); i.Warmup > 0 && at.After(u.warmupEnd) {
			u.warmupEnd = at
		}
		u.draining = i.Draining
		if u.draining {
			u.closeIdle()
		}
	}
	for id, u := range pool.upstreams {
		if !seen[id] {
			u.removed = true
			u.closeIdle()
			delete(pool.upstreams, id)
		}
	}
	pool.byService = map[string][]*Upstream{}
	for _, u := range pool.upstreams {
		pool.byService[u.instance.Service] = append(pool.byService[u.instance.Service], u)
	}
	clear(pool.candidateSets)
	for s := range pool.byService {
		pool.wakeLocked(s)
	}
}
