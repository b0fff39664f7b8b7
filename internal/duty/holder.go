package duty

import (
	"math/rand/v2"
	"time"

	"slateridge/internal/constants"
)

// Effect is what the caller of a step has to carry out, in the order given: an Order, an
// Act, a Cancel or a Yield, and nothing else.
type Effect interface{ effect() }

func (Order) effect()  {}
func (Call) effect()   {}
func (Cancel) effect() {}
func (Yield) effect()  {}

// Call is an act to send: the bytes that were decided, under the holder's fence.
// A call still under way when the lease is lost is cut.
type Call struct {
	ID    uint64
	Fence uint64
	Key   uint64
	Body  []byte
}

// Cancel ends the call under way: the duty is not this machine's any more.
type Cancel struct{ ID uint64 }

// Yield gives the lease back: the platform has seen a higher fence.
type Yield struct{}

// Holder is one machine's part in one duty: it takes the duty over when it has
// the lease, has its acts decided, sends them, and steps down. It has no clock and
// no network of its own.
type Holder struct {
	name, self  string
	leaseLength time.Duration // no A-B-A of acts within this time
	spacing     time.Duration // between two calls to the platform
	rng         *rand.Rand

	// LatestOnly says that a newer decision may overtake one the platform has not
	// taken: a level that is set, not an event that is told.
	LatestOnly bool

	refusedFence        uint64        // fence the platform has turned away
	fence               uint64        // fence under which this life acts; 0 none
	heldSince           time.Duration // when this life first saw that it has it
	nextOrderAt         time.Duration // the last order, repeated after a while
	acceptedKey         uint64        // key the platform has accepted, as far as known here
	consecutiveFailures int
	nextCallAt          time.Duration
	lastCallID          uint64
	activeCall          uint64 // call under way; 0 none
	activeKey           uint64
	activeSince         time.Duration

	Accepted, Refused, Failed uint64
	LastStatus                int
	AcceptedAt                time.Duration
}

// NewHolder makes the machine; me is the node's name, lease the bound within
// which no two holders may take turns, perS the calls a second it may make.
func NewHolder(name, self string, leaseLength time.Duration, callsPerSecond float64, rng *rand.Rand) *Holder {
	h := &Holder{name: name, self: self, leaseLength: leaseLength, rng: rng, spacing: constants.DutySpacing}
	if callsPerSecond > 0 {
		h.spacing = max(h.spacing, time.Duration(float64(time.Second)/(callsPerSecond*constants.DutyRatePart)))
	}
	return h
}

// Step is driven often. until is the lease's end by this machine's steady clock (0:
// not held), rec the newest committed record; plan names what is to be decided next,
// once all before has been accepted.
func (h *Holder) Step(now, until time.Duration, rec Record, plan func(after uint64) (key uint64, body []byte, ok bool)) []Effect {
	if until <= now+constants.DutyMargin {
		h.fence = 0
		return h.cancel()
	}
	if rec.Holder != h.self || rec.Fence == h.refusedFence {
		out := h.cancel()
		h.fence = 0
		if now < h.nextOrderAt {
			return out
		}
		h.nextOrderAt = now + constants.DutyOrderRetry
		return append(out, Order{Duty: h.name, Base: rec.Fence, Holder: h.self})
	}
	var out []Effect
	if rec.Fence != h.fence {
		out = h.cancel()
		h.fence, h.heldSince, h.acceptedKey, h.nextOrderAt, h.consecutiveFailures, h.nextCallAt = rec.Fence, now, 0, 0, 0, 0
	}
	if rec.Back && now < h.heldSince+h.leaseLength+constants.DutyMargin {
		return out // it acted before the one before it did
	}
	if h.activeCall != 0 {
		if now-h.activeSince > constants.DutyTimeout {
			out = append(out, h.cancel()...)
			h.recordFailure(now)
		}
		return out
	}
	if rec.Key > 0 && h.acceptedKey != rec.Key {
		if now >= h.nextCallAt {
			h.lastCallID++
			h.activeCall, h.activeKey, h.activeSince = h.lastCallID, rec.Key, now
			h.nextCallAt = now + h.spacing
			out = append(out, Call{h.lastCallID, rec.Fence, rec.Key, rec.Body})
		}
		if !h.LatestOnly && h.consecutiveFailures < constants.DutyGiveUp {
			return out
		}
	}
	if now < h.nextOrderAt {
		return out
	}
	if key, body, ok := plan(rec.Key); ok {
		h.nextOrderAt = now + constants.DutyOrderRetry
		return append(out, Order{Duty: h.name, Base: rec.Fence, Key: key, Body: body})
	}
	return out
}

func (h *Holder) cancel() []Effect {
	if h.activeCall == 0 {
		return nil
	}
	id := h.activeCall
	h.activeCall = 0
	return []Effect{Cancel{id}}
}

func (h *Holder) recordFailure(now time.Duration) {
	h.consecutiveFailures++
	h.Failed++
	pause := min(constants.DutyPause<<min(h.consecutiveFailures-1, 5), constants.DutyPauseMax)
	h.nextCallAt = max(h.nextCallAt, now+pause/2+time.Duration(h.rng.Int64N(int64(pause))))
}

// HandleResponse takes the platform's answer to a call; status 0 is none.
func (h *Holder) HandleResponse(now time.Duration, id uint64, status int) []Effect {
	if id != h.activeCall || id == 0 {
		return nil
	}
	h.activeCall = 0
	h.LastStatus = status
	switch status {
	case 200:
		h.acceptedKey, h.AcceptedAt, h.consecutiveFailures = h.activeKey, now, 0
		h.Accepted++
	case 409:
		h.Refused++
		h.refusedFence, h.fence = h.fence, 0
		h.recordFailure(now)
		return []Effect{Yield{}}
	default:
		h.recordFailure(now)
	}
	return nil
}

// Backlog tells what is decided and not known to be accepted: 0 or its key.
func (h *Holder) Backlog(rec Record) uint64 {
	if rec.Key != 0 && rec.Key != h.acceptedKey {
		return rec.Key
	}
	return 0
}

// Fence is the fence under which this machine acts; 0 none.
func (h *Holder) Fence() uint64 { return h.fence }
