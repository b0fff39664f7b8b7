package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/simnet"
)

// fleet is proxies and trackers on a simulated network. Trackers move between
// machines as leases would move them; proxies restart, freeze, and are cut off.
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
	holder      string
	since       time.Duration
	admittedAt  []time.Duration // when requests ran
	refused     int
	requested   int
	liveCounts  map[string]int // live count by proxy, where it is not that of all
}

// liveCount is the live liveCount that a proxy has been told.
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

func (f *fleet) askTracker(n string, wants []KeyRequest, then func()) {
	l, life, asked := f.proxies[n], f.incarnation[n], f.clock(n)
	to, echo := f.holder, f.echo[n]
	if to == "" {
		return
	}
	f.network.Send(n, to, func() {
		got := f.trackers[to].HandleRequest(f.network.Now, GrantRequest{Proxy: n, Wants: wants, Echo: echo, Proxies: l.Proxies(), Life: l.Incarnation(), Sent: asked}, func(int) (time.Duration, bool) { return f.since, f.holder == to })
		f.network.Send(to, n, func() {
			if f.incarnation[n] != life || got.Refused {
				return
			}
			if count := f.liveCount(n); count > 0 {
				l.SetProxies(f.clock(n), count) // control has spoken
			}
			if was := f.echo[n]; was.Life != got.Stamp.Life || was.Begun < got.Stamp.Begun || got.Retell {
				l.RequestFullReport(Shard(f.key, 3))
			}
			f.echo[n], f.echoAt[n] = got.Stamp, f.clock(n)
			l.MarkTrackerAnswered(f.clock(n), Shard(f.key, 3))
			for _, g := range got.Given {
				l.ApplyGrant(f.clock(n), asked, g)
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
			if ws := f.proxies[n].BuildReports(f.clock(n), func(string) (time.Duration, uint64, bool) {
				return f.echoAt[n], f.echo[n].Life, f.echo[n] != TrackerTime{}
			}); !f.frozen[n] {
				f.askTracker(n, ws, nil)
			}
			f.network.After(constants.GrantEvery, renew)
		}
		f.network.After(time.Duration(i)*time.Millisecond, renew)
	}
	return f
}

// newTracker is one that has just been started, knowing the limits or not yet.
func (f *fleet) newTracker(knows bool) *Tracker {
	tracker := NewTracker(f.network.Rng.Uint64(), 3, func(n int, q Quota) bool { return ShareTooSmall(n, 20, q) })
	if knows {
		tracker.SetQuotas(f.network.Now, map[string]Quota{f.key: f.quota})
	}
	return tracker
}

// newBusyFleet is a fleet on a quick network that has served clients for a while.
func newBusyFleet(seed uint64, proxies int, q Quota, on int, perS float64, span time.Duration) *fleet {
	f := newFleet(seed, proxies, q)
	f.network.Delay = 2 * time.Millisecond
	f.startClients(on, perS)
	f.network.Run(span, nil)
	return f
}

// maxInWindow is the most that ran in any window, against what the rule allows.
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

// startClients sends one request after another, so many a second, to one of the first
// proxies drawn by lot.
func (f *fleet) startClients(proxies int, perS float64) {
	var come func()
	come = func() {
		f.request(fmt.Sprint("p", f.network.Rng.IntN(proxies)))
		f.network.After(time.Duration(f.network.Rng.Int64N(int64(2*float64(time.Second)/perS))), come)
	}
	f.network.After(2*time.Second, come)
}

// servedShare is the part served of what comes in a span.
func (f *fleet) servedShare(span time.Duration) float64 {
	a, s := f.requested, len(f.admittedAt)
	f.network.Run(f.network.Now+span, nil)
	return float64(len(f.admittedAt)-s) / float64(f.requested-a)
}

// TestQuotaHoldsUnderTrouble presses every proxy far beyond the quota while
// trackers move, proxies restart, freeze and are cut off.
func TestQuotaHoldsUnderTrouble(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		q := []Quota{{100, 100}, {18, 18}, {400, 80}, {5, 5}}[seed/4%4]
		f := newFleet(seed, []int{11, 15, 18, 80}[seed%4], q)
		if seed%20 == 7 {
			f = newFleet(seed, 300, q)
		}
		f.network.Loss = 0.02
		r := f.network.Rng
		var press func()
		press = func() {
			f.request(fmt.Sprint("p", r.IntN(len(f.proxies))))
			f.network.After(time.Duration(r.Int64N(int64(float64(time.Second)/(q.Rate*4)))), press)
		}
		var trouble func()
		trouble = func() {
			n := fmt.Sprint("p", r.IntN(len(f.proxies)))
			switch r.IntN(4) {
			case 0: // the tracker's duty moves: the lease ends before another begins
				f.holder = ""
				f.network.After(300*time.Millisecond, func() {
					f.holder, f.since = fmt.Sprint("t", r.IntN(3)), f.network.Now
				})
			case 1: // killed; a start takes its time
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
			f.network.After(time.Duration(r.IntN(1500))*time.Millisecond, trouble)
		}
		f.network.After(2*time.Second, press)
		f.network.After(3*time.Second, trouble)
		f.network.Run(40*time.Second, nil)
		most, allowed := f.maxInWindow(5 * time.Second)
		if float64(most) > allowed {
			t.Errorf("seed %d, quota %v: %d ran in a window, %.0f are allowed", seed, q, most, allowed)
		}
		least := 0.6
		if len(f.proxies) > 50 {
			least = 0.08 // its tracker alone carries the key, and moves every few seconds here
		}
		if served := float64(len(f.admittedAt)); served < q.Rate*30*least {
			t.Errorf("seed %d, quota %v: only %.0f served under pressure", seed, q, served)
		}
	}
}

// TestWithinQuotaIsServed gives a quiet tenant's uneven traffic to a fleet
// without trouble: next to nothing may be refused.
func TestWithinQuotaIsServed(t *testing.T) {
	for name, c := range map[string][2]int{"spread over all": {11, 11}, "on three of eleven": {11, 3}, "over eighty": {80, 80}, "on five of eighty": {80, 5}} {
		proxies := c[1]
		f := newFleet(4, c[0], Quota{26, 26})
		f.network.Delay = 2 * time.Millisecond
		var come func()
		come = func() {
			n := fmt.Sprint("p", f.network.Rng.IntN(proxies))
			for range 1 + f.network.Rng.IntN(3) { // clients send a few at a time
				f.request(n)
			}
			f.network.After(time.Duration(f.network.Rng.Int64N(int64(time.Second*2*2/16))), come)
		}
		f.network.After(3*time.Second, come)
		f.network.Run(60*time.Second, nil)
		if share := 1 - float64(len(f.admittedAt))/float64(f.requested); share > 0.04 {
			t.Errorf("%s: %.1f%% of %d requests within the quota were refused", name, share*100, f.requested)
		}
	}
}

// A proxy cut off from its trackers has its whole split share back soon after.
func TestCutOffProxyTakesItsShareBack(t *testing.T) {
	f := newFleet(9, 11, Quota{110, 110})
	f.network.Delay = 2 * time.Millisecond
	f.network.Run(5*time.Second, nil)
	share := func() float64 { return f.proxies["p3"].Reports(f.clock("p3"))[0].SplitRate }
	whole := constants.SplitPart * 110 / 11
	if share() > whole*(1.01-constants.LendMost) {
		t.Fatalf("an idle proxy in touch keeps %.1f of %.1f a second", share(), whole)
	}
	for g := range f.trackers {
		f.network.Cut("p3", g, true)
		f.network.Cut(g, "p3", true)
	}
	f.network.Run(f.network.Now+constants.LendLength+10*time.Millisecond, nil)
	if share() < whole*0.999 {
		t.Fatalf("cut off for %v it has %.1f of %.1f a second", constants.LendLength, share(), whole)
	}
}

// A request that ran nowhere gets its token back; one that ran twice costs two,
// below zero if need be.
func TestCostIsSettledAfterwards(t *testing.T) {
	l := New(20, 3, 1)
	l.SetProxies(0, 1)
	l.SetQuotas(0, map[string]Quota{"k": {1, 2}})
	now := 10 * time.Second
	bal := func() float64 { return l.Reports(now)[0].Balance }
	before := bal()
	if !l.Admit(now, "k", false).OK {
		t.Fatal("refused")
	}
	l.Settle(now, "k", 0)
	if bal() != before {
		t.Fatalf("balance %v, was %v", bal(), before)
	}
	l.Admit(now, "k", false)
	l.Settle(now, "k", 3)
	if bal() >= 0 {
		t.Fatalf("balance %v after a cost of three, was %v", bal(), before)
	}
	if l.Admit(now+time.Second, "k", true).OK {
		t.Fatal("admitted on a negative balance")
	}
}

// A lowered limit binds at once, leases given under the old one included; and
// a proxy cut off for too long gives its share up.
func TestLoweredLimitAndLongSilence(t *testing.T) {
	l := New(20, 3, 1)
	l.SetProxies(0, 2)
	l.SetQuotas(0, map[string]Quota{"k": {100, 100}})
	l.ApplyGrant(time.Second, time.Second, KeyGrant{Key: "k", Rate: 20, Depth: 20})
	l.SetQuotas(1100*time.Millisecond, map[string]Quota{"k": {10, 10}})
	r := l.Reports(1100 * time.Millisecond)[0]
	if most := 10.0; r.SplitRate+r.GrantRate > most || r.Balance > most {
		t.Fatalf("after lowering: %+v", r)
	}
	late := 2*time.Second + constants.SplitHold
	if r := l.Reports(late)[0]; r.SplitRate != 0 || r.Balance > 0 {
		t.Fatalf("after %v of silence: %+v", constants.SplitHold, r)
	}
	l.SetProxies(late, 2)
	if r := l.Reports(late + time.Second)[0]; r.SplitRate == 0 {
		t.Fatalf("after control spoke again: %+v", r)
	}
}

// A key that its tracker alone carries pays what it owes by asking for it: its
// share here, lent whole, never fills.
func TestDebtIsAskedFor(t *testing.T) {
	f := newFleet(3, 80, Quota{100, 100})
	f.network.Delay = 2 * time.Millisecond
	f.network.Run(6*time.Second, nil)
	for range 5 {
		f.request("p1")
		f.network.Run(f.network.Now+time.Second, nil)
		f.proxies["p1"].Settle(f.clock("p1"), "k", 2) // it ran twice
	}
	if len(f.admittedAt) != 5 {
		t.Fatalf("%d of 5 requests far within the quota were admitted", len(f.admittedAt))
	}
}

// A limit that has arrived but is not in force refuses nobody; it is counted
// what it would refuse, and from its version on it binds.
func TestComingLimitIsOnlyCounted(t *testing.T) {
	l := New(20, 3, 1)
	l.SetProxies(0, 1)
	l.SetQuotas(0, map[string]Quota{"k": {100, 100}})
	l.SetShadowQuotas(5*time.Second, map[string]Quota{"k": {2, 2}})
	for range 20 {
		if !l.Admit(5*time.Second, "k", false).OK {
			t.Fatal("a limit under evaluation refused a request")
		}
	}
	if r := l.Reports(5 * time.Second)[0]; r.ShadowRefused != 18 {
		t.Fatalf("%d of 20 counted as refused by the coming limit, want 18", r.ShadowRefused)
	}
	l.SetQuotas(6*time.Second, map[string]Quota{"k": {2, 2}})
	admitted := 0
	for range 20 {
		if l.Admit(6*time.Second, "k", true).OK {
			admitted++
		}
	}
	if admitted > 2 {
		t.Fatalf("%d admitted at once under the limit in force, its burst is 2", admitted)
	}
}

// While every tracker is lost, and when a new one begins, clients that stay with
// their proxies go on being served by the leases there.
func TestLeasesBridgeLostTrackers(t *testing.T) {
	f := newBusyFleet(6, 80, Quota{40, 40}, 12, 25, 30*time.Second)
	f.holder = ""
	if got := f.servedShare(900 * time.Millisecond); got > 0 {
		t.Errorf("%.2f served on standby while the tracker may still be giving", got)
	}
	for _, l := range f.proxies {
		l.MarkTrackerDown(Shard("k", 3)) // nobody listens there: no need to wait
	}
	if got := f.servedShare(300 * time.Millisecond); got < 0.4 {
		t.Errorf("%.2f served though the tracker is known to be gone", got)
	}
	if got := f.servedShare(4 * time.Second); got < 0.6 {
		t.Errorf("%.2f served while no tracker is there", got)
	}
	for n := range f.trackers { // all started anew
		f.trackers[n] = f.newTracker(true)
	}
	f.holder, f.since = "t1", f.network.Now
	if got := f.servedShare(3 * time.Second); got < 0.85 {
		t.Errorf("%.2f served after a new one began", got)
	}
	if got := f.servedShare(20 * time.Second); got < 0.97 {
		t.Errorf("%.2f served afterwards", got)
	}
	if most, allowed := f.maxInWindow(5 * time.Second); float64(most) > allowed {
		t.Errorf("%d ran in a window, %.0f are allowed", most, allowed)
	}
}

// A tracker that has just started, and knows neither limits nor roster yet, must
// not pass for one: proxies go on with their standby, and once it knows the
// limits it takes the fleet's size from them.
func TestUnknowingTrackerIsNone(t *testing.T) {
	f := newBusyFleet(6, 80, Quota{40, 40}, 12, 25, 30*time.Second)
	fresh := f.newTracker(false)
	f.trackers["t2"], f.holder, f.since = fresh, "t2", f.network.Now
	if got := f.servedShare(4 * time.Second); got < 0.5 {
		t.Errorf("%.2f served beside a tracker without limits", got)
	}
	fresh.SetQuotas(f.network.Now, map[string]Quota{"k": f.quota})
	f.servedShare(1500 * time.Millisecond)
	if got := f.servedShare(3 * time.Second); got < 0.85 {
		t.Errorf("%.2f served once it has them", got)
	}
}

// The duty of tracking ends and begins again at the same process after all proxies
// were started anew and had told it what they hold. They tell it again, so that
// what any of them might be using is not held back for seconds.
func TestTrackerThatBeginsAgainIsTold(t *testing.T) {
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
		t.Errorf("%.2f served in the second after it had begun again", got)
	}
}

// Half the fleet is cut off from the trackers and stands alone while all press:
// the tracker must have left out what those use.
func TestStandbyIsLeftOutOfThePool(t *testing.T) {
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
			t.Errorf("seed %d: %d ran in a window, %.0f are allowed", seed, most, allowed)
		}
		if served := float64(len(f.admittedAt)); served < 200*10*0.7 {
			t.Errorf("seed %d: only %.0f served", seed, served)
		}
	}
}

