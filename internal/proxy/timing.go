package proxy

import (
	"net/http"
	"time"

	"slateridge/internal/constants"
)

// timing decides how long a request waits, whether it is still sent, and when its caller is
// told to come again. It goes by the time that the caller has and by the time that the work
// takes, and by nothing else: whether the request was offered before, and what else its
// route says, changes none of it.
type timing struct {
	answerBy    time.Time // the answer, or a stream's first piece, is of use until then
	callerUntil time.Time // the caller tries again elsewhere until then
	work        workTime
}

// timing is that of this request, as of now.
func (p *exchange) timing() timing {
	return timing{answerBy: p.answerBy(), callerUntil: p.callerUntil, work: p.proxy.pool.workTime(p.service)}
}

// answerBy is until when the caller waits for the answer or for a stream's first piece:
// clients give up a stream that stays silent.
func (p *exchange) answerBy() time.Time {
	if !p.route.Stream {
		return p.deadline
	}
	patience := max(constants.StreamPatience, constants.StreamPatienceTargets*p.route.TargetLatency)
	if silentUntil := p.arrived.Add(patience); silentUntil.Before(p.deadline) {
		return silentUntil
	}
	return p.deadline
}

// latestStart is until when it is of use to wait for room here: the work is likely to be
// done in time, and a caller that is refused instead can still be served elsewhere, though
// it may first wait for a part of its time. One that cannot be served elsewhere any more
// loses nothing by waiting here.
func (t timing) latestStart(now time.Time) time.Time {
	elsewhere := t.callerUntil.Add(-time.Duration(float64(t.work.likely) / (1 - constants.RetryAfterPart)))
	here := t.answerBy
	if !t.work.learnedAt.IsZero() { // else nobody knows that it would come too late
		here = here.Add(-t.work.likely)
	}
	if elsewhere.After(now) {
		return earlier(here, elsewhere)
	}
	return here
}

// tooLate says that the request would hardly be answered in time if it were sent now, while
// a promise that it has not run could not be given any more.
func (t timing) tooLate(now time.Time) bool {
	left := t.answerBy.Sub(now)
	return left <= constants.AnswerReturn || left < t.work.leastNow(now)
}

// connectBy is until when a connection to one upstream is waited for: until another can still
// be asked, and to the end where there is no time for that anyway.
func (t timing) connectBy(now time.Time) time.Time {
	if another := t.latestStart(now); another.After(now) {
		return another
	}
	return t.answerBy
}

// secondAt is when another upstream is asked beside one that was asked at a moment and
// stays silent: when that is unusual, or sooner if there would be no time left elsewhere,
// but not before most answers have come.
func (t timing) secondAt(asked time.Time) time.Time {
	unusual := asked.Add(t.work.unusual())
	last := t.answerBy.Add(-t.work.likely)
	if last.After(unusual) {
		return unusual
	}
	if most := asked.Add(t.work.likely); last.Before(most) {
		return most
	}
	return last
}

// retryAfter is what a refused caller is told, when that which it lacks is due after a time:
// no more than the part of its time that it will wait.
func (t timing) retryAfter(now time.Time, due time.Duration) time.Duration {
	return max(0, min(due, time.Duration(float64(t.callerUntil.Sub(now))*constants.RetryAfterPart)))
}

// newsRetry is what a caller is told that was refused for want of news from control: a proxy
// asks for it so often.
func newsRetry(arrived time.Time, r *http.Request) time.Duration {
	return timing{callerUntil: arrived.Add(clientTimeBudget(r))}.retryAfter(arrived, constants.SubscribeEvery)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
