package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"slateridge/internal/config"
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
		u.answerTime = answerTime{mean: usual.Seconds(), deviation: usual.Seconds() / 10, learnedAt: time.Now()}
		u.delay, u.delayAt = usual.Seconds(), time.Now()
	}
	s.pool.mu.Unlock()
	for range 1000 {
		s.retryBudget.Request(s.now(), "svc")
	}
	return s
}

func request(s *Proxy, path string, budget time.Duration) (w *httptest.ResponseRecorder, took time.Duration) {
	began := time.Now()
	w = get(s, "GET", path, "", headerBudget, strconv.FormatInt(budget.Milliseconds(), 10))
	return w, time.Since(began)
}

func tookWithin(t *testing.T, what string, got, least, most time.Duration) {
	t.Helper()
	if got < least || got > most {
		t.Errorf("%s: %v, want %v to %v", what, got, least, most)
	}
}

// Another upstream is asked once a silence is unusual for the service, or sooner where the
// caller's time would not suffice; the target latency changes nothing.
func TestSilenceIsJudgedByTheUsual(t *testing.T) {
	second := func(path string, usual, budget time.Duration) time.Duration {
		asked := make(chan time.Time, 8)
		silent := func(_ int, r *http.Request) (string, bool) {
			asked <- time.Now()
			time.Sleep(budget + 100*time.Millisecond)
			return ok(r, "x"), false
		}
		a, b := newRawUpstream(t, silent), newRawUpstream(t, silent)
		s := timedProxy(t, usual, a.instance("i-1"), b.instance("i-2"))
		request(s, path, budget)
		first := <-asked
		select {
		case at := <-asked:
			return at.Sub(first)
		case <-time.After(2 * time.Second):
			t.Fatalf("%s: no second upstream was asked", path)
			return 0
		}
	}
	const slack = 90 * time.Millisecond
	for _, usual := range []time.Duration{30 * time.Millisecond, 150 * time.Millisecond} {
		for _, path := range sameTimePaths {
			tookWithin(t, fmt.Sprint(path, ", usually ", usual, ": the second is asked after"), second(path, usual, time.Second), 3*usual-slack/4, 3*usual+slack)
		}
	}
	// 300 ms of a budget of 500 would be over; most answers take no more than 180 ms.
	tookWithin(t, "with little time: the second is asked after", second("/a/", 150*time.Millisecond, 500*time.Millisecond), 280*time.Millisecond, 320*time.Millisecond+slack)
}

// What was learned long ago keeps nobody from being sent: if it did, nobody could show that
// the work has become shorter.
func TestOldKnowledgeRefusesNobody(t *testing.T) {
	now := time.Now()
	work := workTime{usual: time.Second, spread: 10 * time.Millisecond, learnedAt: now}
	late := timing{answerBy: now.Add(500 * time.Millisecond), work: work}
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
