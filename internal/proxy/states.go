package proxy

import (
	"math"
	"sort"
	"time"
)

// UpstreamState describes one upstream in the admin report.
type UpstreamState struct {
	Instance, Service, Zone string
	Region                  string
	State                   string
	Out, Idle, Conns, Fails int
	DelayMs                 float64
	Answers                 uint64
	Busy                    float64 // estimated load as a multiple of its slots; 0 if the upstream reports no load
}

// States returns the state of every upstream, ordered by service and instance.
func (pool *Pool) States(now time.Time) []UpstreamState {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	var out []UpstreamState
	means := map[string]float64{}
	for service, upstreams := range pool.byService {
		means[service] = meanLoad(upstreams, now)
	}
	for _, u := range pool.upstreams {
		state := "in"
		switch {
		case u.draining:
			state = "draining"
		case now.Before(u.ejectedUntil):
			state = "out"
		case now.Before(u.warmupEnd):
			state = "warming"
			if pool.coldBound(u.instance.Service).duration > 0 {
				state = "cold"
			}
		}
		if pool.evacuated[u.instance.Zone] {
			state = "evacuated"
		}
		out = append(out, UpstreamState{u.instance.ID, u.instance.Service, u.instance.Zone, u.region, state, len(u.active), len(u.idle), u.conns, u.consecutiveFailures,
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

// poolCounters is a snapshot of a pool's counters since its start.
type poolCounters struct {
	newConns, ejected  uint64
	cancelled          uint64
	waited, noCapacity uint64    // requests that waited for capacity, and that found none
	streamPlacements   [3]uint64 // as Pool.StreamPlacements
}

// counters returns a consistent snapshot of the pool's counters.
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
