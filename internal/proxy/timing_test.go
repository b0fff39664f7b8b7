package proxy

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/discovery"
)

// equalTimingConfig has routes to one service that differ only in settings that must not affect
// timing.
const equalTimingConfig = `{"configVersion":"r9","resourceList":[
{"resourceKind":"routes","metadata":{"name":"a"},"spec":{"host":"h.example","pathPrefix":"/a/","routeType":"idempotent","timeout":"5s","targetLatency":"100ms","priority":1,"targetService":"svc","maxAttempts":3}},
{"resourceKind":"routes","metadata":{"name":"b"},"spec":{"host":"h.example","pathPrefix":"/b/","routeType":"idempotent","timeout":"5s","targetLatency":"2s","priority":1,"targetService":"svc","maxAttempts":3}},
{"resourceKind":"routes","metadata":{"name":"c"},"spec":{"host":"h.example","pathPrefix":"/c/","routeType":"idempotent","timeout":"5s","priority":1,"targetService":"svc","maxAttempts":3}},
{"resourceKind":"routes","metadata":{"name":"once"},"spec":{"host":"h.example","pathPrefix":"/once/","routeType":"non_idempotent","timeout":"5s","targetLatency":"100ms","priority":1,"targetService":"svc","maxAttempts":3}},
{"resourceKind":"services","metadata":{"name":"svc"},"spec":{"maxConnections":100}}]}`

// equalTimingPaths are paths on routes that differ only in their target latency.
var equalTimingPaths = []string{"/a/", "/b/", "/c/"}

// uniformLatency returns the window of a peer whose recent responses all had the same latency.
func uniformLatency(latency time.Duration) *latencyWindow {
	w := &latencyWindow{}
	for range constants.LatencySamples {
		w.observe(time.Now(), latency.Seconds())
	}
	return w
}

// newProxyWithLatency returns a proxy whose upstreams have recently responded with the usual
// latency.
func newProxyWithLatency(t *testing.T, usual time.Duration, instances ...discovery.Instance) *Proxy {
	s := newProxy(t, instances...)
	cfg, err := config.Parse([]byte(equalTimingConfig))
	if err != nil {
		t.Fatal(err)
	}
	s.config.Store(cfg)
	s.pool.mu.Lock()
	for _, u := range s.pool.upstreams {
		u.delay, u.delayUpdatedAt = usual.Seconds(), time.Now()
	}
	s.pool.latencies["svc"] = &serviceLatency{responses: *uniformLatency(usual), occupancy: *uniformLatency(usual)}
	s.pool.mu.Unlock()
	for range 1000 {
		s.retryBudget.RecordRequest(s.now(), "svc")
	}
	return s
}

// occupyAll takes all available placements and returns a function that releases one of them per
// call.
func occupyAll(s *Proxy) (release func() bool) {
	var taken []*placement
	for pl := s.pool.Place(target{service: "svc", regions: anyRegion}, nil); pl != nil; pl = s.pool.Place(target{service: "svc", regions: anyRegion}, nil) {
		taken = append(taken, pl)
	}
	return func() bool {
		if len(taken) == 0 {
			return false
		}
		s.pool.finish(taken[0], outcomeUnused)
		taken = taken[1:]
		return true
	}
}

func timedGet(s *Proxy, path string, budget time.Duration) (w *httptest.ResponseRecorder, took time.Duration) {
	began := time.Now()
	w = sendRequest(s, "GET", path, "", headerBudget, strconv.FormatInt(budget.Milliseconds(), 10))
	return w, time.Since(began)
}

// unreachableUpstream is an upstream to which nothing may be sent.
var unreachableUpstream = discovery.Instance{ID: "i-1", Service: "svc", Address: "127.0.0.1:1", Zone: "z", Slots: 2}

func newFastUpstream(t *testing.T) discovery.Instance {
	return newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false }).instance("i-1")
}

func assertDuration(t *testing.T, what string, got, least, most time.Duration) {
	t.Helper()
	if got < least || got > most {
		t.Errorf("%s: %v, want %v to %v", what, got, least, most)
	}
}

// A request waits for capacity as long as its caller can still be served, here or, after the
// wait that Retry-After asks for, elsewhere. The route's target latency makes no difference.
func TestQueueWaitDependsOnCallerBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual = 40 * time.Millisecond
		for _, budget := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond} {
			for _, path := range equalTimingPaths {
				s := newProxyWithLatency(t, usual, unreachableUpstream)
				occupyAll(s)
				w, took := timedGet(s, path, budget)
				left := budget - took
				if w.Code != http.StatusServiceUnavailable {
					t.Errorf("%s with %v: got %d", path, budget, w.Code)
				}
				if want := budget - usual*3/2; took != want {
					t.Errorf("%s with %v is refused after %v, want %v", path, budget, took, want)
				}
				if retryAfter, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64); retryAfter <= 0 || seconds(retryAfter) > left/3 {
					t.Errorf("%s with %v: Retry-After is %v s with %v left", path, budget, retryAfter, left)
				}
			}
		}
	})
}

