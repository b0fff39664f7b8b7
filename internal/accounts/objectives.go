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

// Bounds of the settings of an objective.
const (
	minTarget        = 0.5                 // a lower target is most likely a typing error
	maxLatencyTarget = 10 * time.Minute    // the longest latency that a sketch records
	minWindow        = time.Hour           // not shorter than longBurnWindow
	maxWindow        = 90 * 24 * time.Hour // about three months
	defaultShards    = 16
	maxShards        = 256
)

// EnvFile is the environment variable that holds the path of the objectives file.
const EnvFile = "SLATERIDGE_OBJECTIVES_FILE"

// objectivesFileVersion is the version of the objectives file format.
const objectivesFileVersion = 1

// Objective is a tenant's service level objective: over Window, at least the fraction Target
// of the requests must succeed within Latency.
type Objective struct {
	Target  float64
	Latency time.Duration
	Window  time.Duration
}

// Objectives holds the objectives of all tenants, as read from the objectives file.
type Objectives struct {
	Shards     int    // number of shards; must be equal on all nodes and can't be changed later
	JournalDir string // directory of the proxies' journals; no journals are kept if empty
	// Founding is set for a new deployment without accounts, in which control-plane nodes
	// start with empty disks. Otherwise an empty disk means that its data was lost.
	Founding bool
	tenants  map[string]Objective
	fallback *Objective // objective of all other tenants; nil if they have none
}

// Lookup returns a tenant's objective, if it has one.
func (o *Objectives) Lookup(tenant string) (Objective, bool) {
	if objective, ok := o.tenants[tenant]; ok {
		return objective, true
	}
	if o.fallback == nil || tenant == "" || len(tenant) > maxNameBytes {
		return Objective{}, false
	}
	return *o.fallback, true
}

// NamedTenants returns the number of tenants that the file lists by name.
func (o *Objectives) NamedTenants() int { return len(o.tenants) }

// objectivesFile is the JSON form of the objectives file.
type objectivesFile struct {
	Version  int                       `json:"version"`
	Shards   int                       `json:"shards"`
	Journal  string                    `json:"journalDirectory"`
	Founding bool                      `json:"founding"`
	Classes  map[string]objectiveClass `json:"classes"`
	Tenants  map[string]string         `json:"tenants"`
	Default  string                    `json:"defaultClass"`
}

// objectiveClass is one entry of objectivesFile.Classes.
type objectiveClass struct {
	Target  float64 `json:"target"`
	Latency string  `json:"latency"`
	Window  string  `json:"window"`
}

// LoadObjectives reads the objectives file. It returns nil without an error if path is empty
// or the file doesn't exist.
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

// ParseObjectives parses and validates the content of an objectives file.
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

// build resolves the classes of the file to objectives per tenant.
func (f objectivesFile) build() (*Objectives, error) {
	out := &Objectives{Shards: f.Shards, JournalDir: f.Journal, Founding: f.Founding, tenants: map[string]Objective{}}
	classes := map[string]Objective{}
	for name, class := range f.Classes {
		objective, err := class.parse()
		if err != nil {
			return nil, fmt.Errorf("class %q: %w", name, err)
		}
		classes[name] = objective
	}
	for tenant, class := range f.Tenants {
		objective, ok := classes[class]
		if !ok {
			return nil, fmt.Errorf("tenant %q: class %q is not defined", tenant, class)
		}
		if tenant == "" || len(tenant) > maxNameBytes {
			return nil, fmt.Errorf("tenant %.20q: name must have 1 to %d bytes", tenant, maxNameBytes)
		}
		out.tenants[tenant] = objective
	}
	if f.Default != "" {
		objective, ok := classes[f.Default]
		if !ok {
			return nil, fmt.Errorf("defaultClass: class %q is not defined", f.Default)
		}
		out.fallback = &objective
	}
	if len(out.tenants) == 0 && out.fallback == nil {
		return nil, errors.New("no tenant has an objective; remove the file to disable accounts")
	}
	return out, nil
}

// parse validates a class and returns its objective.
func (c objectiveClass) parse() (Objective, error) {
	if !(c.Target >= minTarget && c.Target < 1) {
		return Objective{}, fmt.Errorf("target is %v, must be at least %v and less than 1", c.Target, minTarget)
	}
	latency, err := time.ParseDuration(c.Latency)
	if err != nil || latency <= 0 || latency > maxLatencyTarget {
		return Objective{}, fmt.Errorf("latency is %q, must be a positive duration such as 250ms, at most %v", c.Latency, maxLatencyTarget)
	}
	window, err := time.ParseDuration(c.Window)
	if err != nil || window < minWindow || window > maxWindow {
		return Objective{}, fmt.Errorf("window is %q, must be a duration such as 720h, from %v to %v", c.Window, minWindow, maxWindow)
	}
	return Objective{c.Target, latency, window}, nil
}
