package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/constants"
)

// accountObjectives are the objectives of a trial with --accounts, otherwise nil.
var accountObjectives *accounts.Objectives

// enableAccounts makes the processes of a trial keep accounts if --accounts is set.
func enableAccounts(directory string) error {
	if !cli.Accounts {
		return nil
	}
	path := filepath.Join(directory, "objectives.json")
	content := `{"version":1,"defaultClass":"all","classes":{"all":{"target":0.99,"latency":"250ms","window":"720h"}}}`
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		return err
	}
	if err := os.Setenv(accounts.EnvFile, path); err != nil {
		return err
	}
	var err error
	accountObjectives, err = accounts.LoadObjectives(path)
	return err
}

// waitForAccounts waits until the accounts of all tenants contain all admitted requests, and
// prints how long that took.
func waitForAccounts(sent uint64) error {
	if !cli.Accounts {
		return nil
	}
	var accounted uint64
	waited, err := waitFor("accounts whole", func() bool {
		time.Sleep(250 * time.Millisecond)
		accounted = accountedRequests()
		return accounted >= sent
	})
	fmt.Printf("  accounts: %d requests in them, %d were made\n", accounted, sent)
	if err != nil {
		return err
	}
	fmt.Printf("  accounts whole everywhere %v after the last request\n", waited.Round(100*time.Millisecond))
	return nil
}

// accountedRequests returns the number of requests in all accounts, merged from the snapshots of
// the control processes that respond.
func accountedRequests() uint64 {
	var parts []accounts.Snapshot
	for i := range cli.Control {
		address := net.JoinHostPort(controlIP(i), strconv.Itoa(portInternal+constants.PortControlAdmin))
		if part, err := fetchAccountSnapshot(address); err == nil {
			parts = append(parts, part)
		}
	}
	accounted := uint64(0)
	for _, standing := range accounts.MergeSnapshots(parts).Standings {
		accounted += standing.Account.Taken
	}
	return accounted
}

func fetchAccountSnapshot(address string) (accounts.Snapshot, error) {
	var snapshot accounts.Snapshot
	response, err := http.Get("http://" + address + "/accounts")
	if err != nil {
		return snapshot, err
	}
	defer response.Body.Close()
	return snapshot, json.NewDecoder(response.Body).Decode(&snapshot)
}
