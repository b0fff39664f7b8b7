package accounts

import (
	"math/rand/v2"
	"sync"
	"time"

	"slateridge/internal/counter"
)

// RetryInterval is the time until the first retry of a report that was not accepted. A lease
// that lapsed briefly has been acquired again by then.
const RetryInterval = time.Second

// maxRetryTurns is the maximum time between two attempts, in units of RetryInterval. The
// backoff reduces the load on a control plane that is slow because it is overloaded.
const maxRetryTurns = 8

// maxReportAttempts is the maximum number of nodes that one report is sent to in a row: a
// failed leader, a second node that failed with it, a node that redirects to the new leader,
// and the new leader.
const maxReportAttempts = 4

// AgentOptions configures an Agent.
type AgentOptions struct {
	Node         string
	Objectives   *Objectives
	ControlNodes []string                                          // control-plane nodes to try while a shard's leader is unknown
	SendReport   func(to string, report Report) (ReportAck, error) // sends a report and waits for the response
	RecordEvent  func(kind, about string)
}

// Agent runs the accounts of a proxy: the meter of its process with its journal, and the
// reports to the leaders of the shards.
type Agent struct {
	*Meter
	options AgentOptions
	journal *FileJournal

	mu          sync.Mutex
	holders     []string     // lease holder of each shard; empty if unknown
	nextControl int          // counter that selects ControlNodes round-robin
	retries     []retryState // by shard
}

// retryState is the retry backoff of a shard whose latest reports were not accepted.
type retryState struct {
	failures  int // consecutive failures
	turnsLeft int // calls of RetryReports until the next attempt
}

// NewAgent starts a new incarnation. Errors in reading journals of earlier incarnations or in
// creating the new journal are recorded as events; requests are counted regardless.
func NewAgent(options AgentOptions) *Agent {
	incarnation := counter.IncarnationID(rand.Uint64() | 1)
	a := &Agent{options: options, holders: make([]string, options.Objectives.Shards), retries: make([]retryState, options.Objectives.Shards)}
	directory := options.Objectives.JournalDir
	if directory == "" {
		a.Meter = NewMeter(options.Node, incarnation, options.Objectives, nil, nil)
		return a
	}
	ended, problems := RecoverJournals(directory)
	journal, err := CreateJournal(directory, incarnation, options.Objectives.Shards, func(err error) { options.RecordEvent("account_journal", err.Error()) })
	if err != nil {
		problems = append(problems, err)
		a.Meter = NewMeter(options.Node, incarnation, options.Objectives, nil, ended)
	} else {
		a.journal = journal
		a.Meter = NewMeter(options.Node, incarnation, options.Objectives, journal, ended)
	}
	for _, problem := range problems {
		options.RecordEvent("account_journal", problem.Error())
	}
	return a
}

// SendReports sends the pending changes of every shard to the shard's leader. It is called
// every ReportInterval and blocks until all reports have been sent.
func (a *Agent) SendReports() {
	for shard := range a.options.Objectives.Shards {
		a.reportShard(shard)
	}
}

// RetryReports does the same for the shards whose latest report was not accepted, with
// exponential backoff. It is called every RetryInterval.
func (a *Agent) RetryReports() {
	for shard := range a.options.Objectives.Shards {
		if a.retryDue(shard) {
			a.reportShard(shard)
		}
	}
}

// retryDue counts down a shard's backoff by one call of RetryReports, and reports whether a
// retry is due.
func (a *Agent) retryDue(shard int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := &a.retries[shard]
	if state.failures == 0 {
		return false
	}
	state.turnsLeft--
	return state.turnsLeft <= 0
}

// reportShard sends all pending changes of a shard. If a new leader lacks changes that its
// predecessor had received, its response contains the version that it has, and the second
// attempt resends from there.
func (a *Agent) reportShard(shard int) {
	accepted := a.sendPending(shard)
	if !accepted {
		accepted = a.sendPending(shard)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	state := &a.retries[shard]
	if accepted {
		*state = retryState{}
		return
	}
	state.failures++
	state.turnsLeft = min(1<<min(state.failures-1, maxRetryTurns), maxRetryTurns)
}

// sendPending sends the pending reports of a shard and reports whether all were accepted.
func (a *Agent) sendPending(shard int) bool {
	accepted := true
	for _, report := range a.PendingReports(shard) {
		accepted = a.send(report) && accepted
	}
	return accepted
}

// send sends a report to the shard's known lease holder, follows redirects, and tries other
// nodes if one doesn't respond. It reports whether a leader has received all of the report.
func (a *Agent) send(report Report) bool {
	for range maxReportAttempts {
		to := a.reportTarget(report.Shard)
		if to == "" {
			return false
		}
		ack, err := a.options.SendReport(to, report)
		if err != nil {
			a.forgetHolder(to)
			continue
		}
		if ack.Refused == "" {
			a.removeJournals(a.Acknowledge(ack))
			return ack.Ack.Heard >= report.To
		}
		if ack.Holder == "" || ack.Holder == to {
			if ack.Refused != ErrNotHolder.Error() {
				a.options.RecordEvent("account_untold", ack.Refused)
			}
			a.setHolder(report.Shard, "")
			return false
		}
		a.setHolder(report.Shard, ack.Holder)
	}
	return false
}

// reportTarget returns the node to send a shard's reports to: the lease holder if it is known,
// otherwise the next control-plane node.
func (a *Agent) reportTarget(shard int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holders[shard] != "" {
		return a.holders[shard]
	}
	if len(a.options.ControlNodes) == 0 {
		return ""
	}
	a.nextControl++
	return a.options.ControlNodes[a.nextControl%len(a.options.ControlNodes)]
}

func (a *Agent) setHolder(shard int, holder string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[shard] = holder
}

// forgetHolder removes a node that didn't respond as the holder of all shards, so that the
// reports of the other shards don't wait for it too.
func (a *Agent) forgetHolder(node string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for shard, holder := range a.holders {
		if holder == node {
			a.holders[shard] = ""
		}
	}
}

// removeJournals deletes the journals of incarnations whose counters majorities hold
// completely.
func (a *Agent) removeJournals(incarnations []counter.IncarnationID) {
	for _, incarnation := range incarnations {
		if err := RemoveJournal(a.options.Objectives.JournalDir, incarnation); err != nil {
			a.options.RecordEvent("account_journal", err.Error())
		}
	}
}

// Shutdown sends the changes since the latest report before a regular end of the process, and
// waits for at most timeout. Without a journal it also ends the incarnation, as no later
// process can do so.
func (a *Agent) Shutdown(timeout time.Duration) {
	if a.journal == nil {
		a.Close()
	}
	done := make(chan struct{})
	go func() {
		a.SendReports()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}
