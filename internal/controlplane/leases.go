package controlplane

import (
	"fmt"
	"sync"
	"time"

	"slateridge/internal/eventlog"
	"slateridge/internal/lease"
)

// dutyPoll is the duty of reading the platform's list of upstreams.
const dutyPoll = "poll"

// dutyTrack is the duty of tracking one shard of the quotas.
func dutyTrack(shard int) string { return fmt.Sprintf("track/%d", shard) }

// leases is this machine's part in the leases of the duties: it drives the lease manager
// and sends its messages. mu guards manager; it is released before anything is sent, and
// may be taken while the replica's lock is held, never the other way round.
type leases struct {
	now    func() time.Duration
	send   func(to string, message any)
	events *eventlog.Log

	mu      sync.Mutex
	manager *lease.Manager

	held map[string]bool // as last recorded; used by tick only
}

func newLeases(manager *lease.Manager, now func() time.Duration, send func(to string, message any), events *eventlog.Log) *leases {
	return &leases{manager: manager, now: now, send: send, events: events, held: map[string]bool{}}
}

// tick claims and renews leases, and records which duties began or ended here.
func (l *leases) tick() {
	l.mu.Lock()
	messages := l.manager.Tick(l.now())
	var moved []string
	for _, duty := range l.manager.Duties() {
		if _, ok := l.manager.Holds(l.now(), duty); ok != l.held[duty] {
			l.held[duty] = ok
			moved = append(moved, duty)
		}
	}
	l.mu.Unlock()
	l.sendAll(messages)
	for _, duty := range moved {
		event := "duty_ended"
		if l.held[duty] {
			event = "duty_taken"
		}
		l.events.Record(event, duty)
	}
}

// receive takes another machine's message on leases.
func (l *leases) receive(from string, message any) {
	l.mu.Lock()
	messages := l.manager.Recv(l.now(), from, message)
	l.mu.Unlock()
	l.sendAll(messages)
}

// leave gives up all leases before a planned stop, or only those named.
func (l *leases) leave(only ...string) {
	l.mu.Lock()
	messages := l.manager.Resign(l.now(), only...)
	l.mu.Unlock()
	l.sendAll(messages)
}

func (l *leases) sendAll(messages []lease.Send) {
	for _, m := range messages {
		l.send(m.To, m.Msg)
	}
}

// setElectorate tells the manager who grants leases from now on, and whether this machine
// must not grant any.
func (l *leases) setElectorate(epoch uint64, voters []string, leaves bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.manager.SetElectorate(l.now(), epoch, voters, leaves)
}

// holds says whether this machine holds a duty at a moment, and since when without a break.
func (l *leases) holds(now time.Duration, duty string) (since time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.manager.Holds(now, duty)
}

// term is the end of this machine's lease of a duty, 0 without one, and the start of its
// holding.
func (l *leases) term(duty string) (until, since time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	since, _ = l.manager.Holds(now, duty)
	return l.manager.Expiry(now, duty), since
}

// holder is who holds a duty as far as is known here; empty when nobody does.
func (l *leases) holder(duty string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.manager.Holder(l.now(), duty)
}

// holders gives the holder of each duty, and how many messages on leases were dropped.
func (l *leases) holders() (byDuty map[string]string, dropped uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byDuty = map[string]string{}
	now := l.now()
	for _, duty := range l.manager.Duties() {
		byDuty[duty] = l.manager.Holder(now, duty)
	}
	return byDuty, l.manager.Dropped
}
