package distribution

import (
	"errors"
	"hash/fnv"
	"slices"
	"sort"
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
	receiveMu     sync.Mutex // one news after the other; held while it is put in force
	mu            sync.Mutex // never held for long: every question of a request goes through here
	applying      bool       // something is being put in force: no word until it is
	self          Subscription
	began         time.Time // what Sent and Heard are reckoned from
	conns         map[string]*controlConn
	order         []string        // of preference: own zone, own region, the rest
	locations     map[string]Peer // as control tells
	namedPeers    []string        // those that the latest machine in contact named
	doc           *config.Doc     // held, to tell differences from
	list          *discovery.List
	wantsWhole    bool
	contentsFrom  string // whose contents we take
	dial          func(addr string, h transport.Handler) *transport.Peer
	apply         func(Changes)
	version       uint64
	inForce       uint64 // the version, once it is in force here
	listNum       uint64
	listCurrentAt time.Time // when the held list was last known to be current
	readIndexAt   time.Time
	currentAt     time.Time // when a control machine that hears a majority last spoke
	heardAt       time.Time
	firstHeardAt  time.Time // when any spoke first
	stale         bool      // looked long enough for one that hears a majority: takes what may be old
	proxies       int
	state         uint64
	evacuated     []string
	metered       string
	scaler        string
	settled       func() int // the live count the proxy reckons with; nil is proxies
}

type controlConn struct {
	peer        *transport.Peer
	subscribed  bool
	update      Update
	heardAt     time.Time // last answer or push
	subscribeAt time.Time
	asking      bool
	pullAt      time.Time
	answered    bool
	missed      bool // its last answer did not come in time
}

// Changes is what changed, for the proxy to put in force.
type Changes struct {
	Config   *config.Doc
	List     *discovery.List
	Proxies  int
	Trackers []string
	Coming   map[string]admission.Quota
	// State numbers the orders known here; Evacuated are the zones nothing is
	// sent to. State 0 is no news yet.
	State     uint64
	Evacuated []string
	From      string // the control machine that spoke
	Wall      int64  // its agreed time of day; 0 unknown
	Metered   string // who usage is told to, as last named by any
	Scaler    string // likewise what runs
}

// NewSubscriber makes a proxy's end, with the control machines it knows to begin
// with; apply is called, one call at a time, with what is newer.
func NewSubscriber(me Subscription, peers []string, dial func(addr string, h transport.Handler) *transport.Peer, apply func(Changes)) *Subscriber {
	subscriber := &Subscriber{self: me, locations: map[string]Peer{}, conns: map[string]*controlConn{}, dial: dial, apply: apply, began: time.Now(), heardAt: time.Now()}
	subscriber.addLocked(peers)
	return subscriber
}

// ReckonBy sets how a proxy says which live count it reckons with, where that is not
// simply the one it was told last.
func (subscriber *Subscriber) ReckonBy(settled func() int) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	subscriber.settled = settled
}

func (subscriber *Subscriber) reckonsWith() int {
	if subscriber.settled == nil {
		return subscriber.proxies
	}
	return min(subscriber.settled(), subscriber.proxies)
}

func (subscriber *Subscriber) addLocked(addrs []string) {
	for _, a := range addrs {
		if subscriber.conns[a] != nil || a == "" {
			continue
		}
		e := &controlConn{}
		e.peer = subscriber.dial(a, func(_ *transport.Conn, body any) any {
			if update, ok := body.(Update); ok {
				// It was made after the Subscription that it names, and maybe only just after.
				subscriber.receive(a, update, subscriber.began.Add(update.Heard))
			}
			return nil
		})
		subscriber.conns[a] = e
		subscriber.order = append(subscriber.order, a)
	}
	subscriber.sortLocked()
}

// departedLocked says whether a machine known here is none of control any more.
func (subscriber *Subscriber) departedLocked(a string) bool {
	return len(subscriber.namedPeers) > 0 && !slices.Contains(subscriber.namedPeers, a)
}

