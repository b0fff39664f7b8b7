// Package distribution brings what control knows to the proxies: it pushes numbered changes
// over held connections, counts what they acknowledge, and fills gaps with a snapshot.
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
	// Subscription is a proxy's regular word on a held connection: what it holds, which
	// is its acknowledgement, and whether it wants contents here or numbers
	// only.
	Subscription struct {
		Node    string
		Name    string
		Zone    string
		Version uint64
		ListNum uint64
		Full    bool
		Whole   bool // what was told as a difference did not fit: tell all
		Missed  bool // an answer did not come in time: tell again what only differences are told of
		Stale   bool // holds nothing and found nobody who hears a majority: takes what may be old
		Ready   bool
		Proxies int
		Region  string
		Front   string        // where clients connect
		Sent    time.Duration // by the proxy's own clock, since its line began
	}
	// Peer is a control machine.
	Peer struct{ Addr, Zone, Region string }
	// Update is a numbered change, or the answer to a Subscription.
	Update struct {
		Heard   time.Duration // the Sent of the latest Subscription: this was made after it
		Current bool          // this control machine hears a majority
		Zone    string        // where it stands
		Version uint64
		ListNum uint64
		ListAge time.Duration
		// StateNum orders what the operator has ordered; Evacuated are the
		// zones nothing is to be sent to, as of that state.
		StateNum  uint64
		Evacuated []string
		Proxies   int
		Wall      int64  // the agreed time of day, in nanoseconds; 0 unknown
		Metered   string // the control machine that usage is told to
		Scaler    string // and what runs, where upstreams are ordered
		// No version above SureVersion had been committed SureAge ago; 0: not known.
		SureVersion uint64
		SureAge     time.Duration
		Trackers    []string // these two only when they differ from what was told last
		Peers       []Peer
		Config      *config.Delta
		List        *discovery.Change
		// Coming are the limits of a version that has arrived but is not in
		// force; they are only evaluated.
		ComingVer uint64
		Coming    map[string]admission.Quota
	}
)

func init() {
	transport.Register(transport.NameSubscription, Subscription{})
	transport.Register(transport.NameUpdate, Update{})
}

// Snapshot is what there is to tell at this moment.
type Snapshot struct {
	Update
	ConfigDoc *config.Doc
	Upstreams *discovery.List
}

// subscriberConn is one held connection from a proxy.
type subscriberConn struct {
	subscription Subscription
	heardAt      time.Time
	configSent   uint64 // contents sent or held
	listSent     uint64
	trackers     string
	proxies      int
	sent         [3]uint64
	peers        string
	metered      string
	coming       uint64 // limits sent for evaluation
}

func peersKey(ps []Peer) string {
	out := ""
	for _, p := range ps {
		out += p.Addr + "/" + p.Zone + "/" + p.Region + " "
	}
	return out
}

// Publisher is the control side. A snapshot is taken under mu, so that what is told down a
// connection never goes back to an earlier one; taking it does no I/O.
type Publisher struct {
	mu       sync.Mutex
	conns    map[*transport.Conn]*subscriberConn
	snapshot func() Snapshot
	// sharing says whether a proxy may be told the live count: from then on it
	// uses a share of the split quotas.
	sharing  func(node string) bool
	OnClosed func(node string) // told when a proxy's last held connection ends
	pushes   uint64
	configs  history[config.Doc, config.Delta]
	lists    history[discovery.List, discovery.Change]
}

// history are the latest states of a kind, the newest last, with its differences
// from the earlier ones: each is worked out once for all proxies that need it.
type history[S any, D any] struct {
	num    func(*S) uint64
	diff   func(base, newest *S) *D
	states []*S
	diffs  map[uint64]*D
}

// from is the newest state as its difference from the one a proxy holds, or whole
// where that is not kept any more.
func (k *history[S, D]) from(newest *S, have uint64) *D {
	if n := len(k.states); n == 0 || k.num(k.states[n-1]) != k.num(newest) {
		k.states = append(k.states, newest)
		k.states = k.states[max(0, len(k.states)-constants.KeptStates):]
		k.diffs = map[uint64]*D{}
	}
	var base *S
	for _, o := range k.states {
		if k.num(o) == have && have > 0 {
			base = o
		}
	}
	if base == nil {
		have = 0
	}
	if k.diffs[have] == nil {
		k.diffs[have] = k.diff(base, newest)
	}
	return k.diffs[have]
}

// New makes the control side; face tells what is in force.
func New(face func() Snapshot, sharing func(node string) bool) *Publisher {
	return &Publisher{conns: map[*transport.Conn]*subscriberConn{}, snapshot: face, sharing: sharing,
		configs: history[config.Doc, config.Delta]{num: func(d *config.Doc) uint64 { return d.Version },
			diff: func(base, d *config.Doc) *config.Delta { p := config.NewDelta(base, d); return &p }},
		lists: history[discovery.List, discovery.Change]{num: func(l *discovery.List) uint64 { return l.Num }, diff: discovery.Diff}}
}

