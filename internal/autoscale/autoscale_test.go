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

// zoneSim simulates the upstreams of a service in one zone, which take time to boot.
type zoneSim struct {
	bootTime time.Duration // 0: defaultBootTime
	ready    int
	booting  []time.Duration // when each booting upstream becomes ready
	orders   Orders
	counts   []int // after each change
}

func (z *zoneSim) apply(now time.Duration, bootTime time.Duration, orders Orders) {
	n, _ := orders.DesiredCount(subject)
	for z.ready+len(z.booting) < n {
		z.booting = append(z.booting, now+bootTime)
	}
	for z.ready+len(z.booting) > n {
		if len(z.booting) > 0 {
			z.booting = z.booting[:len(z.booting)-1]
		} else {
			z.ready--
		}
	}
	z.orders = orders
	z.counts = append(z.counts, n)
}

const defaultBootTime = 4 * time.Second

// simulate runs the controller under a load, with a step every 100 ms.
func simulate(controller *Controller, z *zoneSim, from, until time.Duration, load func(time.Duration) float64, complete func(time.Duration) bool, check func(now time.Duration)) {
	b := Bounds{Min: 10, Max: 80, BootTime: cmp.Or(z.bootTime, defaultBootTime), Slots: 4}
	for now := from; now < until; now += 100 * time.Millisecond {
		for len(z.booting) > 0 && z.booting[0] <= now {
			z.booting, z.ready = z.booting[1:], z.ready+1
		}
		b.Present = z.ready
		if orders, changed := controller.Step(now, map[Subject]float64{subject: load(now)}, complete(now), map[Subject]Bounds{subject: b}, z.orders); changed {
			z.apply(now, b.BootTime, orders)
		}
		if n, ok := z.orders.DesiredCount(subject); ok && (n < b.Min || n > b.Max) {
			panic("out of bounds")
		}
		if check != nil {
			check(now)
		}
	}
}

func always(time.Duration) bool { return true }

func constant(n float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return n }
}

// The count follows a falling load in steps. It follows a rising load at once, so that there is
// enough capacity one boot time later. Under a constant load it settles.
func TestScalesOutAtOnceAndInGradually(t *testing.T) {
	z := &zoneSim{ready: 50}
	load := func(now time.Duration) float64 {
		if now > 40*time.Second {
			return 120
		}
		return 40
	}
	simulate(NewController(), z, 0, 39*time.Second, load, always, nil)
	want := int(math.Ceil(40 / (4 * constants.ScaleTargetUtilization)))
	if z.ready < want || z.ready > want+3 {
		t.Fatalf("%d upstreams for 40 concurrent requests, want %d; counts: %v", z.ready, want, z.counts)
	}
	controller := NewController()
	simulate(controller, z, 30*time.Second, 46*time.Second, load, always, nil)
	if z.ready*4 < 120 {
		t.Fatalf("%d upstreams with 4 slots each 6 s after the load rose to 120", z.ready)
	}
	settled := len(z.counts)
	simulate(controller, z, 60*time.Second, 90*time.Second, load, always, nil)
	if len(z.counts) > settled+3 {
		t.Fatalf("the count does not settle: %v", z.counts[settled:])
	}
}

// A periodic, noisy load does not make the count oscillate: once settled it rarely changes
// direction, and there is always enough capacity.
func TestPeriodicLoadDoesNotCauseOscillation(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		r := rand.New(rand.NewPCG(seed, 3))
		base, period := 60+60*r.Float64(), 5+10*r.Float64()
		z := &zoneSim{ready: 60}
		load := func(now time.Duration) float64 {
			return math.Round(base * (1 + 0.15*math.Sin(now.Seconds()*2*math.Pi/period) + 0.05*r.NormFloat64()))
		}
		reversals := 0
		simulate(NewController(), z, 0, 90*time.Second, load, always, func(now time.Duration) {
			if now > 20*time.Second && float64(z.ready*4) < base*1.3 {
				t.Fatalf("seed %d at %v: %d upstreams for a mean load of %.0f", seed, now, z.ready, base)
			}
		})
		for i := 2; i < len(z.counts); i++ {
			if (z.counts[i]-z.counts[i-1])*(z.counts[i-1]-z.counts[i-2]) < 0 {
				reversals++
			}
		}
		if reversals > 4 {
			t.Errorf("seed %d: %d changes of direction in 90 s: %v", seed, reversals, z.counts)
		}
	}
}

