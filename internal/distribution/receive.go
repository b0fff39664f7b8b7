package distribution

import (
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/discovery"
)

// noteReadIndex takes what an answer says of the versions committed, and tells since when this
// proxy is sure of its own. An answer was made after its question: only from there can
// its age be reckoned, however long it was under way.
func (subscriber *Subscriber) noteReadIndex(update Update, asked time.Time) time.Time {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if at := asked.Add(-update.SureAge); update.SureVersion > 0 && update.SureVersion <= subscriber.inForce && at.After(subscriber.readIndexAt) {
		subscriber.readIndexAt = at
	}
	return subscriber.readIndexAt
}

// ReadIndexAt is the latest moment at which nothing newer than what is in force here had
// been acknowledged to an operator.
func (subscriber *Subscriber) ReadIndexAt() time.Time {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	return subscriber.readIndexAt
}

// receive puts news in force. What a proxy says it holds is in force there, so its
// words wait until that is so; the questions of its requests do not. made is a moment
// before which the news cannot have been made.
func (subscriber *Subscriber) receive(a string, update Update, made time.Time) {
	subscriber.receiveMu.Lock()
	defer subscriber.receiveMu.Unlock()
	var doc *config.Doc
	var list *discovery.List
	misfit := false
	// Of a word that was long under way, as a machine that was frozen sends them, only
	// what is numbered counts: the rest may have changed since.
	late := time.Since(made) > constants.SubscriptionSilence
	if late {
		update.Current, update.Metered, update.Scaler, update.Coming = false, "", "", nil
	}
	// What is held changes under receiveMu only.
	subscriber.mu.Lock()
	if !subscriber.trustsLocked(update, subscriber.version > 0) {
		update.Config, update.Coming, update.StateNum, update.Proxies = nil, nil, 0, 0
	}
	if !subscriber.trustsLocked(update, subscriber.listNum > 0) {
		update.List = nil
	}
	subscriber.mu.Unlock()
	if c := update.Config; c != nil && c.Version > subscriber.version {
		if d, err := c.Apply(subscriber.doc, constants.ConfigMax); err == nil {
			doc = d
		} else {
			misfit = true
		}
	}
	if li := update.List; li != nil && li.Num > subscriber.listNum {
		if full, ok := li.Apply(subscriber.list); ok {
			list = full
		} else {
			misfit = true
		}
	}
	f := subscriber.merge(a, update, made, late, doc, list, misfit)
	subscriber.apply(f)
	if f.Config != nil || f.List != nil {
		subscriber.mu.Lock()
		subscriber.applying, subscriber.inForce = false, subscriber.version
		subscriber.mu.Unlock()
	}
}

// merge takes news into what is held and tells what of it is new.
func (subscriber *Subscriber) merge(a string, update Update, made time.Time, late bool, doc *config.Doc, list *discovery.List, misfit bool) Changes {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	now := time.Now()
	e := subscriber.conns[a]
	subscriber.addPeersLocked(update.Peers, update.Current)
	subscriber.noteHeardLocked(e, update, late, now)
	f := Changes{From: a}
	subscriber.holdLocked(&f, doc, list, misfit)
	if update.ComingVer > max(subscriber.version, subscriber.comingVersion) && update.Coming != nil {
		subscriber.comingVersion, f.Coming = update.ComingVer, update.Coming
	}
	if update.StateNum > subscriber.state {
		subscriber.state, subscriber.evacuated = update.StateNum, update.Evacuated
	}
	f.State, f.Evacuated = subscriber.state, subscriber.evacuated
	subscriber.noteHoldersLocked(update, now)
	f.Metered, f.Scaler = subscriber.metered, subscriber.scaler
	if update.Current {
		f.Wall = update.Wall
		subscriber.noteCurrentLocked(update, made)
	}
	f.Proxies = subscriber.liveCountLocked(now)
	f.Trackers = subscriber.trackersLocked(now)
	subscriber.applying = f.Config != nil || f.List != nil
	return f
}

