package controlplane

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"slateridge/internal/accounts"
	"slateridge/internal/storage"
)

// accountsDirectory is the subdirectory of the data directory that holds this machine's
// replica of the accounts.
const accountsDirectory = "accounts"

// openAccounts opens the accounts store if tenants have objectives, and returns the names of
// the account shards' duties.
func (d *Daemon) openAccounts() ([]string, error) {
	objectives, err := accounts.LoadObjectives(os.Getenv(accounts.EnvFile))
	if err != nil || objectives == nil || d.replica.relay {
		return nil, err
	}
	directory := filepath.Join(d.settings.DataDirectory, accountsDirectory)
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, fmt.Errorf("accounts: %w", err)
	}
	store, isNew, err := storage.Open(directory)
	if err != nil {
		return nil, fmt.Errorf("accounts in %s: %w", directory, err)
	}
	founding := isNew && (d.settings.Bootstrap || objectives.Founding)
	replica := accounts.NewReplica(d.settings.IPAddress, objectives, accounts.DefaultCounterOptions, store, founding, rand.Uint64()|1, d.events.Record)
	d.accounts = accounts.NewService(replica, accounts.ServiceOptions{Node: d.settings.IPAddress, HoldsLease: d.holdsAccountsLease,
		LeaseHolder: d.accountsLeaseHolder, Replicas: d.replica.controlAddresses, Send: d.connections.send, Now: d.now})
	var duties []string
	for shard := range objectives.Shards {
		duties = append(duties, accounts.DutyName(shard))
	}
	return duties, nil
}

// holdsAccountsLease reports whether this machine holds a shard's lease.
func (d *Daemon) holdsAccountsLease(shard int) bool {
	until, _ := d.leases.term(accounts.DutyName(shard))
	return until > d.now()
}

// accountsLeaseHolder returns the machine that holds a shard's lease, according to this
// machine's latest information.
func (d *Daemon) accountsLeaseHolder(shard int) string {
	return d.leases.holder(accounts.DutyName(shard))
}
