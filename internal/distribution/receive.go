package distribution

import (
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/discovery"
)

// recordReadIndex records what a reply states about the committed versions, and returns
// ReadIndexAt. The reply was made after the request was sent, so its age is counted from
// sentAt, regardless of how long it was in transit.
func (s *Subscriber) recordReadIndex(update Update, sentAt time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := sentAt.Add(-update.SureAge); update.SureVersion > 0 && update.SureVersion <= s.appliedVersion && at.After(s.readIndexAt) {
		s.readIndexAt = at
	}
	return s.readIndexAt
}

// ReadIndexAt returns the latest time at which no version newer than the one in force on this
// proxy had been acknowledged to an operator.
func (s *Subscriber) ReadIndexAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readIndexAt
}

// receive puts an update in force. No subscription is sent until that is done, because a
// subscription acknowledges the versions in force; calls on behalf of requests are not
// blocked. The update was not made before notBefore.
func (s *Subscriber) receive(addr string, update Update, notBefore time.Time) {
	s.receiveMu.Lock()
	defer s.receiveMu.Unlock()
	var doc *config.Doc
	var list *discovery.List
	mismatch := false
	// A paused node may send an update long after it was made. Only the numbered parts of such
	// an update are used, since the rest may have changed in the meantime.
	late := time.Since(notBefore) > constants.SubscriptionTimeout
	if late {
		update.Current, update.Metered, update.Scaler, update.Coming = false, "", "", nil
	}
	// The contents held change only under receiveMu, so they can be read below without mu.
	s.mu.Lock()
	if !s.acceptsContentsLocked(update, s.version > 0) {
		update.Config, update.Coming, update.StateNum, update.Proxies = nil, nil, 0, 0
	}
	if !s.acceptsContentsLocked(update, s.listNum > 0) {
		update.List = nil
	}
	s.mu.Unlock()
	if delta := update.Config; delta != nil && delta.Version > s.version {
		if applied, err := delta.Apply(s.doc, constants.MaxConfigBytes); err == nil {
			doc = applied
		} else {
			mismatch = true
		}
	}
	if change := update.List; change != nil && change.Num > s.listNum {
		if applied, ok := change.Apply(s.list); ok {
			list = applied
		} else {
			mismatch = true
		}
	}
	changes := s.merge(addr, update, notBefore, late, doc, list, mismatch)
	s.apply(changes)
	if changes.Config != nil || changes.List != nil {
		s.mu.Lock()
		s.applying, s.appliedVersion = false, s.version
		s.mu.Unlock()
	}
}

// merge merges an update into the held state and returns the changes to put in force.
func (s *Subscriber) merge(addr string, update Update, notBefore time.Time, late bool, doc *config.Doc, list *discovery.List, mismatch bool) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	conn := s.conns[addr]
	s.updatePeersLocked(update.Peers, update.Current)
	s.recordUpdateLocked(conn, update, late, now)
	changes := Changes{From: addr}
	s.storeContentsLocked(&changes, doc, list, mismatch)
	if update.ComingVer > max(s.version, s.pendingVersion) && update.Coming != nil {
		s.pendingVersion, changes.PendingLimits = update.ComingVer, update.Coming
	}
	if update.StateNum > s.stateNum {
		s.stateNum, s.evacuated = update.StateNum, update.Evacuated
	}
	changes.StateNum, changes.Evacuated = s.stateNum, s.evacuated
	s.recordDutyHoldersLocked(update, now)
	changes.UsageHolder, changes.ScalingHolder = s.usageHolder, s.scalingHolder
	if update.Current {
		changes.Wall = update.Wall
		s.recordContactLocked(update, notBefore)
	}
	changes.Proxies = s.liveCountLocked(now)
	changes.Trackers = s.trackersLocked(now)
	s.applying = changes.Config != nil || changes.List != nil
	return changes
}

// recordUpdateLocked stores the latest update of a control node, and the time of contact with
// it unless the update is late.
func (s *Subscriber) recordUpdateLocked(conn *controlConn, update Update, late bool, now time.Time) {
	if update.Trackers == nil {
		update.Trackers = conn.lastUpdate.Trackers // unchanged since an earlier update on this connection
	}
	if late {
		conn.lastUpdate.Trackers = update.Trackers // later updates contain only changes relative to it
	} else {
		conn.lastUpdateAt, conn.hasUpdate, conn.lastUpdate, s.lastUpdateAt = now, true, update, now
		conn.lastUpdate.Config, conn.lastUpdate.List, conn.lastUpdate.Peers, conn.lastUpdate.Coming = nil, nil, nil, nil
	}
	if s.firstUpdateAt.IsZero() {
		s.firstUpdateAt = now
	}
}

