package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/simnet"
)

// cluster runs detectors over a simulated network.
type cluster struct {
	network      *simnet.Network
	detectors    map[string]*Detector // nil while down
	paused       map[string]bool
	incarnations map[string]int // by member, counts its starts and stops
	deaths       map[string]int // how often any member declared the member dead
}

func newCluster(seed uint64, n int) *cluster {
	c := &cluster{network: simnet.New(seed), detectors: map[string]*Detector{}, paused: map[string]bool{}, incarnations: map[string]int{}, deaths: map[string]int{}}
	c.network.Loss = 0.02
	for i := range n {
		c.start(fmt.Sprint("m", i))
	}
	return c
}

func (c *cluster) start(name string) {
	c.incarnations[name]++
	c.detectors[name] = New(c.network.Now, name, name, []string{"m0", "m1", "m2"}, rand.New(rand.NewPCG(uint64(c.incarnations[name]), uint64(len(name))+uint64(name[1])*7+uint64(name[len(name)-1]))))
	c.tick(name, c.incarnations[name])
}

func (c *cluster) tick(name string, incarnation int) {
	if c.incarnations[name] != incarnation || c.detectors[name] == nil {
		return
	}
	if !c.paused[name] {
		c.handle(name, c.detectors[name].Tick(c.network.Now))
	}
	c.network.After(TickInterval, func() { c.tick(name, incarnation) })
}

func (c *cluster) handle(name string, outputs []any) {
	for _, output := range outputs {
		switch output := output.(type) {
		case Change:
			if output.Fact.State == Dead {
				c.deaths[output.Fact.Addr]++
			}
		case Send:
			c.network.Send(name, output.To, func() {
				if d := c.detectors[output.To]; d != nil && !c.paused[output.To] {
					c.handle(output.To, d.Recv(c.network.Now, name, output.Msg))
				}
			})
		}
	}
}

// statesOf counts, by state, the states that the other running members attribute to a member.
func (c *cluster) statesOf(name string) map[State]int {
	out := map[State]int{}
	for other, d := range c.detectors {
		if d == nil || other == name {
			continue
		}
		for _, f := range d.Members() {
			if f.Addr == name {
				out[f.State]++
			}
		}
	}
	return out
}

func (c *cluster) run(d time.Duration) { c.network.Run(c.network.Now+d, nil) }

// TestFailureDetection runs seeded clusters with lost datagrams. Members that run are never
// declared dead, even when two of them cannot reach each other or one is paused briefly. A
// stopped member is detected by all others, and is alive to all of them after a restart.
func TestFailureDetection(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		c := newCluster(seed, 14)
		c.run(25 * time.Second)
		for name := range c.detectors {
			// Because of lost datagrams, a member may be suspected at this moment.
			if got := c.statesOf(name); got[Alive]+got[Suspect] != 13 {
				t.Fatalf("seed %d: %s has states %v at the others, want 13 alive or suspect", seed, name, got)
			}
		}
		// Two members that cannot reach each other are still confirmed alive by indirect probes.
		c.network.Cut("m3", "m4", true)
		c.network.Cut("m4", "m3", true)
		// A briefly paused member is not declared dead, and declares no other member dead.
		c.paused["m5"] = true
		c.network.After(1500*time.Millisecond, func() { c.paused["m5"] = false })
		c.run(60 * time.Second)
		if len(c.deaths) != 0 {
			t.Fatalf("seed %d: running members were declared dead: %v", seed, c.deaths)
		}
		// A stopped member is detected by all others.
		c.detectors["m6"] = nil
		c.incarnations["m6"]++
		c.run(20*time.Second + constants.SuspicionTimeout)
		if got := c.statesOf("m6"); got[Alive] != 0 || got[Suspect] != 0 {
			t.Fatalf("seed %d: m6 is stopped, but has states %v at the others", seed, got)
		}
		// After a restart it is alive to all others.
		c.start("m6")
		c.run(25 * time.Second)
		if got := c.statesOf("m6"); got[Alive]+got[Suspect] != 13 {
			t.Fatalf("seed %d: m6 was restarted, but has states %v at the others, want 13 alive or suspect", seed, got)
		}
	}
}
