package proxy

import (
	"maps"
	"slices"
	"time"
)

// EvacuatedZones lists the zones under evacuation.
func (pool *Pool) EvacuatedZones() []string {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return slices.Sorted(maps.Keys(pool.evacuated))
}

// SetEvacuatedZones takes the zones under evacuation; true when they are others than
// before. The upstreams of a zone taken back may have turned cold meanwhile.
func (pool *Pool) SetEvacuatedZones(now time.Time, zones []string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	is := map[string]bool{}
	for _, z := range zones {
		is[z] = true
	}
	if maps.Equal(is, pool.evacuated) {
		return false
	}
	for _, u := range pool.upstreams {
		z := u.instance.Zone
		if is[z] {
			u.closeIdle()
		} else if pool.evacuated[z] {
			if cold := now.Add(pool.coldBound(u.instance.Service).duration); cold.After(u.warmupEnd) {
				u.warmupEnd = cold
			}
		}
	}
	pool.evacuated = is
	return true
}
