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

const goodFile = `{"version":1,"shards":1,"classes":{"gold":{"target":0.999,"latency":"250ms","window":"720h"}},"tenants":{"known":"gold"}}`

// TestObjectivesRefused gives settings files that must be refused, with the part that is
// wrong named.
func TestObjectivesRefused(t *testing.T) {
	if _, err := ParseObjectives([]byte(goodFile)); err != nil {
		t.Fatal(err)
	}
	cases := []struct{ from, to, names string }{
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
		_, err := ParseObjectives([]byte(strings.Replace(goodFile, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%s: error is %v, should name %q", c.to, err, c.names)
		}
	}
}

// TestBadReports gives a holder reports that it must refuse: each is counted, said in one
// line, and changes nothing; the proxy keeps what was in it.
func TestBadReports(t *testing.T) {
	objectives, err := ParseObjectives([]byte(goodFile))
	if err != nil {
		t.Fatal(err)
	}
	var notes []string
	holder := NewReplica("a", objectives, DefaultCounterOptions, simnet.NewDisk(), true, 1, func(_, about string) { notes = append(notes, about) })
	leads := func(int) bool { return true }
	holder.Tick(0, leads, []string{"a"})
	holder.Tick(time.Second, leads, []string{"a"})
	meter := NewMeter("proxy", 7, objectives, nil, nil)
	meter.Begin("known").Success(time.Millisecond)
	good := meter.PendingReports(0)[0]
	change := func(f func(*Report)) Report {
		out := good
		out.Packed = slices.Clone(good.Packed)
		f(&out)
		return out
	}
	stranger := packReport(0, Delta{Life: 9, Node: "p", To: 1, Cells: counter.Cells[string, Account]{"stranger": {Taken: 1}}})
	overfull := packReport(0, Delta{Life: 9, Node: "p", To: 1, Cells: counter.Cells[string, Account]{"known": {Taken: 1, Doubled: 5}}})
	bad := []Report{
		change(func(r *Report) { r.Format = 2 }), change(func(r *Report) { r.Life = 0 }),
		change(func(r *Report) { r.Node = "" }), change(func(r *Report) { r.Node = strings.Repeat("x", maxNameBytes+1) }),
		change(func(r *Report) { r.Shard = 5 }), change(func(r *Report) { r.Shard = -1 }),
		change(func(r *Report) { r.From = 9 }), change(func(r *Report) { r.Packed = r.Packed[:len(r.Packed)-1] }),
		change(func(r *Report) { r.Packed = append(r.Packed, 0) }), change(func(r *Report) { r.Packed[0] = 200 }),
		stranger, overfull,
	}
	for i, report := range bad {
		if ack := holder.HandleReport(report, true); ack.Refused == "" {
			t.Errorf("bad report %d was taken", i)
		}
	}
	if len(notes) != len(bad) || holder.refusedReports != uint64(len(bad)) {
		t.Errorf("%d lines and %d counted for %d bad reports", len(notes), holder.refusedReports, len(bad))
	}
	if ack := holder.HandleReport(good, false); ack.Refused == "" {
		t.Error("a report was taken without the lease")
	}
	if _, err := holder.Standing(time.Second, "stranger"); err == nil {
		t.Error("an unknown tenant has an account")
	}
	if ack := holder.HandleReport(meter.PendingReports(0)[0], true); ack.Refused != "" {
		t.Fatalf("the good report was refused: %s", ack.Refused)
	}
	holder.Tick(time.Minute, leads, []string{"a"})
	if standing, err := holder.Standing(time.Minute, "known"); err != nil || standing.Account.Settled[OnTime] != 1 || standing.Account.Taken != 1 {
		t.Errorf("the account is %+v, %v", standing.Account, err)
	}
	holder.Tick(time.Minute, func(int) bool { return false }, []string{"a"})
	if _, err := holder.Standing(time.Minute, "known"); err == nil {
		t.Error("a total from a machine without the lease")
	}
}

// FuzzReports takes garbled packed accounts without a panic; what is taken can be packed
// again to the same accounts.
func FuzzReports(f *testing.F) {
	f.Add(packReport(0, Delta{Life: 9, Node: "p", To: 1, Cells: counter.Cells[string, Account]{"known": {Taken: 3, Latency: Sketch{{1, 2}, {4, 1}}}}}).Packed)
	f.Fuzz(func(t *testing.T, packed []byte) {
		delta, err := unpackReport(Report{Format: formatVersion, Life: 1, Node: "p", To: 1, Packed: packed}, 1)
		if err != nil {
			return
		}
		again, err := unpackReport(packReport(0, delta), 1)
		if err != nil {
			t.Fatalf("%v: %v", delta.Cells, err)
		}
		for tenant, account := range delta.Cells {
			if !account.equal(again.Cells[tenant]) {
				t.Fatalf("%s: %+v became %+v", tenant, account, again.Cells[tenant])
			}
		}
	})
}

// TestJournal has a process end without a word: what it recorded is there, what it had
// under way is unknown, and its file is not taken while the process holds it.
func TestJournal(t *testing.T) {
	directory := t.TempDir()
	objectives, err := ParseObjectives([]byte(strings.Replace(goodFile, `"tenants"`, `"defaultClass":"gold","tenants"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	journal, err := CreateJournal(directory, 42, objectives.Shards, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	meter := NewMeter("proxy", 42, objectives, journal, nil)
	for i := range 768 { // three of each name
		meter.Begin(strings.Repeat("x", i%maxNameBytes+1)).Success(time.Second)
	}
	meter.Begin("known")
	meter.PendingReports(0)
	if ended, problems := RecoverJournals(directory); len(ended)+len(problems) != 0 {
		t.Fatalf("a running process's journal was taken: %v %v", ended, problems)
	}
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, "accounts-0000000000000001.journal"), []byte("garbled"), 0o600); err != nil {
		t.Fatal(err)
	}
	ended, problems := RecoverJournals(directory)
	if len(ended) != 1 || len(problems) != 1 || len(ended[0].Accounts) != maxNameBytes+1 || ended[0].SentVersions[0] != 1 {
		t.Fatalf("%d lives, problems %v", len(ended), problems)
	}
	if left, _ := filepath.Glob(filepath.Join(directory, "*"+malformedSuffix)); len(left) != 1 {
		t.Errorf("the garbled file was not set aside: %v", left)
	}
	next := NewMeter("proxy", 43, objectives, nil, ended)
	delta, err := unpackReport(next.PendingReports(0)[0], 1)
	if err != nil || !delta.Closed || delta.Cells["known"].Settled[Unknown] != 1 || delta.Cells["x"].Settled[Late] != 3 {
		t.Errorf("the successor tells %+v, %v", delta.Cells["known"], err)
	}
	if err := RemoveJournal(directory, 42); err != nil {
		t.Error(err)
	}
}

// TestQuantileError compares quantiles of sketches, merged from parts, with the true ones.
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
		t.Fatalf("%d latencies, there were %d", merged.Count(), len(all))
	}
	library := ddsketch.NewDDSketchFromStoreProvider(latencyMapping, store.SparseStoreConstructor)
	for _, bin := range merged {
		if err := library.AddWithCount(latencyMapping.Value(int(bin.Index)), float64(bin.Count)); err != nil {
			t.Fatal(err)
		}
	}
	for _, share := range []float64{0, 0.01, 0.5, 0.9, 0.99, 0.999, 1} {
		want, err := library.GetValueAtQuantile(share)
		if got := merged.Quantile(share).Seconds(); err != nil || math.Abs(got-want) > 1e-8 {
			t.Errorf("quantile %v is %v, the library's %v, %v", share, got, want, err)
		}
		truth := all[int(share*float64(len(all)-1))]
		if got := merged.Quantile(share).Seconds(); math.Abs(got-truth)/truth > SketchRelativeError+1e-6 {
			t.Errorf("quantile %v is %v, truly %v", share, got, truth)
		}
	}
}

// TestBurn has a tenant miss a twentieth of its requests for a while: the alarm comes once
// both windows burn, ends soon after the misses do, and the budget tells what was used.
func TestBurn(t *testing.T) {
	objective := Objective{Target: 0.999, Latency: time.Second, Window: 720 * time.Hour}
	var past history
	var account Account
	alarmed := map[int]bool{}
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
		alarmed[minute] = past.budget(now, account, objective).Alarm
	}
	first, last := 0, 0
	for minute := range 8 * 60 {
		if alarmed[minute] {
			last = minute
			if first == 0 {
				first = minute
			}
		}
	}
	if first < 125 || first > 145 || last < 178 || last > 190 {
		t.Errorf("alarm from minute %d to %d, misses from 120 to 180", first, last)
	}
	budget := past.budget(8*time.Hour, account, objective)
	if want := 1 - 3000.0/479_000/0.001; math.Abs(budget.Left-want) > 0.3 {
		t.Errorf("budget left is %v, should be about %v", budget.Left, want)
	}
	if len(past.samples) > 60 {
		t.Errorf("%d samples are kept", len(past.samples))
	}
}

// TestNoObjectivesCostNothing accounts with a nil meter: no memory is taken.
func TestNoObjectivesCostNothing(t *testing.T) {
	var meter *Meter
	cost := testing.AllocsPerRun(100, func() {
		request := meter.Begin("anyone")
		request.Success(time.Second)
		request.Doubled()
		request.Failure(Lost)
	})
	if cost != 0 {
		t.Errorf("%v allocations a request", cost)
	}
}

// FuzzJournal reads garbled journals without a panic; what is read adds up.
func FuzzJournal(f *testing.F) {
	content := make([]byte, headerSize+recordSize)
	copy(content, journalMagic)
	content[incarnationOffset], content[shardsOffset], content[headerSize] = 1, 1, 1
	f.Add(content)
	f.Fuzz(func(t *testing.T, content []byte) {
		life, err := parseJournal(content)
		if err != nil {
			return
		}
		for tenant, account := range life.Accounts {
			if account.Eligible()+account.Settled[Refused]+account.Open() != account.Taken {
				t.Fatalf("%q: %+v does not add up", tenant, account)
			}
		}
	})
}

// countingFile counts the writes to a journal, and refuses them when told to.
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

// TestJournalWrites has a request cost at most two writes. On a full disk nothing is told
// that the journal does not know of, and what was refused is in the file once it has room.
func TestJournalWrites(t *testing.T) {
	directory := t.TempDir()
	objectives, err := ParseObjectives([]byte(goodFile))
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
		t.Errorf("%d writes for 10 requests", file.writes)
	}
	file.full = true
	meter.Begin("known").Failure(Lost)
	if reports := meter.PendingReports(0); len(reports) != 0 || problems != 1 {
		t.Errorf("on a full disk %d reports leave, %d problems were noted", len(reports), problems)
	}
	file.full = false
	meter.Begin("known")
	if reports := meter.PendingReports(0); len(reports) != 1 {
		t.Errorf("with room again %d reports leave", len(reports))
	}
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	ended, _ := RecoverJournals(directory)
	if account := ended[0].Accounts["known"]; account.Taken != 12 || account.Settled[Lost] != 1 || account.Open() != 1 {
		t.Errorf("the journal holds %+v", account)
	}
}

// TestJournalCutShort reads a journal of which only the beginning was written: each record
// that is whole is there.
func TestJournalCutShort(t *testing.T) {
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
		life, err := parseJournal(content[:size])
		if want := (size - headerSize) / recordSize; err != nil || len(life.Accounts) != want {
			t.Fatalf("%d bytes: %d records, not %d, %v", size, len(life.Accounts), want, err)
		}
	}
}
