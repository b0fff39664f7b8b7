package controlplane

import (
	"net"
	"slices"
	"sync"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/directory"
	"slateridge/internal/distribution"
	"slateridge/internal/eventlog"
	"slateridge/internal/membership"
	"slateridge/internal/settings"
	"slateridge/internal/transport"
)

// RosterUpdate tells the other control machines of the proxies that spoke here: how
// long ago, the count they said they use, where they stand, and which share in
// the split quotas. It tells what has changed at once, and the rest by turns.
// Gone are those whose connections have just ended.
type RosterUpdate struct {
	Words  map[string]ProxyStatus
	Shares []string
	Gone   []string
}

// ProxyStatus is one proxy's latest.
type ProxyStatus struct {
	Age   time.Duration
	Count int
	Place directory.Location
}

func init() { transport.Register(transport.NameRoster, RosterUpdate{}) }

// proxyEntry is a proxy on the roster. shares says that it has been told a
// count, so that it may be using a share of the split quotas.
type proxyEntry struct {
	seenAt     time.Time
	seenHereAt time.Time // when it last spoke here
	location   directory.Location
	hasShare   bool
	count      int // the live count it last said it uses, here or to another
	sentStatus ProxyStatus
	sentAt     time.Time // when the others nearby were last told
}

// roster knows the live proxies and which of them share in the split quotas, and tells the
// other control machines. mu guards the fields below it. It is released before messages are
// sent or the proxies are told; the directory's lock may be taken under it.
type roster struct {
	settings  *settings.Settings
	events    *eventlog.Log
	startedAt time.Time
	now       func() time.Duration
	directory *directory.Directory // nil where no directory is served
	locations *locations           // of the control machines
	members   func() []membership.Fact
	peers     func() []string // the other control machines
	send      func(to string, message any)
	publish   func()                             // has the proxies told
	put       func(key string, value func() any) // stores a value; takes the replica's lock

	mu         sync.Mutex
	entries    map[string]*proxyEntry // by address
	complete   bool                   // all proxies with a share are on it
	round      int
	sharesSent []string
}

// restore takes up the proxies that had a share when this process last ran.
func (r *roster) restore(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
	for _, a := range addresses {
		r.entries[a] = &proxyEntry{seenAt: r.startedAt, hasShare: true}
	}
}

// size is how many proxies are on the roster.
func (r *roster) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// liveCount is how many proxies there are; 0 while the roster is not complete.
func (r *roster) liveCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.complete {
		return 0
	}
	return len(r.entries)
}

// recentProxies are the proxies that have spoken lately, to any control machine.
func (r *roster) recentProxies() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for a, e := range r.entries {
		if time.Since(e.seenAt) < constants.UsageSilent {
			out = append(out, a)
		}
	}
	return out
}

// hasShare says whether a proxy may be told the live count.
func (r *roster) hasShare(node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[node]
	return e != nil && e.hasShare
}

// handleSubscription takes a proxy's message. A newcomer gets a share of the split quotas only
// after every other proxy that has one has said that it reckons with the larger
// count, so that the shares in use never add up to more than the whole.
func (r *roster) handleSubscription(subscription distribution.Subscription) {
	node, count := subscription.Node, subscription.Proxies
	var location directory.Location
	if r.directory != nil {
		location = directory.Location{Front: subscription.Front, Zone: subscription.Zone, Region: subscription.Region, Ready: subscription.Ready}
		if r.directory.Report(r.now(), node, location, subscription.Full) {
			r.sendAll(RosterUpdate{Words: map[string]ProxyStatus{node: {Count: count, Place: location}}})
		}
	}
	r.mu.Lock()
	e := r.entries[node]
	known := e != nil
	if !known {
		e = &proxyEntry{}
		r.entries[node] = e
	}
	e.seenAt, e.count, e.location = time.Now(), count, location
	e.seenHereAt = e.seenAt
	granted := r.grantShares()
	r.mu.Unlock()
	if !known {
		r.events.Record("proxy", node+" joined")
	}
	if granted {
		r.persist()
	}
	if !known || granted {
		r.publish()
	}
}

// handleDisconnect takes the end of a proxy's last connection.
func (r *roster) handleDisconnect(node string) {
	if r.directory != nil && r.directory.Disconnected(r.now(), node, true) {
		r.sendAll(RosterUpdate{Gone: []string{node}})
	}
}

// sendAll sends a message to all other control machines.
func (r *roster) sendAll(m RosterUpdate) {
	for _, p := range r.peers() {
		r.send(p, m)
	}
}

// grantShares lets newcomers share once that is safe; true when any did. mu is held.
func (r *roster) grantShares() bool {
	if !r.complete {
		// The very first start: nobody has been told a count yet.
		if !r.settings.Bootstrap || time.Since(r.startedAt) < constants.RosterQuiet || len(r.entries) == 0 {
			return false
		}
		r.complete = true
	} else {
		withoutShare := false
		for _, e := range r.entries {
			if e.hasShare && e.count < len(r.entries) {
				return false
			}
			withoutShare = withoutShare || !e.hasShare
		}
		if !withoutShare {
			return false
		}
	}
	for _, e := range r.entries {
		e.hasShare = true
	}
	return true
}

