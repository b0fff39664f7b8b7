package chain

import (
	"math/rand/v2"
	"testing"

	"slateridge/internal/config"
	"slateridge/internal/simnet"
)

// TestHeadOfEarlierViewAdmitsNothing has a head that was cut off catch up with what a later
// view committed before it learns of that view. It must not admit orders as head of its old
// view: its next state would get a revision that the head of the later view gives to another
// state, and a machine that learns that this revision is committed would commit the wrong
// state.
func TestHeadOfEarlierViewAdmitsNothing(t *testing.T) {
	c, err := New(0, "a", []string{"a", "b", "c"}, true, simnet.NewDisk(), rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	c.Recv(1, "b", Fetched{config.Doc{Stamp: config.Revision{View: 2, Seq: 8}, Version: 3, Raw: []byte("3"), Sum: config.Checksum([]byte("3"))}})
	c.Submit(2, config.Doc{Version: 4, Raw: []byte("4")})
	c.Evacuate(3, 7, "z", true)
	if h := c.Status().Held; h != (config.Revision{View: 2, Seq: 8}) {
		t.Fatalf("the head of view 1 holds a state with revision %v", h)
	}
	// The later view's head made its own state 2/9, which is not known here.
	c.Recv(4, "b", Heartbeat{Me: Member{"b", 1}, View: View{Num: 2}, Joined: true, Committed: config.Revision{View: 2, Seq: 9}, Held: config.Revision{View: 2, Seq: 9}})
	if got := c.Committed(); got.Stamp != (config.Revision{View: 2, Seq: 8}) || got.Version != 3 {
		t.Fatalf("r%d at %v counts as committed", got.Version, got.Stamp)
	}
}
