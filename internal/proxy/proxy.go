// Package proxy accepts client requests, matches them to routes, applies admission control,
// forwards them to upstreams and relays the responses.
package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"slateridge/internal/accounts"
	"slateridge/internal/admission"
	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/eventlog"
	"slateridge/internal/usage"
)

// Proxy handles the requests of one proxy process.
type Proxy struct {
	events         *eventlog.Log
	startedAt      time.Time
	config         atomic.Pointer[config.Config]
	pool           *Pool
	limiter        *admission.Limiter
	meter          *usage.Meter // nil if usage is not reported
	window         func(at time.Time) uint64
	accounts       *accounts.Meter // nil if tenants have no objectives
	retryBudget    *RetryBudget
	requestTokens  func(key string, until time.Time) // requests tokens from a key's tracker; returns by the given time, with or without a reply
	shuttingDown   atomic.Bool
	hedges         atomic.Uint64
	openRequests   atomic.Int64
	lag            lagDetector
	outcomeCounts  [len(countNames)]atomic.Uint64
	keyTrustPeriod time.Duration    // how long a key is accepted without confirmation from the control plane; 0 for no limit
	readIndexAt    func() time.Time // when the configuration in force was last confirmed to be the newest

	streams          atomic.Int64  // in progress
	streamsCut       atomic.Uint64 // ended early by their upstream
	streamsAbandoned atomic.Uint64 // ended by their client
	histograms       *histograms
}

// histograms holds the latency histograms of streams.
type histograms struct {
	set                       *metrics.Set
	firstChunk, chunkInterval *metrics.Histogram
}

func newHistograms() *histograms {
	h := &histograms{set: metrics.NewSet()}
	h.firstChunk = h.set.NewHistogram("slateridge_stream_first_piece_seconds")
	h.chunkInterval = h.set.NewHistogram("slateridge_stream_pause_seconds")
	return h
}

// Request outcomes, used as indices into outcomeCounts and countNames.
const (
	countServed = iota
	countKeyUnknown
	countNoRoute
	countOverQuota
	countNoCapacity
	countFailed
	countKeyUnconfirmed
	countClientLeft
)

var countNames = [...]string{"served", "key_unknown", "no_route", "over_quota", "no_capacity", "failed", "key_unsure", "client_left"}

func (s *Proxy) now() time.Duration { return time.Since(s.startedAt) }

// refuse responds to a request that was not sent to any upstream, or that was not executed by
// any if the status guarantees that.
func (s *Proxy) refuse(w http.ResponseWriter, r *http.Request, code int, retry time.Duration) {
	h := w.Header()
	if id := r.Header.Get(headerAttemptID); id != "" {
		h.Set(headerAttemptID, id)
	}
	if retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	w.WriteHeader(code)
}

// ServeHTTP handles every client request.
func (s *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	if s.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	cfg := s.config.Load()
	if cfg == nil {
		s.outcomeCounts[countNoCapacity].Add(1)
		s.refuse(w, r, http.StatusServiceUnavailable, configRetryAfter(arrived, r))
		return
	}
	route, tenant, code := matchRequest(cfg, r)
	if code != 0 {
		s.outcomeCounts[map[int]int{http.StatusNotFound: countNoRoute, http.StatusUnauthorized: countKeyUnknown}[code]].Add(1)
		s.refuse(w, r, code, 0)
		return
	}
	if code := tooLarge(cfg, r); code != 0 {
		s.refuse(w, r, code, 0)
		return
	}
	p := s.newExchange(r, arrived, cfg, route, tenant)
	p.client.setHandling(true)
	defer p.client.setHandling(false)
	if tenant != nil {
		if p.account = s.accounts.Begin(tenant.Name); p.account != nil {
			defer p.settleUnfinished()
		}
		if !s.admit(w, p) {
			return
		}
	}
	if s.meter != nil && tenant != nil {
		w := s.window(arrived)
		s.meter.BeginRequest(w)
		defer s.meter.EndRequest(w)
	}
	if code := p.readBody(w); code != 0 {
		p.settleCost()
		p.account.Failure(accounts.Refused)
		s.refuse(w, r, code, 0)
		return
	}
	res, code := p.forward()
	p.settleCost()
	s.reply(w, p, res, code)
}

