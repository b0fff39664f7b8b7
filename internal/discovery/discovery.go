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

// Same says whether a later list names the same upstreams in the same states. How
// long each stays cold is counted down by whoever holds the list, so only one
// that turned cold again makes a difference.
func Same(a, b []Instance) bool {
	return slices.EqualFunc(a, b, func(x, y Instance) bool {
		if y.Warmup > x.Warmup {
			return false
		}
		x.Warmup, y.Warmup = 0, 0
		return x == y
	})
}

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

// ErrRate is returned when the platform turned a call away.
var ErrRate = errors.New("the platform's call rate is used up")

const pageMax = 4 << 20 // bytes; far over any page

// Read fetches all pages, sorted.
func (s *Source) Read(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, constants.PollTimeout)
	defer cancel()
	var out []Instance
	token := ""
	for range 1000 {
		u := s.base
		if token != "" {
			u += "?pageToken=" + url.QueryEscape(token)
		}
		req, err := http.NewRequestWithContext(ctx, "GET", u, nil)
		if err != nil {
			return nil, err
		}
		s.Calls++
		resp, err := s.client.Do(req)
		if err != nil {
			return nil, err
		}
		b, err := io.ReadAll(io.LimitReader(resp.Body, pageMax))
		resp.Body.Close()
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusTooManyRequests:
			return nil, ErrRate
		case resp.StatusCode != http.StatusOK:
			return nil, fmt.Errorf("the platform answered %d", resp.StatusCode)
		}
		var p page
		if err := json.Unmarshal(b, &p); err != nil {
			return nil, fmt.Errorf("the platform's list: %w", err)
		}
		for zone, is := range p.Instances {
			for _, i := range is {
				if i.InstanceID == "" || i.Address == "" || i.TargetService == "" {
					continue
				}
				if i.Zone == "" {
					i.Zone = zone
				}
				out = append(out, Instance{ID: i.InstanceID, Service: i.TargetService, Address: i.Address, Zone: i.Zone,
					Slots: max(1, i.CapacitySlots), Draining: i.State != "ready", Warmup: i.WarmupLeft.D()})
			}
		}
		if p.NextPageToken == nil || *p.NextPageToken == "" {
			sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
			return slices.CompactFunc(out, func(a, b Instance) bool { return a.ID == b.ID }), nil
		}
		token = *p.NextPageToken
	}
	return nil, errors.New("the platform's list has no end")
}
