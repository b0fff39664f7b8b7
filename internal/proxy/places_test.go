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

const placesConfig = `{"configVersion":"r2","resourceList":[
{"resourceKind":"routes","metadata":{"name":"home"},"spec":{"host":"h.example","pathPrefix":"/home/","routeType":"idempotent","timeout":"2s","targetLatency":"40ms","targetService":"svc","maxAttempts":3,"allowedRegions":["r","r2"]}},
{"resourceKind":"routes","metadata":{"name":"any"},"spec":{"host":"h.example","pathPrefix":"/any/","routeType":"non_idempotent","timeout":"2s","targetLatency":"40ms","targetService":"svc","maxAttempts":3,"allowedRegions":[]}},
{"resourceKind":"services","metadata":{"name":"svc"},"spec":{"maxConnections":100,"warmup":"3s","warmupPerS":5.2}},
{"resourceKind":"tenants","metadata":{"name":"free"},"spec":{"apiKeys":["k1"]}},
{"resourceKind":"tenants","metadata":{"name":"bound"},"spec":{"apiKeys":["k2"],"allowedRegions":["r2","r3"]}},
{"resourceKind":"tenants","metadata":{"name":"lost"},"spec":{"apiKeys":["k3"],"allowedRegions":["nowhere"]}}]}`

// TestPlacesBind plays seeded fleets in which upstreams break, turn requests
// away and answer too late, so that there are further tries and hedges, while
// zones are evacuated and taken back: what arrives anywhere is within the homes
// of both route and tenant, in no zone under evacuation, and at no cold upstream;
// and where nothing may be used the answer is 503.
func TestPlacesBind(t *testing.T) {
	cfg, err := config.Read([]byte(placesConfig))
	if err != nil {
		t.Fatal(err)
	}
	regions := map[string]string{"z": "r", "z2": "r", "y": "r2", "x": "r3"}
	zones := []string{"z", "z2", "y", "x"}
	homes := map[string]string{"/home/ k1": "r r2", "/home/ k2": "r2", "/any/ k1": "r r2 r3", "/any/ k2": "r2 r3", "/home/ k3": "", "/any/ k3": ""}
	served, refused, spread := 0, 0, map[string]int{}
	for seed := uint64(1); seed <= 12; seed++ {
		r := rand.New(rand.NewPCG(seed, 3))
		var mu sync.Mutex
		evac := map[string]bool{}
		allowed := "" // of the request that is out
		var ups []discovery.Instance
		cold := map[string]bool{}
		for i, z := range []string{"z", "z", "z2", "y", "y", "x", "x"} {
			id := fmt.Sprint("i-", i)
			mood := r.IntN(4)
			u := newRawUpstream(t, func(n int, q *http.Request) (string, bool) {
				mu.Lock()
				defer mu.Unlock()
				switch {
				case !slices.Contains(strings.Fields(allowed), regions[z]):
					t.Errorf("seed %d: a request with homes %q arrives in %s", seed, allowed, regions[z])
				case evac[z]:
					t.Errorf("seed %d: a request arrives in %s, which is evacuated", seed, z)
				case cold[id]:
					t.Errorf("seed %d: a request arrives at a cold upstream", seed)
				}
				spread[z]++
				switch {
				case mood == 1 && n%3 == 0:
					return "", true // broken
				case mood == 2 && n%2 == 0:
					return "HTTP/1.1 503 Full\r\nX-Slateridge-Not-Executed: 1\r\nX-Slateridge-Attempt-Id: " + q.Header.Get(headerAttemptID) + "\r\nContent-Length: 0\r\n\r\n", false
				}
				return ok(q, "b"), false
			})
			in := u.instance(id)
			in.Zone = z
			if r.IntN(5) == 0 {
				in.Warmup, cold[id] = time.Minute, true
			}
			ups = append(ups, in)
		}
		s := newProxy(t)
		s.pool = NewPool("p", "z", regions, func(string) int { return 10 }, func(string) ColdBound { return ColdBound{duration: time.Nanosecond} }) // bounded; no live count, no lot
		s.config.Store(cfg)
		s.pool.Apply(time.Now(), ups)
		for range 60 {
			if r.IntN(6) == 0 {
				var now []string
				mu.Lock()
				clear(evac)
				for _, z := range zones {
					if r.IntN(3) == 0 {
						now = append(now, z)
						evac[z] = true
					}
				}
				mu.Unlock()
				s.pool.SetEvacuatedZones(time.Now(), now)
				time.Sleep(time.Microsecond)
			}
			path, key := []string{"/home/", "/any/"}[r.IntN(2)], []string{"k1", "k2", "k3"}[r.IntN(3)]
			mu.Lock()
			allowed = homes[path+" "+key]
			some := false
			for _, u := range ups {
				some = some || !cold[u.ID] && !evac[u.Zone] && slices.Contains(strings.Fields(allowed), regions[u.Zone])
			}
			mu.Unlock()
			method := map[string]string{"/home/": "GET", "/any/": "POST"}[path]
			w := get(s, method, path, "", headerAPIKey, key)
			for s.pool.Outstanding("svc") > 0 { // a hedge may still be on its way, and is judged by this request's homes
				time.Sleep(100 * time.Microsecond)
			}
			switch {
			case w.Code == 200:
				served++
			case !some && w.Code != http.StatusServiceUnavailable:
				t.Errorf("seed %d: nothing may be used, and the answer is %d", seed, w.Code)
			case !some:
				refused++
			}
		}
	}
	if served < 200 || refused < 100 || len(spread) < 4 {
		t.Errorf("served %d, refused %d, arrivals %v: too few to mean anything", served, refused, spread)
	}
}

