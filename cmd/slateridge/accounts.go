package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"slateridge/internal/accountreport"
	"slateridge/internal/accounts"
)

// maxSnapshotBytes bounds the response of one machine, with room for 200,000 tenants of 1 KB each.
const maxSnapshotBytes = 256 << 20

// errTenantTotalMissing is returned if no machine that responded holds the tenant's shard.
var errTenantTotalMissing = errors.New("no machine that responded holds the tenant's total: query the other control machines, or retry in a few seconds")

type accountsCmd struct {
	Address []string      `arg:"" help:"Admin addresses (HOST:PORT) of control machines; give all of them for a complete table."`
	JSON    bool          `help:"Print a snapshot as JSON; --from makes a report from saved snapshots."`
	CSV     bool          `help:"Print one CSV record per tenant."`
	HTML    string        `help:"Write an HTML page with plots of burn rate and latency to this file, from the snapshots of --from and --watch." placeholder:"FILE"`
	From    []string      `help:"Snapshots saved earlier with --json." placeholder:"FILE"`
	Watch   time.Duration `help:"With --html: time during which snapshots are taken."`
	Every   time.Duration `default:"30s" help:"With --watch: interval between snapshots."`
	Timeout int           `default:"5000" help:"Milliseconds to wait for each machine."`
}

// Run prints the accounts of all tenants, or writes an HTML report about several snapshots.
func (c accountsCmd) Run() error {
	if c.JSON && c.CSV {
		return usageError{errors.New("--json and --csv are mutually exclusive")}
	}
	if c.HTML == "" && (len(c.From) > 0 || c.Watch > 0) {
		return usageError{errors.New("--from and --watch require --html")}
	}
	client := &http.Client{Timeout: time.Duration(c.Timeout) * time.Millisecond}
	if c.HTML != "" {
		return c.writeHTML(client)
	}
	snapshot, err := collectAccounts(client, c.Address, "")
	if err != nil {
		return err
	}
	return c.print(os.Stdout, snapshot)
}

func (c accountsCmd) print(w io.Writer, snapshot accounts.Snapshot) error {
	switch {
	case c.JSON:
		return json.NewEncoder(w).Encode(snapshot)
	case c.CSV:
		return accountreport.CSV(w, snapshot)
	}
	return accountreport.Table(w, snapshot)
}

func (c accountsCmd) writeHTML(client *http.Client) error {
	var snapshots []accounts.Snapshot
	for _, path := range c.From {
		snapshot, err := readSnapshot(path)
		if err != nil {
			return usageError{err}
		}
		snapshots = append(snapshots, snapshot)
	}
	for end := time.Now().Add(c.Watch); ; time.Sleep(c.Every) {
		snapshot, err := collectAccounts(client, c.Address, "")
		if err != nil {
			return err
		}
		snapshots = append(snapshots, snapshot)
		if !time.Now().Add(c.Every).Before(end) {
			break
		}
	}
	file, err := os.Create(c.HTML)
	if err != nil {
		return usageError{err}
	}
	return errors.Join(accountreport.HTML(file, snapshots), file.Close())
}

func readSnapshot(path string) (accounts.Snapshot, error) {
	var snapshot accounts.Snapshot
	raw, err := os.ReadFile(path)
	if err != nil {
		return snapshot, err
	}
	if err := json.Unmarshal(raw, &snapshot); err != nil {
		return snapshot, fmt.Errorf("%s is not a snapshot: %w", path, err)
	}
	return snapshot, nil
}

// collectAccounts queries control machines and merges their snapshots. Failed queries are
// reported on standard error; it returns an error only if all of them fail.
func collectAccounts(client *http.Client, addresses []string, tenant string) (accounts.Snapshot, error) {
	var parts []accounts.Snapshot
	var failed []string
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return accounts.Snapshot{}, usageError{fmt.Errorf("%q is not HOST:PORT", address)}
		}
		part, err := fetchAccounts(client, address, tenant)
		if err != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", address, err))
			continue
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		return accounts.Snapshot{}, errors.New(strings.Join(failed, "; "))
	}
	for _, failure := range failed {
		fmt.Fprintln(os.Stderr, "slateridge:", failure)
	}
	return accounts.MergeSnapshots(parts), nil
}

func fetchAccounts(client *http.Client, address, tenant string) (accounts.Snapshot, error) {
	var snapshot accounts.Snapshot
	response, err := client.Get("http://" + address + "/accounts?tenant=" + url.QueryEscape(tenant))
	if err != nil {
		return snapshot, errors.New("no daemon responds at this address")
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusNotFound && tenant != "":
		return snapshot, fmt.Errorf("tenant %q has no objective on this machine", tenant)
	case response.StatusCode != http.StatusOK || response.Header.Get("Content-Type") != "application/json":
		return snapshot, errors.New("this address serves no accounts")
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxSnapshotBytes)).Decode(&snapshot); err != nil {
		return snapshot, fmt.Errorf("cannot decode the response: %w", err)
	}
	return snapshot, nil
}

// showTenant prints the account and the error budget of one tenant.
func showTenant(w io.Writer, client *http.Client, addresses []string, tenant string) error {
	snapshot, err := collectAccounts(client, addresses, tenant)
	if err != nil {
		return err
	}
	standing, ok := snapshot.Standing(tenant)
	if !ok {
		return errTenantTotalMissing
	}
	return accountreport.Tenant(w, standing)
}
