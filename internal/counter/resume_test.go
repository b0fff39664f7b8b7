package counter

import (
	"testing"
	"time"
)

// manualCluster is a group of three machines whose messages the test delivers by hand.
type manualCluster struct {
	groups   map[string]*Group[string, Count]
	names    []string
	now      time.Duration
	messages []inFlight
}

func newManualCluster() *manualCluster {
	w := &manualCluster{groups: map[string]*Group[string, Count]{}, names: []string{"a", "b", "c"}}
	for i, name := range w.names {
		w.groups[name] = NewGroup[string, Count](0, name, testOptions, mapStore{}, true, uint64(i+1))
	}
	return w
}

// tick advances time by a round interval and steps one machine.
func (w *manualCluster) tick(name string, leads bool) {
	w.now += testOptions.RoundInterval
	w.put(name, w.groups[name].Tick(w.now, leads, w.names))
}

func (w *manualCluster) put(from string, out []Send) {
	for _, send := range out {
		w.messages = append(w.messages, inFlight{from, send})
	}
}

// deliver delivers messages until none are left, except those from or to a machine that is cut
// off, which stay in flight.
func (w *manualCluster) deliver(cutOff string) {
	var held []inFlight
	for len(w.messages) > 0 {
		next := w.messages[0]
		w.messages = w.messages[1:]
		if next.from == cutOff || next.send.To == cutOff {
			held = append(held, next)
			continue
		}
		w.put(next.send.To, w.groups[next.send.To].Receive(next.from, next.send.Message))
	}
	w.messages = held
}

// lead lets a machine lead for six ticks and delivers all messages after each.
func (w *manualCluster) lead(name, cutOff string) {
	for range 6 {
		w.tick(name, true)
		w.deliver(cutOff)
	}
}

func (w *manualCluster) report(t *testing.T, to string, from, version uint64, count Count) {
	t.Helper()
	delta := Delta[string, Count]{Life: 1, Node: "p", From: from, To: version, Cells: Cells[string, Count]{"x": count}}
	if ack, ok := w.groups[to].Report(delta); !ok || ack.Heard != version {
		t.Fatalf("report to %s: %+v, %v", to, ack, ok)
	}
}

func (w *manualCluster) total(name string) (Count, bool) {
	totals, _, ok := w.groups[name].Totals(w.now)
	return totals["x"], ok
}

// TestPausedLeaderResumes lets a lease lapse for a short time. Meanwhile the leader publishes
// nothing and accepts no reports; afterwards it continues under its ballot with what it had
// received.
func TestPausedLeaderResumes(t *testing.T) {
	w := newManualCluster()
	w.lead("a", "")
	w.report(t, "a", 0, 1, 3)
	ballot := w.groups["a"].leader.ballot
	w.tick("a", false)
	if len(w.messages) > 0 {
		t.Errorf("a paused leader sent %+v", w.messages)
	}
	if _, ok := w.total("a"); ok || w.groups["a"].Leading() {
		t.Error("a paused leader publishes")
	}
	if _, ok := w.groups["a"].Report(Delta[string, Count]{Life: 2, To: 1}); ok {
		t.Error("a paused leader took a report")
	}
	w.tick("a", true)
	if _, ok := w.total("a"); ok {
		t.Error("the leader publishes before a majority has answered again")
	}
	w.deliver("")
	if total, ok := w.total("a"); !ok || total != 3 || w.groups["a"].leader.ballot != ballot {
		t.Errorf("after one round trip: %d, %v, ballot %v", total, ok, w.groups["a"].leader.ballot)
	}
}

// TestLeaderReplacedDuringPause lets another machine lead and publish more while a leader is
// paused and receives none of it. When the first leader regains the lease, it publishes
// nothing lower, whether or not a round was in progress when the lease lapsed.
func TestLeaderReplacedDuringPause(t *testing.T) {
	for _, inProgress := range []bool{false, true} {
		w := newManualCluster()
		w.lead("a", "")
		w.report(t, "a", 0, 1, 3)
		w.lead("a", "")
		if inProgress {
			w.report(t, "a", 1, 2, 4)
			w.tick("a", true)
			round := w.messages
			w.messages = nil
			for _, message := range round { // the answers stay in flight
				w.put(message.send.To, w.groups[message.send.To].Receive("a", message.send.Message))
			}
		}
		w.tick("a", false)
		w.lead("b", "a")
		w.report(t, "b", 0, 3, 9)
		w.lead("b", "a")
		if total, ok := w.total("b"); !ok || total != 9 {
			t.Fatalf("the second leader publishes %d, %v", total, ok)
		}
		w.tick("b", false)
		late := w.messages
		w.messages = nil
		w.tick("a", true)
		for _, message := range late { // answers to the round before the pause arrive first
			if _, isAnswer := message.send.Message.(Replicated); isAnswer && message.send.To == "a" {
				w.put("a", w.groups["a"].Receive(message.from, message.send.Message))
			}
			if total, ok := w.total("a"); ok {
				t.Errorf("round in progress %v: the first leader publishes %d, want 9", inProgress, total)
			}
		}
		for range 6 {
			w.tick("a", true)
			if total, ok := w.total("a"); ok && total < 9 {
				t.Errorf("round in progress %v: the first leader publishes %d, want 9", inProgress, total)
			}
			w.deliver("")
		}
		if total, ok := w.total("a"); !ok || total != 9 {
			t.Errorf("round in progress %v: in the end %d, %v", inProgress, total, ok)
		}
	}
}

// TestPromiseAfterRejectIsDurable lets a leader learn of a higher ballot from a Reject and
// then promise that ballot. The promise survives a restart.
func TestPromiseAfterRejectIsDurable(t *testing.T) {
	store := mapStore{}
	group := NewGroup[string, Count](0, "a", testOptions, store, true, 1)
	group.Tick(0, true, []string{"a", "b", "c"})
	higher := Ballot{Counter: 4, Machine: "b", Start: 2}
	group.Receive("c", Reject{Promised: higher})
	out := group.Receive("b", Prepare{Ballot: higher})
	if len(out) != 1 {
		t.Fatalf("the answer to the higher ballot is %+v", out)
	}
	again := NewGroup[string, Count](0, "a", testOptions, store, false, 3)
	out = again.Receive("c", Prepare{Ballot: Ballot{Counter: 3, Machine: "c", Start: 1}})
	if len(out) != 1 {
		t.Fatalf("the answer to the lower ballot is %+v", out)
	}
	if reject, ok := out[0].Message.(Reject); !ok || reject.Promised != higher {
		t.Errorf("after a restart a lower ballot is answered with %+v", out[0].Message)
	}
}
