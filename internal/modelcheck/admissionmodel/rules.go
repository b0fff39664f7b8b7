package admissionmodel

import (
	"fmt"
	"strings"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/constants"
)

// extraBurst returns what docs/design.md allows in addition to the burst: the amount by which
// floors exceed smaller split shares, and tokens that a tracker granted to waiting requests
// within their short lifetime.
func (m *Model) extraBurst() float64 {
	floors := 0.0
	for n := 1; n <= m.Proxies+m.Newcomers; n++ {
		kept := constants.SplitFraction * m.Quota.Burst / float64(n) * (1 - constants.MaxLentFraction)
		floors = max(floors, float64(n)*(admission.SplitFloor(n, m.Slack)-kept))
	}
	return floors + m.Quota.Rate*constants.OneOffLifetime.Seconds() + m.Tolerance
}

// promisedMax returns the maximum number of requests in a window of the promise.
func (m *Model) promisedMax() float64 {
	return (m.Quota.Rate*m.Window.Seconds()+m.Quota.Burst)*(1+promisedOverage) + m.Slack
}

// allowance is a token bucket of what may be admitted. It is overdrawn if and only if some
// window contains more than its rate times the length of the window plus its depth.
type allowance struct {
	rate, depth, tokens float64
	updatedAt           time.Duration
}

func newAllowance(rate, depth float64) allowance {
	return allowance{rate: rate, depth: depth, tokens: depth}
}

// take takes a token for an admitted request and reports whether it was within the allowance.
func (a *allowance) take(now time.Duration) bool {
	a.tokens = min(a.depth, a.tokens+a.rate*(now-a.updatedAt).Seconds()) - 1
	a.updatedAt = now
	return a.tokens >= -1e-6
}

// recordRun records a request that a proxy admitted and checks the bounds.
func (m *Model) recordRun(n string) {
	m.served++
	if !m.bound.take(m.world.Now) {
		m.fail(RuleBound, "%s admitted a request that is %.2f tokens beyond a rate of %v/s with a burst of %v: %s", n, -m.bound.tokens, m.bound.rate, m.bound.depth, m.describe())
	}
	m.recentRuns = append(m.recentRuns, m.world.Now)
	m.dropOldRuns()
	if limit := m.promisedMax() + m.Tolerance; float64(len(m.recentRuns)) > limit {
		m.fail(RulePromise, "%d requests were admitted within %v, the promise allows %.1f: %s", len(m.recentRuns), m.Window, limit, m.describe())
	}
}

// dropOldRuns removes requests that were admitted before the promise's window that ends now.
func (m *Model) dropOldRuns() {
	for len(m.recentRuns) > 0 && m.world.Now-m.recentRuns[0] > m.Window {
		m.recentRuns = m.recentRuns[1:]
	}
}

// describe formats each proxy's state for error messages.
func (m *Model) describe() string {
	var out []string
	for _, n := range m.proxiesUp() {
		p := m.proxies[n]
		for _, r := range p.limiter.Reports(m.clock(n)) {
			out = append(out, fmt.Sprintf("%s: live count %d, split rate %.2f/s, grant rate %.2f/s, balance %.2f", n, p.limiter.Proxies(), r.SplitRate, r.GrantRate, r.Balance))
		}
	}
	return strings.Join(out, "; ")
}
