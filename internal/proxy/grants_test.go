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

// silentTracker is a daemon whose trackers take questions and answer none, and are
// connected.
func silentTracker(t *testing.T, tracker string) *Daemon {
	d, _ := daemonAt(t)
	listener, err := transport.Listen(d.set.Load().PeerInternal(tracker, constants.PortControl))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go transport.Serve(listener, func(*transport.Conn, any) any { return nil })
	all := slices.Repeat([]string{tracker}, d.set.Load().Trackers())
	d.trackers.Store(&all)
	for n := 0; awaitTracker(d, "k", time.Second) < constants.TrackerBusy/2; n++ { // until the connection stands
		if n > 100 {
			t.Fatal("no connection to the tracker")
		}
		time.Sleep(constants.RedialPause)
	}
	return d
}

// awaitTracker asks a key's tracker for a caller with so much time, and tells how long it
// was waited for.
func awaitTracker(d *Daemon, key string, callersTime time.Duration) time.Duration {
	began := time.Now()
	d.askTracker(key, began.Add(callersTime))
	return time.Since(began)
}

// A caller whose time ends before the tracker's silence is unusual leaves the next caller the
// same chance; one that has waited for as long as that spares it the wait.
func TestShortTimeIsNoSilence(t *testing.T) {
	d := silentTracker(t, "127.0.0.66")
	slow := strings.Replace(fmt.Sprintf(testConfig, 2), `"ratePerS":0.001,`, `"ratePerS":0.5,`, 1)
	trackers := d.trackers.Load()
	d.inForce(slow, 2, nil)
	d.trackers.Store(trackers)
	asks := func() bool { return d.limiter.Admit(d.now(), "tight", false).AskTracker }
	for d.limiter.Admit(d.now(), "tight", true).OK {
	}
	time.Sleep(1100 * time.Millisecond) // the bucket for bursts has a token again, the one for the rate has none
	awaitTracker(d, "tight", 20*time.Millisecond)
	awaitTracker(d, "tight", -time.Second)
	if !asks() {
		t.Error("the next caller does not wait for the tracker, after one that had no time")
	}
	awaitTracker(d, "tight", time.Second)
	if asks() {
		t.Error("the next caller waits for a tracker that was silent for unusually long")
	}
}

// A caller waits for its key's tracker while an answer is of use to it, and no longer than
// that tracker's silence is usual.
func TestTrackerIsAwaitedByCallerAndTracker(t *testing.T) {
	const tracker = "127.0.0.65"
	d := silentTracker(t, tracker)
	waited := func(callersTime time.Duration) time.Duration { return awaitTracker(d, "k", callersTime) }
	tookWithin(t, "with 30 ms", waited(30*time.Millisecond), 25*time.Millisecond, 70*time.Millisecond)
	usually := func(took time.Duration) {
		d.trackerEchoesMu.Lock()
		d.trackerAnswers[tracker] = evenAnswers(took)
		d.trackerEchoesMu.Unlock()
	}
	usually(2 * time.Millisecond)
	tookWithin(t, "of a tracker that usually takes 2 ms", waited(time.Second), constants.TrackerBusy, constants.TrackerBusy+50*time.Millisecond)
	usually(100 * time.Millisecond)
	tookWithin(t, "of a tracker that usually takes 100 ms", waited(time.Second), 300*time.Millisecond, 380*time.Millisecond)
	tookWithin(t, "of the same with 200 ms", waited(200*time.Millisecond), 195*time.Millisecond, 260*time.Millisecond)
}
