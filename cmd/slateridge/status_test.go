package main

import (
	"fmt"
	"strings"
	"testing"

	"slateridge/internal/controlplane"
	"slateridge/internal/distribution"
)

// With hundreds of proxies the status lists only those that lag or are not ready; --all lists
// every proxy.
func TestShowControlManyProxies(t *testing.T) {
	var r controlplane.Report
	r.Chain.Version, r.ListNum = 7, 3
	for i := range 300 {
		r.Proxies = append(r.Proxies, distribution.ProxyState{Subscription: distribution.Subscription{Name: fmt.Sprintf("edge-%03d", i), Version: 7, ListNum: uint64(3 - i/299), Ready: i != 9}})
	}
	for all, want := range map[bool]int{false: 2, true: 300} {
		var out strings.Builder
		showControl(&out, "x", r, all)
		if listed := strings.Count(out.String(), "    edge-"); listed != want || !strings.Contains(out.String(), "    edge-299") || !strings.Contains(out.String(), "    edge-009") {
			t.Errorf("all %v: %d proxies listed, want %d", all, listed, want)
		}
	}
}
