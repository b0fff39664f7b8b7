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

// Abstraction is what states are not told apart by: moments longer ago than
// LongAgo, which must be longer than any time after which a machine still acts on
// one, the fields that Skip names as "Type.Field", and differences of fractional
// numbers below Grain, if it is given.
type Abstraction struct {
	LongAgo time.Duration
	Skip    []string
	Grain   float64
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	randType     = reflect.TypeFor[*rand.Rand]()
)

// Digest hashes values whole, hidden fields too. Moments (time.Duration) count
// by their distance from now, so that a state that comes again later is the same
// one. Random sources and functions are left out.
func (a Abstraction) Digest(now time.Duration, vs ...any) uint64 {
	d := digest{a, now}
	var out []uint64
	for _, v := range vs {
		out = append(out, d.of(reflect.ValueOf(v), 0))
	}
	return mix(out...)
}

type digest struct {
	Abstraction
	now time.Duration
}

func mix(xs ...uint64) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for _, x := range xs {
		binary.LittleEndian.PutUint64(b[:], x)
		h.Write(b[:])
	}
	return h.Sum64()
}

func text(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

func (d digest) of(v reflect.Value, deep int) uint64 {
	if !v.IsValid() || deep > 40 {
		return 1
	}
	if v.Type() == durationType {
		t := time.Duration(v.Int())
		if t <= 0 {
			return 2 // never
		}
		return mix(3, uint64(max(t-d.now, -d.LongAgo)))
	}
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			return 4
		}
		return 5
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return mix(6, uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		return mix(7, v.Uint())
	case reflect.Float32, reflect.Float64:
		if d.Grain > 0 {
			return mix(8, uint64(int64(math.Round(v.Float()/d.Grain))))
		}
		return mix(8, math.Float64bits(v.Float()))
	case reflect.String:
		return text(v.String())
	case reflect.Pointer:
		if v.IsNil() || v.Type() == randType {
			return 9
		}
		return mix(10, d.of(v.Elem(), deep+1))
	case reflect.Interface:
		if v.IsNil() {
			return 9
		}
		return mix(11, text(v.Elem().Type().String()), d.of(v.Elem(), deep+1))
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return text(string(v.Bytes()))
		}
		fallthrough
	case reflect.Array:
		out := []uint64{12}
		for i := range v.Len() {
			out = append(out, d.of(v.Index(i), deep+1))
		}
		return mix(out...)
	case reflect.Map:
		var out []uint64
		for it := v.MapRange(); it.Next(); {
			out = append(out, mix(d.of(it.Key(), deep+1), d.of(it.Value(), deep+1)))
		}
		slices.Sort(out)
		return mix(append(out, 13)...)
	case reflect.Struct:
		out := []uint64{14}
		for i := range v.NumField() {
			if !slices.Contains(d.Skip, v.Type().Name()+"."+v.Type().Field(i).Name) {
				out = append(out, d.of(v.Field(i), deep+1))
			}
		}
		return mix(out...)
	}
	return 15 // functions, channels
}
