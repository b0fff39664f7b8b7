package accounts

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"

	"slateridge/internal/counter"
	"slateridge/internal/simnet"
)

const validObjectives = `{"version":1,"shards":1,"classes":{"gold":{"target":0.999,"latency":"250ms","window":"720h"}},"tenants":{"known":"gold"}}`

// TestParseObjectivesRejectsInvalid checks that invalid objectives files are rejected, with an
// error that names the invalid part.
func TestParseObjectivesRejectsInvalid(t *testing.T) {
	if _, err := ParseObjectives([]byte(validObjectives)); err != nil {
		t.Fatal(err)
	}
	cases := []struct{ old, replacement, mentions string }{
		{`"version":1`, `"version":2`, "version"},
		{`"shards":1`, `"shards":-1`, "shards"},
		{`"shards":1`, `"shards":1000`, "shards"},
		{`0.999`, `1`, "target"},
		{`0.999`, `0.3`, "target"},
		{`"250ms"`, `"fast"`, "latency"},
		{`"250ms"`, `"-1s"`, "latency"},
		{`"250ms"`, `"1h"`, "latency"},
		{`"720h"`, `"1s"`, "window"},
		{`"720h"`, `"9000h"`, "window"},
		{`"known":"gold"`, `"known":"lead"`, "lead"},
		{`"known":"gold"`, `"":"gold"`, "name"},
		{`"tenants":{"known":"gold"}`, `"tenants":{}`, "no tenant"},
		{`"tenants"`, `"defaultClass":"lead","tenants"`, "defaultClass"},
		{`"tenants"`, `"tenant"`, "tenant"},
	}
	for _, c := range cases {
		_, err := ParseObjectives([]byte(strings.Replace(validObjectives, c.old, c.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), c.mentions) {
			t.Errorf("%s: got error %v, want one that mentions %q", c.replacement, err, c.mentions)
		}
	}
}

// TestInvalidReportsRejected checks that each invalid report is rejected, counted and recorded
// as one event, and changes no account, while the proxy keeps its changes for the next report.
func TestInvalidReportsRejected(t *testing.T) {
	objectives, err := ParseObjectives([]byte(validObjectives))
	if err != nil {
		t.Fatal(err)
	}
	var events []string
	replica := NewReplica("a", objectives, DefaultCounterOptions, simnet.NewDisk(), true, 1, func(_, about string) { events = append(events, about) })
	holdsLease := func(int) bool { return true }
	replica.Tick(0, holdsLease, []string{"a"})
	replica.Tick(time.Second, holdsLease, []string{"a"})
	meter := NewMeter("proxy", 7, objectives, nil, nil)
	meter.Begin("known").Success(time.Millisecond)
	valid := meter.PendingReports(0)[0]
	modify := func(f func(*Report)) Report {
		out := valid
		out.Packed = slices.Clone(valid.Packed)
		f(&out)
		return out
	}
	unknownTenant := packReport(0, Delta{Life: 9, Node: "p", To: 1, Cells: counter.Cells[string, Account]{"stranger": {Taken: 1}}})
	tooManyDoubled := packReport(0, Delta{Life: 9, Node: "p", To: 1, Cells: counter.Cells[string, Account]{"known": {Taken: 1, Doubled: 5}}})
	invalid := []Report{
		modify(func(r *Report) { r.Format = 2 }), modify(func(r *Report) { r.Life = 0 }),
		modify(func(r *Report) { r.Node = "" }), modify(func(r *Report) { r.Node = strings.Repeat("x", maxNameBytes+1) }),
		modify(func(r *Report) { r.Shard = 5 }), modify(func(r *Report) { r.Shard = -1 }),
		modify(func(r *Report) { r.From = 9 }), modify(func(r *Report) { r.Packed = r.Packed[:len(r.Packed)-1] }),
		modify(func(r *Report) { r.Packed = append(r.Packed, 0) }), modify(func(r *Report) { r.Packed[0] = 200 }),
		unknownTenant, tooManyDoubled,
	}
	for i, report := range invalid {
		if ack := replica.HandleReport(report, true); ack.Refused == "" {
			t.Errorf("invalid report %d was accepted", i)
		}
	}
	if len(events) != len(invalid) || replica.refusedReports != uint64(len(invalid)) {
		t.Errorf("%d events and a count of %d for %d invalid reports", len(events), replica.refusedReports, len(invalid))
	}
	if ack := replica.HandleReport(valid, false); ack.Refused == "" {
		t.Error("a report was accepted without the lease")
	}
	if _, err := replica.Standing(time.Second, "stranger"); err == nil {
		t.Error("an unknown tenant has an account")
	}
	if ack := replica.HandleReport(meter.PendingReports(0)[0], true); ack.Refused != "" {
		t.Fatalf("the valid report was rejected: %s", ack.Refused)
	}
	replica.Tick(time.Minute, holdsLease, []string{"a"})
	if standing, err := replica.Standing(time.Minute, "known"); err != nil || standing.Account.Settled[OnTime] != 1 || standing.Account.Taken != 1 {
		t.Errorf("got account %+v, %v, want one request that was on time", standing.Account, err)
	}
	replica.Tick(time.Minute, func(int) bool { return false }, []string{"a"})
	if _, err := replica.Standing(time.Minute, "known"); err == nil {
		t.Error("a node without the lease returned a total")
	}
}

// FuzzReports checks that decoding packed accounts never panics, and that accounts that decode
// successfully survive encoding and decoding.
func FuzzReports(f *testing.F) {
	f.Add(packReport(0, Delta{Life: 9, Node: "p", To: 1, Cells: counter.Cells[string, Account]{"known": {Taken: 3, Latency: Sketch{{1, 2}, {4, 1}}}}}).Packed)
	f.Fuzz(func(t *testing.T, packed []byte) {
		delta, err := unpackReport(Report{Format: formatVersion, Life: 1, Node: "p", To: 1, Packed: packed}, 1)
		if err != nil {
			return
		}
		decoded, err := unpackReport(packReport(0, delta), 1)
		if err != nil {
			t.Fatalf("decoding the encoded accounts %v: %v", delta.Cells, err)
		}
		for tenant, account := range delta.Cells {
			if !account.equal(decoded.Cells[tenant]) {
				t.Fatalf("%s: %+v became %+v", tenant, account, decoded.Cells[tenant])
			}
		}
	})
}

// TestJournalRecovery ends a process without a shutdown. The next process must recover its
// counters and settle its requests in flight as Unknown, but must not read the journal while
// the first process runs. A malformed journal is renamed.
func TestJournalRecovery(t *testing.T) {
	directory := t.TempDir()
	objectives, err := ParseObjectives([]byte(strings.Replace(validObjectives, `"tenants"`, `"defaultClass":"gold","tenants"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	journal, err := CreateJournal(directory, 42, objectives.Shards, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	meter := NewMeter("proxy", 42, objectives, journal, nil)
	for i := range 768 { // each name three times
		meter.Begin(strings.Repeat("x", i%maxNameBytes+1)).Success(time.Second)
	}
	meter.Begin("known")
	meter.PendingReports(0)
	if ended, problems := RecoverJournals(directory); len(ended)+len(problems) != 0 {
		t.Fatalf("the journal of a running process was read: %v %v", ended, problems)
	}
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, "accounts-0000000000000001.journal"), []byte("garbled"), 0o600); err != nil {
		t.Fatal(err)
	}
	ended, problems := RecoverJournals(directory)
	if len(ended) != 1 || len(problems) != 1 || len(ended[0].Accounts) != maxNameBytes+1 || ended[0].SentVersions[0] != 1 {
		t.Fatalf("recovered %d incarnations, problems: %v", len(ended), problems)
	}
	if left, _ := filepath.Glob(filepath.Join(directory, "*"+malformedSuffix)); len(left) != 1 {
		t.Errorf("the malformed file was not renamed: %v", left)
	}
	successor := NewMeter("proxy", 43, objectives, nil, ended)
	delta, err := unpackReport(successor.PendingReports(0)[0], 1)
	if err != nil || !delta.Closed || delta.Cells["known"].Settled[Unknown] != 1 || delta.Cells["x"].Settled[Late] != 3 {
		t.Errorf("the next process reports %+v, %v", delta.Cells["known"], err)
	}
	if err := RemoveJournal(directory, 42); err != nil {
		t.Error(err)
	}
}

// TestQuantileError compares quantiles of a merged sketch with those of the DDSketch library
// and with the exact ones.
func TestQuantileError(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var parts [3]Sketch
	var all []float64
	for i := range 30_000 {
		latency := math.Exp(rng.NormFloat64()*0.8) * 0.1
		all = append(all, latency)
		parts[i%3].Observe(time.Duration(latency * float64(time.Second)))
	}
	merged := parts[0].Plus(parts[1]).Join(parts[0]).Plus(parts[2])
	slices.Sort(all)
	if merged.Count() != uint64(len(all)) {
		t.Fatalf("got %d latencies, want %d", merged.Count(), len(all))
	}
	library := ddsketch.NewDDSketchFromStoreProvider(latencyMapping, store.SparseStoreConstructor)
	for _, bin := range merged {
		if err := library.AddWithCount(latencyMapping.Value(int(bin.Index)), float64(bin.Count)); err != nil {
			t.Fatal(err)
		}
	}
	for _, q := range []float64{0, 0.01, 0.5, 0.9, 0.99, 0.999, 1} {
		want, err := library.GetValueAtQuantile(q)
		if got := merged.Quantile(q).Seconds(); err != nil || math.Abs(got-want) > 1e-8 {
			t.Errorf("quantile %v: got %v, the library returns %v, %v", q, got, want, err)
		}
		exact := all[int(q*float64(len(all)-1))]
		if got := merged.Quantile(q).Seconds(); math.Abs(got-exact)/exact > SketchRelativeError+1e-6 {
			t.Errorf("quantile %v: got %v, the exact value is %v", q, got, exact)
		}
	}
}

// TestBurnRateAlarm lets a twentieth of the requests miss the objective for an hour. The alarm
// must start once both burn rates are high enough and end soon after the misses, and the budget
// must shrink by the misses.
func TestBurnRateAlarm(t *testing.T) {
	objective := Objective{Target: 0.999, Latency: time.Second, Window: 720 * time.Hour}
	var past history
	var account Account
	alarms := map[int]bool{}
	for minute := range 8 * 60 {
		account.Taken += 1000
		missed := uint64(0)
		if minute >= 120 && minute < 180 {
			missed = 50
		}
		account.Settled[Late] += missed
		account.Settled[OnTime] += 1000 - missed
		now := time.Duration(minute) * time.Minute
		past.add(now, account, objective.Window)
		alarms[minute] = past.budget(now, account, objective).Alarm
	}
	first, last := 0, 0
	for minute := range 8 * 60 {
		if alarms[minute] {
			last = minute
			if first == 0 {
				first = minute
			}
		}
	}
	if first < 125 || first > 145 || last < 178 || last > 190 {
		t.Errorf("alarm from minute %d to %d for misses from minute 120 to 180", first, last)
	}
	budget := past.budget(8*time.Hour, account, objective)
	if want := 1 - 3000.0/479_000/0.001; math.Abs(budget.Left-want) > 0.3 {
		t.Errorf("got %v of the budget left, want about %v", budget.Left, want)
	}
	if len(past.samples) > 60 {
		t.Errorf("history keeps %d samples, want at most 60", len(past.samples))
	}
}

// TestNilMeterDoesNotAllocate checks that a proxy without objectives allocates nothing per
// request.
func TestNilMeterDoesNotAllocate(t *testing.T) {
	var meter *Meter
	allocs := testing.AllocsPerRun(100, func() {
		request := meter.Begin("anyone")
		request.Success(time.Second)
		request.Doubled()
		request.Failure(Lost)
	})
	if allocs != 0 {
		t.Errorf("%v allocations per request, want 0", allocs)
	}
}

// FuzzJournal checks that parsing a journal never panics, and that the counters of parsed
// accounts add up.
func FuzzJournal(f *testing.F) {
	content := make([]byte, headerSize+recordSize)
	copy(content, journalMagic)
	content[incarnationOffset], content[shardsOffset], content[headerSize] = 1, 1, 1
	f.Add(content)
	f.Fuzz(func(t *testing.T, content []byte) {
		incarnation, err := parseJournal(content)
		if err != nil {
			return
		}
		for tenant, account := range incarnation.Accounts {
			if account.Eligible()+account.Settled[Refused]+account.Open() != account.Taken {
				t.Fatalf("%q: the counters of %+v do not add up", tenant, account)
			}
		}
	})
}

// countingFile counts the writes to a journal. Writes fail while full is set.
type countingFile struct {
	journalFile
	writes int
	full   bool
}

func (f *countingFile) WriteAt(content []byte, offset int64) (int, error) {
	f.writes++
	if f.full {
		return 0, syscall.ENOSPC
	}
	return f.journalFile.WriteAt(content, offset)
}

// TestJournalWritesAndFullDisk checks that a request needs at most two writes. On a full disk,
// a version that the journal can't record must not be reported; the changes whose writes failed
// must be in the file after the next successful write.
func TestJournalWritesAndFullDisk(t *testing.T) {
	directory := t.TempDir()
	objectives, err := ParseObjectives([]byte(validObjectives))
	if err != nil {
		t.Fatal(err)
	}
	problems := 0
	journal, err := CreateJournal(directory, 42, objectives.Shards, func(error) { problems++ })
	if err != nil {
		t.Fatal(err)
	}
	file := &countingFile{journalFile: journal.file}
	journal.file = file
	meter := NewMeter("proxy", 42, objectives, journal, nil)
	for range 10 {
		meter.Begin("known").Success(time.Millisecond)
	}
	if file.writes > 20 {
		t.Errorf("%d writes for 10 requests, want at most 20", file.writes)
	}
	file.full = true
	meter.Begin("known").Failure(Lost)
	if reports := meter.PendingReports(0); len(reports) != 0 || problems != 1 {
		t.Errorf("full disk: got %d reports and %d problems, want 0 and 1", len(reports), problems)
	}
	file.full = false
	meter.Begin("known")
	if reports := meter.PendingReports(0); len(reports) != 1 {
		t.Errorf("after the disk has space again: got %d reports, want 1", len(reports))
	}
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	ended, _ := RecoverJournals(directory)
	if account := ended[0].Accounts["known"]; account.Taken != 12 || account.Settled[Lost] != 1 || account.Open() != 1 {
		t.Errorf("unexpected account in the journal: %+v", account)
	}
}

// TestTruncatedJournal checks that every complete record of a truncated journal is read.
func TestTruncatedJournal(t *testing.T) {
	directory := t.TempDir()
	journal, err := CreateJournal(directory, 42, 1, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	for i := range 4 {
		journal.Record(strings.Repeat("x", i+1), &Account{Taken: 1})
	}
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(journalPath(directory, 42))
	if err != nil {
		t.Fatal(err)
	}
	for size := headerSize; size <= len(content); size++ {
		incarnation, err := parseJournal(content[:size])
		if want := (size - headerSize) / recordSize; err != nil || len(incarnation.Accounts) != want {
			t.Fatalf("%d bytes: got %d records, want %d, error %v", size, len(incarnation.Accounts), want, err)
		}
	}
}
