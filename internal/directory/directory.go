// Package directory answers clients that ask which proxies to connect to. Answers come from
// the proxies' reports that this machine has received. A lookup needs neither a linearizable
// read nor the disk, so lookups keep working through network partitions and the loss of the
// control-plane quorum.
package directory

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"slateridge/internal/constants"
)

// Location is what a proxy reports about itself.
type Location struct {
	Front        string // address that clients connect to
	Zone, Region string
	Ready        bool
}

// entry is the latest known state of a proxy.
type entry struct {
	Location
	reportedAt     time.Duration // when the latest report was made
	directReportAt time.Duration // when the proxy last reported to this machine directly
	validFor       time.Duration // how long after reportedAt the report counts as fresh
	disconnected   bool          // its connection ended and it has not reported since
}

// Directory keeps the locations of the proxies and a cache of answers. The cache is
// discarded when a location changes or the cache expires, so that an answer is not
// computed on each call.
type Directory struct {
	mu             sync.Mutex
	zones          map[string]string // zone to region
	startedAt      time.Duration
	proxies        map[string]*entry
	cache          map[string][]string // answers by zone and region
	cacheExpiresAt time.Duration
	lookups        uint64
	unanswered     uint64 // lookups without an answer
	spilled        uint64 // computed answers that include proxies outside the requested zone
}

// New returns a directory without any proxies.
func New(now time.Duration, zones map[string]string) *Directory {
	return &Directory{zones: zones, startedAt: now, proxies: map[string]*entry{}, cache: map[string][]string{}}
}

// Report records a report that a proxy sent to this machine. If frequent is set, the proxy
// reports at short intervals and its report expires earlier.
func (d *Directory) Report(now time.Duration, node string, location Location, frequent bool) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed = d.update(now, node, location)
	e := d.proxies[node]
	e.directReportAt, e.validFor = now, constants.LocationMaxAge
	if frequent {
		e.validFor = constants.DirectLocationMaxAge
	}
	return changed
}

// ReportRelayed records a report of the given age that another control node relayed. A newer
// report takes precedence, and a recent direct report keeps its own validity period.
func (d *Directory) ReportRelayed(now time.Duration, node string, location Location, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.proxies[node]; e == nil || now-age > e.reportedAt {
		d.update(now-age, node, location)
		if e := d.proxies[node]; now-e.directReportAt > constants.LocationMaxAge {
			e.validFor = constants.LocationMaxAge
		}
	}
}

func (d *Directory) update(at time.Duration, node string, location Location) bool {
	e := d.proxies[node]
	if e == nil {
		e = &entry{directReportAt: -constants.ProxyExpiry, validFor: constants.LocationMaxAge}
		d.proxies[node] = e
	}
	changed := e.Location != location || e.disconnected || at-e.reportedAt > e.validFor
	e.Location, e.reportedAt, e.disconnected = location, at, false
	if changed {
		d.cacheExpiresAt = 0
	}
	return changed
}

// MarkDisconnected records that a proxy's connection to this machine (local) or to another
// control node ended. The proxy is left out of answers until its next report.
func (d *Directory) MarkDisconnected(now time.Duration, node string, local bool) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.proxies[node]
	if e == nil || e.disconnected || !local && now-e.directReportAt < constants.SubscriptionTimeout {
		return false
	}
	e.disconnected = true
	d.cacheExpiresAt = 0
	return true
}

// Lookup returns the addresses of proxies for a client in the given zone. It returns false
// if no proxy is known or the directory has not been running long enough to have received
// the reports of all proxies.
func (d *Directory) Lookup(now time.Duration, zone, region string) ([]string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lookups++
	if now >= d.cacheExpiresAt {
		clear(d.cache)
		d.cacheExpiresAt = now + constants.DirectoryCacheTTL
	}
	if r, ok := d.zones[zone]; ok {
		region = r
	}
	key := zone + " " + region
	addresses, ok := d.cache[key]
	if !ok {
		addresses = d.selectProxies(now, zone, region)
		if len(d.cache) < constants.DirectoryCacheEntries {
			d.cache[key] = addresses
		}
	}
	if len(addresses) == 0 || now-d.startedAt < constants.DirectoryStartupDelay {
		d.unanswered++
		return nil, false
	}
	return addresses, true
}

