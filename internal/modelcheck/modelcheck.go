// Package modelcheck is a bounded, stateless model checker for the deterministic state
// machines. A schedule is the default one (oldest message first, time goes on) with a few
// deviations from it; all schedules with up to so many deviations are run, level by level
// (delay bounding with iterative deepening), states seen before are not gone on from, and a
// schedule that breaks a rule is shrunk to a short list that replays.
package modelcheck

import (
	"errors"
	"fmt"
)

// Model is a system that is driven one choice at a time. The same choices bring
// it to the same state each time.
type Model interface {
	// Reset goes back to the start.
	Reset()
	// Choices lists what may happen next, each as a kind and its arguments, the default
	// first. No two are alike.
	Choices() []string
	// Apply has one of them happen, by its place in the list.
	Apply(n int)
	// Hash distinguishes states, as far as what comes after depends on them.
	Hash() uint64
	// Check is the first rule of safety that was broken since the start.
	Check() error
	// Quiet ends all trouble, lets the system settle, and is the rule of
	// liveness that is broken then, or one of safety.
	CheckLiveness() error
}

// Violation is a broken rule. Shrinking keeps to the rule, not to the detail.
type Violation struct{ Rule, Detail string }

func (v Violation) Error() string { return v.Rule + ": " + v.Detail }

// Broken makes a Violation.
func NewViolation(rule, f string, a ...any) error { return Violation{rule, fmt.Sprintf(f, a...)} }

func ruleOf(err error) string {
	var v Violation
	if errors.As(err, &v) {
		return v.Rule
	}
	return err.Error()
}
