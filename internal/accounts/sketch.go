package accounts

import (
	"slices"
	"time"

	"github.com/DataDog/sketches-go/ddsketch/mapping"
)

// SketchRelativeError is the relative error of a quantile read from a sketch.
const SketchRelativeError = 0.05

// Latencies outside these bounds are recorded as the bound.
const (
	minRecordedLatency = 100 * time.Microsecond
	maxRecordedLatency = 10 * time.Minute
)

// latencyMapping assigns latencies to bins whose bounds grow by a constant factor.
var latencyMapping = newLatencyMapping()

func newLatencyMapping() *mapping.LogarithmicMapping {
	m, err := mapping.NewLogarithmicMapping(SketchRelativeError)
	if err != nil {
		panic("accounts: the sketch's error is out of range: " + err.Error())
	}
	return m
}

// Bin counts the latencies of one bin of the mapping.
type Bin struct {
	Index int32
	Count uint64
}

// Sketch is a DDSketch as its bins, in the order of their indexes. Unlike the library's,
// it can also be joined with an earlier state of itself.
type Sketch []Bin

// Observe adds a latency.
func (s *Sketch) Observe(latency time.Duration) {
	latency = min(max(latency, minRecordedLatency), maxRecordedLatency)
	index := int32(latencyMapping.Index(latency.Seconds()))
	at, found := slices.BinarySearchFunc(*s, index, func(b Bin, index int32) int { return int(b.Index) - int(index) })
	if !found {
		*s = slices.Insert(*s, at, Bin{Index: index})
	}
	(*s)[at].Count++
}

// Join is the later of two states of one life.
func (s Sketch) Join(other Sketch) Sketch {
	return s.combine(other, func(a, b uint64) uint64 { return max(a, b) })
}

// Plus is the sum over two lives.
func (s Sketch) Plus(other Sketch) Sketch {
	return s.combine(other, func(a, b uint64) uint64 { return a + b })
}

func (s Sketch) combine(other Sketch, both func(a, b uint64) uint64) Sketch {
	if len(s)+len(other) == 0 {
		return nil
	}
	out := make(Sketch, 0, max(len(s), len(other)))
	for len(s) > 0 && len(other) > 0 {
		switch a, b := s[0], other[0]; {
		case a.Index < b.Index:
			out, s = append(out, a), s[1:]
		case a.Index > b.Index:
			out, other = append(out, b), other[1:]
		default:
			out, s, other = append(out, Bin{a.Index, both(a.Count, b.Count)}), s[1:], other[1:]
		}
	}
	return append(append(out, s...), other...)
}

// Count is the number of latencies.
func (s Sketch) Count() uint64 {
	count := uint64(0)
	for _, bin := range s {
		count += bin.Count
	}
	return count
}

// Quantile is the latency that a share of all lies under, within SketchError of the true
// one; 0 where there is none. It is what the library's sketch of these bins gives.
func (s Sketch) Quantile(share float64) time.Duration {
	count := s.Count()
	if count == 0 {
		return 0
	}
	rank := share * float64(count-1)
	below := uint64(0)
	for _, bin := range s {
		if below += bin.Count; float64(below) > rank {
			return time.Duration(latencyMapping.Value(int(bin.Index)) * float64(time.Second))
		}
	}
	return time.Duration(latencyMapping.Value(int(s[len(s)-1].Index)) * float64(time.Second))
}
