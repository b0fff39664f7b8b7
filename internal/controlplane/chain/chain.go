// Package chain implements the replicated state of the control plane. The machines with a
// disk form a chain: a configuration enters at the head, is synced by every member in turn,
// and is committed at the tail (chain replication, van Renesse and Schneider, OSDI 2004).
// The membership of the chain is a small view, a number and an ordered list of members,
// which a majority of the voters agrees on with a consensus protocol. Chain is a
// deterministic state machine: it takes times and messages and returns effects, and has no
// clock, goroutine or network of its own. Package controlplane runs it.
package chain

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"slateridge/internal/config"
)

// Member identifies a machine together with the incarnation of its disk: a machine whose
// disk came back empty is a different member.
type Member struct {
	Addr        string
	Incarnation uint64
}

// View is an agreed configuration of the chain. Voters is the electorate: the machines,
// members or not, that agree on the next view. Epoch is the number of the view that last
// changed the voters' addresses. Base is the number of voters when the system was founded.
// From is the revision that all members held when the view was agreed.
type View struct {
	Num     uint64
	Members []Member
	Voters  []Member
	Epoch   uint64
	Base    int
	From    config.Revision
}

func (v View) hasVoter(m Member) bool { return slices.Contains(v.Voters, m) }

// voterIndex returns the index of the voter with the address, whatever its incarnation,
// or -1.
func (v View) voterIndex(addr string) int {
	return slices.IndexFunc(v.Voters, func(m Member) bool { return m.Addr == addr })
}

// VoterAddrs returns the voters' addresses, sorted.
func (v View) VoterAddrs() []string {
	var out []string
	for _, m := range v.Voters {
		out = append(out, m.Addr)
	}
	sort.Strings(out)
	return out
}

// memberIndex returns the index of the member with the address, whatever its incarnation,
// or -1.
func (v View) memberIndex(addr string) int {
	return slices.IndexFunc(v.Members, func(m Member) bool { return m.Addr == addr })
}

// HasMember reports whether m, with the same incarnation, is a member.
func (v View) HasMember(m Member) bool { return slices.Contains(v.Members, m) }

// Ballot orders the attempts to agree on one view.
type Ballot struct {
	Round uint64
	Addr  string
}

func (b Ballot) less(o Ballot) bool {
	return b.Round < o.Round || b.Round == o.Round && b.Addr < o.Addr
}

// Effect is an action that the caller of a step must carry out, in the order given: a Send,
// a Commit, a ReadDone or a ViewChanged.
type Effect interface{ effect() }

func (Send) effect()        {}
func (Commit) effect()      {}
func (ReadDone) effect()    {}
func (ViewChanged) effect() {}

type (
	// Send sends a message to another machine.
	Send struct {
		To  string
		Msg any
	}
	// Commit reports that a state has been committed.
	Commit struct{ Doc config.Doc }
	// ReadDone completes a read; Doc is nil if nothing has been committed yet.
	ReadDone struct {
		ID  uint64
		Doc *config.Doc
	}
	// ViewChanged reports that a new view has been adopted.
	ViewChanged struct{ View View }
)

// Store is durable storage.
type Store interface {
	Get(key string, v any) bool
	Put(key string, v any) error
	Failed() bool
	Recover() error
}

// agreement is the acceptor's durable state: the newest decided view and, for the slot
// after it, the promised and the accepted ballot. Joined is set while View counts this
// machine, with its current incarnation, among the voters. Next is the view accepted under
// ballot Accepted.
type agreement struct {
	View     View
	Joined   bool
	Promised Ballot
	Accepted Ballot
	Next     View
}

// peerState is what this machine knows about another control machine. Times are of this
// machine's clock.
type peerState struct {
	heartbeat      Heartbeat
	echoedAt       time.Duration // send time of the heartbeat that its latest one echoes; negative: none
	lastReachedAt  time.Duration // latest send time that any heartbeat of its incarnation echoed; negative: none
	receivedAt     time.Duration // when its latest heartbeat was received
	receivingSince time.Duration // when the first heartbeat of the current uninterrupted sequence was received
	everSeen       bool
}

// round is one attempt of this machine to get the next view agreed.
type round struct {
	slot      uint64
	ballot    Ballot
	startedAt time.Duration
	promises  map[string]Promise // by voter address
	members   []Member           // of the view to propose
	state     *config.Doc        // that all of them must hold first
	synced    map[string]bool
	proposed  *View // nil until the members are synced
	accepted  map[Member]bool
	fixed     bool // the proposed view was accepted in an earlier round
}

// pendingRead is a read at the tail that awaits confirmation of the view by a majority.
type pendingRead struct {
	id        uint64
	from      string // "" for this machine
	nonce     uint64
	startedAt time.Duration
	sentAt    time.Duration
	confirmed map[Member]bool // voters, including this one, that have confirmed that they have not sealed the view
}

