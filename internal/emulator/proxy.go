package emulator

import (
	"maps"
	"slices"
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/counter"
)

// Limits of simulated proxies.
const (
	attemptTimeout = 400 * time.Millisecond // an attempt without an answer is abandoned after this time
	requestTimeout = 1200 * time.Millisecond
	hedgeAfter     = 200 * time.Millisecond // an idempotent request is then sent to a second upstream as well
	maxAttempts    = 3
)

// Proxy simulates a proxy: it accepts requests, forwards them to upstreams and accounts for
// them with the real meter.
type Proxy struct {
	Name             string
	Up               bool
	Incarnation      int           // increases with each start
	FrozenUntil      time.Duration // the process is paused until then
	OverQuota        float64       // fraction of requests that it refuses
	UnsafeRetryShare float64       // fraction of unanswered non-idempotent requests that it wrongly retries
	world            *World
	meter            *accounts.Meter
	journals         map[counter.IncarnationID]*memoryJournal
	lifeID           counter.IncarnationID
	Wipes            []Wipe
}

// Wipe records the loss of a proxy's process together with its journals.
type Wipe struct {
	Incarnation int
	At          time.Duration
}

// memoryJournal survives the process, as a memory-mapped file does.
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

// RecordSent implements accounts.Journal.
func (j *memoryJournal) RecordSent(shard int, version uint64) bool {
	j.acknowledged[shard] = version
	return true
}

// NewProxy adds a proxy and starts it.
func (w *World) NewProxy(name string) *Proxy {
	p := &Proxy{Name: name, OverQuota: 0.03, UnsafeRetryShare: 0.3, world: w, journals: map[counter.IncarnationID]*memoryJournal{}}
	w.Proxies[name] = p
	w.proxyNames = append(w.proxyNames, name)
	p.Start()
	return p
}

// Start starts a process, which takes over the journals of earlier processes.
func (p *Proxy) Start() {
	if p.Up {
		return
	}
	p.Up = true
	p.Incarnation++
	var ended []accounts.EndedIncarnation
	for _, id := range slices.Sorted(maps.Keys(p.journals)) {
		journal := p.journals[id]
		ended = append(ended, accounts.EndedIncarnation{Incarnation: id, SentVersions: journal.acknowledged, Accounts: maps.Clone(journal.accounts)})
	}
	p.lifeID = counter.IncarnationID(p.world.Rng.Uint64() | 1)
	journal := &memoryJournal{acknowledged: make([]uint64, p.world.Objectives.Shards), accounts: map[string]accounts.Account{}}
	p.journals[p.lifeID] = journal
	p.meter = accounts.NewMeter(p.Name, p.lifeID, p.world.Objectives, journal, ended)
	p.sendReports(p.Incarnation)
}

// Kill ends the process and keeps its journals.
func (p *Proxy) Kill() {
	p.Up = false
}

// Wipe ends the process and erases its journals, as when the machine is replaced.
func (p *Proxy) Wipe() {
	if p.Up {
		p.Wipes = append(p.Wipes, Wipe{p.Incarnation, p.world.Now})
	}
	p.Up = false
	p.journals = map[counter.IncarnationID]*memoryJournal{}
}

// Freeze pauses the process for a time span.
func (p *Proxy) Freeze(span time.Duration) { p.FrozenUntil = p.world.Now + span }

// whenRunning runs do in an incarnation of the process: immediately, or after a freeze, or
// never if that incarnation has ended.
func (p *Proxy) whenRunning(incarnation int, do func()) {
	if !p.Up || p.Incarnation != incarnation {
		return
	}
	if wait := p.FrozenUntil - p.world.Now; wait > 0 {
		p.world.After(wait, func() { p.whenRunning(incarnation, do) })
		return
	}
	do()
}

