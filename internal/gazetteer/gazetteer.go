// Package gazetteer names the places; in the field's terms: the directory that
// clients ask where to connect. It answers from what this machine has heard of
// the proxies, with no agreed read and no disk on the way, so it goes on
// through cuts and the loss of the core.
package gazetteer

import (
	"hash/fnv"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"slateridge/internal/constants"
)

// Place is what a proxy says of itself.
type Place struct {
	Front        string // where clients connect
	Zone, Region string
	Ready        bool
}

// entry is a proxy as known here.
type entry struct {
	Place
	at     time.Duration // when this was so
	direct time.Duration // when it last said so itself, to this machine
	fresh  time.Duration // how long its word counts
	gone   bool          // its connection ended and it has not spoken since
}

// Gazetteer keeps the places and the answers made from them. An answer is made
// anew when a place changes or grows old, not with each call.
type Gazetteer struct {
	mu      sync.Mutex
	zones   map[string]string // zone to region
	began   time.Duration
	places  map[string]*entry
	answers map[string][]string
	freshAt time.Duration // answers hold until then
	Asked   uint64
	Empty   uint64 // calls that could not be answered
	Spilled uint64 // answers made that name proxies beyond the zone asked for
}

// New makes a directory that knows nothing yet.
func New(now time.Duration, zones map[string]string) *Gazetteer {
	return &Gazetteer{zones: zones, began: now, places: map[string]*entry{}, answers: map[string][]string{}}
}

// Tell takes a proxy's own word; often says that the next is due soon.
func (g *Gazetteer) Tell(now time.Duration, node string, p Place, often bool) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed = g.put(now, node, p)
	e := g.places[node]
	e.direct, e.fresh = now, constants.PlaceFresh
	if often {
		e.fresh = constants.PlaceOften
	}
	return changed
}

// Hear takes another control machine's word on a proxy, as old as that is. What
// the proxy said here itself of late counts more.
func (g *Gazetteer) Hear(now time.Duration, node string, p Place, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.places[node]; e == nil || now-age > e.at {
		g.put(now-age, node, p)
		if e := g.places[node]; now-e.direct > constants.PlaceFresh {
			e.fresh = constants.PlaceFresh
		}
	}
}

func (g *Gazetteer) put(at time.Duration, node string, p Place) bool {
	e := g.places[node]
	if e == nil {
		e = &entry{direct: -constants.ProxyForget, fresh: constants.PlaceFresh}
		g.places[node] = e
	}
	changed := e.Place != p || e.gone || at-e.at > e.fresh
	e.Place, e.at, e.gone = p, at, false
	if changed {
		g.freshAt = 0
	}
	return changed
}

// Gone notes that a proxy's connection ended, here or at another control
// machine: it leaves the answers until it speaks again.
func (g *Gazetteer) Gone(now time.Duration, node string, here bool) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.places[node]
	if e == nil || e.gone || !here && now-e.direct < constants.SubscriptionSilence {
		return false
	}
	e.gone = true
	g.freshAt = 0
	return true
}

// Lookup answers a client of a zone. false: too little is known yet.
func (g *Gazetteer) Lookup(now time.Duration, zone, region string) ([]string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Asked++
	if now >= g.freshAt {
		clear(g.answers)
		g.freshAt = now + constants.AnswerFresh
	}
	if r, ok := g.zones[zone]; ok {
		region = r
	}
	key := zone + " " + region
	a, ok := g.answers[key]
	if !ok {
		a = g.answer(now, zone, region)
		if len(g.answers) < constants.AnswersKept {
			g.answers[key] = a
		}
	}
	if len(a) == 0 || now-g.began < constants.DirectoryQuiet {
		g.Empty++
		return nil, false
	}
	return a, true
}

// answer names the ready proxies of the client's zone. When they are too few to
// carry what the zone's proxies carry together, others make up for what is
// missing, of the region first: as many as are needed, and so by degrees. All
// count alike: clients choose evenly among the addresses of an answer.
func (g *Gazetteer) answer(now time.Duration, zone, region string) []string {
	type cand struct {
		*entry
		far int
		lot uint32
	}
	var all []cand
	known := 0
	old := true // nobody is known afresh: what was known last is better than nothing
	for _, e := range g.places {
		old = old && (e.gone || !e.Ready || now-e.at > e.fresh)
	}
	for n, e := range g.places {
		if now-e.at > constants.ProxyForget {
			delete(g.places, n)
			continue
		}
		if e.Zone == zone {
			known++
		}
		if !e.Ready || !old && (e.gone || now-e.at > e.fresh) {
			continue
		}
		c := cand{entry: e}
		switch {
		case e.Zone == zone:
		case e.Region == region:
			c.far = 1
		default:
			c.far = 2
		}
		h := fnv.New32a()
		h.Write([]byte(n + " " + zone))
		c.lot = h.Sum32()
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].far < all[j].far || all[i].far == all[j].far && (all[i].lot < all[j].lot || all[i].lot == all[j].lot && all[i].Front < all[j].Front)
	})
	var out []string
	beyond := false
	want := int(math.Ceil(float64(known) * constants.ZoneEnough))
	for _, c := range all {
		if len(out) >= constants.AnswerMost || c.far > 0 && len(out) >= max(want, constants.AnswerLeast) {
			break
		}
		beyond = beyond || c.far > 0
		out = append(out, c.Front)
	}
	if beyond {
		g.Spilled++
	}
	slices.Sort(out)
	return out
}

// PlaceState is one proxy for operators.
type PlaceState struct {
	Node string
	Place
	Silent time.Duration
	Gone   bool
	Old    bool // its word no longer counts
}

// State is how the directory treats the proxy.
func (p PlaceState) State() string {
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
func (g *Gazetteer) Counts() (asked, empty, spilled uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Asked, g.Empty, g.Spilled
}

// States lists all places.
func (g *Gazetteer) States(now time.Duration) []PlaceState {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []PlaceState
	for n, e := range g.places {
		out = append(out, PlaceState{n, e.Place, now - e.at, e.gone, now-e.at > e.fresh})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}
