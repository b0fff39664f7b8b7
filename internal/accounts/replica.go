package accounts

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"slateridge/internal/counter"
)

// Group holds the replicated counters of one shard.
type Group = counter.Group[string, Account]

// Parameters of a shard's replication.
const (
	roundInterval             = 5 * time.Second        // a total is at most this much older than the proxies' latest reports
	resendTimeout             = 600 * time.Millisecond // two round trips between regions and the sync of a slow disk
	compactionInterval        = 10 * time.Minute       // incarnations end rarely, and the compacted base is a large message
	incarnationsPerCompaction = 500                    // incarnations that one compaction adds to the base
	maxCellsPerMessage        = 20_000                 // accounts in one message, less than 2 MB
	maxIncrementalSaves       = 24                     // rounds saved individually before the complete state is saved: two minutes
)

// ReportInterval is the time between a proxy's reports. If a proxy is lost together with its
// journal, the counts since its latest report are lost.
const ReportInterval = 25 * time.Second

// DefaultCounterOptions are the replication options used in production.
var DefaultCounterOptions = counter.Options{RoundInterval: roundInterval, ResendTimeout: resendTimeout, CompactionInterval: compactionInterval,
	IncarnationsPerCompaction: incarnationsPerCompaction, MaxCellsPerMessage: maxCellsPerMessage, MaxIncrementalSaves: maxIncrementalSaves}

// Replica is the accounts' state on one control-plane node: a replica of every shard, and the
// totals of the shards whose leases the node holds.
type Replica struct {
	mu          sync.Mutex
	objectives  *Objectives
	groups      []*Group
	histories   []map[string]*history // by shard and tenant
	sampledAt   time.Duration
	recordEvent func(kind, about string)

	refusedReports uint64
}

// NewReplica loads the replica of node from store. recordEvent is called for every rejected
// report. founding and start are described at counter.NewGroup.
func NewReplica(node string, objectives *Objectives, options counter.Options, store counter.Store, founding bool, start uint64, recordEvent func(kind, about string)) *Replica {
	r := &Replica{objectives: objectives, recordEvent: recordEvent}
	for shard := range objectives.Shards {
		r.groups = append(r.groups, counter.NewGroup[string, Account](shard, node, options, store, founding, start))
		r.histories = append(r.histories, map[string]*history{})
	}
	return r
}

// HandleReport merges a proxy's report. holdsLease reports whether this node holds the shard's
// lease. A rejected report changes nothing; the proxy keeps its changes.
func (r *Replica) HandleReport(report Report, holdsLease bool) ReportAck {
	r.mu.Lock()
	defer r.mu.Unlock()
	ack, err := r.mergeReport(report, holdsLease)
	out := ReportAck{Shard: report.Shard, Life: report.Life, Ack: ack}
	if err != nil {
		out.Refused = err.Error()
		if !errors.Is(err, ErrNotHolder) {
			r.refusedReports++
			r.recordEvent("account_refused", report.Node+": "+err.Error())
		}
	}
	return out
}

func (r *Replica) mergeReport(report Report, holdsLease bool) (counter.Ack, error) {
	delta, err := unpackReport(report, len(r.groups))
	if err != nil {
		return counter.Ack{}, err
	}
	for tenant := range delta.Cells {
		if _, ok := r.objectives.Lookup(tenant); !ok {
			return counter.Ack{}, ErrUnknownTenant
		}
	}
	group := r.groups[report.Shard]
	if !holdsLease || !group.Leading() {
		return counter.Ack{}, ErrNotHolder
	}
	ack, ok := group.Report(delta)
	if !ok {
		return counter.Ack{}, counter.ErrAfterClose
	}
	return ack, nil
}

// Tick advances all shards. holdsLease reports whether this node holds a shard's lease, and
// replicas are all nodes that store the accounts.
func (r *Replica) Tick(now time.Duration, holdsLease func(shard int) bool, replicas []string) []counter.Send {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []counter.Send
	for shard, group := range r.groups {
		out = append(out, group.Tick(now, holdsLease(shard), replicas)...)
	}
	if now-r.sampledAt >= sampleInterval {
		r.sampledAt = now
		r.sampleHistories(now)
	}
	return out
}