// settleCost debits the tenant's quota by the number of executions, and counts the request's
// usage.
func (p *exchange) settleCost() {
	if p.tenant == nil {
		return
	}
	p.proxy.limiter.Settle(p.proxy.now(), p.tenant.Name, p.executions)
	meter := p.proxy.meter
	if meter == nil {
		return
	}
	meter.EndRun(p.usageRun)
	if p.executions > 0 && !p.route.Streaming { // streams are counted at their first chunk
		meter.Count(p.proxy.window(p.executedAt), p.tenant.Name)
	}
}

// tooLarge returns the status that refuses a request that exceeds the client limits, or 0.
func tooLarge(cfg *config.Config, r *http.Request) int {
	if cfg.Limits.MaxBodyBytes > 0 && r.ContentLength > cfg.Limits.MaxBodyBytes {
		return http.StatusRequestEntityTooLarge
	}
	if cfg.Limits.MaxHeaderBytes > 0 && requestHeaderSize(r) > cfg.Limits.MaxHeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return 0
}

// admit reports whether a tenant's request is admitted by its key and its quota, and refuses the
// request if not.
func (s *Proxy) admit(w http.ResponseWriter, p *exchange) bool {
	if s.keyTrustPeriod > 0 && p.arrived.Sub(s.readIndexAt()) > s.keyTrustPeriod {
		// The key may have been revoked without this proxy having learned of it.
		s.outcomeCounts[countKeyUnconfirmed].Add(1)
		s.refuse(w, p.request, http.StatusServiceUnavailable, configRetryAfter(p.arrived, p.request))
		return false
	}
	decision := s.limiter.Admit(s.now(), p.tenant.Name, false)
	if decision.AskTracker {
		s.requestTokens(p.tenant.Name, p.timing().latestStart(time.Now()))
		decision = s.limiter.Admit(s.now(), p.tenant.Name, true)
	}
	if !decision.OK {
		s.outcomeCounts[countOverQuota].Add(1)
		p.account.Failure(accounts.Refused)
		s.refuse(w, p.request, http.StatusTooManyRequests, decision.RetryAfter)
		return false
	}
	return true
}

func requestHeaderSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, vs := range r.Header {
		for _, v := range vs {
			size += len(k) + len(v) + 4
		}
	}
	return size
}

// timedBody reads a client's body until the request's deadline. The read deadline is cleared at
// the end of the body, since the connection continues to be read for other purposes.
type timedBody struct {
	body    io.Reader
	control *http.ResponseController
}

func newTimedBody(w http.ResponseWriter, body io.Reader, deadline time.Time) *timedBody {
	t := &timedBody{body: body, control: http.NewResponseController(w)}
	t.control.SetReadDeadline(deadline)
	return t
}

func (t *timedBody) Read(b []byte) (int, error) {
	n, err := t.body.Read(b)
	if err == io.EOF {
		t.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// readBody buffers the body, or only its beginning if it is long. It returns a status that
// refuses the request, or 0.
func (p *exchange) readBody(w http.ResponseWriter) int {
	r := p.request
	p.bodyLength = r.ContentLength
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		p.bodyLength = 0
		return 0
	}
	body := io.Reader(r.Body)
	if limit := p.config.Limits.MaxBodyBytes; limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	body = newTimedBody(w, body, p.deadline)
	start, err := io.ReadAll(io.LimitReader(body, constants.RequestBufferBytes))
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			w.Header().Set("Connection", "close") // the rest of the body may still arrive
			return http.StatusRequestTimeout
		}
		if _, tooLong := err.(*http.MaxBytesError); tooLong {
			return http.StatusRequestEntityTooLarge
		}
		return http.StatusBadRequest
	}
	if len(start) < constants.RequestBufferBytes {
		p.bufferedBody, p.bodyLength = start, int64(len(start))
		return 0
	}
	if r.ContentLength == int64(len(start)) {
		p.bufferedBody = start
		return 0
	}
	p.streamedBody = io.MultiReader(bytes.NewReader(start), body)
	return 0
}

