// Command scalerun tries the control plane's size on one machine: real control
// processes and a real proxy on loopback addresses, and beside them hollow proxies,
// which subscribe, take part in membership, admit and meter like real ones but carry
// no traffic, many to a process. It ends by itself and prints one row of figures.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"slateridge/internal/constants"
	"slateridge/internal/eventlog"
	"slateridge/internal/proxy"
	"slateridge/internal/rungroup"
	"slateridge/internal/settings"
	"slateridge/internal/transport"
)

var cli struct {
	Program   string        `default:"target/slateridge" help:"The program under trial."`
	Control   int           `default:"6" help:"Control processes."`
	Proxies   int           `default:"100" help:"Hollow proxies."`
	Upstreams int           `default:"500" help:"Upstreams on the list."`
	Services  int           `default:"20" help:"Services."`
	Routes    int           `default:"500" help:"Routes."`
	Tenants   int           `default:"100" help:"Tenants with a quota."`
	PerProxy  float64       `default:"10" help:"Made-up requests a second and proxy."`
	For       time.Duration `default:"15s" help:"How long the steady state is measured."`
	Changes   int           `default:"5" help:"Configuration changes whose way is timed."`
	Load      float64       `help:"Requests a second through the real proxy, to stand-in upstreams that answer at once; the same are sent there directly, to see what the proxy adds."`
	Kill      bool          `help:"Kill one control process and time until the others have mended the view."`
	Wait      time.Duration `default:"90s" help:"Longest wait for anything."`
	Slopes    bool          `help:"Instead of a run, what single operations cost at three sizes each."`
	Accounts  bool          `help:"Give all tenants an objective, and time until their accounts are whole once the made-up requests end."`
	CatchUp   bool          `help:"Instead of a run, how long a control process that was killed and started again takes to have the newest state, by the number of changes it missed; then the same with an empty disk. Flat: it takes the newest state, whatever came between."`
	Missed    []int         `default:"1,3,10,30,100,300" help:"With --catch-up: the numbers of changes missed."`
	Verbose   bool          `help:"Show what the processes write."`
}

const (
	portFront, portReady, portControl = 18388, 18384, 18381
	portInternal                      = 17560
	platform                          = "127.9.0.1:18382"
)

// again says that the system has been started once.
var again bool

func controlIP(i int) string { return fmt.Sprintf("127.10.0.%d", i+1) }
func hollowIP(i int) string  { return fmt.Sprintf("127.20.%d.%d", i/250, i%250+1) }

func bootSettings(name, ip, zone, data string) map[string]any {
	var seeds []string
	for i := range min(3, cli.Control) {
		seeds = append(seeds, net.JoinHostPort(controlIP(i), strconv.Itoa(portControl)))
	}
	at := func(p int) string { return net.JoinHostPort(ip, strconv.Itoa(p)) }
	return map[string]any{
		"nodeName": name, "ipAddress": ip, "zone": zone, "region": "here",
		"zones":           map[string]string{"z0": "here", "z1": "here", "z2": "here", "z3": "here"},
		"listenAddresses": map[string]string{"frontend": at(portFront), "readiness": at(portReady), "controlPlane": at(portControl)},
		"internalPorts":   []int{portInternal, portInternal + 15}, "seedNodes": seeds,
		"bootstrap": !again, "quorumMember": data != "", "dataDirectory": data,
		"contracts":      []string{"base", "config", "tenants", "quota", "leader"},
		"faultTolerance": map[string]int{"machineFailures": 2},
		"bounds": map[string]any{"drain": "2s", "grace": "6s", "configApply": "2s", "retryBudgetRatio": 0.2, "retryWindow": "10s", "retryBudgetSlack": 200,
			"quotaWindow": "5s", "quotaSlack": 20, "fencingEnforced": true, "lease": "3s", "thawSlack": "300ms", "usageWindow": "5s", "usageTolerance": 0.05, "usageDelay": "10s"},
		"cloudApi": map[string]any{"address": platform, "ratePerS": 1000.0, "maxLag": "800ms", "duties": []string{"usage_report"}, "dutiesPerS": 50.0},
	}
}

// stand is the platform: a list in pages, and reports taken.
type stand struct {
	mu      sync.Mutex
	reports int
	calls   int
}

