package proxy

import (
	"math"
	"slices"
	"time"

	"slateridge/internal/constants"
)

// latencyWindow holds the latencies of the most recent responses, of a service or of one peer.
type latencyWindow struct {
	samples      []float64 // seconds; a ring buffer once it is full
	next         int       // index of the oldest sample, which is overwritten next
	cachedMedian float64   // median of the samples unless medianStale: it is read many times between two responses
	medianStale  bool
	updatedAt    time.Time // when the latest response arrived; zero if none has
}

// observe records the latency of one more response, in seconds.
func (w *latencyWindow) observe(now time.Time, seconds float64) {
	w.updatedAt, w.medianStale = now, true
	if len(w.samples) < constants.LatencySamples {
		w.samples = append(w.samples, seconds)
		return
	}
	w.samples[w.next] = seconds
	w.next = (w.next + 1) % len(w.samples)
}

// hasSamples reports whether any response has been observed.
func (w *latencyWindow) hasSamples() bool { return len(w.samples) > 0 }

// median returns the median latency in seconds; 0 without samples.
func (w *latencyWindow) median() float64 {
	if w.medianStale {
		w.cachedMedian, w.medianStale = median(slices.Clone(w.samples)), false
	}
	return w.cachedMedian
}

// estimate returns the latency estimate for the current samples.
func (w *latencyWindow) estimate() latencyEstimate {
	return estimateLatency(slices.Clone(w.samples), w.updatedAt)
}

// latencyEstimate describes how long a service takes to respond, or to send the first chunk of a
// stream: few of the recent responses arrived within low, half within median and most within
// high. A few outliers do not affect it.
type latencyEstimate struct {
	low, median, high time.Duration
	updatedAt         time.Time // when the latest response arrived; zero if none has
}

// defaultLatency is assumed until the first response.
var defaultLatency = latencyEstimate{median: constants.DefaultUpstreamDelay, high: 2 * constants.DefaultUpstreamDelay}

// estimateLatency returns the estimate for response latencies in seconds, which it sorts.
func estimateLatency(latencies []float64, updatedAt time.Time) latencyEstimate {
	if len(latencies) == 0 {
		return defaultLatency
	}
	slices.Sort(latencies)
	at := func(part float64) time.Duration {
		return seconds(latencies[int(math.Round(part*float64(len(latencies)-1)))])
	}
	return latencyEstimate{low: at(1 - constants.LatencyQuantile), median: at(0.5), high: at(constants.LatencyQuantile), updatedAt: updatedAt}
}

// decayedLow returns the time within which hardly any response arrives. It decays with the age
// of the estimate: otherwise an outdated estimate could keep every request from being sent, and
// no response could ever correct it.
func (e latencyEstimate) decayedLow(now time.Time) time.Duration {
	age := now.Sub(e.updatedAt).Seconds() / constants.DelayDecayTime.Seconds()
	return time.Duration(float64(e.low) * math.Exp(-age))
}

// slowThreshold returns the delay above which a response is unusually late, given how much
// latencies vary.
func (e latencyEstimate) slowThreshold() time.Duration {
	return max(constants.SlowMedianFactor*e.median, constants.SlowQuantileFactor*e.high)
}

// spread returns by how much latencies usually vary.
func (e latencyEstimate) spread() time.Duration { return e.high - e.median }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// serviceLatency holds the latencies of the requests of this proxy to one service. It outlives
// the service's upstreams, each of which may be new.
type serviceLatency struct {
	responses   latencyWindow   // of successful responses, or of the first chunks of streams
	occupancy   latencyWindow   // how long requests held their placements
	estimate    latencyEstimate // as last computed
	estimatedAt time.Time
}

// observeResponse records the latency in seconds of a successful response, or of the first chunk
// of a stream.
func (l *serviceLatency) observeResponse(now time.Time, latency float64) {
	if !l.responses.hasSamples() {
		l.estimatedAt = time.Time{} // so that the first response updates the estimate immediately
	}
	l.responses.observe(now, latency)
}

// serviceLatencyLocked returns the latencies of a service.
func (pool *Pool) serviceLatencyLocked(service string) *serviceLatency {
	latency := pool.latencies[service]
	if latency == nil {
		latency = &serviceLatency{}
		pool.latencies[service] = latency
	}
	return latency
}

// latencyEstimate returns the latency estimate of a service.
func (pool *Pool) latencyEstimate(service string) latencyEstimate {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.latencyEstimateLocked(service, time.Now())
}

// latencyEstimateLocked returns the latency estimate of a service. It is recomputed at most once
// every LatencyEstimateInterval, not for each request.
func (pool *Pool) latencyEstimateLocked(service string, now time.Time) latencyEstimate {
	latency := pool.serviceLatencyLocked(service)
	if now.Sub(latency.estimatedAt) >= constants.LatencyEstimateInterval {
		latency.estimatedAt, latency.estimate = now, latency.responses.estimate()
	}
	return latency.estimate
}

// median sorts values and returns the middle one.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
