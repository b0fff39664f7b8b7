package main

import (
	"encoding/gob"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/config"
	"slateridge/internal/discovery"
	"slateridge/internal/membership"
	"slateridge/internal/proxy"
	"slateridge/internal/usage"
)

// liveHeap is the live liveHeap after a collection, in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func timePerCall(n int, f func()) time.Duration {
	began := time.Now()
	for range n {
		f()
	}
	return time.Since(began) / time.Duration(n)
}

// byteCounter is how many bytes a value has between own processes.
type byteCounter int64

func (c *byteCounter) Write(b []byte) (int, error) { *c += byteCounter(len(b)); return len(b), nil }

func gobSize(v any) int64 {
	var c byteCounter
	if err := gob.NewEncoder(&c).Encode(v); err != nil {
		panic(err)
	}
	return int64(c)
}

// operationCosts prints what single operations cost at three sizes each, in this process,
// without a network: per-operation figures, as against the whole processes' of a run.
func operationCosts(w io.Writer) {
	configurationCosts(w)
	poolCosts(w)
	placementCosts(w)
	usageCosts(w)
	trackerCosts(w)
	membershipCosts(w)
}

// configurationCosts prints what reading a configuration, and the next version of it, costs.
func configurationCosts(w io.Writer) {
	fmt.Fprintln(w, "configuration: routes, raw MB, packed KB, read s, heap MB, next version: difference bytes, read s, heap MB of both")
	for _, n := range []int{1_100, 11_000, 110_000} {
		cli.Routes, cli.Services, cli.Tenants, cli.Proxies, cli.PerProxy = n, max(1, n/44), 100, 100, 10
		raw, next := configuration(1), configuration(2)
		base := liveHeap()
		var rd config.Parser
		var a, b *config.Config
		took := timePerCall(1, func() { a = must(rd.Parse(raw)) })
		one := liveHeap() - base
		again := timePerCall(1, func() { b = must(rd.Parse(next)) })
		two := liveHeap() - base
		da, db := &config.Doc{Version: 1, Raw: raw}, &config.Doc{Version: 2, Raw: next}
		whole, diff := config.NewDelta(nil, da), config.NewDelta(da, db)
		fmt.Fprintf(w, "  %d, %.2f, %.0f, %.3f, %.1f, %d, %.3f, %.1f\n", n, float64(len(raw))/1e6, float64(gobSize(whole))/1e3, took.Seconds(), one/1e6, gobSize(diff), again.Seconds(), two/1e6)
		runtime.KeepAlive(a)
		runtime.KeepAlive(b)
		runtime.KeepAlive(rd)
	}
}

// poolCosts prints what a proxy's pool of upstreams costs.
func poolCosts(w io.Writer) {
	fmt.Fprintln(w, "upstreams: number, list MB as held and sent, heap MB at a proxy, first taking ms, taking a difference of ten ms, calls to read it")
	for _, n := range []int{620, 6_200, 62_000} {
		l := &discovery.List{Num: 1}
		for i := range n {
			l.Instances = append(l.Instances, discovery.Instance{ID: fmt.Sprintf("i-%010x", i), Service: fmt.Sprintf("svc%04d", i%max(1, n/25)), Address: fmt.Sprintf("10.%d.%d.%d:8080", i/65536, i/256%256, i%256), Zone: fmt.Sprintf("z%d", i%8), Slots: 2})
		}
		base := liveHeap()
		pool := proxy.NewPool("p", "z1", map[string]string{"z1": "r"}, func(string) int { return 5 }, func(string) proxy.ColdBound { return proxy.ColdBound{} })
		first := timePerCall(1, func() { pool.Apply(time.Now(), l.Instances) })
		held := liveHeap() - base
		again := timePerCall(5, func() { pool.Apply(time.Now(), l.Instances[:n-10]) })
		fmt.Fprintf(w, "  %d, %.2f, %.1f, %.2f, %.2f, %d\n", n, float64(gobSize(discovery.Diff(nil, l)))/1e6, held/1e6, first.Seconds()*1e3, again.Seconds()*1e3, (n+49)/50)
		runtime.KeepAlive(pool)
	}
}

// placementCosts prints what placing a stream costs.
func placementCosts(w io.Writer) {
	fmt.Fprintln(w, "a stream's placement: upstreams of its service in its zone, microseconds")
	for _, n := range []int{50, 500, 5_000} {
		pool := proxy.NewPool("p", "z", map[string]string{"z": "r"}, func(string) int { return 5 }, func(string) proxy.ColdBound { return proxy.ColdBound{} })
		var is []discovery.Instance
		for i := range n {
			is = append(is, discovery.Instance{ID: fmt.Sprintf("i-%010x", i), Service: "svc", Zone: "z", Slots: 4})
		}
		pool.Apply(time.Now(), is)
		i := 0
		fmt.Fprintf(w, "  %d, %.1f\n", n, float64(timePerCall(300, func() { pool.PlaceStream("svc", fmt.Sprint(i)); i++ }).Nanoseconds())/1e3)
	}
}

