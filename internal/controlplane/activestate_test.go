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

// configWithQuota is a configuration that limits tenant t to as many requests a second as its
// version says, with so many routes.
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

// quotaRecorder keeps what a tracker would have been given last.
type quotaRecorder struct {
	mu    sync.Mutex
	rates []float64
}

func (l *quotaRecorder) record(quotas map[string]admission.Quota) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates = append(l.rates, quotas["t"].Rate)
}

// Of commits by several goroutines at once, the newest stays in force for all that take
// something from it: limits never go back to an overtaken version, however long its
// configuration takes to read.
func TestConcurrentCommitsTakeEffectInOrder(t *testing.T) {
	const rounds, commitsPerRound = 12, 4
	recorder := &quotaRecorder{}
	f := &activeState{events: eventlog.New(zerolog.Nop()), setQuotas: recorder.record, publish: func() {}}
	for round := range rounds {
		var group sync.WaitGroup
		newest := (round + 1) * commitsPerRound
		for n := range commitsPerRound {
			version := newest - commitsPerRound + 1 + n
			doc := config.Doc{Version: uint64(version), Raw: configWithQuota(version, 300*(commitsPerRound-1-n)), Stamp: config.Revision{View: 1, Seq: uint64(version)}}
			group.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				f.apply(doc)
				if in := f.Config(); in == nil || in.Version < doc.Version {
					t.Errorf("r%d was committed and %v is in force", doc.Version, in)
				}
			})
		}
		group.Wait()
		recorder.mu.Lock()
		for i := 1; i < len(recorder.rates); i++ {
			if recorder.rates[i] <= recorder.rates[i-1] {
				t.Fatalf("round %d: limits went back: rates given one after the other %v", round, recorder.rates)
			}
		}
		if last := recorder.rates[len(recorder.rates)-1]; int(last) != newest || f.Config().Version != uint64(newest) || f.Load().Version != uint64(newest) {
			t.Fatalf("round %d: limits of r%v, routes and keys of r%d, state r%d; want r%d", round, last, f.Config().Version, f.Load().Version, newest)
		}
		recorder.mu.Unlock()
	}
}

// Of orders that arrive at once the limits of the newest are evaluated.
func TestConcurrentPendingConfigsKeepNewest(t *testing.T) {
	const configsPerRound, rounds = 8, 200
	f := &activeState{events: eventlog.New(zerolog.Nop()), setQuotas: func(map[string]admission.Quota) {}, publish: func() {}}
	for round := range rounds {
		var group sync.WaitGroup
		first := round * configsPerRound
		for n := range configsPerRound {
			cfg := &config.Config{Version: uint64(first + n + 1)}
			group.Go(func() { f.addPending(cfg) })
		}
		group.Wait()
		if got, want := f.pending.Load().version, uint64(first+configsPerRound); got != want {
			t.Fatalf("round %d: r%d is evaluated, want r%d", round, got, want)
		}
	}
}
