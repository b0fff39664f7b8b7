package proxy

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"slateridge/internal/discovery"
)

// The randomized test of the upstream connection pool: concurrent callers send requests
// through one proxy to fake upstreams that inject the faults of upstreams, machines and
// networks at random. The fakes record the ground truth: which attempts were executed, how
// often, and with what response.

// groundTruth records what happened to each attempt at the upstreams.
type groundTruth struct {
	mu          sync.Mutex
	runs        map[string]int // executions by attempt ID
	arrivals    map[string]int
	faultCounts map[string]int      // by fault
	failures    map[string][]string // by attempt ID: seal and status of sealed failures
}

func (t *groundTruth) recordRun(attempt string) {
	t.mu.Lock()
	t.runs[attempt]++
	t.mu.Unlock()
}

func (t *groundTruth) recordFailure(attempt, seal string, status int) {
	t.mu.Lock()
	t.failures[attempt] = append(t.failures[attempt], fmt.Sprint(seal, " ", status))
	t.mu.Unlock()
}

// expectedBody returns the only correct response body for an attempt.
func expectedBody(attempt string) string { return "for " + attempt + ", and nobody else" }

// faultyUpstream is a fake upstream that injects random faults.
type faultyUpstream struct {
	truth    *groundTruth
	seed     uint64
	listener net.Listener
	mu       sync.Mutex
	id       string // current instance ID
}

func (u *faultyUpstream) instanceID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id
}

func (u *faultyUpstream) setInstanceID(id string) {
	u.mu.Lock()
	u.id = id
	u.mu.Unlock()
}

func (u *faultyUpstream) instance(service string) discovery.Instance {
	return discovery.Instance{ID: u.instanceID(), Service: service, Address: u.listener.Addr().String(), Zone: "z", Slots: 4}
}

// seededRand returns a generator that depends only on the seed and the name, so that the
// fault injected into a request does not depend on scheduling.
func seededRand(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func newFaultyUpstream(t *testing.T, truth *groundTruth, seed uint64, id string) *faultyUpstream {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	u := &faultyUpstream{truth: truth, seed: seed, listener: l, id: id}
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if seededRand(seed, fmt.Sprint(id, " conn ", n)).IntN(25) == 0 {
				truth.recordFault("reset on accept")
				closeWithReset(c)
				continue
			}
			go u.serve(c)
		}
	}()
	return u
}

func closeWithReset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (t *groundTruth) recordFault(fault string) {
	t.mu.Lock()
	t.faultCounts[fault]++
	t.mu.Unlock()
}

// faults lists the faults that an upstream injects. The first, none, is the most likely.
var faults = []string{"none", "closed after response", "reset after response", "duplicate response", "delayed duplicate response", "delayed rejection follows", "delayed failure follows",
	"delayed success follows", "corrupted header", "invalid status", "truncated header", "truncated body", "missing seal", "no length, truncated", "response to another attempt", "reset before execution",
	"reset after execution", "reset during upload", "stalled during upload", "no response", "delayed response", "rejected", "rejected without ID", "server error", "sealed failure", "sealed rejection", "server error without ID", "success marked not executed",
	"informational responses first"}

func formatResponse(status, attempt, more, body string) string {
	id := ""
	if attempt != "" {
		id = "X-Slateridge-Attempt-Id: " + attempt + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, id, more, len(body), body)
}

