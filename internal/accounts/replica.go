package accounts

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"slateridge/internal/counter"
)

// Group is one shard's replicated counters.
type Group = counter.Group[string, Account]

// Times and sizes of a shard's replication.
const (
	roundInterval             = 5 * time.Second        // a total is so much older at most than what proxies have told
	resendTimeout             = 600 * time.Millisecond // two round trips between regions and a slow disk's sync
	compactionInterval        = 10 * time.Minute       // ended lives are few, and a base is a large message
	incarnationsPerCompaction = 500                    // lives in one base more than in the one before
	maxCellsPerMessage        = 20_000                 // accounts in one message: under 2 MB
	maxIncrementalSaves       = 24                     // rounds on disk between two writings of the whole: two minutes
)

// ReportInterval is the time between a proxy's reports. A proxy that is lost together with its
// journal takes with it what it counted since the latest one.
const ReportInterval = 25 * time.Second

// DefaultCounterOptions are those of a deployment.
var DefaultCounterOptions = counter.Options{RoundEvery: roundInterval, ResendAfter: resendTimeout, FoldEvery: compactionInterval,
	FoldAtMost: incarnationsPerCompaction, CellsAtOnce: maxCellsPerMessage, SavesAtOnce: maxIncrementalSaves}

// Replica is a control machine's part in keeping the accounts: a replica of every shard,
// and the totals of the shards whose leases it holds.
type Replica struct {
	mu          sync.Mutex
	objectives  *Objectives
	groups      []*Group
	histories   []map[string]*history
	sampledAt   time.Duration
	recordEvent func(kind, about string)

	refusedReports uint64 // reports
}

// NewReplica takes up what the machine's disk holds. Note is told, in one line, of every
// report that is refused; founding and start are as for counter.NewGroup.
func NewReplica(machine string, objectives *Objectives, options counter.Options, store counter.Store, founding bool, start uint64, note func(kind, about string)) *Replica {
	h := &Replica{objectives: objectives, recordEvent: note}
	for shard := range objectives.Shards {
		h.groups = append(h.groups, counter.NewGroup[string, Account](shard, machine, options, store, founding, start))
		h.histories = append(h.histories, map[string]*history{})
	}
	return h
}

// HandleReport merges a proxy's report. Leads says whether this machine holds the shard's lease. A
// report that is refused changes nothing, and its proxy keeps what was in it.
func (h *Replica) HandleReport(report Report, leads bool) ReportAck {
	h.mu.Lock()
	defer h.mu.Unlock()
	ack, err := h.mergeReport(report, leads)
	out := ReportAck{Shard: report.Shard, Life: report.Life, Ack: ack}
	if err != nil {
		out.Refused = err.Error()
		if !errors.Is(err, ErrNotHolder) {
			h.refusedReports++
			h.recordEvent("account_refused", report.Node+": "+err.Error())
		}
	}
	return out
}

func (h *Replica) mergeReport(report Report, leads bool) (counter.Ack, error) {
	delta, err := unpackReport(report, len(h.groups))
	if err != nil {
		return counter.Ack{}, err
	}
	for tenant := range delta.Cells {
		if _, ok := h.objectives.Lookup(tenant); !ok {
			return counter.Ack{}, ErrUnknownTenant
		}
	}
	group := h.groups[report.Shard]
	if !leads || !group.Leading() {
		return counter.Ack{}, ErrNotHolder
	}
	ack, ok := group.Report(delta)
	if !ok {
		return counter.Ack{}, counter.ErrAfterClose
	}
	return ack, nil
}

// Tick advances all shards; leads says whose lease this machine holds, and replicas are
// all machines that keep the accounts.
func (h *Replica) Tick(now time.Duration, leads func(shard int) bool, replicas []string) []counter.Send {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []counter.Send
	for shard, group := range h.groups {
		out = append(out, group.Tick(now, leads(shard), replicas)...)
	}
	if now-h.sampledAt >= sampleInterval {
		h.sampledAt = now
		h.sampleHistories(now)
	}
	return out
}

// sampleHistories notes the figures of the shards held here. A shard that is no longer held
// loses its history: its new holder knows what is newer.
func (h *Replica) sampleHistories(now time.Duration) {
	for shard, group := range h.groups {
		totals, _, ok := group.Totals(now)
		if !ok {
			clear(h.histories[shard])
			continue
		}
		for tenant, account := range totals {
			past := h.histories[shard][tenant]
			if past == nil {
				past = &history{}
				h.histories[shard][tenant] = past
			}
			if objective, ok := h.objectives.Lookup(tenant); ok {
				past.add(now, account, objective.Window)
			}
		}
	}
}

