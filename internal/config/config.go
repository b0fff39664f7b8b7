// Package config holds the configuration document, its validation, and the form in which
// proxies look it up.
package config

import (
	"slices"
	"strings"
	"time"
)

// Kinds of route.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming" // answered piece by piece, and sent at most once
)

// Target is one service a route may go to, with the running sum of weights.
type Target struct {
	Service string
	upTo    float64
}

// Route is one route, ready for use.
type Route struct {
	Name, Host, Prefix         string
	Idempotent                 bool
	Streaming, SessionAffinity bool
	Timeout, TargetLatency     time.Duration
	Priority                   int
	MaxAttempts                int
	Public                     bool
	Targets                    []Target
	AllowedRegions             []string // regions it may be served in; none named means all
}

// AllowedRegions are the regions in which a request may be served, where both its route
// and its tenant have a say; all says that neither has.
func AllowedRegions(r *Route, t *Tenant) (homes []string, all bool) {
	if t == nil || len(t.AllowedRegions) == 0 {
		return r.AllowedRegions, len(r.AllowedRegions) == 0
	}
	if len(r.AllowedRegions) == 0 {
		return t.AllowedRegions, false
	}
	for _, h := range r.AllowedRegions {
		if slices.Contains(t.AllowedRegions, h) {
			homes = append(homes, h)
		}
	}
	return homes, false
}

// PickTarget chooses a target; u is drawn evenly from 0 to 1.
func (r *Route) PickTarget(u float64) string {
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
	Name, HealthCheckPath string
	MaxConnections        int
	Warmup                time.Duration // how long an upstream stays cold
	WarmupRate            float64       // requests a second a cold one bears; 0 is no bound
	Scaling               *Scaling      // nil: its upstreams are not ours to order
}

// Scaling bounds how many upstreams of a service are ordered in each zone.
type Scaling struct {
	Min, Max int
	BootTime time.Duration
}

// Tenant is a holder of keys, with its quota; Rate 0 is no limit.
type Tenant struct {
	Name           string
	Priority       int
	HasPriority    bool
	Rate, Burst    float64
	AllowedRegions []string
}

// Limits bound what clients may send.
type Limits struct {
	MaxHeaderBytes             int
	MaxBodyBytes               int64
	HeaderTimeout, IdleTimeout time.Duration
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

// TenantByKey finds the tenant of a key.
func (s *Config) TenantByKey(key string) *Tenant { return s.keys[key] }

// RequiresKeys says whether routes that are not public need a key.
func (s *Config) RequiresKeys() bool { return len(s.Tenants) > 0 }

// Routes lists all routes.
func (s *Config) Routes() []*Route {
	var out []*Route
	for _, rs := range s.hosts {
		out = append(out, rs...)
	}
	return out
}
