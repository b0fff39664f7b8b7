package modelcheck

import (
	"slices"
	"strings"
	"time"
)

// Choices collects what may happen next: the default, and the choices of those kinds that
// a model's configuration wants. A choice is its kind and its arguments, in a line.
type Choices struct {
	List    []string // the choices, the default first
	kinds   []string // wanted; empty: all
	without []string // kinds left out
}

// NewChoices begins with the default choice, and takes those of the kinds wanted (none
// named means all) that are not among those left out.
func NewChoices(kinds, without []string) *Choices {
	return &Choices{List: []string{DefaultChoice}, kinds: kinds, without: slices.Clip(without)}
}

// LeaveOut leaves further kinds out, as faults where no more are allowed.
func (c *Choices) Exclude(kinds []string) { c.without = append(c.without, kinds...) }

// Default is the choice that comes first: time goes on.
const DefaultChoice = "wait"

// Add adds choices, unless their kind is not offered.
func (c *Choices) Add(choices ...string) {
	for _, choice := range choices {
		if c.offers(KindOf(choice)) {
			c.List = append(c.List, choice)
		}
	}
}

// offers says whether a kind of choice is among those wanted, and not left out.
func (c *Choices) offers(kind string) bool {
	wanted := len(c.kinds) == 0 || slices.Contains(c.kinds, kind)
	return wanted && !slices.Contains(c.without, kind)
}

// KindOf is the kind of a choice.
func KindOf(choice string) string { return strings.Fields(choice)[0] }

// RunDefault lets time go on to the next place for a choice, and returns the place after
// it: places are a step apart, and wherever until says so before a message.
func (w *World) RunDefault(place, step time.Duration, until func(*Event) bool, healthy func() bool) time.Duration {
	w.Run(place, until, healthy)
	if w.Now >= place {
		return place + step
	}
	return place
}
