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

// act is one call the stand-in platform took.
type act struct {
	at     time.Duration
	holder string
	fence  uint64
	key    uint64
	body   string
}

// dutyCluster is a core with a platform, proxies that count, and a duty.
type dutyCluster struct {
	*core
	leases      map[string]*lease.Manager
	holders     map[string]*duty.Holder
	tallies     map[string]*usage.Tally
	startedLife map[string]int
	startedAt   map[string]time.Duration
	meters      map[string]*usage.Meter
	truth       map[uint64]usage.Counts

	span, delay, turn          time.Duration // window, usageDelay, lease
	platformDown, platformSlow bool
	fence                      uint64
	holderOf                   map[uint64]string // fence -> holder
	content                    map[uint64]string // window -> body
	acts                       []act
	refused, lost              int
}

// epoch makes the simulated true time a time of day.
var epoch = time.Unix(1_800_000_000, 0)

func (w *dutyCluster) agreed() time.Time { return epoch.Add(w.network.Now) }
func (w *dutyCluster) window() uint64    { return usage.Window(w.agreed(), w.span) }

func newDutyCluster(t *testing.T, seed uint64, names []string, tolerate int, span, delay, turn time.Duration) *dutyCluster {
	w := &dutyCluster{core: newCore(t, seed, names, tolerate), leases: map[string]*lease.Manager{}, holders: map[string]*duty.Holder{},
		tallies: map[string]*usage.Tally{}, startedLife: map[string]int{}, startedAt: map[string]time.Duration{}, meters: map[string]*usage.Meter{},
		span: span, delay: delay, turn: turn, truth: map[uint64]usage.Counts{}, holderOf: map[uint64]string{}, content: map[uint64]string{}}
	w.stepped = w.elect
	for _, n := range names {
		w.drive(n)
	}
	for _, p := range []string{"p", "q"} {
		w.meters[p] = usage.NewMeter(w.network.Rng.Uint64())
		w.proxy(p)
	}
	return w
}

// drive is a machine's loop: a new life of the process begins anew.
func (w *dutyCluster) drive(n string) {
	defer w.network.After(constants.DutyTick, func() { w.drive(n) })
	if w.chain[n] == nil || w.frozen[n] {
		return
	}
	if w.leases[n] == nil || w.startedLife[n] != w.life[n] {
		w.startedLife[n], w.startedAt[n] = w.life[n], w.network.Now
		w.leases[n] = lease.New(w.network.Now, w.network.Rng.Uint64(), n, []string{testDuty})
		w.holders[n] = duty.NewHolder(testDuty, n, w.turn, 50, rand.New(rand.NewPCG(w.seed, w.network.Rng.Uint64())))
		w.tallies[n] = usage.NewTally(w.network.Rng.Uint64())
	}
	l, h := w.leases[n], w.holders[n]
	w.elect(n)
	w.lease(n, l.Tick(w.network.Now))
	since, _ := l.Holds(w.network.Now, testDuty)
	rec := w.record(n)
	w.carry(n, h.Step(w.network.Now, l.Expiry(w.network.Now, testDuty), rec, func(after uint64) (uint64, []byte, bool) {
		return w.tallies[n].Next(usage.Moment{Steady: w.network.Now, Agreed: w.agreed(), Held: w.network.Now - since}, after, w.span, w.delay, []string{"p", "q"})
	}))
}

// elect has a machine's leases follow its view, as the daemon does after each step.
func (w *dutyCluster) elect(n string) {
	if w.leases[n] != nil && w.startedLife[n] == w.life[n] {
		g := w.chain[n].Status()
		w.leases[n].SetElectorate(w.network.Now, g.View.Epoch, g.View.VoterAddrs(), w.chain[n].LeavesElectorate())
	}
}

func (w *dutyCluster) record(n string) (r duty.Record) {
	if c := w.chain[n].Committed(); c != nil {
		r = c.Duties[testDuty]
	}
	return r
}

// later runs on a machine in its present life, after it wakes if it is frozen.
func (w *dutyCluster) later(n string, life int, f func()) {
	if w.life[n] != life || w.chain[n] == nil || w.startedLife[n] != life {
		return
	}
	if w.frozen[n] {
		w.pending[n] = append(w.pending[n], func() { w.later(n, life, f) })
		return
	}
	f()
}

