package config

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// seedDocuments are configurations of many shapes, valid and not.
func seedDocuments() [][]byte {
	out := [][]byte{[]byte(good), documentOf(3, []int{1, 2, 3}, []int{1, 2})}
	item := `{"resourceKind":"limits","metadata":{},"spec":{"maxBodyBytes":5}}`
	for _, s := range []string{
		`{"configVersion":"r1","resourceList":[` + item + `]}`,
		`{"configVersion":"r1","resourceList":[],"other":[` + item + `]}`,
		`{"configVersion":"r1","other":[` + item + `]}`,
		`{"resourceList":[` + item + `],"configVersion":"r1","resourceList":[` + item + `]}`,
		`{"configVersion":"r1","RESOURCELIST":[` + item + `]}`,
		`{"configVersion":"r1","resourceList":[` + item + `],"configVersion":"r2"}`,
		`{"configVersion":"r18446744073709551614","resourceList":null}`,
		`{"configVersion":"r0","resourceList":[{"resourceKind":"services","metadata":{"name":"x"},"spec":null}]}`,
		`[]`, `null`, ``, strings.Repeat(`[`, 300),
	} {
		out = append(out, []byte(s))
	}
	return out
}

// FuzzRead: no bytes end the process; a refusal is a Fault; what is accepted is read
// the same again, whole, and as what differs from any other document; and the lookups
// on it work.
func FuzzRead(f *testing.F) {
	for _, a := range seedDocuments() {
		for _, b := range [][]byte{[]byte(good), []byte(`{"configVersion":"r1","resourceList":[]}`)} {
			f.Add(a, b)
		}
	}
	f.Fuzz(func(t *testing.T, raw, other []byte) {
		s, err := Parse(raw)
		var fault *ValidationError
		if err != nil && !errors.As(err, &fault) {
			t.Fatalf("refused with %T %v", err, err)
		}
		again, err2 := Parse(raw)
		if !reflect.DeepEqual(s, again) || fmt.Sprint(err) != fmt.Sprint(err2) {
			t.Fatalf("read otherwise the second time: %v, %v", err, err2)
		}
		for _, before := range [][]byte{nil, other, raw} {
			var rd Parser
			rd.Parse(before)
			got, err2 := rd.Parse(raw)
			if fmt.Sprint(err) != fmt.Sprint(err2) || !reflect.DeepEqual(s, got) {
				t.Fatalf("read after %q it is another: %v, whole: %v", before, err2, err)
			}
		}
		if err != nil {
			return
		}
		for _, r := range s.Routes() {
			if s.Match(r.Host, r.Prefix) == nil {
				t.Fatalf("route %s is not found by its own host and prefix", r.Name)
			}
			for _, u := range []float64{0, 0.5, 1} {
				if s.Services[r.PickTarget(u)] == nil || !r.RoutesTo(r.PickTarget(u)) {
					t.Fatalf("route %s goes to %q", r.Name, r.PickTarget(u))
				}
			}
			if r.MaxAttempts < 1 || r.Timeout <= 0 {
				t.Fatalf("route %s: %+v", r.Name, r)
			}
		}
		a, b := &Doc{Version: s.Version, Raw: raw}, &Doc{Version: 7, Raw: other}
		for _, base := range []*Doc{nil, b} {
			p := NewDelta(base, a)
			if got, err := p.Apply(base, len(raw)); err != nil || !bytes.Equal(got.Raw, raw) || got.Version != a.Version {
				t.Fatalf("packed against %v it came back as %v, %v", base, got, err)
			}
		}
	})
}

// FuzzUnpack: no difference ends the process, makes more than it may, or passes for
// another document than the one it was made of.
func FuzzUnpack(f *testing.F) {
	docs := seedDocuments()
	base := &Doc{Version: 4, Raw: docs[0]}
	for i, d := range docs {
		for _, b := range []*Doc{nil, base} {
			p := NewDelta(b, &Doc{Version: uint64(i), Raw: d})
			f.Add(p.Base, p.Sum, p.Z, docs[0])
			f.Add(p.Base, p.Sum, p.Z[:len(p.Z)/2], docs[1])
		}
	}
	f.Fuzz(func(t *testing.T, from uint64, sum uint32, z, old []byte) {
		const most = 1 << 16
		p := &Delta{Base: from, Version: 9, Sum: sum, Z: z}
		for _, b := range []*Doc{nil, {Version: from, Raw: old}, {Version: from + 1, Raw: old}} {
			d, err := p.Apply(b, most)
			if err == nil && (len(d.Raw) > most || d.Version != 9) {
				t.Fatalf("%d bytes of version %d", len(d.Raw), d.Version)
			}
			if err == nil && from > 0 && (b == nil || b.Version != from) {
				t.Fatal("unpacked against another base")
			}
		}
	})
}
