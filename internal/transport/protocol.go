package transport

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Protocol is what one end supports: all versions from Oldest to Newest. A message, or a
// field of one, may be added without a new version: gob leaves out what the receiver's
// type does not have, and what the sender did not send stays zero. Whatever changes the
// meaning of what is there, or takes away what an older build needs, gets a new one.
type Protocol struct{ Newest, Oldest uint64 }

// ours: version 1 brought greetings, and has the messages of the builds before, which
// count as 0.
var ours = Protocol{Newest: 1, Oldest: 0}

var greeting = envelope{Reply: true, Protocol: ours.Newest, Oldest: ours.Oldest}

// protocolOf is what the sender of a connection's first envelope supports; one without a
// greeting supports 0 only.
func protocolOf(e envelope) Protocol { return Protocol{Newest: e.Protocol, Oldest: e.Oldest} }

// speaksWith says whether two ends have a version in common.
func (p Protocol) speaksWith(o Protocol) bool { return p.Newest >= o.Oldest && o.Newest >= p.Oldest }

// IncompatiblePeer is given to the Handler in place of a message when the other end's build
// has no version in common with this one; the connection then ends. It is given once for
// each machine and what it supports. Nothing is lost by it: each end works on with what it
// knows, as with a machine that is down.
type IncompatiblePeer struct {
	Peer   string // its address
	Remote Protocol
	Local  Protocol
}

func (i IncompatiblePeer) String() string {
	side := "that build is the older one"
	if i.Remote.Oldest > i.Local.Newest {
		side = "this build is the older one"
	}
	return fmt.Sprintf("%s speaks protocol %d to %d, this process %d to %d: %s", i.Peer, i.Remote.Oldest, i.Remote.Newest, i.Local.Oldest, i.Local.Newest, side)
}

// IncompatibleConns counts connections that ended because no version is in common.
var IncompatibleConns atomic.Uint64

// reported holds what each machine supported when it was last reported as incompatible.
var reported sync.Map // address -> Protocol

// refuse reports a peer that supports no version of ours, and sees to it that it learns
// what is spoken here before the connection ends.
func (conn *Conn) refuse(theirs Protocol) {
	IncompatibleConns.Add(1)
	if before, known := reported.Swap(conn.Remote, theirs); conn.handle != nil && (!known || before != theirs) {
		conn.handle(conn, IncompatiblePeer{Peer: conn.Remote, Remote: theirs, Local: ours})
	}
	conn.closing.Store(true)
	select {
	case conn.queued <- struct{}{}:
	default:
	}
	<-conn.done
}
