package admission

import (
	"time"

	"slateridge/internal/constants"
)

// loan is a part of a proxy's split share that it leaves to the tracker.
type loan struct {
	rate, depth float64
	expires     time.Duration
	wholeRate   float64 // the rate again, if the share is lent whole
}

// setLoan notes what a proxy leaves to the tracker from now on; an empty loan is none.
func (p *pool) setLoan(proxy string, l loan) {
	was := p.loans[proxy]
	p.loanTotals.rate += l.rate - was.rate
	p.loanTotals.depth += l.depth - was.depth
	p.loanTotals.wholeRate += l.wholeRate - was.wholeRate
	if l == (loan{}) {
		delete(p.loans, proxy)
		return
	}
	p.loans[proxy] = l
	p.loanTotals.expires = min(p.loanTotals.expires, l.expires)
}

// updateLoan takes what a proxy lends from now on, and returns the rate that counts
// as lent. A larger loan counts at once, and so does a smaller one, except of a share
// that was lent whole: of that as much is given back as no standby rests on.
func (p *pool) updateLoan(now time.Duration, tracker *Tracker, proxy string, to loan) float64 {
	p.refreshLoanTotals(now)
	was := p.loans[proxy]
	if to.rate < was.rate && was.wholeRate > 0 {
		back := min(was.rate-to.rate, max(0, p.uncommitted(now, tracker)))
		if kept := was.rate - back; kept > rateEpsilon {
			part := kept / was.rate
			to = loan{rate: kept, depth: was.depth * part, expires: max(was.expires, to.expires), wholeRate: was.wholeRate * part}
		} else {
			to = loan{}
		}
	}
	p.setLoan(proxy, to)
	return to.rate
}

// refreshLoanTotals drops loans that have ended and sums the others anew.
func (p *pool) refreshLoanTotals(now time.Duration) {
	if now < p.loanTotals.expires {
		return
	}
	p.loanTotals = loan{expires: now + constants.GrantLong}
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
