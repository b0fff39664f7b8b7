// Package chain is the replicated state of the control plane. The machines with a disk form
// a chain: a configuration enters at the head, is synced by every member in turn, and is
// committed at the tail (chain replication, van Renesse and Schneider, OSDI 2004). A small
// view (number and ordered members), agreed by a majority of the machines, says who the
// chain is. Chain is a deterministic machine: it takes moments and messages and gives
// effects, and has no clock, goroutine or network of its own. Package controlplane runs it.
package chain

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"slateridge/internal/config"
)

// Member is a machine and the life of its disk: a machine whose disk came back
// empty is another member.
type Member struct {
	Addr        string
	Incarnation uint64
}

// View is the agreed chain. Voters are the machines that agree on the view after
// it, members or not: the electorate. Epoch is the number of the view that last
// changed their addresses. Base is how many they were when the system was founded.
// From is the state all members held when the view was agreed.
type View struct {
	Num     uint64
	Members []Member
	Voters  []Member
	Epoch   uint64
	Base    int
	From    config.Revision
}

func (v View) votes(m Member) bool { return slices.Contains(v.Voters, m) }

// voter is the place of an address among the voters, whatever its disk; -1: it is none.
func (v View) voter(addr string) int {
	return slices.IndexFunc(v.Voters, func(m Member) bool { return m.Addr == addr })
}

// VoterAddrs lists the voters' addresses, sorted.
func (v View) VoterAddrs() []string {
	var out []string
	for _, m := range v.Voters {
		out = append(out, m.Addr)
	}
	sort.Strings(out)
	return out
}

func (v View) index(addr string) int {
	return slices.IndexFunc(v.Members, func(m Member) bool { return m.Addr == addr })
}

// HasMember says whether a machine, with this life of its disk, is a member.
func (v View) HasMember(m Member) bool { return slices.Contains(v.Members, m) }

// Ballot orders attempts to agree on one view.
type Ballot struct {
	Round uint64
	Addr  string
}

func (b Ballot) less(o Ballot) bool {
	return b.Round < o.Round || b.Round == o.Round && b.Addr < o.Addr
}

// Effect is what the caller of a step has to carry out, in the order given: a Send, a
// Commit, a ReadDone or a Moved, and nothing else.
type Effect interface{ effect() }

func (Send) effect()        {}
func (Commit) effect()      {}
func (ReadDone) effect()    {}
func (ViewChanged) effect() {}

// Effects of a step.
type (
	// Send is a message to another machine.
	Send struct {
		To  string
		Msg any
	}
	// Commit tells that a version is in force for good.
	Commit struct{ Doc config.Doc }
	// ReadDone ends a read; Doc is nil when there is no configuration yet.
	ReadDone struct {
		ID  uint64
		Doc *config.Doc
	}
	// ViewChanged tells of a new view.
	ViewChanged struct{ View View }
)

// Store keeps what must outlast the process.
type Store interface {
	Get(key string, v any) bool
	Put(key string, v any) error
	Failed() bool
	Recover() error
}

// agreement is the acceptor's durable state for the slot after the view.
type agreement struct {
	View     View
	Joined   bool
	Promised Ballot
	Accepted Ballot
	Next     View
}

type peerState struct {
	heartbeat  Heartbeat
	echoedAt   time.Duration // moment here that its last heartbeat follows; negative: none known
	reached    time.Duration // latest moment here that any heartbeat of its disk's life followed; negative: none known
	heardAt    time.Duration // last heartbeat
	heardSince time.Duration // first heartbeat of the present run of them
	everSeen   bool
}

// round is one attempt of this machine at the next view.
type round struct {
	slot     uint64
	ballot   Ballot
	began    time.Duration
	promises map[string]Promise // of voters
	chosen   []Member
	doc      *config.Doc
	synced   map[string]bool
	value    *View
	accepted map[Member]bool
	fixed    bool // the value was accepted before, by another's round
}

type reading struct {
	id        uint64
	from      string // "" is this machine
	nonce     uint64
	began     time.Duration
	sent      time.Duration
	confirmed map[Member]bool // voters, this one too, that have confirmed the view unsealed
}

