package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"slateridge/internal/constants"
)

// fakePlatform stands in for the platform API: it serves the list of upstreams in pages and
// accepts usage reports.
type fakePlatform struct {
	mu        sync.Mutex
	reports   int
	listCalls int
}

func (s *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		io.Copy(io.Discard, r.Body)
		s.reports++
		return
	}
	s.listCalls++
	first, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	type instance map[string]any
	instances := map[string][]instance{}
	for i := 0; first == 0 && i < echoUpstreams; i++ {
		instances["z0"] = append(instances["z0"], instance{"instanceId": fmt.Sprintf("echo-%d", i), "targetService": "echo", "zone": "z0",
			"address": echoAddr(i), "capacitySlots": 16, "state": "ready", "warmupLeft": "0ms"})
	}
	for i := first; i < min(first+constants.PollPageSize, cli.Upstreams); i++ {
		zone := fmt.Sprintf("z%d", i%4)
		instances[zone] = append(instances[zone], instance{"instanceId": fmt.Sprintf("i-%08d", i), "targetService": fmt.Sprintf("svc%04d", i%cli.Services), "zone": zone,
			"address": fmt.Sprintf("127.30.%d.%d:8080", i/250%250, i%250), "capacitySlots": 2, "state": "ready", "warmupLeft": "0ms"})
	}
	var next any
	if first+constants.PollPageSize < cli.Upstreams {
		next = strconv.Itoa(first + constants.PollPageSize)
	}
	json.NewEncoder(w).Encode(map[string]any{"instances": instances, "nextPageToken": next})
}

const echoUpstreams = 8

func echoAddr(i int) string { return fmt.Sprintf("127.9.1.%d:18080", i+1) }

// serveEcho handles a request of an upstream that responds immediately.
func serveEcho(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Slateridge-Attempt-Id", r.Header.Get("X-Slateridge-Attempt-Id"))
	w.Header().Set("X-Slateridge-Response-Seal", "s")
	io.WriteString(w, "a small answer")
}

// startPlatform starts the fake platform and the echo upstreams.
func startPlatform() (*fakePlatform, error) {
	listener, err := net.Listen("tcp4", platformAddr)
	if err != nil {
		return nil, err
	}
	fake := &fakePlatform{}
	go http.Serve(listener, fake)
	for i := range echoUpstreams {
		listener, err := net.Listen("tcp4", echoAddr(i))
		if err != nil {
			return nil, err
		}
		go http.Serve(listener, http.HandlerFunc(serveEcho))
	}
	return fake, nil
}
