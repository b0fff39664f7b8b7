package admission

import (
	"time"

	"slateridge/internal/constants"
)

// loan is a part of a proxy's split share that it leaves to the tracker.
type loan struct {
	rate, depth float64
	until       time.Duration
	long        float64 // the rate again, if the share is lent whole
}

// lend notes what a proxy leaves to the tracker from now on; an empty loan is none.
func (p *pool) lend(proxy string, l loan) {
	was := p.loans[proxy]
	p.loaned.rate += l.rate - was.rate
	p.loaned.depth += l.depth - was.depth
	p.loaned.long += l.long - was.long
	if l == (loan{}) {
		delete(p.loans, proxy)
		return
	}
	p.loans[proxy] = l
	p.loaned.until = min(p.loaned.until, l.until)
}

// changeLoan takes what a proxy lends from now on, and returns the rate that counts
// as lent. A larger loan counts at once, and so does a smaller one, except of a share
// that was lent whole: of that as much is given back as no standby rests on.
func (p *pool) changeLoan(now time.Duration, tracker *Tracker, proxy string, to loan) float64 {
	p.sumLoans(now)
	was := p.loans[proxy]
	if to.rate < was.rate && was.long > 0 {
		back := min(was.rate-to.rate, max(0, p.uncommitted(now, tracker)))
		if kept := was.rate - back; kept > rateEpsilon {
			part := kept / was.rate
			to = loan{rate: kept, depth: was.depth * part, until: max(was.until, to.until), long: was.long * part}
		} else {
			to = loan{}
		}
	}
	p.lend(proxy, to)
	return to.rate
}

// sumLoans drops loans that have ended and sums the others anew.
func (p *pool) sumLoans(now time.Duration) {
	if now < p.loaned.until {
		return
	}
	p.loaned = loan{until: now + constants.GrantLong}
	for k, l := range p.loans {
		if now >= l.until {
			delete(p.loans, k)
			continue
		}
		p.loaned.rate += l.rate
		p.loaned.depth += l.depth
		p.loaned.long += l.long
		p.loaned.until = min(p.loaned.until, l.until)
	}
}
