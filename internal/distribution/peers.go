package distribution

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"

	"slateridge/internal/transport"
)

func (subscriber *Subscriber) addPeersLocked(addrs []string) {
	for _, a := range addrs {
		if subscriber.conns[a] != nil || a == "" {
			continue
		}
		e := &controlConn{}
		e.peer = subscriber.dial(a, func(_ *transport.Conn, body any) any {
			if update, ok := body.(Update); ok {
				// It was made after the Subscription that it names, and maybe only just after.
				subscriber.receive(a, update, subscriber.startedAt.Add(update.Heard))
			}
			return nil
		})
		subscriber.conns[a] = e
		subscriber.order = append(subscriber.order, a)
	}
	subscriber.sortPeersLocked()
}

// removedLocked says whether a machine known here is none of control any more.
func (subscriber *Subscriber) removedLocked(a string) bool {
	return len(subscriber.currentPeers) > 0 && !slices.Contains(subscriber.currentPeers, a)
}

// updatePeersLocked takes control's word on where its machines stand. Addresses are learned
// from any; which machines are no more is believed of one in contact only.
func (subscriber *Subscriber) updatePeersLocked(ps []Peer, current bool) {
	if len(ps) == 0 {
		return
	}
	var addrs []string
	for _, p := range ps {
		subscriber.locations[p.Addr] = p
		addrs = append(addrs, p.Addr)
	}
	if current {
		subscriber.currentPeers = addrs
	}
	subscriber.addPeersLocked(addrs) // which sorts by what is known now
	if !current {
		// Better words are to be had elsewhere: dialled now, asked with the next step.
		subscriber.selectSubscriptionsLocked(time.Now())
		for _, a := range subscriber.order {
			if e := subscriber.conns[a]; e.subscribed && !e.hasUpdate {
				e.peer.Conn()
			}
		}
	}
}

// sortPeersLocked puts near machines first, and equals in an order of this proxy's
// own, so that proxies spread.
func (subscriber *Subscriber) sortPeersLocked() {
	far := func(a string) int {
		switch p, ok := subscriber.locations[a]; {
		case subscriber.removedLocked(a):
			return 4
		case !ok || p.Zone == "":
			return 2 // nothing is known of it yet
		case p.Zone == subscriber.self.Zone:
			return 0
		case p.Region == subscriber.self.Region:
			return 1
		}
		return 3
	}
	lot := func(a string) uint32 {
		h := fnv.New32a()
		h.Write([]byte(subscriber.self.Node + " " + a))
		return h.Sum32()
	}
	sort.SliceStable(subscriber.order, func(i, j int) bool {
		a, b := subscriber.order[i], subscriber.order[j]
		if far(a) != far(b) {
			return far(a) < far(b)
		}
		return lot(a) < lot(b)
	})
}

// AddPeers makes further control machines known.
func (subscriber *Subscriber) AddPeers(addrs []string) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	subscriber.addPeersLocked(addrs)
}
