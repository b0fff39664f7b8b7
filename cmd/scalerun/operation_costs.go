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

// liveHeap returns the size of the live heap in bytes after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// timePerCall returns the mean duration of n calls.
func timePerCall(n int, f func()) time.Duration {
	started := time.Now()
	for range n {
		f()
	}
	return time.Since(started) / time.Duration(n)
}

// byteCounter is a writer that counts bytes.
type byteCounter int64

func (c *byteCounter) Write(b []byte) (int, error) { *c += byteCounter(len(b)); return len(b), nil }

// gobSize returns the encoded size of a value on a new internal connection.
func gobSize(v any) int64 {
	var c byteCounter
	if err := gob.NewEncoder(&c).Encode(v); err != nil {
		panic(err)
	}
	return int64(c)
}

// operationCosts prints the cost of single operations at three sizes each. It runs in this
// process and without a network, whereas a trial measures whole processes.
func operationCosts(w io.Writer) {
	configurationCosts(w)
	poolCosts(w)
	placementCosts(w)
	usageCosts(w)
	trackerCosts(w)
	membershipCosts(w)
}

// configurationCosts prints the cost of parsing a configuration and its next version.
func configurationCosts(w io.Writer) {
	fmt.Fprintln(w, "configuration: routes, raw MB, packed KB, read s, heap MB, next version: difference bytes, read s, heap MB of both")
	for _, n := range []int{1_100, 11_000, 110_000} {
		cli.Routes, cli.Services, cli.Tenants, cli.Proxies, cli.PerProxy = n, max(1, n/44), 100, 100, 10
		raw, next := configuration(1), configuration(2)
		baseHeap := liveHeap()
		var parser config.Parser
		var first, second *config.Config
		firstTime := timePerCall(1, func() { first = must(parser.Parse(raw)) })
		firstHeap := liveHeap() - baseHeap
		secondTime := timePerCall(1, func() { second = must(parser.Parse(next)) })
		bothHeap := liveHeap() - baseHeap
		firstDoc, secondDoc := &config.Doc{Version: 1, Raw: raw}, &config.Doc{Version: 2, Raw: next}
		whole, delta := config.NewDelta(nil, firstDoc), config.NewDelta(firstDoc, secondDoc)
		fmt.Fprintf(w, "  %d, %.2f, %.0f, %.3f, %.1f, %d, %.3f, %.1f\n", n, float64(len(raw))/1e6, float64(gobSize(whole))/1e3, firstTime.Seconds(), firstHeap/1e6, gobSize(delta), secondTime.Seconds(), bothHeap/1e6)
		runtime.KeepAlive(first)
		runtime.KeepAlive(second)
		runtime.KeepAlive(parser)
	}
}

// poolCosts prints the cost of a proxy's pool of upstreams.
func poolCosts(w io.Writer) {
	fmt.Fprintln(w, "upstreams: number, list MB as held and sent, heap MB at a proxy, first taking ms, taking a difference of ten ms, calls to read it")
	for _, n := range []int{620, 6_200, 62_000} {
		list := &discovery.List{Num: 1}
		for i := range n {
			list.Instances = append(list.Instances, discovery.Instance{ID: fmt.Sprintf("i-%010x", i), Service: fmt.Sprintf("svc%04d", i%max(1, n/25)), Address: fmt.Sprintf("10.%d.%d.%d:8080", i/65536, i/256%256, i%256), Zone: fmt.Sprintf("z%d", i%8), Slots: 2})
		}
		baseHeap := liveHeap()
		pool := proxy.NewPool("p", "z1", map[string]string{"z1": "r"}, func(string) int { return 5 }, func(string) proxy.ColdBound { return proxy.ColdBound{} })
		firstTime := timePerCall(1, func() { pool.Apply(time.Now(), list.Instances) })
		poolHeap := liveHeap() - baseHeap
		updateTime := timePerCall(5, func() { pool.Apply(time.Now(), list.Instances[:n-10]) })
		fmt.Fprintf(w, "  %d, %.2f, %.1f, %.2f, %.2f, %d\n", n, float64(gobSize(discovery.Diff(nil, list)))/1e6, poolHeap/1e6, firstTime.Seconds()*1e3, updateTime.Seconds()*1e3, (n+49)/50)
		runtime.KeepAlive(pool)
	}
}

// placementCosts prints the cost of placing a stream.
func placementCosts(w io.Writer) {
	fmt.Fprintln(w, "a stream's placement: upstreams of its service in its zone, microseconds")
	for _, n := range []int{50, 500, 5_000} {
		pool := proxy.NewPool("p", "z", map[string]string{"z": "r"}, func(string) int { return 5 }, func(string) proxy.ColdBound { return proxy.ColdBound{} })
		var instances []discovery.Instance
		for i := range n {
			instances = append(instances, discovery.Instance{ID: fmt.Sprintf("i-%010x", i), Service: "svc", Zone: "z", Slots: 4})
		}
		pool.Apply(time.Now(), instances)
		stream := 0
		fmt.Fprintf(w, "  %d, %.1f\n", n, float64(timePerCall(300, func() { pool.PlaceStream("svc", fmt.Sprint(stream)); stream++ }).Nanoseconds())/1e3)
	}
}

