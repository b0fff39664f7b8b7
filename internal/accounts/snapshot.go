package accounts

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is what control machines say of the accounts at a time.
type Snapshot struct {
	At        time.Time
	Shards    []ShardState
	Standings []Standing // by tenant
}

// Snapshot is this machine's part: the accounts of the shards that it holds, or of one
// tenant if one is named.
func (h *Replica) Snapshot(now time.Duration, at time.Time, tenant string) (Snapshot, error) {
	out := Snapshot{At: at, Shards: h.Shards(now)}
	if tenant == "" {
		out.Standings = h.Standings(now)
		return out, nil
	}
	standing, err := h.Standing(now, tenant)
	if err != nil {
		return out, err
	}
	out.Standings = []Standing{standing}
	return out, nil
}

// MergeSnapshots puts together what several control machines say at about one time: of
// each shard the word of the machine that leads it, and the newest where two say they do.
func MergeSnapshots(parts []Snapshot) Snapshot {
	var out Snapshot
	leaders := map[int]int{} // shard to part
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

// preferred reports whether one machine's word on a shard goes before another's.
func preferred(a, b ShardState) bool {
	if a.Leading != b.Leading {
		return a.Leading
	}
	return a.Leading && a.Age < b.Age
}

func (s Snapshot) shardState(number int) ShardState {
	for _, shard := range s.Shards {
		if shard.Shard == number {
			return shard
		}
	}
	return ShardState{Shard: number}
}

// MissingShards are the shards of which no machine that answered has a total: the accounts of
// their tenants are missing from the snapshot.
func (s Snapshot) MissingShards() []int {
	var out []int
	for _, shard := range s.Shards {
		if !shard.Leading {
			out = append(out, shard.Shard)
		}
	}
	return out
}

// Standing is a tenant's standing in the snapshot.
func (s Snapshot) Standing(tenant string) (Standing, bool) {
	i, found := slices.BinarySearchFunc(s.Standings, tenant, func(standing Standing, name string) int { return cmp.Compare(standing.Tenant, name) })
	if !found {
		return Standing{}, false
	}
	return s.Standings[i], true
}

// Interval is what happened to a tenant between two snapshots.
type Interval struct {
	From, To time.Time
	Eligible uint64
	Missed   uint64
	Latency  Sketch
}

// NewInterval is the difference of a tenant's accounts in two snapshots; false if either has
// none, or the later one has less: it is of another deployment.
func NewInterval(from, to Snapshot, tenant string) (Interval, bool) {
	a, okA := from.Standing(tenant)
	b, okB := to.Standing(tenant)
	if !okA || !okB || b.Account.Eligible() < a.Account.Eligible() || b.Account.Missed() < a.Account.Missed() {
		return Interval{}, false
	}
	return Interval{From: from.At, To: to.At, Eligible: b.Account.Eligible() - a.Account.Eligible(), Missed: b.Account.Missed() - a.Account.Missed(),
		Latency: b.Account.Latency.subtract(a.Account.Latency)}, true
}

// BurnRate is the interval's burn rate.
func (i Interval) BurnRate(objective Objective) float64 {
	if i.Eligible == 0 {
		return 0
	}
	return float64(i.Missed) / float64(i.Eligible) / (1 - objective.Target)
}

// subtract is what a sketch has more than an earlier state of it.
func (s Sketch) subtract(earlier Sketch) Sketch {
	var out Sketch
	for _, bin := range s {
		at, found := slices.BinarySearchFunc(earlier, bin.Index, func(b Bin, index int32) int { return cmp.Compare(b.Index, index) })
		if found {
			bin.Count -= min(bin.Count, earlier[at].Count)
		}
		if bin.Count > 0 {
			out = append(out, bin)
		}
	}
	return out
}
