package chain

import (
	"slateridge/internal/config"
	"slateridge/internal/transport"
)

// Messages between control machines.
type (
	// Heartbeat is a machine's periodic report about itself.
	Heartbeat struct {
		Me              Member
		View            View
		Joined, Sealed  bool
		Sick            bool // the disk refuses writes
		Zone, Region    string
		Relay           bool     // neither votes nor joins views: it has no disk, or does not count as a control machine
		Original        bool     // started with the founders without being one, and no view has included it yet
		Leaving         bool     // a planned stop is in progress: the others form a view without it
		Unheard         []string // control machines without two-way contact
		Asks            bool     // requests a heartbeat in reply: a relay, or a machine that is not a voter yet
		Committed, Held config.Revision
		Version         uint64 // of the committed configuration
		Wall            int64  // the sender's time of day in nanoseconds
		At, Echo        uint64 // the sender's clock, and the At of the latest heartbeat that it received from the receiver
		Dropped         uint64 // duty orders from machines that are not voters
	}
	// Prepare asks for a promise (phase 1 of Paxos), which seals the view before the slot.
	Prepare struct {
		Slot   uint64
		Ballot Ballot
		Held   config.Revision
	}
	// Promise answers a Prepare; its sender ignores earlier ballots from then on.
	Promise struct {
		Slot     uint64
		Ballot   Ballot
		Me       Member
		Accepted Ballot // zero if nothing was accepted
		View     View
		Held     *config.Doc // if newer than the proposer's
		HeldAt   config.Revision
	}
	// Nack rejects a ballot because a higher one was promised.
	Nack struct {
		Slot     uint64
		Promised Ballot
	}
	// Sync sends a prospective member of the next view the state that the view starts from.
	Sync struct {
		Slot   uint64
		Ballot Ballot
		Doc    *config.Doc
	}
	// Synced answers a Sync once the state is on disk.
	Synced struct {
		Slot   uint64
		Ballot Ballot
		Me     Member
		HeldAt config.Revision
		Held   *config.Doc // if newer than the Sync's
	}
	// Accept asks a voter to accept a view under a ballot (phase 2 of Paxos).
	Accept struct {
		Slot   uint64
		Ballot Ballot
		View   View
	}
	// Accepted answers an Accept once the view is on disk.
	Accepted struct {
		Slot   uint64
		Ballot Ballot
		Me     Member
	}
	// Decide announces a view that a majority of the voters has accepted.
	Decide struct{ View View }
	// Replicate sends a state to the next member of the chain. A bare one leaves out the
	// configuration, which every member holds once it has been committed; a member that does
	// not answers with a ResendRequest.
	Replicate struct {
		View uint64
		Doc  config.Doc
		Bare bool
	}
	// ResendRequest asks the previous member for a state including its configuration.
	ResendRequest struct {
		View  uint64
		Stamp config.Revision
	}
	// Ack announces the tail's newest commit to all members.
	Ack struct {
		View  uint64
		Stamp config.Revision
	}
	// NewerState sends the head a newer state that a later member holds.
	NewerState struct {
		View uint64
		Doc  config.Doc
	}
	// Forward sends an operator's configuration to the head. A machine that is not the head
	// forwards one with PassOn set, and clears PassOn, so it takes at most one extra hop.
	Forward struct {
		Doc    config.Doc
		PassOn bool
	}
	// Retire requests the removal of a lost voter; the members act on it.
	Retire struct{ Voter string }
	// EvacuationOrder starts or stops the evacuation of a zone. The head applies it only while
	// the number of orders on the zone is still Base, so that an order delayed in the network
	// does not undo later ones. With a Watermark it is also applied after orders that the
	// Watermark covers. PassOn works as in Forward. The head answers an order that it does not
	// apply with its current Watermark (Answer is set); if the caller is still waiting, the
	// sender sends the order again with that Watermark.
	EvacuationOrder struct {
		ID        uint64
		Zone      string
		On        bool
		Base      uint64
		PassOn    bool
		Answer    bool
		Watermark Watermark
	}
	// Watermark covers the evacuation orders that a head had received at some time: their
	// number, the view, and the run of the head's process.
	Watermark struct{ View, Life, Received uint64 }
	// Confirm asks a voter to confirm that it has not sealed a view.
	Confirm struct{ View, Nonce uint64 }
	// Confirmed answers a Confirm: the sender has not sealed the view.
	Confirmed struct {
		Nonce uint64
		Me    Member
	}
	// Read asks the tail for the committed state.
	Read struct{ ID uint64 }
	// ReadAnswer answers a Read.
	ReadAnswer struct {
		ID  uint64
		Doc *config.Doc
	}
	// Fetch asks for a committed state newer than Have.
	Fetch struct{ Have config.Revision }
	// Fetched answers a Fetch.
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
