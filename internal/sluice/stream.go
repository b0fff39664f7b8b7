package sluice

import (
	"context"
	"io"
	"net/http"
	"time"

	"slateridge/internal/constants"
)

// watch closes the connection when the client goes away, so that the upstream
// stops working for nobody.
func (p *passage) watch(f *Flume) {
	p.unwatch()
	p.stop = context.AfterFunc(p.r.Context(), func() { f.c.Close() })
}

func (p *passage) unwatch() {
	if p.stop != nil {
		p.stop()
		p.stop = nil
	}
}

// firstPiece waits for a stream's first bytes: until they come nothing has begun to
// run, and the client has been told nothing.
func (p *passage) firstPiece(of *offer, f *Flume, resp *http.Response, at time.Time) *result {
	buf := make([]byte, constants.StreamBuffer)
	n, err := resp.Body.Read(buf)
	for n == 0 && err == nil {
		n, err = resp.Body.Read(buf)
	}
	if n == 0 { // an end after the first bytes is met again when more is read
		f.of.drop(f)
		how := p.blame(err)
		p.s.yard.done(of, how)
		return &result{how: how, at: at, sent: true, err: err}
	}
	now := time.Now()
	p.s.yard.began(of, now)
	p.s.marks.firstPieces.Update(now.Sub(p.arrived).Seconds())
	if p.s.meter != nil && p.tenant != nil {
		p.s.meter.Count(p.s.window(now), p.tenant.Name)
	}
	return &result{how: served, at: at, sent: true, resp: resp, body: buf[:n], flume: f, stream: of, ended: p.unwatch}
}

// stream passes a stream on as it comes: what has been read is written and flushed
// before more is read, so a slow client slows its upstream and nothing is gathered.
// A client that takes nothing for long is given up. An end that is not the stream's
// own is an end of the connection.
func (s *Sluice) stream(w http.ResponseWriter, r *http.Request, res *result) {
	s.streams.Add(1)
	defer s.streams.Add(-1)
	rc := http.NewResponseController(w)
	buf, piece := make([]byte, constants.StreamBuffer), res.body
	var rerr, werr error
	last := time.Now()
	for werr == nil {
		if len(piece) > 0 {
			rc.SetWriteDeadline(time.Now().Add(constants.StreamWriteTimeout))
			if _, werr = w.Write(piece); werr == nil {
				werr = rc.Flush()
			}
		}
		if rerr != nil || werr != nil {
			break
		}
		var n int
		n, rerr = res.resp.Body.Read(buf)
		piece = buf[:n]
		if n > 0 {
			now := time.Now()
			s.marks.pauses.Update(now.Sub(last).Seconds())
			last = now
		}
	}
	rc.SetWriteDeadline(time.Time{})
	res.ended()
	switch {
	case werr == nil && rerr == io.EOF:
		res.flume.over(res.resp)
		s.yard.done(res.stream, served)
		return
	case werr != nil || r.Context().Err() != nil: // its leaving closes the upstream's end
		s.streamsLeft.Add(1)
		s.yard.done(res.stream, unused)
	default:
		s.streamsCut.Add(1)
		s.yard.done(res.stream, broken)
	}
	res.flume.of.drop(res.flume)
	panic(http.ErrAbortHandler)
}
