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

// Routes of one service that differ in nothing that a caller's time depends on.
const sameTimeConfig = `{"configVersion":"r9","resourceList":[
{"resourceKind":"routes","metadata":{"name":"a"},"spec":{"host":"h.example","pathPrefix":"/a/","routeType":"idempotent","timeout":"5s","targetLatency":"100ms","priority":1,"targetService":"svc","maxAttempts":3}},
{"resourceKind":"routes","metadata":{"name":"b"},"spec":{"host":"h.example","pathPrefix":"/b/","routeType":"idempotent","timeout":"5s","targetLatency":"2s","priority":1,"targetService":"svc","maxAttempts":3}},
{"resourceKind":"routes","metadata":{"name":"c"},"spec":{"host":"h.example","pathPrefix":"/c/","routeType":"idempotent","timeout":"5s","priority":1,"targetService":"svc","maxAttempts":3}},
{"resourceKind":"routes","metadata":{"name":"once"},"spec":{"host":"h.example","pathPrefix":"/once/","routeType":"non_idempotent","timeout":"5s","targetLatency":"100ms","priority":1,"targetService":"svc","maxAttempts":3}},
{"resourceKind":"services","metadata":{"name":"svc"},"spec":{"maxConnections":100}}]}`

// sameTimePaths are those of routes that differ in their target latency, if they have one.
var sameTimePaths = []string{"/a/", "/b/", "/c/"}

// evenAnswers are of a peer that took the same time for each of its latest answers.
func evenAnswers(took time.Duration) *answerTime {
	a := &answerTime{}
	for range constants.RecentAnswers {
		a.learn(time.Now(), took.Seconds())
	}
	return a
}

// timedProxy is a proxy whose upstreams have answered some requests within a usual time.
func timedProxy(t *testing.T, usual time.Duration, ups ...discovery.Instance) *Proxy {
	s := newProxy(t, ups...)
	cfg, err := config.Read([]byte(sameTimeConfig))
	if err != nil {
		t.Fatal(err)
	}
	s.config.Store(cfg)
	s.pool.mu.Lock()
	for _, u := range s.pool.upstreams {
		u.delay, u.delayUpdatedAt = usual.Seconds(), time.Now()
	}
	s.pool.times["svc"] = &serviceTimes{answers: *evenAnswers(usual), held: *evenAnswers(usual)}
	s.pool.mu.Unlock()
	for range 1000 {
		s.retryBudget.RecordRequest(s.now(), "svc")
	}
	return s
}

// takeAll takes all places there are, and gives them back one by one.
func takeAll(s *Proxy) (giveBack func() bool) {
	var taken []*placement
	for of := s.pool.Place(target{service: "svc", regions: anyRegion}, nil); of != nil; of = s.pool.Place(target{service: "svc", regions: anyRegion}, nil) {
		taken = append(taken, of)
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

func request(s *Proxy, path string, budget time.Duration) (w *httptest.ResponseRecorder, took time.Duration) {
	began := time.Now()
	w = get(s, "GET", path, "", headerBudget, strconv.FormatInt(budget.Milliseconds(), 10))
	return w, time.Since(began)
}

// nowhere is an upstream that nothing is sent to.
var nowhere = discovery.Instance{ID: "i-1", Service: "svc", Address: "127.0.0.1:1", Zone: "z", Slots: 2}

func quick(t *testing.T) discovery.Instance {
	return newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "x"), false }).instance("i-1")
}

func tookWithin(t *testing.T, what string, got, least, most time.Duration) {
	t.Helper()
	if got < least || got > most {
		t.Errorf("%s: %v, want %v to %v", what, got, least, most)
	}
}

// A request waits for room for as long as its caller can still be served, here or, after
// the wait that a refusal asks for, elsewhere; its route's target latency changes nothing.
func TestWaitForRoomFollowsTheCallersTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual = 40 * time.Millisecond
		for _, budget := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond} {
			for _, path := range sameTimePaths {
				s := timedProxy(t, usual, nowhere)
				takeAll(s)
				w, took := request(s, path, budget)
				left := budget - took
				if w.Code != http.StatusServiceUnavailable {
					t.Errorf("%s with %v: got %d", path, budget, w.Code)
				}
				if want := budget - usual*3/2; took != want {
					t.Errorf("%s with %v is refused after %v, want %v", path, budget, took, want)
				}
				if told, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64); told <= 0 || seconds(told) > left/3 {
					t.Errorf("%s with %v: told to come again in %v s with %v left", path, budget, told, left)
				}
			}
		}
	})
}