// Receive takes a message of a shard's replication from another control machine.
func (h *Replica) Receive(from string, message any) []counter.Send {
	h.mu.Lock()
	defer h.mu.Unlock()
	shard, ok := messageShard(message)
	if !ok || shard < 0 || shard >= len(h.groups) {
		return nil
	}
	return h.groups[shard].Receive(from, message)
}

type (
	// Prepare is a message of a shard's replication, as the others here.
	Prepare = counter.Prepare
	// Promise answers Prepare.
	Promise = counter.Promise[string, Account]
	// Reject answers a message of a leader that has been replaced.
	Reject = counter.Reject
	// Replicate brings what has been reported to the other control machines.
	Replicate = counter.Replicate[string, Account]
	// Replicated answers Replicate.
	Replicated = counter.Replicated
)

// messageShard is the shard that a message of the replication is about.
func messageShard(message any) (shard int, ok bool) {
	switch m := message.(type) {
	case Prepare:
		return m.Group, true
	case Promise:
		return m.Group, true
	case Reject:
		return m.Group, true
	case Replicate:
		return m.Group, true
	case Replicated:
		return m.Group, true
	}
	return 0, false
}

// Standing is one tenant's account for operators.
type Standing struct {
	Tenant    string
	Shard     int
	Objective Objective
	Account   Account
	Open      uint64        // under way, or of lives whose end is not known
	Age       time.Duration // of the total: what proxies told later is not in it
	Budget    Budget
	P50, P99  time.Duration
}

// Standing is a tenant's standing; ErrNotHolder unless this machine has its total.
func (h *Replica) Standing(now time.Duration, tenant string) (Standing, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	objective, ok := h.objectives.Lookup(tenant)
	if !ok {
		return Standing{}, ErrUnknownTenant
	}
	shard := ShardOf(tenant, len(h.groups))
	totals, age, ok := h.groups[shard].Totals(now)
	if !ok {
		return Standing{}, ErrNotHolder
	}
	return h.newStanding(now, age, shard, tenant, totals[tenant], objective), nil
}

func (h *Replica) newStanding(now, age time.Duration, shard int, tenant string, account Account, objective Objective) Standing {
	out := Standing{Tenant: tenant, Shard: shard, Objective: objective, Account: account, Open: account.Open(), Age: age,
		P50: account.Latency.Quantile(0.5), P99: account.Latency.Quantile(0.99)}
	past := h.histories[shard][tenant]
	if past == nil {
		past = &history{}
	}
	out.Budget = past.budget(now, account, objective)
	return out
}

// Totals are the accounts of a shard that a majority holds, and how old that knowledge is;
// false unless this machine leads the shard.
func (h *Replica) Totals(now time.Duration, shard int) (map[string]Account, time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	totals, age, ok := h.groups[shard].Totals(now)
	return maps.Clone(totals), age, ok
}

// Standings is the standing of all tenants whose shards are held here, by name.
func (h *Replica) Standings(now time.Duration) []Standing {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Standing
	for shard, group := range h.groups {
		totals, age, _ := group.Totals(now)
		for tenant, account := range totals {
			if objective, ok := h.objectives.Lookup(tenant); ok {
				out = append(out, h.newStanding(now, age, shard, tenant, account, objective))
			}
		}
	}
	slices.SortFunc(out, func(a, b Standing) int {
		if a.Tenant < b.Tenant {
			return -1
		}
		return 1
	})
	return out
}

// ShardState is one shard for operators.
type ShardState struct {
	Shard       int
	Leading     bool
	Age         time.Duration
	OpenLives   int // process lives that have not ended, as known here
	EndedLives  int // lives that have ended and are not folded yet
	FoldedLives int
	Refused     uint64 // deltas that did not fit
}

// Shards are the states of all shards.
func (h *Replica) Shards(now time.Duration) []ShardState {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []ShardState
	for shard, group := range h.groups {
		lives, folded := group.Lives()
		open := len(group.OpenLives())
		_, age, leading := group.Totals(now)
		out = append(out, ShardState{shard, leading, age, open, lives - open, folded, group.Refused})
	}
	return out
}
