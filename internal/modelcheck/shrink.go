package modelcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// reproduces reports whether a schedule, without its choices that are not enabled, violates a
// rule, and returns the schedule without them.
func reproduces(m Model, s Schedule, rule string) (Schedule, bool) {
	_, skipped, err := runSchedule(m, s)
	if err == nil {
		err = m.CheckLiveness()
	}
	if err == nil || ruleOf(err) != rule {
		return nil, false
	}
	if len(skipped) > 0 { // choices are matched by text only: the same choice may be enabled at another point
		var remaining Schedule
		for _, step := range s {
			if i := slices.Index(skipped, step); i >= 0 {
				skipped = slices.Delete(skipped, i, i+1)
				continue
			}
			remaining = append(remaining, step)
		}
		return remaining, Replay(m, remaining) != nil && ruleOf(Replay(m, remaining)) == rule
	}
	return s, true
}

// Shrink shortens a schedule while it still violates the same rule: it removes chunks, then
// single steps, and then reduces the numbers of default steps.
func Shrink(m Model, s Schedule, rule string) Schedule {
	try := func(candidate Schedule) bool {
		candidate = candidate.normalize()
		if len(candidate) > len(s) || len(candidate) == len(s) && slices.Equal(candidate, s) {
			return false
		}
		enabled, ok := reproduces(m, candidate, rule)
		if ok {
			s = enabled.normalize()
		}
		return ok
	}
	if t := s.normalize(); !slices.Equal(t, s) {
		try(t)
	}
	for changed := true; changed; {
		changed = false
		for chunk := len(s) / 2; chunk >= 1; chunk /= 2 {
			for from := 0; from+chunk <= len(s); {
				if try(slices.Delete(slices.Clone(s), from, from+chunk)) {
					changed = true
				} else {
					from++
				}
			}
		}
		for i := 0; i < len(s); i++ {
			n, ok := parseWait(s[i])
			for k := 0; ok && k < n; k = k + max(1, (n-k)/2) {
				c := slices.Clone(s)
				c[i] = "+" + strconv.Itoa(k)
				if try(c) {
					changed = true
					break
				}
			}
		}
	}
	return s
}

// Source returns the shrunk schedule as an entry of a Go test table.
func (f Failure) Source() string {
	var b strings.Builder
	fmt.Fprintf(&b, "\t{%q, modelcheck.Schedule{", f.Rule)
	for i, w := range f.Shrunk {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(strconv.Quote(w))
	}
	fmt.Fprintf(&b, "}}, // %s", strings.ReplaceAll(f.Err.Error(), "\n", " "))
	return b.String()
}

// Failure is a schedule that violates a rule.
type Failure struct {
	Rule   string
	Err    error // the violation by the shrunk schedule
	Found  Schedule
	Shrunk Schedule
}
