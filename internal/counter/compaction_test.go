package counter

import (
	"fmt"
	"testing"
	"time"
)

// mapStore is an in-memory Store. It keeps references, so stored values must not be modified.
type mapStore map[string]any

func (s mapStore) Put(key string, value any) error {
	s[key] = value
	return nil
}

func (s mapStore) Get(key string, value any) bool {
	switch kept := s[key].(type) {
	case savedState[string, Count]:
		*value.(*savedState[string, Count]) = kept
	case savedIncrement[string, Count]:
		*value.(*savedIncrement[string, Count]) = kept
	default:
		return false
	}
	return true
}

// inFlight is a message that has been sent and not yet delivered.
type inFlight struct {
	from string
	send Send
}

// compactionCluster is a group of three replicas around one compaction, in which every step is
// a choice of the test.
type compactionCluster struct {
	names     []string
	groups    map[string]*Group[string, Count]
	stores    map[string]mapStore
	starts    uint64
	leader    string
	messages  []inFlight
	now       time.Duration
	published Count
	failure   string
}

// compactionTotal is the sum of what the incarnations of a compactionCluster have counted.
const compactionTotal = 5

// newCompactionCluster returns a group in which a majority holds two incarnations, one of them
// ended, and a compaction is due.
func newCompactionCluster() *compactionCluster {
	c := &compactionCluster{names: []string{"a", "b", "c"}, groups: map[string]*Group[string, Count]{}, stores: map[string]mapStore{}, leader: "a"}
	for _, name := range c.names {
		c.stores[name] = mapStore{}
		c.start(name, true)
	}
	c.settle(4)
	ended := NewWriter[string, Count]("p", 1)
	ended.Update("x", func(c *Count) { *c = 2 })
	ended.Close()
	open := NewWriter[string, Count]("p", 2)
	open.Update("x", func(c *Count) { *c = 3 })
	for _, writer := range []*Writer[string, Count]{ended, open} {
		delta, _ := writer.Pending()
		c.groups["a"].Report(delta)
	}
	c.settle(2)
	c.now += testOptions.CompactionInterval
	c.tick()
	return c
}

func (c *compactionCluster) start(name string, founding bool) {
	c.starts++
	c.groups[name] = NewGroup[string, Count](0, name, testOptions, c.stores[name], founding, c.starts)
}

func (c *compactionCluster) sendAll(from string, out []Send) {
	for _, send := range out {
		c.messages = append(c.messages, inFlight{from, send})
	}
}

// tick advances time until every machine has something to send again.
func (c *compactionCluster) tick() {
	c.now += testOptions.ResendTimeout
	for _, name := range c.names {
		c.sendAll(name, c.groups[name].Tick(c.now, c.leader == name, c.names))
	}
	c.check()
}

// deliver delivers a message. With keep set, the message will be delivered once more.
func (c *compactionCluster) deliver(i int, keep bool) {
	message := c.messages[i]
	if !keep {
		c.messages = append(c.messages[:i:i], c.messages[i+1:]...)
	}
	to := message.send.To
	c.sendAll(to, c.groups[to].Receive(message.from, message.send.Message))
	c.check()
}

// check verifies that the total published by the leader neither exceeds the true one nor
// falls below an earlier one.
func (c *compactionCluster) check() {
	totals, _, ok := c.groups[c.leader].Totals(c.now)
	if !ok {
		return
	}
	if totals["x"] < c.published || totals["x"] > compactionTotal {
		c.failure = fmt.Sprintf("total is %d after %d at %s", totals["x"], c.published, c.leader)
	}
	c.published = max(c.published, totals["x"])
}

// settle runs a number of ticks and delivers all messages in order.
func (c *compactionCluster) settle(ticks int) {
	for range ticks {
		c.tick()
		for len(c.messages) > 0 {
			c.deliver(0, false)
		}
	}
}

// step performs one of the steps that are possible now.
func (c *compactionCluster) step(choice int) {
	deliverable := min(len(c.messages), 3)
	switch {
	case choice < deliverable:
		c.deliver(choice, false)
	case choice == deliverable:
		c.tick()
	case choice < deliverable+3: // a machine restarts from its disk; undelivered messages are lost
		name := c.names[choice-deliverable-1]
		c.start(name, false)
		c.messages = nil
	case choice == deliverable+3: // the lease moves to the next machine
		c.leader = map[string]string{"a": "b", "b": "c", "c": "a"}[c.leader]
		c.tick()
	default:
		c.deliver(0, true)
	}
}

// options returns the number of steps that are possible now.
func (c *compactionCluster) options() int {
	deliverable := min(len(c.messages), 3)
	if deliverable == 0 {
		return 4
	}
	return deliverable + 5
}

// TestCompactionInEverySchedule runs every schedule of a few steps around a compaction, with
// reordered and duplicated messages, machine restarts and lease moves. The published total
// never falls, never exceeds the true one, and reaches it in the end.
func TestCompactionInEverySchedule(t *testing.T) {
	const depth = 5
	choices, limits := make([]int, depth), make([]int, depth)
	schedules := 0
	for {
		c := newCompactionCluster()
		for i := range depth {
			limits[i] = c.options()
			c.step(choices[i])
		}
		c.messages = nil
		c.now += testOptions.CompactionInterval
		c.settle(12)
		if schedules++; c.failure != "" || c.published != compactionTotal {
			t.Fatalf("schedule %v: %s, published %d in the end", choices, c.failure, c.published)
		}
		if _, folded := c.groups[c.leader].IncarnationCounts(); folded != 1 {
			t.Fatalf("schedule %v: %d incarnations are folded, want 1", choices, folded)
		}
		i := depth - 1
		for ; i >= 0; i-- {
			if choices[i]++; choices[i] < limits[i] {
				break
			}
			choices[i] = 0
		}
		if i < 0 {
			break
		}
	}
	t.Logf("%d schedules", schedules)
}
