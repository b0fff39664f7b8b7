package controlplane

import (
	"sync"

	"slateridge/internal/distribution"
)

// locations records the zone and region of each control machine, taken from its heartbeats.
// mu guards byAddress.
type locations struct {
	mu        sync.Mutex
	byAddress map[string]distribution.Peer
}

func newLocations() *locations {
	return &locations{byAddress: map[string]distribution.Peer{}}
}

func (l *locations) observe(address, zone, region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byAddress[address] = distribution.Peer{Addr: address, Zone: zone, Region: region}
}

// lookup returns the location of a machine. Zone and region are empty if they are unknown.
func (l *locations) lookup(address string) distribution.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	location := l.byAddress[address]
	location.Addr = address
	return location
}
