package lease

import (
	"slices"
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/simnet"
)

// ballot is a decided view, as far as leases go: its electorate, the number of the
// view that made it so, and which disk each voter voted with.
type ballot struct {
	epoch  uint64
	voters []string
	disks  map[string]int
}

// voter is a machine of the model: its disk, and the incarnation of its process. What is on
// the disk is the view it has learned and whether it has promised to leave it.
type voter struct {
	disk        int // a wipe makes another one
	view        int // the newest it knows; -1 none
	promised    bool
	incarnation int
	w           *Manager // nil: down
	frozen      bool
	waiting     []func() // what arrives while it is frozen
	born        time.Duration
	rate        float64 // its steady clock against true time
}

// election is the model: voters leave, are replaced and come back, by views that a
// majority of the voters before has promised.
type election struct {
	network *simnet.Network
	names   []string
	at      map[string]*voter
	views   []ballot
	late    bool // the fault to show: a promise reaches the leases only with the next step
	blind   bool // the fault to show: a voter whose disk is new takes part by its address alone
}

func (e *election) clock(n string) time.Duration {
	m := e.at[n]
	return time.Duration(float64(e.network.Now-m.born) * m.rate)
}

// tell is what the machine's chain says to its leases.
func (e *election) tell(n string) {
	m := e.at[n]
	if m.w == nil || m.view < 0 {
		return
	}
	v := e.views[m.view]
	joined := e.blind || v.disks[n] == m.disk || !slices.Contains(v.voters, n)
	m.w.SetElectorate(e.clock(n), v.epoch, v.voters, m.promised || !joined)
}

func (e *election) put(n string, out []Send) {
	for _, s := range out {
		e.network.Send(n, s.To, func() { e.deliver(s.To, n, s.Msg) })
	}
}

func (e *election) deliver(to, from string, msg any) {
	m := e.at[to]
	switch {
	case m.w == nil:
	case m.frozen:
		m.waiting = append(m.waiting, func() { e.deliver(to, from, msg) })
	default:
		e.put(to, m.w.Recv(e.clock(to), from, msg))
	}
}

func (e *election) start(n string) {
	m := e.at[n]
	m.incarnation++
	m.born, m.rate, m.frozen, m.waiting = e.network.Now, 0.95+0.1*e.network.Rng.Float64(), false, nil
	m.w = New(0, e.network.Rng.Uint64(), n, []string{"x"})
	e.tick(n, m.incarnation)
}

func (e *election) stop(n string) {
	m := e.at[n]
	m.incarnation++
	m.w, m.frozen, m.waiting = nil, false, nil
}

func (e *election) tick(n string, incarnation int) {
	m := e.at[n]
	if m.incarnation != incarnation {
		return
	}
	if !m.frozen {
		e.tell(n)
		e.put(n, m.w.Tick(e.clock(n)))
	}
	e.network.After(constants.LeaseTick, func() { e.tick(n, incarnation) })
}

func (e *election) thaw(n string, incarnation int) {
	m := e.at[n]
	if m.incarnation != incarnation || !m.frozen {
		return
	}
	m.frozen = false
	for _, f := range m.waiting { // before the next step, as sockets go
		f()
	}
	m.waiting = nil
}

// learn takes up a view; it may be told by one that lags itself.
func (e *election) learn(n string, view int) {
	m := e.at[n]
	if m.w == nil || m.frozen || view <= m.view {
		return
	}
	m.view, m.promised = view, false
	if !e.late {
		e.tell(n)
	}
}

