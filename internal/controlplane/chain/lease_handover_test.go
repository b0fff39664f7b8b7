package chain

import (
	"fmt"
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/lease"
)

// leaseCluster is a cluster whose machines hold several duties under leases. It measures how
// long each duty is without a holder.
type leaseCluster struct {
	*cluster
	duties            []string
	leases            map[string]*lease.Manager
	startedGeneration map[string]int
	driving           map[string]bool
	lastHeldAt        map[string]time.Duration // by duty: when it last had a holder
	longestGap        map[string]time.Duration // by duty: the longest time without a holder since the last reset
}

func newLeaseCluster(t *testing.T, seed uint64, machineCount, maxFailures int, delay time.Duration) *leaseCluster {
	l := &leaseCluster{cluster: newCluster(t, seed, machines(machineCount), maxFailures), duties: []string{"poll", "track/0", "track/1", "track/2", "track/3", "track/4", "track/5"},
		leases: map[string]*lease.Manager{}, startedGeneration: map[string]int{}, driving: map[string]bool{},
		lastHeldAt: map[string]time.Duration{}, longestGap: map[string]time.Duration{}}
	l.network.Delay = delay
	l.afterStep = l.updateElectorate
	return l
}

// newSettledLeaseCluster returns a leaseCluster in which all duties have a holder.
func newSettledLeaseCluster(t *testing.T, seed uint64, machineCount, maxFailures int, delay time.Duration) *leaseCluster {
	l := newLeaseCluster(t, seed, machineCount, maxFailures, delay)
	l.faultsStopped = true
	l.runUntil(8*time.Second + time.Duration(l.network.Rng.Int64N(int64(time.Second))))
	for _, d := range l.duties {
		if l.holder(d) == "" {
			l.fail("%s has no holder at the start", d)
		}
	}
	l.longestGap = map[string]time.Duration{}
	return l
}

// runUntil runs the simulation until a time and records the holders after every event.
func (l *leaseCluster) runUntil(until time.Duration) {
	l.network.Run(until, func() {
		for _, d := range l.duties {
			if l.holder(d) != "" {
				l.lastHeldAt[d] = l.network.Now
			}
			l.longestGap[d] = max(l.longestGap[d], l.network.Now-l.lastHeldAt[d])
		}
	})
}

// holder returns the holder of a duty, or "", and fails if there are two.
func (l *leaseCluster) holder(duty string) (holder string) {
	for _, n := range l.names {
		if l.chains[n] == nil || l.leases[n] == nil || l.startedGeneration[n] != l.generation[n] {
			continue
		}
		if _, ok := l.leases[n].Holds(l.network.Now, duty); ok {
			if holder != "" {
				l.fail("%s and %s both hold %s", holder, n, duty)
			}
			holder = n
		}
	}
	return holder
}

// driveLeases is a machine's lease loop; a restarted process starts with fresh state.
func (l *leaseCluster) driveLeases(n string) {
	defer l.network.After(constants.LeaseTick, func() { l.driveLeases(n) })
	if l.chains[n] == nil || l.frozen[n] {
		return
	}
	if l.leases[n] == nil || l.startedGeneration[n] != l.generation[n] {
		l.startedGeneration[n] = l.generation[n]
		l.leases[n] = lease.New(l.network.Now, l.network.Rng.Uint64()>>32, n, l.duties)
	}
	l.updateElectorate(n)
	l.sendLeases(n, l.leases[n].Tick(l.network.Now))
}

// updateElectorate passes a machine's view on to its leases, as the daemon does after each
// step.
func (l *leaseCluster) updateElectorate(n string) {
	if !l.driving[n] {
		l.driving[n] = true
		l.driveLeases(n)
	}
	if l.leases[n] != nil && l.startedGeneration[n] == l.generation[n] {
		g := l.chains[n].Status()
		l.leases[n].SetElectorate(l.network.Now, g.View.Epoch, g.View.VoterAddrs(), l.chains[n].ElectorateUncertain())
	}
}

func (l *leaseCluster) sendLeases(n string, out []lease.Send) {
	for _, s := range out {
		generation := l.generation[s.To]
		l.network.Send(n, s.To, func() {
			l.runInGeneration(s.To, generation, func() { l.sendLeases(s.To, l.leases[s.To].Recv(l.network.Now, n, s.Msg)) })
		})
	}
}

// runInGeneration runs f on a machine unless its process has been restarted; on a frozen machine
// after it resumes.
func (l *leaseCluster) runInGeneration(n string, generation int, f func()) {
	switch {
	case l.chains[n] == nil || l.generation[n] != generation || l.startedGeneration[n] != generation:
	case l.frozen[n]:
		l.pending[n] = append(l.pending[n], func() { l.runInGeneration(n, generation, f) })
	default:
		f()
	}
}

// stopGracefully stops a machine as the daemon does: it releases its duties and waits for a
// view without it.
func (l *leaseCluster) stopGracefully(n string) {
	l.sendLeases(n, l.leases[n].Resign(l.network.Now))
	startedAt := l.network.Now
	l.cluster.step(n, l.generation[n], func(ch *Chain) []Effect { return ch.Leave(l.network.Now) })
	for end := startedAt + constants.LeaveTimeout; !l.chains[n].HasLeft() && l.chains[n].CanLeave() && l.network.Now < end; {
		l.runUntil(l.network.Now + constants.ChainTick/2)
	}
	l.kill(n)
}

