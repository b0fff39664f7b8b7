package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// The list is read through all its pages, or not at all: a part of it would
// pass for the whole, and upstreams for gone.
func TestAllPagesOrNothing(t *testing.T) {
	entry := func(id, state string) string {
		return fmt.Sprintf(`{"instanceId":%q,"targetService":"s","address":"10.0.0.1:80","capacitySlots":2,"state":%q,"warmupLeft":"1.5s"}`, id, state)
	}
	var second http.HandlerFunc
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("pageToken") == "p 2&" {
			second(w, r)
			return
		}
		fmt.Fprintf(w, `{"instances":{"z1":[%s,%s]},"nextPageToken":"p 2&"}`, entry("i-2", "ready"), entry("i-1", "draining"))
	}))
	defer srv.Close()
	s := NewSource(strings.TrimPrefix(srv.URL, "http://"))
	second = func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"instances":{"z2":[%s]},"nextPageToken":null}`, entry("i-3", "ready"))
	}
	is, err := s.Read(context.Background())
	if err != nil || len(is) != 3 || is[0].ID != "i-1" || !is[0].Draining || is[1].Draining || is[2].Zone != "z2" || is[2].Warmup.Seconds() != 1.5 || s.Calls != 2 {
		t.Fatalf("got %+v %v after %d calls", is, err, s.Calls)
	}
	for name, h := range map[string]http.HandlerFunc{
		"rate":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(429) },
		"broken": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"instances":{"z2":[`) },
		"error":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) },
	} {
		second = h
		if is, err := s.Read(context.Background()); err == nil || is != nil || (name == "rate") != errors.Is(err, ErrRateLimited) {
			t.Errorf("%s: got %v %v", name, is, err)
		}
	}
	a, b := is[:1], []Instance{is[0]}
	b[0].Warmup = 0
	if !SameInstances(a, b) || SameInstances(a, is) {
		t.Error("lists are compared wrongly")
	}
}

// A list told as its difference is the list, and fits no other base.
func TestListDifferences(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var lists []*List
	for num := uint64(1); num < 40; num++ {
		l := &List{Num: num}
		for i := range 60 {
			if r.IntN(5) > 0 {
				l.Instances = append(l.Instances, Instance{ID: fmt.Sprintf("i-%02d", i), Service: "s", Slots: 2, Draining: r.IntN(6) == 0})
			}
		}
		lists = append(lists, l)
		for _, base := range append([]*List{nil}, lists...) {
			c := Diff(base, l)
			got, ok := c.Apply(base)
			if !ok || got.Num != num || !SameInstances(got.Instances, l.Instances) {
				t.Fatalf("list %d against %v: %v", num, base, ok)
			}
			if other := lists[r.IntN(len(lists))]; base != nil && other.Num != base.Num {
				if _, ok := c.Apply(other); ok {
					t.Fatalf("list %d against %d fits %d", num, base.Num, other.Num)
				}
			}
		}
	}
	warm := []Instance{{ID: "i"}}
	cold := []Instance{{ID: "i", Warmup: time.Second}}
	if SameInstances(warm, cold) || !SameInstances(cold, warm) {
		t.Error("one that turns cold makes a difference, one that warms up does not")
	}
}