// vote has a majority of the voters promise one after the other, and then decides the
// view; it fails when they can't be had.
func (e *election) vote(next func(v ballot) ballot) {
	cur := len(e.views) - 1
	v := e.views[cur]
	order := slices.Clone(v.voters)
	e.network.Rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	have := 0
	for _, n := range order {
		m := e.at[n]
		if m.w == nil || m.frozen || m.view != cur || v.disks[n] != m.disk || have > len(v.voters)/2 {
			continue
		}
		m.promised = true
		if !e.late {
			e.tell(n)
		}
		have++
		if e.late && e.network.Rng.IntN(4) == 0 {
			m.frozen = true // between the promise and the next step
			incarnation := m.incarnation
			e.network.After(time.Duration(e.network.Rng.IntN(20000))*time.Millisecond, func() { e.thaw(n, incarnation) })
		}
	}
	if have <= len(v.voters)/2 {
		return // those that have promised stay sealed, until a later try
	}
	to := next(v)
	e.views = append(e.views, to)
	for _, n := range e.names {
		spread := []int{30, 600, 8000, 25000}[e.network.Rng.IntN(4)]
		e.network.After(time.Duration(e.network.Rng.IntN(spread))*time.Millisecond, func() { e.learn(n, cur+1) })
	}
}

// change is the next electorate: one is replaced, dropped, or some are added, and a
// wiped disk is taken in where its machine is a voter.
func (e *election) change(v ballot) ballot {
	rng := e.network.Rng
	to := ballot{v.epoch, slices.Clone(v.voters), map[string]int{}}
	var outside []string
	for _, n := range e.names {
		if !slices.Contains(v.voters, n) {
			outside = append(outside, n)
		}
	}
	kind := rng.IntN(5)
	switch {
	case kind == 0 && len(outside) > 0:
		to.voters[rng.IntN(len(to.voters))] = outside[rng.IntN(len(outside))]
	case kind == 1 && len(to.voters) > 2:
		i := rng.IntN(len(to.voters))
		to.voters = slices.Delete(to.voters, i, i+1)
	case kind == 2 && len(outside) > 0:
		rng.Shuffle(len(outside), func(i, j int) { outside[i], outside[j] = outside[j], outside[i] })
		to.voters = append(to.voters, outside[:1+rng.IntN(len(outside))]...)
	case kind == 3 && len(to.voters) > 3: // two at once: a replacement and a leaving
		to.voters = to.voters[1:]
		if len(outside) > 0 {
			to.voters[0] = outside[0]
		}
	}
	if !slices.Equal(to.voters, v.voters) {
		to.epoch = uint64(len(e.views)) + 1
	}
	for _, n := range to.voters {
		to.disks[n] = e.at[n].disk
		if was, ok := v.disks[n]; ok && (e.at[n].w == nil || rng.IntN(3) == 0) {
			to.disks[n] = was // nobody has heard of the new one
		}
	}
	return to
}

func (e *election) trouble(until time.Duration) {
	b := e.network
	if b.Now > until {
		return
	}
	n, o := e.names[b.Rng.IntN(len(e.names))], e.names[b.Rng.IntN(len(e.names))]
	m := e.at[n]
	span := time.Duration(b.Rng.IntN([]int{400, 3000, 20000}[b.Rng.IntN(3)])) * time.Millisecond
	switch b.Rng.IntN(7) {
	case 0, 1: // the process ends, and with it perhaps its disk
		wipe := b.Rng.IntN(3) == 0
		if m.w != nil && b.Rng.IntN(3) == 0 && !m.frozen {
			e.put(n, m.w.Resign(e.clock(n)))
		}
		e.stop(n)
		incarnation := m.incarnation
		b.After(span/3, func() {
			if m.incarnation != incarnation {
				return
			}
			if wipe {
				m.disk, m.view, m.promised = m.disk+1, -1, false
			}
			e.start(n)
			if wipe { // whoever it hears first tells it of a view
				b.After(time.Duration(b.Rng.IntN(500))*time.Millisecond, func() { e.learn(n, e.at[o].view) })
			}
		})
	case 2:
		if m.w != nil && !m.frozen {
			m.frozen = true
			incarnation := m.incarnation
			b.After(span, func() { e.thaw(n, incarnation) })
		}
	case 3:
		b.Cut(n, o, true)
		b.After(span, func() { b.Cut(n, o, false) })
	case 4: // cut off from all
		for _, o := range e.names {
			b.Cut(n, o, true)
			b.Cut(o, n, true)
			b.After(span, func() { b.Cut(n, o, false); b.Cut(o, n, false) })
		}
	case 5:
		if m.w != nil && !m.frozen {
			e.put(n, m.w.Resign(e.clock(n)))
		}
	case 6: // several views in quick succession
		for i := range 1 + b.Rng.IntN(3)*b.Rng.IntN(2) {
			b.After(time.Duration(i*(10+b.Rng.IntN(900)))*time.Millisecond, func() {
				if b.Now <= until {
					e.vote(e.change)
				}
			})
		}
	}
	b.After(time.Duration(b.Rng.IntN(3500))*time.Millisecond, func() { e.trouble(until) })
}

