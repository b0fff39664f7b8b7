package lease

import (
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/simnet"
)

// TestOneHolder runs seeded days with lost messages, cuts, restarts and clocks
// that count unevenly within what the margin allows, and checks after each step
// that no duty has two holders.
func TestOneHolder(t *testing.T) {
	moves := 0
	for seed := uint64(1); seed <= 300; seed++ {
		b := simnet.New(seed)
		b.Loss = []float64{0, 0.1, 0.3}[seed%3]
		b.Delay = []time.Duration{5, 100, 700}[seed/3%3] * time.Millisecond
		names := []string{"a", "b", "c", "d", "e", "f"}[:3+seed%4]
		duties := []string{"x", "y"}
		ms := map[string]*Manager{}
		incarnation := map[string]int{}
		rate := map[string]float64{} // a machine's steady clock against true time
		born := map[string]time.Duration{}
		clock := func(n string) time.Duration { return time.Duration(float64(b.Now-born[n]) * rate[n]) }
		var put func(n string, out []Send)
		put = func(n string, out []Send) {
			for _, s := range out {
				b.Send(n, s.To, func() {
					if manager := ms[s.To]; manager != nil {
						put(s.To, manager.Recv(clock(s.To), n, s.Msg))
					}
				})
			}
		}
		var tick func(n string, l int)
		tick = func(n string, l int) {
			if incarnation[n] != l || ms[n] == nil {
				return
			}
			put(n, ms[n].Tick(clock(n)))
			b.After(constants.LeaseTick, func() { tick(n, l) })
		}
		start := func(n string) {
			incarnation[n]++
			born[n] = b.Now
			rate[n] = 0.95 + 0.1*b.Rng.Float64()
			ms[n] = withPeers(New(0, b.Rng.Uint64(), n, duties), names)
			tick(n, incarnation[n])
		}
		for _, n := range names {
			start(n)
		}
		var trouble func()
		trouble = func() {
			if b.Now > 60*time.Second {
				return
			}
			n := names[b.Rng.IntN(len(names))]
			o := names[b.Rng.IntN(len(names))]
			span := time.Duration(b.Rng.IntN(3000)) * time.Millisecond
			switch b.Rng.IntN(3) {
			case 0:
				ms[n] = nil
				incarnation[n]++
				b.After(span, func() {
					if ms[n] == nil {
						start(n)
					}
				})
			case 1:
				b.Cut(n, o, true)
				b.After(span, func() { b.Cut(n, o, false) })
			case 2:
				if ms[n] != nil {
					put(n, ms[n].Resign(clock(n)))
				}
			}
			b.After(time.Duration(b.Rng.IntN(2000))*time.Millisecond, trouble)
		}
		b.After(4*time.Second, trouble)
		last := ""
		free := map[string]time.Duration{} // since when nobody holds a duty
		b.Run(90*time.Second, func() {
			if b.Now > 63*time.Second {
				b.Loss, b.Delay = 0, 5*time.Millisecond
			}
			for _, d := range duties {
				holder := ""
				for _, n := range names {
					if ms[n] == nil {
						continue
					}
					if _, ok := ms[n].Holds(clock(n), d); ok {
						if holder != "" {
							t.Fatalf("seed %d at %v: %s is held by %s and by %s", seed, b.Now, d, holder, n)
						}
						holder = n
					}
				}
				if holder != "" {
					free[d] = b.Now
				} else if b.Now > 72*time.Second && b.Now-free[d] > 4*time.Second {
					t.Fatalf("seed %d at %v: nobody holds %s since %v", seed, b.Now, d, free[d])
				}
				if d == "x" && holder != "" && holder != last {
					last = holder
					moves++
				}
			}
		})
	}
	if moves < 200 {
		t.Errorf("the duty moved %d times in 200 days: too seldom to mean anything", moves)
	}
}

// A grantor that was started again may have granted before: it waits.
func TestRestartedGrantorWaits(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
	for _, at := range []time.Duration{0, constants.LeaseLength} {
		for _, s := range manager.Recv(at, "b", Request{"x", 1, 1, false}) {
			if g := s.Msg.(Grant); g.OK {
				t.Fatalf("granted %v after its start", at)
			}
		}
	}
	out := manager.Recv(constants.LeaseLength+constants.LeaseMargin, "b", Request{"x", 1, 2, false})
	if len(out) != 1 || !out[0].Msg.(Grant).OK {
		t.Fatalf("not granted after the wait: %v", out)
	}
}

// A machine cut off from the others grants itself what it claims, but must not
// tell anyone that it holds it.
func TestCutOffMachineNamesNobody(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
	for now := time.Duration(0); now < 10*time.Second; now += constants.LeaseTick {
		manager.Tick(now)
		if h := manager.Holder(now, "x"); h != "" {
			t.Fatalf("at %v it names %s", now, h)
		}
	}
}

func withPeers(manager *Manager, peers []string) *Manager {
	manager.SetElectorate(0, 1, peers, false)
	return manager
}

// cluster is machines on a simulated network; nil ones are down.
type cluster struct {
	network *simnet.Network
	ms      map[string]*Manager
}

func (p *cluster) put(n string, out []Send) {
	for _, s := range out {
		p.network.Send(n, s.To, func() {
			if manager := p.ms[s.To]; manager != nil {
				p.put(s.To, manager.Recv(p.network.Now, n, s.Msg))
			}
		})
	}
}

// run ticks the machines, calling before for each.
func (p *cluster) run(names []string, before func(n string)) {
	for _, n := range names {
		if p.ms[n] != nil {
			before(n)
			p.put(n, p.ms[n].Tick(p.network.Now))
		}
	}
	p.network.After(constants.LeaseTick, func() { p.run(names, before) })
}