// The longer the latency of the service, the earlier a caller is refused for lack of capacity.
func TestQueueWaitDependsOnServiceLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const budget = 900 * time.Millisecond
		var waits []time.Duration
		for _, usual := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
			s := newProxyWithLatency(t, usual, unreachableUpstream)
			occupyAll(s)
			_, took := timedGet(s, "/a/", budget)
			waits = append(waits, took)
		}
		if waits[0]-waits[1] < 250*time.Millisecond {
			t.Errorf("waits of %v, the second should be shorter by 1.5 times the difference in latency", waits)
		}
	})
}

// If earlier waiters use up all capacity that becomes available in a caller's time, the caller
// is refused immediately.
func TestRequestThatCannotBePlacedInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual, budget, requests = 200 * time.Millisecond, time.Second, 60
		s := newProxyWithLatency(t, usual, unreachableUpstream)
		occupyAll(s) // two placements: ten requests a second
		var mu sync.Mutex
		refusedAtOnce, waited := 0, 0
		var group sync.WaitGroup
		for range requests {
			time.Sleep(time.Millisecond)
			group.Go(func() {
				w, took := timedGet(s, "/a/", budget)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case w.Code != http.StatusServiceUnavailable:
					t.Errorf("got %d", w.Code)
				case took < 50*time.Millisecond:
					refusedAtOnce++
				default:
					waited++
				}
			})
		}
		group.Wait()
		if waited < 5 || waited > 9 || refusedAtOnce != requests-waited {
			t.Errorf("%d of %d waited, and %d were refused at once: about seven placements become free in time", waited, requests, refusedAtOnce)
		}
	})
}

// The request is hedged once the first upstream is unusually slow for the service, or earlier if
// too little of the caller's time would be left. The route's target latency makes no difference.
func TestHedgeDelayDependsOnServiceLatency(t *testing.T) {
	arrived := time.Now()
	for _, c := range []struct{ usual, budget, hedgeDelay time.Duration }{
		{30 * time.Millisecond, time.Second, 90 * time.Millisecond},
		{150 * time.Millisecond, time.Second, 450 * time.Millisecond},
		{150 * time.Millisecond, 500 * time.Millisecond, 350 * time.Millisecond}, // 450 ms would leave 50 ms for work of 150 ms
		{150 * time.Millisecond, 200 * time.Millisecond, 150 * time.Millisecond}, // but not before the usual latency
	} {
		for _, path := range equalTimingPaths {
			s := newProxyWithLatency(t, c.usual, unreachableUpstream)
			cfg := s.config.Load()
			r := httptest.NewRequest("GET", path, nil)
			r.Header.Set(headerBudget, strconv.FormatInt(c.budget.Milliseconds(), 10))
			timing := s.newExchange(r, arrived, cfg, cfg.Match("h.example", path), nil).timing()
			if hedgeDelay := timing.hedgeAt(arrived).Sub(arrived); hedgeDelay != c.hedgeDelay {
				t.Errorf("%s, %+v: hedged after %v", path, c, hedgeDelay)
			}
		}
	}
}

// If the first upstream does not respond, the second is tried while the caller still has time.
func TestSecondUpstreamIsAskedBeforeDeadline(t *testing.T) {
	const usual, budget = 30 * time.Millisecond, 2 * time.Second
	for _, path := range equalTimingPaths {
		requestTimes := make(chan time.Time, 8)
		silent := func(_ int, r *http.Request) (string, bool) {
			requestTimes <- time.Now()
			time.Sleep(budget)
			return okResponse(r, "x"), false
		}
		a, b := newRawUpstream(t, silent), newRawUpstream(t, silent)
		s := newProxyWithLatency(t, usual, a.instance("i-1"), b.instance("i-2"))
		began := time.Now()
		timedGet(s, path, budget)
		<-requestTimes
		if hedgeDelay := (<-requestTimes).Sub(began); hedgeDelay < 3*usual || hedgeDelay > budget/2 {
			t.Errorf("%s: the second upstream is tried after %v of %v; want a hedge after %v", path, hedgeDelay, budget, 3*usual)
		}
	}
}

