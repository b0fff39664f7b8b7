package lease

import (
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/simnet"
)

// TestOneHolder runs seeded simulations with lost messages, partitions, restarts and clocks
// whose rates differ within the lease margin, and checks after each step that no duty has two
// holders.
func TestOneHolder(t *testing.T) {
	moves := 0
	for seed := uint64(1); seed <= 300; seed++ {
		network := simnet.New(seed)
		network.Loss = []float64{0, 0.1, 0.3}[seed%3]
		network.Delay = []time.Duration{5, 100, 700}[seed/3%3] * time.Millisecond
		names := []string{"a", "b", "c", "d", "e", "f"}[:3+seed%4]
		duties := []string{"x", "y"}
		managers := map[string]*Manager{}
		incarnation := map[string]int{}
		rate := map[string]float64{} // of a machine's monotonic clock, relative to true time
		startedAt := map[string]time.Duration{}
		clock := func(n string) time.Duration { return time.Duration(float64(network.Now-startedAt[n]) * rate[n]) }
		var sendAll func(n string, out []Send)
		sendAll = func(n string, out []Send) {
			for _, s := range out {
				network.Send(n, s.To, func() {
					if manager := managers[s.To]; manager != nil {
						sendAll(s.To, manager.Recv(clock(s.To), n, s.Msg))
					}
				})
			}
		}
		var tick func(n string, started int)
		tick = func(n string, started int) {
			if incarnation[n] != started || managers[n] == nil {
				return
			}
			sendAll(n, managers[n].Tick(clock(n)))
			network.After(constants.LeaseTick, func() { tick(n, started) })
		}
		start := func(n string) {
			incarnation[n]++
			startedAt[n] = network.Now
			rate[n] = 0.95 + 0.1*network.Rng.Float64()
			managers[n] = withPeers(New(0, network.Rng.Uint64(), n, duties), names)
			tick(n, incarnation[n])
		}
		for _, n := range names {
			start(n)
		}
		var injectFault func()
		injectFault = func() {
			if network.Now > 60*time.Second {
				return
			}
			n := names[network.Rng.IntN(len(names))]
			o := names[network.Rng.IntN(len(names))]
			duration := time.Duration(network.Rng.IntN(3000)) * time.Millisecond
			switch network.Rng.IntN(3) {
			case 0:
				managers[n] = nil
				incarnation[n]++
				network.After(duration, func() {
					if managers[n] == nil {
						start(n)
					}
				})
			case 1:
				network.Cut(n, o, true)
				network.After(duration, func() { network.Cut(n, o, false) })
			case 2:
				if managers[n] != nil {
					sendAll(n, managers[n].Resign(clock(n)))
				}
			}
			network.After(time.Duration(network.Rng.IntN(2000))*time.Millisecond, injectFault)
		}
		network.After(4*time.Second, injectFault)
		lastHolder := ""
		lastHeld := map[string]time.Duration{} // when each duty was last held
		network.Run(90*time.Second, func() {
			if network.Now > 63*time.Second {
				network.Loss, network.Delay = 0, 5*time.Millisecond
			}
			for _, d := range duties {
				holder := ""
				for _, n := range names {
					if managers[n] == nil {
						continue
					}
					if _, ok := managers[n].Holds(clock(n), d); ok {
						if holder != "" {
							t.Fatalf("seed %d at %v: %s is held by %s and by %s", seed, network.Now, d, holder, n)
						}
						holder = n
					}
				}
				if holder != "" {
					lastHeld[d] = network.Now
				} else if network.Now > 72*time.Second && network.Now-lastHeld[d] > 4*time.Second {
					t.Fatalf("seed %d at %v: nobody holds %s since %v", seed, network.Now, d, lastHeld[d])
				}
				if d == "x" && holder != "" && holder != lastHolder {
					lastHolder = holder
					moves++
				}
			}
		})
	}
	if moves < 200 {
		t.Errorf("the duty moved only %d times: too few for the test to be meaningful", moves)
	}
}