// persist stores which proxies have a share, in a goroutine of its own since the disk may
// take long. What cannot be kept is told again by the others.
func (r *roster) persist() {
	go r.put(rosterKey, func() any {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.shareHolders()
	})
}

// rosterKey names the roster in the store.
const rosterKey = "roster"

// shareHolders lists the proxies that have a share, sorted. mu is held.
func (r *roster) shareHolders() []string {
	var out []string
	for a, e := range r.entries {
		if e.hasShare {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// broadcast tells the other control machines, and drops proxies that have long been silent.
func (r *roster) broadcast() {
	facts := r.members()
	r.mu.Lock()
	r.round++
	r.markAlive(facts)
	changed := r.dropSilent()
	sameRegion, otherRegions := r.statuses()
	shares := r.shareHolders()
	if r.round%constants.RosterWhole == 0 || !slices.Equal(shares, r.sharesSent) {
		sameRegion.Shares, otherRegions.Shares, r.sharesSent = shares, shares, shares
	}
	sendOtherRegions := r.round%constants.RosterFar == 0 || otherRegions.Shares != nil
	changed = r.grantShares() || changed
	r.mu.Unlock()
	if changed {
		r.persist()
		r.publish()
	}
	for _, p := range r.peers() {
		if r.locations.lookup(p).Region == r.settings.Region {
			r.send(p, sameRegion)
		} else if sendOtherRegions {
			r.send(p, otherRegions)
		}
	}
}

// markAlive keeps proxies on the roster that cannot reach this machine but live, as others
// vouch. mu is held.
func (r *roster) markAlive(facts []membership.Fact) {
	for _, f := range facts {
		host, _, _ := net.SplitHostPort(f.Addr)
		e := r.entries[host]
		if e != nil && f.State == membership.Alive && f.Addr == r.settings.PeerInternal(host, constants.PortProxyMembership) {
			e.seenAt = time.Now()
		}
	}
}

// dropSilent forgets proxies that have long been silent; true when any was. mu is held.
func (r *roster) dropSilent() bool {
	dropped := false
	for a, e := range r.entries {
		if time.Since(e.seenAt) > constants.ProxyForget {
			delete(r.entries, a)
			dropped = true
		}
	}
	return dropped
}

// statuses are the messages on the proxies that spoke here lately: near has what has changed
// or not been told for a while, far all. mu is held.
func (r *roster) statuses() (sameRegion, otherRegions RosterUpdate) {
	sameRegion, otherRegions = RosterUpdate{Words: map[string]ProxyStatus{}}, RosterUpdate{Words: map[string]ProxyStatus{}}
	for a, e := range r.entries {
		age := time.Since(e.seenHereAt)
		if age >= constants.SubscriptionSilence {
			continue // the others' own proxies are theirs to tell of
		}
		status := ProxyStatus{age, e.count, e.location}
		otherRegions.Words[a] = status
		sent := e.sentStatus
		if sent.Count != status.Count || sent.Place != status.Place || time.Since(e.sentAt) >= constants.RosterRefresh {
			sameRegion.Words[a], e.sentStatus, e.sentAt = status, status, time.Now()
		}
	}
	return sameRegion, otherRegions
}

// merge takes what another control machine tells.
func (r *roster) merge(m RosterUpdate) {
	r.mu.Lock()
	changed := r.mergeStatuses(m.Words)
	if r.directory != nil {
		for _, a := range m.Gone {
			r.directory.Disconnected(r.now(), a, false)
		}
	}
	changed = r.mergeShares(m.Shares) || changed
	r.mu.Unlock()
	if changed {
		r.persist()
		r.publish()
	}
}

// mergeStatuses is true when a proxy is new here. mu is held.
func (r *roster) mergeStatuses(statuses map[string]ProxyStatus) bool {
	added := false
	for a, s := range statuses {
		at := time.Now().Add(-s.Age)
		if e := r.entries[a]; e == nil {
			r.entries[a] = &proxyEntry{seenAt: at, count: s.Count, location: s.Place}
			added = true
		} else if at.After(e.seenAt) {
			e.seenAt, e.count, e.location = at, s.Count, s.Place
		}
		if r.directory != nil {
			r.directory.Relay(r.now(), a, s.Place, s.Age)
		}
	}
	return added
}

// mergeShares is true when a proxy has a share that had none here. mu is held.
func (r *roster) mergeShares(shares []string) bool {
	if len(shares) == 0 {
		return false
	}
	changed := false
	r.complete = true
	for _, a := range shares {
		if e := r.entries[a]; e != nil && !e.hasShare {
			e.hasShare, changed = true, true
		}
	}
	return changed
}
