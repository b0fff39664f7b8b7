// Package rungroup adds periodic tasks and HTTP servers to a run.Group, as both roles need
// them.
package rungroup

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"slateridge/internal/constants"
)

// Group adds actors to a run.Group. Its context is canceled when the group stops.
type Group struct {
	group *run.Group
	ctx   context.Context
	stop  context.CancelFunc
}

// New returns a Group that adds actors to g.
func New(g *run.Group) *Group {
	ctx, stop := context.WithCancel(context.Background())
	return &Group{g, ctx, stop}
}

// Context returns a context that is canceled when the group stops.
func (group *Group) Context() context.Context { return group.ctx }

// Every adds a task that calls f once every interval.
func (group *Group) Every(interval time.Duration, f func()) { group.EveryAfter(0, interval, f) }

// EveryAfter is like Every, but starts the first interval after a delay, so that processes
// that are started together do not run the task at the same time.
func (group *Group) EveryAfter(delay, interval time.Duration, f func()) {
	group.group.Add(func() error {
		select {
		case <-group.ctx.Done():
			return nil
		case <-time.After(delay):
		}
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-group.ctx.Done():
				return nil
			case <-ticker.C:
				f()
			}
		}
	}, func(error) { group.stop() })
}

// Serve adds an HTTP server with the limits and timeouts for the internal interfaces.
func (group *Group) Serve(l net.Listener, h http.Handler) {
	group.serveWithTimeout(l, h, constants.APIRequestTimeout)
}

// serveWithTimeout adds an HTTP server that limits the time for reading a request and for
// writing its response, so that a client that is gone or stalled does not hold resources
// any longer.
func (group *Group) serveWithTimeout(l net.Listener, h http.Handler, timeout time.Duration) {
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: min(constants.HeaderTimeout, timeout),
		ReadTimeout:       timeout,
		WriteTimeout:      timeout,
		IdleTimeout:       constants.IdleTimeout,
		MaxHeaderBytes:    constants.MaxHeaderBytes,
	}
	group.group.Add(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	}, func(error) { srv.Close() })
}
