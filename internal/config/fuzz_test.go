package config

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// seedDocuments returns valid and invalid configuration documents as the seed corpus.
func seedDocuments() [][]byte {
	out := [][]byte{[]byte(validDocument), generateDocument(3, []int{1, 2, 3}, []int{1, 2})}
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

// FuzzRead checks that no input crashes Parse and that every error is a *ValidationError. Parsing
// the input again, or with a Parser after any other document, must yield the same result. On a
// valid configuration the lookups and the delta encoding must work.
func FuzzRead(f *testing.F) {
	for _, a := range seedDocuments() {
		for _, b := range [][]byte{[]byte(validDocument), []byte(`{"configVersion":"r1","resourceList":[]}`)} {
			f.Add(a, b)
		}
	}
	f.Fuzz(func(t *testing.T, raw, other []byte) {
		cfg, err := Parse(raw)
		var invalid *ValidationError
		if err != nil && !errors.As(err, &invalid) {
			t.Fatalf("rejected with %T %v", err, err)
		}
		again, err2 := Parse(raw)
		if !reflect.DeepEqual(cfg, again) || fmt.Sprint(err) != fmt.Sprint(err2) {
			t.Fatalf("the second result differs: %v, %v", err, err2)
		}
		for _, before := range [][]byte{nil, other, raw} {
			var parser Parser
			parser.Parse(before)
			got, err2 := parser.Parse(raw)
			if fmt.Sprint(err) != fmt.Sprint(err2) || !reflect.DeepEqual(cfg, got) {
				t.Fatalf("the result after %q differs: error %v, parsed whole: %v", before, err2, err)
			}
		}
		if err != nil {
			return
		}
		for _, r := range cfg.Routes() {
			if cfg.Match(r.Host, r.Prefix) == nil {
				t.Fatalf("route %s does not match its own host and prefix", r.Name)
			}
			for _, u := range []float64{0, 0.5, 1} {
				if cfg.Services[r.PickTarget(u)] == nil || !r.RoutesTo(r.PickTarget(u)) {
					t.Fatalf("route %s has target %q", r.Name, r.PickTarget(u))
				}
			}
			if r.MaxAttempts < 1 || r.Timeout <= 0 {
				t.Fatalf("route %s: %+v", r.Name, r)
			}
		}
		a, b := &Doc{Version: cfg.Version, Raw: raw}, &Doc{Version: 7, Raw: other}
		for _, base := range []*Doc{nil, b} {
			delta := NewDelta(base, a)
			if got, err := delta.Apply(base, len(raw)); err != nil || !bytes.Equal(got.Raw, raw) || got.Version != a.Version {
				t.Fatalf("delta from %v yields %v, %v", base, got, err)
			}
		}
	})
}

// FuzzUnpack checks that no delta crashes Apply, exceeds the size limit, or is accepted against a
// base of another version.
func FuzzUnpack(f *testing.F) {
	docs := seedDocuments()
	base := &Doc{Version: 4, Raw: docs[0]}
	for i, d := range docs {
		for _, b := range []*Doc{nil, base} {
			delta := NewDelta(b, &Doc{Version: uint64(i), Raw: d})
			f.Add(delta.Base, delta.Sum, delta.Z, docs[0])
			f.Add(delta.Base, delta.Sum, delta.Z[:len(delta.Z)/2], docs[1])
		}
	}
	f.Fuzz(func(t *testing.T, from uint64, sum uint32, z, old []byte) {
		const maxSize = 1 << 16
		delta := &Delta{Base: from, Version: 9, Sum: sum, Z: z}
		for _, b := range []*Doc{nil, {Version: from, Raw: old}, {Version: from + 1, Raw: old}} {
			d, err := delta.Apply(b, maxSize)
			if err == nil && (len(d.Raw) > maxSize || d.Version != 9) {
				t.Fatalf("accepted %d bytes of version %d", len(d.Raw), d.Version)
			}
			if err == nil && from > 0 && (b == nil || b.Version != from) {
				t.Fatal("accepted with a base of another version")
			}
		}
	})
}
