package controlplane

import (
	"sync"

	"slateridge/internal/constants"
	"slateridge/internal/settings"
	"slateridge/internal/transport"
)

// connections sends messages to the other control machines. Each machine has its own
// connection, which is opened for the first message. mu guards peers and is not held while a
// message is sent.
type connections struct {
	settings *settings.Settings
	receive  transport.Handler // handles messages that arrive over these connections

	mu    sync.Mutex
	peers map[string]*transport.Peer // by address
}

func newConnections(nodeSettings *settings.Settings, receive transport.Handler) *connections {
	return &connections{settings: nodeSettings, receive: receive, peers: map[string]*transport.Peer{}}
}

// send queues a message for a machine. Messages to this machine itself are dropped.
func (c *connections) send(to string, message any) {
	if to == c.settings.IPAddress {
		return
	}
	c.mu.Lock()
	peer := c.peers[to]
	if peer == nil {
		address := c.settings.PeerInternalAddress(to, constants.PortControl)
		peer = transport.NewPeer(address, c.settings.IPAddress, c.receive)
		c.peers[to] = peer
	}
	c.mu.Unlock()
	peer.Send(message)
}

func (c *connections) sendAll(to []string, message any) {
	for _, address := range to {
		c.send(address, message)
	}
}
