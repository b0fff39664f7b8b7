package admission

import (
	"time"

	"slateridge/internal/constants"
)

// loan is the part of a proxy's split share that is lent to the tracker.
type loan struct {
	rate, depth float64
	expires     time.Duration
	wholeRate   float64 // equal to rate if the share is lent whole, otherwise 0
}

// setLoan replaces a proxy's loan and updates the totals. A zero loan means none.
func (p *pool) setLoan(proxy string, l loan) {
	old := p.loans[proxy]
	p.loanTotals.rate += l.rate - old.rate
	p.loanTotals.depth += l.depth - old.depth
	p.loanTotals.wholeRate += l.wholeRate - old.wholeRate
	if l == (loan{}) {
		delete(p.loans, proxy)
		return
	}
	p.loans[proxy] = l
	p.loanTotals.expires = min(p.loanTotals.expires, l.expires)
}

// updateLoan applies a proxy's new loan and returns the rate that counts as lent. An
// increase takes effect at once, and so does a reduction, except for a share that was lent
// whole: of that, only the part that no standby rate depends on is returned.
func (p *pool) updateLoan(now time.Duration, tracker *Tracker, proxy string, next loan) float64 {
	p.refreshLoanTotals(now)
	old := p.loans[proxy]
	if next.rate < old.rate && old.wholeRate > 0 {
		returned := min(old.rate-next.rate, max(0, p.uncommitted(now, tracker)))
		if kept := old.rate - returned; kept > rateEpsilon {
			fraction := kept / old.rate
			next = loan{rate: kept, depth: old.depth * fraction, expires: max(old.expires, next.expires), wholeRate: old.wholeRate * fraction}
		} else {
			next = loan{}
		}
	}
	p.setLoan(proxy, next)
	return next.rate
}

// refreshLoanTotals drops expired loans and recomputes the totals.
func (p *pool) refreshLoanTotals(now time.Duration) {
	if now < p.loanTotals.expires {
		return
	}
	p.loanTotals = loan{expires: now + constants.LongGrantDuration}
	for k, l := range p.loans {
		if now >= l.expires {
			delete(p.loans, k)
			continue
		}
		p.loanTotals.rate += l.rate
		p.loanTotals.depth += l.depth
		p.loanTotals.wholeRate += l.wholeRate
		p.loanTotals.expires = min(p.loanTotals.expires, l.expires)
	}
}
