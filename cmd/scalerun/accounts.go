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
	accountRequestsPerS     = 250 // requests a second of one proxy
	accountLatencyLogStdDev = 0.5 // standard deviation of the latencies' logarithms
	accountMedianLatency    = 80 * time.Millisecond
	accountReportsPerRound  = 0.25 // of all proxies report between two rounds of replication
	accountReportCount      = 15   // of a proxy, until bins and totals are as in steady state
)

// memoryStore is a disk that takes no time, to measure what is not the disk's.
type memoryStore struct{ bytes int64 }

func (s *memoryStore) Get(string, any) bool { return false }

func (s *memoryStore) Put(_ string, value any) error {
	s.bytes += gobSize(value)
	return nil
}

// countingWriter stands for a held connection.
type countingWriter struct{ bytes int }

func (w *countingWriter) Write(b []byte) (int, error) {
	w.bytes += len(b)
	return len(b), nil
}

// accountCosts measures what the accounts cost a proxy, by active tenants, and a control
// machine, by accounts of proxies.
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

// accountTenantName is the name of one of a fleet's tenants.
func accountTenantName(i int) string { return fmt.Sprintf("t%06d", i) }

func accountProxyCosts(w io.Writer, objectives *accounts.Objectives, tenants int) {
	rng := rand.New(rand.NewPCG(1, 1))
	base := liveHeap()
	directory := must(os.MkdirTemp("", "accounts"))
	defer os.RemoveAll(directory)
	journal := must(accounts.CreateJournal(directory, 7, objectives.Shards, func(err error) { panic(err) }))
	defer journal.Close()
	meter := accounts.NewMeter("proxy-0001", 7, objectives, journal, nil)
	term := counter.Ballot{Counter: 1, Machine: "a", Start: 1}
	connection := &countingWriter{}
	encoder := gob.NewEncoder(connection)
	var messages int
	var serving, telling time.Duration
	requests := accountRequestsPerS * int(accounts.ReportInterval.Seconds())
	for report := range accountReportCount {
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
		if report == accountReportCount-1 {
			serving, telling = served.Sub(began), time.Since(served)
		}
	}
	span := accounts.ReportInterval.Seconds()
	fmt.Fprintf(w, "  %d, %.0f, %.1f, %.2f, %.2f, %.5f, %.0f, %.0f\n", tenants, float64(connection.bytes)/span, float64(messages)/span,
		float64(serving.Nanoseconds())/float64(requests)/1e3, telling.Seconds()*1e3, (serving+telling).Seconds()/span, (liveHeap()-base)/1e3, float64(tenants)*0.512+4)
	runtime.KeepAlive(meter)
}

func accountHolderCosts(w io.Writer, objectives *accounts.Objectives, proxies int) {
	rng := rand.New(rand.NewPCG(2, 2))
	options := accounts.DefaultCounterOptions
	options.CompactionInterval, options.IncarnationsPerCompaction = time.Hour, proxies
	base := liveHeap()
	store := &memoryStore{}
	group := counter.NewGroup[string, accounts.Account](0, "a", options, store, true, 1)
	alone := []string{"a"}
	group.Tick(0, true, alone)
	group.Tick(time.Second, true, alone)
	perShard := 300 / objectives.Shards
	report := func(proxy int, from, to uint64, closed bool) accounts.Delta {
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
	var taking time.Duration
	send := func(version uint64, closed bool) {
		deltas := make([]accounts.Delta, proxies)
		for i := range deltas {
			deltas[i] = report(i, version-1, version, closed)
		}
		began := time.Now()
		for _, delta := range deltas {
			group.Report(delta)
		}
		taking = time.Since(began)
	}
	send(1, false)
	group.Tick(time.Minute, true, alone)
	held := liveHeap() - base
	store.bytes = 0
	send(2, true)
	group.Tick(2*time.Minute, true, alone)
	round := float64(store.bytes) * accountReportsPerRound
	began := time.Now()
	group.Tick(3*time.Hour, true, alone)
	folding := time.Since(began)
	fmt.Fprintf(w, "  %d, %.1f, %.1f, %.2f, %.0f\n", proxies, float64(taking.Nanoseconds())/float64(proxies)/1e3, held/1e6, round/1e6, folding.Seconds()*1e3)
	runtime.KeepAlive(group)
}
