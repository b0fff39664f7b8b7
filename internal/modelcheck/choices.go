package modelcheck

import (
	"slices"
	"strings"
	"time"
)

// Choices collects the enabled choices: the default, and the choices whose kinds a model's
// configuration selects. A choice is its kind and its arguments, separated by spaces.
type Choices struct {
	List    []string // the choices, default first
	kinds   []string // selected kinds; empty means all
	without []string // excluded kinds
}

// NewChoices returns a list with only the default choice. Add accepts the given kinds (none
// means all), except those in without.
func NewChoices(kinds, without []string) *Choices {
	return &Choices{List: []string{DefaultChoice}, kinds: kinds, without: slices.Clip(without)}
}

// Exclude excludes further kinds, such as faults when a schedule may have no more of them.
func (c *Choices) Exclude(kinds []string) { c.without = append(c.without, kinds...) }

// DefaultChoice is the choice that comes first: time advances.
const DefaultChoice = "wait"

// Add adds the choices whose kinds are selected.
func (c *Choices) Add(choices ...string) {
	for _, choice := range choices {
		if c.offers(KindOf(choice)) {
			c.List = append(c.List, choice)
		}
	}
}

// offers reports whether a kind is selected and not excluded.
func (c *Choices) offers(kind string) bool {
	wanted := len(c.kinds) == 0 || slices.Contains(c.kinds, kind)
	return wanted && !slices.Contains(c.without, kind)
}

// KindOf returns the kind of a choice.
func KindOf(choice string) string { return strings.Fields(choice)[0] }

// RunDefault advances time to nextChoiceAt or to the first message for which until returns
// true, and returns the time of the next choice point. Choice points are step apart.
func (w *World) RunDefault(nextChoiceAt, step time.Duration, until func(*Event) bool, healthy func() bool) time.Duration {
	w.Run(nextChoiceAt, until, healthy)
	if w.Now >= nextChoiceAt {
		return nextChoiceAt + step
	}
	return nextChoiceAt
}