// A request that an upstream rejected waits for capacity in the same way as a new one: only the
// remaining time counts.
func TestRejectedRequestWaitsForCapacity(t *testing.T) {
	full := newRawUpstream(t, func(_ int, _ *http.Request) (string, bool) {
		return formatResponse("503 Full", "id-1", "X-Slateridge-Not-Executed: 1\r\n", ""), false
	})
	free := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
	for _, path := range []string{"/a/", "/b/", "/once/"} {
		s := newProxyWithLatency(t, 30*time.Millisecond, free.instance("i-free"))
		release := occupyAll(s)
		s.pool.Apply(time.Now(), []discovery.Instance{free.instance("i-free"), full.instance("i-full")})
		time.AfterFunc(200*time.Millisecond, func() {
			for release() {
			}
		})
		before := full.count()
		w, took := timedGet(s, path, time.Second)
		if w.Code != http.StatusOK || full.count() != before+1 {
			t.Errorf("%s: got %d after %v and %d arrivals at the upstream that is full", path, w.Code, took, full.count()-before)
		}
	}
}

// Among requests of the same priority, the one with the earliest latest start gets the capacity,
// in whatever order they arrived.
func TestCapacityGoesToEarliestLatestStart(t *testing.T) {
	const caller = "X-Caller"
	var mu sync.Mutex
	var order []string
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
		mu.Lock()
		order = append(order, r.Header.Get(caller))
		mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		return okResponse(r, "x"), false
	})
	s := newProxyWithLatency(t, 30*time.Millisecond, u.instance("i-1"))
	release := occupyAll(s)
	var group sync.WaitGroup
	for _, budget := range []string{"3000", "2000", "1000"} {
		group.Go(func() {
			if w := sendRequest(s, "GET", "/a/", "", headerBudget, budget, caller, budget); w.Code != http.StatusOK {
				t.Errorf("with %s ms: got %d", budget, w.Code)
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	s.pool.mu.Lock()
	for pl := range s.pool.upstreams["i-1"].active {
		s.pool.upstreams["i-1"].active[pl] = time.Now().Add(time.Hour) // the other placement stays taken, and its request does not look slow
	}
	s.pool.mu.Unlock()
	release()
	group.Wait()
	if want := "[1000 2000 3000]"; fmt.Sprint(order) != want {
		t.Errorf("served %v, want %v", order, want)
	}
}

// Capacity that becomes available when an ejection ends is granted to the requests that are
// queued then, even if no request completes or arrives.
func TestEndOfEjectionServesQueue(t *testing.T) {
	s := newProxyWithLatency(t, 20*time.Millisecond, newFastUpstream(t))
	s.pool.mu.Lock()
	for _, u := range s.pool.upstreams {
		u.ejectedUntil = time.Now().Add(200 * time.Millisecond)
	}
	s.pool.mu.Unlock()
	busy := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
	s.pool.Apply(time.Now(), append([]discovery.Instance{busy.instance("i-2"), busy.instance("i-3")}, s.pool.upstreams["i-1"].instance))
	occupyAll(s)
	w, took := timedGet(s, "/a/", 3*time.Second)
	if w.Code != http.StatusOK {
		t.Errorf("got %d", w.Code)
	}
	assertDuration(t, "served after", took, 150*time.Millisecond, 500*time.Millisecond)
}

// A caller that is refused for lack of a configuration gets a Retry-After within the part of its
// time that it is willing to wait, and no longer than until the next update may arrive.
func TestRetryAfterWithoutConfig(t *testing.T) {
	s := newProxyWithLatency(t, 20*time.Millisecond)
	s.config.Store(nil)
	retryAfter := func(budget time.Duration) time.Duration {
		w, _ := timedGet(s, "/a/", budget)
		retry, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		if w.Code != http.StatusServiceUnavailable || err != nil {
			t.Fatalf("with %v: got %d, %v", budget, w.Code, err)
		}
		return seconds(retry)
	}
	if short := retryAfter(300 * time.Millisecond); short > 100*time.Millisecond {
		t.Errorf("with 300 ms: Retry-After is %v", short)
	}
	if long := retryAfter(10 * time.Second); long != constants.SubscribeInterval {
		t.Errorf("with 10 s: Retry-After is %v, want the subscription interval %v", long, constants.SubscribeInterval)
	}
}

// A process that is about to exit answers its queued requests before it exits.
func TestDrainAnswersQueuedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newProxyWithLatency(t, 20*time.Millisecond, unreachableUpstream)
		occupyAll(s)
		time.AfterFunc(100*time.Millisecond, func() { s.pool.Drain(time.Now().Add(400 * time.Millisecond)) })
		w, took := timedGet(s, "/a/", 4*time.Second)
		if w.Code != http.StatusServiceUnavailable {
			t.Errorf("got %d", w.Code)
		}
		assertDuration(t, "answered after", took, 470*time.Millisecond, 480*time.Millisecond)
	})
}

