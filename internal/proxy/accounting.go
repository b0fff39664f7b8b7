package proxy

import (
	"net/http"
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/constants"
)

// EnableAccounting makes this proxy account for the requests of tenants that have service
// level objectives. It does nothing if objectives is nil, and must be called before Add.
func (d *Daemon) EnableAccounting(objectives *accounts.Objectives) {
	if objectives == nil {
		return
	}
	nodeSettings := d.nodeSettings.Load()
	d.accountsAgent = accounts.NewAgent(accounts.AgentOptions{Node: nodeSettings.NodeName, Objectives: objectives, ControlNodes: nodeSettings.SeedIPs(),
		SendReport: d.reportAccounts, RecordEvent: d.events.Record})
	d.accounts = d.accountsAgent.Meter
}

// reportAccounts sends an accounts report to a control machine and returns its acknowledgement.
func (d *Daemon) reportAccounts(to string, report accounts.Report) (accounts.ReportAck, error) {
	response, err := d.subscriber.Call(to, report, constants.CallTimeout)
	if err != nil {
		return accounts.ReportAck{}, err
	}
	ack, ok := response.(accounts.ReportAck)
	if !ok {
		ack.Refused = "accounts are not kept there"
	}
	return ack, nil
}

// recordResponse counts upstream responses that confirm that a non-idempotent request was
// executed. A second such response shows that it was executed twice.
func (p *exchange) recordResponse(r *result) {
	if p.account == nil || p.route.Idempotent || r.notExecuted || r.unverified || r.resp == nil || r.resp.Header.Get(headerSeal) == "" {
		return
	}
	if p.executedResponses++; p.executedResponses == 2 {
		p.account.Doubled()
	}
}

// settleResponse settles a request whose response has been relayed completely. Client errors
// do not count against the objective. For a stream, the latency is the time to its first byte.
func (p *exchange) settleResponse(r *result, timeToFirstByte time.Duration) {
	if p.account == nil {
		return
	}
	latency := time.Since(p.arrived)
	if r.streamPlacement != nil {
		latency = timeToFirstByte
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

// settleFailed settles a request that has no response to return. If it is non-idempotent and
// was sent to an upstream, whether it was executed is unknown.
func (p *exchange) settleFailed() {
	if !p.route.Idempotent && p.executions > 0 {
		p.account.Failure(accounts.Unknown)
	}
}

// settleUnfinished settles a request that is still open when its handling ends, because the
// client disconnected or received an error.
func (p *exchange) settleUnfinished() {
	if p.request.Context().Err() != nil {
		p.account.Failure(accounts.Unknown)
		return
	}
	p.account.Failure(accounts.Lost)
}

// FlushAccounts sends all pending accounts reports at once. It is used in tests and before a
// planned shutdown.
func (d *Daemon) FlushAccounts() {
	if d.accountsAgent != nil {
		d.accountsAgent.SendReports()
	}
}
