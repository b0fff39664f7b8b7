package main

import (
	"errors"
	"testing"

	"github.com/alecthomas/kong"
)

// Invalid flags and schedules give a usage error; a search or replay that finds no violated rule
// succeeds.
func TestModelcheckUsageErrors(t *testing.T) {
	for _, c := range []struct {
		args  []string
		usage bool
	}{
		{[]string{"--replay", "+1; restart a; +2"}, false},
		{[]string{"--model", "leases", "--deviations", "1", "--schedules", "20", "--jobs", "2"}, false},
		{[]string{"--model", "duties", "--strategy", "random", "--schedules", "3"}, false},
		{[]string{"--replay", "restart z"}, true},
		{[]string{"--kinds", "leave,unknown"}, true},
		{[]string{"--model", "leases", "--without", "order"}, true},
		{[]string{"--deviations=-1"}, true},
		{[]string{"--newcomers", "9"}, true},
	} {
		var cmd modelcheckCmd
		if _, err := kong.Must(&cmd).Parse(c.args); err != nil {
			t.Errorf("%v: %v", c.args, err)
			continue
		}
		var usage usageError
		if err := cmd.Run(); errors.As(err, &usage) != c.usage || !c.usage && err != nil {
			t.Errorf("%v: %v", c.args, err)
		}
	}
}
