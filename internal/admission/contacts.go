package admission

import (
	"slices"
	"time"

	"slateridge/internal/constants"
)

// contact is a tracker's record of its communication with a proxy.
type contact struct {
	echoedAt         time.Duration // latest tracker time that the proxy has echoed; far in the past if none
	lastRequestAt    time.Duration // when the proxy's last request arrived
	proxies          int           // live count that the proxy reported last
	incarnation      uint64        // of the proxy's process
	lastReportSentAt time.Duration // when that incarnation sent its newest report of shares
}

// recordContact records a proxy's request and periodically updates the set of proxies that
// may have lost contact with this tracker. It returns true if a newer report of shares from
// the same process has already arrived.
func (t *Tracker) recordContact(now time.Duration, request GrantRequest) (late bool) {
	c, ok := t.contacts[request.Proxy]
	if !ok {
		c.echoedAt = now - 2*constants.LongGrantDuration
		t.outOfContact[request.Proxy] = true
		t.contactScan++
	}
	if request.Echo.Life == t.incarnation {
		c.echoedAt = max(c.echoedAt, request.Echo.At)
	}
	hasReport := slices.ContainsFunc(request.Wants, func(want KeyRequest) bool { return want.Lend })
	late = hasReport && request.Life != 0 && request.Life == c.incarnation && request.Sent < c.lastReportSentAt
	if hasReport && !late {
		c.incarnation, c.lastReportSentAt = request.Life, request.Sent
	}
	if request.Proxies > 0 && !late {
		c.proxies = request.Proxies
	}
	c.lastRequestAt = now
	t.contacts[request.Proxy] = c
	t.proxyCount = max(t.proxyCount, c.proxies)
	if now < t.nextScanAt {
		return late
	}
	t.nextScanAt = now + constants.ContactScanInterval
	t.contactScan++
	clear(t.outOfContact)
	t.proxyCount = 0
	for n, c := range t.contacts {
		if now-c.lastRequestAt > 2*constants.LongGrantDuration {
			delete(t.contacts, n) // all its grants have expired
			continue
		}
		if now-c.lastRequestAt <= constants.SubscriptionTimeout {
			t.proxyCount = max(t.proxyCount, c.proxies)
		}
		if now+constants.ContactScanInterval-c.echoedAt > constants.ContactTimeout {
			t.outOfContact[n] = true // it may start using its standby rate before the next scan
		}
	}
	return late
}