// storeContentsLocked stores new contents, either of which may be nil. mismatch means that a
// difference did not match the contents held, so that full contents must be requested.
func (s *Subscriber) storeContentsLocked(changes *Changes, doc *config.Doc, list *discovery.List, mismatch bool) {
	if doc != nil {
		s.version, s.doc, changes.Config = doc.Version, doc, doc
	}
	if list != nil {
		s.listNum, s.list, changes.List = list.Num, list, list
	}
	if doc != nil || list != nil || mismatch {
		s.needsFull = mismatch
	}
}

// recordDutyHoldersLocked stores the control nodes to report usage and load to. An update of a
// node out of contact with a majority is used only if no node in contact has been heard from
// recently.
func (s *Subscriber) recordDutyHoldersLocked(update Update, now time.Time) {
	if !update.Current && now.Sub(s.currentAt) <= constants.SubscriptionTimeout {
		return
	}
	if update.Metered != "" {
		s.usageHolder = update.Metered
	}
	if update.Scaler != "" {
		s.scalingHolder = update.Scaler
	}
}

// recordContactLocked records that at notBefore this proxy was in contact with a node that was
// in contact with a majority, and how current the list it holds was then.
func (s *Subscriber) recordContactLocked(update Update, notBefore time.Time) {
	if notBefore.After(s.currentAt) {
		s.currentAt = notBefore
	}
	if update.ListNum == 0 || update.ListNum != s.listNum {
		return
	}
	if at := notBefore.Add(-update.ListAge); at.After(s.listCurrentAt) {
		s.listCurrentAt = at
	}
}

// recentUpdatesLocked returns the latest updates of the control nodes heard from recently, in
// order of preference: either of those in contact with a majority or of those that are not.
func (s *Subscriber) recentUpdatesLocked(now time.Time, current bool) []*Update {
	var updates []*Update
	for _, addr := range s.order {
		conn := s.conns[addr]
		if conn.hasUpdate && now.Sub(conn.lastUpdateAt) < constants.SubscriptionTimeout && conn.lastUpdate.Current == current {
			updates = append(updates, &conn.lastUpdate)
		}
	}
	return updates
}

// liveCountLocked returns the live count to put in force, or 0 if there is no current one. It
// is the largest count recently received from nodes in contact with a majority, since too small
// a count would make this proxy's share of the quotas too large. While no such node sends a
// count, the count of other nodes is used, which may raise but not lower it.
func (s *Subscriber) liveCountLocked(now time.Time) int {
	inContact, outOfContact := s.recentUpdatesLocked(now, true), s.recentUpdatesLocked(now, false)
	count, received := 0, false
	for _, update := range inContact {
		count = max(count, update.Proxies)
		received = received || update.Proxies > 0
	}
	fallback := s.liveCount
	for _, update := range outOfContact {
		fallback = max(fallback, update.Proxies)
		received = received || update.Proxies > 0
	}
	if s.liveCount = count; count == 0 {
		s.liveCount = fallback
	}
	// Without a received count, the held one stays in use while control nodes respond but send
	// none, for example because their roster is incomplete. After SplitTimeout this proxy has
	// given up its share, and the held count must not bring it back.
	responding := len(inContact)+len(outOfContact) > 0
	if !received && (!responding || now.Sub(s.liveCountAt) > constants.SplitTimeout) {
		return 0
	}
	s.liveCountAt = now
	return s.liveCount
}

// trackersLocked returns the tracker of each quota shard, from the control nodes heard from
// recently. A tracker that is unknown to the nodes in contact with a majority may be known to
// another node.
func (s *Subscriber) trackersLocked(now time.Time) []string {
	var trackers []string
	updates := append(s.recentUpdatesLocked(now, true), s.recentUpdatesLocked(now, false)...)
	for _, update := range updates {
		for shard, tracker := range update.Trackers {
			if len(trackers) <= shard {
				trackers = append(trackers, tracker)
			} else if trackers[shard] == "" {
				trackers[shard] = tracker
			}
		}
	}
	return trackers
}
