package controlplane

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/controlplane/chain"
	"slateridge/internal/eventlog"
	"slateridge/internal/settings"
)

// newTestDaemon returns the daemon of a control machine without a network. Without seeds it is
// the only voter; with seeds, the other voters are unreachable.
func newTestDaemon(t *testing.T, dir string, bootstrap bool, seeds ...string) *Daemon {
	set := &settings.Settings{NodeName: "one", IPAddress: "127.0.0.1", Zone: "here", Zones: map[string]string{"here": "r", "there": "r"}, InternalPorts: []int{7560, 7575},
		Bootstrap: bootstrap, QuorumMember: true, DataDirectory: dir}
	for _, s := range append(seeds, "127.0.0.1") {
		set.SeedNodes = append(set.SeedNodes, s+":8381")
	}
	d, err := NewDaemon(set, eventlog.New(zerolog.Nop()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.replica.store.Close)
	return d
}

func callAPI(d *Daemon, name, body string) (*httptest.ResponseRecorder, time.Duration) {
	start, w := time.Now(), httptest.NewRecorder()
	d.operatorAPI().ServeHTTP(w, httptest.NewRequest("POST", "/api/rpc?call="+name, strings.NewReader(body)))
	return w, time.Since(start)
}

func testConfig(version int, host string) string {
	return fmt.Sprintf(`{"configVersion":"r%d","resourceList":[{"resourceKind":"routes","metadata":{"name":"a"},"spec":{"host":%q,"pathPrefix":"/a/","routeType":"idempotent","timeout":"1s","targetLatency":"250ms","priority":1,"targetService":"x","maxAttempts":1,"public":true}},{"resourceKind":"services","metadata":{"name":"x"},"spec":{"maxConnections":10,"protocol":"h1"}}]}`, version, host)
}

// The operator API must acknowledge only one content per configuration version, for repeats in
// any order and after a restart. A version older than the committed one is acknowledged too.
// An invalid configuration is rejected with status 400 even if its version is committed.
func TestReplaceAcceptsOneContentPerVersion(t *testing.T) {
	dir := t.TempDir()
	d := newTestDaemon(t, dir, true)
	expectStatus := func(name, body string, status int) {
		t.Helper()
		if w, _ := callAPI(d, "configuration.replace", body); w.Code != status {
			t.Fatalf("%s: status %d %s, want %d", name, w.Code, w.Body, status)
		}
	}
	expectStatus("first", testConfig(5, "one"), 200)
	expectStatus("repeated", testConfig(5, "one"), 200)
	expectStatus("different content", testConfig(5, "two"), 409)
	expectStatus("older than the committed version", testConfig(3, "low"), 200)
	expectStatus("different content of the older version", testConfig(3, "lower"), 409)
	expectStatus("next version", testConfig(7, "three"), 200)
	expectStatus("first version again", testConfig(5, "one"), 200)
	expectStatus("invalid, with a committed version", strings.Replace(testConfig(5, "one"), `"maxAttempts":1`, `"maxAttempts":0`, 1), 400)
	if w, _ := callAPI(d, "configuration.describe", ""); w.Code != 200 || w.Body.String() != testConfig(7, "three") {
		t.Fatalf("describe: status %d %s", w.Code, w.Body)
	}
	d.replica.store.Close()
	d = newTestDaemon(t, dir, false)
	d.replica.step(func() []chain.Effect { return d.replica.chain.Tick(d.now()) })
	expectStatus("after a restart", testConfig(5, "one"), 200)
	expectStatus("different content after a restart", testConfig(7, "two"), 409)
	later := *d.activeState.Load() // a later state whose ledger no longer records these versions
	later.Stamp.Seq, later.Ledger = later.Stamp.Seq+1, config.Ledger{Floor: 1000}.With(1007, later.Sum)
	d.applyCommitted(later)
	expectStatus("below the oldest recorded version", testConfig(5, "one"), 503)
}

// A machine that cannot reach a majority must respond to a valid configuration, a read or an
// evacuation with status 503 and Retry-After, within the second that callers wait. It still
// rejects invalid configurations.
func TestAPIUnavailableWithoutMajorityContact(t *testing.T) {
	d := newTestDaemon(t, t.TempDir(), true, "127.0.0.2", "127.0.0.3")
	for name, body := range map[string]string{"configuration.replace": testConfig(5, "one"), "configuration.describe": "", "evacuations.start&of=here": ""} {
		w, elapsed := callAPI(d, name, body)
		if w.Code != 503 || w.Header().Get("Retry-After") == "" || elapsed > 900*time.Millisecond {
			t.Errorf("%s: status %d after %v, Retry-After %q", name, w.Code, elapsed, w.Header().Get("Retry-After"))
		}
	}
	if w, _ := callAPI(d, "configuration.replace", strings.Replace(testConfig(5, "one"), `"host":"one"`, `"host":""`, 1)); w.Code != 400 {
		t.Errorf("invalid configuration: status %d, want 400", w.Code)
	}
	if d.replica.hasMajorityContact() || d.proxyPublisher.snapshot().Current {
		t.Error("machine without majority contact reports itself as current")
	}
}

// An evacuation order must have no effect if the process stalled before it read the order, or
// if the caller has disconnected: it may be older than orders made since.
func TestStaleEvacuationOrderIsRejected(t *testing.T) {
	d := newTestDaemon(t, t.TempDir(), true)
	if w, _ := callAPI(d, "evacuations.start&of=there", ""); w.Code != 200 {
		t.Fatalf("evacuations.start: status %d %s", w.Code, w.Body)
	}
	d.replica.tickAndReport()
	time.Sleep(constants.StallThreshold + 100*time.Millisecond) // simulates a stall
	if w, _ := callAPI(d, "evacuations.stop&of=there", ""); w.Code != 503 {
		t.Errorf("before the first tick after the stall: status %d, want 503", w.Code)
	}
	d.replica.tickAndReport()
	if w, _ := callAPI(d, "evacuations.stop&of=there", ""); w.Code != 503 {
		t.Errorf("right after the stall: status %d, want 503", w.Code)
	}
	for end := time.Now().Add(constants.StallRecoveryTime); time.Now().Before(end); time.Sleep(constants.ChainTick) {
		d.replica.tickAndReport()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w := httptest.NewRecorder()
	d.operatorAPI().ServeHTTP(w, httptest.NewRequest("POST", "/api/rpc?call=evacuations.stop&of=there", nil).WithContext(ctx))
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("after the caller disconnected: status %d, want 503", w.Code)
	}
	if zones := d.activeState.Load().EvacuatedZones(); len(zones) != 1 {
		t.Fatalf("evacuated zones %v, want one", zones)
	}
	if w, _ := callAPI(d, "evacuations.stop&of=there", ""); w.Code != 200 || len(d.activeState.Load().EvacuatedZones()) != 0 {
		t.Fatalf("evacuations.stop after the stall: status %d %s", w.Code, w.Body)
	}
}

// Each process must number its reads from a random start. Otherwise a reply to a read of an
// earlier process on the same machine could complete a newer read.
func TestReadIDsDifferBetweenProcesses(t *testing.T) {
	a, b := newTestDaemon(t, t.TempDir(), true), newTestDaemon(t, t.TempDir(), true)
	if x, y := a.pendingCalls.lastReadID, b.pendingCalls.lastReadID; x == y || x < 1<<20 || y < 1<<20 {
		t.Errorf("two processes number their reads from %d and %d", x, y)
	}
}
