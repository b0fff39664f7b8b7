// Package discovery reads the list of upstream instances from the platform's HTTP API, and
// represents numbered versions of the list and the changes between them.
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

// Instance is an upstream instance on the platform's list.
type Instance struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	Warmup                     time.Duration
}

// List is a numbered version of the platform's list; a higher number is newer.
type List struct {
	Num       uint64
	Instances []Instance
}

// Change is the difference between two numbered lists. Base 0 is the empty list.
type Change struct {
	Base, Num uint64
	Put       []Instance // added or changed
	Gone      []string   // IDs of removed instances
}

// Diff returns the change from base, which may be nil, to list. Instances that are warming up
// are always included, so that the receiver gets their remaining warm-up time.
func Diff(base, list *List) *Change {
	c := &Change{Num: list.Num}
	removed := map[string]Instance{}
	if base != nil {
		c.Base = base.Num
		for _, instance := range base.Instances {
			removed[instance.ID] = instance
		}
	}
	for _, instance := range list.Instances {
		previous, ok := removed[instance.ID]
		delete(removed, instance.ID)
		current := instance
		previous.Warmup, current.Warmup = 0, 0
		if !ok || previous != current || instance.Warmup > 0 {
			c.Put = append(c.Put, instance)
		}
	}
	for id := range removed {
		c.Gone = append(c.Gone, id)
	}
	sort.Strings(c.Gone)
	return c
}

// Apply returns the list that results from applying the change to base. It returns false if
// base is not the list that the change is based on.
func (c *Change) Apply(base *List) (*List, bool) {
	byID := map[string]Instance{}
	if c.Base > 0 {
		if base == nil || base.Num != c.Base {
			return nil, false
		}
		for _, instance := range base.Instances {
			instance.Warmup = 0 // receivers of the base list count its warm-up times down themselves
			byID[instance.ID] = instance
		}
	}
	for _, id := range c.Gone {
		delete(byID, id)
	}
	for _, instance := range c.Put {
		byID[instance.ID] = instance
	}
	list := &List{Num: c.Num}
	for _, instance := range byID {
		list.Instances = append(list.Instances, instance)
	}
	sort.Slice(list.Instances, func(i, j int) bool { return list.Instances[i].ID < list.Instances[j].ID })
	return list, true
}

// SameInstances reports whether a later list contains the same instances in the same states.
// Holders of a list count its warm-up times down themselves, so a warm-up time counts as
// changed only if it is longer than before.
func SameInstances(earlier, later []Instance) bool {
	return slices.EqualFunc(earlier, later, func(x, y Instance) bool {
		if y.Warmup > x.Warmup {
			return false
		}
		x.Warmup, y.Warmup = 0, 0
		return x == y
	})
}

// page is one page of the platform's list, with the instances grouped by zone.
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

// Source is a client of the platform's API. It is not safe for concurrent use.
type Source struct {
	client *http.Client
	base   string // URL of the list
	Calls  uint64 // HTTP requests sent
}

// NewSource returns a Source that reads from the API at addr (host:port).
func NewSource(addr string) *Source {
	return &Source{base: "http://" + addr + "/instances", client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}}
}

// ErrRateLimited is returned when the platform rejects a request with status 429.
var ErrRateLimited = errors.New("platform API rate limit exceeded")

// Read fetches all pages and returns the instances sorted by ID, without duplicates. It
// returns an error rather than a partial list.
func (s *Source) Read(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, constants.PollTimeout)
	defer cancel()
	var all []Instance
	token := ""
	for range constants.MaxListPages {
		p, err := s.fetch(ctx, token)
		if err != nil {
			return nil, err
		}
		all = append(all, p.instances()...)
		if p.NextPageToken == nil || *p.NextPageToken == "" {
			sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
			return slices.CompactFunc(all, func(a, b Instance) bool { return a.ID == b.ID }), nil
		}
		token = *p.NextPageToken
	}
	return nil, errors.New("platform instance list exceeds the page limit")
}

// fetch reads the page with the given token, or the first page if token is empty.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, constants.MaxListPageBytes))
	resp.Body.Close()
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode == http.StatusTooManyRequests:
		return nil, ErrRateLimited
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("platform API returned status %d", resp.StatusCode)
	}
	p := &page{}
	if err := json.Unmarshal(body, p); err != nil {
		return nil, fmt.Errorf("decoding the platform instance list: %w", err)
	}
	return p, nil
}

// instances returns the instances on the page, without entries that lack an ID, an address or
// a service.
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
