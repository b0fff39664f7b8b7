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
	c := &manualCluster{groups: map[string]*Group[string, Count]{}, names: []string{"a", "b", "c"}}
	for i, name := range c.names {
		c.groups[name] = NewGroup[string, Count](0, name, testOptions, mapStore{}, true, uint64(i+1))
	}
	return c
}

// tick advances time by a round interval and steps one machine.
func (c *manualCluster) tick(name string, leads bool) {
	c.now += testOptions.RoundInterval
	c.sendAll(name, c.groups[name].Tick(c.now, leads, c.names))
}

func (c *manualCluster) sendAll(from string, out []Send) {
	for _, send := range out {
		c.messages = append(c.messages, inFlight{from, send})
	}
}

// deliver delivers messages until none are left, except those from or to a machine that is cut
// off, which stay in flight.
func (c *manualCluster) deliver(cutOff string) {
	var held []inFlight
	for len(c.messages) > 0 {
		next := c.messages[0]
		c.messages = c.messages[1:]
		if next.from == cutOff || next.send.To == cutOff {
			held = append(held, next)
			continue
		}
		c.sendAll(next.send.To, c.groups[next.send.To].Receive(next.from, next.send.Message))
	}
	c.messages = held
}

// lead lets a machine lead for six ticks and delivers all messages after each.
func (c *manualCluster) lead(name, cutOff string) {
	for range 6 {
		c.tick(name, true)
		c.deliver(cutOff)
	}
}

func (c *manualCluster) report(t *testing.T, to string, from, version uint64, count Count) {
	t.Helper()
	delta := Delta[string, Count]{Life: 1, Node: "p", From: from, To: version, Cells: Cells[string, Count]{"x": count}}
	if ack, ok := c.groups[to].Report(delta); !ok || ack.Heard != version {
		t.Fatalf("report to %s: %+v, %v", to, ack, ok)
	}
}

func (c *manualCluster) total(name string) (Count, bool) {
	totals, _, ok := c.groups[name].Totals(c.now)
	return totals["x"], ok
}

// TestPausedLeaderResumes lets a lease lapse for a short time. Meanwhile the leader publishes
// nothing and accepts no reports; afterwards it continues under its ballot with what it had
// received.
func TestPausedLeaderResumes(t *testing.T) {
	c := newManualCluster()
	c.lead("a", "")
	c.report(t, "a", 0, 1, 3)
	ballot := c.groups["a"].leader.ballot
	c.tick("a", false)
	if len(c.messages) > 0 {
		t.Errorf("a paused leader sent %+v", c.messages)
	}
	if _, ok := c.total("a"); ok || c.groups["a"].Leading() {
		t.Error("a paused leader publishes")
	}
	if _, ok := c.groups["a"].Report(Delta[string, Count]{Life: 2, To: 1}); ok {
		t.Error("a paused leader took a report")
	}
	c.tick("a", true)
	if _, ok := c.total("a"); ok {
		t.Error("the leader publishes before a majority has answered again")
	}
	c.deliver("")
	if total, ok := c.total("a"); !ok || total != 3 || c.groups["a"].leader.ballot != ballot {
		t.Errorf("after one round trip: %d, %v, ballot %v", total, ok, c.groups["a"].leader.ballot)
	}
}

// TestLeaderReplacedDuringPause lets another machine lead and publish more while a leader is
// paused and receives none of it. When the first leader regains the lease, it publishes
// nothing lower, whether or not a round was in progress when the lease lapsed.
func TestLeaderReplacedDuringPause(t *testing.T) {
	for _, inProgress := range []bool{false, true} {
		c := newManualCluster()
		c.lead("a", "")
		c.report(t, "a", 0, 1, 3)
		c.lead("a", "")
		if inProgress {
			c.report(t, "a", 1, 2, 4)
			c.tick("a", true)
			round := c.messages
			c.messages = nil
			for _, message := range round { // the answers stay in flight
				c.sendAll(message.send.To, c.groups[message.send.To].Receive("a", message.send.Message))
			}
		}
		c.tick("a", false)
		c.lead("b", "a")
		c.report(t, "b", 0, 3, 9)
		c.lead("b", "a")
		if total, ok := c.total("b"); !ok || total != 9 {
			t.Fatalf("the second leader publishes %d, %v", total, ok)
		}
		c.tick("b", false)
		late := c.messages
		c.messages = nil
		c.tick("a", true)
		for _, message := range late { // answers to the round before the pause arrive first
			if _, isAnswer := message.send.Message.(Replicated); isAnswer && message.send.To == "a" {
				c.sendAll("a", c.groups["a"].Receive(message.from, message.send.Message))
			}
			if total, ok := c.total("a"); ok {
				t.Errorf("round in progress %v: the first leader publishes %d, want 9", inProgress, total)
			}
		}
		for range 6 {
			c.tick("a", true)
			if total, ok := c.total("a"); ok && total < 9 {
				t.Errorf("round in progress %v: the first leader publishes %d, want 9", inProgress, total)
			}
			c.deliver("")
		}
		if total, ok := c.total("a"); !ok || total != 9 {
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