func (p *cluster) holders(names []string, duty string) (who string) {
	for _, n := range names {
		if p.ms[n] != nil {
			if _, ok := p.ms[n].Holds(p.network.Now, duty); ok {
				who += n
			}
		}
	}
	return who
}

// TestElectorateGrows changes the electorate under seeded trouble, as views do:
// a majority of the old one is sealed before the new one is decided, machines
// learn of it at their own times, and some sleep through it. No duty has two
// holders, and at the end it has one.
func TestElectorateGrows(t *testing.T) {
	for seed := uint64(1); seed <= 150; seed++ {
		b := simnet.New(seed)
		b.Loss = []float64{0, 0.1}[seed%2]
		b.Delay = []time.Duration{5, 100, 400}[seed%3] * time.Millisecond
		all := []string{"a", "b", "c", "d", "e", "f", "g"}
		ms := map[string]*Manager{}
		epoch := uint64(1)
		peers := all[:3]
		known := map[string]uint64{}
		lists := map[uint64][]string{1: peers}
		sealed := map[string]bool{}
		for _, n := range all {
			ms[n] = New(0, b.Rng.Uint64(), n, []string{"x"})
			known[n] = 1
		}
		p := &cluster{b, ms}
		p.run(all, func(n string) { ms[n].SetElectorate(b.Now, known[n], lists[known[n]], sealed[n]) })
		var grow func()
		grow = func() {
			if len(peers) == len(all) {
				return
			}
			first := b.Rng.IntN(len(peers))
			for i := range len(peers)/2 + 1 { // promised and accepted
				n := peers[(first+i)%len(peers)]
				if known[n] != epoch {
					b.After(time.Second, grow)
					return
				}
				sealed[n] = true
				ms[n].SetElectorate(b.Now, known[n], lists[known[n]], true)
			}
			epoch++
			peers = all[:len(peers)+1+b.Rng.IntN(len(all)-len(peers))]
			lists[epoch] = peers
			for _, n := range all {
				e := epoch
				b.After(time.Duration(b.Rng.IntN([]int{60, 600, 6000}[seed/3%3]))*time.Millisecond, func() {
					if known[n] < e {
						known[n], sealed[n] = e, false
					}
				})
			}
			b.After(time.Duration(b.Rng.IntN(9000))*time.Millisecond, grow)
		}
		b.After(3*time.Second+time.Duration(b.Rng.IntN(3000))*time.Millisecond, grow)
		b.Run(50*time.Second, func() {
			if who := p.holders(all, "x"); len(who) > 1 {
				t.Fatalf("seed %d at %v: held by %s", seed, b.Now, who)
			}
			if b.Now > 40*time.Second {
				b.Loss, b.Delay = 0, 5*time.Millisecond
			}
		})
		if who := p.holders(all, "x"); len(who) != 1 {
			t.Fatalf("seed %d: held by %q after calm", seed, who)
		}
	}
}

// A holder that comes straight back takes its duty up again long before its
// grants have ended, and takes no other's.
func TestStraightBack(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		b := simnet.New(seed)
		b.Delay = 5 * time.Millisecond
		names := []string{"a", "b", "c", "d", "e"}
		ms := map[string]*Manager{}
		start := func(n string) {
			ms[n] = New(b.Now, b.Rng.Uint64(), n, []string{"x", "y"})
			ms[n].SetElectorate(b.Now, 1, names, false)
		}
		for _, n := range names {
			start(n)
		}
		p := &cluster{b, ms}
		p.run(names, func(string) {})
		b.Run(6*time.Second, nil)
		held := func(d string) string { return p.holders(names, d) }
		x, y := held("x"), held("y")
		ms[x] = nil
		b.Run(b.Now+300*time.Millisecond, nil)
		start(x)
		b.Run(b.Now+300*time.Millisecond, nil)
		if got := held("x"); got != x {
			t.Fatalf("seed %d: %s was back after 300 ms, 300 ms later x is held by %q", seed, x, got)
		}
		if got := held("y"); got != y {
			t.Fatalf("seed %d: y went from %q to %q", seed, y, got)
		}
	}
}

// Answers that take longer than the time between two questions renew all the same.
func TestSlowAnswersRenew(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		b := simnet.New(seed)
		b.Delay = 170 * time.Millisecond
		names := []string{"a", "b", "c", "d", "e"}
		ms := map[string]*Manager{}
		for _, n := range names {
			ms[n] = withPeers(New(0, b.Rng.Uint64(), n, []string{"x"}), names)
		}
		p := &cluster{b, ms}
		p.run(names, func(string) {})
		b.Run(10*time.Second, nil)
		if len(p.holders(names, "x")) != 1 {
			t.Fatalf("seed %d: held by %q", seed, p.holders(names, "x"))
		}
		lost := 0
		b.Run(40*time.Second, func() {
			if p.holders(names, "x") == "" {
				lost++
			}
		})
		if lost > 0 {
			t.Errorf("seed %d: the lease is lost while answers take up to 340 ms", seed)
		}
	}
}

// Words from who has no vote, or of another electorate, are dropped and counted.
func TestForeignWordsAreDropped(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
	late := 10 * time.Second
	for i, word := range []struct {
		from string
		msg  any
	}{{"z", Request{"x", 1, 9, false}}, {"b", Request{"x", 7, 9, false}}, {"b", Request{"y", 1, 9, false}}, {"z", Grant{"x", 1, 9, true, "a"}}, {"b", Grant{"x", 7, 9, true, "a"}}} {
		if out := manager.Recv(late, word.from, word.msg); len(out) > 0 || manager.Dropped != uint64(i+1) || manager.Holder(late, "x") != "" {
			t.Errorf("%+v: answered %v, %d dropped", word, out, manager.Dropped)
		}
	}
}
