package modelcheck

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
)

// Random runs random walks within the same bounds: each schedule has up to o.Deviations
// deviations, at random points and of random kinds.
func Random(newModel func() Model, o Options) Report {
	s := newSearch(o)
	states := map[uint64]bool{}
	var walks uint64
	var wg sync.WaitGroup
	for range s.Jobs {
		wg.Go(func() {
			m := newModel()
			for !s.done() {
				s.mu.Lock()
				walks++
				rng := rand.New(rand.NewPCG(s.Seed, walks))
				s.mu.Unlock()
				s.walk(m, rng, states)
			}
		})
	}
	wg.Wait()
	return s.finish(states)
}

func (s *search) walk(m Model, rng *rand.Rand, states map[uint64]bool) {
	m.Reset()
	var schedule Schedule
	steps := 0
	lastRound := rng.IntN(max(1, s.Deviations))
	for round := range lastRound + 2 { // one more round without a deviation, so that the faults last for a while
		wait := 0
		if s.Depth > 0 && rng.IntN(3) > 0 {
			// Choose the magnitude uniformly: faults that follow each other closely find most
			// violations.
			wait = rng.IntN(s.Depth>>rng.IntN(bits.Len(uint(s.Depth))) + 1)
		}
		for range wait {
			m.Apply(0)
			steps++
			schedule = append(schedule, "+1")
			if err := m.Check(); err != nil {
				s.count(schedule.normalize(), steps)
				s.fail(m, schedule, err)
				return
			}
		}
		if choices := m.Choices()[1:]; len(choices) > 0 && round <= lastRound {
			i := pickChoice(rng, choices)
			m.Apply(i + 1)
			steps++
			schedule = append(schedule, choices[i])
			if err := m.Check(); err != nil {
				s.count(schedule.normalize(), steps)
				s.fail(m, schedule, err)
				return
			}
		}
		h := m.Hash()
		s.mu.Lock()
		states[h] = true
		s.mu.Unlock()
	}
	s.count(schedule.normalize(), steps)
	if err := m.CheckLiveness(); err != nil {
		s.fail(m, schedule, err)
	}
}

// pickChoice selects a kind first and then a choice of that kind, so that kinds with many
// choices do not crowd out the others.
func pickChoice(rng *rand.Rand, choices []string) int {
	var kinds []string
	for _, choice := range choices {
		if !slices.Contains(kinds, KindOf(choice)) {
			kinds = append(kinds, KindOf(choice))
		}
	}
	kind := kinds[rng.IntN(len(kinds))]
	var indexes []int
	for i, choice := range choices {
		if KindOf(choice) == kind {
			indexes = append(indexes, i)
		}
	}
	return indexes[rng.IntN(len(indexes))]
}
