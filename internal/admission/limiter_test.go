package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/simnet"
)

// fleet is a set of proxies and trackers on a simulated network. The tracker duty moves
// between machines as leases would move it. Proxies restart, freeze and are partitioned.
type fleet struct {
	network     *simnet.Network
	key         string
	quota       Quota
	proxies     map[string]*Limiter
	startedAt   map[string]time.Duration
	incarnation map[string]int
	echo        map[string]TrackerTime
	echoAt      map[string]time.Duration
	frozen      map[string]bool
	trackers    map[string]*Tracker
	holder      string          // machine that holds the tracker duty; empty if none
	since       time.Duration   // when it took the duty over
	admittedAt  []time.Duration // by admitted request
	refused     int
	requested   int
	liveCounts  map[string]int // live count by proxy; if nil, all proxies use the number of proxies
}

// liveCount returns the live count that a proxy has received.
func (f *fleet) liveCount(n string) int {
	if f.liveCounts != nil {
		return f.liveCounts[n]
	}
	return len(f.proxies)
}

func (f *fleet) clock(n string) time.Duration { return f.network.Now - f.startedAt[n] }

func (f *fleet) start(n string) {
	f.incarnation[n]++
	f.startedAt[n] = f.network.Now
	delete(f.echo, n)
	l := New(20, 3, f.network.Rng.Uint64())
	l.SetQuotas(0, map[string]Quota{f.key: f.quota})
	if n := f.liveCount(n); n > 0 {
		l.SetProxies(0, n)
	}
	f.proxies[n] = l
}

// askTracker sends a request to the tracker and calls then after its answer is applied.
func (f *fleet) askTracker(n string, requests []KeyRequest, then func()) {
	l, incarnation, asked := f.proxies[n], f.incarnation[n], f.clock(n)
	to, echo := f.holder, f.echo[n]
	if to == "" {
		return
	}
	f.network.Send(n, to, func() {
		answer := f.trackers[to].HandleRequest(f.network.Now, GrantRequest{Proxy: n, Wants: requests, Echo: echo, Proxies: l.Proxies(), Life: l.Incarnation(), Sent: asked}, func(int) (time.Duration, bool) { return f.since, f.holder == to })
		f.network.Send(to, n, func() {
			if f.incarnation[n] != incarnation || answer.Refused {
				return
			}
			if count := f.liveCount(n); count > 0 {
				l.SetProxies(f.clock(n), count) // an answer counts as contact with the control plane
			}
			if old := f.echo[n]; old.Life != answer.Stamp.Life || old.Begun < answer.Stamp.Begun || answer.Retell {
				l.RequestFullReport(Shard(f.key, 3))
			}
			f.echo[n], f.echoAt[n] = answer.Stamp, f.clock(n)
			l.MarkTrackerAnswered(f.clock(n), Shard(f.key, 3))
			for _, grant := range answer.Given {
				l.ApplyGrant(f.clock(n), asked, grant)
			}
			if then != nil && !f.frozen[n] {
				then()
			}
		})
	})
}

func (f *fleet) request(n string) {
	if f.frozen[n] {
		return
	}
	l := f.proxies[n]
	f.requested++
	v := l.Admit(f.clock(n), f.key, false)
	if v.OK {
		f.admittedAt = append(f.admittedAt, f.network.Now)
		return
	}
	if v.AskTracker {
		f.askTracker(n, []KeyRequest{l.TokenRequest(f.clock(n), f.key)}, func() {
			if l.Admit(f.clock(n), f.key, true).OK {
				f.admittedAt = append(f.admittedAt, f.network.Now)
			}
		})
		return
	}
	f.refused++
}

func newFleet(seed uint64, proxies int, q Quota) *fleet {
	f := &fleet{network: simnet.New(seed), key: "k", quota: q, proxies: map[string]*Limiter{}, startedAt: map[string]time.Duration{}, incarnation: map[string]int{}, echo: map[string]TrackerTime{}, echoAt: map[string]time.Duration{},
		frozen: map[string]bool{}, trackers: map[string]*Tracker{}}
	for i := range proxies {
		f.proxies[fmt.Sprint("p", i)] = nil
	}
	for i := range proxies {
		f.start(fmt.Sprint("p", i))
	}
	for _, n := range []string{"t0", "t1", "t2"} {
		f.trackers[n] = f.newTracker(true)
	}
	f.holder = "t0"
	for i := range proxies {
		n := fmt.Sprint("p", i)
		var renew func()
		renew = func() {
			if reports := f.proxies[n].BuildReports(f.clock(n), func(string) (time.Duration, uint64, bool) {
				return f.echoAt[n], f.echo[n].Life, f.echo[n] != TrackerTime{}
			}); !f.frozen[n] {
				f.askTracker(n, reports, nil)
			}
			f.network.After(constants.GrantInterval, renew)
		}
		f.network.After(time.Duration(i)*time.Millisecond, renew)
	}
	return f
}