// Without reports from every proxy, or without any requests, the count is never reduced, but a
// rising load still increases it.
func TestNoScaleInWithoutCompleteReports(t *testing.T) {
	z := &zoneSim{ready: 2} // below Min, and no load measured yet
	simulate(NewController(), z, 0, 10*time.Second, constant(0), always, nil)
	if len(z.counts) > 0 {
		t.Fatalf("ordered before any load was measured: %v", z.counts)
	}
	z = &zoneSim{ready: 50}
	simulate(NewController(), z, 0, 60*time.Second, constant(10), func(time.Duration) bool { return false }, nil)
	simulate(NewController(), z, 60*time.Second, 120*time.Second, constant(0), always, nil)
	if z.ready != 50 || len(z.counts) > 0 {
		t.Fatalf("%d upstreams left of 50; counts: %v", z.ready, z.counts)
	}
	simulate(NewController(), z, 0, 10*time.Second, constant(150), func(time.Duration) bool { return false }, nil)
	if z.ready < 60 {
		t.Fatalf("%d upstreams for a load of 150 with incomplete reports", z.ready)
	}
}

// A new duty holder starts without load history. It continues from the existing orders and does not
// reduce them within the hold time.
func TestNewControllerKeepsOrdersDuringHoldTime(t *testing.T) {
	z := &zoneSim{ready: 20}
	simulate(NewController(), z, 0, 10*time.Second, constant(100), always, nil)
	n, _ := z.orders.DesiredCount(subject)
	simulate(NewController(), z, 10*time.Second, 10*time.Second+Bounds{BootTime: defaultBootTime}.hold()/2, constant(30), always, nil)
	if m, _ := z.orders.DesiredCount(subject); m != n {
		t.Fatalf("the new holder ordered %d, the previous order was %d", m, n)
	}
}

// However short a load peak is, the upstreams ordered for it are kept until the effect of the order
// is visible. A service whose upstreams boot quickly therefore scales in sooner than one whose
// upstreams boot slowly.
func TestOrderIsKeptUntilItsEffectIsVisible(t *testing.T) {
	timeToScaleIn := func(bootTime time.Duration) time.Duration {
		z := &zoneSim{ready: 20, bootTime: bootTime}
		load := func(now time.Duration) float64 {
			if now > 40*time.Second && now < 44*time.Second {
				return 100
			}
			return 35
		}
		highest, after := 0, time.Duration(0)
		simulate(NewController(), z, 0, 120*time.Second, load, always, func(now time.Duration) {
			n, _ := z.orders.DesiredCount(subject)
			highest = max(highest, n)
			if after == 0 && now > 44*time.Second && n < highest*3/4 {
				after = now - 44*time.Second
			}
		})
		return after
	}
	fast, slow := timeToScaleIn(defaultBootTime), timeToScaleIn(20*time.Second)
	if slow < 15*time.Second || fast == 0 || fast > 10*time.Second {
		t.Errorf("scaled in %v after the peak with a boot time of 4 s and %v with a boot time of 20 s", fast, slow)
	}
}

// Invalid reports are rejected, and outdated ones do not contribute to the sum.
func TestLoadAggregatorIgnoresInvalidAndOldReports(t *testing.T) {
	a := NewLoadAggregator()
	if a.Record(0, Report{Proxy: "p", Zone: "z", Running: map[string]int{"svc": -1}}) || a.Record(0, Report{Running: map[string]int{"svc": 1}}) || a.Rejected != 2 {
		t.Error("an invalid report was accepted")
	}
	a.Record(0, Report{Proxy: "p", Zone: "z", Running: map[string]int{"svc": 3}})
	a.Record(0, Report{Proxy: "p", Zone: "z", Running: map[string]int{"svc": 3}}) // duplicate
	if sum, complete := a.Sum(time.Second, []string{"p"}); sum[subject] != 3 || !complete {
		t.Errorf("sum %v, complete %v; want 3, true", sum, complete)
	}
	if _, complete := a.Sum(time.Second, []string{"p", "q"}); complete {
		t.Error("complete without a report from q")
	}
	if sum, complete := a.Sum(constants.ScaleReportMaxAge+1, []string{"p"}); sum[subject] != 0 || complete {
		t.Errorf("sum %v, complete %v from an outdated report", sum, complete)
	}
}
