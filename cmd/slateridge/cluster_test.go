package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"slateridge/internal/controlplane"
	"slateridge/internal/eventlog"
	"slateridge/internal/proxy"
	"slateridge/internal/settings"
)

// testCluster is a cluster of three machines on loopback addresses, each of which runs a
// control machine and a proxy, with a fake platform.
type testCluster struct {
	t            *testing.T
	dir          string
	port         int
	platform     string
	stopFuncs    map[string]func()
	mu           sync.Mutex
	instances    []map[string]any
	usageReports map[string]string // received usage reports: window -> body of the last one
	fenceHolders map[string]string // fencing token -> holder
	violations   []string          // invalid or conflicting usage reports
}

// recordUsageReport handles a usage report at the fake platform. It records a violation if the
// report is malformed, differs from an earlier one of its window, or has the fencing token of
// another holder.
func (s *testCluster) recordUsageReport(_ http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var report struct{ WindowNumber json.Number }
	json.Unmarshal(body, &report)
	holder, fence, window := r.Header.Get("X-Slateridge-Duty-Holder"), r.Header.Get("X-Slateridge-Fence-Token"), report.WindowNumber.String()
	if previous, ok := s.usageReports[window]; r.URL.Path != "/usage-reports" || window == "" || holder == "" || ok && previous != string(body) {
		s.violations = append(s.violations, fmt.Sprintf("%s from %s: %s after %s", r.URL.Path, holder, body, previous))
	}
	if previous, ok := s.fenceHolders[fence]; ok && previous != holder {
		s.violations = append(s.violations, "fencing token "+fence+" used by "+previous+" and "+holder)
	}
	s.usageReports[window], s.fenceHolders[fence] = string(body), holder
}

func freePort(t *testing.T) int {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func newTestCluster(t *testing.T) *testCluster {
	s := &testCluster{t: t, dir: t.TempDir(), port: freePort(t), stopFuncs: map[string]func(){}, usageReports: map[string]string{}, fenceHolders: map[string]string{}}
	p := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.Method == http.MethodPost {
			s.recordUsageReport(w, r)
			return
		}
		json.NewEncoder(w).Encode(map[string]any{"instances": map[string]any{"z": s.instances}, "nextPageToken": nil})
	}))
	t.Cleanup(p.Close)
	s.platform = strings.TrimPrefix(p.URL, "http://")
	return s
}

