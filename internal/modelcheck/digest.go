package modelcheck

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"
)

// Abstraction defines which differences a digest ignores: times more than MaxAge ago, fields
// named in SkipFields as "Type.Field", and differences of floating-point numbers below
// Resolution, if it is set. MaxAge must be longer than any time after which a machine still
// acts on a past event.
type Abstraction struct {
	MaxAge     time.Duration
	SkipFields []string
	Resolution float64
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	randType     = reflect.TypeFor[*rand.Rand]()
)

// Digest hashes complete values, including unexported fields. Points in time (time.Duration)
// are hashed relative to now, so that a state that recurs later has the same hash. Random
// sources and functions are ignored.
func (a Abstraction) Digest(now time.Duration, vs ...any) uint64 {
	d := digest{a, now}
	var out []uint64
	for _, v := range vs {
		out = append(out, d.value(reflect.ValueOf(v), 0))
	}
	return hashUint64s(out...)
}

type digest struct {
	Abstraction
	now time.Duration
}

func hashUint64s(xs ...uint64) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for _, x := range xs {
		binary.LittleEndian.PutUint64(b[:], x)
		h.Write(b[:])
	}
	return h.Sum64()
}

func hashString(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// maxDigestDepth bounds the recursion, since values may refer to each other.
const maxDigestDepth = 40

// value hashes one value. Each kind mixes in its own number, so that values of different kinds
// differ.
func (d digest) value(v reflect.Value, depth int) uint64 {
	if !v.IsValid() || depth > maxDigestDepth {
		return 1
	}
	if v.Type() == durationType {
		t := time.Duration(v.Int())
		if t <= 0 {
			return 2 // zero means never
		}
		return hashUint64s(3, uint64(max(t-d.now, -d.MaxAge)))
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || v.Type() == randType {
			return 9
		}
		return hashUint64s(10, d.value(v.Elem(), depth+1))
	case reflect.Interface:
		if v.IsNil() {
			return 9
		}
		return hashUint64s(11, hashString(v.Elem().Type().String()), d.value(v.Elem(), depth+1))
	case reflect.Slice, reflect.Array:
		return d.list(v, depth)
	case reflect.Map:
		return d.mapValue(v, depth)
	case reflect.Struct:
		return d.structValue(v, depth)
	}
	return d.scalar(v)
}

// scalar hashes a value that contains no other values. All functions and channels have the same
// hash.
func (d digest) scalar(v reflect.Value) uint64 {
	switch {
	case v.Kind() == reflect.Bool && v.Bool():
		return 4
	case v.Kind() == reflect.Bool:
		return 5
	case v.CanInt():
		return hashUint64s(6, uint64(v.Int()))
	case v.CanUint():
		return hashUint64s(7, v.Uint())
	case v.CanFloat() && d.Resolution > 0:
		return hashUint64s(8, uint64(int64(math.Round(v.Float()/d.Resolution))))
	case v.CanFloat():
		return hashUint64s(8, math.Float64bits(v.Float()))
	case v.Kind() == reflect.String:
		return hashString(v.String())
	}
	return 15
}

func (d digest) list(v reflect.Value, depth int) uint64 {
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
		return hashString(string(v.Bytes()))
	}
	out := []uint64{12}
	for i := range v.Len() {
		out = append(out, d.value(v.Index(i), depth+1))
	}
	return hashUint64s(out...)
}

func (d digest) mapValue(v reflect.Value, depth int) uint64 {
	var out []uint64
	for entry := v.MapRange(); entry.Next(); {
		out = append(out, hashUint64s(d.value(entry.Key(), depth+1), d.value(entry.Value(), depth+1)))
	}
	slices.Sort(out)
	return hashUint64s(append(out, 13)...)
}

func (d digest) structValue(v reflect.Value, depth int) uint64 {
	out := []uint64{14}
	for i := range v.NumField() {
		if !slices.Contains(d.SkipFields, v.Type().Name()+"."+v.Type().Field(i).Name) {
			out = append(out, d.value(v.Field(i), depth+1))
		}
	}
	return hashUint64s(out...)
}
