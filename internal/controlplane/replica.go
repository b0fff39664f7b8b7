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

// readIndex states that no configuration above version was committed at time at.
type readIndex struct {
	at      time.Duration
	version uint64
}

// viewState is the part of the chain's view that other components read. It is immutable and
// replaced only when it changes, not at each step.
type viewState struct {
	view, epoch         uint64
	voters              []string // addresses, sorted
	joined              bool     // the view lists this machine, with its current disk, as a voter
	electorateUncertain bool     // this machine must not grant leases; see chain.Chain.ElectorateUncertain
}

// replica runs this machine's chain: it steps the state machine, executes the effects, and
// publishes the state that other components read without a lock. mu guards chain and store
// and is held during disk writes. The locks of leases and roster may be taken while mu is
// held; no lock may be held when mu is taken. Effects are executed after mu is released.
type replica struct {
	address    string
	seeds      []string // control machines listed in the settings
	relay      bool     // has no vote and only redirects callers to voters
	now        func() time.Duration
	events     *eventlog.Log
	leases     *leases
	send       func(to string, message any)
	onCommit   func(doc config.Doc)
	onReadDone func(id uint64, doc *config.Doc) // receives the result of a read

	mu    sync.Mutex
	chain *chain.Chain
	store *storage.Store

	viewState      atomic.Pointer[viewState]
	readIndex      atomic.Pointer[readIndex]
	contactAt      atomic.Int64  // last contact with a majority, in nanoseconds since this process started; 0 if never
	lastTickAt     atomic.Int64  // last call of tickAndReport, in the same unit
	stalledAt      atomic.Int64  // last detected stall of this process, in the same unit
	joinReportedAt time.Duration // last report that this machine waits to join; used by tickAndReport only
}

// step runs one transition of the chain, publishes the new state and executes the effects.
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
	case chain.ViewChanged:
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

// publish publishes the state after a step, before any message of that step is sent. The
// caller must hold mu.
func (r *replica) publish() {
	r.publishViewState()
	if at, ok := r.chain.ReadIndexAt(); ok {
		latest := readIndex{at, chain.VersionOf(r.chain.Committed())}
		if previous := r.readIndex.Load(); previous == nil || *previous != latest {
			r.readIndex.Store(&latest)
		}
	}
	if at, ok := r.chain.MajorityContactAt(); ok {
		r.contactAt.Store(max(int64(at), 1))
	} else {
		r.contactAt.Store(0)
	}
}

func (r *replica) publishViewState() {
	view, joined, uncertain := r.chain.View(), r.chain.Joined(), r.chain.ElectorateUncertain()
	previous := r.viewState.Load()
	if previous != nil && previous.view == view.Num && previous.joined == joined && previous.electorateUncertain == uncertain {
		return
	}
	next := &viewState{view: view.Num, epoch: view.Epoch, voters: view.VoterAddrs(), joined: joined, electorateUncertain: uncertain}
	r.viewState.Store(next)
	// When this machine accepts a view with another electorate, the lease manager must know
	// before any other machine does. No lease is granted after the acceptance then, however
	// long the process stalls in between.
	r.leases.setElectorate(next.epoch, next.voters, uncertain)
}

// tickAndReport advances the chain at regular intervals. It also detects stalls of this
// process and periodically reports that the machine has not joined a view yet.
func (r *replica) tickAndReport() {
	now := r.now()
	if previous := time.Duration(r.lastTickAt.Swap(int64(now))); previous > 0 && now-previous > constants.StallThreshold {
		r.stalledAt.Store(int64(now))
		r.events.Count("stood_still", 1)
	}
	r.tick()
	if state := r.viewState.Load(); !state.joined && now-r.joinReportedAt > constants.JoinReportInterval {
		r.joinReportedAt = now
		r.events.Record("waiting", fmt.Sprintf("this machine is not a voter of any view yet; newest known view: %d with %d voters; contacting: %v. If no control machine has a view, the initial bootstrap was interrupted before a majority of the seeds wrote their state: restart the seeds with empty disks and bootstrap true",
			state.view, len(state.voters), r.peers()))
	}
}

