package chain

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/duty"
	"slateridge/internal/lease"
	"slateridge/internal/usage"
)

const testDuty = "usage"

// platformCall is a call that the simulated platform accepted.
type platformCall struct {
	at     time.Duration
	holder string
	fence  uint64
	key    uint64
	body   string
}

// dutyCluster is a cluster with a duty, a simulated platform, and proxies that count usage.
type dutyCluster struct {
	*cluster
	leases            map[string]*lease.Manager
	holders           map[string]*duty.Holder
	tallies           map[string]*usage.Tally
	startedGeneration map[string]int
	startedAt         map[string]time.Duration
	meters            map[string]*usage.Meter
	actualCounts      map[uint64]usage.Counts

	windowLength, delay, leaseLength time.Duration // usage window, usageDelay, lease
	platformDown, platformSlow       bool
	fence                            uint64
	holderByFence                    map[uint64]string // by fence
	reported                         map[uint64]string // body by window
	calls                            []platformCall
	refusedCalls, lostCalls          int
}

// epoch is the time of day at the start of the simulation.
var epoch = time.Unix(1_800_000_000, 0)

func (w *dutyCluster) wallClock() time.Time  { return epoch.Add(w.network.Now) }
func (w *dutyCluster) currentWindow() uint64 { return usage.Window(w.wallClock(), w.windowLength) }

func newDutyCluster(t *testing.T, seed uint64, names []string, maxFailures int, windowLength, delay, leaseLength time.Duration) *dutyCluster {
	w := &dutyCluster{cluster: newCluster(t, seed, names, maxFailures), leases: map[string]*lease.Manager{}, holders: map[string]*duty.Holder{},
		tallies: map[string]*usage.Tally{}, startedGeneration: map[string]int{}, startedAt: map[string]time.Duration{}, meters: map[string]*usage.Meter{},
		windowLength: windowLength, delay: delay, leaseLength: leaseLength, actualCounts: map[uint64]usage.Counts{}, holderByFence: map[uint64]string{}, reported: map[uint64]string{}}
	w.afterStep = w.updateElectorate
	for _, n := range names {
		w.driveDuties(n)
	}
	for _, p := range []string{"p", "q"} {
		w.meters[p] = usage.NewMeter(w.network.Rng.Uint64())
		w.runProxy(p)
	}
	return w
}

// driveDuties is a machine's duty loop; a restarted process starts with fresh state.
func (w *dutyCluster) driveDuties(n string) {
	defer w.network.After(constants.DutyTick, func() { w.driveDuties(n) })
	if w.chains[n] == nil || w.frozen[n] {
		return
	}
	if w.leases[n] == nil || w.startedGeneration[n] != w.generation[n] {
		w.startedGeneration[n], w.startedAt[n] = w.generation[n], w.network.Now
		w.leases[n] = lease.New(w.network.Now, w.network.Rng.Uint64(), n, []string{testDuty})
		w.holders[n] = duty.NewHolder(testDuty, n, w.leaseLength, 50, rand.New(rand.NewPCG(w.seed, w.network.Rng.Uint64())))
		w.tallies[n] = usage.NewTally(w.network.Rng.Uint64())
	}
	l, h := w.leases[n], w.holders[n]
	w.updateElectorate(n)
	w.sendLease(n, l.Tick(w.network.Now))
	since, _ := l.Holds(w.network.Now, testDuty)
	rec := w.record(n)
	w.applyEffects(n, h.Step(w.network.Now, l.Expiry(w.network.Now, testDuty), rec, func(after uint64) (uint64, []byte, bool) {
		return w.tallies[n].NextWindow(usage.Timing{Monotonic: w.network.Now, Agreed: w.wallClock(), HeldFor: w.network.Now - since}, after, w.windowLength, w.delay, []string{"p", "q"})
	}))
}

// updateElectorate passes a machine's view on to its leases, as the daemon does after each
// step.
func (w *dutyCluster) updateElectorate(n string) {
	if w.leases[n] != nil && w.startedGeneration[n] == w.generation[n] {
		g := w.chains[n].Status()
		w.leases[n].SetElectorate(w.network.Now, g.View.Epoch, g.View.VoterAddrs(), w.chains[n].ElectorateUncertain())
	}
}

func (w *dutyCluster) record(n string) (r duty.Record) {
	if c := w.chains[n].Committed(); c != nil {
		r = c.Duties[testDuty]
	}
	return r
}

// runInGeneration runs f on a machine unless its process has been restarted; on a frozen machine
// after it resumes.
func (w *dutyCluster) runInGeneration(n string, generation int, f func()) {
	if w.generation[n] != generation || w.chains[n] == nil || w.startedGeneration[n] != generation {
		return
	}
	if w.frozen[n] {
		w.pending[n] = append(w.pending[n], func() { w.runInGeneration(n, generation, f) })
		return
	}
	f()
}