// addPeersLocked takes control's word on where its machines stand. Addresses are learned
// from any; which machines are no more is believed of one in contact only.
func (subscriber *Subscriber) addPeersLocked(ps []Peer, current bool) {
	if len(ps) == 0 {
		return
	}
	var addrs []string
	for _, p := range ps {
		subscriber.locations[p.Addr] = p
		addrs = append(addrs, p.Addr)
	}
	if current {
		subscriber.namedPeers = addrs
	}
	subscriber.addLocked(addrs) // which sorts by what is known now
	if !current {
		// Better words are to be had elsewhere: dialled now, asked with the next step.
		subscriber.chooseSubscriptionsLocked(time.Now())
		for _, a := range subscriber.order {
			if e := subscriber.conns[a]; e.subscribed && !e.answered {
				e.peer.Conn()
			}
		}
	}
}

// sortLocked puts near machines first, and equals in an order of this proxy's
// own, so that proxies spread.
func (subscriber *Subscriber) sortLocked() {
	far := func(a string) int {
		switch p, ok := subscriber.locations[a]; {
		case subscriber.departedLocked(a):
			return 4
		case !ok || p.Zone == "":
			return 2 // nothing is known of it yet
		case p.Zone == subscriber.self.Zone:
			return 0
		case p.Region == subscriber.self.Region:
			return 1
		}
		return 3
	}
	lot := func(a string) uint32 {
		h := fnv.New32a()
		h.Write([]byte(subscriber.self.Node + " " + a))
		return h.Sum32()
	}
	sort.SliceStable(subscriber.order, func(i, j int) bool {
		a, b := subscriber.order[i], subscriber.order[j]
		if far(a) != far(b) {
			return far(a) < far(b)
		}
		return lot(a) < lot(b)
	})
}

// chooseSubscriptionsLocked decides which control machines are subscribed to: the first few, and for
// each of them that is silent or hears no majority one more; those that left only
// while there is no other.
func (subscriber *Subscriber) chooseSubscriptionsLocked(now time.Time) {
	good := 0
	for _, a := range subscriber.order {
		e := subscriber.conns[a]
		e.subscribed = good < constants.SubscriptionCount && (good == 0 || !subscriber.departedLocked(a))
		if e.answered && now.Sub(e.heardAt) <= constants.SubscriptionSilence && e.update.Current {
			good++
		}
	}
}

// Add makes further control machines known.
func (subscriber *Subscriber) Add(addrs []string) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	subscriber.addLocked(addrs)
}

// Step drives the line; it is to be called several times a second.
func (subscriber *Subscriber) Step(now time.Time, ready bool) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if subscriber.applying {
		return
	}
	subscriber.self.Ready = ready
	subscriber.stale = !subscriber.firstHeardAt.IsZero() && now.Sub(subscriber.firstHeardAt) > constants.StartSearch && now.Sub(subscriber.currentAt) > constants.SubscriptionSilence
	subscriber.chooseSubscriptionsLocked(now)
	subscriber.chooseLocked(now)
	for _, a := range subscriber.order {
		e := subscriber.conns[a]
		if !e.subscribed {
			continue
		}
		every := constants.SubscribeEveryFar
		if a == subscriber.contentsFrom || !e.answered {
			every = constants.SubscribeEvery
		}
		behind := subscriber.behindLocked(e)
		if a != subscriber.contentsFrom && behind && e.pullAt.IsZero() {
			e.pullAt = now.Add(constants.PullAfter) // the contents may be on their way
		}
		if !behind {
			e.pullAt = time.Time{}
		}
		pull := behind && !e.pullAt.IsZero() && now.After(e.pullAt)
		if e.asking || (now.Sub(e.subscribeAt) < every && !pull) {
			continue
		}
		e.asking, e.subscribeAt, e.pullAt = true, now, time.Time{}
		subscription := subscriber.self
		subscription.Sent = now.Sub(subscriber.began)
		subscription.Version, subscription.ListNum, subscription.Full, subscription.Proxies = subscriber.version, subscriber.listNum, a == subscriber.contentsFrom || pull, subscriber.reckonsWith()
		subscription.Whole, subscription.Stale, subscription.Missed = subscriber.wantsWhole && subscription.Full, subscriber.stale, e.missed
		go subscriber.ask(a, e, subscription)
	}
}

