package proxy

import (
	"net/http"
	"time"

	"slateridge/internal/constants"
)

// timing decides how long a request waits, whether it is still sent, and the Retry-After of a
// refusal. It depends only on the time the caller has and on the latency of the service: earlier
// attempts and other settings of the route change nothing.
type timing struct {
	responseDeadline time.Time // when a response, or a stream's first chunk, stops being useful
	callerDeadline   time.Time // when the caller stops retrying elsewhere
	latency          latencyEstimate
}

// timing returns the request's timing with the current latency of its service.
func (p *exchange) timing() timing {
	return timing{responseDeadline: p.responseDeadline(), callerDeadline: p.callerDeadline, latency: p.proxy.pool.latencyEstimate(p.service)}
}

// responseDeadline returns the time until which the caller waits for the response, or for the
// first chunk of a stream: clients abandon a stream that delivers nothing for long.
func (p *exchange) responseDeadline() time.Time {
	if !p.route.Streaming {
		return p.deadline
	}
	patience := max(constants.StreamIdleTimeout, constants.StreamIdleTimeoutTargets*p.route.TargetLatency)
	if abandonedAt := p.arrived.Add(patience); abandonedAt.Before(p.deadline) {
		return abandonedAt
	}
	return p.deadline
}

// latestStart returns the time until which it is useful to wait for capacity here: the request is still
// likely to complete in time, and a caller that is refused instead can still be served
// elsewhere, even if it first waits for the part of its time that Retry-After may ask for. A
// caller that can no longer be served elsewhere loses nothing by waiting here.
func (t timing) latestStart(now time.Time) time.Time {
	elsewhere := t.callerDeadline.Add(-time.Duration(float64(t.latency.high) / (1 - constants.RetryAfterFraction)))
	here := t.responseDeadline
	if !t.latency.updatedAt.IsZero() { // without samples nothing shows that it would be too late
		here = here.Add(-t.latency.high)
	}
	if elsewhere.After(now) {
		return earlier(here, elsewhere)
	}
	return here
}

// tooLate reports whether the request, if sent now, could hardly be answered in time. Once it is
// sent, the caller could no longer be guaranteed that it was not executed.
func (t timing) tooLate(now time.Time) bool {
	remaining := t.responseDeadline.Sub(now)
	return remaining <= constants.ResponseReturnTime || remaining < t.latency.decayedLow(now)
}

// connectDeadline returns the time until which to wait for a connection to one upstream: as long
// as another upstream can still be tried, or until the response deadline if there is no time for
// that anyway.
func (t timing) connectDeadline(now time.Time) time.Time {
	if tryAnotherBy := t.latestStart(now); tryAnotherBy.After(now) {
		return tryAnotherBy
	}
	return t.responseDeadline
}

// hedgeAt returns when to send the request to a second upstream if the first, to which it was
// sent at the given time, has not responded: once the delay is unusual, or earlier if too little
// time would be left for the second, but not before most responses usually arrive.
func (t timing) hedgeAt(sentAt time.Time) time.Time {
	slowAt := sentAt.Add(t.latency.slowThreshold())
	latest := t.responseDeadline.Add(-t.latency.high)
	if latest.After(slowAt) {
		return slowAt
	}
	if highAt := sentAt.Add(t.latency.high); latest.Before(highAt) {
		return highAt
	}
	return latest
}

// retryAfter returns the Retry-After of a refusal if the missing resource is expected to be
// available after due. It never exceeds the part of its time that the caller is willing to wait.
func (t timing) retryAfter(now time.Time, due time.Duration) time.Duration {
	return max(0, min(due, time.Duration(float64(t.callerDeadline.Sub(now))*constants.RetryAfterFraction)))
}

// configRetryAfter returns the Retry-After of a refusal for lack of a configuration or of a
// recent confirmation of it: a proxy sends the control plane a heartbeat every SubscribeInterval.
func configRetryAfter(arrived time.Time, r *http.Request) time.Duration {
	return timing{callerDeadline: arrived.Add(clientTimeBudget(r))}.retryAfter(arrived, constants.SubscribeInterval)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
