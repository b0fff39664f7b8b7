package admission

import (
	"slices"
	"time"

	"slateridge/internal/constants"
)

// contact is what a tracker knows of its contact with a proxy.
type contact struct {
	echoedAt         time.Duration // the latest that has reached it; none yet is long ago
	lastRequestAt    time.Duration // when it last asked here
	proxies          int           // the live count it reported last
	incarnation      uint64        // of its process
	lastReportSentAt time.Duration // when that incarnation sent its newest report of shares
}

// recordContact notes a proxy's message, and every so often which proxies this tracker may have
// lost contact with. It says whether a newer report of shares, by the same process, came
// before.
func (tracker *Tracker) recordContact(now time.Duration, request GrantRequest) (late bool) {
	c, ok := tracker.contacts[request.Proxy]
	if !ok {
		c.echoedAt = now - 2*constants.GrantLong
		tracker.outOfContact[request.Proxy] = true
		tracker.contactScan++
	}
	if request.Echo.Life == tracker.incarnation {
		c.echoedAt = max(c.echoedAt, request.Echo.At)
	}
	tells := slices.ContainsFunc(request.Wants, func(want KeyRequest) bool { return want.Lend })
	late = tells && request.Life != 0 && request.Life == c.incarnation && request.Sent < c.lastReportSentAt
	if tells && !late {
		c.incarnation, c.lastReportSentAt = request.Life, request.Sent
	}
	if request.Proxies > 0 && !late {
		c.proxies = request.Proxies
	}
	c.lastRequestAt = now
	tracker.contacts[request.Proxy] = c
	tracker.proxyCount = max(tracker.proxyCount, c.proxies)
	if now < tracker.nextScanAt {
		return late
	}
	tracker.nextScanAt = now + constants.ContactScanEvery
	tracker.contactScan++
	clear(tracker.outOfContact)
	tracker.proxyCount = 0
	for n, c := range tracker.contacts {
		if now-c.lastRequestAt > 2*constants.GrantLong {
			delete(tracker.contacts, n) // what it was granted has ended
			continue
		}
		if now-c.lastRequestAt <= constants.SubscriptionSilence {
			tracker.proxyCount = max(tracker.proxyCount, c.proxies)
		}
		if now+constants.ContactScanEvery-c.echoedAt > constants.StandbyRoom {
			tracker.outOfContact[n] = true // it may begin before the next scan
		}
	}
	return late
}
