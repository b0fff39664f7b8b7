package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"slateridge/internal/modelcheck"
	"slateridge/internal/modelcheck/admissionmodel"
	"slateridge/internal/modelcheck/chainmodel"
	"slateridge/internal/modelcheck/leasemodel"
)

type modelcheckCmd struct {
	Model      string        `enum:"chain,leases,duties,admission" default:"chain" help:"What to drive: chain (orders, reads, views), leases (by themselves), duties (a chain, its leases, and acts under their fences) or admission (proxies that share a quota, and its trackers)."`
	Strategy   string        `enum:"systematic,random" default:"systematic" help:"All schedules, those with fewer deviations first, or random walks within the same bounds."`
	Deviations int           `default:"3" help:"Most deviations from the default schedule."`
	Faults     int           `default:"4" help:"Most of them that are faults."`
	Depth      int           `default:"6" help:"Most default steps between two deviations."`
	Step       time.Duration `help:"Simulated time of a default step; the model's own if not given."`
	Messages   bool          `help:"Deviate before every message of the protocol too, not only between steps."`
	Kinds      []string      `help:"Only these kinds of deviations, e.g. leave,come,wipe."`
	Without    []string      `help:"None of these kinds."`
	Operators  int           `default:"2" help:"Operators who send orders."`
	Warm       time.Duration `default:"4s" help:"Simulated time before the first deviation."`
	Founders   int           `default:"3" help:"Machines at the start, of chain and duties: 3, of which one may be lost, or 5, of which two may."`
	Newcomers  int           `default:"2" help:"Machines that may come at new addresses."`
	Seed       uint64        `default:"1" help:"Of random walks."`
	Limit      time.Duration `default:"1m" help:"Wall time after which the search ends."`
	Schedules  int           `help:"Number of schedules after which it ends; 0: no bound."`
	Jobs       int           `default:"3" help:"Schedules run at once; with 1 the counts are the same each time."`
	KeepGoing  bool          `help:"Look for a failure of every rule instead of ending with the first."`
	Proxies    int           `default:"2" help:"Proxies at the start, of admission."`
	Pressed    bool          `help:"Clients press all proxies from the end of the warm time on, of admission."`
	Burst      float64       `default:"20" help:"Burst of the quota, whose rate is 20 a second, of admission."`
	Slack      float64       `default:"2.5" help:"Absolute slack of the quota, of admission: at 2.5 a key goes to its tracker from three proxies on, at 20 never."`
	Tolerance  float64       `help:"Tokens beyond admission's bounds that are let pass, to search on past what is known."`
	Plant      string        `enum:"none,loan,tracker,newcomer,standby" default:"none" help:"A defect to plant around admission's machines, to see that it is found."`
	Replay     string        `placeholder:"LIST" help:"Run one schedule, as it was printed: words separated by semicolons."`
}

var errBroken = errors.New("a rule was broken")

func (c modelcheckCmd) model() (func() modelcheck.Model, []string) {
	if c.Model == "leases" {
		cfg := leasemodel.Small()
		cfg.Faults, cfg.Messages, cfg.Kinds, cfg.Without, cfg.ExtraMachines, cfg.Warm = c.Faults, c.Messages, c.Kinds, c.Without, c.Newcomers, c.Warm
		if c.Step > 0 {
			cfg.Step = c.Step
		}
		return func() modelcheck.Model { return leasemodel.New(cfg) }, leasemodel.ChoiceKinds
	}
	if c.Model == "admission" {
		return c.admission()
	}
	cfg := chainmodel.Small()
	if c.Founders == 5 {
		cfg = chainmodel.Five()
	}
	cfg.Faults, cfg.Messages, cfg.Kinds, cfg.Without, cfg.Newcomers, cfg.Operators, cfg.Warm = c.Faults, c.Messages, c.Kinds, c.Without, c.Newcomers, c.Operators, c.Warm
	cfg.Duties = c.Model == "duties"
	if c.Step > 0 {
		cfg.Step = c.Step
	}
	return func() modelcheck.Model { return chainmodel.New(cfg) }, chainmodel.ChoiceKinds
}

