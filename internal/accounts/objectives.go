package accounts

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"
)

// Bounds of an objective.
const (
	minTarget        = 0.5                 // a lower share is a mistake in writing
	maxLatencyTarget = 10 * time.Minute    // of a latency, as the sketch records it
	minWindow        = time.Hour           // the long window of the burn rate
	maxWindow        = 90 * 24 * time.Hour // a quarter of a year
	defaultShards    = 16
	maxShards        = 256
)

// EnvFile names the variable that holds the settings file's path.
const EnvFile = "SLATERIDGE_OBJECTIVES_FILE"

// objectivesFileVersion is that of the settings file's format.
const objectivesFileVersion = 1

// Objective is what a tenant may expect: the share Target of its requests succeeds within
// Latency, reckoned over Window.
type Objective struct {
	Target  float64
	Latency time.Duration
	Window  time.Duration
}

// Objectives are those of all tenants, from the settings file.
type Objectives struct {
	Shards     int    // of all tenants; the same on all machines, and never changed
	JournalDir string // directory of the proxies' journals; empty: none are kept
	// Founding says that the deployment has no accounts yet: control machines begin with
	// empty disks. Otherwise an empty disk has lost what it held.
	Founding bool
	tenants  map[string]Objective
	fallback *Objective // of tenants that are not named; nil: they have none
}

// Lookup is a tenant's objective, if it has one.
func (o *Objectives) Lookup(tenant string) (Objective, bool) {
	if objective, ok := o.tenants[tenant]; ok {
		return objective, true
	}
	if o.fallback == nil || tenant == "" || len(tenant) > maxNameBytes {
		return Objective{}, false
	}
	return *o.fallback, true
}

// NamedTenants are the tenants that the file names.
func (o *Objectives) NamedTenants() int { return len(o.tenants) }

// objectivesFile is the settings objectivesFile as it is written.
type objectivesFile struct {
	Version  int                       `json:"version"`
	Shards   int                       `json:"shards"`
	Journal  string                    `json:"journalDirectory"`
	Founding bool                      `json:"founding"`
	Classes  map[string]objectiveClass `json:"classes"`
	Tenants  map[string]string         `json:"tenants"`
	Default  string                    `json:"defaultClass"`
}

type objectiveClass struct {
	Target  float64 `json:"target"`
	Latency string  `json:"latency"`
	Window  string  `json:"window"`
}

// LoadObjectives reads the settings file; nil without an error where there is none.
func LoadObjectives(path string) (*Objectives, error) {
	if path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("objectives: %w", err)
	}
	objectives, err := ParseObjectives(raw)
	if err != nil {
		return nil, fmt.Errorf("objectives in %s: %w", path, err)
	}
	return objectives, nil
}

// ParseObjectives reads and checks the content of a settings file.
func ParseObjectives(raw []byte) (*Objectives, error) {
	var f objectivesFile
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return nil, err
	}
	if f.Version != objectivesFileVersion {
		return nil, fmt.Errorf("version is %d, must be %d", f.Version, objectivesFileVersion)
	}
	if f.Shards == 0 {
		f.Shards = defaultShards
	}
	if f.Shards < 1 || f.Shards > maxShards {
		return nil, fmt.Errorf("shards is %d, must be 1 to %d", f.Shards, maxShards)
	}
	return f.build()
}

func (f objectivesFile) build() (*Objectives, error) {
	out := &Objectives{Shards: f.Shards, JournalDir: f.Journal, Founding: f.Founding, tenants: map[string]Objective{}}
	classes := map[string]Objective{}
	for name, written := range f.Classes {
		objective, err := written.parse()
		if err != nil {
			return nil, fmt.Errorf("class %q: %w", name, err)
		}
		classes[name] = objective
	}
	for tenant, class := range f.Tenants {
		objective, ok := classes[class]
		if !ok {
			return nil, fmt.Errorf("tenant %q: there is no class %q", tenant, class)
		}
		if tenant == "" || len(tenant) > maxNameBytes {
			return nil, fmt.Errorf("tenant %.20q: a name has 1 to %d bytes", tenant, maxNameBytes)
		}
		out.tenants[tenant] = objective
	}
	if f.Default != "" {
		objective, ok := classes[f.Default]
		if !ok {
			return nil, fmt.Errorf("defaultClass: there is no class %q", f.Default)
		}
		out.fallback = &objective
	}
	if len(out.tenants) == 0 && out.fallback == nil {
		return nil, errors.New("no tenant has an objective: leave the file away")
	}
	return out, nil
}

func (w objectiveClass) parse() (Objective, error) {
	if !(w.Target >= minTarget && w.Target < 1) {
		return Objective{}, fmt.Errorf("target is %v, must be at least %v and under 1", w.Target, minTarget)
	}
	latency, err := time.ParseDuration(w.Latency)
	if err != nil || latency <= 0 || latency > maxLatencyTarget {
		return Objective{}, fmt.Errorf("latency is %q, must be a time such as 250ms, at most %v", w.Latency, maxLatencyTarget)
	}
	window, err := time.ParseDuration(w.Window)
	if err != nil || window < minWindow || window > maxWindow {
		return Objective{}, fmt.Errorf("window is %q, must be a time such as 720h, from %v to %v", w.Window, minWindow, maxWindow)
	}
	return Objective{w.Target, latency, window}, nil
}
