package admissionmodel

import (
	"fmt"
	"strings"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/constants"
)

// extra is what docs/design.md allows beyond the burst: what floors add to split
// shares that hold less, and tokens that a tracker gave to waiting requests within
// their short life.
func (m *Model) extra() float64 {
	floors := 0.0
	for n := 1; n <= m.Proxies+m.Newcomers; n++ {
		kept := constants.SplitFraction * m.Quota.Burst / float64(n) * (1 - constants.MaxLentFraction)
		floors = max(floors, float64(n)*(admission.SplitFloor(n, m.Slack)-kept))
	}
	return floors + m.Quota.Rate*constants.OneOffLifetime.Seconds() + m.Tolerance
}

// promised is the most that may run in a window of the promise.
func (m *Model) promised() float64 {
	return (m.Quota.Rate*m.Window.Seconds()+m.Quota.Burst)*(1+promisedOverage) + m.Slack
}

// allowance is a bucket that holds what may run: it is overdrawn if and only if some
// window saw more than its rate over the window and its depth.
type allowance struct {
	rate, depth, left float64
	at                time.Duration
}

func newAllowance(rate, depth float64) allowance {
	return allowance{rate: rate, depth: depth, left: depth}
}

// take notes one request that runs, and says whether it was within what is allowed.
func (a *allowance) take(now time.Duration) bool {
	a.left = min(a.depth, a.left+a.rate*(now-a.at).Seconds()) - 1
	a.at = now
	return a.left >= -1e-6
}

// ran notes a request that a proxy let through.
func (m *Model) ran(n string) {
	m.served++
	if !m.bound.take(m.world.Now) {
		m.broken(RuleBound, "%s lets a request through that is %.2f beyond %v a second and %v at once: %s", n, -m.bound.left, m.bound.rate, m.bound.depth, m.describe())
	}
	m.recent = append(m.recent, m.world.Now)
	m.forgetOld()
	if most := m.promised() + m.Tolerance; float64(len(m.recent)) > most {
		m.broken(RulePromise, "%d requests ran in %v, %.1f are promised at most: %s", len(m.recent), m.Window, most, m.describe())
	}
}

// forgetOld drops requests that ran before the promise's window that ends now.
func (m *Model) forgetOld() {
	for len(m.recent) > 0 && m.world.Now-m.recent[0] > m.Window {
		m.recent = m.recent[1:]
	}
}

// describe says what each proxy has.
func (m *Model) describe() string {
	var out []string
	for _, n := range m.proxiesUp() {
		p := m.proxies[n]
		for _, r := range p.limiter.Reports(m.clock(n)) {
			out = append(out, fmt.Sprintf("%s reckons with %d, split %.2f and grant %.2f a second, balance %.2f", n, p.limiter.Proxies(), r.SplitRate, r.GrantRate, r.Balance))
		}
	}
	return strings.Join(out, "; ")
}
