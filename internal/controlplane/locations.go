package controlplane

import (
	"sync"

	"slateridge/internal/distribution"
)

// locations remembers where the control machines stand, as their heartbeats say. mu guards
// byAddress.
type locations struct {
	mu        sync.Mutex
	byAddress map[string]distribution.Peer
}

func newLocations() *locations {
	return &locations{byAddress: map[string]distribution.Peer{}}
}

// observe notes where a machine stands.
func (l *locations) observe(address, zone, region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byAddress[address] = distribution.Peer{Addr: address, Zone: zone, Region: region}
}

// lookup is where a machine stands; zone and region are empty while it is not known.
func (l *locations) lookup(address string) distribution.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	location := l.byAddress[address]
	location.Addr = address
	return location
}
