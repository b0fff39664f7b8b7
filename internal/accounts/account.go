// Package accounts keeps one account per tenant of how its requests were served against
// the tenant's service objective. Proxies account for the requests that they take from
// clients; control machines keep the sums, sharded by tenant, in replicated counters.
//
// A request is one try of a client, with its own X-Slateridge-Attempt-Id. The proxy that
// took it from the client accounts for it once, however many upstreams it is sent to.
// docs/notes-accounts.md has the definitions and what was weighed.
package accounts

import "slices"

// Outcome is what became of a request, as the proxy that took it knows.
type Outcome int

const (
	// OnTime is a success whose answer was written to the client whole, within the
	// objective's latency.
	OnTime Outcome = iota
	// Late is such a success after the objective's latency.
	Late
	// Lost is a request without a success, of which it is known that it has had none.
	Lost
	// Refused is a request turned away for the client's own part: over the tenant's quota,
	// or not acceptable. It is not held against the objective.
	Refused
	// Unknown is a request of which the proxy cannot tell whether it succeeded: the client
	// left before the whole answer, the upstream's answer to a request that may not be
	// repeated was lost on the way, or the proxy ended while it was under way.
	Unknown
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"in_aim", "late", "lost", "refused", "unknown"}

// String is the outcome's name in tables and metrics.
func (o Outcome) String() string {
	if o < 0 || o >= outcomeCount {
		return "invalid"
	}
	return outcomeNames[o]
}

// Outcomes are all outcomes, in the order of tables.
func Outcomes() []Outcome { return []Outcome{OnTime, Late, Lost, Refused, Unknown} }

// Account is the state of one tenant's counters.
type Account struct {
	Taken   uint64 // requests taken from clients
	Settled [outcomeCount]uint64
	Doubled uint64 // of those that may run once, the ones that two upstreams answered as run
	Latency Sketch // of the successes
}

// Join is the later of two states of one life.
func (a Account) Join(other Account) Account {
	out := Account{Taken: max(a.Taken, other.Taken), Doubled: max(a.Doubled, other.Doubled), Latency: a.Latency.Join(other.Latency)}
	for i := range out.Settled {
		out.Settled[i] = max(a.Settled[i], other.Settled[i])
	}
	return out
}

// Plus is the sum over two lives.
func (a Account) Plus(other Account) Account {
	out := Account{Taken: a.Taken + other.Taken, Doubled: a.Doubled + other.Doubled, Latency: a.Latency.Plus(other.Latency)}
	for i := range out.Settled {
		out.Settled[i] = a.Settled[i] + other.Settled[i]
	}
	return out
}

// Open is the number of requests taken and not settled: those under way, and those of
// lives whose end is not known.
func (a Account) Open() uint64 {
	settled := uint64(0)
	for _, n := range a.Settled {
		settled += n
	}
	return a.Taken - min(a.Taken, settled)
}

// Eligible is the number of settled requests that the objective is about.
func (a Account) Eligible() uint64 {
	return a.Settled[OnTime] + a.Settled[Late] + a.Settled[Lost] + a.Settled[Unknown]
}

// Missed is the number of those that did not meet it. What is unknown, or ran twice,
// counts as missed.
func (a Account) Missed() uint64 {
	return min(a.Eligible(), a.Settled[Late]+a.Settled[Lost]+a.Settled[Unknown]+a.Doubled)
}

// settleOpen settles what is open as unknown, once the life is over.
func (a *Account) settleOpen() { a.Settled[Unknown] += a.Open() }

// equal compares two states.
func (a Account) equal(other Account) bool {
	return a.Taken == other.Taken && a.Settled == other.Settled && a.Doubled == other.Doubled && slices.Equal(a.Latency, other.Latency)
}