// noteHeardLocked notes what a control machine said last, and that it spoke now unless
// the news is late.
func (subscriber *Subscriber) noteHeardLocked(e *controlConn, update Update, late bool, now time.Time) {
	if update.Trackers == nil {
		update.Trackers = e.update.Trackers // as told on this connection before
	}
	if late {
		e.update.Trackers = update.Trackers // the next words only say what differs from it
	} else {
		e.heardAt, e.answered, e.update, subscriber.heardAt = now, true, update, now
		e.update.Config, e.update.List, e.update.Peers, e.update.Coming = nil, nil, nil, nil
	}
	if subscriber.firstHeardAt.IsZero() {
		subscriber.firstHeardAt = now
	}
}

// holdLocked takes new contents, which may be nil, as those held; misfit says that a
// difference did not fit what is held, so that all is asked for.
func (subscriber *Subscriber) holdLocked(f *Changes, doc *config.Doc, list *discovery.List, misfit bool) {
	if doc != nil {
		subscriber.version, subscriber.doc, f.Config = doc.Version, doc, doc
	}
	if list != nil {
		subscriber.listNum, subscriber.list, f.List = list.Num, list, list
	}
	if doc != nil || list != nil || misfit {
		subscriber.wantsWhole = misfit
	}
}

// noteHoldersLocked takes who usage and load are reported to. A machine out of contact
// is believed only while none in contact speaks.
func (subscriber *Subscriber) noteHoldersLocked(update Update, now time.Time) {
	if !update.Current && now.Sub(subscriber.currentAt) <= constants.SubscriptionSilence {
		return
	}
	if update.Metered != "" {
		subscriber.metered = update.Metered
	}
	if update.Scaler != "" {
		subscriber.scaler = update.Scaler
	}
}

// noteCurrentLocked notes since when the word of a machine in contact vouches for the
// proxy being in contact itself, and for the list it holds.
func (subscriber *Subscriber) noteCurrentLocked(update Update, made time.Time) {
	if made.After(subscriber.currentAt) {
		subscriber.currentAt = made
	}
	if update.ListNum == 0 || update.ListNum != subscriber.listNum {
		return
	}
	if at := made.Add(-update.ListAge); at.After(subscriber.listCurrentAt) {
		subscriber.listCurrentAt = at
	}
}

// heardLatelyLocked lists what the machines said last that spoke lately: first those in
// contact or those out of it, each in the order of preference.
func (subscriber *Subscriber) heardLatelyLocked(now time.Time, current bool) []*Update {
	var updates []*Update
	for _, a := range subscriber.order {
		e := subscriber.conns[a]
		if e.answered && now.Sub(e.heardAt) < constants.SubscriptionSilence && e.update.Current == current {
			updates = append(updates, &e.update)
		}
	}
	return updates
}

// liveCountLocked is the live count to hand on, 0 for no news. It is the largest that a
// machine in contact lately told: too small a count would split the quotas too
// generously. While none is, it may only rise.
func (subscriber *Subscriber) liveCountLocked(now time.Time) int {
	inContact, outOfContact := subscriber.heardLatelyLocked(now, true), subscriber.heardLatelyLocked(now, false)
	told, counted := 0, false
	for _, update := range inContact {
		told = max(told, update.Proxies)
		counted = counted || update.Proxies > 0
	}
	toldOutside := subscriber.proxies
	for _, update := range outOfContact {
		toldOutside = max(toldOutside, update.Proxies)
		counted = counted || update.Proxies > 0
	}
	if subscriber.proxies = told; told == 0 {
		subscriber.proxies = toldOutside
	}
	// The count held is no news by itself. It goes on while control tells none, as when
	// its roster is incomplete; a share that was given up it does not bring back.
	heard := len(inContact)+len(outOfContact) > 0
	if !counted && (!heard || now.Sub(subscriber.countAt) > constants.SplitHold) {
		return 0
	}
	subscriber.countAt = now
	return subscriber.proxies
}

// trackersLocked is who tracks each shard of the quotas, as the machines that spoke
// lately tell. A tracker that no machine in contact knows may be known to another.
func (subscriber *Subscriber) trackersLocked(now time.Time) []string {
	var trackers []string
	updates := append(subscriber.heardLatelyLocked(now, true), subscriber.heardLatelyLocked(now, false)...)
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