// newTracker returns a tracker that has just started, with or without the quotas.
func (f *fleet) newTracker(withQuotas bool) *Tracker {
	tracker := NewTracker(f.network.Rng.Uint64(), 3, func(n int, q Quota) bool { return ShareTooSmall(n, 20, q) })
	if withQuotas {
		tracker.SetQuotas(f.network.Now, map[string]Quota{f.key: f.quota})
	}
	return tracker
}

// newBusyFleet returns a fleet on a fast network that has served perS requests a second for
// a time, sent to the first clientProxies proxies.
func newBusyFleet(seed uint64, proxies int, q Quota, clientProxies int, perS float64, span time.Duration) *fleet {
	f := newFleet(seed, proxies, q)
	f.network.Delay = 2 * time.Millisecond
	f.startClients(clientProxies, perS)
	f.network.Run(span, nil)
	return f
}

// maxInWindow returns the largest number of requests admitted in any window, and the number
// that is allowed.
func (f *fleet) maxInWindow(window time.Duration) (most int, allowed float64) {
	j := 0
	for i := range f.admittedAt {
		for f.admittedAt[i]-f.admittedAt[j] > window {
			j++
		}
		most = max(most, i-j+1)
	}
	return most, (f.quota.Rate*window.Seconds()+f.quota.Burst)*1.1 + 20
}

// startClients sends perS requests a second, each to a random one of the first proxies.
func (f *fleet) startClients(proxies int, perS float64) {
	var send func()
	send = func() {
		f.request(fmt.Sprint("p", f.network.Rng.IntN(proxies)))
		f.network.After(time.Duration(f.network.Rng.Int64N(int64(2*float64(time.Second)/perS))), send)
	}
	f.network.After(2*time.Second, send)
}

// servedShare runs the fleet for a time and returns the fraction of requests admitted.
func (f *fleet) servedShare(span time.Duration) float64 {
	requested, admitted := f.requested, len(f.admittedAt)
	f.network.Run(f.network.Now+span, nil)
	return float64(len(f.admittedAt)-admitted) / float64(f.requested-requested)
}

// TestQuotaHoldsUnderFaults sends far more requests than the quota to all proxies while the
// tracker duty moves and proxies restart, freeze and are partitioned.
func TestQuotaHoldsUnderFaults(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		q := []Quota{{100, 100}, {18, 18}, {400, 80}, {5, 5}}[seed/4%4]
		f := newFleet(seed, []int{11, 15, 18, 80}[seed%4], q)
		if seed%20 == 7 {
			f = newFleet(seed, 300, q)
		}
		f.network.Loss = 0.02
		r := f.network.Rng
		var send func()
		send = func() {
			f.request(fmt.Sprint("p", r.IntN(len(f.proxies))))
			f.network.After(time.Duration(r.Int64N(int64(float64(time.Second)/(q.Rate*4)))), send)
		}
		var fault func()
		fault = func() {
			n := fmt.Sprint("p", r.IntN(len(f.proxies)))
			switch r.IntN(4) {
			case 0: // the tracker duty moves: the old lease ends before the new one begins
				f.holder = ""
				f.network.After(300*time.Millisecond, func() {
					f.holder, f.since = fmt.Sprint("t", r.IntN(3)), f.network.Now
				})
			case 1: // the process is killed and takes 300 ms to restart
				f.frozen[n] = true
				f.network.After(300*time.Millisecond, func() { f.start(n); f.frozen[n] = false })
			case 2:
				f.frozen[n] = true
				f.network.After(time.Duration(r.IntN(4000))*time.Millisecond, func() { f.frozen[n] = false })
			case 3:
				for g := range f.trackers {
					f.network.Cut(n, g, true)
				}
				f.network.After(time.Duration(r.IntN(6000))*time.Millisecond, func() {
					for g := range f.trackers {
						f.network.Cut(n, g, false)
					}
				})
			}
			f.network.After(time.Duration(r.IntN(1500))*time.Millisecond, fault)
		}
		f.network.After(2*time.Second, send)
		f.network.After(3*time.Second, fault)
		f.network.Run(40*time.Second, nil)
		most, allowed := f.maxInWindow(5 * time.Second)
		if float64(most) > allowed {
			t.Errorf("seed %d, quota %v: %d requests ran in a window, %.0f are allowed", seed, q, most, allowed)
		}
		least := 0.6
		if len(f.proxies) > 50 {
			least = 0.08 // the key is tracker-only, and the tracker duty moves every few seconds
		}
		if served := float64(len(f.admittedAt)); served < q.Rate*30*least {
			t.Errorf("seed %d, quota %v: only %.0f requests served under overload", seed, q, served)
		}
	}
}

