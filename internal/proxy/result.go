package proxy

import (
	"net/http"
	"time"
)

// result is what came of one offer.
type result struct {
	outcome   outcome
	sentAt    time.Time // when it had been sent
	sent      bool      // a byte of the request went out
	notRun    bool      // the upstream said so, or nothing went out
	doubtful  bool      // the answer has no id, and its connection has carried other requests
	abandoned bool      // the request may not be sent any more: deadline, route or key
	resp      *http.Response
	body      []byte
	conn      *Conn      // when the body is longer than what is held
	stream    *placement // of a stream under way: its place is taken until it ends
	err       error
}

// deliverable says whether the result can be given to the client as it is.
func (r *result) deliverable() bool {
	if r.resp == nil || r.doubtful {
		return false
	}
	switch c := r.resp.StatusCode; {
	case c/100 == 2:
		return r.resp.Header.Get(headerSeal) != ""
	case c == http.StatusTooManyRequests, c == http.StatusServiceUnavailable, c == http.StatusRequestTimeout, c == http.StatusMisdirectedRequest:
		return false // an upstream's own word is not a promise of ours
	}
	return true
}

// length is that of the answer's body as its client is told it, or -1 where it isn't known.
func (r *result) length() int64 {
	held := r.stream == nil && r.conn == nil
	if held && r.resp.Request.Method != http.MethodHead {
		return int64(len(r.body))
	}
	return r.resp.ContentLength
}

// release ends the connection of an answer that nobody is to read to its end.
func (r *result) release() {
	if r != nil && r.conn != nil {
		r.conn.drop()
	}
}

// retryable says whether another upstream might do better.
func (r *result) retryable() bool {
	if r.resp == nil || r.doubtful {
		return true
	}
	c := r.resp.StatusCode
	return c >= 500 || c == http.StatusTooManyRequests || c == http.StatusRequestTimeout || c == http.StatusMisdirectedRequest ||
		c/100 == 2 && r.resp.Header.Get(headerSeal) == ""
}

// judge sets what the answer's status and headers say of the run and of the upstream.
func (r *result) judge() {
	status := r.resp.StatusCode
	switch {
	case status == http.StatusMisdirectedRequest:
		r.notRun = !r.doubtful
		r.outcome = outcomeTransportError
	case r.resp.Header.Get(headerNotExecuted) != "" && status/100 != 2:
		r.notRun = !r.doubtful
		r.outcome = outcomeAtCapacity
	case status >= 500:
		r.outcome = outcomeServerError
	}
}
