package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
)

// matchRequest returns the route and tenant of a request, or the status code to reject it
// with. The tenant is nil for public routes and when no API keys are configured.
func matchRequest(cfg *config.Config, r *http.Request) (*config.Route, *config.Tenant, int) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := cfg.Match(r.Host, path)
	if route == nil {
		return nil, nil, http.StatusNotFound
	}
	if route.Public || !cfg.RequiresKeys() {
		return route, nil, 0
	}
	keys := r.Header[headerAPIKey]
	if len(keys) != 1 {
		return nil, nil, http.StatusUnauthorized
	}
	tenant := cfg.TenantByKey(keys[0])
	if tenant == nil {
		return nil, nil, http.StatusUnauthorized
	}
	return route, tenant, 0
}

// clientTimeBudget returns how long the client waits for the response. A missing or invalid
// header yields the default.
func clientTimeBudget(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(headerBudget), 10, 64)
	if err != nil || ms < 0 || ms > constants.DefaultTimeBudget.Milliseconds()*100 {
		return constants.DefaultTimeBudget
	}
	return time.Duration(ms) * time.Millisecond
}
