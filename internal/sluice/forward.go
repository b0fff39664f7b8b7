package sluice

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/datum"
	"slateridge/internal/scheme"
	"slateridge/internal/usage"
)

// passage is one client request on its way.
type passage struct {
	s        *Sluice
	r        *http.Request
	arrived  time.Time
	deadline time.Time
	sch      *scheme.Scheme
	route    *scheme.Route
	tenant   *scheme.Tenant
	prio     int
	service  string
	homes    string    // regions it may be served in
	head     []byte    // body held for another offer
	rest     io.Reader // what follows it, offered once
	length   int64     // of the body; -1 unknown
	runs     int       // upstream runs this request may have caused
	sends    int       // upstreams it was sent to
	stop     func() bool
	ranAt    time.Time // when the run that counts as usage was sent
	run      *usage.Run
	account  *accounts.Request // nil where the tenant has no objective
	answered int               // upstreams that answered as having run it
}

// result is what came of one offer.
type result struct {
	how    outcome
	at     time.Time // when it had been sent
	sent   bool      // a byte of the request went out
	notRun bool      // the upstream said so, or nothing went out
	doubt  bool      // the answer has no id, and its connection has carried other requests
	gone   bool      // the request may not be sent any more: deadline, route or key
	resp   *http.Response
	body   []byte
	flume  *Flume // when the body is longer than what is held
	ended  func() // to be called when a stream is over, before its connection is used again
	stream *offer // of a stream under way: its place is taken until it ends
	err    error
}

// whole says whether the result can be given to the client as it is.
func (r *result) whole() bool {
	if r.resp == nil || r.doubt {
		return false
	}
	switch c := r.resp.StatusCode; {
	case c/100 == 2:
		return r.resp.Header.Get(hdrSeal) != ""
	case c == http.StatusTooManyRequests, c == http.StatusServiceUnavailable, c == http.StatusRequestTimeout, c == http.StatusMisdirectedRequest:
		return false // an upstream's own word is not a promise of ours
	}
	return true
}

// giveBack ends the connection of an answer that nobody is to read to its end.
func (r *result) giveBack() {
	if r != nil && r.flume != nil {
		r.flume.of.drop(r.flume)
	}
}

// retryable says whether another upstream might do better.
func (r *result) retryable() bool {
	if r.resp == nil || r.doubt {
		return true
	}
	c := r.resp.StatusCode
	return c >= 500 || c == http.StatusTooManyRequests || c == http.StatusRequestTimeout || c == http.StatusMisdirectedRequest ||
		c/100 == 2 && r.resp.Header.Get(hdrSeal) == ""
}

// allowed checks once more, right before bytes go out, that the request may
// still go there: the process may just have woken from a freeze.
func (p *passage) allowed(o *Outfall) bool {
	if !time.Now().Before(p.deadline) || p.r.Context().Err() != nil || !o.usable(p.homes) {
		return false
	}
	sch := p.s.scheme.Load()
	if sch == p.sch {
		return true
	}
	route, tenant, code := match(sch, p.r)
	if code != 0 || !route.Goes(p.service) || (tenant == nil) != (p.tenant == nil) || tenant != nil && tenant.Name != p.tenant.Name ||
		route.Idempotent != p.route.Idempotent {
		return false
	}
	homes := homesOf(scheme.Homes(route, tenant))
	if !within(homes, o.region) {
		return false
	}
	p.sch, p.route, p.tenant, p.homes = sch, route, tenant, homes
	return true
}

// try offers the request to one upstream and reads its answer.
func (p *passage) try(of *offer) *result {
	o := of.of
	y := p.s.yard
	ctx, cancel := context.WithDeadline(context.WithoutCancel(p.r.Context()), p.deadline)
	defer cancel()
	attempt := p.r.Header.Get(hdrAttempt)
	var f *Flume
	for again := true; again; {
		var reused bool
		var err error
		f, reused, err = o.connect(ctx, attempt == "")
		if err != nil {
			how := broken
			if errors.Is(err, errStale) || !time.Now().Before(p.deadline) {
				how = unused
			}
			y.done(of, how)
			return &result{how: how, notRun: true, err: err}
		}
		if !p.allowed(o) {
			o.keep(f, false)
			y.done(of, unused)
			return &result{how: unused, notRun: true, gone: true, err: errStale}
		}
		left := time.Until(p.deadline)
		name := ""
		if p.tenant != nil {
			name = p.tenant.Name
		}
		length := p.length
		if p.route.Stream {
			// A client that goes away frees the upstream's place.
			p.watch(f)
		}
		head := requestHead(p.r, o.inst.ID, name, left, length)
		sent, err := f.send(head, p.head, p.rest, length < 0, p.deadline.Add(datum.AnswerGrace))
		if err != nil && !sent && reused {
			o.drop(f)
			continue // the connection had ended; not a byte went out
		}
		if err != nil {
			o.drop(f)
			how := p.blame(err)
			y.done(of, how)
			return &result{how: how, at: time.Now(), sent: sent, notRun: !sent, err: err}
		}
		again = false
	}
	at := time.Now()
	if p.s.meter != nil && p.tenant != nil && !p.route.Stream {
		p.s.meter.Sent(p.run, p.s.window(at), p.tenant.Name)
	}
	return p.read(of, f, attempt, at)
}

