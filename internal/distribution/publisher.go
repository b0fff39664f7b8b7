// Package distribution carries configuration, upstream lists and related state from the
// control plane to the proxies. The control plane pushes numbered changes over persistent
// connections, tracks what the proxies acknowledge, and sends full contents to a proxy whose
// version is too old for a difference.
package distribution

import (
	"sort"
	"sync"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/discovery"
	"slateridge/internal/transport"
)

type (
	// Subscription is a message that a proxy sends periodically to a control node. Its version
	// numbers acknowledge what the proxy has put in force, and Full selects whether the
	// updates carry contents or numbers only.
	Subscription struct {
		Node    string
		Name    string
		Zone    string
		Version uint64 // of the configuration
		ListNum uint64 // of the upstream list
		Full    bool   // send contents, not only numbers
		Whole   bool   // send full contents, because a difference did not match its base here
		Missed  bool   // the previous reply timed out: repeat the fields that are sent only when they change
		Stale   bool   // holds no contents and found no node in contact with a majority: accepts possibly stale ones
		Ready   bool
		Proxies int // live count that the proxy uses
		Region  string
		Front   string        // address that clients connect to
		Sent    time.Duration // on the proxy's clock, since its Subscriber was created
	}
	// Peer is a control node.
	Peer struct{ Addr, Zone, Region string }
	// Update is a pushed change, or the reply to a Subscription.
	Update struct {
		Heard   time.Duration // Sent of the latest Subscription received: the update was made after it
		Current bool          // this control node is in contact with a majority
		Zone    string        // of this control node
		Version uint64
		ListNum uint64
		ListAge time.Duration
		// StateNum is the number of the operator's latest order. Evacuated lists the zones
		// that receive no requests as of that order.
		StateNum  uint64
		Evacuated []string
		Proxies   int    // number of live proxies that share the quotas; 0 if unknown
		Wall      int64  // agreed wall-clock time in nanoseconds; 0 if unknown
		Metered   string // control node that holds the usage duty
		Scaler    string // control node that holds the scaling duty, if scaling is configured
		// No version above SureVersion had been committed SureAge ago; 0 if not known.
		SureVersion uint64
		SureAge     time.Duration
		Trackers    []string // quota trackers by shard; like Peers, sent only when changed
		Peers       []Peer
		Config      *config.Delta
		List        *discovery.Change
		// Coming holds the quotas of version ComingVer, which has arrived but is not in force.
		// Proxies only evaluate them.
		ComingVer uint64
		Coming    map[string]admission.Quota
	}
)

func init() {
	transport.Register(transport.NameSubscription, Subscription{})
	transport.Register(transport.NameUpdate, Update{})
}

// Snapshot is the current state to publish, with full contents.
type Snapshot struct {
	Update
	ConfigDoc *config.Doc
	Upstreams *discovery.List
}

// subscriberConn is the control-side state of a persistent connection from a proxy.
type subscriberConn struct {
	subscription    Subscription
	receivedAt      time.Time
	configSent      uint64 // version sent to or held by the proxy
	listSent        uint64 // likewise for the upstream list
	trackersSent    string
	proxiesSent     int
	numbersSent     [3]uint64 // Version, ListNum and StateNum
	peersSent       string
	usageHolderSent string
	pendingSent     uint64 // version whose quotas were sent for evaluation
}

// peersKey returns a string that is equal for equal peers.
func peersKey(peers []Peer) string {
	out := ""
	for _, p := range peers {
		out += p.Addr + "/" + p.Zone + "/" + p.Region + " "
	}
	return out
}

// Publisher is the control-plane side of the distribution. Snapshots are taken while holding
// mu, so that the states sent on a connection never go backwards. Taking a snapshot must not
// do I/O.
type Publisher struct {
	mu       sync.Mutex
	conns    map[*transport.Conn]*subscriberConn
	snapshot func() Snapshot
	// hasShare reports whether a proxy may be sent the live count, after which it uses a share
	// of the split quotas.
	hasShare     func(node string) bool
	OnDisconnect func(node string) // called when the last connection of a proxy ends
	pushes       uint64
	configs      history[config.Doc, config.Delta]
	lists        history[discovery.List, discovery.Change]
}

