package config

import (
	"encoding/binary"
	"hash/fnv"
	"slices"

	"slateridge/internal/constants"
)

// LedgerEntry is a configuration that was taken: its number and the sum of its content.
type LedgerEntry struct{ Version, Sum uint64 }

// Ledger remembers which content was taken under which number, those overtaken by a
// higher number before they came included: an order that is sent again is known by it,
// and another content under a number that is taken is never confirmed. It is bounded;
// of numbers at or below Floor that it does not list nothing is known any more. Sum
// distinguishes two ledgers where the list itself is left out.
type Ledger struct {
	Floor uint64
	Taken []LedgerEntry // by version
	Sum   uint64
}

func (l Ledger) place(version uint64) (int, bool) {
	return slices.BinarySearchFunc(l.Taken, version, func(t LedgerEntry, v uint64) int {
		switch {
		case t.Version < v:
			return -1
		case t.Version > v:
			return 1
		}
		return 0
	})
}

// Find gives the sum of the content taken under a number.
func (l Ledger) Find(version uint64) (sum uint64, ok bool) {
	i, ok := l.place(version)
	if !ok {
		return 0, false
	}
	return l.Taken[i].Sum, true
}

// Settled says whether nothing more can be taken under a number: something was, or it
// lies below what is remembered.
func (l Ledger) Settled(version uint64) bool {
	_, ok := l.place(version)
	return ok || version <= l.Floor
}

// With is the ledger after a content was taken under a number that is not settled. The
// lowest numbers are forgotten beyond what is kept.
func (l Ledger) With(version, sum uint64) Ledger {
	i, ok := l.place(version)
	if ok || version <= l.Floor {
		return l
	}
	out := Ledger{Floor: l.Floor, Taken: slices.Insert(slices.Clone(l.Taken), i, LedgerEntry{version, sum})}
	if n := len(out.Taken) - constants.LedgerKept; n > 0 {
		out.Floor = out.Taken[n-1].Version
		out.Taken = out.Taken[n:]
	}
	h := fnv.New64a()
	binary.Write(h, binary.BigEndian, []uint64{l.Sum, version, sum})
	out.Sum = h.Sum64() | 1 // never 0, which is the empty ledger's
	return out
}

// EnsureLedger gives a state written before there were ledgers the one that follows from
// it: what is in force was taken, of lower numbers nothing is known.
func (d *Doc) EnsureLedger() {
	if d.Version > 0 && d.Ledger.Sum == 0 {
		d.Ledger = Ledger{Floor: d.Version - 1}.With(d.Version, d.Sum)
	}
}

// WithoutBulk is the state without what every holder of the same bulk has: the configuration
// and the ledger's list.
func (d Doc) WithoutBulk() Doc {
	d.Raw, d.Ledger.Taken = nil, nil
	return d
}

// SameBulk says whether two states hold the same configuration, letter for letter, and
// the same ledger.
func (d *Doc) SameBulk(o *Doc) bool {
	return d != nil && o != nil && d.Version == o.Version && d.Sum == o.Sum && d.Ledger.Sum == o.Ledger.Sum
}

// SetBulkFrom takes the bulk from a state that has it.
func (d *Doc) SetBulkFrom(o *Doc) { d.Raw, d.Ledger = o.Raw, o.Ledger }
