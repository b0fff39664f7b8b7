package lease

import (
	"slices"
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/simnet"
)

// decidedView is the part of a decided view that matters to leases: its electorate, the number
// of the view that established it, and the disk with which each voter voted.
type decidedView struct {
	epoch  uint64
	voters []string
	disks  map[string]int
}

// voter is a machine of the model. Its disk holds the latest view that it has learned and
// whether it has accepted a successor of that view.
type voter struct {
	disk        int // changes with each wipe
	view        int // the latest known; -1: none
	accepted    bool
	incarnation int
	manager     *Manager // nil: down
	frozen      bool
	queued      []func() // deliveries while frozen
	startedAt   time.Duration
	rate        float64 // of its monotonic clock, relative to true time
}

// election is the model: voters leave, are replaced and return through views that a majority
// of the previous voters has accepted.
type election struct {
	network      *simnet.Network
	names        []string
	machines     map[string]*voter
	views        []decidedView
	delayReports bool // fault to demonstrate: an acceptance reaches the lease manager only with the next tick
	ignoreDisks  bool // fault to demonstrate: a voter with a new disk is identified by its address alone
}

func (e *election) clock(n string) time.Duration {
	m := e.machines[n]
	return time.Duration(float64(e.network.Now-m.startedAt) * m.rate)
}

// reportElectorate passes the electorate to the lease manager as the machine's chain does.
func (e *election) reportElectorate(n string) {
	m := e.machines[n]
	if m.manager == nil || m.view < 0 {
		return
	}
	v := e.views[m.view]
	joined := e.ignoreDisks || v.disks[n] == m.disk || !slices.Contains(v.voters, n)
	m.manager.SetElectorate(e.clock(n), v.epoch, v.voters, m.accepted || !joined)
}

func (e *election) sendAll(n string, out []Send) {
	for _, s := range out {
		e.network.Send(n, s.To, func() { e.deliver(s.To, n, s.Msg) })
	}
}

func (e *election) deliver(to, from string, msg any) {
	m := e.machines[to]
	switch {
	case m.manager == nil:
	case m.frozen:
		m.queued = append(m.queued, func() { e.deliver(to, from, msg) })
	default:
		e.sendAll(to, m.manager.Recv(e.clock(to), from, msg))
	}
}

func (e *election) start(n string) {
	m := e.machines[n]
	m.incarnation++
	m.startedAt, m.rate, m.frozen, m.queued = e.network.Now, 0.95+0.1*e.network.Rng.Float64(), false, nil
	m.manager = New(0, e.network.Rng.Uint64(), n, []string{"x"})
	e.tick(n, m.incarnation)
}

func (e *election) stop(n string) {
	m := e.machines[n]
	m.incarnation++
	m.manager, m.frozen, m.queued = nil, false, nil
}

func (e *election) tick(n string, incarnation int) {
	m := e.machines[n]
	if m.incarnation != incarnation {
		return
	}
	if !m.frozen {
		e.reportElectorate(n)
		e.sendAll(n, m.manager.Tick(e.clock(n)))
	}
	e.network.After(constants.LeaseTick, func() { e.tick(n, incarnation) })
}

func (e *election) thaw(n string, incarnation int) {
	m := e.machines[n]
	if m.incarnation != incarnation || !m.frozen {
		return
	}
	m.frozen = false
	for _, f := range m.queued { // before the next tick, as with socket buffers
		f()
	}
	m.queued = nil
}

// learn installs a newer view. The machine that passes it on may itself lag behind.
func (e *election) learn(n string, view int) {
	m := e.machines[n]
	if m.manager == nil || m.frozen || view <= m.view {
		return
	}
	m.view, m.accepted = view, false
	if !e.delayReports {
		e.reportElectorate(n)
	}
}

