package accountreport

import (
	"errors"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"slateridge/internal/accounts"
)

// Dimensions of a plot, in pixels.
const (
	plotWidth  = 640
	plotHeight = 160
	plotMargin = 48
)

// maxTenants limits the tenants on the page to those with the highest burn rates.
const maxTenants = 50

// ErrTooFewSnapshots is returned if the snapshots don't span any time.
var ErrTooFewSnapshots = errors.New("an HTML report needs snapshots from at least two times")

// page is the data of pageTemplate.
type page struct {
	From, To      time.Time
	MissingShards []int
	Tenants       []tenantSection
	Omitted       int // tenants that aren't shown
}

// tenantSection is the data of one tenant on the page.
type tenantSection struct {
	accounts.Standing
	Eligible, Missed uint64 // requests between the first and the last snapshot
	PeakBurnRate     float64
	BurnPlot         template.HTML
	LatencyPlot      template.HTML
}

// series is the data of one line in a plot.
type series struct {
	name, color string
	values      []float64
}

// HTML writes a self-contained page about the time between the first and the last snapshot.
func HTML(w io.Writer, snapshots []accounts.Snapshot) error {
	snapshots = slices.Clone(snapshots)
	slices.SortFunc(snapshots, func(a, b accounts.Snapshot) int { return a.At.Compare(b.At) })
	if len(snapshots) < 2 || !snapshots[0].At.Before(snapshots[len(snapshots)-1].At) {
		return ErrTooFewSnapshots
	}
	last := snapshots[len(snapshots)-1]
	p := page{From: snapshots[0].At, To: last.At, MissingShards: last.MissingShards()}
	for _, standing := range last.Standings {
		p.Tenants = append(p.Tenants, newTenantSection(snapshots, standing))
	}
	slices.SortStableFunc(p.Tenants, func(a, b tenantSection) int {
		if a.PeakBurnRate > b.PeakBurnRate {
			return -1
		}
		if a.PeakBurnRate < b.PeakBurnRate {
			return 1
		}
		return 0
	})
	p.Omitted = max(0, len(p.Tenants)-maxTenants)
	p.Tenants = p.Tenants[:len(p.Tenants)-p.Omitted]
	return pageTemplate.Execute(w, p)
}

func newTenantSection(snapshots []accounts.Snapshot, standing accounts.Standing) tenantSection {
	out := tenantSection{Standing: standing}
	burn := series{name: "burn rate", color: "#b03030"}
	p50 := series{name: "p50", color: "#3060b0"}
	p99 := series{name: "p99", color: "#b07030"}
	for i := 1; i < len(snapshots); i++ {
		interval, ok := accounts.NewInterval(snapshots[i-1], snapshots[i], standing.Tenant)
		if !ok {
			interval = accounts.Interval{}
		}
		rate := interval.BurnRate(standing.Objective)
		out.PeakBurnRate = max(out.PeakBurnRate, rate)
		out.Eligible += interval.Eligible
		out.Missed += interval.Missed
		burn.values = append(burn.values, rate)
		p50.values = append(p50.values, interval.Latency.Quantile(0.5).Seconds()*1e3)
		p99.values = append(p99.values, interval.Latency.Quantile(0.99).Seconds()*1e3)
	}
	out.BurnPlot = plot("burn rate", 1, burn)
	out.LatencyPlot = plot("latency, ms", standing.Objective.Latency.Seconds()*1e3, p50, p99)
	return out
}

