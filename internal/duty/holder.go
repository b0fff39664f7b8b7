package duty

import (
	"math/rand/v2"
	"time"

	"slateridge/internal/constants"
)

// Effect is an action that the caller of a step has to carry out, in the order given: an
// Order, a Call, a Cancel or a Yield.
type Effect interface{ effect() }

func (Order) effect()  {}
func (Call) effect()   {}
func (Cancel) effect() {}
func (Yield) effect()  {}

// Call is a call to send to the platform: the decided body, under the holder's fence. A call
// that is still in flight when the lease is lost is canceled.
type Call struct {
	ID    uint64
	Fence uint64
	Key   uint64
	Body  []byte
}

// Cancel cancels the call in flight: the duty was lost or the call has timed out.
type Cancel struct{ ID uint64 }

// Yield releases the lease because the platform has seen a higher fence.
type Yield struct{}

// Holder is one machine's part in one duty: it takes over the duty when the machine holds the
// lease, has its calls decided, sends them, and steps down. It has no clock and no network of
// its own.
type Holder struct {
	name, self  string
	returnDelay time.Duration // holders must not alternate (A, B, A) within this time
	spacing     time.Duration // minimum time between two calls to the platform
	rng         *rand.Rand

	// LatestOnly means that a newer decision may replace one that the platform has not
	// accepted yet: the call sets a level rather than reporting an event.
	LatestOnly bool

	refusedFence        uint64        // fence that the platform has rejected
	fence               uint64        // fence under which this incarnation acts; 0: none
	heldSince           time.Duration // when this incarnation first saw its fence committed
	nextOrderAt         time.Duration // the last order is repeated from then on
	acceptedKey         uint64        // latest key known to be accepted by the platform
	consecutiveFailures int
	nextCallAt          time.Duration
	lastCallID          uint64
	activeCall          uint64 // ID of the call in flight; 0: none
	activeKey           uint64
	activeSince         time.Duration

	Accepted, Refused, Failed uint64
	LastStatus                int
	AcceptedAt                time.Duration
}

// NewHolder returns a Holder. self is the node's name, returnDelay the time within which two
// holders must not alternate, and callsPerSecond the platform's limit on calls.
func NewHolder(name, self string, returnDelay time.Duration, callsPerSecond float64, rng *rand.Rand) *Holder {
	h := &Holder{name: name, self: self, returnDelay: returnDelay, rng: rng, spacing: constants.DutyCallSpacing}
	if callsPerSecond > 0 {
		h.spacing = max(h.spacing, time.Duration(float64(time.Second)/(callsPerSecond*constants.DutyRateFraction)))
	}
	return h
}

// Step advances the holder and returns the effects to carry out; it has to be called
// frequently. until is the lease's expiry by this machine's monotonic clock (0: not held) and
// rec the newest committed record. plan returns what is to be decided next, once the
// previous decision has been accepted or may be skipped.
func (h *Holder) Step(now, until time.Duration, rec Record, plan func(after uint64) (key uint64, body []byte, ok bool)) []Effect {
	if until <= now+constants.DutyLeaseMargin {
		h.fence = 0
		return h.cancel()
	}
	if rec.Holder != h.self || rec.Fence == h.refusedFence {
		out := h.cancel()
		h.fence = 0
		if now < h.nextOrderAt {
			return out
		}
		h.nextOrderAt = now + constants.DutyOrderRetryInterval
		return append(out, Order{Duty: h.name, Base: rec.Fence, Holder: h.self})
	}
	var out []Effect
	if rec.Fence != h.fence {
		out = h.cancel()
		h.fence, h.heldSince, h.acceptedKey, h.nextOrderAt, h.consecutiveFailures, h.nextCallAt = rec.Fence, now, 0, 0, 0, 0
	}
	if rec.Back && now < h.heldSince+h.returnDelay+constants.DutyLeaseMargin {
		return out // back after another holder: waits, so that holders do not alternate within returnDelay
	}
	if h.activeCall != 0 {
		if now-h.activeSince > constants.DutyCallTimeout {
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
		if !h.LatestOnly && h.consecutiveFailures < constants.DutyMaxFailures {
			return out
		}
	}
	if now < h.nextOrderAt {
		return out
	}
	if key, body, ok := plan(rec.Key); ok {
		h.nextOrderAt = now + constants.DutyOrderRetryInterval
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
	pause := min(constants.DutyRetryDelay<<min(h.consecutiveFailures-1, 5), constants.DutyMaxRetryDelay)
	h.nextCallAt = max(h.nextCallAt, now+pause/2+time.Duration(h.rng.Int64N(int64(pause))))
}

// HandleResponse processes the platform's response to a call; status 0 means that there was
// none.
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

// Backlog returns the key that is decided and not known to be accepted, or 0.
func (h *Holder) Backlog(rec Record) uint64 {
	if rec.Key != 0 && rec.Key != h.acceptedKey {
		return rec.Key
	}
	return 0
}

// Fence returns the fence under which this machine acts, or 0.
func (h *Holder) Fence() uint64 { return h.fence }
