package main

import (
	"encoding/gob"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/counter"
)

const (
	accountRequestsPerS     = 250 // requests per second of one proxy
	accountLatencyLogStdDev = 0.5 // standard deviation of the logarithm of the latency
	accountMedianLatency    = 80 * time.Millisecond
	accountReportFraction   = 0.25 // fraction of the proxies that report between two replication rounds
	accountReportCount      = 15   // reports of a proxy until its bins and totals reach the steady state
)

// memoryStore counts the bytes written and discards them, so that disk time isn't measured.
type memoryStore struct{ bytes int64 }

func (s *memoryStore) Get(string, any) bool { return false }

func (s *memoryStore) Put(_ string, value any) error {
	s.bytes += gobSize(value)
	return nil
}

// countingWriter counts the bytes written, in place of a persistent connection.
type countingWriter struct{ bytes int }

func (w *countingWriter) Write(b []byte) (int, error) {
	w.bytes += len(b)
	return len(b), nil
}

// accountCosts prints the cost of accounting at a proxy by number of active tenants, and at a
// shard's holder by number of proxies.
func accountCosts(w io.Writer) {
	objectives := must(accounts.ParseObjectives([]byte(`{"version":1,"defaultClass":"all","classes":{"all":{"target":0.99,"latency":"250ms","window":"720h"}}}`)))
	fmt.Fprintln(w, "accounts at a proxy of 250 requests/s with a journal: active tenants, bytes/s out, messages/s, microseconds a request, milliseconds a report round, part of a core, heap KB, journal KB")
	for _, tenants := range []int{30, 300, 3_000} {
		accountProxyCosts(w, objectives, tenants)
	}
	fmt.Fprintln(w, "accounts at a shard's holder: proxies of 300 tenants in 16 shards, microseconds a report, heap MB of the shard, MB a round to each replica, ms to fold all lives")
	for _, proxies := range []int{52, 520, 5_200} {
		accountHolderCosts(w, objectives, proxies)
	}
}

// accountTenantName returns the name of the i-th tenant.
func accountTenantName(i int) string { return fmt.Sprintf("t%06d", i) }

// accountProxyCosts prints one row: the cost of serving and reporting at a proxy.
func accountProxyCosts(w io.Writer, objectives *accounts.Objectives, tenants int) {
	rng := rand.New(rand.NewPCG(1, 1))
	baseHeap := liveHeap()
	directory := must(os.MkdirTemp("", "accounts"))
	defer os.RemoveAll(directory)
	journal := must(accounts.CreateJournal(directory, 7, objectives.Shards, func(err error) { panic(err) }))
	defer journal.Close()
	meter := accounts.NewMeter("proxy-0001", 7, objectives, journal, nil)
	term := counter.Ballot{Counter: 1, Machine: "a", Start: 1}
	connection := &countingWriter{}
	encoder := gob.NewEncoder(connection)
	var messages int
	var serving, reporting time.Duration
	requests := accountRequestsPerS * int(accounts.ReportInterval.Seconds())
	for round := range accountReportCount {
		names := make([]string, requests)
		latencies := make([]time.Duration, requests)
		for i := range names {
			names[i] = accountTenantName(rng.IntN(tenants))
			latencies[i] = time.Duration(float64(accountMedianLatency) * math.Exp(accountLatencyLogStdDev*rng.NormFloat64()))
		}
		connection.bytes, messages = 0, 0
		began := time.Now()
		for i, name := range names {
			meter.Begin(name).Success(latencies[i])
		}
		served := time.Now()
		for shard := range objectives.Shards {
			for _, r := range meter.PendingReports(shard) {
				if err := encoder.Encode(r); err != nil {
					panic(err)
				}
				messages++
				meter.Acknowledge(accounts.ReportAck{Shard: shard, Life: r.Life, Ack: counter.Ack{Term: term, Heard: r.To, Durable: r.From}})
			}
		}
		if round == accountReportCount-1 {
			serving, reporting = served.Sub(began), time.Since(served)
		}
	}
	seconds := accounts.ReportInterval.Seconds()
	fmt.Fprintf(w, "  %d, %.0f, %.1f, %.2f, %.2f, %.5f, %.0f, %.0f\n", tenants, float64(connection.bytes)/seconds, float64(messages)/seconds,
		float64(serving.Nanoseconds())/float64(requests)/1e3, reporting.Seconds()*1e3, (serving+reporting).Seconds()/seconds, (liveHeap()-baseHeap)/1e3, float64(tenants)*0.512+4)
	runtime.KeepAlive(meter)
}

// accountHolderCosts prints one row: the cost of merging, replicating and folding the reports
// of all proxies at the holder of one shard.
func accountHolderCosts(w io.Writer, objectives *accounts.Objectives, proxies int) {
	rng := rand.New(rand.NewPCG(2, 2))
	options := accounts.DefaultCounterOptions
	options.CompactionInterval, options.IncarnationsPerCompaction = time.Hour, proxies
	baseHeap := liveHeap()
	store := &memoryStore{}
	group := counter.NewGroup[string, accounts.Account](0, "a", options, store, true, 1)
	members := []string{"a"}
	group.Tick(0, true, members)
	group.Tick(time.Second, true, members)
	perShard := 300 / objectives.Shards
	newDelta := func(proxy int, from, to uint64, closed bool) accounts.Delta {
		delta := accounts.Delta{Life: counter.IncarnationID(proxy + 1), Node: fmt.Sprint("proxy-", proxy), From: from, To: to, Closed: closed, Cells: counter.Cells[string, accounts.Account]{}}
		for range perShard {
			account := accounts.Account{Taken: 1000 * to}
			account.Settled[accounts.OnTime] = 1000 * to
			for range 20 {
				account.Latency.Observe(time.Duration(float64(accountMedianLatency) * math.Exp(accountLatencyLogStdDev*rng.NormFloat64())))
			}
			delta.Cells[accountTenantName(rng.IntN(200_000/objectives.Shards))] = account
		}
		return delta
	}
	var merging time.Duration
	send := func(version uint64, closed bool) {
		deltas := make([]accounts.Delta, proxies)
		for i := range deltas {
			deltas[i] = newDelta(i, version-1, version, closed)
		}
		began := time.Now()
		for _, delta := range deltas {
			group.Report(delta)
		}
		merging = time.Since(began)
	}
	send(1, false)
	group.Tick(time.Minute, true, members)
	shardHeap := liveHeap() - baseHeap
	store.bytes = 0
	send(2, true)
	group.Tick(2*time.Minute, true, members)
	roundBytes := float64(store.bytes) * accountReportFraction
	began := time.Now()
	group.Tick(3*time.Hour, true, members)
	folding := time.Since(began)
	fmt.Fprintf(w, "  %d, %.1f, %.1f, %.2f, %.0f\n", proxies, float64(merging.Nanoseconds())/float64(proxies)/1e3, shardHeap/1e6, roundBytes/1e6, folding.Seconds()*1e3)
	runtime.KeepAlive(group)
}
