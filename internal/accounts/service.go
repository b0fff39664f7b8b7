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

// TickInterval is the step of a control machine's service.
const TickInterval = 200 * time.Millisecond

// maxMetricTenants bounds the tenants that have metrics of their own: those in alarm.
const maxMetricTenants = 100

// ServiceOptions are what a service needs of the control machine's process.
type ServiceOptions struct {
	Node        string
	HoldsLease  func(shard int) bool   // this machine holds the shard's lease
	LeaseHolder func(shard int) string // who does, as far as is known; may be empty
	Replicas    func() []string        // all machines that keep the accounts
	Send        func(to string, message any)
	Now         func() time.Duration // steady
}

// Service is a control machine's part in the accounts: the holder, its messages, and the
// interface for operators.
type Service struct {
	*Replica
	options ServiceOptions
}

// NewService makes the service of a holder.
func NewService(holder *Replica, options ServiceOptions) *Service {
	return &Service{Replica: holder, options: options}
}

// DutyName is the lease of a shard.
func DutyName(shard int) string { return fmt.Sprintf("accounts/%d", shard) }

// Step advances the holder; it is called every TickEvery.
func (s *Service) Step() {
	s.sendAll(s.Tick(s.options.Now(), s.options.HoldsLease, s.options.Replicas()))
}

func (s *Service) sendAll(out []counter.Send) {
	for _, send := range out {
		s.options.Send(send.To, send.Message)
	}
}

// HandleMessage takes a message of another process; false if it is none of the accounts'.
func (s *Service) HandleMessage(from string, message any) (answer any, mine bool) {
	if report, ok := message.(Report); ok {
		return s.handleReport(report), true
	}
	if _, ok := messageShard(message); !ok {
		return nil, false
	}
	s.sendAll(s.Receive(from, message))
	return nil, true
}

func (s *Service) handleReport(report Report) ReportAck {
	inRange := report.Shard >= 0 && report.Shard < s.objectives.Shards
	ack := s.HandleReport(report, inRange && s.options.HoldsLease(report.Shard))
	if ack.Refused == ErrNotHolder.Error() {
		ack.Holder = s.options.LeaseHolder(report.Shard)
	}
	return ack
}

// ServeHTTP answers operators with a snapshot as JSON, of the tenant named in the query
// or of all.
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
	json.NewEncoder(w).Encode(snapshot) // a caller that has gone needs no answer
}

// WriteMetrics gives the sums over the shards held here, and the tenants in alarm.
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

// RefusedReports counts the reports that were refused.
func (h *Replica) RefusedReports() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusedReports
}