// TestRestartedGrantorWaits checks that a grantor waits after a start, since it may have
// granted the duty before a restart.
func TestRestartedGrantorWaits(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
	for _, at := range []time.Duration{0, constants.LeaseDuration} {
		for _, s := range manager.Recv(at, "b", Request{"x", 1, 1, false}) {
			if g := s.Msg.(Grant); g.OK {
				t.Fatalf("granted %v after its start", at)
			}
		}
	}
	out := manager.Recv(constants.LeaseDuration+constants.LeaseMargin, "b", Request{"x", 1, 2, false})
	if len(out) != 1 || !out[0].Msg.(Grant).OK {
		t.Fatalf("not granted after the wait: %v", out)
	}
}

// TestPartitionedMachineReportsNoHolder checks that a partitioned machine, which grants itself
// what it claims, does not name itself as the holder.
func TestPartitionedMachineReportsNoHolder(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
	for now := time.Duration(0); now < 10*time.Second; now += constants.LeaseTick {
		manager.Tick(now)
		if h := manager.Holder(now, "x"); h != "" {
			t.Fatalf("at %v it reports %s as the holder", now, h)
		}
	}
}

func withPeers(manager *Manager, peers []string) *Manager {
	manager.SetElectorate(0, 1, peers, false)
	return manager
}

// cluster is a set of machines on a simulated network; a nil manager is down.
type cluster struct {
	network  *simnet.Network
	managers map[string]*Manager
}

func (c *cluster) sendAll(n string, out []Send) {
	for _, s := range out {
		c.network.Send(n, s.To, func() {
			if manager := c.managers[s.To]; manager != nil {
				c.sendAll(s.To, manager.Recv(c.network.Now, n, s.Msg))
			}
		})
	}
}

// run ticks the machines periodically and calls before ahead of each tick.
func (c *cluster) run(names []string, before func(n string)) {
	for _, n := range names {
		if c.managers[n] != nil {
			before(n)
			c.sendAll(n, c.managers[n].Tick(c.network.Now))
		}
	}
	c.network.After(constants.LeaseTick, func() { c.run(names, before) })
}

func (c *cluster) holders(names []string, duty string) (holders string) {
	for _, n := range names {
		if c.managers[n] != nil {
			if _, ok := c.managers[n].Holds(c.network.Now, duty); ok {
				holders += n
			}
		}
	}
	return holders
}

// TestElectorateGrows enlarges the electorate in seeded simulations in the way that views do: a
// majority of the old electorate has accepted the new one before it is decided, and machines
// learn of it at different times, some of them long after. There are never two holders, and in the
// end there is one.
func TestElectorateGrows(t *testing.T) {
	for seed := uint64(1); seed <= 150; seed++ {
		network := simnet.New(seed)
		network.Loss = []float64{0, 0.1}[seed%2]
		network.Delay = []time.Duration{5, 100, 400}[seed%3] * time.Millisecond
		all := []string{"a", "b", "c", "d", "e", "f", "g"}
		managers := map[string]*Manager{}
		epoch := uint64(1)
		peers := all[:3]
		known := map[string]uint64{}
		lists := map[uint64][]string{1: peers}
		accepted := map[string]bool{}
		for _, n := range all {
			managers[n] = New(0, network.Rng.Uint64(), n, []string{"x"})
			known[n] = 1
		}
		c := &cluster{network, managers}
		c.run(all, func(n string) { managers[n].SetElectorate(network.Now, known[n], lists[known[n]], accepted[n]) })
		var growElectorate func()
		growElectorate = func() {
			if len(peers) == len(all) {
				return
			}
			first := network.Rng.IntN(len(peers))
			for i := range len(peers)/2 + 1 { // these accept the new view
				n := peers[(first+i)%len(peers)]
				if known[n] != epoch {
					network.After(time.Second, growElectorate)
					return
				}
				accepted[n] = true
				managers[n].SetElectorate(network.Now, known[n], lists[known[n]], true)
			}
			epoch++
			peers = all[:len(peers)+1+network.Rng.IntN(len(all)-len(peers))]
			lists[epoch] = peers
			for _, n := range all {
				e := epoch
				network.After(time.Duration(network.Rng.IntN([]int{60, 600, 6000}[seed/3%3]))*time.Millisecond, func() {
					if known[n] < e {
						known[n], accepted[n] = e, false
					}
				})
			}
			network.After(time.Duration(network.Rng.IntN(9000))*time.Millisecond, growElectorate)
		}
		network.After(3*time.Second+time.Duration(network.Rng.IntN(3000))*time.Millisecond, growElectorate)
		network.Run(50*time.Second, func() {
			if holders := c.holders(all, "x"); len(holders) > 1 {
				t.Fatalf("seed %d at %v: held by %s", seed, network.Now, holders)
			}
			if network.Now > 40*time.Second {
				network.Loss, network.Delay = 0, 5*time.Millisecond
			}
		})
		if holders := c.holders(all, "x"); len(holders) != 1 {
			t.Fatalf("seed %d: held by %q after the faults ended", seed, holders)
		}
	}
}

