package main

import (
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// sendLoad sends requests at a steady rate for a time and gives the sorted times they
// took, and how many failed.
func sendLoad(to string, rate float64, span time.Duration) (took []time.Duration, failed int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 2 * time.Second}
	var mu sync.Mutex
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for end := time.Now().Add(span); time.Now().Before(end); {
		<-tick.C
		wg.Go(func() {
			req, _ := http.NewRequest("GET", "http://"+to+"/echo/x", nil)
			req.Host = "echo.example"
			req.Header.Set("X-Slateridge-Attempt-Id", strconv.FormatUint(rand.Uint64(), 16))
			req.Header.Set("X-Slateridge-Time-Budget-Ms", "1000")
			req.Header.Set("X-Api-Key", "key-echo")
			began := time.Now()
			resp, err := client.Do(req)
			ok := err == nil && resp.StatusCode == 200
			if err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
			} else {
				took = append(took, time.Since(began))
			}
		})
	}
	wg.Wait()
	slices.Sort(took)
	return took, failed
}

func quantile(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(part*float64(len(sorted)-1))]
}

func mean(xs []float64) (m float64) {
	for _, x := range xs {
		m += x / float64(len(xs))
	}
	return m
}