// TestTrafficWithinQuotaIsServed sends a tenant's uneven traffic within its quota to a fleet
// without faults. At most 4% of the requests may be refused.
func TestTrafficWithinQuotaIsServed(t *testing.T) {
	for name, c := range map[string][2]int{"spread over all": {11, 11}, "on three of eleven": {11, 3}, "over eighty": {80, 80}, "on five of eighty": {80, 5}} {
		proxies := c[1]
		f := newFleet(4, c[0], Quota{26, 26})
		f.network.Delay = 2 * time.Millisecond
		var send func()
		send = func() {
			n := fmt.Sprint("p", f.network.Rng.IntN(proxies))
			for range 1 + f.network.Rng.IntN(3) { // clients send a few at a time
				f.request(n)
			}
			f.network.After(time.Duration(f.network.Rng.Int64N(int64(time.Second*2*2/16))), send)
		}
		f.network.After(3*time.Second, send)
		f.network.Run(60*time.Second, nil)
		if share := 1 - float64(len(f.admittedAt))/float64(f.requested); share > 0.04 {
			t.Errorf("%s: %.1f%% of %d requests within the quota were refused", name, share*100, f.requested)
		}
	}
}

// A proxy that is partitioned from its trackers has its whole split share back when the
// loan expires.
func TestPartitionedProxyReclaimsItsShare(t *testing.T) {
	f := newFleet(9, 11, Quota{110, 110})
	f.network.Delay = 2 * time.Millisecond
	f.network.Run(5*time.Second, nil)
	share := func() float64 { return f.proxies["p3"].Reports(f.clock("p3"))[0].SplitRate }
	whole := constants.SplitFraction * 110 / 11
	if share() > whole*(1.01-constants.MaxLentFraction) {
		t.Fatalf("an idle proxy in contact keeps %.1f of %.1f a second", share(), whole)
	}
	for g := range f.trackers {
		f.network.Cut("p3", g, true)
		f.network.Cut(g, "p3", true)
	}
	f.network.Run(f.network.Now+constants.LoanDuration+10*time.Millisecond, nil)
	if share() < whole*0.999 {
		t.Fatalf("partitioned for %v, the proxy has %.1f of %.1f a second", constants.LoanDuration, share(), whole)
	}
}

// A request that was never executed gets its token back. One that was executed several
// times costs as many tokens, even if the balance becomes negative.
func TestSettleChargesActualCost(t *testing.T) {
	l := New(20, 3, 1)
	l.SetProxies(0, 1)
	l.SetQuotas(0, map[string]Quota{"k": {1, 2}})
	now := 10 * time.Second
	balance := func() float64 { return l.Reports(now)[0].Balance }
	before := balance()
	if !l.Admit(now, "k", false).OK {
		t.Fatal("refused")
	}
	l.Settle(now, "k", 0)
	if balance() != before {
		t.Fatalf("balance %v after a refund, was %v", balance(), before)
	}
	l.Admit(now, "k", false)
	l.Settle(now, "k", 3)
	if balance() >= 0 {
		t.Fatalf("balance %v after a cost of three, was %v", balance(), before)
	}
	if l.Admit(now+time.Second, "k", true).OK {
		t.Fatal("admitted on a negative balance")
	}
}