// TestRestartedHolderReclaims checks that a holder that restarts quickly reclaims its duty long
// before its grants expire, and takes over no duty of another machine.
func TestRestartedHolderReclaims(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		network := simnet.New(seed)
		network.Delay = 5 * time.Millisecond
		names := []string{"a", "b", "c", "d", "e"}
		managers := map[string]*Manager{}
		start := func(n string) {
			managers[n] = New(network.Now, network.Rng.Uint64(), n, []string{"x", "y"})
			managers[n].SetElectorate(network.Now, 1, names, false)
		}
		for _, n := range names {
			start(n)
		}
		c := &cluster{network, managers}
		c.run(names, func(string) {})
		network.Run(6*time.Second, nil)
		held := func(d string) string { return c.holders(names, d) }
		x, y := held("x"), held("y")
		managers[x] = nil
		network.Run(network.Now+300*time.Millisecond, nil)
		start(x)
		network.Run(network.Now+300*time.Millisecond, nil)
		if got := held("x"); got != x {
			t.Fatalf("seed %d: %s restarted after 300 ms, but 300 ms later x is held by %q", seed, x, got)
		}
		if got := held("y"); got != y {
			t.Fatalf("seed %d: y moved from %q to %q", seed, y, got)
		}
	}
}

// TestSlowAnswersStillRenew checks that answers which take longer than the renewal interval
// still renew the lease.
func TestSlowAnswersStillRenew(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		network := simnet.New(seed)
		network.Delay = 170 * time.Millisecond
		names := []string{"a", "b", "c", "d", "e"}
		managers := map[string]*Manager{}
		for _, n := range names {
			managers[n] = withPeers(New(0, network.Rng.Uint64(), n, []string{"x"}), names)
		}
		c := &cluster{network, managers}
		c.run(names, func(string) {})
		network.Run(10*time.Second, nil)
		if len(c.holders(names, "x")) != 1 {
			t.Fatalf("seed %d: held by %q", seed, c.holders(names, "x"))
		}
		lost := 0
		network.Run(40*time.Second, func() {
			if c.holders(names, "x") == "" {
				lost++
			}
		})
		if lost > 0 {
			t.Errorf("seed %d: the lease is lost while answers take up to 340 ms", seed)
		}
	}
}

// TestForeignMessagesAreDropped checks that messages of non-voters or of another electorate are
// dropped and counted.
func TestForeignMessagesAreDropped(t *testing.T) {
	manager := withPeers(New(0, 1, "a", []string{"x"}), []string{"a", "b", "c"})
	late := 10 * time.Second
	for i, tc := range []struct {
		from string
		msg  any
	}{{"z", Request{"x", 1, 9, false}}, {"b", Request{"x", 7, 9, false}}, {"b", Request{"y", 1, 9, false}}, {"z", Grant{"x", 1, 9, true, "a"}}, {"b", Grant{"x", 7, 9, true, "a"}}} {
		if out := manager.Recv(late, tc.from, tc.msg); len(out) > 0 || manager.Dropped != uint64(i+1) || manager.Holder(late, "x") != "" {
			t.Errorf("%+v: answered %v, %d dropped", tc, out, manager.Dropped)
		}
	}
}
