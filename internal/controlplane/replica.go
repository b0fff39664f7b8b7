package controlplane

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/controlplane/chain"
	"slateridge/internal/eventlog"
	"slateridge/internal/storage"
)

// readIndex says that no version above one had been committed at a moment.
type readIndex struct {
	at      time.Duration
	version uint64
}

// viewState is what the rest of the process asks of the chain's view. It is made anew when
// that changes, not with each step, and never written after.
type viewState struct {
	view, epoch      uint64
	voters           []string // addresses, sorted
	joined           bool     // the view names this machine's disk a voter
	leavesElectorate bool     // no lease is granted: see chain.Chain.LeavesElectorate
}

// replica runs this machine's Chain: it steps it, carries out the effects, and publishes
// what the rest of the process reads without a lock. mu guards machine and store, and is held
// while the disk works; the locks of leases and of the roster may be taken under it, and
// none is held when it is taken. Effects are carried out after it is released.
type replica struct {
	address    string
	seeds      []string // control machines named in the settings
	relay      bool     // has no say, and only knows who has
	now        func() time.Duration
	events     *eventlog.Log
	leases     *leases
	send       func(to string, message any)
	onCommit   func(doc config.Doc)
	onReadDone func(id uint64, doc *config.Doc) // answers a read

	mu    sync.Mutex
	chain *chain.Chain
	store *storage.Store

	viewState      atomic.Pointer[viewState]
	readIndex      atomic.Pointer[readIndex]
	contactAt      atomic.Int64  // nanoseconds since this process began, at which it was last in contact with a majority; 0 never
	lastTickAt     atomic.Int64  // likewise, at which the chain last advanced
	stalledAt      atomic.Int64  // likewise, at which it was last seen to have stood still
	joinReportedAt time.Duration // when it was last said that this machine waits to be taken in; used by advance only
}

// step runs the chain machine and carries out what comes of it.
func (r *replica) step(run func() []chain.Effect) {
	r.mu.Lock()
	effects := run()
	r.publish()
	r.mu.Unlock()
	for _, e := range effects {
		r.runEffect(e)
	}
}

func (r *replica) runEffect(e chain.Effect) {
	switch e := e.(type) {
	case chain.Send:
		r.send(e.To, e.Msg)
	case chain.Commit:
		r.onCommit(e.Doc)
	case chain.ReadDone:
		r.onReadDone(e.ID, e.Doc)
	case chain.Moved:
		v := e.View
		r.events.Record("view", fmt.Sprintf("%d %v of %d voters from %d/%d", v.Num, memberAddresses(v), len(v.Voters), v.From.View, v.From.Seq))
	}
}

func memberAddresses(v chain.View) []string {
	var out []string
	for _, m := range v.Members {
		out = append(out, m.Addr)
	}
	return out
}

// publish makes known what changed with a step, before any message of it leaves. mu is held.
func (r *replica) publish() {
	r.publishViewState()
	if at, ok := r.chain.ReadIndexAt(); ok {
		latest := readIndex{at, chain.VersionOf(r.chain.Committed())}
		if previous := r.readIndex.Load(); previous == nil || *previous != latest {
			r.readIndex.Store(&latest)
		}
	}
	if at, ok := r.chain.Contact(); ok {
		r.contactAt.Store(max(int64(at), 1))
	} else {
		r.contactAt.Store(0)
	}
}

func (r *replica) publishViewState() {
	view, joined, leaves := r.chain.View(), r.chain.Joined(), r.chain.LeavesElectorate()
	previous := r.viewState.Load()
	if previous != nil && previous.view == view.Num && previous.joined == joined && previous.leavesElectorate == leaves {
		return
	}
	next := &viewState{view: view.Num, epoch: view.Epoch, voters: view.VoterAddrs(), joined: joined, leavesElectorate: leaves}
	r.viewState.Store(next)
	// An acceptance of a view with another electorate is told to the leases before it
	// is told to anyone else, so that no lease is granted after it, however long the
	// process stands still in between.
	r.leases.setElectorate(next.epoch, next.voters, leaves)
}

