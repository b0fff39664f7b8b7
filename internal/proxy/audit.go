package proxy

import (
	"sync"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/config"
	"slateridge/internal/constants"
)

// AuditEntry records the change of one quota by a configuration version.
type AuditEntry struct {
	Version  uint64
	Key      string
	Old, New admission.Quota
	When     time.Time
}

// auditLog keeps the most recent quota changes.
type auditLog struct {
	mu      sync.Mutex
	entries []AuditEntry
}

// record adds an entry for every quota that differs between two configurations. The old one
// is nil when the first configuration is applied.
func (a *auditLog) record(old, new *config.Config) {
	before := map[string]admission.Quota{}
	if old != nil {
		before = admission.Quotas(old)
	}
	after := admission.Quotas(new)
	a.mu.Lock()
	defer a.mu.Unlock()
	recordChange := func(key string) {
		if before[key] != after[key] {
			a.entries = append(a.entries, AuditEntry{new.Version, key, before[key], after[key], time.Now()})
		}
	}
	for key := range after {
		recordChange(key)
	}
	for key := range before {
		if _, ok := after[key]; !ok {
			recordChange(key)
		}
	}
	if n := len(a.entries) - constants.EventLogCapacity; n > 0 {
		a.entries = append([]AuditEntry(nil), a.entries[n:]...)
	}
}

// list returns a copy of the entries, oldest first.
func (a *auditLog) list() []AuditEntry {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]AuditEntry(nil), a.entries...)
}
