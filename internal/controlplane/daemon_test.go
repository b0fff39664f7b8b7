package controlplane

import (
	"math/rand/v2"
	"testing"
)

// Holders of the poll duty that follow each other may have heard of the same
// list last; were they to give two lists one number, a proxy that has the first
// would never ask for the second. Nor may two that read it at their start without
// the duty: a difference from the one would be put on the other.
func TestUpstreamListNumbersDifferBetweenReaders(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		highest := r.Uint64N(1 << 50)
		a, b := firstNumber(highest, r.Uint64()), firstNumber(highest, r.Uint64())
		if a <= highest || b <= highest || a == b {
			t.Fatalf("after %d two holders begin at %d and %d", highest, a, b)
		}
		if x, y := bootNumber(r.Uint64()), bootNumber(r.Uint64()); x == y || x == 0 || firstNumber(x, r.Uint64()) <= x || firstNumber(0, r.Uint64()) <= x {
			t.Fatalf("lists read at the start are numbered %d and %d", x, y)
		}
		if c := firstNumber(a+5, r.Uint64()); c <= a+5 || c <= b {
			t.Fatalf("the next holder begins at %d, below %d or %d", c, a+5, b)
		}
	}
}
