// Package usage meters the requests that upstreams executed for each tenant, in windows of time.
// Counts are cumulative per incarnation of a proxy process and merged by maximum, so a report that
// arrives twice, late or out of order counts once. Proxies keep the counts and report them to the
// holder of the usage duty. A new holder receives the counts of all windows that are still open.
package usage

import (
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/counter"
	"slateridge/internal/transport"
)

type (
	// Counts holds cumulative counts by tenant.
	Counts = counter.Cells[string, counter.Count]
	// Report is a proxy's report to the duty holder. It contains the counts that have changed
	// since the holder's last acknowledgement, and all running requests. All windows up to
	// Closed are final.
	Report struct {
		Proxy   string
		Life    uint64 // incarnation of the proxy process
		Term    uint64 // of the tally that acknowledged the counts left out of this report
		Windows map[uint64]Counts
		Closed  uint64
		Seq     uint64            // sequence number within the incarnation; Running is valid in the latest report only
		Running map[uint64]Counts // all requests that are not counted yet and may still have been executed
	}
	// Ack answers a Report. Windows up to Settled are decided and need not be reported.
	Ack struct {
		Term    uint64
		Settled uint64
	}
)

// Handover carries the reports known to a previous duty holder to the present one. Last marks
// the final message.
type Handover struct {
	Words []Report
	Last  bool
}

func init() {
	transport.Register(transport.NameUsageHandover, Handover{})
	transport.Register(transport.NameUsageReport, Report{})
	transport.Register(transport.NameUsageAck, Ack{})
}

// Window returns the number of the window that contains a time.
func Window(at time.Time, length time.Duration) uint64 {
	return uint64(max(0, at.UnixNano())) / uint64(length)
}

// ReportInterval returns the time between a proxy's reports. A proxy that is killed loses the
// requests since its last report, which must not be a larger part of a window than the error
// that the platform tolerates.
func ReportInterval(window time.Duration, tolerance float64) time.Duration {
	return max(constants.StepInterval, time.Duration(float64(window)*tolerance))
}

// ReportPhase returns the offset of a proxy's first report within the report interval, given a
// random number. Without it, proxies started together would all report at the same moments, and
// killing many of them just before such a moment would make each lose the most that it can.
func ReportPhase(random uint64, interval time.Duration) time.Duration {
	return time.Duration(random % uint64(interval))
}

// decisionAge returns the age, counted from the end of a window, at which the window is decided
// even if reports are missing. It leaves time for one unanswered call to the platform and its
// retry before the report is due, delay after the end of the window.
func decisionAge(delay time.Duration) time.Duration {
	return max(delay/2, delay-constants.DutyCallTimeout-constants.DutyMaxRetryDelay)
}
