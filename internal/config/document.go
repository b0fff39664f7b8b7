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

// ValidationError reports why a configuration is invalid, and the item and field at fault.
type ValidationError struct {
	Item   string `json:"item,omitempty"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"error"`
}

func (e *ValidationError) Error() string {
	s := e.Reason
	if e.Field != "" {
		s = e.Field + ": " + s
	}
	if e.Item != "" {
		s = e.Item + ": " + s
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

var validate = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(settings.JSONName)
	return v
}()

// decodeSpec decodes and validates the spec of an item. Its error is a *ValidationError that
// lacks the item.
func decodeSpec(raw json.RawMessage, into any) error {
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
	if err := validate.Struct(into); err != nil {
		field, reason, _ := strings.Cut(settings.FirstViolation(err), ": ")
		return &ValidationError{Field: field, Reason: reason}
	}
	return nil
}

// item is one entry of a configuration, parsed and validated on its own. It is immutable, so
// that configurations of several versions can share it.
type item struct {
	kind, name string
	route      *routeSpec
	service    *Service
	tenant     *Tenant
	keys       []string
	limits     Limits
}

// label identifies an item in errors and in the check for duplicate names.
func (it *item) label() string { return it.kind + " " + it.name }

// parseItem parses and validates the entry at index i of the resource list.
func parseItem(i int, r *resource) (*item, error) {
	it := &item{kind: r.ResourceKind, name: r.Metadata.Name}
	withItem := func(err error) error {
		var invalid *ValidationError
		if errors.As(err, &invalid) {
			invalid.Item = it.label()
			return invalid
		}
		return &ValidationError{Item: it.label(), Reason: err.Error()}
	}
	position := func() string { return fmt.Sprintf("resourceList[%d]", i) } // identifies an item without a usable kind or name
	if it.name == "" && it.kind != "limits" && slices.Contains([]string{"routes", "services", "tenants"}, it.kind) {
		return nil, &ValidationError{Item: position(), Field: "metadata.name", Reason: "missing"}
	}
	switch it.kind {
	case "routes":
		it.route = &routeSpec{}
		if err := decodeSpec(r.Spec, it.route); err != nil {
			return nil, withItem(err)
		}
	case "services":
		var spec serviceSpec
		if err := decodeSpec(r.Spec, &spec); err != nil {
			return nil, withItem(err)
		}
		it.service = &Service{Name: it.name, HealthCheckPath: spec.HealthCheckPath, MaxConnections: spec.MaxConnections,
			Warmup: spec.Warmup.D(), WarmupRate: spec.WarmupPerS}
		if scaling := spec.Scaling; scaling != nil {
			it.service.Scaling = &Scaling{scaling.MinCount, scaling.MaxCount, scaling.BootTime.D()}
		}
	case "tenants":
		var spec tenantSpec
		if err := decodeSpec(r.Spec, &spec); err != nil {
			return nil, withItem(err)
		}
		it.tenant = &Tenant{Name: it.name, Rate: spec.RatePerS, Burst: spec.BurstSize, AllowedRegions: spec.AllowedRegions}
		if spec.Priority != nil {
			it.tenant.Priority, it.tenant.HasPriority = *spec.Priority, true
		}
		it.keys = spec.APIKeys
	case "limits":
		var spec limitsSpec
		if err := decodeSpec(r.Spec, &spec); err != nil {
			return nil, withItem(err)
		}
		it.limits = Limits{spec.MaxHeaderBytes, spec.MaxBodyBytes, spec.HeaderTimeout.D(), spec.IdleTimeout.D()}
	default:
		return nil, &ValidationError{Item: position(), Field: "resourceKind", Reason: fmt.Sprintf("%q is not known", it.kind)}
	}
	return it, nil
}
