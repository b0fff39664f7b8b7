package proxy

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/discovery"
)

const placementConfig = `{"configVersion":"r2","resourceList":[
{"resourceKind":"routes","metadata":{"name":"home"},"spec":{"host":"h.example","pathPrefix":"/home/","routeType":"idempotent","timeout":"2s","targetLatency":"40ms","targetService":"svc","maxAttempts":3,"allowedRegions":["r","r2"]}},
{"resourceKind":"routes","metadata":{"name":"any"},"spec":{"host":"h.example","pathPrefix":"/any/","routeType":"non_idempotent","timeout":"2s","targetLatency":"40ms","targetService":"svc","maxAttempts":3,"allowedRegions":[]}},
{"resourceKind":"services","metadata":{"name":"svc"},"spec":{"maxConnections":100,"warmup":"3s","warmupPerS":5.2}},
{"resourceKind":"tenants","metadata":{"name":"unrestricted"},"spec":{"apiKeys":["k1"]}},
{"resourceKind":"tenants","metadata":{"name":"restricted"},"spec":{"apiKeys":["k2"],"allowedRegions":["r2","r3"]}},
{"resourceKind":"tenants","metadata":{"name":"unroutable"},"spec":{"apiKeys":["k3"],"allowedRegions":["nowhere"]}}]}`

// TestPlacementRestrictions runs seeded fleets whose upstreams fail and reject requests, which
// causes retries and hedged attempts, while zones are evacuated and restored. Every request
// that reaches an upstream must be allowed in its region by both route and tenant, and must
// not reach an evacuated zone or a cold upstream. If no upstream is allowed, the response is
// 503.
func TestPlacementRestrictions(t *testing.T) {
	cfg, err := config.Parse([]byte(placementConfig))
	if err != nil {
		t.Fatal(err)
	}
	regions := map[string]string{"z": "r", "z2": "r", "y": "r2", "x": "r3"}
	zones := []string{"z", "z2", "y", "x"}
	allowedRegions := map[string]string{"/home/ k1": "r r2", "/home/ k2": "r2", "/any/ k1": "r r2 r3", "/any/ k2": "r2 r3", "/home/ k3": "", "/any/ k3": ""}
	served, rejected, arrivals := 0, 0, map[string]int{}
	for seed := uint64(1); seed <= 12; seed++ {
		r := rand.New(rand.NewPCG(seed, 3))
		var mu sync.Mutex
		evacuated := map[string]bool{}
		allowed := "" // regions of the request in flight
		var instances []discovery.Instance
		cold := map[string]bool{}
		for i, z := range []string{"z", "z", "z2", "y", "y", "x", "x"} {
			id := fmt.Sprint("i-", i)
			behaviour := r.IntN(4)
			u := newRawUpstream(t, func(n int, q *http.Request) (string, bool) {
				mu.Lock()
				defer mu.Unlock()
				switch {
				case !slices.Contains(strings.Fields(allowed), regions[z]):
					t.Errorf("seed %d: a request that is allowed in %q reached %s", seed, allowed, regions[z])
				case evacuated[z]:
					t.Errorf("seed %d: a request reached %s, which is evacuated", seed, z)
				case cold[id]:
					t.Errorf("seed %d: a request reached a cold upstream", seed)
				}
				arrivals[z]++
				switch {
				case behaviour == 1 && n%3 == 0:
					return "", true // closes the connection without a response
				case behaviour == 2 && n%2 == 0:
					return "HTTP/1.1 503 Full\r\nX-Slateridge-Not-Executed: 1\r\nX-Slateridge-Attempt-Id: " + q.Header.Get(headerAttemptID) + "\r\nContent-Length: 0\r\n\r\n", false
				}
				return okResponse(q, "b"), false
			})
			instance := u.instance(id)
			instance.Zone = z
			if r.IntN(5) == 0 {
				instance.Warmup, cold[id] = time.Minute, true
			}
			instances = append(instances, instance)
		}
		s := newProxy(t)
		s.pool = NewPool("p", "z", regions, func(string) int { return 10 }, func(string) ColdBound { return ColdBound{duration: time.Nanosecond} }) // the bound is active, and without a proxy count nothing is sent to cold upstreams
		s.config.Store(cfg)
		s.pool.Apply(time.Now(), instances)
		for range 60 {
			if r.IntN(6) == 0 {
				var zonesNow []string
				mu.Lock()
				clear(evacuated)
				for _, z := range zones {
					if r.IntN(3) == 0 {
						zonesNow = append(zonesNow, z)
						evacuated[z] = true
					}
				}
				mu.Unlock()
				s.pool.SetEvacuatedZones(time.Now(), zonesNow)
				time.Sleep(time.Microsecond)
			}
			path, key := []string{"/home/", "/any/"}[r.IntN(2)], []string{"k1", "k2", "k3"}[r.IntN(3)]
			mu.Lock()
			allowed = allowedRegions[path+" "+key]
			anyUsable := false
			for _, u := range instances {
				anyUsable = anyUsable || !cold[u.ID] && !evacuated[u.Zone] && slices.Contains(strings.Fields(allowed), regions[u.Zone])
			}
			mu.Unlock()
			method := map[string]string{"/home/": "GET", "/any/": "POST"}[path]
			w := sendRequest(s, method, path, "", headerAPIKey, key)
			for s.pool.Outstanding("svc") > 0 { // a hedged attempt may still be in flight, and must be checked against this request's regions
				time.Sleep(100 * time.Microsecond)
			}
			switch {
			case w.Code == 200:
				served++
			case !anyUsable && w.Code != http.StatusServiceUnavailable:
				t.Errorf("seed %d: no upstream is allowed, and the status is %d", seed, w.Code)
			case !anyUsable:
				rejected++
			}
		}
	}
	if served < 200 || rejected < 100 || len(arrivals) < 4 {
		t.Errorf("served %d, rejected %d, arrivals %v: too few for a meaningful test", served, rejected, arrivals)
	}
}

