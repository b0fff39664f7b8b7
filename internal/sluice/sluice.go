// Package sluice is the gate traffic flows through; in the field's terms: the
// proxy. It takes clients' requests, matches them, asks admission, offers them
// to upstreams, and hands back what they answer.
package sluice

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
	"slateridge/internal/datum"
	"slateridge/internal/logbook"
	"slateridge/internal/scheme"
	"slateridge/internal/usage"
	"slateridge/internal/weir"
)

// Sluice is the request path of one proxy.
type Sluice struct {
	book    *logbook.Logbook
	began   time.Time
	scheme  atomic.Pointer[scheme.Scheme]
	yard    *Yard
	weir    *weir.Weir
	meter   *usage.Meter // nil where usage is not reported
	window  func(at time.Time) uint64
	account *accounts.Meter // nil where tenants have no objectives
	allow   *Allowance
	askFor  func(key string) // one question to a key's tracker, answered or not
	leaving atomic.Bool
	hedges  atomic.Uint64
	open    atomic.Int64
	counts  [7]atomic.Uint64
	strict  time.Duration    // how long a key may be trusted unheard; 0: for ever
	sure    func() time.Time // when what is in force here was last known to be the newest

	streams     atomic.Int64  // under way
	streamsCut  atomic.Uint64 // ended by their upstream before their end
	streamsLeft atomic.Uint64 // ended by their client
	marks       *marks
}

// marks are this proxy's histograms.
type marks struct {
	set                 *metrics.Set
	firstPieces, pauses *metrics.Histogram
}

func newMarks() *marks {
	m := &marks{set: metrics.NewSet()}
	m.firstPieces = m.set.NewHistogram("slateridge_stream_first_piece_seconds")
	m.pauses = m.set.NewHistogram("slateridge_stream_pause_seconds")
	return m
}

// What became of requests, for the counters.
const (
	cServed = iota
	cUnknown
	cNoRoute
	cOverQuota
	cNoRoom
	cFailed
	cUnsure
)

var countNames = [...]string{"served", "key_unknown", "no_route", "over_quota", "no_capacity", "failed", "key_unsure"}

func (s *Sluice) now() time.Duration { return time.Since(s.began) }

// refuse answers without having sent the request anywhere, or without an
// upstream having run it where the status is a promise.
func (s *Sluice) refuse(w http.ResponseWriter, r *http.Request, code int, retry time.Duration) {
	h := w.Header()
	if id := r.Header.Get(hdrAttempt); id != "" {
		h.Set(hdrAttempt, id)
	}
	if retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	w.WriteHeader(code)
}

// ServeHTTP is the path of every request.
func (s *Sluice) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer s.open.Add(-1)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	sch := s.scheme.Load()
	if sch == nil {
		s.counts[cNoRoom].Add(1)
		s.refuse(w, r, http.StatusServiceUnavailable, datum.RetryStart)
		return
	}
	route, tenant, code := match(sch, r)
	if code != 0 {
		s.counts[map[int]int{http.StatusNotFound: cNoRoute, http.StatusUnauthorized: cUnknown}[code]].Add(1)
		s.refuse(w, r, code, 0)
		return
	}
	if sch.Limits.BodyBytes > 0 && r.ContentLength > sch.Limits.BodyBytes {
		s.refuse(w, r, http.StatusRequestEntityTooLarge, 0)
		return
	}
	if sch.Limits.HeaderBytes > 0 && headerSize(r) > sch.Limits.HeaderBytes {
		s.refuse(w, r, http.StatusRequestHeaderFieldsTooLarge, 0)
		return
	}
	p := &passage{s: s, r: r, arrived: arrived, sch: sch, route: route, tenant: tenant, prio: route.Priority,
		deadline: arrived.Add(min(budget(r), route.Timeout)), run: &usage.Run{}}
	if tenant != nil {
		if p.account = s.account.Begin(tenant.Name); p.account != nil {
			defer p.settleUnanswered()
		}
		if s.strict > 0 && arrived.Sub(s.sure()) > s.strict {
			// The key may have been taken away, and nobody here would know.
			s.counts[cUnsure].Add(1)
			s.refuse(w, r, http.StatusServiceUnavailable, datum.RetryUnsure)
			return
		}
		if tenant.HasPriority {
			p.prio = tenant.Priority
		}
		v := s.weir.Admit(s.now(), tenant.Name, false)
		if v.Ask {
			s.askFor(tenant.Name)
			v = s.weir.Admit(s.now(), tenant.Name, true)
		}
		if !v.OK {
			s.counts[cOverQuota].Add(1)
			p.account.Failure(accounts.Refused)
			s.refuse(w, r, http.StatusTooManyRequests, v.Retry)
			return
		}
	}
	if s.meter != nil && tenant != nil {
		w := s.window(arrived)
		s.meter.Begin(w)
		defer s.meter.End(w)
	}
	settle := func() {
		if tenant != nil {
			s.weir.Settle(s.now(), tenant.Name, p.runs)
			if s.meter != nil {
				s.meter.Over(p.run)
			}
			if s.meter != nil && p.runs > 0 && !p.route.Stream { // streams count with their first piece
				s.meter.Count(s.window(p.ranAt), tenant.Name)
			}
		}
	}
	if code := p.readBody(w); code != 0 {
		settle()
		p.account.Failure(accounts.Refused)
		s.refuse(w, r, code, 0)
		return
	}
	defer p.unwatch()
	res, code := p.forward()
	settle()
	s.reply(w, p, res, code)
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
func (p *passage) readBody(w http.ResponseWriter) int {
	r := p.r
	p.length = r.ContentLength
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		p.length = 0
		return 0
	}
	body := io.Reader(r.Body)
	if m := p.sch.Limits.BodyBytes; m > 0 {
		body = http.MaxBytesReader(w, r.Body, m)
	}
	body = newTimedBody(w, body, p.deadline)
	b, err := io.ReadAll(io.LimitReader(body, datum.BodyBuffer))
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
	if len(b) < datum.BodyBuffer {
		p.head, p.length = b, int64(len(b))
		return 0
	}
	if r.ContentLength == int64(len(b)) {
		p.head = b
		return 0
	}
	p.rest = io.MultiReader(bytes.NewReader(b), body)
	return 0
}

