package headworks

import (
	"slateridge/internal/conduit"
	"slateridge/internal/scheme"
)

// Messages between headworks.
type (
	// Gauge is the regular word of one machine about itself.
	Gauge struct {
		Me              Member
		View            View
		Joined, Sealed  bool
		Sick            bool
		Zone, Region    string
		Relay           bool     // has no say: it has no disk, or is not counted
		Original        bool     // was there at the founding, and no view has taken it in yet
		Leaving         bool     // is about to stop in order: the others go on without it
		Unheard         []string // control machines it has no contact with both ways
		Asks            bool     // wants a gauge back: a relay, or a machine that no view has taken in yet
		Committed, Held scheme.Stamp
		Version         uint64 // of the configuration in force
		Wall            int64  // its time of day, in nanoseconds
		At, Echo        uint64 // a moment of the sender's, and the latest of the receiver's that reached it
		Dropped         uint64 // words on duties from who has no vote
	}
	// Prepare asks for a promise, which seals the view before the slot.
	Prepare struct {
		Slot   uint64
		Ballot Ballot
		Held   scheme.Stamp
	}
	Promise struct {
		Slot     uint64
		Ballot   Ballot
		Me       Member
		Accepted Ballot // zero: nothing accepted
		View     View
		Held     *scheme.Doc // when newer than the asker's
		HeldAt   scheme.Stamp
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
		Doc    *scheme.Doc
	}
	Synced struct {
		Slot   uint64
		Ballot Ballot
		Me     Member
		HeldAt scheme.Stamp
		Held   *scheme.Doc // when newer
	}
	Accept struct {
		Slot   uint64
		Ballot Ballot
		View   View
	}
	Accepted struct {
		Slot   uint64
		Ballot Ballot
		Me     Member
	}
	Decide struct{ View View }
	// Pass hands a state down the chain. A bare one leaves out the configuration,
	// which every member holds once it has been committed; a member that does not
	// says so.
	Pass struct {
		View uint64
		Doc  scheme.Doc
		Bare bool
	}
	Lack struct {
		View  uint64
		Stamp scheme.Stamp
	}
	// Ack tells all members what the tail has committed.
	Ack struct {
		View  uint64
		Stamp scheme.Stamp
	}
	// Higher gives the head a newer version that a later member holds.
	Higher struct {
		View uint64
		Doc  scheme.Doc
	}
	// Forward brings an operator's configuration to the head. With PassOn a machine
	// that is not the head sends it on, without: it goes through one other at most.
	Forward struct {
		Doc    scheme.Doc
		PassOn bool
	}
	// Retire wants a voter that is gone out of the electorate; its Member decides.
	Retire struct{ Voter string }
	// Order starts or stops the evacuation of a zone. It is taken only while
	// the zone's count of orders is still Base: one that was held up on its way
	// must not undo what was ordered since. PassOn is as in Forward.
	Order struct {
		ID     uint64
		Zone   string
		On     bool
		Base   uint64
		PassOn bool
	}
	// Confirm asks whether a view still stands unsealed.
	Confirm struct{ View, Nonce uint64 }
	// Confirmed answers it.
	Confirmed struct {
		Nonce uint64
		Me    Member
	}
	// Read asks the tail for what is committed; Answer brings it.
	Read   struct{ ID uint64 }
	Answer struct {
		ID  uint64
		Doc *scheme.Doc
	}
	// Fetch asks for a committed version newer than Have; Fetched brings it.
	Fetch   struct{ Have scheme.Stamp }
	Fetched struct{ Doc scheme.Doc }
)

func init() {
	conduit.Register(conduit.NameHeartbeat, Gauge{})
	conduit.Register(conduit.NamePrepare, Prepare{})
	conduit.Register(conduit.NamePromise, Promise{})
	conduit.Register(conduit.NameNack, Nack{})
	conduit.Register(conduit.NameSync, Sync{})
	conduit.Register(conduit.NameSynced, Synced{})
	conduit.Register(conduit.NameAccept, Accept{})
	conduit.Register(conduit.NameAccepted, Accepted{})
	conduit.Register(conduit.NameDecide, Decide{})
	conduit.Register(conduit.NameChainPass, Pass{})
	conduit.Register(conduit.NameChainLack, Lack{})
	conduit.Register(conduit.NameChainAck, Ack{})
	conduit.Register(conduit.NameChainHigher, Higher{})
	conduit.Register(conduit.NameRetire, Retire{})
	conduit.Register(conduit.NameForward, Forward{})
	conduit.Register(conduit.NameEvacuationOrder, Order{})
	conduit.Register(conduit.NameConfirm, Confirm{})
	conduit.Register(conduit.NameConfirmed, Confirmed{})
	conduit.Register(conduit.NameRead, Read{})
	conduit.Register(conduit.NameReadAnswer, Answer{})
	conduit.Register(conduit.NameFetch, Fetch{})
	conduit.Register(conduit.NameFetched, Fetched{})
}
