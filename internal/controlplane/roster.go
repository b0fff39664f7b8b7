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

// RosterUpdate informs the other control machines about the proxies that report to the sender.
// Words holds their status by address. Changes are sent at once, the rest periodically. Shares
// lists the proxies with a share of the split quotas, Gone those whose connections have just
// ended.
type RosterUpdate struct {
	Words  map[string]ProxyStatus
	Shares []string
	Gone   []string
}

// ProxyStatus is the latest status of a proxy: the time since its last message, the live count
// that it uses, and its location.
type ProxyStatus struct {
	Age   time.Duration
	Count int
	Place directory.Location
}

func init() { transport.Register(transport.NameRoster, RosterUpdate{}) }

// proxyEntry is a proxy on the roster. hasShare means that the proxy may have been sent a live
// count and may use a share of the split quotas.
type proxyEntry struct {
	seenAt     time.Time // last sign of life on any machine
	seenHereAt time.Time // last message to this machine
	location   directory.Location
	hasShare   bool
	count      int // live count that the proxy last reported to any control machine
	sentStatus ProxyStatus
	sentAt     time.Time // when sentStatus was last sent to the machines of this region
}

// roster tracks the live proxies and which of them have a share of the split quotas, and shares
// this information with the other control machines. mu guards the fields below it and is
// released before messages are sent or updates are published. The directory's lock may be
// taken while mu is held.
type roster struct {
	settings  *settings.Settings
	events    *eventlog.Log
	startedAt time.Time
	now       func() time.Duration
	directory *directory.Directory // nil if this machine serves no directory
	locations *locations           // of the control machines
	members   func() []membership.Fact
	peers     func() []string // the other control machines
	send      func(to string, message any)
	publish   func()                                 // sends the change to the proxies
	put       func(key string, makeValue func() any) // stores a value; takes the replica's lock

	mu         sync.Mutex
	entries    map[string]*proxyEntry // by address
	complete   bool                   // entries contains all proxies with a share
	round      int
	sharesSent []string
}

// restore adds the proxies that had a share when the roster was last saved.
func (r *roster) restore(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
	for _, a := range addresses {
		r.entries[a] = &proxyEntry{seenAt: r.startedAt, hasShare: true}
	}
}

// size returns the number of proxies on the roster.
func (r *roster) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// liveCount returns the number of live proxies, or 0 if the roster is not complete.
func (r *roster) liveCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.complete {
		return 0
	}
	return len(r.entries)
}

// recentProxies returns the proxies that any control machine has heard from recently.
func (r *roster) recentProxies() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for a, e := range r.entries {
		if time.Since(e.seenAt) < constants.UsageProxyTimeout {
			out = append(out, a)
		}
	}
	return out
}

// hasShare reports whether a proxy has a share of the split quotas and may be sent the live
// count.
func (r *roster) hasShare(node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[node]
	return e != nil && e.hasShare
}

// handleSubscription processes a proxy's subscription. A new proxy gets a share of the split
// quotas only after every proxy with a share has confirmed that it uses the larger count. The
// shares in use then never add up to more than the whole quota.
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

// handleDisconnect processes the end of a proxy's last connection to this machine.
func (r *roster) handleDisconnect(node string) {
	if r.directory != nil && r.directory.MarkDisconnected(r.now(), node, true) {
		r.sendAll(RosterUpdate{Gone: []string{node}})
	}
}

func (r *roster) sendAll(m RosterUpdate) {
	for _, p := range r.peers() {
		r.send(p, m)
	}
}

// grantShares gives all proxies a share once that is safe, and reports whether any proxy got a
// new one. The caller must hold mu.
func (r *roster) grantShares() bool {
	if !r.complete {
		// At the first bootstrap no proxy has been sent a count yet.
		if !r.settings.Bootstrap || time.Since(r.startedAt) < constants.RosterStartupDelay || len(r.entries) == 0 {
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

// persist saves the proxies that have a share, in a separate goroutine because the disk may be
// slow. Write errors are ignored because the other machines send the list again.
func (r *roster) persist() {
	go r.put(rosterKey, func() any {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.shareHolders()
	})
}

// rosterKey is the key of the roster in the store.
const rosterKey = "roster"

// shareHolders returns the sorted addresses of the proxies that have a share. The caller must
// hold mu.
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

// broadcast sends the roster to the other control machines and drops silent proxies.
func (r *roster) broadcast() {
	facts := r.members()
	r.mu.Lock()
	r.round++
	r.markAlive(facts)
	changed := r.dropSilent()
	sameRegion, otherRegions := r.statuses()
	shares := r.shareHolders()
	if r.round%constants.RosterSharesRounds == 0 || !slices.Equal(shares, r.sharesSent) {
		sameRegion.Shares, otherRegions.Shares, r.sharesSent = shares, shares, shares
	}
	sendOtherRegions := r.round%constants.RosterOtherRegionRounds == 0 || otherRegions.Shares != nil
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

// markAlive keeps proxies on the roster that cannot reach this machine but are alive according
// to the membership protocol. The caller must hold mu.
func (r *roster) markAlive(facts []membership.Fact) {
	for _, f := range facts {
		host, _, _ := net.SplitHostPort(f.Addr)
		e := r.entries[host]
		if e != nil && f.State == membership.Alive && f.Addr == r.settings.PeerInternalAddress(host, constants.PortProxyMembership) {
			e.seenAt = time.Now()
		}
	}
}

// dropSilent removes proxies not seen for constants.ProxyExpiry and reports whether there were
// any. The caller must hold mu.
func (r *roster) dropSilent() bool {
	dropped := false
	for a, e := range r.entries {
		if time.Since(e.seenAt) > constants.ProxyExpiry {
			delete(r.entries, a)
			dropped = true
		}
	}
	return dropped
}

// statuses returns updates about the proxies that recently sent messages to this machine. The
// update for the same region contains only entries that have changed or are due for a refresh,
// the one for other regions all of them. The caller must hold mu.
func (r *roster) statuses() (sameRegion, otherRegions RosterUpdate) {
	sameRegion, otherRegions = RosterUpdate{Words: map[string]ProxyStatus{}}, RosterUpdate{Words: map[string]ProxyStatus{}}
	for a, e := range r.entries {
		age := time.Since(e.seenHereAt)
		if age >= constants.SubscriptionTimeout {
			continue // another control machine reports this proxy
		}
		status := ProxyStatus{age, e.count, e.location}
		otherRegions.Words[a] = status
		sent := e.sentStatus
		if sent.Count != status.Count || sent.Place != status.Place || time.Since(e.sentAt) >= constants.RosterRefreshInterval {
			sameRegion.Words[a], e.sentStatus, e.sentAt = status, status, time.Now()
		}
	}
	return sameRegion, otherRegions
}

// merge applies an update from another control machine.
func (r *roster) merge(m RosterUpdate) {
	r.mu.Lock()
	changed := r.mergeStatuses(m.Words)
	if r.directory != nil {
		for _, a := range m.Gone {
			r.directory.MarkDisconnected(r.now(), a, false)
		}
	}
	changed = r.mergeShares(m.Shares) || changed
	r.mu.Unlock()
	if changed {
		r.persist()
		r.publish()
	}
}

// mergeStatuses updates the entries and reports whether a proxy was added. The caller must hold
// mu.
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
			r.directory.ReportRelayed(r.now(), a, s.Place, s.Age)
		}
	}
	return added
}

// mergeShares records the proxies that have a share and reports whether any of them had none on
// this roster. The caller must hold mu.
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