// reply hands the client what came of the request.
func (s *Sluice) reply(w http.ResponseWriter, p *passage, res *result, code int) {
	r := p.r
	if res == nil {
		if code == http.StatusServiceUnavailable {
			s.counts[cNoRoom].Add(1)
			s.refuse(w, r, code, datum.RetryAfterFull)
			return
		}
		s.counts[map[int]int{http.StatusNotFound: cNoRoute, http.StatusUnauthorized: cUnknown}[code]].Add(1)
		p.account.Failure(accounts.Refused)
		s.refuse(w, r, code, 0)
		return
	}
	if res.whole() && !(res.notRun && res.resp.StatusCode >= 500) {
		began := time.Since(p.arrived) // a stream is in time if its first piece is
		s.relay(w, r, res)
		p.settleAnswered(res, began)
		return
	}
	res.giveBack()
	p.settleFailed()
	switch {
	case p.runs == 0 && p.sends == 0 || p.runs == 0 && res.notRun:
		// Nothing ran, and nothing will: the promise can be given.
		s.counts[cNoRoom].Add(1)
		s.refuse(w, r, http.StatusServiceUnavailable, datum.RetryAfterFull)
	case res.how == silent || !time.Now().Before(p.deadline):
		s.counts[cFailed].Add(1)
		s.refuse(w, r, http.StatusGatewayTimeout, 0)
	default:
		s.counts[cFailed].Add(1)
		s.refuse(w, r, http.StatusBadGateway, 0)
	}
}

// relay gives the upstream's answer to the client unchanged. An answer that
// breaks off is broken off here too, so that it cannot look complete.
func (s *Sluice) relay(w http.ResponseWriter, r *http.Request, res *result) {
	h := w.Header()
	drop := named(res.resp.Header)
	for k, vs := range res.resp.Header {
		switch k {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Upgrade", "Trailer", "Content-Length":
			continue
		}
		if !drop[k] || k == hdrSeal {
			h[k] = vs
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if res.stream != nil {
		if res.resp.ContentLength >= 0 {
			h.Set("Content-Length", strconv.FormatInt(res.resp.ContentLength, 10))
		}
	} else if res.flume == nil {
		h.Set("Content-Length", strconv.Itoa(len(res.body)))
		if res.resp.Request.Method == http.MethodHead {
			h.Del("Content-Length")
			if res.resp.ContentLength >= 0 {
				h.Set("Content-Length", strconv.FormatInt(res.resp.ContentLength, 10))
			}
		}
	} else if res.resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(res.resp.ContentLength, 10))
	}
	if res.resp.StatusCode/100 == 2 {
		s.counts[cServed].Add(1)
	} else {
		s.counts[cFailed].Add(1)
	}
	w.WriteHeader(res.resp.StatusCode)
	if res.stream != nil {
		s.stream(w, r, res)
		return
	}
	w.Write(res.body)
	if res.flume == nil {
		return
	}
	if _, err := io.Copy(w, res.resp.Body); err != nil {
		res.flume.of.drop(res.flume)
		panic(http.ErrAbortHandler)
	}
	res.flume.over(res.resp)
}
