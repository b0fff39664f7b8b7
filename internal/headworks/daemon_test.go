package headworks

import (
	"math/rand/v2"
	"testing"
)

// Holders of the poll duty that follow each other may have heard of the same
// list last; were they to give two lists one number, a proxy that has the first
// would never ask for the second.
func TestHoldersNumberApart(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		heard := r.Uint64N(1 << 50)
		a, b := firstNumber(heard, r.Uint64()), firstNumber(heard, r.Uint64())
		if a <= heard || b <= heard || a == b {
			t.Fatalf("after %d two holders begin at %d and %d", heard, a, b)
		}
		if c := firstNumber(a+5, r.Uint64()); c <= a+5 || c <= b {
			t.Fatalf("the next holder begins at %d, below %d or %d", c, a+5, b)
		}
	}
}
