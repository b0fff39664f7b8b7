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

// standInPlatform takes the platform's place: it serves the list of upstreams in pages, and
// takes reports.
type standInPlatform struct {
	mu      sync.Mutex
	reports int
	calls   int
}

func (s *standInPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		io.Copy(io.Discard, r.Body)
		s.reports++
		return
	}
	s.calls++
	from, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	type inst map[string]any
	out := map[string][]inst{}
	for i := 0; from == 0 && i < echoes; i++ {
		out["z0"] = append(out["z0"], inst{"instanceId": fmt.Sprintf("echo-%d", i), "targetService": "echo", "zone": "z0",
			"address": echoAddr(i), "capacitySlots": 16, "state": "ready", "warmupLeft": "0ms"})
	}
	for i := from; i < min(from+constants.PollPageSize, cli.Upstreams); i++ {
		z := fmt.Sprintf("z%d", i%4)
		out[z] = append(out[z], inst{"instanceId": fmt.Sprintf("i-%08d", i), "targetService": fmt.Sprintf("svc%04d", i%cli.Services), "zone": z,
			"address": fmt.Sprintf("127.30.%d.%d:8080", i/250%250, i%250), "capacitySlots": 2, "state": "ready", "warmupLeft": "0ms"})
	}
	var next any
	if from+constants.PollPageSize < cli.Upstreams {
		next = strconv.Itoa(from + constants.PollPageSize)
	}
	json.NewEncoder(w).Encode(map[string]any{"instances": out, "nextPageToken": next})
}

const echoes = 8

func echoAddr(i int) string { return fmt.Sprintf("127.9.1.%d:18080", i+1) }

// echo is an upstream that answers at once.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Slateridge-Attempt-Id", r.Header.Get("X-Slateridge-Attempt-Id"))
	w.Header().Set("X-Slateridge-Response-Seal", "s")
	io.WriteString(w, "a small answer")
}

// startPlatform serves the list, and stand-in upstreams.
func startPlatform() (*standInPlatform, error) {
	l, err := net.Listen("tcp4", platform)
	if err != nil {
		return nil, err
	}
	pl := &standInPlatform{}
	go http.Serve(l, pl)
	for i := range echoes {
		l, err := net.Listen("tcp4", echoAddr(i))
		if err != nil {
			return nil, err
		}
		go http.Serve(l, http.HandlerFunc(echo))
	}
	return pl, nil
}
