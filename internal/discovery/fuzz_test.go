package discovery

import (
	"fmt"
	"reflect"
	"slices"
	"sort"
	"testing"
	"time"
)

// listOf makes a list of bytes: what is there, and in what state.
func listOf(num uint64, b []byte) *List {
	l := &List{Num: num}
	for i, x := range b {
		if i >= 64 || x == 0 {
			continue
		}
		l.Instances = append(l.Instances, Instance{ID: fmt.Sprintf("i-%02d", i), Service: fmt.Sprint("s", x&3), Address: fmt.Sprint("a", x>>2&3),
			Slots: int(x >> 4 & 3), Draining: x&64 > 0, Warmup: time.Duration(x>>7) * time.Second})
	}
	return l
}

// FuzzChange: the difference of two lists makes one of the other; it fits no other
// number; and no change at all, however it is made up, ends the process or gives a
// list with an id twice or out of order.
func FuzzChange(f *testing.F) {
	f.Add([]byte{1, 2, 3}, []byte{1, 130, 0, 66}, uint64(4), uint64(5))
	f.Add([]byte{}, []byte{255, 255}, uint64(1), uint64(2))
	f.Add([]byte{9, 0, 9}, []byte{}, uint64(7), uint64(7))
	f.Add([]byte{1}, []byte{1}, uint64(0), uint64(0))
	f.Fuzz(func(t *testing.T, a, b []byte, na, nb uint64) {
		la, lb := listOf(na, a), listOf(nb, b)
		for _, base := range []*List{nil, la} {
			c := Diff(base, lb)
			got, ok := c.Apply(base)
			if na == 0 && base != nil {
				continue // no list has this number: it stands for none
			}
			if !ok || got.Num != nb || !reflect.DeepEqual(got.Instances, lb.Instances) {
				t.Fatalf("%+v against %+v: %+v", lb, base, got)
			}
			if base != nil && nb != na {
				if _, ok := c.Apply(lb); ok {
					t.Fatal("it fits another list")
				}
			}
		}
		odd := &Change{Base: na, Num: nb, Put: append(slices.Clone(lb.Instances), lb.Instances...)}
		for i := range b {
			odd.Gone = append(odd.Gone, fmt.Sprintf("i-%02d", i/2), "")
		}
		if got, ok := odd.Apply(la); ok {
			if !sort.SliceIsSorted(got.Instances, func(i, j int) bool { return got.Instances[i].ID < got.Instances[j].ID }) {
				t.Fatal("out of order")
			}
			for i := 1; i < len(got.Instances); i++ {
				if got.Instances[i].ID == got.Instances[i-1].ID {
					t.Fatal("an id twice")
				}
			}
		}
	})
}