// usageCosts prints what a holder of the usage report's duty pays for reports and their sum.
func usageCosts(w io.Writer) {
	fmt.Fprintln(w, "usage at the holder: proxies of 40 tenants each, microseconds a report, heap MB of a window, then tenants in a report: MB, ms to add up and write it")
	for i, n := range []int{52, 520, 5_200} {
		base := liveHeap()
		t := usage.NewTally(1)
		for p := range n {
			c := usage.Counts{}
			for k := range 40 {
				c[fmt.Sprintf("t%06d", (p*37+k*k)%200_000)] = 3
			}
			t.Merge(0, 101, usage.Report{Proxy: fmt.Sprint(p), Life: uint64(p + 1), Windows: map[uint64]usage.Counts{100: c}})
		}
		held := liveHeap() - base
		c := usage.Counts{}
		for k := range 40 {
			c[fmt.Sprintf("t%06d", k)] = 3
		}
		report := timePerCall(1000, func() {
			t.Merge(0, 101, usage.Report{Proxy: "0", Life: 1, Windows: map[uint64]usage.Counts{100: c}})
		})
		many := []int{2_000, 20_000, 200_000}[i]
		sum := usage.Counts{}
		for k := range many {
			sum[fmt.Sprintf("t%06d", k)] = 30
		}
		var body []byte
		wrote := timePerCall(1, func() { body = usage.MarshalWindow(100, sum) })
		fmt.Fprintf(w, "  %d, %.1f, %.2f; %d, %.2f, %.1f\n", n, float64(report.Nanoseconds())/1e3, held/1e6, many, float64(len(body))/1e6, wrote.Seconds()*1e3)
	}
}

// trackerCosts prints what a tracker pays for its keys and for a question.
func trackerCosts(w io.Writer) {
	fmt.Fprintln(w, "admission at a tracker: keys, proxies asking for two each, heap MB, microseconds a question")
	for _, n := range [][2]int{{2_000, 52}, {20_000, 520}, {200_000, 5_200}} {
		base := liveHeap()
		tracker := admission.NewTracker(1, 6, func(int, admission.Quota) bool { return true })
		qs := map[string]admission.Quota{}
		for k := range n[0] {
			qs[fmt.Sprintf("t%06d", k)] = admission.Quota{Rate: 10, Burst: 10}
		}
		tracker.SetQuotas(0, qs)
		asked, now := 0, 10*time.Second
		began := time.Now()
		for p := range n[1] {
			for k := range 2 {
				now += time.Microsecond
				tracker.HandleRequest(now, admission.GrantRequest{Proxy: fmt.Sprint(p), Proxies: n[1], Wants: []admission.KeyRequest{{Key: fmt.Sprintf("t%06d", (p*31+k)%n[0]), Demand: 1}}},
					func(int) (time.Duration, bool) { return 0, true })
				asked++
			}
		}
		took := time.Since(began)
		fmt.Fprintf(w, "  %d, %d, %.1f, %.1f\n", n[0], n[1], (liveHeap()-base)/1e6, float64(took.Nanoseconds())/float64(asked)/1e3)
		runtime.KeepAlive(tracker)
	}
}

// membershipCosts prints what the membership of many costs one of them.
func membershipCosts(w io.Writer) {
	fmt.Fprintln(w, "membership: members, heap MB, microseconds a datagram")
	for _, n := range []int{52, 520, 5_200} {
		base := liveHeap()
		d := membership.New(0, "10.0.0.1:1", "me", nil, rand.New(rand.NewPCG(1, 1)))
		i := 0
		took := timePerCall(n, func() {
			a := net.JoinHostPort(fmt.Sprintf("10.1.%d.%d", i/250, i%250), "7563")
			d.Recv(time.Duration(i)*time.Millisecond, a, membership.Msg{Seq: uint64(i), Facts: []membership.Fact{{Addr: a, Name: fmt.Sprintf("edge-some-hall-%d/proxy", i)}}})
			i++
		})
		fmt.Fprintf(w, "  %d, %.2f, %.1f\n", n, (liveHeap()-base)/1e6, float64(took.Nanoseconds())/1e3)
		runtime.KeepAlive(d)
	}
	accountCosts(w)
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