// sampleHistories records a sample of every account whose shard this node leads. The history
// of a shard that it no longer leads is discarded, as the new leader has newer samples.
func (r *Replica) sampleHistories(now time.Duration) {
	for shard, group := range r.groups {
		totals, _, ok := group.Totals(now)
		if !ok {
			clear(r.histories[shard])
			continue
		}
		for tenant, account := range totals {
			past := r.histories[shard][tenant]
			if past == nil {
				past = &history{}
				r.histories[shard][tenant] = past
			}
			if objective, ok := r.objectives.Lookup(tenant); ok {
				past.add(now, account, objective.Window)
			}
		}
	}
}

// Receive processes a replication message from another control-plane node and returns the
// messages to send.
func (r *Replica) Receive(from string, message any) []counter.Send {
	r.mu.Lock()
	defer r.mu.Unlock()
	shard, ok := messageShard(message)
	if !ok || shard < 0 || shard >= len(r.groups) {
		return nil
	}
	return r.groups[shard].Receive(from, message)
}

type (
	// Prepare asks a replica to reject lower ballots and to send its state.
	Prepare = counter.Prepare
	// Promise is the response to Prepare.
	Promise = counter.Promise[string, Account]
	// Reject is the response to a message of a replaced leader.
	Reject = counter.Reject
	// Replicate transfers reported changes from a leader to the other nodes.
	Replicate = counter.Replicate[string, Account]
	// Replicated is the response to Replicate.
	Replicated = counter.Replicated
)

// messageShard returns the shard of a replication message; ok is false for other messages.
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

// Standing is the state of one tenant's account and error budget, as shown to operators.
type Standing struct {
	Tenant    string
	Shard     int
	Objective Objective
	Account   Account
	Open      uint64        // in flight, or of incarnations that are not known to have ended
	Age       time.Duration // of the total, which doesn't include later reports
	Budget    Budget
	P50, P99  time.Duration
}

// Standing returns the state of a tenant's account, or ErrNotHolder if this node doesn't have
// its total.
func (r *Replica) Standing(now time.Duration, tenant string) (Standing, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	objective, ok := r.objectives.Lookup(tenant)
	if !ok {
		return Standing{}, ErrUnknownTenant
	}
	shard := ShardOf(tenant, len(r.groups))
	totals, age, ok := r.groups[shard].Totals(now)
	if !ok {
		return Standing{}, ErrNotHolder
	}
	return r.newStanding(now, age, shard, tenant, totals[tenant], objective), nil
}

// newStanding derives a tenant's standing from its total and its history.
func (r *Replica) newStanding(now, age time.Duration, shard int, tenant string, account Account, objective Objective) Standing {
	out := Standing{Tenant: tenant, Shard: shard, Objective: objective, Account: account, Open: account.Open(), Age: age,
		P50: account.Latency.Quantile(0.5), P99: account.Latency.Quantile(0.99)}
	past := r.histories[shard][tenant]
	if past == nil {
		past = &history{}
	}
	out.Budget = past.budget(now, account, objective)
	return out
}

// Totals returns the accounts of a shard as held by a majority, and their age. It returns
// false unless this node leads the shard.
func (r *Replica) Totals(now time.Duration, shard int) (map[string]Account, time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	totals, age, ok := r.groups[shard].Totals(now)
	return maps.Clone(totals), age, ok
}

// Standings returns the standings of all tenants whose shards this node leads, sorted by name.
func (r *Replica) Standings(now time.Duration) []Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Standing
	for shard, group := range r.groups {
		totals, age, _ := group.Totals(now)
		for tenant, account := range totals {
			if objective, ok := r.objectives.Lookup(tenant); ok {
				out = append(out, r.newStanding(now, age, shard, tenant, account, objective))
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

// ShardState is the state of one shard on a node, as shown to operators.
type ShardState struct {
	Shard       int
	Leading     bool
	Age         time.Duration // of the totals
	OpenLives   int           // incarnations that are not known to have ended
	EndedLives  int           // incarnations that have ended and are not compacted yet
	FoldedLives int           // compacted incarnations
	Refused     uint64        // deltas that were malformed or went beyond a final version
}

// Shards returns the states of all shards.
func (r *Replica) Shards(now time.Duration) []ShardState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []ShardState
	for shard, group := range r.groups {
		incarnations, compacted := group.IncarnationCounts()
		open := len(group.OpenIncarnations())
		_, age, leading := group.Totals(now)
		out = append(out, ShardState{shard, leading, age, open, incarnations - open, compacted, group.Refused})
	}
	return out
}
