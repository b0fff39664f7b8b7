package proxy

import (
	"context"
	"time"

	"slateridge/internal/constants"
)

// closeIdle closes all idle connections. The pool's mutex must be held.
func (u *Upstream) closeIdle() {
	for _, conn := range u.idle {
		conn.netConn.Close()
		u.conns--
	}
	u.idle = nil
}

// connect returns an idle connection, or dials a new one before the deadline. With fresh it
// always dials: the request has no attempt ID, so only the connection can associate the
// response with it.
func (u *Upstream) connect(ctx context.Context, fresh bool, deadline time.Time) (conn *upstreamConn, reused bool, err error) {
	pool := u.pool
	now := time.Now()
	for {
		pool.mu.Lock()
		if len(u.idle) == 0 || fresh && u.conns < pool.connCap(u.instance.Service) {
			break
		}
		conn := u.idle[len(u.idle)-1]
		u.idle = u.idle[:len(u.idle)-1]
		pool.mu.Unlock()
		if !fresh && now.Sub(conn.idleAt) < conn.idleTimeout && conn.reusable() {
			return conn, true, nil
		}
		u.closeConn(conn)
	}
	if u.conns >= pool.connCap(u.instance.Service) {
		pool.mu.Unlock()
		return nil, false, errNoConnection
	}
	u.conns++
	pool.NewConns++
	pool.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, earlier(deadline, time.Now().Add(constants.ConnectTimeout)))
	defer cancel()
	dialStarted := time.Now()
	netConn, err := pool.dialer.DialContext(ctx, "tcp4", u.instance.Address)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if err != nil {
		u.conns--
		return nil, false, err
	}
	connected := time.Now()
	pool.connectTime[u.distance].observe(connected, connected.Sub(dialStarted).Seconds())
	return newUpstreamConn(u, netConn), false, nil
}

// closeConn closes a connection and ends its cancellation.
func (u *Upstream) closeConn(conn *upstreamConn) {
	conn.cancellation.finish()
	conn.netConn.Close()
	u.pool.mu.Lock()
	u.conns--
	u.pool.mu.Unlock()
}

// releaseConn returns a connection to the idle connections after an exchange, or unused if
// nothing was sent. Only an exchange restarts its idle time, since the upstream also counts
// from there. A connection that was closed by its cancellation is dropped.
func (u *Upstream) releaseConn(conn *upstreamConn, exchanged bool) {
	if !conn.cancellation.finish() {
		u.closeConn(conn)
		return
	}
	conn.cancellation = nil
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	if u.removed || u.draining || len(u.idle) >= constants.MaxIdlePerUpstream {
		conn.netConn.Close()
		u.conns--
		return
	}
	if exchanged {
		conn.idleAt = time.Now()
	}
	u.idle = append(u.idle, conn)
}

// CloseExpiredIdle closes connections that have exceeded their idle timeout.
func (pool *Pool) CloseExpiredIdle(now time.Time) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, u := range pool.upstreams {
		kept := u.idle[:0]
		for _, conn := range u.idle {
			if now.Sub(conn.idleAt) < conn.idleTimeout {
				kept = append(kept, conn)
				continue
			}
			conn.netConn.Close()
			u.conns--
		}
		u.idle = kept
	}
}
