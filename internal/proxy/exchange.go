package proxy

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
	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/usage"
)

// exchange is one client request on its way.
type exchange struct {
	proxy     *Proxy
	request   *http.Request
	arrived   time.Time
	deadline  time.Time
	config    *config.Config
	route     *config.Route
	tenant    *config.Tenant
	priority  int
	service   string
	homes     string    // regions it may be served in
	bodyStart []byte    // body held for another offer
	bodyRest  io.Reader // what follows it, offered once
	length    int64     // of the body; -1 unknown
	runs      int       // upstream runs this request may have caused
	sends     int       // upstreams it was sent to
	stop      func() bool
	ranAt     time.Time // when the run that counts as usage was sent
	usageRun  *usage.Run
	account   *accounts.Request // nil where the tenant has no objective
	answered  int               // upstreams that answered as having run it
}

// result is what came of one offer.
type result struct {
	outcome     outcome
	sentAt      time.Time // when it had been sent
	sent        bool      // a byte of the request went out
	notRun      bool      // the upstream said so, or nothing went out
	doubtful    bool      // the answer has no id, and its connection has carried other requests
	abandoned   bool      // the request may not be sent any more: deadline, route or key
	resp        *http.Response
	body        []byte
	conn        *Conn      // when the body is longer than what is held
	onStreamEnd func()     // to be called when a stream is over, before its connection is used again
	stream      *placement // of a stream under way: its place is taken until it ends
	err         error
}

// deliverable says whether the result can be given to the client as it is.
func (r *result) deliverable() bool {
	if r.resp == nil || r.doubtful {
		return false
	}
	switch c := r.resp.StatusCode; {
	case c/100 == 2:
		return r.resp.Header.Get(headerSeal) != ""
	case c == http.StatusTooManyRequests, c == http.StatusServiceUnavailable, c == http.StatusRequestTimeout, c == http.StatusMisdirectedRequest:
		return false // an upstream's own word is not a promise of ours
	}
	return true
}

// release ends the connection of an answer that nobody is to read to its end.
func (r *result) release() {
	if r != nil && r.conn != nil {
		r.conn.upstream.drop(r.conn)
	}
}

// retryable says whether another upstream might do better.
func (r *result) retryable() bool {
	if r.resp == nil || r.doubtful {
		return true
	}
	c := r.resp.StatusCode
	return c >= 500 || c == http.StatusTooManyRequests || c == http.StatusRequestTimeout || c == http.StatusMisdirectedRequest ||
		c/100 == 2 && r.resp.Header.Get(headerSeal) == ""
}

// allowed checks once more, right before bytes go out, that the request may
// still go there: the process may just have woken from a freeze.
func (p *exchange) allowed(u *Upstream) bool {
	if !time.Now().Before(p.deadline) || p.request.Context().Err() != nil || !u.usable(p.homes) {
		return false
	}
	cfg := p.proxy.config.Load()
	if cfg == p.config {
		return true
	}
	route, tenant, code := match(cfg, p.request)
	if code != 0 || !route.RoutesTo(p.service) || (tenant == nil) != (p.tenant == nil) || tenant != nil && tenant.Name != p.tenant.Name ||
		route.Idempotent != p.route.Idempotent {
		return false
	}
	homes := homesOf(config.Homes(route, tenant))
	if !within(homes, u.region) {
		return false
	}
	p.config, p.route, p.tenant, p.homes = cfg, route, tenant, homes
	return true
}

// try offers the request to one upstream and reads its answer.
func (p *exchange) try(of *placement) *result {
	u := of.upstream
	pool := p.proxy.pool
	ctx, cancel := context.WithDeadline(context.WithoutCancel(p.request.Context()), p.deadline)
	defer cancel()
	attempt := p.request.Header.Get(headerAttemptID)
	var conn *Conn
	for again := true; again; {
		var reused bool
		var err error
		conn, reused, err = u.connect(ctx, attempt == "")
		if err != nil {
			how := broken
			if errors.Is(err, errStale) || !time.Now().Before(p.deadline) {
				how = unused
			}
			pool.done(of, how)
			return &result{outcome: how, notRun: true, err: err}
		}
		if !p.allowed(u) {
			u.keep(conn, false)
			pool.done(of, unused)
			return &result{outcome: unused, notRun: true, abandoned: true, err: errStale}
		}
		left := time.Until(p.deadline)
		name := ""
		if p.tenant != nil {
			name = p.tenant.Name
		}
		length := p.length
		if p.route.Stream {
			// A client that goes away frees the upstream's place.
			p.watch(conn)
		}
		head := requestHead(p.request, u.instance.ID, name, left, length)
		sent, err := conn.send(head, p.bodyStart, p.bodyRest, length < 0, p.deadline.Add(constants.AnswerGrace))
		if err != nil && !sent && reused {
			u.drop(conn)
			continue // the connection had ended; not a byte went out
		}
		if err != nil {
			u.drop(conn)
			how := p.blame(err)
			pool.done(of, how)
			return &result{outcome: how, sentAt: time.Now(), sent: sent, notRun: !sent, err: err}
		}
		again = false
	}
	at := time.Now()
	if p.proxy.meter != nil && p.tenant != nil && !p.route.Stream {
		p.proxy.meter.Sent(p.usageRun, p.proxy.window(at), p.tenant.Name)
	}
	return p.read(of, conn, attempt, at)
}

