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
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"slateridge/internal/constants"
	"slateridge/internal/eventlog"
	"slateridge/internal/proxy"
	"slateridge/internal/rungroup"
	"slateridge/internal/settings"
)

func waitFor(what string, ok func() bool) (time.Duration, error) {
	began := time.Now()
	for !ok() {
		if time.Since(began) > cli.Wait {
			return 0, fmt.Errorf("%s: not in %v", what, cli.Wait)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began), nil
}

func hollow(i int, g *run.Group, group *rungroup.Group) (*proxy.Daemon, error) {
	b, _ := json.Marshal(bootSettings(fmt.Sprintf("hollow-%d", i), hollowIP(i), fmt.Sprintf("z%d", i%4), ""))
	set := &settings.Settings{}
	if err := json.Unmarshal(b, set); err != nil {
		return nil, err
	}
	d := proxy.NewDaemon(set, "", eventlog.New(zerolog.Nop()))
	return d, d.AddHollow(g, group)
}

func trial() error {
	dir, err := os.MkdirTemp("", "scalerun")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	pl, err := startPlatform()
	if err != nil {
		return err
	}
	var controls []*proc
	defer func() {
		for _, p := range controls {
			p.end()
		}
	}()
	for i := range cli.Control {
		p, err := startControl(dir, i)
		if err != nil {
			return err
		}
		controls = append(controls, p)
	}
	real, err := start(dir, "proxy", "proxy-0", "127.10.1.1", "", constants.PortProxyAdmin)
	if err != nil {
		return err
	}
	controls = append(controls, real)
	if err := post(1); err != nil {
		return err
	}
	var empty runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&empty)
	used := func() (d time.Duration) {
		for _, p := range controls[:cli.Control] {
			d += cpu(p.cmd.Process.Pid)
		}
		return d
	}
	began := used()
	g := &run.Group{}
	group := rungroup.New(g)
	var ds []*proxy.Daemon
	for i := range cli.Proxies {
		d, err := hollow(i, g, group)
		if err != nil {
			return err
		}
		ds = append(ds, d)
	}
	go g.Run()
	all := func(version uint64) func() bool {
		return func() bool {
			return !slices.ContainsFunc(ds, func(d *proxy.Daemon) bool { return d.Version() < version || d.Upstreams() < cli.Upstreams })
		}
	}
	informed, err := waitFor("all proxies informed", all(1))
	if err != nil {
		return err
	}
	joining := used() - began
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var made, refused sync.Map
	for i, d := range ds {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(i), 1))
			zipf := rand.NewZipf(r, 1.2, 4, uint64(cli.Tenants-1))
			n, no := 0, 0
			for {
				select {
				case <-stop:
					made.Store(i, n)
					refused.Store(i, no)
					return
				case <-time.After(time.Duration(r.ExpFloat64() / cli.PerProxy * float64(time.Second))):
				}
				n++
				if !d.Rehearse(fmt.Sprintf("t%06d", zipf.Uint64())) {
					no++
				}
			}
		})
	}
	time.Sleep(10 * time.Second) // shares are told, leases taken
	before, mine := make([]reading, len(controls)), here()
	for i, p := range controls {
		before[i] = p.read()
	}
	time.Sleep(cli.For)
	var cs []float64
	var bytesOut, msgs, most float64
	for i, p := range controls[:cli.Control] {
		a := p.read()
		s := a.at.Sub(before[i].at).Seconds()
		cs = append(cs, (a.cpu-before[i].cpu).Seconds()/s)
		bytesOut += (a.out - before[i].out) / s / float64(cli.Control)
		msgs += (a.outM - before[i].outM + a.inMs - before[i].inMs) / s / float64(cli.Control)
		most = max(most, rss(p.cmd.Process.Pid))
	}
	is := here()
	s, n := is.at.Sub(mine.at).Seconds(), float64(cli.Proxies)
	debug.FreeOSMemory()
	var full runtime.MemStats
	runtime.ReadMemStats(&full)
	a := real.read()
	fmt.Printf("proxies %d, control %d, upstreams %d, routes %d, tenants %d, %g requests/s a proxy\n", cli.Proxies, cli.Control, cli.Upstreams, cli.Routes, cli.Tenants, cli.PerProxy)
	fmt.Printf("  all started at once were informed after %v; that took %.2f ms of processor time a proxy, of all control processes\n", informed.Round(10*time.Millisecond), joining.Seconds()*1e3/n)
	fmt.Printf("  control process: cores mean %.4f most %.4f; peak memory %.0f MB; %.1f KB/s out, %.0f messages/s\n", mean(cs), slices.Max(cs), most, bytesOut/1e3, msgs)
	fmt.Printf("  hollow proxy: cores %.5f; heap and stacks %.2f MB; %.2f KB/s in, %.2f KB/s out, %.1f messages/s (made-up requests included)\n", (is.cpu-mine.cpu).Seconds()/s/n,
		float64(full.HeapInuse+full.StackInuse-empty.HeapInuse-empty.StackInuse)/n/1e6, (is.in-mine.in)/s/n/1e3, (is.out-mine.out)/s/n/1e3, (is.inMs-mine.inMs+is.outM-mine.outM)/s/n)
	last := before[len(before)-1]
	fmt.Printf("  real proxy, idle: cores %.4f; peak memory %.0f MB; %.2f KB/s in and out\n", (a.cpu-last.cpu).Seconds()/s, rss(real.cmd.Process.Pid), (a.in+a.out-last.in-last.out)/s/1e3)
	if cli.Load > 0 {
		b := real.read()
		through, failed := load(net.JoinHostPort(real.ip, strconv.Itoa(portFront)), cli.Load, cli.For)
		a := real.read()
		direct, _ := load(echoAddr(0), cli.Load, cli.For)
		n := float64(len(through) + failed)
		fmt.Printf("  real proxy at %g requests/s: p50 %v p99 %v, directly p50 %v p99 %v: it adds %v at p50, %v at p99; %d of %.0f failed; %.3f ms of processor time a request\n", cli.Load,
			at(through, 0.5), at(through, 0.99), at(direct, 0.5), at(direct, 0.99), at(through, 0.5)-at(direct, 0.5), at(through, 0.99)-at(direct, 0.99), failed, n, (a.cpu-b.cpu).Seconds()*1e3/n)
	}
	var ways []time.Duration
	for v := 2; v < 2+cli.Changes; v++ {
		began := time.Now()
		if err := post(v); err != nil {
			return err
		}
		if _, err := waitFor("change everywhere", all(uint64(v))); err != nil {
			return err
		}
		ways = append(ways, time.Since(began).Round(time.Millisecond))
		time.Sleep(time.Second)
	}
	fmt.Printf("  changes, from the call to the last proxy: %v\n", ways)
	if cli.Kill {
		controls[0].cmd.Process.Kill()
		began := time.Now()
		if err := post(2 + cli.Changes); err != nil {
			return err
		}
		if _, err := waitFor("change everywhere with a control process lost", all(uint64(2+cli.Changes))); err != nil {
			return err
		}
		fmt.Printf("  a control process killed: the next change was everywhere after %v\n", time.Since(began).Round(time.Millisecond))
	}
	close(stop)
	wg.Wait()
	sum, no := 0, 0
	made.Range(func(_, v any) bool { sum += v.(int); return true })
	refused.Range(func(_, v any) bool { no += v.(int); return true })
	pl.mu.Lock()
	defer pl.mu.Unlock()
	fmt.Printf("  %d made-up requests, %d refused; %d usage reports, %d list pages read\n", sum, no, pl.reports, pl.calls)
	return nil
}