func (s *stand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		io.Copy(io.Discard, r.Body)
		s.reports++
		return
	}
	s.calls++
	from, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	type inst map[string]any
	out := map[string][]inst{}
	for i := 0; from == 0 && i < echoes; i++ {
		out["z0"] = append(out["z0"], inst{"instanceId": fmt.Sprintf("echo-%d", i), "targetService": "echo", "zone": "z0",
			"address": echoAddr(i), "capacitySlots": 16, "state": "ready", "warmupLeft": "0ms"})
	}
	for i := from; i < min(from+constants.PollPage, cli.Upstreams); i++ {
		z := fmt.Sprintf("z%d", i%4)
		out[z] = append(out[z], inst{"instanceId": fmt.Sprintf("i-%08d", i), "targetService": fmt.Sprintf("svc%04d", i%cli.Services), "zone": z,
			"address": fmt.Sprintf("127.30.%d.%d:8080", i/250%250, i%250), "capacitySlots": 2, "state": "ready", "warmupLeft": "0ms"})
	}
	var next any
	if from+constants.PollPage < cli.Upstreams {
		next = strconv.Itoa(from + constants.PollPage)
	}
	json.NewEncoder(w).Encode(map[string]any{"instances": out, "nextPageToken": next})
}

const echoes = 8

func echoAddr(i int) string { return fmt.Sprintf("127.9.1.%d:18080", i+1) }

// echo is an upstream that answers at once.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Slateridge-Attempt-Id", r.Header.Get("X-Slateridge-Attempt-Id"))
	w.Header().Set("X-Slateridge-Response-Seal", "s")
	io.WriteString(w, "a small answer")
}

// load sends requests at a steady rate for a time and gives the sorted times they
// took, and how many failed.
func load(to string, rate float64, span time.Duration) (took []time.Duration, failed int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 2 * time.Second}
	var mu sync.Mutex
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for end := time.Now().Add(span); time.Now().Before(end); {
		<-tick.C
		wg.Go(func() {
			req, _ := http.NewRequest("GET", "http://"+to+"/echo/x", nil)
			req.Host = "echo.example"
			req.Header.Set("X-Slateridge-Attempt-Id", strconv.FormatUint(rand.Uint64(), 16))
			req.Header.Set("X-Slateridge-Time-Budget-Ms", "1000")
			req.Header.Set("X-Api-Key", "key-echo")
			began := time.Now()
			resp, err := client.Do(req)
			ok := err == nil && resp.StatusCode == 200
			if err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
			} else {
				took = append(took, time.Since(began))
			}
		})
	}
	wg.Wait()
	slices.Sort(took)
	return took, failed
}

func at(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(part*float64(len(sorted)-1))]
}

func configuration(version int) []byte {
	type resource struct { // in the order in which operators write them
		ResourceKind string            `json:"resourceKind"`
		Metadata     map[string]string `json:"metadata"`
		Spec         any               `json:"spec"`
	}
	var rs []resource
	item := func(kind, name string, spec any) {
		rs = append(rs, resource{kind, map[string]string{"name": name}, spec})
	}
	for i := range cli.Routes {
		timeout := 1000
		if i == version%cli.Routes {
			timeout += version // what this version changes
		}
		item("routes", fmt.Sprintf("r%06d", i), map[string]any{"host": fmt.Sprintf("h%d.example", i%50), "pathPrefix": fmt.Sprintf("/p%d/", i), "routeType": "idempotent",
			"timeout": fmt.Sprintf("%dms", timeout), "targetLatency": "300ms", "priority": 1, "targetService": fmt.Sprintf("svc%04d", i%cli.Services), "maxAttempts": 2})
	}
	item("routes", "echo", map[string]any{"host": "echo.example", "pathPrefix": "/echo/", "routeType": "idempotent", "timeout": "1000ms", "targetLatency": "300ms", "priority": 1, "targetService": "echo", "maxAttempts": 2})
	item("services", "echo", map[string]any{"healthCheckPath": "/health", "maxConnections": 10_000})
	item("tenants", "echo", map[string]any{"apiKeys": []string{"key-echo"}, "ratePerS": 100_000, "burstSize": 100_000})
	for i := range cli.Services {
		item("services", fmt.Sprintf("svc%04d", i), map[string]any{"healthCheckPath": "/health", "maxConnections": 500})
	}
	for i := range cli.Tenants {
		item("tenants", fmt.Sprintf("t%06d", i), map[string]any{"apiKeys": []string{fmt.Sprintf("key-%06d", i)}, "ratePerS": 20 * cli.PerProxy * float64(cli.Proxies) / float64(cli.Tenants), "burstSize": 20 * cli.PerProxy * float64(cli.Proxies) / float64(cli.Tenants)})
	}
	b, _ := json.Marshal(map[string]any{"configVersion": fmt.Sprintf("r%d", version), "resourceList": rs})
	return b
}

