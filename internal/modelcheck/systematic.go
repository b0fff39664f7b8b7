package modelcheck

import (
	"sync"
)

// Systematic runs all schedules within the bounds, in order of their number of deviations.
func Systematic(mk func() Model, o Options) Report {
	s := newSearch(o)
	models := make([]Model, s.Jobs)
	for i := range models {
		models[i] = mk()
	}
	level := []*node{nil}
	expanded := map[uint64]bool{} // states whose deviations are in a level already
	for dev := 0; dev <= s.Deviations && len(level) > 0 && !s.done(); dev++ {
		s.mu.Lock()
		s.rep.Level, s.rep.LevelDone, s.rep.LevelSize = dev, 0, len(level)
		s.mu.Unlock()
		var next []*node
		// Batches bound the memory for results. Processing them in order makes the next level
		// independent of the number of jobs.
		for start := 0; start < len(level) && !s.done(); start += 64 * s.Jobs {
			batch := level[start:min(len(level), start+64*s.Jobs)]
			found := make([][]branchPoint, len(batch))
			var wg sync.WaitGroup
			for j, m := range models {
				wg.Go(func() {
					for i := j; i < len(batch) && !s.done(); i += s.Jobs {
						found[i] = s.visit(m, batch[i].schedule())
						s.mu.Lock()
						s.rep.LevelDone++
						s.mu.Unlock()
					}
				})
			}
			wg.Wait()
			for i, n := range batch {
				if dev == s.Deviations {
					break
				}
				for wait, p := range found[i] {
					if expanded[p.hash] {
						break // all later states on this path were expanded too
					}
					expanded[p.hash] = true
					for _, w := range p.choices {
						next = append(next, &node{n, wait, w})
					}
				}
			}
		}
		if s.rep.LevelDone == len(level) {
			s.rep.Complete = dev
		}
		if level = next; len(level) == 0 && s.rep.Complete == dev {
			s.rep.Complete = s.Deviations // no state is left to deviate from
		}
	}
	return s.finish(expanded)
}
