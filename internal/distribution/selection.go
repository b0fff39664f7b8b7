package distribution

import (
	"time"

	"slateridge/internal/constants"
)

// selectSubscriptionsLocked decides which control machines are subscribed to: the first few, and for
// each of them that is silent or hears no majority one more; those that left only
// while there is no other.
func (subscriber *Subscriber) selectSubscriptionsLocked(now time.Time) {
	good := 0
	for _, a := range subscriber.order {
		e := subscriber.conns[a]
		e.subscribed = good < constants.SubscriptionCount && (good == 0 || !subscriber.removedLocked(a))
		if e.hasUpdate && now.Sub(e.lastUpdateAt) <= constants.SubscriptionSilence && e.lastUpdate.Current {
			good++
		}
	}
}

// selectContentSourceLocked decides whose contents are taken: the first that speaks, until
// one in the own zone does; a silent one, or one that hears no majority, is
// passed over.
func (subscriber *Subscriber) selectContentSourceLocked(now time.Time) {
	speaks := func(e *controlConn) bool {
		return e != nil && e.subscribed && e.hasUpdate && now.Sub(e.lastUpdateAt) <= constants.SubscriptionSilence
	}
	rank := func(a string) int {
		e := subscriber.conns[a]
		switch {
		case !speaks(e):
			return 3
		case !e.lastUpdate.Current:
			return 2
		case e.lastUpdate.Zone != subscriber.self.Zone:
			return 1
		}
		return 0
	}
	if subscriber.contentSource == "" {
		subscriber.contentSource = subscriber.order[0]
	}
	for _, a := range subscriber.order {
		if rank(a) < rank(subscriber.contentSource) {
			subscriber.contentSource = a
		}
	}
}

// acceptsContentsLocked says whether a control machine's contents are taken by a proxy that
// may hold an earlier state of them: newer is better, but what one out of contact has
// is no beginning while better can be had.
func (subscriber *Subscriber) acceptsContentsLocked(update Update, holds bool) bool {
	return update.Current || holds || subscriber.acceptStale
}

func (subscriber *Subscriber) behindLocked(e *controlConn) bool {
	return e.lastUpdate.Version > subscriber.version && subscriber.acceptsContentsLocked(e.lastUpdate, subscriber.version > 0) ||
		e.lastUpdate.ListNum > subscriber.listNum && subscriber.acceptsContentsLocked(e.lastUpdate, subscriber.listNum > 0)
}
