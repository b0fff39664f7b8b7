package penstock

import (
	"errors"
	"hash/fnv"
	"slices"
	"sort"
	"sync"
	"time"

	"slateridge/internal/conduit"
	"slateridge/internal/datum"
	"slateridge/internal/intake"
	"slateridge/internal/scheme"
	"slateridge/internal/weir"
)

// Line is a proxy's end: held connections to all control machines, contents
// from one of them and numbers from the rest, and whichever is newest counts.
type Line struct {
	takeMu  sync.Mutex // one news after the other; held while it is put in force
	mu      sync.Mutex // never held for long: every question of a request goes through here
	taking  bool       // something is being put in force: no word until it is
	me      Tap
	began   time.Time // what Sent and Heard are reckoned from
	ends    map[string]*end
	order   []string        // of preference: own zone, own region, the rest
	where   map[string]Peer // as control tells
	named   []string        // those that the latest machine in contact named
	doc     *scheme.Doc     // held, to tell differences from
	list    *intake.List
	whole   bool
	full    string // whose contents we take
	dial    func(addr string, h conduit.Handler) *conduit.Main
	apply   func(Fresh)
	version uint64
	inForce uint64 // the version, once it is in force here
	listNum uint64
	listAt  time.Time // when the held list was last known to be current
	sure    time.Time
	current time.Time // when a control machine that hears a majority last spoke
	heard   time.Time
	first   time.Time // when any spoke first
	stale   bool      // looked long enough for one that hears a majority: takes what may be old
	proxies int
	state   uint64
	evacs   []string
	metered string
	scaler  string
	settled func() int // the live count the proxy reckons with; nil is proxies
}

type end struct {
	m        *conduit.Main
	tapped   bool
	news     News
	at       time.Time // last answer or push
	tapAt    time.Time
	asking   bool
	pullAt   time.Time
	everWord bool
	missed   bool // its last answer did not come in time
}

// Fresh is what changed, for the proxy to put in force.
type Fresh struct {
	Config   *scheme.Doc
	List     *intake.List
	Proxies  int
	Trackers []string
	Coming   map[string]weir.Quota
	// State numbers the orders known here; Evacuated are the zones nothing is
	// sent to. State 0 is no news yet.
	State     uint64
	Evacuated []string
	From      string // the control machine that spoke
	Wall      int64  // its agreed time of day; 0 unknown
	Metered   string // who usage is told to, as last named by any
	Scaler    string // likewise what runs
}

// NewLine makes a proxy's end, with the control machines it knows to begin
// with; apply is called, one call at a time, with what is newer.
func NewLine(me Tap, peers []string, dial func(addr string, h conduit.Handler) *conduit.Main, apply func(Fresh)) *Line {
	l := &Line{me: me, where: map[string]Peer{}, ends: map[string]*end{}, dial: dial, apply: apply, began: time.Now(), heard: time.Now()}
	l.addLocked(peers)
	return l
}

// ReckonBy sets how a proxy says which live count it reckons with, where that is not
// simply the one it was told last.
func (l *Line) ReckonBy(settled func() int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settled = settled
}

func (l *Line) reckonsWith() int {
	if l.settled == nil {
		return l.proxies
	}
	return min(l.settled(), l.proxies)
}

func (l *Line) addLocked(addrs []string) {
	for _, a := range addrs {
		if l.ends[a] != nil || a == "" {
			continue
		}
		e := &end{}
		e.m = l.dial(a, func(_ *conduit.Pipe, body any) any {
			if n, ok := body.(News); ok {
				// It was made after the Tap that it names, and maybe only just after.
				l.take(a, n, l.began.Add(n.Heard))
			}
			return nil
		})
		l.ends[a] = e
		l.order = append(l.order, a)
	}
	l.sortLocked()
}

// leftLocked says whether a machine known here is none of control any more.
func (l *Line) leftLocked(a string) bool {
	return len(l.named) > 0 && !slices.Contains(l.named, a)
}

// meetLocked takes control's word on where its machines stand. Addresses are learned
// from any; which machines are no more is believed of one in contact only.
func (l *Line) meetLocked(ps []Peer, current bool) {
	if len(ps) == 0 {
		return
	}
	var addrs []string
	for _, p := range ps {
		l.where[p.Addr] = p
		addrs = append(addrs, p.Addr)
	}
	if current {
		l.named = addrs
	}
	l.addLocked(addrs) // which sorts by what is known now
	if !current {
		// Better words are to be had elsewhere: dialled now, asked with the next step.
		l.pickLocked(time.Now())
		for _, a := range l.order {
			if e := l.ends[a]; e.tapped && !e.everWord {
				e.m.Pipe()
			}
		}
	}
}