// A lowered quota applies at once, also to leases granted under the old one. A proxy that
// receives nothing from the control plane for too long gives up its share.
func TestLoweredQuotaAndControlPlaneSilence(t *testing.T) {
	l := New(20, 3, 1)
	l.SetProxies(0, 2)
	l.SetQuotas(0, map[string]Quota{"k": {100, 100}})
	l.ApplyGrant(time.Second, time.Second, KeyGrant{Key: "k", Rate: 20, Depth: 20})
	l.SetQuotas(1100*time.Millisecond, map[string]Quota{"k": {10, 10}})
	r := l.Reports(1100 * time.Millisecond)[0]
	if most := 10.0; r.SplitRate+r.GrantRate > most || r.Balance > most {
		t.Fatalf("after lowering the quota: %+v", r)
	}
	late := 2*time.Second + constants.SplitTimeout
	if r := l.Reports(late)[0]; r.SplitRate != 0 || r.Balance > 0 {
		t.Fatalf("after %v of silence: %+v", constants.SplitTimeout, r)
	}
	l.SetProxies(late, 2)
	if r := l.Reports(late + time.Second)[0]; r.SplitRate == 0 {
		t.Fatalf("after the live count arrived again: %+v", r)
	}
}

// Tokens from the tracker pay the debt of a tracker-only key, because its split share is
// lent whole and never refills.
func TestTrackerTokensPayDebt(t *testing.T) {
	f := newFleet(3, 80, Quota{100, 100})
	f.network.Delay = 2 * time.Millisecond
	f.network.Run(6*time.Second, nil)
	for range 5 {
		f.request("p1")
		f.network.Run(f.network.Now+time.Second, nil)
		f.proxies["p1"].Settle(f.clock("p1"), "k", 2) // executed twice
	}
	if len(f.admittedAt) != 5 {
		t.Fatalf("%d of 5 requests far within the quota were admitted", len(f.admittedAt))
	}
}

// A quota that has been received but is not in force refuses no request. The requests that
// it would refuse are counted, and it applies once it is in force.
func TestShadowQuotaOnlyCounts(t *testing.T) {
	l := New(20, 3, 1)
	l.SetProxies(0, 1)
	l.SetQuotas(0, map[string]Quota{"k": {100, 100}})
	l.SetShadowQuotas(5*time.Second, map[string]Quota{"k": {2, 2}})
	for range 20 {
		if !l.Admit(5*time.Second, "k", false).OK {
			t.Fatal("a shadow quota refused a request")
		}
	}
	if r := l.Reports(5 * time.Second)[0]; r.ShadowRefused != 18 {
		t.Fatalf("%d of 20 requests counted as refused by the shadow quota, want 18", r.ShadowRefused)
	}
	l.SetQuotas(6*time.Second, map[string]Quota{"k": {2, 2}})
	admitted := 0
	for range 20 {
		if l.Admit(6*time.Second, "k", true).OK {
			admitted++
		}
	}
	if admitted > 2 {
		t.Fatalf("%d requests admitted at once under a quota with a burst of 2", admitted)
	}
}

// Clients that stay with their proxies are served by the standby rates there while all
// trackers are lost, and go on being served when a new tracker starts.
func TestStandbyServesDuringTrackerLoss(t *testing.T) {
	f := newBusyFleet(6, 80, Quota{40, 40}, 12, 25, 30*time.Second)
	f.holder = ""
	if got := f.servedShare(900 * time.Millisecond); got > 0 {
		t.Errorf("%.2f served on standby while the tracker may still be granting", got)
	}
	for _, l := range f.proxies {
		l.MarkTrackerDown(Shard("k", 3)) // the connection is refused, so there is no need to wait
	}
	if got := f.servedShare(300 * time.Millisecond); got < 0.4 {
		t.Errorf("%.2f served although the tracker is known to be down", got)
	}
	if got := f.servedShare(4 * time.Second); got < 0.6 {
		t.Errorf("%.2f served without a tracker", got)
	}
	for n := range f.trackers { // all tracker processes restart
		f.trackers[n] = f.newTracker(true)
	}
	f.holder, f.since = "t1", f.network.Now
	if got := f.servedShare(3 * time.Second); got < 0.85 {
		t.Errorf("%.2f served after a new tracker started", got)
	}
	if got := f.servedShare(20 * time.Second); got < 0.97 {
		t.Errorf("%.2f served afterwards", got)
	}
	if most, allowed := f.maxInWindow(5 * time.Second); float64(most) > allowed {
		t.Errorf("%d requests ran in a window, %.0f are allowed", most, allowed)
	}
}

