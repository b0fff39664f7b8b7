package modelcheck

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Schedule is a list of steps that can be replayed: "+3" takes the default three times, and any
// other step is a deviation as Choices lists it.
type Schedule []string

func (s Schedule) String() string { return strings.Join(s, "; ") }

// Parse parses the format of Schedule.String.
func Parse(text string) (s Schedule) {
	for step := range strings.SplitSeq(text, ";") {
		if step = strings.TrimSpace(step); step != "" {
			s = append(s, step)
		}
	}
	return s
}

// parseWait returns the number of default steps of a step such as "+3", and false for a
// deviation.
func parseWait(step string) (int, bool) {
	if !strings.HasPrefix(step, "+") {
		return 0, false
	}
	n, err := strconv.Atoi(step[1:])
	return n, err == nil && n >= 0
}

// Deviations returns the number of deviations.
func (s Schedule) Deviations() (n int) {
	for _, w := range s {
		if _, ok := parseWait(w); !ok {
			n++
		}
	}
	return n
}

// normalize merges consecutive default steps.
func (s Schedule) normalize() (out Schedule) {
	run := 0
	for _, w := range s {
		if n, ok := parseWait(w); ok {
			run += n
			continue
		}
		if run > 0 {
			out = append(out, "+"+strconv.Itoa(run))
			run = 0
		}
		out = append(out, w)
	}
	if run > 0 {
		out = append(out, "+"+strconv.Itoa(run))
	}
	return out
}

// ErrNotEnabled is returned for a schedule with a choice that is not enabled at its point.
var ErrNotEnabled = errors.New("not enabled")

// runSchedule resets the model and runs a schedule. It returns the number of steps taken, the
// choices skipped because they were not enabled, and the rule violated.
func runSchedule(m Model, s Schedule) (steps int, skipped []string, err error) {
	m.Reset()
	for _, w := range s {
		n, wait := parseWait(w)
		if !wait {
			i := slices.Index(m.Choices(), w)
			if i < 0 {
				skipped = append(skipped, w)
				continue
			}
			m.Apply(i)
			steps++
			if err := m.Check(); err != nil {
				return steps, skipped, err
			}
		}
		for range n {
			m.Apply(0)
			steps++
			if err := m.Check(); err != nil {
				return steps, skipped, err
			}
		}
	}
	return steps, skipped, m.Check()
}

// Replay runs a schedule, checks liveness after it and returns the rule that is violated, or
// ErrNotEnabled if a choice of the schedule is not enabled at its point.
func Replay(m Model, s Schedule) error {
	_, skipped, err := runSchedule(m, s)
	if len(skipped) > 0 {
		return fmt.Errorf("%q: %w", skipped, ErrNotEnabled)
	}
	if err == nil {
		err = m.CheckLiveness()
	}
	return err
}
