package proxy

import (
	"io"
	"net/http"
	"time"

	"slateridge/internal/constants"
)

// firstPiece waits for a stream's first bytes: until they come nothing has begun to
// run, and the client has been told nothing.
func (p *exchange) firstPiece(of *placement, conn *Conn, resp *http.Response, at time.Time) *result {
	buf := make([]byte, constants.StreamBuffer)
	n, err := resp.Body.Read(buf)
	for n == 0 && err == nil {
		n, err = resp.Body.Read(buf)
	}
	if n == 0 { // an end after the first bytes is met again when more is read
		conn.drop()
		how := blame(conn, err)
		p.proxy.pool.finish(of, how)
		return &result{outcome: how, sentAt: at, sent: true, err: err}
	}
	now := time.Now()
	p.proxy.pool.recordFirstByte(of, now)
	p.proxy.histograms.firstPieces.Update(now.Sub(p.arrived).Seconds())
	if p.proxy.meter != nil && p.tenant != nil {
		p.proxy.meter.Count(p.proxy.window(now), p.tenant.Name)
	}
	return &result{outcome: outcomeServed, sentAt: at, sent: true, resp: resp, body: buf[:n], conn: conn, stream: of}
}

// stream passes a stream on as it comes: what has been read is written and flushed
// before more is read, so a slow client slows its upstream and nothing is gathered.
// A client that takes nothing for long is given up. An end that is not the stream's
// own is an end of the connection.
func (s *Proxy) stream(w http.ResponseWriter, r *http.Request, res *result) {
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
			s.histograms.pauses.Update(now.Sub(last).Seconds())
			last = now
		}
	}
	rc.SetWriteDeadline(time.Time{})
	switch {
	case werr == nil && rerr == io.EOF:
		res.conn.exhausted(res.resp)
		s.pool.finish(res.stream, outcomeServed)
		return
	case werr != nil || r.Context().Err() != nil: // its leaving closes the upstream's end
		s.streamsLeft.Add(1)
		s.pool.finish(res.stream, outcomeUnused)
	default:
		s.streamsCut.Add(1)
		s.pool.finish(res.stream, outcomeTransportError)
	}
	res.conn.drop()
	panic(http.ErrAbortHandler)
}
