package proxy

import (
	"net/http"
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/constants"
)

// KeepAccounts has this proxy account for the requests of tenants with objectives; nil
// objectives change nothing. It is called before Add.
func (d *Daemon) KeepAccounts(objectives *accounts.Objectives) {
	if objectives == nil {
		return
	}
	set := d.nodeSettings.Load()
	d.accountsAgent = accounts.NewAgent(accounts.AgentOptions{Node: set.NodeName, Objectives: objectives, Controls: set.SeedIPs(),
		Ask: d.reportAccounts, Note: d.events.Record})
	d.accounts = d.accountsAgent.Meter
}

// reportAccounts brings a report to a control machine.
func (d *Daemon) reportAccounts(to string, report accounts.Report) (accounts.ReportAck, error) {
	answer, err := d.subscriber.Call(to, report, constants.CallTimeout)
	if err != nil {
		return accounts.ReportAck{}, err
	}
	ack, ok := answer.(accounts.ReportAck)
	if !ok {
		ack.Refused = "accounts are not kept there"
	}
	return ack, nil
}

// countAnswer notes an upstream's answer to a request that may run once. A second one as
// having run it shows that it was doubled.
func (p *exchange) countAnswer(r *result) {
	if p.account == nil || p.route.Idempotent || r.notExecuted || r.unverified || r.resp == nil || r.resp.Header.Get(headerSeal) == "" {
		return
	}
	if p.executedResponses++; p.executedResponses == 2 {
		p.account.Doubled()
	}
}

// settleAnswered settles a request whose answer has been relayed to its end. What was
// wrong with it for the client's part is not held against the objective.
func (p *exchange) settleAnswered(r *result, began time.Duration) {
	if p.account == nil {
		return
	}
	latency := time.Since(p.arrived)
	if r.streamPlacement != nil {
		latency = began
	}
	switch status := r.resp.StatusCode; {
	case p.request.Context().Err() != nil:
		p.account.Failure(accounts.Unknown)
	case status < http.StatusBadRequest:
		p.account.Success(latency)
	case status < http.StatusInternalServerError:
		p.account.Failure(accounts.Refused)
	default:
		p.account.Failure(accounts.Lost)
	}
}

// settleFailed settles a request without an answer to give. Where it may run once and may
// have run, nobody here knows whether it did.
func (p *exchange) settleFailed() {
	if !p.route.Idempotent && p.executions > 0 {
		p.account.Failure(accounts.Unknown)
	}
}

// settleUnanswered settles what has not been settled when the request's handling ends:
// the client left, or it was told of a failure.
func (p *exchange) settleUnanswered() {
	if p.request.Context().Err() != nil {
		p.account.Failure(accounts.Unknown)
		return
	}
	p.account.Failure(accounts.Lost)
}

// ReportAccounts tells the shards' holders at once what they lack; for tests, and before
// a planned end.
func (d *Daemon) ReportAccounts() {
	if d.accountsAgent != nil {
		d.accountsAgent.Tell()
	}
}
