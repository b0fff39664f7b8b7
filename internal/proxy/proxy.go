// Package proxy takes clients' requests, matches them to routes, asks admission, offers them
// to upstreams, and hands back what they answer.
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

// Proxy is the request path of one proxy.
type Proxy struct {
	events      *eventlog.Log
	began       time.Time
	config      atomic.Pointer[config.Config]
	pool        *Pool
	limiter     *admission.Limiter
	meter       *usage.Meter // nil where usage is not reported
	window      func(at time.Time) uint64
	accounts    *accounts.Meter // nil where tenants have no objectives
	retryBudget *RetryBudget
	askFor      func(key string, until time.Time) // one question to a key's tracker, answered by then or not
	leaving     atomic.Bool
	hedges      atomic.Uint64
	open        atomic.Int64
	lag         lagMeter
	counts      [len(countNames)]atomic.Uint64
	trustFor    time.Duration    // how long a key may be trusted unheard; 0: for ever
	readIndexAt func() time.Time // when what is in force here was last known to be the newest

	streams     atomic.Int64  // under way
	streamsCut  atomic.Uint64 // ended by their upstream before their end
	streamsLeft atomic.Uint64 // ended by their client
	histograms  *histograms
}

// histograms are this proxy's histograms.
type histograms struct {
	set                 *metrics.Set
	firstPieces, pauses *metrics.Histogram
}

func newHistograms() *histograms {
	m := &histograms{set: metrics.NewSet()}
	m.firstPieces = m.set.NewHistogram("slateridge_stream_first_piece_seconds")
	m.pauses = m.set.NewHistogram("slateridge_stream_pause_seconds")
	return m
}

// What became of requests, for the counters.
const (
	countServed = iota
	countKeyUnknown
	countNoRoute
	countOverQuota
	countNoCapacity
	countFailed
	countKeyUnsure
	countClientLeft
)

var countNames = [...]string{"served", "key_unknown", "no_route", "over_quota", "no_capacity", "failed", "key_unsure", "client_left"}

func (s *Proxy) now() time.Duration { return time.Since(s.began) }

// refuse answers without having sent the request anywhere, or without an
// upstream having run it where the status is a promise.
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

// ServeHTTP is the path of every request.
func (s *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer s.open.Add(-1)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	cfg := s.config.Load()
	if cfg == nil {
		s.counts[countNoCapacity].Add(1)
		s.refuse(w, r, http.StatusServiceUnavailable, newsRetry(arrived, r))
		return
	}
	route, tenant, code := match(cfg, r)
	if code != 0 {
		s.counts[map[int]int{http.StatusNotFound: countNoRoute, http.StatusUnauthorized: countKeyUnknown}[code]].Add(1)
		s.refuse(w, r, code, 0)
		return
	}
	if code := tooLarge(cfg, r); code != 0 {
		s.refuse(w, r, code, 0)
		return
	}
	p := s.newExchange(r, arrived, cfg, route, tenant)
	p.client.handle(true)
	defer p.client.handle(false)
	if tenant != nil {
		if p.account = s.accounts.Begin(tenant.Name); p.account != nil {
			defer p.settleUnanswered()
		}
		if !s.admit(w, p) {
			return
		}
	}
	if s.meter != nil && tenant != nil {
		w := s.window(arrived)
		s.meter.Begin(w)
		defer s.meter.End(w)
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

// settleCost debits the tenant's quota by what the request has cost, and counts its usage.
func (p *exchange) settleCost() {
	if p.tenant == nil {
		return
	}
	p.proxy.limiter.Settle(p.proxy.now(), p.tenant.Name, p.runs)
	meter := p.proxy.meter
	if meter == nil {
		return
	}
	meter.Over(p.usageRun)
	if p.runs > 0 && !p.route.Stream { // streams count with their first piece
		meter.Count(p.proxy.window(p.ranAt), p.tenant.Name)
	}
}

// tooLarge is the status that refuses a request over the client bounds, or 0.
func tooLarge(cfg *config.Config, r *http.Request) int {
	if cfg.Limits.BodyBytes > 0 && r.ContentLength > cfg.Limits.BodyBytes {
		return http.StatusRequestEntityTooLarge
	}
	if cfg.Limits.HeaderBytes > 0 && headerSize(r) > cfg.Limits.HeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return 0
}

// admit says whether a tenant's request is admitted by its key and its quota, and
// refuses it if not.
func (s *Proxy) admit(w http.ResponseWriter, p *exchange) bool {
	if s.trustFor > 0 && p.arrived.Sub(s.readIndexAt()) > s.trustFor {
		// The key may have been taken away, and nobody here would know.
		s.counts[countKeyUnsure].Add(1)
		s.refuse(w, p.request, http.StatusServiceUnavailable, newsRetry(p.arrived, p.request))
		return false
	}
	v := s.limiter.Admit(s.now(), p.tenant.Name, false)
	if v.AskTracker {
		s.askFor(p.tenant.Name, p.timing().latestStart(time.Now()))
		v = s.limiter.Admit(s.now(), p.tenant.Name, true)
	}
	if !v.OK {
		s.counts[countOverQuota].Add(1)
		p.account.Failure(accounts.Refused)
		s.refuse(w, p.request, http.StatusTooManyRequests, v.RetryAfter)
		return false
	}
	return true
}

func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + 4
		}
	}
	return n
}

