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

// newTestDaemon is a proxy whose settings lie in a file, with a frontend of its own.
func newTestDaemon(t *testing.T, ups ...discovery.Instance) (d *Daemon, front string) {
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
	set, err := settings.Load(path, "frontend", "readiness")
	if err != nil {
		t.Fatal(err)
	}
	d = NewDaemon(set, path, eventlog.New(zerolog.Nop()))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.frontend = newFrontend(l, d.Proxy, func() config.Limits { return d.config.Load().Limits }, time.Second)
	t.Cleanup(d.frontend.close)
	d.applyConfig(fmt.Sprintf(testConfig, 1), 1, ups)
	go d.frontend.serve()
	return d, l.Addr().String()
}

// applyConfig puts a configuration and a list in force as control's news does.
func (d *Daemon) applyConfig(cfg string, version uint64, ups []discovery.Instance) {
	d.apply(distribution.Changes{Config: &config.Doc{Raw: []byte(cfg), Version: version}, List: &discovery.List{Instances: ups}, Proxies: 1})
}

// sendRequest sends a request over a connection of its own and gives the whole answer.
func sendRequest(front, method, path string) (status int, body string, err error) {
	r, err := http.NewRequest(method, "http://"+front+path, nil)
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
	whole, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(whole), err
}

// Requests under way end whole though the settings are read again, and configurations
// come that change the clients' bounds, the time-outs and the list of upstreams.
func TestChangesCutNothingUnderWay(t *testing.T) {
	begun, release := make(chan struct{}, 8), make(chan struct{})
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
		begun <- struct{}{}
		<-release
		return ok(r, strings.Repeat("x", 300000)), false // longer than what is held
	})
	others := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "other"), false })
	d, front := newTestDaemon(t, u.instance("i-1"))
	type answer struct {
		status int
		length int
		err    error
	}
	answers := make(chan answer, 2)
	for range 2 {
		go func() {
			status, body, err := sendRequest(front, "POST", "/once/")
			answers <- answer{status, len(body), err}
		}()
		<-begun
	}
	d.Reload()
	draining := u.instance("i-1")
	draining.Draining = true
	changed := strings.NewReplacer(`"idleTimeout":"15000ms"`, `"idleTimeout":"900ms"`, `"headerTimeout":"3000ms"`, `"headerTimeout":"1000ms"`, `"timeout":"2s"`, `"timeout":"1s"`).Replace(testConfig)
	d.applyConfig(fmt.Sprintf(changed, 2), 2, []discovery.Instance{draining, others.instance("i-2")})
	if status, body, err := sendRequest(front, "POST", "/once/"); status != http.StatusOK || body != "other" || err != nil {
		t.Errorf("a new request after the changes: %d %q %v", status, body, err)
	}
	d.applyConfig(fmt.Sprintf(testConfig, 3), 3, []discovery.Instance{others.instance("i-2")})
	d.Reload()
	d.frontend.closeIdle(time.Now().Add(time.Hour))
	close(release)
	for range 2 {
		if a := <-answers; a.status != http.StatusOK || a.length != 300000 || a.err != nil {
			t.Errorf("a request under way: %+v", a)
		}
	}
}

// An upstream that falls silent before or inside its answer is waited for as long as the
// request has time.
func TestSilentUpstreamIsWaitedFor(t *testing.T) {
	for name, size := range map[string]int{"short": 4000, "longer than what is held": 600000} {
		for _, before := range []int{0, 200, size / 2} {
			t.Run(fmt.Sprint(name, " after ", before), func(t *testing.T) {
				l := upstream(t, func(c net.Conn, r *http.Request, _ string) bool {
					whole := ok(r, strings.Repeat("x", size))
					io.WriteString(c, whole[:before])
					time.Sleep(1200 * time.Millisecond)
					io.WriteString(c, whole[before:])
					return true
				})
				_, front := newTestDaemon(t, discovery.Instance{ID: "i-1", Service: "svc", Address: l.Addr().String(), Zone: "z", Slots: 2})
				if status, body, err := sendRequest(front, "POST", "/once/"); status != http.StatusOK || len(body) != size || err != nil {
					t.Errorf("%d, %d bytes of %d, %v", status, len(body), size, err)
				}
			})
		}
	}
}

// Routes that later configurations add are served as the first ones are.
func TestRoutesAddedLaterAreServed(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return ok(r, "x"), false })
	d, front := newTestDaemon(t, u.instance("i-1"))
	const added = `{"resourceKind":"routes","metadata":{"name":"added-%d"},"spec":{"host":"h.example","pathPrefix":"/added-%d/","routeType":"non_idempotent","timeout":"2s","targetLatency":"400ms","priority":1,"targetService":"svc","maxAttempts":3}},
{"resourceKind":"services"`
	config := testConfig
	for version := uint64(2); version <= 6; version++ {
		config = strings.Replace(config, `{"resourceKind":"services"`, fmt.Sprintf(added, version, version), 1)
		d.applyConfig(fmt.Sprintf(config, version), version, []discovery.Instance{u.instance("i-1")})
		for v := uint64(2); v <= version; v++ {
			for range 5 {
				if status, _, err := sendRequest(front, "POST", fmt.Sprintf("/added-%d/x", v)); status != http.StatusOK || err != nil {
					t.Fatalf("version %d, route of version %d: %d %v", version, v, status, err)
				}
			}
		}
		if status, _, err := sendRequest(front, "POST", "/once/"); status != http.StatusOK || err != nil {
			t.Errorf("version %d, a first route: %d %v", version, status, err)
		}
	}
}
