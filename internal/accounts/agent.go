package accounts

import (
	"math/rand/v2"
	"sync"
	"time"

	"slateridge/internal/counter"
)

// RetryInterval is the time until the first new attempt at a report that was not taken: a
// lease that has lapsed for a moment is held again by then.
const RetryInterval = time.Second

// maxRetryTurns bounds the time between attempts, in units of RetryEvery: a control plane
// that is slow because of its load is asked less often.
const maxRetryTurns = 8

// maxReportAttempts bounds those for one report: a holder that is lost, another machine that
// is lost with it, one that knows the new holder, and that one.
const maxReportAttempts = 4

// AgentOptions are what an agent needs of the proxy's process.
type AgentOptions struct {
	Node         string
	Objectives   *Objectives
	ControlNodes []string                                          // control machines to ask first
	SendReport   func(to string, report Report) (ReportAck, error) // one question, answered or not
	RecordEvent  func(kind, about string)
}

// Agent is a proxy's part in the accounts: the meter of its process, with its journal, and
// the reports to the holders of the shards.
type Agent struct {
	*Meter
	options AgentOptions
	journal *FileJournal

	mu          sync.Mutex
	holders     []string     // by shard; empty: not known
	nextControl int          // control machines asked for holders, by turns
	retries     []retryState // by shard
}

// retryState is what is known of reports that were not taken.
type retryState struct {
	failures  int // in a row
	turnsLeft int // calls of Retry until the next attempt
}

// NewAgent begins a new life. Journals of lives before it that cannot be read, and a
// journal of its own that cannot be made, are noted; accounts are kept all the same.
func NewAgent(options AgentOptions) *Agent {
	life := counter.LifeID(rand.Uint64() | 1)
	a := &Agent{options: options, holders: make([]string, options.Objectives.Shards), retries: make([]retryState, options.Objectives.Shards)}
	directory := options.Objectives.JournalDir
	if directory == "" {
		a.Meter = NewMeter(options.Node, life, options.Objectives, nil, nil)
		return a
	}
	ended, problems := RecoverJournals(directory)
	journal, err := CreateJournal(directory, life, options.Objectives.Shards, func(err error) { options.RecordEvent("account_journal", err.Error()) })
	if err != nil {
		problems = append(problems, err)
		a.Meter = NewMeter(options.Node, life, options.Objectives, nil, ended)
	} else {
		a.journal = journal
		a.Meter = NewMeter(options.Node, life, options.Objectives, journal, ended)
	}
	for _, problem := range problems {
		options.RecordEvent("account_journal", problem.Error())
	}
	return a
}

// SendReports brings every shard's holder what it lacks. It is called every TellEvery, and may
// take as long as the questions do.
func (a *Agent) SendReports() {
	for shard := range a.options.Objectives.Shards {
		a.reportShard(shard)
	}
}

// RetryReports does the same for the shards whose holders did not take the latest report, at
// growing distances. It is called every RetryEvery.
func (a *Agent) RetryReports() {
	for shard := range a.options.Objectives.Shards {
		if a.retryDue(shard) {
			a.reportShard(shard)
		}
	}
}

// retryDue counts one call of Retry.
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

// reportShard tells all that the shard's holder lacks. A new holder that lacks what its
// predecessor had heard says so in its answer, and is told from there at once.
func (a *Agent) reportShard(shard int) {
	told := a.sendPending(shard)
	if !told {
		told = a.sendPending(shard)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	state := &a.retries[shard]
	if told {
		*state = retryState{}
		return
	}
	state.failures++
	state.turnsLeft = min(1<<min(state.failures-1, maxRetryTurns), maxRetryTurns)
}

func (a *Agent) sendPending(shard int) bool {
	told := true
	for _, report := range a.PendingReports(shard) {
		told = a.send(report) && told
	}
	return told
}

// send asks the holder known, and then those that answers name, or others by turns; false
// if none has heard all of the report.
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

// reportTarget is whom to ask for a shard: its reportTarget, or any control machine by turns.
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

// forgetHolder takes a machine that did not answer for the holder of no shard any more, so that
// not each shard's report has to wait for it anew.
func (a *Agent) forgetHolder(machine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for shard, holder := range a.holders {
		if holder == machine {
			a.holders[shard] = ""
		}
	}
}

// removeJournals deletes the journals of lives that majorities hold whole.
func (a *Agent) removeJournals(lives []counter.LifeID) {
	for _, life := range lives {
		if err := RemoveJournal(a.options.Objectives.JournalDir, life); err != nil {
			a.options.RecordEvent("account_journal", err.Error())
		}
	}
}

// Shutdown tells what has come since the latest report, before the process ends in order.
// Without a journal it also closes the life, as no successor can.
func (a *Agent) Shutdown(patience time.Duration) {
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
	case <-time.After(patience):
	}
}
