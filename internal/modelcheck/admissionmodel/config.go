package admissionmodel

import (
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/constants"
)

// The rules, by the names under which a broken one is reported.
const (
	RuleBound   = "no window sees more than the quota and its floors"
	RulePromise = "no window of the promised length sees more than is promised"
	RuleServes  = "a pressed key is served after quiet"
)

// Fault is a defect planted in the surroundings of the machines, to see that the
// search finds it.
type Fault string

// The faults that can be planted.
const (
	NoFault              Fault = ""
	KeepReturnedLoan     Fault = "loan"     // the tracker goes on with a loan after its proxy took it back
	TrackerWithoutWarmup Fault = "tracker"  // a new tracker gives as if it had tracked for long
	NewcomerWithoutWait  Fault = "newcomer" // a newcomer shares before the others reckon with it
	StandbyOnTimeout     Fault = "standby"  // a proxy takes a lost answer for a tracker that is gone
)

// MostProxies is how many there may be, newcomers included.
const MaxProxies = 4

// Config bounds a model.
type Config struct {
	Proxies       int // at the start
	Newcomers     int
	Trackers      int
	Quota         admission.Quota
	Slack         float64 // absolute, of the quota: decides about floors, and so which keys trackers carry alone
	Faults        int     // most in a schedule; a repair is not one
	Step          time.Duration
	Messages      bool     // choices also before each message
	Kinds         []string // of choices; empty: all
	Without       []string
	Pressed       bool // clients press all proxies from the end of the warm time on, when buckets are full
	Warm          time.Duration
	Window        time.Duration // of the promise; the design's bound is for any
	LongWait      time.Duration // that the choice "long" lets pass
	SettleTime    time.Duration // after quiet, before the key must be served
	InjectedFault Fault
	Tolerance     float64 // tokens beyond either bound that are let pass, to search on past what is known
}

// Small is two proxies and one to come, with split shares that serve at two and a
// key that its tracker alone carries at three.
func Small() Config {
	return Config{
		Proxies:    2,
		Newcomers:  1,
		Trackers:   2,
		Quota:      admission.Quota{Rate: 20, Burst: 20},
		Slack:      2.5,
		Faults:     3,
		Step:       500 * time.Millisecond,
		Warm:       4 * time.Second,
		Window:     5 * time.Second,
		LongWait:   constants.SplitHold + time.Second,
		SettleTime: 12 * time.Second,
	}
}

const (
	key     = "k"
	shards  = 1
	control = "c"

	// arrivals a turn under pressure make the key hot at each proxy.
	loadedArrivals = 12
	// lastPress is how long clients press at the end of a schedule, its troubles lasting.
	finalLoadTime = 2500 * time.Millisecond
	// servedPress is how long they press after quiet, and servedPart what part of the
	// rate must be served then.
	serviceLoadTime = 4 * time.Second
	minServedShare  = 0.4
	// promisedOverage is the part beyond the quota that the promise allows.
	promisedOverage = 0.1
	// vacancy is how long nobody tracks when the duty moves.
	dutyVacancy = 300 * time.Millisecond
	// powerVacancy is how much longer it is vacant after all processes were stopped.
	powerLossVacancy = 2 * time.Second
	// longAgo is beyond the longest time that anybody here waits for anything.
	maxAge = constants.ProxyForget + 2*time.Second
	// grain is the part of a token, or of a rate, that does not distinguish states.
	floatResolution = 0.01
)

var (
	proxyNames   = []string{"p", "q", "r", "s"}
	trackerNames = []string{"t", "u", "v"}
)