// A tracker process that has just started, without quotas or roster, must not act as a
// tracker: proxies keep using their standby rates. After it has received the quotas, it
// takes the size of the fleet from the proxies' requests.
func TestTrackerWithoutQuotasRefuses(t *testing.T) {
	f := newBusyFleet(6, 80, Quota{40, 40}, 12, 25, 30*time.Second)
	fresh := f.newTracker(false)
	f.trackers["t2"], f.holder, f.since = fresh, "t2", f.network.Now
	if got := f.servedShare(4 * time.Second); got < 0.5 {
		t.Errorf("%.2f served with a tracker that has no quotas", got)
	}
	fresh.SetQuotas(f.network.Now, map[string]Quota{"k": f.quota})
	f.servedShare(1500 * time.Millisecond)
	if got := f.servedShare(3 * time.Second); got < 0.85 {
		t.Errorf("%.2f served after the tracker received the quotas", got)
	}
}

// All proxies restart and report what they hold; then the same process loses the tracker
// duty and takes it over again. The proxies have to repeat their reports, since the tracker
// otherwise reserves for seconds what any of them might be using.
func TestReportsAreRepeatedAfterTakeover(t *testing.T) {
	f := newBusyFleet(8, 300, Quota{200, 200}, 300, 120, 20*time.Second)
	for i := range 300 {
		f.start(fmt.Sprint("p", i))
	}
	f.network.Run(f.network.Now+700*time.Millisecond, nil)
	f.holder = ""
	f.network.Run(f.network.Now+300*time.Millisecond, nil)
	f.holder, f.since = "t0", f.network.Now
	f.network.Run(f.network.Now+700*time.Millisecond, nil)
	if got := f.servedShare(time.Second); got < 0.95 {
		t.Errorf("%.2f served in the second after the takeover", got)
	}
}

// Half of the fleet is partitioned from the trackers and uses its standby rates while all
// proxies are overloaded. The tracker must have excluded these rates from its pool.
func TestPoolExcludesStandbyInUse(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		f := newBusyFleet(seed, 80, Quota{200, 200}, 80, 800, 20*time.Second)
		f.admittedAt = nil
		for i := range 40 {
			for g := range f.trackers {
				f.network.Cut(fmt.Sprint("p", i), g, true)
				f.network.Cut(g, fmt.Sprint("p", i), seed%2 == 0) // in one direction or both
			}
		}
		f.network.Run(30*time.Second, nil)
		if most, allowed := f.maxInWindow(5 * time.Second); float64(most) > allowed {
			t.Errorf("seed %d: %d requests ran in a window, %.0f are allowed", seed, most, allowed)
		}
		if served := float64(len(f.admittedAt)); served < 200*10*0.7 {
			t.Errorf("seed %d: only %.0f requests served", seed, served)
		}
	}
}

// All machines restart under overload. Once all proxies have reported to the new tracker
// that they have admitted nothing since their start, the tokens that the quota has accrued
// are available at once, and no window exceeds its allowance.
func TestRestartOfAllMachines(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		f := newBusyFleet(seed, 80, Quota{100, 100}, 80, 300, 20*time.Second)
		f.holder = ""
		for i := range 80 {
			f.start(fmt.Sprint("p", i))
		}
		f.network.Run(f.network.Now+1500*time.Millisecond, nil)
		f.trackers["t1"] = f.newTracker(true)
		f.holder, f.since = "t1", f.network.Now
		before := len(f.admittedAt)
		f.network.Run(f.network.Now+1500*time.Millisecond, nil)
		if got := len(f.admittedAt) - before; got < 180 {
			t.Errorf("seed %d: %d requests served in the first 1.5 s, 250 tokens had accrued", seed, got)
		}
		f.network.Run(f.network.Now+10*time.Second, nil)
		if most, allowed := f.maxInWindow(5 * time.Second); float64(most) > allowed {
			t.Errorf("seed %d: %d requests ran in a window, %.0f are allowed", seed, most, allowed)
		}
	}
}

// All machines restart and no machine holds the tracker duty yet. After a second, when a
// tracker that kept running would have excluded their standby rates, the proxies serve from
// the basic part of their own shares, together a fifth of the quota, without any grant.
func TestBasicStandbyWithoutTracker(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		f := newBusyFleet(seed, 80, Quota{100, 100}, 80, 60, 20*time.Second)
		f.holder = ""
		for i := range 80 {
			f.start(fmt.Sprint("p", i))
		}
		f.network.Run(f.network.Now+constants.StandbyDelay-constants.MinRestartTime, nil)
		if got := f.servedShare(2 * time.Second); got < 0.2 {
			t.Errorf("seed %d: %.2f served without a tracker", seed, got)
		}
		if most, allowed := f.maxInWindow(5 * time.Second); float64(most) > allowed {
			t.Errorf("seed %d: %d requests ran in a window, %.0f are allowed", seed, most, allowed)
		}
	}
}

