// Package directory answers clients that ask where to connect. It answers from what this
// machine has heard of the proxies, with no agreed read and no disk on the way, so it goes
// on through cuts and the loss of the core.
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

// Location is what a proxy says of itself.
type Location struct {
	Front        string // where clients connect
	Zone, Region string
	Ready        bool
}

// entry is a proxy as known here.
type entry struct {
	Location
	reportedAt     time.Duration // when this was so
	directReportAt time.Duration // when it last said so itself, to this machine
	validFor       time.Duration // how long its word counts
	disconnected   bool          // its connection ended and it has not spoken since
}

// Directory keeps the places and the answers made from them. An answer is made
// anew when a place changes or grows old, not with each call.
type Directory struct {
	mu             sync.Mutex
	zones          map[string]string // zone to region
	startedAt      time.Duration
	proxies        map[string]*entry
	cache          map[string][]string
	cacheExpiresAt time.Duration // answers hold until then
	lookups        uint64
	unanswered     uint64 // calls that could not be answered
	spilled        uint64 // answers made that name proxies beyond the zone asked for
}

// New makes a directory that knows nothing yet.
func New(now time.Duration, zones map[string]string) *Directory {
	return &Directory{zones: zones, startedAt: now, proxies: map[string]*entry{}, cache: map[string][]string{}}
}

// Report takes a proxy's own word; often says that the next is due soon.
func (d *Directory) Report(now time.Duration, node string, p Location, often bool) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed = d.update(now, node, p)
	e := d.proxies[node]
	e.directReportAt, e.validFor = now, constants.PlaceFresh
	if often {
		e.validFor = constants.PlaceOften
	}
	return changed
}

// ReportRelayed takes another control machine's word on a proxy, as old as that is. What
// the proxy said here itself of late counts more.
func (d *Directory) ReportRelayed(now time.Duration, node string, p Location, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.proxies[node]; e == nil || now-age > e.reportedAt {
		d.update(now-age, node, p)
		if e := d.proxies[node]; now-e.directReportAt > constants.PlaceFresh {
			e.validFor = constants.PlaceFresh
		}
	}
}

func (d *Directory) update(at time.Duration, node string, p Location) bool {
	e := d.proxies[node]
	if e == nil {
		e = &entry{directReportAt: -constants.ProxyForget, validFor: constants.PlaceFresh}
		d.proxies[node] = e
	}
	changed := e.Location != p || e.disconnected || at-e.reportedAt > e.validFor
	e.Location, e.reportedAt, e.disconnected = p, at, false
	if changed {
		d.cacheExpiresAt = 0
	}
	return changed
}

// MarkDisconnected notes that a proxy's connection ended, here or at another control
// machine: it leaves the answers until it speaks again.
func (d *Directory) MarkDisconnected(now time.Duration, node string, here bool) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.proxies[node]
	if e == nil || e.disconnected || !here && now-e.directReportAt < constants.SubscriptionSilence {
		return false
	}
	e.disconnected = true
	d.cacheExpiresAt = 0
	return true
}

// Lookup answers a client of a zone. false: too little is known yet.
func (d *Directory) Lookup(now time.Duration, zone, region string) ([]string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lookups++
	if now >= d.cacheExpiresAt {
		clear(d.cache)
		d.cacheExpiresAt = now + constants.AnswerFresh
	}
	if r, ok := d.zones[zone]; ok {
		region = r
	}
	key := zone + " " + region
	a, ok := d.cache[key]
	if !ok {
		a = d.selectProxies(now, zone, region)
		if len(d.cache) < constants.AnswersKept {
			d.cache[key] = a
		}
	}
	if len(a) == 0 || now-d.startedAt < constants.DirectoryQuiet {
		d.unanswered++
		return nil, false
	}
	return a, true
}

// selectProxies names the ready proxies of the client's zone. When they are too few to
// carry what the zone's proxies carry together, others make up for what is
// missing, of the region first: as many as are needed, and so by degrees. All
// count alike: clients choose evenly among the addresses of an selectProxies.
func (d *Directory) selectProxies(now time.Duration, zone, region string) []string {
	candidates, known := d.candidates(now, zone, region)
	var out []string
	beyond := false
	want := int(math.Ceil(float64(known) * constants.ZoneEnough))
	for _, c := range candidates {
		if len(out) >= constants.AnswerMost || c.distance > 0 && len(out) >= max(want, constants.AnswerLeast) {
			break
		}
		beyond = beyond || c.distance > 0
		out = append(out, c.Front)
	}
	if beyond {
		d.spilled++
	}
	slices.Sort(out)
	return out
}

// candidate is a proxy that an answer may name. distance is 0 in the client's zone, 1 in
// its region, 2 elsewhere; lot orders those at the same distance, differently for each zone.
type candidate struct {
	*entry
	distance int
	hash     uint32
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Front, b.Front))
}

// candidates lists the proxies that an answer may name, in the order of preference, and
// counts all those known in the zone. It drops the ones that have long been silent.
func (d *Directory) candidates(now time.Duration, zone, region string) (out []candidate, known int) {
	old := d.noneFresh(now) // nobody is known afresh: what was known last is better than nothing
	for n, e := range d.proxies {
		if now-e.reportedAt > constants.ProxyForget {
			delete(d.proxies, n)
			continue
		}
		if e.Zone == zone {
			known++
		}
		if !e.Ready || !old && (e.disconnected || now-e.reportedAt > e.validFor) {
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
		h.Write([]byte(n + " " + zone))
		c.hash = h.Sum32()
		out = append(out, c)
	}
	slices.SortFunc(out, compareCandidates)
	return out, known
}

// noneFresh says whether there is no ready proxy that was heard of lately.
func (d *Directory) noneFresh(now time.Duration) bool {
	for _, e := range d.proxies {
		if !e.disconnected && e.Ready && now-e.reportedAt <= e.validFor {
			return false
		}
	}
	return true
}

// LocationState is one proxy for operators.
type LocationState struct {
	Node string
	Location
	Silent time.Duration
	Gone   bool
	Old    bool // its word no longer counts
}

// State is how the directory treats the proxy.
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

// Counts are the calls, those without an answer, and the answers made that name
// proxies beyond the zone asked for.
func (d *Directory) Counts() (asked, empty, spilled uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lookups, d.unanswered, d.spilled
}

// States lists all places.
func (d *Directory) States(now time.Duration) []LocationState {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []LocationState
	for n, e := range d.proxies {
		out = append(out, LocationState{n, e.Location, now - e.reportedAt, e.disconnected, now-e.reportedAt > e.validFor})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}
