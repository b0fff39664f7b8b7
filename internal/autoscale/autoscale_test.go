package autoscale

import (
	"cmp"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"slateridge/internal/constants"
)

var subject = Subject{"svc", "z"}

// plant is a zone of upstreams that boot, under a load.
type plant struct {
	boot   time.Duration // 0: the usual one
	ready  int
	boots  []time.Duration // when each one ordered becomes ready
	orders Orders
	counts []int // after each change
}

func (p *plant) order(now time.Duration, boot time.Duration, os Orders) {
	n, _ := os.DesiredCount(subject)
	for p.ready+len(p.boots) < n {
		p.boots = append(p.boots, now+boot)
	}
	for p.ready+len(p.boots) > n {
		if len(p.boots) > 0 {
			p.boots = p.boots[:len(p.boots)-1]
		} else {
			p.ready--
		}
	}
	p.orders = os
	p.counts = append(p.counts, n)
}

const usualBoot = 4 * time.Second

// play runs a law over a load; each is asked every 100 ms.
func play(l *Controller, p *plant, from, until time.Duration, load func(time.Duration) float64, whole func(time.Duration) bool, check func(now time.Duration)) {
	b := Bounds{Min: 10, Max: 80, BootTime: cmp.Or(p.boot, usualBoot), Slots: 4}
	for now := from; now < until; now += 100 * time.Millisecond {
		for len(p.boots) > 0 && p.boots[0] <= now {
			p.boots, p.ready = p.boots[1:], p.ready+1
		}
		b.Present = p.ready
		if os, changed := l.Step(now, map[Subject]float64{subject: load(now)}, whole(now), map[Subject]Bounds{subject: b}, p.orders); changed {
			p.order(now, b.BootTime, os)
		}
		if n, ok := p.orders.DesiredCount(subject); ok && (n < b.Min || n > b.Max) {
			panic("out of bounds")
		}
		if check != nil {
			check(now)
		}
	}
}

func always(time.Duration) bool { return true }

func flat(n float64) func(time.Duration) float64 { return func(time.Duration) float64 { return n } }

// A load that falls is followed down in steps, one that rises at once, so that a boot
// later there is room for it; the count settles and stays.
func TestStep(t *testing.T) {
	p := &plant{ready: 50}
	load := func(now time.Duration) float64 {
		if now > 40*time.Second {
			return 120
		}
		return 40
	}
	play(NewController(), p, 0, 39*time.Second, load, always, nil)
	want := int(math.Ceil(40 / (4 * constants.ScaleTaken)))
	if p.ready < want || p.ready > want+3 {
		t.Fatalf("%d upstreams for 40 requests at once, want %d: %v", p.ready, want, p.counts)
	}
	l := NewController()
	play(l, p, 30*time.Second, 46*time.Second, load, always, nil)
	if p.ready*4 < 120 {
		t.Fatalf("%d upstreams of 4 places 6 s after the load rose to 120", p.ready)
	}
	settled := len(p.counts)
	play(l, p, 60*time.Second, 90*time.Second, load, always, nil)
	if len(p.counts) > settled+3 {
		t.Fatalf("the count does not settle: %v", p.counts[settled:])
	}
}

// A wave and noise do not set it swinging: once it has settled it turns round seldom,
// and there is always room for all.
func TestWaveDoesNotSwing(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		r := rand.New(rand.NewPCG(seed, 3))
		base, period := 60+60*r.Float64(), 5+10*r.Float64()
		p := &plant{ready: 60}
		load := func(now time.Duration) float64 {
			return math.Round(base * (1 + 0.15*math.Sin(now.Seconds()*2*math.Pi/period) + 0.05*r.NormFloat64()))
		}
		turns := 0
		play(NewController(), p, 0, 90*time.Second, load, always, func(now time.Duration) {
			if now > 20*time.Second && float64(p.ready*4) < base*1.3 {
				t.Fatalf("seed %d at %v: %d upstreams for %.0f", seed, now, p.ready, base)
			}
		})
		for i := 2; i < len(p.counts); i++ {
			if (p.counts[i]-p.counts[i-1])*(p.counts[i-1]-p.counts[i-2]) < 0 {
				turns++
			}
		}
		if turns > 4 {
			t.Errorf("seed %d: %d turns in 90 s: %v", seed, turns, p.counts)
		}
	}
}

