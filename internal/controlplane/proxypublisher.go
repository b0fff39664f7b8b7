package controlplane

import (
	"time"

	"slateridge/internal/clock"
	"slateridge/internal/distribution"
	"slateridge/internal/settings"
)

// proxyPublisher sends updates to the proxies. It has no lock of its own: a snapshot reads
// each component under that component's lock, and the publisher guards its connections.
type proxyPublisher struct {
	settings     *settings.Settings
	now          func() time.Duration
	clock        *clock.Clock
	activeState  *activeState
	replica      *replica
	leases       *leases
	upstreamList *upstreamList
	roster       *roster
	locations    *locations
	publisher    *distribution.Publisher
}

// publish sends pending changes to the proxies.
func (p *proxyPublisher) publish() { p.publisher.Publish() }

// snapshot returns the current state to publish to the proxies.
func (p *proxyPublisher) snapshot() distribution.Snapshot {
	s := distribution.Snapshot{ConfigDoc: p.activeState.Load()}
	s.Current, s.Zone = p.replica.hasMajorityContact(), p.settings.Zone
	if index := p.replica.readIndex.Load(); index != nil {
		s.SureVersion, s.SureAge = index.version, p.now()-index.at
	}
	if doc := s.ConfigDoc; doc != nil {
		s.Version = doc.Version
		s.StateNum, s.Evacuated = doc.OperatorRevision(), doc.EvacuatedZones()
	}
	if pending := p.activeState.pending.Load(); pending != nil && pending.version > s.Version {
		s.ComingVer, s.Coming = pending.version, pending.quotas
	}
	p.addDutyHolders(&s)
	if at, ok := p.clock.Now(p.now()); ok {
		s.Wall = at.UnixNano()
	}
	s.Peers = p.controlPeers()
	if list, age := p.upstreamList.current(); list != nil {
		s.Upstreams, s.ListNum, s.ListAge = list, list.Num, age
	}
	s.Proxies = p.roster.liveCount()
	return s
}

// addDutyHolders adds the holders of the duties that proxies send messages to.
func (p *proxyPublisher) addDutyHolders(s *distribution.Snapshot) {
	holders, _ := p.leases.holders()
	for shard := range p.settings.TrackerShards() {
		s.Trackers = append(s.Trackers, holders[dutyTrack(shard)])
	}
	if p.settings.HasDuty(settings.DutyUsage) {
		s.Metered = holders[settings.DutyUsage]
	}
	if p.settings.HasDuty(settings.DutyScaling) {
		s.Scaler = holders[settings.DutyScaling]
	}
}

// controlPeers returns the control machines with their locations.
func (p *proxyPublisher) controlPeers() []distribution.Peer {
	var out []distribution.Peer
	for _, address := range p.replica.controlAddresses() {
		peer := p.locations.lookup(address)
		if address == p.settings.IPAddress {
			peer.Zone, peer.Region = p.settings.Zone, p.settings.Region
		}
		out = append(out, peer)
	}
	return out
}
