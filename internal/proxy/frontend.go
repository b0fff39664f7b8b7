package proxy

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
)

// frontend is the frontend's entry: it accepts connections and hands each to a
// server with the client bounds of the configuration in force when it came.
type frontend struct {
	listener net.Listener
	handler  http.Handler
	limits   func() config.Limits

	mu      sync.Mutex
	now     config.Limits
	queue   *connQueue
	servers []*http.Server
	conns   map[net.Conn]*idleState
	bound   time.Duration // idle bound seen last
	lowered idleBound     // the one before, when that was longer
	closed  bool
	ended   chan struct{} // closed when all is over
	once    sync.Once
}

// idleState is how long an open connection of a client has rested, and may rest.
type idleState struct {
	bound     time.Duration // the longest idle bound that its client may go by
	idleSince time.Time     // zero while a request is under way
}

// idleBound is an idle bound that a shorter one has replaced.
type idleBound struct {
	bound    time.Duration
	replaced time.Time
}

// connQueue hands a server the connections it is to serve.
type connQueue struct {
	ch   chan net.Conn
	done chan struct{}
	once sync.Once
	addr net.Addr
}

func (f *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-f.ch:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

func (f *connQueue) Close() error   { f.once.Do(func() { close(f.done) }); return nil }
func (f *connQueue) Addr() net.Addr { return f.addr }

func newFrontend(l net.Listener, h http.Handler, limits func() config.Limits) *frontend {
	return &frontend{listener: l, handler: h, limits: limits, conns: map[net.Conn]*idleState{}, ended: make(chan struct{})}
}

func orDefault[T int | time.Duration](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}

// serve accepts until the listener is closed, and returns only when the gate
// is: were it to return while requests are in flight, the process's group
// would end and cut them.
func (g *frontend) serve() error {
	for {
		accepted, err := g.listener.Accept()
		if err != nil {
			g.mu.Lock()
			done := g.closed
			g.mu.Unlock()
			if done {
				<-g.ended
				return nil
			}
			time.Sleep(constants.AcceptPause) // out of descriptors, or a connection that ended early
			continue
		}
		c := wrapClientConn(accepted)
		f := g.queueFor(g.limits())
		select {
		case f.ch <- c:
		case <-f.done:
			c.Close()
		}
	}
}

func (g *frontend) queueFor(l config.Limits) *connQueue {
	g.mu.Lock()
	defer g.mu.Unlock()
	l.BodyBytes, l.IdleTime = 0, 0 // checked by the handler, and by closeIdle
	if g.queue != nil && l == g.now {
		return g.queue
	}
	// Connections that are open stay with these bounds, which clients keep within. The
	// idle bound is not among them: clients rest for as long as the newest one allows.
	f := &connQueue{ch: make(chan net.Conn), done: make(chan struct{}), addr: g.listener.Addr()}
	srv := &http.Server{Handler: g.handler, ReadHeaderTimeout: orDefault(l.HeaderTimeout, constants.HeaderTimeout), ConnState: g.track,
		ConnContext:    clientContext,
		MaxHeaderBytes: orDefault(l.HeaderBytes, constants.HeaderBytes), ErrorLog: log.New(io.Discard, "", 0), DisableGeneralOptionsHandler: true}
	g.queue, g.now = f, l
	g.servers = append(g.servers, srv)
	go srv.Serve(f)
	return f
}

// track follows a connection's state.
func (g *frontend) track(c net.Conn, state http.ConnState) { g.trackAt(c, state, time.Now()) }

func (g *frontend) trackAt(c net.Conn, state http.ConnState, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateNew:
		g.seeBoundLocked(now)
		idle := &idleState{bound: g.bound}
		if now.Sub(g.lowered.replaced) < constants.IdleOverlap {
			idle.bound = max(idle.bound, g.lowered.bound)
		}
		g.conns[c] = idle
	case http.StateActive:
		if idle := g.conns[c]; idle != nil {
			idle.idleSince = time.Time{}
		}
	case http.StateIdle:
		if idle := g.conns[c]; idle != nil {
			idle.idleSince = now
		}
	default:
		delete(g.conns, c)
	}
}

// seeBoundLocked looks at the idle bound in force.
func (g *frontend) seeBoundLocked(now time.Time) {
	current := orDefault(g.limits().IdleTime, constants.IdleTimeout)
	if current < g.bound {
		g.lowered = idleBound{bound: g.bound, replaced: now}
	}
	g.bound = current
}

// closeIdle closes connections that have been idle for longer than every bound allows
// that was in force since they were opened, or shortly before. A bound that is lowered
// does not reach them: their clients may go by the one that they were opened under. They
// are kept a little longer still, so that it is the client that ends them.
func (g *frontend) closeIdle(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeBoundLocked(now)
	for c, idle := range g.conns {
		idle.bound = max(idle.bound, g.bound)
		if conn, ok := c.(*clientConn); ok && conn.busy() {
			continue // a request that was sent ahead changes no state of the server's
		}
		if !idle.idleSince.IsZero() && now.Sub(idle.idleSince) > idle.bound+constants.IdleSpare {
			delete(g.conns, c)
			c.Close()
		}
	}
}

// drain stops accepting, and returns when all requests in flight have ended or
// the time is over.
func (g *frontend) drain(ctx context.Context) {
	g.mu.Lock()
	g.closed = true
	ss := g.servers
	g.mu.Unlock()
	g.listener.Close()
	var wg sync.WaitGroup
	for _, s := range ss {
		wg.Go(func() { s.Shutdown(ctx) })
	}
	wg.Wait()
}

// close ends all at once.
func (g *frontend) close() {
	defer g.once.Do(func() { close(g.ended) })
	g.mu.Lock()
	g.closed = true
	ss := g.servers
	g.mu.Unlock()
	g.listener.Close()
	for _, s := range ss {
		s.Close()
	}
}
