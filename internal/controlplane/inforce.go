package controlplane

import (
	"fmt"
	"sync"
	"sync/atomic"

	"slateridge/internal/admission"
	"slateridge/internal/config"
	"slateridge/internal/controlplane/chain"
	"slateridge/internal/eventlog"
)

// pendingLimits are the limits of a version that is not in force yet, as far as is known
// here; they are evaluated until it is.
type pendingLimits struct {
	version uint64
	quotas  map[string]admission.Quota
}

// inForce is the newest committed state known here and the configuration it holds. mu is
// held to compare and replace the state, so that it only moves forward; readers need no
// lock.
type inForce struct {
	events  *eventlog.Log
	quotas  func(map[string]admission.Quota) // takes the limits of a new configuration
	publish func()                           // has the proxies told

	mu      sync.Mutex
	doc     atomic.Pointer[config.Doc]
	config  atomic.Pointer[config.Config]
	pending atomic.Pointer[pendingLimits] // arrived here last, perhaps not in force
}

// Load is the newest committed state; nil while there is none. It is not written after.
func (f *inForce) Load() *config.Doc { return f.doc.Load() }

// commit puts a state in force here, for the proxies and for the trackers; false when it
// is not newer than what is.
func (f *inForce) commit(doc config.Doc) bool {
	f.mu.Lock()
	old := f.doc.Load()
	if old != nil && !old.Stamp.Less(doc.Stamp) {
		f.mu.Unlock()
		return false
	}
	f.doc.Store(&doc)
	f.mu.Unlock()
	if doc.Raw != nil && (old == nil || old.Version < doc.Version) {
		cfg, err := config.Read(doc.Raw)
		if err != nil {
			panic("controlplane: an invalid configuration was committed: " + err.Error())
		}
		f.config.Store(cfg)
		f.quotas(admission.Quotas(cfg))
		f.events.Record("config", fmt.Sprintf("r%d in force", doc.Version))
	}
	if was, is := fmt.Sprint(old.Evacuated()), fmt.Sprint(doc.Evacuated()); was != is {
		f.events.Record("evacuations", is)
	}
	f.publish()
	return true
}

// announce takes the limits of a configuration that may come into force.
func (f *inForce) announce(cfg *config.Config) {
	pending := f.pending.Load()
	if pending != nil && pending.version >= cfg.Version || chain.VersionOf(f.doc.Load()) >= cfg.Version {
		return
	}
	f.pending.Store(&pendingLimits{cfg.Version, admission.Quotas(cfg)})
	f.publish()
}
