package modelcheck

import (
	"container/heap"
	"slices"
	"strings"
	"time"
)

// Times of a World.
const (
	MessageDelay = 5 * time.Millisecond   // of each message
	LateDelay    = 400 * time.Millisecond // additional delay of a late message; longer than any state machine waits before it resends
	RestartTime  = 300 * time.Millisecond // downtime of a restarted process
)

// Event is a message in flight or a timer.
type Event struct {
	At       time.Duration
	Seq      uint64
	From, To string
	Msg      any
	do       func()
}

type events []*Event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].At < e[j].At || e[i].At == e[j].At && e[i].Seq < e[j].Seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*Event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// World simulates machines, their processes and the network between them, without randomness: a
// message takes MessageDelay unless a choice changes that.
type World struct {
	Now       time.Duration
	Names     []string      // the current machines, without those that left permanently
	LastFault time.Duration // time of the latest fault or repair

	tick        time.Duration
	onTick      func(n string)
	onRecv      func(e *Event)
	queue       events
	seq         uint64
	cut         map[[2]string]bool // by sender and receiver
	up          map[string]bool
	frozen      map[string]bool
	incarnation map[string]int
	deferred    map[string][]func() // by frozen machine: calls to run when it thaws
	phase       map[string]time.Duration
}

// NewWorld returns a world whose running processes call onTick every tick and onRecv for each
// message.
func NewWorld(tick time.Duration, onTick func(n string), onRecv func(e *Event)) *World {
	return &World{tick: tick, onTick: onTick, onRecv: onRecv, cut: map[[2]string]bool{}, up: map[string]bool{},
		frozen: map[string]bool{}, incarnation: map[string]int{}, deferred: map[string][]func(){}, phase: map[string]time.Duration{}}
}

func (w *World) push(e *Event) {
	w.seq++
	e.Seq = w.seq
	heap.Push(&w.queue, e)
}

// After runs do after d.
func (w *World) After(d time.Duration, do func()) { w.push(&Event{At: w.Now + d, do: do}) }

// Send sends a message, unless the path is cut.
func (w *World) Send(from, to string, msg any) {
	if !w.cut[[2]string{from, to}] {
		w.push(&Event{At: w.Now + MessageDelay, From: from, To: to, Msg: msg})
	}
}

// Up reports whether a machine's process is running.
func (w *World) Up(n string) bool { return w.up[n] }

// Frozen reports whether a machine's process is paused.
func (w *World) Frozen(n string) bool { return w.frozen[n] }

// Incarnation returns the incarnation of a machine's process, which increases with each start
// and each stop.
func (w *World) Incarnation(n string) int { return w.incarnation[n] }

// Start starts a machine's process and its periodic ticks. A new machine is added.
func (w *World) Start(n string) {
	if !slices.Contains(w.Names, n) {
		w.Names = append(w.Names, n)
	}
	w.up[n] = true
	w.incarnation[n]++
	w.step(n, w.incarnation[n])
}

func (w *World) step(n string, incarnation int) {
	if w.incarnation[n] != incarnation || !w.up[n] {
		return
	}
	w.RunOn(n, func() { w.onTick(n) })
	w.After(w.tick, func() { w.step(n, incarnation) })
}

// RunOn runs f on a machine. If the process is frozen, f runs when it thaws, unless the process
// has stopped by then; at most 100 calls are kept.
func (w *World) RunOn(n string, f func()) {
	incarnation := w.incarnation[n]
	if w.frozen[n] {
		if len(w.deferred[n]) < 100 {
			w.deferred[n] = append(w.deferred[n], func() {
				if w.incarnation[n] == incarnation {
					f()
				}
			})
		}
		return
	}
	f()
}

// Stop ends a machine's process.
func (w *World) Stop(n string) {
	w.up[n], w.frozen[n], w.deferred[n] = false, false, nil
	w.incarnation[n]++
}

// Leave removes a machine permanently.
func (w *World) Leave(n string) {
	w.Stop(n)
	w.Names = slices.DeleteFunc(slices.Clone(w.Names), func(o string) bool { return o == n })
}

// Freeze pauses a machine's process, or resumes it and runs everything that was deferred.
func (w *World) Freeze(n string, frozen bool) {
	w.frozen[n] = frozen
	if !frozen {
		p := w.deferred[n]
		w.deferred[n] = nil
		for _, f := range p {
			f()
		}
	}
}

// NextMessage returns the next event if it is a message that will reach a process, and nil
// otherwise.
func (w *World) NextMessage() *Event {
	if len(w.queue) == 0 || w.queue[0].Msg == nil {
		return nil
	}
	if e := w.queue[0]; w.up[e.To] && !w.cut[[2]string{e.From, e.To}] {
		return e
	}
	return nil
}

