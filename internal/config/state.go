package config

import (
	"hash/fnv"
	"sort"

	"slateridge/internal/duty"
)

// Revision orders the states of the control plane. It consists of the number of the view whose
// head created the state and a sequence number within the view.
type Revision struct{ View, Seq uint64 }

// Less reports whether r is older than o.
func (r Revision) Less(o Revision) bool { return r.View < o.View || r.View == o.View && r.Seq < o.Seq }

// Num encodes the revision as one number with the same order. View numbers and sequence numbers
// stay far below 2^32.
func (r Revision) Num() uint64 { return r.View<<32 | r.Seq&(1<<32-1) }

// Evacuation is the latest evacuation order for a zone. Num counts the orders for the zone. IDs
// holds the IDs of the most recent orders, so that their senders can see that they were
// accepted.
type Evacuation struct {
	On  bool
	Num uint64
	IDs []uint64
}

// Doc is one state of the control plane: the configuration document as submitted and its
// version, the evacuations by zone, and the records of the duties at the platform.
type Doc struct {
	Stamp   Revision
	Ordered Revision // Stamp of the state in which the configuration or an evacuation last changed
	Version uint64
	Sum     uint64 // checksum of Raw, which is omitted if the receiver has it
	Raw     []byte
	Ledger  Ledger // accepted configurations, including this one; its list is omitted together with Raw
	Evac    map[string]Evacuation
	Duties  duty.Records
}

// Checksum returns the checksum of a configuration document, as held in Doc.Sum.
func Checksum(raw []byte) uint64 {
	h := fnv.New64a()
	h.Write(raw)
	return h.Sum64()
}

// OperatorRevision returns the number of the revision in which operator orders last changed the
// state. A state stored by a release that did not record it yields its own revision.
func (d *Doc) OperatorRevision() uint64 {
	if d.Ordered == (Revision{}) {
		return d.Stamp.Num()
	}
	return d.Ordered.Num()
}

// EvacuatedZones returns the zones under evacuation, sorted. d may be nil.
func (d *Doc) EvacuatedZones() []string {
	var out []string
	if d != nil {
		for zone, evacuation := range d.Evac {
			if evacuation.On {
				out = append(out, zone)
			}
		}
	}
	sort.Strings(out)
	return out
}
