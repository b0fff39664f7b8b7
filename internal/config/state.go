package config

import (
	"hash/fnv"
	"sort"

	"slateridge/internal/duty"
)

// Revision orders the states of the control plane: the number of the view whose
// head made it, and a count within.
type Revision struct{ View, Seq uint64 }

// Less says whether s is older than o.
func (s Revision) Less(o Revision) bool { return s.View < o.View || s.View == o.View && s.Seq < o.Seq }

// Num is the revision as one number that orders alike; views and orders within one
// stay far below 2^32.
func (s Revision) Num() uint64 { return s.View<<32 | s.Seq&(1<<32-1) }

// Evacuation is the latest order on a zone's evacuation. Num counts the orders on the
// zone; IDs are the latest ones, by which whoever sent one knows it has been
// taken.
type Evacuation struct {
	On  bool
	Num uint64
	IDs []uint64
}

// Doc is one state of the control plane: the configuration as it was sent, with
// its version's number, the evacuations by zone, and the duties at the platform.
type Doc struct {
	Stamp   Revision
	Ordered Revision // of the state in which the operator's part last changed
	Version uint64
	Sum     uint64 // of Raw, which is left out where the receiver has it
	Raw     []byte
	Ledger  Ledger // what was taken, this one and those before it; its list is left out with Raw
	Evac    map[string]Evacuation
	Duties  duty.Records
}

// Checksum is what Sum holds of a configuration.
func Checksum(raw []byte) uint64 {
	h := fnv.New64a()
	h.Write(raw)
	return h.Sum64()
}

// OperatorRevision orders what the operator has ordered; a state written before it was
// recorded counts by its own revision.
func (d *Doc) OperatorRevision() uint64 {
	if d.Ordered == (Revision{}) {
		return d.Stamp.Num()
	}
	return d.Ordered.Num()
}

// EvacuatedZones lists the zones under evacuation, sorted.
func (d *Doc) EvacuatedZones() []string {
	var out []string
	if d != nil {
		for z, e := range d.Evac {
			if e.On {
				out = append(out, z)
			}
		}
	}
	sort.Strings(out)
	return out
}