// Upstreams in the nearest zones are selected first, and more distant ones only once those
// have no capacity left.
func TestNearestUpstreamsFirst(t *testing.T) {
	pool := NewPool("p", "z", map[string]string{"z": "r", "z2": "r", "y": "r2"}, func(string) int { return 10 }, func(string) ColdBound { return ColdBound{} })
	var instances []discovery.Instance
	for i := range 60 {
		instances = append(instances, discovery.Instance{ID: fmt.Sprint("i-", i), Service: "svc", Address: "127.0.0.1:1", Zone: []string{"z", "z2", "y"}[i%3], Slots: 2})
	}
	pool.Apply(time.Now(), instances)
	got := map[string]int{}
	for range 60 * 2 {
		if place := pool.Place(target{service: "svc", regions: anyRegion}, nil); place != nil {
			got[place.upstream.instance.Zone]++
			if got["z2"] == 0 && got["y"] > 0 {
				t.Fatalf("placed in another region while this one has capacity: %v", got)
			}
		}
	}
	if got["z"] != 40 || got["z2"] != 40 || got["y"] != 40 {
		t.Fatalf("placed %v, want the whole capacity used", got)
	}
}

// TestColdBound sends requests to cold upstreams from all proxies of a large fleet, which
// differ in the number of live proxies that they assume, and checks the number of requests
// in every interval of a second.
func TestColdBound(t *testing.T) {
	const fleet, perS, overage, slack = 83, 5.2, 1.5, 8
	sent := 0
	for seed := uint64(1); seed <= 60; seed++ {
		r := rand.New(rand.NewPCG(seed, 9))
		now := time.Now()
		instance := discovery.Instance{ID: fmt.Sprint("i-", seed), Service: "svc", Address: "127.0.0.1:1", Zone: "z", Slots: 3, Warmup: time.Minute}
		var times []time.Time
		for p := range fleet {
			pool := NewPool(fmt.Sprint("10.0.0.", p), "z", nil, func(string) int { return 10 }, func(string) ColdBound { return NewColdBound(time.Minute, perS, perS*overage+slack) })
			pool.Apply(now, []discovery.Instance{instance})
			pool.SetProxies(fleet - r.IntN(30))
			for at := now; at.Before(now.Add(4 * time.Second)); at = at.Add(time.Duration(r.IntN(60)) * time.Millisecond) {
				if u := pool.selectUpstream(target{service: "svc", regions: anyRegion}, nil, at); u != nil {
					u.lastColdRequest = at
					times = append(times, at)
				}
			}
		}
		sent += len(times)
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
		for i := range times {
			n := 0
			for _, at := range times[i:] {
				if at.Sub(times[i]) <= time.Second {
					n++
				}
			}
			if float64(n) > perS*overage+slack {
				t.Fatalf("seed %d: %d requests in one second at a cold upstream", seed, n)
			}
		}
	}
	if sent < 60*4 {
		t.Errorf("only %d requests sent, far below the bound", sent)
	}
}

// Between the selection of an upstream and the first byte sent, its zone may be evacuated or a
// new configuration may forbid its region. The request must not be sent then.
func TestPlacementIsCheckedBeforeSending(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "b"), false })
	for name, change := range map[string]func(*Proxy){
		"evacuated": func(s *Proxy) { s.pool.SetEvacuatedZones(time.Now(), []string{"z"}) },
		"forbidden": func(s *Proxy) {
			cfg, err := config.Parse([]byte(strings.Replace(strings.Replace(placementConfig, `"r2"`, `"r3"`, 1), `"allowedRegions":[]`, `"allowedRegions":["r2"]`, 1)))
			if err != nil {
				t.Fatal(err)
			}
			s.config.Store(cfg)
		},
	} {
		s := newProxy(t, u.instance("i-1"))
		cfg, _ := config.Parse([]byte(placementConfig))
		s.config.Store(cfg)
		r, _ := http.NewRequest("POST", "/any/", nil)
		r.RequestURI, r.Host = "/any/", "h.example"
		r.Header.Set(headerAPIKey, "k1")
		route, tenant, _ := matchRequest(cfg, r)
		p := &exchange{proxy: s, request: r, config: cfg, route: route, tenant: tenant, service: "svc", allowedRegions: anyRegion, deadline: time.Now().Add(time.Second)}
		place := s.pool.Place(target{service: "svc", regions: anyRegion}, nil)
		change(s)
		if place == nil || !p.attempt(place).notExecuted || u.count() != 0 {
			t.Errorf("%s: the request was sent anyway", name)
		}
	}
}