// vote lets a majority of the voters accept one after the other and then decides the view. It
// fails if no majority is available.
func (e *election) vote(next func(v decidedView) decidedView) {
	cur := len(e.views) - 1
	v := e.views[cur]
	order := slices.Clone(v.voters)
	e.network.Rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	accepted := 0
	for _, n := range order {
		m := e.machines[n]
		if m.manager == nil || m.frozen || m.view != cur || v.disks[n] != m.disk || accepted > len(v.voters)/2 {
			continue
		}
		m.accepted = true
		if !e.delayReports {
			e.reportElectorate(n)
		}
		accepted++
		if e.delayReports && e.network.Rng.IntN(4) == 0 {
			m.frozen = true // between the acceptance and the next tick
			incarnation := m.incarnation
			e.network.After(time.Duration(e.network.Rng.IntN(20000))*time.Millisecond, func() { e.thaw(n, incarnation) })
		}
	}
	if accepted <= len(v.voters)/2 {
		return // the electorate stays uncertain to the machines that have accepted, until a later attempt
	}
	to := next(v)
	e.views = append(e.views, to)
	for _, n := range e.names {
		maxDelay := []int{30, 600, 8000, 25000}[e.network.Rng.IntN(4)]
		e.network.After(time.Duration(e.network.Rng.IntN(maxDelay))*time.Millisecond, func() { e.learn(n, cur+1) })
	}
}

// nextElectorate returns a changed electorate: one voter replaced or removed, or some added.
// Wiped disks of voters may be admitted.
func (e *election) nextElectorate(v decidedView) decidedView {
	rng := e.network.Rng
	to := decidedView{v.epoch, slices.Clone(v.voters), map[string]int{}}
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
	case kind == 3 && len(to.voters) > 3: // two changes at once: a replacement and a removal
		to.voters = to.voters[1:]
		if len(outside) > 0 {
			to.voters[0] = outside[0]
		}
	}
	if !slices.Equal(to.voters, v.voters) {
		to.epoch = uint64(len(e.views)) + 1
	}
	for _, n := range to.voters {
		to.disks[n] = e.machines[n].disk
		if old, ok := v.disks[n]; ok && (e.machines[n].manager == nil || rng.IntN(3) == 0) {
			to.disks[n] = old // the new disk is not known yet
		}
	}
	return to
}

func (e *election) injectFault(until time.Duration) {
	network := e.network
	if network.Now > until {
		return
	}
	n, o := e.names[network.Rng.IntN(len(e.names))], e.names[network.Rng.IntN(len(e.names))]
	m := e.machines[n]
	duration := time.Duration(network.Rng.IntN([]int{400, 3000, 20000}[network.Rng.IntN(3)])) * time.Millisecond
	switch network.Rng.IntN(7) {
	case 0, 1: // the process ends and may lose its disk
		wipe := network.Rng.IntN(3) == 0
		if m.manager != nil && network.Rng.IntN(3) == 0 && !m.frozen {
			e.sendAll(n, m.manager.Resign(e.clock(n)))
		}
		e.stop(n)
		incarnation := m.incarnation
		network.After(duration/3, func() {
			if m.incarnation != incarnation {
				return
			}
			if wipe {
				m.disk, m.view, m.accepted = m.disk+1, -1, false
			}
			e.start(n)
			if wipe { // it learns the view of the first machine it is connected to
				network.After(time.Duration(network.Rng.IntN(500))*time.Millisecond, func() { e.learn(n, e.machines[o].view) })
			}
		})
	case 2:
		if m.manager != nil && !m.frozen {
			m.frozen = true
			incarnation := m.incarnation
			network.After(duration, func() { e.thaw(n, incarnation) })
		}
	case 3:
		network.Cut(n, o, true)
		network.After(duration, func() { network.Cut(n, o, false) })
	case 4: // partitioned from all others
		for _, o := range e.names {
			network.Cut(n, o, true)
			network.Cut(o, n, true)
			network.After(duration, func() { network.Cut(n, o, false); network.Cut(o, n, false) })
		}
	case 5:
		if m.manager != nil && !m.frozen {
			e.sendAll(n, m.manager.Resign(e.clock(n)))
		}
	case 6: // several views in quick succession
		for i := range 1 + network.Rng.IntN(3)*network.Rng.IntN(2) {
			network.After(time.Duration(i*(10+network.Rng.IntN(900)))*time.Millisecond, func() {
				if network.Now <= until {
					e.vote(e.nextElectorate)
				}
			})
		}
	}
	network.After(time.Duration(network.Rng.IntN(3500))*time.Millisecond, func() { e.injectFault(until) })
}

