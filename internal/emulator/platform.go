// Package emulator simulates the surroundings of the tenants' accounts on the simulated
// network: clients that record the ground truth about the requests they sent and the answers
// they received, upstreams that count the requests they ran, the platform's list of upstreams,
// proxies, and control machines. Proxies and control machines run the real code of the
// accounts.
package emulator

import "slices"

// Platform is the cloud platform's list of upstreams.
type Platform struct {
	upstreams map[string]*Upstream
}

// Add adds an upstream to the list.
func (p *Platform) Add(u *Upstream) { p.upstreams[u.Name] = u }

// Remove removes an upstream from the list. The requests it is running continue.
func (p *Platform) Remove(name string) { delete(p.upstreams, name) }

// List returns the names of all upstreams, sorted.
func (p *Platform) List() []string {
	var out []string
	for name := range p.upstreams {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
