// Package adminhttp implements the HTTP admin interface of both roles and the metrics that
// they have in common.
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

// Report is the status report of a process. It is also encoded as JSON.
type Report interface {
	WriteMetrics(w io.Writer)
}

// Handler returns a handler that serves a role's report: as JSON under /status, and as
// metrics in the Prometheus text format under /metrics.
func Handler[R Report](report func() R) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(report())
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		report().WriteMetrics(w)
	})
	return mux
}

// BoolGauge returns the value of a gauge that represents a condition: 1 if it is true, 0
// otherwise.
func BoolGauge(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// WriteCommon writes the metrics that both roles have.
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
	traffic := &transport.Traffic
	metrics.WriteCounterUint64(w, `slateridge_internal_messages_total{dir="in"}`, traffic.In.Load())
	metrics.WriteCounterUint64(w, `slateridge_internal_messages_total{dir="out"}`, traffic.Out.Load())
	metrics.WriteCounterUint64(w, `slateridge_internal_bytes_total{dir="in"}`, traffic.InBytes.Load())
	metrics.WriteCounterUint64(w, `slateridge_internal_bytes_total{dir="out"}`, traffic.OutBytes.Load())
	for _, tally := range tallies {
		metrics.WriteCounterUint64(w, fmt.Sprintf("slateridge_events_total{event=%q}", tally.Kind), tally.N)
	}
}
