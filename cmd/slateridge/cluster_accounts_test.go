package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"slateridge/internal/accounts"
	"slateridge/internal/controlplane"
	"slateridge/internal/eventlog"
	"slateridge/internal/proxy"
)

// accountsCluster is a testCluster whose tenants have objectives.
type accountsCluster struct {
	*testCluster
	proxies []*proxy.Daemon
	client  *http.Client
}

func newAccountsCluster(t *testing.T) *accountsCluster {
	s := &accountsCluster{testCluster: newTestCluster(t), client: &http.Client{Timeout: 2 * time.Second}}
	path := filepath.Join(s.dir, "objectives.json")
	content := `{"version":1,"shards":2,"classes":{"all":{"target":0.99,"latency":"300ms","window":"720h"}},"defaultClass":"all"}`
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(accounts.EnvFile, path)
	objectives, err := accounts.LoadObjectives(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		settings := s.settings(i, true)
		control, err := controlplane.NewDaemon(settings, eventlog.New(zerolog.Nop()))
		if err != nil {
			t.Fatal(err)
		}
		s.launch(fmt.Sprint("control", i), control)
		proxy := proxy.NewDaemon(settings, filepath.Join(s.dir, fmt.Sprint(i), "boot.json"), eventlog.New(zerolog.Nop()))
		proxy.EnableAccounting(objectives)
		s.launch(fmt.Sprint("proxy", i), proxy)
		s.proxies = append(s.proxies, proxy)
	}
	return s
}

// request sends a request with a tenant's API key to a proxy and returns the status code.
func (s *accountsCluster) request(proxy int, key, path string) (int, error) {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", s.ip(proxy), s.port, path), nil)
	if err != nil {
		return 0, err
	}
	request.Host = "h.example"
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Slateridge-Attempt-Id", fmt.Sprint("id-", time.Now().UnixNano()))
	response, err := s.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

func (s *accountsCluster) adminAddresses() (out []string) {
	for i := range 3 {
		out = append(out, fmt.Sprintf("%s:%d", s.ip(i), s.port+3+1))
	}
	return out
}

// pathControlledUpstream responds after a delay, or with status 400 or 500, as the path requests.
func pathControlledUpstream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Slateridge-Attempt-Id", r.Header.Get("X-Slateridge-Attempt-Id"))
	w.Header().Set("X-Slateridge-Response-Seal", "s")
	switch {
	case strings.Contains(r.URL.Path, "late"):
		time.Sleep(400 * time.Millisecond)
	case strings.Contains(r.URL.Path, "wrong"):
		w.WriteHeader(http.StatusBadRequest)
	case strings.Contains(r.URL.Path, "broken"):
		w.WriteHeader(http.StatusInternalServerError)
	}
	io.WriteString(w, "hello")
}

// TestAccountsEndToEnd sends requests of two tenants through three proxies. It checks one
// tenant's account in the snapshots of the control machines, the status command, and the
// number of requests in the metrics.
func TestAccountsEndToEnd(t *testing.T) {
	s := newAccountsCluster(t)
	upstream := httptest.NewServer(http.HandlerFunc(pathControlledUpstream))
	defer upstream.Close()
	s.mu.Lock()
	s.instances = []map[string]any{{"instanceId": "i-1", "targetService": "svc", "address": strings.TrimPrefix(upstream.URL, "http://"), "zone": "z",
		"capacitySlots": 8, "state": "ready", "warmupLeft": "0ms"}}
	s.mu.Unlock()
	tenants := `,{"resourceKind":"tenants","metadata":{"name":"acme"},"spec":{"apiKeys":["key-acme"]}},{"resourceKind":"tenants","metadata":{"name":"other"},"spec":{"apiKeys":["key-other"]}}]}`
	document := strings.TrimSuffix(configDocument(3, "/a/"), "]}") + tenants
	s.eventually("configuration", func() error {
		code, body, err := s.call(1, "configuration.replace", document)
		if err != nil || code != http.StatusOK {
			return fmt.Errorf("%d %s %v", code, body, err)
		}
		return nil
	})
	for i := range 3 {
		s.eventually("request through the proxy", func() error {
			code, err := s.request(i, "key-other", "/a/x")
			if err != nil || code != http.StatusOK {
				return fmt.Errorf("%d %v", code, err)
			}
			return nil
		})
	}
	for i, path := range []string{"/a/x", "/a/late", "/a/wrong", "/a/broken", "/a/x", "/a/late"} {
		if _, err := s.request(i%3, "key-acme", path); err != nil {
			t.Fatal(err)
		}
	}
	s.eventually("account of the tenant", func() error {
		for _, proxy := range s.proxies {
			proxy.FlushAccounts()
		}
		snapshot, err := collectAccounts(s.client, s.adminAddresses(), "")
		if err != nil {
			return err
		}
		standing, _ := snapshot.Standing("acme")
		got := fmt.Sprint(standing.Account.Taken, standing.Account.Settled)
		if want := "6 [2 2 1 1 0]"; got != want || len(snapshot.MissingShards()) > 0 {
			return fmt.Errorf("got account %s, want %s; shards without a holder: %v", got, want, snapshot.MissingShards())
		}
		return nil
	})
	if err := (statusCmd{Address: s.adminAddresses(), Tenant: "acme", Timeout: 2000}).Run(); err != nil {
		t.Error(err)
	}
	taken := 0
	for _, admin := range s.adminAddresses() {
		response, err := http.Get("http://" + admin + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		for line := range strings.Lines(string(text)) {
			var n int
			if _, err := fmt.Sscanf(line, "slateridge_accounts_taken_total %d", &n); err == nil {
				taken += n
			}
		}
	}
	if taken < 9 {
		t.Errorf("%d requests in the metrics, want at least 9", taken)
	}
}
