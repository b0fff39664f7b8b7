package emulator

import "time"

// Upstream runs requests and counts the runs of each.
type Upstream struct {
	Name        string
	Up          bool
	MaxWorkTime time.Duration // longest time for one request; the shortest is a tenth
	SlowShare   float64       // share of requests that take six times as long
	RejectShare float64       // share that it turns away without having run them
	world       *World
	Runs        map[RequestID]int
}

// NewUpstream makes an upstream that works, and puts it on the platform's list.
func (w *World) NewUpstream(name string) *Upstream {
	u := &Upstream{Name: name, Up: true, MaxWorkTime: 150 * time.Millisecond, SlowShare: 0.05, RejectShare: 0.05, world: w, Runs: map[RequestID]int{}}
	w.Upstreams[name] = u
	w.Platform.Add(u)
	return u
}

// offer takes a request; answer is called with whether it was run, once it is done.
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