// plot returns an SVG image of the lines over time, with a dashed line at bound.
func plot(title string, bound float64, lines ...series) template.HTML {
	top := bound
	for _, line := range lines {
		top = max(top, slices.Max(line.values))
	}
	top = axisMax(top)
	y := func(v float64) float64 { return plotHeight - v/top*plotHeight + plotMargin/2 }
	var out strings.Builder
	fmt.Fprintf(&out, `<svg viewBox="0 0 %d %d" width="%d" role="img" aria-label="%s">`, plotWidth+2*plotMargin, plotHeight+plotMargin, plotWidth+2*plotMargin, title)
	fmt.Fprintf(&out, `<text x="%d" y="14">%s</text>`, plotMargin, title)
	for _, mark := range []float64{0, top / 2, top} {
		fmt.Fprintf(&out, `<line class="grid" x1="%d" y1="%.1f" x2="%d" y2="%.1f"/><text class="mark" x="%d" y="%.1f">%.4g</text>`,
			plotMargin, y(mark), plotMargin+plotWidth, y(mark), plotMargin-4, y(mark)+4, mark)
	}
	fmt.Fprintf(&out, `<line class="bound" x1="%d" y1="%.1f" x2="%d" y2="%.1f"/>`, plotMargin, y(bound), plotMargin+plotWidth, y(bound))
	for i, line := range lines {
		fmt.Fprintf(&out, `<polyline fill="none" stroke="%s" points="%s"/>`, line.color, stepPoints(line.values, y))
		fmt.Fprintf(&out, `<text x="%d" y="14" fill="%s">%s</text>`, plotMargin+plotWidth-120+60*i, line.color, line.name)
	}
	out.WriteString(`</svg>`)
	return template.HTML(out.String()) // safe: all inserted values are constants or numbers
}

// stepPoints returns the corner points of a step line: each value applies to its whole
// interval.
func stepPoints(values []float64, y func(float64) float64) string {
	var out []string
	step := float64(plotWidth) / float64(len(values))
	for i, v := range values {
		out = append(out, fmt.Sprintf("%.1f,%.1f %.1f,%.1f", plotMargin+float64(i)*step, y(v), plotMargin+float64(i+1)*step, y(v)))
	}
	return strings.Join(out, " ")
}

// axisMax rounds up to 1, 2 or 5 times a power of ten.
func axisMax(v float64) float64 {
	if v <= 0 {
		return 1
	}
	power := math.Pow(10, math.Floor(math.Log10(v)))
	for _, factor := range []float64{1, 2, 5} {
		if v <= factor*power {
			return factor * power
		}
	}
	return 10 * power
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(share float64) string { return fmt.Sprintf("%.4g%%", 100*share) },
	"ms":      milliseconds,
	"time":    func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Tenant accounts</title>
<style>body{font:14px sans-serif;margin:2em;max-width:62em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}
th:first-child,td:first-child{text-align:left}svg{display:block}svg text{font:11px sans-serif}.mark{text-anchor:end}.grid{stroke:#ddd}
.bound{stroke:#888;stroke-dasharray:4 3}.alarm{color:#b03030;font-weight:bold}</style></head><body>
<h1>Tenant accounts</h1><p>{{time .From}} to {{time .To}}</p>
{{if .MissingShards}}<p class="alarm">Incomplete: none of the nodes that responded leads shards {{.MissingShards}}.</p>{{end}}
<table><tr><th>tenant</th><th>objective</th><th>requests</th><th>missed</th><th>budget left</th><th>burn 5m</th><th>burn 1h</th><th>p50</th><th>p99</th></tr>
{{range .Tenants}}<tr><td>{{.Tenant}}{{if .Budget.Alarm}} <span class="alarm">alarm</span>{{end}}</td><td>{{percent .Objective.Target}} in {{ms .Objective.Latency}}</td><td>{{.Eligible}}</td><td>{{.Missed}}</td><td>{{percent .Budget.Left}}</td><td>{{printf "%.1f" .Budget.ShortBurn}}</td><td>{{printf "%.1f" .Budget.LongBurn}}</td><td>{{ms .P50}}</td><td>{{ms .P99}}</td></tr>
{{end}}</table>{{if .Omitted}}<p>{{.Omitted}} tenants with lower burn rates are not shown.</p>{{end}}
{{range .Tenants}}<h2>{{.Tenant}}</h2>{{.BurnPlot}}{{.LatencyPlot}}{{end}}
</body></html>
`))
