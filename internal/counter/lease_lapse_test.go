package counter

import (
	"fmt"
	"testing"
	"time"
)

// A loaded machine: few turns, a slow network, and a lease that is not renewed in time
// again and again. It is often held for less time than it takes to campaign, to replicate
// everything and to publish.
const (
	lapseTurn  = 100 * time.Millisecond
	lapseDelay = 300 * time.Millisecond
	lapseHeld  = 600 * time.Millisecond // longest; shortest is two thirds
	lapseGone  = 300 * time.Millisecond // longest
	lapseWhole = 6 * time.Second        // from the last trouble until the totals are whole
)

// lapse takes the leader's lease away for a moment, again and again. In part of the gaps
// another machine that is up leads meanwhile, until a given time.
func (s *simulation) lapse(othersUntil time.Duration) {
	held := lapseHeld*2/3 + time.Duration(s.Rng.Int64N(int64(lapseHeld/3)))
	s.After(held, func() {
		holder := s.leader
		s.leader = ""
		gone := time.Duration(s.Rng.Int64N(int64(lapseGone)))
		next := s.names[s.Rng.IntN(len(s.names))]
		if s.Now < othersUntil && s.Rng.IntN(3) == 0 && s.machines[next].up {
			s.After(gone/2, func() { s.leader = next })
			gone += lapseHeld
		}
		s.After(gone, func() {
			s.leader = holder
			if holder == "" || !s.machines[holder].up {
				s.leader = s.firstUp()
			}
			s.lapse(othersUntil)
		})
	})
}

func (s *simulation) firstUp() string {
	for _, name := range s.names {
		if s.machines[name].up {
			return name
		}
	}
	return ""
}

// isWhole reports whether a machine that holds the lease publishes all that was counted.
func (s *simulation) isWhole() bool {
	if s.leader == "" {
		return false
	}
	totals, _, ok := s.machines[s.leader].group.Totals(s.Now)
	for key, count := range s.truth {
		ok = ok && totals[key] == count
	}
	return ok
}

// TestLapsingLeases has leases lapse for moments throughout, and kills the leader, which
// comes back or does not. The totals become whole all the same, in a bounded time after
// the kill, and none falls.
func TestLapsingLeases(t *testing.T) {
	const kill, counting = 5 * time.Second, 6 * time.Second
	longest := time.Duration(0)
	for seed := uint64(1); seed <= 60; seed++ {
		s := newSimulation(t, fmt.Sprint("seed ", seed), seed, 3+2*int(seed%2))
		s.turn, s.Delay = lapseTurn, lapseDelay
		for i := range 3 {
			s.drive(s.addWriter(fmt.Sprint("proxy-", i)), time.Duration(200+70*i)*time.Millisecond, counting)
		}
		s.lapse(kill)
		s.Run(kill, nil)
		killed := s.firstUp()
		if s.leader != "" {
			killed = s.leader
		}
		s.kill(killed)
		if s.leader = ""; seed%3 > 0 {
			s.After(time.Second, func() { s.start(killed, false) })
		}
		wholeAt := time.Duration(0)
		s.Run(counting+lapseWhole, func() {
			if wholeAt == 0 && s.Now > counting && s.isWhole() {
				wholeAt = s.Now
			}
		})
		if wholeAt == 0 {
			t.Errorf("%s: not whole %v after the last request", s.label, lapseWhole)
			continue
		}
		longest = max(longest, wholeAt-counting)
	}
	t.Logf("whole at the latest %v after the last request", longest)
}
