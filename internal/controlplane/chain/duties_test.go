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

func (d *dutyCluster) wallClock() time.Time  { return epoch.Add(d.network.Now) }
func (d *dutyCluster) currentWindow() uint64 { return usage.Window(d.wallClock(), d.windowLength) }

func newDutyCluster(t *testing.T, seed uint64, names []string, maxFailures int, windowLength, delay, leaseLength time.Duration) *dutyCluster {
	d := &dutyCluster{cluster: newCluster(t, seed, names, maxFailures), leases: map[string]*lease.Manager{}, holders: map[string]*duty.Holder{},
		tallies: map[string]*usage.Tally{}, startedGeneration: map[string]int{}, startedAt: map[string]time.Duration{}, meters: map[string]*usage.Meter{},
		windowLength: windowLength, delay: delay, leaseLength: leaseLength, actualCounts: map[uint64]usage.Counts{}, holderByFence: map[uint64]string{}, reported: map[uint64]string{}}
	d.afterStep = d.updateElectorate
	for _, n := range names {
		d.driveDuties(n)
	}
	for _, p := range []string{"p", "q"} {
		d.meters[p] = usage.NewMeter(d.network.Rng.Uint64())
		d.runProxy(p)
	}
	return d
}

// driveDuties is a machine's duty loop; a restarted process starts with fresh state.
func (d *dutyCluster) driveDuties(n string) {
	defer d.network.After(constants.DutyTick, func() { d.driveDuties(n) })
	if d.chains[n] == nil || d.frozen[n] {
		return
	}
	if d.leases[n] == nil || d.startedGeneration[n] != d.generation[n] {
		d.startedGeneration[n], d.startedAt[n] = d.generation[n], d.network.Now
		d.leases[n] = lease.New(d.network.Now, d.network.Rng.Uint64(), n, []string{testDuty})
		d.holders[n] = duty.NewHolder(testDuty, n, d.leaseLength, 50, rand.New(rand.NewPCG(d.seed, d.network.Rng.Uint64())))
		d.tallies[n] = usage.NewTally(d.network.Rng.Uint64())
	}
	l, h := d.leases[n], d.holders[n]
	d.updateElectorate(n)
	d.sendLease(n, l.Tick(d.network.Now))
	since, _ := l.Holds(d.network.Now, testDuty)
	rec := d.record(n)
	d.applyEffects(n, h.Step(d.network.Now, l.Expiry(d.network.Now, testDuty), rec, func(after uint64) (uint64, []byte, bool) {
		return d.tallies[n].NextWindow(usage.Timing{Monotonic: d.network.Now, Agreed: d.wallClock(), HeldFor: d.network.Now - since}, after, d.windowLength, d.delay, []string{"p", "q"})
	}))
}

// updateElectorate passes a machine's view on to its leases, as the daemon does after each
// step.
func (d *dutyCluster) updateElectorate(n string) {
	if d.leases[n] != nil && d.startedGeneration[n] == d.generation[n] {
		g := d.chains[n].Status()
		d.leases[n].SetElectorate(d.network.Now, g.View.Epoch, g.View.VoterAddrs(), d.chains[n].ElectorateUncertain())
	}
}

func (d *dutyCluster) record(n string) (r duty.Record) {
	if c := d.chains[n].Committed(); c != nil {
		r = c.Duties[testDuty]
	}
	return r
}

// runInGeneration runs f on a machine unless its process has been restarted; on a frozen machine
// after it resumes.
func (d *dutyCluster) runInGeneration(n string, generation int, f func()) {
	if d.generation[n] != generation || d.chains[n] == nil || d.startedGeneration[n] != generation {
		return
	}
	if d.frozen[n] {
		d.pending[n] = append(d.pending[n], func() { d.runInGeneration(n, generation, f) })
		return
	}
	f()
}

func (d *dutyCluster) sendLease(n string, out []lease.Send) {
	for _, s := range out {
		d.network.Send(n, s.To, func() {
			d.runInGeneration(s.To, d.generation[s.To], func() { d.sendLease(s.To, d.leases[s.To].Recv(d.network.Now, n, s.Msg)) })
		})
	}
}