// timedBody reads a client's body until the request's time is over. The deadline is
// taken away with the body's end, since the connection is read on for other purposes.
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

// readBody holds the body, or its beginning when it is long.
func (p *exchange) readBody(w http.ResponseWriter) int {
	r := p.request
	p.length = r.ContentLength
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		p.length = 0
		return 0
	}
	body := io.Reader(r.Body)
	if m := p.config.Limits.BodyBytes; m > 0 {
		body = http.MaxBytesReader(w, r.Body, m)
	}
	body = newTimedBody(w, body, p.deadline)
	b, err := io.ReadAll(io.LimitReader(body, constants.BodyBuffer))
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			w.Header().Set("Connection", "close") // what is left of the body may still come
			return http.StatusRequestTimeout
		}
		if _, big := err.(*http.MaxBytesError); big {
			return http.StatusRequestEntityTooLarge
		}
		return http.StatusBadRequest
	}
	if len(b) < constants.BodyBuffer {
		p.bodyStart, p.length = b, int64(len(b))
		return 0
	}
	if r.ContentLength == int64(len(b)) {
		p.bodyStart = b
		return 0
	}
	p.bodyRest = io.MultiReader(bytes.NewReader(b), body)
	return 0
}

// reply hands the client what came of the request.
func (s *Proxy) reply(w http.ResponseWriter, p *exchange, res *result, code int) {
	r := p.request
	if res == nil {
		if code == http.StatusServiceUnavailable {
			p.countUnserved(countNoCapacity)
			s.refuse(w, r, code, p.capacityRetry())
			return
		}
		s.counts[map[int]int{http.StatusNotFound: countNoRoute, http.StatusUnauthorized: countKeyUnknown}[code]].Add(1)
		p.account.Failure(accounts.Refused)
		s.refuse(w, r, code, 0)
		return
	}
	if res.deliverable() && !(res.notRun && res.resp.StatusCode >= 500) {
		began := time.Since(p.arrived) // a stream is in time if its first piece is
		s.relay(w, p, res)
		p.settleAnswered(res, began)
		return
	}
	res.release()
	p.settleFailed()
	switch {
	case p.runs == 0 && p.sends == 0 || p.runs == 0 && res.notRun:
		// Nothing ran, and nothing will: the promise can be given.
		p.countUnserved(countNoCapacity)
		s.refuse(w, r, http.StatusServiceUnavailable, p.capacityRetry())
	case res.outcome == silent || !time.Now().Before(p.deadline):
		p.countUnserved(countFailed)
		s.refuse(w, r, http.StatusGatewayTimeout, 0)
	default:
		p.countUnserved(countFailed)
		s.refuse(w, r, http.StatusBadGateway, 0)
	}
}

// countUnserved counts a request that was not served, apart where its client had left.
func (p *exchange) countUnserved(outcome int) {
	if p.request.Context().Err() != nil {
		outcome = countClientLeft
	}
	p.proxy.counts[outcome].Add(1)
}

// relay gives the upstream's answer to the client unchanged. An answer that
// breaks off is broken off here too, so that it cannot look complete.
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
		s.counts[countServed].Add(1)
	} else {
		s.counts[countFailed].Add(1)
	}
	w.WriteHeader(res.resp.StatusCode)
	if res.stream != nil {
		s.stream(w, p.request, res)
		return
	}
	if len(res.body) <= constants.WriteUnbounded && res.conn == nil {
		w.Write(res.body)
		return
	}
	// A client that takes nothing any more doesn't hold the answer for ever.
	control := http.NewResponseController(w)
	control.SetWriteDeadline(p.deadline.Add(constants.AnswerWriteGrace))
	defer control.SetWriteDeadline(time.Time{})
	p.writeLong(w, res)
}

// writeLong writes an answer that may not fit the connection's buffers, and breaks it off
// where its rest doesn't come or isn't taken.
func (p *exchange) writeLong(w http.ResponseWriter, res *result) {
	_, err := w.Write(res.body)
	if err == nil && res.conn != nil {
		_, err = io.Copy(w, res.resp.Body)
	}
	if err != nil {
		res.release()
		panic(http.ErrAbortHandler)
	}
	if res.conn != nil {
		res.conn.exhausted(res.resp)
	}
}
