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

// compactionWorld is a group of three replicas around one compaction, in which every step is
// a choice of the test.
type compactionWorld struct {
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

// compactionTotal is the sum of what the incarnations of a compactionWorld have counted.
const compactionTotal = 5

// newCompactionWorld returns a world in which a majority holds two incarnations, one of them
// ended, and a compaction is due.
func newCompactionWorld() *compactionWorld {
	w := &compactionWorld{names: []string{"a", "b", "c"}, groups: map[string]*Group[string, Count]{}, stores: map[string]mapStore{}, leader: "a"}
	for _, name := range w.names {
		w.stores[name] = mapStore{}
		w.start(name, true)
	}
	w.settle(4)
	ended := NewWriter[string, Count]("p", 1)
	ended.Update("x", func(c *Count) { *c = 2 })
	ended.Close()
	open := NewWriter[string, Count]("p", 2)
	open.Update("x", func(c *Count) { *c = 3 })
	for _, writer := range []*Writer[string, Count]{ended, open} {
		delta, _ := writer.Pending()
		w.groups["a"].Report(delta)
	}
	w.settle(2)
	w.now += testOptions.CompactionInterval
	w.tick()
	return w
}

func (w *compactionWorld) start(name string, founding bool) {
	w.starts++
	w.groups[name] = NewGroup[string, Count](0, name, testOptions, w.stores[name], founding, w.starts)
}

func (w *compactionWorld) put(from string, out []Send) {
	for _, send := range out {
		w.messages = append(w.messages, inFlight{from, send})
	}
}

// tick advances time until every machine has something to send again.
func (w *compactionWorld) tick() {
	w.now += testOptions.ResendTimeout
	for _, name := range w.names {
		w.put(name, w.groups[name].Tick(w.now, w.leader == name, w.names))
	}
	w.check()
}

// deliver delivers a message. With keep set, the message will be delivered once more.
func (w *compactionWorld) deliver(i int, keep bool) {
	message := w.messages[i]
	if !keep {
		w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	}
	to := message.send.To
	w.put(to, w.groups[to].Receive(message.from, message.send.Message))
	w.check()
}

// check verifies that the total published by the leader neither exceeds the true one nor
// falls below an earlier one.
func (w *compactionWorld) check() {
	totals, _, ok := w.groups[w.leader].Totals(w.now)
	if !ok {
		return
	}
	if totals["x"] < w.published || totals["x"] > compactionTotal {
		w.failure = fmt.Sprintf("total is %d after %d at %s", totals["x"], w.published, w.leader)
	}
	w.published = max(w.published, totals["x"])
}

// settle runs a number of ticks and delivers all messages in order.
func (w *compactionWorld) settle(ticks int) {
	for range ticks {
		w.tick()
		for len(w.messages) > 0 {
			w.deliver(0, false)
		}
	}
}

// step performs one of the steps that are possible now.
func (w *compactionWorld) step(choice int) {
	deliverable := min(len(w.messages), 3)
	switch {
	case choice < deliverable:
		w.deliver(choice, false)
	case choice == deliverable:
		w.tick()
	case choice < deliverable+3: // a machine restarts from its disk; undelivered messages are lost
		name := w.names[choice-deliverable-1]
		w.start(name, false)
		w.messages = nil
	case choice == deliverable+3: // the lease moves to the next machine
		w.leader = map[string]string{"a": "b", "b": "c", "c": "a"}[w.leader]
		w.tick()
	default:
		w.deliver(0, true)
	}
}

// options returns the number of steps that are possible now.
func (w *compactionWorld) options() int {
	deliverable := min(len(w.messages), 3)
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
		w := newCompactionWorld()
		for i := range depth {
			limits[i] = w.options()
			w.step(choices[i])
		}
		w.messages = nil
		w.now += testOptions.CompactionInterval
		w.settle(12)
		if schedules++; w.failure != "" || w.published != compactionTotal {
			t.Fatalf("schedule %v: %s, published %d in the end", choices, w.failure, w.published)
		}
		if _, folded := w.groups[w.leader].IncarnationCounts(); folded != 1 {
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
