package proxy

import (
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/usage"
)

// exchange is one client request on its way.
type exchange struct {
	proxy    *Proxy
	request  *http.Request
	client   *clientConn // that the request came on; nil where it isn't known
	arrived  time.Time
	deadline time.Time // the end of the caller's budget or of the route's timeout
	// The caller's budget may last beyond the timeout: it can be served elsewhere until then.
	callerUntil time.Time
	config      *config.Config
	route       *config.Route
	tenant      *config.Tenant
	priority    int
	service     string
	homes       string    // regions it may be served in
	bodyStart   []byte    // body held for another offer
	bodyRest    io.Reader // what follows it, offered once
	length      int64     // of the body; -1 unknown
	runs        int       // upstream runs this request may have caused
	sends       int       // upstreams it was sent to
	ranAt       time.Time // when the run that counts as usage was sent
	usageRun    *usage.Run
	account     *accounts.Request // nil where the tenant has no objective
	answered    int               // upstreams that answered as having run it
}

// newExchange is a request that came at a moment and matches a route, and a tenant where
// there are any.
func (s *Proxy) newExchange(r *http.Request, arrived time.Time, cfg *config.Config, route *config.Route, tenant *config.Tenant) *exchange {
	callerUntil := arrived.Add(clientTimeBudget(r))
	p := &exchange{
		proxy:       s,
		request:     r,
		client:      clientConnOf(r),
		arrived:     arrived,
		deadline:    earlier(callerUntil, arrived.Add(route.Timeout)),
		callerUntil: callerUntil,
		config:      cfg,
		route:       route,
		tenant:      tenant,
		priority:    route.Priority,
		service:     route.Pick(rand.Float64()),
		homes:       regionsKey(config.Homes(route, tenant)),
		usageRun:    &usage.Run{},
	}
	if tenant != nil && tenant.HasPriority {
		p.priority = tenant.Priority
	}
	return p
}

// forward offers the request until it is served or nothing more may be done,
// and gives the result to hand to the client; nil with a status means refusal.
func (p *exchange) forward() (*result, int) {
	now := p.proxy.now()
	p.proxy.retryBudget.RecordRequest(now, p.service)
	skip := map[*Upstream]bool{}
	var last *result
	dials := 0
	for {
		if p.tooLate() {
			return last, http.StatusServiceUnavailable
		}
		of := p.place(skip)
		if of == nil {
			return last, http.StatusServiceUnavailable
		}
		skip[of.upstream] = true
		res := p.offer(of, skip)
		if res.abandoned {
			if last != nil {
				return last, 0
			}
			if code := p.resume(); code != 0 {
				return nil, code
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
		if p.tooLate() || p.clientLeft() {
			return last, 0
		}
		if !res.sent {
			if dials++; dials > constants.MaxDials {
				return last, 0
			}
			continue
		}
		if !p.mayRetry(res) {
			return last, 0
		}
	}
}

// place finds room for an offer, or nil; it waits for it while that is of use.
func (p *exchange) place(skip map[*Upstream]bool) *placement {
	of := p.proxy.pool.Wait(p.request.Context(), p.target(), p.priority, p.timing().latestStart(time.Now()), skip)
	if of != nil && p.tooLate() { // by now, or by what has been learned of the work meanwhile
		p.proxy.pool.finish(of, outcomeUnused)
		return nil
	}
	return of
}

// offer makes one offer of the request, and a second beside it where it may be repeated.
func (p *exchange) offer(of *placement, skip map[*Upstream]bool) *result {
	if p.route.Idempotent && p.bodyRest == nil {
		return p.hedged(of, skip)
	}
	res := p.try(of)
	p.count(res)
	return res
}

// resume looks at the request again after an offer was abandoned before anything was
// sent, as when the configuration moved on; a status refuses it.
func (p *exchange) resume() int {
	if cfg := p.proxy.config.Load(); cfg != p.config {
		route, tenant, code := matchRequest(cfg, p.request)
		if code != 0 {
			return code
		}
		p.config, p.route, p.tenant = cfg, route, tenant
		p.homes = regionsKey(config.Homes(route, tenant))
		if !route.RoutesTo(p.service) {
			p.service = route.Pick(rand.Float64())
		}
	}
	if !time.Now().Before(p.deadline) || p.clientLeft() {
		return http.StatusServiceUnavailable
	}
	return 0
}

// mayRetry says whether a request that was sent may be sent once more, and takes that
// from the retry budget.
func (p *exchange) mayRetry(res *result) bool {
	if !res.notRun && !p.route.Idempotent {
		return false
	}
	if p.bodyRest != nil || p.sends >= p.maxAttempts() {
		return false
	}
	return p.proxy.retryBudget.Take(p.proxy.now(), p.service)
}

func (p *exchange) tooLate() bool { return p.timing().tooLate(time.Now()) }

// capacityRetry is what a caller is told that was refused for want of room.
func (p *exchange) capacityRetry() time.Duration {
	return p.timing().retryAfter(time.Now(), p.proxy.pool.roomDue(p.target(), p.priority))
}

// maxAttempts is how many upstreams the request may be sent to: what its route allowed
// when it came, and what the newest configuration allows.
func (p *exchange) maxAttempts() int {
	cfg := p.proxy.config.Load()
	if cfg == p.config {
		return p.route.MaxAttempts
	}
	route, _, code := matchRequest(cfg, p.request)
	if code != 0 {
		return p.route.MaxAttempts // allowed stops it before bytes go out
	}
	return min(p.route.MaxAttempts, route.MaxAttempts)
}

// target is what this request asks of the pool.
func (p *exchange) target() target {
	w := target{service: p.service, regions: p.homes}
	if p.route.Stream {
		w.stream = true
		if p.route.Affinity {
			w.prefix = p.request.Header.Get(headerPrefix)
		}
	}
	return w
}

func (p *exchange) count(r *result) {
	p.recordResponse(r)
	if r.sent {
		p.sends++
		if !r.notRun {
			if p.runs++; p.ranAt.IsZero() || r.resp != nil && r.resp.StatusCode/100 == 2 {
				p.ranAt = r.sentAt
			}
		}
	}
}