// chooseLocked decides whose contents are taken: the first that speaks, until
// one in the own zone does; a silent one, or one that hears no majority, is
// passed over.
func (subscriber *Subscriber) chooseLocked(now time.Time) {
	speaks := func(e *controlConn) bool {
		return e != nil && e.subscribed && e.answered && now.Sub(e.heardAt) <= constants.SubscriptionSilence
	}
	rank := func(a string) int {
		e := subscriber.conns[a]
		switch {
		case !speaks(e):
			return 3
		case !e.update.Current:
			return 2
		case e.update.Zone != subscriber.self.Zone:
			return 1
		}
		return 0
	}
	if subscriber.contentsFrom == "" {
		subscriber.contentsFrom = subscriber.order[0]
	}
	for _, a := range subscriber.order {
		if rank(a) < rank(subscriber.contentsFrom) {
			subscriber.contentsFrom = a
		}
	}
}

// trustsLocked says whether a control machine's contents are taken by a proxy that
// may hold an earlier state of them: newer is better, but what one out of contact has
// is no beginning while better can be had.
func (subscriber *Subscriber) trustsLocked(update Update, holds bool) bool {
	return update.Current || holds || subscriber.stale
}

func (subscriber *Subscriber) behindLocked(e *controlConn) bool {
	return e.update.Version > subscriber.version && subscriber.trustsLocked(e.update, subscriber.version > 0) ||
		e.update.ListNum > subscriber.listNum && subscriber.trustsLocked(e.update, subscriber.listNum > 0)
}

