// Package wheel turns the works; in the field's terms: the actors both roles
// put into their run groups, loops at a steady pace and HTTP servers.
package wheel

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"slateridge/internal/constants"
)

// Wheel adds actors to a group; its context ends when the group does.
type Wheel struct {
	g    *run.Group
	ctx  context.Context
	stop context.CancelFunc
}

// New makes a wheel for a group.
func New(g *run.Group) *Wheel {
	ctx, stop := context.WithCancel(context.Background())
	return &Wheel{g, ctx, stop}
}

// Context ends with the group.
func (w *Wheel) Context() context.Context { return w.ctx }

// Turn adds a loop that does something at a steady pace.
func (w *Wheel) Turn(every time.Duration, f func()) { w.TurnFrom(0, every, f) }

// TurnFrom is a Turn that begins so much later, for processes that start together and
// should not stay in step.
func (w *Wheel) TurnFrom(after, every time.Duration, f func()) {
	w.g.Add(func() error {
		select {
		case <-w.ctx.Done():
			return nil
		case <-time.After(after):
		}
		t := time.NewTicker(every)
		defer t.Stop()
		for {
			select {
			case <-w.ctx.Done():
				return nil
			case <-t.C:
				f()
			}
		}
	}, func(error) { w.stop() })
}

// Serve adds an HTTP server with the bounds of our own interfaces.
func (w *Wheel) Serve(l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: constants.HeaderTimeout, IdleTimeout: constants.IdleTimeout, MaxHeaderBytes: constants.HeaderBytes}
	w.g.Add(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	}, func(error) { srv.Close() })
}