// selectProxies returns the addresses of the ready proxies in the client's zone. If they are
// too few to carry the load of all proxies known in the zone, it adds only as many proxies as
// are missing, those of the same region first, so that load moves to other zones gradually.
// The result is not ordered by preference: clients pick evenly among the addresses.
func (d *Directory) selectProxies(now time.Duration, zone, region string) []string {
	candidates, known := d.candidates(now, zone, region)
	var out []string
	spilled := false
	want := int(math.Ceil(float64(known) * constants.MinZoneFraction))
	for _, c := range candidates {
		if len(out) >= constants.MaxLookupAddresses || c.distance > 0 && len(out) >= max(want, constants.MinLookupAddresses) {
			break
		}
		spilled = spilled || c.distance > 0
		out = append(out, c.Front)
	}
	if spilled {
		d.spilled++
	}
	slices.Sort(out)
	return out
}

// candidate is a proxy that an answer may include. distance is 0 in the client's zone, 1 in
// its region and 2 elsewhere. hash orders candidates at the same distance, in a different
// order for each zone.
type candidate struct {
	*entry
	distance int
	hash     uint32
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Front, b.Front))
}

// candidates returns the proxies that an answer may include, in order of preference, and the
// number of proxies known in the zone. It deletes proxies that have not reported for
// constants.ProxyExpiry. If no proxy has a fresh report, stale entries are included, because
// an outdated answer is better than none.
func (d *Directory) candidates(now time.Duration, zone, region string) (out []candidate, known int) {
	includeStale := d.noneFresh(now)
	for node, e := range d.proxies {
		if now-e.reportedAt > constants.ProxyExpiry {
			delete(d.proxies, node)
			continue
		}
		if e.Zone == zone {
			known++
		}
		if !e.Ready || !includeStale && (e.disconnected || now-e.reportedAt > e.validFor) {
			continue
		}
		c := candidate{entry: e}
		switch {
		case e.Zone == zone:
		case e.Region == region:
			c.distance = 1
		default:
			c.distance = 2
		}
		h := fnv.New32a()
		h.Write([]byte(node + " " + zone))
		c.hash = h.Sum32()
		out = append(out, c)
	}
	slices.SortFunc(out, compareCandidates)
	return out, known
}

// noneFresh reports whether no ready, connected proxy has a fresh report.
func (d *Directory) noneFresh(now time.Duration) bool {
	for _, e := range d.proxies {
		if !e.disconnected && e.Ready && now-e.reportedAt <= e.validFor {
			return false
		}
	}
	return true
}

// LocationState is the state of one proxy as shown to operators.
type LocationState struct {
	Node string
	Location
	Silent time.Duration // since the latest report was made
	Gone   bool          // disconnected
	Old    bool          // the latest report has expired
}

// State returns the name of the proxy's state in the directory. A proxy in the state "named"
// is included in answers.
func (p LocationState) State() string {
	switch {
	case p.Gone:
		return "gone"
	case !p.Ready:
		return "not_ready"
	case p.Old:
		return "silent"
	}
	return "named"
}

// Counts returns the number of lookups, the number of lookups without an answer, and the
// number of computed answers that include proxies outside the requested zone.
func (d *Directory) Counts() (lookups, unanswered, spilled uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lookups, d.unanswered, d.spilled
}

// States returns the states of all known proxies, sorted by node.
func (d *Directory) States(now time.Duration) []LocationState {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []LocationState
	for node, e := range d.proxies {
		out = append(out, LocationState{node, e.Location, now - e.reportedAt, e.disconnected, now-e.reportedAt > e.validFor})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}
