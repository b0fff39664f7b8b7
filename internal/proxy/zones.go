package proxy

import (
	"maps"
	"slices"
	"time"
)

// EvacuatedZones returns the zones under evacuation, sorted.
func (pool *Pool) EvacuatedZones() []string {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return slices.Sorted(maps.Keys(pool.evacuated))
}

// SetEvacuatedZones replaces the set of zones under evacuation and reports whether it
// changed. Upstreams in a zone that is no longer evacuated count as cold, since they may
// have become so in the meantime.
func (pool *Pool) SetEvacuatedZones(now time.Time, zones []string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	evacuated := map[string]bool{}
	for _, zone := range zones {
		evacuated[zone] = true
	}
	if maps.Equal(evacuated, pool.evacuated) {
		return false
	}
	for _, u := range pool.upstreams {
		zone := u.instance.Zone
		if evacuated[zone] {
			u.closeIdle()
		} else if pool.evacuated[zone] {
			if end := now.Add(pool.coldBound(u.instance.Service).duration); end.After(u.warmupEnd) {
				u.warmupEnd = end
			}
		}
	}
	pool.evacuated = evacuated
	return true
}