func (c modelcheckCmd) admission() (func() modelcheck.Model, []string) {
	cfg := admissionmodel.Small()
	cfg.Faults, cfg.Messages, cfg.Kinds, cfg.Without, cfg.Newcomers, cfg.Warm = c.Faults, c.Messages, c.Kinds, c.Without, c.Newcomers, c.Warm
	cfg.Proxies, cfg.Pressed, cfg.Quota.Burst, cfg.Slack, cfg.Tolerance = c.Proxies, c.Pressed, c.Burst, c.Slack, c.Tolerance
	if c.Plant != "none" {
		cfg.InjectedFault = admissionmodel.Fault(c.Plant)
	}
	if c.Step > 0 {
		cfg.Step = c.Step
	}
	return func() modelcheck.Model { return admissionmodel.New(cfg) }, admissionmodel.ChoiceKinds
}

// Run searches, or replays one schedule.
func (c modelcheckCmd) Run() error {
	newModel, kinds := c.model()
	if err := c.check(kinds); err != nil {
		return usageError{err}
	}
	if c.Replay != "" {
		return replay(newModel(), c.Replay)
	}
	search := modelcheck.Systematic
	if c.Strategy == "random" {
		search = modelcheck.Random
	}
	r := search(newModel, modelcheck.Options{
		Deviations: c.Deviations,
		Depth:      c.Depth,
		Schedules:  c.Schedules,
		Limit:      c.Limit,
		Seed:       c.Seed,
		Jobs:       c.Jobs,
		KeepGoing:  c.KeepGoing,
		Progress:   printProgress,
	})
	fmt.Println(r)
	for _, f := range r.Failures {
		fmt.Printf("\nbroken: %s\nfound:  %s\nshrunk: %s\nas a test:\n%s\n", f.Err, f.Found, f.Shrunk, f.Source())
	}
	if len(r.Failures) > 0 {
		return errBroken
	}
	return nil
}

// The most machines and operators that the chain's model has names for.
const (
	mostMachines  = 8
	mostNewcomers = 5
	mostOperators = 8
)

// check says which flag is out of its range; kinds are the model's kinds of choices.
func (c modelcheckCmd) check(kinds []string) error {
	if c.Model == "admission" && (c.Proxies < 1 || c.Proxies+c.Newcomers > admissionmodel.MaxProxies) {
		return fmt.Errorf("admission has one to %d proxies, newcomers among them", admissionmodel.MaxProxies)
	}
	for _, k := range slices.Concat(c.Kinds, c.Without) {
		if !slices.Contains(kinds, k) {
			return fmt.Errorf("there is no kind %q; there are %s", k, strings.Join(kinds, ", "))
		}
	}
	negative := c.Deviations < 0 || c.Faults < 0 || c.Depth < 0 || c.Step < 0 || c.Newcomers < 0 || c.Operators < 0 || c.Warm < 0
	if negative || c.Jobs < 1 || c.Newcomers > mostNewcomers || c.Operators > mostOperators {
		return errors.New("a bound is out of its range")
	}
	if c.Founders != 3 && c.Founders != 5 || c.Founders+c.Newcomers > mostMachines {
		return errors.New("there are 3 or 5 founders, and 8 machines at most")
	}
	return nil
}

// replay runs one schedule and prints the rule that it breaks.
func replay(m modelcheck.Model, schedule string) error {
	err := modelcheck.Replay(m, modelcheck.Parse(schedule))
	if errors.Is(err, modelcheck.ErrNotEnabled) {
		return usageError{err}
	}
	if err != nil {
		fmt.Println("broken:", err)
		return errBroken
	}
	fmt.Println("no rule was broken")
	return nil
}

// printProgress prints how far a search has come.
func printProgress(r modelcheck.Report) {
	level := ""
	if r.LevelSize > 0 {
		level = fmt.Sprintf(", %d of %d with %d deviations", r.LevelDone, r.LevelSize, r.Level)
	}
	fmt.Fprintf(os.Stderr, "%4.0f s: %d schedules%s, deepest %d, %d rules broken\n", r.Elapsed.Seconds(), r.Schedules, level, r.Deepest, len(r.Failures))
}