func (d *dutyCluster) applyEffects(n string, out []duty.Effect) {
	generation := d.generation[n]
	for _, x := range out {
		switch x := x.(type) {
		case duty.Order:
			d.step(n, generation, func(ch *Chain) []Effect { return ch.SubmitDutyOrder(d.network.Now, x) })
		case duty.Yield:
			d.sendLease(n, d.leases[n].Resign(d.network.Now, testDuty))
		case duty.Call:
			if _, ok := d.leases[n].Holds(d.network.Now, testDuty); !ok {
				d.fail("%s calls for window %d with fence %d without holding the lease", n, x.Key, x.Fence)
			}
			d.network.Send(n, "platform", func() { d.onPlatformCall(n, generation, x) })
		}
	}
}

// onPlatformCall handles a call at the platform, checks the invariants, and answers, possibly
// late.
func (d *dutyCluster) onPlatformCall(n string, generation int, p duty.Call) {
	if d.platformDown {
		d.lostCalls++
		return
	}
	status := 200
	if h, ok := d.holderByFence[p.Fence]; ok && h != n {
		d.fail("fence %d is used by %s and by %s", p.Fence, h, n)
	}
	d.holderByFence[p.Fence] = n
	if p.Fence < d.fence {
		status = 409
		d.refusedCalls++
	} else {
		d.fence = p.Fence
		if previous, ok := d.reported[p.Key]; ok && previous != string(p.Body) {
			d.fail("window %d is reported as %s and as %s", p.Key, previous, p.Body)
		}
		d.reported[p.Key] = string(p.Body)
		d.calls = append(d.calls, platformCall{d.network.Now, n, p.Fence, p.Key, string(p.Body)})
		if len(d.calls) > 2000 {
			d.calls = d.calls[1000:]
		}
		d.checkHolderTurns()
		d.checkNotOvercounted(p.Key, p.Body)
	}
	delay := time.Duration(0)
	if d.platformSlow {
		delay = time.Duration(d.network.Rng.IntN(4000)) * time.Millisecond
	}
	d.network.After(delay, func() {
		d.network.Send("platform", n, func() {
			d.runInGeneration(n, generation, func() { d.applyEffects(n, d.holders[n].HandleResponse(d.network.Now, p.ID, status)) })
		})
	})
}

// checkHolderTurns fails if a holder calls again within leaseLength of its own previous call
// although another holder called in between.
func (d *dutyCluster) checkHolderTurns() {
	last := d.calls[len(d.calls)-1]
	other := false
	for i := len(d.calls) - 2; i >= 0 && last.at-d.calls[i].at < d.leaseLength; i-- {
		if d.calls[i].holder != last.holder {
			other = true
		} else if other {
			d.fail("%s calls again %v after its previous call, with a call of another holder in between", last.holder, last.at-d.calls[i].at)
		}
	}
}

// checkNotOvercounted fails if a report counts more requests than there were, and returns the
// reported counts.
func (d *dutyCluster) checkNotOvercounted(key uint64, body []byte) usage.Counts {
	var r struct{ InstanceCounts usage.Counts }
	if err := json.Unmarshal(body, &r); err != nil {
		d.fail("window %d: %v", key, err)
	}
	for tenant, n := range r.InstanceCounts {
		if n > d.actualCounts[key][tenant] {
			d.fail("window %d counts %d requests of %s, there were %d", key, n, tenant, d.actualCounts[key][tenant])
		}
	}
	return r.InstanceCounts
}

