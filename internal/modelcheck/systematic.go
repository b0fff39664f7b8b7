package modelcheck

import (
	"sync"
)

// Systematic runs all schedules within the bounds, in order of their number of deviations.
func Systematic(newModel func() Model, o Options) Report {
	s := newSearch(o)
	models := make([]Model, s.Jobs)
	for i := range models {
		models[i] = newModel()
	}
	level := []*node{nil}
	expanded := map[uint64]bool{} // states whose deviations are in a level already
	for deviations := 0; deviations <= s.Deviations && len(level) > 0 && !s.done(); deviations++ {
		s.mu.Lock()
		s.totals.Level, s.totals.LevelDone, s.totals.LevelSize = deviations, 0, len(level)
		s.mu.Unlock()
		var next []*node
		// Batches bound the memory for results. Processing them in order makes the next level
		// independent of the number of jobs.
		for start := 0; start < len(level) && !s.done(); start += 64 * s.Jobs {
			batch := level[start:min(len(level), start+64*s.Jobs)]
			results := make([][]branchPoint, len(batch))
			var wg sync.WaitGroup
			for j, m := range models {
				wg.Go(func() {
					for i := j; i < len(batch) && !s.done(); i += s.Jobs {
						results[i] = s.visit(m, batch[i].schedule())
						s.mu.Lock()
						s.totals.LevelDone++
						s.mu.Unlock()
					}
				})
			}
			wg.Wait()
			for i, n := range batch {
				if deviations == s.Deviations {
					break
				}
				for wait, point := range results[i] {
					if expanded[point.hash] {
						break // all later states on this path were expanded too
					}
					expanded[point.hash] = true
					for _, choice := range point.choices {
						next = append(next, &node{n, wait, choice})
					}
				}
			}
		}
		if s.totals.LevelDone == len(level) {
			s.totals.Complete = deviations
		}
		if level = next; len(level) == 0 && s.totals.Complete == deviations {
			s.totals.Complete = s.Deviations // no state is left to deviate from
		}
	}
	return s.finish(expanded)
}
