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

// A delta between any two versions of a random sequence of configurations yields the same bytes
// when applied. A corrupted delta must fail rather than yield another document.
func TestDeltaRoundTrip(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		var items []string
		item := func() string {
			return fmt.Sprintf(`{"resourceKind":"routes","metadata":{"name":"r-%d"},"spec":{"host":"h%d.example"}}`, rng.Uint64(), rng.IntN(9))
		}
		for range rng.IntN(300) {
			items = append(items, item())
		}
		docs := []*Doc{nil}
		for v := uint64(1); v < 6; v++ {
			d := &Doc{Version: v, Raw: []byte(fmt.Sprintf(`{"configVersion":"r%d","resourceList":[%s]}`, v, strings.Join(items, ",")))}
			for _, base := range docs {
				delta := NewDelta(base, d)
				got, err := delta.Apply(base, 1<<20)
				if err != nil || string(got.Raw) != string(d.Raw) || got.Version != v {
					t.Fatalf("seed %d: r%d against %v: %v", seed, v, base, err)
				}
				if base != nil {
					if _, err := delta.Apply(nil, 1<<20); !errors.Is(err, ErrBaseMismatch) {
						t.Fatalf("seed %d: applied without its base: %v", seed, err)
					}
					if len(items) > 100 && len(delta.Z) > len(d.Raw)/8 {
						t.Fatalf("seed %d: a delta of %d bytes for a document of %d bytes", seed, len(delta.Z), len(d.Raw))
					}
				}
				if len(delta.Z) > 8 {
					delta.Z = append([]byte(nil), delta.Z...)
					delta.Z[rng.IntN(len(delta.Z))] ^= 1 << rng.IntN(8)
					if got, err := delta.Apply(base, 1<<20); err == nil && string(got.Raw) != string(d.Raw) {
						t.Fatalf("seed %d: a corrupted delta was accepted", seed)
					}
				}
			}
			docs = append(docs, d)
			for range 3 {
				if n := len(items); n > 0 {
					items[rng.IntN(n)] = item()
				}
				items = append(items, item())
			}
		}
		if _, err := (&Delta{Version: 1, Z: NewDelta(nil, docs[3]).Z}).Apply(nil, 10); err == nil {
			t.Fatal("a document above the size limit was accepted")
		}
	}
}

// Apply rejects empty steps, since a few compressed bytes can hold millions of them.
func TestApplyRejectsEmptySteps(t *testing.T) {
	var compressed bytes.Buffer
	w, _ := flate.NewWriter(&compressed, flate.BestCompression)
	w.Write(make([]byte, 1<<20))
	w.Close()
	if _, err := (&Delta{Version: 1, Z: compressed.Bytes()}).Apply(nil, 1<<20); err == nil {
		t.Errorf("%d bytes with half a million empty steps were accepted", compressed.Len())
	}
}
