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

// stillAllowed checks again, right before bytes are sent, whether the request may go to u: the
// process may have just resumed from a freeze.
func (p *exchange) stillAllowed(u *Upstream) bool {
	if !time.Now().Before(p.deadline) || p.clientDisconnected() || !u.usable(p.allowedRegions) {
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
	regions := regionsKey(config.AllowedRegions(route, tenant))
	if !regionAllowed(regions, u.region) {
		return false
	}
	p.config, p.route, p.tenant, p.allowedRegions = cfg, route, tenant, regions
	return true
}

// clientDisconnected reports whether the client has closed its connection. If the request has
// been in progress for long, or may have waited long before it was read, it polls the socket, since
// the goroutine that reads the socket may not have run since.
func (p *exchange) clientDisconnected() bool {
	if p.request.Context().Err() != nil {
		return true
	}
	now := time.Now()
	mayBeOld := now.Sub(p.arrived) > constants.HangupCheckInterval || p.proxy.lag.lagging(now)
	return mayBeOld && p.client.hungUp()
}

// abandon releases a placement to which nothing will be sent.
func (pool *Pool) abandon(pl *placement) *result {
	pool.finish(pl, outcomeUnused)
	return &result{outcome: outcomeUnused, notExecuted: true, abandoned: true, err: errNoConnection}
}

// attempt sends the request to one upstream and reads its response.
func (p *exchange) attempt(pl *placement) *result {
	u := pl.upstream
	pool := p.proxy.pool
	ctx, cancel := context.WithDeadline(context.WithoutCancel(p.request.Context()), p.deadline)
	defer cancel()
	attemptID := p.request.Header.Get(headerAttemptID)
	var conn *upstreamConn
	for unsent := true; unsent; {
		if p.clientDisconnected() { // checked before connecting
			return pool.abandon(pl)
		}
		var reused bool
		var err error
		connectBy := p.timing().connectDeadline(time.Now())
		conn, reused, err = u.connect(ctx, attemptID == "", connectBy)
		if err != nil {
			failure := outcomeTransportError
			if errors.Is(err, errNoConnection) || !time.Now().Before(connectBy) {
				failure = outcomeUnused // the request's deadline has passed, which is not a failure of the upstream
			}
			pool.finish(pl, failure)
			return &result{outcome: failure, notExecuted: true, err: err}
		}
		if !p.stillAllowed(u) {
			u.releaseConn(conn, false)
			return pool.abandon(pl)
		}
		remaining := time.Until(p.deadline)
		tenantName := ""
		if p.tenant != nil {
			tenantName = p.tenant.Name
		}
		length := p.bodyLength
		p.cancelOnDisconnect(conn)
		head := formatRequestHeader(p.request, u.instance.ID, tenantName, remaining, length)
		sent, err := conn.send(head, p.bufferedBody, p.streamedBody, length < 0, p.deadline.Add(constants.UpstreamDeadlineGrace))
		if err != nil && !sent && reused {
			u.closeConn(conn)
			continue // the reused connection had been closed and no byte was sent
		}
		if err != nil {
			u.closeConn(conn)
			failure := failureOutcome(conn, err)
			pool.finish(pl, failure)
			return &result{outcome: failure, sentAt: time.Now(), sent: sent, notExecuted: !sent, err: err}
		}
		unsent = false
	}
	sentAt := time.Now()
	if p.proxy.meter != nil && p.tenant != nil && !p.route.Streaming {
		p.proxy.meter.StartRun(p.usageRun, p.proxy.window(sentAt), p.tenant.Name)
	}
	return p.readResponse(pl, conn, attemptID, sentAt)
}

// readResponse reads the response to a request sent over conn at the given time.
func (p *exchange) readResponse(pl *placement, conn *upstreamConn, attemptID string, sentAt time.Time) *result {
	u, pool := pl.upstream, p.proxy.pool
	resp, err := conn.readResponse(p.request.Method, attemptID)
	if err != nil {
		u.closeConn(conn)
		failure := failureOutcome(conn, err)
		if ne := net.Error(nil); failure == outcomeTransportError && errors.As(err, &ne) && ne.Timeout() {
			failure = outcomeTimeout
		}
		pool.finish(pl, failure)
		return &result{outcome: failure, sentAt: sentAt, sent: true, err: err}
	}
	if load := resp.Header.Get(headerLoad); load != "" {
		u.recordLoad(load)
	}
	// Without this attempt's ID, a response on a connection that has carried other requests may
	// be a late one to an earlier request. It is not relayed, and it is no evidence that this
	// request was not executed.
	unverified := conn.exchanges > 0 && resp.Header.Get(headerAttemptID) == ""
	if unverified {
		resp.Close = true // the connection is not reused
	}
	if p.route.Streaming && !unverified && !unframed(resp) && resp.StatusCode/100 == 2 && resp.Header.Get(headerSeal) != "" {
		return p.awaitFirstChunk(pl, conn, resp, sentAt)
	}
	if resp.StatusCode/100 == 2 && unframed(resp) {
		u.closeConn(conn)
		pool.finish(pl, outcomeTransportError)
		return &result{outcome: outcomeTransportError, sentAt: sentAt, sent: true, err: errUnframed}
	}
	body, err := readUpTo(resp.Body, constants.ResponseBufferBytes)
	res := &result{outcome: outcomeServed, sentAt: sentAt, sent: true, resp: resp, body: body, unverified: unverified}
	switch {
	case err == nil:
		conn.finishExchange(resp)
	case errors.Is(err, errBodyTooLong):
		res.conn = conn
	default:
		u.closeConn(conn)
		failure := failureOutcome(conn, err)
		pool.finish(pl, failure)
		return &result{outcome: failure, sentAt: sentAt, sent: true, err: err}
	}
	res.classify()
	pool.finish(pl, res.outcome)
	return res
}

// failureOutcome returns the outcome of an attempt that failed with err. A failure caused by the
// client, which disconnected or did not complete its body, does not count against the upstream.
func failureOutcome(conn *upstreamConn, err error) outcome {
	switch {
	case conn.cancellation.cancelled():
		return outcomeCancelled
	case errors.Is(err, errRequestBody):
		return outcomeUnused
	}
	return outcomeTransportError
}

var errBodyTooLong = errors.New("body exceeds the buffer limit")

// readUpTo reads a whole body, or returns errBodyTooLong with its first max+1 bytes if it is
// longer than max.
func readUpTo(r io.Reader, max int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, int64(max)+1))
	if err == nil && len(b) > max {
		err = errBodyTooLong
	}
	return b, err
}