// Without a word from every proxy, or with nobody asking, nothing is given up; and a
// rise is followed all the same.
func TestStaleNeverScalesIn(t *testing.T) {
	p := &plant{ready: 2} // fewer than minCount, and nothing known yet
	play(NewController(), p, 0, 10*time.Second, flat(0), always, nil)
	if len(p.counts) > 0 {
		t.Fatalf("ordered before anything was measured: %v", p.counts)
	}
	p = &plant{ready: 50}
	play(NewController(), p, 0, 60*time.Second, flat(10), func(time.Duration) bool { return false }, nil)
	play(NewController(), p, 60*time.Second, 120*time.Second, flat(0), always, nil)
	if p.ready != 50 || len(p.counts) > 0 {
		t.Fatalf("%d left of 50: %v", p.ready, p.counts)
	}
	play(NewController(), p, 0, 10*time.Second, flat(150), func(time.Duration) bool { return false }, nil)
	if p.ready < 60 {
		t.Fatalf("%d upstreams for 150 while some proxies are silent", p.ready)
	}
}

// A successor goes on from what is ordered: it takes nothing back for a hold time.
func TestSuccessorGoesOn(t *testing.T) {
	p := &plant{ready: 20}
	play(NewController(), p, 0, 10*time.Second, flat(100), always, nil)
	n, _ := p.orders.DesiredCount(subject)
	play(NewController(), p, 10*time.Second, 10*time.Second+Bounds{BootTime: usualBoot}.hold()/2, flat(30), always, nil)
	if m, _ := p.orders.DesiredCount(subject); m != n {
		t.Fatalf("a successor's first order is %d, %d were ordered", m, n)
	}
}

// What was ordered for a peak is kept until the upstreams that boot slowly have shown their
// effect, however short the peak: a service whose upstreams boot fast gives up sooner.
func TestOrdersStandUntilTheirEffectIsSeen(t *testing.T) {
	givenUp := func(boot time.Duration) time.Duration {
		p := &plant{ready: 20, boot: boot}
		peak := func(now time.Duration) float64 {
			if now > 40*time.Second && now < 44*time.Second {
				return 100
			}
			return 35
		}
		most, at := 0, time.Duration(0)
		play(NewController(), p, 0, 120*time.Second, peak, always, func(now time.Duration) {
			n, _ := p.orders.DesiredCount(subject)
			most = max(most, n)
			if at == 0 && now > 44*time.Second && n < most*3/4 {
				at = now - 44*time.Second
			}
		})
		return at
	}
	fast, slow := givenUp(usualBoot), givenUp(20*time.Second)
	if slow < 15*time.Second || fast == 0 || fast > 10*time.Second {
		t.Errorf("given up %v after the peak where upstreams boot in 4 s and %v where they take 20 s", fast, slow)
	}
}

// Words that cannot be are dropped, old ones count for nothing.
func TestLoadSumBounds(t *testing.T) {
	g := NewLoadAggregator()
	if g.Record(0, Report{Proxy: "p", Zone: "z", Running: map[string]int{"svc": -1}}) || g.Record(0, Report{Running: map[string]int{"svc": 1}}) || g.Rejected != 2 {
		t.Error("a word that cannot be was taken")
	}
	g.Record(0, Report{Proxy: "p", Zone: "z", Running: map[string]int{"svc": 3}})
	g.Record(0, Report{Proxy: "p", Zone: "z", Running: map[string]int{"svc": 3}}) // twice
	if sum, whole := g.Sum(time.Second, []string{"p"}); sum[subject] != 3 || !whole {
		t.Errorf("%v %v, want 3 of all", sum, whole)
	}
	if _, whole := g.Sum(time.Second, []string{"p", "q"}); whole {
		t.Error("whole without q")
	}
	if sum, whole := g.Sum(constants.ScaleFresh+1, []string{"p"}); sum[subject] != 0 || whole {
		t.Errorf("%v %v of an old word", sum, whole)
	}
}
