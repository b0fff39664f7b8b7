package emulator

import (
	"maps"
	"slices"
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/counter"
	"slateridge/internal/simnet"
)

// World is the whole simulation on one simulated network. Its run is determined by its seed.
type World struct {
	*simnet.Network
	Platform       *Platform
	Upstreams      map[string]*Upstream
	Clients        []*Client
	Proxies        map[string]*Proxy
	Controls       map[string]*Control
	Objectives     *accounts.Objectives
	Options        counter.Options
	ReportInterval time.Duration // between a proxy's reports
	DuplicateShare float64       // fraction of messages about accounts that are delivered twice
	LeaseHolders   []string      // by shard: the control machine that holds it
	KnownHolders   []string      // by shard: the control machine that proxies believe to hold it
	ReportBytes    int           // total size of the packed accounts in sent reports
	OnTotals       func(control *Control, shard int, totals map[string]accounts.Account)

	proxyNames   []string
	controlNames []string
	cuts         map[[2]string]bool
	lastID       RequestID
}

// fastOptions replicate and fold often enough for short runs.
var fastOptions = counter.Options{RoundInterval: 300 * time.Millisecond, ResendTimeout: 150 * time.Millisecond, CompactionInterval: time.Second,
	IncarnationsPerCompaction: 4, MaxCellsPerMessage: 3, MaxIncrementalSaves: 4}

// New returns a world without machines for the given objectives.
func New(seed uint64, objectives *accounts.Objectives) *World {
	return &World{Network: simnet.New(seed), Platform: &Platform{upstreams: map[string]*Upstream{}}, Upstreams: map[string]*Upstream{},
		Proxies: map[string]*Proxy{}, Controls: map[string]*Control{}, Objectives: objectives, Options: fastOptions,
		ReportInterval: 250 * time.Millisecond, LeaseHolders: make([]string, objectives.Shards), KnownHolders: make([]string, objectives.Shards), cuts: map[[2]string]bool{}}
}

// MoveShard gives a shard's lease to another control machine, or to none. Proxies learn of it a
// little later.
func (w *World) MoveShard(shard int, control string) {
	w.LeaseHolders[shard] = control
	w.After(100*time.Millisecond, func() { w.KnownHolders[shard] = w.LeaseHolders[shard] })
}

// CutBoth cuts or restores both directions between two machines.
func (w *World) CutBoth(a, b string, cut bool) {
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		w.Cut(pair[0], pair[1], cut)
		w.cuts[pair] = cut
	}
}

// HealAll restores all paths.
func (w *World) HealAll() {
	for pair := range w.cuts {
		w.CutBoth(pair[0], pair[1], false)
	}
}

func (w *World) isCut(from, to string) bool { return w.cuts[[2]string{from, to}] }

// ProxyNames returns the names of the proxies in the order of their creation.
func (w *World) ProxyNames() []string { return slices.Clone(w.proxyNames) }

// ControlNames returns the names of the control machines in the order of their creation.
func (w *World) ControlNames() []string { return slices.Clone(w.controlNames) }

// sendDuplicated sends a message about accounts, sometimes twice.
func (w *World) sendDuplicated(from, to string, deliver func()) {
	w.Send(from, to, deliver)
	if w.Rng.Float64() < w.DuplicateShare {
		w.Send(from, to, deliver)
	}
}

// observe passes the totals that a control machine publishes to OnTotals.
func (w *World) observe(c *Control) {
	if w.OnTotals == nil {
		return
	}
	for shard := range w.LeaseHolders {
		if totals, _, ok := c.Holder.Totals(c.Now(), shard); ok && c.leads(shard) {
			w.OnTotals(c, shard, totals)
		}
	}
}

// Totals returns the accounts of all tenants as published by the holders of their shards.
func (w *World) Totals() map[string]accounts.Account {
	out := map[string]accounts.Account{}
	for _, control := range w.Controls {
		for shard := range w.LeaseHolders {
			if totals, _, ok := control.Holder.Totals(control.Now(), shard); ok && control.Up && control.leads(shard) {
				maps.Copy(out, totals)
			}
		}
	}
	return out
}
