package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
)

// allowed checks once more, right before bytes go out, that the request may
// still go there: the process may just have woken from a freeze.
func (p *exchange) allowed(u *Upstream) bool {
	if !time.Now().Before(p.deadline) || p.clientLeft() || !u.usable(p.homes) {
		return false
	}
	cfg := p.proxy.config.Load()
	if cfg == p.config {
		return true
	}
	route, tenant, code := matchRequest(cfg, p.request)
	if code != 0 || !route.RoutesTo(p.service) || (tenant == nil) != (p.tenant == nil) || tenant != nil && tenant.Name != p.tenant.Name ||
		route.Idempotent != p.route.Idempotent {
		return false
	}
	homes := regionsKey(config.Homes(route, tenant))
	if !regionAllowed(homes, u.region) {
		return false
	}
	p.config, p.route, p.tenant, p.homes = cfg, route, tenant, homes
	return true
}

// clientLeft says whether the client has closed its connection. Where the request has been
// here for long, or may have waited for long to be read, the socket is asked: the goroutine
// that reads it may not have run since.
func (p *exchange) clientLeft() bool {
	if p.request.Context().Err() != nil {
		return true
	}
	now := time.Now()
	mayBeOld := now.Sub(p.arrived) > constants.HangupLook || p.proxy.lag.late(now)
	return mayBeOld && p.client.hungUp()
}

// abandon gives a place back to which nothing is sent any more.
func (pool *Pool) abandon(of *placement) *result {
	pool.finish(of, outcomeUnused)
	return &result{outcome: outcomeUnused, notRun: true, abandoned: true, err: errStale}
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
		if p.clientLeft() { // before a connection is made for it
			return pool.abandon(of)
		}
		var reused bool
		var err error
		connectBy := p.timing().connectBy(time.Now())
		conn, reused, err = u.connect(ctx, attempt == "", connectBy)
		if err != nil {
			how := outcomeTransportError
			if errors.Is(err, errStale) || !time.Now().Before(connectBy) {
				how = outcomeUnused // the caller's time ended, which says nothing of the upstream
			}
			pool.finish(of, how)
			return &result{outcome: how, notRun: true, err: err}
		}
		if !p.allowed(u) {
			u.keep(conn, false)
			return pool.abandon(of)
		}
		left := time.Until(p.deadline)
		name := ""
		if p.tenant != nil {
			name = p.tenant.Name
		}
		length := p.length
		p.cancelWith(conn)
		head := formatRequestHeader(p.request, u.instance.ID, name, left, length)
		sent, err := conn.send(head, p.bodyStart, p.bodyRest, length < 0, p.deadline.Add(constants.AnswerGrace))
		if err != nil && !sent && reused {
			u.drop(conn)
			continue // the connection had ended; not a byte went out
		}
		if err != nil {
			u.drop(conn)
			how := blame(conn, err)
			pool.finish(of, how)
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
		how := blame(conn, err)
		if ne := net.Error(nil); how == outcomeTransportError && errors.As(err, &ne) && ne.Timeout() {
			how = outcomeTimeout
		}
		pool.finish(of, how)
		return &result{outcome: how, sentAt: at, sent: true, err: err}
	}
	if l := resp.Header.Get(headerLoad); l != "" {
		u.recordLoad(l)
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
	if resp.StatusCode/100 == 2 && unframed(resp) {
		u.drop(conn)
		pool.finish(of, outcomeTransportError)
		return &result{outcome: outcomeTransportError, sentAt: at, sent: true, err: errUnframed}
	}
	body, err := readSome(resp.Body, constants.AnswerBuffer)
	res := &result{outcome: outcomeServed, sentAt: at, sent: true, resp: resp, body: body, doubtful: doubt}
	switch {
	case err == nil:
		conn.exhausted(resp)
	case errors.Is(err, errLong):
		res.conn = conn
	default:
		u.drop(conn)
		how := blame(conn, err)
		pool.finish(of, how)
		return &result{outcome: how, sentAt: at, sent: true, err: err}
	}
	res.judge()
	pool.finish(of, res.outcome)
	return res
}

// blame is how an offer that failed ended. What a client broke by leaving, or by
// breaking its body off, is no failure of the upstream.
func blame(conn *Conn, err error) outcome {
	switch {
	case conn.cancellation.cancelled():
		return outcomeCancelled
	case errors.Is(err, errUpload):
		return outcomeUnused
	}
	return outcomeTransportError
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
