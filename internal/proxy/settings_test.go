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

// A settings file that changes while a proxy runs names further control machines, from
// the first moment on and without a signal; one that cannot be read changes nothing,
// and the next one is read again.
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
	set, err := settings.Load(path, "frontend", "readiness")
	if err != nil {
		t.Fatal(err)
	}
	d := NewDaemon(set, path, eventlog.New(zerolog.Nop()))
	knows := func(ip string) bool { _, ok := d.subscriber.State(time.Now()).Ends[ip]; return ok }
	write(at.Add(time.Millisecond), "127.0.0.63:39191") // before it is looked for the first time
	d.lookAtSettings()
	if !knows("127.0.0.62") || !knows("127.0.0.63") {
		t.Error("a change in the first second is not seen")
	}
	write(at.Add(2 * time.Millisecond))
	d.lookAtSettings()
	write(at.Add(3*time.Millisecond), "127.0.0.64:39191")
	d.lookAtSettings()
	if !knows("127.0.0.64") {
		t.Error("a change after a file that cannot be read is not seen")
	}
}

// A proxy reads the platform's list itself while no control machine in contact speaks,
// also when others do, but not in its first seconds, in which none can have spoken.
func TestListIsReadHereOutOfContact(t *testing.T) {
	now := time.Now()
	d := &Daemon{Proxy: &Proxy{startedAt: now.Add(-time.Minute)}}
	is := func(current, silent, age time.Duration) bool {
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
		if got := is(c.current, c.silent, c.age); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
