package accounts

import (
	"sync"
	"time"

	"slateridge/internal/counter"
)

// Journal keeps a process life's counters where they outlast the process. Latencies are
// not kept in it.
type Journal interface {
	// Record notes a tenant's counters. The process may end at any moment after it.
	Record(tenant string, account *Account)
	// RecordSent notes, before a report leaves, the newest version of a shard that was told;
	// false if that failed, and the report must not leave.
	RecordSent(shard int, version uint64) bool
}

// EndedIncarnation is what a journal holds of a life that is over.
type EndedIncarnation struct {
	Incarnation  counter.LifeID
	SentVersions []uint64 // by shard
	Accounts     map[string]Account
}

// Meter accounts for the requests that a proxy takes. A nil meter accounts for nothing,
// at no cost.
type Meter struct {
	mu         sync.Mutex
	objectives *Objectives
	journal    Journal // nil: the counters end with the process
	current    []*counter.Writer[string, Account]
	ended      []*endedWriters
}

// endedWriters tell of a life that is over; a shard in which it had nothing has no writer.
type endedWriters struct {
	incarnation counter.LifeID
	shards      []*counter.Writer[string, Account]
}

// NewMeter makes the meter of a new life; journal may be nil. Ended are the lives that
// journals of earlier processes hold: what they had not settled is unknown from now on.
func NewMeter(node string, life counter.LifeID, objectives *Objectives, journal Journal, ended []EndedIncarnation) *Meter {
	m := &Meter{objectives: objectives, journal: journal}
	for range objectives.Shards {
		m.current = append(m.current, counter.NewWriter[string, Account](node, life))
	}
	for _, e := range ended {
		m.ended = append(m.ended, recoverWriters(node, objectives.Shards, e))
	}
	return m
}

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
		told := uint64(0)
		if shard < len(ended.SentVersions) {
			told = ended.SentVersions[shard]
		}
		if told > 0 || len(cells[shard]) > 0 {
			out.shards[shard] = counter.RecoverWriter(node, ended.Incarnation, told, cells[shard])
		}
	}
	return out
}

// Request is one request under way. A nil request is one that is not accounted for.
type Request struct {
	meter        *Meter
	tenant       string
	latencyLimit time.Duration
	settled      bool
	doubled      bool
}

// Begin notes a request that was taken from a client; nil if the tenant has no objective.
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

// Success settles a request whose answer was written whole, by its latency. Only the
// first of all calls that settle a request counts.
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

// Failure settles a request without a known success.
func (r *Request) Failure(outcome Outcome) {
	if r == nil {
		return
	}
	r.settle(func(a *Account) { a.Settled[outcome]++ })
}

// Doubled notes that a second upstream has answered as having run a request that may run
// once. It may come after the request was settled, and counts once.
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

func (r *Request) settle(change func(*Account)) {
	r.meter.update(r.tenant, func(a *Account) {
		if !r.settled {
			r.settled = true
			change(a)
		}
	})
}

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

// PendingReports are what the holder of a shard has to be told, of this life and of ended ones.
func (m *Meter) PendingReports(shard int) []Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Report
	for _, ended := range m.ended {
		writer := ended.shards[shard]
		if writer == nil {
			continue
		}
		if delta, some := writer.Pending(); some {
			out = append(out, packReport(shard, delta))
		}
	}
	writer := m.current[shard]
	delta, some := writer.Pending()
	if !some {
		return out
	}
	if m.journal != nil && !m.journal.RecordSent(shard, writer.Told()) {
		return out
	}
	return append(out, packReport(shard, delta))
}

// Acknowledge takes the answer to a report. It gives the lives of which majorities now
// hold everything, so that their journals can go.
func (m *Meter) Acknowledge(ack ReportAck) (finished []counter.LifeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ack.Refused != "" || ack.Shard < 0 || ack.Shard >= len(m.current) {
		return nil
	}
	if writer := m.current[ack.Shard]; uint64(writer.Life()) == ack.Life {
		writer.Acknowledge(ack.Ack)
	}
	left := m.ended[:0]
	for _, ended := range m.ended {
		if uint64(ended.incarnation) == ack.Life && ended.shards[ack.Shard] != nil {
			ended.shards[ack.Shard].Acknowledge(ack.Ack)
		}
		if ended.finished() {
			finished = append(finished, ended.incarnation)
		} else {
			left = append(left, ended)
		}
	}
	m.ended = left
	return finished
}

func (e *endedWriters) finished() bool {
	for _, writer := range e.shards {
		if writer != nil && !writer.Finished() {
			return false
		}
	}
	return true
}

// Close ends the life in order, once nothing is under way: for a process that has no
// journal from which its successor could end it.
func (m *Meter) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, writer := range m.current {
		writer.Close()
	}
}

// TenantCount is the number of tenants accounted for in this life.
func (m *Meter) TenantCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, writer := range m.current {
		count += writer.Len()
	}
	return count
}

// Account is what this life has counted of a tenant.
func (m *Meter) Account(tenant string) Account {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current[ShardOf(tenant, len(m.current))].Cell(tenant).Join(Account{})
}
