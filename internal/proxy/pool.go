package proxy

import (
	"net"
	"sync"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/discovery"
)

// Pool tracks all known upstreams and queues requests until an upstream has capacity. Its
// mutex guards its own mutable state and that of its upstreams; it is not held while
// dialling, reading or writing.
type Pool struct {
	mu               sync.Mutex
	zone             string
	dialer           net.Dialer
	upstreams        map[string]*Upstream // by instance ID
	byService        map[string][]*Upstream
	candidateSets    map[target]*candidateSet // built on demand; cleared when the instance list changes
	evacuated        map[string]bool          // zones that receive no requests
	regions          map[string]string        // region of each zone
	coldBound        func(service string) ColdBound
	proxyCount       int // number of live proxies; 0 while unknown
	proxyID          string
	latencies        map[string]*serviceLatency // by service
	waiting          map[string][]*waiter       // by service, most urgent first
	waiterSeq        uint64                     // sequence number of the latest waiter, which keeps equal waiters in arrival order
	nextQueueCheck   map[string]time.Time       // by service: when the queue is next served by a timer
	shutdownAt       time.Time                  // when this process exits; zero while no exit is planned
	connCap          func(service string) int   // this proxy's share of the connections to one upstream
	connectTime      [3]latencyWindow           // of new connections, by Upstream.distance; measures one round trip
	NewConns         uint64                     // new connections
	Ejected          uint64
	StreamPlacements [3]uint64 // streams placed at the first upstream of their prefix, at a later one, and outside the prefix's upstreams
	Waited           uint64
	NoCapacity       uint64
	Cancelled        uint64 // attempts that this proxy closed because nobody was waiting for the response
}

// Len returns the number of known upstreams.
func (pool *Pool) Len() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return len(pool.upstreams)
}

// SetProxies sets the number of live proxies.
func (pool *Pool) SetProxies(n int) {
	pool.mu.Lock()
	pool.proxyCount = n
	pool.mu.Unlock()
}

// NewPool returns an empty pool for a proxy in the given zone. The regions map gives the
// region of each zone.
func NewPool(proxyID, zone string, regions map[string]string, connCap func(string) int, coldBound func(string) ColdBound) *Pool {
	return &Pool{
		proxyID:        proxyID,
		zone:           zone,
		regions:        regions,
		coldBound:      coldBound,
		connCap:        connCap,
		upstreams:      map[string]*Upstream{},
		byService:      map[string][]*Upstream{},
		candidateSets:  map[target]*candidateSet{},
		evacuated:      map[string]bool{},
		waiting:        map[string][]*waiter{},
		latencies:      map[string]*serviceLatency{},
		nextQueueCheck: map[string]time.Time{},
		dialer:         net.Dialer{Timeout: constants.ConnectTimeout, KeepAlive: -1},
	}
}

// Apply replaces the list of instances: it adds new upstreams, updates known ones and
// removes those that are no longer listed.
func (pool *Pool) Apply(now time.Time, instances []discovery.Instance) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	seen := map[string]bool{}
	for _, instance := range instances {
		seen[instance.ID] = true
		u := pool.upstreams[instance.ID]
		if u != nil && (u.instance.Address != instance.Address || u.instance.Service != instance.Service) {
			// Requests in flight keep the old Upstream; the ID now denotes a new incarnation.
			u.removed = true
			u.closeIdle()
			u = nil
		}
		if u == nil {
			u = &Upstream{pool: pool, instance: instance, rank: rendezvousRank(pool.proxyID, instance.ID), region: pool.regions[instance.Zone], active: map[*placement]time.Time{}}
			switch {
			case instance.Zone == pool.zone:
			case u.region == pool.regions[pool.zone]:
				u.distance = 1
			default:
				u.distance = 2
			}
			pool.upstreams[instance.ID] = u
		}
		u.instance.Slots = instance.Slots
		if end := now.Add(instance.Warmup); instance.Warmup > 0 && end.After(u.warmupEnd) {
			u.warmupEnd = end
		}
		u.draining = instance.Draining
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
	for service := range pool.byService {
		pool.serveQueueLocked(service)
	}
}