// A few very slow responses do not delay hedges, and do not shorten the wait for capacity of
// requests that have far more time than most responses take.
func TestOutliersDoNotRaiseLatencyEstimate(t *testing.T) {
	s := newProxyWithLatency(t, 5*time.Millisecond, newFastUpstream(t))
	s.pool.latencies["svc"].responses.observe(time.Now(), 2)
	estimate := s.pool.latencyEstimate("svc")
	if estimate.high > 10*time.Millisecond || estimate.slowThreshold() > 30*time.Millisecond {
		t.Errorf("many responses of 5 ms and one of 2 s: high %v, slow threshold %v", estimate.high, estimate.slowThreshold())
	}
	release := occupyAll(s)
	time.AfterFunc(30*time.Millisecond, func() {
		for release() {
		}
	})
	if w, took := timedGet(s, "/once/", 100*time.Millisecond); w.Code != http.StatusOK {
		t.Errorf("got %d after %v", w.Code, took)
	}
}

// An old latency estimate does not keep requests from being sent: if it did, no response could
// show that the latency has improved.
func TestOldLatencyEstimateRefusesNothing(t *testing.T) {
	now := time.Now()
	estimate := latencyEstimate{low: 980 * time.Millisecond, median: time.Second, high: 1020 * time.Millisecond, updatedAt: now}
	late := timing{responseDeadline: now.Add(500 * time.Millisecond), callerDeadline: now.Add(500 * time.Millisecond), latency: estimate}
	if !late.tooLate(now) {
		t.Error("sent with half of the time that the service takes")
	}
	late.latency.updatedAt = now.Add(-10 * time.Second)
	if late.tooLate(now) {
		t.Error("refused because of an estimate that is ten seconds old")
	}
	late.latency = defaultLatency
	if late.tooLate(now) {
		t.Error("refused because of the default estimate")
	}
}

// An upstream in another zone is chosen if it is faster by more than the spread of latencies,
// however small or large that is: for a service with fast and uniform responses a few
// milliseconds matter to callers.
func TestRemoteZoneMustBeFasterByMoreThanSpread(t *testing.T) {
	for _, c := range []struct {
		near, far, spread time.Duration
		goesFar           bool
	}{
		{20 * time.Millisecond, 5 * time.Millisecond, time.Millisecond, true},
		{20 * time.Millisecond, 15 * time.Millisecond, 10 * time.Millisecond, false},
		{200 * time.Millisecond, 150 * time.Millisecond, 60 * time.Millisecond, false},
		{200 * time.Millisecond, 150 * time.Millisecond, time.Millisecond, true},
	} {
		s := newProxy(t, discovery.Instance{ID: "near", Service: "svc", Zone: "z", Slots: 4}, discovery.Instance{ID: "far", Service: "svc", Zone: "z2", Slots: 4})
		now := time.Now()
		for id, usual := range map[string]time.Duration{"near": c.near, "far": c.far} {
			u := s.pool.upstreams[id]
			u.delay, u.delayUpdatedAt = usual.Seconds(), now
			u.responses = 1
		}
		estimate := latencyEstimate{median: c.near, high: c.near + 2*c.spread, updatedAt: now}
		s.pool.latencies["svc"] = &serviceLatency{estimate: estimate, estimatedAt: now.Add(time.Minute)}
		if pl := s.pool.Place(target{service: "svc", regions: anyRegion}, nil); (pl.upstream.instance.ID == "far") != c.goesFar {
			t.Errorf("%+v, usual latency %v: %s was chosen", c, estimate.median, pl.upstream.instance.ID)
		}
	}
}

// An upstream is slow relative to the others of its service, whatever the latency of the
// service: the limit of active requests is the same if every response takes three seconds.
func TestSlownessIsRelativeToService(t *testing.T) {
	for _, usual := range []time.Duration{30 * time.Millisecond, 3 * time.Second} {
		instances := []discovery.Instance{{ID: "i-1", Service: "svc", Zone: "z", Slots: 1}, {ID: "i-2", Service: "svc", Zone: "z", Slots: 1}, {ID: "i-slow", Service: "svc", Zone: "z", Slots: 1}}
		s := newProxyWithLatency(t, usual, instances...)
		s.pool.SetProxies(1)
		s.pool.mu.Lock()
		s.pool.upstreams["i-slow"].delay = 4 * usual.Seconds()
		s.pool.mu.Unlock()
		occupyAll(s)
		got := map[string]int{}
		for id, u := range s.pool.upstreams {
			got[id] = len(u.active)
		}
		if want := map[string]int{"i-1": 2, "i-2": 2, "i-slow": 1}; !maps.Equal(got, want) {
			t.Errorf("usual latency %v: placed %v, want %v", usual, got, want)
		}
	}
}
