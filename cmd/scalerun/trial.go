package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"slateridge/internal/constants"
	"slateridge/internal/eventlog"
	"slateridge/internal/proxy"
	"slateridge/internal/rungroup"
	"slateridge/internal/settings"
)

// waitFor polls until a condition is met and returns how long that took. It fails after
// cli.Wait.
func waitFor(condition string, met func() bool) (time.Duration, error) {
	started := time.Now()
	for !met() {
		if time.Since(started) > cli.Wait {
			return 0, fmt.Errorf("%s: not in %v", condition, cli.Wait)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started), nil
}

// newHollowProxy creates a proxy that carries no traffic and adds its background tasks to g.
func newHollowProxy(i int, g *run.Group, group *rungroup.Group) (*proxy.Daemon, error) {
	b, _ := json.Marshal(nodeSettings(fmt.Sprintf("hollow-%d", i), hollowIP(i), fmt.Sprintf("z%d", i%4), ""))
	parsed := &settings.Settings{}
	if err := json.Unmarshal(b, parsed); err != nil {
		return nil, err
	}
	d := proxy.NewDaemon(parsed, "", eventlog.New(zerolog.Nop()))
	d.EnableAccounting(accountObjectives)
	return d, d.AddBackground(g, group)
}

// runTrial starts the whole system once, measures it and prints the figures.
func runTrial() error {
	dir, err := os.MkdirTemp("", "scalerun")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := enableAccounts(dir); err != nil {
		return err
	}
	platform, err := startPlatform()
	if err != nil {
		return err
	}
	sys := &testSystem{}
	defer sys.stop()
	if err := sys.startProcesses(dir); err != nil {
		return err
	}
	if err := sys.startHollow(); err != nil {
		return err
	}
	generator := startLoadGenerator(sys.hollowProxies)
	time.Sleep(settleTime)
	sys.measureSteady()
	if cli.Load > 0 {
		sys.measureLoad()
	}
	if err := sys.measureChanges(); err != nil {
		return err
	}
	sent, refused := generator.stop()
	if err := waitForAccounts(uint64(sent - refused)); err != nil {
		return err
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	fmt.Printf("  %d made-up requests, %d refused; %d usage reports, %d list pages read\n", sent, refused, platform.reports, platform.listCalls)
	return nil
}

// settleTime is the delay before the steady state is measured, in which the proxies report
// their shares and the leases are acquired.
const settleTime = 10 * time.Second

// testSystem holds everything that a trial has started.
type testSystem struct {
	processes     []*process // the control processes, then the real proxy
	realProxy     *process
	hollowProxies []*proxy.Daemon
	baseMem       runtime.MemStats // of this process, before the hollow proxies start
	syncTime      time.Duration    // until all hollow proxies had the configuration and the upstream list
	syncCPU       time.Duration    // CPU time of the control processes in that period
}

func (s *testSystem) stop() {
	for _, p := range s.processes {
		p.kill()
	}
}

func (s *testSystem) controlProcesses() []*process { return s.processes[:cli.Control] }

// controlCPUTime returns the total CPU time of all control processes.
func (s *testSystem) controlCPUTime() (used time.Duration) {
	for _, p := range s.controlProcesses() {
		used += cpuTime(p.cmd.Process.Pid)
	}
	return used
}

// startProcesses starts the control processes and the real proxy and posts the first configuration.
func (s *testSystem) startProcesses(dir string) error {
	for i := range cli.Control {
		p, err := startControl(dir, i)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
	}
	p, err := startProcess(dir, "proxy", "proxy-0", "127.10.1.1", "", constants.PortProxyAdmin)
	if err != nil {
		return err
	}
	s.realProxy = p
	s.processes = append(s.processes, p)
	return postConfiguration(1)
}

// startHollow starts the hollow proxies and waits until all are up to date.
func (s *testSystem) startHollow() error {
	runtime.GC()
	runtime.ReadMemStats(&s.baseMem)
	cpuBefore := s.controlCPUTime()
	runGroup := &run.Group{}
	group := rungroup.New(runGroup)
	for i := range cli.Proxies {
		d, err := newHollowProxy(i, runGroup, group)
		if err != nil {
			return err
		}
		s.hollowProxies = append(s.hollowProxies, d)
	}
	go runGroup.Run()
	syncTime, err := waitFor("all proxies informed", s.allUpToDate(1))
	if err != nil {
		return err
	}
	s.syncTime, s.syncCPU = syncTime, s.controlCPUTime()-cpuBefore
	return nil
}

// allUpToDate returns a condition that holds once all hollow proxies have at least the given
// configuration version and all upstreams.
func (s *testSystem) allUpToDate(version uint64) func() bool {
	isBehind := func(d *proxy.Daemon) bool { return d.ConfigVersion() < version || d.UpstreamCount() < cli.Upstreams }
	return func() bool { return !slices.ContainsFunc(s.hollowProxies, isBehind) }
}

// measureSteady prints the resource usage of each kind of process while nothing changes.
func (s *testSystem) measureSteady() {
	before, ownBefore := make([]resourceUsage, len(s.processes)), ownUsage()
	for i, p := range s.processes {
		before[i] = p.usage()
	}
	time.Sleep(cli.For)
	var cores []float64
	var bytesOut, messages, peak float64
	for i, p := range s.controlProcesses() {
		after := p.usage()
		seconds := after.at.Sub(before[i].at).Seconds()
		cores = append(cores, (after.cpu-before[i].cpu).Seconds()/seconds)
		bytesOut += (after.bytesOut - before[i].bytesOut) / seconds / float64(cli.Control)
		messages += (after.messagesOut - before[i].messagesOut + after.messagesIn - before[i].messagesIn) / seconds / float64(cli.Control)
		peak = max(peak, peakMemoryMB(p.cmd.Process.Pid))
	}
	ownAfter := ownUsage()
	seconds, n := ownAfter.at.Sub(ownBefore.at).Seconds(), float64(cli.Proxies)
	debug.FreeOSMemory()
	var fullMem runtime.MemStats
	runtime.ReadMemStats(&fullMem)
	after := s.realProxy.usage()
	fmt.Printf("proxies %d, control %d, upstreams %d, routes %d, tenants %d, %g requests/s a proxy\n", cli.Proxies, cli.Control, cli.Upstreams, cli.Routes, cli.Tenants, cli.PerProxy)
	fmt.Printf("  all started at once were informed after %v; that took %.2f ms of processor time a proxy, of all control processes\n", s.syncTime.Round(10*time.Millisecond), s.syncCPU.Seconds()*1e3/n)
	fmt.Printf("  control process: cores mean %.4f most %.4f; peak memory %.0f MB; %.1f KB/s out, %.0f messages/s\n", mean(cores), slices.Max(cores), peak, bytesOut/1e3, messages)
	fmt.Printf("  hollow proxy: cores %.5f; heap and stacks %.2f MB; %.2f KB/s in, %.2f KB/s out, %.1f messages/s (made-up requests included)\n", (ownAfter.cpu-ownBefore.cpu).Seconds()/seconds/n,
		float64(fullMem.HeapInuse+fullMem.StackInuse-s.baseMem.HeapInuse-s.baseMem.StackInuse)/n/1e6, (ownAfter.bytesIn-ownBefore.bytesIn)/seconds/n/1e3, (ownAfter.bytesOut-ownBefore.bytesOut)/seconds/n/1e3, (ownAfter.messagesIn-ownBefore.messagesIn+ownAfter.messagesOut-ownBefore.messagesOut)/seconds/n)
	last := before[len(before)-1]
	fmt.Printf("  real proxy, idle: cores %.4f; peak memory %.0f MB; %.2f KB/s in and out\n", (after.cpu-last.cpu).Seconds()/seconds, peakMemoryMB(s.realProxy.cmd.Process.Pid), (after.bytesIn+after.bytesOut-last.bytesIn-last.bytesOut)/seconds/1e3)
}

// measureLoad prints the latency that the real proxy adds, compared with direct requests.
func (s *testSystem) measureLoad() {
	before := s.realProxy.usage()
	proxied, failed := sendLoad(net.JoinHostPort(s.realProxy.ip, strconv.Itoa(portFrontend)), cli.Load, cli.For)
	after := s.realProxy.usage()
	direct, _ := sendLoad(echoAddr(0), cli.Load, cli.For)
	n := float64(len(proxied) + failed)
	fmt.Printf("  real proxy at %g requests/s: p50 %v p99 %v, directly p50 %v p99 %v: it adds %v at p50, %v at p99; %d of %.0f failed; %.3f ms of processor time a request\n", cli.Load,
		quantile(proxied, 0.5), quantile(proxied, 0.99), quantile(direct, 0.5), quantile(direct, 0.99), quantile(proxied, 0.5)-quantile(direct, 0.5), quantile(proxied, 0.99)-quantile(direct, 0.99), failed, n, (after.cpu-before.cpu).Seconds()*1e3/n)
}

// measureChanges prints how long configuration changes take to reach all hollow proxies. With
// --kill it measures one more change right after killing a control process.
func (s *testSystem) measureChanges() error {
	var latencies []time.Duration
	for version := 2; version < 2+cli.Changes; version++ {
		started := time.Now()
		if err := postConfiguration(version); err != nil {
			return err
		}
		if _, err := waitFor("change everywhere", s.allUpToDate(uint64(version))); err != nil {
			return err
		}
		latencies = append(latencies, time.Since(started).Round(time.Millisecond))
		time.Sleep(time.Second)
	}
	fmt.Printf("  changes, from the call to the last proxy: %v\n", latencies)
	if !cli.Kill {
		return nil
	}
	s.processes[0].cmd.Process.Kill()
	started := time.Now()
	if err := postConfiguration(2 + cli.Changes); err != nil {
		return err
	}
	if _, err := waitFor("change everywhere with a control process lost", s.allUpToDate(uint64(2+cli.Changes))); err != nil {
		return err
	}
	fmt.Printf("  a control process killed: the next change was everywhere after %v\n", time.Since(started).Round(time.Millisecond))
	return nil
}

// loadGenerator simulates requests at all hollow proxies, with one goroutine per proxy.
type loadGenerator struct {
	done          chan struct{}
	wg            sync.WaitGroup
	sent, refused atomic.Int64
}

func startLoadGenerator(proxies []*proxy.Daemon) *loadGenerator {
	generator := &loadGenerator{done: make(chan struct{})}
	for i, d := range proxies {
		generator.wg.Go(func() { generator.run(d, rand.New(rand.NewPCG(uint64(i), 1))) })
	}
	return generator
}

// run simulates requests at one proxy until the generator is stopped. Arrivals are Poisson,
// tenants follow a Zipf distribution.
func (r *loadGenerator) run(d *proxy.Daemon, rng *rand.Rand) {
	zipf := rand.NewZipf(rng, 1.2, 4, uint64(cli.Tenants-1))
	for {
		select {
		case <-r.done:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() / cli.PerProxy * float64(time.Second))):
		}
		r.sent.Add(1)
		if !d.SimulateRequest(fmt.Sprintf("t%06d", zipf.Uint64())) {
			r.refused.Add(1)
		}
	}
}

// stop ends the requests and returns how many were sent and refused.
func (r *loadGenerator) stop() (sent, refused int64) {
	close(r.done)
	r.wg.Wait()
	return r.sent.Load(), r.refused.Load()
}