// read takes the answer to what was sent over a connection.
func (p *passage) read(of *offer, f *Flume, attempt string, at time.Time) *result {
	o, y := of.of, p.s.yard
	resp, err := f.answer(p.r.Method, attempt)
	if err != nil {
		o.drop(f)
		how := p.blame(err)
		if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
			how = silent
		}
		y.done(of, how)
		return &result{how: how, at: at, sent: true, err: err}
	}
	if l := resp.Header.Get(hdrLoad); l != "" {
		o.tells(l)
	}
	// Without this try's id, on a connection that has carried others, it may be a late
	// word on one of those: nobody is shown it, and nothing is promised on it.
	doubt := f.used > 0 && resp.Header.Get(hdrAttempt) == ""
	if doubt {
		resp.Close = true // it is not used again
	}
	if p.route.Stream && !doubt && !unframed(resp) && resp.StatusCode/100 == 2 && resp.Header.Get(hdrSeal) != "" {
		return p.firstPiece(of, f, resp, at)
	}
	p.unwatch()
	if resp.StatusCode/100 == 2 && unframed(resp) {
		o.drop(f)
		y.done(of, broken)
		return &result{how: broken, at: at, sent: true, err: errUnframed}
	}
	body, err := readSome(resp.Body, datum.AnswerBuffer)
	res := &result{how: served, at: at, sent: true, resp: resp, body: body, doubt: doubt}
	switch {
	case err == nil:
		f.over(resp)
	case errors.Is(err, errLong):
		res.flume = f
	default:
		o.drop(f)
		how := p.blame(err)
		y.done(of, how)
		return &result{how: how, at: at, sent: true, err: err}
	}
	switch {
	case resp.Header.Get(hdrNotRun) != "" && resp.StatusCode/100 != 2 || resp.StatusCode == http.StatusMisdirectedRequest:
		res.notRun = !doubt
		res.how = full
		if resp.StatusCode == http.StatusMisdirectedRequest {
			res.how = broken
		}
	case resp.StatusCode >= 500:
		res.how = errored
	}
	y.done(of, res.how)
	return res
}

// blame is how an offer that failed ended. What a client broke by leaving, or by
// breaking its body off, says nothing of the upstream.
func (p *passage) blame(err error) outcome {
	if p.route.Stream && p.r.Context().Err() != nil || errors.Is(err, errUpload) {
		return unused
	}
	return broken
}

var errLong = errors.New("longer than what is held")

// readSome reads a body whole, or says that it is longer than max.
func readSome(r io.Reader, max int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, int64(max)+1))
	if err == nil && len(b) > max {
		err = errLong
	}
	return b, err
}

// forward offers the request until it is served or nothing more may be done,
// and gives the result to hand to the client; nil with a status means refusal.
func (p *passage) forward() (*result, int) {
	y := p.s.yard
	now := p.s.now()
	p.service = p.route.Pick(rand.Float64())
	p.homes = homesOf(scheme.Homes(p.route, p.tenant))
	p.s.allow.Request(now, p.service)
	skip := map[*Outfall]bool{}
	hold := time.Duration(float64(p.aim()) * datum.HoldShare)
	held := p.arrived.Add(hold)
	var last *result
	dials := 0
	for {
		if p.tooLate() {
			return last, http.StatusServiceUnavailable
		}
		var of *offer
		if last == nil {
			of = y.Wait(p.r.Context(), p.want(), p.prio, skip, min(time.Until(held), time.Until(p.deadline)))
		} else {
			of = y.Place(p.want(), skip)
		}
		if of == nil {
			return last, http.StatusServiceUnavailable
		}
		skip[of.of] = true
		var res *result
		if p.route.Idempotent && p.rest == nil {
			res = p.hedged(of, skip)
		} else {
			res = p.try(of)
			p.count(res)
		}
		if res.gone {
			if last != nil {
				return last, 0
			}
			if sch := p.s.scheme.Load(); sch != p.sch {
				// The configuration moved on before anything was sent.
				route, tenant, code := match(sch, p.r)
				if code != 0 {
					return nil, code
				}
				p.sch, p.route, p.tenant = sch, route, tenant
				p.homes = homesOf(scheme.Homes(route, tenant))
				if !route.Goes(p.service) {
					p.service = route.Pick(rand.Float64())
				}
			}
			if !time.Now().Before(p.deadline) || p.r.Context().Err() != nil {
				return nil, http.StatusServiceUnavailable
			}
			if dials++; dials > datum.MaxDials {
				return nil, http.StatusServiceUnavailable
			}
			continue
		}
		if res.whole() && !(p.route.Idempotent && res.retryable()) && !res.notRun {
			last.giveBack()
			return res, 0
		}
		if last == nil || !last.sent || res.resp != nil {
			last.giveBack()
			last = res
		}
		// Another upstream: always when nothing went out, as the request's kind
		// and the budget allow when something did.
		if p.tooLate() || p.r.Context().Err() != nil {
			return last, 0
		}
		if !res.sent {
			if dials++; dials > datum.MaxDials {
				return last, 0
			}
			continue
		}
		if !res.notRun && !p.route.Idempotent || p.rest != nil || p.sends >= p.maxAttempts() || !p.s.allow.Take(p.s.now(), p.service) {
			return last, 0
		}
	}
}

