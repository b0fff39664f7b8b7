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

// pendingQuotas are the quotas of a configuration version that is not known to be committed.
// Proxies evaluate them until it is active.
type pendingQuotas struct {
	version uint64
	quotas  map[string]admission.Quota
}

// committedState is a committed state with its parsed configuration. It is immutable.
type committedState struct {
	doc    config.Doc
	config *config.Config // nil while no configuration has been committed
}

// activeState holds the newest committed state known to this machine. Several goroutines may
// apply commits in any order: the state is replaced as a whole and only by a newer one, and
// quotas and updates to the proxies are always taken from the newest state.
type activeState struct {
	events    *eventlog.Log
	setQuotas func(map[string]admission.Quota) // receives the quotas of a new configuration
	publish   func()                           // sends the change to the proxies

	state   atomic.Pointer[committedState]
	pending atomic.Pointer[pendingQuotas] // newest configuration received by this machine; it may never be committed

	quotasMu      sync.Mutex // serializes updateQuotas; no I/O while it is held
	quotasVersion uint64     // version of the last quotas passed to setQuotas; guarded by quotasMu
}

// Load returns the newest committed state, or nil if there is none. The caller must not
// modify it.
func (s *activeState) Load() *config.Doc {
	if state := s.state.Load(); state != nil {
		return &state.doc
	}
	return nil
}

// Config returns the active configuration, or nil if there is none.
func (s *activeState) Config() *config.Config {
	if state := s.state.Load(); state != nil {
		return state.config
	}
	return nil
}

// apply activates a committed state for the proxies and the quota trackers. It returns false
// if the state is not newer than the active one.
func (s *activeState) apply(doc config.Doc) bool {
	previous, replaced := s.replace(doc)
	if !replaced {
		return false
	}
	s.updateQuotas()
	if evacuatedBefore, evacuatedNow := fmt.Sprint(previous.EvacuatedZones()), fmt.Sprint(doc.EvacuatedZones()); evacuatedBefore != evacuatedNow {
		s.events.Record("evacuations", evacuatedNow)
	}
	s.publish()
	return true
}

// replace stores a state if it is newer than the current one, and returns the previous state.
func (s *activeState) replace(doc config.Doc) (previous *config.Doc, replaced bool) {
	var parsed *config.Config
	for {
		old := s.state.Load()
		next := &committedState{doc: doc}
		previous = nil
		if old != nil {
			if !old.doc.Stamp.Less(doc.Stamp) {
				return nil, false
			}
			previous, next.config = &old.doc, old.config
		}
		if doc.Raw != nil && (old == nil || old.doc.Version < doc.Version) {
			if parsed == nil {
				parsed = parseCommitted(doc.Raw)
			}
			next.config = parsed
		}
		if s.state.CompareAndSwap(old, next) {
			return previous, true
		}
	}
}

// parseCommitted parses a committed configuration. It panics on errors, because
// configurations are validated before they are committed.
func parseCommitted(raw []byte) *config.Config {
	cfg, err := config.Parse(raw)
	if err != nil {
		panic("controlplane: committed configuration is invalid: " + err.Error())
	}
	return cfg
}

// updateQuotas passes the quotas of the active configuration to setQuotas, unless they were
// passed before. When it returns, these quotas or newer ones have been set.
func (s *activeState) updateQuotas() {
	s.quotasMu.Lock()
	defer s.quotasMu.Unlock()
	cfg := s.Config()
	if cfg == nil || cfg.Version <= s.quotasVersion {
		return
	}
	s.quotasVersion = cfg.Version
	s.setQuotas(admission.Quotas(cfg))
	s.events.Record("config", fmt.Sprintf("r%d in force", cfg.Version))
}

// addPending publishes the quotas of a configuration that may be committed, unless the same or
// a newer version is already pending or active.
func (s *activeState) addPending(cfg *config.Config) {
	next := &pendingQuotas{cfg.Version, admission.Quotas(cfg)}
	for {
		old := s.pending.Load()
		if old != nil && old.version >= cfg.Version || chain.VersionOf(s.Load()) >= cfg.Version {
			return
		}
		if s.pending.CompareAndSwap(old, next) {
			break
		}
	}
	s.publish()
}
