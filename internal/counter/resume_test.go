package counter

import (
	"testing"
	"time"
)

// trio is three machines' groups with messages that the test delivers by hand.
type trio struct {
	groups map[string]*Group[string, Count]
	names  []string
	now    time.Duration
	flying []inFlight
}

func newTrio() *trio {
	w := &trio{groups: map[string]*Group[string, Count]{}, names: []string{"a", "b", "c"}}
	for i, name := range w.names {
		w.groups[name] = NewGroup[string, Count](0, name, testOptions, mapStore{}, true, uint64(i+1))
	}
	return w
}

// tick advances one machine by a turn.
func (w *trio) tick(name string, leads bool) {
	w.now += testOptions.RoundInterval
	w.put(name, w.groups[name].Tick(w.now, leads, w.names))
}

func (w *trio) put(from string, out []Send) {
	for _, send := range out {
		w.flying = append(w.flying, inFlight{from, send})
	}
}

// deliver delivers messages, and what comes of them, but none from or to a machine that is
// cut off: those stay on their way.
func (w *trio) deliver(cutOff string) {
	var held []inFlight
	for len(w.flying) > 0 {
		next := w.flying[0]
		w.flying = w.flying[1:]
		if next.from == cutOff || next.send.To == cutOff {
			held = append(held, next)
			continue
		}
		w.put(next.send.To, w.groups[next.send.To].Receive(next.from, next.send.Message))
	}
	w.flying = held
}

func (w *trio) lead(name, cutOff string) {
	for range 6 {
		w.tick(name, true)
		w.deliver(cutOff)
	}
}

func (w *trio) report(t *testing.T, to string, from, version uint64, count Count) {
	t.Helper()
	delta := Delta[string, Count]{Life: 1, Node: "p", From: from, To: version, Cells: Cells[string, Count]{"x": count}}
	if ack, ok := w.groups[to].Report(delta); !ok || ack.Heard != version {
		t.Fatalf("report to %s: %+v, %v", to, ack, ok)
	}
}

func (w *trio) total(name string) (Count, bool) {
	totals, _, ok := w.groups[name].Totals(w.now)
	return totals["x"], ok
}

// TestPausedLeaderGoesOn has a lease lapse for a moment: the leader publishes and takes
// nothing meanwhile, and goes on under its ballot, with what it had heard.
func TestPausedLeaderGoesOn(t *testing.T) {
	w := newTrio()
	w.lead("a", "")
	w.report(t, "a", 0, 1, 3)
	ballot := w.groups["a"].leader.ballot
	w.tick("a", false)
	if len(w.flying) > 0 {
		t.Errorf("a paused leader sent %+v", w.flying)
	}
	if _, ok := w.total("a"); ok || w.groups["a"].Leading() {
		t.Error("a paused leader publishes")
	}
	if _, ok := w.groups["a"].Report(Delta[string, Count]{Life: 2, To: 1}); ok {
		t.Error("a paused leader took a report")
	}
	w.tick("a", true)
	if _, ok := w.total("a"); ok {
		t.Error("it publishes before a majority has answered it again")
	}
	w.deliver("")
	if total, ok := w.total("a"); !ok || total != 3 || w.groups["a"].leader.ballot != ballot {
		t.Errorf("after one round trip: %d, %v, ballot %v", total, ok, w.groups["a"].leader.ballot)
	}
}

// TestResumedLeaderWasReplaced has another machine lead and publish more during a pause.
// The paused leader has heard nothing of it. With its lease back, it publishes nothing
// lower, whether or not a round was under way as the lease lapsed.
func TestResumedLeaderWasReplaced(t *testing.T) {
	for _, underWay := range []bool{false, true} {
		w := newTrio()
		w.lead("a", "")
		w.report(t, "a", 0, 1, 3)
		w.lead("a", "")
		if underWay {
			w.report(t, "a", 1, 2, 4)
			w.tick("a", true)
			round := w.flying
			w.flying = nil
			for _, message := range round { // its answers stay on their way
				w.put(message.send.To, w.groups[message.send.To].Receive("a", message.send.Message))
			}
		}
		w.tick("a", false)
		w.lead("b", "a")
		w.report(t, "b", 0, 3, 9)
		w.lead("b", "a")
		if total, ok := w.total("b"); !ok || total != 9 {
			t.Fatalf("the second leader has %d, %v", total, ok)
		}
		w.tick("b", false)
		late := w.flying
		w.flying = nil
		w.tick("a", true)
		for _, message := range late { // first the answers to the round before the pause
			if _, isAnswer := message.send.Message.(Replicated); isAnswer && message.send.To == "a" {
				w.put("a", w.groups["a"].Receive(message.from, message.send.Message))
			}
			if total, ok := w.total("a"); ok {
				t.Errorf("round under way %v: the leader before publishes %d, there were 9", underWay, total)
			}
		}
		for range 6 {
			w.tick("a", true)
			if total, ok := w.total("a"); ok && total < 9 {
				t.Errorf("round under way %v: the leader before publishes %d, there were 9", underWay, total)
			}
			w.deliver("")
		}
		if total, ok := w.total("a"); !ok || total != 9 {
			t.Errorf("round under way %v: in the end %d, %v", underWay, total, ok)
		}
	}
}

// TestPromiseAfterRejectLasts has a leader learn of a higher ballot by a rejection, and then
// promise that ballot to its leader. The promise outlasts the process.
func TestPromiseAfterRejectLasts(t *testing.T) {
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
