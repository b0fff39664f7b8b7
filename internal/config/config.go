// Package config parses and validates the configuration document and provides the lookups
// that proxies make in it. It also defines the replicated state of the control plane, of which
// the document is a part, and the encoding of differences between two documents.
package config

import (
	"slices"
	"strings"
	"time"
)

// Route types, as written in the configuration document.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming" // the response is streamed; the request is sent at most once
)

// Target is a service that a route may send requests to.
type Target struct {
	Service string
	// cumulativeWeight is the sum of the weights up to and including this target.
	cumulativeWeight float64
}

// Route maps requests for a host and path prefix to one or more services.
type Route struct {
	Name, Host, Prefix         string
	Idempotent                 bool
	Streaming, SessionAffinity bool
	Timeout, TargetLatency     time.Duration
	Priority                   int
	MaxAttempts                int
	Public                     bool
	Targets                    []Target
	AllowedRegions             []string // regions in which it may be served; empty means all
}

// AllowedRegions returns the regions in which a request may be served: those that both its
// route and its tenant allow. If neither restricts the regions, all is true. t may be nil.
func AllowedRegions(r *Route, t *Tenant) (regions []string, all bool) {
	if t == nil || len(t.AllowedRegions) == 0 {
		return r.AllowedRegions, len(r.AllowedRegions) == 0
	}
	if len(r.AllowedRegions) == 0 {
		return t.AllowedRegions, false
	}
	for _, region := range r.AllowedRegions {
		if slices.Contains(t.AllowedRegions, region) {
			regions = append(regions, region)
		}
	}
	return regions, false
}

// PickTarget returns the service of a target chosen by weight. u is a random number
// uniformly distributed over [0, 1).
func (r *Route) PickTarget(u float64) string {
	u *= r.Targets[len(r.Targets)-1].cumulativeWeight
	for _, t := range r.Targets {
		if u < t.cumulativeWeight {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// RoutesTo reports whether service is among the targets of the route.
func (r *Route) RoutesTo(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service {
			return true
		}
	}
	return false
}

// Service holds the configuration of one upstream service.
type Service struct {
	Name, HealthCheckPath string
	MaxConnections        int
	Warmup                time.Duration // how long a new upstream is limited to WarmupRate
	WarmupRate            float64       // requests per second sent to an upstream during its warm-up; 0 means no limit
	Scaling               *Scaling      // nil if its instance count is not managed by this system
}

// Scaling bounds the number of instances that are ordered for a service in each zone.
type Scaling struct {
	Min, Max int
	BootTime time.Duration
}

// Tenant is the owner of a set of API keys, with its quota. A Rate of 0 means no limit.
type Tenant struct {
	Name           string
	Priority       int
	HasPriority    bool
	Rate, Burst    float64
	AllowedRegions []string
}

// Limits bounds the size and duration of client requests.
type Limits struct {
	MaxHeaderBytes             int
	MaxBodyBytes               int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is a parsed and validated configuration.
type Config struct {
	Version      uint64
	Services     map[string]*Service
	Tenants      map[string]*Tenant
	Limits       Limits
	tenantsByKey map[string]*Tenant
	routesByHost map[string][]*Route // in descending order of prefix length
}

// Match returns the route for the host that has the longest matching path prefix, or nil.
// A port in host is ignored unless a route names it.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := c.routesByHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			routes = c.routesByHost[host[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// TenantByKey returns the tenant that owns an API key, or nil.
func (c *Config) TenantByKey(key string) *Tenant { return c.tenantsByKey[key] }

// RequiresKeys reports whether requests to routes that are not public need an API key.
func (c *Config) RequiresKeys() bool { return len(c.Tenants) > 0 }

// Routes returns all routes, in no particular order.
func (c *Config) Routes() []*Route {
	var out []*Route
	for _, routes := range c.routesByHost {
		out = append(out, routes...)
	}
	return out
}
