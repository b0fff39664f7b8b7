package distribution

import (
	"time"

	"slateridge/internal/constants"
)

// selectSubscriptionsLocked decides which control nodes to subscribe to: the first few in order
// of preference, plus one for each of them that is silent or out of contact with a majority.
// Nodes that left the control plane are used only if there is no other.
func (s *Subscriber) selectSubscriptionsLocked(now time.Time) {
	healthy := 0
	for _, addr := range s.order {
		conn := s.conns[addr]
		conn.subscribed = healthy < constants.SubscriptionCount && (healthy == 0 || !s.removedLocked(addr))
		if conn.hasUpdate && now.Sub(conn.lastUpdateAt) <= constants.SubscriptionTimeout && conn.lastUpdate.Current {
			healthy++
		}
	}
}

// selectContentSourceLocked selects the control node to take contents from. It prefers
// responsive nodes to silent ones, nodes in contact with a majority to those that are not, and
// then nodes in this proxy's zone. Among equals it keeps the current source.
func (s *Subscriber) selectContentSourceLocked(now time.Time) {
	responsive := func(conn *controlConn) bool {
		return conn != nil && conn.subscribed && conn.hasUpdate && now.Sub(conn.lastUpdateAt) <= constants.SubscriptionTimeout
	}
	rank := func(addr string) int {
		conn := s.conns[addr]
		switch {
		case !responsive(conn):
			return 3
		case !conn.lastUpdate.Current:
			return 2
		case conn.lastUpdate.Zone != s.self.Zone:
			return 1
		}
		return 0
	}
	if s.contentSource == "" {
		s.contentSource = s.order[0]
	}
	for _, addr := range s.order {
		if rank(addr) < rank(s.contentSource) {
			s.contentSource = addr
		}
	}
}

// acceptsContentsLocked reports whether this proxy takes contents from an update; hasState
// says whether it holds an earlier version of them. A newer version is always an improvement
// on an earlier one, but the contents of a node out of contact are not used as the initial
// state while a better source may be found.
func (s *Subscriber) acceptsContentsLocked(update Update, hasState bool) bool {
	return update.Current || hasState || s.acceptStale
}

// behindLocked reports whether a control node has newer contents that this proxy accepts.
func (s *Subscriber) behindLocked(conn *controlConn) bool {
	return conn.lastUpdate.Version > s.version && s.acceptsContentsLocked(conn.lastUpdate, s.version > 0) ||
		conn.lastUpdate.ListNum > s.listNum && s.acceptsContentsLocked(conn.lastUpdate, s.listNum > 0)
}
