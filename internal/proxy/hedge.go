package proxy

import (
	"time"
)

// hedged sends an idempotent request with a buffered body to one upstream and, if the response
// takes unusually long, to a second one as well. It returns the first response that can be
// delivered and need not be retried; the other attempt is left to finish.
func (p *exchange) hedged(pl *placement, skip map[*Upstream]bool) *result {
	results := make(chan *result, 2)
	start := func(pl *placement) {
		c := p.clone() // cloned before the goroutine starts: responses counted meanwhile change p
		go func() { results <- c.attempt(pl) }()
	}
	start(pl)
	pending := 1
	startedAt := time.Now()
	timer := time.NewTimer(p.timing().hedgeAt(startedAt).Sub(startedAt))
	defer timer.Stop()
	var best *result
	for {
		select {
		case res := <-results:
			pending--
			p.countAttempt(res)
			if res.deliverable() && !res.retryable() && !res.notExecuted {
				if pending > 0 {
					p.executions += pending // the other attempt may be executed too, but its outcome comes too late to be counted
					go releaseResults(results, pending)
				}
				best.release()
				return res
			}
			if best == nil || !best.sent || res.resp != nil {
				best.release()
				best = res
			}
			if pending == 0 {
				return best
			}
		case <-timer.C:
			if p.attempts+pending >= p.maxAttempts() || p.tooLate() || p.clientDisconnected() {
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
			start(second)
			pending++
		}
	}
}

// clone returns a copy for an attempt made concurrently with another.
func (p *exchange) clone() *exchange { c := *p; return &c }

func releaseResults(results chan *result, n int) {
	for range n {
		(<-results).release()
	}
}
