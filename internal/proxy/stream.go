package proxy

import (
	"io"
	"net/http"
	"time"

	"slateridge/internal/constants"
)

// awaitFirstChunk waits for the first bytes of a stream. Until they arrive the stream has not
// begun to run, and nothing has been sent to the client.
func (p *exchange) awaitFirstChunk(pl *placement, conn *upstreamConn, resp *http.Response, sentAt time.Time) *result {
	buf := make([]byte, constants.StreamBufferBytes)
	n, err := resp.Body.Read(buf)
	for n == 0 && err == nil {
		n, err = resp.Body.Read(buf)
	}
	if n == 0 { // an error after the first bytes is returned again by the next read
		conn.close()
		failure := failureOutcome(conn, err)
		p.proxy.pool.finish(pl, failure)
		return &result{outcome: failure, sentAt: sentAt, sent: true, err: err}
	}
	now := time.Now()
	p.proxy.pool.recordFirstByte(pl, now)
	p.proxy.histograms.firstChunk.Update(now.Sub(p.arrived).Seconds())
	if p.proxy.meter != nil && p.tenant != nil {
		p.proxy.meter.Count(p.proxy.window(now), p.tenant.Name)
	}
	return &result{outcome: outcomeServed, sentAt: sentAt, sent: true, resp: resp, body: buf[:n], conn: conn, streamPlacement: pl}
}

// relayStream copies a stream to the client. Each chunk is written and flushed before the next
// is read, so that a slow client slows its upstream and nothing accumulates in memory. A client
// that accepts no data for StreamWriteTimeout is disconnected. If the stream does not end properly,
// the client's connection is aborted.
func (s *Proxy) relayStream(w http.ResponseWriter, r *http.Request, res *result) {
	s.streams.Add(1)
	defer s.streams.Add(-1)
	rc := http.NewResponseController(w)
	buf, chunk := make([]byte, constants.StreamBufferBytes), res.body
	var readErr, writeErr error
	lastRead := time.Now()
	for writeErr == nil {
		if len(chunk) > 0 {
			rc.SetWriteDeadline(time.Now().Add(constants.StreamWriteTimeout))
			if _, writeErr = w.Write(chunk); writeErr == nil {
				writeErr = rc.Flush()
			}
		}
		if readErr != nil || writeErr != nil {
			break
		}
		var n int
		n, readErr = res.resp.Body.Read(buf)
		chunk = buf[:n]
		if n > 0 {
			now := time.Now()
			s.histograms.chunkInterval.Update(now.Sub(lastRead).Seconds())
			lastRead = now
		}
	}
	rc.SetWriteDeadline(time.Time{})
	switch {
	case writeErr == nil && readErr == io.EOF:
		res.conn.finishExchange(res.resp)
		s.pool.finish(res.streamPlacement, outcomeServed)
		return
	case writeErr != nil || r.Context().Err() != nil: // a client that disconnects also closes the upstream connection
		s.streamsAbandoned.Add(1)
		s.pool.finish(res.streamPlacement, outcomeUnused)
	default:
		s.streamsCut.Add(1)
		s.pool.finish(res.streamPlacement, outcomeTransportError)
	}
	res.conn.close()
	panic(http.ErrAbortHandler)
}
