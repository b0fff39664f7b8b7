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

// exchange is the state of one client request while it is being proxied.
type exchange struct {
	proxy    *Proxy
	request  *http.Request
	client   *clientConn // connection the request arrived on; nil if unknown
	arrived  time.Time
	deadline time.Time // the earlier of the end of the client's time budget and the route's timeout
	// The end of the client's time budget. It may be later than the route's timeout: the client
	// can retry elsewhere until then.
	callerDeadline    time.Time
	config            *config.Config
	route             *config.Route
	tenant            *config.Tenant
	priority          int
	service           string
	allowedRegions    string    // regions that may serve the request
	bufferedBody      []byte    // the whole body, if it was buffered and can be sent again
	streamedBody      io.Reader // a body too long to buffer, which can be sent only once
	bodyLength        int64     // -1 if unknown
	executions        int       // executions at upstreams that this request may have caused
	attempts          int       // upstreams the request was sent to
	executedAt        time.Time // when the attempt that counts as usage was sent
	usageRun          *usage.Run
	account           *accounts.Request // nil if the tenant has no objective
	executedResponses int               // responses that confirm an execution of the request
}

// newExchange returns the exchange for a request that arrived at the given time and matches a
// route, and a tenant if the configuration has any.
func (s *Proxy) newExchange(r *http.Request, arrived time.Time, cfg *config.Config, route *config.Route, tenant *config.Tenant) *exchange {
	callerDeadline := arrived.Add(clientTimeBudget(r))
	p := &exchange{
		proxy:          s,
		request:        r,
		client:         clientConnFrom(r),
		arrived:        arrived,
		deadline:       earlier(callerDeadline, arrived.Add(route.Timeout)),
		callerDeadline: callerDeadline,
		config:         cfg,
		route:          route,
		tenant:         tenant,
		priority:       route.Priority,
		service:        route.PickTarget(rand.Float64()),
		allowedRegions: regionsKey(config.AllowedRegions(route, tenant)),
		usageRun:       &usage.Run{},
	}
	if tenant != nil && tenant.HasPriority {
		p.priority = tenant.Priority
	}
	return p
}

// forward makes attempts until one succeeds or no further attempt is allowed, and returns the
// result to relay to the client. A nil result means that the request is refused with the
// returned status.
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
		pl := p.awaitPlacement(skip)
		if pl == nil {
			return last, http.StatusServiceUnavailable
		}
		skip[pl.upstream] = true
		res := p.dispatch(pl, skip)
		if res.abandoned {
			if last != nil {
				return last, 0
			}
			if code := p.revalidate(); code != 0 {
				return nil, code
			}
			if dials++; dials > constants.MaxDials {
				return nil, http.StatusServiceUnavailable
			}
			continue
		}
		if res.deliverable() && !(p.route.Idempotent && res.retryable()) && !res.notExecuted {
			last.release()
			return res, 0
		}
		if last == nil || !last.sent || res.resp != nil {
			last.release()
			last = res
		}
		// If nothing was sent, another upstream may always be tried. Otherwise the route type
		// and the retry budget decide.
		if p.tooLate() || p.clientDisconnected() {
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

// awaitPlacement returns a placement at an upstream, or nil. It waits for one as long as the
// request can still be served in time.
func (p *exchange) awaitPlacement(skip map[*Upstream]bool) *placement {
	pl := p.proxy.pool.Acquire(p.request.Context(), p.target(), p.priority, p.timing().latestStart(time.Now()), skip)
	if pl != nil && p.tooLate() { // time has passed, or the latency estimate has risen meanwhile
		p.proxy.pool.finish(pl, outcomeUnused)
		return nil
	}
	return pl
}

// dispatch sends the request to an upstream. The attempt is hedged by a second one if the route
// is idempotent and the body can be sent again.
func (p *exchange) dispatch(pl *placement, skip map[*Upstream]bool) *result {
	if p.route.Idempotent && p.streamedBody == nil {
		return p.hedged(pl, skip)
	}
	res := p.attempt(pl)
	p.countAttempt(res)
	return res
}

// revalidate matches the request against the current configuration after an attempt was
// abandoned before anything was sent, for example because the configuration has changed. A
// status other than 0 refuses the request.
func (p *exchange) revalidate() int {
	if cfg := p.proxy.config.Load(); cfg != p.config {
		route, tenant, code := matchRequest(cfg, p.request)
		if code != 0 {
			return code
		}
		p.config, p.route, p.tenant = cfg, route, tenant
		p.allowedRegions = regionsKey(config.AllowedRegions(route, tenant))
		if !route.RoutesTo(p.service) {
			p.service = route.PickTarget(rand.Float64())
		}
	}
	if !time.Now().Before(p.deadline) || p.clientDisconnected() {
		return http.StatusServiceUnavailable
	}
	return 0
}

// mayRetry reports whether a request that was already sent may be sent once more, and if so
// takes the retry from the retry budget.
func (p *exchange) mayRetry(res *result) bool {
	if !res.notExecuted && !p.route.Idempotent {
		return false
	}
	if p.streamedBody != nil || p.attempts >= p.maxAttempts() {
		return false
	}
	return p.proxy.retryBudget.Take(p.proxy.now(), p.service)
}

func (p *exchange) tooLate() bool { return p.timing().tooLate(time.Now()) }

// capacityRetryAfter returns the Retry-After for a request refused for lack of capacity.
func (p *exchange) capacityRetryAfter() time.Duration {
	return p.timing().retryAfter(time.Now(), p.proxy.pool.expectedWait(p.target(), p.priority))
}

// maxAttempts returns how many upstreams the request may be sent to: the lower of the limit that
// its route had on arrival and that of the current configuration.
func (p *exchange) maxAttempts() int {
	cfg := p.proxy.config.Load()
	if cfg == p.config {
		return p.route.MaxAttempts
	}
	route, _, code := matchRequest(cfg, p.request)
	if code != 0 {
		return p.route.MaxAttempts // stillAllowed rejects the request before bytes are sent
	}
	return min(p.route.MaxAttempts, route.MaxAttempts)
}

// target returns what the request requires of an upstream.
func (p *exchange) target() target {
	t := target{service: p.service, regions: p.allowedRegions}
	if p.route.Streaming {
		t.stream = true
		if p.route.SessionAffinity {
			t.prefix = p.request.Header.Get(headerPrefix)
		}
	}
	return t
}

// countAttempt counts an attempt that has ended, and its possible execution.
func (p *exchange) countAttempt(res *result) {
	p.recordResponse(res)
	if res.sent {
		p.attempts++
		if !res.notExecuted {
			if p.executions++; p.executedAt.IsZero() || res.resp != nil && res.resp.StatusCode/100 == 2 {
				p.executedAt = res.sentAt
			}
		}
	}
}