// The longer the work, the sooner a caller hears that there was no room in time for it.
func TestWaitForRoomFollowsTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const budget = 900 * time.Millisecond
		var waits []time.Duration
		for _, usual := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
			s := timedProxy(t, usual, nowhere)
			takeAll(s)
			_, took := request(s, "/a/", budget)
			waits = append(waits, took)
		}
		if waits[0]-waits[1] < 250*time.Millisecond {
			t.Errorf("waits of %v, the second should be shorter by the work and a half", waits)
		}
	})
}

// When those ahead take all the room that opens in a caller's time, it hears so at once.
func TestNoRoomInTimeIsSaidAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual, budget, most = 200 * time.Millisecond, time.Second, 60
		s := timedProxy(t, usual, nowhere)
		takeAll(s) // two places: ten requests a second
		var mu sync.Mutex
		atOnce, waited := 0, 0
		var group sync.WaitGroup
		for range most {
			time.Sleep(time.Millisecond)
			group.Go(func() {
				w, took := request(s, "/a/", budget)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case w.Code != http.StatusServiceUnavailable:
					t.Errorf("got %d", w.Code)
				case took < 50*time.Millisecond:
					atOnce++
				default:
					waited++
				}
			})
		}
		group.Wait()
		if waited < 5 || waited > 9 || atOnce != most-waited {
			t.Errorf("%d of %d waited, and %d heard at once: about seven places open in the time that is of use", waited, most, atOnce)
		}
	})
}

// What is decided by time is the same on routes that differ in what no caller's time depends
// on; the second upstream is asked once a silence is unusual for the service, or sooner
// where the caller's time would not suffice.
func TestSilenceIsJudgedByTheUsual(t *testing.T) {
	arrived := time.Now()
	for _, c := range []struct{ usual, budget, second time.Duration }{
		{30 * time.Millisecond, time.Second, 90 * time.Millisecond},
		{150 * time.Millisecond, time.Second, 450 * time.Millisecond},
		{150 * time.Millisecond, 500 * time.Millisecond, 350 * time.Millisecond}, // 450 would leave 50 for 150
		{150 * time.Millisecond, 200 * time.Millisecond, 150 * time.Millisecond}, // but not before the usual time
	} {
		for _, path := range sameTimePaths {
			s := timedProxy(t, c.usual, nowhere)
			cfg := s.config.Load()
			r := httptest.NewRequest("GET", path, nil)
			r.Header.Set(headerBudget, strconv.FormatInt(c.budget.Milliseconds(), 10))
			timing := s.newExchange(r, arrived, cfg, cfg.Match("h.example", path), nil).timing()
			if second := timing.secondAt(arrived).Sub(arrived); second != c.second {
				t.Errorf("%s, %+v: the second is asked after %v", path, c, second)
			}
		}
	}
}

// With both upstreams silent the second is asked while the caller still has time.
func TestSecondUpstreamIsAskedInTime(t *testing.T) {
	const usual, budget = 30 * time.Millisecond, 2 * time.Second
	for _, path := range sameTimePaths {
		asked := make(chan time.Time, 8)
		silent := func(_ int, r *http.Request) (string, bool) {
			asked <- time.Now()
			time.Sleep(budget)
			return ok(r, "x"), false
		}
		a, b := newRawUpstream(t, silent), newRawUpstream(t, silent)
		s := timedProxy(t, usual, a.instance("i-1"), b.instance("i-2"))
		began := time.Now()
		request(s, path, budget)
		<-asked
		if second := (<-asked).Sub(began); second < 3*usual || second > budget/2 {
			t.Errorf("%s: the second is asked after %v of %v, a silence of %v is unusual", path, second, budget, 3*usual)
		}
	}
}

