package distribution

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"

	"slateridge/internal/transport"
)

// addPeersLocked adds the control nodes at the given addresses, if they are not known yet.
func (s *Subscriber) addPeersLocked(addrs []string) {
	for _, addr := range addrs {
		if s.conns[addr] != nil || addr == "" {
			continue
		}
		conn := &controlConn{}
		conn.peer = s.dial(addr, func(_ *transport.Conn, body any) any {
			if update, ok := body.(Update); ok {
				// The update was made after the Subscription whose time it carries, possibly
				// immediately after.
				s.receive(addr, update, s.startedAt.Add(update.Heard))
			}
			return nil
		})
		s.conns[addr] = conn
		s.order = append(s.order, addr)
	}
	s.sortPeersLocked()
}

// removedLocked reports whether a node is no longer part of the control plane.
func (s *Subscriber) removedLocked(addr string) bool {
	return len(s.currentPeers) > 0 && !slices.Contains(s.currentPeers, addr)
}

// updatePeersLocked records the control nodes that an update lists. Addresses are added from
// any update, but only a node in contact with a majority (current) can determine which nodes
// have left the control plane.
func (s *Subscriber) updatePeersLocked(peers []Peer, current bool) {
	if len(peers) == 0 {
		return
	}
	var addrs []string
	for _, peer := range peers {
		s.locations[peer.Addr] = peer
		addrs = append(addrs, peer.Addr)
	}
	if current {
		s.currentPeers = addrs
	}
	s.addPeersLocked(addrs) // also sorts by the new locations
	if !current {
		// The sender is out of contact, so dial the nodes to subscribe to instead right away;
		// the next Step sends the subscriptions.
		s.selectSubscriptionsLocked(time.Now())
		for _, addr := range s.order {
			if conn := s.conns[addr]; conn.subscribed && !conn.hasUpdate {
				conn.peer.Conn()
			}
		}
	}
}

// sortPeersLocked sorts the control nodes by distance. Nodes at the same distance are sorted
// by a hash that includes this proxy's own address, so that proxies spread over them.
func (s *Subscriber) sortPeersLocked() {
	distance := func(addr string) int {
		switch peer, ok := s.locations[addr]; {
		case s.removedLocked(addr):
			return 4
		case !ok || peer.Zone == "":
			return 2 // location not known yet
		case peer.Zone == s.self.Zone:
			return 0
		case peer.Region == s.self.Region:
			return 1
		}
		return 3
	}
	hash := func(addr string) uint32 {
		h := fnv.New32a()
		h.Write([]byte(s.self.Node + " " + addr))
		return h.Sum32()
	}
	sort.SliceStable(s.order, func(i, j int) bool {
		a, b := s.order[i], s.order[j]
		if distance(a) != distance(b) {
			return distance(a) < distance(b)
		}
		return hash(a) < hash(b)
	})
}

// AddPeers adds further control nodes.
func (s *Subscriber) AddPeers(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addPeersLocked(addrs)
}
