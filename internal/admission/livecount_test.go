package admission

import (
	"fmt"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// changingFleet is a fleet whose live count changes as the control plane would announce it:
// the proxies learn of a new count one by one, and a new proxy receives a count only when
// all proxies that have a share use the larger count.
type changingFleet struct {
	*fleet
	members     []string        // on the roster, new proxies last
	sharing     map[string]bool // proxies that have received a count
	partitioned map[string]bool // proxies cut off from control plane and trackers
	nextID      int             // number of the next new proxy
	ended       map[string]int  // last settled count of proxies that have ended but are still on the roster
}

func newChangingFleet(seed uint64, proxies int, q Quota) *changingFleet {
	f := newFleet(seed, proxies, q)
	g := &changingFleet{fleet: f, sharing: map[string]bool{}, partitioned: map[string]bool{}, ended: map[string]int{}, nextID: proxies}
	f.liveCounts = map[string]int{}
	for i := range proxies {
		n := fmt.Sprint("p", i)
		g.members = append(g.members, n)
		g.sharing[n], f.liveCounts[n] = true, proxies
	}
	var control func()
	control = func() {
		g.sendCounts()
		f.network.After(100*time.Millisecond, control)
	}
	f.network.After(100*time.Millisecond, control)
	return g
}

// sendCounts is one round of the control plane. It sends the count to the reachable proxies
// that have a share, each with its own delay, and gives new proxies a share when it is safe.
func (g *changingFleet) sendCounts() {
	count, allSettled := g.roster(), true
	for _, n := range g.members {
		if !g.sharing[n] {
			continue
		}
		if settled := g.proxies[n].SettledProxies(g.clock(n)); settled < count {
			allSettled = false
		}
		if !g.partitioned[n] {
			g.network.After(time.Duration(g.network.Rng.IntN(700))*time.Millisecond, func() { g.receiveCount(n, count) })
		}
	}
	for n, last := range g.ended {
		allSettled = allSettled && (!g.sharing[n] || last >= count)
	}
	if allSettled {
		for _, n := range g.members {
			g.sharing[n] = true
		}
	}
}

// receiveCount delivers a count to a proxy unless it is outdated or the proxy is unreachable.
func (g *changingFleet) receiveCount(n string, count int) {
	if g.partitioned[n] || g.frozen[n] || g.proxies[n] == nil || count != g.roster() {
		return
	}
	g.liveCounts[n] = count
	g.proxies[n].SetProxies(g.clock(n), count)
}

// addProxy starts a new proxy, which has no share yet.
func (g *changingFleet) addProxy() {
	n := fmt.Sprint("p", g.nextID)
	g.nextID++
	g.members = append(g.members, n)
	g.start(n)
	var renew func()
	renew = func() {
		if g.frozen[n] {
			return // the proxy has ended
		}
		reports := g.proxies[n].BuildReports(g.clock(n), func(string) (time.Duration, uint64, bool) {
			return g.echoAt[n], g.echo[n].Life, g.echo[n] != TrackerTime{}
		})
		g.askTracker(n, reports, nil)
		g.network.After(constants.GrantInterval, renew)
	}
	g.network.After(time.Millisecond, renew)
}

// rosterRemovalDelay is the time after which the control plane removes an ended proxy from
// the roster. As with constants.ProxyExpiry its loans have expired by then; it is shorter to
// keep the runs short.
const rosterRemovalDelay = constants.LongLoanDuration + time.Second

// removeProxy ends a proxy. It stays on the roster for rosterRemovalDelay.
func (g *changingFleet) removeProxy(n string) {
	for i, m := range g.members {
		if m == n {
			g.members = append(g.members[:i:i], g.members[i+1:]...)
		}
	}
	g.incarnation[n]++
	g.frozen[n] = true
	g.ended[n] = g.proxies[n].SettledProxies(g.clock(n))
	g.network.After(rosterRemovalDelay, func() { delete(g.ended, n) })
}

// roster returns the live count as the control plane sees it.
func (g *changingFleet) roster() int { return len(g.members) + len(g.ended) }

// partition cuts a proxy off from the control plane and the trackers for a time.
func (g *changingFleet) partition(n string, span time.Duration) {
	set := func(cut bool) {
		g.partitioned[n] = cut
		for t := range g.trackers {
			g.network.Cut(n, t, cut)
			g.network.Cut(t, n, cut)
		}
	}
	set(true)
	g.network.After(span, func() { set(false) })
}

// activeRates returns the rates at which tokens accrue at this moment: in the split shares
// and grants of all proxies and in the tracker's pool.
func (g *changingFleet) activeRates() (split, granted, pool float64) {
	for _, n := range g.members {
		l := g.proxies[n]
		ks := l.keys[g.key]
		l.refresh(ks, g.clock(n))
		split += ks.split.rate
		if !ks.trackerOnly || ks.onStandby {
			granted += ks.grant.rate
		}
	}
	tracker := g.trackers[g.holder]
	if tracker == nil || tracker.shardSince[Shard(g.key, 3)] != g.since {
		return split, granted, 0 // a pool from before the takeover is dropped at the first request
	}
	if p := tracker.pools[g.key]; p != nil {
		p.resize(g.network.Now, tracker)
		pool = p.bucket.rate
	}
	return split, granted, pool
}

// startMemberClients sends perS requests a second to random members.
func (g *changingFleet) startMemberClients(perS float64) {
	var send func()
	send = func() {
		g.request(g.members[g.network.Rng.IntN(len(g.members))])
		g.network.After(time.Duration(g.network.Rng.Int64N(int64(2*float64(time.Second)/perS))), send)
	}
	g.network.After(time.Second, send)
}

// TestQuotaHoldsWhileLiveCountChanges moves the live count across the threshold from which
// the key is tracker-only, by one and by several proxies at once, while proxies are
// partitioned, so that they do not learn of it, and the tracker duty moves. At no moment may
// tokens accrue faster than the quota, and no window may exceed its allowance.
func TestQuotaHoldsWhileLiveCountChanges(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		q := []Quota{{100, 100}, {40, 40}, {200, 60}}[seed%3]
		g := newChangingFleet(seed, []int{15, 18, 22}[seed/3%3], q)
		g.network.Loss = []float64{0, 0.02}[seed%2]
		r := g.network.Rng
		g.startMemberClients(q.Rate * 3)
		var change func()
		change = func() {
			switch r.IntN(6) {
			case 0, 1:
				for range 1 + r.IntN(6) {
					g.addProxy()
				}
			case 2, 3:
				for range min(1+r.IntN(6), len(g.members)-10) {
					g.removeProxy(g.members[r.IntN(len(g.members))])
				}
			case 4:
				for range 1 + r.IntN(4) {
					g.partition(g.members[r.IntN(len(g.members))], time.Duration(r.IntN(12000))*time.Millisecond)
				}
			case 5:
				g.holder = ""
				g.network.After(300*time.Millisecond, func() {
					g.holder, g.since = fmt.Sprint("t", r.IntN(3)), g.network.Now
				})
			}
			g.network.After(time.Duration(r.IntN(3000))*time.Millisecond, change)
		}
		g.network.After(3*time.Second, change)
		for g.network.Now < 45*time.Second && !t.Failed() {
			g.network.Run(g.network.Now+20*time.Millisecond, nil)
			if split, granted, pool := g.activeRates(); split+granted+pool > q.Rate*1.001 {
				t.Errorf("seed %d, quota %v, %v: %.3f tokens a second accrue in split shares, %.3f in grants and %.3f at the tracker, more than the quota", seed, q, g.network.Now, split, granted, pool)
			}
		}
		if most, allowed := g.maxInWindow(5 * time.Second); float64(most) > allowed {
			t.Errorf("seed %d, quota %v: %d requests ran in a window, %.0f are allowed", seed, q, most, allowed)
		}
	}
}

