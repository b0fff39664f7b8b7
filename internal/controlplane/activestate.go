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

// pendingQuotas are the limits of a version that is not in force yet, as far as is known
// here; they are evaluated until it is.
type pendingQuotas struct {
	version uint64
	quotas  map[string]admission.Quota
}

// committedState is a committed state with the configuration that it holds, read. It is
// never written after it was made.
type committedState struct {
	doc    config.Doc
	config *config.Config // nil while no configuration has been committed
}

// activeState is the newest committed state known here. Commits come by several goroutines in
// any order: the state is replaced as a whole and only by a newer one, and whoever hands
// it on hands on the newest there is.
type activeState struct {
	events    *eventlog.Log
	setQuotas func(map[string]admission.Quota) // takes the limits of a new configuration
	publish   func()                           // has the proxies told

	state   atomic.Pointer[committedState]
	pending atomic.Pointer[pendingQuotas] // the newest that arrived here, perhaps not in force

	quotasMu      sync.Mutex // one hand-over of limits after the other; no I/O under it
	quotasVersion uint64     // of the limits handed over last; under handOver
}

// Load is the newest committed state; nil while there is none. It is not written after.
func (f *activeState) Load() *config.Doc {
	if state := f.state.Load(); state != nil {
		return &state.doc
	}
	return nil
}

// Config is the configuration in force; nil while there is none.
func (f *activeState) Config() *config.Config {
	if state := f.state.Load(); state != nil {
		return state.config
	}
	return nil
}

// apply puts a state in force here, for the proxies and for the trackers; false when it
// is not newer than what is.
func (f *activeState) apply(doc config.Doc) bool {
	before, replaced := f.replace(doc)
	if !replaced {
		return false
	}
	f.updateQuotas()
	if evacuatedBefore, evacuatedNow := fmt.Sprint(before.Evacuated()), fmt.Sprint(doc.Evacuated()); evacuatedBefore != evacuatedNow {
		f.events.Record("evacuations", evacuatedNow)
	}
	f.publish()
	return true
}

// replace makes a state the newest if it is, and tells the one before.
func (f *activeState) replace(doc config.Doc) (before *config.Doc, replaced bool) {
	var parsed *config.Config
	for {
		old := f.state.Load()
		next := &committedState{doc: doc}
		before = nil
		if old != nil {
			if !old.doc.Stamp.Less(doc.Stamp) {
				return nil, false
			}
			before, next.config = &old.doc, old.config
		}
		if doc.Raw != nil && (old == nil || old.doc.Version < doc.Version) {
			if parsed == nil {
				parsed = parseCommitted(doc.Raw)
			}
			next.config = parsed
		}
		if f.state.CompareAndSwap(old, next) {
			return before, true
		}
	}
}

// parseCommitted reads a configuration that was checked before it was committed.
func parseCommitted(raw []byte) *config.Config {
	cfg, err := config.Read(raw)
	if err != nil {
		panic("controlplane: an invalid configuration was committed: " + err.Error())
	}
	return cfg
}

// updateQuotas hands on the limits of the configuration in force, unless they have been.
// On its return they have, or newer ones.
func (f *activeState) updateQuotas() {
	f.quotasMu.Lock()
	defer f.quotasMu.Unlock()
	cfg := f.Config()
	if cfg == nil || cfg.Version <= f.quotasVersion {
		return
	}
	f.quotasVersion = cfg.Version
	f.setQuotas(admission.Quotas(cfg))
	f.events.Record("config", fmt.Sprintf("r%d in force", cfg.Version))
}

// addPending takes the limits of a configuration that may come into force, unless a newer
// one has come or is in force.
func (f *activeState) addPending(cfg *config.Config) {
	next := &pendingQuotas{cfg.Version, admission.Quotas(cfg)}
	for {
		old := f.pending.Load()
		if old != nil && old.version >= cfg.Version || chain.VersionOf(f.Load()) >= cfg.Version {
			return
		}
		if f.pending.CompareAndSwap(old, next) {
			break
		}
	}
	f.publish()
}
