package controlplane

import (
	"sync"

	"slateridge/internal/constants"
	"slateridge/internal/settings"
	"slateridge/internal/transport"
)

// connections sends messages to the other control machines, each over a connection of its
// own that is made with the first message. mu guards byAddress and is not held while a
// message is sent.
type connections struct {
	settings *settings.Settings
	receive  transport.Handler // takes what comes back

	mu    sync.Mutex
	peers map[string]*transport.Peer
}

func newConnections(nodeSettings *settings.Settings, receive transport.Handler) *connections {
	return &connections{settings: nodeSettings, receive: receive, peers: map[string]*transport.Peer{}}
}

// send puts a message on its way to a machine; to this one itself nothing is sent.
func (c *connections) send(to string, message any) {
	if to == c.settings.IPAddress {
		return
	}
	c.mu.Lock()
	peer := c.peers[to]
	if peer == nil {
		address := c.settings.PeerInternal(to, constants.PortControl)
		peer = transport.NewPeer(address, c.settings.IPAddress, c.receive)
		c.peers[to] = peer
	}
	c.mu.Unlock()
	peer.Send(message)
}

// sendAll sends a message to several machines.
func (c *connections) sendAll(to []string, message any) {
	for _, address := range to {
		c.send(address, message)
	}
}
