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

// sendLoad sends requests at a constant rate for a duration. It returns the sorted latencies of
// the successful requests and the number of failed ones.
func sendLoad(addr string, rate float64, duration time.Duration) (latencies []time.Duration, failed int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 2 * time.Second}
	var mu sync.Mutex
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		<-tick.C
		wg.Go(func() {
			req, _ := http.NewRequest("GET", "http://"+addr+"/echo/x", nil)
			req.Host = "echo.example"
			req.Header.Set("X-Slateridge-Attempt-Id", strconv.FormatUint(rand.Uint64(), 16))
			req.Header.Set("X-Slateridge-Time-Budget-Ms", "1000")
			req.Header.Set("X-Api-Key", "key-echo")
			started := time.Now()
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
				latencies = append(latencies, time.Since(started))
			}
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	return latencies, failed
}

// quantile returns the q-quantile of sorted durations, or 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

func mean(values []float64) (avg float64) {
	for _, value := range values {
		avg += value / float64(len(values))
	}
	return avg
}
