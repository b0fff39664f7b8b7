// Package penstock carries the head of water down to the machines that use it;
// in the field's terms: it pushes numbered changes to the proxies over held
// connections, counts what they acknowledge, and fills gaps with a snapshot.
package penstock

import (
	"sort"
	"sync"
	"time"

	"slateridge/internal/conduit"
	"slateridge/internal/datum"
	"slateridge/internal/intake"
	"slateridge/internal/scheme"
	"slateridge/internal/weir"
)

type (
	// Tap is a proxy's regular word on a held connection: what it holds, which
	// is its acknowledgement, and whether it wants contents here or numbers
	// only.
	Tap struct {
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
	// News is a numbered change, or the answer to a Tap.
	News struct {
		Heard   time.Duration // the Sent of the latest Tap: this was made after it
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
		Config      *scheme.Packed
		List        *intake.Change
		// Coming are the limits of a version that has arrived but is not in
		// force; they are only evaluated.
		ComingVer uint64
		Coming    map[string]weir.Quota
	}
)

func init() {
	conduit.Register(conduit.NameSubscription, Tap{})
	conduit.Register(conduit.NameUpdate, News{})
}

// Face is what there is to tell at this moment.
type Face struct {
	News
	ConfigDoc *scheme.Doc
	Upstreams *intake.List
}

// tapped is one held connection from a proxy.
type tapped struct {
	tap      Tap
	at       time.Time
	gotVer   uint64 // contents sent or held
	gotList  uint64
	trackers string
	proxies  int
	told     [3]uint64
	peers    string
	metered  string
	coming   uint64 // limits sent for evaluation
}

func named(ps []Peer) string {
	out := ""
	for _, p := range ps {
		out += p.Addr + "/" + p.Zone + "/" + p.Region + " "
	}
	return out
}

// Penstock is the control side.
type Penstock struct {
	mu    sync.Mutex
	pipes map[*conduit.Pipe]*tapped
	face  func() Face
	// sharing says whether a proxy may be told the live count: from then on it
	// uses a share of the split quotas.
	sharing func(node string) bool
	Closed  func(node string) // told when a proxy's last held connection ends
	pushes  uint64
	docs    kept[scheme.Doc, scheme.Packed]
	lists   kept[intake.List, intake.Change]
}

// kept are the latest states of a kind, the newest last, with its differences
// from the earlier ones: each is worked out once for all proxies that need it.
type kept[S any, D any] struct {
	num    func(*S) uint64
	diff   func(base, newest *S) *D
	states []*S
	diffs  map[uint64]*D
}

// from is the newest state as its difference from the one a proxy holds, or whole
// where that is not kept any more.
func (k *kept[S, D]) from(newest *S, have uint64) *D {
	if n := len(k.states); n == 0 || k.num(k.states[n-1]) != k.num(newest) {
		k.states = append(k.states, newest)
		k.states = k.states[max(0, len(k.states)-datum.KeptStates):]
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
func New(face func() Face, sharing func(node string) bool) *Penstock {
	return &Penstock{pipes: map[*conduit.Pipe]*tapped{}, face: face, sharing: sharing,
		docs: kept[scheme.Doc, scheme.Packed]{num: func(d *scheme.Doc) uint64 { return d.Version },
			diff: func(base, d *scheme.Doc) *scheme.Packed { p := scheme.Pack(base, d); return &p }},
		lists: kept[intake.List, intake.Change]{num: func(l *intake.List) uint64 { return l.Num }, diff: intake.Diff}}
}

// Tapped takes a proxy's word and answers it.
func (ps *Penstock) Tapped(p *conduit.Pipe, t Tap) News {
	f := ps.face()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	c := ps.pipes[p]
	if c == nil {
		c = &tapped{}
		ps.pipes[p] = c
		go func() {
			<-p.Done()
			ps.mu.Lock()
			delete(ps.pipes, p)
			last := true
			for _, o := range ps.pipes {
				last = last && o.tap.Node != t.Node
			}
			ps.mu.Unlock()
			if last && ps.Closed != nil {
				ps.Closed(t.Node)
			}
		}()
	}
	c.tap, c.at, c.gotVer, c.gotList = t, time.Now(), t.Version, t.ListNum
	if t.Whole {
		c.gotVer, c.gotList = 0, 0
	}
	if t.Missed {
		c.trackers, c.peers, c.coming = "", "", 0
	}
	return ps.news(c, f)
}

// gives says whether contents may be handed to a proxy, which may hold an earlier
// state of them. What is committed and newer than that is always better; to one that
// holds nothing, all that a machine out of contact has would look like the newest.
func (c *tapped) gives(f Face, holds bool) bool {
	return c.tap.Full && (f.Current || holds || c.tap.Stale)
}

// lacks says what of the contents this proxy is to be handed.
func (c *tapped) lacks(f Face) (config, list bool) {
	config = f.ConfigDoc != nil && f.ConfigDoc.Version > c.gotVer && c.gives(f, c.tap.Version > 0)
	list = f.Upstreams != nil && f.Upstreams.Num > c.gotList && c.gives(f, c.tap.ListNum > 0)
	return config, list
}

// news fills in what this proxy lacks.
func (ps *Penstock) news(c *tapped, f Face) News {
	n := f.News
	n.Heard = c.tap.Sent
	c.told = [3]uint64{n.Version, n.ListNum, n.StateNum}
	begins := !f.Current && c.tap.Version == 0 && !c.tap.Stale
	if !ps.sharing(c.tap.Node) || begins {
		n.Proxies = 0
	}
	if begins {
		n.StateNum, n.Evacuated = 0, nil
	}
	config, list := c.lacks(f)
	if config {
		n.Config, c.gotVer = ps.docs.from(f.ConfigDoc, c.gotVer), f.ConfigDoc.Version
	}
	if list {
		n.List, c.gotList = ps.lists.from(f.Upstreams, c.gotList), f.Upstreams.Num
	}
	if n.ComingVer <= n.Version || n.ComingVer == c.coming || !c.tap.Full || begins {
		n.ComingVer, n.Coming = 0, nil
	} else {
		c.coming = n.ComingVer
	}
	c.proxies, c.metered = n.Proxies, n.Metered
	if t := joined(n.Trackers); t == c.trackers {
		n.Trackers = nil
	} else {
		c.trackers = t
	}
	if p := named(n.Peers); p == c.peers {
		n.Peers = nil
	} else {
		c.peers = p
	}
	return n
}

func joined(ss []string) string {
	out := ""
	for _, s := range ss {
		out += s + " "
	}
	return out
}

// Publish pushes what has changed down every held connection.
func (ps *Penstock) Publish() {
	f := ps.face()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for p, c := range ps.pipes {
		if time.Since(c.at) > datum.TapSilence {
			continue // it takes its news elsewhere, or is gone; its next word is answered
		}
		config, list := c.lacks(f)
		if !config && !list && (f.ComingVer <= f.Version || f.ComingVer == c.coming || !c.tap.Full) && c.told == [3]uint64{f.Version, f.ListNum, f.StateNum} && (c.metered == f.Metered || f.Metered == "") && (c.proxies == f.Proxies || c.proxies == 0 && !ps.sharing(c.tap.Node)) && c.trackers == joined(f.Trackers) {
			continue
		}
		ps.pushes++
		p.Send(ps.news(c, f))
	}
}

// ProxyState is one proxy as the control side knows it.
type ProxyState struct {
	Tap
	Silent time.Duration
}

// Proxies lists the proxies heard on held connections, by address.
func (ps *Penstock) Proxies() []ProxyState {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	by := map[string]ProxyState{}
	for _, c := range ps.pipes {
		s := ProxyState{c.tap, time.Since(c.at)}
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
func (ps *Penstock) Pushed() uint64 {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.pushes
}
