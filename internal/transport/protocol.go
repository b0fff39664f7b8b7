package transport

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Protocol is the range of protocol versions that one end supports, from Oldest to Newest.
// A message or a field of one may be added without a new version: gob skips fields that the
// receiver's type lacks, and fields that the sender did not send stay zero. Changing the
// meaning of a message or field, or removing one that an older build needs, requires a new
// version.
type Protocol struct{ Newest, Oldest uint64 }

// localProtocol is what this build supports. Version 1 introduced the greeting. Version 0
// stands for the builds before it, which use the same messages.
var localProtocol = Protocol{Newest: 1, Oldest: 0}

var greeting = envelope{Reply: true, Protocol: localProtocol.Newest, Oldest: localProtocol.Oldest}

// protocolOf returns the versions announced by the first envelope of a connection. An
// envelope that is not a greeting announces version 0 only.
func protocolOf(e envelope) Protocol { return Protocol{Newest: e.Protocol, Oldest: e.Oldest} }

// compatibleWith reports whether two ends have a version in common.
func (p Protocol) compatibleWith(o Protocol) bool {
	return p.Newest >= o.Oldest && o.Newest >= p.Oldest
}

// IncompatiblePeer is passed to the Handler in place of a message when the remote build has
// no protocol version in common with this one; the connection is then closed. It is passed
// once for each address and version range. Both ends continue with the state they have, as
// if the other machine were down.
type IncompatiblePeer struct {
	Peer   string // its address
	Remote Protocol
	Local  Protocol
}

func (i IncompatiblePeer) String() string {
	older := "the remote build is the older one"
	if i.Remote.Oldest > i.Local.Newest {
		older = "this build is the older one"
	}
	return fmt.Sprintf("%s supports protocol versions %d to %d, this process %d to %d: %s", i.Peer, i.Remote.Oldest, i.Remote.Newest, i.Local.Oldest, i.Local.Newest, older)
}

// IncompatibleConns counts connections that were closed because the ends have no protocol
// version in common.
var IncompatibleConns atomic.Uint64

// reportedIncompatible holds the versions with which each peer was last reported as
// incompatible.
var reportedIncompatible sync.Map // address -> Protocol

// rejectPeer reports an incompatible peer and closes the connection after the greeting has
// been written, so that the peer learns the versions supported here.
func (conn *Conn) rejectPeer(remote Protocol) {
	IncompatibleConns.Add(1)
	if previous, known := reportedIncompatible.Swap(conn.Remote, remote); conn.handler != nil && (!known || previous != remote) {
		conn.handler(conn, IncompatiblePeer{Peer: conn.Remote, Remote: remote, Local: localProtocol})
	}
	conn.closeAfterFlush.Store(true)
	select {
	case conn.wakeWriter <- struct{}{}:
	default:
	}
	<-conn.done
}
