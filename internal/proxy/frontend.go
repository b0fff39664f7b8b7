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

func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.ch:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

func (q *connQueue) Close() error   { q.once.Do(func() { close(q.done) }); return nil }
func (q *connQueue) Addr() net.Addr { return q.addr }

func newFrontend(l net.Listener, h http.Handler, limits func() config.Limits) *frontend {
	return &frontend{listener: l, handler: h, limits: limits, conns: map[net.Conn]*idleState{}, ended: make(chan struct{})}
}

func orDefault[T int | time.Duration](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}

// serve accepts until the listener is closed, and returns only when the frontend
// is: were it to return while requests are in flight, the process's group
// would end and cut them.
func (f *frontend) serve() error {
	for {
		accepted, err := f.listener.Accept()
		if err != nil {
			f.mu.Lock()
			done := f.closed
			f.mu.Unlock()
			if done {
				<-f.ended
				return nil
			}
			time.Sleep(constants.AcceptPause) // out of descriptors, or a connection that ended early
			continue
		}
		c := wrapClientConn(accepted)
		queue := f.queueFor(f.limits())
		select {
		case queue.ch <- c:
		case <-queue.done:
			c.Close()
		}
	}
}

func (f *frontend) queueFor(l config.Limits) *connQueue {
	f.mu.Lock()
	defer f.mu.Unlock()
	l.BodyBytes, l.IdleTime = 0, 0 // checked by the handler, and by closeIdle
	if f.queue != nil && l == f.now {
		return f.queue
	}
	// Connections that are open stay with these bounds, which clients keep within. The
	// idle bound is not among them: clients rest for as long as the newest one allows.
	queue := &connQueue{ch: make(chan net.Conn), done: make(chan struct{}), addr: f.listener.Addr()}
	srv := &http.Server{Handler: f.handler, ReadHeaderTimeout: orDefault(l.HeaderTimeout, constants.HeaderTimeout), ConnState: f.track,
		ConnContext:    clientContext,
		MaxHeaderBytes: orDefault(l.HeaderBytes, constants.HeaderBytes), ErrorLog: log.New(io.Discard, "", 0), DisableGeneralOptionsHandler: true}
	f.queue, f.now = queue, l
	f.servers = append(f.servers, srv)
	go srv.Serve(queue)
	return queue
}

// track follows a connection's state.
func (f *frontend) track(c net.Conn, state http.ConnState) { f.trackAt(c, state, time.Now()) }

func (f *frontend) trackAt(c net.Conn, state http.ConnState, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch state {
	case http.StateNew:
		f.seeBoundLocked(now)
		idle := &idleState{bound: f.bound}
		if now.Sub(f.lowered.replaced) < constants.IdleOverlap {
			idle.bound = max(idle.bound, f.lowered.bound)
		}
		f.conns[c] = idle
	case http.StateActive:
		if idle := f.conns[c]; idle != nil {
			idle.idleSince = time.Time{}
		}
	case http.StateIdle:
		if idle := f.conns[c]; idle != nil {
			idle.idleSince = now
		}
	default:
		delete(f.conns, c)
	}
}

// seeBoundLocked looks at the idle bound in force.
func (f *frontend) seeBoundLocked(now time.Time) {
	current := orDefault(f.limits().IdleTime, constants.IdleTimeout)
	if current < f.bound {
		f.lowered = idleBound{bound: f.bound, replaced: now}
	}
	f.bound = current
}

// closeIdle closes connections that have been idle for longer than every bound allows
// that was in force since they were opened, or shortly before. A bound that is lowered
// does not reach them: their clients may go by the one that they were opened under. They
// are kept a little longer still, so that it is the client that ends them.
func (f *frontend) closeIdle(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeBoundLocked(now)
	for c, idle := range f.conns {
		idle.bound = max(idle.bound, f.bound)
		if conn, ok := c.(*clientConn); ok && conn.busy() {
			continue // a request that was sent ahead changes no state of the server's
		}
		if !idle.idleSince.IsZero() && now.Sub(idle.idleSince) > idle.bound+constants.IdleSpare {
			delete(f.conns, c)
			c.Close()
		}
	}
}

// drain stops accepting, and returns when all requests in flight have ended or
// the time is over.
func (f *frontend) drain(ctx context.Context) {
	f.mu.Lock()
	f.closed = true
	ss := f.servers
	f.mu.Unlock()
	f.listener.Close()
	var wg sync.WaitGroup
	for _, s := range ss {
		wg.Go(func() { s.Shutdown(ctx) })
	}
	wg.Wait()
}

// close ends all at once.
func (f *frontend) close() {
	defer f.once.Do(func() { close(f.ended) })
	f.mu.Lock()
	f.closed = true
	ss := f.servers
	f.mu.Unlock()
	f.listener.Close()
	for _, s := range ss {
		s.Close()
	}
}
