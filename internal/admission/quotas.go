package admission

import "slateridge/internal/config"

// Quotas are the limits a configuration sets, by throttle key.
func Quotas(s *config.Config) map[string]Quota {
	out := map[string]Quota{}
	for n, t := range s.Tenants {
		if t.Rate > 0 {
			out[n] = Quota{t.Rate, t.Burst}
		}
	}
	return out
}
