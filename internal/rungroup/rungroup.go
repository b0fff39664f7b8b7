// Package rungroup adds to a run group what both roles need: loops at a steady pace and
// HTTP servers.
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

// Group adds actors to a group; its context ends when the group does.
type Group struct {
	group *run.Group
	ctx   context.Context
	stop  context.CancelFunc
}

// New makes one for a group.
func New(g *run.Group) *Group {
	ctx, stop := context.WithCancel(context.Background())
	return &Group{g, ctx, stop}
}

// Context ends with the group.
func (group *Group) Context() context.Context { return group.ctx }

// Every adds a loop that does something at a steady pace.
func (group *Group) Every(every time.Duration, f func()) { group.EveryAfter(0, every, f) }

// EveryAfter is an Every that begins so much later, for processes that start together and
// should not stay in step.
func (group *Group) EveryAfter(after, every time.Duration, f func()) {
	group.group.Add(func() error {
		select {
		case <-group.ctx.Done():
			return nil
		case <-time.After(after):
		}
		t := time.NewTicker(every)
		defer t.Stop()
		for {
			select {
			case <-group.ctx.Done():
				return nil
			case <-t.C:
				f()
			}
		}
	}, func(error) { group.stop() })
}

// Serve adds an HTTP server with the bounds of our own interfaces.
func (group *Group) Serve(l net.Listener, h http.Handler) {
	group.serveWithin(l, h, constants.InterfaceTimeout)
}

// serveWithin adds an HTTP server that takes a request, and has its answer taken, each
// within a time: a caller that is gone or stands still holds neither body nor answer longer.
func (group *Group) serveWithin(l net.Listener, h http.Handler, timeout time.Duration) {
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: min(constants.HeaderTimeout, timeout),
		ReadTimeout:       timeout,
		WriteTimeout:      timeout,
		IdleTimeout:       constants.IdleTimeout,
		MaxHeaderBytes:    constants.HeaderBytes,
	}
	group.group.Add(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	}, func(error) { srv.Close() })
}
