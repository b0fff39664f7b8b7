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

// TestReadAllPagesOrFail checks that Read returns the instances of all pages or an error. A
// partial list would look complete, and the missing upstreams would be treated as gone.
func TestReadAllPagesOrFail(t *testing.T) {
	entry := func(id, state string) string {
		return fmt.Sprintf(`{"instanceId":%q,"targetService":"s","address":"10.0.0.1:80","capacitySlots":2,"state":%q,"warmupLeft":"1.5s"}`, id, state)
	}
	var secondPage http.HandlerFunc
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("pageToken") == "p 2&" {
			secondPage(w, r)
			return
		}
		fmt.Fprintf(w, `{"instances":{"z1":[%s,%s]},"nextPageToken":"p 2&"}`, entry("i-2", "ready"), entry("i-1", "draining"))
	}))
	defer srv.Close()
	source := NewSource(strings.TrimPrefix(srv.URL, "http://"))
	secondPage = func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"instances":{"z2":[%s]},"nextPageToken":null}`, entry("i-3", "ready"))
	}
	instances, err := source.Read(context.Background())
	if err != nil || len(instances) != 3 || instances[0].ID != "i-1" || !instances[0].Draining || instances[1].Draining || instances[2].Zone != "z2" || instances[2].Warmup.Seconds() != 1.5 || source.Calls != 2 {
		t.Fatalf("got %+v %v after %d calls", instances, err, source.Calls)
	}
	for name, handler := range map[string]http.HandlerFunc{
		"rate":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(429) },
		"broken": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"instances":{"z2":[`) },
		"error":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) },
	} {
		secondPage = handler
		if instances, err := source.Read(context.Background()); err == nil || instances != nil || (name == "rate") != errors.Is(err, ErrRateLimited) {
			t.Errorf("%s: got %v %v", name, instances, err)
		}
	}
	a, b := instances[:1], []Instance{instances[0]}
	b[0].Warmup = 0
	if !SameInstances(a, b) || SameInstances(a, instances) {
		t.Error("SameInstances is true for a longer list, or false for a shorter warm-up time")
	}
}

// TestDiffAndApply checks that applying a difference to its base yields the list, and that it
// applies to no other base.
func TestDiffAndApply(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var lists []*List
	for num := uint64(1); num < 40; num++ {
		list := &List{Num: num}
		for i := range 60 {
			if rng.IntN(5) > 0 {
				list.Instances = append(list.Instances, Instance{ID: fmt.Sprintf("i-%02d", i), Service: "s", Slots: 2, Draining: rng.IntN(6) == 0})
			}
		}
		lists = append(lists, list)
		for _, base := range append([]*List{nil}, lists...) {
			c := Diff(base, list)
			got, ok := c.Apply(base)
			if !ok || got.Num != num || !SameInstances(got.Instances, list.Instances) {
				t.Fatalf("difference of list %d from base %v: applied %v, or yields a different list", num, base, ok)
			}
			if other := lists[rng.IntN(len(lists))]; base != nil && other.Num != base.Num {
				if _, ok := c.Apply(other); ok {
					t.Fatalf("difference of list %d from base %d applies to list %d", num, base.Num, other.Num)
				}
			}
		}
	}
	warm := []Instance{{ID: "i"}}
	cold := []Instance{{ID: "i", Warmup: time.Second}}
	if SameInstances(warm, cold) || !SameInstances(cold, warm) {
		t.Error("a longer warm-up time must count as a change, and a shorter one must not")
	}
}