func (u *faultyUpstream) serve(c net.Conn) {
	defer c.Close()
	var writeMu sync.Mutex // delayed responses are written from timer goroutines
	send := func(s string) { writeMu.Lock(); io.WriteString(c, s); writeMu.Unlock() }
	// Nothing is written after a truncated response: within the announced length, the bytes of
	// a delayed response to an earlier attempt could not be distinguished from the body.
	sendAndClose := func(s string) { writeMu.Lock(); io.WriteString(c, s); c.Close(); writeMu.Unlock() }
	br := bufio.NewReader(c)
	var previous string // the attempt that this connection served last
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		attempt := r.Header.Get(headerAttemptID)
		u.truth.mu.Lock()
		u.truth.arrivals[attempt]++
		rng := seededRand(u.seed, fmt.Sprint(attempt, " ", u.truth.arrivals[attempt]))
		u.truth.mu.Unlock()
		fault := faults[0]
		if rng.IntN(3) > 0 {
			fault = faults[rng.IntN(len(faults))]
		}
		if instance := u.instanceID(); r.Header.Get(headerExpectedInstance) != instance {
			// Another instance now has this address. It never executes the request.
			io.Copy(io.Discard, r.Body)
			u.truth.recordFault("wrong instance")
			id := attempt
			if rng.IntN(2) == 0 {
				id = ""
			}
			send(formatResponse("421 Misdirected Request", id, "X-Slateridge-Instance-Id: "+instance+"\r\n", ""))
			continue
		}
		u.truth.recordFault(fault)
		seal := "X-Slateridge-Response-Seal: seal-" + attempt + "\r\n"
		success := formatResponse("200 OK", attempt, seal, expectedBody(attempt))
		if strings.HasPrefix(r.RequestURI, "/flow/") {
			b := expectedBody(attempt)
			success = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
				attempt, seal, b[:5], len(b)-5, b[5:])
		}
		notExecuted := "X-Slateridge-Not-Executed: 1\r\n"
		later := func(s string) {
			time.AfterFunc(time.Duration(rng.IntN(4000))*time.Microsecond, func() { send(s) })
		}
		// Faults that occur before the whole body has been read.
		switch fault {
		case "reset during upload":
			io.CopyN(io.Discard, r.Body, 1+rng.Int64N(50000))
			closeWithReset(c)
			return
		case "stalled during upload":
			io.CopyN(io.Discard, r.Body, 1+rng.Int64N(50000))
			time.Sleep(400 * time.Millisecond)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // an incomplete request is never executed
		}
		switch fault {
		case "reset before execution":
			closeWithReset(c)
			return
		case "rejected":
			send(formatResponse("503 Full", attempt, notExecuted, ""))
			continue
		case "rejected without ID":
			send(formatResponse("503 Full", "", notExecuted, ""))
			continue
		case "sealed rejection":
			status := []int{400, 408, 421, 429, 500, 503}[rng.IntN(6)]
			u.truth.recordFailure(attempt, "seal-"+attempt, status)
			send(formatResponse(fmt.Sprint(status, " Shed"), attempt, seal+notExecuted, ""))
			continue
		case "no response":
			time.Sleep(400 * time.Millisecond)
			return
		}
		u.truth.recordRun(attempt)
		switch fault {
		case "none":
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Microsecond)
			send(success)
		case "closed after response":
			send(success)
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Microsecond)
			return
		case "reset after response":
			send(success)
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Microsecond)
			closeWithReset(c)
			return
		case "duplicate response":
			send(success + success)
		case "delayed duplicate response":
			send(success)
			later(success)
		case "delayed rejection follows":
			send(success)
			later(formatResponse("503 Full", "", notExecuted, ""))
		case "delayed failure follows":
			send(success)
			later(formatResponse("404 Not Found", "", "", expectedBody(attempt)))
		case "delayed success follows":
			send(success)
			later(formatResponse("200 OK", "", seal, expectedBody(attempt)))
		case "corrupted header":
			b := []byte(success)
			for range 1 + rng.IntN(8) {
				b[rng.IntN(strings.Index(success, "X-Slateridge"))] = byte(rng.IntN(256))
			}
			if status, err := strconv.Atoi(string(b[9:12])); err == nil {
				u.truth.recordFailure(attempt, "seal-"+attempt, status) // the corruption may have changed the status
			}
			send(string(b))
			return
		case "invalid status":
			send(strings.Replace(success, "200", []string{"099", "101", "600", "000"}[rng.IntN(4)], 1))
			return
		case "truncated header":
			sendAndClose(success[:rng.IntN(strings.Index(success, "\r\n\r\n"))])
			return
		case "truncated body":
			head := strings.Index(success, "\r\n\r\n") + 4
			sendAndClose(success[:head+rng.IntN(len(success)-head)])
			return
		case "missing seal":
			send(strings.Replace(success, seal, "", 1))
		case "no length, truncated":
			sendAndClose("HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: " + attempt + "\r\n" + seal + "\r\n" + expectedBody(attempt)[:rng.IntN(len(expectedBody(attempt)))])
			return
		case "response to another attempt":
			if previous == "" {
				previous = "x-" + attempt
			}
			send(formatResponse("200 OK", previous, "X-Slateridge-Response-Seal: seal-"+previous+"\r\n", expectedBody(previous)))
		case "reset after execution":
			closeWithReset(c)
			return
		case "delayed response":
			time.Sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond)
			send(success)
		case "server error":
			send(formatResponse("500 Oops", attempt, "", expectedBody(attempt)))
		case "sealed failure":
			status := []int{304, 400, 403, 404, 408, 422, 429, 500, 502, 503, 504, 511}[rng.IntN(12)]
			u.truth.recordFailure(attempt, "seal-"+attempt, status)
			send(formatResponse(fmt.Sprint(status, " Oops"), attempt, seal, ""))
		case "server error without ID":
			send(formatResponse("500 Oops", "", "", expectedBody(attempt)))
		case "success marked not executed":
			send(strings.Replace(success, seal, seal+notExecuted, 1))
		case "informational responses first":
			send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + success)
		default:
			panic("unknown fault: " + fault)
		}
		previous = attempt
	}
}

