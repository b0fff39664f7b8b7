package accounts

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math"

	"slateridge/internal/counter"
)

// Delta holds the changes of one incarnation's accounts between two versions.
type Delta = counter.Delta[string, Account]

// formatVersion is the version of the packed account encoding. Reports of another version are
// rejected.
const formatVersion = 1

// Limits of a report; a report that exceeds them is rejected as malformed.
const (
	maxNameBytes     = 256     // of a tenant or node name
	maxReportTenants = 200_000 // accounts in one report
	maxSketchBins    = 400     // covers all bins between minRecordedLatency and maxRecordedLatency
	maxCount         = 1 << 48 // requests of one tenant in one incarnation
)

// Report transfers the changes of a proxy's accounts to the leader of a shard.
type Report struct {
	Shard  int
	Format int
	Node   string
	Life   uint64 // incarnation of the proxy process
	From   uint64 // version that the changes are relative to
	To     uint64 // version that includes the changes
	Closed bool   // the incarnation has ended; no changes follow
	Packed []byte // encoded accounts by tenant
}

// ReportAck is the response to a Report.
type ReportAck struct {
	Shard   int
	Life    uint64
	Refused string // reason for a rejection, after which the proxy keeps its changes; empty if accepted
	Holder  string // node that holds the shard's lease, if known
	Ack     counter.Ack
}

// Reasons for which a report is rejected. Proxies compare the text of ErrNotHolder.
var (
	ErrUnsupportedFormat = errors.New("report of another format")
	ErrMalformed         = errors.New("report is garbled")
	ErrUnknownTenant     = errors.New("tenant has no objective here")
	ErrNotHolder         = errors.New("this machine does not hold the shard")
)

// ShardOf returns the shard of a tenant, by a hash of its name.
func ShardOf(tenant string, shards int) int {
	hash := fnv.New64a()
	hash.Write([]byte(tenant))
	return int(hash.Sum64() % uint64(shards))
}

// packReport encodes a delta as a report.
func packReport(shard int, delta Delta) Report {
	report := Report{Shard: shard, Format: formatVersion, Node: delta.Node, Life: uint64(delta.Life), From: delta.From, To: delta.To, Closed: delta.Closed}
	for tenant, account := range delta.Cells {
		report.Packed = binary.AppendUvarint(report.Packed, uint64(len(tenant)))
		report.Packed = append(report.Packed, tenant...)
		report.Packed = appendAccount(report.Packed, account)
	}
	return report
}

// counters returns the counters of an account in the order in which they are packed. Open
// replaces Taken, so that most of them are zero.
func (a Account) counters() []uint64 {
	return append(a.Settled[:], a.Doubled, a.Open())
}

// appendAccount encodes an account: a bit mask of the non-zero counters, these counters, and
// the bins of the sketch with delta-encoded indexes.
func appendAccount(out []byte, a Account) []byte {
	present := byte(0)
	counters := a.counters()
	for i, n := range counters {
		if n > 0 {
			present |= 1 << i
		}
	}
	out = binary.AppendUvarint(out, uint64(present))
	for _, n := range counters {
		if n > 0 {
			out = binary.AppendUvarint(out, n)
		}
	}
	out = binary.AppendUvarint(out, uint64(len(a.Latency)))
	previous := int32(0)
	for _, bin := range a.Latency {
		out = binary.AppendVarint(out, int64(bin.Index-previous))
		out = binary.AppendUvarint(out, bin.Count)
		previous = bin.Index
	}
	return out
}

// unpackReport decodes a report and validates it as far as this needs no other state.
func unpackReport(report Report, shards int) (Delta, error) {
	if report.Format != formatVersion {
		return Delta{}, fmt.Errorf("%w: %d, not %d", ErrUnsupportedFormat, report.Format, formatVersion)
	}
	if report.Life == 0 || report.Node == "" || len(report.Node) > maxNameBytes || report.Shard < 0 || report.Shard >= shards || report.To < report.From {
		return Delta{}, ErrMalformed
	}
	delta := Delta{Life: counter.IncarnationID(report.Life), Node: report.Node, From: report.From, To: report.To, Closed: report.Closed,
		Cells: counter.Cells[string, Account]{}}
	r := packedReader{remaining: report.Packed}
	for len(r.remaining) > 0 && !r.malformed && len(delta.Cells) < maxReportTenants {
		tenant := r.name()
		delta.Cells[tenant] = r.account()
		if tenant == "" || ShardOf(tenant, shards) != report.Shard {
			r.malformed = true
		}
	}
	if r.malformed || len(r.remaining) > 0 {
		return Delta{}, ErrMalformed
	}
	return delta, nil
}

// packedReader decodes values from packed bytes; malformed is set once decoding has failed.
type packedReader struct {
	remaining []byte
	malformed bool
}

// uvarint reads an unsigned integer of at most limit.
func (r *packedReader) uvarint(limit uint64) uint64 {
	value, n := binary.Uvarint(r.remaining)
	if n <= 0 || value > limit {
		r.malformed, r.remaining = true, nil
		return 0
	}
	r.remaining = r.remaining[n:]
	return value
}

func (r *packedReader) varint() int64 {
	value, n := binary.Varint(r.remaining)
	if n <= 0 {
		r.malformed, r.remaining = true, nil
		return 0
	}
	r.remaining = r.remaining[n:]
	return value
}

func (r *packedReader) name() string {
	length := int(r.uvarint(maxNameBytes))
	if length > len(r.remaining) {
		r.malformed, r.remaining = true, nil
		return ""
	}
	name := string(r.remaining[:length])
	r.remaining = r.remaining[length:]
	return name
}

func (r *packedReader) account() Account {
	var a Account
	counters := a.counters()
	present := r.uvarint(math.MaxUint8)
	if present >= 1<<len(counters) {
		r.malformed = true
	}
	for i := range counters {
		if present&(1<<i) != 0 {
			counters[i] = r.uvarint(maxCount)
		}
	}
	a.Taken = counters[outcomeCount+1]
	for i := range a.Settled {
		a.Settled[i] = counters[i]
		a.Taken += counters[i]
	}
	a.Doubled = counters[outcomeCount]
	bins := r.uvarint(maxSketchBins)
	index := int64(0)
	for i := range bins {
		increment := r.varint()
		index += increment
		if i > 0 && increment <= 0 || index != int64(int32(index)) {
			r.malformed = true
		}
		a.Latency = append(a.Latency, Bin{int32(index), r.uvarint(maxCount)})
	}
	if a.Doubled > a.Taken {
		r.malformed = true
	}
	return a
}
