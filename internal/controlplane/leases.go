package controlplane

import (
	"fmt"
	"sync"
	"time"

	"slateridge/internal/eventlog"
	"slateridge/internal/lease"
)

// dutyPoll is the duty to poll the platform's list of upstreams.
const dutyPoll = "poll"

// dutyTrack returns the name of the duty to track one shard of the quotas.
func dutyTrack(shard int) string { return fmt.Sprintf("track/%d", shard) }

// leases runs the manager of the duty leases and sends its messages. mu guards manager and
// is released before messages are sent. Lock order: the replica's lock before mu.
type leases struct {
	now    func() time.Duration
	send   func(to string, message any)
	events *eventlog.Log

	mu      sync.Mutex
	manager *lease.Manager

	recordedHeld map[string]bool // by duty, as last recorded in the event log; used by tick only
}

func newLeases(manager *lease.Manager, now func() time.Duration, send func(to string, message any), events *eventlog.Log) *leases {
	return &leases{manager: manager, now: now, send: send, events: events, recordedHeld: map[string]bool{}}
}

// tick claims and renews leases, and records duties that this machine took or lost.
func (l *leases) tick() {
	l.mu.Lock()
	messages := l.manager.Tick(l.now())
	var changed []string
	for _, duty := range l.manager.Duties() {
		if _, ok := l.manager.Holds(l.now(), duty); ok != l.recordedHeld[duty] {
			l.recordedHeld[duty] = ok
			changed = append(changed, duty)
		}
	}
	l.mu.Unlock()
	l.sendAll(messages)
	for _, duty := range changed {
		event := "duty_ended"
		if l.recordedHeld[duty] {
			event = "duty_taken"
		}
		l.events.Record(event, duty)
	}
}

// receive handles a lease message from another machine.
func (l *leases) receive(from string, message any) {
	l.mu.Lock()
	messages := l.manager.Recv(l.now(), from, message)
	l.mu.Unlock()
	l.sendAll(messages)
}

// release gives up the leases of the given duties, or all leases if none is given.
func (l *leases) release(duties ...string) {
	l.mu.Lock()
	messages := l.manager.Resign(l.now(), duties...)
	l.mu.Unlock()
	l.sendAll(messages)
}

func (l *leases) sendAll(messages []lease.Send) {
	for _, m := range messages {
		l.send(m.To, m.Msg)
	}
}

// setElectorate sets the voters that grant leases from now on. If uncertain is true, this
// machine must not grant any.
func (l *leases) setElectorate(epoch uint64, voters []string, uncertain bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.manager.SetElectorate(l.now(), epoch, voters, uncertain)
}

// holds reports whether this machine holds a duty at time now, and since when without
// interruption.
func (l *leases) holds(now time.Duration, duty string) (since time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.manager.Holds(now, duty)
}

// term returns when this machine's lease on a duty ends, 0 if it holds none, and since when it
// has held the duty.
func (l *leases) term(duty string) (until, since time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	since, _ = l.manager.Holds(now, duty)
	return l.manager.Expiry(now, duty), since
}

// holder returns the known holder of a duty, or "" if there is none.
func (l *leases) holder(duty string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.manager.Holder(l.now(), duty)
}

// holders returns the known holder of each duty and the number of dropped lease messages.
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