func (w *dutyCluster) sendLease(n string, out []lease.Send) {
	for _, s := range out {
		w.network.Send(n, s.To, func() {
			w.runInGeneration(s.To, w.generation[s.To], func() { w.sendLease(s.To, w.leases[s.To].Recv(w.network.Now, n, s.Msg)) })
		})
	}
}

func (w *dutyCluster) applyEffects(n string, out []duty.Effect) {
	generation := w.generation[n]
	for _, x := range out {
		switch x := x.(type) {
		case duty.Order:
			w.step(n, generation, func(ch *Chain) []Effect { return ch.SubmitDutyOrder(w.network.Now, x) })
		case duty.Yield:
			w.sendLease(n, w.leases[n].Resign(w.network.Now, testDuty))
		case duty.Call:
			if _, ok := w.leases[n].Holds(w.network.Now, testDuty); !ok {
				w.fail("%s calls for window %d with fence %d without holding the lease", n, x.Key, x.Fence)
			}
			w.network.Send(n, "platform", func() { w.onPlatformCall(n, generation, x) })
		}
	}
}

// onPlatformCall handles a call at the platform, checks the invariants, and answers, possibly
// late.
func (w *dutyCluster) onPlatformCall(n string, generation int, p duty.Call) {
	if w.platformDown {
		w.lostCalls++
		return
	}
	status := 200
	if h, ok := w.holderByFence[p.Fence]; ok && h != n {
		w.fail("fence %d is used by %s and by %s", p.Fence, h, n)
	}
	w.holderByFence[p.Fence] = n
	if p.Fence < w.fence {
		status = 409
		w.refusedCalls++
	} else {
		w.fence = p.Fence
		if previous, ok := w.reported[p.Key]; ok && previous != string(p.Body) {
			w.fail("window %d is reported as %s and as %s", p.Key, previous, p.Body)
		}
		w.reported[p.Key] = string(p.Body)
		w.calls = append(w.calls, platformCall{w.network.Now, n, p.Fence, p.Key, string(p.Body)})
		if len(w.calls) > 2000 {
			w.calls = w.calls[1000:]
		}
		w.checkHolderTurns()
		w.checkNotOvercounted(p.Key, p.Body)
	}
	delay := time.Duration(0)
	if w.platformSlow {
		delay = time.Duration(w.network.Rng.IntN(4000)) * time.Millisecond
	}
	w.network.After(delay, func() {
		w.network.Send("platform", n, func() {
			w.runInGeneration(n, generation, func() { w.applyEffects(n, w.holders[n].HandleResponse(w.network.Now, p.ID, status)) })
		})
	})
}

// checkHolderTurns fails if a holder calls again within leaseLength of its own previous call
// although another holder called in between.
func (w *dutyCluster) checkHolderTurns() {
	last := w.calls[len(w.calls)-1]
	other := false
	for i := len(w.calls) - 2; i >= 0 && last.at-w.calls[i].at < w.leaseLength; i-- {
		if w.calls[i].holder != last.holder {
			other = true
		} else if other {
			w.fail("%s calls again %v after its previous call, with a call of another holder in between", last.holder, last.at-w.calls[i].at)
		}
	}
}

// checkNotOvercounted fails if a report counts more requests than there were, and returns the
// reported counts.
func (w *dutyCluster) checkNotOvercounted(key uint64, body []byte) usage.Counts {
	var r struct{ InstanceCounts usage.Counts }
	if err := json.Unmarshal(body, &r); err != nil {
		w.fail("window %d: %v", key, err)
	}
	for tenant, n := range r.InstanceCounts {
		if n > w.actualCounts[key][tenant] {
			w.fail("window %d counts %d requests of %s, there were %d", key, n, tenant, w.actualCounts[key][tenant])
		}
	}
	return r.InstanceCounts
}

