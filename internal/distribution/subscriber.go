package distribution

import (
	"errors"
	"sync"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/discovery"
	"slateridge/internal/transport"
)

// Subscriber is a proxy's end: held connections to all control machines, contents
// from one of them and numbers from the rest, and whichever is newest counts.
type Subscriber struct {
	receiveMu      sync.Mutex // one news after the other; held while it is put in force
	mu             sync.Mutex // never held for long: every question of a request goes through here
	applying       bool       // something is being put in force: no word until it is
	self           Subscription
	startedAt      time.Time // what Sent and Heard are reckoned from
	conns          map[string]*controlConn
	order          []string        // of preference: own zone, own region, the rest
	locations      map[string]Peer // as control tells
	currentPeers   []string        // those that the latest machine in contact named
	doc            *config.Doc     // held, to tell differences from
	list           *discovery.List
	needsFull      bool
	contentSource  string // whose contents we take
	dial           func(addr string, h transport.Handler) *transport.Peer
	apply          func(Changes)
	version        uint64
	appliedVersion uint64 // the version, once it is in force here
	pendingVersion uint64 // of the limits evaluated last
	listNum        uint64
	listCurrentAt  time.Time // when the held list was last known to be current
	readIndexAt    time.Time
	currentAt      time.Time // when a control machine that hears a majority last spoke
	lastUpdateAt   time.Time
	firstUpdateAt  time.Time // when any spoke first
	acceptStale    bool      // looked long enough for one that hears a majority: takes what may be old
	liveCount      int
	liveCountAt    time.Time // when the live count was last handed on
	stateNum       uint64
	evacuated      []string
	usageHolder    string
	scalingHolder  string
	liveCountFunc  func() int // the live count the proxy reckons with; nil is proxies
}

type controlConn struct {
	peer         *transport.Peer
	subscribed   bool
	lastUpdate   Update
	lastUpdateAt time.Time // last answer or push
	subscribedAt time.Time
	inFlight     bool
	pullAt       time.Time
	hasUpdate    bool
	timedOut     bool // its last answer did not come in time
}

// Changes is what changed, for the proxy to put in force.
type Changes struct {
	Config        *config.Doc
	List          *discovery.List
	Proxies       int // the live count, where a control machine spoke lately; 0 is no news
	Trackers      []string
	PendingLimits map[string]admission.Quota
	// StateNum numbers the orders known here; Evacuated are the zones nothing is
	// sent to. StateNum 0 is no news yet.
	StateNum      uint64
	Evacuated     []string
	From          string // the control machine that spoke
	Wall          int64  // its agreed time of day; 0 unknown
	UsageHolder   string // who usage is told to, as last named by any
	ScalingHolder string // likewise what runs
}

// NewSubscriber makes a proxy's end, with the control machines it knows to begin
// with; apply is called, one call at a time, with what is newer.
func NewSubscriber(me Subscription, peers []string, dial func(addr string, h transport.Handler) *transport.Peer, apply func(Changes)) *Subscriber {
	now := time.Now()
	subscriber := &Subscriber{
		self:         me,
		locations:    map[string]Peer{},
		conns:        map[string]*controlConn{},
		dial:         dial,
		apply:        apply,
		startedAt:    now,
		lastUpdateAt: now,
	}
	subscriber.addPeersLocked(peers)
	return subscriber
}

// SetLiveCountFunc sets how a proxy says which live count it reckons with, where that is not
// simply the one it was told last.
func (subscriber *Subscriber) SetLiveCountFunc(settled func() int) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	subscriber.liveCountFunc = settled
}

func (subscriber *Subscriber) liveCountInUse() int {
	if subscriber.liveCountFunc == nil {
		return subscriber.liveCount
	}
	return min(subscriber.liveCountFunc(), subscriber.liveCount)
}

