package proxy

import (
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"slateridge/internal/discovery"
)

// Upstream is one life of an upstream, as this proxy knows it.
type Upstream struct {
	instance  discovery.Instance // but for its slots it never changes; what does is kept below
	pool      *Pool
	distance  int // 0 in this zone, 1 in this region, 2 beyond
	region    string
	rank      uint32    // this proxy's lot for it, by which its own few are drawn
	warmupEnd time.Time // slow before this

	// under pool.mu
	removed             bool
	draining            bool
	active              map[*placement]time.Time // requests there, since when
	idle                []*Conn
	conns               int
	lastColdRequest     time.Time // last given a place while cold
	reportedLoad        float64   // requests running and waiting for each slot, as it last told
	activeAtReport      int       // of them from here
	loadReportedAt      time.Time
	delay               float64 // running mean of the time to an answer, seconds; 0 unknown
	delayUpdatedAt      time.Time
	consecutiveFailures int
	ejectedUntil        time.Time // not before
	responses           uint64
}

// placement is one request's place at an upstream.
type placement struct {
	upstream        *Upstream
	timeToFirstByte float64 // seconds to a stream's first piece; 0 none yet
}

// rendezvousRank draws an upstream's place in a proxy's order: stable while both live, and
// even over all proxies.
func rendezvousRank(proxy, instance string) uint32 {
	h := fnv.New64a()
	h.Write([]byte(proxy + " " + instance))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return uint32(x >> 32)
}

// usable says whether the upstream may still be sent a request with such homes.
func (u *Upstream) usable(homes string) bool {
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	return !u.removed && !u.draining && !u.pool.evacuated[u.instance.Zone] && regionAllowed(homes, u.region)
}

// recordLoad takes what an upstream says of its load: running, waiting, slots.
func (u *Upstream) recordLoad(header string) {
	p := strings.Split(header, ",")
	if len(p) != 3 {
		return
	}
	var n [3]float64
	for i := range p {
		v, err := strconv.ParseUint(strings.TrimSpace(p[i]), 10, 16)
		if err != nil {
			return
		}
		n[i] = float64(v)
	}
	if n[2] == 0 {
		return
	}
	u.pool.mu.Lock()
	u.reportedLoad, u.loadReportedAt, u.activeAtReport = (n[0]+n[1])/n[2], time.Now(), len(u.active)
	u.pool.mu.Unlock()
}

// slotShare is this proxy's part of the upstream's places.
func (u *Upstream) slotShare() int {
	if u.pool.proxyCount == 0 {
		return 0 // not known yet
	}
	return (u.instance.Slots + u.pool.proxyCount - 1) / u.pool.proxyCount
}
