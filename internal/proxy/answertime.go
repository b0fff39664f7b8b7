package proxy

import (
	"math"
	"slices"
	"time"

	"slateridge/internal/constants"
)

// answerTime estimates how long one peer takes to answer, from the answers it has given:
// their mean and their mean deviation, the newest weighing most.
type answerTime struct {
	mean, deviation float64 // seconds
	learnedAt       time.Time
}

// learn takes one more answer, which took so many seconds.
func (a *answerTime) learn(now time.Time, seconds float64) {
	if a.learnedAt.IsZero() {
		a.mean, a.deviation = seconds, seconds/2
	} else {
		off := seconds - a.mean
		a.mean += constants.DelayWeight * off
		a.deviation += constants.DelayWeight * (math.Abs(off) - a.deviation)
	}
	a.learnedAt = now
}

// known says whether there has been any answer.
func (a *answerTime) known() bool { return !a.learnedAt.IsZero() }

// estimate is what a single peer's answers tell.
func (a *answerTime) estimate() workTime {
	if !a.known() {
		return unknownWork
	}
	return workTime{usual: seconds(a.mean), spread: seconds(a.deviation), learnedAt: a.learnedAt}
}

// workTime is how long the work on a request takes, until its answer or the first piece of
// its stream.
type workTime struct {
	usual, spread time.Duration
	learnedAt     time.Time // when the latest answer came; zero: none has
}

// unknownWork is assumed until the first answer.
var unknownWork = workTime{usual: constants.FirstDelay, spread: constants.FirstDelay / 2}

// likely is the time within which most answers come.
func (w workTime) likely() time.Duration { return w.usual + constants.LikelySpreads*w.spread }

// least is the time in which hardly any answer comes. What was learned long ago rules
// nothing out: were it to, nobody would be sent who could show that it is wrong.
func (w workTime) least(now time.Time) time.Duration {
	if w.learnedAt.IsZero() {
		return 0
	}
	age := now.Sub(w.learnedAt).Seconds() / constants.DelayFade.Seconds()
	return time.Duration(float64(max(0, w.usual-constants.LikelySpreads*w.spread)) * math.Exp(-age))
}

// unusual is a silence that is out of the ordinary, for answers as even or uneven as these.
func (w workTime) unusual() time.Duration {
	return max(constants.UnusualFactor*w.usual, w.usual+constants.UnusualSpreads*w.spread)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// workTime is how long the upstreams for a target take.
func (pool *Pool) workTime(w target) workTime {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.workTimeLocked(w, time.Now())
}

// workTimeLocked takes the median of the upstreams that are asked first: some may be stuck.
// It is reckoned anew every so often, not for each request.
func (pool *Pool) workTimeLocked(w target, now time.Time) workTime {
	set := pool.candidates(w)
	if now.Sub(set.workAt) < constants.WorkTimeEvery {
		return set.work
	}
	set.workAt, set.work = now, unknownWork
	var usual []float64
	var learnedAt time.Time
	for _, u := range set.preferred {
		if u.answerTime.known() {
			usual = append(usual, u.answerTime.mean)
			if u.answerTime.learnedAt.After(learnedAt) {
				learnedAt = u.answerTime.learnedAt
			}
		}
	}
	if len(usual) == 0 {
		return set.work
	}
	middle := median(usual)
	var spread []float64
	for _, u := range set.preferred {
		if u.answerTime.known() {
			spread = append(spread, math.Abs(u.answerTime.mean-middle)+u.answerTime.deviation)
		}
	}
	set.work = workTime{usual: seconds(middle), spread: seconds(median(spread)), learnedAt: learnedAt}
	return set.work
}

// median sorts values and gives the middle one.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
