// Package adminhttp serves the admin interface that both roles share, with the metrics they
// have in common.
package adminhttp

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"slateridge/internal/eventlog"
	"slateridge/internal/membership"
	"slateridge/internal/transport"
)

// Report is what a process reports of itself.
type Report interface {
	WriteMetrics(w io.Writer)
}

// Handler serves a role's report, as JSON under /status and as metrics in the
// text format scrapers read under /metrics.
func Handler[R Report](report func() R) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(report())
	})
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		report().WriteMetrics(w)
	})
	return m
}

// BoolGauge is a yes or no as a heartbeat.
func BoolGauge(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// WriteCommon gives the metrics that every role has.
func WriteCommon(w io.Writer, members []membership.Fact, tallies []eventlog.Tally) {
	states := map[membership.State]uint64{}
	for _, m := range members {
		states[m.State]++
	}
	for _, s := range []membership.State{membership.Alive, membership.Suspect, membership.Dead} {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("slateridge_members{state=%q}", s), states[s])
	}
	metrics.WriteCounterUint64(w, "slateridge_internal_malformed_total", transport.Malformed.Load())
	metrics.WriteCounterUint64(w, "slateridge_internal_incompatible_total", transport.IncompatibleConns.Load())
	t := &transport.Traffic
	metrics.WriteCounterUint64(w, `slateridge_internal_messages_total{dir="in"}`, t.In.Load())
	metrics.WriteCounterUint64(w, `slateridge_internal_messages_total{dir="out"}`, t.Out.Load())
	metrics.WriteCounterUint64(w, `slateridge_internal_bytes_total{dir="in"}`, t.InBytes.Load())
	metrics.WriteCounterUint64(w, `slateridge_internal_bytes_total{dir="out"}`, t.OutBytes.Load())
	for _, t := range tallies {
		metrics.WriteCounterUint64(w, fmt.Sprintf("slateridge_events_total{event=%q}", t.Kind), t.N)
	}
}
