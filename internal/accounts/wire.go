package accounts

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math"

	"slateridge/internal/counter"
)

// Delta is what changed of a life's accounts.
type Delta = counter.Delta[string, Account]

// formatVersion is that of packed accounts; a report of another one is refused.
const formatVersion = 1

// Limits of a report; what is beyond them is garbled.
const (
	maxNameBytes     = 256     // bytes of a tenant's or a node's name
	maxReportTenants = 200_000 // accounts in one report
	maxSketchBins    = 400     // bins of a sketch: all between the shortest and the longest latency
	maxCount         = 1 << 48 // requests of one tenant in one life
)

// Report brings a shard's holder what has changed at a proxy.
type Report struct {
	Shard  int
	Format int
	Node   string
	Life   uint64
	From   uint64
	To     uint64
	Closed bool
	Packed []byte // accounts by tenant
}

// ReportAck answers a report.
type ReportAck struct {
	Shard   int
	Life    uint64
	Refused string // why the report was not taken; it is kept by its proxy
	Holder  string // the machine that holds the shard's lease, as far as is known
	Ack     counter.Ack
}

// Errors of a report that is refused.
var (
	ErrUnsupportedFormat = errors.New("report of another format")
	ErrMalformed         = errors.New("report is garbled")
	ErrUnknownTenant     = errors.New("tenant has no objective here")
	ErrNotHolder         = errors.New("this machine does not hold the shard")
)

// ShardOf is the shard that a tenant belongs to.
func ShardOf(tenant string, shards int) int {
	hash := fnv.New64a()
	hash.Write([]byte(tenant))
	return int(hash.Sum64() % uint64(shards))
}

// packReport makes a report of a delta.
func packReport(shard int, delta Delta) Report {
	report := Report{Shard: shard, Format: formatVersion, Node: delta.Node, Life: uint64(delta.Life), From: delta.From, To: delta.To, Closed: delta.Closed}
	for tenant, account := range delta.Cells {
		report.Packed = binary.AppendUvarint(report.Packed, uint64(len(tenant)))
		report.Packed = append(report.Packed, tenant...)
		report.Packed = appendAccount(report.Packed, account)
	}
	return report
}

// counters are an account's numbers as they are packed: mostly zero. What is open stands
// for what was taken.
func (a Account) counters() []uint64 {
	return append(a.Settled[:], a.Doubled, a.Open())
}

// appendAccount packs an account: a bit for each number that is not zero, those numbers,
// and the bins as steps from one to the next.
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
	before := int32(0)
	for _, bin := range a.Latency {
		out = binary.AppendVarint(out, int64(bin.Index-before))
		out = binary.AppendUvarint(out, bin.Count)
		before = bin.Index
	}
	return out
}

// unpackReport reads a report and checks all that can be checked of it alone.
func unpackReport(report Report, shards int) (Delta, error) {
	if report.Format != formatVersion {
		return Delta{}, fmt.Errorf("%w: %d, not %d", ErrUnsupportedFormat, report.Format, formatVersion)
	}
	if report.Life == 0 || report.Node == "" || len(report.Node) > maxNameBytes || report.Shard < 0 || report.Shard >= shards || report.To < report.From {
		return Delta{}, ErrMalformed
	}
	delta := Delta{Life: counter.LifeID(report.Life), Node: report.Node, From: report.From, To: report.To, Closed: report.Closed,
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

// packedReader takes values from packed bytes; bad says that they are garbled.
type packedReader struct {
	remaining []byte
	malformed bool
}

func (r *packedReader) uvarint(most uint64) uint64 {
	value, n := binary.Uvarint(r.remaining)
	if n <= 0 || value > most {
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
		step := r.varint()
		index += step
		if i > 0 && step <= 0 || index != int64(int32(index)) {
			r.malformed = true
		}
		a.Latency = append(a.Latency, Bin{int32(index), r.uvarint(maxCount)})
	}
	if a.Doubled > a.Taken {
		r.malformed = true
	}
	return a
}
