package proxy

import (
	"net/http"
	"time"
)

// result holds the response or the failure of one attempt.
type result struct {
	outcome         outcome
	sentAt          time.Time // when the request was sent
	sent            bool      // at least one byte of the request was sent
	notExecuted     bool      // the upstream declared it, or nothing was sent
	unverified      bool      // the response has no attempt ID, and its connection has carried other requests
	abandoned       bool      // the request must not be sent any more because of its deadline, route or key
	resp            *http.Response
	body            []byte
	conn            *upstreamConn // set if the body has not been read to its end
	streamPlacement *placement    // of a stream in progress: held until the stream ends
	err             error
}

// deliverable reports whether the response may be relayed to the client as it is.
func (r *result) deliverable() bool {
	if r.resp == nil || r.unverified {
		return false
	}
	switch c := r.resp.StatusCode; {
	case c/100 == 2:
		return r.resp.Header.Get(headerSeal) != ""
	case c == http.StatusTooManyRequests, c == http.StatusServiceUnavailable, c == http.StatusRequestTimeout, c == http.StatusMisdirectedRequest:
		return false // only from this proxy do these statuses guarantee that the request was not executed
	}
	return true
}

// length returns the body length announced to the client, or -1 if it is unknown.
func (r *result) length() int64 {
	buffered := r.streamPlacement == nil && r.conn == nil
	if buffered && r.resp.Request.Method != http.MethodHead {
		return int64(len(r.body))
	}
	return r.resp.ContentLength
}

// release closes the connection of a response that will not be read to its end.
func (r *result) release() {
	if r != nil && r.conn != nil {
		r.conn.close()
	}
}

// retryable reports whether another upstream might give a better response.
func (r *result) retryable() bool {
	if r.resp == nil || r.unverified {
		return true
	}
	c := r.resp.StatusCode
	return c >= 500 || c == http.StatusTooManyRequests || c == http.StatusRequestTimeout || c == http.StatusMisdirectedRequest ||
		c/100 == 2 && r.resp.Header.Get(headerSeal) == ""
}

// classify derives the outcome and notExecuted from the response's status and headers.
func (r *result) classify() {
	status := r.resp.StatusCode
	switch {
	case status == http.StatusMisdirectedRequest:
		r.notExecuted = !r.unverified
		r.outcome = outcomeTransportError
	case r.resp.Header.Get(headerNotExecuted) != "" && status/100 != 2:
		r.notExecuted = !r.unverified
		r.outcome = outcomeAtCapacity
	case status >= 500:
		r.outcome = outcomeServerError
	}
}