// tick advances the chain's timers.
func (r *replica) tick() {
	r.step(func() []chain.Effect { return r.chain.Tick(r.now()) })
}

// receive passes a message from another machine to the chain.
func (r *replica) receive(from string, message any) {
	r.step(func() []chain.Effect { return r.chain.Recv(r.now(), from, message) })
}

// hasMajorityContact reports whether this machine has recently had two-way contact with a
// majority of the voters. Without it, its information may be outdated.
func (r *replica) hasMajorityContact() bool {
	at := time.Duration(r.contactAt.Load())
	return at > 0 && r.now()-at <= constants.ContactMaxAge
}

// contactAge returns the time since the last contact with a majority, or a negative value if
// there was none.
func (r *replica) contactAge() time.Duration {
	if at := r.contactAt.Load(); at > 0 {
		return r.now() - time.Duration(at)
	}
	return -1
}

// recentlyStalled reports whether this process was recently frozen or starved of CPU time.
// Requests that it reads now may be old, and their callers may have disconnected.
func (r *replica) recentlyStalled() bool {
	now := r.now()
	tickedAt, stalledAt := time.Duration(r.lastTickAt.Load()), time.Duration(r.stalledAt.Load())
	return tickedAt > 0 && now-tickedAt > constants.StallThreshold || stalledAt > 0 && now-stalledAt < constants.StallRecoveryTime
}

// peers returns the addresses of the other voters of the known view, or of the other seeds
// before any view is known.
func (r *replica) peers() []string {
	addresses := slices.Clone(r.viewState.Load().voters)
	if len(addresses) == 0 {
		addresses = slices.Clone(r.seeds)
	}
	return slices.DeleteFunc(addresses, func(a string) bool { return a == r.address })
}

// controlAddresses returns the sorted addresses of the peers and, unless this machine is a
// relay, of this machine.
func (r *replica) controlAddresses() []string {
	addresses := r.peers()
	if !r.relay {
		addresses = append(addresses, r.address)
	}
	slices.Sort(addresses)
	return addresses
}

// put stores the result of makeValue, which is called with mu held. Write errors are ignored
// because other machines send the value again.
func (r *replica) put(key string, makeValue func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Put(key, makeValue())
}

// redirectTarget returns the voter that this relay heard from last; see chain.Chain.RedirectTarget.
func (r *replica) redirectTarget() (address string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain.RedirectTarget()
}

// status returns the chain's current state. It may wait for a disk write in progress.
func (r *replica) status() chain.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain.Status()
}

// electorate returns the voters and the failure margin; see chain.Chain.Electorate.
func (r *replica) electorate() ([]chain.Voter, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain.Electorate()
}

// leave announces a planned stop and waits up to constants.LeaveTimeout for a view without this
// machine.
func (r *replica) leave() {
	startedAt := r.now()
	left, canLeave := r.leaveState()
	r.step(func() []chain.Effect { return r.chain.Leave(r.now()) })
	for end := startedAt + constants.LeaveTimeout; !left && canLeave && r.now() < end; left, canLeave = r.leaveState() {
		time.Sleep(constants.ChainTick / 2)
	}
	switch {
	case left:
		r.events.Record("left", fmt.Sprintf("the other machines agreed on a view without this machine after %v", (r.now()-startedAt).Round(time.Millisecond)))
	case !canLeave:
		r.events.Record("left_members", "too few others are there to go on without this machine: they wait for it or for a successor")
	default:
		r.events.Record("left_unanswered", fmt.Sprintf("no view without this machine within %v: the other machines have to detect that it stopped", constants.LeaveTimeout))
	}
}

func (r *replica) leaveState() (left, canLeave bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain.HasLeft(), r.chain.CanLeave()
}
