package controlplane

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/lease"
	"slateridge/internal/simnet"
)

// BenchmarkStep is the regular step of a control machine among eight, all in contact,
// with what the daemon publishes after each step.
func BenchmarkStep(b *testing.B) {
	var names []string
	addr := netip.MustParseAddr("10.0.0.1")
	for range 8 {
		names, addr = append(names, addr.String()), addr.Next()
	}
	c, err := NewChain(0, names[0], names, true, simnet.NewDisk(), rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		b.Fatal(err)
	}
	d := &Daemon{chain: c, leases: lease.New(0, 1, names[0], []string{dutyPoll})}
	heard := func(now time.Duration) {
		for _, n := range names[1:] {
			g := c.Status()
			g.Me = Member{n, 1}
			g.Echo = c.clockBase + uint64(now)
			d.step(func() []any { c.Recv(now, n, g); return nil })
		}
	}
	b.ReportAllocs()
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += constants.ChainTick
		if i%int(constants.HeartbeatEvery/constants.ChainTick) == 0 {
			b.StopTimer()
			heard(now)
			b.StartTimer()
		}
		d.step(func() []any { c.Tick(now); return nil })
	}
}
