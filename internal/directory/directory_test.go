package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"slateridge/internal/constants"
)

var zones = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

// TestLookupUnderFailures runs seeded fleets whose proxies start, leave, fail with or without
// notice, and return, against a directory that is sometimes partitioned from them. An answer
// is never empty while any proxy is known, does not include a proxy that left more than a
// bounded time ago while others are fresh, and stays in the client's zone while that zone has
// enough proxies.
func TestLookupUnderFailures(t *testing.T) {
	answered := 0
	for seed := uint64(1); seed <= 200; seed++ {
		rng := rand.New(rand.NewPCG(seed, 5))
		d := New(0, zones)
		type proxy struct {
			Location
			up           bool
			disconnected bool          // the directory was notified and has received no report since
			downAt       time.Duration // when it left
			reportedAt   time.Duration
		}
		proxies := map[string]*proxy{}
		var names []string
		for zone, region := range zones {
			for i := range 3 + rng.IntN(9) {
				name := fmt.Sprint(zone, "-", i)
				proxies[name] = &proxy{Location: Location{Front: name, Zone: zone, Region: region, Ready: true}, up: true, reportedAt: -time.Hour}
				names = append(names, name)
			}
		}
		slices.Sort(names)
		partitionedUntil := time.Duration(0)
		for now := time.Duration(0); now < 60*time.Second; now += 100 * time.Millisecond {
			if rng.IntN(80) == 0 {
				partitionedUntil = now + time.Duration(rng.IntN(8000))*time.Millisecond
			}
			for _, name := range names {
				p := proxies[name]
				switch {
				case p.up && rng.IntN(400) == 0: // leaves, with or without notice
					p.up, p.downAt = false, now
					if rng.IntN(2) == 0 && now >= partitionedUntil {
						p.disconnected = true
						d.MarkDisconnected(now, name, true)
					}
				case !p.up && rng.IntN(60) == 0:
					p.up = true
				}
				if p.up && now >= partitionedUntil && rng.IntN(8) == 0 {
					if rng.IntN(3) == 0 {
						d.ReportRelayed(now, name, p.Location, time.Duration(rng.IntN(300))*time.Millisecond)
					} else {
						d.Report(now, name, p.Location, false)
					}
					p.reportedAt, p.disconnected = now, false
				}
			}
			zone := []string{"a1", "a2", "b1", "b2"}[rng.IntN(4)]
			got, ok := d.Lookup(now, zone, zones[zone])
			known, fresh, freshInZone := 0, 0, 0
			for _, p := range proxies {
				if now-p.reportedAt < constants.ProxyExpiry {
					known++
				}
				if p.up && !p.disconnected && now-p.reportedAt < constants.LocationMaxAge-time.Second {
					fresh++
					if p.Zone == zone {
						freshInZone++
					}
				}
			}
			if now < constants.DirectoryStartupDelay {
				if ok {
					t.Fatalf("seed %d: lookup answered %v after the start", seed, now)
				}
				continue
			}
			if !ok && known > 0 {
				t.Fatalf("seed %d at %v: no answer although %d proxies are known", seed, now, known)
			}
			answered++
			for _, address := range got {
				p := proxies[address]
				if limit := constants.LocationMaxAge + constants.DirectoryCacheTTL + 300*time.Millisecond; !p.up && now-p.downAt > limit && fresh > 0 {
					t.Fatalf("seed %d at %v: answer includes %s, down for %v, although %d proxies are fresh", seed, now, address, now-p.downAt, fresh)
				}
			}
			total, outside := 0, 0
			for _, p := range proxies {
				if p.Zone == zone && now-p.reportedAt < constants.ProxyExpiry {
					total++
				}
			}
			for _, address := range got {
				if proxies[address].Zone != zone {
					outside++
				}
			}
			if freshInZone == total && freshInZone >= constants.MinLookupAddresses && outside > 0 {
				t.Fatalf("seed %d at %v: %d of %d proxies of zone %s are up, but the answer includes %d of other zones", seed, now, freshInZone, total, zone, outside)
			}
		}
	}
	if answered < 100000 {
		t.Errorf("only %d answers were checked", answered)
	}
}

// TestSpillIsGradual checks that proxies lost from a zone are replaced one for one from its
// own region, and that another region is used only when that is not enough.
func TestSpillIsGradual(t *testing.T) {
	d := New(-time.Minute, zones)
	report := func(node, zone string, ready bool) {
		d.Report(0, node, Location{Front: node, Zone: zone, Region: zones[zone], Ready: ready}, true)
	}
	for zone := range zones {
		for i := range 10 {
			report(fmt.Sprint(zone, "-", i), zone, true)
		}
	}
	previous := 0
	for i := range 10 {
		report(fmt.Sprint("a1-", i), "a1", false)
		got, ok := d.Lookup(0, "a1", "a")
		outside := 0
		for _, address := range got {
			if address[:2] != "a1" {
				outside++
			}
			if address[0] != 'a' {
				t.Fatalf("%d of 10 proxies ready: answer includes %s of another region", 9-i, address)
			}
		}
		if !ok || outside-previous > 1 || outside < previous || len(got) < 9 {
			t.Fatalf("%d of 10 proxies ready: %d from outside the zone, previously %d; %d in total", 9-i, outside, previous, len(got))
		}
		previous = outside
	}
	if previous != 9 {
		t.Fatalf("no proxy ready in the zone: answer includes %d from outside, want 9", previous)
	}
}
