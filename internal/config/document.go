package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"

	"slateridge/internal/settings"
)

// ValidationError says which item and field of a configuration is wrong.
type ValidationError struct {
	Item   string `json:"item,omitempty"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"error"`
}

func (f *ValidationError) Error() string {
	s := f.Reason
	if f.Field != "" {
		s = f.Field + ": " + s
	}
	if f.Item != "" {
		s = f.Item + ": " + s
	}
	return s
}

type target struct {
	TargetService string  `json:"targetService" validate:"required"`
	Weight        float64 `json:"weight" validate:"gte=0"`
}

type routeSpec struct {
	Host            string            `json:"host" validate:"required"`
	PathPrefix      string            `json:"pathPrefix" validate:"required,startswith=/,endswith=/"`
	RouteType       string            `json:"routeType" validate:"oneof=idempotent non_idempotent streaming"`
	Timeout         settings.Duration `json:"timeout" validate:"gt=0"`
	TargetLatency   settings.Duration `json:"targetLatency" validate:"gte=0"`
	Priority        int               `json:"priority" validate:"gte=0"`
	TargetService   string            `json:"targetService"`
	WeightedTargets []target          `json:"weightedTargets" validate:"dive"`
	MaxAttempts     int               `json:"maxAttempts" validate:"gte=1"`
	Public          bool              `json:"public"`
	AllowedRegions  []string          `json:"allowedRegions" validate:"dive,required"`
	SessionAffinity bool              `json:"sessionAffinity"`
	Resumable       bool              `json:"resumable"`
}

type scalingSpec struct {
	MinCount int               `json:"minCount" validate:"gte=0"`
	MaxCount int               `json:"maxCount" validate:"gtefield=MinCount"`
	BootTime settings.Duration `json:"bootTime" validate:"gte=0"`
}

type serviceSpec struct {
	HealthCheckPath string            `json:"healthCheckPath" validate:"omitempty,startswith=/"`
	MaxConnections  int               `json:"maxConnections" validate:"gte=0"`
	Protocol        string            `json:"protocol" validate:"omitempty,oneof=h1"`
	TLSEnabled      bool              `json:"tlsEnabled" validate:"eq=false"`
	Warmup          settings.Duration `json:"warmup" validate:"gte=0"`
	WarmupPerS      float64           `json:"warmupPerS" validate:"gte=0"`
	Scaling         *scalingSpec      `json:"scaling"`
}

type tenantSpec struct {
	APIKeys        []string `json:"apiKeys" validate:"dive,required"`
	Priority       *int     `json:"priority" validate:"omitempty,gte=0"`
	RatePerS       float64  `json:"ratePerS" validate:"gte=0"`
	BurstSize      float64  `json:"burstSize" validate:"gte=0"`
	AllowedRegions []string `json:"allowedRegions" validate:"dive,required"`
}

type limitsSpec struct {
	MaxHeaderBytes int               `json:"maxHeaderBytes" validate:"gte=0"`
	MaxBodyBytes   int64             `json:"maxBodyBytes" validate:"gte=0"`
	HeaderTimeout  settings.Duration `json:"headerTimeout"`
	IdleTimeout    settings.Duration `json:"idleTimeout"`
}

type resource struct {
	ResourceKind string `json:"resourceKind"`
	Metadata     struct {
		Name string `json:"name"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type document struct {
	ConfigVersion string     `json:"configVersion"`
	ResourceList  []resource `json:"resourceList"`
}

var checker = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(settings.JSONName)
	return v
}()

func decode(raw json.RawMessage, into any) error {
	if len(raw) == 0 {
		return &ValidationError{Field: "spec", Reason: "missing"}
	}
	if err := json.Unmarshal(raw, into); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return &ValidationError{Field: te.Field, Reason: "a " + te.Value + " cannot stand here"}
		}
		return &ValidationError{Field: "spec", Reason: err.Error()}
	}
	if err := checker.Struct(into); err != nil {
		f, why, _ := strings.Cut(settings.FirstViolation(err), ": ")
		return &ValidationError{Field: f, Reason: why}
	}
	return nil
}

// item is one entry of a configuration, read and checked by itself. It is never
// changed, so configurations of several versions may share it.
type item struct {
	kind, name string
	route      *routeSpec
	service    *Service
	tenant     *Tenant
	keys       []string
	limits     Limits
}

// label names an item in faults and among the names taken.
func (it *item) label() string { return it.kind + " " + it.name }

// readItem reads the entry at a place in the list.
func readItem(i int, r *resource) (*item, error) {
	it := &item{kind: r.ResourceKind, name: r.Metadata.Name}
	fault := func(err error) error {
		var f *ValidationError
		if errors.As(err, &f) {
			f.Item = it.label()
			return f
		}
		return &ValidationError{Item: it.label(), Reason: err.Error()}
	}
	at := func() string { return fmt.Sprintf("resourceList[%d]", i) } // of one that has no name to go by
	if it.name == "" && it.kind != "limits" && slices.Contains([]string{"routes", "services", "tenants"}, it.kind) {
		return nil, &ValidationError{Item: at(), Field: "metadata.name", Reason: "missing"}
	}
	switch it.kind {
	case "routes":
		it.route = &routeSpec{}
		if err := decode(r.Spec, it.route); err != nil {
			return nil, fault(err)
		}
	case "services":
		var sp serviceSpec
		if err := decode(r.Spec, &sp); err != nil {
			return nil, fault(err)
		}
		it.service = &Service{Name: it.name, HealthCheckPath: sp.HealthCheckPath, MaxConnections: sp.MaxConnections,
			Warmup: sp.Warmup.D(), WarmupRate: sp.WarmupPerS}
		if sc := sp.Scaling; sc != nil {
			it.service.Scaling = &Scaling{sc.MinCount, sc.MaxCount, sc.BootTime.D()}
		}
	case "tenants":
		var sp tenantSpec
		if err := decode(r.Spec, &sp); err != nil {
			return nil, fault(err)
		}
		it.tenant = &Tenant{Name: it.name, Rate: sp.RatePerS, Burst: sp.BurstSize, AllowedRegions: sp.AllowedRegions}
		if sp.Priority != nil {
			it.tenant.Priority, it.tenant.HasPriority = *sp.Priority, true
		}
		it.keys = sp.APIKeys
	case "limits":
		var sp limitsSpec
		if err := decode(r.Spec, &sp); err != nil {
			return nil, fault(err)
		}
		it.limits = Limits{sp.MaxHeaderBytes, sp.MaxBodyBytes, sp.HeaderTimeout.D(), sp.IdleTimeout.D()}
	default:
		return nil, &ValidationError{Item: at(), Field: "resourceKind", Reason: fmt.Sprintf("%q is not known", it.kind)}
	}
	return it, nil
}
