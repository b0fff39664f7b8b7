package admission

import (
	"fmt"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// changingFleet is a fleet whose live count rises and falls as control would tell it: one
// proxy after the other learns of it, and a newcomer is told only when all that
// have a share reckon with the larger count.
type changingFleet struct {
	*fleet
	members     []string        // on the roster, newcomers last
	sharing     map[string]bool // have been told a count
	partitioned map[string]bool // hear neither control nor trackers
	nextID      int             // number of the next newcomer
	ended       map[string]int  // the last count of proxies that have ended and are still on the roster
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

// sendCounts is a turn of control: the count goes out to those that share it and can be
// reached, each after a time of its own, and newcomers are let in when that is safe.
func (g *changingFleet) sendCounts() {
	count, all := g.roster(), true
	for _, n := range g.members {
		if !g.sharing[n] {
			continue
		}
		if settled := g.proxies[n].SettledProxies(g.clock(n)); settled < count {
			all = false
		}
		if !g.partitioned[n] {
			g.network.After(time.Duration(g.network.Rng.IntN(700))*time.Millisecond, func() { g.receiveCount(n, count) })
		}
	}
	for n, last := range g.ended {
		all = all && (!g.sharing[n] || last >= count)
	}
	if all {
		for _, n := range g.members {
			g.sharing[n] = true
		}
	}
}

func (g *changingFleet) receiveCount(n string, count int) {
	if g.partitioned[n] || g.frozen[n] || g.proxies[n] == nil || count != g.roster() {
		return
	}
	g.liveCounts[n] = count
	g.proxies[n].SetProxies(g.clock(n), count)
}

// addProxy starts a proxy that has no share yet.
func (g *changingFleet) addProxy() {
	n := fmt.Sprint("p", g.nextID)
	g.nextID++
	g.members = append(g.members, n)
	g.start(n)
	var renew func()
	renew = func() {
		if g.frozen[n] {
			return // it has ended
		}
		wants := g.proxies[n].BuildReports(g.clock(n), func(string) (time.Duration, uint64, bool) {
			return g.echoAt[n], g.echo[n].Life, g.echo[n] != TrackerTime{}
		})
		g.askTracker(n, wants, nil)
		g.network.After(constants.GrantEvery, renew)
	}
	g.network.After(time.Millisecond, renew)
}

// rosterRemovalDelay is when control takes a proxy that has ended off the roster: after its
// loans have ended, as with constants.ProxyForget, and sooner, so that runs stay short.
const rosterRemovalDelay = constants.LendLong + time.Second

// removeProxy ends a proxy; the roster forgets it a while later.
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

// roster is the live count by what control knows.
func (g *changingFleet) roster() int { return len(g.members) + len(g.ended) }

// partition parts a proxy from control and trackers for a while.
func (g *changingFleet) partition(n string, span time.Duration) {
	set := func(apart bool) {
		g.partitioned[n] = apart
		for t := range g.trackers {
			g.network.Cut(n, t, apart)
			g.network.Cut(t, n, apart)
		}
	}
	set(true)
	g.network.After(span, func() { set(false) })
}

// activeRates is the rate that may flow at this moment: what every proxy fills its
// buckets with and what the tracker has left.
func (g *changingFleet) activeRates() (split, held, pool float64) {
	for _, n := range g.members {
		l := g.proxies[n]
		b := l.keys[g.key]
		l.refresh(b, g.clock(n))
		split += b.split.rate
		if !b.trackerOnly || b.onStandby {
			held += b.grant.rate
		}
	}
	tracker := g.trackers[g.holder]
	if tracker == nil || tracker.shardSince[Shard(g.key, 3)] != g.since {
		return split, held, 0 // a pool of an earlier turn is thrown away with the first word
	}
	if p := tracker.pools[g.key]; p != nil {
		p.resize(g.network.Now, tracker)
		pool = p.bucket.rate
	}
	return split, held, pool
}

// startMemberClients sends requests at the proxies that are members, so many a second.
func (g *changingFleet) startMemberClients(perS float64) {
	var come func()
	come = func() {
		g.request(g.members[g.network.Rng.IntN(len(g.members))])
		g.network.After(time.Duration(g.network.Rng.Int64N(int64(2*float64(time.Second)/perS))), come)
	}
	g.network.After(time.Second, come)
}

// TestCountRisesAndFalls takes the live count up and down over the step from which
// the tracker carries the key, one by one and several at once, while proxies are cut
// off and hear nothing of it and the trackers' duty moves. At no moment may more
// flow than the quota, and no window may see more run than the rule allows.
func TestCountRisesAndFalls(t *testing.T) {
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
			if split, held, pool := g.activeRates(); split+held+pool > q.Rate*1.001 {
				t.Errorf("seed %d, quota %v, %v: %.3f of split shares, %.3f held and %.3f at the tracker may flow a second", seed, q, g.network.Now, split, held, pool)
			}
		}
		if most, allowed := g.maxInWindow(5 * time.Second); float64(most) > allowed {
			t.Errorf("seed %d, quota %v: %d ran in a window, %.0f are allowed", seed, q, most, allowed)
		}
	}
}

// TestJoinersRefuseNobody lets proxies join and leave in groups of any size while
// clients stay well within the quota: under a second of refusals is left in all.
func TestJoinersRefuseNobody(t *testing.T) {
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
		for range 6 { // and back
			g.removeProxy(g.members[g.network.Rng.IntN(len(g.members))])
			g.network.Run(g.network.Now+300*time.Millisecond, nil)
		}
		g.network.Run(g.network.Now+rosterRemovalDelay+15*time.Second, nil)
		if refused := g.requested - len(g.admittedAt); float64(refused) > perS {
			t.Errorf("seed %d, quota %v, steps of %d: %d of %d requests within the quota were refused, over a second's %.0f", seed, q, step, refused, g.requested, perS)
		}
		for _, n := range g.members {
			if g.proxies[n].keys[g.key].trackerOnly {
				t.Errorf("seed %d: the tracker still carries the key at %s, with %d proxies", seed, n, len(g.members))
			}
		}
	}
}
