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

// The model test of the pool of upstream connections: callers at once ask through
// one proxy, and stand-ins at the other end do to their connections whatever an
// upstream, a machine or a network may do, by lot. The stand-ins keep what is true:
// which try has run, how often, and what its answer was.

// truth is what became of the tries.
type truth struct {
	mu       sync.Mutex
	runs     map[string]int // by try
	arrivals map[string]int
	struck   map[string]int      // by trouble
	failures map[string][]string // by try: seal and status of sealed failures
}

func (t *truth) ran(try string) {
	t.mu.Lock()
	t.runs[try]++
	t.mu.Unlock()
}

func (t *truth) failed(try, seal string, status int) {
	t.mu.Lock()
	t.failures[try] = append(t.failures[try], fmt.Sprint(seal, " ", status))
	t.mu.Unlock()
}

// expectedBody is the one right answer to a try.
func expectedBody(try string) string { return "for " + try + ", and nobody else" }

// wayward is an upstream that gets into all kinds of trouble.
type wayward struct {
	t    *truth
	seed uint64
	l    net.Listener
	mu   sync.Mutex
	id   string // of its present life
}

func (w *wayward) life() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

func (w *wayward) begin(id string) {
	w.mu.Lock()
	w.id = id
	w.mu.Unlock()
}

func (w *wayward) instance(service string) discovery.Instance {
	return discovery.Instance{ID: w.life(), Service: service, Address: w.l.Addr().String(), Zone: "z", Slots: 4}
}

// lots draws what happens to one arrival: the same for the same seed and name,
// however the machine interleaves them.
func lots(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func newWayward(t *testing.T, tr *truth, seed uint64, id string) *wayward {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	w := &wayward{t: tr, seed: seed, l: l, id: id}
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if lots(seed, fmt.Sprint(id, " conn ", n)).IntN(25) == 0 {
				tr.struckBy("reset as it opens")
				closeWithReset(c)
				continue
			}
			go w.serve(c)
		}
	}()
	return w
}

func closeWithReset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (t *truth) struckBy(trouble string) {
	t.mu.Lock()
	t.struck[trouble]++
	t.mu.Unlock()
}

// troubles are what an arrival may meet; the first of them, none, is the likeliest.
var troubles = []string{"none", "closes after", "resets after", "answers twice", "answers twice, later", "a late shed follows", "a late failure follows",
	"a late success follows", "garbled", "no status", "cut in the head", "cut in the body", "no seal", "no length, cut", "foreign", "reset before it ran",
	"reset after it ran", "reset in the write", "silent after half", "silent", "silent, and late", "shed", "shed without id", "fails", "fails, sealed", "sheds, sealed", "fails without id", "sheds and serves",
	"asked to wait, then serves"}

func formatResponse(status, try, more, body string) string {
	id := ""
	if try != "" {
		id = "X-Slateridge-Attempt-Id: " + try + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, id, more, len(body), body)
}