// TestJoiningProxiesCauseFewRefusals adds and removes proxies in groups of several sizes
// while clients stay well within the quota. In total, at most one second's worth of requests
// may be refused.
func TestJoiningProxiesCauseFewRefusals(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		q := []Quota{{60, 60}, {40, 40}, {160, 160}}[seed%3]
		g := newChangingFleet(seed, 15, q)
		g.network.Delay = 2 * time.Millisecond
		perS := q.Rate * 0.6
		g.startMemberClients(perS)
		g.network.Run(5*time.Second, nil)
		step := []int{6, 2, 1}[seed/3%3]
		for i := 0; i < 6; i += step { // 15 to 21 proxies
			for range step {
				g.addProxy()
			}
			g.network.Run(g.network.Now+1500*time.Millisecond, nil)
		}
		g.network.Run(g.network.Now+6*time.Second, nil)
		for range 6 { // and back to 15
			g.removeProxy(g.members[g.network.Rng.IntN(len(g.members))])
			g.network.Run(g.network.Now+300*time.Millisecond, nil)
		}
		g.network.Run(g.network.Now+rosterRemovalDelay+15*time.Second, nil)
		if refused := g.requested - len(g.admittedAt); float64(refused) > perS {
			t.Errorf("seed %d, quota %v, steps of %d: %d of %d requests within the quota were refused, more than one second's %.0f", seed, q, step, refused, g.requested, perS)
		}
		for _, n := range g.members {
			if g.proxies[n].keys[g.key].trackerOnly {
				t.Errorf("seed %d: the key is still tracker-only at %s, with %d proxies", seed, n, len(g.members))
			}
		}
	}
}
