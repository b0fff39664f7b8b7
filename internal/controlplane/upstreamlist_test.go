package controlplane

import (
	"math/rand/v2"
	"testing"
)

// Successive holders of the poll duty may have seen the same highest list number. If they gave
// two different lists the same number, a proxy with the first would never request the second.
// Two lists read at boot without the duty need different numbers as well: a difference from
// one would be applied to the other.
func TestUpstreamListNumbersDifferBetweenReaders(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		highest := r.Uint64N(1 << 50)
		a, b := firstNumber(highest, r.Uint64()), firstNumber(highest, r.Uint64())
		if a <= highest || b <= highest || a == b {
			t.Fatalf("after %d two holders start at %d and %d", highest, a, b)
		}
		if x, y := bootNumber(r.Uint64()), bootNumber(r.Uint64()); x == y || x == 0 || firstNumber(x, r.Uint64()) <= x || firstNumber(0, r.Uint64()) <= x {
			t.Fatalf("lists read at boot are numbered %d and %d", x, y)
		}
		if c := firstNumber(a+5, r.Uint64()); c <= a+5 || c <= b {
			t.Fatalf("the next holder starts at %d, not above %d and %d", c, a+5, b)
		}
	}
}
