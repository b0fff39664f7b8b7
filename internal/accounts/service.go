package accounts

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"slateridge/internal/counter"
)

// TickInterval is the interval at which a control-plane node calls Service.Step.
const TickInterval = 200 * time.Millisecond

// maxMetricTenants limits the number of tenants with metrics of their own. Only tenants in
// alarm have them.
const maxMetricTenants = 100

// ServiceOptions configures a Service.
type ServiceOptions struct {
	Node        string
	HoldsLease  func(shard int) bool   // reports whether this node holds the shard's lease
	LeaseHolder func(shard int) string // returns the node that holds the shard's lease, or "" if unknown
	Replicas    func() []string        // returns all nodes that store the accounts
	Send        func(to string, message any)
	Now         func() time.Duration // monotonic time
}

// Service runs the accounts on a control-plane node: the replica, its messages, and the HTTP
// endpoint and metrics for operators.
type Service struct {
	*Replica
	options ServiceOptions
}

// NewService returns the service of a replica.
func NewService(replica *Replica, options ServiceOptions) *Service {
	return &Service{Replica: replica, options: options}
}

// DutyName returns the name of the duty whose lease makes a node the leader of a shard.
func DutyName(shard int) string { return fmt.Sprintf("accounts/%d", shard) }

// Step advances the replica. It is called every TickInterval.
func (s *Service) Step() {
	s.sendAll(s.Tick(s.options.Now(), s.options.HoldsLease, s.options.Replicas()))
}

func (s *Service) sendAll(out []counter.Send) {
	for _, send := range out {
		s.options.Send(send.To, send.Message)
	}
}

// HandleMessage processes a message from another process and returns its response, if any.
// handled is false if the message doesn't belong to the accounts.
func (s *Service) HandleMessage(from string, message any) (response any, handled bool) {
	if report, ok := message.(Report); ok {
		return s.handleReport(report), true
	}
	if _, ok := messageShard(message); !ok {
		return nil, false
	}
	s.sendAll(s.Receive(from, message))
	return nil, true
}

// handleReport passes a report to the replica and adds the lease holder to a redirect.
func (s *Service) handleReport(report Report) ReportAck {
	inRange := report.Shard >= 0 && report.Shard < s.objectives.Shards
	ack := s.HandleReport(report, inRange && s.options.HoldsLease(report.Shard))
	if ack.Refused == ErrNotHolder.Error() {
		ack.Holder = s.options.LeaseHolder(report.Shard)
	}
	return ack
}

// ServeHTTP responds with a snapshot as JSON, of the tenant given in the query or of all
// tenants.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot, err := s.Snapshot(s.options.Now(), time.Now(), r.URL.Query().Get("tenant"))
	switch {
	case errors.Is(err, ErrUnknownTenant):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case err != nil && !errors.Is(err, ErrNotHolder):
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(snapshot) // an error means that the client has disconnected
}

// WriteMetrics writes the sums over the shards that this node leads, and the metrics of the
// tenants in alarm.
func (s *Service) WriteMetrics(w io.Writer) {
	now := s.options.Now()
	var sum Account
	alarms := 0
	standings := s.Standings(now)
	for _, standing := range standings {
		sum = sum.Plus(Account{Taken: standing.Account.Taken, Settled: standing.Account.Settled, Doubled: standing.Account.Doubled})
		if !standing.Budget.Alarm {
			continue
		}
		if alarms++; alarms <= maxMetricTenants {
			label := fmt.Sprintf("{tenant=%q}", standing.Tenant)
			metrics.WriteGaugeFloat64(w, "slateridge_accounts_burn_short"+label, standing.Budget.ShortBurn)
			metrics.WriteGaugeFloat64(w, "slateridge_accounts_burn_long"+label, standing.Budget.LongBurn)
			metrics.WriteGaugeFloat64(w, "slateridge_accounts_budget_left"+label, standing.Budget.Left)
		}
	}
	metrics.WriteGaugeUint64(w, "slateridge_accounts_tenants", uint64(len(standings)))
	metrics.WriteGaugeUint64(w, "slateridge_accounts_alarms", uint64(alarms))
	metrics.WriteCounterUint64(w, "slateridge_accounts_taken_total", sum.Taken)
	metrics.WriteCounterUint64(w, "slateridge_accounts_doubled_total", sum.Doubled)
	for _, outcome := range Outcomes() {
		metrics.WriteCounterUint64(w, fmt.Sprintf("slateridge_accounts_settled_total{outcome=%q}", outcome), sum.Settled[outcome])
	}
	s.writeShardMetrics(w, now)
}

func (s *Service) writeShardMetrics(w io.Writer, now time.Duration) {
	for _, shard := range s.Shards(now) {
		if !shard.Leading {
			continue
		}
		label := fmt.Sprintf("{shard=\"%d\"}", shard.Shard)
		metrics.WriteGaugeFloat64(w, "slateridge_accounts_total_age_seconds"+label, shard.Age.Seconds())
		metrics.WriteGaugeUint64(w, "slateridge_accounts_lives"+label, uint64(shard.OpenLives+shard.EndedLives))
	}
	metrics.WriteCounterUint64(w, "slateridge_accounts_reports_refused_total", s.RefusedReports())
}

// RefusedReports returns the number of rejected reports.
func (r *Replica) RefusedReports() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusedReports
}
