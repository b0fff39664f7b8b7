package accounts

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is the state of the accounts at one time, as reported by control-plane nodes.
type Snapshot struct {
	At        time.Time
	Shards    []ShardState
	Standings []Standing // sorted by tenant
}

// Snapshot returns this node's part of a snapshot: the accounts of the shards that it leads,
// or of one tenant if tenant isn't empty.
func (r *Replica) Snapshot(now time.Duration, at time.Time, tenant string) (Snapshot, error) {
	out := Snapshot{At: at, Shards: r.Shards(now)}
	if tenant == "" {
		out.Standings = r.Standings(now)
		return out, nil
	}
	standing, err := r.Standing(now, tenant)
	if err != nil {
		return out, err
	}
	out.Standings = []Standing{standing}
	return out, nil
}

// MergeSnapshots combines snapshots that several control-plane nodes took at about the same
// time. Each shard is taken from the node that leads it, or from the one with the newest
// totals if two nodes report that they lead it.
func MergeSnapshots(parts []Snapshot) Snapshot {
	var out Snapshot
	leaders := map[int]int{} // index of the chosen part, by shard
	for i, part := range parts {
		if part.At.After(out.At) {
			out.At = part.At
		}
		for _, shard := range part.Shards {
			best, known := leaders[shard.Shard]
			if !known || preferred(shard, parts[best].shardState(shard.Shard)) {
				leaders[shard.Shard] = i
			}
		}
	}
	for shard, i := range leaders {
		out.Shards = append(out.Shards, parts[i].shardState(shard))
		for _, standing := range parts[i].Standings {
			if standing.Shard == shard {
				out.Standings = append(out.Standings, standing)
			}
		}
	}
	slices.SortFunc(out.Shards, func(a, b ShardState) int { return cmp.Compare(a.Shard, b.Shard) })
	slices.SortFunc(out.Standings, func(a, b Standing) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return out
}

// preferred reports whether state a of a shard takes precedence over state b.
func preferred(a, b ShardState) bool {
	if a.Leading != b.Leading {
		return a.Leading
	}
	return a.Leading && a.Age < b.Age
}

// shardState returns the state of a shard, or a state without a leader if there is none.
func (s Snapshot) shardState(number int) ShardState {
	for _, shard := range s.Shards {
		if shard.Shard == number {
			return shard
		}
	}
	return ShardState{Shard: number}
}

// MissingShards returns the shards whose leader isn't among the nodes that responded. The
// accounts of their tenants are missing from the snapshot.
func (s Snapshot) MissingShards() []int {
	var out []int
	for _, shard := range s.Shards {
		if !shard.Leading {
			out = append(out, shard.Shard)
		}
	}
	return out
}

// Standing returns a tenant's standing, if the snapshot has it.
func (s Snapshot) Standing(tenant string) (Standing, bool) {
	i, found := slices.BinarySearchFunc(s.Standings, tenant, func(standing Standing, name string) int { return cmp.Compare(standing.Tenant, name) })
	if !found {
		return Standing{}, false
	}
	return s.Standings[i], true
}

// Interval holds the changes of a tenant's account between two snapshots.
type Interval struct {
	From, To time.Time
	Eligible uint64
	Missed   uint64
	Latency  Sketch
}

// NewInterval returns the difference between a tenant's accounts in two snapshots. It returns
// false if either snapshot lacks the tenant, or if the later one has lower counts, which means
// that it is from another deployment.
func NewInterval(from, to Snapshot, tenant string) (Interval, bool) {
	a, okA := from.Standing(tenant)
	b, okB := to.Standing(tenant)
	if !okA || !okB || b.Account.Eligible() < a.Account.Eligible() || b.Account.Missed() < a.Account.Missed() {
		return Interval{}, false
	}
	return Interval{From: from.At, To: to.At, Eligible: b.Account.Eligible() - a.Account.Eligible(), Missed: b.Account.Missed() - a.Account.Missed(),
		Latency: b.Account.Latency.subtract(a.Account.Latency)}, true
}

// BurnRate returns the burn rate of the interval.
func (i Interval) BurnRate(objective Objective) float64 {
	if i.Eligible == 0 {
		return 0
	}
	return float64(i.Missed) / float64(i.Eligible) / (1 - objective.Target)
}

// subtract returns the latencies recorded since an earlier state of the sketch.
func (s Sketch) subtract(earlier Sketch) Sketch {
	var out Sketch
	for _, bin := range s {
		j, found := slices.BinarySearchFunc(earlier, bin.Index, func(b Bin, index int32) int { return cmp.Compare(b.Index, index) })
		if found {
			bin.Count -= min(bin.Count, earlier[j].Count)
		}
		if bin.Count > 0 {
			out = append(out, bin)
		}
	}
	return out
}
