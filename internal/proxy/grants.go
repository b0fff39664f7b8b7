package proxy

import (
	"errors"
	"maps"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/constants"
	"slateridge/internal/transport"
)

// trackerOf returns the machine that tracks a shard, or "" if it is unknown.
func (d *Daemon) trackerOf(shard int) string {
	if trackers := *d.trackers.Load(); shard < len(trackers) {
		return trackers[shard]
	}
	return ""
}

// shardsTrackedBy returns the shards that a machine tracks.
func (d *Daemon) shardsTrackedBy(tracker string) []int {
	var shards []int
	for i, t := range *d.trackers.Load() {
		if t == tracker {
			shards = append(shards, i)
		}
	}
	return shards
}

func (d *Daemon) shardOf(key string) int {
	return admission.Shard(key, d.nodeSettings.Load().TrackerShards())
}

// requestTokens requests tokens from a key's tracker. It waits as long as a reply is useful to
// the caller and the delay is not unusual for the tracker. Only an unusual delay is recorded as
// unanswered, which spares later callers the wait.
func (d *Daemon) requestTokens(key string, until time.Time) {
	sentAt := d.now()
	callerTime := time.Until(until)
	if callerTime <= 0 {
		return
	}
	if tracker := d.trackerOf(d.shardOf(key)); tracker != "" {
		timeout := d.trackerTimeout(tracker)
		cutShort := callerTime < timeout
		grants, err := d.sendGrantRequest(tracker, sentAt, d.latestTrackerTime(tracker), []admission.KeyRequest{d.limiter.TokenRequest(sentAt, key)}, min(timeout, callerTime))
		if err == nil && !grants.Refused {
			d.recordTrackerReply(tracker, grants.Stamp, d.shardOf(key))
			d.applyGrants(sentAt, grants)
			return
		}
		if errors.Is(err, transport.ErrRefused) {
			for _, i := range d.shardsTrackedBy(tracker) {
				d.limiter.MarkTrackerDown(i)
			}
		}
		if cutShort && errors.Is(err, transport.ErrTimeout) {
			return // the caller's time ended before the tracker's timeout
		}
	}
	d.limiter.MarkUnanswered(d.now(), key)
}

// latestTrackerTime returns the latest time received from a tracker.
func (d *Daemon) latestTrackerTime(tracker string) admission.TrackerTime {
	d.trackerEchoesMu.Lock()
	defer d.trackerEchoesMu.Unlock()
	return d.trackerEchoes[tracker].time
}

// sendGrantRequest sends key requests to a tracker, together with the tracker time that they
// refer to, and waits for the reply.
func (d *Daemon) sendGrantRequest(tracker string, sentAt time.Duration, echo admission.TrackerTime, wants []admission.KeyRequest, timeout time.Duration) (admission.Grants, error) {
	reply, err := d.subscriber.Call(tracker, admission.GrantRequest{
		Proxy:   d.nodeSettings.Load().IPAddress,
		Wants:   wants,
		Echo:    echo,
		Proxies: d.limiter.Proxies(),
		Life:    d.limiter.Incarnation(),
		Sent:    sentAt,
	}, timeout)
	if err != nil {
		return admission.Grants{}, err
	}
	grants, ok := reply.(admission.Grants)
	if !ok {
		return admission.Grants{}, errUnexpectedReply
	}
	d.trackerEchoesMu.Lock()
	defer d.trackerEchoesMu.Unlock()
	if d.trackerLatencies[tracker] == nil {
		d.trackerLatencies[tracker] = &latencyWindow{}
	}
	d.trackerLatencies[tracker].observe(time.Now(), (d.now() - sentAt).Seconds())
	return grants, nil
}

var errUnexpectedReply = errors.New("unexpected reply type from tracker")

// trackerTimeout returns after how long without a reply a tracker is unusually slow.
func (d *Daemon) trackerTimeout(tracker string) time.Duration {
	d.trackerEchoesMu.Lock()
	defer d.trackerEchoesMu.Unlock()
	estimate := defaultLatency
	if latency := d.trackerLatencies[tracker]; latency != nil {
		estimate = latency.estimate()
	}
	return max(constants.MinTrackerTimeout, estimate.slowThreshold())
}

// applyGrants applies a tracker's reply to a request that was sent at the given time.
func (d *Daemon) applyGrants(sentAt time.Duration, grants admission.Grants) {
	for _, grant := range grants.Given {
		d.limiter.ApplyGrant(d.now(), sentAt, grant)
	}
}

// recordTrackerReply records a tracker's reply for some shards. If the tracker has restarted or
// has started tracking again, the reports of all its shards are sent again.
func (d *Daemon) recordTrackerReply(tracker string, reported admission.TrackerTime, shards ...int) {
	now := d.now()
	d.trackerEchoesMu.Lock()
	previous := d.trackerEchoes[tracker]
	if previous.time.Life != reported.Life || previous.time.At < reported.At {
		d.trackerEchoes[tracker] = trackerEcho{reported, now}
	}
	d.trackerEchoesMu.Unlock()
	if previous.time.Life != reported.Life || previous.time.Begun < reported.Begun {
		d.resendReports(d.shardsTrackedBy(tracker))
		go d.renewGrants()
	}
	for _, i := range shards {
		d.limiter.MarkTrackerAnswered(now, i)
	}
}

// trackerEcho is the latest time received from a tracker, and when it was received here.
type trackerEcho struct {
	time       admission.TrackerTime
	receivedAt time.Duration
}

// renewGrants reports this proxy's demand and loans to the trackers, and applies the leases that
// they return.
func (d *Daemon) renewGrants() {
	sentAt := d.now()
	d.trackerEchoesMu.Lock()
	echoes := maps.Clone(d.trackerEchoes)
	d.trackerEchoesMu.Unlock()
	wants := map[string][]admission.KeyRequest{}
	for _, w := range d.limiter.BuildReports(sentAt, func(key string) (time.Duration, uint64, bool) {
		echo, ok := echoes[d.trackerOf(d.shardOf(key))]
		return echo.receivedAt, echo.time.Life, ok
	}) {
		if tracker := d.trackerOf(d.shardOf(w.Key)); tracker != "" {
			wants[tracker] = append(wants[tracker], w)
		}
	}
	shards := map[string][]int{}
	for i, tracker := range *d.trackers.Load() {
		if tracker != "" {
			shards[tracker] = append(shards[tracker], i)
			if _, ok := wants[tracker]; !ok && sentAt-echoes[tracker].receivedAt > constants.ContactInterval {
				wants[tracker] = nil // nothing to report: the message only confirms that the tracker's replies arrive
			}
		}
	}
	for tracker, trackerWants := range wants {
		go func() {
			grants, err := d.sendGrantRequest(tracker, sentAt, echoes[tracker].time, trackerWants, constants.CallTimeout)
			if err != nil {
				d.resendReports(shards[tracker])
				return
			}
			if !grants.Refused { // a machine that is not the tracker accepts no loans, so its reply is not recorded
				d.recordTrackerReply(tracker, grants.Stamp, shards[tracker]...)
			}
			d.applyGrants(sentAt, grants)
			if grants.Retell {
				d.resendReports(shards[tracker])
			}
		}()
	}
}

// resendReports schedules the reports of some shards to be sent again, because their tracker may not have
// received them.
func (d *Daemon) resendReports(shards []int) {
	for _, i := range shards {
		d.limiter.RequestFullReport(i)
	}
}
