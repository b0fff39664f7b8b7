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
func (m *Model) extraBurst() float64 {
	floors := 0.0
	for n := 1; n <= m.Proxies+m.Newcomers; n++ {
		kept := constants.SplitPart * m.Quota.Burst / float64(n) * (1 - constants.LendMost)
		floors = max(floors, float64(n)*(admission.SplitFloor(n, m.Slack)-kept))
	}
	return floors + m.Quota.Rate*constants.OneOffLife.Seconds() + m.Tolerance
}

// promised is the most that may run in a window of the promise.
func (m *Model) promisedMax() float64 {
	return (m.Quota.Rate*m.Window.Seconds()+m.Quota.Burst)*(1+promisedOverage) + m.Slack
}

// allowance is a bucket that holds what may run: it is overdrawn if and only if some
// window saw more than its rate over the window and its depth.
type allowance struct {
	rate, depth, tokens float64
	updatedAt           time.Duration
}

func newAllowance(rate, depth float64) allowance {
	return allowance{rate: rate, depth: depth, tokens: depth}
}

// take notes one request that runs, and says whether it was within what is allowed.
func (a *allowance) take(now time.Duration) bool {
	a.tokens = min(a.depth, a.tokens+a.rate*(now-a.updatedAt).Seconds()) - 1
	a.updatedAt = now
	return a.tokens >= -1e-6
}

// ran notes a request that a proxy let through.
func (m *Model) recordRun(n string) {
	m.served++
	if !m.bound.take(m.world.Now) {
		m.fail(RuleBound, "%s lets a request through that is %.2f beyond %v a second and %v at once: %s", n, -m.bound.tokens, m.bound.rate, m.bound.depth, m.describe())
	}
	m.recentRuns = append(m.recentRuns, m.world.Now)
	m.dropOldRuns()
	if limit := m.promisedMax() + m.Tolerance; float64(len(m.recentRuns)) > limit {
		m.fail(RulePromise, "%d requests ran in %v, %.1f are promised at most: %s", len(m.recentRuns), m.Window, limit, m.describe())
	}
}

// forgetOld drops requests that ran before the promise's window that ends now.
func (m *Model) dropOldRuns() {
	for len(m.recentRuns) > 0 && m.world.Now-m.recentRuns[0] > m.Window {
		m.recentRuns = m.recentRuns[1:]
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
