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
	Model      string        `enum:"chain,leases,duties,admission" default:"chain" help:"Model to check: chain (orders, reads, views), leases (without a chain), duties (a chain, its leases, and actions under their fencing tokens) or admission (proxies that share a quota, and its trackers)."`
	Strategy   string        `enum:"systematic,random" default:"systematic" help:"Search all schedules, those with fewer deviations first, or random walks within the same bounds."`
	Deviations int           `default:"3" help:"Maximum number of deviations from the default schedule."`
	Faults     int           `default:"4" help:"Maximum number of deviations that are faults."`
	Depth      int           `default:"6" help:"Maximum number of default steps between two deviations."`
	Step       time.Duration `help:"Simulated time of a default step; by default that of the model."`
	Messages   bool          `help:"Allow deviations before every protocol message, not only between steps."`
	Kinds      []string      `help:"Use only these kinds of deviations, e.g. leave,come,wipe."`
	Without    []string      `help:"Exclude these kinds of deviations."`
	Operators  int           `default:"2" help:"Number of operators that send orders."`
	Warm       time.Duration `default:"4s" help:"Simulated time before the first deviation."`
	Founders   int           `default:"3" help:"Number of initial machines (chain, duties): 3, which tolerate the loss of one, or 5, which tolerate the loss of two."`
	Newcomers  int           `default:"2" help:"Number of machines that may join at new addresses."`
	Seed       uint64        `default:"1" help:"Seed of the random walks."`
	Limit      time.Duration `default:"1m" help:"Wall time after which the search ends."`
	Schedules  int           `help:"Number of schedules after which the search ends; 0 means no limit."`
	Jobs       int           `default:"3" help:"Number of schedules run concurrently; only with 1 are the counts reproducible."`
	KeepGoing  bool          `help:"Search for a failure of every rule instead of ending at the first."`
	Proxies    int           `default:"2" help:"Number of initial proxies (admission)."`
	Pressed    bool          `help:"Clients saturate all proxies after the warm-up time (admission)."`
	Burst      float64       `default:"20" help:"Burst of the quota, whose rate is 20 per second (admission)."`
	Slack      float64       `default:"2.5" help:"Absolute slack of the quota (admission): at 2.5 the tracker carries a key from three proxies on, at 20 never."`
	Tolerance  float64       `help:"Tokens beyond the bounds that are not reported as a failure, to search past known failures (admission)."`
	Plant      string        `enum:"none,loan,tracker,newcomer,standby" default:"none" help:"Defect to inject, to test that the search finds it (admission)."`
	Replay     string        `placeholder:"LIST" help:"Run one schedule in the printed form: steps separated by semicolons."`
}

var errRuleViolated = errors.New("a rule was broken")

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
		return c.admissionModel()
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

func (c modelcheckCmd) admissionModel() (func() modelcheck.Model, []string) {
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

// Run searches for a violated rule, or replays one schedule.
func (c modelcheckCmd) Run() error {
	newModel, kinds := c.model()
	if err := c.validate(kinds); err != nil {
		return usageError{err}
	}
	if c.Replay != "" {
		return replay(newModel(), c.Replay)
	}
	search := modelcheck.Systematic
	if c.Strategy == "random" {
		search = modelcheck.Random
	}
	report := search(newModel, modelcheck.Options{
		Deviations: c.Deviations,
		Depth:      c.Depth,
		Schedules:  c.Schedules,
		Limit:      c.Limit,
		Seed:       c.Seed,
		Jobs:       c.Jobs,
		KeepGoing:  c.KeepGoing,
		Progress:   printProgress,
	})
	fmt.Println(report)
	for _, f := range report.Failures {
		fmt.Printf("\nbroken: %s\nfound:  %s\nshrunk: %s\nas a test:\n%s\n", f.Err, f.Found, f.Shrunk, f.Source())
	}
	if len(report.Failures) > 0 {
		return errRuleViolated
	}
	return nil
}

// Limits of the chain model, which has a fixed set of names for its machines and operators.
const (
	maxMachines  = 8
	maxNewcomers = 5
	maxOperators = 8
)

// validate returns an error if a flag is out of range or names a kind that is not in kinds,
// the kinds of deviations of the model.
func (c modelcheckCmd) validate(kinds []string) error {
	if c.Model == "admission" && (c.Proxies < 1 || c.Proxies+c.Newcomers > admissionmodel.MaxProxies) {
		return fmt.Errorf("the admission model has 1 to %d proxies, including newcomers", admissionmodel.MaxProxies)
	}
	for _, kind := range slices.Concat(c.Kinds, c.Without) {
		if !slices.Contains(kinds, kind) {
			return fmt.Errorf("unknown kind %q; the kinds are %s", kind, strings.Join(kinds, ", "))
		}
	}
	hasNegative := c.Deviations < 0 || c.Faults < 0 || c.Depth < 0 || c.Step < 0 || c.Newcomers < 0 || c.Operators < 0 || c.Warm < 0
	if hasNegative || c.Jobs < 1 || c.Newcomers > maxNewcomers || c.Operators > maxOperators {
		return errors.New("a numeric flag is out of range")
	}
	if c.Founders != 3 && c.Founders != 5 || c.Founders+c.Newcomers > maxMachines {
		return errors.New("--founders must be 3 or 5, with at most 8 machines including newcomers")
	}
	return nil
}

// replay runs one schedule and prints the rule that it violates, if any.
func replay(m modelcheck.Model, schedule string) error {
	err := modelcheck.Replay(m, modelcheck.Parse(schedule))
	if errors.Is(err, modelcheck.ErrNotEnabled) {
		return usageError{err}
	}
	if err != nil {
		fmt.Println("broken:", err)
		return errRuleViolated
	}
	fmt.Println("no rule was broken")
	return nil
}

// printProgress prints the progress of a search on standard error.
func printProgress(r modelcheck.Report) {
	level := ""
	if r.LevelSize > 0 {
		level = fmt.Sprintf(", %d of %d with %d deviations", r.LevelDone, r.LevelSize, r.Level)
	}
	fmt.Fprintf(os.Stderr, "%4.0f s: %d schedules%s, deepest %d, %d rules broken\n", r.Elapsed.Seconds(), r.Schedules, level, r.Deepest, len(r.Failures))
}