func (e *election) holders() (holders []string) {
	for _, n := range e.names {
		if m := e.machines[n]; m.manager != nil {
			if _, ok := m.manager.Holds(e.clock(n), "x"); ok {
				holders = append(holders, n)
			}
		}
	}
	return holders
}

// runElection runs one seed with faults for 50 s and then without. It returns when two machines
// first held the duty at a time, or how long after the faults ended the duty was held
// permanently.
func runElection(seed uint64, delayReports, ignoreDisks bool) (conflictAt time.Duration, settled time.Duration, moves, views int) {
	const faultsEnd, end = 50 * time.Second, 66 * time.Second
	network := simnet.New(seed)
	network.Loss = []float64{0, 0.1}[seed%2]
	network.Delay = []time.Duration{5, 100, 400}[seed%3] * time.Millisecond
	e := &election{network: network, names: []string{"a", "b", "c", "d", "e", "f", "g"}, machines: map[string]*voter{}, delayReports: delayReports, ignoreDisks: ignoreDisks}
	first := decidedView{1, slices.Clone(e.names[:2+seed%4]), map[string]int{}}
	for _, n := range first.voters {
		first.disks[n] = 0
	}
	e.views = []decidedView{first}
	for _, n := range e.names {
		e.machines[n] = &voter{}
		e.start(n)
	}
	network.After(3*time.Second, func() { e.injectFault(faultsEnd) })
	faultsCleared := false
	lastHolder, lastUnheld := "", time.Duration(0)
	network.Run(end, func() {
		holders := e.holders()
		if len(holders) > 1 && conflictAt == 0 {
			conflictAt = network.Now
		}
		if len(holders) == 1 && holders[0] != lastHolder {
			lastHolder = holders[0]
			moves++
		}
		if network.Now > faultsEnd && !faultsCleared { // all machines run, are connected and know the latest view
			faultsCleared = true
			network.Loss, network.Delay = 0, 5*time.Millisecond
			v := e.views[len(e.views)-1]
			for _, n := range e.names {
				for _, o := range e.names {
					network.Cut(n, o, false)
				}
				m := e.machines[n]
				e.thaw(n, m.incarnation)
				if m.manager == nil {
					e.start(n)
				}
				if v.disks[n] != m.disk { // admit the new disk
					v.disks[n] = m.disk
				}
				m.accepted = false
				e.learn(n, len(e.views)-1)
			}
		}
		if faultsCleared {
			if len(holders) != 1 {
				lastUnheld = network.Now
			}
			if network.Now > faultsEnd+time.Second {
				// end faults that were scheduled late
				for _, n := range e.names {
					m := e.machines[n]
					e.thaw(n, m.incarnation)
					if m.manager == nil {
						e.start(n)
					}
				}
			}
		}
	})
	if lastUnheld > end-time.Second {
		return conflictAt, -1, moves, len(e.views)
	}
	return conflictAt, max(0, lastUnheld-faultsEnd), moves, len(e.views)
}

// TestElectorateChanges runs seeded elections in which voters leave, are replaced, miss views
// while frozen, and return with the same process, a new one, or an empty disk. There are never
// two holders, and once the faults have ended there is one within a fixed time.
func TestElectorateChanges(t *testing.T) {
	t.Parallel()
	moves, views := 0, 0
	var longest time.Duration
	for seed := uint64(1); seed <= 150; seed++ {
		conflictAt, settled, m, v := runElection(seed, false, false)
		moves, views = moves+m, views+v
		longest = max(longest, settled)
		if conflictAt > 0 {
			t.Fatalf("seed %d: two holders at %v", seed, conflictAt)
		}
		if settled < 0 || settled > 6*time.Second {
			t.Fatalf("seed %d: held permanently only %v after the faults ended", seed, settled)
		}
	}
	t.Logf("%d moves, %d views, held permanently at most %v after the faults ended", moves, views, longest)
	if moves < 300 || views < 400 {
		t.Errorf("%d moves and %d views: too few for the test to be meaningful", moves, views)
	}
}
