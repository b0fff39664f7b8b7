package chainmodel

import (
	"time"
)

// Rules, by the names under which a violation is reported.
const (
	RuleOneView      = "one view a number"
	RuleOneContent   = "one content a number"
	RuleOneState     = "one state a revision"
	RuleNoRollback   = "never back"
	RuleFreshRead    = "no old read"
	RuleLateOrder    = "no order undoes one sent after its end"
	RuleVoters       = "only voters promise and accept"
	RuleConfirmed    = "orders are confirmed after quiet"
	RuleReadAnswered = "reads are answered after quiet"
	RuleRestarts     = "a kept disk is enough to start"
	RuleOrderlyLeave = "an orderly leave ends in time while all is well"
)

// Config bounds a model.
type Config struct {
	Founders           int
	Newcomers          int
	MaxMachineFailures int
	Operators          int
	Faults             int           // maximum per schedule; repairs do not count
	OperatorCalls      int           // maximum number of operator calls per schedule, including reads and evacuations
	Step               time.Duration // default step between two choice points
	Messages           bool          // also choose before each protocol message, except the machines' periodic messages
	Duties             bool          // machines lease a duty and act on a platform under its fence
	Kinds              []string      // kinds of choices; empty means all
	Without            []string      // excluded kinds
	UnsafeDiskLoss     bool          // disks may be lost at any time, which exceeds the guarantees, to verify that the search detects it
	Warm               time.Duration // time before the first choice
	CatchUp            time.Duration // time without faults before a disk may be lost, so that machines are lost one at a time
	SettleTime         time.Duration // time after the end of faults before submissions must be confirmed
	ServeTimeout       time.Duration // time within which a submission must be confirmed and a read answered after that
	MaxAge             time.Duration // longer than any timeout of the chain
}

// Small returns a configuration with three founders, two newcomers and up to four faults.
func Small() Config {
	return Config{
		Founders:           3,
		Newcomers:          2,
		MaxMachineFailures: 1,
		Operators:          2,
		Faults:             4,
		OperatorCalls:      4,
		Step:               2 * time.Second,
		Warm:               4 * time.Second,
		CatchUp:            4 * time.Second,
		SettleTime:         6 * time.Second,
		ServeTimeout:       3 * time.Second,
		MaxAge:             5 * time.Second,
	}
}

// Five returns a configuration with five founders, of which two may be lost at once, and up to
// four faults.
func Five() Config {
	c := Small()
	c.Founders, c.Newcomers, c.MaxMachineFailures, c.Operators = 5, 0, 2, 1
	return c
}