func (subscriber *Subscriber) ask(a string, e *controlConn, subscription Subscription) {
	asked := time.Now()
	v, err := e.peer.Call(subscription, constants.CallTimeout)
	subscriber.mu.Lock()
	e.asking = false
	e.missed = errors.Is(err, transport.ErrTimeout)
	if err != nil {
		silent := time.Since(e.heardAt) > constants.SubscriptionSilence && e.answered
		if errors.Is(err, transport.ErrClosed) || errors.Is(err, transport.ErrRefused) {
			e.subscribeAt = time.Time{} // not connected yet: again with the next step
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
		subscriber.noteReadIndex(update, asked)
	}
}

// noteReadIndex takes what an answer says of the versions committed, and tells since when this
// proxy is sure of its own. An answer was made after its question: only from there can
// its age be reckoned, however long it was under way.
func (subscriber *Subscriber) noteReadIndex(update Update, asked time.Time) time.Time {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if at := asked.Add(-update.SureAge); update.SureVersion > 0 && update.SureVersion <= subscriber.inForce && at.After(subscriber.readIndexAt) {
		subscriber.readIndexAt = at
	}
	return subscriber.readIndexAt
}

// ReadIndexAt is the latest moment at which nothing newer than what is in force here had
// been acknowledged to an operator.
func (subscriber *Subscriber) ReadIndexAt() time.Time {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	return subscriber.readIndexAt
}

// receive puts news in force. What a proxy says it holds is in force there, so its
// words wait until that is so; the questions of its requests do not. made is a moment
// before which the news cannot have been made.
func (subscriber *Subscriber) receive(a string, update Update, made time.Time) {
	subscriber.receiveMu.Lock()
	defer subscriber.receiveMu.Unlock()
	var doc *config.Doc
	var list *discovery.List
	misfit := false
	// Of a word that was long under way, as a machine that was frozen sends them, only
	// what is numbered counts: the rest may have changed since.
	late := time.Since(made) > constants.SubscriptionSilence
	if late {
		update.Current, update.Metered, update.Scaler, update.Coming = false, "", "", nil
	}
	// What is held changes under receiveMu only.
	subscriber.mu.Lock()
	if !subscriber.trustsLocked(update, subscriber.version > 0) {
		update.Config, update.Coming, update.StateNum, update.Proxies = nil, nil, 0, 0
	}
	if !subscriber.trustsLocked(update, subscriber.listNum > 0) {
		update.List = nil
	}
	subscriber.mu.Unlock()
	if c := update.Config; c != nil && c.Version > subscriber.version {
		if d, err := c.Unpack(subscriber.doc, constants.ConfigMax); err == nil {
			doc = d
		} else {
			misfit = true
		}
	}
	if li := update.List; li != nil && li.Num > subscriber.listNum {
		if full, ok := li.Apply(subscriber.list); ok {
			list = full
		} else {
			misfit = true
		}
	}
	f := subscriber.merge(a, update, made, late, doc, list, misfit)
	subscriber.apply(f)
	if f.Config != nil || f.List != nil {
		subscriber.mu.Lock()
		subscriber.applying, subscriber.inForce = false, subscriber.version
		subscriber.mu.Unlock()
	}
}

// merge takes news into what is held and tells what of it is new.
func (subscriber *Subscriber) merge(a string, update Update, made time.Time, late bool, doc *config.Doc, list *discovery.List, misfit bool) Changes {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	now := time.Now()
	e := subscriber.conns[a]
	subscriber.addPeersLocked(update.Peers, update.Current)
	if update.Trackers == nil {
		update.Trackers = e.update.Trackers // as told on this connection before
	}
	if late {
		e.update.Trackers = update.Trackers // the next words only say what differs from it
	} else {
		e.heardAt, e.answered, e.update, subscriber.heardAt = now, true, update, now
		e.update.Config, e.update.List, e.update.Peers, e.update.Coming = nil, nil, nil, nil
	}
	if subscriber.firstHeardAt.IsZero() {
		subscriber.firstHeardAt = now
	}
	var f Changes
	if doc != nil {
		subscriber.version, subscriber.doc, f.Config = doc.Version, doc, doc
	}
	if list != nil {
		subscriber.listNum, subscriber.list, f.List = list.Num, list, list
	}
	if doc != nil || list != nil || misfit {
		subscriber.wantsWhole = misfit
	}
	if update.StateNum > subscriber.state {
		subscriber.state, subscriber.evacuated = update.StateNum, update.Evacuated
	}
	f.State, f.Evacuated = subscriber.state, subscriber.evacuated
	// A machine out of contact is believed only while none in contact speaks.
	if update.Current || now.Sub(subscriber.currentAt) > constants.SubscriptionSilence {
		if update.Metered != "" {
			subscriber.metered = update.Metered
		}
		if update.Scaler != "" {
			subscriber.scaler = update.Scaler
		}
	}
	f.From, f.Metered, f.Scaler = a, subscriber.metered, subscriber.scaler
	if update.Current {
		f.Wall = update.Wall
	}
	if update.Current {
		if made.After(subscriber.currentAt) {
			subscriber.currentAt = made
		}
		if update.ListNum == subscriber.listNum && update.ListNum > 0 {
			if at := made.Add(-update.ListAge); at.After(subscriber.listCurrentAt) {
				subscriber.listCurrentAt = at
			}
		}
	}
	// The live count is the largest that a machine in contact lately told: too small a
	// count would split the quotas too generously. While none is, it may only rise. A
	// tracker that no machine in contact knows may be known to another.
	told := map[bool]int{false: subscriber.proxies}
	var trackers []string
	for _, current := range []bool{true, false} {
		for _, x := range subscriber.order {
			o := subscriber.conns[x]
			if !o.answered || now.Sub(o.heardAt) >= constants.SubscriptionSilence || o.update.Current != current {
				continue
			}
			told[current] = max(told[current], o.update.Proxies)
			for i, t := range o.update.Trackers {
				if len(trackers) <= i {
					trackers = append(trackers, t)
				} else if trackers[i] == "" {
					trackers[i] = t
				}
			}
		}
	}
	if subscriber.proxies = told[true]; subscriber.proxies == 0 {
		subscriber.proxies = told[false]
	}
	f.Proxies, f.Trackers, f.Coming = subscriber.proxies, trackers, update.Coming
	subscriber.applying = f.Config != nil || f.List != nil
	return f
}

// Announce has every control machine subscribed to told with the next step.
func (subscriber *Subscriber) Announce() {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	for _, e := range subscriber.conns {
		e.subscribeAt = time.Time{}
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
	s := State{subscriber.version, subscriber.listNum, now.Sub(subscriber.heardAt), now.Sub(subscriber.listCurrentAt), now.Sub(subscriber.currentAt), subscriber.contentsFrom, map[string]time.Duration{}}
	for a, e := range subscriber.conns {
		s.Ends[a] = now.Sub(e.heardAt)
	}
	return s
}

// Ask sends a question to a control machine over its held connection.
func (subscriber *Subscriber) Ask(addr string, body any, timeout time.Duration) (any, error) {
	subscriber.mu.Lock()
	if subscriber.conns[addr] == nil {
		subscriber.addLocked([]string{addr})
	}
	e := subscriber.conns[addr]
	subscriber.mu.Unlock()
	return e.peer.Call(body, timeout)
}
