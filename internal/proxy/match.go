package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
)

// matchRequest finds route and tenant, or the status that refuses the request.
func matchRequest(cfg *config.Config, r *http.Request) (*config.Route, *config.Tenant, int) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := cfg.Match(r.Host, path)
	if route == nil {
		return nil, nil, http.StatusNotFound
	}
	if route.Public || !cfg.Keyed() {
		return route, nil, 0
	}
	keys := r.Header[headerAPIKey]
	if len(keys) != 1 {
		return nil, nil, http.StatusUnauthorized
	}
	t := cfg.Holder(keys[0])
	if t == nil {
		return nil, nil, http.StatusUnauthorized
	}
	return route, t, 0
}

// clientTimeBudget reads how long the client will wait.
func clientTimeBudget(r *http.Request) time.Duration {
	n, err := strconv.ParseInt(r.Header.Get(headerBudget), 10, 64)
	if err != nil || n < 0 || n > constants.BudgetDefault.Milliseconds()*100 {
		return constants.BudgetDefault
	}
	return time.Duration(n) * time.Millisecond
}