// With 300 proxies and 190 keys, a proxy reports its shares to each tracker a few times in
// ten seconds, for all keys together instead of one message per key. The tracker's running
// totals equal the sums of its entries at all times.
func TestReportsAreBatchedAndTotalsMatch(t *testing.T) {
	const keys, proxies, shards = 190, 300, 6
	quotas := map[string]Quota{}
	for i := range keys {
		quotas[fmt.Sprint("k", i)] = Quota{float64(5 + i), float64(5 + i)}
	}
	network := simnet.New(5)
	tracker := NewTracker(1, shards, func(n int, q Quota) bool { return ShareTooSmall(n, 20, q) })
	tracker.SetQuotas(0, quotas)
	since := func(int) (time.Duration, bool) { return 0, true }
	limiters, echo, messages := make([]*Limiter, proxies), make([]TrackerTime, proxies), 0
	for i := range limiters {
		limiters[i] = New(20, shards, uint64(i))
		limiters[i].SetQuotas(0, quotas)
		limiters[i].SetProxies(0, proxies)
	}
	for now := 3 * time.Second; now < 33*time.Second; now += constants.GrantInterval {
		for i, l := range limiters {
			if network.Rng.IntN(40) == 0 {
				continue // the message is lost
			}
			l.SetProxies(now, proxies)
			for range 3 {
				l.Admit(now, fmt.Sprint("k", network.Rng.IntN(keys)), false)
			}
			byShard := map[int][]KeyRequest{}
			for _, report := range l.BuildReports(now, func(string) (time.Duration, uint64, bool) { return now - 100*time.Millisecond, 1, echo[i].Life > 0 }) {
				byShard[Shard(report.Key, shards)] = append(byShard[Shard(report.Key, shards)], report)
			}
			if now >= 13*time.Second && now < 23*time.Second {
				messages += len(byShard)
			}
			if i%50 == 7 && now > 20*time.Second {
				continue // the proxy goes silent: its loans and standby rates expire
			}
			byShard[0] = append(byShard[0], KeyRequest{Key: "k3", Need: 1, Long: true})
			for s := range shards {
				answer := tracker.HandleRequest(now, GrantRequest{Proxy: fmt.Sprint("p", i), Wants: byShard[s], Echo: echo[i], Proxies: proxies}, since)
				if i%50 != 8 { // the others receive no answer and count as out of contact
					echo[i] = answer.Stamp
				}
			}
		}
		for k, p := range tracker.pools {
			p.resize(now, tracker)
			var lent loan
			var reserved, demand, inUse float64
			for _, x := range p.loans {
				lent.rate, lent.depth = lent.rate+x.rate, lent.depth+x.depth
			}
			for n, x := range p.standbys {
				reserved, demand = reserved+x.reserved, demand+x.demand
				if now-tracker.contacts[n].echoedAt > constants.ContactTimeout {
					inUse += x.reserved
				}
			}
			differ := func(a, b float64) bool { return math.Abs(a-b) > 1e-6 }
			if differ(lent.rate, p.loanTotals.rate) || differ(lent.depth, p.loanTotals.depth) || differ(reserved, p.standbyReserved) || differ(demand, p.standbyDemand) || p.standbyInUse < inUse-1e-6 {
				t.Fatalf("%v, %s: totals %+v, %v, %v, %v, but the entries sum to %+v, %v, %v, %v", now, k, p.loanTotals, p.standbyReserved, p.standbyDemand, p.standbyInUse, lent, reserved, demand, inUse)
			}
		}
	}
	lastEcho := func(string) (time.Duration, uint64, bool) { return 33 * time.Second, 1, true }
	limiters[0].BuildReports(33*time.Second, lastEcho)
	limiters[0].RequestFullReport(2)
	if len(limiters[0].BuildReports(33*time.Second+constants.GrantInterval, lastEcho)) < 20 {
		t.Error("a lost report is not repeated in the next message")
	}
	if per := float64(messages) / proxies / shards; per > 5 {
		t.Errorf("%.1f messages per proxy and tracker in ten seconds", per)
	}
	if len(tracker.pools["k3"].loans) > proxies*98/100 || len(tracker.pools["k3"].standbys) > proxies*98/100 {
		t.Error("loans or standby rates of silent proxies have not expired")
	}
}
