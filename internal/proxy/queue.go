package proxy

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// waiter is a request that is queued for capacity at an upstream. Capacity goes to the lowest
// priority number first, and within a priority to the request with the earliest latest start.
type waiter struct {
	target      target
	priority    int
	latestStart time.Time
	seq         uint64
	granted     chan *placement // receives nil if there will be no placement in time
	skip        map[*Upstream]bool
}

func (w *waiter) compare(o *waiter) int {
	return cmp.Or(cmp.Compare(w.priority, o.priority), w.latestStart.Compare(o.latestStart), cmp.Compare(w.seq, o.seq))
}

// Acquire returns a placement, immediately or by latestStart, or nil as soon as it is clear that
// there will be none in time.
func (pool *Pool) Acquire(ctx context.Context, want target, priority int, latestStart time.Time, skip map[*Upstream]bool) *placement {
	pool.mu.Lock()
	if len(pool.waiting[want.service]) == 0 {
		if pl := pool.placeLocked(want, skip); pl != nil {
			pool.mu.Unlock()
			return pl
		}
	}
	if !pool.hasCandidateLocked(want, skip) {
		pool.NoCapacity++
		pool.mu.Unlock()
		return nil
	}
	latestStart = pool.limitToShutdownLocked(want, latestStart)
	w := pool.enqueueLocked(want, priority, latestStart, skip)
	pool.serveQueueLocked(want.service) // capacity may have become available without an event, as at the end of an ejection
	if len(w.granted) == 0 {
		pool.Waited++
	}
	pool.mu.Unlock()
	return pool.awaitGrant(ctx, w, latestStart)
}

// awaitGrant waits until the waiter is granted a placement or refused, or until waiting is no
// longer useful.
func (pool *Pool) awaitGrant(ctx context.Context, w *waiter, latestStart time.Time) *placement {
	timer := time.NewTimer(time.Until(latestStart))
	defer timer.Stop()
	select {
	case pl := <-w.granted:
		return pl
	case <-timer.C:
	case <-ctx.Done():
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	queue := pool.waiting[w.target.service]
	if i := slices.Index(queue, w); i >= 0 {
		pool.waiting[w.target.service] = slices.Concat(queue[:i], queue[i+1:])
		pool.NoCapacity++
		return nil
	}
	return <-w.granted // granted or refused meanwhile
}

// hasCandidateLocked reports whether there is any upstream left that the request could be sent
// to.
func (pool *Pool) hasCandidateLocked(want target, skip map[*Upstream]bool) bool {
	return slices.ContainsFunc(pool.candidates(want).all, func(u *Upstream) bool {
		return !skip[u] && !u.draining && !pool.evacuated[u.instance.Zone]
	})
}

// enqueueLocked adds a request to the queue of its service.
func (pool *Pool) enqueueLocked(want target, priority int, latestStart time.Time, skip map[*Upstream]bool) *waiter {
	pool.waiterSeq++
	w := &waiter{target: want, priority: priority, latestStart: latestStart, seq: pool.waiterSeq, granted: make(chan *placement, 1), skip: skip}
	queue := pool.waiting[want.service]
	i, _ := slices.BinarySearchFunc(queue, w, (*waiter).compare)
	pool.waiting[want.service] = slices.Insert(queue, i, w)
	return w
}

// serveQueueLocked grants the available capacity to queued requests in order. It refuses those
// that cannot be placed in time: even if capacity keeps becoming available at the current rate,
// the requests ahead of them use it up.
func (pool *Pool) serveQueueLocked(service string) {
	queue := pool.waiting[service]
	if len(queue) == 0 {
		return
	}
	now := time.Now()
	var remaining []*waiter
	full := map[target]bool{}           // targets without capacity: later waiters for the same target find none either
	ahead := map[target]time.Duration{} // by group: the time until there is capacity for the waiters ahead
	for _, w := range queue {
		if !full[w.target] {
			if pl := pool.placeLocked(w.target, w.skip); pl != nil {
				w.granted <- pl
				continue
			}
			// A waiter that skips some upstreams shows nothing about the others.
			full[w.target] = len(w.skip) == 0
		}
		group := w.target.group()
		if !now.Add(ahead[group]).Before(w.latestStart) {
			pool.NoCapacity++
			w.granted <- nil
			continue
		}
		ahead[group] += pool.releaseIntervalLocked(group, now)
		remaining = append(remaining, w)
	}
	pool.waiting[service] = remaining
	pool.scheduleQueueCheckLocked(service, now)
}

// releaseIntervalLocked returns the expected time between two releases of placements in a group,
// if all requests in flight from this proxy hold theirs for as long as is usual; 0 if none is in
// flight.
func (pool *Pool) releaseIntervalLocked(group target, now time.Time) time.Duration {
	active := 0
	for _, u := range pool.candidates(group).all {
		active += len(u.active)
	}
	if active == 0 {
		return 0
	}
	occupancy := pool.latencyEstimateLocked(group.service, now).median
	if latency := pool.serviceLatencyLocked(group.service); latency.occupancy.hasSamples() {
		occupancy = seconds(latency.occupancy.median())
	}
	return occupancy / time.Duration(active)
}

// expectedWait returns how long it is likely to take until there is capacity for one more
// request behind those that are queued.
func (pool *Pool) expectedWait(want target, priority int) time.Duration {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now, group := time.Now(), want.group()
	interval := pool.releaseIntervalLocked(group, now)
	if interval == 0 {
		return pool.latencyEstimateLocked(want.service, now).median
	}
	wait := interval
	for _, w := range pool.waiting[want.service] {
		if w.target.group() == group && w.priority <= priority {
			wait += interval
		}
	}
	return wait
}

// scheduleQueueCheckLocked has the queue served when the next ejection of an upstream ends,
// because no completed request would trigger it.
func (pool *Pool) scheduleQueueCheckLocked(service string, now time.Time) {
	if len(pool.waiting[service]) == 0 {
		return
	}
	var next time.Time
	for _, u := range pool.byService[service] {
		if u.ejectedUntil.After(now) && (next.IsZero() || u.ejectedUntil.Before(next)) {
			next = u.ejectedUntil
		}
	}
	planned, isPlanned := pool.nextQueueCheck[service]
	if next.IsZero() || isPlanned && !next.Before(planned) {
		return
	}
	pool.nextQueueCheck[service] = next
	time.AfterFunc(next.Sub(now), func() {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		if pool.nextQueueCheck[service].Equal(next) {
			delete(pool.nextQueueCheck, service)
		}
		pool.serveQueueLocked(service)
	})
}

// limitToShutdownLocked limits latestStart so that the request can be answered before this
// process exits.
func (pool *Pool) limitToShutdownLocked(want target, latestStart time.Time) time.Time {
	if pool.shutdownAt.IsZero() {
		return latestStart
	}
	return earlier(latestStart, pool.shutdownAt.Add(-pool.latencyEstimateLocked(want.service, time.Now()).high))
}

// Drain has all queued requests answered in time for the process to exit at the given time.
func (pool *Pool) Drain(exitAt time.Time) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.shutdownAt = exitAt
	for service, queue := range pool.waiting {
		for _, w := range queue {
			w.latestStart = pool.limitToShutdownLocked(w.target, w.latestStart)
			time.AfterFunc(time.Until(w.latestStart), func() { pool.serveQueue(service) })
		}
		slices.SortFunc(queue, (*waiter).compare)
		pool.serveQueueLocked(service)
	}
}

func (pool *Pool) serveQueue(service string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.serveQueueLocked(service)
}
