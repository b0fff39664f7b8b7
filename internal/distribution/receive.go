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
		if d, err := c.Unpack(subscriber.doc, constants.ConfigMax); err == nil {
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
	var f Changes
	if doc != nil {
		subscriber.version, subscriber.doc, f.Config = doc.Version, doc, doc
	}
	if list != nil {
		subscriber.listNum, subscriber.list, f.List = list.Num, list, list
	}
	if doc != nil || list != nil || misfit {
		subscriber.wantsWhole = misfit
	}
	if update.StateNum > subscriber.state {
		subscriber.state, subscriber.evacuated = update.StateNum, update.Evacuated
	}
	f.State, f.Evacuated = subscriber.state, subscriber.evacuated
	// A machine out of contact is believed only while none in contact speaks.
	if update.Current || now.Sub(subscriber.currentAt) > constants.SubscriptionSilence {
		if update.Metered != "" {
			subscriber.metered = update.Metered
		}
		if update.Scaler != "" {
			subscriber.scaler = update.Scaler
		}
	}
	f.From, f.Metered, f.Scaler = a, subscriber.metered, subscriber.scaler
	if update.Current {
		f.Wall = update.Wall
	}
	if update.Current {
		if made.After(subscriber.currentAt) {
			subscriber.currentAt = made
		}
		if update.ListNum == subscriber.listNum && update.ListNum > 0 {
			if at := made.Add(-update.ListAge); at.After(subscriber.listCurrentAt) {
				subscriber.listCurrentAt = at
			}
		}
	}
	// The live count is the largest that a machine in contact lately told: too small a
	// count would split the quotas too generously. While none is, it may only rise. A
	// tracker that no machine in contact knows may be known to another.
	told := map[bool]int{false: subscriber.proxies}
	heard, counted := false, false // whether any machine spoke lately, and told a count
	var trackers []string
	for _, current := range []bool{true, false} {
		for _, x := range subscriber.order {
			o := subscriber.conns[x]
			if !o.answered || now.Sub(o.heardAt) >= constants.SubscriptionSilence || o.update.Current != current {
				continue
			}
			heard, counted = true, counted || o.update.Proxies > 0
			told[current] = max(told[current], o.update.Proxies)
			for i, t := range o.update.Trackers {
				if len(trackers) <= i {
					trackers = append(trackers, t)
				} else if trackers[i] == "" {
					trackers[i] = t
				}
			}
		}
	}
	if subscriber.proxies = told[true]; subscriber.proxies == 0 {
		subscriber.proxies = told[false]
	}
	f.Trackers, f.Coming = trackers, update.Coming
	// The count held is no news by itself. It goes on while control tells none, as when
	// its roster is incomplete; a share that was given up it does not bring back.
	if counted || heard && now.Sub(subscriber.countAt) <= constants.SplitHold {
		f.Proxies, subscriber.countAt = subscriber.proxies, now
	}
	subscriber.applying = f.Config != nil || f.List != nil
	return f
}
