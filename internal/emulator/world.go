package emulator

import (
	"maps"
	"slices"
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/counter"
	"slateridge/internal/simnet"
)

// World is everything that there is, on one simulated network. Its run is decided by its
// seed.
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
	DuplicateShare float64       // share of messages about accounts that arrive twice
	LeaseHolders   []string      // the control machine that holds each shard
	KnownHolders   []string      // the one that proxies believe to hold it
	ReportBytes    int           // of packed accounts in reports sent
	OnTotals       func(control *Control, shard int, totals map[string]accounts.Account)

	proxyNames   []string
	controlNames []string
	cuts         map[[2]string]bool
	lastID       RequestID
}

// fastOptions replicate and fold often enough for short runs.
var fastOptions = counter.Options{RoundEvery: 300 * time.Millisecond, ResendAfter: 150 * time.Millisecond, FoldEvery: time.Second,
	FoldAtMost: 4, CellsAtOnce: 3, SavesAtOnce: 4}

// New makes an empty world for some objectives.
func New(seed uint64, objectives *accounts.Objectives) *World {
	return &World{Network: simnet.New(seed), Platform: &Platform{upstreams: map[string]*Upstream{}}, Upstreams: map[string]*Upstream{},
		Proxies: map[string]*Proxy{}, Controls: map[string]*Control{}, Objectives: objectives, Options: fastOptions,
		ReportInterval: 250 * time.Millisecond, LeaseHolders: make([]string, objectives.Shards), KnownHolders: make([]string, objectives.Shards), cuts: map[[2]string]bool{}}
}

// MoveShard gives a shard's lease to another control machine, or to none; proxies hear of
// it a little later.
func (w *World) MoveShard(shard int, control string) {
	w.LeaseHolders[shard] = control
	w.After(100*time.Millisecond, func() { w.KnownHolders[shard] = w.LeaseHolders[shard] })
}

// CutBoth cuts or joins both directions between two machines.
func (w *World) CutBoth(a, b string, cut bool) {
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		w.Cut(pair[0], pair[1], cut)
		w.cuts[pair] = cut
	}
}

// JoinAll ends all cuts.
func (w *World) JoinAll() {
	for pair := range w.cuts {
		w.CutBoth(pair[0], pair[1], false)
	}
}

func (w *World) isCut(from, to string) bool { return w.cuts[[2]string{from, to}] }

// ProxyNames are the proxies, in the order in which they were made.
func (w *World) ProxyNames() []string { return slices.Clone(w.proxyNames) }

// ControlNames are the control machines, in the order in which they were made.
func (w *World) ControlNames() []string { return slices.Clone(w.controlNames) }

// send delivers a message about accounts, sometimes twice.
func (w *World) sendDuplicated(from, to string, deliver func()) {
	w.Send(from, to, deliver)
	if w.Rng.Float64() < w.DuplicateShare {
		w.Send(from, to, deliver)
	}
}

// observe hands what a control machine publishes to whoever watches.
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

// Totals are the accounts of all tenants, as the holders of their shards publish them.
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