// A request that an upstream turned away waits for room as one that comes for the first
// time does: the time that is left counts the same.
func TestTurnedAwayRequestsWaitToo(t *testing.T) {
	full := newRawUpstream(t, func(_ int, _ *http.Request) (string, bool) {
		return formatResponse("503 Full", "id-1", "X-Slateridge-Not-Executed: 1\r\n", ""), false
	})
	free := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "x"), false })
	for _, path := range []string{"/a/", "/b/", "/once/"} {
		s := timedProxy(t, 30*time.Millisecond, free.instance("i-free"))
		giveBack := takeAll(s)
		s.pool.Apply(time.Now(), []discovery.Instance{free.instance("i-free"), full.instance("i-full")})
		time.AfterFunc(200*time.Millisecond, func() {
			for giveBack() {
			}
		})
		before := full.count()
		w, took := request(s, path, time.Second)
		if w.Code != http.StatusOK || full.count() != before+1 {
			t.Errorf("%s: got %d after %v and %d arrivals at the upstream that is full", path, w.Code, took, full.count()-before)
		}
	}
}

// Of requests of one priority the one that has to start soonest gets the room, whichever
// came first.
func TestRoomGoesToWhoHasLeastTime(t *testing.T) {
	const caller = "X-Caller"
	var mu sync.Mutex
	var order []string
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
		mu.Lock()
		order = append(order, r.Header.Get(caller))
		mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		return ok(r, "x"), false
	})
	s := timedProxy(t, 30*time.Millisecond, u.instance("i-1"))
	giveBack := takeAll(s)
	var group sync.WaitGroup
	for _, budget := range []string{"3000", "2000", "1000"} {
		group.Go(func() {
			if w := get(s, "GET", "/a/", "", headerBudget, budget, caller, budget); w.Code != http.StatusOK {
				t.Errorf("with %s ms: got %d", budget, w.Code)
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	s.pool.mu.Lock()
	for of := range s.pool.upstreams["i-1"].active {
		s.pool.upstreams["i-1"].active[of] = time.Now().Add(time.Hour) // one place stays taken, and does not grow old
	}
	s.pool.mu.Unlock()
	giveBack()
	group.Wait()
	if want := "[1000 2000 3000]"; fmt.Sprint(order) != want {
		t.Errorf("served %v, want %v", order, want)
	}
}

// Room that comes by the end of an upstream's pause is given to those that wait then,
// though no request ends or comes.
func TestEndOfAPauseWakesWhoWaits(t *testing.T) {
	s := timedProxy(t, 20*time.Millisecond, quick(t))
	s.pool.mu.Lock()
	for _, u := range s.pool.upstreams {
		u.ejectedUntil = time.Now().Add(200 * time.Millisecond)
	}
	s.pool.mu.Unlock()
	busy := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "x"), false })
	s.pool.Apply(time.Now(), append([]discovery.Instance{busy.instance("i-2"), busy.instance("i-3")}, s.pool.upstreams["i-1"].instance))
	takeAll(s)
	w, took := request(s, "/a/", 3*time.Second)
	if w.Code != http.StatusOK {
		t.Errorf("got %d", w.Code)
	}
	tookWithin(t, "served after", took, 150*time.Millisecond, 500*time.Millisecond)
}

// A caller refused for want of a configuration is told to come again within the part of its
// time that it will wait, and when news may have come.
func TestWithoutNewsTheCallersTimeCounts(t *testing.T) {
	s := timedProxy(t, 20*time.Millisecond)
	s.config.Store(nil)
	told := func(budget time.Duration) time.Duration {
		w, _ := request(s, "/a/", budget)
		retry, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		if w.Code != http.StatusServiceUnavailable || err != nil {
			t.Fatalf("with %v: got %d, %v", budget, w.Code, err)
		}
		return seconds(retry)
	}
	if short := told(300 * time.Millisecond); short > 100*time.Millisecond {
		t.Errorf("with 300 ms: told to come again after %v", short)
	}
	if long := told(10 * time.Second); long != constants.SubscribeEvery {
		t.Errorf("with 10 s: told to come again after %v, control is asked every %v", long, constants.SubscribeEvery)
	}
}

