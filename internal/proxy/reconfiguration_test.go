package proxy

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"slateridge/internal/config"
	"slateridge/internal/discovery"
	"slateridge/internal/distribution"
	"slateridge/internal/eventlog"
	"slateridge/internal/settings"
)

// newTestDaemon returns a proxy daemon that reads its settings from a file, and the address of
// its frontend.
func newTestDaemon(t *testing.T, instances ...discovery.Instance) (d *Daemon, frontAddress string) {
	path := filepath.Join(t.TempDir(), "boot.json")
	raw, _ := json.Marshal(map[string]any{
		"nodeName": "machine-1", "ipAddress": "127.0.0.61", "zone": "z",
		"listenAddresses": map[string]string{"frontend": "127.0.0.61:39280", "readiness": "127.0.0.61:39281"},
		"internalPorts":   []int{39282, 39289}, "seedNodes": []string{"127.0.0.62:39291"},
		"bounds":   map[string]any{"drain": "2500ms", "grace": "6s", "configApply": "2500ms", "retryBudgetRatio": 0.2, "retryWindow": "10s", "retryBudgetSlack": 62, "quotaWindow": "5s", "quotaSlack": 20},
		"cloudApi": map[string]any{"address": "127.0.0.61:39290", "ratePerS": 44, "maxLag": "800ms"},
	})
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		t.Fatal(err)
	}
	nodeSettings, err := settings.Load(path, "frontend", "readiness")
	if err != nil {
		t.Fatal(err)
	}
	d = NewDaemon(nodeSettings, path, eventlog.New(zerolog.Nop()))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.frontend = newFrontend(l, d.Proxy, func() config.Limits { return d.config.Load().Limits }, time.Second)
	t.Cleanup(d.frontend.close)
	d.applyConfig(fmt.Sprintf(testConfig, 1), 1, instances)
	go d.frontend.serve()
	return d, l.Addr().String()
}

// applyConfig applies a configuration and an instance list, as if received from the control plane.
func (d *Daemon) applyConfig(cfg string, version uint64, instances []discovery.Instance) {
	d.apply(distribution.Changes{Config: &config.Doc{Raw: []byte(cfg), Version: version}, List: &discovery.List{Instances: instances}, Proxies: 1})
}

// fetchResponse sends a request over a new connection and returns the complete response.
func fetchResponse(frontAddress, method, path string) (status int, body string, err error) {
	r, err := http.NewRequest(method, "http://"+frontAddress+path, nil)
	if err != nil {
		return 0, "", err
	}
	r.Host = "h.example"
	r.Header.Set(headerAttemptID, "id-1")
	r.Header.Set(headerBudget, "4000")
	r.Header.Set(headerAPIKey, "k1")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Requests in flight must complete although the settings are reloaded and new configurations
// change the client limits, the timeouts and the list of upstreams.
func TestChangesDoNotInterruptRequestsInFlight(t *testing.T) {
	started, release := make(chan struct{}, 8), make(chan struct{})
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
		started <- struct{}{}
		<-release
		return okResponse(r, strings.Repeat("x", 300000)), false // longer than the response buffer
	})
	replacement := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "other"), false })
	d, frontAddress := newTestDaemon(t, u.instance("i-1"))
	type response struct {
		status int
		length int
		err    error
	}
	responses := make(chan response, 2)
	for range 2 {
		go func() {
			status, body, err := fetchResponse(frontAddress, "POST", "/once/")
			responses <- response{status, len(body), err}
		}()
		<-started
	}
	d.Reload()
	draining := u.instance("i-1")
	draining.Draining = true
	changed := strings.NewReplacer(`"idleTimeout":"15000ms"`, `"idleTimeout":"900ms"`, `"headerTimeout":"3000ms"`, `"headerTimeout":"1000ms"`, `"timeout":"2s"`, `"timeout":"1s"`).Replace(testConfig)
	d.applyConfig(fmt.Sprintf(changed, 2), 2, []discovery.Instance{draining, replacement.instance("i-2")})
	if status, body, err := fetchResponse(frontAddress, "POST", "/once/"); status != http.StatusOK || body != "other" || err != nil {
		t.Errorf("new request after the changes: %d %q %v", status, body, err)
	}
	d.applyConfig(fmt.Sprintf(testConfig, 3), 3, []discovery.Instance{replacement.instance("i-2")})
	d.Reload()
	d.frontend.closeIdle(time.Now().Add(time.Hour))
	close(release)
	for range 2 {
		if r := <-responses; r.status != http.StatusOK || r.length != 300000 || r.err != nil {
			t.Errorf("request in flight: %+v", r)
		}
	}
}

// An upstream that stalls before or during its response is waited for until the request's
// deadline.
func TestStalledUpstreamIsAwaited(t *testing.T) {
	for name, size := range map[string]int{"short": 4000, "longer than the response buffer": 600000} {
		for _, before := range []int{0, 200, size / 2} {
			t.Run(fmt.Sprint(name, " after ", before), func(t *testing.T) {
				l := serveRequests(t, func(c net.Conn, r *http.Request, _ string) bool {
					response := okResponse(r, strings.Repeat("x", size))
					io.WriteString(c, response[:before])
					time.Sleep(1200 * time.Millisecond)
					io.WriteString(c, response[before:])
					return true
				})
				_, frontAddress := newTestDaemon(t, discovery.Instance{ID: "i-1", Service: "svc", Address: l.Addr().String(), Zone: "z", Slots: 2})
				if status, body, err := fetchResponse(frontAddress, "POST", "/once/"); status != http.StatusOK || len(body) != size || err != nil {
					t.Errorf("status %d, %d of %d body bytes, error %v", status, len(body), size, err)
				}
			})
		}
	}
}

// Routes that a later configuration adds are served like those of the first one.
func TestRoutesAddedLaterAreServed(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
	d, frontAddress := newTestDaemon(t, u.instance("i-1"))
	const added = `{"resourceKind":"routes","metadata":{"name":"added-%d"},"spec":{"host":"h.example","pathPrefix":"/added-%d/","routeType":"non_idempotent","timeout":"2s","targetLatency":"400ms","priority":1,"targetService":"svc","maxAttempts":3}},
{"resourceKind":"services"`
	config := testConfig
	for version := uint64(2); version <= 6; version++ {
		config = strings.Replace(config, `{"resourceKind":"services"`, fmt.Sprintf(added, version, version), 1)
		d.applyConfig(fmt.Sprintf(config, version), version, []discovery.Instance{u.instance("i-1")})
		for v := uint64(2); v <= version; v++ {
			for range 5 {
				if status, _, err := fetchResponse(frontAddress, "POST", fmt.Sprintf("/added-%d/x", v)); status != http.StatusOK || err != nil {
					t.Fatalf("version %d, route of version %d: %d %v", version, v, status, err)
				}
			}
		}
		if status, _, err := fetchResponse(frontAddress, "POST", "/once/"); status != http.StatusOK || err != nil {
			t.Errorf("version %d, route of the first version: %d %v", version, status, err)
		}
	}
}