// Chain is one machine's part in the chain and in agreeing on the view.
type Chain struct {
	Me Member
	// Relay is set on a machine without a say; Tolerate is how many disks may be
	// lost at once: a promise stands on more.
	Relay              bool
	Zone, Region       string
	MaxMachineFailures int
	// Original is set on a machine that started with the founders and is none of them,
	// until a view has taken it in.
	Original bool
	// MaxZoneFailures and MaxRegionFailures are how many of them may be lost at once in place of that.
	MaxZoneFailures, MaxRegionFailures int
	WallClock                          func() int64 // the time of day, to tell others; nil where there is none

	seeds []string // as named at the start
	peers []string // control machines known, this one too: voters, seeds, and who spoke up
	store Store
	rng   *rand.Rand

	agreement agreement
	held      *config.Doc
	committed *config.Doc

	peerStates             map[string]*peerState
	now                    time.Duration
	started                time.Duration
	heartbeatAt            time.Duration
	relayTurn              int // a relay's: whom it asked last
	passAt                 time.Duration
	fetchAt                time.Duration
	recoverAt              time.Duration
	troubleAt              time.Duration // since when a change of view is wanted
	rounds                 uint64
	round                  *round
	pendingConfigs         map[config.Taken]config.Doc // an operator's changes not yet committed, by number and content
	pendingConfigSince     map[config.Taken]time.Duration
	pendingEvacuations     map[uint64]EvacuationOrder // likewise, evacuations
	pendingEvacuationSince map[uint64]time.Duration
	arrivals               arrivals // a head's: the evacuations it has received
	reads                  []*reading
	nonce                  uint64
	clockBase              uint64                   // moments of this life are told apart from those of others by it
	readIndexAt            time.Duration            // nothing newer than what is committed here had been committed at this moment; negative: never known
	leaving                bool                     // this machine is about to stop
	lastTick               time.Duration            // to see that the process stood still
	quietUntil             time.Duration            // its picture of the others is old until then
	departures             map[string]time.Duration // who said that it leaves, and when
	retire                 map[string]time.Duration // an operator's word on voters that are gone
	effects                []Effect
	bulks                  [2]bulk // configurations on disk; states name them
	DroppedOrders          uint64
}

// VersionOf is the version of a state's configuration; 0 without a state.
func VersionOf(d *config.Doc) uint64 {
	if d == nil {
		return 0
	}
	return d.Version
}

// revisionOf is a state's place in the order; nothing is before all.
func revisionOf(d *config.Doc) config.Revision {
	if d == nil {
		return config.Revision{}
	}
	return d.Stamp
}

// addPeer makes a control machine known.
func (c *Chain) addPeer(addr string) {
	if addr != "" && !slices.Contains(c.peers, addr) {
		c.peers = append(c.peers, addr)
		sort.Strings(c.peers)
	}
}

// majority is how many voters of the present view decide on the next.
func (c *Chain) majority() int { return len(c.agreement.View.Voters)/2 + 1 }

// View is the newest view known here.
func (c *Chain) View() View { return c.agreement.View }

// Committed is the newest configuration known to be in force, or nil.
func (c *Chain) Committed() *config.Doc { return c.committed }

// Member says whether this machine is in the view, and sealed whether it has
// promised to leave that view.
func (c *Chain) member() bool { return c.agreement.Joined && c.agreement.View.HasMember(c.Me) }
func (c *Chain) sealed() bool { return c.agreement.Promised != Ballot{} }

// serves says whether this machine has its part in the chain: a member of an unsealed
// view, and of the newest it knows of. One that holds a state of a later view has caught
// up with what that view committed and not yet learnt of the view itself: were it to
// head, its next state would bear a revision that the later view's head may give to another.
func (c *Chain) serves() bool {
	return c.member() && !c.sealed() && revisionOf(c.held).View <= c.agreement.View.Num && revisionOf(c.committed).View <= c.agreement.View.Num
}

// heads says whether orders enter here.
func (c *Chain) heads() bool { return c.serves() && c.leads() }

// leads says whether this machine is the first of its view, sealed or not.
func (c *Chain) leads() bool {
	m := c.agreement.View.Members
	return len(m) > 0 && m[0] == c.Me
}

func (c *Chain) send(to string, m any) {
	if to == c.Me.Addr {
		c.take(to, m)
		return
	}
	c.effects = append(c.effects, Send{to, m})
}

func (c *Chain) others(f func(p string)) {
	for _, p := range c.peers {
		if p != c.Me.Addr {
			f(p)
		}
	}
}

func (c *Chain) flush() []Effect {
	out := c.effects
	c.effects = nil
	return out
}
