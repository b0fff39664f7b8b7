package chainmodel

import (
	"time"
)

// The rules, by the names under which a broken one is reported.
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
	Faults             int           // most in a schedule; a repair is not one
	Orders             int           // most in a schedule, reads and evacuations too
	Step               time.Duration // of the default, between two places for a choice
	Messages           bool          // also before each message of the protocol, the machines' regular messages excepted
	Duties             bool          // machines lease a duty, and act at a platform under its fence
	Kinds              []string      // of choices; empty: all
	Without            []string      // kinds left out
	UnsafeDiskLoss     bool          // disks may be lost at any time: more than is promised, to see that it shows
	Warm               time.Duration // before the first choice
	CatchUp            time.Duration // without trouble before a disk may be lost: one machine at a time
	SettleTime         time.Duration // after quiet, before orders must be served
	ServeTimeout       time.Duration // within which an order is confirmed and a read answered then
	MaxAge             time.Duration // longer than any time that the chain itself waits for anything
}

// Small is three founders and two newcomers with up to four faults.
func Small() Config {
	return Config{
		Founders:           3,
		Newcomers:          2,
		MaxMachineFailures: 1,
		Operators:          2,
		Faults:             4,
		Orders:             4,
		Step:               2 * time.Second,
		Warm:               4 * time.Second,
		CatchUp:            4 * time.Second,
		SettleTime:         6 * time.Second,
		ServeTimeout:       3 * time.Second,
		MaxAge:             5 * time.Second,
	}
}

// Five is five machines, of which two may be lost at once, with up to four faults.
func Five() Config {
	c := Small()
	c.Founders, c.Newcomers, c.MaxMachineFailures, c.Operators = 5, 0, 2, 1
	return c
}