// read takes the answer to what was sent over a connection.
func (p *exchange) read(of *placement, conn *Conn, attempt string, at time.Time) *result {
	u, pool := of.upstream, p.proxy.pool
	resp, err := conn.answer(p.request.Method, attempt)
	if err != nil {
		u.drop(conn)
		how := p.blame(err)
		if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
			how = silent
		}
		pool.done(of, how)
		return &result{outcome: how, sentAt: at, sent: true, err: err}
	}
	if l := resp.Header.Get(headerLoad); l != "" {
		u.noteLoad(l)
	}
	// Without this try's id, on a connection that has carried others, it may be a late
	// word on one of those: nobody is shown it, and nothing is promised on it.
	doubt := conn.used > 0 && resp.Header.Get(headerAttemptID) == ""
	if doubt {
		resp.Close = true // it is not used again
	}
	if p.route.Stream && !doubt && !unframed(resp) && resp.StatusCode/100 == 2 && resp.Header.Get(headerSeal) != "" {
		return p.firstPiece(of, conn, resp, at)
	}
	p.unwatch()
	if resp.StatusCode/100 == 2 && unframed(resp) {
		u.drop(conn)
		pool.done(of, broken)
		return &result{outcome: broken, sentAt: at, sent: true, err: errUnframed}
	}
	body, err := readSome(resp.Body, constants.AnswerBuffer)
	res := &result{outcome: served, sentAt: at, sent: true, resp: resp, body: body, doubtful: doubt}
	switch {
	case err == nil:
		conn.exhausted(resp)
	case errors.Is(err, errLong):
		res.conn = conn
	default:
		u.drop(conn)
		how := p.blame(err)
		pool.done(of, how)
		return &result{outcome: how, sentAt: at, sent: true, err: err}
	}
	switch {
	case resp.Header.Get(headerNotRun) != "" && resp.StatusCode/100 != 2 || resp.StatusCode == http.StatusMisdirectedRequest:
		res.notRun = !doubt
		res.outcome = atCapacity
		if resp.StatusCode == http.StatusMisdirectedRequest {
			res.outcome = broken
		}
	case resp.StatusCode >= 500:
		res.outcome = errored
	}
	pool.done(of, res.outcome)
	return res
}