// Chain is one machine's replica: its part in the chain and in agreeing on views.
type Chain struct {
	Me Member
	// Relay marks a machine that neither votes nor stores state and only redirects callers.
	// MaxMachineFailures is the number of disks that may be lost at once: a commit is held
	// by more than that.
	Relay              bool
	Zone, Region       string
	MaxMachineFailures int
	// Original is set on a machine that started together with the founders without being one,
	// until a view includes it.
	Original bool
	// MaxZoneFailures and MaxRegionFailures are the numbers of zones and regions that may be
	// lost at once, as alternatives to MaxMachineFailures.
	MaxZoneFailures, MaxRegionFailures int
	WallClock                          func() int64 // time of day to report in heartbeats; may be nil

	seeds []string // as given to New
	peers []string // known control machines, including this one: voters, seeds and senders of heartbeats
	store Store
	rng   *rand.Rand

	agreement agreement
	held      *config.Doc
	committed *config.Doc

	peerStates             map[string]*peerState
	now                    time.Duration
	startedAt              time.Duration
	nextHeartbeatAt        time.Duration
	lastPolledPeer         int // index of the peer that a relay last sent a heartbeat to
	nextRetransmitAt       time.Duration
	nextFetchAt            time.Duration
	nextRecoveryAt         time.Duration
	nextRoundAt            time.Duration // when this machine may start a round; 0 while no view change is needed
	lastRound              uint64        // highest round number used or seen
	round                  *round
	pendingConfigs         map[config.LedgerEntry]config.Doc // configurations submitted here and not yet committed, by version and checksum
	pendingConfigSince     map[config.LedgerEntry]time.Duration
	pendingEvacuations     map[uint64]EvacuationOrder // evacuation orders submitted here and not yet committed, by ID
	pendingEvacuationSince map[uint64]time.Duration
	receipts               receiptLog // evacuation orders received as head
	reads                  []*pendingRead
	nonce                  uint64
	clockBase              uint64                   // random offset that keeps heartbeat times of different runs of the process apart
	readIndexAt            time.Duration            // at this time nothing newer than committed had been committed anywhere; negative: unknown
	leaving                bool                     // a planned stop is in progress
	lastTick               time.Duration            // detects pauses of the process
	staleUntil             time.Duration            // after a pause, peerStates is out of date until then
	departures             map[string]time.Duration // when each peer announced that it is leaving
	retireRequests         map[string]time.Duration // when an operator asked to retire each voter
	effects                []Effect
	bulks                  [2]bulk // what is stored under bulkKeys, without the bodies; states refer to it by version and checksum
	DroppedOrders          uint64  // duty orders from machines that are not voters
}

// VersionOf returns the version of a state's configuration, or 0 for nil.
func VersionOf(d *config.Doc) uint64 {
	if d == nil {
		return 0
	}
	return d.Version
}

// revisionOf returns a state's revision; that of nil precedes all others.
func revisionOf(d *config.Doc) config.Revision {
	if d == nil {
		return config.Revision{}
	}
	return d.Stamp
}

// addPeer adds a control machine to the known peers.
func (c *Chain) addPeer(addr string) {
	if addr != "" && !slices.Contains(c.peers, addr) {
		c.peers = append(c.peers, addr)
		sort.Strings(c.peers)
	}
}

// majority returns the number of voters of the current view that decide the next one.
func (c *Chain) majority() int { return len(c.agreement.View.Voters)/2 + 1 }

// View returns the newest view known here.
func (c *Chain) View() View { return c.agreement.View }

// Committed returns the newest state known to be committed, or nil.
func (c *Chain) Committed() *config.Doc { return c.committed }

// isMember reports whether this machine is a member of the current view.
func (c *Chain) isMember() bool { return c.agreement.Joined && c.agreement.View.HasMember(c.Me) }

// sealed reports whether this machine has promised a ballot for the next view, which
// ends its part in the current one.
func (c *Chain) sealed() bool { return c.agreement.Promised != Ballot{} }

// isActiveMember reports whether this machine takes part in the chain: it is a member of
// the current view, has not sealed it, and holds no state of a later view. A machine with
// a state of a later view has caught up with what that view committed before learning of
// the view itself. If it acted as head, its next state would get a revision that the later
// view's head may give to a different state.
func (c *Chain) isActiveMember() bool {
	return c.isMember() && !c.sealed() && revisionOf(c.held).View <= c.agreement.View.Num && revisionOf(c.committed).View <= c.agreement.View.Num
}

// isActiveHead reports whether this machine accepts orders as head.
func (c *Chain) isActiveHead() bool { return c.isActiveMember() && c.isHead() }

// isHead reports whether this machine is the first member of its view, sealed or not.
func (c *Chain) isHead() bool {
	m := c.agreement.View.Members
	return len(m) > 0 && m[0] == c.Me
}

// send sends a message to a machine; a message to itself is handled at once.
func (c *Chain) send(to string, m any) {
	if to == c.Me.Addr {
		c.dispatch(to, m)
		return
	}
	c.effects = append(c.effects, Send{to, m})
}

// forEachPeer calls f for every known control machine except this one.
func (c *Chain) forEachPeer(f func(p string)) {
	for _, p := range c.peers {
		if p != c.Me.Addr {
			f(p)
		}
	}
}

// takeEffects returns the effects gathered so far and clears them.
func (c *Chain) takeEffects() []Effect {
	out := c.effects
	c.effects = nil
	return out
}
