package chain

import (
	"slateridge/internal/config"
	"slateridge/internal/transport"
)

// Messages between control machines.
type (
	// Heartbeat is the regular word of one machine about itself.
	Heartbeat struct {
		Me              Member
		View            View
		Joined, Sealed  bool
		Sick            bool
		Zone, Region    string
		Relay           bool     // has no say: it has no disk, or is not counted
		Original        bool     // was there at the founding, and no view has taken it in yet
		Leaving         bool     // is about to stop in order: the others go on without it
		Unheard         []string // control machines it has no contact with both ways
		Asks            bool     // wants a heartbeat back: a relay, or a machine that no view has taken in yet
		Committed, Held config.Revision
		Version         uint64 // of the configuration in force
		Wall            int64  // its time of day, in nanoseconds
		At, Echo        uint64 // a moment of the sender's, and the latest of the receiver's that reached it
		Dropped         uint64 // words on duties from who has no vote
	}
	// Prepare asks for a promise, which seals the view before the slot.
	Prepare struct {
		Slot   uint64
		Ballot Ballot
		Held   config.Revision
	}
	// Promise answers a Prepare, and takes no part in earlier ballots any more.
	Promise struct {
		Slot     uint64
		Ballot   Ballot
		Me       Member
		Accepted Ballot // zero: nothing accepted
		View     View
		Held     *config.Doc // when newer than the asker's
		HeldAt   config.Revision
	}
	// Nack tells a proposer of a higher ballot.
	Nack struct {
		Slot     uint64
		Promised Ballot
	}
	// Sync brings a member of a view to be to the state it starts from.
	Sync struct {
		Slot   uint64
		Ballot Ballot
		Doc    *config.Doc
	}
	// Synced answers a Sync, once its state is on disk.
	Synced struct {
		Slot   uint64
		Ballot Ballot
		Me     Member
		HeldAt config.Revision
		Held   *config.Doc // when newer
	}
	// Accept asks to accept a view under a ballot.
	Accept struct {
		Slot   uint64
		Ballot Ballot
		View   View
	}
	// Accepted answers an Accept, once the view is on disk.
	Accepted struct {
		Slot   uint64
		Ballot Ballot
		Me     Member
	}
	// Decide tells of a view that a majority of the voters has accepted.
	Decide struct{ View View }
	// Replicate hands a state down the chain. A bare one leaves out the configuration,
	// which every member holds once it has been committed; a member that does not
	// answers with a Lack.
	Replicate struct {
		View uint64
		Doc  config.Doc
		Bare bool
	}
	// ResendRequest asks the member before for a state with its configuration.
	ResendRequest struct {
		View  uint64
		Stamp config.Revision
	}
	// Ack tells all members what the tail has committed.
	Ack struct {
		View  uint64
		Stamp config.Revision
	}
	// NewerState gives the head a newer version that a later member holds.
	NewerState struct {
		View uint64
		Doc  config.Doc
	}
	// Forward brings an operator's configuration to the head. With PassOn a machine
	// that is not the head sends it on, without: it goes through one other at most.
	Forward struct {
		Doc    config.Doc
		PassOn bool
	}
	// Retire wants a voter that is gone out of the electorate; its Member decides.
	Retire struct{ Voter string }
	// EvacuationOrder starts or stops the evacuation of a zone. It is taken only while
	// the zone's count of orders is still Base: one that was held up on its way
	// must not undo what was ordered since. With a Watermark it is taken also after orders
	// that the Watermark covers. PassOn is as in Forward. The head answers an order that is
	// not taken with its present Watermark; its sender, if the caller still waits, sends it
	// again with that.
	EvacuationOrder struct {
		ID        uint64
		Zone      string
		On        bool
		Base      uint64
		PassOn    bool
		Answer    bool
		Watermark Watermark
	}
	// Watermark covers the evacuations that a head had received at some moment: how many,
	// in which view, and in which life of its process.
	Watermark struct{ View, Life, Received uint64 }
	// Confirm asks whether a view still stands unsealed.
	Confirm struct{ View, Nonce uint64 }
	// Confirmed answers it.
	Confirmed struct {
		Nonce uint64
		Me    Member
	}
	// Read asks the tail for what is committed.
	Read struct{ ID uint64 }
	// ReadAnswer brings what a Read asked for.
	ReadAnswer struct {
		ID  uint64
		Doc *config.Doc
	}
	// Fetch asks for a committed version newer than Have.
	Fetch struct{ Have config.Revision }
	// Fetched brings what a Fetch asked for.
	Fetched struct{ Doc config.Doc }
)

func init() {
	transport.Register(transport.NameHeartbeat, Heartbeat{})
	transport.Register(transport.NamePrepare, Prepare{})
	transport.Register(transport.NamePromise, Promise{})
	transport.Register(transport.NameNack, Nack{})
	transport.Register(transport.NameSync, Sync{})
	transport.Register(transport.NameSynced, Synced{})
	transport.Register(transport.NameAccept, Accept{})
	transport.Register(transport.NameAccepted, Accepted{})
	transport.Register(transport.NameDecide, Decide{})
	transport.Register(transport.NameChainPass, Replicate{})
	transport.Register(transport.NameChainLack, ResendRequest{})
	transport.Register(transport.NameChainAck, Ack{})
	transport.Register(transport.NameChainHigher, NewerState{})
	transport.Register(transport.NameRetire, Retire{})
	transport.Register(transport.NameForward, Forward{})
	transport.Register(transport.NameEvacuationOrder, EvacuationOrder{})
	transport.Register(transport.NameConfirm, Confirm{})
	transport.Register(transport.NameConfirmed, Confirmed{})
	transport.Register(transport.NameRead, Read{})
	transport.Register(transport.NameReadAnswer, ReadAnswer{})
	transport.Register(transport.NameFetch, Fetch{})
	transport.Register(transport.NameFetched, Fetched{})
}