// TestLeaseGapsWhenAMachineRestarts stops a machine gracefully or kills it, and restarts it
// soon after. No lease of another machine may lapse. A duty of a machine that stops gracefully
// must pass to a successor within the few messages that this takes, whenever the view change
// happens. A duty of a killed machine must be resumed by the restarted machine or, once the
// lease has expired, by another. A restart shorter than MemberTimeout must not change the view.
func TestLeaseGapsWhenAMachineRestarts(t *testing.T) {
	for _, f := range []struct{ n, maxFailures int }{{3, 1}, {6, 2}} {
		for _, delay := range []time.Duration{5 * time.Millisecond, 60 * time.Millisecond} {
			for _, graceful := range []bool{true, false} {
				for _, downtime := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
					t.Run(fmt.Sprintf("machines=%d delay=%v graceful=%v downtime=%v", f.n, delay, graceful, downtime), func(t *testing.T) {
						t.Parallel()
						var worst time.Duration
						for seed := uint64(1); seed <= 8; seed++ {
							worst = max(worst, stopAndRestart(t, seed, f.n, f.maxFailures, delay, downtime, graceful))
						}
						t.Logf("at most %v without a holder", worst)
					})
				}
			}
		}
	}
}

// stopAndRestart stops and restarts one machine and returns the longest time for which one of
// its duties had no holder.
func stopAndRestart(t *testing.T, seed uint64, machineCount, maxFailures int, delay, downtime time.Duration, graceful bool) (worst time.Duration) {
	t.Helper()
	l := newSettledLeaseCluster(t, seed, machineCount, maxFailures, delay)
	x := l.names[int(seed)%len(l.names)]
	before := map[string]string{}
	for _, d := range l.duties {
		before[d] = l.holder(d)
	}
	views := len(l.views)
	if graceful {
		l.stopGracefully(x)
	} else {
		l.kill(x)
	}
	l.runUntil(l.network.Now + downtime)
	l.start(x, false)
	l.runUntil(l.network.Now + 5*time.Second)
	// One tick, then three messages: a Release or the current state, a Request, and its answer.
	exchange := constants.LeaseTick + 3*delay
	bound := exchange
	if !graceful {
		// The last observation of the holder before the kill may be up to a renewal old; the
		// other machines wait for the grant to expire.
		bound = constants.LeaseRenewInterval/2 + exchange + min(downtime, constants.LeaseDuration+constants.LeaseMargin)
	}
	for _, d := range l.duties {
		if before[d] != x {
			if l.longestGap[d] > 0 {
				l.fail("%s of %s lapsed for %v while %s was down", d, before[d], l.longestGap[d], x)
			}
			continue
		}
		worst = max(worst, l.longestGap[d])
		if l.longestGap[d] > bound {
			l.fail("%s had no holder for %v, more than %v, while %s was down", d, l.longestGap[d], bound, x)
		}
	}
	if n := len(l.views) - views; !graceful && downtime < constants.MemberTimeout-constants.HeartbeatInterval-2*delay && n > 0 {
		l.fail("a restart of %v caused %d views", downtime, n)
	}
	return worst
}

// TestSingleHolderWhileVotersChange replaces, partitions, freezes, kills and wipes voters while
// leases are in use. A duty must never have two holders.
func TestSingleHolderWhileVotersChange(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			l := newLeaseCluster(t, seed, []int{3, 6}[seed%2], []int{1, 2}[seed%2], []time.Duration{5, 60, 250}[seed/2%3]*time.Millisecond)
			l.network.Loss = []float64{0, 0.05}[seed/6%2]
			l.maxFaultGap = 2 * time.Second
			l.network.After(5*time.Second, func() { l.injectFaults(8) })
			l.runUntil(40 * time.Second)
		})
	}
}

// setPairCut cuts or restores the path between two machines in both directions.
func (c *cluster) setPairCut(a, b string, cut bool) {
	c.network.Cut(a, b, cut)
	c.network.Cut(b, a, cut)
}

// TestAcceptedElectorateStopsGrants checks a voter, c, that has accepted a view with another
// electorate and does not learn that it was decided. It must not grant leases to voters of
// the old electorate: together with a, which is not in the new electorate and did not learn
// of it, c would form a majority of the old one.
func TestAcceptedElectorateStopsGrants(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		l := newSettledLeaseCluster(t, seed, 3, 1, 10*time.Millisecond)
		l.setPairCut("a", "b", true)
		l.setPairCut("a", "c", true)
		l.runUntil(l.network.Now + 2*time.Second)
		old := l.chains["b"].View().Epoch
		l.addMachine("d")
		l.setPairCut("a", "d", true)
		for end := l.network.Now + catchUp; l.chains["b"].View().Epoch == old; {
			if l.network.Now > end {
				l.fail("d did not replace a")
			}
			l.runUntil(l.network.Now + time.Millisecond/4)
		}
		l.setPairCut("b", "c", true)
		l.setPairCut("d", "c", true)
		l.setPairCut("a", "c", false)
		if l.chains["c"].View().Epoch != old {
			l.fail("c has learned of the new electorate")
		}
		l.runUntil(l.network.Now + 10*time.Second) // fails on two holders at once
		for _, d := range l.duties {
			if h := l.holder(d); h != "b" && h != "d" {
				l.fail("%s is held by %q", d, h)
			}
		}
	}
}
