package proxy

import (
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"slateridge/internal/discovery"
)

// Upstream is one incarnation of an upstream instance as seen by this proxy.
type Upstream struct {
	instance  discovery.Instance // immutable except for Slots; other mutable state is below
	pool      *Pool
	distance  int // 0 in this zone, 1 in this region, 2 in another region
	region    string
	rank      uint32    // rendezvous rank for this proxy; it orders candidates and selects the senders to cold upstreams
	warmupEnd time.Time // responses are slower until then

	// Protected by pool.mu.
	removed             bool
	draining            bool
	active              map[*placement]time.Time // start times of this proxy's requests in flight
	idle                []*upstreamConn
	conns               int
	lastColdRequest     time.Time // when a request was last placed during warm-up
	reportedLoad        float64   // requests running and queued per slot, as last reported
	activeAtReport      int       // this proxy's requests in flight at that time
	loadReportedAt      time.Time
	delay               float64 // moving average of the time to a response, in seconds; 0 while unknown
	delayUpdatedAt      time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
	responses           uint64
}

// placement is the capacity that a request occupies at an upstream.
type placement struct {
	upstream        *Upstream
	timeToFirstByte float64 // of a stream's body, in seconds; 0 until it arrives
}

// rendezvousRank returns the rank of an instance in the order of a proxy or of another key.
// The rank is stable, and ranks are evenly distributed over keys and instances.
func rendezvousRank(key, instance string) uint32 {
	h := fnv.New64a()
	h.Write([]byte(key + " " + instance))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return uint32(x >> 32)
}

// usable reports whether the upstream may still receive a request with the given regions key.
func (u *Upstream) usable(regions string) bool {
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	return !u.removed && !u.draining && !u.pool.evacuated[u.instance.Zone] && regionAllowed(regions, u.region)
}

// recordLoad parses and stores the load that an upstream reports in a response header:
// running requests, waiting requests and slots, separated by commas. Invalid values are
// ignored.
func (u *Upstream) recordLoad(header string) {
	fields := strings.Split(header, ",")
	if len(fields) != 3 {
		return
	}
	var values [3]float64
	for i := range fields {
		v, err := strconv.ParseUint(strings.TrimSpace(fields[i]), 10, 16)
		if err != nil {
			return
		}
		values[i] = float64(v)
	}
	if values[2] == 0 {
		return
	}
	u.pool.mu.Lock()
	u.reportedLoad, u.loadReportedAt, u.activeAtReport = (values[0]+values[1])/values[2], time.Now(), len(u.active)
	u.pool.mu.Unlock()
}

// slotShare returns this proxy's share of the upstream's slots, rounded up, or 0 while the
// number of proxies is unknown.
func (u *Upstream) slotShare() int {
	if u.pool.proxyCount == 0 {
		return 0
	}
	return (u.instance.Slots + u.pool.proxyCount - 1) / u.pool.proxyCount
}
