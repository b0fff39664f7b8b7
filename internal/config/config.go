// Package config holds the configuration document, its validation, and the form in which
// proxies look it up.
package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"regexp"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"slateridge/internal/constants"
	"slateridge/internal/duty"
	"slateridge/internal/settings"
)

// Kinds of route.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming" // answered piece by piece, and sent at most once
)

// Revision orders the states of the control plane: the number of the view whose
// head made it, and a count within.
type Revision struct{ View, Seq uint64 }

// Less says whether s is older than o.
func (s Revision) Less(o Revision) bool { return s.View < o.View || s.View == o.View && s.Seq < o.Seq }

// Num is the revision as one number that orders alike; views and orders within one
// stay far below 2^32.
func (s Revision) Num() uint64 { return s.View<<32 | s.Seq&(1<<32-1) }

// Evacuation is the latest order on a zone's evacuation. Num counts the orders on the
// zone; IDs are the latest ones, by which whoever sent one knows it has been
// taken.
type Evacuation struct {
	On  bool
	Num uint64
	IDs []uint64
}

// Doc is one state of the control plane: the configuration as it was sent, with
// its version's number, the evacuations by zone, and the duties at the platform.
type Doc struct {
	Stamp   Revision
	Ordered Revision // of the state in which the operator's part last changed
	Version uint64
	Sum     uint64 // of Raw, which is left out where the receiver has it
	Raw     []byte
	Ledger  Ledger // what was taken, this one and those before it; its list is left out with Raw
	Evac    map[string]Evacuation
	Duties  duty.Records
}

// SumOf is what Sum holds of a configuration.
func SumOf(raw []byte) uint64 {
	h := fnv.New64a()
	h.Write(raw)
	return h.Sum64()
}

// OrderNum orders what the operator has ordered; a state written before it was
// told apart counts by its own revision.
func (d *Doc) OrderNum() uint64 {
	if d.Ordered == (Revision{}) {
		return d.Stamp.Num()
	}
	return d.Ordered.Num()
}

// Evacuated lists the zones under evacuation, sorted.
func (d *Doc) Evacuated() []string {
	var out []string
	if d != nil {
		for z, e := range d.Evac {
			if e.On {
				out = append(out, z)
			}
		}
	}
	sort.Strings(out)
	return out
}

// Fault says which item and field of a configuration is wrong.
type Fault struct {
	Item  string `json:"item,omitempty"`
	Field string `json:"field,omitempty"`
	Why   string `json:"error"`
}