func (w *dutyCluster) lease(n string, out []lease.Send) {
	for _, s := range out {
		w.network.Send(n, s.To, func() {
			w.later(s.To, w.life[s.To], func() { w.lease(s.To, w.leases[s.To].Recv(w.network.Now, n, s.Msg)) })
		})
	}
}

func (w *dutyCluster) carry(n string, out []duty.Effect) {
	life := w.life[n]
	for _, x := range out {
		switch x := x.(type) {
		case duty.Order:
			w.run(n, life, func(ch *Chain) []Effect { return ch.Act(w.network.Now, x) })
		case duty.Yield:
			w.lease(n, w.leases[n].Resign(w.network.Now, testDuty))
		case duty.Call:
			if _, ok := w.leases[n].Holds(w.network.Now, testDuty); !ok {
				w.fail("%s sends %d under fence %d without the lease", n, x.Key, x.Fence)
			}
			w.network.Send(n, "platform", func() { w.platform(n, life, x) })
		}
	}
}

// platform takes a call, checks the rules, and answers, perhaps late or never.
func (w *dutyCluster) platform(n string, life int, p duty.Call) {
	if w.platformDown {
		w.lost++
		return
	}
	status := 200
	if h, ok := w.holderOf[p.Fence]; ok && h != n {
		w.fail("fence %d is sent by %s and by %s", p.Fence, h, n)
	}
	w.holderOf[p.Fence] = n
	if p.Fence < w.fence {
		status = 409
		w.refused++
	} else {
		w.fence = p.Fence
		if was, ok := w.content[p.Key]; ok && was != string(p.Body) {
			w.fail("window %d is reported as %s and as %s", p.Key, was, p.Body)
		}
		w.content[p.Key] = string(p.Body)
		w.acts = append(w.acts, act{w.network.Now, n, p.Fence, p.Key, string(p.Body)})
		if len(w.acts) > 2000 {
			w.acts = w.acts[1000:]
		}
		w.turns()
		w.noMore(p.Key, p.Body)
	}
	wait := time.Duration(0)
	if w.platformSlow {
		wait = time.Duration(w.network.Rng.IntN(4000)) * time.Millisecond
	}
	w.network.After(wait, func() {
		w.network.Send("platform", n, func() {
			w.later(n, life, func() { w.carry(n, w.holders[n].HandleResponse(w.network.Now, p.ID, status)) })
		})
	})
}

// turns fails when the newest act ends an A-B-A inside the lease.
func (w *dutyCluster) turns() {
	last := w.acts[len(w.acts)-1]
	other := false
	for i := len(w.acts) - 2; i >= 0 && last.at-w.acts[i].at < w.turn; i-- {
		if w.acts[i].holder != last.holder {
			other = true
		} else if other {
			w.fail("%s acts again %v after another did", last.holder, last.at-w.acts[i].at)
		}
	}
}

// noMore fails when a report counts what did not happen.
func (w *dutyCluster) noMore(key uint64, body []byte) usage.Counts {
	var r struct{ InstanceCounts usage.Counts }
	if err := json.Unmarshal(body, &r); err != nil {
		w.fail("window %d: %v", key, err)
	}
	for tenant, n := range r.InstanceCounts {
		if n > w.truth[key][tenant] {
			w.fail("window %d counts %d for %s, there were %d", key, n, tenant, w.truth[key][tenant])
		}
	}
	return r.InstanceCounts
}

// proxy counts requests and tells whoever it believes to hold the duty.
func (w *dutyCluster) proxy(p string) {
	for range w.network.Rng.IntN(8) {
		tenant, k := []string{"x", "y", "z"}[w.network.Rng.IntN(3)], w.window()
		w.meters[p].Begin(k)
		w.network.After(time.Duration(w.network.Rng.IntN(700))*time.Millisecond, func() {
			w.meters[p].Count(k, tenant)
			w.meters[p].End(k)
			if w.truth[k] == nil {
				w.truth[k] = usage.Counts{}
			}
			w.truth[k][tenant]++
		})
	}
	if t, some := w.meters[p].Report(p, w.window()); some {
		for _, n := range w.names {
			if l := w.leases[n]; l != nil && w.chain[n] != nil && l.Expiry(w.network.Now, testDuty) > 0 {
				for range 1 + w.network.Rng.IntN(2) { // some words come twice
					w.network.Send(p, n, func() {
						w.later(n, w.life[n], func() {
							h, ok := w.tallies[n].Take(w.network.Now, w.window(), t)
							if ok && w.leases[n].Expiry(w.network.Now, testDuty) > 0 {
								w.network.Send(n, p, func() { w.meters[p].Acknowledged(t, h) })
							}
						})
					})
				}
			}
		}
	}
	w.network.After(200*time.Millisecond, func() { w.proxy(p) })
}

