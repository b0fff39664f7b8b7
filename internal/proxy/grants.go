package proxy

import (
	"errors"
	"maps"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/constants"
	"slateridge/internal/transport"
)

// tracker is where a key's questions go.
func (d *Daemon) tracker(shard int) string {
	if t := *d.trackers.Load(); shard < len(t) {
		return t[shard]
	}
	return ""
}

// shardsOf are those that a machine tracks.
func (d *Daemon) shardsOf(tracker string) []int {
	var out []int
	for i, t := range *d.trackers.Load() {
		if t == tracker {
			out = append(out, i)
		}
	}
	return out
}

func (d *Daemon) shard(key string) int { return admission.Shard(key, d.set.Load().Trackers()) }

// askTracker asks a key's tracker for tokens. It waits while an answer is of use to the
// caller and the tracker's silence is not unusual. Only the latter says something of the
// tracker, which those that come after need not wait for then.
func (d *Daemon) askTracker(key string, until time.Time) {
	asked := d.now()
	callersTime := time.Until(until)
	if callersTime <= 0 {
		return
	}
	if to := d.tracker(d.shard(key)); to != "" {
		patience := d.trackerPatience(to)
		cutShort := callersTime < patience
		grants, err := d.ask(to, asked, d.echoOf(to), []admission.KeyRequest{d.limiter.TokenRequest(asked, key)}, min(patience, callersTime))
		if err == nil && !grants.Refused {
			d.heardTracker(to, grants.Stamp, d.shard(key))
			d.takeGrants(asked, grants)
			return
		}
		if errors.Is(err, transport.ErrRefused) {
			for _, i := range d.shardsOf(to) {
				d.limiter.MarkTrackerDown(i)
			}
		}
		if cutShort && errors.Is(err, transport.ErrTimeout) {
			return // it was the caller's time that ended, not the tracker's
		}
	}
	d.limiter.MarkUnanswered(d.now(), key)
}

// echoOf is a tracker's latest time that has come here.
func (d *Daemon) echoOf(to string) admission.TrackerTime {
	d.trackerEchoesMu.Lock()
	defer d.trackerEchoesMu.Unlock()
	return d.trackerEchoes[to].time
}

// ask sends a tracker wants that were reckoned with its time as echoed, and waits for its
// answer.
func (d *Daemon) ask(to string, asked time.Duration, echo admission.TrackerTime, wants []admission.KeyRequest, patience time.Duration) (admission.Grants, error) {
	answer, err := d.subscriber.Ask(to, admission.GrantRequest{
		Proxy:   d.set.Load().IPAddress,
		Wants:   wants,
		Echo:    echo,
		Proxies: d.limiter.Proxies(),
		Life:    d.limiter.Incarnation(),
		Sent:    asked,
	}, patience)
	if err != nil {
		return admission.Grants{}, err
	}
	grants, ok := answer.(admission.Grants)
	if !ok {
		return admission.Grants{}, errNoGrants
	}
	d.trackerEchoesMu.Lock()
	defer d.trackerEchoesMu.Unlock()
	if d.trackerAnswers[to] == nil {
		d.trackerAnswers[to] = &answerTime{}
	}
	d.trackerAnswers[to].learn(time.Now(), (d.now() - asked).Seconds())
	return grants, nil
}

var errNoGrants = errors.New("a tracker's answer is of another kind")

// trackerPatience is how long a tracker's silence is not unusual.
func (d *Daemon) trackerPatience(to string) time.Duration {
	d.trackerEchoesMu.Lock()
	defer d.trackerEchoesMu.Unlock()
	usual := unknownWork
	if answers := d.trackerAnswers[to]; answers != nil {
		usual = answers.work()
	}
	return max(constants.TrackerBusy, usual.unusual())
}

// takeGrants takes what a tracker answered to a question asked at a moment.
func (d *Daemon) takeGrants(asked time.Duration, grants admission.Grants) {
	for _, given := range grants.Given {
		d.limiter.ApplyGrant(d.now(), asked, given)
	}
}

// heardTracker notes a tracker's answer for some shards.
func (d *Daemon) heardTracker(to string, s admission.TrackerTime, shards ...int) {
	now := d.now()
	d.trackerEchoesMu.Lock()
	o := d.trackerEchoes[to]
	if o.time.Life != s.Life || o.time.At < s.At {
		d.trackerEchoes[to] = trackerEcho{s, now}
	}
	d.trackerEchoesMu.Unlock()
	if o.time.Life != s.Life || o.time.Begun < s.Begun {
		d.untold(d.shardsOf(to))
		go d.renewGrants()
	}
	for _, i := range shards {
		d.limiter.MarkTrackerAnswered(now, i)
	}
}

// trackerEcho is a tracker's latest time, and when it came here.
type trackerEcho struct {
	time admission.TrackerTime
	at   time.Duration
}

// renewGrants tells the trackers this proxy's demand and loans, and takes their
// leases.
func (d *Daemon) renewGrants() {
	asked := d.now()
	d.trackerEchoesMu.Lock()
	echo := maps.Clone(d.trackerEchoes)
	d.trackerEchoesMu.Unlock()
	by := map[string][]admission.KeyRequest{}
	for _, w := range d.limiter.BuildReports(asked, func(key string) (time.Duration, uint64, bool) {
		h, ok := echo[d.tracker(d.shard(key))]
		return h.at, h.time.Life, ok
	}) {
		if to := d.tracker(d.shard(w.Key)); to != "" {
			by[to] = append(by[to], w)
		}
	}
	shards := map[string][]int{}
	for i, to := range *d.trackers.Load() {
		if to != "" {
			shards[to] = append(shards[to], i)
			if _, ok := by[to]; !ok && asked-echo[to].at > constants.ContactEvery {
				by[to] = nil // nothing to say but that it is heard
			}
		}
	}
	for to, ws := range by {
		go func() {
			grants, err := d.ask(to, asked, echo[to].time, ws, constants.CallTimeout)
			if err != nil {
				d.untold(shards[to])
				return
			}
			if !grants.Refused { // what does not track borrows nothing
				d.heardTracker(to, grants.Stamp, shards[to]...)
			}
			d.takeGrants(asked, grants)
			if grants.Retell {
				d.untold(shards[to])
			}
		}()
	}
}

// untold notes that the tracker of some shards does not know what it was told.
func (d *Daemon) untold(shards []int) {
	for _, i := range shards {
		d.limiter.RequestFullReport(i)
	}
}
