package controlplane

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/discovery"
	"slateridge/internal/eventlog"
	"slateridge/internal/transport"
)

type (
	// ListUpdate brings the list from the machine that polls to the other control
	// machines, as its difference from the one before; without a change it says that
	// the numbered one still holds.
	ListUpdate struct {
		Num    uint64
		Change *discovery.Change
		Age    time.Duration // since it was known to be current
	}
	// ListRequest wants the list whole; a machine that has missed an update sends it.
	ListRequest struct{}
)

func init() {
	transport.Register(transport.NameUpstreamListNews, ListUpdate{})
	transport.Register(transport.NameUpstreamListRequest, ListRequest{})
}

// upstreamList is the platform's list of upstreams: read from the platform while this
// machine holds the duty, and shared among the control machines. polling is held for a
// whole reading, one at a time; mu guards the fields below it and is not held while the
// platform is asked or a message is sent. A list is never written once it stands in list.
type upstreamList struct {
	source    *discovery.Source
	events    *eventlog.Log
	now       func() time.Duration
	holdsPoll func() (since time.Duration, ok bool) // the lease of the duty
	broadcast func(message any)                     // to the other control machines
	publish   func()                                // has the proxies told

	polling sync.Mutex

	mu           sync.Mutex
	list         *discovery.List
	currentAt    time.Time
	highestNum   uint64        // highest number heard of
	bootReadDone bool          // the list has been read without the duty, once
	bootReadAt   time.Duration // not before: machines that start together read one after the other
	heldSince    time.Duration // start of the holding under which it was last read
}

// current is the list as known here, nil while there is none, and its age.
func (u *upstreamList) current() (list *discovery.List, age time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.list, time.Since(u.currentAt)
}

// observeNumber notes the number of a list that another process has.
func (u *upstreamList) observeNumber(num uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.highestNum = max(u.highestNum, num)
}

// fullUpdate is the message that brings all of the list; false while there is none.
func (u *upstreamList) fullUpdate() (ListUpdate, bool) {
	list, age := u.current()
	if list == nil {
		return ListUpdate{}, false
	}
	return ListUpdate{list.Num, discovery.Diff(nil, list), age}, true
}

// delayBootRead keeps this machine from reading without the duty before its turn. Were all
// that start together to read at once, long lists would use up the platform's rate before
// anyone had the whole.
func (u *upstreamList) delayBootRead(until time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bootReadAt = until
}

// readAtBoot reads the list at the start until there is one.
func (u *upstreamList) readAtBoot(ctx context.Context) {
	u.broadcast(ListRequest{}) // whoever has started before may have one
	for {
		u.poll(ctx)
		if list, _ := u.current(); list != nil || ctx.Err() != nil {
			return
		}
		time.Sleep(constants.BootCheckEvery)
	}
}

// poll reads the platform's list while this machine holds the duty. A machine
// that has just started and knows no list reads it once without the duty: for
// as long as nobody may hold it yet, proxies that start too would stand idle,
// and the first holder's list replaces whatever was read so.
func (u *upstreamList) poll(ctx context.Context) {
	if !u.polling.TryLock() {
		return
	}
	defer u.polling.Unlock()
	heldSince, held := u.holdsPoll()
	bootRead := !held && u.claimBootRead()
	if !held && !bootRead {
		return
	}
	instances, err := u.source.Read(ctx)
	if err != nil {
		u.events.Count("poll_failed", 1)
		if bootRead {
			u.rescheduleBootRead()
		}
		return
	}
	if s, still := u.holdsPoll(); held && (!still || s != heldSince) {
		return // the list may be old by now, and another reads
	}
	update, ok := u.install(instances, heldSince, bootRead)
	if !ok {
		return
	}
	u.broadcast(update) // with the duty, or as the first to know any list
	if update.Change != nil {
		u.events.Count("list_changed", 1)
		u.publish()
	}
}

// claimBootRead says whether the list is to be read without the duty now, and notes that
// it has been.
func (u *upstreamList) claimBootRead() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	due := u.list == nil && !u.bootReadDone && u.now() >= u.bootReadAt
	u.bootReadDone = u.bootReadDone || due
	return due
}

// rescheduleBootRead gives the reading without the duty another turn.
func (u *upstreamList) rescheduleBootRead() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bootReadDone, u.bootReadAt = false, u.now()+constants.BootRetry
}

// install takes up what has been read under a holding of the duty, or first without it; ok
// is false when another list came before a first one. The update has a Change when the
// list has another number than before.
func (u *upstreamList) install(instances []discovery.Instance, heldSince time.Duration, bootRead bool) (update ListUpdate, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if bootRead && u.list != nil {
		return ListUpdate{}, false
	}
	num, changed := u.nextNumber(instances, heldSince, bootRead)
	u.heldSince = heldSince
	previous := u.list
	// A list that is the same keeps its number; how long its upstreams stay cold
	// is taken anew, to notice one that turns cold again.
	u.list, u.highestNum = &discovery.List{Num: num, Instances: instances}, max(num, u.highestNum)
	u.currentAt = time.Now()
	update.Num = num
	if changed {
		update.Change = discovery.Diff(previous, u.list)
	}
	return update, true
}

// nextNumber is the number of a list just read, and whether it is another than before. mu
// is held.
func (u *upstreamList) nextNumber(instances []discovery.Instance, heldSince time.Duration, bootRead bool) (num uint64, changed bool) {
	switch {
	case bootRead:
		// Below every list that a holder of the duty has numbered, and apart from
		// what others read so: a difference must not fit another list than its own.
		return bootNumber(rand.Uint64()), true
	case u.list == nil || heldSince != u.heldSince:
		// Others numbered before, and two that take over one after the other may
		// have heard of the same number: each begins at one of its own.
		return firstNumber(u.highestNum, rand.Uint64()), true
	case u.list.Num != u.highestNum || !discovery.Same(u.list.Instances, instances):
		return u.highestNum + 1, true
	}
	return u.highestNum, false
}

// firstNumber is where a new holder of the poll duty begins to number its lists:
// above all it has heard of, and apart from another that has heard the same.
func firstNumber(highest, random uint64) uint64 {
	return (highest/constants.ListStride+1)*constants.ListStride + random%(constants.ListStride/2)
}

// bootNumber is the number of a list read without the duty.
func bootNumber(random uint64) uint64 { return 1 + random%(constants.ListStride-1) }

// applyUpdate takes another machine's update; false when it does not fit what is held here.
func (u *upstreamList) applyUpdate(m ListUpdate) bool {
	u.mu.Lock()
	u.highestNum = max(u.highestNum, m.Num)
	applied := false
	if m.Change != nil && (u.list == nil || m.Num > u.list.Num) {
		if list, fits := m.Change.Apply(u.list); fits {
			u.list, applied = list, true
		}
	}
	sameNumber := u.list != nil && u.list.Num == m.Num
	behind := u.list == nil || u.list.Num < m.Num
	if at := time.Now().Add(-m.Age); sameNumber && at.After(u.currentAt) {
		u.currentAt = at
	}
	u.mu.Unlock()
	if applied {
		u.publish()
	}
	return !behind
}
