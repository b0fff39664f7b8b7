// Package settings reads and checks the settings file that a process is started with.
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

// EnvFile names the variable that holds the settings file's path.
const EnvFile = "SLATERIDGE_NODE_FILE"

// Duration is a time written as a number followed by its unit, ms or s.
type Duration time.Duration

// ParseDuration reads "1500ms" or "2.5s".
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

// UnmarshalJSON reads a duration written as a string, such as "1500ms".
func (s *Duration) UnmarshalJSON(b []byte) error {
	var t string
	if err := json.Unmarshal(b, &t); err != nil {
		return fmt.Errorf("%s is not a time such as \"1500ms\"", b)
	}
	d, err := ParseDuration(t)
	*s = Duration(d)
	return err
}

// MarshalJSON writes the duration as UnmarshalJSON reads it.
func (s Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(s.String())
}

func (s Duration) String() string {
	return strconv.FormatFloat(float64(time.Duration(s))/float64(time.Millisecond), 'f', -1, 64) + "ms"
}

// D is the span as a duration.
func (s Duration) D() time.Duration { return time.Duration(s) }

// ListenAddresses holds the addresses for what the role serves.
type ListenAddresses struct {
	Frontend     string `json:"frontend" validate:"omitempty,hostname_port"`
	Readiness    string `json:"readiness" validate:"omitempty,hostname_port"`
	ControlPlane string `json:"controlPlane" validate:"omitempty,hostname_port"`
	Directory    string `json:"directory" validate:"omitempty,hostname_port"`
}

// Limits are the machine's.
type Limits struct {
	MemoryMb     int `json:"memoryMb" validate:"gte=0"`
	MaxOpenFiles int `json:"maxOpenFiles" validate:"gte=0"`
	DiskMb       int `json:"diskMb" validate:"gte=0"`
}

// Tolerance is what may be lost at once while every rule still holds.
type Tolerance struct {
	MachineFailures int `json:"machineFailures" validate:"gte=0"`
	Zones           int `json:"zones" validate:"gte=0"`
	RegionFailures  int `json:"regionFailures" validate:"gte=0"`
}

// Bounds are the figures of the rules in force.
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

// CloudAPI is where the platform keeps its list.
type CloudAPI struct {
	Address  string   `json:"address" validate:"omitempty,hostname_port"`
	RatePerS float64  `json:"ratePerS" validate:"gte=0"`
	MaxLag   Duration `json:"maxLag"`
	// Duties are calls that one daemon at a time makes.
	Duties     []string `json:"duties" validate:"dive,required"`
	DutiesPerS float64  `json:"dutiesPerS" validate:"gte=0"`
}

// Duties at the platform that are known here.
const (
	DutyUsage   = "usage_report"
	DutyScaling = "scaling"
)

// Settings are what a process reads when it starts.
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

var checker = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(JSONName)
	return v
}()

// Load reads and checks the settings file; its error is one line that names
// the field.
func Load(path string, needs ...string) (*Settings, error) {
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
			return nil, fmt.Errorf("settings file %s: %s: a %s cannot stand here", path, te.Field, te.Value)
		}
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	if err := checker.Struct(s); err != nil {
		return nil, fmt.Errorf("settings file %s: %s", path, FirstViolation(err))
	}
	if s.HasContract("quota") && s.Bounds.QuotaWindow <= 0 {
		return nil, fmt.Errorf("settings file %s: bounds.quotaWindow: missing, contract quota needs it", path)
	}
	if s.Bounds.RevocationStrict && s.Bounds.Revoke.D() <= 2*constants.RevokeReserve {
		return nil, fmt.Errorf("settings file %s: bounds.revoke: must be gt %v where revocationStrict is true, is %s", path, 2*constants.RevokeReserve, s.Bounds.Revoke)
	}
	if err := s.checkDuties(); err != nil {
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	if s.InternalPorts[1]-s.InternalPorts[0] < 4 {
		return nil, fmt.Errorf("settings file %s: internalPorts: five ports are needed", path)
	}
	for _, n := range needs {
		if map[string]string{"frontend": s.ListenAddresses.Frontend, "readiness": s.ListenAddresses.Readiness,
			"controlPlane": s.ListenAddresses.ControlPlane, "directory": s.ListenAddresses.Directory}[n] == "" {
			return nil, fmt.Errorf("settings file %s: %s: missing, this role needs it", path, n)
		}
	}
	return s, nil
}

// HasDuty says whether a duty at the platform is the system's.
func (s *Settings) HasDuty(duty string) bool { return slices.Contains(s.CloudAPI.Duties, duty) }

func (s *Settings) checkDuties() error {
	b := s.Bounds
	if s.HasDuty(DutyUsage) || s.HasDuty(DutyScaling) {
		switch {
		case b.Lease <= 0:
			return errors.New("bounds.lease: missing, cloudApi.duties needs it")
		case b.Lease <= b.ThawSlack:
			return fmt.Errorf("bounds.lease: must be gt thawSlack, is %s and thawSlack %s", b.Lease, b.ThawSlack)
		case s.CloudAPI.Address == "":
			return errors.New("cloudApi.address: missing, cloudApi.duties needs it")
		}
	}
	if s.HasDuty(DutyUsage) {
		switch {
		case b.UsageWindow <= 0:
			return errors.New("bounds.usageWindow: must be gt 0, duty usage_report needs it")
		case b.UsageDelay <= 0:
			return errors.New("bounds.usageDelay: must be gt 0, duty usage_report needs it")
		}
	}
	return nil
}

// HasContract says whether a part of the rules is in force; a file that names none
// means the gateway's own.
func (s *Settings) HasContract(contract string) bool {
	if s.Contracts == nil {
		return slices.Contains([]string{"quota", "tenants"}, contract)
	}
	return slices.Contains(s.Contracts, contract)
}

// TrackerShards is how many shards the throttle keys are spread over: none where
// there are no quotas, and more where more machines may be lost at once.
func (s *Settings) TrackerShards() int {
	if !s.HasContract("quota") {
		return 0
	}
	return constants.TrackerDuty * max(1, s.FaultTolerance.MachineFailures)
}

// InternalAddress is this machine's address for one of the internal ports.
func (s *Settings) InternalAddress(offset int) string {
	return s.PeerInternalAddress(s.IPAddress, offset)
}

// PeerInternalAddress is another machine's; ports are alike on all.
func (s *Settings) PeerInternalAddress(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPorts[0]+offset))
}

// SeedIPs are the control machines named, sorted.
func (s *Settings) SeedIPs() []string {
	var out []string
	seen := map[string]bool{}
	for _, a := range s.SeedNodes {
		if h, _, err := net.SplitHostPort(a); err == nil && !seen[h] {
			seen[h] = true
			out = append(out, h)
		}
	}
	sort.Strings(out)
	return out
}
