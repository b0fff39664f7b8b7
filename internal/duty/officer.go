package duty

import (
	"math/rand/v2"
	"time"

	"slateridge/internal/constants"
)

// Post is an act to send: the bytes that were decided, under the holder's fence.
// A call still under way when the lease is lost is cut.
type Post struct {
	ID    uint64
	Fence uint64
	Key   uint64
	Body  []byte
}

// Cut ends the call under way: the duty is not this machine's any more.
type Cut struct{ ID uint64 }

// Yield gives the lease back: the platform has seen a higher fence.
type Yield struct{}

// Officer is one machine's part in one duty: it takes the duty over when it has
// the lease, has its acts decided, sends them, and steps down. It has no clock and
// no network of its own.
type Officer struct {
	name, me string
	lease    time.Duration // no A-B-A of acts within this time
	spacing  time.Duration // between two calls to the platform
	rng      *rand.Rand

	// Latest says that a newer decision may overtake one the platform has not
	// taken: a level that is set, not an event that is told.
	Latest bool

	refused  uint64        // fence the platform has turned away
	known    uint64        // fence under which this life acts; 0 none
	since    time.Duration // when this life first saw that it has it
	orderAt  time.Duration // the last order, repeated after a while
	accepted uint64        // key the platform has accepted, as far as known here
	fails    int
	nextAt   time.Duration
	calls    uint64
	out      uint64 // call under way; 0 none
	outKey   uint64
	outAt    time.Duration

	Accepted, Refused, Failed uint64
	LastStatus                int
	AcceptedAt                time.Duration
}

// NewOfficer makes the machine; me is the node's name, lease the bound within
// which no two holders may take turns, perS the calls a second it may make.
func NewOfficer(name, me string, lease time.Duration, perS float64, rng *rand.Rand) *Officer {
	o := &Officer{name: name, me: me, lease: lease, rng: rng, spacing: constants.DutySpacing}
	if perS > 0 {
		o.spacing = max(o.spacing, time.Duration(float64(time.Second)/(perS*constants.DutyRatePart)))
	}
	return o
}

// Step is driven often. until is the lease's end by this machine's steady clock (0:
// not held), rec the newest committed record; plan names what is to be decided next,
// once all before has been accepted.
func (o *Officer) Step(now, until time.Duration, rec Record, plan func(after uint64) (key uint64, body []byte, ok bool)) []any {
	if until <= now+constants.DutyMargin {
		o.known = 0
		return o.cut()
	}
	if rec.Holder != o.me || rec.Fence == o.refused {
		out := o.cut()
		o.known = 0
		if now < o.orderAt {
			return out
		}
		o.orderAt = now + constants.DutyOrderRetry
		return append(out, Order{Duty: o.name, Base: rec.Fence, Holder: o.me})
	}
	var out []any
	if rec.Fence != o.known {
		out = o.cut()
		o.known, o.since, o.accepted, o.orderAt, o.fails, o.nextAt = rec.Fence, now, 0, 0, 0, 0
	}
	if rec.Back && now < o.since+o.lease+constants.DutyMargin {
		return out // it acted before the one before it did
	}
	if o.out != 0 {
		if now-o.outAt > constants.DutyTimeout {
			out = append(out, o.cut()...)
			o.failed(now)
		}
		return out
	}
	if rec.Key > 0 && o.accepted != rec.Key {
		if now >= o.nextAt {
			o.calls++
			o.out, o.outKey, o.outAt = o.calls, rec.Key, now
			o.nextAt = now + o.spacing
			out = append(out, Post{o.calls, rec.Fence, rec.Key, rec.Body})
		}
		if !o.Latest && o.fails < constants.DutyGiveUp {
			return out
		}
	}
	if now < o.orderAt {
		return out
	}
	if key, body, ok := plan(rec.Key); ok {
		o.orderAt = now + constants.DutyOrderRetry
		return append(out, Order{Duty: o.name, Base: rec.Fence, Key: key, Body: body})
	}
	return out
}

func (o *Officer) cut() []any {
	if o.out == 0 {
		return nil
	}
	id := o.out
	o.out = 0
	return []any{Cut{id}}
}

func (o *Officer) failed(now time.Duration) {
	o.fails++
	o.Failed++
	pause := min(constants.DutyPause<<min(o.fails-1, 5), constants.DutyPauseMax)
	o.nextAt = max(o.nextAt, now+pause/2+time.Duration(o.rng.Int64N(int64(pause))))
}

// Answered takes the platform's answer to a call; status 0 is none.
func (o *Officer) Answered(now time.Duration, id uint64, status int) []any {
	if id != o.out || id == 0 {
		return nil
	}
	o.out = 0
	o.LastStatus = status
	switch status {
	case 200:
		o.accepted, o.AcceptedAt, o.fails = o.outKey, now, 0
		o.Accepted++
	case 409:
		o.Refused++
		o.refused, o.known = o.known, 0
		o.failed(now)
		return []any{Yield{}}
	default:
		o.failed(now)
	}
	return nil
}

// Backlog tells what is decided and not known to be accepted: 0 or its key.
func (o *Officer) Backlog(rec Record) uint64 {
	if rec.Key != 0 && rec.Key != o.accepted {
		return rec.Key
	}
	return 0
}

// Holding is the fence under which this machine acts; 0 none.
func (o *Officer) Holding() uint64 { return o.known }
