// Package duty executes singleton duties at the platform, with fencing tokens and with calls
// that are decided durably before they are sent. Package lease determines which machine may
// act. The records of this package are part of the chain's state, so they survive process
// restarts and the loss of as many disks as the chain tolerates.
package duty

import (
	"slices"

	"slateridge/internal/constants"
	"slateridge/internal/transport"
)

// Record is the state of one duty in the chain.
type Record struct {
	Fence  uint64 // incremented with each new holder; 0: never held
	Holder string // node name
	// Recent lists previous holders, the latest last. Back reports that the present holder
	// had held the duty before another one did, so that it has to wait before it acts.
	Recent []string
	Back   bool
	// Key orders the decisions; Body is the content of the latest one, sent or yet to be
	// sent.
	Key  uint64
	Body []byte
}

// Records holds the records of all duties, by name.
type Records map[string]Record

// Order changes a record at the head of the chain. An order that is based on an older record
// than the head's has no effect, so repeated and late orders are harmless.
type Order struct {
	Duty   string
	Base   uint64 // the fence that the sender knows
	Holder string // if not empty, takes over the duty
	Key    uint64 // otherwise decides the next call; must exceed the previous key
	Body   []byte
}

func init() { transport.Register(transport.NameDutyOrder, Order{}) }

// Apply returns the records after an order, and whether the order changed any of them.
func (rs Records) Apply(o Order) (Records, bool) {
	r := rs[o.Duty]
	if o.Base != r.Fence || o.Duty == "" || len(o.Body) > constants.MaxDutyBodyBytes {
		return rs, false
	}
	switch {
	case o.Holder != "":
		if r.Holder != "" && r.Holder != o.Holder {
			r.Recent = append(slices.Clone(r.Recent), r.Holder)
			r.Recent = r.Recent[max(0, len(r.Recent)-constants.DutyRecentHolders):]
		}
		r.Back = slices.Contains(r.Recent, o.Holder)
		if r.Back {
			r.Recent = slices.DeleteFunc(slices.Clone(r.Recent), func(h string) bool { return h == o.Holder })
		}
		r.Fence, r.Holder = r.Fence+1, o.Holder
	case r.Fence > 0 && o.Key > r.Key:
		r.Key, r.Body = o.Key, o.Body
	default:
		return rs, false
	}
	out := make(Records, len(rs)+1)
	for k, v := range rs {
		out[k] = v
	}
	out[o.Duty] = r
	return out, true
}
