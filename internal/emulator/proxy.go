package emulator

import (
	"maps"
	"slices"
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/counter"
)

// Times of the stand-in proxies.
const (
	attemptTimeout = 400 * time.Millisecond // an upstream silent so long is given up
	requestTimeout = 1200 * time.Millisecond
	hedgeAfter     = 200 * time.Millisecond // a read is sent to a second upstream beside the first
	maxAttempts    = 3
)

// Proxy is a stand-in for a proxy: it takes requests, offers them to upstreams, and
// accounts for them with the real meter.
type Proxy struct {
	Name             string
	Up               bool
	Incarnation      int           // rises with each start
	FrozenUntil      time.Duration // until then it does nothing
	OverQuota        float64       // share of requests it turns away
	UnsafeRetryShare float64       // share of silent orders that it wrongly offers again
	world            *World
	meter            *accounts.Meter
	journals         map[counter.LifeID]*memoryJournal
	incarnation      counter.LifeID
	Wipes            []Wipe
}

// Wipe is a loss of a proxy's process together with its journals.
type Wipe struct {
	Incarnation int
	At          time.Duration
}

// memoryJournal outlasts the process, as a mapped file does.
type memoryJournal struct {
	acknowledged []uint64
	accounts     map[string]accounts.Account
}

// Record implements accounts.Journal.
func (j *memoryJournal) Record(tenant string, account *accounts.Account) {
	kept := *account
	kept.Latency = nil
	j.accounts[tenant] = kept
}

// Told implements accounts.Journal.
func (j *memoryJournal) Told(shard int, version uint64) bool {
	j.acknowledged[shard] = version
	return true
}

// NewProxy makes a proxy and starts it.
func (w *World) NewProxy(name string) *Proxy {
	p := &Proxy{Name: name, OverQuota: 0.03, UnsafeRetryShare: 0.3, world: w, journals: map[counter.LifeID]*memoryJournal{}}
	w.Proxies[name] = p
	w.proxyNames = append(w.proxyNames, name)
	p.Start()
	return p
}

// Start begins a process, which takes up the journals of those before.
func (p *Proxy) Start() {
	if p.Up {
		return
	}
	p.Up = true
	p.Incarnation++
	var ended []accounts.EndedLife
	for _, life := range slices.Sorted(maps.Keys(p.journals)) {
		journal := p.journals[life]
		ended = append(ended, accounts.EndedLife{Life: life, Told: journal.acknowledged, Accounts: maps.Clone(journal.accounts)})
	}
	p.incarnation = counter.LifeID(p.world.Rng.Uint64() | 1)
	journal := &memoryJournal{acknowledged: make([]uint64, p.world.Objectives.Shards), accounts: map[string]accounts.Account{}}
	p.journals[p.incarnation] = journal
	p.meter = accounts.NewMeter(p.Name, p.incarnation, p.world.Objectives, journal, ended)
	p.sendReports(p.Incarnation)
}

// Kill ends the process; its journal stays.
func (p *Proxy) Kill() {
	p.Up = false
}

// Wipe ends the process and loses its journals, as when the machine is replaced.
func (p *Proxy) Wipe() {
	if p.Up {
		p.Wipes = append(p.Wipes, Wipe{p.Incarnation, p.world.Now})
	}
	p.Up = false
	p.journals = map[counter.LifeID]*memoryJournal{}
}

// Freeze has the process stand still for a while.
func (p *Proxy) Freeze(span time.Duration) { p.FrozenUntil = p.world.Now + span }

// when runs something in a life of the process: at once, after a freeze, or never if that
// life is over.
func (p *Proxy) whenRunning(life int, do func()) {
	if !p.Up || p.Incarnation != life {
		return
	}
	if wait := p.FrozenUntil - p.world.Now; wait > 0 {
		p.world.After(wait, func() { p.whenRunning(life, do) })
		return
	}
	do()
}

