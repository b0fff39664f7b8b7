package proxy

import (
	"math"
	"slices"
	"time"

	"slateridge/internal/constants"
)

// latencyWindow knows how long each of the latest answers took, of a service or of one peer.
type latencyWindow struct {
	samples      []float64 // seconds; a ring once it is full
	next         int       // the oldest of it, overwritten next
	cachedMedian float64   // their median, unless stale: many ask for it between two answers
	medianStale  bool
	updatedAt    time.Time // when the latest answer came; zero: none has
}

// observe takes one more answer, which took so many seconds.
func (a *latencyWindow) observe(now time.Time, seconds float64) {
	a.updatedAt, a.medianStale = now, true
	if len(a.samples) < constants.RecentAnswers {
		a.samples = append(a.samples, seconds)
		return
	}
	a.samples[a.next] = seconds
	a.next = (a.next + 1) % len(a.samples)
}

// hasSamples says whether there has been any answer.
func (a *latencyWindow) hasSamples() bool { return len(a.samples) > 0 }

// median is what half of the latest answers took no longer than, in seconds; 0 where there
// has been none.
func (a *latencyWindow) median() float64 {
	if a.medianStale {
		a.cachedMedian, a.medianStale = median(slices.Clone(a.samples)), false
	}
	return a.cachedMedian
}

// estimate is what the answers tell of the estimate.
func (a *latencyWindow) estimate() latencyEstimate {
	return estimateLatency(slices.Clone(a.samples), a.updatedAt)
}

// latencyEstimate is how long the work on a request takes, until its answer or the first piece of
// its stream: of the latest answers few came within least, half within usual and most within
// likely. What a few took that were stuck does not count.
type latencyEstimate struct {
	low, median, high time.Duration
	updatedAt         time.Time // when the latest answer came; zero: none has
}

// defaultLatency is assumed until the first answer.
var defaultLatency = latencyEstimate{median: constants.FirstDelay, high: 2 * constants.FirstDelay}

// estimateLatency is what answers tell that took so many seconds each; it sorts them.
func estimateLatency(answers []float64, learnedAt time.Time) latencyEstimate {
	if len(answers) == 0 {
		return defaultLatency
	}
	slices.Sort(answers)
	at := func(part float64) time.Duration {
		return seconds(answers[int(math.Round(part*float64(len(answers)-1)))])
	}
	return latencyEstimate{low: at(1 - constants.LikelyPart), median: at(0.5), high: at(constants.LikelyPart), updatedAt: learnedAt}
}

// decayedLow is the time in which hardly any answer comes. What was learned long ago rules
// nothing out: were it to, nobody would be sent who could show that it is wrong.
func (w latencyEstimate) decayedLow(now time.Time) time.Duration {
	age := now.Sub(w.updatedAt).Seconds() / constants.DelayFade.Seconds()
	return time.Duration(float64(w.low) * math.Exp(-age))
}

// hedgeThreshold is a silence that is out of the ordinary, for answers as even or uneven as these.
func (w latencyEstimate) hedgeThreshold() time.Duration {
	return max(constants.UnusualUsual*w.median, constants.UnusualLikely*w.high)
}

// spread is by how much answers usually vary.
func (w latencyEstimate) spread() time.Duration { return w.high - w.median }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// serviceLatency are those of a service's requests from here. They outlast its upstreams, of
// which each may be new.
type serviceLatency struct {
	responses   latencyWindow   // good ones, or the first pieces of streams
	occupancy   latencyWindow   // for how long requests took a place
	estimate    latencyEstimate // as reckoned last
	estimatedAt time.Time
}

// observeResponse takes a good answer, or the first piece of a stream, after so many seconds.
func (t *serviceLatency) observeResponse(now time.Time, took float64) {
	if !t.responses.hasSamples() {
		t.estimatedAt = time.Time{} // the first answer is known at once
	}
	t.responses.observe(now, took)
}

// serviceLatencyLocked are the times of a service.
func (pool *Pool) serviceLatencyLocked(service string) *serviceLatency {
	times := pool.times[service]
	if times == nil {
		times = &serviceLatency{}
		pool.times[service] = times
	}
	return times
}

// latencyEstimate is how long the work of a service takes.
func (pool *Pool) latencyEstimate(service string) latencyEstimate {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.latencyEstimateLocked(service, time.Now())
}

// latencyEstimateLocked is reckoned anew every so often, not for each request.
func (pool *Pool) latencyEstimateLocked(service string, now time.Time) latencyEstimate {
	times := pool.serviceLatencyLocked(service)
	if now.Sub(times.estimatedAt) >= constants.WorkTimeEvery {
		times.estimatedAt, times.estimate = now, times.responses.estimate()
	}
	return times.estimate
}

// median sorts values and gives the middle one.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