// Step drives the line; it is to be called several times a second.
func (subscriber *Subscriber) Step(now time.Time, ready bool) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if subscriber.applying {
		return
	}
	subscriber.self.Ready = ready
	subscriber.acceptStale = !subscriber.firstUpdateAt.IsZero() && now.Sub(subscriber.firstUpdateAt) > constants.StartSearch && now.Sub(subscriber.currentAt) > constants.SubscriptionSilence
	subscriber.selectSubscriptionsLocked(now)
	subscriber.selectContentSourceLocked(now)
	for _, a := range subscriber.order {
		e := subscriber.conns[a]
		if !e.subscribed {
			continue
		}
		every := constants.SubscribeEveryFar
		if a == subscriber.contentSource || !e.hasUpdate {
			every = constants.SubscribeEvery
		}
		behind := subscriber.behindLocked(e)
		if a != subscriber.contentSource && behind && e.pullAt.IsZero() {
			e.pullAt = now.Add(constants.PullAfter) // the contents may be on their way
		}
		if !behind {
			e.pullAt = time.Time{}
		}
		pull := behind && !e.pullAt.IsZero() && now.After(e.pullAt)
		if e.inFlight || (now.Sub(e.subscribedAt) < every && !pull) {
			continue
		}
		e.inFlight, e.subscribedAt, e.pullAt = true, now, time.Time{}
		full := a == subscriber.contentSource || pull
		go subscriber.sendSubscription(a, e, subscriber.subscriptionLocked(now, full, e.timedOut))
	}
}

// subscriptionLocked is what a control machine is told now: what is held here, and
// whether contents are wanted from it.
func (subscriber *Subscriber) subscriptionLocked(now time.Time, full, missed bool) Subscription {
	subscription := subscriber.self
	subscription.Sent = now.Sub(subscriber.startedAt)
	subscription.Version = subscriber.version
	subscription.ListNum = subscriber.listNum
	subscription.Proxies = subscriber.liveCountInUse()
	subscription.Full = full
	subscription.Whole = full && subscriber.needsFull
	subscription.Stale = subscriber.acceptStale
	subscription.Missed = missed
	return subscription
}

func (subscriber *Subscriber) sendSubscription(a string, e *controlConn, subscription Subscription) {
	asked := time.Now()
	v, err := e.peer.Call(subscription, constants.CallTimeout)
	subscriber.mu.Lock()
	e.inFlight = false
	e.timedOut = errors.Is(err, transport.ErrTimeout)
	if err != nil {
		silent := time.Since(e.lastUpdateAt) > constants.SubscriptionSilence && e.hasUpdate
		if errors.Is(err, transport.ErrClosed) || errors.Is(err, transport.ErrRefused) {
			e.subscribedAt = time.Time{} // not connected yet: again with the next step
		}
		subscriber.mu.Unlock()
		if silent {
			e.peer.Disconnect()
		}
		return
	}
	subscriber.mu.Unlock()
	if update, ok := v.(Update); ok {
		subscriber.receive(a, update, asked)
		subscriber.recordReadIndex(update, asked)
	}
}

// Resubscribe has every control machine subscribed to told with the next step.
func (subscriber *Subscriber) Resubscribe() {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	for _, e := range subscriber.conns {
		e.subscribedAt = time.Time{}
	}
}

// State tells how far this proxy is in touch.
type State struct {
	Version, ListNum uint64
	Silent           time.Duration // since any control machine spoke
	ListAge          time.Duration // since the held list was known to be current
	Current          time.Duration // since a control machine with a majority spoke
	From             string
	Ends             map[string]time.Duration
}

// State is the line's state at this moment.
func (subscriber *Subscriber) State(now time.Time) State {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	s := State{subscriber.version, subscriber.listNum, now.Sub(subscriber.lastUpdateAt), now.Sub(subscriber.listCurrentAt), now.Sub(subscriber.currentAt), subscriber.contentSource, map[string]time.Duration{}}
	for a, e := range subscriber.conns {
		s.Ends[a] = now.Sub(e.lastUpdateAt)
	}
	return s
}

// Call sends a question to a control machine over its held connection.
func (subscriber *Subscriber) Call(addr string, body any, timeout time.Duration) (any, error) {
	subscriber.mu.Lock()
	if subscriber.conns[addr] == nil {
		subscriber.addPeersLocked([]string{addr})
	}
	e := subscriber.conns[addr]
	subscriber.mu.Unlock()
	return e.peer.Call(body, timeout)
}