func (s *testCluster) ip(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

func (s *testCluster) settings(i int, bootstrap bool) *settings.Settings {
	dir := filepath.Join(s.dir, fmt.Sprint(i))
	os.MkdirAll(dir, 0o755)
	address := func(portOffset int) string { return fmt.Sprintf("%s:%d", s.ip(i), s.port+portOffset) }
	raw, _ := json.Marshal(map[string]any{
		"nodeName": fmt.Sprint("machine-", i), "ipAddress": s.ip(i), "zone": "z",
		"listenAddresses": map[string]string{"frontend": address(0), "readiness": address(1), "controlPlane": address(2), "directory": address(10)},
		"internalPorts":   []int{s.port + 3, s.port + 9},
		"seedNodes":       []string{fmt.Sprintf("%s:%d", s.ip(0), s.port+2), fmt.Sprintf("%s:%d", s.ip(1), s.port+2), fmt.Sprintf("%s:%d", s.ip(2), s.port+2)},
		"bootstrap":       bootstrap, "quorumMember": true, "dataDirectory": dir,
		"bounds": map[string]any{"drain": "2500ms", "grace": "6s", "configApply": "2500ms", "retryBudgetRatio": 0.2, "retryWindow": "10s",
			"retryBudgetSlack": 62, "quotaWindow": "5s", "quotaSlack": 20,
			"fencingEnforced": true, "lease": "1s", "thawSlack": "300ms", "usageWindow": "500ms", "usageDelay": "2s"},
		"cloudApi": map[string]any{"address": s.platform, "ratePerS": 44, "maxLag": "800ms", "duties": []string{"usage_report"}, "dutiesPerS": 50},
	})
	path := filepath.Join(dir, "boot.json")
	os.WriteFile(path, raw, 0o644)
	set, err := settings.Load(path, "frontend", "readiness", "controlPlane")
	if err != nil {
		s.t.Fatal(err)
	}
	return set
}

type daemon interface{ Add(*run.Group) error }

func (s *testCluster) launch(name string, d daemon) {
	var g run.Group
	if err := d.Add(&g); err != nil {
		s.t.Fatal(err)
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	g.Add(func() error { <-stop; return nil }, func(error) {})
	go func() { g.Run(); close(ended) }()
	var once sync.Once
	s.stopFuncs[name] = func() { once.Do(func() { close(stop) }); <-ended }
	s.t.Cleanup(s.stopFuncs[name])
}

func (s *testCluster) start(i int, bootstrap bool) {
	set := s.settings(i, bootstrap)
	control, err := controlplane.NewDaemon(set, eventlog.New(zerolog.Nop()))
	if err != nil {
		s.t.Fatal(err)
	}
	s.launch(fmt.Sprint("control", i), control)
	s.launch(fmt.Sprint("proxy", i), proxy.NewDaemon(set, filepath.Join(s.dir, fmt.Sprint(i), "boot.json"), eventlog.New(zerolog.Nop())))
}

// eventually calls f every 100 ms until it succeeds, and fails the test after 150 attempts.
func (s *testCluster) eventually(what string, f func() error) {
	s.t.Helper()
	var err error
	for range 150 {
		if err = f(); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Fatalf("%s: %v", what, err)
}

func (s *testCluster) call(i int, name, body string) (int, string, error) {
	resp, err := http.Post(fmt.Sprintf("http://%s:%d/api/rpc?call=%s", s.ip(i), s.port+2, name), "application/json", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

func (s *testCluster) get(i int, path string) (int, string, error) {
	r, _ := http.NewRequest("GET", fmt.Sprintf("http://%s:%d%s", s.ip(i), s.port, path), nil)
	r.Host = "h.example"
	r.Header.Set("X-Slateridge-Attempt-Id", "id-7")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

func configDocument(version int, prefix string) string {
	return fmt.Sprintf(`{"configVersion":"r%d","resourceList":[{"resourceKind":"services","metadata":{"name":"svc"},"spec":{"maxConnections":50}},
{"resourceKind":"routes","metadata":{"name":"r"},"spec":{"host":"h.example","pathPrefix":"%s","routeType":"idempotent","timeout":"2s","targetLatency":"500ms","priority":1,"targetService":"svc","maxAttempts":2}}]}`, version, prefix)
}

// TestWholePath runs a whole cluster: a configuration sent to any control machine is served by
// every proxy, also after the machine of the chain's head was lost with its disk and replaced.
// It also covers the directory, evacuations, usage reports, the status command and metrics.
func TestWholePath(t *testing.T) {
	s := newTestCluster(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Slateridge-Attempt-Id", r.Header.Get("X-Slateridge-Attempt-Id"))
		w.Header().Set("X-Slateridge-Response-Seal", "s")
		io.WriteString(w, "hello "+r.Header.Get("X-Slateridge-Expected-Instance"))
	}))
	defer upstream.Close()
	s.instances = []map[string]any{{"instanceId": "i-1", "targetService": "svc", "address": strings.TrimPrefix(upstream.URL, "http://"), "zone": "z",
		"capacitySlots": 2, "state": "ready", "warmupLeft": "0ms"}}
	for i := range 3 {
		s.start(i, true)
	}
	replace := func(i, version int, prefix string) {
		t.Helper()
		s.eventually("configuration", func() error {
			code, b, err := s.call(i, "configuration.replace", configDocument(version, prefix))
			if err != nil || code != 200 {
				return fmt.Errorf("%d %s %v", code, b, err)
			}
			return nil
		})
	}
	served := func(path string, want int, machines ...int) {
		t.Helper()
		for _, i := range machines {
			s.eventually("request at "+s.ip(i), func() error {
				code, b, err := s.get(i, path)
				if err != nil || code != want || want == 200 && b != "hello i-1" {
					return fmt.Errorf("%d %q %v", code, b, err)
				}
				return nil
			})
		}
	}
	replace(1, 3, "/a/")
	served("/a/x", 200, 0, 1, 2)
	for i, c := range []struct {
		call, body string
		code       int
	}{{"configuration.replace", `{"configVersion":"r9"`, 400}, {"configuration.replace", configDocument(2, "/old/"), 200},
		{"configuration.replace", strings.Replace(configDocument(9, "/b/"), `"targetService":"svc"`, `"targetService":"nobody"`, 1), 400}, {"configuration.undo", "", 404}} {
		if code, b, err := s.call(i%3, c.call, c.body); code != c.code {
			t.Errorf("%s: got %d %s %v, want %d", c.call, code, b, err, c.code)
		}
	}
	// The machine of the chain's head is lost with its disk; the others stay available.
	s.stopFuncs["control0"]()
	s.stopFuncs["proxy0"]()
	replace(2, 5, "/b/")
	served("/b/x", 200, 1, 2)
	served("/a/x", 404, 1, 2)
	os.RemoveAll(filepath.Join(s.dir, "0"))
	s.start(0, false)
	served("/b/x", 200, 0)
	s.eventually("machine rejoins the chain", func() error {
		b, err := fetchStatus(http.DefaultClient, fmt.Sprintf("%s:%d", s.ip(0), s.port+3+1))
		var r controlplane.Report
		if err == nil {
			err = json.Unmarshal(b, &r)
		}
		if err != nil || len(r.Chain.View.Members) != 3 || r.Chain.Version != 5 {
			return fmt.Errorf("%+v %v", r.Chain, err)
		}
		return nil
	})
	replace(0, 6, "/c/")
	s.eventually("configuration.describe", func() error {
		if code, b, err := s.call(0, "configuration.describe", ""); code != 200 || b != configDocument(6, "/c/") {
			return fmt.Errorf("%d %s %v", code, b, err)
		}
		return nil
	})
	// The directory lists all three proxies; invalid requests get a 4xx status.
	lookup := func(i int, path string) (int, string) {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", s.ip(i), s.port+10, path))
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b)
	}
	for i := range 3 {
		s.eventually("look-up", func() error {
			code, b := lookup(i, "/api/lookup?name=h.example&zone=z&region=")
			if code != 200 || strings.Count(b, "127.0.0.1") != 3 || !strings.Contains(b, `"ttl":"`) {
				return fmt.Errorf("%d %s", code, b)
			}
			return nil
		})
	}
	for path, want := range map[string]int{"/api/lookup": 400, "/api/lookup?name=%zz": 400, "/else": 404, "/api/lookup?name=h.example&zone=nowhere": 200} {
		if code, b := lookup(0, path); code != want {
			t.Errorf("%s: got %d %s, want %d", path, code, b, want)
		}
	}
	// A zone is evacuated through one control machine and restored through another.
	for _, c := range []struct {
		call string
		want int
	}{{"evacuations.start", 400}, {"evacuations.start&of=nowhere", 400}, {"evacuations.start&of=z", 200}, {"evacuations.start&of=z", 200}} {
		s.eventually(c.call, func() error {
			if code, b, err := s.call(1, c.call, ""); code != c.want {
				return fmt.Errorf("got %d %s %v, want %d", code, b, err, c.want)
			}
			return nil
		})
	}
	served("/c/x", 503, 0, 1, 2)
	s.eventually("evacuations.stop", func() error {
		if code, b, err := s.call(2, "evacuations.stop&of=z", ""); code != 200 {
			return fmt.Errorf("%d %s %v", code, b, err)
		}
		return nil
	})
	served("/c/x", 200, 0, 1, 2)
	// Usage reports continue after the loss of the first machine. All reports of a window are
	// equal, and each fencing token has one holder.
	reported := func() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.usageReports) }
	before := reported()
	s.eventually("usage reports", func() error {
		if n := reported(); before == 0 || n < before+3 {
			return fmt.Errorf("%d, then %d", before, n)
		}
		return nil
	})
	s.mu.Lock()
	if len(s.violations) > 0 {
		t.Error(s.violations)
	}
	s.mu.Unlock()
	for _, portOffset := range []int{4, 5} {
		if err := (statusCmd{Address: []string{fmt.Sprintf("%s:%d", s.ip(0), s.port+portOffset)}, Timeout: 2000}).Run(); err != nil {
			t.Errorf("status: %v", err)
		}
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", s.ip(0), s.port+portOffset))
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if !strings.Contains(string(b), "slateridge_config_version 6\n") {
			t.Errorf("the metrics do not contain the configuration version:\n%s", b)
		}
	}
}
