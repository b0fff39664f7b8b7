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

// standing is what the rest of the process asks of the chain's view. It is made anew when
// that changes, not with each step, and never written after.
type standing struct {
	view, epoch uint64
	voters      []string // addresses, sorted
	joined      bool     // the view names this machine's disk a voter
	leaves      bool     // no lease is granted: see chain.Chain.ElectorateUncertain
}

// replica runs this machine's Chain: it steps it, carries out the effects, and publishes
// what the rest of the process reads without a lock. mu guards machine and store, and is held
// while the disk works; the locks of leases and of the roster may be taken under it, and
// none is held when it is taken. Effects are carried out after it is released.
type replica struct {
	address string
	seeds   []string // control machines named in the settings
	relay   bool     // has no say, and only knows who has
	now     func() time.Duration
	events  *eventlog.Log
	leases  *leases
	send    func(to string, message any)
	commit  func(doc config.Doc)
	read    func(id uint64, doc *config.Doc) // answers a read

	mu      sync.Mutex
	machine *chain.Chain
	store   *storage.Store

	standing       atomic.Pointer[standing]
	readIndex      atomic.Pointer[readIndex]
	contactAt      atomic.Int64  // nanoseconds since this process began, at which it was last in contact with a majority; 0 never
	steppedAt      atomic.Int64  // likewise, at which the chain last advanced
	stalledAt      atomic.Int64  // likewise, at which it was last seen to have stood still
	joinReportedAt time.Duration // when it was last said that this machine waits to be taken in; used by advance only
}

// step runs the chain machine and carries out what comes of it.
func (r *replica) step(f func() []chain.Effect) {
	r.mu.Lock()
	effects := f()
	r.publish()
	r.mu.Unlock()
	for _, e := range effects {
		r.carryOut(e)
	}
}

func (r *replica) carryOut(e chain.Effect) {
	switch e := e.(type) {
	case chain.Send:
		r.send(e.To, e.Msg)
	case chain.Commit:
		r.commit(e.Doc)
	case chain.ReadDone:
		r.read(e.ID, e.Doc)
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

// publish makes known what changed with a step, before any message of it leaves. mu is held.
func (r *replica) publish() {
	r.publishStanding()
	if at, ok := r.machine.ReadIndexAt(); ok {
		fresh := readIndex{at, chain.VersionOf(r.machine.Committed())}
		if was := r.readIndex.Load(); was == nil || *was != fresh {
			r.readIndex.Store(&fresh)
		}
	}
	if at, ok := r.machine.MajorityContactAt(); ok {
		r.contactAt.Store(max(int64(at), 1))
	} else {
		r.contactAt.Store(0)
	}
}

func (r *replica) publishStanding() {
	view, joined, leaves := r.machine.View(), r.machine.Joined(), r.machine.ElectorateUncertain()
	was := r.standing.Load()
	if was != nil && was.view == view.Num && was.joined == joined && was.leaves == leaves {
		return
	}
	now := &standing{view: view.Num, epoch: view.Epoch, voters: view.VoterAddrs(), joined: joined, leaves: leaves}
	r.standing.Store(now)
	// An acceptance of a view with another electorate is told to the leases before it
	// is told to anyone else, so that no lease is granted after it, however long the
	// process stands still in between.
	r.leases.setElectorate(now.epoch, now.voters, leaves)
}

// advance is the chain's regular step.
func (r *replica) advance() {
	now := r.now()
	if at := time.Duration(r.steppedAt.Swap(int64(now))); at > 0 && now-at > constants.StallGap {
		r.stalledAt.Store(int64(now))
		r.events.Count("stood_still", 1)
	}
	r.tick()
	if s := r.standing.Load(); !s.joined && now-r.joinReportedAt > constants.JoinReport {
		r.joinReportedAt = now
		r.events.Record("waiting", fmt.Sprintf("no view has taken this machine in; known: view %d of %d voters, asked: %v. If no control machine has a view, a first start was cut short before a majority of the seeds had written: start those with empty disks and bootstrap true",
			s.view, len(s.voters), r.peers()))
	}
}

// tick advances the chain's time.
func (r *replica) tick() {
	r.step(func() []chain.Effect { return r.machine.Tick(r.now()) })
}

// receive hands another machine's message to the chain.
func (r *replica) receive(from string, message any) {
	r.step(func() []chain.Effect { return r.machine.Recv(r.now(), from, message) })
}

// current says whether this machine is in contact with a majority of the voters, both
// ways: what is hearsay only may be old.
func (r *replica) current() bool {
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

// stalled says whether this process has just been frozen, or starved of its
// processor: what it reads now may have been sent long ago, by callers that have gone.
func (r *replica) stalled() bool {
	now := r.now()
	stepped, stalled := time.Duration(r.steppedAt.Load()), time.Duration(r.stalledAt.Load())
	return stepped > 0 && now-stepped > constants.StallGap || stalled > 0 && now-stalled < constants.StallQuiet
}

// peers are the other control machines that agree on the view, as known here.
func (r *replica) peers() []string {
	addresses := slices.Clone(r.standing.Load().voters)
	if len(addresses) == 0 {
		addresses = slices.Clone(r.seeds)
	}
	return slices.DeleteFunc(addresses, func(a string) bool { return a == r.address })
}

// controls are all of them, this one too unless it only relays.
func (r *replica) controls() []string {
	addresses := r.peers()
	if !r.relay {
		addresses = append(addresses, r.address)
	}
	slices.Sort(addresses)
	return addresses
}

// keep stores a value that value makes while the lock is held.
func (r *replica) keep(key string, value func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Put(key, value()) // what cannot be kept is told again by others
}

// ahead is the machine with a say that was heard last; see chain.Chain.RedirectTarget.
func (r *replica) ahead() (address string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.RedirectTarget()
}

// status is the chain's state at this moment. It waits for the disk.
func (r *replica) status() chain.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Status()
}

// electorate describes the voters; see chain.Chain.Electorate.
func (r *replica) electorate() ([]chain.Voter, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Electorate()
}

// leave waits for a view in which the others go on without this machine.
func (r *replica) leave() {
	began := r.now()
	left, can := r.leaveState()
	r.step(func() []chain.Effect { return r.machine.Leave(r.now()) })
	for end := began + constants.LeaveWait; !left && can && r.now() < end; left, can = r.leaveState() {
		time.Sleep(constants.ChainTick / 2)
	}
	switch {
	case left:
		r.events.Record("left", fmt.Sprintf("the others go on without this machine, after %v", (r.now()-began).Round(time.Millisecond)))
	case !can:
		r.events.Record("left_members", "too few others are there to go on without this machine: they wait for it or for a successor")
	default:
		r.events.Record("left_unanswered", fmt.Sprintf("no view without this machine within %v: the others will find it silent", constants.LeaveWait))
	}
}

func (r *replica) leaveState() (left, can bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.HasLeft(), r.machine.CanLeave()
}