// runProxy counts requests and sends reports to the machines that may hold the duty.
func (d *dutyCluster) runProxy(p string) {
	for range d.network.Rng.IntN(8) {
		tenant, k := []string{"x", "y", "z"}[d.network.Rng.IntN(3)], d.currentWindow()
		d.meters[p].BeginRequest(k)
		d.network.After(time.Duration(d.network.Rng.IntN(700))*time.Millisecond, func() {
			d.meters[p].Count(k, tenant)
			d.meters[p].EndRequest(k)
			if d.actualCounts[k] == nil {
				d.actualCounts[k] = usage.Counts{}
			}
			d.actualCounts[k][tenant]++
		})
	}
	if t, some := d.meters[p].NextReport(p, d.currentWindow()); some {
		for _, n := range d.names {
			if l := d.leases[n]; l != nil && d.chains[n] != nil && l.Expiry(d.network.Now, testDuty) > 0 {
				for range 1 + d.network.Rng.IntN(2) { // some reports arrive twice
					d.network.Send(p, n, func() {
						d.runInGeneration(n, d.generation[n], func() {
							h, ok := d.tallies[n].Merge(d.network.Now, d.currentWindow(), t)
							if ok && d.leases[n].Expiry(d.network.Now, testDuty) > 0 {
								d.network.Send(n, p, func() { d.meters[p].Acknowledge(t, h) })
							}
						})
					})
				}
			}
		}
	}
	d.network.After(200*time.Millisecond, func() { d.runProxy(p) })
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
		d := newDutyCluster(t, seed, names, 1+int(seed%2), windowLength, delay, leaseLength)
		d.network.Loss = []float64{0, 0.02, 0.1}[seed%3]
		d.network.Delay = []time.Duration{5, 40, 200}[seed/3%3] * time.Millisecond
		d.maxFaultGap = []time.Duration{2, 6}[seed/9%2] * time.Second
		d.network.After(100*time.Millisecond, d.runOperator)
		d.network.After(5*time.Second, func() { d.injectFaults(6) })
		var platform func()
		platform = func() {
			d.platformDown, d.platformSlow = !d.faultsStopped && d.network.Rng.IntN(4) == 0, !d.faultsStopped && d.network.Rng.IntN(3) == 0
			d.network.After(time.Duration(d.network.Rng.IntN(5000))*time.Millisecond, platform)
		}
		d.network.After(6*time.Second, platform)
		// From time to time the machine that made the last call is killed.
		var killCaller func()
		killCaller = func() {
			if n := len(d.calls); n > 0 && !d.faultsStopped {
				h := d.calls[n-1].holder
				if d.chains[h] != nil && !d.frozen[h] {
					d.chains[h], d.recoveredAt[h] = nil, 1<<62
					d.generation[h]++
					d.network.After(time.Duration(d.network.Rng.IntN(3000))*time.Millisecond, func() { d.start(h, false); d.recoveredAt[h] = d.network.Now })
				}
			}
			d.network.After(time.Duration(4+d.network.Rng.IntN(9))*time.Second, killCaller)
		}
		d.network.After(9*time.Second, killCaller)
		d.network.Run(60*time.Second, nil)
		d.platformDown, d.platformSlow = false, false
		d.checkRecovery()
		from := d.currentWindow()
		d.network.Run(d.network.Now+8*d.windowLength+d.delay+d.leaseLength, nil)
		for k := from + 1; k < from+7; k++ {
			body, ok := d.reported[k]
			if !ok {
				d.fail("window %d was not reported after the faults ended; last call %+v, record %+v", k, d.calls[max(0, len(d.calls)-1):], d.record("a"))
			}
			got := d.checkNotOvercounted(k, []byte(body))
			for tenant, n := range d.actualCounts[k] {
				if got[tenant] != n {
					d.fail("window %d after the faults ended: %s has %d of %d requests", k, tenant, got[tenant], n)
				}
			}
		}
		fences += len(d.holderByFence)
		windows += len(d.reported)
		refused += d.refusedCalls
		lost += d.lostCalls
	}
	if fences < 160 || windows < 1200 || lost < 20 {
		t.Errorf("%d fences, %d windows, %d calls refused, %d calls lost over all seeds: too few for a meaningful test", fences, windows, refused, lost)
	}
	t.Logf("%d fences, %d windows, %d calls refused, %d calls lost", fences, windows, refused, lost)
}