func (w *wayward) serve(c net.Conn) {
	defer c.Close()
	var out sync.Mutex // late words are written beside others
	say := func(s string) { out.Lock(); io.WriteString(c, s); out.Unlock() }
	// A late word on an earlier try does not follow an answer that is cut: inside the
	// length that the answer told, nobody could tell its bytes from the answer's own.
	cut := func(s string) { out.Lock(); io.WriteString(c, s); c.Close(); out.Unlock() }
	br := bufio.NewReader(c)
	var before string // the try that this connection served last
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		try := r.Header.Get(headerAttemptID)
		w.t.mu.Lock()
		w.t.arrivals[try]++
		rng := lots(w.seed, fmt.Sprint(try, " ", w.t.arrivals[try]))
		w.t.mu.Unlock()
		trouble := troubles[0]
		if rng.IntN(3) > 0 {
			trouble = troubles[rng.IntN(len(troubles))]
		}
		if life := w.life(); r.Header.Get(headerExpectedInstance) != life {
			// Its address went to another. It does not run this, whatever else.
			io.Copy(io.Discard, r.Body)
			w.t.struckBy("another life")
			id := try
			if rng.IntN(2) == 0 {
				id = ""
			}
			say(formatResponse("421 Misdirected Request", id, "X-Slateridge-Instance-Id: "+life+"\r\n", ""))
			continue
		}
		w.t.struckBy(trouble)
		seal := "X-Slateridge-Response-Seal: seal-" + try + "\r\n"
		good := formatResponse("200 OK", try, seal, expectedBody(try))
		if strings.HasPrefix(r.RequestURI, "/flow/") {
			b := expectedBody(try)
			good = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
				try, seal, b[:5], len(b)-5, b[5:])
		}
		shed := "X-Slateridge-Not-Executed: 1\r\n"
		later := func(s string) {
			time.AfterFunc(time.Duration(rng.IntN(4000))*time.Microsecond, func() { say(s) })
		}
		// What strikes before all of it has been read.
		switch trouble {
		case "reset in the write":
			io.CopyN(io.Discard, r.Body, 1+rng.Int64N(50000))
			closeWithReset(c)
			return
		case "silent after half":
			io.CopyN(io.Discard, r.Body, 1+rng.Int64N(50000))
			time.Sleep(400 * time.Millisecond)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // never whole, never run
		}
		switch trouble {
		case "reset before it ran":
			closeWithReset(c)
			return
		case "shed":
			say(formatResponse("503 Full", try, shed, ""))
			continue
		case "shed without id":
			say(formatResponse("503 Full", "", shed, ""))
			continue
		case "sheds, sealed":
			status := []int{400, 408, 421, 429, 500, 503}[rng.IntN(6)]
			w.t.failed(try, "seal-"+try, status)
			say(formatResponse(fmt.Sprint(status, " Shed"), try, seal+shed, ""))
			continue
		case "silent":
			time.Sleep(400 * time.Millisecond)
			return
		}
		w.t.ran(try)
		switch trouble {
		case "none":
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Microsecond)
			say(good)
		case "closes after":
			say(good)
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Microsecond)
			return
		case "resets after":
			say(good)
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Microsecond)
			closeWithReset(c)
			return
		case "answers twice":
			say(good + good)
		case "answers twice, later":
			say(good)
			later(good)
		case "a late shed follows":
			say(good)
			later(formatResponse("503 Full", "", shed, ""))
		case "a late failure follows":
			say(good)
			later(formatResponse("404 Not Found", "", "", expectedBody(try)))
		case "a late success follows":
			say(good)
			later(formatResponse("200 OK", "", seal, expectedBody(try)))
		case "garbled":
			b := []byte(good)
			for range 1 + rng.IntN(8) {
				b[rng.IntN(strings.Index(good, "X-Slateridge"))] = byte(rng.IntN(256))
			}
			if status, err := strconv.Atoi(string(b[9:12])); err == nil {
				w.t.failed(try, "seal-"+try, status) // it may have become another status
			}
			say(string(b))
			return
		case "no status":
			say(strings.Replace(good, "200", []string{"099", "101", "600", "000"}[rng.IntN(4)], 1))
			return
		case "cut in the head":
			cut(good[:rng.IntN(strings.Index(good, "\r\n\r\n"))])
			return
		case "cut in the body":
			head := strings.Index(good, "\r\n\r\n") + 4
			cut(good[:head+rng.IntN(len(good)-head)])
			return
		case "no seal":
			say(strings.Replace(good, seal, "", 1))
		case "no length, cut":
			cut("HTTP/1.1 200 OK\r\nX-Slateridge-Attempt-Id: " + try + "\r\n" + seal + "\r\n" + expectedBody(try)[:rng.IntN(len(expectedBody(try)))])
			return
		case "foreign":
			if before == "" {
				before = "x-" + try
			}
			say(formatResponse("200 OK", before, "X-Slateridge-Response-Seal: seal-"+before+"\r\n", expectedBody(before)))
		case "reset after it ran":
			closeWithReset(c)
			return
		case "silent, and late":
			time.Sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond)
			say(good)
		case "fails":
			say(formatResponse("500 Oops", try, "", expectedBody(try)))
		case "fails, sealed":
			status := []int{304, 400, 403, 404, 408, 422, 429, 500, 502, 503, 504, 511}[rng.IntN(12)]
			w.t.failed(try, "seal-"+try, status)
			say(formatResponse(fmt.Sprint(status, " Oops"), try, seal, ""))
		case "fails without id":
			say(formatResponse("500 Oops", "", "", expectedBody(try)))
		case "sheds and serves":
			say(strings.Replace(good, seal, seal+shed, 1))
		case "asked to wait, then serves":
			say("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + good)
		default:
			panic("no such trouble: " + trouble)
		}
		before = try
	}
}

