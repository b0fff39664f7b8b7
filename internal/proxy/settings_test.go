package proxy

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"slateridge/internal/distribution"
	"slateridge/internal/eventlog"
	"slateridge/internal/settings"
)

// Control-plane nodes added to the settings file take effect while the proxy runs, without a
// signal, and even if the file changes right after the start. An invalid file changes
// nothing, and the next valid one is loaded.
func TestSeedsChangeWhileRunning(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.json")
	write := func(at time.Time, seeds ...string) {
		t.Helper()
		raw, _ := json.Marshal(map[string]any{
			"nodeName": "machine-1", "ipAddress": "127.0.0.61", "zone": "z",
			"listenAddresses": map[string]string{"frontend": "127.0.0.61:39180", "readiness": "127.0.0.61:39181"},
			"internalPorts":   []int{39182, 39189}, "seedNodes": seeds,
			"bounds":   map[string]any{"drain": "2500ms", "grace": "6s", "configApply": "2500ms", "retryBudgetRatio": 0.2, "retryWindow": "10s", "retryBudgetSlack": 62, "quotaWindow": "5s", "quotaSlack": 20},
			"cloudApi": map[string]any{"address": "127.0.0.61:39190", "ratePerS": 44, "maxLag": "800ms"},
		})
		if len(seeds) == 0 {
			raw = raw[:len(raw)/2]
		}
		if err := os.WriteFile(path, raw, 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
	at := time.Now()
	write(at, "127.0.0.62:39191")
	nodeSettings, err := settings.Load(path, "frontend", "readiness")
	if err != nil {
		t.Fatal(err)
	}
	d := NewDaemon(nodeSettings, path, eventlog.New(zerolog.Nop()))
	isKnown := func(ip string) bool { _, ok := d.subscriber.State(time.Now()).Ends[ip]; return ok }
	write(at.Add(time.Millisecond), "127.0.0.63:39191") // before the first check for changes
	d.reloadIfChanged()
	if !isKnown("127.0.0.62") || !isKnown("127.0.0.63") {
		t.Error("a change right after the start was not loaded")
	}
	write(at.Add(2 * time.Millisecond))
	d.reloadIfChanged()
	write(at.Add(3*time.Millisecond), "127.0.0.64:39191")
	d.reloadIfChanged()
	if !isKnown("127.0.0.64") {
		t.Error("a change after an invalid file was not loaded")
	}
}

// A proxy polls the platform's instance list itself while it receives no updates from a
// control-plane node in contact with a majority, even if others send updates. It does not in
// its first seconds, before the first update can have arrived.
func TestSelfPollOutOfContact(t *testing.T) {
	now := time.Now()
	d := &Daemon{Proxy: &Proxy{startedAt: now.Add(-time.Minute)}}
	outOfContact := func(current, silent, age time.Duration) bool {
		d.startedAt = now.Add(-age)
		return d.outOfContact(distribution.State{Current: current, Silent: silent}, now)
	}
	never := now.Sub(time.Time{})
	for _, c := range []struct {
		current, silent, age time.Duration
		want                 bool
	}{
		{100 * time.Millisecond, 0, time.Minute, false},
		{20 * time.Second, 0, time.Minute, true},
		{20 * time.Second, 20 * time.Second, time.Minute, true},
		{never, 0, time.Second, false},
		{never, 0, 20 * time.Second, true},
	} {
		if got := outOfContact(c.current, c.silent, c.age); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
