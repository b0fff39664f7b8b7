package config

import (
	"encoding/binary"
	"hash/fnv"
	"slices"

	"slateridge/internal/constants"
)

// LedgerEntry records an accepted configuration by its version and the checksum of its content.
type LedgerEntry struct{ Version, Sum uint64 }

// Ledger records which content was accepted under each version, including versions that were
// superseded by a higher one before they arrived. It is used to recognize a repeated submission,
// and to never acknowledge different content under a version in use. Its size is bounded: for
// versions at or below Floor that are not listed, the content is no longer known. Sum
// distinguishes ledgers whose list is omitted.
type Ledger struct {
	Floor uint64
	Taken []LedgerEntry // in ascending order of version
	Sum   uint64
}

// search returns the index of a version in Taken, or the index at which to insert it.
func (l Ledger) search(version uint64) (int, bool) {
	return slices.BinarySearchFunc(l.Taken, version, func(e LedgerEntry, v uint64) int {
		switch {
		case e.Version < v:
			return -1
		case e.Version > v:
			return 1
		}
		return 0
	})
}

// Find returns the checksum of the content that was accepted under a version.
func (l Ledger) Find(version uint64) (sum uint64, ok bool) {
	i, ok := l.search(version)
	if !ok {
		return 0, false
	}
	return l.Taken[i].Sum, true
}

// Settled reports whether no further content can be accepted under a version, because a
// content was already accepted or the version is at or below Floor.
func (l Ledger) Settled(version uint64) bool {
	_, ok := l.search(version)
	return ok || version <= l.Floor
}

// With returns the ledger with a content added under a version that is not settled; otherwise
// it returns l unchanged. It drops the lowest versions beyond constants.MaxLedgerEntries entries.
func (l Ledger) With(version, sum uint64) Ledger {
	i, ok := l.search(version)
	if ok || version <= l.Floor {
		return l
	}
	out := Ledger{Floor: l.Floor, Taken: slices.Insert(slices.Clone(l.Taken), i, LedgerEntry{version, sum})}
	if n := len(out.Taken) - constants.MaxLedgerEntries; n > 0 {
		out.Floor = out.Taken[n-1].Version
		out.Taken = out.Taken[n:]
	}
	h := fnv.New64a()
	binary.Write(h, binary.BigEndian, []uint64{l.Sum, version, sum})
	out.Sum = h.Sum64() | 1 // never 0, which denotes an empty ledger
	return out
}

// EnsureLedger derives the ledger of a state that was stored by a release without ledgers: its
// configuration was accepted, and nothing is known of lower versions.
func (d *Doc) EnsureLedger() {
	if d.Version > 0 && d.Ledger.Sum == 0 {
		d.Ledger = Ledger{Floor: d.Version - 1}.With(d.Version, d.Sum)
	}
}

// WithoutBulk returns the state without its bulk, which is the configuration document and the
// list of the ledger. It is meant for receivers that have the same bulk.
func (d Doc) WithoutBulk() Doc {
	d.Raw, d.Ledger.Taken = nil, nil
	return d
}

// SameBulk reports whether two states have the same configuration document, byte for byte, and
// the same ledger. It compares their checksums.
func (d *Doc) SameBulk(o *Doc) bool {
	return d != nil && o != nil && d.Version == o.Version && d.Sum == o.Sum && d.Ledger.Sum == o.Ledger.Sum
}

// SetBulkFrom sets the bulk of d to that of o.
func (d *Doc) SetBulkFrom(o *Doc) { d.Raw, d.Ledger = o.Raw, o.Ledger }