// Every machine is started anew while all press: once all proxies have told the
// new tracker that they let nothing through since their start, what the quota has
// filled by then is there at once, and no window sees more than is allowed.
func TestAllStartAnew(t *testing.T) {
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
			t.Errorf("seed %d: %d served in the first second and a half, 250 had filled", seed, got)
		}
		f.network.Run(f.network.Now+10*time.Second, nil)
		if most, allowed := f.maxInWindow(5 * time.Second); float64(most) > allowed {
			t.Errorf("seed %d: %d ran in a window, %.0f are allowed", seed, most, allowed)
		}
	}
}

// Every machine is started anew and no tracker has its duty yet: a second later, when
// one that went on running would have left them out, the proxies serve from a part of
// their own shares, a fifth of the quota together, though nobody has told them anything.
func TestStandbyWithoutATracker(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		f := newBusyFleet(seed, 80, Quota{100, 100}, 80, 60, 20*time.Second)
		f.holder = ""
		for i := range 80 {
			f.start(fmt.Sprint("p", i))
		}
		f.network.Run(f.network.Now+constants.StandbyAfter-constants.RestartTime, nil)
		if got := f.servedShare(2 * time.Second); got < 0.2 {
			t.Errorf("seed %d: %.2f served without a tracker", seed, got)
		}
		if most, allowed := f.maxInWindow(5 * time.Second); float64(most) > allowed {
			t.Errorf("seed %d: %d ran in a window, %.0f are allowed", seed, most, allowed)
		}
	}
}

