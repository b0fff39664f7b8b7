package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"slateridge/internal/accounts"
)

// accountsServer starts a server whose snapshots hold the accounts of one tenant if leading is
// set. The number of requests in them grows with each query.
func accountsServer(t *testing.T, leading bool) string {
	t.Helper()
	requests := uint64(0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tenant := r.URL.Query().Get("tenant")
		if tenant == "unknown" {
			http.Error(w, "no", http.StatusNotFound)
			return
		}
		requests++
		snapshot := accounts.Snapshot{At: time.Unix(int64(requests), 0), Shards: []accounts.ShardState{{Shard: 0, Leading: leading}}}
		if leading {
			account := accounts.Account{Taken: 10 * requests}
			account.Settled[accounts.OnTime] = 10 * requests
			snapshot.Standings = []accounts.Standing{{Tenant: "acme", Account: account, Objective: accounts.Objective{Target: 0.99, Latency: time.Second, Window: time.Hour}}}
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(snapshot)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestAccountsCommand collects accounts from a leader, a follower and an unreachable machine,
// and prints them in each format.
func TestAccountsCommand(t *testing.T) {
	leader, follower := accountsServer(t, true), accountsServer(t, false)
	client := &http.Client{Timeout: time.Second}
	addresses := []string{"127.0.0.1:1", follower, leader}
	snapshot, err := collectAccounts(client, addresses, "")
	if err != nil || len(snapshot.Standings) != 1 || len(snapshot.MissingShards()) != 0 {
		t.Fatalf("%+v, %v", snapshot, err)
	}
	for want, format := range map[string]accountsCmd{"acme    10": {}, `"Tenant":"acme"`: {JSON: true}, "acme,10,10,": {CSV: true}} {
		var out bytes.Buffer
		if err := format.print(&out, snapshot); err != nil || !strings.Contains(out.String(), want) {
			t.Errorf("%+v: %s, %v", format, out.String(), err)
		}
	}
	var out bytes.Buffer
	if err := showTenant(&out, client, addresses, "acme"); err != nil || !strings.Contains(out.String(), "20 taken") {
		t.Errorf("%s, %v", out.String(), err)
	}
	for _, bad := range []struct {
		addresses []string
		tenant    string
	}{{[]string{follower}, "acme"}, {[]string{leader}, "unknown"}, {[]string{"127.0.0.1:1"}, ""}, {[]string{"nowhere"}, ""}} {
		if err := showTenant(&out, client, bad.addresses, bad.tenant); err == nil {
			t.Errorf("%+v: no error", bad)
		}
	}
}

// TestAccountsHTMLReport writes a page from a saved and a new snapshot, and checks that unusable
// flags and inputs are refused.
func TestAccountsHTMLReport(t *testing.T) {
	leader := accountsServer(t, true)
	client := &http.Client{Timeout: time.Second}
	first, err := collectAccounts(client, []string{leader}, "")
	if err != nil {
		t.Fatal(err)
	}
	saved, page := filepath.Join(t.TempDir(), "first.json"), filepath.Join(t.TempDir(), "page.html")
	raw, _ := json.Marshal(first)
	if err := os.WriteFile(saved, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := (accountsCmd{Address: []string{leader}, HTML: page, From: []string{saved}, Timeout: 1000}).Run(); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(page)
	if err != nil || !bytes.Contains(written, []byte("<svg")) {
		t.Errorf("%d bytes, %v", len(written), err)
	}
	for _, bad := range []accountsCmd{{JSON: true, CSV: true}, {Watch: time.Second}, {HTML: page, From: []string{page}}, {HTML: page, Address: []string{leader}, Timeout: 1000}} {
		if bad.Run() == nil {
			t.Errorf("%+v: no error", bad)
		}
	}
}