func (e *election) holders() (who []string) {
	for _, n := range e.names {
		if m := e.at[n]; m.w != nil {
			if _, ok := m.w.Holds(e.clock(n), "x"); ok {
				who = append(who, n)
			}
		}
	}
	return who
}

// play runs one seed: trouble for 50 s, then calm. It gives the moment at which two
// hold the duty, or how long after the calm began one held it for good.
func play(seed uint64, late, blind bool) (two time.Duration, settled time.Duration, moves, views int) {
	const quiet, end = 50 * time.Second, 66 * time.Second
	b := simnet.New(seed)
	b.Loss = []float64{0, 0.1}[seed%2]
	b.Delay = []time.Duration{5, 100, 400}[seed%3] * time.Millisecond
	e := &election{network: b, names: []string{"a", "b", "c", "d", "e", "f", "g"}, at: map[string]*voter{}, late: late, blind: blind}
	first := ballot{1, slices.Clone(e.names[:2+seed%4]), map[string]int{}}
	for _, n := range first.voters {
		first.disks[n] = 0
	}
	e.views = []ballot{first}
	for _, n := range e.names {
		e.at[n] = &voter{}
		e.start(n)
	}
	b.After(3*time.Second, func() { e.trouble(quiet) })
	calm := false
	last, free := "", time.Duration(0)
	b.Run(end, func() {
		who := e.holders()
		if len(who) > 1 && two == 0 {
			two = b.Now
		}
		if len(who) == 1 && who[0] != last {
			last = who[0]
			moves++
		}
		if b.Now > quiet && !calm { // all are up and hear each other, and know the newest view
			calm = true
			b.Loss, b.Delay = 0, 5*time.Millisecond
			v := e.views[len(e.views)-1]
			for _, n := range e.names {
				for _, o := range e.names {
					b.Cut(n, o, false)
				}
				m := e.at[n]
				e.thaw(n, m.incarnation)
				if m.w == nil {
					e.start(n)
				}
				if v.disks[n] != m.disk { // it is taken in
					v.disks[n] = m.disk
				}
				m.promised = false
				e.learn(n, len(e.views)-1)
			}
		}
		if calm {
			if len(who) != 1 {
				free = b.Now
			}
			if b.Now > quiet+time.Second {
				// late events of the trouble are undone
				for _, n := range e.names {
					m := e.at[n]
					e.thaw(n, m.incarnation)
					if m.w == nil {
						e.start(n)
					}
				}
			}
		}
	})
	if free > end-time.Second {
		return two, -1, moves, len(e.views)
	}
	return two, max(0, free-quiet), moves, len(e.views)
}

// TestElectorateLosesVoters: voters leave, are replaced, sleep through it, come back
// in an old incarnation or a new one, or with an empty disk. No moment has two holders, and
// in calm there is one within a stated time.
func TestElectorateLosesVoters(t *testing.T) {
	t.Parallel()
	moves, views := 0, 0
	var longest time.Duration
	for seed := uint64(1); seed <= 150; seed++ {
		two, settled, m, v := play(seed, false, false)
		moves, views = moves+m, views+v
		longest = max(longest, settled)
		if two > 0 {
			t.Fatalf("seed %d: two hold the duty at %v", seed, two)
		}
		if settled < 0 || settled > 6*time.Second {
			t.Fatalf("seed %d: held for good %v after the calm began", seed, settled)
		}
	}
	t.Logf("%d moves, %d views, held for good at most %v after the calm began", moves, views, longest)
	if moves < 300 || views < 400 {
		t.Errorf("%d moves and %d views: too few to mean anything", moves, views)
	}
}
