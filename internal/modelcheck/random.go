package modelcheck

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
)

// Random runs random walks within the same bounds: each schedule has up to o.Deviations
// deviations, at random points and of random kinds.
func Random(mk func() Model, o Options) Report {
	s := newSearch(o)
	states := map[uint64]bool{}
	var walks uint64
	var wg sync.WaitGroup
	for range s.Jobs {
		wg.Go(func() {
			m := mk()
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
	var sch Schedule
	steps := 0
	last := rng.IntN(max(1, s.Deviations))
	for dev := range last + 2 { // one more round without a deviation, so that the faults last for a while
		wait := 0
		if s.Depth > 0 && rng.IntN(3) > 0 {
			// Choose the magnitude uniformly: faults that follow each other closely find most
			// violations.
			wait = rng.IntN(s.Depth>>rng.IntN(bits.Len(uint(s.Depth))) + 1)
		}
		for range wait {
			m.Apply(0)
			steps++
			sch = append(sch, "+1")
			if err := m.Check(); err != nil {
				s.count(sch.normalize(), steps)
				s.fail(m, sch, err)
				return
			}
		}
		if choices := m.Choices()[1:]; len(choices) > 0 && dev <= last {
			i := pickChoice(rng, choices)
			m.Apply(i + 1)
			steps++
			sch = append(sch, choices[i])
			if err := m.Check(); err != nil {
				s.count(sch.normalize(), steps)
				s.fail(m, sch, err)
				return
			}
		}
		h := m.Hash()
		s.mu.Lock()
		states[h] = true
		s.mu.Unlock()
	}
	s.count(sch.normalize(), steps)
	if err := m.CheckLiveness(); err != nil {
		s.fail(m, sch, err)
	}
}

// pickChoice selects a kind first and then a choice of that kind, so that kinds with many
// choices do not crowd out the others.
func pickChoice(rng *rand.Rand, choices []string) int {
	var kinds []string
	for _, w := range choices {
		if !slices.Contains(kinds, KindOf(w)) {
			kinds = append(kinds, KindOf(w))
		}
	}
	k := kinds[rng.IntN(len(kinds))]
	var indexes []int
	for i, w := range choices {
		if KindOf(w) == k {
			indexes = append(indexes, i)
		}
	}
	return indexes[rng.IntN(len(indexes))]
}
