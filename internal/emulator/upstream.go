package emulator

import "time"

// Upstream runs requests and counts the runs of each.
type Upstream struct {
	Name        string
	Up          bool
	MaxWorkTime time.Duration // random part of the time for one request; MaxWorkTime/10 is added to it
	SlowShare   float64       // fraction of requests that take six times as long
	RejectShare float64       // fraction of requests that it rejects without running them
	world       *World
	Runs        map[RequestID]int
}

// NewUpstream adds a running upstream to the world and to the platform's list.
func (w *World) NewUpstream(name string) *Upstream {
	u := &Upstream{Name: name, Up: true, MaxWorkTime: 150 * time.Millisecond, SlowShare: 0.05, RejectShare: 0.05, world: w, Runs: map[RequestID]int{}}
	w.Upstreams[name] = u
	w.Platform.Add(u)
	return u
}

// handle runs a request and then calls answer, or calls answer immediately if it rejects the
// request.
func (u *Upstream) handle(id RequestID, answer func(ran bool)) {
	if !u.Up {
		return
	}
	if u.world.Rng.Float64() < u.RejectShare {
		answer(false)
		return
	}
	u.Runs[id]++
	work := u.MaxWorkTime/10 + time.Duration(u.world.Rng.Int64N(int64(u.MaxWorkTime)))
	if u.world.Rng.Float64() < u.SlowShare {
		work *= 6
	}
	u.world.After(work, func() {
		if u.Up {
			answer(true)
		}
	})
}
