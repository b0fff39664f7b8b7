package counter

import (
	"fmt"
	"testing"
	"time"
)

// mapStore keeps values that nobody changes after they were put.
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

// inFlight is a message on its way.
type inFlight struct {
	from string
	send Send
}

// checkedWorld is three replicas around one compaction, of which every step is a choice.
type checkedWorld struct {
	names     []string
	groups    map[string]*Group[string, Count]
	stores    map[string]mapStore
	starts    uint64
	leader    string
	flying    []inFlight
	now       time.Duration
	published Count
	failure   string
}

// compactionTruth is what the incarnations of the checked world have counted.
const compactionTruth = 5

// newCheckedWorld is a world in which two incarnations, one of them over, are held by a majority
// and a compaction is due.
func newCheckedWorld() *checkedWorld {
	w := &checkedWorld{names: []string{"a", "b", "c"}, groups: map[string]*Group[string, Count]{}, stores: map[string]mapStore{}, leader: "a"}
	for _, name := range w.names {
		w.stores[name] = mapStore{}
		w.start(name, true)
	}
	w.settle(4)
	ended := NewWriter[string, Count]("p", 1)
	ended.Update("x", func(c *Count) { *c = 2 })
	ended.Close()
	going := NewWriter[string, Count]("p", 2)
	going.Update("x", func(c *Count) { *c = 3 })
	for _, writer := range []*Writer[string, Count]{ended, going} {
		delta, _ := writer.Pending()
		w.groups["a"].Report(delta)
	}
	w.settle(2)
	w.now += testOptions.CompactionInterval
	w.tick()
	return w
}

func (w *checkedWorld) start(name string, founding bool) {
	w.starts++
	w.groups[name] = NewGroup[string, Count](0, name, testOptions, w.stores[name], founding, w.starts)
}

func (w *checkedWorld) put(from string, out []Send) {
	for _, send := range out {
		w.flying = append(w.flying, inFlight{from, send})
	}
}

// tick lets time go by until everybody has something to send again.
func (w *checkedWorld) tick() {
	w.now += testOptions.ResendTimeout
	for _, name := range w.names {
		w.put(name, w.groups[name].Tick(w.now, w.leader == name, w.names))
	}
	w.check()
}

// deliver hands over a message; kept, it will arrive again.
func (w *checkedWorld) deliver(i int, keep bool) {
	message := w.flying[i]
	if !keep {
		w.flying = append(w.flying[:i:i], w.flying[i+1:]...)
	}
	to := message.send.To
	w.put(to, w.groups[to].Receive(message.from, message.send.Message))
	w.check()
}

// check compares what the leader publishes with the truth, and with what was published.
func (w *checkedWorld) check() {
	totals, _, ok := w.groups[w.leader].Totals(w.now)
	if !ok {
		return
	}
	if totals["x"] < w.published || totals["x"] > compactionTruth {
		w.failure = fmt.Sprintf("total is %d after %d at %s", totals["x"], w.published, w.leader)
	}
	w.published = max(w.published, totals["x"])
}

// settle delivers everything in order, a few times.
func (w *checkedWorld) settle(ticks int) {
	for range ticks {
		w.tick()
		for len(w.flying) > 0 {
			w.deliver(0, false)
		}
	}
}

// step does one of the things that can happen now, and gives their number.
func (w *checkedWorld) step(choice int) {
	flying := min(len(w.flying), 3)
	switch {
	case choice < flying:
		w.deliver(choice, false)
	case choice == flying:
		w.tick()
	case choice < flying+3: // a machine restarts on its disk; what it had sent is lost
		name := w.names[choice-flying-1]
		w.start(name, false)
		w.flying = nil
	case choice == flying+3: // the lease passes on
		w.leader = map[string]string{"a": "b", "b": "c", "c": "a"}[w.leader]
		w.tick()
	default:
		w.deliver(0, true)
	}
}

func (w *checkedWorld) options() int {
	flying := min(len(w.flying), 3)
	if flying == 0 {
		return 4
	}
	return flying + 5
}

// TestCompactionInEverySchedule runs every schedule of a few steps around a compaction:
// messages in any order, doubled, machines that restart, and a lease that passes on. The
// published total never falls or exceeds the truth, and comes to it in the end.
func TestCompactionInEverySchedule(t *testing.T) {
	const depth = 5
	choices, limits := make([]int, depth), make([]int, depth)
	schedules := 0
	for {
		w := newCheckedWorld()
		for i := range depth {
			limits[i] = w.options()
			w.step(choices[i])
		}
		w.flying = nil
		w.now += testOptions.CompactionInterval
		w.settle(12)
		if schedules++; w.failure != "" || w.published != compactionTruth {
			t.Fatalf("schedule %v: %s, published %d at last", choices, w.failure, w.published)
		}
		if _, folded := w.groups[w.leader].IncarnationCounts(); folded != 1 {
			t.Fatalf("schedule %v: %d incarnations are folded, one is over", choices, folded)
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