// TestDutyUnderTrouble plays seeded days in which holders are killed, frozen, cut
// off and lose disks, all stop at once, and the platform is down or slow. Checked at
// each act: one holder a fence, one content a window, no A-B-A inside the lease,
// nothing sent without the lease, nothing counted that did not happen. In the calm
// at the end every window is reported and exact.
func TestDutyUnderTrouble(t *testing.T) {
	moves, acts, refused, lost := 0, 0, 0, 0
	for seed := uint64(1); seed <= 80; seed++ {
		names := [][]string{three, {"a", "b", "c", "d", "e", "f"}}[seed%2]
		// Every other day has short windows and a long lease: holders that come back
		// act again soon, and have to wait.
		span, delay, turn := 2*time.Second, 5*time.Second, 3*time.Second
		if seed/2%2 == 0 {
			span, delay, turn = 400*time.Millisecond, 3*time.Second, 7*time.Second
		}
		w := newDutyCluster(t, seed, names, 1+int(seed%2), span, delay, turn)
		w.network.Loss = []float64{0, 0.02, 0.1}[seed%3]
		w.network.Delay = []time.Duration{5, 40, 200}[seed/3%3] * time.Millisecond
		w.gap = []time.Duration{2, 6}[seed/9%2] * time.Second
		w.network.After(100*time.Millisecond, w.operator)
		w.network.After(5*time.Second, func() { w.trouble(6) })
		var platform func()
		platform = func() {
			w.platformDown, w.platformSlow = !w.over && w.network.Rng.IntN(4) == 0, !w.over && w.network.Rng.IntN(3) == 0
			w.network.After(time.Duration(w.network.Rng.IntN(5000))*time.Millisecond, platform)
		}
		w.network.After(6*time.Second, platform)
		// Whoever acted last is struck, now and then, just after it acted.
		var strike func()
		strike = func() {
			if n := len(w.acts); n > 0 && !w.over {
				h := w.acts[n-1].holder
				if w.chain[h] != nil && !w.frozen[h] {
					w.chain[h], w.calm[h] = nil, 1<<62
					w.life[h]++
					w.network.After(time.Duration(w.network.Rng.IntN(3000))*time.Millisecond, func() { w.start(h, false); w.calm[h] = w.network.Now })
				}
			}
			w.network.After(time.Duration(4+w.network.Rng.IntN(9))*time.Second, strike)
		}
		w.network.After(9*time.Second, strike)
		w.network.Run(60*time.Second, nil)
		w.platformDown, w.platformSlow = false, false
		w.settle()
		from := w.window()
		w.network.Run(w.network.Now+8*w.span+w.delay+w.turn, nil)
		for k := from + 1; k < from+7; k++ {
			body, ok := w.content[k]
			if !ok {
				w.fail("window %d was never reported in calm; last act %+v, record %+v", k, w.acts[max(0, len(w.acts)-1):], w.record("a"))
			}
			got := w.noMore(k, []byte(body))
			for tenant, n := range w.truth[k] {
				if got[tenant] != n {
					w.fail("window %d in calm: %s counted %d of %d", k, tenant, got[tenant], n)
				}
			}
		}
		moves += len(w.holderOf)
		acts += len(w.content)
		refused += w.refused
		lost += w.lost
	}
	if moves < 160 || acts < 1200 || lost < 20 {
		t.Errorf("%d fences, %d windows, %d refused, %d lost over all seeds: too few to mean anything", moves, acts, refused, lost)
	}
	t.Logf("%d fences, %d windows, %d refused, %d lost", moves, acts, refused, lost)
}
