// Package modelcheck is a bounded, stateless model checker for deterministic state machines. A
// schedule is the default schedule (oldest message first, time advances) with a few deviations.
// The checker runs all schedules up to a maximum number of deviations, level by level (delay
// bounding with iterative deepening). It does not continue from states it has visited before,
// and it shrinks a schedule that violates a rule to a short list that can be replayed.
package modelcheck

import (
	"errors"
	"fmt"
)

// Model is a system that is driven one choice at a time. The same sequence of choices always
// leads to the same state.
type Model interface {
	// Reset returns to the initial state.
	Reset()
	// Choices lists the enabled choices, each as a kind followed by its arguments. The default
	// comes first, and no two choices are equal.
	Choices() []string
	// Apply executes the choice at index n of Choices.
	Apply(n int)
	// Hash returns a value that differs between states whose future behavior differs.
	Hash() uint64
	// Check returns the first safety rule violated since Reset, or nil.
	Check() error
	// CheckLiveness ends all faults, lets the system settle and returns the liveness rule that
	// does not hold then, or a violated safety rule.
	CheckLiveness() error
}

// Violation is a violated rule. Shrinking preserves the rule, but not the detail.
type Violation struct{ Rule, Detail string }

func (v Violation) Error() string { return v.Rule + ": " + v.Detail }

// NewViolation returns a Violation of a rule with a formatted detail.
func NewViolation(rule, f string, a ...any) error { return Violation{rule, fmt.Sprintf(f, a...)} }

func ruleOf(err error) string {
	var v Violation
	if errors.As(err, &v) {
		return v.Rule
	}
	return err.Error()
}
