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

// newTestDaemon is a control machine's operator API, without a network: a machine of one, or one
// of three whose others are not there.
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
	began, w := time.Now(), httptest.NewRecorder()
	d.operatorAPI().ServeHTTP(w, httptest.NewRequest("POST", "/api/rpc?call="+name, strings.NewReader(body)))
	return w, time.Since(began)
}

func testConfig(version int, host string) string {
	return fmt.Sprintf(`{"configVersion":"r%d","resourceList":[{"resourceKind":"routes","metadata":{"name":"a"},"spec":{"host":%q,"pathPrefix":"/a/","routeType":"idempotent","timeout":"1s","targetLatency":"250ms","priority":1,"targetService":"x","maxAttempts":1,"public":true}},{"resourceKind":"services","metadata":{"name":"x"},"spec":{"maxConnections":10,"protocol":"h1"}}]}`, version, host)
}

// Over the operator's interface one content is acknowledged under a number, whatever is
// sent again, in whatever order, also to a later life; what is overtaken is acknowledged
// too; what is refused for its content says so, and names no contact.
func TestReplaceAcceptsOneContentPerVersion(t *testing.T) {
	dir := t.TempDir()
	d := newTestDaemon(t, dir, true)
	expectStatus := func(when string, body string, status int) {
		t.Helper()
		if w, _ := callAPI(d, "configuration.replace", body); w.Code != status {
			t.Fatalf("%s: %d %s, want %d", when, w.Code, w.Body, status)
		}
	}
	expectStatus("first", testConfig(5, "one"), 200)
	expectStatus("again", testConfig(5, "one"), 200)
	expectStatus("another content", testConfig(5, "two"), 409)
	expectStatus("overtaken before it came", testConfig(3, "low"), 200)
	expectStatus("another one under that", testConfig(3, "lower"), 409)
	expectStatus("next", testConfig(7, "three"), 200)
	expectStatus("the first once more", testConfig(5, "one"), 200)
	expectStatus("invalid, under a number taken", strings.Replace(testConfig(5, "one"), `"maxAttempts":1`, `"maxAttempts":0`, 1), 400)
	if w, _ := callAPI(d, "configuration.describe", ""); w.Code != 200 || w.Body.String() != testConfig(7, "three") {
		t.Fatalf("read back %d %s", w.Code, w.Body)
	}
	d.replica.store.Close()
	d = newTestDaemon(t, dir, false)
	d.replica.step(func() []chain.Effect { return d.replica.chain.Tick(d.now()) })
	expectStatus("to a later life", testConfig(5, "one"), 200)
	expectStatus("to a later life, another content", testConfig(7, "two"), 409)
	later := *d.activeState.Load() // much later: the list no longer reaches down there
	later.Stamp.Seq, later.Ledger = later.Stamp.Seq+1, config.Ledger{Floor: 1000}.With(1007, later.Sum)
	d.applyCommitted(later)
	expectStatus("below what is remembered", testConfig(5, "one"), 503)
}

// A machine whose others are not there gives no verdict on a proper order, a read or an
// evacuation, within the second that callers wait, and says when to come again; what is
// wrong with a configuration it says all the same.
func TestAPIUnavailableWithoutMajorityContact(t *testing.T) {
	d := newTestDaemon(t, t.TempDir(), true, "127.0.0.2", "127.0.0.3")
	for name, body := range map[string]string{"configuration.replace": testConfig(5, "one"), "configuration.describe": "", "evacuations.start&of=here": ""} {
		w, elapsed := callAPI(d, name, body)
		if w.Code != 503 || w.Header().Get("Retry-After") == "" || elapsed > 900*time.Millisecond {
			t.Errorf("%s: %d after %v, %q", name, w.Code, elapsed, w.Header().Get("Retry-After"))
		}
	}
	if w, _ := callAPI(d, "configuration.replace", strings.Replace(testConfig(5, "one"), `"host":"one"`, `"host":""`, 1)); w.Code != 400 {
		t.Errorf("an invalid configuration: %d", w.Code)
	}
	if d.replica.hasMajorityContact() || d.proxyPublisher.snapshot().Current {
		t.Error("it passes for current")
	}
}

// An evacuation read by a process that stood still, or whose caller has gone, is an old
// one: it changes nothing.
func TestStaleEvacuationOrderIsRejected(t *testing.T) {
	d := newTestDaemon(t, t.TempDir(), true)
	if w, _ := callAPI(d, "evacuations.start&of=there", ""); w.Code != 200 {
		t.Fatalf("%d %s", w.Code, w.Body)
	}
	d.replica.tickAndReport()
	time.Sleep(constants.StallGap + 100*time.Millisecond) // it stands still
	if w, _ := callAPI(d, "evacuations.stop&of=there", ""); w.Code != 503 {
		t.Errorf("before its first step after that: %d", w.Code)
	}
	d.replica.tickAndReport()
	if w, _ := callAPI(d, "evacuations.stop&of=there", ""); w.Code != 503 {
		t.Errorf("right after: %d", w.Code)
	}
	for end := time.Now().Add(constants.StallQuiet); time.Now().Before(end); time.Sleep(constants.ChainTick) {
		d.replica.tickAndReport()
	}
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	w := httptest.NewRecorder()
	d.operatorAPI().ServeHTTP(w, httptest.NewRequest("POST", "/api/rpc?call=evacuations.stop&of=there", nil).WithContext(gone))
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("with its caller gone: %d", w.Code)
	}
	if zones := d.activeState.Load().Evacuated(); len(zones) != 1 {
		t.Fatalf("evacuated: %v", zones)
	}
	if w, _ := callAPI(d, "evacuations.stop&of=there", ""); w.Code != 200 || len(d.activeState.Load().Evacuated()) != 0 {
		t.Fatalf("an order in time: %d %s", w.Code, w.Body)
	}
}

// A read's number is of its life: an answer to an earlier life's read meets none.
func TestReadIDsDifferBetweenProcesses(t *testing.T) {
	a, b := newTestDaemon(t, t.TempDir(), true), newTestDaemon(t, t.TempDir(), true)
	if x, y := a.pendingCalls.lastReadID, b.pendingCalls.lastReadID; x == y || x < 1<<20 || y < 1<<20 {
		t.Errorf("two lives number their reads from %d and %d", x, y)
	}
}
