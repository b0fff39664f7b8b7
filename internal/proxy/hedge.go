package proxy

import (
	"time"
)

// hedged offers a repeatable request to one upstream and, when that stays silent for
// unusually long, to a second beside it; the first good answer counts. The other is left
// to finish.
func (p *exchange) hedged(of *placement, skip map[*Upstream]bool) *result {
	ch := make(chan *result, 2)
	run := func(of *placement) {
		c := p.clone() // before the goroutine begins: answers that come meanwhile change p
		go func() { ch <- c.try(of) }()
	}
	run(of)
	out := 1
	asked := time.Now()
	t := time.NewTimer(p.timing().secondAt(asked).Sub(asked))
	defer t.Stop()
	var best *result
	for {
		select {
		case r := <-ch:
			out--
			p.count(r)
			if r.deliverable() && !r.retryable() && !r.notRun {
				if out > 0 {
					p.runs += out // it may well run; its cost is known too late
					go discard(ch, out)
				}
				best.release()
				return r
			}
			if best == nil || !best.sent || r.resp != nil {
				best.release()
				best = r
			}
			if out == 0 {
				return best
			}
		case <-t.C:
			if p.sends+out >= p.maxAttempts() || p.tooLate() || p.clientLeft() {
				continue
			}
			second := p.proxy.pool.Place(p.target(), skip)
			if second == nil {
				continue
			}
			if !p.proxy.retryBudget.Take(p.proxy.now(), p.service) {
				p.proxy.pool.finish(second, outcomeUnused)
				continue
			}
			skip[second.upstream] = true
			p.proxy.hedges.Add(1)
			run(second)
			out++
		}
	}
}

// clone is a copy for an offer made beside another.
func (p *exchange) clone() *exchange { c := *p; return &c }

func discard(ch chan *result, n int) {
	for range n {
		(<-ch).release()
	}
}
