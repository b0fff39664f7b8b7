package proxy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/transport"
)

// daemonWithSilentTracker returns a daemon that is connected to a tracker which accepts requests
// but never replies.
func daemonWithSilentTracker(t *testing.T, tracker string) *Daemon {
	d, _ := newTestDaemon(t)
	listener, err := transport.Listen(d.nodeSettings.Load().PeerInternalAddress(tracker, constants.PortControl))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go transport.Serve(listener, func(*transport.Conn, any) any { return nil })
	all := slices.Repeat([]string{tracker}, d.nodeSettings.Load().TrackerShards())
	d.trackers.Store(&all)
	for n := 0; timeTokenRequest(d, "k", time.Second) < constants.MinTrackerTimeout/2; n++ { // until the connection is established
		if n > 100 {
			t.Fatal("no connection to the tracker")
		}
		time.Sleep(constants.RedialDelay)
	}
	return d
}

// timeTokenRequest requests tokens for a caller with the given time, and returns how long the
// request took.
func timeTokenRequest(d *Daemon, key string, callerTime time.Duration) time.Duration {
	began := time.Now()
	d.requestTokens(key, began.Add(callerTime))
	return time.Since(began)
}

// If a caller's time ends before the tracker is unusually slow, the next caller waits for the
// tracker as well. Once a caller has waited longer than that, later callers do not wait.
func TestShortCallerTimeDoesNotMarkTrackerSilent(t *testing.T) {
	d := daemonWithSilentTracker(t, "127.0.0.66")
	slow := strings.Replace(fmt.Sprintf(testConfig, 2), `"ratePerS":0.001,`, `"ratePerS":0.5,`, 1)
	trackers := d.trackers.Load()
	d.applyConfig(slow, 2, nil)
	d.trackers.Store(trackers)
	waits := func() bool { return d.limiter.Admit(d.now(), "tight", false).AskTracker }
	for d.limiter.Admit(d.now(), "tight", true).OK {
	}
	time.Sleep(1100 * time.Millisecond) // the burst bucket has a token again, the rate bucket has none
	timeTokenRequest(d, "tight", 20*time.Millisecond)
	timeTokenRequest(d, "tight", -time.Second)
	if !waits() {
		t.Error("the next caller does not wait for the tracker after a caller without time")
	}
	timeTokenRequest(d, "tight", time.Second)
	if waits() {
		t.Error("the next caller waits for a tracker that was unusually slow")
	}
}

// A caller waits for its key's tracker while a reply is useful to it, and no longer than until
// the tracker is unusually slow.
func TestTokenRequestTimeout(t *testing.T) {
	const tracker = "127.0.0.65"
	d := daemonWithSilentTracker(t, tracker)
	waited := func(callerTime time.Duration) time.Duration { return timeTokenRequest(d, "k", callerTime) }
	assertDuration(t, "with 30 ms", waited(30*time.Millisecond), 25*time.Millisecond, 70*time.Millisecond)
	setUsual := func(took time.Duration) {
		d.trackerEchoesMu.Lock()
		d.trackerLatencies[tracker] = uniformLatency(took)
		d.trackerEchoesMu.Unlock()
	}
	setUsual(2 * time.Millisecond)
	assertDuration(t, "with a tracker that usually takes 2 ms", waited(time.Second), constants.MinTrackerTimeout, constants.MinTrackerTimeout+50*time.Millisecond)
	setUsual(100 * time.Millisecond)
	assertDuration(t, "with a tracker that usually takes 100 ms", waited(time.Second), 300*time.Millisecond, 380*time.Millisecond)
	assertDuration(t, "with the same tracker and 200 ms", waited(200*time.Millisecond), 195*time.Millisecond, 260*time.Millisecond)
}
