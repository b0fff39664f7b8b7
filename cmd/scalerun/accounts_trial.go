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

// accountObjectives are those of a trial with accounts; nil in one without.
var accountObjectives *accounts.Objectives

// enableAccounts has the processes of a trial keep accounts, if the command line says so.
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

// waitForAccounts waits until the accounts of all tenants have as many requests as were
// made, and prints how long that took.
func waitForAccounts(made uint64) error {
	if !cli.Accounts {
		return nil
	}
	var taken uint64
	took, err := waitFor("accounts whole", func() bool {
		time.Sleep(250 * time.Millisecond)
		taken = accountsTaken()
		return taken >= made
	})
	fmt.Printf("  accounts: %d requests in them, %d were made\n", taken, made)
	if err != nil {
		return err
	}
	fmt.Printf("  accounts whole everywhere %v after the last request\n", took.Round(100*time.Millisecond))
	return nil
}

// accountsTaken is the number of requests in all accounts, as the control processes say.
func accountsTaken() uint64 {
	var parts []accounts.Snapshot
	for i := range cli.Control {
		address := net.JoinHostPort(controlIP(i), strconv.Itoa(portInternal+constants.PortControlAdmin))
		if part, err := fetchAccountSnapshot(address); err == nil {
			parts = append(parts, part)
		}
	}
	taken := uint64(0)
	for _, standing := range accounts.MergeSnapshots(parts).Standings {
		taken += standing.Account.Taken
	}
	return taken
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
