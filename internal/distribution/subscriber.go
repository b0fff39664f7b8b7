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

// Subscriber is the proxy side of the distribution. It keeps persistent connections to several
// control nodes, takes contents from one of them and only version numbers from the others, and
// puts whichever contents are newest in force.
type Subscriber struct {
	receiveMu      sync.Mutex // serializes updates; held while changes are put in force
	mu             sync.Mutex // held only briefly, because Call needs it on behalf of requests
	applying       bool       // changes are being put in force; no subscriptions are sent meanwhile
	self           Subscription
	startedAt      time.Time // origin of Subscription.Sent and Update.Heard
	conns          map[string]*controlConn
	order          []string        // addresses in order of preference: own zone, own region, others
	locations      map[string]Peer // as reported by control nodes
	currentPeers   []string        // control nodes, according to the last node in contact with a majority
	doc            *config.Doc     // base of configuration differences
	list           *discovery.List
	needsFull      bool   // a difference did not match: request full contents
	contentSource  string // address of the control node to take contents from
	dial           func(addr string, h transport.Handler) *transport.Peer
	apply          func(Changes)
	version        uint64
	appliedVersion uint64 // like version, but set only after the configuration is in force
	pendingVersion uint64 // version of the quotas last passed on for evaluation
	listNum        uint64
	listCurrentAt  time.Time // when the held list was last known to be current
	readIndexAt    time.Time
	currentAt      time.Time // last contact with a control node that was in contact with a majority
	lastUpdateAt   time.Time // last contact with any control node
	firstUpdateAt  time.Time
	acceptStale    bool // no node in contact with a majority was found in time: accept possibly stale contents
	liveCount      int
	liveCountAt    time.Time // when a live count was last put in force
	stateNum       uint64
	evacuated      []string
	usageHolder    string
	scalingHolder  string
	liveCountFunc  func() int // see SetLiveCountFunc; nil means liveCount
}

// controlConn is the connection to a control node.
type controlConn struct {
	peer         *transport.Peer
	subscribed   bool
	lastUpdate   Update // without contents
	lastUpdateAt time.Time
	subscribedAt time.Time // when the last subscription was sent; zero to send one immediately
	inFlight     bool      // a subscription awaits its reply
	pullAt       time.Time // when to request contents that this node has and the content source has not sent
	hasUpdate    bool
	timedOut     bool // the last subscription got no reply in time
}

// Changes is what an update changed, for the proxy to put in force.
type Changes struct {
	Config        *config.Doc
	List          *discovery.List
	Proxies       int // live count; 0 if there is no current one
	Trackers      []string
	PendingLimits map[string]admission.Quota // quotas of a version not yet in force, to be evaluated only
	// StateNum is the number of the latest known operator order, and Evacuated lists the zones
	// that receive no requests as of that order. StateNum 0 means that none is known.
	StateNum      uint64
	Evacuated     []string
	From          string // control node that sent the update
	Wall          int64  // its agreed wall-clock time in nanoseconds; 0 if unknown
	UsageHolder   string // last known holder of the usage duty
	ScalingHolder string // last known holder of the scaling duty
}

// NewSubscriber returns a Subscriber with the given initial control nodes. apply is called with
// the changes of each update, one call at a time.
func NewSubscriber(self Subscription, peers []string, dial func(addr string, h transport.Handler) *transport.Peer, apply func(Changes)) *Subscriber {
	now := time.Now()
	s := &Subscriber{
		self:         self,
		locations:    map[string]Peer{},
		conns:        map[string]*controlConn{},
		dial:         dial,
		apply:        apply,
		startedAt:    now,
		lastUpdateAt: now,
	}
	s.addPeersLocked(peers)
	return s
}

// SetLiveCountFunc sets a function that returns the live count in use by the proxy, for proxies
// that do not adopt each received count immediately. It is called with the Subscriber locked.
func (s *Subscriber) SetLiveCountFunc(liveCount func() int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.liveCountFunc = liveCount
}

func (s *Subscriber) liveCountInUse() int {
	if s.liveCountFunc == nil {
		return s.liveCount
	}
	return min(s.liveCountFunc(), s.liveCount)
}

