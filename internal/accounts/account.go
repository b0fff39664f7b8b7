// Package accounts counts, per tenant, how requests were served against the tenant's
// service level objective (SLO). Proxies count the requests that they accept from clients;
// control-plane nodes keep the totals in replicated counters, sharded by tenant.
//
// A request is one attempt of a client, with its own X-Slateridge-Attempt-Id. The proxy that
// accepted it from the client counts it once, regardless of how many upstreams it is sent to.
// An incarnation is one run of a proxy process; each incarnation has counters of its own.
// docs/notes-accounts.md has the definitions and the alternatives considered.
package accounts

import "slices"

// Outcome is the final result of a request, as known to the proxy that accepted it.
type Outcome int

const (
	// OnTime is a success whose response was written to the client completely, within the
	// objective's latency.
	OnTime Outcome = iota
	// Late is a success whose complete response took longer than the objective's latency.
	Late
	// Lost is a request that is known not to have succeeded.
	Lost
	// Refused is a request rejected for a reason on the client's side: the tenant's quota is
	// exceeded, or the request is not acceptable. It doesn't count against the objective.
	Refused
	// Unknown is a request that may or may not have succeeded: the client disconnected before
	// it received the complete response, the upstream's response to a non-repeatable request
	// was lost in transit, or the proxy process ended while the request was in flight.
	Unknown
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"in_aim", "late", "lost", "refused", "unknown"}

// String returns the outcome's name as used in tables and metrics.
func (o Outcome) String() string {
	if o < 0 || o >= outcomeCount {
		return "invalid"
	}
	return outcomeNames[o]
}

// Outcomes returns all outcomes in the order of table columns.
func Outcomes() []Outcome { return []Outcome{OnTime, Late, Lost, Refused, Unknown} }

// Account holds the counters of one tenant.
type Account struct {
	Taken   uint64               // requests accepted from clients
	Settled [outcomeCount]uint64 // finished requests by outcome
	Doubled uint64               // non-repeatable requests that two upstreams reported as executed
	Latency Sketch               // latencies of successful requests
}

// Join merges two states of the same incarnation: it takes the larger value of each counter.
func (a Account) Join(other Account) Account {
	out := Account{Taken: max(a.Taken, other.Taken), Doubled: max(a.Doubled, other.Doubled), Latency: a.Latency.Join(other.Latency)}
	for i := range out.Settled {
		out.Settled[i] = max(a.Settled[i], other.Settled[i])
	}
	return out
}

// Plus returns the sum of the accounts of two incarnations.
func (a Account) Plus(other Account) Account {
	out := Account{Taken: a.Taken + other.Taken, Doubled: a.Doubled + other.Doubled, Latency: a.Latency.Plus(other.Latency)}
	for i := range out.Settled {
		out.Settled[i] = a.Settled[i] + other.Settled[i]
	}
	return out
}

// Open returns the number of accepted requests that are not settled: requests in flight, and
// those of incarnations that are not known to have ended.
func (a Account) Open() uint64 {
	settled := uint64(0)
	for _, n := range a.Settled {
		settled += n
	}
	return a.Taken - min(a.Taken, settled)
}

// Eligible returns the number of settled requests that the objective applies to.
func (a Account) Eligible() uint64 {
	return a.Settled[OnTime] + a.Settled[Late] + a.Settled[Lost] + a.Settled[Unknown]
}

// Missed returns the number of eligible requests that did not meet the objective. Requests
// whose outcome is unknown or that were executed twice count as missed.
func (a Account) Missed() uint64 {
	return min(a.Eligible(), a.Settled[Late]+a.Settled[Lost]+a.Settled[Unknown]+a.Doubled)
}

// settleOpen settles all open requests as Unknown, once the incarnation has ended.
func (a *Account) settleOpen() { a.Settled[Unknown] += a.Open() }

// equal reports whether two accounts have the same counters.
func (a Account) equal(other Account) bool {
	return a.Taken == other.Taken && a.Settled == other.Settled && a.Doubled == other.Doubled && slices.Equal(a.Latency, other.Latency)
}
