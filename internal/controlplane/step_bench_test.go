package controlplane

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/controlplane/chain"
	"slateridge/internal/lease"
	"slateridge/internal/simnet"
)

// BenchmarkStep measures a regular step of one control machine out of eight that are all in
// contact, including the state that the replica publishes after each step.
func BenchmarkStep(b *testing.B) {
	var names []string
	addr := netip.MustParseAddr("10.0.0.1")
	for range 8 {
		names, addr = append(names, addr.String()), addr.Next()
	}
	c, err := chain.New(0, names[0], names, true, simnet.NewDisk(), rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		b.Fatal(err)
	}
	r := &replica{chain: c, send: func(string, any) {}}
	r.leases = newLeases(lease.New(0, 1, names[0], []string{dutyPoll}), func() time.Duration { return 0 }, nil, nil)
	// The first heartbeat reveals the base of this machine's timestamps.
	var base uint64
	for _, e := range c.Tick(0) {
		if s, ok := e.(chain.Send); ok {
			if h, ok := s.Msg.(chain.Heartbeat); ok {
				base = h.At
			}
		}
	}
	receiveHeartbeats := func(now time.Duration) {
		for _, n := range names[1:] {
			heartbeat := c.Status()
			heartbeat.Me = chain.Member{Addr: n, Incarnation: 1}
			heartbeat.Echo = base + uint64(now)
			r.step(func() []chain.Effect { c.Recv(now, n, heartbeat); return nil })
		}
	}
	b.ReportAllocs()
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += constants.ChainTick
		if i%int(constants.HeartbeatInterval/constants.ChainTick) == 0 {
			b.StopTimer()
			receiveHeartbeats(now)
			b.StartTimer()
		}
		r.step(func() []chain.Effect { c.Tick(now); return nil })
	}
}
