package controlplane

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"slateridge/internal/admission"
	"slateridge/internal/config"
	"slateridge/internal/eventlog"
)

// configWithQuota returns a configuration with the given number of routes, in which the rate
// of tenant t in requests per second equals the version.
func configWithQuota(version, routes int) []byte {
	var body strings.Builder
	fmt.Fprintf(&body, `{"configVersion":"r%d","resourceList":[`, version)
	for n := range routes {
		fmt.Fprintf(&body, `{"resourceKind":"routes","metadata":{"name":"r%d"},"spec":{"host":"h.example","pathPrefix":"/p%d/","routeType":"idempotent","timeout":"1s","targetLatency":"250ms","priority":1,"targetService":"x","maxAttempts":1,"public":false}},`, n, n)
	}
	body.WriteString(`{"resourceKind":"services","metadata":{"name":"x"},"spec":{"maxConnections":10,"protocol":"h1"}},`)
	fmt.Fprintf(&body, `{"resourceKind":"tenants","metadata":{"name":"t"},"spec":{"apiKeys":["k"],"ratePerS":%d,"burstSize":1}}]}`, version)
	return []byte(body.String())
}

// quotaRecorder records the rates of tenant t that a quota tracker would have received.
type quotaRecorder struct {
	mu    sync.Mutex
	rates []float64
}

func (r *quotaRecorder) record(quotas map[string]admission.Quota) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rates = append(r.rates, quotas["t"].Rate)
}

// When several goroutines apply commits concurrently, the newest one must stay active. Quotas
// must never go back to an older version, even if its configuration takes longer to parse.
func TestConcurrentCommitsTakeEffectInOrder(t *testing.T) {
	const rounds, commitsPerRound = 12, 4
	recorder := &quotaRecorder{}
	s := &activeState{events: eventlog.New(zerolog.Nop()), setQuotas: recorder.record, publish: func() {}}
	for round := range rounds {
		var group sync.WaitGroup
		newest := (round + 1) * commitsPerRound
		for n := range commitsPerRound {
			version := newest - commitsPerRound + 1 + n
			doc := config.Doc{Version: uint64(version), Raw: configWithQuota(version, 300*(commitsPerRound-1-n)), Stamp: config.Revision{View: 1, Seq: uint64(version)}}
			group.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				s.apply(doc)
				if in := s.Config(); in == nil || in.Version < doc.Version {
					t.Errorf("r%d was committed, but the active configuration is %v", doc.Version, in)
				}
			})
		}
		group.Wait()
		recorder.mu.Lock()
		for i := 1; i < len(recorder.rates); i++ {
			if recorder.rates[i] <= recorder.rates[i-1] {
				t.Fatalf("round %d: quotas went back to an older version: rates in order %v", round, recorder.rates)
			}
		}
		if last := recorder.rates[len(recorder.rates)-1]; int(last) != newest || s.Config().Version != uint64(newest) || s.Load().Version != uint64(newest) {
			t.Fatalf("round %d: quotas of r%v, configuration r%d, state r%d; want r%d", round, last, s.Config().Version, s.Load().Version, newest)
		}
		recorder.mu.Unlock()
	}
}

// When several configurations arrive concurrently, the quotas of the newest must be pending.
func TestConcurrentPendingConfigsKeepNewest(t *testing.T) {
	const configsPerRound, rounds = 8, 200
	s := &activeState{events: eventlog.New(zerolog.Nop()), setQuotas: func(map[string]admission.Quota) {}, publish: func() {}}
	for round := range rounds {
		var group sync.WaitGroup
		first := round * configsPerRound
		for n := range configsPerRound {
			cfg := &config.Config{Version: uint64(first + n + 1)}
			group.Go(func() { s.addPending(cfg) })
		}
		group.Wait()
		if got, want := s.pending.Load().version, uint64(first+configsPerRound); got != want {
			t.Fatalf("round %d: r%d is pending, want r%d", round, got, want)
		}
	}
}
