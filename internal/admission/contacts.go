package admission

import (
	"slices"
	"time"

	"slateridge/internal/constants"
)

// contact is what a tracker knows of its contact with a proxy.
type contact struct {
	echoedAt time.Duration // the latest that has reached it; none yet is long ago
	askedAt  time.Duration // when it last asked here
	proxies  int           // the live count it told last
	life     uint64        // of its process
	sent     time.Duration // the newest word of that life that tells of shares
}

// noteContact notes a proxy's word, and every so often whom this tracker may have lost.
// It says whether a newer word that tells of shares, by the same process, came before.
func (tracker *Tracker) noteContact(now time.Duration, a GrantRequest) (late bool) {
	c, ok := tracker.contacts[a.Proxy]
	if !ok {
		c.echoedAt = now - 2*constants.GrantLong
		tracker.outOfContact[a.Proxy] = true
		tracker.scan++
	}
	if a.Echo.Life == tracker.life {
		c.echoedAt = max(c.echoedAt, a.Echo.At)
	}
	tells := slices.ContainsFunc(a.Wants, func(w Want) bool { return w.Lend })
	late = tells && a.Life != 0 && a.Life == c.life && a.Sent < c.sent
	if tells && !late {
		c.life, c.sent = a.Life, a.Sent
	}
	if a.Proxies > 0 && !late {
		c.proxies = a.Proxies
	}
	c.askedAt = now
	tracker.contacts[a.Proxy] = c
	tracker.count = max(tracker.count, c.proxies)
	if now < tracker.nextScanAt {
		return late
	}
	tracker.nextScanAt = now + constants.ContactScanEvery
	tracker.scan++
	clear(tracker.outOfContact)
	tracker.count = 0
	for n, c := range tracker.contacts {
		if now-c.askedAt > 2*constants.GrantLong {
			delete(tracker.contacts, n) // what it was told has ended
			continue
		}
		if now-c.askedAt <= constants.SubscriptionSilence {
			tracker.count = max(tracker.count, c.proxies)
		}
		if now+constants.ContactScanEvery-c.echoedAt > constants.StandbyRoom {
			tracker.outOfContact[n] = true // it may begin before the next look
		}
	}
	return late
}
