package accounts

import (
	"slices"
	"time"

	"github.com/DataDog/sketches-go/ddsketch/mapping"
)

// SketchRelativeError is the maximum relative error of a quantile estimated from a Sketch.
const SketchRelativeError = 0.05

// Latencies outside these bounds are recorded as the nearest bound.
const (
	minRecordedLatency = 100 * time.Microsecond
	maxRecordedLatency = 10 * time.Minute
)

// latencyMapping maps latencies to logarithmic bins: bin bounds grow by a constant factor.
var latencyMapping = newLatencyMapping()

func newLatencyMapping() *mapping.LogarithmicMapping {
	m, err := mapping.NewLogarithmicMapping(SketchRelativeError)
	if err != nil {
		panic("accounts: invalid relative error for the latency sketch: " + err.Error())
	}
	return m
}

// Bin counts the latencies that fall into one bin of the mapping.
type Bin struct {
	Index int32
	Count uint64
}

// Sketch is a DDSketch stored as its non-empty bins, sorted by index. Unlike the sketch of
// the DDSketch library, it can also be joined with an earlier state of itself.
type Sketch []Bin

// Observe records one latency.
func (s *Sketch) Observe(latency time.Duration) {
	latency = min(max(latency, minRecordedLatency), maxRecordedLatency)
	index := int32(latencyMapping.Index(latency.Seconds()))
	i, found := slices.BinarySearchFunc(*s, index, func(b Bin, index int32) int { return int(b.Index) - int(index) })
	if !found {
		*s = slices.Insert(*s, i, Bin{Index: index})
	}
	(*s)[i].Count++
}

// Join merges two states of the same incarnation: it takes the larger count of each bin.
func (s Sketch) Join(other Sketch) Sketch {
	return s.combine(other, func(a, b uint64) uint64 { return max(a, b) })
}

// Plus returns the sum of the sketches of two incarnations.
func (s Sketch) Plus(other Sketch) Sketch {
	return s.combine(other, func(a, b uint64) uint64 { return a + b })
}

// combine merges the bins of two sketches; combineCounts is applied to bins present in both.
func (s Sketch) combine(other Sketch, combineCounts func(a, b uint64) uint64) Sketch {
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
			out, s, other = append(out, Bin{a.Index, combineCounts(a.Count, b.Count)}), s[1:], other[1:]
		}
	}
	return append(append(out, s...), other...)
}

// Count returns the number of recorded latencies.
func (s Sketch) Count() uint64 {
	count := uint64(0)
	for _, bin := range s {
		count += bin.Count
	}
	return count
}

// Quantile returns an estimate of the q-quantile of the latencies, within
// SketchRelativeError of the true value, or 0 if the sketch is empty. It equals the estimate
// of the DDSketch library for the same bins.
func (s Sketch) Quantile(q float64) time.Duration {
	count := s.Count()
	if count == 0 {
		return 0
	}
	rank := q * float64(count-1)
	cumulative := uint64(0)
	for _, bin := range s {
		if cumulative += bin.Count; float64(cumulative) > rank {
			return time.Duration(latencyMapping.Value(int(bin.Index)) * float64(time.Second))
		}
	}
	return time.Duration(latencyMapping.Value(int(s[len(s)-1].Index)) * float64(time.Second))
}
