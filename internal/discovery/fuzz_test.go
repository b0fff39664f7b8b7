package discovery

import (
	"fmt"
	"reflect"
	"slices"
	"sort"
	"testing"
	"time"
)

// decodeList builds a list in which each nonzero byte is an instance, and its bits are the
// instance's state.
func decodeList(num uint64, data []byte) *List {
	list := &List{Num: num}
	for i, x := range data {
		if i >= 64 || x == 0 {
			continue
		}
		list.Instances = append(list.Instances, Instance{ID: fmt.Sprintf("i-%02d", i), Service: fmt.Sprint("s", x&3), Address: fmt.Sprint("a", x>>2&3),
			Slots: int(x >> 4 & 3), Draining: x&64 > 0, Warmup: time.Duration(x>>7) * time.Second})
	}
	return list
}

// FuzzChange checks that applying the difference of two lists to the first yields the second,
// and that it does not apply to a list with another number. It also checks that no change,
// however malformed, panics or yields a list that is unsorted or contains an ID twice.
func FuzzChange(f *testing.F) {
	f.Add([]byte{1, 2, 3}, []byte{1, 130, 0, 66}, uint64(4), uint64(5))
	f.Add([]byte{}, []byte{255, 255}, uint64(1), uint64(2))
	f.Add([]byte{9, 0, 9}, []byte{}, uint64(7), uint64(7))
	f.Add([]byte{1}, []byte{1}, uint64(0), uint64(0))
	f.Fuzz(func(t *testing.T, baseData, nextData []byte, baseNum, nextNum uint64) {
		first, second := decodeList(baseNum, baseData), decodeList(nextNum, nextData)
		for _, base := range []*List{nil, first} {
			c := Diff(base, second)
			got, ok := c.Apply(base)
			if baseNum == 0 && base != nil {
				continue // number 0 means no base, and no list has it
			}
			if !ok || got.Num != nextNum || !reflect.DeepEqual(got.Instances, second.Instances) {
				t.Fatalf("difference of %+v from base %+v yields %+v", second, base, got)
			}
			if base != nil && nextNum != baseNum {
				if _, ok := c.Apply(second); ok {
					t.Fatal("the difference applies to a list other than its base")
				}
			}
		}
		malformed := &Change{Base: baseNum, Num: nextNum, Put: append(slices.Clone(second.Instances), second.Instances...)}
		for i := range nextData {
			malformed.Gone = append(malformed.Gone, fmt.Sprintf("i-%02d", i/2), "")
		}
		if got, ok := malformed.Apply(first); ok {
			if !sort.SliceIsSorted(got.Instances, func(i, j int) bool { return got.Instances[i].ID < got.Instances[j].ID }) {
				t.Fatal("the list is not sorted")
			}
			for i := 1; i < len(got.Instances); i++ {
				if got.Instances[i].ID == got.Instances[i-1].ID {
					t.Fatal("the list contains an ID twice")
				}
			}
		}
	})
}
