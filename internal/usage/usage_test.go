package usage

import (
	"math/rand/v2"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// A successor is told all that is open, by proxies that had told it to another, and
// knows that it has not heard all before it has.
func TestSuccessorGathersAnew(t *testing.T) {
	m, old, next := NewMeter(7), NewTally(10), NewTally(20)
	tell := func(to *Tally, now uint64) Report {
		w, _ := m.NextReport("p", now)
		if h, ok := to.Merge(0, now, w); ok {
			m.Acknowledge(w, h)
		}
		return w
	}
	m.Count(100, "x")
	m.Count(100, "y")
	tell(old, 101)
	tell(old, 101)
	if !old.Complete(100, 0, []string{"p"}) || old.Sum(100)["x"] != 1 {
		t.Fatalf("the first holder has %v", old.Sum(100))
	}
	m.Count(100, "x") // late
	w, _ := m.NextReport("p", 101)
	h, _ := next.Merge(0, 101, w)
	if next.Complete(100, 0, []string{"p"}) {
		t.Fatal("the successor takes a difference for the whole")
	}
	m.Acknowledge(w, h)
	tell(next, 101)
	if got := next.Sum(100); !next.Complete(100, 0, []string{"p"}) || got["x"] != 2 || got["y"] != 1 {
		t.Fatalf("the successor has %v", got)
	}
	if next.Complete(100, 0, []string{"p", "q"}) {
		t.Error("complete without q")
	}
}

// What a tally has kept can be told to another, twice and beside the proxies' own
// words: it adds nothing to those that live, and all of those that do not.
func TestKeptWordsMerge(t *testing.T) {
	a, b := NewTally(1), NewTally(2)
	dead := Report{Proxy: "p", Life: 1, Windows: map[uint64]Counts{5: {"x": 3}}}
	live := Report{Proxy: "q", Life: 2, Windows: map[uint64]Counts{5: {"x": 4}}}
	a.Merge(0, 6, dead)
	a.Merge(0, 6, live)
	kept, changed := a.SnapshotIfChanged()
	if _, again := a.SnapshotIfChanged(); !changed || again || len(kept) != 2 {
		t.Fatalf("kept %v, changed %v, again %v", kept, changed, again)
	}
	live.Windows[5]["x"] = 6
	b.Merge(0, 6, live)
	for range 2 {
		for _, m := range kept {
			b.Merge(0, 6, m)
		}
	}
	if got := b.Sum(5)["x"]; got != 9 {
		t.Errorf("%d runs, there were 9", got)
	}
}

// A request under way keeps its window open; one that has been settled takes nothing.
func TestOpenWindows(t *testing.T) {
	m := NewMeter(1)
	m.BeginRequest(50)
	if w, _ := m.NextReport("p", 53); w.Closed != 49 {
		t.Fatalf("closed up to %d with a request of 50 under way", w.Closed)
	}
	m.EndRequest(50)
	w, some := m.NextReport("p", 53)
	if !some || w.Closed != 52 {
		t.Fatalf("closed up to %d", w.Closed)
	}
	m.Acknowledge(w, Ack{Term: 1, Settled: 52})
	m.Count(52, "x")
	if w, _ := m.NextReport("p", 53); m.Dropped != 1 || len(w.Windows) > 0 {
		t.Errorf("counted after it was settled: %v", w)
	}
}

// Words that cannot be are dropped, and memory stays bounded when nobody listens.
func TestGarbageAndBounds(t *testing.T) {
	y := NewTally(1)
	long := make([]byte, constants.NameMax+1)
	for _, w := range []Report{
		{Life: 1},
		{Proxy: string(long)},
		{Proxy: "p", Closed: 1000},
		{Proxy: "p", Windows: map[uint64]Counts{9: {"x": constants.UsageMost + 1}}},
		{Proxy: "p", Windows: map[uint64]Counts{1 << 60: {"x": 1}}},
		{Proxy: "p", Windows: map[uint64]Counts{9: {"": 1}}},
	} {
		if _, ok := y.Merge(0, 10, w); ok {
			t.Errorf("%+.60v was taken", w)
		}
	}
	if y.Rejected != 6 || y.Reporters() != 0 {
		t.Errorf("%d counted, %d tellers", y.Rejected, y.Reporters())
	}
	m := NewMeter(1)
	for w := uint64(1); w < 1000; w++ {
		m.Count(w, "x")
		m.NextReport("p", w)
	}
	if w, _ := m.NextReport("p", 1000); len(w.Windows) > constants.UsageKept+1 {
		t.Errorf("%d windows kept", len(w.Windows))
	}
}

// A window in which another gathered waits for what that one hands on, or until it is
// late; one that began after the takeover does not.
func TestHandoverIsWaitedFor(t *testing.T) {
	const span, delay = time.Second, 5 * time.Second
	y := NewTally(1)
	at := func(s float64) Timing {
		return Timing{Monotonic: time.Duration(s * 1e9), Agreed: time.Unix(1000, 0).Add(time.Duration(s * 1e9)), HeldFor: time.Duration((s - 10.5) * 1e9)}
	}
	if _, _, ok := y.NextWindow(at(12), 1009, span, delay, nil); ok {
		t.Fatal("decided without what the holder before knew")
	}
	if w, _, ok := y.NextWindow(at(12), 1010, span, delay, nil); ok || w != 0 {
		t.Fatal("decided before its time")
	}
	if w, _, ok := y.NextWindow(at(13), 1010, span, delay, nil); !ok || w != 1011 {
		t.Fatal("a window of its own waits")
	}
	if w, _, ok := y.NextWindow(at(11+decisionAge(delay).Seconds()), 1009, span, delay, nil); !ok || w != 1010 {
		t.Fatal("held up for ever")
	}
	y.HandoverReceived(11 * time.Second)
	if w, _, ok := y.NextWindow(at(12), 1009, span, delay, nil); !ok || w != 1010 {
		t.Fatal("waits after all has been handed on")
	}
}

// Long-past windows are passed over, the rest come one by one and in order.
func TestNextInOrder(t *testing.T) {
	const span, delay = time.Second, 5 * time.Second
	y := NewTally(1)
	at := func(s float64) Timing {
		return Timing{Monotonic: time.Duration(s * 1e9), Agreed: time.Unix(1000, 0).Add(time.Duration(s * 1e9)), HeldFor: time.Hour}
	}
	if w, _, ok := y.NextWindow(at(30), 900, span, delay, nil); !ok || w != 1030-constants.UsageKept {
		t.Fatalf("after 900 comes %d %v", w, ok)
	}
	if w, _, ok := y.NextWindow(at(30), 1020, span, delay, nil); !ok || w != 1021 {
		t.Fatalf("after 1020 comes %d %v", w, ok)
	}
	if _, _, ok := y.NextWindow(at(30.9), 1028, span, delay, []string{"p"}); ok {
		t.Error("decided before its proxies have told")
	}
	if w, _, ok := y.NextWindow(at(30+decisionAge(delay).Seconds()), 1028, span, delay, []string{"p"}); !ok || w != 1029 {
		t.Error("held up for ever by a silent proxy")
	}
}

// Of a third of all proxies, killed at whatever one moment of a window, the report lacks
// well under the twentieth of its runs by which it may be off. Their words must not be
// in step for that: killed just before they all tell, each would lose the most it can.
func TestKilledTogether(t *testing.T) {
	const proxies, killed, span, step, runEvery = 84, 28, 5 * time.Second, 10 * time.Millisecond, 40 * time.Millisecond
	for seed := uint64(1); seed <= 60; seed++ {
		rng := rand.New(rand.NewPCG(seed, 3))
		at := time.Duration(seed) * span / 60
		y := NewTally(1)
		truth := 0
		for p := range proxies {
			m, name := NewMeter(rng.Uint64()), string(rune('A'+p))
			phase := ReportPhase(rng.Uint64(), reportEvery)
			began := time.Duration(rng.Int64N(int64(runEvery)))
			for now := time.Duration(0); now <= span+2*reportEvery; now += step {
				if now < span && (now-began)%runEvery < step && now >= began {
					truth++
					m.Count(7, "x")
				}
				if p < killed && now >= at {
					break
				}
				if now >= phase && (now-phase)%reportEvery < step {
					w, _ := m.NextReport(name, 7)
					if h, ok := y.Merge(now, 7, w); ok {
						m.Acknowledge(w, h)
					}
				}
			}
		}
		if lacks := float64(truth-int(y.Sum(7)["x"])) / float64(truth); lacks < 0 || lacks > 0.032 {
			t.Errorf("seed %d: killed at %v, the report lacks %.3f of %d runs", seed, at, lacks, truth)
		}
	}
}

// What runs at a proxy as it is killed counts as its last word told; at one that lives it
// counts as it ends, once, or not at all when it had not run. Late, doubled and handed-on
// words change nothing.
func TestRunningAtTheEnd(t *testing.T) {
	m, y := NewMeter(5), NewTally(1)
	var words []Report
	tell := func() {
		w, _ := m.NextReport("p", 8)
		words = append(words, w)
		if h, ok := y.Merge(0, 8, w); ok {
			m.Acknowledge(w, h)
		}
	}
	runs := []*Run{{}, {}, {}}
	for _, r := range runs {
		m.StartRun(r, 7, "x")
		m.StartRun(r, 8, "x") // to a second upstream
	}
	m.Count(7, "x")
	tell()
	if got := y.Sum(7)["x"]; got != 4 {
		t.Fatalf("killed now, %d runs would count, there are 4", got)
	}
	m.EndRun(runs[0])
	m.Count(7, "x")
	m.EndRun(runs[1]) // it had not run
	m.StartRun(runs[1], 7, "x")
	tell()
	if got := y.Sum(7)["x"]; got != 3 {
		t.Fatalf("%d runs count, there are 3", got)
	}
	next := NewTally(2)
	for range 2 {
		for _, w := range append([]Report{words[1], words[0]}, y.Snapshot()...) {
			y.Merge(0, 8, w)
			next.Merge(0, 8, w)
		}
	}
	if got, then := y.Sum(7)["x"], next.Sum(7)["x"]; got != 3 || then != 3 {
		t.Fatalf("%d and %d runs count, there are 3", got, then)
	}
	m.EndRun(runs[2])
	m.Count(7, "x")
	tell()
	if got := y.Sum(7)["x"]; got != 3 {
		t.Fatalf("%d runs count, there are 3", got)
	}
	y.Settle(8)
	y.Merge(0, 8, words[0])
	if got := y.Sum(7); len(got) > 0 || len(m.running) > 0 {
		t.Errorf("kept: %v, %v", got, m.running)
	}
	bad := Report{Proxy: "p", Life: 5, Seq: 99, Running: map[uint64]Counts{7: {"x": constants.UsageMost + 1}}}
	if _, ok := y.Merge(0, 8, bad); ok || y.Rejected != 1 {
		t.Error("garbage was taken")
	}
}

// The time between reports follows from the window and from what the platform tolerates; the
// moment of deciding leaves time for a call that is lost and its repeat.
func TestTimesOfReportsFollowFromTheBounds(t *testing.T) {
	for _, c := range []struct {
		window    time.Duration
		tolerance float64
		every     time.Duration
	}{{5 * time.Second, 0.05, 250 * time.Millisecond}, {time.Minute, 0.01, 600 * time.Millisecond}, {5 * time.Second, 0, constants.StepEvery}} {
		if every := ReportInterval(c.window, c.tolerance); every != c.every {
			t.Errorf("a window of %v that may be off by %v: reports every %v, want %v", c.window, c.tolerance, every, c.every)
		}
	}
	for _, delay := range []time.Duration{10 * time.Second, time.Minute} {
		if left := delay - decisionAge(delay); left < constants.DutyTimeout+constants.DutyPauseMax {
			t.Errorf("due after %v: %v are left for the platform", delay, left)
		}
	}
}