// sortLocked puts near machines first, and equals in an order of this proxy's
// own, so that proxies spread.
func (l *Line) sortLocked() {
	far := func(a string) int {
		switch p, ok := l.where[a]; {
		case l.leftLocked(a):
			return 4
		case !ok || p.Zone == "":
			return 2 // nothing is known of it yet
		case p.Zone == l.me.Zone:
			return 0
		case p.Region == l.me.Region:
			return 1
		}
		return 3
	}
	lot := func(a string) uint32 {
		h := fnv.New32a()
		h.Write([]byte(l.me.Node + " " + a))
		return h.Sum32()
	}
	sort.SliceStable(l.order, func(i, j int) bool {
		a, b := l.order[i], l.order[j]
		if far(a) != far(b) {
			return far(a) < far(b)
		}
		return lot(a) < lot(b)
	})
}

// pickLocked decides which control machines are tapped: the first few, and for
// each of them that is silent or hears no majority one more; those that left only
// while there is no other.
func (l *Line) pickLocked(now time.Time) {
	good := 0
	for _, a := range l.order {
		e := l.ends[a]
		e.tapped = good < datum.TapCount && (good == 0 || !l.leftLocked(a))
		if e.everWord && now.Sub(e.at) <= datum.TapSilence && e.news.Current {
			good++
		}
	}
}

// Add makes further control machines known.
func (l *Line) Add(addrs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addLocked(addrs)
}

// Step drives the line; it is to be called several times a second.
func (l *Line) Step(now time.Time, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.taking {
		return
	}
	l.me.Ready = ready
	l.stale = !l.first.IsZero() && now.Sub(l.first) > datum.StartLook && now.Sub(l.current) > datum.TapSilence
	l.pickLocked(now)
	l.chooseLocked(now)
	for _, a := range l.order {
		e := l.ends[a]
		if !e.tapped {
			continue
		}
		every := datum.TapEveryFar
		if a == l.full || !e.everWord {
			every = datum.TapEvery
		}
		behind := l.behindLocked(e)
		if a != l.full && behind && e.pullAt.IsZero() {
			e.pullAt = now.Add(datum.PullAfter) // the contents may be on their way
		}
		if !behind {
			e.pullAt = time.Time{}
		}
		pull := behind && !e.pullAt.IsZero() && now.After(e.pullAt)
		if e.asking || (now.Sub(e.tapAt) < every && !pull) {
			continue
		}
		e.asking, e.tapAt, e.pullAt = true, now, time.Time{}
		t := l.me
		t.Sent = now.Sub(l.began)
		t.Version, t.ListNum, t.Full, t.Proxies = l.version, l.listNum, a == l.full || pull, l.reckonsWith()
		t.Whole, t.Stale, t.Missed = l.whole && t.Full, l.stale, e.missed
		go l.ask(a, e, t)
	}
}

// chooseLocked decides whose contents are taken: the first that speaks, until
// one in the own zone does; a silent one, or one that hears no majority, is
// passed over.
func (l *Line) chooseLocked(now time.Time) {
	speaks := func(e *end) bool { return e != nil && e.tapped && e.everWord && now.Sub(e.at) <= datum.TapSilence }
	rank := func(a string) int {
		e := l.ends[a]
		switch {
		case !speaks(e):
			return 3
		case !e.news.Current:
			return 2
		case e.news.Zone != l.me.Zone:
			return 1
		}
		return 0
	}
	if l.full == "" {
		l.full = l.order[0]
	}
	for _, a := range l.order {
		if rank(a) < rank(l.full) {
			l.full = a
		}
	}
}

// trustsLocked says whether a control machine's contents are taken by a proxy that
// may hold an earlier state of them: newer is better, but what one out of contact has
// is no beginning while better can be had.
func (l *Line) trustsLocked(n News, holds bool) bool { return n.Current || holds || l.stale }

func (l *Line) behindLocked(e *end) bool {
	return e.news.Version > l.version && l.trustsLocked(e.news, l.version > 0) ||
		e.news.ListNum > l.listNum && l.trustsLocked(e.news, l.listNum > 0)
}

func (l *Line) ask(a string, e *end, t Tap) {
	asked := time.Now()
	v, err := e.m.Call(t, datum.CallTimeout)
	l.mu.Lock()
	e.asking = false
	e.missed = errors.Is(err, conduit.ErrTimeout)
	if err != nil {
		silent := time.Since(e.at) > datum.TapSilence && e.everWord
		if errors.Is(err, conduit.ErrClosed) || errors.Is(err, conduit.ErrRefused) {
			e.tapAt = time.Time{} // not connected yet: again with the next step
		}
		l.mu.Unlock()
		if silent {
			e.m.Drop()
		}
		return
	}
	l.mu.Unlock()
	if n, ok := v.(News); ok {
		l.take(a, n, asked)
		l.sureBy(n, asked)
	}
}

// sureBy takes what an answer says of the versions committed, and tells since when this
// proxy is sure of its own. An answer was made after its question: only from there can
// its age be reckoned, however long it was under way.
func (l *Line) sureBy(n News, asked time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := asked.Add(-n.SureAge); n.SureVersion > 0 && n.SureVersion <= l.inForce && at.After(l.sure) {
		l.sure = at
	}
	return l.sure
}

// Sure is the latest moment at which nothing newer than what is in force here had
// been acknowledged to an operator.
func (l *Line) Sure() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sure
}

