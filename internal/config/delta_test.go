package config

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestDifferences packs seeded chains of configurations, each against any
// earlier one, and wants the same bytes back; spoilt input must fail, not pass.
func TestDifferences(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		r := rand.New(rand.NewPCG(seed, 1))
		var its []string
		item := func() string {
			return fmt.Sprintf(`{"resourceKind":"routes","metadata":{"name":"r-%d"},"spec":{"host":"h%d.example"}}`, r.Uint64(), r.IntN(9))
		}
		for range r.IntN(300) {
			its = append(its, item())
		}
		docs := []*Doc{nil}
		for v := uint64(1); v < 6; v++ {
			d := &Doc{Version: v, Raw: []byte(fmt.Sprintf(`{"configVersion":"r%d","resourceList":[%s]}`, v, strings.Join(its, ",")))}
			for _, base := range docs {
				p := NewDelta(base, d)
				got, err := p.Apply(base, 1<<20)
				if err != nil || string(got.Raw) != string(d.Raw) || got.Version != v {
					t.Fatalf("seed %d: r%d against %v: %v", seed, v, base, err)
				}
				if base != nil {
					if _, err := p.Apply(nil, 1<<20); !errors.Is(err, ErrBaseMismatch) {
						t.Fatalf("seed %d: unpacked without its base: %v", seed, err)
					}
					if len(its) > 100 && len(p.Z) > len(d.Raw)/8 {
						t.Fatalf("seed %d: a difference of %d bytes in %d", seed, len(p.Z), len(d.Raw))
					}
				}
				if len(p.Z) > 8 {
					p.Z = append([]byte(nil), p.Z...)
					p.Z[r.IntN(len(p.Z))] ^= 1 << r.IntN(8)
					if got, err := p.Apply(base, 1<<20); err == nil && string(got.Raw) != string(d.Raw) {
						t.Fatalf("seed %d: spoilt bytes pass", seed)
					}
				}
			}
			docs = append(docs, d)
			for range 3 {
				if n := len(its); n > 0 {
					its[r.IntN(n)] = item()
				}
				its = append(its, item())
			}
		}
		if _, err := (&Delta{Version: 1, Z: NewDelta(nil, docs[3]).Z}).Apply(nil, 10); err == nil {
			t.Fatal("longer than allowed, and no error")
		}
	}
}

// Steps that say nothing are refused: a few bytes hold millions of them.
func TestEmptyStepsAreRefused(t *testing.T) {
	var z bytes.Buffer
	w, _ := flate.NewWriter(&z, flate.BestCompression)
	w.Write(make([]byte, 1<<20))
	w.Close()
	if _, err := (&Delta{Version: 1, Z: z.Bytes()}).Apply(nil, 1<<20); err == nil {
		t.Errorf("%d bytes made half a million steps of nothing", z.Len())
	}
}
