// Package discovery reads the platform's list of upstreams, all pages, and numbers what it
// finds.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/settings"
)

// Instance is one upstream on the platform's list.
type Instance struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	Warmup                     time.Duration
}

// List is the platform's list under a number; a higher number is newer.
type List struct {
	Num       uint64
	Instances []Instance
}

// Change is the difference between two numbered lists; Base 0 stands for none.
type Change struct {
	Base, Num uint64
	Put       []Instance
	Gone      []string // ids
}

// Diff tells a list as its difference from an earlier one, which may be nil.
func Diff(base, l *List) *Change {
	c := &Change{Num: l.Num}
	old := map[string]Instance{}
	if base != nil {
		c.Base = base.Num
		for _, i := range base.Instances {
			old[i.ID] = i
		}
	}
	for _, i := range l.Instances {
		was, ok := old[i.ID]
		delete(old, i.ID)
		is := i
		was.Warmup, is.Warmup = 0, 0
		if !ok || was != is || i.Warmup > 0 {
			c.Put = append(c.Put, i)
		}
	}
	for id := range old {
		c.Gone = append(c.Gone, id)
	}
	sort.Strings(c.Gone)
	return c
}

// Apply gives the list after the change; false when it does not fit base.
func (c *Change) Apply(base *List) (*List, bool) {
	by := map[string]Instance{}
	if c.Base > 0 {
		if base == nil || base.Num != c.Base {
			return nil, false
		}
		for _, i := range base.Instances {
			i.Warmup = 0 // counted down by whoever was told of it
			by[i.ID] = i
		}
	}
	for _, id := range c.Gone {
		delete(by, id)
	}
	for _, i := range c.Put {
		by[i.ID] = i
	}
	l := &List{Num: c.Num}
	for _, i := range by {
		l.Instances = append(l.Instances, i)
	}
	sort.Slice(l.Instances, func(a, b int) bool { return l.Instances[a].ID < l.Instances[b].ID })
	return l, true
}

// SameInstances says whether a later list names the same upstreams in the same states. How
// long each stays cold is counted down by whoever holds the list, so only one
// that turned cold again makes a difference.
func SameInstances(a, b []Instance) bool {
	return slices.EqualFunc(a, b, func(x, y Instance) bool {
		if y.Warmup > x.Warmup {
			return false
		}
		x.Warmup, y.Warmup = 0, 0
		return x == y
	})
}

// page is one page of the platform's list, by zone.
type page struct {
	Instances map[string][]struct {
		InstanceID    string            `json:"instanceId"`
		TargetService string            `json:"targetService"`
		Address       string            `json:"address"`
		Zone          string            `json:"zone"`
		CapacitySlots int               `json:"capacitySlots"`
		State         string            `json:"state"`
		WarmupLeft    settings.Duration `json:"warmupLeft"`
	} `json:"instances"`
	NextPageToken *string `json:"nextPageToken"`
}

// Source is the platform's interface.
type Source struct {
	client *http.Client
	base   string
	Calls  uint64
}

// NewSource reads from an address.
func NewSource(addr string) *Source {
	return &Source{base: "http://" + addr + "/instances", client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}}
}

// ErrRateLimited is returned when the platform turned a call away.
var ErrRateLimited = errors.New("the platform's call rate is used up")

// Read fetches all pages, sorted.
func (s *Source) Read(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, constants.PollTimeout)
	defer cancel()
	var all []Instance
	token := ""
	for range constants.ListPagesMax {
		p, err := s.fetch(ctx, token)
		if err != nil {
			return nil, err
		}
		all = append(all, p.instances()...)
		if p.NextPageToken == nil || *p.NextPageToken == "" {
			sort.Slice(all, func(a, b int) bool { return all[a].ID < all[b].ID })
			return slices.CompactFunc(all, func(a, b Instance) bool { return a.ID == b.ID }), nil
		}
		token = *p.NextPageToken
	}
	return nil, errors.New("the platform's list has no end")
}

// fetch reads the page that a token names; none names the first.
func (s *Source) fetch(ctx context.Context, token string) (*page, error) {
	address := s.base
	if token != "" {
		address += "?pageToken=" + url.QueryEscape(token)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	s.Calls++
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, constants.ListPageMax))
	resp.Body.Close()
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode == http.StatusTooManyRequests:
		return nil, ErrRateLimited
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("the platform answered %d", resp.StatusCode)
	}
	p := &page{}
	if err := json.Unmarshal(body, p); err != nil {
		return nil, fmt.Errorf("the platform's list: %w", err)
	}
	return p, nil
}

// instances are the page's upstreams; entries without a name, an address or a service are
// left out.
func (p *page) instances() []Instance {
	var out []Instance
	for zone, entries := range p.Instances {
		for _, e := range entries {
			if e.InstanceID == "" || e.Address == "" || e.TargetService == "" {
				continue
			}
			if e.Zone == "" {
				e.Zone = zone
			}
			out = append(out, Instance{
				ID:       e.InstanceID,
				Service:  e.TargetService,
				Address:  e.Address,
				Zone:     e.Zone,
				Slots:    max(1, e.CapacitySlots),
				Draining: e.State != "ready",
				Warmup:   e.WarmupLeft.D(),
			})
		}
	}
	return out
}