// reply sends the client the result of the request.
func (s *Proxy) reply(w http.ResponseWriter, p *exchange, res *result, code int) {
	r := p.request
	if res == nil {
		if code == http.StatusServiceUnavailable {
			p.countUnserved(countNoCapacity)
			s.refuse(w, r, code, p.capacityRetryAfter())
			return
		}
		s.outcomeCounts[map[int]int{http.StatusNotFound: countNoRoute, http.StatusUnauthorized: countKeyUnknown}[code]].Add(1)
		p.account.Failure(accounts.Refused)
		s.refuse(w, r, code, 0)
		return
	}
	if res.deliverable() && !(res.notExecuted && res.resp.StatusCode >= 500) {
		responseTime := time.Since(p.arrived) // a stream meets the latency objective if its first chunk does
		s.relay(w, p, res)
		p.settleResponse(res, responseTime)
		return
	}
	res.release()
	p.settleFailed()
	switch {
	case p.executions == 0 && p.attempts == 0 || p.executions == 0 && res.notExecuted:
		// Nothing was executed, and nothing will be: the refusal may guarantee that.
		p.countUnserved(countNoCapacity)
		s.refuse(w, r, http.StatusServiceUnavailable, p.capacityRetryAfter())
	case res.outcome == outcomeTimeout || !time.Now().Before(p.deadline):
		p.countUnserved(countFailed)
		s.refuse(w, r, http.StatusGatewayTimeout, 0)
	default:
		p.countUnserved(countFailed)
		s.refuse(w, r, http.StatusBadGateway, 0)
	}
}

// countUnserved counts a request that was not served, separately if its client had disconnected.
func (p *exchange) countUnserved(outcome int) {
	if p.request.Context().Err() != nil {
		outcome = countClientLeft
	}
	p.proxy.outcomeCounts[outcome].Add(1)
}

// relay sends the upstream's response to the client unchanged. A truncated response is also
// truncated toward the client, so that it cannot look complete.
func (s *Proxy) relay(w http.ResponseWriter, p *exchange, res *result) {
	h := w.Header()
	drop := connectionHeaders(res.resp.Header)
	for k, vs := range res.resp.Header {
		switch k {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Upgrade", "Trailer", "Content-Length":
			continue
		}
		if !drop[k] || k == headerSeal {
			h[k] = vs
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if length := res.length(); length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if res.resp.StatusCode/100 == 2 {
		s.outcomeCounts[countServed].Add(1)
	} else {
		s.outcomeCounts[countFailed].Add(1)
	}
	w.WriteHeader(res.resp.StatusCode)
	if res.streamPlacement != nil {
		s.relayStream(w, p.request, res)
		return
	}
	if len(res.body) <= constants.MaxBytesWithoutWriteDeadline && res.conn == nil {
		w.Write(res.body)
		return
	}
	// The deadline keeps a client that no longer reads from holding the response forever.
	control := http.NewResponseController(w)
	control.SetWriteDeadline(p.deadline.Add(constants.ResponseWriteGrace))
	defer control.SetWriteDeadline(time.Time{})
	p.writeLongBody(w, res)
}

// writeLongBody writes a body that may not fit the connection's buffers, and aborts the
// connection if the rest of the body does not arrive or is not read.
func (p *exchange) writeLongBody(w http.ResponseWriter, res *result) {
	_, err := w.Write(res.body)
	if err == nil && res.conn != nil {
		_, err = io.Copy(w, res.resp.Body)
	}
	if err != nil {
		res.release()
		panic(http.ErrAbortHandler)
	}
	if res.conn != nil {
		res.conn.finishExchange(res.resp)
	}
}
