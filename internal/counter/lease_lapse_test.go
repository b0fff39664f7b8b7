package counter

import (
	"fmt"
	"testing"
	"time"
)

// Timing of a loaded machine: infrequent ticks, a slow network, and a lease that is
// repeatedly not renewed in time. The lease is often held for less time than it takes to
// campaign, to replicate everything and to publish.
const (
	lapseTickInterval = 100 * time.Millisecond
	lapseDelay        = 300 * time.Millisecond
	lapseMaxHeld      = 600 * time.Millisecond // the minimum is two thirds of it
	lapseMaxGap       = 300 * time.Millisecond
	lapseRecovery     = 6 * time.Second // from the last request until the totals are complete
)

// lapse repeatedly takes the lease from the leader for a short time. Until othersUntil, another
// running machine leads during some of the gaps.
func (s *simulation) lapse(othersUntil time.Duration) {
	holdTime := lapseMaxHeld*2/3 + time.Duration(s.Rng.Int64N(int64(lapseMaxHeld/3)))
	s.After(holdTime, func() {
		holder := s.leader
		s.leader = ""
		gap := time.Duration(s.Rng.Int64N(int64(lapseMaxGap)))
		next := s.names[s.Rng.IntN(len(s.names))]
		if s.Now < othersUntil && s.Rng.IntN(3) == 0 && s.machines[next].up {
			s.After(gap/2, func() { s.leader = next })
			gap += lapseMaxHeld
		}
		s.After(gap, func() {
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

// isComplete reports whether the lease holder publishes everything that was counted.
func (s *simulation) isComplete() bool {
	if s.leader == "" {
		return false
	}
	totals, _, ok := s.machines[s.leader].group.Totals(s.Now)
	for key, count := range s.expected {
		ok = ok && totals[key] == count
	}
	return ok
}

// TestLapsingLeases lets leases lapse for short times throughout and kills the leader, which
// may or may not restart. No total falls, and the totals are complete within a bounded time
// after the kill.
func TestLapsingLeases(t *testing.T) {
	const kill, counting = 5 * time.Second, 6 * time.Second
	longest := time.Duration(0)
	for seed := uint64(1); seed <= 60; seed++ {
		s := newSimulation(t, fmt.Sprint("seed ", seed), seed, 3+2*int(seed%2))
		s.tickInterval, s.Delay = lapseTickInterval, lapseDelay
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
		completeAt := time.Duration(0)
		s.Run(counting+lapseRecovery, func() {
			if completeAt == 0 && s.Now > counting && s.isComplete() {
				completeAt = s.Now
			}
		})
		if completeAt == 0 {
			t.Errorf("%s: totals not complete %v after the last request", s.label, lapseRecovery)
			continue
		}
		longest = max(longest, completeAt-counting)
	}
	t.Logf("totals complete at most %v after the last request", longest)
}