// Step sends the subscriptions that are due. It must be called several times per second.
func (s *Subscriber) Step(now time.Time, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applying {
		return
	}
	s.self.Ready = ready
	s.acceptStale = !s.firstUpdateAt.IsZero() && now.Sub(s.firstUpdateAt) > constants.StartupSearchTime && now.Sub(s.currentAt) > constants.SubscriptionTimeout
	s.selectSubscriptionsLocked(now)
	s.selectContentSourceLocked(now)
	for _, addr := range s.order {
		conn := s.conns[addr]
		if !conn.subscribed {
			continue
		}
		interval := constants.SubscribeIntervalOtherZone
		if addr == s.contentSource || !conn.hasUpdate {
			interval = constants.SubscribeInterval
		}
		behind := s.behindLocked(conn)
		if addr != s.contentSource && behind && conn.pullAt.IsZero() {
			conn.pullAt = now.Add(constants.PullDelay) // the content source may be sending the contents already
		}
		if !behind {
			conn.pullAt = time.Time{}
		}
		pull := behind && !conn.pullAt.IsZero() && now.After(conn.pullAt)
		if conn.inFlight || (now.Sub(conn.subscribedAt) < interval && !pull) {
			continue
		}
		conn.inFlight, conn.subscribedAt, conn.pullAt = true, now, time.Time{}
		full := addr == s.contentSource || pull
		go s.sendSubscription(addr, conn, s.subscriptionLocked(now, full, conn.timedOut))
	}
}

// subscriptionLocked returns the subscription to send now. full requests contents, and missed
// says that the previous reply timed out.
func (s *Subscriber) subscriptionLocked(now time.Time, full, missed bool) Subscription {
	subscription := s.self
	subscription.Sent = now.Sub(s.startedAt)
	subscription.Version = s.version
	subscription.ListNum = s.listNum
	subscription.Proxies = s.liveCountInUse()
	subscription.Full = full
	subscription.Whole = full && s.needsFull
	subscription.Stale = s.acceptStale
	subscription.Missed = missed
	return subscription
}

// sendSubscription sends a subscription and handles the reply.
func (s *Subscriber) sendSubscription(addr string, conn *controlConn, subscription Subscription) {
	sentAt := time.Now()
	reply, err := conn.peer.Call(subscription, constants.CallTimeout)
	s.mu.Lock()
	conn.inFlight = false
	conn.timedOut = errors.Is(err, transport.ErrTimeout)
	if err != nil {
		silent := time.Since(conn.lastUpdateAt) > constants.SubscriptionTimeout && conn.hasUpdate
		if errors.Is(err, transport.ErrClosed) || errors.Is(err, transport.ErrRefused) {
			conn.subscribedAt = time.Time{} // not connected yet: retry in the next Step
		}
		s.mu.Unlock()
		if silent {
			conn.peer.Disconnect()
		}
		return
	}
	s.mu.Unlock()
	if update, ok := reply.(Update); ok {
		s.receive(addr, update, sentAt)
		s.recordReadIndex(update, sentAt)
	}
}

// Resubscribe makes the next Step send a subscription to every control node subscribed to.
func (s *Subscriber) Resubscribe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.subscribedAt = time.Time{}
	}
}

// State is the state of a Subscriber as shown to operators.
type State struct {
	Version, ListNum uint64
	Silent           time.Duration            // since the last contact with any control node
	ListAge          time.Duration            // since the held list was known to be current
	Current          time.Duration            // since the last contact with a node in contact with a majority
	From             string                   // control node that contents are taken from
	Ends             map[string]time.Duration // time since the last contact, by control node
}

// State returns the current state.
func (s *Subscriber) State(now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{s.version, s.listNum, now.Sub(s.lastUpdateAt), now.Sub(s.listCurrentAt), now.Sub(s.currentAt), s.contentSource, map[string]time.Duration{}}
	for addr, conn := range s.conns {
		state.Ends[addr] = now.Sub(conn.lastUpdateAt)
	}
	return state
}

// Call sends a request to a control node over its persistent connection and returns the reply.
func (s *Subscriber) Call(addr string, body any, timeout time.Duration) (any, error) {
	s.mu.Lock()
	if s.conns[addr] == nil {
		s.addPeersLocked([]string{addr})
	}
	conn := s.conns[addr]
	s.mu.Unlock()
	return conn.peer.Call(body, timeout)
}
