package config

import (
	"sort"
	"strings"
)

// build puts checked items together, and checks what concerns several.
func build(version uint64, items []*item) (*Config, error) {
	c := &Config{
		Version:  version,
		Services: map[string]*Service{},
		Tenants:  map[string]*Tenant{},
		keys:     map[string]*Tenant{},
		hosts:    map[string][]*Route{},
	}
	names := make(map[string]bool, len(items))
	limits := false
	for _, it := range items {
		if it.kind == "limits" {
			if limits {
				return nil, &ValidationError{Item: "limits", Reason: "stated twice"}
			}
			limits, c.Limits = true, it.limits
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
	places := map[string]string{} // host and prefix to the route's name
	for i, it := range items {
		if it.route == nil {
			continue
		}
		yieldProcessor(i)
		if err := c.addRoute(it, places); err != nil {
			return nil, err
		}
	}
	for _, routes := range c.hosts {
		sort.Slice(routes, func(a, b int) bool { return len(routes[a].Prefix) > len(routes[b].Prefix) })
	}
	return c, nil
}

// addTenant adds a tenant with its keys, which no other may hold.
func (c *Config) addTenant(it *item) error {
	c.Tenants[it.name] = it.tenant
	for _, key := range it.keys {
		if holder := c.keys[key]; holder != nil && holder != it.tenant {
			return &ValidationError{Item: it.label(), Field: "apiKeys", Reason: "a key is held by tenant " + holder.Name + " too"}
		}
		c.keys[key] = it.tenant
	}
	return nil
}

// addRoute adds a route, after all services; places has the routes added so far.
func (c *Config) addRoute(it *item, places map[string]string) error {
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
	place := r.Host + r.Prefix
	if other, ok := places[place]; ok {
		return &ValidationError{Item: it.label(), Field: "pathPrefix", Reason: "route " + other + " has the same host and prefix"}
	}
	places[place] = r.Name
	targets, err := c.targets(it)
	if err != nil {
		return err
	}
	r.Targets = targets
	if c.Services[r.Targets[0].Service] == nil {
		return &ValidationError{Item: it.label(), Field: "targetService", Reason: "service " + r.Targets[0].Service + " is not known"}
	}
	c.hosts[r.Host] = append(c.hosts[r.Host], r)
	return nil
}

// targets are the services that a route may go to: one, or several by weight.
func (c *Config) targets(it *item) ([]Target, error) {
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
