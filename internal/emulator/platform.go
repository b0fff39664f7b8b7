// Package emulator has stand-ins for what surrounds the accounts of tenants, on the
// simulated network: clients that keep the truth about what they sent and were told,
// upstreams that count what they ran, the platform's list of them, proxies, and control
// machines. Proxies and control machines run the accounts' real code.
package emulator

import "slices"

// Platform lists the upstreams that exist.
type Platform struct {
	upstreams map[string]*Upstream
}

// Add lists an upstream.
func (p *Platform) Add(u *Upstream) { p.upstreams[u.Name] = u }

// Remove takes an upstream off the list; what it runs goes on.
func (p *Platform) Remove(name string) { delete(p.upstreams, name) }

// List is the names of all upstreams, sorted.
func (p *Platform) List() []string {
	var out []string
	for name := range p.upstreams {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
