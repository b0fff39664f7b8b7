package proxy

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// waiter is a request that waits for room at an upstream. Room goes to the lowest priority
// number first, and among equals to the one that has to start soonest.
type waiter struct {
	target      target
	priority    int
	latestStart time.Time
	seq         uint64
	granted     chan *placement // nil: there will be none in time
	skip        map[*Upstream]bool
}

func (w *waiter) compare(o *waiter) int {
	return cmp.Or(cmp.Compare(w.priority, o.priority), w.latestStart.Compare(o.latestStart), cmp.Compare(w.seq, o.seq))
}

// Wait finds room, at once or until the latest moment at which it is of use; nil as soon as
// it is plain that there will be none in time.
func (pool *Pool) Wait(ctx context.Context, want target, priority int, latestStart time.Time, skip map[*Upstream]bool) *placement {
	pool.mu.Lock()
	if len(pool.waiting[want.service]) == 0 {
		if p := pool.placeLocked(want, skip); p != nil {
			pool.mu.Unlock()
			return p
		}
	}
	if !pool.mayOpenLocked(want, skip) {
		pool.NoCapacity++
		pool.mu.Unlock()
		return nil
	}
	latestStart = pool.beforeLeavingLocked(want, latestStart)
	w := pool.queueLocked(want, priority, latestStart, skip)
	pool.wakeLocked(want.service) // room may have come by itself
	if len(w.granted) == 0 {
		pool.Waited++
	}
	pool.mu.Unlock()
	return pool.await(ctx, w, latestStart)
}

// await waits until room is granted, refused, or of no use any more.
func (pool *Pool) await(ctx context.Context, w *waiter, latestStart time.Time) *placement {
	timer := time.NewTimer(time.Until(latestStart))
	defer timer.Stop()
	select {
	case p := <-w.granted:
		return p
	case <-timer.C:
	case <-ctx.Done():
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	ws := pool.waiting[w.target.service]
	if i := slices.Index(ws, w); i >= 0 {
		pool.waiting[w.target.service] = slices.Concat(ws[:i], ws[i+1:])
		pool.NoCapacity++
		return nil
	}
	return <-w.granted // decided at the last moment
}

// mayOpenLocked says whether any upstream is left that the request could be sent to.
func (pool *Pool) mayOpenLocked(want target, skip map[*Upstream]bool) bool {
	return slices.ContainsFunc(pool.candidates(want).all, func(u *Upstream) bool {
		return !skip[u] && !u.draining && !pool.evacuated[u.instance.Zone]
	})
}

// queueLocked puts a request among those that wait.
func (pool *Pool) queueLocked(want target, priority int, latestStart time.Time, skip map[*Upstream]bool) *waiter {
	pool.waiterSeq++
	w := &waiter{target: want, priority: priority, latestStart: latestStart, seq: pool.waiterSeq, granted: make(chan *placement, 1), skip: skip}
	ws := pool.waiting[want.service]
	i, _ := slices.BinarySearchFunc(ws, w, (*waiter).compare)
	pool.waiting[want.service] = slices.Insert(ws, i, w)
	return w
}

// wakeLocked gives the room there is to those that wait, in their order, and refuses those
// that plainly come too late: even if room opens as fast as it has, those ahead take it.
func (pool *Pool) wakeLocked(service string) {
	ws := pool.waiting[service]
	if len(ws) == 0 {
		return
	}
	now := time.Now()
	var still []*waiter
	full := map[target]bool{}           // targets without room: those behind with the same find none either
	ahead := map[target]time.Duration{} // until room has opened for those ahead, by group
	for _, w := range ws {
		if !full[w.target] {
			if p := pool.placeLocked(w.target, w.skip); p != nil {
				w.granted <- p
				continue
			}
			// One that may not go everywhere says nothing about the others.
			full[w.target] = len(w.skip) == 0
		}
		group := w.target.group()
		if !now.Add(ahead[group]).Before(w.latestStart) {
			pool.NoCapacity++
			w.granted <- nil
			continue
		}
		ahead[group] += pool.roomIntervalLocked(group, now)
		still = append(still, w)
	}
	pool.waiting[service] = still
	pool.wakeLaterLocked(service, now)
}

// roomIntervalLocked is how long it takes until room opens for one more request of a group,
// if all that are under way from here take a place for as long as is usual; 0 where none is.
func (pool *Pool) roomIntervalLocked(group target, now time.Time) time.Duration {
	active := 0
	for _, u := range pool.candidates(group).all {
		active += len(u.active)
	}
	if active == 0 {
		return 0
	}
	held := pool.workTimeLocked(group.service, now).usual
	if times := pool.timesLocked(group.service); times.held.known() {
		held = seconds(times.held.usual())
	}
	return held / time.Duration(active)
}

// roomDue is how long it takes until room is likely to open for one more request behind
// those that wait.
func (pool *Pool) roomDue(want target, priority int) time.Duration {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now, group := time.Now(), want.group()
	interval := pool.roomIntervalLocked(group, now)
	if interval == 0 {
		return pool.workTimeLocked(want.service, now).usual
	}
	due := interval
	for _, w := range pool.waiting[want.service] {
		if w.target.group() == group && w.priority <= priority {
			due += interval
		}
	}
	return due
}

// wakeLaterLocked has those that wait looked after when the next upstream's pause ends: no
// request that ends there would do it.
func (pool *Pool) wakeLaterLocked(service string, now time.Time) {
	if len(pool.waiting[service]) == 0 {
		return
	}
	var next time.Time
	for _, u := range pool.byService[service] {
		if u.ejectedUntil.After(now) && (next.IsZero() || u.ejectedUntil.Before(next)) {
			next = u.ejectedUntil
		}
	}
	planned, isPlanned := pool.wakeAt[service]
	if next.IsZero() || isPlanned && !next.Before(planned) {
		return
	}
	pool.wakeAt[service] = next
	time.AfterFunc(next.Sub(now), func() {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		if pool.wakeAt[service].Equal(next) {
			delete(pool.wakeAt, service)
		}
		pool.wakeLocked(service)
	})
}

// beforeLeavingLocked is the latest start of a request that has to be answered before this
// process ends.
func (pool *Pool) beforeLeavingLocked(want target, latestStart time.Time) time.Time {
	if pool.shutdownAt.IsZero() {
		return latestStart
	}
	return earlier(latestStart, pool.shutdownAt.Add(-pool.workTimeLocked(want.service, time.Now()).likely))
}

// Leave has all that wait answered in time for the process to end at a moment.
func (pool *Pool) Leave(by time.Time) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.shutdownAt = by
	for service, ws := range pool.waiting {
		for _, w := range ws {
			w.latestStart = pool.beforeLeavingLocked(w.target, w.latestStart)
			time.AfterFunc(time.Until(w.latestStart), func() { pool.wake(service) })
		}
		slices.SortFunc(ws, (*waiter).compare)
		pool.wakeLocked(service)
	}
}

func (pool *Pool) wake(service string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.wakeLocked(service)
}
