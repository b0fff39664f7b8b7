package admission

import "slateridge/internal/config"

// Quotas returns the quotas that a configuration sets, by throttle key.
func Quotas(cfg *config.Config) map[string]Quota {
	quotas := map[string]Quota{}
	for name, tenant := range cfg.Tenants {
		if tenant.Rate > 0 {
			quotas[name] = Quota{tenant.Rate, tenant.Burst}
		}
	}
	return quotas
}
