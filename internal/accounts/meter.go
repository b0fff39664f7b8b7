package accounts

import (
	"sync"
	"time"

	"slateridge/internal/counter"
)

// Journal stores the counters of one incarnation so that they survive the process. It doesn't
// store latencies.
type Journal interface {
	// Record stores a tenant's counters. The process may end at any time after it returns.
	Record(tenant string, account *Account)
	// RecordSent stores the version of a shard that the next report includes, before the
	// report is sent. It returns false on failure; the report must not be sent then.
	RecordSent(shard int, version uint64) bool
}

// EndedIncarnation is the content of a journal whose process has ended.
type EndedIncarnation struct {
	Incarnation  counter.IncarnationID
	SentVersions []uint64 // by shard
	Accounts     map[string]Account
}

// Meter counts the requests that a proxy accepts. A nil Meter counts nothing and allocates
// nothing.
type Meter struct {
	mu         sync.Mutex
	objectives *Objectives
	journal    Journal                            // nil if the counters aren't stored
	current    []*counter.Writer[string, Account] // by shard
	ended      []*endedWriters                    // earlier incarnations that aren't reported completely
}

// endedWriters report the counters of an ended incarnation. The writer of a shard without
// counters is nil.
type endedWriters struct {
	incarnation counter.IncarnationID
	shards      []*counter.Writer[string, Account]
}

// NewMeter returns the meter of a new incarnation. journal may be nil. ended holds the
// incarnations recovered from the journals of earlier processes; their open requests are
// settled as Unknown.
func NewMeter(node string, incarnation counter.IncarnationID, objectives *Objectives, journal Journal, ended []EndedIncarnation) *Meter {
	m := &Meter{objectives: objectives, journal: journal}
	for range objectives.Shards {
		m.current = append(m.current, counter.NewWriter[string, Account](node, incarnation))
	}
	for _, e := range ended {
		m.ended = append(m.ended, recoverWriters(node, objectives.Shards, e))
	}
	return m
}

// recoverWriters returns the writers of an ended incarnation, with its open requests settled as
// Unknown.
func recoverWriters(node string, shards int, ended EndedIncarnation) *endedWriters {
	cells := make([]counter.Cells[string, Account], shards)
	for i := range cells {
		cells[i] = counter.Cells[string, Account]{}
	}
	for tenant, account := range ended.Accounts {
		account.settleOpen()
		cells[ShardOf(tenant, shards)][tenant] = account
	}
	out := &endedWriters{incarnation: ended.Incarnation, shards: make([]*counter.Writer[string, Account], shards)}
	for shard := range shards {
		sentVersion := uint64(0)
		if shard < len(ended.SentVersions) {
			sentVersion = ended.SentVersions[shard]
		}
		if sentVersion > 0 || len(cells[shard]) > 0 {
			out.shards[shard] = counter.RecoverWriter(node, ended.Incarnation, sentVersion, cells[shard])
		}
	}
	return out
}

// Request is one request in flight. A nil Request is not counted.
type Request struct {
	meter        *Meter
	tenant       string
	latencyLimit time.Duration
	settled      bool
	doubled      bool
}

// Begin counts a request accepted from a client. It returns nil if the tenant has no objective.
func (m *Meter) Begin(tenant string) *Request {
	if m == nil {
		return nil
	}
	objective, ok := m.objectives.Lookup(tenant)
	if !ok {
		return nil
	}
	m.update(tenant, func(a *Account) { a.Taken++ })
	return &Request{meter: m, tenant: tenant, latencyLimit: objective.Latency}
}

// Success settles a request whose response was written completely, as OnTime or Late
// according to its latency. Only the first call that settles a request has an effect.
func (r *Request) Success(latency time.Duration) {
	if r == nil {
		return
	}
	outcome := OnTime
	if latency > r.latencyLimit {
		outcome = Late
	}
	r.settle(func(a *Account) {
		a.Settled[outcome]++
		a.Latency.Observe(latency)
	})
}

// Failure settles a request that isn't known to have succeeded.
func (r *Request) Failure(outcome Outcome) {
	if r == nil {
		return
	}
	r.settle(func(a *Account) { a.Settled[outcome]++ })
}

// Doubled records that a second upstream reported that it executed a non-repeatable request.
// It may be called after the request was settled; only the first call has an effect.
func (r *Request) Doubled() {
	if r == nil {
		return
	}
	r.meter.update(r.tenant, func(a *Account) {
		if !r.doubled {
			r.doubled = true
			a.Doubled++
		}
	})
}

// settle applies a change unless the request has already been settled.
func (r *Request) settle(change func(*Account)) {
	r.meter.update(r.tenant, func(a *Account) {
		if !r.settled {
			r.settled = true
			change(a)
		}
	})
}

// update changes a tenant's account and records it in the journal.
func (m *Meter) update(tenant string, change func(*Account)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current[ShardOf(tenant, len(m.current))].Update(tenant, func(a *Account) {
		change(a)
		if m.journal != nil {
			m.journal.Record(tenant, a)
		}
	})
}

// PendingReports returns the reports to send to the leader of a shard, for this incarnation
// and for ended ones.
func (m *Meter) PendingReports(shard int) []Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Report
	for _, ended := range m.ended {
		writer := ended.shards[shard]
		if writer == nil {
			continue
		}
		if delta, pending := writer.Pending(); pending {
			out = append(out, packReport(shard, delta))
		}
	}
	writer := m.current[shard]
	delta, pending := writer.Pending()
	if !pending {
		return out
	}
	if m.journal != nil && !m.journal.RecordSent(shard, writer.SentVersion()) {
		return out
	}
	return append(out, packReport(shard, delta))
}

// Acknowledge processes the response to a report. It returns the ended incarnations whose
// counters are now completely held by majorities; their journals can be removed.
func (m *Meter) Acknowledge(ack ReportAck) (finished []counter.IncarnationID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ack.Refused != "" || ack.Shard < 0 || ack.Shard >= len(m.current) {
		return nil
	}
	if writer := m.current[ack.Shard]; uint64(writer.Incarnation()) == ack.Life {
		writer.Acknowledge(ack.Ack)
	}
	remaining := m.ended[:0]
	for _, ended := range m.ended {
		if uint64(ended.incarnation) == ack.Life && ended.shards[ack.Shard] != nil {
			ended.shards[ack.Shard].Acknowledge(ack.Ack)
		}
		if ended.finished() {
			finished = append(finished, ended.incarnation)
		} else {
			remaining = append(remaining, ended)
		}
	}
	m.ended = remaining
	return finished
}

// finished reports whether majorities hold the counters of all shards.
func (e *endedWriters) finished() bool {
	for _, writer := range e.shards {
		if writer != nil && !writer.Finished() {
			return false
		}
	}
	return true
}

// Close marks the incarnation as ended. It must only be called when no request is in flight.
// It serves processes without a journal, whose successor can't end the incarnation.
func (m *Meter) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, writer := range m.current {
		writer.Close()
	}
}

// TenantCount returns the number of tenants that have an account in this incarnation.
func (m *Meter) TenantCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, writer := range m.current {
		count += writer.Len()
	}
	return count
}

// Account returns a copy of a tenant's account in this incarnation.
func (m *Meter) Account(tenant string) Account {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current[ShardOf(tenant, len(m.current))].Cell(tenant).Join(Account{})
}