func (f *Fault) Error() string {
	s := f.Why
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

// Target is one service a route may go to, with the running sum of weights.
type Target struct {
	Service string
	upTo    float64
}

// Route is one route, ready for use.
type Route struct {
	Name, Host, Prefix     string
	Idempotent             bool
	Stream, Affinity       bool
	Timeout, TargetLatency time.Duration
	Priority               int
	MaxAttempts            int
	Public                 bool
	Targets                []Target
	Homes                  []string // regions it may be served in; none named means all
}

// Homes are the regions in which a request may be served, where both its route
// and its tenant have a say; all says that neither has.
func Homes(r *Route, t *Tenant) (homes []string, all bool) {
	if t == nil || len(t.Homes) == 0 {
		return r.Homes, len(r.Homes) == 0
	}
	if len(r.Homes) == 0 {
		return t.Homes, false
	}
	for _, h := range r.Homes {
		if slices.Contains(t.Homes, h) {
			homes = append(homes, h)
		}
	}
	return homes, false
}

// Pick chooses a target; u is drawn evenly from 0 to 1.
func (r *Route) Pick(u float64) string {
	u *= r.Targets[len(r.Targets)-1].upTo
	for _, t := range r.Targets {
		if u < t.upTo {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// RoutesTo says whether the route may go to a service.
func (r *Route) RoutesTo(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service {
			return true
		}
	}
	return false
}

// Service is one service's settings.
type Service struct {
	Name, HealthPath string
	MaxConnections   int
	Warmup           time.Duration // how long an upstream stays cold
	WarmupPerS       float64       // requests a second a cold one bears; 0 is no bound
	Scaling          *Scaling      // nil: its upstreams are not ours to order
}

// Scaling bounds how many upstreams of a service are ordered in each zone.
type Scaling struct {
	Min, Max int
	Boot     time.Duration
}

// Tenant is a holder of keys, with its quota; Rate 0 is no limit.
type Tenant struct {
	Name        string
	Priority    int
	HasPriority bool
	Rate, Burst float64
	Homes       []string
}

// Limits bound what clients may send.
type Limits struct {
	HeaderBytes             int
	BodyBytes               int64
	HeaderTimeout, IdleTime time.Duration
}

// Config is a whole configuration, ready for use.
type Config struct {
	Version  uint64
	Services map[string]*Service
	Tenants  map[string]*Tenant
	Limits   Limits
	keys     map[string]*Tenant
	hosts    map[string][]*Route
}

// Match finds the route of the longest prefix.
func (s *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	rs, ok := s.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			rs = s.hosts[host[:i]]
		}
	}
	for _, r := range rs { // longest first
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Holder finds the tenant of a key.
func (s *Config) Holder(key string) *Tenant { return s.keys[key] }

// Keyed says whether routes that are not public need a key.
func (s *Config) Keyed() bool { return len(s.Tenants) > 0 }

// Routes lists all routes.
func (s *Config) Routes() []*Route {
	var out []*Route
	for _, rs := range s.hosts {
		out = append(out, rs...)
	}
	return out
}

// ParseVersion reads "r12".
func ParseVersion(s string) (uint64, error) {
	if len(s) < 2 || s[0] != 'r' {
		return 0, fmt.Errorf("%q is not r followed by a number", s)
	}
	n, err := strconv.ParseUint(s[1:], 10, 64)
	if err != nil || n == math.MaxUint64 {
		return 0, fmt.Errorf("%q is not r followed by a number", s)
	}
	return n, nil
}

var checker = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(settings.JSONName)
	return v
}()

func decode(raw json.RawMessage, into any) error {
	if len(raw) == 0 {
		return &Fault{Field: "spec", Why: "missing"}
	}
	if err := json.Unmarshal(raw, into); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return &Fault{Field: te.Field, Why: "a " + te.Value + " cannot stand here"}
		}
		return &Fault{Field: "spec", Why: err.Error()}
	}
	if err := checker.Struct(into); err != nil {
		f, why, _ := strings.Cut(settings.FirstFault(err), ": ")
		return &Fault{Field: f, Why: why}
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
		var f *Fault
		if errors.As(err, &f) {
			f.Item = it.label()
			return f
		}
		return &Fault{Item: it.label(), Why: err.Error()}
	}
	at := func() string { return fmt.Sprintf("resourceList[%d]", i) } // of one that has no name to go by
	if it.name == "" && it.kind != "limits" && slices.Contains([]string{"routes", "services", "tenants"}, it.kind) {
		return nil, &Fault{Item: at(), Field: "metadata.name", Why: "missing"}
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
		it.service = &Service{Name: it.name, HealthPath: sp.HealthCheckPath, MaxConnections: sp.MaxConnections,
			Warmup: sp.Warmup.D(), WarmupPerS: sp.WarmupPerS}
		if sc := sp.Scaling; sc != nil {
			it.service.Scaling = &Scaling{sc.MinCount, sc.MaxCount, sc.BootTime.D()}
		}
	case "tenants":
		var sp tenantSpec
		if err := decode(r.Spec, &sp); err != nil {
			return nil, fault(err)
		}
		it.tenant = &Tenant{Name: it.name, Rate: sp.RatePerS, Burst: sp.BurstSize, Homes: sp.AllowedRegions}
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
		return nil, &Fault{Item: at(), Field: "resourceKind", Why: fmt.Sprintf("%q is not known", it.kind)}
	}
	return it, nil
}

// yieldProcessor lets other work of the process go on between the items of a long
// configuration: on a small part of a core, reading hundreds of them at one go
// is a stall that every request at this process would feel.
func yieldProcessor(n int) {
	if n%constants.ReadBatch == 0 {
		runtime.Gosched()
	}
}

// Read checks a whole configuration and makes it ready for use. Its error is
// always a *Fault.
func Read(raw []byte) (*Config, error) {
	var d document
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(&d); err != nil {
		return nil, &Fault{Why: "cannot be read: " + err.Error()}
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, &Fault{Why: "cannot be read: more follows the document"}
	}
	ver, err := ParseVersion(d.ConfigVersion)
	if err != nil {
		return nil, &Fault{Field: "configVersion", Why: err.Error()}
	}
	if d.ResourceList == nil {
		return nil, &Fault{Field: "resourceList", Why: "missing"}
	}
	var its []*item
	for i := range d.ResourceList {
		it, err := readItem(i, &d.ResourceList[i])
		if err != nil {
			return nil, err
		}
		its = append(its, it)
		yieldProcessor(i)
	}
	return build(ver, its)
}

// textHash stand for an item's text, which need not be kept to know it again.
type textHash [16]byte

func hashText(text string) (l textHash) {
	sum := sha256.Sum256([]byte(text))
	copy(l[:], sum[:])
	return l
}

// Reader reads one configuration after another, and of each only the items that
// the one before did not have, letter for letter.
type Reader struct {
	items map[textHash]*item
	New   int // items the last document did not share with the one before
}

// Read is like the function of that name; a document that is written otherwise
// than items can be told apart in is read whole.
func (rd *Reader) Read(raw []byte) (*Config, error) {
	if s, err := rd.changes(raw); err == nil {
		return s, nil
	}
	rd.items, rd.New = nil, 0
	return Read(raw)
}

// itemsFollow is the beginning of a document that has nothing before its items but its
// version: whatever else stands there might be a list of something else.
var itemsFollow = regexp.MustCompile(`^\s*\{\s*"configVersion"\s*:\s*"[^"\\]*"\s*,\s*"resourceList"\s*:\s*\[\s*$`)

