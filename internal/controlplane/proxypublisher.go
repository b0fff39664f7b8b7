package controlplane

import (
	"time"

	"slateridge/internal/clock"
	"slateridge/internal/distribution"
	"slateridge/internal/settings"
)

// pushes tells the proxies what this machine knows. It has no lock of its own: a snapshot
// is gathered part by part under each part's lock, and the publisher guards its connections.
type pushes struct {
	settings  *settings.Settings
	now       func() time.Duration
	clock     *clock.Clock
	inForce   *inForce
	replica   *replica
	leases    *leases
	list      *upstreamList
	roster    *roster
	locations *locations
	publisher *distribution.Publisher
}

// publish has the proxies told what has changed.
func (p *pushes) publish() { p.publisher.Publish() }

// snapshot is what proxies are told.
func (p *pushes) snapshot() distribution.Snapshot {
	s := distribution.Snapshot{ConfigDoc: p.inForce.Load()}
	s.Current, s.Zone = p.replica.current(), p.settings.Zone
	if index := p.replica.readIndex.Load(); index != nil {
		s.SureVersion, s.SureAge = index.version, p.now()-index.at
	}
	if doc := s.ConfigDoc; doc != nil {
		s.Version = doc.Version
		s.StateNum, s.Evacuated = doc.OrderNum(), doc.Evacuated()
	}
	if pending := p.inForce.pending.Load(); pending != nil && pending.version > s.Version {
		s.ComingVer, s.Coming = pending.version, pending.quotas
	}
	p.addHolders(&s)
	if at, ok := p.clock.Now(p.now()); ok {
		s.Wall = at.UnixNano()
	}
	s.Peers = p.controls()
	if list, age := p.list.current(); list != nil {
		s.Upstreams, s.ListNum, s.ListAge = list, list.Num, age
	}
	s.Proxies = p.roster.live()
	return s
}

// addHolders names the machines that hold the duties which proxies speak to.
func (p *pushes) addHolders(s *distribution.Snapshot) {
	holders, _ := p.leases.holders()
	for shard := range p.settings.Trackers() {
		s.Trackers = append(s.Trackers, holders[dutyTrack(shard)])
	}
	if p.settings.HasDuty(settings.DutyUsage) {
		s.Metered = holders[settings.DutyUsage]
	}
	if p.settings.HasDuty(settings.DutyScaling) {
		s.Scaler = holders[settings.DutyScaling]
	}
}

// controls are the control machines and where they stand.
func (p *pushes) controls() []distribution.Peer {
	var out []distribution.Peer
	for _, address := range p.replica.controls() {
		c := p.locations.of(address)
		if address == p.settings.IPAddress {
			c.Zone, c.Region = p.settings.Zone, p.settings.Region
		}
		out = append(out, c)
	}
	return out
}