// callResult is what a caller received.
type callResult struct {
	path, attempt string
	code          int
	body          string
	header        http.Header
	aborted       bool // the response was visibly cut off
	clientLeft    bool // the caller disconnected
}

func call(s *Proxy, path, attempt string, body int, budget int, clientTimeout time.Duration) (result callResult) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, "POST", path, strings.NewReader(strings.Repeat("x", body)))
	r.Host, r.RequestURI = "h.example", path
	r.Header.Set(headerAttemptID, attempt)
	r.Header.Set(headerBudget, fmt.Sprint(budget))
	r.Header.Set(headerAPIKey, "k1")
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if e := recover(); e == http.ErrAbortHandler {
				result.aborted = true
			} else if e != nil {
				panic(e)
			}
		}()
		s.ServeHTTP(w, r)
	}()
	result.path, result.attempt, result.code, result.body, result.header, result.clientLeft = path, attempt, w.Code, w.Body.String(), w.Result().Header, ctx.Err() != nil
	return result
}

// Under all injected faults: a non-idempotent request is executed at most once, no response
// reaches the caller of another request, a status that promises that a request was not and
// will not be executed is true, a 2xx response is complete and carries its seal, a failure
// with an upstream's seal has the status that this upstream returned, and the connection
// count stays correct.
func TestPoolUnderFaults(t *testing.T) {
	const seeds, callers, calls = 8, 10, 40
	truth := &groundTruth{runs: map[string]int{}, arrivals: map[string]int{}, faultCounts: map[string]int{}, failures: map[string][]string{}}
	var mu sync.Mutex
	var all []callResult
	t.Run("seeds", func(t *testing.T) {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				var upstreams []*faultyUpstream
				list := func() (instances []discovery.Instance) {
					for i, u := range upstreams {
						instances = append(instances, u.instance([]string{"svc", "svc", "svc", "other"}[i]))
					}
					return instances
				}
				for i := range 4 {
					upstreams = append(upstreams, newFaultyUpstream(t, truth, seed, fmt.Sprintf("%d-%d-1", seed, i)))
				}
				s := newProxy(t, list()...)
				for range 2000 {
					s.retryBudget.RecordRequest(s.now(), "svc")
				}
				callsDone := make(chan bool)
				var churn sync.WaitGroup
				churn.Go(func() { // replaces instances and swaps their addresses before the instance list is updated
					rng := seededRand(seed, "lives")
					for n := 2; ; n++ {
						select {
						case <-callsDone:
							return
						case <-time.After(time.Duration(20+rng.IntN(30)) * time.Millisecond):
						}
						i := rng.IntN(4)
						upstreams[i].setInstanceID(fmt.Sprintf("%d-%d-%d", seed, i, n))
						time.Sleep(time.Duration(rng.IntN(15)) * time.Millisecond)
						if j := rng.IntN(4); rng.IntN(3) == 0 {
							upstreams[i], upstreams[j] = upstreams[j], upstreams[i] // another service may get the address
						}
						s.pool.Apply(time.Now(), list())
						s.pool.CloseExpiredIdle(time.Now())
					}
				})
				var wg sync.WaitGroup
				for c := range callers {
					wg.Go(func() {
						rng := seededRand(seed, fmt.Sprint("caller ", c))
						for n := range calls {
							path := []string{"/once/x", "/once/y", "/safe/x", "/flow/x"}[rng.IntN(4)]
							body := []int{0, 10, 3000, 100000}[rng.IntN(4)]
							clientTimeout := time.Hour
							if rng.IntN(10) == 0 {
								clientTimeout = time.Duration(1+rng.IntN(60)) * time.Millisecond
							}
							result := call(s, path, fmt.Sprintf("t-%d-%d-%d", seed, c, n), body, 40+rng.IntN(120), clientTimeout)
							mu.Lock()
							all = append(all, result)
							mu.Unlock()
						}
					})
				}
				wg.Wait()
				close(callsDone)
				churn.Wait()
				for s.pool.Outstanding("svc") > 0 { // hedged attempts may still be in flight
					time.Sleep(5 * time.Millisecond)
				}
				deadline := time.Now().Add(time.Second)
				for {
					open, idle := connCounts(s)
					if open == idle {
						break
					}
					if time.Now().After(deadline) {
						t.Errorf("seed %d: %d connections counted as open, %d idle", seed, open, idle)
						break
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	})
	time.Sleep(500 * time.Millisecond) // let upstreams finish the attempts in flight
	truth.mu.Lock()
	defer truth.mu.Unlock()
	codes, sealed := map[int]int{}, map[int]int{}
	for _, result := range all {
		runs := truth.runs[result.attempt]
		codes[result.code]++
		if !strings.HasPrefix(result.path, "/safe/") && runs > 1 {
			t.Errorf("%s %s was executed %d times", result.path, result.attempt, runs)
		}
		if limit := map[string]int{"/safe": 2, "/once": 3, "/flow": 3}[result.path[:5]]; truth.arrivals[result.attempt] > limit {
			t.Errorf("%s %s was sent to %d upstreams, want at most %d", result.path, result.attempt, truth.arrivals[result.attempt], limit)
		}
		if !strings.HasPrefix(expectedBody(result.attempt), result.body) || result.header.Get(headerAttemptID) != result.attempt && result.header.Get(headerAttemptID) != "" {
			t.Errorf("%s %s received the response to another attempt: %d %v %q", result.path, result.attempt, result.code, result.header, result.body)
		}
		if seal := result.header.Get(headerSeal); seal != "" && result.code/100 != 2 {
			sealed[result.code]++
			if !slices.Contains(truth.failures[result.attempt], fmt.Sprint(seal, " ", result.code)) {
				t.Errorf("%s %s received %d with seal %q; its upstreams failed with %v", result.path, result.attempt, result.code, seal, truth.failures[result.attempt])
			}
		}
		switch {
		case result.clientLeft:
		case result.code == 429 || result.code == 503 || result.code == 408 || result.code == 421:
			if runs > 0 {
				t.Errorf("%s %s received %d but was executed %d times", result.path, result.attempt, result.code, runs)
			}
		case result.code/100 == 2 && !result.aborted:
			if runs == 0 || result.body != expectedBody(result.attempt) || result.header.Get(headerSeal) != "seal-"+result.attempt {
				t.Errorf("%s %s received %d after %d executions: %v %q", result.path, result.attempt, result.code, runs, result.header, result.body)
			}
		}
	}
	for _, fault := range append(faults, "reset on accept", "wrong instance") {
		if truth.faultCounts[fault] == 0 {
			t.Errorf("fault %q never occurred", fault)
		}
	}
	if codes[200] < len(all)/4 || codes[502] == 0 || codes[503] == 0 || codes[504] == 0 {
		t.Errorf("of %d calls: %v; too few of some status for a meaningful test", len(all), codes)
	}
	if len(sealed) < 4 {
		t.Errorf("sealed failures that reached callers: %v; too few for a meaningful test", sealed)
	}
	t.Logf("%d calls: %v; sealed failures %v; faults %v", len(all), codes, sealed, truth.faultCounts)
}