// The near are chosen first, and the far only where the near have no room.
func TestNearFirst(t *testing.T) {
	pool := NewPool("p", "z", map[string]string{"z": "r", "z2": "r", "y": "r2"}, func(string) int { return 10 }, func(string) ColdBound { return ColdBound{} })
	var is []discovery.Instance
	for i := range 60 {
		is = append(is, discovery.Instance{ID: fmt.Sprint("i-", i), Service: "svc", Address: "127.0.0.1:1", Zone: []string{"z", "z2", "y"}[i%3], Slots: 2})
	}
	pool.Apply(time.Now(), is)
	got := map[string]int{}
	for range 60 * 2 {
		if of := pool.Place(target{service: "svc", regions: anyRegion}, nil); of != nil {
			got[of.upstream.instance.Zone]++
			if got["z2"] == 0 && got["y"] > 0 {
				t.Fatalf("another region while the own has room: %v", got)
			}
		}
	}
	if got["z"] != 40 || got["z2"] != 40 || got["y"] != 40 {
		t.Fatalf("placed %v, want all the room there is", got)
	}
}

// TestColdBound presses cold upstreams from all proxies of a large fleet, whose
// live counts differ, and counts every second.
func TestColdBound(t *testing.T) {
	const fleet, perS, overage, slack = 83, 5.2, 1.5, 8
	sent := 0
	for seed := uint64(1); seed <= 60; seed++ {
		r := rand.New(rand.NewPCG(seed, 9))
		now := time.Now()
		in := discovery.Instance{ID: fmt.Sprint("i-", seed), Service: "svc", Address: "127.0.0.1:1", Zone: "z", Slots: 3, Warmup: time.Minute}
		var times []time.Time
		for p := range fleet {
			pool := NewPool(fmt.Sprint("10.0.0.", p), "z", nil, func(string) int { return 10 }, func(string) ColdBound { return NewColdBound(time.Minute, perS, perS*overage+slack) })
			pool.Apply(now, []discovery.Instance{in})
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
				t.Fatalf("seed %d: %d requests in a second at a cold upstream", seed, n)
			}
		}
	}
	if sent < 60*4 {
		t.Errorf("only %d requests sent: the bound is not used", sent)
	}
}

// Between the choice of an upstream and the first byte its zone may be evacuated,
// or a new configuration may forbid its region.
func TestPlacesAreCheckedAgain(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "b"), false })
	for name, change := range map[string]func(*Proxy){
		"evacuated": func(s *Proxy) { s.pool.SetEvacuatedZones(time.Now(), []string{"z"}) },
		"forbidden": func(s *Proxy) {
			cfg, err := config.Read([]byte(strings.Replace(strings.Replace(placesConfig, `"r2"`, `"r3"`, 1), `"allowedRegions":[]`, `"allowedRegions":["r2"]`, 1)))
			if err != nil {
				t.Fatal(err)
			}
			s.config.Store(cfg)
		},
	} {
		s := newProxy(t, u.instance("i-1"))
		cfg, _ := config.Read([]byte(placesConfig))
		s.config.Store(cfg)
		r, _ := http.NewRequest("POST", "/any/", nil)
		r.RequestURI, r.Host = "/any/", "h.example"
		r.Header.Set(headerAPIKey, "k1")
		route, tenant, _ := matchRequest(cfg, r)
		p := &exchange{proxy: s, request: r, config: cfg, route: route, tenant: tenant, service: "svc", homes: anyRegion, deadline: time.Now().Add(time.Second)}
		of := s.pool.Place(target{service: "svc", regions: anyRegion}, nil)
		change(s)
		if of == nil || !p.try(of).notRun || u.count() != 0 {
			t.Errorf("%s: a request went out all the same", name)
		}
	}
}
