// Package usage meters what upstreams ran for each tenant: windowed counters, cumulative by
// process incarnation and merged by maximum, so that a report that arrives twice, late or out of
// order counts once. Proxies hold the counts and report them to whoever holds the duty; a
// successor is sent all that is open.
package usage

import (
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/counter"
	"slateridge/internal/transport"
)

type (
	// Counts are cumulative numbers by tenant.
	Counts = counter.Cells[string, counter.Count]
	// Report is one proxy's report to the duty's holder: of each window what has
	// changed since that holder last answered, and what is running. All windows up to
	// Closed are final.
	Report struct {
		Proxy   string
		Life    uint64
		Term    uint64 // of the tally that has acknowledged what is left out
		Windows map[uint64]Counts
		Closed  uint64
		Seq     uint64            // of this incarnation's reports: what runs is as the latest says
		Running map[uint64]Counts // sent whole, and neither counted nor known not to have run
	}
	// Ack answers it. Windows up to Settled are decided and need not be reported.
	Ack struct {
		Term    uint64
		Settled uint64
	}
)

// Handover is what an earlier holder of the duty knows, sent to the present one; the last
// says that this was all.
type Handover struct {
	Words []Report
	Last  bool
}

func init() {
	transport.Register(transport.NameUsageHandover, Handover{})
	transport.Register(transport.NameUsageReport, Report{})
	transport.Register(transport.NameUsageAck, Ack{})
}

// Window is the number of the window a time lies in.
func Window(at time.Time, length time.Duration) uint64 {
	return uint64(max(0, at.UnixNano())) / uint64(length)
}

// ReportInterval is the time between a proxy's reports: one that dies takes with it at most the
// part of a window's requests by which the platform lets a report be off.
func ReportInterval(window time.Duration, tolerance float64) time.Duration {
	return max(constants.StepEvery, time.Duration(float64(window)*tolerance))
}

// ReportPhase is when, within the time between two reports, a proxy sends its first one; lot is
// drawn. Proxies that started together would all report at the same moments, and many that are
// killed together shortly before one would all lose the most that any can.
func ReportPhase(lot uint64, every time.Duration) time.Duration {
	return time.Duration(lot % uint64(every))
}

// decideBy is how long after a window's end it is decided with what is known, when its
// report is due after a delay: one call to the platform may then go unanswered and be made
// again.
func decideBy(delay time.Duration) time.Duration {
	return max(delay/2, delay-constants.DutyTimeout-constants.DutyPauseMax)
}
