package proxy

import (
	"math"
	"sort"
	"time"
)

// UpstreamState is one upstream for operators.
type UpstreamState struct {
	Instance, Service, Zone string
	Region                  string
	State                   string
	Out, Idle, Conns, Fails int
	DelayMs                 float64
	Answers                 uint64
	Busy                    float64 // how full it is thought to be, in parts of its slots, where it tells
}

// States lists all upstreams.
func (pool *Pool) States(now time.Time) []UpstreamState {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	var out []UpstreamState
	means := map[string]float64{}
	for s, os := range pool.byService {
		means[s] = meanLoad(os, now)
	}
	for _, u := range pool.upstreams {
		st := "in"
		switch {
		case u.draining:
			st = "draining"
		case now.Before(u.ejectedUntil):
			st = "out"
		case now.Before(u.warmupEnd):
			st = "warming"
			if pool.coldBound(u.instance.Service).duration > 0 {
				st = "cold"
			}
		}
		if pool.evacuated[u.instance.Zone] {
			st = "evacuated"
		}
		out = append(out, UpstreamState{u.instance.ID, u.instance.Service, u.instance.Zone, u.region, st, len(u.active), len(u.idle), u.conns, u.consecutiveFailures,
			math.Round(u.delay*1e4) / 10, u.responses, 0})
		if !u.loadReportedAt.IsZero() {
			out[len(out)-1].Busy = math.Round(u.estimatedLoad(now, means[u.instance.Service])*100) / 100
		}
	}
	sort.Slice(out, func(a, b int) bool {
		return out[a].Service < out[b].Service || out[a].Service == out[b].Service && out[a].Instance < out[b].Instance
	})
	return out
}

// poolCounters is what a pool has counted since its start.
type poolCounters struct {
	newConns, ejected  uint64
	cancelled          uint64
	waited, noCapacity uint64    // requests that waited for room, and that found none
	streamPlacements   [3]uint64 // streams by where they were placed, as Pool.Kept
}

// counters reads the pool's counters at one moment.
func (pool *Pool) counters() poolCounters {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return poolCounters{
		newConns:         pool.NewConns,
		ejected:          pool.Ejected,
		cancelled:        pool.Cancelled,
		waited:           pool.Waited,
		noCapacity:       pool.NoCapacity,
		streamPlacements: pool.StreamPlacements,
	}
}
