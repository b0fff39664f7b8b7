package usage

import (
	"math/rand/v2"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// A proxy that has reported to one holder reports all open windows again to its successor. The
// successor does not consider a window complete before it has received everything.
func TestNewHolderReceivesAllOpenWindows(t *testing.T) {
	m, old, next := NewMeter(7), NewTally(10), NewTally(20)
	sendReport := func(to *Tally, current uint64) Report {
		report, _ := m.NextReport("p", current)
		if ack, ok := to.Merge(0, current, report); ok {
			m.Acknowledge(report, ack)
		}
		return report
	}
	m.Count(100, "x")
	m.Count(100, "y")
	sendReport(old, 101)
	sendReport(old, 101)
	if !old.Complete(100, 0, []string{"p"}) || old.Sum(100)["x"] != 1 {
		t.Fatalf("the first holder has %v", old.Sum(100))
	}
	m.Count(100, "x") // late
	report, _ := m.NextReport("p", 101)
	ack, _ := next.Merge(0, 101, report)
	if next.Complete(100, 0, []string{"p"}) {
		t.Fatal("the new holder considers a partial report complete")
	}
	m.Acknowledge(report, ack)
	sendReport(next, 101)
	if got := next.Sum(100); !next.Complete(100, 0, []string{"p"}) || got["x"] != 2 || got["y"] != 1 {
		t.Fatalf("the new holder has %v", got)
	}
	if next.Complete(100, 0, []string{"p", "q"}) {
		t.Error("complete without a report from q")
	}
}

// The reports of a tally's snapshot can be merged into another tally, twice and besides the
// proxies' own reports: they add nothing for live proxies and everything for those that have ended.
func TestSnapshotMergesIntoAnotherTally(t *testing.T) {
	a, b := NewTally(1), NewTally(2)
	ended := Report{Proxy: "p", Life: 1, Windows: map[uint64]Counts{5: {"x": 3}}}
	live := Report{Proxy: "q", Life: 2, Windows: map[uint64]Counts{5: {"x": 4}}}
	a.Merge(0, 6, ended)
	a.Merge(0, 6, live)
	snapshot, changed := a.SnapshotIfChanged()
	if _, again := a.SnapshotIfChanged(); !changed || again || len(snapshot) != 2 {
		t.Fatalf("snapshot %v, changed %v, changed again %v", snapshot, changed, again)
	}
	live.Windows[5]["x"] = 6
	b.Merge(0, 6, live)
	for range 2 {
		for _, report := range snapshot {
			b.Merge(0, 6, report)
		}
	}
	if got := b.Sum(5)["x"]; got != 9 {
		t.Errorf("%d runs, want 9", got)
	}
}

// A running request keeps its window open. A settled window accepts no more counts.
func TestOpenAndSettledWindows(t *testing.T) {
	m := NewMeter(1)
	m.BeginRequest(50)
	if report, _ := m.NextReport("p", 53); report.Closed != 49 {
		t.Fatalf("closed up to %d with a request of window 50 running, want 49", report.Closed)
	}
	m.EndRequest(50)
	report, pending := m.NextReport("p", 53)
	if !pending || report.Closed != 52 {
		t.Fatalf("closed up to %d, want 52", report.Closed)
	}
	m.Acknowledge(report, Ack{Term: 1, Settled: 52})
	m.Count(52, "x")
	if report, _ := m.NextReport("p", 53); m.Dropped != 1 || len(report.Windows) > 0 {
		t.Errorf("a count was added to a settled window: %v", report)
	}
}

// Invalid reports are rejected, and the memory of a meter is bounded if no holder acknowledges its
// reports.
func TestInvalidReportsAndMemoryBound(t *testing.T) {
	tally := NewTally(1)
	long := make([]byte, constants.MaxNameBytes+1)
	for _, report := range []Report{
		{Life: 1},
		{Proxy: string(long)},
		{Proxy: "p", Closed: 1000},
		{Proxy: "p", Windows: map[uint64]Counts{9: {"x": constants.UsageMaxCount + 1}}},
		{Proxy: "p", Windows: map[uint64]Counts{1 << 60: {"x": 1}}},
		{Proxy: "p", Windows: map[uint64]Counts{9: {"": 1}}},
	} {
		if _, ok := tally.Merge(0, 10, report); ok {
			t.Errorf("%+.60v was accepted", report)
		}
	}
	if tally.Rejected != 6 || tally.Reporters() != 0 {
		t.Errorf("%d reports rejected and %d reporters known, want 6 and 0", tally.Rejected, tally.Reporters())
	}
	m := NewMeter(1)
	for w := uint64(1); w < 1000; w++ {
		m.Count(w, "x")
		m.NextReport("p", w)
	}
	if report, _ := m.NextReport("p", 1000); len(report.Windows) > constants.UsageMaxUnsettledWindows+1 {
		t.Errorf("%d windows kept", len(report.Windows))
	}
}

// A window that began under a previous holder waits for that holder's handover, but only up to the
// decision deadline. A window that began after the takeover does not wait for it.
func TestWindowWaitsForHandover(t *testing.T) {
	const length, delay = time.Second, 5 * time.Second
	tally := NewTally(1)
	at := func(s float64) Timing {
		return Timing{Monotonic: time.Duration(s * 1e9), Agreed: time.Unix(1000, 0).Add(time.Duration(s * 1e9)), HeldFor: time.Duration((s - 10.5) * 1e9)}
	}
	if _, _, ok := tally.NextWindow(at(12), 1009, length, delay, nil); ok {
		t.Fatal("decided without the previous holder's reports")
	}
	if w, _, ok := tally.NextWindow(at(12), 1010, length, delay, nil); ok || w != 0 {
		t.Fatal("decided too early")
	}
	if w, _, ok := tally.NextWindow(at(13), 1010, length, delay, nil); !ok || w != 1011 {
		t.Fatal("a window that began after the takeover waits")
	}
	if w, _, ok := tally.NextWindow(at(11+decisionAge(delay).Seconds()), 1009, length, delay, nil); !ok || w != 1010 {
		t.Fatal("still waiting for the handover after the decision deadline")
	}
	tally.HandoverReceived(11 * time.Second)
	if w, _, ok := tally.NextWindow(at(12), 1009, length, delay, nil); !ok || w != 1010 {
		t.Fatal("still waiting after the handover")
	}
}

// Windows that ended too long ago are skipped; the others are decided one at a time and in order.
func TestWindowsAreDecidedInOrder(t *testing.T) {
	const length, delay = time.Second, 5 * time.Second
	tally := NewTally(1)
	at := func(s float64) Timing {
		return Timing{Monotonic: time.Duration(s * 1e9), Agreed: time.Unix(1000, 0).Add(time.Duration(s * 1e9)), HeldFor: time.Hour}
	}
	if w, _, ok := tally.NextWindow(at(30), 900, length, delay, nil); !ok || w != 1030-constants.UsageMaxUnsettledWindows {
		t.Fatalf("window after 900: %d, %v", w, ok)
	}
	if w, _, ok := tally.NextWindow(at(30), 1020, length, delay, nil); !ok || w != 1021 {
		t.Fatalf("window after 1020: %d, %v", w, ok)
	}
	if _, _, ok := tally.NextWindow(at(30.9), 1028, length, delay, []string{"p"}); ok {
		t.Error("decided before all proxies have reported")
	}
	if w, _, ok := tally.NextWindow(at(30+decisionAge(delay).Seconds()), 1028, length, delay, []string{"p"}); !ok || w != 1029 {
		t.Error("still waiting for a silent proxy after the decision deadline")
	}
}

// If a third of all proxies is killed at any one moment of a window, the window's report lacks
// well under a twentieth of its runs, which is the tolerated error. This requires that the proxies
// do not report in step: killed just before a common report time, each would lose the most it can.
func TestLossWhenProxiesAreKilledTogether(t *testing.T) {
	const proxies, killed, length, step, runEvery = 84, 28, 5 * time.Second, 10 * time.Millisecond, 40 * time.Millisecond
	for seed := uint64(1); seed <= 60; seed++ {
		rng := rand.New(rand.NewPCG(seed, 3))
		killedAt := time.Duration(seed) * length / 60
		tally := NewTally(1)
		executed := 0
		for p := range proxies {
			m, name := NewMeter(rng.Uint64()), string(rune('A'+p))
			phase := ReportPhase(rng.Uint64(), reportInterval)
			firstRun := time.Duration(rng.Int64N(int64(runEvery)))
			for now := time.Duration(0); now <= length+2*reportInterval; now += step {
				if now < length && (now-firstRun)%runEvery < step && now >= firstRun {
					executed++
					m.Count(7, "x")
				}
				if p < killed && now >= killedAt {
					break
				}
				if now >= phase && (now-phase)%reportInterval < step {
					report, _ := m.NextReport(name, 7)
					if ack, ok := tally.Merge(now, 7, report); ok {
						m.Acknowledge(report, ack)
					}
				}
			}
		}
		if lost := float64(executed-int(tally.Sum(7)["x"])) / float64(executed); lost < 0 || lost > 0.032 {
			t.Errorf("seed %d: after the kill at %v the report lacks a part of %.3f of %d runs", seed, killedAt, lost, executed)
		}
	}
}

// Requests that run at a proxy when it is killed count as in its last report. At a proxy that
// stays alive, each counts once when it ends, or not at all if it was not executed. Late,
// duplicate and handed-over reports change nothing.
func TestRunningRequestsCountOnce(t *testing.T) {
	m, tally := NewMeter(5), NewTally(1)
	var reports []Report
	sendReport := func() {
		report, _ := m.NextReport("p", 8)
		reports = append(reports, report)
		if ack, ok := tally.Merge(0, 8, report); ok {
			m.Acknowledge(report, ack)
		}
	}
	runs := []*Run{{}, {}, {}}
	for _, run := range runs {
		m.StartRun(run, 7, "x")
		m.StartRun(run, 8, "x") // sent to a second upstream
	}
	m.Count(7, "x")
	sendReport()
	if got := tally.Sum(7)["x"]; got != 4 {
		t.Fatalf("%d runs would count if the proxy were killed now, want 4", got)
	}
	m.EndRun(runs[0])
	m.Count(7, "x")
	m.EndRun(runs[1]) // not executed
	m.StartRun(runs[1], 7, "x")
	sendReport()
	if got := tally.Sum(7)["x"]; got != 3 {
		t.Fatalf("%d runs count, want 3", got)
	}
	next := NewTally(2)
	for range 2 {
		for _, report := range append([]Report{reports[1], reports[0]}, tally.Snapshot()...) {
			tally.Merge(0, 8, report)
			next.Merge(0, 8, report)
		}
	}
	if got, gotNext := tally.Sum(7)["x"], next.Sum(7)["x"]; got != 3 || gotNext != 3 {
		t.Fatalf("%d and %d runs count, want 3 and 3", got, gotNext)
	}
	m.EndRun(runs[2])
	m.Count(7, "x")
	sendReport()
	if got := tally.Sum(7)["x"]; got != 3 {
		t.Fatalf("%d runs count, want 3", got)
	}
	tally.Settle(8)
	tally.Merge(0, 8, reports[0])
	if got := tally.Sum(7); len(got) > 0 || len(m.running) > 0 {
		t.Errorf("kept after settling: %v, %v", got, m.running)
	}
	invalid := Report{Proxy: "p", Life: 5, Seq: 99, Running: map[uint64]Counts{7: {"x": constants.UsageMaxCount + 1}}}
	if _, ok := tally.Merge(0, 8, invalid); ok || tally.Rejected != 1 {
		t.Error("an invalid report was accepted")
	}
}

// The report interval follows from the window's length and the tolerance of the platform. The
// decision deadline leaves time for one lost call to the platform and its retry.
func TestReportIntervalAndDecisionAge(t *testing.T) {
	for _, c := range []struct {
		window    time.Duration
		tolerance float64
		interval  time.Duration
	}{{5 * time.Second, 0.05, 250 * time.Millisecond}, {time.Minute, 0.01, 600 * time.Millisecond}, {5 * time.Second, 0, constants.StepInterval}} {
		if interval := ReportInterval(c.window, c.tolerance); interval != c.interval {
			t.Errorf("window of %v with a tolerance of %v: report interval %v, want %v", c.window, c.tolerance, interval, c.interval)
		}
	}
	for _, delay := range []time.Duration{10 * time.Second, time.Minute} {
		if left := delay - decisionAge(delay); left < constants.DutyCallTimeout+constants.DutyMaxRetryDelay {
			t.Errorf("delay of %v: %v left for calls to the platform", delay, left)
		}
	}
}