// history holds the latest states of one kind, the newest last, and caches the differences
// between them and the newest, so that each is computed once for all proxies.
type history[S any, D any] struct {
	number func(*S) uint64
	diff   func(base, newest *S) *D
	states []*S
	diffs  map[uint64]*D
}

// diffFrom returns the difference from the state with number have to the newest state, or the
// full newest state if the former is no longer in the history.
func (h *history[S, D]) diffFrom(newest *S, have uint64) *D {
	if n := len(h.states); n == 0 || h.number(h.states[n-1]) != h.number(newest) {
		h.states = append(h.states, newest)
		h.states = h.states[max(0, len(h.states)-constants.StateHistoryLength):]
		h.diffs = map[uint64]*D{}
	}
	var base *S
	for _, state := range h.states {
		if h.number(state) == have && have > 0 {
			base = state
		}
	}
	if base == nil {
		have = 0
	}
	if h.diffs[have] == nil {
		h.diffs[have] = h.diff(base, newest)
	}
	return h.diffs[have]
}

// NewPublisher returns a Publisher of the states that snapshot returns. hasShare reports
// whether a proxy may be sent the live count.
func NewPublisher(snapshot func() Snapshot, hasShare func(node string) bool) *Publisher {
	return &Publisher{conns: map[*transport.Conn]*subscriberConn{}, snapshot: snapshot, hasShare: hasShare,
		configs: history[config.Doc, config.Delta]{number: func(doc *config.Doc) uint64 { return doc.Version },
			diff: func(base, doc *config.Doc) *config.Delta { delta := config.NewDelta(base, doc); return &delta }},
		lists: history[discovery.List, discovery.Change]{number: func(list *discovery.List) uint64 { return list.Num }, diff: discovery.Diff}}
}

// HandleSubscription records a subscription and returns the reply to it.
func (p *Publisher) HandleSubscription(conn *transport.Conn, subscription Subscription) Update {
	p.mu.Lock()
	defer p.mu.Unlock()
	snapshot := p.snapshot()
	c := p.conns[conn]
	if c == nil {
		c = &subscriberConn{}
		p.conns[conn] = c
		go func() {
			<-conn.Done()
			p.mu.Lock()
			delete(p.conns, conn)
			last := true
			for _, other := range p.conns {
				last = last && other.subscription.Node != subscription.Node
			}
			p.mu.Unlock()
			if last && p.OnDisconnect != nil {
				p.OnDisconnect(subscription.Node)
			}
		}()
	}
	c.subscription, c.receivedAt, c.configSent, c.listSent = subscription, time.Now(), subscription.Version, subscription.ListNum
	if subscription.Whole {
		c.configSent, c.listSent = 0, 0
	}
	if subscription.Missed {
		c.trackersSent, c.peersSent, c.pendingSent = "", "", 0
	}
	return p.updateFor(c, snapshot)
}

// mayReceive reports whether contents may be sent to the proxy; hasState says whether it holds
// an earlier version of them. A newer committed version is always an improvement on an earlier
// one. A proxy that holds nothing would take any contents for the newest, so a node out of
// contact with a majority sends it none until the proxy has found no better source (Stale).
func (c *subscriberConn) mayReceive(snapshot Snapshot, hasState bool) bool {
	return c.subscription.Full && (snapshot.Current || hasState || c.subscription.Stale)
}

// contentsToSend reports whether the configuration and the upstream list must be sent to the
// proxy.
func (c *subscriberConn) contentsToSend(snapshot Snapshot) (config, list bool) {
	config = snapshot.ConfigDoc != nil && snapshot.ConfigDoc.Version > c.configSent && c.mayReceive(snapshot, c.subscription.Version > 0)
	list = snapshot.Upstreams != nil && snapshot.Upstreams.Num > c.listSent && c.mayReceive(snapshot, c.subscription.ListNum > 0)
	return config, list
}