// blame is how an offer that failed ended. What a client broke by leaving, or by
// breaking its body off, says nothing of the upstream.
func (p *exchange) blame(err error) outcome {
	if p.route.Stream && p.request.Context().Err() != nil || errors.Is(err, errUpload) {
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
func (p *exchange) forward() (*result, int) {
	pool := p.proxy.pool
	now := p.proxy.now()
	p.service = p.route.Pick(rand.Float64())
	p.homes = homesOf(config.Homes(p.route, p.tenant))
	p.proxy.retryBudget.Request(now, p.service)
	skip := map[*Upstream]bool{}
	hold := time.Duration(float64(p.targetLatency()) * constants.HoldShare)
	held := p.arrived.Add(hold)
	var last *result
	dials := 0
	for {
		if p.tooLate() {
			return last, http.StatusServiceUnavailable
		}
		var of *placement
		if last == nil {
			of = pool.Wait(p.request.Context(), p.target(), p.priority, skip, min(time.Until(held), time.Until(p.deadline)))
		} else {
			of = pool.Place(p.target(), skip)
		}
		if of == nil {
			return last, http.StatusServiceUnavailable
		}
		skip[of.upstream] = true
		var res *result
		if p.route.Idempotent && p.bodyRest == nil {
			res = p.hedged(of, skip)
		} else {
			res = p.try(of)
			p.count(res)
		}
		if res.abandoned {
			if last != nil {
				return last, 0
			}
			if cfg := p.proxy.config.Load(); cfg != p.config {
				// The configuration moved on before anything was sent.
				route, tenant, code := match(cfg, p.request)
				if code != 0 {
					return nil, code
				}
				p.config, p.route, p.tenant = cfg, route, tenant
				p.homes = homesOf(config.Homes(route, tenant))
				if !route.RoutesTo(p.service) {
					p.service = route.Pick(rand.Float64())
				}
			}
			if !time.Now().Before(p.deadline) || p.request.Context().Err() != nil {
				return nil, http.StatusServiceUnavailable
			}
			if dials++; dials > constants.MaxDials {
				return nil, http.StatusServiceUnavailable
			}
			continue
		}
		if res.deliverable() && !(p.route.Idempotent && res.retryable()) && !res.notRun {
			last.release()
			return res, 0
		}
		if last == nil || !last.sent || res.resp != nil {
			last.release()
			last = res
		}
		// Another upstream: always when nothing went out, as the request's kind
		// and the budget allow when something did.
		if p.tooLate() || p.request.Context().Err() != nil {
			return last, 0
		}
		if !res.sent {
			if dials++; dials > constants.MaxDials {
				return last, 0
			}
			continue
		}
		if !res.notRun && !p.route.Idempotent || p.bodyRest != nil || p.sends >= p.maxAttempts() || !p.proxy.retryBudget.Take(p.proxy.now(), p.service) {
			return last, 0
		}
	}
}

// tooLate says that the request has so little time left that it would hardly be served,
// and that having been sent it could not be refused with a promise any more.
func (p *exchange) tooLate() bool {
	left := time.Until(p.deadline)
	if left <= constants.MinTimeLeft {
		return true
	}
	if left >= time.Duration(float64(p.targetLatency())*constants.LeastShare) {
		return false
	}
	return left < p.usualDelay()
}

// maxAttempts is how many upstreams the request may be sent to: what its route allowed
// when it came, and what the newest configuration allows.
func (p *exchange) maxAttempts() int {
	cfg := p.proxy.config.Load()
	if cfg == p.config {
		return p.route.MaxAttempts
	}
	route, _, code := match(cfg, p.request)
	if code != 0 {
		return p.route.MaxAttempts // allowed stops it before bytes go out
	}
	return min(p.route.MaxAttempts, route.MaxAttempts)
}

// target is what this request asks of the pool.
func (p *exchange) target() target {
	w := target{service: p.service, homes: p.homes}
	if p.route.Stream {
		w.stream = true
		if p.route.Affinity {
			w.prefix = p.request.Header.Get(headerPrefix)
		}
	}
	return w
}

func (p *exchange) count(r *result) {
	p.countAnswer(r)
	if r.sent {
		p.sends++
		if !r.notRun {
			if p.runs++; p.ranAt.IsZero() || r.resp != nil && r.resp.StatusCode/100 == 2 {
				p.ranAt = r.sentAt
			}
		}
	}
}

func (p *exchange) targetLatency() time.Duration {
	if p.route.TargetLatency > 0 {
		return p.route.TargetLatency
	}
	return p.route.Timeout / 4
}

// hedged offers a repeatable request to one upstream and, when that stays
// silent far beyond the usual, to a second beside it; the first good answer
// counts. The other is left to finish.
func (p *exchange) hedged(of *placement, skip map[*Upstream]bool) *result {
	ch := make(chan *result, 2)
	run := func(of *placement) {
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
			if r.deliverable() && !r.retryable() && !r.notRun {
				if out > 0 {
					p.runs += out // it may well run; its cost is known too late
					go discard(ch, out)
				}
				best.release()
				return r
			}
			if best == nil || !best.sent || r.resp != nil {
				best.release()
				best = r
			}
			if out == 0 {
				return best
			}
		case <-t.C:
			if p.sends+out >= p.maxAttempts() || p.tooLate() {
				continue
			}
			second := p.proxy.pool.Place(p.target(), skip)
			if second == nil {
				continue
			}
			if !p.proxy.retryBudget.Take(p.proxy.now(), p.service) {
				p.proxy.pool.done(second, unused)
				continue
			}
			skip[second.upstream] = true
			p.proxy.hedges.Add(1)
			run(second)
			out++
		}
	}
}

// clone is a copy for an offer made beside another.
func (p *exchange) clone() *exchange { c := *p; return &c }

func discard(ch chan *result, n int) {
	for range n {
		(<-ch).release()
	}
}

func (p *exchange) hedgeAfter() time.Duration {
	usual := float64(p.usualDelay())
	return time.Duration(max(usual*constants.HedgeFactor, float64(p.targetLatency())*constants.HedgeFloor))
}

// usualDelay is the time in which upstreams of the service usually answer.
func (p *exchange) usualDelay() time.Duration {
	pool := p.proxy.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return time.Duration(meanDelay(pool.candidates(p.target()).preferred) * float64(time.Second))
}

// match finds route and tenant, or the status that refuses the request.
func match(cfg *config.Config, r *http.Request) (*config.Route, *config.Tenant, int) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := cfg.Match(r.Host, path)
	if route == nil {
		return nil, nil, http.StatusNotFound
	}
	if route.Public || !cfg.Keyed() {
		return route, nil, 0
	}
	keys := r.Header[headerAPIKey]
	if len(keys) != 1 {
		return nil, nil, http.StatusUnauthorized
	}
	t := cfg.Holder(keys[0])
	if t == nil {
		return nil, nil, http.StatusUnauthorized
	}
	return route, t, 0
}

// budget reads how long the client will wait.
func budget(r *http.Request) time.Duration {
	n, err := strconv.ParseInt(r.Header.Get(headerBudget), 10, 64)
	if err != nil || n < 0 || n > constants.BudgetDefault.Milliseconds()*100 {
		return constants.BudgetDefault
	}
	return time.Duration(n) * time.Millisecond
}