// said is what a caller was told.
type said struct {
	path, try string
	code      int
	body      string
	head      http.Header
	broken    bool // broken off, visibly
	left      bool // the caller had gone
}

func call(s *Proxy, path, try string, body int, budget int, stay time.Duration) (a said) {
	ctx, cancel := context.WithTimeout(context.Background(), stay)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, "POST", path, strings.NewReader(strings.Repeat("x", body)))
	r.Host, r.RequestURI = "h.example", path
	r.Header.Set(headerAttemptID, try)
	r.Header.Set(headerBudget, fmt.Sprint(budget))
	r.Header.Set(headerAPIKey, "k1")
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if e := recover(); e == http.ErrAbortHandler {
				a.broken = true
			} else if e != nil {
				panic(e)
			}
		}()
		s.ServeHTTP(w, r)
	}()
	a.path, a.try, a.code, a.body, a.head, a.left = path, try, w.Code, w.Body.String(), w.Result().Header, ctx.Err() != nil
	return a
}

// Whatever upstreams and connections do: what may not be repeated runs at most once,
// no answer reaches another's caller, a promise that a request has not run and never
// will is true, a 2xx is whole and bears its seal, a failure with an upstream's seal has
// the status which that upstream gave, and no connection is lost count of.
func TestPoolAmongTroubles(t *testing.T) {
	const seeds, callers, calls = 8, 10, 40
	tr := &truth{runs: map[string]int{}, arrivals: map[string]int{}, struck: map[string]int{}, failures: map[string][]string{}}
	var mu sync.Mutex
	var all []said
	t.Run("seeds", func(t *testing.T) {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				var ups []*wayward
				list := func() (is []discovery.Instance) {
					for i, u := range ups {
						is = append(is, u.instance([]string{"svc", "svc", "svc", "other"}[i]))
					}
					return is
				}
				for i := range 4 {
					ups = append(ups, newWayward(t, tr, seed, fmt.Sprintf("%d-%d-1", seed, i)))
				}
				s := newProxy(t, list()...)
				for range 2000 {
					s.retryBudget.RecordRequest(s.now(), "svc")
				}
				over := make(chan bool)
				var lives sync.WaitGroup
				lives.Go(func() { // lives end, and addresses go to others, before the list tells
					rng := lots(seed, "lives")
					for n := 2; ; n++ {
						select {
						case <-over:
							return
						case <-time.After(time.Duration(20+rng.IntN(30)) * time.Millisecond):
						}
						i := rng.IntN(4)
						ups[i].begin(fmt.Sprintf("%d-%d-%d", seed, i, n))
						time.Sleep(time.Duration(rng.IntN(15)) * time.Millisecond)
						if j := rng.IntN(4); rng.IntN(3) == 0 {
							ups[i], ups[j] = ups[j], ups[i] // another service has the address
						}
						s.pool.Apply(time.Now(), list())
						s.pool.Retire(time.Now())
					}
				})
				var wg sync.WaitGroup
				for c := range callers {
					wg.Go(func() {
						rng := lots(seed, fmt.Sprint("caller ", c))
						for n := range calls {
							path := []string{"/once/x", "/once/y", "/safe/x", "/flow/x"}[rng.IntN(4)]
							body := []int{0, 10, 3000, 100000}[rng.IntN(4)]
							stay := time.Hour
							if rng.IntN(10) == 0 {
								stay = time.Duration(1+rng.IntN(60)) * time.Millisecond
							}
							a := call(s, path, fmt.Sprintf("t-%d-%d-%d", seed, c, n), body, 40+rng.IntN(120), stay)
							mu.Lock()
							all = append(all, a)
							mu.Unlock()
						}
					})
				}
				wg.Wait()
				close(over)
				lives.Wait()
				for s.pool.Outstanding("svc") > 0 { // hedged ones that nobody waits for any more
					time.Sleep(5 * time.Millisecond)
				}
				deadline := time.Now().Add(time.Second)
				for {
					open, idle := connsOpen(s)
					if open == idle {
						break
					}
					if time.Now().After(deadline) {
						t.Errorf("seed %d: %d connections reckoned as open, %d at rest", seed, open, idle)
						break
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	})
	time.Sleep(500 * time.Millisecond) // whatever still runs has run
	tr.mu.Lock()
	defer tr.mu.Unlock()
	codes, sealed := map[int]int{}, map[int]int{}
	for _, a := range all {
		runs := tr.runs[a.try]
		codes[a.code]++
		if !strings.HasPrefix(a.path, "/safe/") && runs > 1 {
			t.Errorf("%s %s ran %d times", a.path, a.try, runs)
		}
		if most := map[string]int{"/safe": 2, "/once": 3, "/flow": 3}[a.path[:5]]; tr.arrivals[a.try] > most {
			t.Errorf("%s %s was sent to %d upstreams, %d at most", a.path, a.try, tr.arrivals[a.try], most)
		}
		if !strings.HasPrefix(expectedBody(a.try), a.body) || a.head.Get(headerAttemptID) != a.try && a.head.Get(headerAttemptID) != "" {
			t.Errorf("%s %s got another's answer: %d %v %q", a.path, a.try, a.code, a.head, a.body)
		}
		if seal := a.head.Get(headerSeal); seal != "" && a.code/100 != 2 {
			sealed[a.code]++
			if !slices.Contains(tr.failures[a.try], fmt.Sprint(seal, " ", a.code)) {
				t.Errorf("%s %s was told %d with seal %q; its upstreams failed with %v", a.path, a.try, a.code, seal, tr.failures[a.try])
			}
		}
		switch {
		case a.left:
		case a.code == 429 || a.code == 503 || a.code == 408 || a.code == 421:
			if runs > 0 {
				t.Errorf("%s %s was told %d and ran %d times", a.path, a.try, a.code, runs)
			}
		case a.code/100 == 2 && !a.broken:
			if runs == 0 || a.body != expectedBody(a.try) || a.head.Get(headerSeal) != "seal-"+a.try {
				t.Errorf("%s %s was told %d after %d runs: %v %q", a.path, a.try, a.code, runs, a.head, a.body)
			}
		}
	}
	for _, x := range append(troubles, "reset as it opens", "another life") {
		if tr.struck[x] == 0 {
			t.Errorf("trouble %q never struck", x)
		}
	}
	if codes[200] < len(all)/4 || codes[502] == 0 || codes[503] == 0 || codes[504] == 0 {
		t.Errorf("of %d calls: %v; too little of something to mean anything", len(all), codes)
	}
	if len(sealed) < 4 {
		t.Errorf("sealed failures that reached callers: %v; too few to mean anything", sealed)
	}
	t.Logf("%d calls: %v; sealed failures %v; troubles %v", len(all), codes, sealed, tr.struck)
}
