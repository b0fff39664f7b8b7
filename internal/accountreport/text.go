// Package accountreport formats snapshots of the accounts as a table, as CSV, and as an HTML
// page with plots.
package accountreport

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"slateridge/internal/accounts"
)

// Table writes one line per tenant and marks tenants in alarm.
func Table(w io.Writer, snapshot accounts.Snapshot) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "TENANT\tTAKEN\tIN TIME\tLATE\tLOST\tREFUSED\tUNKNOWN\tOPEN\tDOUBLED\tP50\tP99\tBUDGET LEFT\tBURN 5m\tBURN 1h\tAGE\t")
	for _, s := range snapshot.Standings {
		fmt.Fprintf(t, "%s\t%d\t", s.Tenant, s.Account.Taken)
		for _, outcome := range accounts.Outcomes() {
			fmt.Fprintf(t, "%d\t", s.Account.Settled[outcome])
		}
		fmt.Fprintf(t, "%d\t%d\t%s\t%s\t%.1f%%\t%.1f\t%.1f\t%s\t%s\n", s.Open, s.Account.Doubled, milliseconds(s.P50), milliseconds(s.P99),
			100*s.Budget.Left, s.Budget.ShortBurn, s.Budget.LongBurn, s.Age.Round(time.Second), alarm(s))
	}
	if missing := snapshot.MissingShards(); len(missing) > 0 {
		fmt.Fprintf(t, "INCOMPLETE: none of the nodes that responded leads shards %v\n", missing)
	}
	return t.Flush()
}

func alarm(s accounts.Standing) string {
	if s.Budget.Alarm {
		return "ALARM"
	}
	return ""
}

func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
}

// Tenant writes the details of one tenant.
func Tenant(w io.Writer, s accounts.Standing) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "tenant %s\n", s.Tenant)
	fmt.Fprintf(t, "  objective\t%.4g%% within %v, over %v\n", 100*s.Objective.Target, s.Objective.Latency, s.Objective.Window)
	fmt.Fprintf(t, "  requests\t%d taken", s.Account.Taken)
	for _, outcome := range accounts.Outcomes() {
		fmt.Fprintf(t, ", %d %s", s.Account.Settled[outcome], outcome)
	}
	fmt.Fprintf(t, ", %d open; %d doubled\n", s.Open, s.Account.Doubled)
	fmt.Fprintf(t, "  latency\tp50 %s, p99 %s (within %.0f%%)\n", milliseconds(s.P50), milliseconds(s.P99), 100*accounts.SketchRelativeError)
	fmt.Fprintf(t, "  budget\t%.1f%% left, based on %v of %v\n", 100*s.Budget.Left, s.Budget.Known.Round(time.Second), s.Objective.Window)
	fmt.Fprintf(t, "  burn rate\t%.1f over 5m, %.1f over 1h %s\n", s.Budget.ShortBurn, s.Budget.LongBurn, alarm(s))
	fmt.Fprintf(t, "  total\tshard %d, held by a majority, %v old\n", s.Shard, s.Age.Round(time.Second))
	return t.Flush()
}

// csvHeader holds the column names of CSV.
var csvHeader = []string{"tenant", "taken", "in_aim", "late", "lost", "refused", "unknown", "open", "doubled", "p50_seconds", "p99_seconds",
	"target", "latency_seconds", "window_seconds", "budget_left", "budget_known_seconds", "burn_short", "burn_long", "alarm", "age_seconds"}

// CSV writes a header and one record per tenant.
func CSV(w io.Writer, snapshot accounts.Snapshot) error {
	out := csv.NewWriter(w)
	if err := out.Write(csvHeader); err != nil {
		return err
	}
	for _, s := range snapshot.Standings {
		if err := out.Write(csvRecord(s)); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func csvRecord(s accounts.Standing) []string {
	number := func(n uint64) string { return strconv.FormatUint(n, 10) }
	fraction := func(f float64) string { return strconv.FormatFloat(f, 'g', 6, 64) }
	record := []string{s.Tenant, number(s.Account.Taken)}
	for _, outcome := range accounts.Outcomes() {
		record = append(record, number(s.Account.Settled[outcome]))
	}
	return append(record, number(s.Open), number(s.Account.Doubled), fraction(s.P50.Seconds()), fraction(s.P99.Seconds()),
		fraction(s.Objective.Target), fraction(s.Objective.Latency.Seconds()), fraction(s.Objective.Window.Seconds()),
		fraction(s.Budget.Left), fraction(s.Budget.Known.Seconds()), fraction(s.Budget.ShortBurn), fraction(s.Budget.LongBurn),
		strconv.FormatBool(s.Budget.Alarm), fraction(s.Age.Seconds()))
}
