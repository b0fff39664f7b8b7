package proxy

import (
	"context"
	"slices"
	"sort"
	"time"
)

type waiter struct {
	target   target
	priority int
	seq      uint64
	granted  chan *placement
	skip     map[*Upstream]bool
}

// Wait finds room, at once or within a time. Requests get it by priority (the lowest
// number first) and then as they came, those that wait already among them.
func (pool *Pool) Wait(ctx context.Context, want target, priority int, skip map[*Upstream]bool, hold time.Duration) *placement {
	pool.mu.Lock()
	if len(pool.waiting[want.service]) == 0 {
		if p := pool.placeLocked(want, skip); p != nil {
			pool.mu.Unlock()
			return p
		}
	}
	if len(pool.candidates(want).all) == 0 {
		pool.Full++
		pool.mu.Unlock()
		return nil
	}
	w := pool.queueLocked(want, priority, skip)
	pool.wakeLocked(want.service) // room may have come by itself
	if len(w.granted) == 0 {
		pool.Waited++
	}
	pool.mu.Unlock()
	t := time.NewTimer(max(0, hold))
	defer t.Stop()
	select {
	case p := <-w.granted:
		return p
	case <-t.C:
	case <-ctx.Done():
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	ws := pool.waiting[want.service]
	if i := slices.Index(ws, w); i >= 0 {
		pool.waiting[want.service] = slices.Concat(ws[:i], ws[i+1:])
		pool.Full++
		return nil
	}
	return <-w.granted // room came at the last moment
}

// queueLocked puts a request among those that wait.
func (pool *Pool) queueLocked(want target, priority int, skip map[*Upstream]bool) *waiter {
	pool.queued++
	w := &waiter{target: want, priority: priority, seq: pool.queued, granted: make(chan *placement, 1), skip: skip}
	ws := append(pool.waiting[want.service], w)
	sort.Slice(ws, func(a, b int) bool {
		return ws[a].priority < ws[b].priority || ws[a].priority == ws[b].priority && ws[a].seq < ws[b].seq
	})
	pool.waiting[want.service] = ws
	return w
}

func (pool *Pool) wakeLocked(service string) {
	ws := pool.waiting[service]
	if len(ws) == 0 {
		return
	}
	var still []*waiter
	var full map[target]bool // wants that found no room: those behind with the same find none either
	for _, w := range ws {
		if !full[w.target] {
			if p := pool.placeLocked(w.target, w.skip); p != nil {
				w.granted <- p
				continue
			}
			if full == nil {
				full = map[target]bool{}
			}
			full[w.target] = true
		}
		still = append(still, w)
	}
	pool.waiting[service] = still
}
