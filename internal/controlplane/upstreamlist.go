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
	// ListUpdate carries the upstream list from the polling machine to the other control
	// machines, as a difference from the previous list. A nil Change confirms that list Num
	// is still current.
	ListUpdate struct {
		Num    uint64
		Change *discovery.Change
		Age    time.Duration // time since the list was known to be current
	}
	// ListRequest asks for the full list. A machine that has missed an update sends it.
	ListRequest struct{}
)

func init() {
	transport.Register(transport.NameUpstreamListNews, ListUpdate{})
	transport.Register(transport.NameUpstreamListRequest, ListRequest{})
}

// upstreamList holds the platform's list of upstreams. The holder of the poll duty reads it
// from the platform and shares it with the other control machines. polling is held for a
// whole poll, so that there is one at a time. mu guards the fields below it and is not held
// during platform calls or sends. A list stored in the list field is immutable.
type upstreamList struct {
	source    *discovery.Source
	events    *eventlog.Log
	now       func() time.Duration
	holdsPoll func() (since time.Duration, ok bool) // reports whether this machine holds the poll lease
	broadcast func(message any)                     // to the other control machines
	publish   func()                                // sends the change to the proxies

	polling sync.Mutex

	mu           sync.Mutex
	list         *discovery.List
	currentAt    time.Time
	highestNum   uint64        // highest list number seen by this machine
	bootReadDone bool          // the list has been read once without the duty
	bootReadAt   time.Duration // earliest boot read; staggered among machines that start together
	heldSince    time.Duration // start of the hold of the duty under which the list was last read
}

// current returns the known list, nil if there is none, and its age.
func (u *upstreamList) current() (list *discovery.List, age time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.list, time.Since(u.currentAt)
}

// observeNumber records the list number that another process has.
func (u *upstreamList) observeNumber(num uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.highestNum = max(u.highestNum, num)
}

// fullUpdate returns an update with the full list, and false if there is no list.
func (u *upstreamList) fullUpdate() (ListUpdate, bool) {
	list, age := u.current()
	if list == nil {
		return ListUpdate{}, false
	}
	return ListUpdate{list.Num, discovery.Diff(nil, list), age}, true
}

// delayBootRead prevents a read without the duty before the given time. If all machines that
// start together read at once, long lists would exhaust the platform's rate limit before any
// machine has the full list.
func (u *upstreamList) delayBootRead(until time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bootReadAt = until
}

// readAtBoot polls the list after the start until one is known.
func (u *upstreamList) readAtBoot(ctx context.Context) {
	u.broadcast(ListRequest{}) // a machine that started earlier may have one
	for {
		u.poll(ctx)
		if list, _ := u.current(); list != nil || ctx.Err() != nil {
			return
		}
		time.Sleep(constants.BootReadCheckInterval)
	}
}

// poll reads the platform's list while this machine holds the duty. A machine that has just
// started and knows no list reads it once without the duty. Otherwise proxies that start at
// the same time would have no upstreams until the first lease can be granted. The list of the
// first duty holder replaces the one read this way.
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
		return // the list may be outdated, and another machine polls now
	}
	update, ok := u.install(instances, heldSince, bootRead)
	if !ok {
		return
	}
	u.broadcast(update) // read with the duty, or the first known list
	if update.Change != nil {
		u.events.Count("list_changed", 1)
		u.publish()
	}
}

// claimBootRead reports whether the list is due to be read without the duty, and marks that
// read as done.
func (u *upstreamList) claimBootRead() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	due := u.list == nil && !u.bootReadDone && u.now() >= u.bootReadAt
	u.bootReadDone = u.bootReadDone || due
	return due
}

// rescheduleBootRead allows another read without the duty after constants.BootReadRetryDelay.
func (u *upstreamList) rescheduleBootRead() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bootReadDone, u.bootReadAt = false, u.now()+constants.BootReadRetryDelay
}

// install stores a list that was read from the platform, either under a hold of the duty or as
// the boot read. ok is false if another list arrived before the boot read finished. The update
// has a Change if the list has a new number.
func (u *upstreamList) install(instances []discovery.Instance, heldSince time.Duration, bootRead bool) (update ListUpdate, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if bootRead && u.list != nil {
		return ListUpdate{}, false
	}
	num, changed := u.nextNumber(instances, heldSince, bootRead)
	u.heldSince = heldSince
	previous := u.list
	// An unchanged list keeps its number. Its instances are replaced nevertheless, because
	// their remaining warmup shows whether an upstream becomes cold again.
	u.list, u.highestNum = &discovery.List{Num: num, Instances: instances}, max(num, u.highestNum)
	u.currentAt = time.Now()
	update.Num = num
	if changed {
		update.Change = discovery.Diff(previous, u.list)
	}
	return update, true
}

// nextNumber returns the number of a list just read and reports whether it is a new number.
// The caller must hold mu.
func (u *upstreamList) nextNumber(instances []discovery.Instance, heldSince time.Duration, bootRead bool) (num uint64, changed bool) {
	switch {
	case bootRead:
		// Boot reads have lower numbers than all lists of duty holders, and different numbers
		// on each machine: a difference must apply only to the list it was computed from.
		return bootNumber(rand.Uint64()), true
	case u.list == nil || heldSince != u.heldSince:
		// Two successive new holders may have seen the same highest number of earlier
		// holders, so each starts at its own random number.
		return firstNumber(u.highestNum, rand.Uint64()), true
	case u.list.Num != u.highestNum || !discovery.SameInstances(u.list.Instances, instances):
		return u.highestNum + 1, true
	}
	return u.highestNum, false
}

// firstNumber returns the first list number of a new holder of the poll duty. It is above
// highest, the highest number seen, and differs from that of another holder that has seen the
// same number.
func firstNumber(highest, random uint64) uint64 {
	return (highest/constants.ListNumberStride+1)*constants.ListNumberStride + random%(constants.ListNumberStride/2)
}

// bootNumber returns the number of a list that was read without the duty.
func bootNumber(random uint64) uint64 { return 1 + random%(constants.ListNumberStride-1) }

// applyUpdate applies another machine's update. It returns false if the list here is still
// older than the update, so that the full list must be requested.
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
