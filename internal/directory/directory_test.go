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

// TestAnswersUnderTrouble runs seeded fleets whose proxies start, leave, die
// with or without a word, and come back, before a directory that is sometimes
// cut off from them: an answer is never empty while a proxy it could know lives,
// names no proxy that left a bounded time ago while others are known, and stays
// in the client's zone while that has enough.
func TestAnswersUnderTrouble(t *testing.T) {
	answered := 0
	for seed := uint64(1); seed <= 200; seed++ {
		r := rand.New(rand.NewPCG(seed, 5))
		d := New(0, zones)
		type proxy struct {
			Location
			up      bool
			gone    bool          // the directory was told, and has not heard it since
			downAt  time.Duration // when it went
			heardAt time.Duration
		}
		ps := map[string]*proxy{}
		var names []string
		for z, reg := range zones {
			for i := range 3 + r.IntN(9) {
				n := fmt.Sprint(z, "-", i)
				ps[n] = &proxy{Location: Location{Front: n, Zone: z, Region: reg, Ready: true}, up: true, heardAt: -time.Hour}
				names = append(names, n)
			}
		}
		slices.Sort(names)
		cut := time.Duration(0)
		for now := time.Duration(0); now < 60*time.Second; now += 100 * time.Millisecond {
			if r.IntN(80) == 0 {
				cut = now + time.Duration(r.IntN(8000))*time.Millisecond
			}
			for _, n := range names {
				p := ps[n]
				switch {
				case p.up && r.IntN(400) == 0: // leaves, told or not
					p.up, p.downAt = false, now
					if r.IntN(2) == 0 && now >= cut {
						p.gone = true
						d.MarkDisconnected(now, n, true)
					}
				case !p.up && r.IntN(60) == 0:
					p.up = true
				}
				if p.up && now >= cut && r.IntN(8) == 0 {
					if r.IntN(3) == 0 {
						d.ReportRelayed(now, n, p.Location, time.Duration(r.IntN(300))*time.Millisecond)
					} else {
						d.Report(now, n, p.Location, false)
					}
					p.heardAt, p.gone = now, false
				}
			}
			zone := []string{"a1", "a2", "b1", "b2"}[r.IntN(4)]
			got, ok := d.Lookup(now, zone, zones[zone])
			known, fresh, near := 0, 0, 0
			for _, p := range ps {
				if now-p.heardAt < constants.ProxyForget {
					known++
				}
				if p.up && !p.gone && now-p.heardAt < constants.PlaceFresh-time.Second {
					fresh++
					if p.Zone == zone {
						near++
					}
				}
			}
			if now < constants.DirectoryQuiet {
				if ok {
					t.Fatalf("seed %d: answered after %v of life", seed, now)
				}
				continue
			}
			if !ok && known > 0 {
				t.Fatalf("seed %d at %v: no answer, though %d proxies are known", seed, now, known)
			}
			answered++
			for _, a := range got {
				p := ps[a]
				if late := constants.PlaceFresh + constants.AnswerFresh + 300*time.Millisecond; !p.up && now-p.downAt > late && fresh > 0 {
					t.Fatalf("seed %d at %v: %s, gone for %v, is named beside %d that live", seed, now, a, now-p.downAt, fresh)
				}
			}
			total, far := 0, 0
			for _, p := range ps {
				if p.Zone == zone && now-p.heardAt < constants.ProxyForget {
					total++
				}
			}
			for _, a := range got {
				if ps[a].Zone != zone {
					far++
				}
			}
			if near == total && near >= constants.AnswerLeast && far > 0 {
				t.Fatalf("seed %d at %v: %d of %d proxies of %s live, and %d beyond are named", seed, now, near, total, zone, far)
			}
		}
	}
	if answered < 100000 {
		t.Errorf("only %d answers were looked at", answered)
	}
}

// A zone that loses its proxies one by one is made up for one by one, from its
// own region, and another region is named only when that is not enough.
func TestSpillsByDegrees(t *testing.T) {
	d := New(-time.Minute, zones)
	put := func(n, z string, ready bool) {
		d.Report(0, n, Location{Front: n, Zone: z, Region: zones[z], Ready: ready}, true)
	}
	for z := range zones {
		for i := range 10 {
			put(fmt.Sprint(z, "-", i), z, true)
		}
	}
	was := 0
	for i := range 10 {
		put(fmt.Sprint("a1-", i), "a1", false)
		got, ok := d.Lookup(0, "a1", "a")
		beyond := 0
		for _, a := range got {
			if a[:2] != "a1" {
				beyond++
			}
			if a[0] != 'a' {
				t.Fatalf("%d of 10 left, and %s of another region is named", 9-i, a)
			}
		}
		if !ok || beyond-was > 1 || beyond < was || len(got) < 9 {
			t.Fatalf("%d of 10 left: %d beyond after %d, %d in all", 9-i, beyond, was, len(got))
		}
		was = beyond
	}
	if was != 9 {
		t.Fatalf("nobody left: %d beyond are named, want 9", was)
	}
}