// receive handles a request that has reached this machine. Without a running process the
// request is lost.
func (p *Proxy) receive(client *Client, request *Request) {
	p.whenRunning(p.Incarnation, func() {
		w := p.world
		request.Accepted, request.Proxy, request.Incarnation, request.AcceptedAt = true, p.Name, p.Incarnation, w.Now
		proxied := &proxiedRequest{proxy: p, incarnation: p.Incarnation, client: client, request: request, account: p.meter.Begin(request.Tenant)}
		if w.Rng.Float64() < p.OverQuota {
			proxied.finish(Throttled)
			return
		}
		w.After(requestTimeout, func() { p.whenRunning(proxied.incarnation, proxied.giveUp) })
		proxied.attempt()
		if !request.NonIdempotent {
			w.After(hedgeAfter, func() { p.whenRunning(proxied.incarnation, proxied.attempt) })
		}
	})
}

// proxiedRequest is a request that a proxy is handling.
type proxiedRequest struct {
	proxy          *Proxy
	incarnation    int
	client         *Client
	request        *Request
	account        *accounts.Request
	attempts       int
	outcomeUnknown bool // an upstream received it and has not reported whether it ran it
	done           bool
}

// attempt forwards the request to an upstream.
func (r *proxiedRequest) attempt() {
	w := r.proxy.world
	names := w.Platform.List()
	if r.done || r.attempts == maxAttempts || len(names) == 0 {
		return
	}
	r.attempts++
	upstream := w.Upstreams[names[w.Rng.IntN(len(names))]]
	answered := false
	r.outcomeUnknown = true
	w.Send(r.proxy.Name, upstream.Name, func() {
		upstream.handle(r.request.ID, func(ran bool) {
			w.Send(upstream.Name, r.proxy.Name, func() {
				r.proxy.whenRunning(r.incarnation, func() {
					answered = true
					r.receiveAnswer(upstream.Name, ran)
				})
			})
		})
	})
	w.After(attemptTimeout, func() {
		r.proxy.whenRunning(r.incarnation, func() {
			if !answered && (!r.request.NonIdempotent || w.Rng.Float64() < r.proxy.UnsafeRetryShare) {
				r.attempt()
			}
		})
	})
}

// receiveAnswer handles an upstream's answer.
func (r *proxiedRequest) receiveAnswer(upstream string, ran bool) {
	if !ran {
		r.outcomeUnknown = r.attempts > 1
		r.attempt()
		return
	}
	r.request.Answers[upstream] = true
	if r.request.NonIdempotent && len(r.request.Answers) > 1 {
		r.account.Doubled()
	}
	r.finish(Success)
}

// giveUp ends a request that has timed out.
func (r *proxiedRequest) giveUp() { r.finish(Failed) }

// finish answers the client and settles the account, once. The proxy detects that it could not
// write to the client.
func (r *proxiedRequest) finish(outcome Outcome) {
	if r.done {
		return
	}
	r.done = true
	w := r.proxy.world
	written := !w.isCut(r.proxy.Name, r.client.Name)
	w.Send(r.proxy.Name, r.client.Name, func() { r.client.receiveAnswer(r.request, outcome) })
	switch {
	case outcome == Throttled:
		r.account.Failure(accounts.Refused)
	case !written:
		r.account.Failure(accounts.Unknown)
	case outcome == Success:
		r.account.Success(w.Now - r.request.AcceptedAt)
	case r.request.NonIdempotent && r.outcomeUnknown:
		r.account.Failure(accounts.Unknown)
	default:
		r.account.Failure(accounts.Lost)
	}
}

// sendReports periodically sends reports to the holders of all shards.
func (p *Proxy) sendReports(incarnation int) {
	if !p.Up || p.Incarnation != incarnation {
		return
	}
	p.world.After(p.world.ReportInterval, func() { p.sendReports(incarnation) })
	if p.FrozenUntil > p.world.Now {
		return
	}
	for shard := range p.world.Objectives.Shards {
		for _, report := range p.meter.PendingReports(shard) {
			p.sendReport(incarnation, report)
		}
	}
}

func (p *Proxy) sendReport(incarnation int, report accounts.Report) {
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
				p.whenRunning(incarnation, func() {
					for _, finished := range p.meter.Acknowledge(ack) {
						delete(p.journals, finished)
					}
				})
			})
		})
	})
}