// A process that is about to end answers those that wait while it is still there.
func TestLeavingAnswersWhoWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := timedProxy(t, 20*time.Millisecond, nowhere)
		takeAll(s)
		time.AfterFunc(100*time.Millisecond, func() { s.pool.Leave(time.Now().Add(400 * time.Millisecond)) })
		w, took := request(s, "/a/", 4*time.Second)
		if w.Code != http.StatusServiceUnavailable {
			t.Errorf("got %d", w.Code)
		}
		tookWithin(t, "answered after", took, 470*time.Millisecond, 480*time.Millisecond)
	})
}

// A few answers that were stuck do not keep requests from waiting that have far more time
// than most of the work takes, and do not put the second upstream off.
func TestFewStuckAnswersAreNotTheWork(t *testing.T) {
	s := timedProxy(t, 5*time.Millisecond, quick(t))
	s.pool.times["svc"].answers.learn(time.Now(), 2)
	work := s.pool.workTime("svc")
	if work.likely > 10*time.Millisecond || work.unusual() > 30*time.Millisecond {
		t.Errorf("many answers of 5 ms and one of 2 s: likely %v, unusual %v", work.likely, work.unusual())
	}
	giveBack := takeAll(s)
	time.AfterFunc(30*time.Millisecond, func() {
		for giveBack() {
		}
	})
	if w, took := request(s, "/once/", 100*time.Millisecond); w.Code != http.StatusOK {
		t.Errorf("got %d after %v", w.Code, took)
	}
}

// What was learned long ago keeps nobody from being sent: if it did, nobody could show that
// the work has become shorter.
func TestOldKnowledgeRefusesNobody(t *testing.T) {
	now := time.Now()
	work := workTime{least: 980 * time.Millisecond, usual: time.Second, likely: 1020 * time.Millisecond, learnedAt: now}
	late := timing{answerBy: now.Add(500 * time.Millisecond), callerUntil: now.Add(500 * time.Millisecond), work: work}
	if !late.tooLate(now) {
		t.Error("sent with half of the time that the work takes")
	}
	late.work.learnedAt = now.Add(-10 * time.Second)
	if late.tooLate(now) {
		t.Error("refused for what was learned ten seconds ago")
	}
	late.work = unknownWork
	if late.tooLate(now) {
		t.Error("refused for what nobody knows")
	}
}

// An upstream in another zone is asked where it is faster by more than answers vary, be that
// little or much: callers of a service with quick and even answers feel a few milliseconds.
func TestDistanceIsWeighedAgainstTheSpread(t *testing.T) {
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
		work := workTime{usual: c.near, likely: c.near + 2*c.spread, learnedAt: now}
		s.pool.times["svc"] = &serviceTimes{work: work, workAt: now.Add(time.Minute)}
		if of := s.pool.Place(target{service: "svc", regions: anyRegion}, nil); (of.upstream.instance.ID == "far") != c.goesFar {
			t.Errorf("%+v, usually %v: %s was asked", c, work.usual, of.upstream.instance.ID)
		}
	}
}

// An upstream is slow beside the others of its service, however long its work takes: what
// may be under way there is the same where every answer takes three seconds.
func TestLongWorkIsNotSlowness(t *testing.T) {
	for _, usual := range []time.Duration{30 * time.Millisecond, 3 * time.Second} {
		instances := []discovery.Instance{{ID: "i-1", Service: "svc", Zone: "z", Slots: 1}, {ID: "i-2", Service: "svc", Zone: "z", Slots: 1}, {ID: "i-slow", Service: "svc", Zone: "z", Slots: 1}}
		s := timedProxy(t, usual, instances...)
		s.pool.SetProxies(1)
		s.pool.mu.Lock()
		s.pool.upstreams["i-slow"].delay = 4 * usual.Seconds()
		s.pool.mu.Unlock()
		takeAll(s)
		got := map[string]int{}
		for id, u := range s.pool.upstreams {
			got[id] = len(u.active)
		}
		if want := map[string]int{"i-1": 2, "i-2": 2, "i-slow": 1}; !maps.Equal(got, want) {
			t.Errorf("usually %v: placed %v, want %v", usual, got, want)
		}
	}
}