// At three hundred proxies and as many keys as many tenants hold, a proxy speaks
// to each tracker a few times in ten seconds to tell of its shares, not for each
// key, and the tracker's sums are those of its entries, however they came about.
func TestSharesAreToldTogetherAndSummed(t *testing.T) {
	const keys, proxies, shards = 190, 300, 6
	qs := map[string]Quota{}
	for i := range keys {
		qs[fmt.Sprint("k", i)] = Quota{float64(5 + i), float64(5 + i)}
	}
	b := simnet.New(5)
	tracker := NewTracker(1, shards, func(n int, q Quota) bool { return ShareTooSmall(n, 20, q) })
	tracker.SetQuotas(0, qs)
	since := func(int) (time.Duration, bool) { return 0, true }
	ws, echo, words := make([]*Limiter, proxies), make([]TrackerTime, proxies), 0
	for i := range ws {
		ws[i] = New(20, shards, uint64(i))
		ws[i].SetQuotas(0, qs)
		ws[i].SetProxies(0, proxies)
	}
	for now := 3 * time.Second; now < 33*time.Second; now += constants.GrantEvery {
		for i, l := range ws {
			if b.Rng.IntN(40) == 0 {
				continue // its word is lost
			}
			l.SetProxies(now, proxies)
			for range 3 {
				l.Admit(now, fmt.Sprint("k", b.Rng.IntN(keys)), false)
			}
			by := map[int][]KeyRequest{}
			for _, x := range l.BuildReports(now, func(string) (time.Duration, uint64, bool) { return now - 100*time.Millisecond, 1, echo[i].Life > 0 }) {
				by[Shard(x.Key, shards)] = append(by[Shard(x.Key, shards)], x)
			}
			if now >= 13*time.Second && now < 23*time.Second {
				words += len(by)
			}
			if i%50 == 7 && now > 20*time.Second {
				continue // falls silent: what it had ends
			}
			by[0] = append(by[0], KeyRequest{Key: "k3", Need: 1, Long: true})
			for s := range shards {
				got := tracker.HandleRequest(now, GrantRequest{Proxy: fmt.Sprint("p", i), Wants: by[s], Echo: echo[i], Proxies: proxies}, since)
				if i%50 != 8 { // which hears nothing, and so stands alone
					echo[i] = got.Stamp
				}
			}
		}
		for k, p := range tracker.pools {
			p.resize(now, tracker)
			var l loan
			var count, demand, alone float64
			for _, x := range p.loans {
				l.rate, l.depth = l.rate+x.rate, l.depth+x.depth
			}
			for n, x := range p.standbys {
				count, demand = count+x.reserved, demand+x.demand
				if now-tracker.contacts[n].echoedAt > constants.StandbyRoom {
					alone += x.reserved
				}
			}
			off := func(a, b float64) bool { return math.Abs(a-b) > 1e-6 }
			if off(l.rate, p.loanTotals.rate) || off(l.depth, p.loanTotals.depth) || off(count, p.standbyReserved) || off(demand, p.standbyDemand) || p.standbyInUse < alone-1e-6 {
				t.Fatalf("%v, %s: sums %+v, %v, %v, %v of entries that make %+v, %v, %v, %v", now, k, p.loanTotals, p.standbyReserved, p.standbyDemand, p.standbyInUse, l, count, demand, alone)
			}
		}
	}
	heard := func(string) (time.Duration, uint64, bool) { return 33 * time.Second, 1, true }
	ws[0].BuildReports(33*time.Second, heard)
	ws[0].RequestFullReport(2)
	if len(ws[0].BuildReports(33*time.Second+constants.GrantEvery, heard)) < 20 {
		t.Error("a word that was lost is not told again with the next")
	}
	if per := float64(words) / proxies / shards; per > 5 {
		t.Errorf("%.1f words a proxy and tracker in ten seconds", per)
	}
	if len(tracker.pools["k3"].loans) > proxies*98/100 || len(tracker.pools["k3"].standbys) > proxies*98/100 {
		t.Error("what the silent left has not ended")
	}
}