// take puts news in force. What a proxy says it holds is in force there, so its
// words wait until that is so; the questions of its requests do not. made is a moment
// before which the news cannot have been made.
func (l *Line) take(a string, n News, made time.Time) {
	l.takeMu.Lock()
	defer l.takeMu.Unlock()
	var doc *scheme.Doc
	var list *intake.List
	misfit := false
	// Of a word that was long under way, as a machine that was frozen sends them, only
	// what is numbered counts: the rest may have changed since.
	late := time.Since(made) > datum.TapSilence
	if late {
		n.Current, n.Metered, n.Scaler, n.Coming = false, "", "", nil
	}
	// What is held changes under takeMu only.
	l.mu.Lock()
	if !l.trustsLocked(n, l.version > 0) {
		n.Config, n.Coming, n.StateNum, n.Proxies = nil, nil, 0, 0
	}
	if !l.trustsLocked(n, l.listNum > 0) {
		n.List = nil
	}
	l.mu.Unlock()
	if c := n.Config; c != nil && c.Version > l.version {
		if d, err := c.Unpack(l.doc, datum.ConfigMax); err == nil {
			doc = d
		} else {
			misfit = true
		}
	}
	if li := n.List; li != nil && li.Num > l.listNum {
		if full, ok := li.Apply(l.list); ok {
			list = full
		} else {
			misfit = true
		}
	}
	f := l.fold(a, n, made, late, doc, list, misfit)
	l.apply(f)
	if f.Config != nil || f.List != nil {
		l.mu.Lock()
		l.taking, l.inForce = false, l.version
		l.mu.Unlock()
	}
}

// fold takes news into what is held and tells what of it is new.
func (l *Line) fold(a string, n News, made time.Time, late bool, doc *scheme.Doc, list *intake.List, misfit bool) Fresh {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	e := l.ends[a]
	l.meetLocked(n.Peers, n.Current)
	if n.Trackers == nil {
		n.Trackers = e.news.Trackers // as told on this connection before
	}
	if late {
		e.news.Trackers = n.Trackers // the next words only say what differs from it
	} else {
		e.at, e.everWord, e.news, l.heard = now, true, n, now
		e.news.Config, e.news.List, e.news.Peers, e.news.Coming = nil, nil, nil, nil
	}
	if l.first.IsZero() {
		l.first = now
	}
	var f Fresh
	if doc != nil {
		l.version, l.doc, f.Config = doc.Version, doc, doc
	}
	if list != nil {
		l.listNum, l.list, f.List = list.Num, list, list
	}
	if doc != nil || list != nil || misfit {
		l.whole = misfit
	}
	if n.StateNum > l.state {
		l.state, l.evacs = n.StateNum, n.Evacuated
	}
	f.State, f.Evacuated = l.state, l.evacs
	// A machine out of contact is believed only while none in contact speaks.
	if n.Current || now.Sub(l.current) > datum.TapSilence {
		if n.Metered != "" {
			l.metered = n.Metered
		}
		if n.Scaler != "" {
			l.scaler = n.Scaler
		}
	}
	f.From, f.Metered, f.Scaler = a, l.metered, l.scaler
	if n.Current {
		f.Wall = n.Wall
	}
	if n.Current {
		if made.After(l.current) {
			l.current = made
		}
		if n.ListNum == l.listNum && n.ListNum > 0 {
			if at := made.Add(-n.ListAge); at.After(l.listAt) {
				l.listAt = at
			}
		}
	}
	// The live count is the largest that a machine in contact lately told: too small a
	// count would split the quotas too generously. While none is, it may only rise. A
	// tracker that no machine in contact knows may be known to another.
	told := map[bool]int{false: l.proxies}
	var trackers []string
	for _, current := range []bool{true, false} {
		for _, x := range l.order {
			o := l.ends[x]
			if !o.everWord || now.Sub(o.at) >= datum.TapSilence || o.news.Current != current {
				continue
			}
			told[current] = max(told[current], o.news.Proxies)
			for i, t := range o.news.Trackers {
				if len(trackers) <= i {
					trackers = append(trackers, t)
				} else if trackers[i] == "" {
					trackers[i] = t
				}
			}
		}
	}
	if l.proxies = told[true]; l.proxies == 0 {
		l.proxies = told[false]
	}
	f.Proxies, f.Trackers, f.Coming = l.proxies, trackers, n.Coming
	l.taking = f.Config != nil || f.List != nil
	return f
}

// Announce has every tapped control machine told with the next step.
func (l *Line) Announce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.ends {
		e.tapAt = time.Time{}
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
func (l *Line) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := State{l.version, l.listNum, now.Sub(l.heard), now.Sub(l.listAt), now.Sub(l.current), l.full, map[string]time.Duration{}}
	for a, e := range l.ends {
		s.Ends[a] = now.Sub(e.at)
	}
	return s
}

// Ask sends a question to a control machine over its held connection.
func (l *Line) Ask(addr string, body any, timeout time.Duration) (any, error) {
	l.mu.Lock()
	if l.ends[addr] == nil {
		l.addLocked([]string{addr})
	}
	e := l.ends[addr]
	l.mu.Unlock()
	return e.m.Call(body, timeout)
}
