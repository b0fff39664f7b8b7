package proxy

import (
	"time"

	"slateridge/internal/constants"
)

// timing decides whether a request is still sent, and when another upstream is asked
// beside a silent one. It goes by the time that the caller has and by the time that the work
// takes, and by nothing else: whether the request was offered before, and what else its
// route says, changes none of it.
type timing struct {
	answerBy time.Time // the answer, or a stream's first piece, is of use until then
	work     workTime
}

// timing is that of this request, as of now.
func (p *exchange) timing() timing {
	return timing{answerBy: p.answerBy(), work: p.proxy.pool.workTime(p.target())}
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

// tooLate says that the request would hardly be answered in time if it were sent now, while
// a promise that it has not run could not be given any more.
func (t timing) tooLate(now time.Time) bool {
	left := t.answerBy.Sub(now)
	return left <= constants.AnswerReturn || left < t.work.least(now)
}

// secondAt is when another upstream is asked beside one that was asked at a moment and
// stays silent: when that is unusual, or sooner if there would be no time left elsewhere,
// but not before most answers have come.
func (t timing) secondAt(asked time.Time) time.Time {
	unusual := asked.Add(t.work.unusual())
	last := t.answerBy.Add(-t.work.likely())
	if last.After(unusual) {
		return unusual
	}
	if most := asked.Add(t.work.likely()); last.Before(most) {
		return most
	}
	return last
}