var errWritten = errors.New("items cannot be told apart")

func (rd *Reader) changes(raw []byte) (*Config, error) {
	parts := items(raw)
	var d document
	if len(parts) < 2 || !itemsFollow.Match(parts[0]) || json.Unmarshal(append(slices.Clone(parts[0]), "]}"...), &d) != nil {
		return nil, errWritten
	}
	ver, err := ParseVersion(d.ConfigVersion)
	if err != nil {
		return nil, err
	}
	have := make(map[textHash]*item, len(parts))
	var its []*item
	rd.New = 0
	for i, p := range parts[1:] {
		text, ok := strings.TrimSpace(string(p)), true
		if i == len(parts)-2 {
			if text, ok = strings.CutSuffix(text, "}"); ok {
				text, ok = strings.CutSuffix(strings.TrimSpace(text), "]")
			}
		} else {
			text, ok = strings.CutSuffix(text, ",")
		}
		if !ok {
			return nil, errWritten
		}
		text = strings.TrimSpace(text)
		key := hashText(text)
		it := rd.items[key]
		if it == nil {
			var r resource
			if json.Unmarshal([]byte(text), &r) != nil {
				return nil, errWritten
			}
			if it, err = readItem(i, &r); err != nil {
				return nil, err
			}
			rd.New++
			yieldProcessor(rd.New)
		}
		have[key] = it
		its = append(its, it)
	}
	s, err := build(ver, its)
	if err == nil {
		rd.items = have
	}
	return s, err
}

// build puts checked items together, and checks what concerns several.
func build(ver uint64, its []*item) (*Config, error) {
	s := &Config{Version: ver, Services: map[string]*Service{}, Tenants: map[string]*Tenant{},
		keys: map[string]*Tenant{}, hosts: map[string][]*Route{}}
	names := make(map[string]bool, len(its))
	limits := false
	for _, it := range its {
		if it.kind == "limits" {
			if limits {
				return nil, &Fault{Item: "limits", Why: "stated twice"}
			}
			limits, s.Limits = true, it.limits
			continue
		}
		label := it.label()
		if names[label] {
			return nil, &Fault{Item: label, Field: "metadata.name", Why: "named twice"}
		}
		names[label] = true
		switch {
		case it.service != nil:
			s.Services[it.name] = it.service
		case it.tenant != nil:
			s.Tenants[it.name] = it.tenant
			for _, k := range it.keys {
				if h := s.keys[k]; h != nil && h != it.tenant {
					return nil, &Fault{Item: label, Field: "apiKeys", Why: "a key is held by tenant " + h.Name + " too"}
				}
				s.keys[k] = it.tenant
			}
		}
	}
	places := map[string]string{}
	for i, it := range its {
		if it.route == nil {
			continue
		}
		yieldProcessor(i)
		sp := it.route
		r := &Route{Name: it.name, Host: strings.ToLower(sp.Host), Prefix: sp.PathPrefix, Idempotent: sp.RouteType == Idempotent,
			Stream: sp.RouteType == Streaming, Affinity: sp.SessionAffinity,
			Timeout: sp.Timeout.D(), TargetLatency: sp.TargetLatency.D(), Priority: sp.Priority, MaxAttempts: sp.MaxAttempts, Public: sp.Public, Homes: sp.AllowedRegions}
		place := r.Host + r.Prefix
		if other, ok := places[place]; ok {
			return nil, &Fault{Item: it.label(), Field: "pathPrefix", Why: "route " + other + " has the same host and prefix"}
		}
		places[place] = r.Name
		switch {
		case sp.TargetService != "" && len(sp.WeightedTargets) > 0:
			return nil, &Fault{Item: it.label(), Field: "targetService", Why: "stands beside weightedTargets"}
		case sp.TargetService != "":
			r.Targets = []Target{{sp.TargetService, 1}}
		default:
			sum := 0.0
			for _, t := range sp.WeightedTargets {
				if s.Services[t.TargetService] == nil {
					return nil, &Fault{Item: it.label(), Field: "weightedTargets", Why: "service " + t.TargetService + " is not known"}
				}
				if t.Weight > 0 {
					sum += t.Weight
					r.Targets = append(r.Targets, Target{t.TargetService, sum})
				}
			}
			if sum == 0 {
				return nil, &Fault{Item: it.label(), Field: "targetService", Why: "no target has any weight"}
			}
		}
		if s.Services[r.Targets[0].Service] == nil {
			return nil, &Fault{Item: it.label(), Field: "targetService", Why: "service " + r.Targets[0].Service + " is not known"}
		}
		s.hosts[r.Host] = append(s.hosts[r.Host], r)
	}
	for _, rs := range s.hosts {
		sort.Slice(rs, func(a, b int) bool { return len(rs[a].Prefix) > len(rs[b].Prefix) })
	}
	return s, nil
}