// Run processes events up to the time until. After at least one event it returns early before a
// message for which stop returns true; it also returns when check returns false.
func (w *World) Run(until time.Duration, stop func(*Event) bool, check func() bool) {
	for first := true; len(w.queue) > 0 && w.queue[0].At <= until; first = false {
		if e := w.NextMessage(); !first && stop != nil && e != nil && stop(e) {
			return
		}
		w.processNext()
		if check != nil && !check() {
			return
		}
	}
	w.Now = until
}

func (w *World) processNext() {
	e := heap.Pop(&w.queue).(*Event)
	w.Now = e.At
	if e.do != nil {
		e.do()
	} else if w.up[e.To] && !w.cut[[2]string{e.From, e.To}] {
		w.RunOn(e.To, func() { w.onRecv(e) })
	}
}

// NetworkChoices lists the choices that cut and restore network paths.
func (w *World) NetworkChoices() (out []string) {
	for _, a := range w.Names {
		out = append(out, "isolate "+a, "mute "+a, "deafen "+a)
		for _, b := range w.Names {
			if a != b && !w.cut[[2]string{a, b}] {
				out = append(out, "cut "+a+">"+b)
			}
			if a < b {
				out = append(out, "part "+a+"|"+b)
			}
		}
	}
	if w.Partitioned() {
		out = append(out, "join")
	}
	return out
}

// Partitioned reports whether any path is cut.
func (w *World) Partitioned() bool { return len(w.cut) > 0 }

// FreezeChoices lists the choices that freeze and thaw processes.
func (w *World) FreezeChoices() (out []string) {
	for _, n := range w.Names {
		if w.up[n] && !w.frozen[n] {
			out = append(out, "freeze "+n)
		} else if w.frozen[n] {
			out = append(out, "thaw "+n)
		}
	}
	return out
}

// MessageChoices lists the choices for the next message.
func (w *World) MessageChoices() []string { return []string{"lose", "double", "late"} }

// Heal restores all paths and thaws all processes.
func (w *World) Heal() {
	w.cut = map[[2]string]bool{}
	for _, n := range w.Names {
		if w.frozen[n] {
			w.Freeze(n, false)
		}
	}
}

// ApplyChoice applies a choice on the network, a message or a process's freeze. It returns
// false for choices of other kinds.
func (w *World) ApplyChoice(choice string) bool {
	kind, arg, _ := strings.Cut(choice, " ")
	forOthers := func(f func(o string)) {
		for _, o := range w.Names {
			if o != arg {
				f(o)
			}
		}
	}
	cutOutgoing := func(o string) { w.cut[[2]string{arg, o}] = true }
	cutIncoming := func(o string) { w.cut[[2]string{o, arg}] = true }
	switch kind {
	case "isolate":
		forOthers(cutOutgoing)
		forOthers(cutIncoming)
	case "mute":
		forOthers(cutOutgoing)
	case "deafen":
		forOthers(cutIncoming)
	case "cut":
		a, b, _ := strings.Cut(arg, ">")
		w.cut[[2]string{a, b}] = true
	case "part":
		a, b, _ := strings.Cut(arg, "|")
		w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = true, true
	case "join":
		w.cut = map[[2]string]bool{}
	case "freeze":
		w.Freeze(arg, true)
	case "thaw":
		w.Freeze(arg, false)
	case "lose":
		heap.Pop(&w.queue)
	case "double":
		e := *w.queue[0]
		e.At += LateDelay
		w.push(&e)
	case "late":
		e := heap.Pop(&w.queue).(*Event)
		e.At += LateDelay
		w.push(e)
	default:
		return false
	}
	w.LastFault = w.Now
	return true
}

// Hash digests the network and which processes are running or frozen; the model hashes their
// state. Times are relative to now, and LastFault is not included.
func (w *World) Hash(a Abstraction) uint64 {
	var inFlight []uint64
	q := slices.Clone(w.queue)
	slices.SortFunc(q, func(x, y *Event) int {
		if q := (events{x, y}); q.Less(0, 1) {
			return -1
		}
		return 1
	})
	for _, e := range q {
		inFlight = append(inFlight, a.Digest(w.Now, e.At, e.From, e.To, e.Msg))
	}
	deferredCount := map[string]int{}
	for n, p := range w.deferred {
		if len(p) > 0 {
			deferredCount[n] = len(p)
		}
	}
	enabled := func(m map[string]bool) (out []string) {
		for k, v := range m {
			if v {
				out = append(out, k)
			}
		}
		slices.Sort(out)
		return out
	}
	return a.Digest(w.Now, inFlight, w.Names, w.cut, enabled(w.up), enabled(w.frozen), deferredCount)
}
