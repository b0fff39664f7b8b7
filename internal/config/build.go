package config

import (
	"sort"
	"strings"
)

// build assembles a configuration from items that are valid on their own and makes the
// checks that involve more than one item.
func build(version uint64, items []*item) (*Config, error) {
	c := &Config{
		Version:      version,
		Services:     map[string]*Service{},
		Tenants:      map[string]*Tenant{},
		tenantsByKey: map[string]*Tenant{},
		routesByHost: map[string][]*Route{},
	}
	names := make(map[string]bool, len(items))
	hasLimits := false
	for _, it := range items {
		if it.kind == "limits" {
			if hasLimits {
				return nil, &ValidationError{Item: "limits", Reason: "stated twice"}
			}
			hasLimits, c.Limits = true, it.limits
			continue
		}
		label := it.label()
		if names[label] {
			return nil, &ValidationError{Item: label, Field: "metadata.name", Reason: "named twice"}
		}
		names[label] = true
		switch {
		case it.service != nil:
			c.Services[it.name] = it.service
		case it.tenant != nil:
			if err := c.addTenant(it); err != nil {
				return nil, err
			}
		}
	}
	routeNames := map[string]string{} // by host and prefix
	for i, it := range items {
		if it.route == nil {
			continue
		}
		yieldProcessor(i)
		if err := c.addRoute(it, routeNames); err != nil {
			return nil, err
		}
	}
	for _, routes := range c.routesByHost {
		sort.Slice(routes, func(a, b int) bool { return len(routes[a].Prefix) > len(routes[b].Prefix) })
	}
	return c, nil
}

// addTenant adds a tenant with its API keys, none of which may belong to another tenant.
func (c *Config) addTenant(it *item) error {
	c.Tenants[it.name] = it.tenant
	for _, key := range it.keys {
		if owner := c.tenantsByKey[key]; owner != nil && owner != it.tenant {
			return &ValidationError{Item: it.label(), Field: "apiKeys", Reason: "a key is held by tenant " + owner.Name + " too"}
		}
		c.tenantsByKey[key] = it.tenant
	}
	return nil
}

// addRoute adds a route; all services must have been added before. routeNames maps the host
// and prefix of each route added so far to its name.
func (c *Config) addRoute(it *item, routeNames map[string]string) error {
	spec := it.route
	r := &Route{
		Name:            it.name,
		Host:            strings.ToLower(spec.Host),
		Prefix:          spec.PathPrefix,
		Idempotent:      spec.RouteType == Idempotent,
		Streaming:       spec.RouteType == Streaming,
		SessionAffinity: spec.SessionAffinity,
		Timeout:         spec.Timeout.D(),
		TargetLatency:   spec.TargetLatency.D(),
		Priority:        spec.Priority,
		MaxAttempts:     spec.MaxAttempts,
		Public:          spec.Public,
		AllowedRegions:  spec.AllowedRegions,
	}
	hostPrefix := r.Host + r.Prefix
	if other, ok := routeNames[hostPrefix]; ok {
		return &ValidationError{Item: it.label(), Field: "pathPrefix", Reason: "route " + other + " has the same host and prefix"}
	}
	routeNames[hostPrefix] = r.Name
	targets, err := c.routeTargets(it)
	if err != nil {
		return err
	}
	r.Targets = targets
	if c.Services[r.Targets[0].Service] == nil {
		return &ValidationError{Item: it.label(), Field: "targetService", Reason: "service " + r.Targets[0].Service + " is not known"}
	}
	c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	return nil
}

// routeTargets returns the targets of a route: its targetService, or its weightedTargets
// that have a positive weight.
func (c *Config) routeTargets(it *item) ([]Target, error) {
	spec := it.route
	if spec.TargetService != "" && len(spec.WeightedTargets) > 0 {
		return nil, &ValidationError{Item: it.label(), Field: "targetService", Reason: "stands beside weightedTargets"}
	}
	if spec.TargetService != "" {
		return []Target{{spec.TargetService, 1}}, nil
	}
	var targets []Target
	sum := 0.0
	for _, t := range spec.WeightedTargets {
		if c.Services[t.TargetService] == nil {
			return nil, &ValidationError{Item: it.label(), Field: "weightedTargets", Reason: "service " + t.TargetService + " is not known"}
		}
		if t.Weight > 0 {
			sum += t.Weight
			targets = append(targets, Target{t.TargetService, sum})
		}
	}
	if sum == 0 {
		return nil, &ValidationError{Item: it.label(), Field: "targetService", Reason: "no target has any weight"}
	}
	return targets, nil
}
