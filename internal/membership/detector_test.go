package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/simnet"
)

type cluster struct {
	network *simnet.Network
	all     map[string]*Detector // nil while down
	frozen  map[string]bool
	life    map[string]int
	deaths  map[string]int // how often a member was declared dead by anyone
}

func newCluster(seed uint64, n int) *cluster {
	c := &cluster{network: simnet.New(seed), all: map[string]*Detector{}, frozen: map[string]bool{}, life: map[string]int{}, deaths: map[string]int{}}
	c.network.Loss = 0.02
	for i := range n {
		c.start(fmt.Sprint("m", i))
	}
	return c
}

func (c *cluster) start(n string) {
	c.life[n]++
	c.all[n] = New(c.network.Now, n, n, []string{"m0", "m1", "m2"}, rand.New(rand.NewPCG(uint64(c.life[n]), uint64(len(n))+uint64(n[1])*7+uint64(n[len(n)-1]))))
	c.tick(n, c.life[n])
}

func (c *cluster) tick(n string, l int) {
	if c.life[n] != l || c.all[n] == nil {
		return
	}
	if !c.frozen[n] {
		c.put(n, c.all[n].Tick(c.network.Now))
	}
	c.network.After(TickInterval, func() { c.tick(n, l) })
}

func (c *cluster) put(n string, out []any) {
	for _, o := range out {
		switch o := o.(type) {
		case Change:
			if o.Fact.State == Dead {
				c.deaths[o.Fact.Addr]++
			}
		case Send:
			c.network.Send(n, o.To, func() {
				if d := c.all[o.To]; d != nil && !c.frozen[o.To] {
					c.put(o.To, d.Recv(c.network.Now, n, o.Msg))
				}
			})
		}
	}
}

// seen counts, over all running members, how a member is seen.
func (c *cluster) seen(n string) map[State]int {
	out := map[State]int{}
	for o, d := range c.all {
		if d == nil || o == n {
			continue
		}
		for _, f := range d.Members() {
			if f.Addr == n {
				out[f.State]++
			}
		}
	}
	return out
}

func (c *cluster) run(d time.Duration) { c.network.Run(c.network.Now+d, nil) }

func TestMembership(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		c := newCluster(seed, 14)
		c.run(25 * time.Second)
		for n := range c.all {
			// With lost datagrams one may be suspected at the moment.
			if got := c.seen(n); got[Alive]+got[Suspect] != 13 {
				t.Fatalf("seed %d: %s is seen by 13 others as %v", seed, n, got)
			}
		}
		// One that is cut off from a single other is vouched for by the rest.
		c.network.Cut("m3", "m4", true)
		c.network.Cut("m4", "m3", true)
		// One that stands still a moment is not removed, and accuses nobody.
		c.frozen["m5"] = true
		c.network.After(1500*time.Millisecond, func() { c.frozen["m5"] = false })
		c.run(60 * time.Second)
		if len(c.deaths) != 0 {
			t.Fatalf("seed %d: declared dead though they ran: %v", seed, c.deaths)
		}
		// One that is gone is found out by all.
		c.all["m6"] = nil
		c.life["m6"]++
		c.run(20*time.Second + constants.SuspectFor)
		if got := c.seen("m6"); got[Alive] != 0 || got[Suspect] != 0 {
			t.Fatalf("seed %d: m6 is gone, but seen as %v", seed, got)
		}
		// Back in a new life, it is alive to all.
		c.start("m6")
		c.run(25 * time.Second)
		if got := c.seen("m6"); got[Alive]+got[Suspect] != 13 {
			t.Fatalf("seed %d: m6 is back, but seen by 13 others as %v", seed, got)
		}
	}
}