// Subscribed takes a proxy's word and answers it.
func (p *Publisher) Subscribed(conn *transport.Conn, subscription Subscription) Update {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.snapshot()
	c := p.conns[conn]
	if c == nil {
		c = &subscriberConn{}
		p.conns[conn] = c
		go func() {
			<-conn.Done()
			p.mu.Lock()
			delete(p.conns, conn)
			last := true
			for _, o := range p.conns {
				last = last && o.subscription.Node != subscription.Node
			}
			p.mu.Unlock()
			if last && p.OnClosed != nil {
				p.OnClosed(subscription.Node)
			}
		}()
	}
	c.subscription, c.heardAt, c.configSent, c.listSent = subscription, time.Now(), subscription.Version, subscription.ListNum
	if subscription.Whole {
		c.configSent, c.listSent = 0, 0
	}
	if subscription.Missed {
		c.trackers, c.peers, c.coming = "", "", 0
	}
	return p.updateFor(c, f)
}

// mayReceive says whether contents may be handed to a proxy, which may hold an earlier
// state of them. What is committed and newer than that is always better; to one that
// holds nothing, all that a machine out of contact has would look like the newest.
func (c *subscriberConn) mayReceive(f Snapshot, holds bool) bool {
	return c.subscription.Full && (f.Current || holds || c.subscription.Stale)
}

// missing says what of the contents this proxy is to be handed.
func (c *subscriberConn) missing(f Snapshot) (config, list bool) {
	config = f.ConfigDoc != nil && f.ConfigDoc.Version > c.configSent && c.mayReceive(f, c.subscription.Version > 0)
	list = f.Upstreams != nil && f.Upstreams.Num > c.listSent && c.mayReceive(f, c.subscription.ListNum > 0)
	return config, list
}

// updateFor fills in what this proxy lacks.
func (p *Publisher) updateFor(c *subscriberConn, f Snapshot) Update {
	update := f.Update
	update.Heard = c.subscription.Sent
	c.sent = [3]uint64{update.Version, update.ListNum, update.StateNum}
	begins := !f.Current && c.subscription.Version == 0 && !c.subscription.Stale
	if !p.sharing(c.subscription.Node) || begins {
		update.Proxies = 0
	}
	if begins {
		update.StateNum, update.Evacuated = 0, nil
	}
	config, list := c.missing(f)
	if config {
		update.Config, c.configSent = p.configs.from(f.ConfigDoc, c.configSent), f.ConfigDoc.Version
	}
	if list {
		update.List, c.listSent = p.lists.from(f.Upstreams, c.listSent), f.Upstreams.Num
	}
	if update.ComingVer <= update.Version || update.ComingVer == c.coming || !c.subscription.Full || begins {
		update.ComingVer, update.Coming = 0, nil
	} else {
		c.coming = update.ComingVer
	}
	c.proxies, c.metered = update.Proxies, update.Metered
	if t := joinKey(update.Trackers); t == c.trackers {
		update.Trackers = nil
	} else {
		c.trackers = t
	}
	if p := peersKey(update.Peers); p == c.peers {
		update.Peers = nil
	} else {
		c.peers = p
	}
	return update
}

func joinKey(ss []string) string {
	out := ""
	for _, s := range ss {
		out += s + " "
	}
	return out
}

// Publish pushes what has changed down every held connection.
func (p *Publisher) Publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.snapshot()
	for conn, c := range p.conns {
		if time.Since(c.heardAt) > constants.SubscriptionSilence {
			continue // it takes its news elsewhere, or is gone; its next word is answered
		}
		config, list := c.missing(f)
		if !config && !list && (f.ComingVer <= f.Version || f.ComingVer == c.coming || !c.subscription.Full) && c.sent == [3]uint64{f.Version, f.ListNum, f.StateNum} && (c.metered == f.Metered || f.Metered == "") && (c.proxies == f.Proxies || c.proxies == 0 && !p.sharing(c.subscription.Node)) && c.trackers == joinKey(f.Trackers) {
			continue
		}
		p.pushes++
		conn.Send(p.updateFor(c, f))
	}
}

// ProxyState is one proxy as the control side knows it.
type ProxyState struct {
	Subscription
	Silent time.Duration
}

// Proxies lists the proxies heard on held connections, by address.
func (p *Publisher) Proxies() []ProxyState {
	p.mu.Lock()
	defer p.mu.Unlock()
	by := map[string]ProxyState{}
	for _, c := range p.conns {
		s := ProxyState{c.subscription, time.Since(c.heardAt)}
		if o, ok := by[s.Node]; !ok || s.Silent < o.Silent {
			by[s.Node] = s
		}
	}
	var out []ProxyState
	for _, s := range by {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// Pushed counts the pushes.
func (p *Publisher) Pushed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pushes
}
