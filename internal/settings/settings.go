// Package settings loads and validates the settings file that a process is started with.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"slateridge/internal/constants"
)

// EnvFile is the environment variable that holds the path of the settings file.
const EnvFile = "SLATERIDGE_NODE_FILE"

// Duration is a time.Duration that is written as a number followed by a unit, ms or s.
type Duration time.Duration

// ParseDuration parses a duration such as "1500ms" or "2.5s". It accepts no negative duration and
// at most 1e9 units.
func ParseDuration(s string) (time.Duration, error) {
	num, unit := s, time.Duration(0)
	switch {
	case strings.HasSuffix(s, "ms"):
		num, unit = s[:len(s)-2], time.Millisecond
	case strings.HasSuffix(s, "s"):
		num, unit = s[:len(s)-1], time.Second
	}
	f, err := strconv.ParseFloat(num, 64)
	if unit == 0 || err != nil || f < 0 || f > 1e9 {
		return 0, fmt.Errorf("%q is not a time such as 1500ms or 2.5s", s)
	}
	return time.Duration(f * float64(unit)), nil
}

// UnmarshalJSON parses a duration written as a string, such as "1500ms".
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return fmt.Errorf("%s is not a time such as \"1500ms\"", b)
	}
	parsed, err := ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// MarshalJSON formats the duration as a string that UnmarshalJSON accepts.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// String formats the duration in milliseconds, such as "1500ms".
func (d Duration) String() string {
	return strconv.FormatFloat(float64(time.Duration(d))/float64(time.Millisecond), 'f', -1, 64) + "ms"
}

// D converts d to a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// ListenAddresses holds the listen address of each endpoint that a role may serve.
type ListenAddresses struct {
	Frontend     string `json:"frontend" validate:"omitempty,hostname_port"`
	Readiness    string `json:"readiness" validate:"omitempty,hostname_port"`
	ControlPlane string `json:"controlPlane" validate:"omitempty,hostname_port"`
	Directory    string `json:"directory" validate:"omitempty,hostname_port"`
}

// Limits are the resource limits of the machine.
type Limits struct {
	MemoryMb     int `json:"memoryMb" validate:"gte=0"`
	MaxOpenFiles int `json:"maxOpenFiles" validate:"gte=0"`
	DiskMb       int `json:"diskMb" validate:"gte=0"`
}

// Tolerance is the number of simultaneous failures under which all guarantees hold.
type Tolerance struct {
	MachineFailures int `json:"machineFailures" validate:"gte=0"`
	Zones           int `json:"zones" validate:"gte=0"`
	RegionFailures  int `json:"regionFailures" validate:"gte=0"`
}

// Bounds holds the parameters of the guarantees in force.
type Bounds struct {
	Drain            Duration `json:"drain" validate:"gt=0"`
	Grace            Duration `json:"grace" validate:"gt=0"`
	ConfigApply      Duration `json:"configApply" validate:"gt=0"`
	RetryBudgetRatio float64  `json:"retryBudgetRatio" validate:"gte=0,lte=1"`
	RetryWindow      Duration `json:"retryWindow" validate:"gt=0"`
	RetryBudgetSlack float64  `json:"retryBudgetSlack" validate:"gte=0"`
	QuotaWindow      Duration `json:"quotaWindow"`
	QuotaSlack       float64  `json:"quotaSlack" validate:"gte=0"`
	WarmupOverage    float64  `json:"warmupOverage" validate:"gte=0"`
	WarmupSlack      float64  `json:"warmupSlack" validate:"gte=0"`
	Evacuation       Duration `json:"evacuation"`
	RevocationStrict bool     `json:"revocationStrict"`
	Revoke           Duration `json:"revoke" validate:"gte=0"`
	FencingEnforced  bool     `json:"fencingEnforced"`
	Lease            Duration `json:"lease" validate:"gte=0"`
	ThawSlack        Duration `json:"thawSlack" validate:"gte=0"`
	UsageWindow      Duration `json:"usageWindow" validate:"gte=0"`
	UsageTolerance   float64  `json:"usageTolerance" validate:"gte=0,lte=1"`
	UsageDelay       Duration `json:"usageDelay" validate:"gte=0"`
	TTLMax           Duration `json:"ttl_max"`
}

// CloudAPI configures access to the platform, which lists the instances and accepts duty calls.
type CloudAPI struct {
	Address  string   `json:"address" validate:"omitempty,hostname_port"`
	RatePerS float64  `json:"ratePerS" validate:"gte=0"`
	MaxLag   Duration `json:"maxLag"`
	// Duties are the kinds of calls that only one process at a time may make.
	Duties     []string `json:"duties" validate:"dive,required"`
	DutiesPerS float64  `json:"dutiesPerS" validate:"gte=0"`
}

// Duties that this version implements.
const (
	DutyUsage   = "usage_report"
	DutyScaling = "scaling"
)