// runProxy counts requests and sends reports to the machines that may hold the duty.
func (w *dutyCluster) runProxy(p string) {
	for range w.network.Rng.IntN(8) {
		tenant, k := []string{"x", "y", "z"}[w.network.Rng.IntN(3)], w.currentWindow()
		w.meters[p].BeginRequest(k)
		w.network.After(time.Duration(w.network.Rng.IntN(700))*time.Millisecond, func() {
			w.meters[p].Count(k, tenant)
			w.meters[p].EndRequest(k)
			if w.actualCounts[k] == nil {
				w.actualCounts[k] = usage.Counts{}
			}
			w.actualCounts[k][tenant]++
		})
	}
	if t, some := w.meters[p].NextReport(p, w.currentWindow()); some {
		for _, n := range w.names {
			if l := w.leases[n]; l != nil && w.chains[n] != nil && l.Expiry(w.network.Now, testDuty) > 0 {
				for range 1 + w.network.Rng.IntN(2) { // some reports arrive twice
					w.network.Send(p, n, func() {
						w.runInGeneration(n, w.generation[n], func() {
							h, ok := w.tallies[n].Merge(w.network.Now, w.currentWindow(), t)
							if ok && w.leases[n].Expiry(w.network.Now, testDuty) > 0 {
								w.network.Send(n, p, func() { w.meters[p].Acknowledge(t, h) })
							}
						})
					})
				}
			}
		}
	}
	w.network.After(200*time.Millisecond, func() { w.runProxy(p) })
}

// TestDutyUnderFaults runs a duty with many seeds while its holders are killed, frozen,
// partitioned and lose disks, all processes stop at once, and the platform is down or slow. At
// each call it checks that a fence has one holder, that a window has one content, that holders
// do not alternate within one lease, that nothing is sent without the lease, and that nothing
// is overcounted. After the faults end, every window must be reported with exact counts.
func TestDutyUnderFaults(t *testing.T) {
	fences, windows, refused, lost := 0, 0, 0, 0
	for seed := uint64(1); seed <= 80; seed++ {
		names := [][]string{threeMachines, {"a", "b", "c", "d", "e", "f"}}[seed%2]
		// Every other pair of seeds has short windows and a long lease: holders that come
		// back would call again soon, and must wait.
		windowLength, delay, leaseLength := 2*time.Second, 5*time.Second, 3*time.Second
		if seed/2%2 == 0 {
			windowLength, delay, leaseLength = 400*time.Millisecond, 3*time.Second, 7*time.Second
		}
		w := newDutyCluster(t, seed, names, 1+int(seed%2), windowLength, delay, leaseLength)
		w.network.Loss = []float64{0, 0.02, 0.1}[seed%3]
		w.network.Delay = []time.Duration{5, 40, 200}[seed/3%3] * time.Millisecond
		w.maxFaultGap = []time.Duration{2, 6}[seed/9%2] * time.Second
		w.network.After(100*time.Millisecond, w.runOperator)
		w.network.After(5*time.Second, func() { w.injectFaults(6) })
		var platform func()
		platform = func() {
			w.platformDown, w.platformSlow = !w.faultsStopped && w.network.Rng.IntN(4) == 0, !w.faultsStopped && w.network.Rng.IntN(3) == 0
			w.network.After(time.Duration(w.network.Rng.IntN(5000))*time.Millisecond, platform)
		}
		w.network.After(6*time.Second, platform)
		// From time to time the machine that made the last call is killed.
		var killCaller func()
		killCaller = func() {
			if n := len(w.calls); n > 0 && !w.faultsStopped {
				h := w.calls[n-1].holder
				if w.chains[h] != nil && !w.frozen[h] {
					w.chains[h], w.recoveredAt[h] = nil, 1<<62
					w.generation[h]++
					w.network.After(time.Duration(w.network.Rng.IntN(3000))*time.Millisecond, func() { w.start(h, false); w.recoveredAt[h] = w.network.Now })
				}
			}
			w.network.After(time.Duration(4+w.network.Rng.IntN(9))*time.Second, killCaller)
		}
		w.network.After(9*time.Second, killCaller)
		w.network.Run(60*time.Second, nil)
		w.platformDown, w.platformSlow = false, false
		w.checkRecovery()
		from := w.currentWindow()
		w.network.Run(w.network.Now+8*w.windowLength+w.delay+w.leaseLength, nil)
		for k := from + 1; k < from+7; k++ {
			body, ok := w.reported[k]
			if !ok {
				w.fail("window %d was not reported after the faults ended; last call %+v, record %+v", k, w.calls[max(0, len(w.calls)-1):], w.record("a"))
			}
			got := w.checkNotOvercounted(k, []byte(body))
			for tenant, n := range w.actualCounts[k] {
				if got[tenant] != n {
					w.fail("window %d after the faults ended: %s has %d of %d requests", k, tenant, got[tenant], n)
				}
			}
		}
		fences += len(w.holderByFence)
		windows += len(w.reported)
		refused += w.refusedCalls
		lost += w.lostCalls
	}
	if fences < 160 || windows < 1200 || lost < 20 {
		t.Errorf("%d fences, %d windows, %d calls refused, %d calls lost over all seeds: too few for a meaningful test", fences, windows, refused, lost)
	}
	t.Logf("%d fences, %d windows, %d calls refused, %d calls lost", fences, windows, refused, lost)
}
