package proxy

import (
	"errors"
	"maps"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/constants"
	"slateridge/internal/transport"
)

// trackerOf is where a key's questions go.
func (d *Daemon) trackerOf(shard int) string {
	if t := *d.trackers.Load(); shard < len(t) {
		return t[shard]
	}
	return ""
}

// shardsTrackedBy are those that a machine tracks.
func (d *Daemon) shardsTrackedBy(tracker string) []int {
	var out []int
	for i, t := range *d.trackers.Load() {
		if t == tracker {
			out = append(out, i)
		}
	}
	return out
}

func (d *Daemon) shardOf(key string) int { return admission.Shard(key, d.set.Load().Trackers()) }

// requestTokens asks a key's tracker for tokens. It waits while an answer is of use to the
// caller and the tracker's silence is not unusual. Only the latter says something of the
// tracker, which those that come after need not wait for then.
func (d *Daemon) requestTokens(key string, until time.Time) {
	asked := d.now()
	callersTime := time.Until(until)
	if callersTime <= 0 {
		return
	}
	if to := d.trackerOf(d.shardOf(key)); to != "" {
		patience := d.trackerTimeout(to)
		cutShort := callersTime < patience
		grants, err := d.sendGrantRequest(to, asked, d.latestTrackerTime(to), []admission.Want{d.limiter.Need(asked, key)}, min(patience, callersTime))
		if err == nil && !grants.Refused {
			d.recordTrackerReply(to, grants.Stamp, d.shardOf(key))
			d.applyGrants(asked, grants)
			return
		}
		if errors.Is(err, transport.ErrRefused) {
			for _, i := range d.shardsTrackedBy(to) {
				d.limiter.TrackerDown(i)
			}
		}
		if cutShort && errors.Is(err, transport.ErrTimeout) {
			return // it was the caller's time that ended, not the tracker's
		}
	}
	d.limiter.Unanswered(d.now(), key)
}

// latestTrackerTime is a tracker's latest time that has come here.
func (d *Daemon) latestTrackerTime(to string) admission.TrackerTime {
	d.trackerEchoesMu.Lock()
	defer d.trackerEchoesMu.Unlock()
	return d.trackerEchoes[to].time
}

// sendGrantRequest sends a tracker wants that were reckoned with its time as echoed, and waits for its
// answer.
func (d *Daemon) sendGrantRequest(to string, asked time.Duration, echo admission.TrackerTime, wants []admission.Want, patience time.Duration) (admission.Grants, error) {
	answer, err := d.subscriber.Ask(to, admission.GrantRequest{
		Proxy:   d.set.Load().IPAddress,
		Wants:   wants,
		Echo:    echo,
		Proxies: d.limiter.Proxies(),
		Life:    d.limiter.Life(),
		Sent:    asked,
	}, patience)
	if err != nil {
		return admission.Grants{}, err
	}
	grants, ok := answer.(admission.Grants)
	if !ok {
		return admission.Grants{}, errUnexpectedReply
	}
	d.trackerEchoesMu.Lock()
	defer d.trackerEchoesMu.Unlock()
	if d.trackerAnswers[to] == nil {
		d.trackerAnswers[to] = &latencyWindow{}
	}
	d.trackerAnswers[to].observe(time.Now(), (d.now() - asked).Seconds())
	return grants, nil
}

var errUnexpectedReply = errors.New("a tracker's answer is of another kind")

// trackerTimeout is how long a tracker's silence is not unusual.
func (d *Daemon) trackerTimeout(to string) time.Duration {
	d.trackerEchoesMu.Lock()
	defer d.trackerEchoesMu.Unlock()
	usual := defaultLatency
	if answers := d.trackerAnswers[to]; answers != nil {
		usual = answers.estimate()
	}
	return max(constants.TrackerBusy, usual.hedgeThreshold())
}

// applyGrants takes what a tracker answered to a question asked at a moment.
func (d *Daemon) applyGrants(asked time.Duration, grants admission.Grants) {
	for _, given := range grants.Given {
		d.limiter.Take(d.now(), asked, given)
	}
}

// recordTrackerReply notes a tracker's answer for some shards.
func (d *Daemon) recordTrackerReply(to string, s admission.TrackerTime, shards ...int) {
	now := d.now()
	d.trackerEchoesMu.Lock()
	o := d.trackerEchoes[to]
	if o.time.Life != s.Life || o.time.At < s.At {
		d.trackerEchoes[to] = trackerEcho{s, now}
	}
	d.trackerEchoesMu.Unlock()
	if o.time.Life != s.Life || o.time.Begun < s.Begun {
		d.resendReports(d.shardsTrackedBy(to))
		go d.renewGrants()
	}
	for _, i := range shards {
		d.limiter.TrackerAnswered(now, i)
	}
}

// trackerEcho is a tracker's latest time, and when it came here.
type trackerEcho struct {
	time       admission.TrackerTime
	receivedAt time.Duration
}

// renewGrants tells the trackers this proxy's demand and loans, and takes their
// leases.
func (d *Daemon) renewGrants() {
	asked := d.now()
	d.trackerEchoesMu.Lock()
	echo := maps.Clone(d.trackerEchoes)
	d.trackerEchoesMu.Unlock()
	by := map[string][]admission.Want{}
	for _, w := range d.limiter.Wants(asked, func(key string) (time.Duration, uint64, bool) {
		h, ok := echo[d.trackerOf(d.shardOf(key))]
		return h.receivedAt, h.time.Life, ok
	}) {
		if to := d.trackerOf(d.shardOf(w.Key)); to != "" {
			by[to] = append(by[to], w)
		}
	}
	shards := map[string][]int{}
	for i, to := range *d.trackers.Load() {
		if to != "" {
			shards[to] = append(shards[to], i)
			if _, ok := by[to]; !ok && asked-echo[to].receivedAt > constants.ContactEvery {
				by[to] = nil // nothing to say but that it is heard
			}
		}
	}
	for to, ws := range by {
		go func() {
			grants, err := d.sendGrantRequest(to, asked, echo[to].time, ws, constants.CallTimeout)
			if err != nil {
				d.resendReports(shards[to])
				return
			}
			if !grants.Refused { // what does not track borrows nothing
				d.recordTrackerReply(to, grants.Stamp, shards[to]...)
			}
			d.applyGrants(asked, grants)
			if grants.Retell {
				d.resendReports(shards[to])
			}
		}()
	}
}

// resendReports notes that the tracker of some shards does not know what it was told.
func (d *Daemon) resendReports(shards []int) {
	for _, i := range shards {
		d.limiter.ReportAgain(i)
	}
}
