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

// Sizes of a plot, in pixels.
const (
	plotWidth  = 640
	plotHeight = 160
	plotMargin = 48
	maxTenants = 50 // with plots, those that burn most first
)

// ErrTooFewSnapshots is given where there is no span to plot.
var ErrTooFewSnapshots = errors.New("a report with plots needs snapshots of at least two times")

// page is the content of the HTML report.
type page struct {
	From, To time.Time
	Unheld   []int
	Tenants  []tenantSection
	Others   int
}

// tenantSection is one tenant's part of the page.
type tenantSection struct {
	accounts.Standing
	Owed, Missed uint64 // in the span
	Worst        float64
	BurnPlot     template.HTML
	LatencyPlot  template.HTML
}

// series is one line of a plot.
type series struct {
	name, color string
	values      []float64
}

// HTML writes a page on the span between the first and the last snapshot. It needs
// nothing from elsewhere.
func HTML(w io.Writer, snapshots []accounts.Snapshot) error {
	snapshots = slices.Clone(snapshots)
	slices.SortFunc(snapshots, func(a, b accounts.Snapshot) int { return a.At.Compare(b.At) })
	if len(snapshots) < 2 || !snapshots[0].At.Before(snapshots[len(snapshots)-1].At) {
		return ErrTooFewSnapshots
	}
	last := snapshots[len(snapshots)-1]
	p := page{From: snapshots[0].At, To: last.At, Unheld: last.MissingShards()}
	for _, standing := range last.Standings {
		p.Tenants = append(p.Tenants, newTenantSection(snapshots, standing))
	}
	slices.SortStableFunc(p.Tenants, func(a, b tenantSection) int {
		if a.Worst > b.Worst {
			return -1
		}
		if a.Worst < b.Worst {
			return 1
		}
		return 0
	})
	p.Others = max(0, len(p.Tenants)-maxTenants)
	p.Tenants = p.Tenants[:len(p.Tenants)-p.Others]
	return pageTemplate.Execute(w, p)
}

func newTenantSection(snapshots []accounts.Snapshot, standing accounts.Standing) tenantSection {
	out := tenantSection{Standing: standing}
	burn := series{name: "burn rate", color: "#b03030"}
	p50 := series{name: "p50", color: "#3060b0"}
	p99 := series{name: "p99", color: "#b07030"}
	for i := 1; i < len(snapshots); i++ {
		between, ok := accounts.NewInterval(snapshots[i-1], snapshots[i], standing.Tenant)
		if !ok {
			between = accounts.Interval{}
		}
		rate := between.BurnRate(standing.Objective)
		out.Worst = max(out.Worst, rate)
		out.Owed += between.Eligible
		out.Missed += between.Missed
		burn.values = append(burn.values, rate)
		p50.values = append(p50.values, between.Latency.Quantile(0.5).Seconds()*1e3)
		p99.values = append(p99.values, between.Latency.Quantile(0.99).Seconds()*1e3)
	}
	out.BurnPlot = plot("burn rate", 1, burn)
	out.LatencyPlot = plot("latency, ms", standing.Objective.Latency.Seconds()*1e3, p50, p99)
	return out
}

// plot draws lines over the span, and a dashed one at a bound.
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
	return template.HTML(out.String()) // names here are constants, all else are numbers
}

// stepPoints are the corners of a stepped line: a value holds for its whole interval.
func stepPoints(values []float64, y func(float64) float64) string {
	var out []string
	step := float64(plotWidth) / float64(len(values))
	for i, v := range values {
		out = append(out, fmt.Sprintf("%.1f,%.1f %.1f,%.1f", plotMargin+float64(i)*step, y(v), plotMargin+float64(i+1)*step, y(v)))
	}
	return strings.Join(out, " ")
}

// axisMax is the next of 1, 2 and 5 times a power of ten.
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
<html lang="en"><head><meta charset="utf-8"><title>Accounts of tenants</title>
<style>body{font:14px sans-serif;margin:2em;max-width:62em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}
th:first-child,td:first-child{text-align:left}svg{display:block}svg text{font:11px sans-serif}.mark{text-anchor:end}.grid{stroke:#ddd}
.bound{stroke:#888;stroke-dasharray:4 3}.alarm{color:#b03030;font-weight:bold}</style></head><body>
<h1>Accounts of tenants</h1><p>{{time .From}} to {{time .To}}</p>
{{if .Unheld}}<p class="alarm">Incomplete: no machine that answered holds shards {{.Unheld}}.</p>{{end}}
<table><tr><th>tenant</th><th>objective</th><th>requests in the span</th><th>missed</th><th>budget left</th><th>burn 5m</th><th>burn 1h</th><th>p50</th><th>p99</th></tr>
{{range .Tenants}}<tr><td>{{.Tenant}}{{if .Budget.Alarm}} <span class="alarm">alarm</span>{{end}}</td><td>{{percent .Objective.Target}} in {{ms .Objective.Latency}}</td><td>{{.Owed}}</td><td>{{.Missed}}</td><td>{{percent .Budget.Left}}</td><td>{{printf "%.1f" .Budget.ShortBurn}}</td><td>{{printf "%.1f" .Budget.LongBurn}}</td><td>{{ms .P50}}</td><td>{{ms .P99}}</td></tr>
{{end}}</table>{{if .Others}}<p>{{.Others}} tenants that burned less are left out.</p>{{end}}
{{range .Tenants}}<h2>{{.Tenant}}</h2>{{.BurnPlot}}{{.LatencyPlot}}{{end}}
</body></html>
`))
