package distribution

import (
	"time"

	"slateridge/internal/constants"
)

// chooseSubscriptionsLocked decides which control machines are subscribed to: the first few, and for
// each of them that is silent or hears no majority one more; those that left only
// while there is no other.
func (subscriber *Subscriber) chooseSubscriptionsLocked(now time.Time) {
	good := 0
	for _, a := range subscriber.order {
		e := subscriber.conns[a]
		e.subscribed = good < constants.SubscriptionCount && (good == 0 || !subscriber.departedLocked(a))
		if e.answered && now.Sub(e.heardAt) <= constants.SubscriptionSilence && e.update.Current {
			good++
		}
	}
}

// chooseLocked decides whose contents are taken: the first that speaks, until
// one in the own zone does; a silent one, or one that hears no majority, is
// passed over.
func (subscriber *Subscriber) chooseLocked(now time.Time) {
	speaks := func(e *controlConn) bool {
		return e != nil && e.subscribed && e.answered && now.Sub(e.heardAt) <= constants.SubscriptionSilence
	}
	rank := func(a string) int {
		e := subscriber.conns[a]
		switch {
		case !speaks(e):
			return 3
		case !e.update.Current:
			return 2
		case e.update.Zone != subscriber.self.Zone:
			return 1
		}
		return 0
	}
	if subscriber.contentsFrom == "" {
		subscriber.contentsFrom = subscriber.order[0]
	}
	for _, a := range subscriber.order {
		if rank(a) < rank(subscriber.contentsFrom) {
			subscriber.contentsFrom = a
		}
	}
}

// trustsLocked says whether a control machine's contents are taken by a proxy that
// may hold an earlier state of them: newer is better, but what one out of contact has
// is no beginning while better can be had.
func (subscriber *Subscriber) trustsLocked(update Update, holds bool) bool {
	return update.Current || holds || subscriber.stale
}

func (subscriber *Subscriber) behindLocked(e *controlConn) bool {
	return e.update.Version > subscriber.version && subscriber.trustsLocked(e.update, subscriber.version > 0) ||
		e.update.ListNum > subscriber.listNum && subscriber.trustsLocked(e.update, subscriber.listNum > 0)
}
