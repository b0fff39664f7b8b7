package modelcheck

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Schedule is a plain list that replays: "+3" is the default three times, all
// else a deviation as Choices lists it.
type Schedule []string

func (s Schedule) String() string { return strings.Join(s, "; ") }

// Parse reads what String wrote.
func Parse(text string) (s Schedule) {
	for w := range strings.SplitSeq(text, ";") {
		if w = strings.TrimSpace(w); w != "" {
			s = append(s, w)
		}
	}
	return s
}

// defaults is how often the default is meant; false for a deviation.
func parseWait(w string) (int, bool) {
	if !strings.HasPrefix(w, "+") {
		return 0, false
	}
	n, err := strconv.Atoi(w[1:])
	return n, err == nil && n >= 0
}

// Deviations counts the schedule's deviations.
func (s Schedule) Deviations() (n int) {
	for _, w := range s {
		if _, ok := parseWait(w); !ok {
			n++
		}
	}
	return n
}

// tidy joins runs of defaults.
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

// ErrNotEnabled says that a schedule names what can't happen at its place.
var ErrNotEnabled = errors.New("not enabled")

// drive resets the model and brings it through a schedule: the steps taken, and
// the rule broken. What is not enabled is skipped, and returned.
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

// Replay runs a schedule, with the quiet phase after it, and gives the rule
// that it breaks, or ErrNotEnabled when it names what can't happen at its place.
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