// tickAndReport is the chain's regular step.
func (r *replica) tickAndReport() {
	now := r.now()
	if previous := time.Duration(r.lastTickAt.Swap(int64(now))); previous > 0 && now-previous > constants.StallGap {
		r.stalledAt.Store(int64(now))
		r.events.Count("stood_still", 1)
	}
	r.tick()
	if state := r.viewState.Load(); !state.joined && now-r.joinReportedAt > constants.JoinReport {
		r.joinReportedAt = now
		r.events.Record("waiting", fmt.Sprintf("no view has taken this machine in; known: view %d of %d voters, asked: %v. If no control machine has a view, a first start was cut short before a majority of the seeds had written: start those with empty disks and bootstrap true",
			state.view, len(state.voters), r.peers()))
	}
}

// tick advances the chain's time.
func (r *replica) tick() {
	r.step(func() []chain.Effect { return r.chain.Tick(r.now()) })
}

// receive hands another machine's message to the chain.
func (r *replica) receive(from string, message any) {
	r.step(func() []chain.Effect { return r.chain.Recv(r.now(), from, message) })
}

// hasMajorityContact says whether this machine is in contact with a majority of the voters, both
// ways: what is hearsay only may be old.
func (r *replica) hasMajorityContact() bool {
	at := time.Duration(r.contactAt.Load())
	return at > 0 && r.now()-at <= constants.ContactFresh
}

// contactAge is how long ago it was last in contact with a majority; negative: never.
func (r *replica) contactAge() time.Duration {
	if at := r.contactAt.Load(); at > 0 {
		return r.now() - time.Duration(at)
	}
	return -1
}

// recentlyStalled says whether this process has just been frozen, or starved of its
// processor: what it reads now may have been sent long ago, by callers that have gone.
func (r *replica) recentlyStalled() bool {
	now := r.now()
	tickedAt, stalledAt := time.Duration(r.lastTickAt.Load()), time.Duration(r.stalledAt.Load())
	return tickedAt > 0 && now-tickedAt > constants.StallGap || stalledAt > 0 && now-stalledAt < constants.StallQuiet
}

// peers are the other control machines that agree on the view, as known here.
func (r *replica) peers() []string {
	addresses := slices.Clone(r.viewState.Load().voters)
	if len(addresses) == 0 {
		addresses = slices.Clone(r.seeds)
	}
	return slices.DeleteFunc(addresses, func(a string) bool { return a == r.address })
}

// controlAddresses are all of them, this one too unless it only relays.
func (r *replica) controlAddresses() []string {
	addresses := r.peers()
	if !r.relay {
		addresses = append(addresses, r.address)
	}
	slices.Sort(addresses)
	return addresses
}

// put stores a value that value makes while the lock is held.
func (r *replica) put(key string, makeValue func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Put(key, makeValue()) // what cannot be kept is told again by others
}

// redirectTarget is the machine with a say that was heard last; see chain.Chain.Ahead.
func (r *replica) redirectTarget() (address string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain.Ahead()
}

// status is the chain's state at this moment. It waits for the disk.
func (r *replica) status() chain.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain.Status()
}

// electorate describes the voters; see chain.Chain.Electorate.
func (r *replica) electorate() ([]chain.Voter, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain.Electorate()
}

// leave waits for a view in which the others go on without this machine.
func (r *replica) leave() {
	startedAt := r.now()
	left, can := r.leaveState()
	r.step(func() []chain.Effect { return r.chain.Leave(r.now()) })
	for end := startedAt + constants.LeaveWait; !left && can && r.now() < end; left, can = r.leaveState() {
		time.Sleep(constants.ChainTick / 2)
	}
	switch {
	case left:
		r.events.Record("left", fmt.Sprintf("the others go on without this machine, after %v", (r.now()-startedAt).Round(time.Millisecond)))
	case !can:
		r.events.Record("left_members", "too few others are there to go on without this machine: they wait for it or for a successor")
	default:
		r.events.Record("left_unanswered", fmt.Sprintf("no view without this machine within %v: the others will find it silent", constants.LeaveWait))
	}
}

func (r *replica) leaveState() (left, can bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain.Left(), r.chain.CanLeave()
}