// usageCosts prints the cost of merging and writing usage reports at the holder of that duty.
func usageCosts(w io.Writer) {
	fmt.Fprintln(w, "usage at the holder: proxies of 40 tenants each, microseconds a report, heap MB of a window, then tenants in a report: MB, ms to add up and write it")
	for i, n := range []int{52, 520, 5_200} {
		baseHeap := liveHeap()
		tally := usage.NewTally(1)
		for proxyIndex := range n {
			counts := usage.Counts{}
			for k := range 40 {
				counts[fmt.Sprintf("t%06d", (proxyIndex*37+k*k)%200_000)] = 3
			}
			tally.Merge(0, 101, usage.Report{Proxy: fmt.Sprint(proxyIndex), Life: uint64(proxyIndex + 1), Windows: map[uint64]usage.Counts{100: counts}})
		}
		windowHeap := liveHeap() - baseHeap
		counts := usage.Counts{}
		for k := range 40 {
			counts[fmt.Sprintf("t%06d", k)] = 3
		}
		reportTime := timePerCall(1000, func() {
			tally.Merge(0, 101, usage.Report{Proxy: "0", Life: 1, Windows: map[uint64]usage.Counts{100: counts}})
		})
		tenants := []int{2_000, 20_000, 200_000}[i]
		sum := usage.Counts{}
		for k := range tenants {
			sum[fmt.Sprintf("t%06d", k)] = 30
		}
		var body []byte
		marshalTime := timePerCall(1, func() { body = usage.MarshalWindow(100, sum) })
		fmt.Fprintf(w, "  %d, %.1f, %.2f; %d, %.2f, %.1f\n", n, float64(reportTime.Nanoseconds())/1e3, windowHeap/1e6, tenants, float64(len(body))/1e6, marshalTime.Seconds()*1e3)
	}
}

// trackerCosts prints the cost of a tracker's keys and of a grant request.
func trackerCosts(w io.Writer) {
	fmt.Fprintln(w, "admission at a tracker: keys, proxies asking for two each, heap MB, microseconds a question")
	for _, n := range [][2]int{{2_000, 52}, {20_000, 520}, {200_000, 5_200}} {
		baseHeap := liveHeap()
		tracker := admission.NewTracker(1, 6, func(int, admission.Quota) bool { return true })
		quotas := map[string]admission.Quota{}
		for k := range n[0] {
			quotas[fmt.Sprintf("t%06d", k)] = admission.Quota{Rate: 10, Burst: 10}
		}
		tracker.SetQuotas(0, quotas)
		requests, now := 0, 10*time.Second
		started := time.Now()
		for p := range n[1] {
			for k := range 2 {
				now += time.Microsecond
				tracker.HandleRequest(now, admission.GrantRequest{Proxy: fmt.Sprint(p), Proxies: n[1], Wants: []admission.KeyRequest{{Key: fmt.Sprintf("t%06d", (p*31+k)%n[0]), Demand: 1}}},
					func(int) (time.Duration, bool) { return 0, true })
				requests++
			}
		}
		elapsed := time.Since(started)
		fmt.Fprintf(w, "  %d, %d, %.1f, %.1f\n", n[0], n[1], (liveHeap()-baseHeap)/1e6, float64(elapsed.Nanoseconds())/float64(requests)/1e3)
		runtime.KeepAlive(tracker)
	}
}

// membershipCosts prints the cost of membership at one member.
func membershipCosts(w io.Writer) {
	fmt.Fprintln(w, "membership: members, heap MB, microseconds a datagram")
	for _, n := range []int{52, 520, 5_200} {
		baseHeap := liveHeap()
		members := membership.New(0, "10.0.0.1:1", "me", nil, rand.New(rand.NewPCG(1, 1)))
		i := 0
		perDatagram := timePerCall(n, func() {
			addr := net.JoinHostPort(fmt.Sprintf("10.1.%d.%d", i/250, i%250), "7563")
			members.Recv(time.Duration(i)*time.Millisecond, addr, membership.Msg{Seq: uint64(i), Facts: []membership.Fact{{Addr: addr, Name: fmt.Sprintf("edge-some-hall-%d/proxy", i)}}})
			i++
		})
		fmt.Fprintf(w, "  %d, %.2f, %.1f\n", n, (liveHeap()-baseHeap)/1e6, float64(perDatagram.Nanoseconds())/1e3)
		runtime.KeepAlive(members)
	}
	accountCosts(w)
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