func post(version int) error {
	body := configuration(version)
	end := time.Now().Add(cli.Wait)
	for i := 0; time.Now().Before(end); i++ {
		resp, err := http.Post(fmt.Sprintf("http://%s:%d/api/rpc?call=configuration.replace", controlIP(i%cli.Control), portControl), "application/json", bytes.NewReader(body))
		if err == nil {
			b, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
			if resp.StatusCode/100 == 4 {
				return fmt.Errorf("refused: %s", b)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("r%d was not acknowledged in %v", version, cli.Wait)
}

type proc struct {
	name, ip string
	admin    int
	cmd      *exec.Cmd
}

func start(dir, role, name, ip, data string, admin int) (*proc, error) {
	path := filepath.Join(dir, name+".json")
	b, _ := json.Marshal(bootSettings(name, ip, "z0", data))
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, err
	}
	c := exec.Command(cli.Program, role)
	c.Env = append(os.Environ(), settings.EnvFile+"="+path)
	if cli.Verbose {
		c.Stderr = os.Stderr
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return &proc{name, ip, admin, c}, c.Start()
}

type reading struct {
	at                  time.Time
	cpu                 time.Duration
	in, out, inMs, outM float64
}

// cpu is the processor time a process has used.
func cpu(pid int) time.Duration {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	u, _ := strconv.Atoi(f[11])
	s, _ := strconv.Atoi(f[12])
	return time.Duration(u+s) * 10 * time.Millisecond
}

func rss(pid int) (mb float64) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		if v, ok := strings.CutPrefix(sc.Text(), "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

func (p *proc) read() reading {
	r := reading{at: time.Now(), cpu: cpu(p.cmd.Process.Pid)}
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", p.ip, portInternal+p.admin))
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		name, v, _ := strings.Cut(sc.Text(), " ")
		n, _ := strconv.ParseFloat(v, 64)
		switch name {
		case `slateridge_internal_bytes_total{dir="in"}`:
			r.in = n
		case `slateridge_internal_bytes_total{dir="out"}`:
			r.out = n
		case `slateridge_internal_messages_total{dir="in"}`:
			r.inMs = n
		case `slateridge_internal_messages_total{dir="out"}`:
			r.outM = n
		}
	}
	return r
}

func here() reading {
	t := &transport.Traffic
	return reading{time.Now(), cpu(os.Getpid()), float64(t.InBytes.Load()), float64(t.OutBytes.Load()), float64(t.In.Load()), float64(t.Out.Load())}
}

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
	d.KeepAccounts(accountObjectives)
	return d, d.AddHollow(g, group)
}

// startPlatform serves the list, and stand-in upstreams.
func startPlatform() (*stand, error) {
	l, err := net.Listen("tcp4", platform)
	if err != nil {
		return nil, err
	}
	pl := &stand{}
	go http.Serve(l, pl)
	for i := range echoes {
		l, err := net.Listen("tcp4", echoAddr(i))
		if err != nil {
			return nil, err
		}
		go http.Serve(l, http.HandlerFunc(echo))
	}
	return pl, nil
}

func dataFolder(dir string, i int) string { return filepath.Join(dir, fmt.Sprintf("data-%d", i)) }

func startControl(dir string, i int) (*proc, error) {
	data := dataFolder(dir, i)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return nil, err
	}
	return start(dir, "control", fmt.Sprintf("control-%d", i), controlIP(i), data, constants.PortControlAdmin)
}

func (p *proc) end() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

func trial() error {
	dir, err := os.MkdirTemp("", "scalerun")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := useAccounts(dir); err != nil {
		return err
	}
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
	if err := awaitAccounts(uint64(sum - no)); err != nil {
		return err
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	fmt.Printf("  %d made-up requests, %d refused; %d usage reports, %d list pages read\n", sum, no, pl.reports, pl.calls)
	return nil
}

func mean(xs []float64) (m float64) {
	for _, x := range xs {
		m += x / float64(len(xs))
	}
	return m
}

func main() {
	kong.Parse(&cli, kong.Description("Tries the control plane's size on loopback, with hollow proxies. Bounded in time; ends by itself."))
	if cli.Slopes {
		slopes(os.Stdout)
		return
	}
	run := trial
	if cli.CatchUp {
		run = func() error { return catchUp(os.Stdout) }
	}
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "scalerun: %s\n", err)
		os.Exit(1)
	}
}