// Settings is the content of the settings file.
type Settings struct {
	NodeName        string            `json:"nodeName" validate:"required"`
	IPAddress       string            `json:"ipAddress" validate:"required,ip4_addr"`
	Zone            string            `json:"zone" validate:"required"`
	Region          string            `json:"region"`
	Zones           map[string]string `json:"zones"`
	ListenAddresses ListenAddresses   `json:"listenAddresses"`
	InternalPorts   []int             `json:"internalPorts" validate:"len=2,dive,gt=0,lt=65536"`
	SeedNodes       []string          `json:"seedNodes" validate:"required,min=1,dive,hostname_port"`
	Bootstrap       bool              `json:"bootstrap"`
	QuorumMember    bool              `json:"quorumMember"`
	Limits          Limits            `json:"limits"`
	DataDirectory   string            `json:"dataDirectory"`
	Bounds          Bounds            `json:"bounds" validate:"required"`
	FaultTolerance  Tolerance         `json:"faultTolerance"`
	Contracts       []string          `json:"contracts"`
	DeploymentID    string            `json:"deploymentId"`
	EntryMode       string            `json:"entryMode"`
	CloudAPI        CloudAPI          `json:"cloudApi"`
}

var validate = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(JSONName)
	return v
}()

// Load reads and validates the settings file. Its error is a single line that names the field at
// fault. listeners names the listen addresses that must be set.
func Load(path string, listeners ...string) (*Settings, error) {
	if path == "" {
		return nil, errors.New("no settings file: " + EnvFile + " is not set")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	s := &Settings{}
	if err := json.Unmarshal(b, s); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("settings file %s: %s: unexpected %s", path, te.Field, te.Value)
		}
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	if err := validate.Struct(s); err != nil {
		return nil, fmt.Errorf("settings file %s: %s", path, FirstViolation(err))
	}
	if s.HasContract("quota") && s.Bounds.QuotaWindow <= 0 {
		return nil, fmt.Errorf("settings file %s: bounds.quotaWindow: missing, required by contract quota", path)
	}
	if s.Bounds.RevocationStrict && s.Bounds.Revoke.D() <= 2*constants.RevocationMargin {
		return nil, fmt.Errorf("settings file %s: bounds.revoke: must be greater than %v if revocationStrict is true, got %s", path, 2*constants.RevocationMargin, s.Bounds.Revoke)
	}
	if err := s.checkDuties(); err != nil {
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	if s.InternalPorts[1]-s.InternalPorts[0] < 4 {
		return nil, fmt.Errorf("settings file %s: internalPorts: at least five ports are required", path)
	}
	for _, listener := range listeners {
		if map[string]string{"frontend": s.ListenAddresses.Frontend, "readiness": s.ListenAddresses.Readiness,
			"controlPlane": s.ListenAddresses.ControlPlane, "directory": s.ListenAddresses.Directory}[listener] == "" {
			return nil, fmt.Errorf("settings file %s: %s: missing, required by this role", path, listener)
		}
	}
	return s, nil
}

// HasDuty reports whether the system performs a duty at the platform.
func (s *Settings) HasDuty(duty string) bool { return slices.Contains(s.CloudAPI.Duties, duty) }

// checkDuties checks that the bounds and addresses that the configured duties require are set.
func (s *Settings) checkDuties() error {
	bounds := s.Bounds
	if s.HasDuty(DutyUsage) || s.HasDuty(DutyScaling) {
		switch {
		case bounds.Lease <= 0:
			return errors.New("bounds.lease: missing, required by cloudApi.duties")
		case bounds.Lease <= bounds.ThawSlack:
			return fmt.Errorf("bounds.lease: must be greater than thawSlack, got %s with thawSlack %s", bounds.Lease, bounds.ThawSlack)
		case s.CloudAPI.Address == "":
			return errors.New("cloudApi.address: missing, required by cloudApi.duties")
		}
	}
	if s.HasDuty(DutyUsage) {
		switch {
		case bounds.UsageWindow <= 0:
			return errors.New("bounds.usageWindow: must be greater than 0, required by duty usage_report")
		case bounds.UsageDelay <= 0:
			return errors.New("bounds.usageDelay: must be greater than 0, required by duty usage_report")
		}
	}
	return nil
}

// HasContract reports whether a contract is in force. Without a list of contracts in the settings
// file, "quota" and "tenants" are.
func (s *Settings) HasContract(contract string) bool {
	if s.Contracts == nil {
		return slices.Contains([]string{"quota", "tenants"}, contract)
	}
	return slices.Contains(s.Contracts, contract)
}

// TrackerShards returns the number of shards that the quota keys are distributed over: 0 without
// quotas, otherwise in proportion to the number of tolerated machine failures.
func (s *Settings) TrackerShards() int {
	if !s.HasContract("quota") {
		return 0
	}
	return constants.TrackerShardsPerFailure * max(1, s.FaultTolerance.MachineFailures)
}

// InternalAddress returns the address of an internal port of this machine.
func (s *Settings) InternalAddress(offset int) string {
	return s.PeerInternalAddress(s.IPAddress, offset)
}

// PeerInternalAddress returns the address of an internal port of another machine. All machines use
// the same port numbers.
func (s *Settings) PeerInternalAddress(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPorts[0]+offset))
}

// SeedIPs returns the distinct hosts of the seed nodes, sorted.
func (s *Settings) SeedIPs() []string {
	var out []string
	seen := map[string]bool{}
	for _, address := range s.SeedNodes {
		if host, _, err := net.SplitHostPort(address); err == nil && !seen[host] {
			seen[host] = true
			out = append(out, host)
		}
	}
	sort.Strings(out)
	return out
}