// updateFor returns the update to send to a proxy, with the contents and the changed fields
// that the proxy does not have yet, and records them as sent.
func (p *Publisher) updateFor(c *subscriberConn, snapshot Snapshot) Update {
	update := snapshot.Update
	update.Heard = c.subscription.Sent
	c.numbersSent = [3]uint64{update.Version, update.ListNum, update.StateNum}
	// A proxy without a configuration does not take its initial state from a node that is out
	// of contact with a majority.
	withhold := !snapshot.Current && c.subscription.Version == 0 && !c.subscription.Stale
	if !p.hasShare(c.subscription.Node) || withhold {
		update.Proxies = 0
	}
	if withhold {
		update.StateNum, update.Evacuated = 0, nil
	}
	config, list := c.contentsToSend(snapshot)
	if config {
		update.Config, c.configSent = p.configs.diffFrom(snapshot.ConfigDoc, c.configSent), snapshot.ConfigDoc.Version
	}
	if list {
		update.List, c.listSent = p.lists.diffFrom(snapshot.Upstreams, c.listSent), snapshot.Upstreams.Num
	}
	if update.ComingVer <= update.Version || update.ComingVer == c.pendingSent || !c.subscription.Full || withhold {
		update.ComingVer, update.Coming = 0, nil
	} else {
		c.pendingSent = update.ComingVer
	}
	c.proxiesSent, c.usageHolderSent = update.Proxies, update.Metered
	if key := trackersKey(update.Trackers); key == c.trackersSent {
		update.Trackers = nil
	} else {
		c.trackersSent = key
	}
	if key := peersKey(update.Peers); key == c.peersSent {
		update.Peers = nil
	} else {
		c.peersSent = key
	}
	return update
}

// trackersKey returns a string that is equal for equal trackers.
func trackersKey(trackers []string) string {
	out := ""
	for _, tracker := range trackers {
		out += tracker + " "
	}
	return out
}

// Publish pushes pending changes to all connected proxies.
func (p *Publisher) Publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	snapshot := p.snapshot()
	for conn, c := range p.conns {
		if time.Since(c.receivedAt) > constants.SubscriptionTimeout {
			continue // it subscribes elsewhere now or is gone; a later subscription gets a reply
		}
		config, list := c.contentsToSend(snapshot)
		if !config && !list && (snapshot.ComingVer <= snapshot.Version || snapshot.ComingVer == c.pendingSent || !c.subscription.Full) && c.numbersSent == [3]uint64{snapshot.Version, snapshot.ListNum, snapshot.StateNum} && (c.usageHolderSent == snapshot.Metered || snapshot.Metered == "") && (c.proxiesSent == snapshot.Proxies || c.proxiesSent == 0 && !p.hasShare(c.subscription.Node)) && c.trackersSent == trackersKey(snapshot.Trackers) {
			continue
		}
		p.pushes++
		conn.Send(p.updateFor(c, snapshot))
	}
}

// ProxyState is the state of a connected proxy: its latest subscription and the time since.
type ProxyState struct {
	Subscription
	Silent time.Duration
}

// Proxies returns the states of the connected proxies, sorted by node.
func (p *Publisher) Proxies() []ProxyState {
	p.mu.Lock()
	defer p.mu.Unlock()
	byNode := map[string]ProxyState{}
	for _, c := range p.conns {
		state := ProxyState{c.subscription, time.Since(c.receivedAt)}
		if other, ok := byNode[state.Node]; !ok || state.Silent < other.Silent {
			byNode[state.Node] = state
		}
	}
	var out []ProxyState
	for _, state := range byNode {
		out = append(out, state)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// PushCount returns the number of updates pushed by Publish.
func (p *Publisher) PushCount() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pushes
}
