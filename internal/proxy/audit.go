package proxy

import (
	"sync"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/config"
	"slateridge/internal/constants"
)

// AuditEntry is one changed limit.
type AuditEntry struct {
	Version  uint64
	Key      string
	Old, New admission.Quota
	When     time.Time
}

// auditLog keeps the trail of changed limits, the latest ones.
type auditLog struct {
	mu      sync.Mutex
	entries []AuditEntry
}

func (a *auditLog) record(old, new *config.Config) {
	was := map[string]admission.Quota{}
	if old != nil {
		was = admission.Quotas(old)
	}
	is := admission.Quotas(new)
	a.mu.Lock()
	defer a.mu.Unlock()
	put := func(k string) {
		if was[k] != is[k] {
			a.entries = append(a.entries, AuditEntry{new.Version, k, was[k], is[k], time.Now()})
		}
	}
	for k := range is {
		put(k)
	}
	for k := range was {
		if _, ok := is[k]; !ok {
			put(k)
		}
	}
	if n := len(a.entries) - constants.JournalEvents; n > 0 {
		a.entries = append([]AuditEntry(nil), a.entries[n:]...)
	}
}

func (a *auditLog) list() []AuditEntry {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]AuditEntry(nil), a.entries...)
}
