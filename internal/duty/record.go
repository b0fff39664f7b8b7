// Package duty carries out the single duties at the platform, with fencing tokens, and acts
// that are decided durably before they are sent. Who may act is a lease's business (package
// lease); what stands here is kept in the chain's state, so it outlasts every process and
// as many disks as may be lost.
package duty

import (
	"slices"

	"slateridge/internal/constants"
	"slateridge/internal/transport"
)

// Record is one duty as the chain holds it.
type Record struct {
	Fence  uint64 // rises by one with each new holder; 0: never held
	Holder string // node name
	// Recent are the holders before, the latest last; Back says that the present
	// one is among them, with another between, and so has to wait before it acts.
	Recent []string
	Back   bool
	// Key orders what has been decided; Body is what is to be sent, or has been.
	Key  uint64
	Body []byte
}

// Records are all duties, by name.
type Records map[string]Record

// Order changes a record, at the chain's head. One that was made knowing less
// than the head holds changes nothing, so a repeat or a late one does no harm.
type Order struct {
	Duty   string
	Base   uint64 // the fence its sender knows
	Holder string // not empty: takes the duty over
	Key    uint64 // or else decides what is sent next, above the key before
	Body   []byte
}

func init() { transport.Register(transport.NameDutyOrder, Order{}) }

// Apply gives the records after an order, and whether it changed any.
func (rs Records) Apply(o Order) (Records, bool) {
	r := rs[o.Duty]
	if o.Base != r.Fence || o.Duty == "" || len(o.Body) > constants.DutyBodyMax {
		return rs, false
	}
	switch {
	case o.Holder != "":
		if r.Holder != "" && r.Holder != o.Holder {
			r.Recent = append(slices.Clone(r.Recent), r.Holder)
			r.Recent = r.Recent[max(0, len(r.Recent)-constants.DutyRecent):]
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
