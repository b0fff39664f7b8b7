package config

import (
	"sort"
	"strings"
)

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