// receive takes a request that has reached this machine; with no process there, it is lost.
func (p *Proxy) receive(client *Client, request *Request) {
	p.whenRunning(p.Incarnation, func() {
		w := p.world
		request.Accepted, request.Proxy, request.Incarnation, request.AcceptedAt = true, p.Name, p.Incarnation, w.Now
		passage := &proxiedRequest{proxy: p, life: p.Incarnation, client: client, request: request, account: p.meter.Begin(request.Tenant)}
		if w.Rng.Float64() < p.OverQuota {
			passage.finish(Throttled)
			return
		}
		w.After(requestTimeout, func() { p.whenRunning(passage.life, passage.giveUp) })
		passage.attempt()
		if !request.NonIdempotent {
			w.After(hedgeAfter, func() { p.whenRunning(passage.life, passage.attempt) })
		}
	})
}

// passage is a request on its way through a proxy.
type proxiedRequest struct {
	proxy          *Proxy
	life           int
	client         *Client
	request        *Request
	account        *accounts.Request
	attempts       int
	outcomeUnknown bool // an upstream was sent it and has not said whether it ran
	done           bool
}

// try offers the request to an upstream.
func (g *proxiedRequest) attempt() {
	w := g.proxy.world
	names := w.Platform.List()
	if g.done || g.attempts == maxAttempts || len(names) == 0 {
		return
	}
	g.attempts++
	upstream := w.Upstreams[names[w.Rng.IntN(len(names))]]
	answered := false
	g.outcomeUnknown = true
	w.Send(g.proxy.Name, upstream.Name, func() {
		upstream.handle(g.request.ID, func(ran bool) {
			w.Send(upstream.Name, g.proxy.Name, func() {
				g.proxy.whenRunning(g.life, func() {
					answered = true
					g.receiveAnswer(upstream.Name, ran)
				})
			})
		})
	})
	w.After(attemptTimeout, func() {
		g.proxy.whenRunning(g.life, func() {
			if !answered && (!g.request.NonIdempotent || w.Rng.Float64() < g.proxy.UnsafeRetryShare) {
				g.attempt()
			}
		})
	})
}

// hear takes an upstream's word.
func (g *proxiedRequest) receiveAnswer(upstream string, ran bool) {
	if !ran {
		g.outcomeUnknown = g.attempts > 1
		g.attempt()
		return
	}
	g.request.Answers[upstream] = true
	if g.request.NonIdempotent && len(g.request.Answers) > 1 {
		g.account.Doubled()
	}
	g.finish(Success)
}

// giveUp ends a request that has taken too long.
func (g *proxiedRequest) giveUp() { g.finish(Failed) }

// answer tells the client and settles the account, once. The proxy notices where it could
// not write to the client.
func (g *proxiedRequest) finish(told Outcome) {
	if g.done {
		return
	}
	g.done = true
	w := g.proxy.world
	written := !w.isCut(g.proxy.Name, g.client.Name)
	w.Send(g.proxy.Name, g.client.Name, func() { g.client.receiveAnswer(g.request, told) })
	switch {
	case told == Throttled:
		g.account.Failure(accounts.Refused)
	case !written:
		g.account.Failure(accounts.Unknown)
	case told == Success:
		g.account.Success(w.Now - g.request.AcceptedAt)
	case g.request.NonIdempotent && g.outcomeUnknown:
		g.account.Failure(accounts.Unknown)
	default:
		g.account.Failure(accounts.Lost)
	}
}

// tell brings reports to the holders of all shards, again and again.
func (p *Proxy) sendReports(life int) {
	if !p.Up || p.Incarnation != life {
		return
	}
	p.world.After(p.world.ReportInterval, func() { p.sendReports(life) })
	if p.FrozenUntil > p.world.Now {
		return
	}
	for shard := range p.world.Objectives.Shards {
		for _, report := range p.meter.Reports(shard) {
			p.sendReport(life, report)
		}
	}
}

func (p *Proxy) sendReport(life int, report accounts.Report) {
	w := p.world
	holder := w.Controls[w.KnownHolders[report.Shard]]
	if holder == nil {
		return
	}
	w.ReportBytes += len(report.Packed)
	w.sendDuplicated(p.Name, holder.Name, func() {
		holder.whenRunning(holder.Incarnation, func() {
			ack := holder.handleReport(report)
			w.sendDuplicated(holder.Name, p.Name, func() {
				p.whenRunning(life, func() {
					for _, finished := range p.meter.Acknowledge(ack) {
						delete(p.journals, finished)
					}
				})
			})
		})
	})
}
