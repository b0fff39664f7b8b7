package proxy

import (
	"testing"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/transport"
)

// A caller waits for its key's tracker while an answer is of use to it, and no longer than
// that tracker's silence is usual.
func TestTrackerIsAwaitedByCallerAndTracker(t *testing.T) {
	d, _ := daemonAt(t)
	const tracker = "127.0.0.65"
	listener, err := transport.Listen(d.set.Load().PeerInternal(tracker, constants.PortControl))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go transport.Serve(listener, func(*transport.Conn, any) any { return nil }) // takes questions and answers none
	d.trackers.Store(&[]string{tracker})
	waited := func(patience time.Duration) time.Duration {
		began := time.Now()
		d.askTracker("k", began.Add(patience))
		return time.Since(began)
	}
	for n := 0; waited(time.Second) < constants.TrackerBusy/2; n++ { // until the connection stands
		if n > 100 {
			t.Fatal("no connection to the tracker")
		}
		time.Sleep(constants.RedialPause)
	}
	tookWithin(t, "with 30 ms", waited(30*time.Millisecond), 25*time.Millisecond, 70*time.Millisecond)
	usually := func(seconds float64) {
		d.trackerEchoesMu.Lock()
		d.trackerAnswers[tracker] = &answerTime{mean: seconds, learnedAt: time.Now()}
		d.trackerEchoesMu.Unlock()
	}
	usually(0.002)
	tookWithin(t, "of a tracker that usually takes 2 ms", waited(time.Second), constants.TrackerBusy, constants.TrackerBusy+50*time.Millisecond)
	usually(0.1)
	tookWithin(t, "of a tracker that usually takes 100 ms", waited(time.Second), 300*time.Millisecond, 380*time.Millisecond)
	tookWithin(t, "of the same with 200 ms", waited(200*time.Millisecond), 195*time.Millisecond, 260*time.Millisecond)
}