// tooLate says that the request has so little time left that it would hardly be served,
// and that having been sent it could not be refused with a promise any more.
func (p *passage) tooLate() bool {
	left := time.Until(p.deadline)
	if left <= datum.LeastLeft {
		return true
	}
	if left >= time.Duration(float64(p.aim())*datum.LeastShare) {
		return false
	}
	return left < p.usualDelay()
}

// maxAttempts is how many upstreams the request may be sent to: what its route allowed
// when it came, and what the newest configuration allows.
func (p *passage) maxAttempts() int {
	sch := p.s.scheme.Load()
	if sch == p.sch {
		return p.route.MaxAttempts
	}
	route, _, code := match(sch, p.r)
	if code != 0 {
		return p.route.MaxAttempts // allowed stops it before bytes go out
	}
	return min(p.route.MaxAttempts, route.MaxAttempts)
}

// want is what this request asks of the yard.
func (p *passage) want() want {
	w := want{service: p.service, homes: p.homes}
	if p.route.Stream {
		w.stream = true
		if p.route.Affinity {
			w.prefix = p.r.Header.Get(hdrPrefix)
		}
	}
	return w
}

func (p *passage) count(r *result) {
	p.countAnswer(r)
	if r.sent {
		p.sends++
		if !r.notRun {
			if p.runs++; p.ranAt.IsZero() || r.resp != nil && r.resp.StatusCode/100 == 2 {
				p.ranAt = r.at
			}
		}
	}
}

func (p *passage) aim() time.Duration {
	if p.route.Aim > 0 {
		return p.route.Aim
	}
	return p.route.Timeout / 4
}

// hedged offers a repeatable request to one upstream and, when that stays
// silent far beyond the usual, to a second beside it; the first good answer
// counts. The other is left to finish.
func (p *passage) hedged(of *offer, skip map[*Outfall]bool) *result {
	ch := make(chan *result, 2)
	run := func(of *offer) {
		c := p.clone() // before the goroutine begins: answers that come meanwhile change p
		go func() { ch <- c.try(of) }()
	}
	run(of)
	out := 1
	t := time.NewTimer(p.hedgeAfter())
	defer t.Stop()
	var best *result
	for {
		select {
		case r := <-ch:
			out--
			p.count(r)
			if r.whole() && !r.retryable() && !r.notRun {
				if out > 0 {
					p.runs += out // it may well run; its cost is known too late
					go discard(ch, out)
				}
				best.giveBack()
				return r
			}
			if best == nil || !best.sent || r.resp != nil {
				best.giveBack()
				best = r
			}
			if out == 0 {
				return best
			}
		case <-t.C:
			if p.sends+out >= p.maxAttempts() || p.tooLate() {
				continue
			}
			second := p.s.yard.Place(p.want(), skip)
			if second == nil {
				continue
			}
			if !p.s.allow.Take(p.s.now(), p.service) {
				p.s.yard.done(second, unused)
				continue
			}
			skip[second.of] = true
			p.s.hedges.Add(1)
			run(second)
			out++
		}
	}
}

// clone is a copy for an offer made beside another.
func (p *passage) clone() *passage { c := *p; return &c }

func discard(ch chan *result, n int) {
	for range n {
		(<-ch).giveBack()
	}
}

func (p *passage) hedgeAfter() time.Duration {
	usual := float64(p.usualDelay())
	return time.Duration(max(usual*datum.HedgeFactor, float64(p.aim())*datum.HedgeFloor))
}

// usualDelay is the time in which upstreams of the service usually answer.
func (p *passage) usualDelay() time.Duration {
	y := p.s.yard
	y.mu.Lock()
	defer y.mu.Unlock()
	return time.Duration(meanDelay(y.pick(p.want()).few) * float64(time.Second))
}

// match finds route and tenant, or the status that refuses the request.
func match(sch *scheme.Scheme, r *http.Request) (*scheme.Route, *scheme.Tenant, int) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := sch.Match(r.Host, path)
	if route == nil {
		return nil, nil, http.StatusNotFound
	}
	if route.Public || !sch.Keyed() {
		return route, nil, 0
	}
	keys := r.Header[hdrKey]
	if len(keys) != 1 {
		return nil, nil, http.StatusUnauthorized
	}
	t := sch.Holder(keys[0])
	if t == nil {
		return nil, nil, http.StatusUnauthorized
	}
	return route, t, 0
}

// budget reads how long the client will wait.
func budget(r *http.Request) time.Duration {
	n, err := strconv.ParseInt(r.Header.Get(hdrBudget), 10, 64)
	if err != nil || n < 0 || n > datum.BudgetDefault.Milliseconds()*100 {
		return datum.BudgetDefault
	}
	return time.Duration(n) * time.Millisecond
}
