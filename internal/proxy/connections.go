package proxy

import (
	"context"
	"time"

	"slateridge/internal/constants"
)

func (u *Upstream) closeIdle() {
	for _, conn := range u.idle {
		conn.netConn.Close()
		u.conns--
	}
	u.idle = nil
}

// connect gives an idle connection, or a new one that is made by a moment; where nothing
// but its connection ties the answer to the request, always a new one.
func (u *Upstream) connect(ctx context.Context, fresh bool, by time.Time) (conn *Conn, reused bool, err error) {
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
		if !fresh && now.Sub(conn.idleAt) < conn.idleFor && conn.clean() {
			return conn, true, nil
		}
		u.drop(conn)
	}
	if u.conns >= pool.connCap(u.instance.Service) {
		pool.mu.Unlock()
		return nil, false, errStale
	}
	u.conns++
	pool.NewConns++
	pool.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, earlier(by, time.Now().Add(constants.ConnectTimeout)))
	defer cancel()
	began := time.Now()
	c, err := pool.dialer.DialContext(ctx, "tcp4", u.instance.Address)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if err != nil {
		u.conns--
		return nil, false, err
	}
	connected := time.Now()
	pool.connectTime[u.distance].observe(connected, connected.Sub(began).Seconds())
	return newUpstreamConn(u, c), false, nil
}

// drop closes a connection.
func (u *Upstream) drop(conn *Conn) {
	conn.cancellation.end()
	conn.netConn.Close()
	u.pool.mu.Lock()
	u.conns--
	u.pool.mu.Unlock()
}

// keep puts a connection by for the next request: after an exchange, or as it was
// found, when nothing was sent. Its upstream counts the rest from the last exchange. One
// that was closed for its client's leaving is not kept.
func (u *Upstream) keep(conn *Conn, exchanged bool) {
	if !conn.cancellation.end() {
		u.drop(conn)
		return
	}
	conn.cancellation = nil
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	if u.removed || u.draining || len(u.idle) >= constants.IdlePerUpstream {
		conn.netConn.Close()
		u.conns--
		return
	}
	if exchanged {
		conn.idleAt = time.Now()
	}
	u.idle = append(u.idle, conn)
}

// Retire closes connections idle for too long.
func (pool *Pool) Retire(now time.Time) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, u := range pool.upstreams {
		kept := u.idle[:0]
		for _, conn := range u.idle {
			if now.Sub(conn.idleAt) < conn.idleFor {
				kept = append(kept, conn)
				continue
			}
			conn.netConn.Close()
			u.conns--
		}
		u.idle = kept
	}
}
